"""Return times of refused calls, spread over the rate at which they can be served."""

import time
from collections.abc import Callable, Hashable

# Longest time after which a refused call may return: capacity may come back before it is expected.
MAX_RETURN_S = 10.0
# Least rate at which refused calls return, per second.
MIN_RATE_PER_S = 0.1


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
        now = self._clock()
        return_s = max(now + wait_s, self._next_s.get(queue, 0.0))
        return_s = min(return_s, now + MAX_RETURN_S)
        self._next_s[queue] = return_s + 1 / max(rate_per_s, MIN_RATE_PER_S)
        return return_s - now
