"""Tests of latency targets and goodput in simulated runs with bursts and faults."""

import pytest
import structlog

from standins.policy_choices import POLICIES
from standins.policy_run import SCENARIOS, Run


@pytest.fixture(autouse=True)
def quiet_logs():
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    yield
    structlog.reset_defaults()


@pytest.mark.parametrize("name", ["burst", "burst_2_runners", "coordinator_replaced"])
def test_live_class_meets_its_target_under_a_burst(name):
    scenario = next(scenario for scenario in SCENARIOS if scenario.name == name)
    results = {policy: Run(scenario, make, 1).run() for policy, make in POLICIES.items()}
    ours = results.pop("pool_queue")
    del results["four_pool_queues"]
    baselines = results.values()
    live = max(result["attainment"]["live"] for result in baselines)
    goodput = max(result["goodput_tokens_per_s"] for result in baselines)
    assert ours["attainment"]["live"] >= max(0.99, live + 0.10)
    assert ours["goodput_tokens_per_s"] >= 0.98 * goodput
    assert ours["wasted_share"] <= 0.02
    assert set(ours["unfinished"].values()) == {0}
    assert ours["refused"]["live"] == 0


@pytest.mark.parametrize("name", ["slow_runner", "crash", "lagging_reports"])
def test_live_class_meets_its_target_when_a_runner_or_its_reports_fail(name):
    scenario = next(scenario for scenario in SCENARIOS if scenario.name == name)
    ours = Run(scenario, POLICIES["pool_queue"], 2).run()
    assert ours["attainment"]["live"] >= 0.99
    assert set(ours["unfinished"].values()) == {0}
