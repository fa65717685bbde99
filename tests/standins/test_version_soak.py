"""A short seeded run of :mod:`standins.version_soak`; more seeds by hand."""

from standins.version_soak import find_low_share, soak

SEEDS = range(3)


def test_streams_taken_up_again_hold_events_of_one_version_and_go_on():
    """Guards against streams that are joined from two versions of the servers' software."""
    results = [soak(seed) for seed in SEEDS]
    assert [fault for result in results for fault in result.faults] == []
    assert find_low_share(results) == []
    assert sum(result.take_ups for result in results) > 12
