"""Queue order, admission to a model runner, and refusal of calls that can't meet their deadline.

Load pattern: a burst of long prompts that exceeds the prefill capacity of the runners.

An engine reads prompts in order of urgency, and in order of arrival within one urgency. A call that
is sent into a long backlog of its urgency waits there although another runner may have capacity,
and the running answers slow down. Therefore each runner gets only a short backlog, and the other
calls wait in the entry VM's queue. The queue is ordered by urgency; within one urgency, calls that
can still begin within their target go first, the nearest target first. Calls that can't are sent
only to runners with almost no backlog. A call whose answer can't be complete at its deadline is
refused at once.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Prefill backlog, in seconds of reading, up to which a runner is sent more calls, by tier. It is
# below the shortest configured target (1 s), and above the 0.1 s between two heartbeats of a peer,
# so that a runner doesn't run out of prompts in between.
READ_AHEAD_S = (0.5, 0.3, 0.15)
# The same limit for a call that will miss its target: it gets only spare capacity.
LATE_READ_AHEAD_S = 0.1
# A call must be sent earlier than its target by this multiple of its route's prefill time, since
# other prompts are read before it and concurrently; at most by this share of the target.
LEAD_TIME_FACTOR = 2.0
MAX_LEAD_TIME_SHARE = 0.5
# Share of a runner's memory that the expected size of its calls may take, by tier; the rest is left
# for answers that become longer than their hint.
MEMORY_SHARE = (0.95, 0.9, 0.85)
# A call is refused if less than this share of its answer's expected duration fits before its
# deadline; length hints are right only at the median.
REQUIRED_ANSWER_SHARE = 0.7
# Time per answer token if no prompts are read concurrently; from the operators' data sheets.
TOKEN_S = 0.006
# Expected remaining duration of a present burst; most bursts take 3 to 9 s in total.
BURST_S = 3.0
# Multiple of its route's prefill time by which a call's target is treated as later, so that calls
# with shorter prompts go first.
LONG_PROMPT_PENALTY = 3.0


@dataclass(frozen=True)
class RunnerCapacity:
    """The occupancy and limits of a model runner.

    :ivar reading_s: time to read the prompts queued on it, in seconds
    :ivar running: calls that run on it
    :ivar slots: calls that it can run concurrently
    :ivar memory_tokens: tokens that its calls take in memory
    :ivar memory_limit_tokens: size of its memory in tokens, 0 if unknown
    """

    reading_s: float
    running: int
    slots: int
    memory_tokens: int = 0
    memory_limit_tokens: int = 0


@dataclass(frozen=True)
class Waiter:
    """A waiting call.

    :ivar id: id of the call
    :ivar tier: priority tier, 0 is the highest
    :ivar urgency: rank among all calls, 0 is the first; a finer division of the tiers
    :ivar target_at_s: monotonic clock by which the answer should begin, in seconds
    :ivar until_s: monotonic clock at the deadline, in seconds
    :ivar answer_tokens: expected tokens of the answer
    :ivar prefill_s: average prefill time of the prompts of its route, in seconds
    :ivar lead_time_s: time before the target by which the call must be sent, in seconds
    :ivar customer: name of the customer, empty on a public route
    :ivar work_tokens: prompt tokens to be read and expected answer tokens
    :ivar target_s: time from the call's arrival to its target, in seconds
    """

    id: str
    tier: int
    urgency: int
    target_at_s: float
    until_s: float
    answer_tokens: int = 0
    prefill_s: float = 0.0
    lead_time_s: float = 0.0
    customer: str = ""
    work_tokens: int = 0
    target_s: float = 0.0


def find_lead_time_s(prefill_s: float, target_s: float) -> float:
    """Return how long before its target a call must be sent to meet the target, in seconds.

    :param prefill_s: average prefill time of the prompts of its route, in seconds
    :param target_s: time from the call's arrival to its target, in seconds
    """
    return min(prefill_s * LEAD_TIME_FACTOR, target_s * MAX_LEAD_TIME_SHARE)


def will_miss_target(waiter: Waiter, now_s: float) -> bool:
    """Return whether a call is no longer expected to meet its target.

    :param waiter: the call
    :param now_s: monotonic clock in seconds
    """
    return waiter.target_at_s < now_s + waiter.lead_time_s


def has_capacity(capacity: RunnerCapacity, tier: int, tokens: int, late: bool = False) -> bool:
    """Return whether a runner may be sent a call now.

    The call's own prompt isn't counted as backlog, so that calls with long prompts don't starve.

    :param capacity: occupancy and limits of the runner
    :param tier: priority tier of the call
    :param tokens: tokens that the call takes in memory
    :param late: whether the call will miss its target
    """
    tier_index = min(max(tier, 0), len(READ_AHEAD_S) - 1)
    ahead_s = LATE_READ_AHEAD_S if late else READ_AHEAD_S[tier_index]
    if capacity.reading_s >= ahead_s or capacity.running >= capacity.slots:
        return False
    limit = capacity.memory_limit_tokens * MEMORY_SHARE[tier_index]
    return not limit or not capacity.running or capacity.memory_tokens + tokens <= limit


def find_effective_target_s(waiter: Waiter) -> float:
    """Return the target by which calls of one urgency are ordered, in seconds of the clock.

    :param waiter: the call
    """
    return waiter.target_at_s + waiter.prefill_s * LONG_PROMPT_PENALTY


def sort_waiters(waiters: Iterable[Waiter], now_s: float) -> list[Waiter]:
    """Return waiting calls in the order in which they are placed.

    :param waiters: the calls
    :param now_s: monotonic clock in seconds
    """

    def rank(waiter: Waiter) -> tuple[int, bool, float]:
        late = will_miss_target(waiter, now_s)
        return waiter.urgency, late, find_effective_target_s(waiter)

    return sorted(waiters, key=rank)


def cannot_meet_deadline(
    waiter: Waiter, first_event_s: float, token_s: float, now_s: float
) -> bool:
    """Return whether a call's answer can't be complete at its deadline.

    :param waiter: the call
    :param first_event_s: expected time to the first event at the fastest runner, in seconds
    :param token_s: present time per answer token at that runner, in seconds
    :param now_s: monotonic clock in seconds
    """
    answer_s = predict_answer_s(waiter.answer_tokens * REQUIRED_ANSWER_SHARE, token_s)
    return now_s + first_event_s + answer_s >= waiter.until_s


def predict_answer_s(tokens: float, token_s: float) -> float:
    """Return the duration of an answer from its first event on, in seconds.

    :param tokens: length of the answer in tokens
    :param token_s: time per token during the present burst, in seconds
    """
    slow_tokens = min(tokens, BURST_S / token_s)
    return slow_tokens * token_s + (tokens - slow_tokens) * min(TOKEN_S, token_s)
