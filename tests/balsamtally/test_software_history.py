"""Tests of which software versions are known to have served a service."""

import math

import pytest

from balsamtally.software_history import MAX_AGE_S, SoftwareHistory
from tests.balsamtally.scripted import make_backend

DRAIN_S = 3.0
WINDOW_S = 15.0
OLD, NEW = make_backend("old", software="v1"), make_backend("new", software="v2")


class World:
    """A history, of which the observation began a full window ago."""

    def __init__(self, *backends):
        self.now = 100.0
        self.history = SoftwareHistory(lambda: DRAIN_S, lambda: self.now)
        self.history.observe(backends)
        self.now += WINDOW_S + DRAIN_S

    def find(self, age_s=0.0, window_s=WINDOW_S):
        return self.history.find_sole("desk", window_s, age_s)


def test_version_is_known_after_a_window_and_the_drain_allowance():
    world = World(OLD, make_backend("other", service="else", software="v9"))
    assert world.find() == "v1"
    assert world.history.find_sole("unknown", WINDOW_S, 0.0) is None
    world.now -= 0.1
    assert world.find() is None and world.find(window_s=WINDOW_S - 0.1) == "v1"


def test_nothing_is_known_before_the_first_observation():
    assert SoftwareHistory(clock=lambda: 100.0).find_sole("desk", 0.0, 0.0) is None


@pytest.mark.parametrize("left", [(NEW,), (NEW, make_backend("x", software=""))], ids=["v2", "no"])
def test_version_counts_until_the_end_of_streams_that_began_as_others_learnt_of_its_end(left):
    world = World(OLD)
    world.history.observe([OLD, *left])
    assert world.find() is None
    world.now += 50.0
    world.history.observe(left)
    world.now += WINDOW_S + DRAIN_S
    assert world.find() is None
    world.now += 0.1
    assert world.find() == ("v2" if len(left) == 1 else None)


def test_service_whose_servers_all_left_had_their_version_alone():
    world = World(OLD)
    world.history.observe([])
    assert world.find() == "v1"
    world.history.observe([NEW])
    assert world.find() is None


def test_servers_without_a_published_version_have_one_alone():
    assert World(make_backend()).find() == ""


def test_vm_that_is_cut_off_knows_no_sole_version():
    """Guards against versions that others have begun to use meanwhile."""
    world = World(OLD)
    assert world.find(MAX_AGE_S) == "v1"
    assert world.find(MAX_AGE_S + 0.1) is None


def test_gap_of_the_observation_hides_versions_that_came_and_went():
    world = World(OLD)
    world.history.record_gap(MAX_AGE_S)
    assert world.find() == "v1"
    world.history.record_gap(MAX_AGE_S + 0.1)
    assert world.find() is None and world.find(window_s=0.0) is None
    world.now += WINDOW_S + DRAIN_S
    assert world.find() == "v1"


@pytest.mark.parametrize(
    ("past", "covered_s", "sole"),
    [
        ([OLD], WINDOW_S + DRAIN_S, "v1"),
        ([], math.inf, "v1"),
        ([OLD], WINDOW_S + DRAIN_S - 0.1, None),
        ([NEW], math.inf, None),
    ],
)
def test_history_of_the_platform_shows_what_served_before_the_first_observation(
    past, covered_s, sole
):
    world = World()
    world.history = SoftwareHistory(lambda: DRAIN_S, lambda: world.now)
    world.history.observe([OLD])
    assert world.find() is None
    world.history.record_past(past, covered_s)
    assert world.find() == sole
    world.history.record_gap(math.inf)
    assert world.find() is None
