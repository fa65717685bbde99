"""A VM asks its region's coordinator for places, and places calls by itself where none answers."""

import gevent
import pytest

from balsamtally.asks import MAX_COORDINATORS, MISSED_S, TRIES, PlacementClient
from balsamtally.assessment import make_placement_target
from balsamtally.beats import Beat
from balsamtally.calls import PromptPart
from balsamtally.coordination import Ask, Reply, Withdrawal
from balsamtally.errors import TargetHopeless
from balsamtally.plans import CallProgress
from balsamtally.selection import Candidate
from tests.balsamtally.test_dispatch import WAIT_S, World


class Asking:
    """A VM that asks, and coordinators that answer as told."""

    def __init__(self, coordinators=("c1", "c2")):
        self.world = World()
        self.sent = []
        self.answer = lambda ask, ip: None
        self.coordinators = [
            Beat(name, name, "home", f"{name}-1", 1, False, None, ()) for name in coordinators
        ]
        self.asks = PlacementClient(
            "i1", self.world.dispatch, self._find_coordinator, self._send, lambda: self.world.now
        )

    def _find_coordinator(self, service, missed):
        assert service == "desk"
        return next((beat for beat in self.coordinators if beat.vm not in missed), None)

    def _send(self, message, ip):
        self.sent.append((message, ip))
        reply = self.answer(message, ip) if isinstance(message, Ask) else None
        if reply is not None:
            gevent.spawn(self.asks.handle_reply, reply, ip)

    def choose(self, number=1, parts=()):
        with gevent.Timeout(WAIT_S):
            return self.asks.choose(self.world.plan(number, parts), CallProgress())

    def list_asked(self):
        return [ip for message, ip in self.sent if isinstance(message, Ask)]

    def list_withdrawn(self):
        return [message.number for message, _ in self.sent if isinstance(message, Withdrawal)]


def make_reply(backend, number=1):
    return Reply(
        number, place=make_placement_target(Candidate(backend, True, fresh_tokens=700), False, 0)
    )


@pytest.fixture
def asking():
    asking = Asking()
    asking.world.add("a")
    return asking


def test_place_that_a_coordinator_gives_is_taken_and_counted(asking):
    other = asking.world.add("b")
    asking.answer = lambda ask, ip: make_reply(other)
    choice = asking.choose()
    assert choice.backend is other
    load = asking.world.backlogs.find("b")
    assert (load.running, load.reading_tokens) == (1, 700)
    assert asking.list_asked() == ["c1"] and not asking.list_withdrawn()
    assert asking.asks.list_pending() == () and asking.asks.last_number == 1


def test_silent_coordinator_is_passed_over_for_a_while_and_its_next_is_asked(asking):
    backend = asking.world.catalog.backends["a"]
    asking.answer = lambda ask, ip: make_reply(backend, ask.number) if ip == "c2" else None
    asking.choose(1)
    assert asking.list_asked() == ["c1"] * TRIES + ["c2"]
    assert asking.list_withdrawn() == [1]
    asking.choose(2)
    assert asking.list_asked()[TRIES + 1 :] == ["c2"]
    asking.world.now += MISSED_S + 0.1
    asking.choose(3)
    assert asking.list_asked()[TRIES + 2 :] == ["c1"] * TRIES + ["c2"]


def test_call_is_placed_by_its_own_vm_where_no_coordinator_answers(asking):
    asking.coordinators *= MAX_COORDINATORS
    assert asking.choose().backend.name == "a"
    assert len(asking.list_asked()) == TRIES * 2


@pytest.mark.parametrize("reply", ["none", "unknown", "leaving", "other_incarnation"])
def test_call_is_placed_by_its_own_vm_where_the_place_is_no_use(asking, reply):
    gone = asking.world.add("gone")
    place = make_reply(gone)
    if reply in ("none", "unknown"):
        del asking.world.catalog.backends["gone"]
    elif reply == "leaving":
        asking.world.catalog.mark_leaving(gone, "told so")
    elif reply == "other_incarnation":
        asking.world.add("gone")
        asking.world.catalog.mark_leaving(asking.world.catalog.backends["gone"], "told so")
    asking.answer = lambda ask, ip: Reply(1) if reply == "none" else place
    assert asking.choose().backend.name == "a"
    assert asking.world.backlogs.find("gone").running == 0


def test_refusal_of_a_coordinator_reaches_the_caller_with_its_time(asking):
    asking.answer = lambda ask, ip: Reply(1, refused="no time", retry_after_s=1.5)
    with pytest.raises(TargetHopeless, match="no time") as caught:
        asking.choose()
    assert caught.value.retry_after_s == 1.5
    assert not asking.list_withdrawn()


def test_call_waits_for_a_coordinator_that_says_so_and_asks_again_under_its_number(asking):
    backend = asking.world.catalog.backends["a"]
    replies = [Reply(1, waits=True), Reply(1, waits=True), make_reply(backend)]
    asking.answer = lambda ask, ip: replies.pop(0)
    assert asking.choose().backend is backend
    asks = [message for message, _ in asking.sent]
    assert [ask.number for ask in asks] == [1, 1, 1]


def test_coordinator_of_a_call_whose_time_is_over_is_not_passed_over(asking):
    def wait_for_ever(ask, ip):
        asking.world.now += 1.1
        return Reply(ask.number, waits=True)

    asking.answer = wait_for_ever
    asking.choose(1)
    backend = asking.world.catalog.backends["a"]
    asking.answer = lambda ask, ip: make_reply(backend, ask.number)
    asked = len(asking.list_asked())
    asking.choose(2)
    assert asking.list_asked()[asked:] == ["c1"]


def test_call_whose_caller_leaves_is_withdrawn(asking):
    asking.answer = lambda ask, ip: Reply(1, waits=True)
    waiting = gevent.spawn(asking.choose)
    gevent.sleep(0.05)
    assert asking.asks.list_pending() == (1,)
    waiting.kill()
    assert asking.asks.list_pending() == () and asking.list_withdrawn() == [1]


def test_late_or_second_reply_changes_nothing(asking):
    backend = asking.world.catalog.backends["a"]
    asking.answer = lambda ask, ip: make_reply(backend)
    asking.choose()
    asking.asks.handle_reply(make_reply(asking.world.add("b")), "c1")
    asking.asks.handle_reply(Reply(77, waits=True), "c1")
    assert asking.world.backlogs.find("b").running == 0


def test_moments_of_a_call_are_told_as_seconds_from_the_sending(asking):
    asking.choose(1, (PromptPart("x", 10),))
    ask = asking.sent[0][0]
    assert ask.demand.arrived_s == pytest.approx(0.0)
    assert ask.demand.until_s == pytest.approx(2.0)


def test_vm_that_coordinates_itself_asks_nobody():
    asking = Asking(())
    asking.world.add("a")
    assert asking.choose().backend.name == "a"
    assert not asking.sent
