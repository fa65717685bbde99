"""Placement of calls while some or all servers of their service are cold."""

from dataclasses import replace

import gevent
import msgspec
import pytest

from balsamtally.assessment import make_placement_target
from balsamtally.demands import make_demand
from balsamtally.dispatch import RECHECK_INTERVAL_S
from balsamtally.permits import Permits
from balsamtally.plans import CallProgress
from balsamtally.reports import Finding, Report
from balsamtally.server_limits import ServerLimits
from tests.balsamtally.test_dispatch import ENGINE, World

LIMIT_PER_S = 5.0
COLD_S = 1.5


class ColdWorld(World):
    """A world whose servers may be cold, with one entry VM that decides on them."""

    def __init__(self, engine=ENGINE, share=1.0):
        super().__init__(engine)
        self.limits = ServerLimits(
            self.catalog.is_known, lambda: self.now, lambda service: LIMIT_PER_S
        )
        permits = Permits(self.limits, clock=lambda: self.now, find_cold_share=lambda domain: share)
        self.dispatch._permits = self.dispatch.runners._permits = self.permits = permits

    def add_cold(self, name, domain="home"):
        server = replace(self.add(name, domain), cold_s=COLD_S)
        self.catalog.backends[name] = server
        self.limits.record_cold(server)
        self.permits.serve_asks([server])
        return server

    def start(self, plan):
        task = gevent.spawn(self.dispatch.choose, plan, CallProgress())
        gevent.sleep(0.01)
        return task

    def advance(self, time_s):
        self.now += time_s
        gevent.sleep(1.5 * RECHECK_INTERVAL_S)

    def list_candidates(self, **changes):
        demand = make_demand(self.plan(parts=()), CallProgress())
        return self.dispatch.runners.list_candidates(msgspec.structs.replace(demand, **changes))


@pytest.mark.parametrize("engine", [ENGINE, None], ids=["model", "plain"])
def test_calls_beyond_the_limit_go_to_warm_servers(engine):
    """Guards against calls that wait for a cold server while warm ones have room."""
    world = ColdWorld(engine)
    world.add_cold("a")
    world.add("b")
    names = [world.choose(world.plan(number, ())).backend.name for number in range(8)]
    assert names == ["b"] * 8
    world.now += 1.0
    names = [world.choose(world.plan(number, ())).backend.name for number in range(8, 20)]
    assert names.count("a") <= 1


@pytest.mark.parametrize("engine", [ENGINE, None], ids=["model", "plain"])
def test_calls_wait_for_permits_and_all_go_once_the_server_is_warm(engine):
    """Guards against calls that are refused, or sent, while all servers of a service are cold."""
    world = ColdWorld(engine)
    world.add_cold("a")
    tasks = [world.start(world.plan(number, ())) for number in range(6)]
    assert not any(task.ready() for task in tasks)
    world.advance(0.25)
    assert sum(task.ready() for task in tasks) == 1
    world.advance(COLD_S)
    assert all(task.get(timeout=1.0).backend.name == "a" for task in tasks)


def test_call_waits_for_a_cold_server_that_this_vm_may_not_use_until_it_is_warm():
    """Guards against a refusal by the time of a rate that ends with the cold time."""
    world = ColdWorld(share=0.0)
    world.add_cold("a")
    tasks = [world.start(world.plan(number, ())) for number in range(3)]
    world.advance(COLD_S - 0.1)
    assert not any(task.ready() for task in tasks)
    world.advance(0.2)
    assert all(task.get(timeout=1.0) for task in tasks)


def test_candidates_show_which_are_cold_and_tight_streams_prefer_warm_ones():
    """Guards against streams that miss their bound between events at a cold server."""
    world = ColdWorld()
    world.add_cold("a")
    world.add("b")
    world.now += 1.0
    assert {each.backend.name: each.cold for each in world.list_candidates()} == {
        "a": True,
        "b": False,
    }
    world.dispatch.runners.has_tight_bound = lambda demand: True
    assert [each.backend.name for each in world.list_candidates()] == ["b"]
    assert [each.backend.name for each in world.list_candidates(avoid=("b",))] == ["a"]
    world.now += COLD_S
    assert not any(each.cold for each in world.list_candidates())


def test_placement_without_a_permit_is_refused_while_the_server_is_cold():
    """Guards against a coordinator that has not heard yet that the server is cold."""
    world = ColdWorld()
    server = world.add("a")
    choice = world.choose(world.plan(1, ()))
    choice.work.cancel()
    demand = make_demand(world.plan(2, ()), CallProgress())
    [candidate] = world.dispatch.runners.list_candidates(demand)
    target = make_placement_target(candidate, False, 0)
    world.limits.record_cold(replace(server, cold_s=COLD_S))
    assert world.dispatch.accept(demand, target, "vm2") is None
    permitted = make_placement_target(candidate, False, 0, True)
    assert world.dispatch.accept(demand, permitted, "vm2") is not None


def test_slow_answers_of_a_cold_server_have_no_effect_on_its_pace_and_the_engines_speed():
    """Guards against a server that is avoided after it has become warm."""
    world = ColdWorld()
    server = world.add_cold("a")
    runners = world.dispatch.runners
    speed = runners.find_statistics("desk").speed.tokens_per_s
    report = Report(Finding.BEGAN, "desk", "a", server.born, 2.5, 0.1, 9_000)
    for _ in range(20):
        runners.handle_report(report)
    world.now += COLD_S + 1.0
    runners.handle_report(report)
    assert world.list_candidates()[0].slow_factor == 1.0
    assert runners.find_statistics("desk").speed.tokens_per_s == speed
    world.now += 10.0
    runners.handle_report(report)
    assert world.list_candidates()[0].slow_factor > 1.0


def test_world_without_cold_servers_asks_nothing_about_them():
    """Guards against work on the placement path for servers that are not known to be cold."""
    world = ColdWorld()
    world.add("a")

    def fail(key):
        raise AssertionError("asked")

    world.limits.is_cold = world.limits.find = fail
    assert world.choose(world.plan(1, ())).backend.name == "a"
