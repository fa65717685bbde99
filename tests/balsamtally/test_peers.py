"""Entry VMs discover each other, pass records on and ignore datagrams that aren't beats."""

import contextlib
import math
import time
from collections import Counter

import gevent
import msgspec
import pytest
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from balsamtally.backlogs import Backlogs, Load, Size
from balsamtally.beats import REFRESH_BEAT_S, Beat, BeatTargets, Peer, PeerGroup, PromptRead
from balsamtally.callers import CallerServer
from balsamtally.calls import Limits
from balsamtally.catalog import Catalog, Decoder
from balsamtally.coordination import Withdrawal
from balsamtally.peers import (
    ALIVE_S,
    LOCAL_BEAT_S,
    MAX_PEERS_PER_BEAT,
    MAX_REMOTE_STRETCH,
    MAX_REMOTE_TARGETS,
    MAX_UNHEARD_TARGETS,
    REMOTE_ALIVE_S,
    REMOTE_BEAT_S,
    Peers,
)
from balsamtally.readers import PlatformReadState
from balsamtally.records import Record, Update
from balsamtally.reports import Finding, Report
from balsamtally.sockets import listen
from standins.fleet import draw_host
from tests.balsamtally.scripted import make_contracts, make_route
from tests.polling import expect_soon

PORT = 8310
REGIONS = {"home": "north", "beside": "north", "elsewhere": "south"}
DECODER = Decoder(
    lambda record: make_contracts(make_route(), version=int(record.value)),
    lambda key: None,
    None,
)


class Vm:
    """The gossip part of an entry VM, with the server that answers pulls."""

    def __init__(self, name, seeds, domain="home"):
        self.host = draw_host()
        self.received = []
        self.catalog = Catalog(DECODER)
        self.backlogs = Backlogs()
        own = Beat(name, self.host, domain, f"{name}-1", 0, False, {}, ())
        seeds = tuple(seeds) or (self.host,)
        self.peers = Peers(
            own, PORT, seeds, self.catalog, self.backlogs, REGIONS.get, self.received.append
        )
        self._server = CallerServer(
            listen((self.host, PORT)),
            Limits,
            self._serve,
            lambda caller, error: None,
            time.monotonic,
        )

    def _serve(self, caller, request):
        query = request.target.decode().partition("?")[2]
        caller.answer(200, (), self.peers.answer_pull(query))

    def __enter__(self):
        self._stack = contextlib.ExitStack()
        self._stack.enter_context(self._server)
        self._stack.enter_context(self.peers)
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    @property
    def names(self):
        return {peer.beat.vm for peer in self.peers.list_alive()}


@pytest.fixture
def fleet():
    with contextlib.ExitStack() as stack:
        first = stack.enter_context(Vm("a", ()))
        second = stack.enter_context(Vm("b", (first.host,)))
        third = stack.enter_context(Vm("c", (first.host,), domain="elsewhere"))
        yield first, second, third


def test_all_are_found_over_one_seed(fleet):
    expect_soon(lambda: [vm.names for vm in fleet] == [{"b", "c"}, {"a", "c"}, {"a", "b"}])
    assert [vm.peers.count_members() for vm in fleet] == [3, 3, 3]
    # The greeting of a peer in the same failure domain carries no load.
    greeted = fleet[1].received
    expect_soon(lambda: any(beat.vm == "a" and beat.loads is None for beat in greeted))


def test_vm_without_peers_shares_no_budget():
    with Vm("a", ()) as alone:
        gevent.sleep(0.1)
        assert alone.peers.count_members() == 0


def test_records_pass_on_to_those_that_are_behind(fleet):
    first, second, third = fleet
    first.catalog.merge([Record("contracts", 7, b"4")], "platform", 7)
    expect_soon(lambda: all(vm.catalog.contracts is not None for vm in fleet))
    assert {vm.catalog.contracts.version for vm in fleet} == {4}
    newer = [Record("contracts", 9, b"5"), Record("contracts", 8, b"6")]
    third.catalog.merge(newer, "platform", 9)
    expect_soon(lambda: all(vm.catalog.records.complete_revision == 9 for vm in fleet))
    assert {vm.catalog.contracts.version for vm in (first, second)} <= {5, 6}


