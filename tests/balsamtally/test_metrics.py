"""Tests of the metrics."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamtally.metrics import Gauges, Metrics

CLASSES = st.sampled_from(["live", "summary", ""])


def read_samples(metrics):
    """Return the value of each rendered sample by its name and labels."""
    body, content_type = metrics.render()
    assert content_type.startswith("text/plain")
    lines = [line for line in body.decode().splitlines() if line and not line.startswith("#")]
    return {line.rpartition(" ")[0]: float(line.rpartition(" ")[2]) for line in lines}


@settings(max_examples=30)
@given(
    st.lists(st.tuples(CLASSES, st.sampled_from([0, 2003]), st.integers(0, 9), st.integers(0, 9)))
)
def test_counts_by_class_match_a_plain_tally(requests):
    metrics = Metrics()
    tally = Counter()
    for name, code, delivered, wasted in requests:
        metrics.count_request(name, code)
        metrics.count_tokens(name, delivered, wasted)
        metrics.observe_first_token(name, 0.3)
        tally[f'balsamtally_requests_total{{class="{name}",code="{code}"}}'] += 1
        tally[f'balsamtally_tokens_total{{class="{name}",fate="delivered"}}'] += delivered
        tally[f'balsamtally_tokens_total{{class="{name}",fate="wasted"}}'] += wasted
        tally[f'balsamtally_first_token_seconds_bucket{{class="{name}",le="0.2"}}'] += 0
        tally[f'balsamtally_first_token_seconds_bucket{{class="{name}",le="0.4"}}'] += 1
    samples = read_samples(metrics)
    assert {key: samples.get(key, 0) for key in tally} == tally


def test_gauges_are_read_at_each_render_and_a_removed_class_is_set_to_zero():
    shown = [Gauges(queued={"live": 3}, in_flight={0: 7}, members=2, platform_age_s=1.5)]
    metrics = Metrics(lambda: shown[-1])
    samples = read_samples(metrics)
    assert samples['balsamtally_queued{class="live"}'] == 3
    assert samples['balsamtally_in_flight{tier="0"}'] == 7
    shown.append(Gauges(queued={"summary": 1}, members=3))
    samples = read_samples(metrics)
    assert samples['balsamtally_queued{class="live"}'] == 0
    assert samples['balsamtally_queued{class="summary"}'] == 1
    assert samples["balsamtally_members"] == 3
