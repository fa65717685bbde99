"""Tests of pauses: their bounds, their end, and the choice of backend servers that don't pause."""

import pytest

from balsamtally.backlogs import Backlogs, Size
from balsamtally.errors import BackendsPaused
from balsamtally.forwarding import Choice
from balsamtally.pauses import MAX_PAUSE_S, MAX_SPREAD_S, MIN_SPREAD_S, Pauses, PausingChoice
from balsamtally.plans import CallProgress, make_plan
from tests.balsamtally.scripted import make_backend, make_call, make_contracts, make_route


class World:
    """Two backend servers, a clock that sleeping advances, and a choice by name."""

    def __init__(self):
        self.now = 0.0
        self.one, self.two = make_backend("one"), make_backend("two")
        self.open = [self.one, self.two]
        self.pauses = Pauses(lambda: self.now, lambda low, high: high)
        self.backlogs = Backlogs()
        self.chosen = []
        self.before_choice = []
        self.choice = PausingChoice(
            self.pauses, lambda service: self.open, self._choose, lambda: self.now, self._sleep
        )
        self.plan = make_plan(make_call(), make_contracts(make_route()))

    def _sleep(self, time_s):
        self.now += time_s

    def _choose(self, plan, progress):
        excluded = progress.avoid | progress.paused
        for backend in self.open:
            if backend.name not in excluded:
                work = self.backlogs.begin(backend.name, Size(1, 1), lambda: None, lambda: None)
                if self.before_choice:
                    self.before_choice.pop()()
                return Choice(backend, work)
        return None

    def choose(self, **changes):
        return self.choice.choose(self.plan, CallProgress(**changes))


@pytest.fixture
def world():
    return World()


def test_pause_lasts_its_time_and_a_spread_and_only_for_its_incarnation(world):
    world.pauses.record(world.one, 2.0)
    world.now = 2.0
    assert world.pauses.list_paused(world.open) == [world.one]
    assert not world.pauses.is_paused(make_backend("one"))
    world.now = 2.0 + max(0.2, MIN_SPREAD_S)
    assert not world.pauses.is_paused(world.one)


def test_pauses_are_bounded_and_a_shorter_one_does_not_end_a_longer_one(world):
    world.pauses.record(world.one, 1e9)
    world.pauses.record(world.one, 0.1)
    assert world.pauses.measure_wait_s([world.one]) == MAX_PAUSE_S + MAX_SPREAD_S
    world.pauses.record(world.two, 0.0)
    assert not world.pauses.is_paused(world.two)
    world.pauses.forget_removed([world.two])
    assert not world.pauses.is_paused(world.one)


def test_paused_backend_server_is_not_chosen(world):
    world.pauses.record(world.one, 2.0)
    assert world.choose().backend is world.two


def test_call_whose_choice_began_to_pause_while_it_waited_goes_elsewhere(world):
    world.before_choice.append(lambda: world.pauses.record(world.one, 2.0))
    assert world.choose().backend is world.two
    assert world.backlogs.list_own()["two"].running == 1
    assert "one" not in world.backlogs.list_own() or not world.backlogs.list_own()["one"].running


def test_call_waits_for_the_end_of_the_first_pause_within_its_target(world):
    world.pauses.record(world.one, 0.3)
    world.pauses.record(world.two, 0.1)
    assert world.choose().backend is world.two
    assert world.now == pytest.approx(0.1 + MIN_SPREAD_S)


def test_call_that_was_sent_before_waits_beyond_its_target(world):
    for backend in world.open:
        world.pauses.record(backend, 0.7)
    with pytest.raises(BackendsPaused):
        world.choose()
    assert world.choose(sent=1) is not None


def test_call_is_refused_until_the_first_pause_ends_if_all_pause_beyond_its_target(world):
    world.pauses.record(world.one, 9.0)
    world.pauses.record(world.two, 3.0)
    with pytest.raises(BackendsPaused) as caught:
        world.choose()
    assert caught.value.retry_after_s == pytest.approx(3.3)
    with pytest.raises(BackendsPaused) as caught:
        world.choose(avoid={"two"})
    assert caught.value.retry_after_s == pytest.approx(9.9)


def test_call_without_any_backend_server_is_not_told_of_a_pause(world):
    world.open = []
    assert world.choose() is None
