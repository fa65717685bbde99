"""A short seeded run of :mod:`standins.cut_soak`; more seeds by hand."""

import pytest

from standins.cut_soak import find_low_share, soak


@pytest.mark.parametrize("seed", [1])
def test_cuts_and_losses_of_vms_break_no_rule(seed):
    """Guards against verdicts on sound servers, and against calls that run twice."""
    result = soak(seed)
    assert list(result.faults) == []
    assert find_low_share([result]) == []
