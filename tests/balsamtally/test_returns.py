"""Turns of refused calls, and how returning calls are recognised."""

import pytest

from balsamtally.returns import (
    EARLY_RETURN_S,
    TURN_GRACE_S,
    ExpectedReturns,
    ReturnSchedule,
)


def test_turn_later_than_useful_is_not_used_up():
    schedule = ReturnSchedule(lambda: 100.0)
    assert schedule.reserve_useful("q", 1.0, 2.0, 2.0) == 1.0
    assert schedule.reserve_useful("q", 1.0, 2.0, 1.2) is None
    assert schedule.reserve_useful("q", 1.0, 2.0, 2.0) == 1.5
    assert schedule.reserve_useful("q", 1.0, 2.0, 2.0) == 2.0


def test_returning_call_takes_its_turn_once_and_none_before_its_time():
    now = 100.0
    expected = ExpectedReturns(lambda: now)
    for caller in ("a", "a", "b"):
        expected.add("q", caller, 1.0, 500)
    assert not expected.take("q", "a")
    now += 1.0 - EARLY_RETURN_S / 2
    assert expected.take("q", "a") and not expected.take("other", "a")
    assert expected.count_tokens("q", 1.0) == 1_000
    assert expected.take("q", "a") and not expected.take("q", "a")
    assert expected.count_tokens("q", 1.0) == 500


@pytest.mark.parametrize("after_s, tokens", [(TURN_GRACE_S / 2, 500), (TURN_GRACE_S * 1.1, 0)])
def test_turn_that_nobody_takes_lapses(after_s, tokens):
    """Guards against capacity that is kept for callers that don't return."""
    now = 100.0
    expected = ExpectedReturns(lambda: now)
    expected.add("q", "a", 1.0, 500)
    assert expected.count_tokens("q", 0.5) == 0
    now += 1.0 + after_s
    assert expected.count_tokens("q", 0.5) == tokens
