"""Replay of customers' long prompts at one region's runners, in virtual time."""

from dataclasses import dataclass, field
from random import Random

from balsamtally.waiting import (
    RunnerCapacity,
    Waiter,
    cannot_meet_deadline,
    find_lead_time_s,
    has_capacity,
)

# Long prompts of the first deployment: 2,890 tokens not cached, 10 events of 5 tokens, a target of
# 2 s and a deadline of 6 s; a runner reads 41.4 tokens per ms.
PROMPT_TOKENS, ANSWER_TOKENS, TARGET_S, DEADLINE_S = 2_890, 50, 2.0, 6.0
TOKENS_PER_S = 41_400.0
PREFILL_S = PROMPT_TOKENS / TOKENS_PER_S
# Calls per second that one runner can read.
CAPACITY_PER_S = TOKENS_PER_S / PROMPT_TOKENS
STEP_S = 0.01


@dataclass
class Outcome:
    """What became of a customer's calls.

    :ivar sent: calls that it sent
    :ivar on_time: calls that began within their target
    :ivar begun_s: times at which its calls began
    :ivar refused: calls that were refused
    """

    sent: int = 0
    on_time: int = 0
    begun_s: list[float] = field(default_factory=list)
    refused: int = 0


def make_waiter(number, customer, at_s, urgency=2):
    lead_s = find_lead_time_s(PREFILL_S, TARGET_S)
    return Waiter(
        str(number), 2, urgency, at_s + TARGET_S, at_s + DEADLINE_S, ANSWER_TOKENS, PREFILL_S,
        lead_s, customer, PROMPT_TOKENS + ANSWER_TOKENS,
    )  # fmt: skip


def list_arrivals(rates, seconds, seed=11):
    """Return the times and customers of calls in order.

    The gaps vary between half and one and a half times their mean: a customer that keeps to its
    rate within any few seconds stays within its share, unlike one with exponential gaps.

    :param rates: returns the calls per second of a customer at a time
    """
    random, arrivals = Random(seed), []
    for customer, rate in rates.items():
        now = random.random() / (rate(0.0) or 1.0)
        while now < seconds:
            per_s = rate(now)
            now += random.uniform(0.5, 1.5) / per_s if per_s else STEP_S
            if per_s and now < seconds:
                arrivals.append((now, customer))
    return sorted(arrivals)


def simulate(arrivals, sort, record_placement=lambda waiter, now: None):
    """Replay calls at one runner; return the outcomes by customer.

    :param sort: sorts the waiting calls at a time
    :param record_placement: told of each placement
    """
    outcomes = {customer: Outcome() for _, customer in arrivals}
    pending, waiting, now, free_at_s = list(reversed(arrivals)), [], 0.0, 0.0
    while pending or waiting:
        while pending and pending[-1][0] <= now:
            at_s, customer = pending.pop()
            waiting.append(make_waiter(len(pending), customer, at_s))
            outcomes[customer].sent += 1
        for waiter in sort(waiting, now):
            backlog_s = max(0.0, free_at_s - now)
            outcome = outcomes[waiter.customer]
            late = waiter.target_at_s < now + waiter.lead_time_s
            if has_capacity(RunnerCapacity(backlog_s, 0, 64), waiter.tier, 1, late):
                free_at_s = now + backlog_s + PREFILL_S
                outcome.on_time += free_at_s <= waiter.target_at_s
                outcome.begun_s.append(free_at_s)
                record_placement(waiter, now)
                waiting.remove(waiter)
            elif cannot_meet_deadline(waiter, backlog_s + PREFILL_S, 0.036, now):
                outcome.refused += 1
                waiting.remove(waiter)
        now += STEP_S
    return outcomes