def test_loads_and_reads_reach_the_others(fleet):
    first, second, third = fleet
    expect_soon(lambda: all(len(vm.names) == 2 for vm in fleet))
    first.backlogs.begin("runner", Size(100, 200), lambda: None, lambda: None)
    first.peers.record_read(PromptRead("runner", (("part", 100),)))
    for vm in (second, third):
        expect_soon(lambda vm=vm: vm.backlogs.find("runner") == Load(1, (100,), 200))
        expect_soon(lambda vm=vm: any(beat.reads for beat in vm.received))
        reads = [read for beat in vm.received for read in beat.reads]
        assert reads == [PromptRead("runner", (("part", 100),))]


def test_new_incarnation_is_seen(fleet):
    first, second, _ = fleet
    expect_soon(lambda: "b" in first.names)
    second.peers.own = msgspec.structs.replace(second.peers.own, incarnation="b-2")
    expect_soon(lambda: first.peers._peers["b"].beat.incarnation == "b-2")


def send_datagrams(vm, datagrams):
    with contextlib.closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as sock:
        for data in datagrams:
            sock.sendto(data, (vm.host, PORT))


@settings(max_examples=30)
@given(st.binary(max_size=60) | st.lists(st.integers(-9, 9) | st.text(), max_size=9))
def test_invalid_datagrams_are_ignored(data):
    data = data if isinstance(data, bytes) else msgspec.msgpack.encode(data)
    with Vm("a", ()) as vm:
        send_datagrams(vm, [data])
        gevent.sleep(0.02)
        beat = Beat("z", "127.0.0.9", "home", "z-1", 0, False, {}, ())
        send_datagrams(vm, [msgspec.msgpack.encode(beat)])
        expect_soon(lambda: "z" in vm.names)


# Nested more deeply than the stack of the decoder, behind the fields that a message has.
DEEP = b"\x91" * 12_000
ODD_BEATS = [
    {"revision": 2**63},
    {"last_ask_number": 2**63},
    {"ip": "not an IP number"},
    {"ip": "127.0.0.999"},
    {"ip": "a" * 100},
    {"peers": ("\0",)},
    {"loads": {"runner": Load(2**63, (2**63,), 2**63)}},
    {"region_loads": {"runner": Load(1, (), 2**64 - 1)}, "domain": "elsewhere"},
    {"reports": (Report(Finding.BEGAN, "desk", "runner", 1, math.nan),)},
    {"reports": (Report(Finding.BEGAN, "desk", "runner", 1, 1.0, math.inf),)},
    {"reports": (Report(Finding.BEGAN, "desk", "runner", 2**63, 1.0),)},
    {"reads": (PromptRead("runner", (("part", -(2**63)),)),)},
    {"departures": (("runner", 2**63),)},
    {"departures": (("runner", -1),)},
]


def list_warnings(lines):
    """Return the events above info; a beat to a peer without a socket is a line for debugging."""
    return [line["event"] for line in lines if line["log_level"] not in ("debug", "info")]


@pytest.mark.parametrize("odd", ODD_BEATS)
def test_odd_beat_is_refused_and_costs_no_other(odd):
    beat = Beat("y", "127.0.0.9", "home", "y-1", 0, False, {}, ())
    with Vm("a", ()) as vm, capture_logs() as lines:
        send_datagrams(vm, [msgspec.msgpack.encode(msgspec.structs.replace(beat, **odd))])
        send_datagrams(vm, [msgspec.msgpack.encode(beat)])
        expect_soon(lambda: "y" in vm.names)
        gevent.sleep(2 * LOCAL_BEAT_S)
    assert list_warnings(lines) == ["beat_refused"]


