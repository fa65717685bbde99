"""Tests of the metrics of a gateway."""

from balsamtally.call_metrics import MAX_CUSTOMERS, OTHER_CUSTOMERS, CallGauges, CallMetrics


def test_rendered_metrics_have_counts_and_current_values():
    gauges = [
        CallGauges(
            running={"a": 3, "b": 1}, waiting={"model": 2}, version=7, imbalances={"ledger": 1.5}
        )
    ]
    metrics = CallMetrics(lambda: gauges[0])
    metrics.count_call("draft", "rental", 200, 0, True)
    metrics.count_call("draft", "rental", 503, 2004, False)
    metrics.count_failure("a", 3002)
    metrics.observe_first_event("draft", 0.3)
    metrics.observe_wait("draft", 0.02)
    metrics.observe_lag("draft", 0.9)
    metrics.observe_lag("draft", -0.1)
    text = metrics.render()[0].decode()
    assert 'balsamtally_calls_total{code="2004",route="draft",status="503"} 1' in text
    assert 'balsamtally_calls_on_time_total{route="draft"} 1' in text
    assert 'balsamtally_backend_running{backend="a"} 3' in text
    assert 'balsamtally_service_imbalance{service="ledger"} 1.5' in text
    assert 'balsamtally_first_event_lag_seconds_sum{route="draft"} 0.9' in text
    assert 'balsamtally_first_event_lag_seconds_count{route="draft"} 2' in text
    assert "balsamtally_contracts_version 7" in text
    gauges[0] = CallGauges(running={"a": 1})
    text = metrics.render()[0].decode()
    assert 'balsamtally_backend_running{backend="b"} 0' in text
    resident = [line for line in text.splitlines() if line.startswith("balsamtally_resident")]
    assert float(resident[0].split()[-1]) > 1e6


def test_number_of_customer_labels_is_bounded():
    metrics = CallMetrics()
    for number in range(MAX_CUSTOMERS + 20):
        metrics.count_call("draft", f"c{number}", 200, 0, number % 2 == 0)
    metrics.count_call("draft", "", 200, 0, True)
    metrics.count_call("draft", "c0", 200, 0, False)
    text = metrics.render()[0].decode()
    lines = [line for line in text.splitlines() if line.startswith("balsamtally_customer_calls")]
    assert 'balsamtally_customer_calls_total{customer="c0",on_time="yes"} 1' in lines
    assert 'balsamtally_customer_calls_total{customer="c0",on_time="no"} 1' in lines
    others = [line for line in lines if f'customer="{OTHER_CUSTOMERS}"' in line]
    assert sum(int(line.split()[-1]) for line in others) == 21
    assert len(lines) <= 2 * (MAX_CUSTOMERS + 1)
