"""Tests of the retry budgets."""

import pytest

from balsamtally.retries import MAX_BURST_RETRIES, RetryBudget


@pytest.mark.parametrize("share", [0.0, 0.1, 0.5])
def test_outage_multiplies_the_load_by_no_more_than_the_share(share):
    now = [0.0]
    budget = RetryBudget(lambda: share, floor_per_s=0.1, clock=lambda: now[0])
    requests, attempts = 10_000, 0
    for _ in range(requests):
        now[0] += 0.01
        budget.record_request("live", "m")
        attempts += 1
        while budget.take("live", "m"):
            attempts += 1
            assert attempts <= 2 * requests
    allowed = requests * (1 + share) + now[0] * 0.1 + MAX_BURST_RETRIES
    assert allowed - 2 <= attempts <= allowed
    assert sum(budget.take("summary", "m") for _ in range(100)) == MAX_BURST_RETRIES


def test_quiet_time_saves_up_few_retries():
    now = [0.0]
    budget = RetryBudget(lambda: 0.1, clock=lambda: now[0])
    budget.record_request("live", "m")
    now[0] = 1e6
    assert sum(budget.take("live", "m") for _ in range(100)) == MAX_BURST_RETRIES
