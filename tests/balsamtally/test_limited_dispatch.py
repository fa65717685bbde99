"""Placement of calls if all backend servers of their service limit their requests."""

from dataclasses import replace

import gevent
import pytest

from balsamtally.dispatch import RECHECK_INTERVAL_S
from balsamtally.errors import TargetHopeless
from balsamtally.permits import Permits
from balsamtally.plans import CallProgress
from balsamtally.server_limits import ServerLimits
from tests.balsamtally.test_dispatch import ENGINE, World


class LimitedWorld(World):
    """One backend server that names a limit, with a simulated clock."""

    def __init__(self, engine, limit):
        super().__init__(engine)
        self.limits = ServerLimits(self.catalog.is_known, lambda: self.now)
        permits = Permits(self.limits, clock=lambda: self.now)
        self.dispatch._permits = self.dispatch.runners._permits = self.permits = permits
        self.server = self.add("a")
        self.limits.record_answer(self.server, limit, self.now)
        self.permits.serve_asks([self.server])

    def start(self, plan):
        task = gevent.spawn(self.dispatch.choose, plan, CallProgress())
        gevent.sleep(0.01)
        return task

    def advance(self, time_s):
        self.now += time_s
        gevent.sleep(1.5 * RECHECK_INTERVAL_S)


@pytest.mark.parametrize("engine", [ENGINE, None], ids=["model", "plain"])
def test_most_urgent_waiting_call_gets_the_next_permit(engine):
    world = LimitedWorld(engine, 2.0)
    later = world.start(replace(world.plan(1), tier=2, urgency=6))
    urgent = world.start(replace(world.plan(2), tier=0, urgency=0))
    world.advance(0.1)
    assert not later.ready() and not urgent.ready()
    world.advance(0.4)
    assert urgent.ready() and not later.ready()
    urgent.get().work.record_answer_start()
    world.advance(0.55)
    assert later.get(timeout=1.0).backend is world.server


@pytest.mark.parametrize("engine", [ENGINE, None], ids=["model", "plain"])
def test_call_whose_turn_comes_too_late_is_refused_with_the_time_of_its_turn(engine):
    world = LimitedWorld(engine, 0.1)
    tasks = [world.start(world.plan(number)) for number in range(3)]
    for task in tasks[1:]:
        with pytest.raises(TargetHopeless) as refused:
            task.get(timeout=1.0)
        assert refused.value.retry_after_s >= 10.0
    tasks[0].kill()


def test_unlimited_server_takes_the_calls_beyond_the_limit_of_another():
    world = LimitedWorld(None, 1.0)
    other = world.add("b")
    choices = [world.choose(world.plan(number)) for number in range(6)]
    assert {choice.backend.name for choice in choices} == {other.name}
    world.now += 1.0
    names = [world.choose(world.plan(number)).backend.name for number in range(6, 12)]
    assert names.count("a") == 1
