"""Refusals: as early as certain, never beside free capacity, with a true time to return."""

import heapq
from random import Random

import pytest
from gevent.event import Event

from balsamtally.assessment import make_waiter
from balsamtally.calls import PromptPart
from balsamtally.demands import Demand
from balsamtally.errors import TargetHopeless
from balsamtally.refusals import (
    HONOURED_SHARE,
    Refusals,
    must_refuse,
    predict_outlook,
)
from balsamtally.selection import Candidate, predict_first_event_s
from balsamtally.waiting import (
    TOKEN_S,
    RunnerCapacity,
    cannot_meet_deadline,
    has_capacity,
    sort_waiters,
    will_miss_target,
)
from balsamtally.waiting_calls import Waiting, WorkAhead
from tests.balsamtally.customer_load import (
    ANSWER_TOKENS,
    CAPACITY_PER_S,
    DEADLINE_S,
    PREFILL_S,
    PROMPT_TOKENS,
    STEP_S,
    TARGET_S,
    TOKENS_PER_S,
)
from tests.balsamtally.scripted import make_backend

RUNNERS = 2
# Passes after which a waiting call is checked again, 0.1 s.
RECHECK_PASSES = 10
# Time per answer token beside long prompts in the first deployment, in seconds.
READING_TOKEN_S = 0.036


def make_demand(number, at_s, until_s, customer="", parts=(), regions=None):
    tokens = sum(part.tokens for part in parts) or PROMPT_TOKENS
    return Demand(
        str(number), "long", "desk", 1, 2, 2, at_s, TARGET_S, until_s, parts=parts,
        prompt_tokens=tokens, answer_tokens=ANSWER_TOKENS, customer=customer,
        allowed_regions=regions,
    )  # fmt: skip


def make_waiting(demand):
    return Waiting(demand, make_waiter(demand, PREFILL_S), Event())


def make_candidate(name, reading_tokens=0):
    return Candidate(
        make_backend(name, slots=64),
        True,
        reading_tokens=int(reading_tokens),
        fresh_tokens=PROMPT_TOKENS,
        tokens_per_s=TOKENS_PER_S,
    )


def test_without_waiting_calls_the_outlook_is_that_of_the_best_runner():
    candidates = [make_candidate("a", 9_000), make_candidate("b", 40_000)]
    outlook = predict_outlook(candidates, 0)
    assert outlook.first_event_s == predict_first_event_s(candidates[0])
    more = predict_outlook(candidates, 400_000)
    assert more.first_event_s > 400_000 / (2 * TOKENS_PER_S) > outlook.first_event_s


def test_call_is_refused_for_the_calls_before_it_but_never_beside_free_capacity():
    """Guards against refusals that send callers away while runners have free capacity."""
    candidates = [make_candidate("a", 9_000)]
    waiter = make_waiting(make_demand(1, 0.0, 3.0)).waiter
    best_s = predict_first_event_s(candidates[0])
    far, near = predict_outlook(candidates, 400_000), predict_outlook(candidates, 1_000)
    assert must_refuse(waiter, best_s, far, TOKEN_S, 0.0, lambda: False)
    assert not must_refuse(waiter, best_s, far, TOKEN_S, 0.0, lambda: True)
    assert not must_refuse(waiter, best_s, near, TOKEN_S, 0.0, lambda: False)
    assert must_refuse(waiter, 3.0, near, TOKEN_S, 0.0, lambda: True)


@pytest.mark.parametrize("reading_tokens", [0, 9_000, 60_000, 200_000])
@pytest.mark.parametrize("left_s", [0.1, 0.5, 1.0, 3.0, 6.0])
def test_refusals_are_as_before_where_no_call_waits_before(reading_tokens, left_s):
    """Differential test against the former check, which knew only the best runner."""
    candidates = [make_candidate("a", reading_tokens), make_candidate("b", 2 * reading_tokens)]
    waiting = make_waiting(make_demand(1, 100.0, 100.0 + left_s))
    first_event_s = predict_first_event_s(candidates[0])
    former = cannot_meet_deadline(waiting.waiter, first_event_s, TOKEN_S, 100.0)
    refused = False
    try:
        Refusals(lambda: 100.0).check(waiting, candidates, lambda best: TOKEN_S, lambda: False)
    except TargetHopeless as error:
        refused = True
        assert error.retry_after_s > 0
    assert refused == former


def test_shared_prompt_parts_of_waiting_calls_count_once():
    """Guards against refusals for prompts that are cached by the time they are read."""
    parts = (PromptPart("shared", 6_300), PromptPart("own", 2_890))
    work_ahead = WorkAhead()
    waiting = [make_waiting(make_demand(n, 0.0, 6.0, parts=parts)) for n in range(3)]
    for each in waiting:
        work_ahead.add(each)
    assert [each.ahead_tokens for each in waiting] == [0, 9_190, 12_080]


