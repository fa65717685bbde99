"""The place that a call finds while its present backend server is silent."""

import gevent
import pytest

from balsamtally.backlogs import Backlogs, Size
from balsamtally.errors import BackendSilent
from balsamtally.moves import Move
from balsamtally.plans import Choice
from tests.balsamtally.scripted import make_backend


class SilentServer:
    """A silent backend server, and another one that has a place after a while."""

    def __init__(self, search_s=0.0):
        self.silent = True
        self.backlogs = Backlogs()
        self.move = Move("id1", lambda: self.silent, self._search, lambda: True)
        self._search_s = search_s

    def _search(self):
        gevent.sleep(self._search_s)
        work = self.backlogs.begin("other", Size(10, 20), lambda: None, lambda: None)
        return Choice(make_backend("other"), work)

    def count_places(self):
        return self.backlogs.find("other").running


def test_call_leaves_with_the_place_that_was_found():
    world = SilentServer()
    with world.move as move:
        move.check()
        gevent.sleep(0.01)
        with pytest.raises(BackendSilent):
            move.check()
        assert move.take_place().backend.name == "other"
    assert world.count_places() == 1


@pytest.mark.parametrize("ending", ["goes on", "ends"])
def test_place_that_was_found_is_released_if_the_call_does_not_leave(ending):
    """The server sends again, or the answer ends, between the search and the next check."""
    world = SilentServer()
    with world.move as move:
        move.check()
        gevent.sleep(0.01)
        assert world.count_places() == 1
        if ending == "goes on":
            world.silent = False
            move.check()
            assert world.count_places() == 0
    assert world.count_places() == 0


def test_search_ends_with_the_silence():
    world = SilentServer(search_s=0.05)
    with world.move as move:
        move.check()
        gevent.sleep(0.01)
        world.silent = False
        move.check()
        gevent.sleep(0.1)
    assert world.count_places() == 0
