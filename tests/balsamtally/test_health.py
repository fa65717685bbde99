"""Tests of runner health: ejection, probes, slow start and slow runners."""

import structlog.testing

from balsamtally.health import SLOW_START_S
from balsamtally.load import RunnerLoads, RunnerView
from balsamtally.messages import Ask, Release

ASK = Ask("r", 1, "m", "ana", "live")


def make_loads(names="abcd", slots=8):
    loads = RunnerLoads()
    loads.set_views([RunnerView(name, slots) for name in names], 0.0)
    loads.refresh(0.0, learning=False)
    return loads


def fail(loads, name, times, now):
    with structlog.testing.capture_logs():
        for number in range(times):
            release = Release("g", "m", failed=True)
            loads.observe(name, f"{name}-{now}-{number}", 0.1, release, now)
            loads.refresh(now, learning=False)


def count_free(loads, name, now):
    return loads.runners[name].count_free(now, learning=False)


def test_failing_runner_is_ejected_then_probed_then_restored_gradually():
    loads = make_loads()
    fail(loads, "a", 2, 1.0)
    assert count_free(loads, "a", 1.0) == 8
    fail(loads, "a", 1, 1.0)
    assert count_free(loads, "a", 2.9) == 0
    assert count_free(loads, "a", 3.1) == 1
    fail(loads, "a", 1, 3.1)
    assert count_free(loads, "a", 7.0) == 0
    assert count_free(loads, "a", 7.2) == 1
    loads.observe("a", "good", 2.0, Release("g", "m", 50, 0.2), 7.2)
    assert count_free(loads, "a", 7.2) == 1
    assert count_free(loads, "a", 7.2 + SLOW_START_S / 2) == 4
    assert count_free(loads, "a", 7.2 + SLOW_START_S) == 8


def test_one_request_does_not_eject_a_runner_and_at_most_half_are_ejected():
    loads = make_loads()
    release = Release("g", "m", failed=True)
    for _ in range(9):
        loads.observe("a", "poison", 0.1, release, 1.0)
    assert count_free(loads, "a", 1.0) == 8
    for name in "abcd":
        fail(loads, name, 6, 1.0)
    assert [count_free(loads, name, 1.0) for name in "abcd"] == [0, 0, 8, 8]


def test_slow_runner_has_fewer_slots_and_gets_no_request_that_would_miss_its_target():
    loads = make_loads("abc")
    for number in range(60):
        for name, token_s, first_s in (("a", 0.02, 0.2), ("b", 0.02, 0.2), ("c", 0.08, 2.0)):
            release = Release("g", "m", 100, first_s)
            loads.observe(name, "r", first_s + 100 * token_s, release, 1.0 + number)
    loads.refresh(100.0, learning=False)
    assert count_free(loads, "c", 100.0) == 4
    for name in "ab":
        for _ in range(7):
            loads.count_slot(name, 1, 100.0)
    assert loads.pick(ASK, slack_s=1.0, hints={}).runner in "ab"
    assert loads.pick(ASK, slack_s=5.0, hints={}).runner == "c"


def test_silent_runner_that_reports_no_running_requests_is_ejected():
    loads = make_loads("abcd")
    loads.mean_held_s = 4.0
    for name in "abc":
        loads.count_slot(name, 1, 1.0)
    answer = Release("g", "m", 50, 0.2)
    loads.observe("b", "r", 4.0, answer, 12.0)
    loads.observe("c", "r", 0.5, answer, 1.5)
    loads.count_slot("c", -1, 1.5)
    with structlog.testing.capture_logs() as lines:
        loads.set_views([RunnerView(name, 8, running=0, report_age_s=0.0) for name in "abcd"], 21.0)
        loads.refresh(21.0, learning=False)
        assert count_free(loads, "a", 21.0) == 7
        loads.refresh(23.0, learning=False)
    assert [count_free(loads, name, 23.0) for name in "abcd"] == [-1, 7, 8, 8]
    assert [line["reason"] for line in lines] == ["silent"]


def test_added_runner_starts_slowly():
    loads = make_loads("a")
    loads.set_views([RunnerView(name, 8) for name in "ab"], 100.0)
    assert count_free(loads, "a", 100.0) == 8
    assert count_free(loads, "b", 100.0) == 1
