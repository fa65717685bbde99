"""Places at brittle servers: how many calls the decider lets run there."""

import gevent
import pytest

from balsamtally.permits import OWN_CALLS_PER_FAR_CALL, PermitAsk, PermitGrant, Permits
from balsamtally.places import GRANTED_S, REFUSALS_WINDOW_S, SETTLE_S, Places, count_usable
from balsamtally.plans import CallProgress
from balsamtally.server_limits import ServerLimits
from tests.balsamtally.scripted import make_backend
from tests.balsamtally.test_dispatch import World

SERVER = make_backend("a", slots=4)


class PlacesWorld:
    """The places at one server, with a simulated clock."""

    def __init__(self):
        self.now, self.running = 100.0, 0
        self.places = Places(lambda name: self.running, lambda: self.now)

    def count_free(self, share=1.0, decided_s=0.0):
        return self.places.count_free(SERVER, share, decided_s)


@pytest.fixture
def places_world():
    return PlacesWorld()


def test_running_calls_and_recent_grants_take_places(places_world):
    places_world.running = 1
    places_world.places.record_grant(SERVER.key, 2)
    assert places_world.count_free() == 1
    places_world.now += GRANTED_S + 0.01
    assert places_world.count_free() == 3
    places_world.running = 9
    assert places_world.count_free() == 0


def test_new_decider_waits_for_the_calls_of_its_predecessor(places_world):
    assert places_world.count_free(decided_s=places_world.now) == 0
    places_world.now += SETTLE_S + 0.01
    assert places_world.count_free(decided_s=100.0) == 4


@pytest.mark.parametrize("tolerated, pause_s", [(0, 1.1), (1, 1.1), (5, 0.22)])
def test_server_that_refused_a_call_gets_none_until_it_tolerates_another_refusal(
    places_world, tolerated, pause_s
):
    assert pause_s == pytest.approx(REFUSALS_WINDOW_S / max(1, tolerated))
    places_world.places.record_refusal(SERVER.key, tolerated)
    places_world.now += pause_s - 0.01
    assert places_world.count_free() == 0
    places_world.now += 0.02
    assert places_world.count_free() == 4


@pytest.mark.parametrize("share, usable", [(1.0, 4), (0.75, 3), (0.5, 2), (0.01, 1), (0.0, 0)])
def test_vms_that_are_cut_off_share_the_slots(share, usable):
    assert count_usable(SERVER, share) == usable


def test_state_of_other_servers_is_dropped(places_world):
    places_world.places.record_grant(SERVER.key, 4)
    places_world.places.record_refusal(SERVER.key, 1)
    places_world.places.keep_only([])
    assert places_world.count_free() == 4


class BrittleWorld(World):
    """One brittle server of a plain service with two slots, with a simulated clock."""

    def __init__(self, others=()):
        super().__init__(None)
        for name in others:
            self.add(name)
        self.limits = ServerLimits(
            self.catalog.is_known, lambda: self.now, list_published=lambda: self.catalog.backends
        )
        permits = Permits(
            self.limits,
            clock=lambda: self.now,
            count_running=lambda name: self.backlogs.find(name).running,
        )
        self.dispatch._permits = self.dispatch.runners._permits = self.permits = permits
        self.server = self.catalog.backends["a"] = make_backend("a", domain="home", slots=2)
        self.limits.record_answer(self.server, None, self.now, 1)
        self.permits.serve_asks([self.server])
        self.now += SETTLE_S + 0.01

    def start(self, number):
        task = gevent.spawn(self.dispatch.choose, self.plan(number), CallProgress())
        gevent.sleep(0.02)
        return task


def test_call_waits_at_the_vm_until_a_place_is_given_back():
    world = BrittleWorld()
    first, second = world.choose(world.plan(1)), world.choose(world.plan(2))
    third = world.start(3)
    assert not third.ready()
    first.work.cancel()
    assert third.get(timeout=1.0).backend is world.server
    assert world.backlogs.find("a").running == 2
    second.work.cancel()


def test_other_servers_take_the_calls_beyond_the_places():
    world = BrittleWorld(others=("b",))
    names = [world.choose(world.plan(number)).backend.name for number in range(12)]
    assert names.count("a") == 2


def test_calls_of_other_regions_get_a_place_after_some_of_the_deciders_own():
    sent = []
    limits = ServerLimits(lambda key: True, lambda: 100.0 + clock[0])
    clock = [0.0]
    permits = Permits(
        limits, send=lambda message, ip: sent.append(message), clock=lambda: 100.0 + clock[0]
    )
    limits.record_answer(SERVER, None, 100.0, 1)
    permits.serve_asks([SERVER])
    clock[0] = SETTLE_S + 0.01
    permits.handle_ask(PermitAsk(1, *SERVER.key, 2), "far")
    for _ in range(OWN_CALLS_PER_FAR_CALL):
        assert permits.is_sendable(SERVER)
        permits.take(SERVER)
    assert not permits.is_sendable(SERVER) and not sent
    permits.serve_asks([SERVER])
    assert sent == [PermitGrant(1, 2)]
    assert permits.is_sendable(SERVER)
