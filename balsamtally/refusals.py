"""Refusal of calls that can't be complete in time, and when their callers may return.

Load pattern: a burst of long prompts at 2.3 times what the runners can read.

A call waits until the prompts that are ordered before it have been read, not only those at its best
runner. A call that can't be complete in time is refused as soon as that is certain, unless a runner
has capacity for it now. The work before the call also tells when the caller can be served.
"""

import time
from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass, replace

from balsamtally.demands import Demand
from balsamtally.errors import TargetHopeless
from balsamtally.logs import log
from balsamtally.returns import ExpectedReturns, ReturnSchedule
from balsamtally.selection import FIRST_STEP_S, UNREAD_SHARE, Candidate, predict_first_event_s
from balsamtally.waiting import (
    REQUIRED_ANSWER_SHARE,
    Waiter,
    cannot_meet_deadline,
    predict_answer_s,
)
from balsamtally.waiting_calls import Waiting

# Callers honour a time to return up to this share of the time that they have left.
HONOURED_SHARE = 1 / 3
# Share of the reading capacity that is handed out to refused callers; the rest is left for new
# calls, so that turns handed out don't cause further refusals without end.
RETURN_SHARE = 0.5
# A returning call is ordered as if its target were this share of the usual time away.
RETURN_TARGET_SHARE = 0.5
# A call counts at least this work, so that the rate of turns stays finite for prompts in the cache.
LEAST_TOKENS = 100


@dataclass(frozen=True)
class Outlook:
    """When a waiting call can be expected to be served.

    :ivar queue_s: time until the prompts before the call have been read, in seconds
    :ivar first_event_s: expected time to the first event of its answer, in seconds
    :ivar tokens_per_s: prompt tokens per second that its candidates read together
    """

    queue_s: float
    first_event_s: float
    tokens_per_s: float


def predict_outlook(
    candidates: Sequence[Candidate], ahead_tokens: int, best_s: float | None = None
) -> Outlook:
    """Return when a waiting call can be expected to be served.

    Prompts at the candidates are assumed to be read at all of them evenly, which is the earliest
    possible; memory and slots are left out of account.

    :param candidates: backend servers that may run the call, at least one
    :param ahead_tokens: prompt tokens of waiting calls that are placed before the call
    :param best_s: expected time to the first event at the best candidate, in seconds, ``None`` if
        it isn't known yet
    """
    first_event_s = min(map(predict_first_event_s, candidates)) if best_s is None else best_s
    tokens_per_s = sum(each.tokens_per_s / each.slow_factor for each in candidates)
    reading = sum(each.reading_tokens for each in candidates) * UNREAD_SHARE
    queue_s = (reading + ahead_tokens) / tokens_per_s
    if ahead_tokens:
        fewest = min(each.fresh_tokens / each.tokens_per_s for each in candidates)
        first_event_s = max(first_event_s, queue_s + fewest + FIRST_STEP_S)
    return Outlook(queue_s, first_event_s, tokens_per_s)


def must_refuse(
    waiter: Waiter,
    best_s: float,
    outlook: Outlook,
    token_s: float,
    now_s: float,
    has_room: Callable[[], bool],
) -> bool:
    """Return whether a call is refused, as its answer can't be complete at its deadline.

    :param waiter: the call
    :param best_s: expected time to the first event at the best candidate, in seconds
    :param outlook: when the call can be expected to be served, given the calls before it
    :param token_s: present time per answer token, in seconds
    :param now_s: monotonic clock in seconds
    :param has_room: returns whether a candidate has capacity for the call now; called only if the
        calls before it would make it too late, since all candidates are compared
    """
    if cannot_meet_deadline(waiter, best_s, token_s, now_s):
        return True
    return (
        outlook.first_event_s > best_s
        and cannot_meet_deadline(waiter, outlook.first_event_s, token_s, now_s)
        and not has_room()
    )


def find_latest_return_s(waiter: Waiter, token_s: float, now_s: float) -> float:
    """Return the time until which a call's return is useful, in seconds; negative if none is.

    Callers honour a third of the time that they have left, and the answer must be complete in time
    once the call has come back.

    :param waiter: the call
    :param token_s: present time per answer token, in seconds
    :param now_s: monotonic clock in seconds
    """
    left_s = waiter.until_s - now_s
    answer_s = predict_answer_s(waiter.answer_tokens * REQUIRED_ANSWER_SHARE, token_s)
    place_s = waiter.target_s * RETURN_TARGET_SHARE
    return min(left_s * HONOURED_SHARE, left_s - place_s - answer_s)


def advance_target(waiter: Waiter, now_s: float) -> Waiter:
    """Return the queue entry of a returning call, which goes before new calls of its urgency.

    :param waiter: the call
    :param now_s: monotonic clock in seconds
    """
    target_at_s = min(waiter.target_at_s, now_s + waiter.target_s * RETURN_TARGET_SHARE)
    lead_time_s = min(waiter.lead_time_s, waiter.target_s * RETURN_TARGET_SHARE / 2)
    return replace(waiter, target_at_s=target_at_s, lead_time_s=lead_time_s)


