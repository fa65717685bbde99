"""Tests of admission control by tier."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtally.admission import Admission
from balsamtally.errors import TooManyRequests


def test_full_lower_tier_does_not_block_the_highest_tier():
    admission = Admission(max_requests=3, max_bytes=100)
    with contextlib.ExitStack() as held:
        for _ in range(3):
            held.enter_context(admission.hold(3, 30))
        with pytest.raises(TooManyRequests):
            held.enter_context(admission.hold(3, 0))
        for _ in range(3):
            held.enter_context(admission.hold(0, 30))
        with pytest.raises(TooManyRequests):
            held.enter_context(admission.hold(0, 0))
    assert admission.in_flight == 0


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 60)), max_size=40))
def test_only_requests_of_the_same_or_higher_tiers_cause_a_refusal(arrivals):
    admission = Admission(max_requests=5, max_bytes=100)
    held = []
    with contextlib.ExitStack() as stack:
        for tier, size in arrivals:
            counted = [other for other in held if other[0] <= tier]
            fits = len(counted) < 5 and sum(other[1] for other in counted) + size <= 100
            try:
                stack.enter_context(admission.hold(tier, size))
                held.append((tier, size))
                assert fits
            except TooManyRequests:
                assert not fits
