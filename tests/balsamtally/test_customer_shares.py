"""Fairness between waiting customers, and the unchanged order where only one waits."""

import time
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtally.customer_shares import CustomerShares
from balsamtally.waiting import Waiter, sort_waiters, will_miss_target
from tests.balsamtally.customer_load import (
    CAPACITY_PER_S,
    PROMPT_TOKENS,
    list_arrivals,
    make_waiter,
    simulate,
)

WAITERS = st.lists(
    st.builds(
        Waiter,
        st.uuids().map(str),
        st.integers(0, 3),
        st.integers(0, 3),
        st.floats(0, 20),
        st.floats(10, 30),
        st.integers(0, 300),
        st.floats(0, 1),
        st.floats(0, 1),
        st.sampled_from("abc"),
        st.integers(0, 30_000),
    ),
    max_size=12,
)
PLACEMENTS = st.lists(
    st.tuples(st.integers(0, 3), st.sampled_from("abc"), st.integers(0, 30_000)), max_size=12
)


class FairLoad:
    """Sorts waiting calls fairly and counts their placements."""

    def __init__(self):
        self.shares = CustomerShares()

    def sort(self, waiters, now):
        return self.shares.sort("desk", waiters, now)

    def record_placement(self, waiter, now):
        self.shares.record_placement(
            "desk", waiter.urgency, waiter.customer, waiter.work_tokens, now
        )

    def simulate(self, arrivals):
        return simulate(arrivals, self.sort, self.record_placement)


def make_burst(others, share=1.0, seed=11):
    """Return calls of customers at their usual load, and of one at 7.5 times its usual load.

    The usual load of all is 0.95 of the capacity.
    """
    usual = CAPACITY_PER_S * 0.95 / (others + 1) * share
    rates = {f"c{number}": lambda _: usual for number in range(others)}
    rates["big"] = lambda now: usual * (7.5 if now > 2.0 else 1.0)
    return list_arrivals(rates, 12.0, seed)


def find_share(outcomes, customers):
    sent = sum(outcomes[customer].sent for customer in customers)
    return sum(outcomes[customer].on_time for customer in customers) / sent


@given(WAITERS, PLACEMENTS)
def test_order_is_as_before_where_one_customer_waits_in_each_urgency(waiters, placements):
    """Differential test against the order without customers."""
    shares = CustomerShares()
    for urgency, customer, tokens in placements:
        shares.record_placement("desk", urgency, customer, tokens, 9.9)
    alone = [replace(waiter, customer="abca"[waiter.urgency]) for waiter in waiters]
    assert shares.sort("desk", alone, 10.0) == sort_waiters(alone, 10.0)


@given(WAITERS, PLACEMENTS)
def test_urgencies_lateness_and_each_customers_own_order_are_kept(waiters, placements):
    shares = CustomerShares()
    for urgency, customer, tokens in placements:
        shares.record_placement("desk", urgency, customer, tokens, 9.9)
    ordered = shares.sort("desk", waiters, 10.0)
    classes = [(waiter.urgency, will_miss_target(waiter, 10.0)) for waiter in ordered]
    assert classes == sorted(classes)
    for customer in "abc":
        own = [waiter for waiter in waiters if waiter.customer == customer]
        assert [w for w in ordered if w.customer == customer] == sort_waiters(own, 10.0)


@pytest.mark.parametrize("seed", range(5))
def test_customer_at_7_5_times_its_load_takes_nothing_from_ten_others(seed):
    """Guards against a burst of one customer that makes the calls of all miss their target."""
    arrivals = make_burst(10, seed=seed)
    others = [f"c{number}" for number in range(10)]
    fair, plain = FairLoad().simulate(arrivals), simulate(arrivals, sort_waiters)
    assert find_share(fair, others) > 0.97 > 0.8 > find_share(plain, others)
    assert sum(fair[customer].refused for customer in others) == 0
    # What the others leave goes to the burst: the runner reads all the time.
    begun = sum(4.0 <= at_s < 12.0 for each in fair.values() for at_s in each.begun_s)
    assert begun >= 0.98 * 8.0 * CAPACITY_PER_S