def find_return_rate(outlook: Outlook, fresh_tokens: int) -> float:
    """Return how many refused callers may return per second.

    :param outlook: when the refused call could be expected to be served
    :param fresh_tokens: prompt tokens of the call that aren't cached
    """
    return outlook.tokens_per_s * RETURN_SHARE / max(fresh_tokens, LEAST_TOKENS)


class Refusals:
    """Refuses waiting calls, and hands out turns to return.

    :param clock: monotonic clock in seconds
    :param find_lead: returns the work that a call's customer was given beyond the least served one
        that waits, in tokens; for the log
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        find_lead: Callable[[Demand], int] = lambda _: 0,
    ):
        self._clock = clock
        self._find_lead = find_lead
        self._schedule = ReturnSchedule(clock)
        self._expected = ExpectedReturns(clock)

    def recognise_return(self, waiting: Waiting) -> None:
        """Mark an arriving call that has a turn or is a retry of this gateway.

        A call with a turn goes before new calls of its urgency.

        :param waiting: the call
        """
        demand = waiting.demand
        if self._expected.take(*identify(demand)):
            waiting.waiter = advance_target(waiting.waiter, self._clock())
            waiting.returned = True
        elif demand.attempt > 1:
            waiting.returned = True

    def check(
        self,
        waiting: Waiting,
        candidates: Sequence[Candidate],
        find_token_s: Callable[[Candidate], float],
        has_room: Callable[[], bool],
    ) -> None:
        """Check whether a waiting call can still be complete in time.

        :param waiting: the call
        :param candidates: backend servers that may run it, at least one
        :param find_token_s: returns the present time per answer token at a candidate, in seconds
        :param has_room: returns whether a candidate has capacity for the call now
        :raises TargetHopeless: if its answer can't be complete by its deadline
        """
        now = self._clock()
        best = min(candidates, key=predict_first_event_s)
        best_s, token_s = predict_first_event_s(best), find_token_s(best)
        outlook = predict_outlook(candidates, waiting.ahead_tokens, best_s)
        if not waiting.returned and waiting.ahead_tokens:
            queue, _ = identify(waiting.demand)
            expected = self._expected.count_tokens(queue, outlook.queue_s)
            if expected:
                ahead_tokens = waiting.ahead_tokens + expected
                outlook = predict_outlook(candidates, ahead_tokens, best_s)
        if must_refuse(waiting.waiter, best_s, outlook, token_s, now, has_room):
            left_s = waiting.waiter.until_s - now
            raise TargetHopeless(
                f"{left_s:.2f} s remain until the deadline; {best.backend.name} would send the"
                f" first event in {best_s:.2f} s, after {best.reading_tokens} prompt tokens"
                f" of other calls, or in {outlook.first_event_s:.2f} s with"
                f" {waiting.ahead_tokens} prompt tokens of waiting calls, and the answer is"
                f" expected to have {waiting.waiter.answer_tokens} tokens",
                retry_after_s=self._find_return_s(waiting, outlook, token_s),
            )

    def reserve_permit_turn(self, demand: Demand, wait_s: float, rate_per_s: float) -> float:
        """Return after what time a call may return that no permit came in time for, in seconds.

        :param demand: requirements of the call
        :param wait_s: time until its turn if it returned alone, in seconds
        :param rate_per_s: permits granted per second
        """
        queue, _ = identify(demand)
        return self._schedule.reserve(("permits", queue), wait_s, rate_per_s)

    def _find_return_s(self, waiting: Waiting, outlook: Outlook, token_s: float) -> float:
        """Return after what time a refused call may return, in seconds.

        A call without a useful turn gets a time that its caller won't honour, so that it isn't
        refused once more.
        """
        queue, caller = identify(waiting.demand)
        now = self._clock()
        left_s = waiting.waiter.until_s - now
        rate_per_s = find_return_rate(outlook, waiting.fresh_tokens)
        latest_s = find_latest_return_s(waiting.waiter, token_s, now)
        turn_s = self._schedule.reserve_useful(queue, 1 / rate_per_s, rate_per_s, latest_s)
        if turn_s is not None:
            self._expected.add(queue, caller, turn_s, waiting.fresh_tokens)
        return_s = max(left_s, outlook.queue_s, FIRST_STEP_S) if turn_s is None else turn_s
        log.info(
            "turn_given" if turn_s is not None else "no_turn_left",
            request=waiting.demand.request,
            customer=waiting.demand.customer,
            urgency=waiting.demand.urgency,
            lead_tokens=self._find_lead(waiting.demand),
            ahead_tokens=waiting.ahead_tokens,
            drain_ms=round(outlook.queue_s * 1000),
            return_ms=round(return_s * 1000),
            returned=waiting.returned,
        )
        return return_s


def identify(demand: Demand) -> tuple[Hashable, Hashable]:
    """Return the queue of a call, and the values by which its return is recognised.

    Callers may send a new id, but the same prompt; new calls of a customer seldom have the same.

    :param demand: requirements of the call
    """
    parts = tuple(part.name for part in demand.parts)
    call = (demand.customer, demand.route, parts, demand.prompt_tokens, demand.answer_tokens)
    return (demand.service, demand.urgency), call
