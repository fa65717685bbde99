"""How calls wait for a model runner, and which of them are turned away.

Load pattern: a burst of long prompts beyond what the runners can read. An engine reads the prompts
of more urgent calls first and those of one rank in the order in which they came, so that a call
sent into a long backlog of its rank waits there while another runner may have room, and running
answers slow down. So only a short backlog is kept at each runner, and calls wait here instead: by
rank, and within a rank those first that can still be on time, nearest target first. Those that
can't are sent only where hardly anything is to be read. A call whose answer can't be whole at its
deadline is refused at once.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Backlog of prompt tokens, in seconds of reading, up to which a runner is sent more, by tier.
# Below the shortest target (1 s in the users' sheets), and above the 0.1 s between two beats of a
# peer, so that a runner doesn't run out of prompts meanwhile.
READ_AHEAD_S = (0.5, 0.3, 0.15)
# The same for a call that can't be on time any more: it takes what is left over.
LATE_READ_AHEAD_S = 0.1
# A call must be sent so many times the time that the prompts of its kind take to read before its
# target, but only a part of its target: others are read before it and beside it.
LEAD_TIME_FACTOR = 2.0
MAX_LEAD_TIME_SHARE = 0.5
# Part of a runner's memory that calls may be expected to take, by tier; the rest is for answers
# that grow longer than was hinted.
MEMORY_SHARE = (0.95, 0.9, 0.85)
# Part of its answer's expected time that must be left at the deadline for a call to be kept; hints
# of the length are right at the median only.
REQUIRED_ANSWER_SHARE = 0.7
# Time for one token of an answer where no prompts are read beside it; the users' sheets.
TOKEN_S = 0.006
# Time for which a burst that is there now is expected to go on; most take 3 to 9 s in all.
BURST_S = 3.0
# How much the time that its kind's prompts take to read puts a call back behind shorter ones.
LONG_PROMPT_PENALTY = 3.0


@dataclass(frozen=True)
class RunnerCapacity:
    """What a model runner has before it.

    :ivar reading_s: time that it takes to read the prompts that it was given, in seconds
    :ivar running: calls that it runs
    :ivar slots: calls that it runs side by side
    :ivar memory_tokens: tokens of its calls
    :ivar memory_limit_tokens: its memory, 0 where that isn't known
    """

    reading_s: float
    running: int
    slots: int
    memory_tokens: int = 0
    memory_limit_tokens: int = 0


@dataclass(frozen=True)
class Waiter:
    """A call that waits.

    :ivar id: id of the call
    :ivar tier: its priority tier, 0 is the highest
    :ivar urgency: its rank, 0 is the first; in the order of tiers, and finer
    :ivar target_at_s: steady clock by which its answer should begin, in seconds
    :ivar until_s: steady clock at its deadline, in seconds
    :ivar answer_tokens: tokens that its answer is expected to have
    :ivar prefill_s: time that the prompts of its kind take to read, in seconds
    :ivar lead_time_s: time before its target by which it must be sent to be on time, in seconds
    """

    id: str
    tier: int
    urgency: int
    target_at_s: float
    until_s: float
    answer_tokens: int = 0
    prefill_s: float = 0.0
    lead_time_s: float = 0.0


def find_lead_time_s(prefill_s: float, target_s: float) -> float:
    """Return how long before its target a call must be sent to be on time, in seconds.

    :param prefill_s: time that the prompts of its kind take to read, in seconds
    :param target_s: time from its arrival to its target, in seconds
    """
    return min(prefill_s * LEAD_TIME_FACTOR, target_s * MAX_LEAD_TIME_SHARE)


def will_miss_target(waiter: Waiter, now_s: float) -> bool:
    """Return whether a call can't be expected to be on time any more.

    :param waiter: the call
    :param now_s: steady clock in seconds
    """
    return waiter.target_at_s < now_s + waiter.lead_time_s


def has_capacity(capacity: RunnerCapacity, tier: int, tokens: int, late: bool = False) -> bool:
    """Return whether a runner may be sent a call now.

    The call's own prompt isn't counted as backlog, so that large ones don't starve.

    :param capacity: the runner
    :param tier: tier of the call
    :param tokens: tokens that it takes in memory
    :param late: whether it can't be on time any more
    """
    place = min(max(tier, 0), len(READ_AHEAD_S) - 1)
    ahead_s = LATE_READ_AHEAD_S if late else READ_AHEAD_S[place]
    if capacity.reading_s >= ahead_s or capacity.running >= capacity.slots:
        return False
    limit = capacity.memory_limit_tokens * MEMORY_SHARE[place]
    return not limit or not capacity.running or capacity.memory_tokens + tokens <= limit


def sort_waiters(waiters: Iterable[Waiter], now_s: float) -> list[Waiter]:
    """Return waiting calls in the order in which they are to go.

    :param waiters: the calls
    :param now_s: steady clock in seconds
    """

    def rank(waiter: Waiter) -> tuple[int, bool, float]:
        nearness_s = waiter.target_at_s + waiter.prefill_s * LONG_PROMPT_PENALTY
        return waiter.urgency, will_miss_target(waiter, now_s), nearness_s

    return sorted(waiters, key=rank)


def cannot_meet_deadline(
    waiter: Waiter, first_event_s: float, token_s: float, now_s: float
) -> bool:
    """Return whether a call has no chance to get its whole answer.

    :param waiter: the call
    :param first_event_s: time to its first event at the best runner if it were sent now, in seconds
    :param token_s: time for a token of an answer there now, in seconds
    :param now_s: steady clock in seconds
    """
    answer_s = predict_answer_s(waiter.answer_tokens * REQUIRED_ANSWER_SHARE, token_s)
    return now_s + first_event_s + answer_s >= waiter.until_s


def predict_answer_s(tokens: float, token_s: float) -> float:
    """Return the time that an answer takes once it has begun, in seconds.

    :param tokens: its tokens
    :param token_s: time for a token as long as the present burst goes on, in seconds
    """
    slow_tokens = min(tokens, BURST_S / token_s)
    return slow_tokens * token_s + (tokens - slow_tokens) * min(TOKEN_S, token_s)
