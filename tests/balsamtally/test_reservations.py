"""Reservations for peers' calls: each is counted once, also if datagrams are lost or late."""

import gevent
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamtally.backlogs import Load
from balsamtally.beats import Beat
from balsamtally.calls import PromptPart
from balsamtally.coordination import Ask, Withdrawal
from balsamtally.demands import Demand, make_demand, shift_times
from balsamtally.errors import BackendUnreachable
from balsamtally.plans import CallProgress
from balsamtally.reports import Finding, Report
from balsamtally.reservations import ASK_TTL_S, RECENT_ASK_S, UNCONFIRMED_TTL_S, Reservations
from tests.balsamtally.test_dispatch import World

IP = "127.0.0.7"
PEER = "vm2"


class Coordinator:
    """A coordinator on a simulated clock, with the replies that it sent."""

    def __init__(self):
        self.world = World()
        self.sent = []
        self.reservations = Reservations(
            self.world.dispatch, lambda reply, ip: self.sent.append(reply), lambda: self.world.now
        )

    def ask(self, number, parts=(), incarnation="i1"):
        demand = make_demand(self.world.plan(number, parts), CallProgress())
        ask = Ask(incarnation, number, shift_times(demand, -self.world.now))
        self.reservations.handle_ask(ask, IP)
        gevent.sleep(0)
        return ask

    def receive_beat(self, loads, asked, pending_asks=(), reports=()):
        beat = Beat(
            PEER,
            IP,
            "home",
            "i1",
            1,
            False,
            loads,
            (),
            last_ask_number=asked,
            pending_asks=pending_asks,
        )
        self.world.backlogs.record_peer_loads(PEER, loads)
        self.reservations.release_confirmed(beat)

    def count(self):
        return sum(self.world.backlogs.find(name).running for name in "ab")

    def pass_time(self, time_s):
        self.world.now += time_s
        self.reservations.drop_expired()
        gevent.sleep(0)


@pytest.fixture
def coordinator():
    coordinator = Coordinator()
    coordinator.world.add("a")
    return coordinator


def test_reservation_counts_until_the_peer_reports_the_work(coordinator):
    coordinator.ask(1)
    [reply] = coordinator.sent
    assert reply.place.backend == "a" and coordinator.count() == 1
    # A beat sent before the request says nothing about it.
    coordinator.receive_beat({}, asked=0)
    assert coordinator.count() == 1
    coordinator.receive_beat({}, asked=1, pending_asks=(1,))
    assert coordinator.count() == 1
    coordinator.receive_beat({"a": Load(1, (5,), 9)}, asked=1)
    assert coordinator.count() == 1
    coordinator.receive_beat({}, asked=1)
    assert coordinator.count() == 0


def test_repeated_request_gets_the_same_placement(coordinator):
    coordinator.ask(1)
    coordinator.ask(1)
    first, second = coordinator.sent
    assert first == second and coordinator.count() == 1


def test_unused_reservation_expires(coordinator):
    coordinator.ask(1)
    coordinator.pass_time(UNCONFIRMED_TTL_S + 0.1)
    assert coordinator.count() == 0


def test_waiting_call_is_answered_as_waiting_and_kept_while_beats_list_it(coordinator):
    coordinator.ask(1, (PromptPart("x", 30_000),))
    coordinator.ask(2)
    assert coordinator.sent[-1].waits
    for _ in range(3):
        coordinator.world.now += ASK_TTL_S * 0.9
        coordinator.receive_beat(
            {"a": Load(1, (0, 0, 0, 0, 30_000), 30_000)}, asked=2, pending_asks=(2,)
        )
        coordinator.pass_time(0.0)
    assert coordinator.world.dispatch.count_waiting() == {"desk": 1}
    coordinator.pass_time(ASK_TTL_S + 0.1)
    assert coordinator.world.dispatch.count_waiting() == {"desk": 0}


@pytest.mark.parametrize("waits", [True, False])
def test_withdrawn_call_holds_no_capacity(coordinator, waits):
    if waits:
        coordinator.receive_beat({"a": Load(1, (0, 0, 0, 0, 30_000), 30_000)}, asked=0)
    coordinator.ask(1)
    coordinator.reservations.handle_withdrawal(Withdrawal("i1", 1), IP)
    gevent.sleep(0)
    coordinator.receive_beat({}, asked=1)
    assert coordinator.count() == 0
    assert coordinator.world.dispatch.count_waiting().get("desk", 0) == 0


def test_call_that_cannot_meet_its_deadline_is_refused_with_a_retry_time(coordinator):
    coordinator.ask(1, (PromptPart("x", 400_000),))
    demand = make_demand(coordinator.world.plan(2, deadline_s=1.0), CallProgress())
    ask = Ask("i1", 2, shift_times(demand, -coordinator.world.now))
    coordinator.reservations.handle_ask(ask, IP)
    gevent.sleep(0)
    reply = coordinator.sent[-1]
    assert reply.refused and reply.retry_after_s > 0 and reply.place is None


def test_fault_during_placement_affects_only_that_call(coordinator, monkeypatch):
    def fail(demand, on_wait):
        raise ZeroDivisionError

    with monkeypatch.context() as patch:
        patch.setattr(coordinator.world.dispatch, "reserve", fail)
        coordinator.ask(1)
    coordinator.ask(2)
    assert [reply.place is None for reply in coordinator.sent] == [True, False]