def test_deeply_nested_datagram_and_failing_handler_cost_no_other_datagram():
    beat = Beat("y", "127.0.0.9", "home", "y-1", 0, False, {}, ())
    fields = msgspec.msgpack.encode(beat)
    # The array has one element more, which is unknown to this version.
    count = len(msgspec.msgpack.decode(fields))
    head_bytes = 1 if count < 16 else 3
    deep = b"\xdc" + (count + 1).to_bytes(2, "big") + fields[head_bytes:] + DEEP
    with Vm("a", ()) as vm, capture_logs() as lines:
        vm.peers.handlers[Withdrawal] = lambda message, ip: {}[message.number]
        datagrams = [deep, msgspec.msgpack.encode(Withdrawal("i", 1)), fields]
        send_datagrams(vm, datagrams)
        expect_soon(lambda: "y" in vm.names)
    assert list_warnings(lines) == ["beat_refused", "handler_failed"]


@pytest.mark.parametrize(
    "body",
    [
        b"\x94\x01\x90\xcb" + bytes(8) + DEEP,
        msgspec.msgpack.encode(Update(2**63, [])),
        msgspec.msgpack.encode(Update(5, [Record("contracts", 2**63, b"9")])),
        msgspec.msgpack.encode(Update(5, [], math.inf)),
    ],
)
def test_odd_answer_to_a_pull_is_refused(fleet, monkeypatch, body):
    first, second, _ = fleet
    expect_soon(lambda: "b" in first.names)
    monkeypatch.setattr(second.peers, "answer_pull", lambda query: body)
    with capture_logs() as lines:
        first.peers._pull_from(first.peers._peers["b"], (0, 0))
    assert "pull_failed" in [line["event"] for line in lines]
    assert first.catalog.make_update(0) == Update(0, [], since=0)


def test_all_records_of_a_peer_of_an_earlier_release_are_pulled(fleet, monkeypatch):
    """Guards against a removal that is lost in an update that doesn't name its start."""
    first, second, _ = fleet
    expect_soon(lambda: "b" in first.names)
    first.peers._pulling = second.peers._pulling = True
    first.catalog.merge_listing([Record("contracts", 3, b"3"), Record("gone", 4, b"4")], 4, "p")
    second.catalog.merge_listing([Record("contracts", 3, b"3")], 5, "platform")
    queries = []

    def answer_pull(query):
        queries.append(query)
        update = msgspec.msgpack.decode(Peers.answer_pull(second.peers, query))
        return msgspec.msgpack.encode(update[:5])

    monkeypatch.setattr(second.peers, "answer_pull", answer_pull)
    first.peers._pull_from(first.peers._peers["b"], (0, 4))
    assert queries == ["era=0&since=4", "era=0&since=0"]
    assert [r.key for r in first.catalog.records.list_all() if r.value is not None] == ["contracts"]
    assert first.catalog.records.position == (0, 5)


def test_pull_with_a_query_that_is_not_valid_is_refused(fleet):
    with pytest.raises(ValueError):
        fleet[0].peers.answer_pull("since=x")
    update = msgspec.msgpack.decode(fleet[0].peers.answer_pull(""), type=Update)
    assert update == Update(0, [], since=0)


@contextlib.contextmanager
def record_sends(vm):
    """Collect the beats of a VM instead of sending them."""
    sent = []
    vm.peers._send = lambda beat, ips: sent.extend((ip, beat) for ip in ips)
    yield sent


def receive_from(vm, name, ip, domain, peers=()):
    vm.peers._handle_beat(Beat(name, ip, domain, f"{name}-1", 0, False, {}, peers))


def test_beats_between_regions_stay_few_however_many_peers_there_are():
    with Vm("a", ()) as vm, record_sends(vm) as sent:
        for place in range(60):
            receive_from(vm, f"far-{place}", f"127.9.0.{place}", "elsewhere")
        gevent.sleep(0.2)
        for peer in vm.peers._peers.values():
            peer.heard_s -= REMOTE_ALIVE_S
        sent.clear()
        begun = time.monotonic()
        gevent.sleep(2 * MAX_REMOTE_STRETCH * REMOTE_BEAT_S)
        beats = (time.monotonic() - begun) / REMOTE_BEAT_S + 1
        assert 0 < len(sent) <= beats * (MAX_REMOTE_TARGETS + MAX_UNHEARD_TARGETS)


