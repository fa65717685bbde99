"""Return times of refused calls, spread over the rate at which they can be served."""

import time
from collections.abc import Callable, Hashable
from dataclasses import dataclass

# Longest time after which a refused call may return: capacity may come back before it is expected.
MAX_RETURN_S = 10.0
# Least rate at which refused calls return, per second.
MIN_RATE_PER_S = 0.1
# A turn lapses this long after its time: callers return after a round trip, some never.
TURN_GRACE_S = 0.5
# A call may return this much before its turn, since clocks and Retry-After are rounded.
EARLY_RETURN_S = 0.05


class ReturnSchedule:
    """The times at which refused calls may return, one after the other for each queue.

    :param clock: monotonic clock in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._next_s: dict[Hashable, float] = {}

    def reserve(self, queue: Hashable, wait_s: float, rate_per_s: float) -> float:
        """Return the time after which a call may return, in seconds.

        :param queue: queue that the call was refused from
        :param wait_s: time until its turn if it returned alone, in seconds
        :param rate_per_s: calls of the queue that are served per second
        """
        return_s = self._find_next(queue, wait_s)
        self._next_s[queue] = return_s + 1 / max(rate_per_s, MIN_RATE_PER_S)
        return return_s - self._clock()

    def reserve_useful(
        self, queue: Hashable, wait_s: float, rate_per_s: float, useful_s: float
    ) -> float | None:
        """Return the time after which a call may return, ``None`` if it is longer than useful.

        No turn is used up in the latter case.

        :param queue: queue that the call was refused from
        :param wait_s: time until its turn if it returned alone, in seconds
        :param rate_per_s: calls of the queue that are served per second
        :param useful_s: longest time that the caller honours, in seconds
        """
        if self._find_next(queue, wait_s) - self._clock() > useful_s:
            return None
        return self.reserve(queue, wait_s, rate_per_s)

    def _find_next(self, queue: Hashable, wait_s: float) -> float:
        now = self._clock()
        return min(max(now + wait_s, self._next_s.get(queue, 0.0)), now + MAX_RETURN_S)


@dataclass(frozen=True)
class Turn:
    """A turn of a refused call that is expected to return.

    :ivar at_s: monotonic clock from which on the call may return, in seconds
    :ivar caller: what the call is recognised by
    :ivar tokens: prompt tokens of the call that aren't cached
    """

    at_s: float
    caller: Hashable
    tokens: int


class ExpectedReturns:
    """The turns of refused calls, which count as waiting work for new calls of their queue.

    A call with the same customer, route and prompt that arrives from its turn on takes the turn.
    No call depends on a turn: it lapses after ``TURN_GRACE_S``, or with the process.

    :param clock: monotonic clock in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._turns: dict[Hashable, list[Turn]] = {}

    def add(self, queue: Hashable, caller: Hashable, in_s: float, tokens: int) -> None:
        """Expect a refused call to return.

        :param queue: queue that the call was refused from
        :param caller: what the call is recognised by
        :param in_s: time until its turn, in seconds
        :param tokens: prompt tokens of the call that aren't cached
        """
        turns = self._list_current(queue)
        self._turns[queue] = [*turns, Turn(self._clock() + in_s, caller, tokens)]

    def take(self, queue: Hashable, caller: Hashable) -> bool:
        """Return whether an arriving call has a turn; the turn is used up.

        :param queue: queue of the call
        :param caller: what the call is recognised by
        """
        by_s = self._clock() + EARLY_RETURN_S
        turns = self._list_current(queue)
        for turn in turns:
            if turn.caller == caller and turn.at_s <= by_s:
                turns.remove(turn)
                return True
        return False

    def count_tokens(self, queue: Hashable, within_s: float) -> int:
        """Return the prompt tokens of the calls that are expected to return.

        :param queue: queue of the calls
        :param within_s: time until which their turns count, in seconds
        """
        by_s = self._clock() + within_s
        return sum(turn.tokens for turn in self._list_current(queue) if turn.at_s <= by_s)

    def _list_current(self, queue: Hashable) -> list[Turn]:
        """Return the turns of a queue without those that have lapsed."""
        turns = self._turns.get(queue)
        if not turns:
            return []
        since_s = self._clock() - TURN_GRACE_S
        self._turns[queue] = [turn for turn in turns if turn.at_s >= since_s]
        return self._turns[queue]
