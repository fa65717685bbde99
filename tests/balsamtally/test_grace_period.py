"""Tests of the grace period: which calls are still passed on, and which are refused in time."""

import time

import gevent
import pytest

from balsamtally.calls import Repeat
from balsamtally.durations import MIN_SAMPLES, Durations
from balsamtally.errors import AnswerCut, GraceEnded, Leaving
from balsamtally.grace_period import CALL_SHARE, GracePeriod, StopCounts
from balsamtally.plans import CallProgress, make_plan
from tests.balsamtally.scripted import make_call, make_contracts, make_route
from tests.balsamtally.test_crash_evidence import Clock

GRACE_S = 8.0 / CALL_SHARE


def plan_call(repeat=Repeat.NEVER, timeout_s=20.0, arrived_s=0.0):
    contracts = make_contracts(make_route(repeat, timeout_s=timeout_s))
    return make_plan(make_call(arrived_s=arrived_s, deadline_s=60.0), contracts)


def make_grace_period(*durations_s, clock=None):
    found = GracePeriod(lambda: GRACE_S, clock or Clock())
    for took_s in durations_s:
        found.durations.record("route", took_s)
    return found


def is_passed_on(grace_period, plan, progress=None):
    try:
        grace_period.check(plan, progress or CallProgress())
    except Leaving:
        return False
    return True


@pytest.mark.parametrize(
    ("repeat", "timeout_s", "durations_s", "left_s", "expected"),
    [
        (Repeat.NEVER, 4.0, (), 5.0, True),
        (Repeat.NEVER, 6.0, (), 5.0, False),
        (Repeat.ALWAYS, 6.0, (), 5.0, True),
        (Repeat.NEVER, 6.0, [3.0] * (MIN_SAMPLES - 1), 5.0, False),
        (Repeat.NEVER, 20.0, [3.0] * MIN_SAMPLES, 5.0, True),
        (Repeat.NEVER, 20.0, [3.0] * MIN_SAMPLES, 3.5, False),
        (Repeat.ALWAYS, 20.0, [3.0] * MIN_SAMPLES, 3.5, False),
        (Repeat.ALWAYS, 20.0, [*[0.1] * MIN_SAMPLES, 6.0, 0.1], 5.0, False),
        (Repeat.RESUME, 20.0, [*[0.1] * MIN_SAMPLES, 6.0, 0.1], 5.0, True),
        (Repeat.RESUME, 20.0, [4.5] * MIN_SAMPLES, 5.0, False),
    ],
)
def test_call_is_passed_on_only_if_it_ends_in_time(
    repeat, timeout_s, durations_s, left_s, expected
):
    clock = Clock()
    grace_period = make_grace_period(*durations_s, clock=clock)
    begun_s = clock.now_s
    plan = plan_call(repeat, timeout_s, begun_s + 8.0 - left_s)
    clock.now_s += 8.0 - left_s
    assert is_passed_on(grace_period, plan) and grace_period.find_end_s(plan) == plan.until_s
    clock.now_s = begun_s
    grace_period.begin()
    clock.now_s += 8.0 - left_s
    assert is_passed_on(grace_period, plan) is expected
    assert grace_period.find_end_s(plan) == pytest.approx(min(plan.until_s, begun_s + 8.0))


def test_second_signal_does_not_prolong_the_grace_period():
    clock = Clock()
    grace_period = make_grace_period(clock=clock)
    grace_period.begin()
    end_s = grace_period.find_end_s(plan_call(arrived_s=clock.now_s))
    clock.now_s += 3.0
    grace_period.begin()
    assert grace_period.find_end_s(plan_call(arrived_s=clock.now_s)) == end_s


def test_begun_stream_is_resumed_if_its_rest_ends_in_time():
    clock = Clock()
    grace_period = make_grace_period(*[7.0] * MIN_SAMPLES, clock=clock)
    grace_period.begin()
    plan = plan_call(Repeat.RESUME, arrived_s=clock.now_s)
    progress = CallProgress(first_event_s=clock.now_s - 5.0)
    assert is_passed_on(grace_period, plan, progress)
    assert not is_passed_on(grace_period, plan)


def test_call_that_is_chosen_as_it_would_be_refused_is_not_reported_as_not_run():
    grace_period = make_grace_period(clock=time.monotonic)
    plan = plan_call(arrived_s=time.monotonic())
    chosen = gevent.event.Event()

    def serve():
        grace_period.wait(plan, CallProgress(), lambda plan, progress: chosen.wait())
        gevent.sleep(0.05)
        return "sent"

    task = gevent.spawn(serve)
    gevent.sleep(0)
    grace_period.begin()
    chosen.set()
    grace_period.refuse_waiting()
    assert task.get() == "sent"


def test_waiting_call_is_refused_while_others_wait_on():
    grace_period = make_grace_period(clock=time.monotonic)
    now = time.monotonic()
    waits = [
        gevent.spawn(
            grace_period.wait, plan, CallProgress(), lambda plan, progress: gevent.sleep(0.1)
        )
        for plan in (plan_call(arrived_s=now), plan_call(timeout_s=5.0, arrived_s=now))
    ]
    gevent.sleep(0)
    grace_period.begin()
    grace_period.refuse_waiting()
    gevent.joinall(waits)
    assert isinstance(waits[0].exception, Leaving) and waits[1].successful()


def test_only_calls_that_the_stop_ended_are_counted():
    grace_period = make_grace_period()
    begun = CallProgress(first_event_s=1.0)
    grace_period.count_end(CallProgress(), Leaving())
    assert grace_period.counts == StopCounts()
    grace_period.begin()
    for progress, error in (
        (CallProgress(), Leaving()),
        (CallProgress(), GraceEnded()),
        (begun, GraceEnded()),
        (begun, Leaving()),
        (CallProgress(), AnswerCut()),
        (begun, None),
    ):
        grace_period.count_end(progress, error)
    assert grace_period.counts == StopCounts(refused=1, told=1, cut=2)


def test_longest_duration_decays_and_removed_routes_are_dropped():
    durations = Durations()
    for took_s in (10.0, *[1.0] * 300):
        durations.record("one", took_s)
    assert 1.0 < durations.find("one").longest_s < 2.0
    assert durations.find("one").mean_s == pytest.approx(1.0)
    durations.keep_only(["two"])
    assert durations.find("one") is None