def test_new_peer_receives_one_greeting_with_its_neighbours():
    with Vm("a", ()) as vm, record_sends(vm) as sent:
        for place in range(5):
            receive_from(vm, f"far-{place}", f"127.9.0.{place}", "elsewhere")
        receive_from(vm, "beside", "127.9.1.1", "beside", ("127.9.2.1",))
        receive_from(vm, "new", "127.9.0.9", "elsewhere")
        expect_soon(lambda: any(ip == "127.9.0.9" and beat.peers for ip, beat in sent))
        greetings = [
            beat for ip, beat in sent if ip == "127.9.0.9" and len(beat.peers) > MAX_PEERS_PER_BEAT
        ]
        assert len(greetings) == 1
        assert {f"127.9.0.{place}" for place in range(5)} <= set(greetings[0].peers)
        assert "127.9.1.1" not in greetings[0].peers
        assert "127.9.2.1" in {ip for ip, _ in sent}


def test_peers_of_the_local_region_receive_load_more_often_than_many_remote_ones():
    far = [(f"far-{place}", f"127.9.4.{place}", "elsewhere") for place in range(40)]
    # By its name this VM is the region's coordinator, so it sends no other VM each change.
    with Vm("a", ()) as vm, record_sends(vm) as sent:
        gevent.sleep(0.05)
        sent.clear()
        until_s = time.monotonic() + 2.0
        while time.monotonic() < until_s:
            for name, ip, domain in (
                ("near", "127.9.3.1", "home"),
                ("aside", "127.9.3.2", "beside"),
                *far,
            ):
                receive_from(vm, name, ip, domain)
            gevent.sleep(0.05)
        counts = Counter(ip for ip, _ in sent)
        told = sum(counts[ip] for _, ip, _ in far)
        assert counts["127.9.3.1"] > counts["127.9.3.2"] > 1
        assert (
            0
            < told
            <= (2.0 / REMOTE_BEAT_S / MAX_REMOTE_STRETCH + 1) * MAX_REMOTE_TARGETS + len(far)
        )


def test_peers_known_only_from_others_share_the_budget():
    with Vm("a", ()) as vm, record_sends(vm) as sent:
        assert vm.peers.count_members() == 0
        receive_from(vm, "near", "127.9.1.1", "home", ("127.9.2.1", "127.9.2.2", vm.host))
        assert vm.peers.count_members() == 4
        expect_soon(lambda: any(beat.peers for ip, beat in sent if ip == "127.9.1.1"))


def test_return_of_a_silent_peer_is_logged():
    with Vm("a", ()) as vm, record_sends(vm), capture_logs() as lines:
        receive_from(vm, "near", "127.9.1.1", "home")
        vm.peers._peers["near"].heard_s -= ALIVE_S
        expect_soon(lambda: any(line["event"] == "peer_silent" for line in lines))
        receive_from(vm, "near", "127.9.1.1", "home")
        receive_from(vm, "near", "127.9.1.1", "home")
    [back] = [line for line in lines if line["event"] == "peer_back"]
    assert back["peer"] == "near" and back["silent_s"] >= ALIVE_S


def test_beats_without_changes_are_sent_rarely():
    group = PeerGroup(0.2, REGIONS.get, 8)
    beat = Beat("a", "10.0.0.1", "home", "1", 0, False, {}, ())
    assert group.is_refresh_due(100.0) and group.has_changes(beat)
    group.record_sent(beat, 100.0)
    told = msgspec.structs.replace(beat, peers=("10.0.0.9",))
    assert not group.has_changes(told) and not group.is_refresh_due(100.0 + REFRESH_BEAT_S / 2)
    assert group.is_refresh_due(100.0 + REFRESH_BEAT_S)
    for change in (
        {"loads": {"runner": Load(1, (5,), 9)}},
        {"reads": (PromptRead("runner", (("part", 100),)),)},
        {"revision": 1},
        {"leaving": True},
    ):
        assert group.has_changes(msgspec.structs.replace(beat, **change))


