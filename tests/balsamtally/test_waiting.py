"""Queue order, admission and refusal of calls under overload."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtally.waiting import (
    BURST_S,
    LATE_READ_AHEAD_S,
    MEMORY_SHARE,
    READ_AHEAD_S,
    TOKEN_S,
    RunnerCapacity,
    Waiter,
    cannot_meet_deadline,
    find_lead_time_s,
    has_capacity,
    predict_answer_s,
    sort_waiters,
    will_miss_target,
)

READING_S = 0.036
WAITERS = st.lists(
    st.builds(
        Waiter,
        st.uuids().map(str),
        st.integers(0, 3),
        st.integers(0, 9),
        st.floats(0, 20),
        st.floats(10, 30),
        st.integers(0, 300),
        st.floats(0, 1),
        st.floats(0, 1),
    ),
    max_size=8,
)


@given(WAITERS)
def test_no_call_goes_before_a_more_urgent_one(waiters):
    ranks = [waiter.urgency for waiter in sort_waiters(waiters, 10.0)]
    assert ranks == sorted(ranks)


@given(WAITERS)
def test_calls_that_can_meet_their_target_go_before_those_of_their_urgency_that_cannot(waiters):
    late: dict[int, list[bool]] = {}
    for waiter in sort_waiters(waiters, 10.0):
        late.setdefault(waiter.urgency, []).append(waiter.target_at_s < 10.0 + waiter.lead_time_s)
    assert all(flags == sorted(flags) for flags in late.values())


@given(st.floats(0, 2), st.integers(0, 80), st.integers(0, 3), st.integers(0, 9))
def test_capacity_for_a_call_is_capacity_for_a_call_of_a_higher_tier(
    reading_s, running, tier, size
):
    capacity = RunnerCapacity(reading_s, running, 64, 100_000 * size, 1_000_000)
    if has_capacity(capacity, tier + 1, 5_000):
        assert has_capacity(capacity, tier, 5_000)


@given(st.floats(0, 2), st.integers(0, 3))
def test_capacity_for_a_late_call_is_capacity_for_a_call_that_can_meet_its_target(reading_s, tier):
    capacity = RunnerCapacity(reading_s, 3, 64)
    if has_capacity(capacity, tier, 5_000, late=True):
        assert has_capacity(capacity, tier, 5_000)


def test_calls_that_will_miss_their_target_get_only_spare_capacity():
    capacity = RunnerCapacity(LATE_READ_AHEAD_S, 3, 64)
    assert has_capacity(capacity, 0, 5_000) and not has_capacity(capacity, 0, 5_000, late=True)
    assert has_capacity(RunnerCapacity(0.0, 3, 64), 0, 5_000, late=True)


def test_no_call_counts_as_late_at_its_arrival():
    assert find_lead_time_s(0.3, 2.0) == pytest.approx(0.6)
    waiter = Waiter("a", 1, 3, 0.5, 5.0, lead_time_s=find_lead_time_s(9.0, 0.5))
    assert not will_miss_target(waiter, 0.0) and will_miss_target(waiter, 0.3)


def test_capacity_depends_on_backlog_slots_and_memory():
    assert has_capacity(RunnerCapacity(0.0, 0, 64), 9, 10**9)
    assert not has_capacity(RunnerCapacity(READ_AHEAD_S[2], 0, 64), 2, 1)
    assert has_capacity(RunnerCapacity(READ_AHEAD_S[2], 0, 64), 0, 1)
    assert not has_capacity(RunnerCapacity(0.0, 64, 64), 0, 1)
    limit = int(100_000 * MEMORY_SHARE[2])
    assert not has_capacity(RunnerCapacity(0.0, 5, 64, limit, 100_000), 2, 1)
    assert has_capacity(RunnerCapacity(0.0, 0, 64, 0, 100_000), 2, 200_000)


def test_call_cannot_meet_its_deadline_with_little_time_or_with_a_slow_answer():
    waiter = Waiter("a", 1, 3, 1.0, 5.0, 150)
    assert not cannot_meet_deadline(waiter, 0.2, TOKEN_S, 0.0)
    assert cannot_meet_deadline(waiter, 0.2, READING_S, 1.8)
    assert not cannot_meet_deadline(waiter, 0.2, TOKEN_S, 1.8)
    assert cannot_meet_deadline(waiter, 0.2, TOKEN_S, 4.9)


def test_long_answer_speeds_up_after_the_burst():
    slow = int(BURST_S / READING_S)
    assert predict_answer_s(1000, READING_S) < BURST_S + 1000 * TOKEN_S
    assert predict_answer_s(slow, READING_S) > 5 * predict_answer_s(slow, TOKEN_S)


def simulate_burst(queue_calls, one_customer_tier=False):
    """Simulate a burst of long prompts and short urgent ones at one runner that reads in order.

    :param queue_calls: whether calls wait in the queue of the entry VM instead of at the runner
    :param one_customer_tier: whether all calls have the same tier and differ only in urgency
    :return: shares of the urgent calls and of all calls that begin within their target
    """
    random = Random(11)
    calls = []
    urgent_ids = set()
    for number in range(240):
        at = number / 30
        urgent = random.random() < 0.3
        prefill_s = 0.015 if urgent else random.uniform(0.02, 0.09)
        target_s = 1.2 if urgent else 2.0
        tier = 0 if urgent else 2
        waiter = Waiter(
            str(number), 1 if one_customer_tier else tier, tier, at + target_s, at + 5.0
        )
        calls.append((at, waiter, prefill_s))
        if urgent:
            urgent_ids.add(waiter.id)
    free_at, waiting, begun, queue = 0.0, {}, {}, [*calls]
    now = 0.0
    while queue or waiting:
        while queue and queue[0][0] <= now:
            at, waiter, prefill_s = queue.pop(0)
            waiting[waiter.id] = (waiter, prefill_s)
        ordered = (
            sort_waiters((waiter for waiter, _ in waiting.values()), now)
            if queue_calls
            else [waiter for waiter, _ in waiting.values()]
        )
        for waiter in ordered:
            capacity = RunnerCapacity(max(0.0, free_at - now), 0, 64)
            if queue_calls and not has_capacity(capacity, waiter.tier, 1):
                continue
            if queue_calls and cannot_meet_deadline(waiter, free_at - now, READING_S, now):
                del waiting[waiter.id]
                continue
            free_at = max(now, free_at) + waiting.pop(waiter.id)[1]
            begun[waiter.id] = free_at
        now += 0.01
    on_time = {
        waiter.id: begun.get(waiter.id, 99.0) <= waiter.target_at_s for _, waiter, _ in calls
    }
    urgent = [on_time[call_id] for call_id in urgent_ids]
    return sum(urgent) / len(urgent), sum(on_time.values()) / len(on_time)


def test_burst_of_long_prompts_makes_no_urgent_call_miss_its_target():
    urgent, all_calls = simulate_burst(queue_calls=True)
    naive_urgent, naive_all = simulate_burst(queue_calls=False)
    assert urgent == 1.0 > naive_urgent
    assert all_calls > naive_all


def test_burst_of_a_customers_long_prompts_makes_none_of_its_urgent_calls_miss_its_target():
    urgent, all_calls = simulate_burst(queue_calls=True, one_customer_tier=True)
    naive_urgent, naive_all = simulate_burst(queue_calls=False, one_customer_tier=True)
    assert urgent == 1.0 > naive_urgent
    assert all_calls > naive_all
