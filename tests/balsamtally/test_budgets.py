"""Tests of the fleet's retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from balsamtally.budgets import BudgetRule, FleetBudget

RULE = BudgetRule(ratio=0.2, allowance=56, window_s=10)
STEPS = st.lists(
    st.tuples(st.sampled_from(["request", "retry", "wait"]), st.integers(0, 2), st.integers(1, 30)),
    max_size=60,
)


@given(STEPS)
def test_fleet_stays_within_its_budget_in_any_window(steps):
    now = [0.0]
    fleet = [FleetBudget(RULE, lambda: 3, lambda: now[0]) for _ in range(3)]
    requests, retries = [], []
    for kind, vm, count in steps:
        if kind == "wait":
            now[0] += count / 4
        for _ in range(count if kind != "wait" else 0):
            if kind == "request":
                fleet[vm].record_request("s")
                requests.append(now[0])
            elif fleet[vm].take("s"):
                retries.append(now[0])
    for end in retries:
        used = sum(end - RULE.window_s <= at <= end for at in retries)
        asked = sum(end - RULE.window_s <= at <= end for at in requests)
        assert used <= RULE.ratio * asked + RULE.allowance


def test_share_of_one_vm_depends_on_its_view_of_the_membership():
    members = [8]
    budget = FleetBudget(RULE, lambda: members[0], lambda: 0.0)
    shared = budget.find_limit("s")
    assert shared * 8 <= RULE.allowance
    members[0] = 0
    assert budget.find_limit("s") == 0 and not budget.take("s")
    for _ in range(100):
        budget.record_request("s")
    assert 0 < budget.find_limit("s") <= 20


def test_services_have_separate_budgets():
    budget = FleetBudget(RULE, lambda: 8, lambda: 0.0)
    while budget.take("a"):
        pass
    assert budget.take("b")