def test_beats_to_part_of_a_group_are_sent_without_changes():
    group = PeerGroup(0.2, REGIONS.get, 8)
    with Vm("a", ()) as vm, record_sends(vm) as sent:
        for always, expected in ((False, 1), (True, 3)):
            for _ in range(2):
                vm.peers._send_changes(group, [], BeatTargets({"127.9.9.9"}, (), always), 100.0)
            assert sum(ip == "127.9.9.9" for ip, _ in sent) == expected


def test_idle_vms_send_one_beat_a_second_to_other_regions(idle_pair):
    near, far = idle_pair
    expect_soon(lambda: far.peers.own.vm in near.names and near.peers.own.vm in far.names)
    gevent.sleep(REFRESH_BEAT_S)
    received = len(far.received)
    gevent.sleep(3 * REFRESH_BEAT_S)
    assert 1 <= len(far.received) - received <= 4


@pytest.fixture
def idle_pair():
    with contextlib.ExitStack() as stack:
        near = stack.enter_context(Vm("a", ()))
        yield near, stack.enter_context(Vm("b", (near.host,), "elsewhere"))


def test_vm_that_has_caught_up_by_itself_is_no_longer_behind(monkeypatch):
    """The pull failed, then the VM's own watch delivered the records that its peers had."""
    monkeypatch.setattr("balsamtally.readers.MAX_LAG_S", 0.0)
    with Vm("a", ()) as vm, record_sends(vm):
        reader = Beat(
            "r", "127.0.0.9", "elsewhere", "1", 5, False, {}, (), (), PlatformReadState.READING
        )
        names = [f"b{place}" for place in range(40)]
        near = [Beat(name, name, "home", "1", 0, False, {}, ()) for name in names]
        vm.peers._pulling = True
        for beat in (reader, *near):
            vm.peers._handle_beat(beat)
        vm.peers._pulling = False
        monkeypatch.setattr(vm.peers, "_pull_from", lambda peer, revision: None)
        vm.peers._handle_beat(reader)
        expect_soon(vm.peers.should_read)
        expect_soon(lambda: not vm.peers._pulling)
        vm.catalog.merge([], "platform", 5)
        assert not vm.peers.should_read()


def make_aged_beat(revision, age_ms):
    return Beat("r", "127.0.0.9", "home", "1", revision, False, {}, (), age_ms=age_ms)


def test_age_of_the_records_is_learnt_from_beats_of_peers_that_know_no_more():
    vm = Vm("a", ())
    assert vm.peers._make_beat(()).age_ms is None
    vm.catalog.merge([], "platform", 5)
    vm.catalog.current_s -= 9.0
    vm.peers._pulling = True
    vm.peers._handle_beat(make_aged_beat(6, 0))
    vm.peers._handle_beat(make_aged_beat(5, None))
    assert 9.0 <= vm.catalog.age_s < 10.0 and vm.peers._make_beat(()).age_ms >= 9000
    vm.peers._handle_beat(make_aged_beat(5, 300))
    vm.peers._handle_beat(make_aged_beat(4, 8000))
    assert 0.3 <= vm.catalog.age_s < 1.3


def test_age_of_the_records_is_learnt_with_a_pull(fleet):
    first, second, _ = fleet
    expect_soon(lambda: "b" in first.names)
    first.peers._pulling = True
    second.catalog.merge([Record("contracts", 5, b"5")], "platform", 5)
    second.catalog.record_current()
    first.catalog.current_s -= 9.0
    first.peers._pull_from(first.peers._peers["b"], (0, 0))
    assert first.catalog.age_s < 1.0


