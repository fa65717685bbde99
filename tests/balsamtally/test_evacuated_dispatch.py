"""Placement of calls while failure domains are evacuated and as they return."""

import gevent
import pytest

from balsamtally.assessment import make_placement_target
from balsamtally.backlogs import Load
from balsamtally.demands import make_demand
from balsamtally.health import SLOW_START_S
from balsamtally.plans import CallProgress
from balsamtally.runners import SNAPSHOT_TTL_S
from tests.balsamtally.test_dispatch import ENGINE, World

FULL = Load(running=64, memory_tokens=300_000)


class EvacuatingWorld(World):
    """A world whose failure domains are evacuated, with a dispatch that hears of it."""

    def __init__(self, engine=ENGINE):
        super().__init__(engine)
        self.catalog.on_evacuation = self.dispatch.dispatch_soon

    def evacuate(self, domain):
        self.catalog.evacuations.begin(domain, 1, "platform")
        self.catalog.on_evacuation()

    def bring_back(self, domain):
        self.catalog.evacuations.end(domain, 2, "platform")
        self.catalog.on_evacuation()

    def start(self, plan):
        task = gevent.spawn(self.dispatch.choose, plan, CallProgress())
        gevent.sleep(0.01)
        return task


@pytest.mark.parametrize("engine", [ENGINE, None], ids=["model", "plain"])
def test_calls_go_to_other_domains_and_none_is_left_if_all_are_evacuated(engine):
    """Guards against calls that are placed on evacuated servers."""
    world = EvacuatingWorld(engine)
    world.add("a"), world.add("b", "elsewhere")
    world.evacuate("home")
    assert {world.choose(world.plan(number)).backend.name for number in range(8)} == {"b"}
    world.evacuate("elsewhere")
    assert world.choose(world.plan(9)) is None


def test_call_that_was_placed_is_not_sent_once_the_evacuation_begins():
    """Guards against a send between the placement and the check right before it."""
    world = EvacuatingWorld()
    world.add("a")
    choice = world.choose(world.plan())
    assert world.dispatch.is_open(choice.backend)
    world.evacuate("home")
    assert not world.dispatch.is_open(choice.backend)
    world.bring_back("home")
    assert world.dispatch.is_open(choice.backend)


def test_placement_by_another_vm_that_has_not_heard_yet_is_refused():
    """Guards against a send to an evacuated server for a coordinator with older records."""
    world = EvacuatingWorld()
    world.add("a")
    demand = make_demand(world.plan(), CallProgress())
    [candidate] = world.dispatch.runners.list_candidates(demand)
    target = make_placement_target(candidate, False, 0)
    assert world.dispatch.accept(demand, target, "vm2") is not None
    world.evacuate("home")
    assert world.dispatch.accept(demand, target, "vm2") is None


def test_call_that_waits_as_it_begins_goes_elsewhere():
    """Guards against calls that keep waiting for an evacuated server."""
    world = EvacuatingWorld()
    world.add("a")
    world.announce_loads("peer", {"a": FULL})
    waiting = world.start(world.plan())
    assert not waiting.ready()
    world.add("b", "elsewhere")
    world.evacuate("home")
    world.now += 2 * SNAPSHOT_TTL_S
    assert waiting.get(timeout=1.0).backend.name == "b"


def test_returning_servers_take_few_calls_at_first_and_all_after_the_slow_start():
    """Guards against a rush to servers with empty caches."""
    world = EvacuatingWorld()
    world.add("a"), world.add("b")
    world.add("c", "elsewhere")
    world.evacuate("home")
    world.bring_back("home")
    runners = world.dispatch.runners

    def list_usable():
        world.now += 2 * SNAPSHOT_TTL_S
        return {r.backend.name for r in runners._list_runners("desk") if r.usable}

    assert list_usable() == {"a", "b", "c"}
    for number in range(2):
        world.choose(world.plan(number, ()))
    world.backlogs.record_peer_loads("peer", {"a": FULL, "b": FULL})
    assert list_usable() == {"c"}
    world.now += SLOW_START_S
    world.backlogs.record_peer_loads("peer", {"a": FULL, "b": FULL})
    assert list_usable() == {"a", "b", "c"}


def test_calls_that_wait_for_evacuated_servers_get_them_back_as_it_ends():
    """Guards against calls that keep waiting although their servers are open again."""
    world = EvacuatingWorld()
    world.add("a"), world.add("b", "elsewhere")
    world.announce_loads("peer", {"b": FULL})
    world.evacuate("home")
    waiting = world.start(world.plan())
    assert not waiting.ready()
    world.bring_back("home")
    assert waiting.get(timeout=1.0).backend.name == "a"