def test_vm_with_recent_requests_acts_as_coordinator(coordinator):
    assert not coordinator.reservations.was_asked_recently("desk")
    coordinator.ask(1)
    assert coordinator.reservations.was_asked_recently("desk")
    coordinator.world.now += RECENT_ASK_S + 0.1
    assert not coordinator.reservations.was_asked_recently("desk")


def test_reports_of_peers_eject_an_unreachable_backend_server(coordinator):
    """Each of 69 VMs lost a caller's request to a crashed runner before it stopped using it."""
    world = coordinator.world
    lost, _ = world.add("lost"), world.add("b")
    beat = Beat(
        PEER, IP, "home", "i1", 1, False, {}, (),
        reports=(Report(Finding.UNREACHABLE, "desk", "lost", lost.born, 0.0,
                        code=BackendUnreachable.code),),
    )  # fmt: skip
    world.dispatch.record_beat(beat)
    parts = [(PromptPart(f"p{number}", 10),) for number in range(30)]
    chosen = {world.choose(world.plan(n, parts[n])).backend.name for n in range(30)}
    assert chosen == {"a", "b"}


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.booleans()),
        st.tuples(st.just("again"), st.integers(0, 9)),
        st.tuples(st.just("reply"), st.integers(0, 9)),
        st.tuples(st.just("beat"), st.booleans()),
        st.tuples(st.just("end"), st.integers(0, 9)),
        st.tuples(st.just("leave"), st.integers(0, 9)),
        st.tuples(st.just("wait"), st.floats(0.05, 0.6)),
    ),
    max_size=40,
)


@settings(max_examples=150)
@given(STEPS)
def test_work_is_neither_missed_nor_counted_twice_in_the_end(steps):
    """Requests, replies and beats of a peer are lost or late; a simple model gives the load."""
    coordinator = Coordinator()
    coordinator.world.add("a")
    coordinator.world.add("b")
    asked, asks, taken = 0, {}, []

    def beat():
        loads = {name: Load(taken.count(name)) for name in set(taken)}
        coordinator.receive_beat(loads, asked, tuple(asks))
        assert coordinator.count() >= len(taken)

    for kind, value in steps:
        if kind == "ask":
            asked += 1
            asks[asked] = None
            if value:
                coordinator.ask(asked)
        elif kind == "again" and asks:
            coordinator.ask(sorted(asks)[value % len(asks)])
        elif kind == "reply" and coordinator.sent:
            reply = coordinator.sent[value % len(coordinator.sent)]
            if reply.number in asks and reply.place is not None:
                del asks[reply.number]
                taken.append(reply.place.backend)
        elif kind == "beat" and value:
            beat()
        elif kind == "end" and taken:
            taken.pop(value % len(taken))
        elif kind == "leave" and asks:
            del asks[sorted(asks)[value % len(asks)]]
        elif kind == "wait":
            coordinator.pass_time(value)
    asks.clear()
    beat()
    coordinator.pass_time(UNCONFIRMED_TTL_S + 0.1)
    beat()
    assert coordinator.count() == len(taken)
    assert coordinator.world.dispatch.count_waiting().get("desk", 0) == 0


def test_call_with_absurd_token_counts_makes_no_message_odd(coordinator):
    # The largest numbers that a caller's headers can carry.
    parts = (PromptPart("p", 10**15 - 1),) * 256
    for number in range(1, 20):
        coordinator.ask(number, parts)
    messages = [*coordinator.sent, *coordinator.world.backlogs.list_own().values()]
    assert len(coordinator.sent) >= 19
    for message in messages:
        data = msgspec.msgpack.encode(message)
        assert msgspec.msgpack.decode(data, type=type(message)) == message


NUMBERS = st.integers(-5, 2**62)
MOMENTS = st.floats(allow_nan=True, allow_infinity=True)
DEMANDS = st.builds(
    Demand,
    request=st.text(max_size=5),
    route=st.text(max_size=5),
    service=st.sampled_from(["desk", "unknown", ""]),
    version=NUMBERS,
    tier=NUMBERS,
    urgency=NUMBERS,
    arrived_s=MOMENTS,
    target_s=MOMENTS,
    until_s=MOMENTS,
    gap_s=MOMENTS,
    parts=st.lists(st.builds(PromptPart, st.text(max_size=3), NUMBERS), max_size=3).map(tuple),
    prompt_tokens=NUMBERS,
    answer_tokens=NUMBERS,
    size_bytes=NUMBERS,
    avoid=st.lists(st.sampled_from(["a", "x"]), max_size=2).map(tuple),
)


@settings(max_examples=100)
@given(st.lists(DEMANDS, max_size=4))
def test_requests_with_arbitrary_values_affect_only_themselves(demands):
    coordinator = Coordinator()
    coordinator.world.add("a")
    for number, demand in enumerate(demands, 1):
        data = msgspec.msgpack.encode(Ask("i9", number, demand))
        coordinator.reservations.handle_ask(msgspec.msgpack.decode(data, type=Ask), IP)
    gevent.sleep(0)
    coordinator.pass_time(UNCONFIRMED_TTL_S + ASK_TTL_S)
    assert coordinator.count() == 0
    coordinator.ask(1)
    assert coordinator.sent[-1].place.backend == "a"