def test_restarted_vm_learns_from_the_newest_of_its_peers():
    """A peer that is cut off from the platform still holds a key that was withdrawn."""
    with contextlib.ExitStack() as stack:
        seed = stack.enter_context(Vm("seed", ()))
        old = [stack.enter_context(Vm(f"old{place}", (seed.host,))) for place in range(4)]
        seed.catalog.merge([Record("contracts", 9, b"9")], "platform", 9)
        for vm in old:
            vm.peers._pulling = True
            vm.catalog.merge([Record("contracts", 5, b"5")], "platform", 5)
        fresh = Vm("fresh", (seed.host,))
        fresh.peers._pulling = True
        stack.enter_context(fresh)
        expect_soon(lambda: len(fresh.names) == 5)
        expect_soon(lambda: {p.beat.revision for p in fresh.peers.list_alive()} == {5, 9})
        fresh.peers._random.choice = lambda peers: min(peers, key=lambda peer: peer.beat.revision)
        fresh.peers._pull()
        assert fresh.catalog.contracts.version == 9


@pytest.mark.parametrize("size", [1, 8, 9, 33, 200])
def test_large_group_is_served_round_robin_and_each_peer_receives_every_read(size):
    group = PeerGroup(0.1, lambda domain: True, 8)
    names = [f"10.0.0.{place}" for place in range(size)]
    alive = [Peer(Beat(name, name, "home", "1", 0, False, {}, ()), 0.0) for name in names]
    rounds = -(-size // 8)
    received = {name: Counter() for name in names}
    for number in range(6 * rounds):
        if number < 4 * rounds:
            group.reads.append(PromptRead("runner", ((f"part{number}", 9),)))
        targets = group.select_targets(alive)
        assert len(targets.ips) <= 8 and targets.partial == (size > 8)
        for ip in targets.ips:
            received[ip].update(read.parts[0][0] for read in targets.reads)
    for counts in received.values():
        assert counts.keys() == {f"part{number}" for number in range(4 * rounds)}
        assert max(counts.values()) <= 2


DOMAIN_SIZE = 8
STEADY_CHECKS = 10


@pytest.fixture
def large_fleet(monkeypatch):
    """Two failure domains; each beat reaches as small a share of the peers as with hundreds."""
    monkeypatch.setattr("balsamtally.peers.MAX_LOCAL_TARGETS", 2)
    monkeypatch.setattr("balsamtally.peers.MAX_REMOTE_TARGETS", 2)
    with contextlib.ExitStack() as stack:
        seed = stack.enter_context(Vm("home0", ()))
        fleet = [seed]
        for domain in ("home", "elsewhere"):
            for place in range(domain == "home", DOMAIN_SIZE):
                vm = Vm(f"{domain}{place}", (seed.host,), domain)
                fleet.append(stack.enter_context(vm))
        yield fleet[:DOMAIN_SIZE], fleet[DOMAIN_SIZE:]


def list_coordinators(vms):
    """Return the VMs of a failure domain that coordinate its calls."""
    placing = [vm for vm in vms if vm.peers.find_coordinator("") is None]
    assert placing
    return placing


def test_calls_are_placed_with_the_work_of_all_vms_of_other_failure_domains(large_fleet):
    """When each VM knew only a part of the load, all placed calls on backlogs that seemed empty."""
    home, elsewhere = large_fleet
    everybody = len(home) + len(elsewhere) - 1
    expect_soon(lambda: all(len(vm.names) == everybody for vm in (*home, *elsewhere)))
    for vm in elsewhere:
        vm.backlogs.begin("runner", Size(100, 200), lambda: None, lambda: None)

    def all_work_stays_known():
        for _ in range(STEADY_CHECKS):
            gevent.sleep(REMOTE_BEAT_S)
            loads = [vm.backlogs.find("runner") for vm in list_coordinators(home)]
            if any(load.running != len(elsewhere) for load in loads):
                return False
        return True

    expect_soon(all_work_stays_known)
