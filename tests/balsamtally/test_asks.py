"""Placement requests to the region's coordinator, and local placement if none replies."""

import gevent
import pytest

from balsamtally.asks import (
    MAX_ATTEMPTS,
    MAX_COORDINATORS,
    SILENT_PENALTY_S,
    PlacementClient,
)
from balsamtally.assessment import make_placement_target
from balsamtally.beats import Beat
from balsamtally.calls import PromptPart
from balsamtally.coordination import Ask, Reply, Withdrawal
from balsamtally.errors import TargetHopeless
from balsamtally.plans import CallProgress
from balsamtally.selection import Candidate
from tests.balsamtally.test_dispatch import WAIT_S, World


class ScriptedClient:
    """A placement client whose coordinators reply as scripted."""

    def __init__(self, coordinators=("c1", "c2")):
        self.world = World()
        self.sent = []
        self.answer = lambda ask, ip: None
        self.coordinators = [
            Beat(name, name, "home", f"{name}-1", 1, False, None, ()) for name in coordinators
        ]
        self.placement_client = PlacementClient(
            "i1", self.world.dispatch, self._find_coordinator, self._send, lambda: self.world.now
        )

    def _find_coordinator(self, service, excluded):
        assert service == "desk"
        return next((beat for beat in self.coordinators if beat.vm not in excluded), None)

    def _send(self, message, ip):
        self.sent.append((message, ip))
        reply = self.answer(message, ip) if isinstance(message, Ask) else None
        if reply is not None:
            gevent.spawn(self.placement_client.handle_reply, reply, ip)

    def choose(self, number=1, parts=()):
        with gevent.Timeout(WAIT_S):
            return self.placement_client.choose(self.world.plan(number, parts), CallProgress())

    def list_asked(self):
        return [ip for message, ip in self.sent if isinstance(message, Ask)]

    def list_withdrawn(self):
        return [message.number for message, _ in self.sent if isinstance(message, Withdrawal)]


def make_reply(backend, number=1):
    return Reply(
        number, place=make_placement_target(Candidate(backend, True, fresh_tokens=700), False, 0)
    )


@pytest.fixture
def client():
    client = ScriptedClient()
    client.world.add("a")
    return client


def test_granted_placement_is_used_and_counted(client):
    other = client.world.add("b")
    client.answer = lambda ask, ip: make_reply(other)
    choice = client.choose()
    assert choice.backend is other
    load = client.world.backlogs.find("b")
    assert (load.running, load.reading_tokens) == (1, 700)
    assert client.list_asked() == ["c1"] and not client.list_withdrawn()
    assert client.placement_client.list_pending() == () and client.placement_client.last_number == 1


def test_silent_coordinator_is_skipped_for_a_while_and_its_successor_is_asked(client):
    backend = client.world.catalog.backends["a"]
    client.answer = lambda ask, ip: make_reply(backend, ask.number) if ip == "c2" else None
    client.choose(1)
    assert client.list_asked() == ["c1"] * MAX_ATTEMPTS + ["c2"]
    assert client.list_withdrawn() == [1]
    client.choose(2)
    assert client.list_asked()[MAX_ATTEMPTS + 1 :] == ["c2"]
    client.world.now += SILENT_PENALTY_S + 0.1
    client.choose(3)
    assert client.list_asked()[MAX_ATTEMPTS + 2 :] == ["c1"] * MAX_ATTEMPTS + ["c2"]


def test_call_is_placed_locally_if_no_coordinator_replies(client):
    client.coordinators *= MAX_COORDINATORS
    assert client.choose().backend.name == "a"
    assert len(client.list_asked()) == MAX_ATTEMPTS * 2


@pytest.mark.parametrize("reply", ["none", "unknown", "leaving", "other_incarnation"])
def test_call_is_placed_locally_if_the_placement_is_unusable(client, reply):
    gone = client.world.add("gone")
    place = make_reply(gone)
    if reply in ("none", "unknown"):
        del client.world.catalog.backends["gone"]
    elif reply == "leaving":
        client.world.catalog.mark_leaving(gone, "told so")
    elif reply == "other_incarnation":
        client.world.add("gone")
        client.world.catalog.mark_leaving(client.world.catalog.backends["gone"], "told so")
    client.answer = lambda ask, ip: Reply(1) if reply == "none" else place
    assert client.choose().backend.name == "a"
    assert client.world.backlogs.find("gone").running == 0


def test_refusal_of_a_coordinator_reaches_the_caller_with_its_retry_time(client):
    client.answer = lambda ask, ip: Reply(1, refused="no time", retry_after_s=1.5)
    with pytest.raises(TargetHopeless, match="no time") as caught:
        client.choose()
    assert caught.value.retry_after_s == 1.5
    assert not client.list_withdrawn()


def test_waiting_call_repeats_its_request_under_the_same_number(client):
    backend = client.world.catalog.backends["a"]
    replies = [Reply(1, waits=True), Reply(1, waits=True), make_reply(backend)]
    client.answer = lambda ask, ip: replies.pop(0)
    assert client.choose().backend is backend
    asks = [message for message, _ in client.sent]
    assert [ask.number for ask in asks] == [1, 1, 1]


def test_passed_deadline_of_a_call_does_not_count_against_its_coordinator(client):
    def wait_for_ever(ask, ip):
        client.world.now += 1.1
        return Reply(ask.number, waits=True)

    client.answer = wait_for_ever
    client.choose(1)
    backend = client.world.catalog.backends["a"]
    client.answer = lambda ask, ip: make_reply(backend, ask.number)
    asked = len(client.list_asked())
    client.choose(2)
    assert client.list_asked()[asked:] == ["c1"]


def test_call_whose_caller_leaves_is_withdrawn(client):
    client.answer = lambda ask, ip: Reply(1, waits=True)
    waiting = gevent.spawn(client.choose)
    gevent.sleep(0.05)
    assert client.placement_client.list_pending() == (1,)
    waiting.kill()
    assert client.placement_client.list_pending() == () and client.list_withdrawn() == [1]


def test_late_or_second_reply_changes_nothing(client):
    backend = client.world.catalog.backends["a"]
    client.answer = lambda ask, ip: make_reply(backend)
    client.choose()
    client.placement_client.handle_reply(make_reply(client.world.add("b")), "c1")
    client.placement_client.handle_reply(Reply(77, waits=True), "c1")
    assert client.world.backlogs.find("b").running == 0


def test_times_of_a_call_are_sent_relative_to_the_sending(client):
    client.choose(1, (PromptPart("x", 10),))
    ask = client.sent[0][0]
    assert ask.demand.arrived_s == pytest.approx(0.0)
    assert ask.demand.until_s == pytest.approx(2.0)


def test_vm_that_coordinates_itself_sends_no_requests():
    client = ScriptedClient(())
    client.world.add("a")
    assert client.choose().backend.name == "a"
    assert not client.sent