@pytest.mark.parametrize("seed", range(3))
def test_regions_that_do_not_hear_each_other_are_fair_each_by_itself(seed):
    """Each coordinator counts what it placed; half of the customers' calls arrive at each."""
    arrivals = make_burst(10, 2.0, seed)
    others = [f"c{number}" for number in range(10)]
    for region in (arrivals[::2], arrivals[1::2]):
        assert find_share(FairLoad().simulate(region), others) > 0.97


def test_restarted_coordinator_is_fair_from_the_first_pass_on():
    arrivals = make_burst(10)
    load = FairLoad()

    def sort(waiters, now):
        if 6.0 <= now < 6.005:
            load.shares = CustomerShares()
        return load.sort(waiters, now)

    outcomes = simulate(arrivals, sort, load.record_placement)
    assert find_share(outcomes, [f"c{number}" for number in range(10)]) > 0.97


def test_unused_share_is_lent_at_once_and_back_when_its_customer_returns():
    """Guards against credit for idle time and against debt for the use of idle shares."""
    rates = {
        "steady": lambda _: 2 * CAPACITY_PER_S,
        "returning": lambda now: 0 if 3.0 < now < 8.0 else 2 * CAPACITY_PER_S,
    }
    outcomes = FairLoad().simulate(list_arrivals(rates, 14.0))

    def count(customer, since_s, until_s):
        return sum(since_s <= at_s < until_s for at_s in outcomes[customer].begun_s)

    # The returning customer's last calls wait for up to 6 s, so that its share is idle from 7 s on.
    assert count("steady", 7.0, 8.0) >= 0.9 * CAPACITY_PER_S
    for customer in ("steady", "returning"):
        assert count(customer, 8.5, 9.5) == pytest.approx(CAPACITY_PER_S / 2, abs=2.5)
        assert count(customer, 9.5, 11.5) == pytest.approx(CAPACITY_PER_S, abs=3.5)


def test_work_given_long_ago_no_longer_counts():
    shares = CustomerShares()
    shares.record_placement("desk", 2, "a", 100 * PROMPT_TOKENS, 0.0)
    waiters = [make_waiter(1, "a", 0.0), make_waiter(2, "b", 0.1)]
    assert [each.customer for each in shares.sort("desk", waiters, 0.1)] == ["b", "a"]
    assert shares.find_lead("desk", 2, "a") > 80 * PROMPT_TOKENS
    waiters = [make_waiter(1, "a", 6.0), make_waiter(2, "b", 6.1)]
    assert [each.customer for each in shares.sort("desk", waiters, 6.1)] == ["a", "b"]


def test_work_and_not_the_number_of_calls_is_shared():
    shares, given_tokens = CustomerShares(), {"short": 0, "long": 0}
    sizes = {"short": 1_000, "long": 10_000}
    for number in range(200):
        waiters = [
            replace(make_waiter(number, customer, 0.0), work_tokens=size)
            for customer, size in sizes.items()
            for _ in range(30)
        ]
        first = shares.sort("desk", waiters, 0.0)[0]
        shares.record_placement("desk", 2, first.customer, first.work_tokens, 0.0)
        given_tokens[first.customer] += first.work_tokens
    assert abs(given_tokens["short"] - given_tokens["long"]) <= 20_000


def test_pass_over_some_hundred_waiting_calls_takes_little_processor_time():
    """A pass runs every 10 ms at most; the bound leaves room for a busy machine."""
    random = Random(3)
    waiters = [make_waiter(n, f"c{random.randrange(24)}", n / 100) for n in range(400)]
    shares = CustomerShares()
    best_s = min(time_sort(shares, waiters) for _ in range(10))
    plain_s = min(time_plain_sort(waiters) for _ in range(10))
    assert best_s < max(6 * plain_s, 0.002)


def time_sort(shares, waiters):
    start_s = time.process_time()
    shares.sort("desk", waiters, 1.0)
    return time.process_time() - start_s


def time_plain_sort(waiters):
    start_s = time.process_time()
    sort_waiters(waiters, 1.0)
    return time.process_time() - start_s
