"""Take-ups at an entry VM whose records are behind, as another version begins streams."""

import time

import gevent
import pytest

from balsamtally.catalog import Catalog
from balsamtally.errors import SoftwareUnknown
from balsamtally.plans import CallProgress
from balsamtally.software_history import MAX_AGE_S, SoftwareHistory, SoleVersion
from balsamtally.takeups import Observations, TakeUps
from tests.balsamtally.scripted import make_backend
from tests.balsamtally.test_catalog import DECODER, Clock
from tests.balsamtally.test_takeups import plan_call
from tests.polling import expect_soon

DRAIN_S = 3.0
# The window of the planned calls.
WINDOW_S = 15.0
OLD, NEW = make_backend("old", software="v1"), make_backend("new", software="v2")


class World:
    """One VM that has observed version 1 alone, for the time told, and reads the platform late.

    :ivar told: what peers say
    """

    def __init__(self, observed_s=WINDOW_S + DRAIN_S):
        self.clock, self.told = Clock(), None
        self.catalog = Catalog(DECODER, self.clock)
        self.history = SoftwareHistory(lambda: DRAIN_S, self.clock)
        self.show(OLD)
        self.clock.now += observed_s
        self.read()
        self.take_ups = TakeUps(
            lambda *key: (None, self.told),
            Observations(
                self.history.find_sole,
                self.history.is_only_since,
                self.catalog.await_reading,
                self.clock,
            ),
            lambda origin: None,
            lambda: self.catalog.backends,
        )

    def show(self, *backends):
        """Let the entries of these backend servers become known."""
        self.catalog.backends = {backend.name: backend for backend in backends}
        self.history.observe(backends)

    def read(self):
        """End a reading of the platform that began now."""
        self.catalog.record_current()
        self.catalog.record_reading(self.clock.now)

    def take_up(self):
        plan = plan_call(last_event=3, resumes="first", arrived_s=time.monotonic())
        return self.take_ups.find_software(plan, CallProgress())

    def take_up_before(self, step):
        """Take a stream up, and let a step happen while the take-up waits for a reading."""
        taken = gevent.spawn(self.take_up)
        expect_soon(lambda: self.catalog.is_reading_awaited)
        step()
        return taken.get()


def show_and_read(world, *backends):
    if backends:
        world.show(*backends)
    world.read()


@pytest.mark.parametrize("age_s", [0.1, MAX_AGE_S - 0.1, MAX_AGE_S + 0.1])
def test_stream_of_a_version_that_came_since_the_last_reading_is_not_joined(age_s):
    """The VM took its own records for a proof, and the stream went on at version 1."""
    world = World()
    world.clock.now += age_s
    with pytest.raises(SoftwareUnknown):
        world.take_up_before(lambda: show_and_read(world, OLD, NEW))


def test_stream_goes_on_once_a_reading_after_it_came_shows_one_version_alone():
    world = World()
    world.clock.now += MAX_AGE_S
    assert world.take_up_before(world.read) == "v1"


def test_reading_that_began_before_the_take_up_came_is_no_proof():
    world = World()
    world.clock.now += 1.0
    began_s = world.clock.now - 0.1

    def end_reading():
        world.catalog.record_reading(began_s)
        gevent.sleep(0.01)
        assert world.catalog.is_reading_awaited
        world.clock.now += 10.0

    with pytest.raises(SoftwareUnknown):
        world.take_up_before(end_reading)
    assert not world.catalog.is_reading_awaited


def test_word_of_a_peer_that_waited_on_its_way_is_no_proof():
    """After a standstill, beats are read that say that no records have come since."""
    world = World()
    began_s = world.clock.now
    world.clock.now += 3.0
    world.catalog.record_current(0.0)

    def run_out():
        world.clock.now += 10.0
        world.catalog.record_current(0.0)
        world.catalog.record_reading(began_s)

    with pytest.raises(SoftwareUnknown):
        world.take_up_before(run_out)


def test_peer_that_vouches_up_to_a_time_before_this_vm_observed_proves_nothing():
    world = World(observed_s=1.0)
    world.told = SoleVersion("v1", world.clock.now - 1.1)
    with pytest.raises(SoftwareUnknown):
        world.take_up()
    world.told = SoleVersion("v1", world.clock.now - 0.9)
    world.clock.now += 0.1
    assert world.take_up_before(world.read) == "v1"


@pytest.mark.parametrize("shown", [(OLD, NEW), (NEW,)])
def test_version_that_came_since_the_peer_vouched_is_not_left_out(shown):
    world = World(observed_s=1.0)
    world.told = SoleVersion("v1", world.clock.now - 0.9)
    world.clock.now += 0.1

    def come_and_go():
        world.show(*shown)
        world.show(OLD)
        world.read()

    with pytest.raises(SoftwareUnknown):
        world.take_up_before(come_and_go)


def test_take_up_that_no_reading_can_prove_is_refused_at_once():
    world = World()
    world.show(OLD, NEW)
    world.clock.now += 1.0
    with pytest.raises(SoftwareUnknown):
        world.take_up()
