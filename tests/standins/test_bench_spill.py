"""Tests of the spillover simulation: the weights of two deployments lead to different results."""

import pytest
import structlog

from standins.bench_spill import run_weights


@pytest.fixture(autouse=True)
def quiet_logs():
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    yield
    structlog.reset_defaults()


def test_weights_trade_live_attainment_for_bytes_between_regions():
    results = {
        name: run_weights(name, cut=False, seed=1) for name in ("none", "medanos_libres", "board")
    }
    live = {name: result["attainment"]["live"] for name, result in results.items()}
    sent = {name: sum(result["region_bytes"].values()) for name, result in results.items()}
    assert live["medanos_libres"] > live["board"] >= live["none"] + 0.10
    assert 0 < sent["board"] <= 0.5 * sent["medanos_libres"]
    assert sent["none"] == 0
    for result in results.values():
        assert set(result["unfinished"].values()) == {0}
        assert result["attainment"]["batch"] == 1.0