def test_calls_that_may_go_elsewhere_are_not_counted_before_a_call_with_a_regional_limit():
    work_ahead = WorkAhead()
    limits = [None, frozenset("a"), frozenset("ab"), frozenset("a"), None]
    waiting = [make_waiting(make_demand(n, 0.0, 6.0, regions=r)) for n, r in enumerate(limits)]
    for each in waiting:
        work_ahead.add(each)
    counts = [each.ahead_tokens // PROMPT_TOKENS for each in waiting]
    assert counts == [0, 0, 1, 1, 4]


class Burst:
    """Replays a burst of long prompts whose refused callers return.

    :param former: whether calls are refused and told to return as before this module
    """

    def __init__(self, seed, former=False, load=2.3, burst_s=9.0):
        self.random, self.former = Random(seed), former
        self.now, self.free_at_s = 100.0, [0.0] * RUNNERS
        self.refusals = Refusals(lambda: self.now)
        self.waiting, self.served, self.refused, self.gave_up = [], set(), {}, set()
        self.refused_beside_capacity, self.waits_s = 0, []
        self.arrivals, at_s, number = [], 100.0, 0
        while at_s < 100.0 + burst_s + 6.0:
            rate = RUNNERS * CAPACITY_PER_S * (load if at_s < 100.0 + burst_s else 0.8)
            at_s += self.random.expovariate(rate)
            self.arrivals.append((at_s, number, at_s + DEADLINE_S))
            number += 1
        self.count = number

    def list_candidates(self):
        backlogs = [max(0.0, at_s - self.now) for at_s in self.free_at_s]
        return [make_candidate(str(n), s * TOKENS_PER_S) for n, s in enumerate(backlogs)]

    def has_room(self, waiter):
        late = will_miss_target(waiter, self.now)
        return any(
            has_capacity(RunnerCapacity(max(0.0, at_s - self.now), 0, 64), waiter.tier, 1, late)
            for at_s in self.free_at_s
        )

    def run(self):
        heapq.heapify(self.arrivals)
        while self.arrivals or self.waiting:
            while self.arrivals and self.arrivals[0][0] <= self.now:
                at_s, number, until_s = heapq.heappop(self.arrivals)
                waiting = make_waiting(
                    make_demand(
                        number,
                        at_s,
                        until_s,
                        f"c{number % 11}",
                        (PromptPart(f"p{number}", PROMPT_TOKENS),),
                    )
                )
                self.refusals.recognise_return(waiting)
                self.waiting.append(waiting)
            self.run_pass()
            self.now += STEP_S
        return self

    def run_pass(self):
        by_id = {id(each.waiter): each for each in self.waiting}
        work_ahead = WorkAhead()
        for waiter in sort_waiters([each.waiter for each in self.waiting], self.now):
            waiting = by_id[id(waiter)]
            if self.has_room(waiter):
                runner = self.free_at_s.index(min(self.free_at_s))
                self.free_at_s[runner] = max(self.now, self.free_at_s[runner]) + PREFILL_S
                self.served.add(waiting.demand.request)
                self.waiting.remove(waiting)
                continue
            work_ahead.add(waiting)
            age = round((self.now - waiting.demand.arrived_s) / STEP_S)
            if age % RECHECK_PASSES:
                continue
            candidates = self.list_candidates()
            try:
                self.check(waiting, candidates)
            except TargetHopeless as error:
                self.waiting.remove(waiting)
                self.refused_beside_capacity += self.has_room(waiter)
                self.waits_s.append(self.now - waiting.demand.arrived_s)
                self.come_back(waiting.demand, error.retry_after_s)

    def check(self, waiting, candidates):
        if not self.former:
            self.refusals.check(
                waiting,
                candidates,
                lambda best: READING_TOKEN_S,
                lambda: self.has_room(waiting.waiter),
            )
            return
        first_event_s = min(predict_first_event_s(each) for each in candidates)
        if cannot_meet_deadline(waiting.waiter, first_event_s, READING_TOKEN_S, self.now):
            raise TargetHopeless("", first_event_s + self.random.uniform(0, 0.5))

    def come_back(self, demand, in_s):
        self.refused[demand.request] = self.refused.get(demand.request, 0) + 1
        if in_s > (demand.until_s - self.now) * HONOURED_SHARE:
            self.gave_up.add(demand.request)
            return
        heapq.heappush(self.arrivals, (self.now + in_s, int(demand.request), demand.until_s))

    @property
    def again(self):
        """Calls that were refused more than once."""
        return sum(times > 1 for times in self.refused.values())


@pytest.mark.parametrize("seed", range(2))
def test_burst_at_2_3_times_capacity_refuses_few_calls_again(seed):
    """Guards against callers that return in vain, and against refusals beside free capacity."""
    former, burst = Burst(seed, former=True).run(), Burst(seed).run()
    assert burst.refused_beside_capacity == 0
    assert len(burst.served) >= len(former.served)
    assert burst.again < 0.6 * former.again
    assert sum(burst.refused.values()) < sum(former.refused.values())
    # Former refusals let no caller return in time.
    assert len(burst.served & set(burst.refused)) > len(former.served & set(former.refused))


def test_gateways_that_do_not_hear_each_other_hand_out_turns_each_by_itself():
    """Guards against turns that depend on another region or on a former coordinator."""
    candidates = [make_candidate("a", 200_000)]
    now = 100.0
    first, other = Refusals(lambda: now), Refusals(lambda: now)
    demand = make_demand(1, 100.0, 106.0, "c", (PromptPart("p", PROMPT_TOKENS),))
    waiting = make_waiting(demand)
    waiting.ahead_tokens = 300_000
    with pytest.raises(TargetHopeless) as refused:
        first.check(waiting, candidates, lambda best: TOKEN_S, lambda: False)
    now += refused.value.retry_after_s
    for refusals, returned in ((other, False), (first, True), (first, False)):
        back = make_waiting(demand)
        refusals.recognise_return(back)
        assert back.returned == returned


def test_call_that_cannot_be_served_in_time_is_told_a_time_that_its_caller_does_not_honour():
    """Guards against a second refusal of a call without any hope."""
    waiting = make_waiting(make_demand(1, 100.0, 101.0))
    with pytest.raises(TargetHopeless) as refused:
        Refusals(lambda: 100.0).check(
            waiting, [make_candidate("a", 200_000)], lambda best: TOKEN_S, lambda: False
        )
    assert refused.value.retry_after_s > 1.0 * HONOURED_SHARE
