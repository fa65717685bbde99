"""Relayed connections: bytes and both sides' ends pass through another entry VM."""

import contextlib
import time
from dataclasses import replace

import gevent
import pytest
from gevent import socket

from balsamtally.backends import Connections
from balsamtally.errors import (
    AnswerCut,
    BackendRefused,
    BackendUnreachable,
    LinksLost,
    PathUnavailable,
)
from balsamtally.paths import dialer as dialers
from balsamtally.paths.dialer import HEAD_START_S, Dialer, RelayVm
from balsamtally.paths.losses import Losses
from balsamtally.paths.relays import Relay
from balsamtally.paths.tunnels import open_tunnel
from balsamtally.sockets import USER_TIMEOUT_MS, await_end, close, connect, listen, reset
from standins.fleet import draw_host
from tests.balsamtally.scripted import ScriptedBackend, hang, make_backend, reply
from tests.polling import expect_soon

SOURCE = "127.0.0.1"
HEADERS = ((b"Host", b"h"), (b"Content-Length", b"0"))
# Longest time that a call may lose on its first attempt over a lost link.
FIRST_S = 0.6
# Longer than the time-out of a sender whose receiver has no room, as set for other connections.
PAUSE_S = USER_TIMEOUT_MS / 1000 + 1.5


class World:
    """A VM whose direct links fail as set, relays, and one backend server.

    :ivar cut: how direct connections of the VM fail, ``None`` for not at all
    """

    def __init__(self, monkeypatch, script=None):
        self.server = ScriptedBackend(script or reply())
        self.relays: list[RelayVm] = []
        self.cut = None
        self.relay_open = True
        self.controls = []
        self.is_peer = True
        self._stack = contextlib.ExitStack()
        monkeypatch.setattr(dialers, "connect", self._connect)

    def __enter__(self):
        self._stack.enter_context(self.server)
        self.backend = make_backend("b1", self.server.address)
        self.losses = Losses()
        self.dialer = Dialer(self.losses, lambda: self.relays, source=SOURCE)
        self.connections = self._stack.enter_context(Connections(dialer=self.dialer))
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def _connect(self, address, timeout_s):
        if self.cut == "hang":
            gevent.sleep(timeout_s)
            raise TimeoutError("timed out")
        if self.cut == "refuse":
            raise ConnectionRefusedError("refused")
        return connect(address, timeout_s)

    def add_relay(self, vm="vm2", address=None, incarnation="first", **limits):
        address = address or (draw_host(), 8000)
        relay = Relay(
            address,
            incarnation,
            lambda: [self.backend, *self.controls],
            lambda ip: self.is_peer,
            lambda: self.relay_open,
            Losses(),
            **limits,
        )
        self._stack.enter_context(relay)
        self.relays.append(RelayVm(vm, address, "d"))
        return relay

    def stop_relay(self, relay):
        """End a relay as its process does at the end of its grace period."""
        relay.__exit__(None, None, None)

    def add_silent_relay(self, vm="silent"):
        listener = self._stack.enter_context(contextlib.closing(listen((draw_host(), 0))))
        self.relays.append(RelayVm(vm, listener.getsockname(), "d"))

    def ask(self):
        """Send a request to the backend server; return the body and the relay that it took."""
        until_s = time.monotonic() + 2.0
        connection = self.connections.acquire(self.backend, 2.0, "id1")
        connection.send(b"GET", b"/", HEADERS, b"", until_s)
        connection.read_head(until_s)
        body = connection.read_whole(until_s, 1000)
        connection.close()
        return body, connection.relay


@pytest.fixture
def world(monkeypatch):
    with World(monkeypatch) as world:
        yield world


@pytest.mark.parametrize("cut", ["hang", "refuse"])
def test_call_of_a_vm_without_links_is_served_through_another_vm(world, cut):
    world.add_relay()
    world.cut = cut
    begun_s = time.monotonic()
    assert world.ask() == (b"answer", "vm2")
    assert time.monotonic() - begun_s < FIRST_S
    begun_s = time.monotonic()
    assert world.ask() == (b"answer", "vm2")
    assert time.monotonic() - begun_s < HEAD_START_S


def test_direct_link_is_used_again_once_it_is_back(world):
    world.add_relay()
    world.cut = "hang"
    world.ask()
    world.cut = None
    with world.dialer:
        expect_soon(lambda: not world.losses.list_lost())
    assert world.ask() == (b"answer", "")


def test_second_relay_is_asked_beside_one_that_hangs(world, monkeypatch):
    monkeypatch.setattr(dialers.random, "shuffle", lambda relays: None)
    world.add_silent_relay()
    world.add_relay("vm3")
    world.cut = "hang"
    begun_s = time.monotonic()
    assert world.ask() == (b"answer", "vm3")
    assert time.monotonic() - begun_s < FIRST_S


def test_end_of_a_server_is_told_from_a_lost_link(world):
    world.add_relay()
    world.cut = "refuse"
    assert not world.connections.refuses_connections(world.backend)
    world.server.stop_listening()
    assert world.connections.refuses_connections(world.backend)


def test_refusal_counts_as_the_end_of_a_server_for_a_vm_without_peers(world):
    world.server.stop_listening()
    assert world.connections.refuses_connections(world.backend)


def test_loss_of_all_links_without_a_relay_is_no_news_of_the_servers(world):
    world.relays.append(RelayVm("vm2", (draw_host(), 8000), "d", open=False))
    world.cut = "refuse"
    world.losses.record_failed(make_backend("b2"))
    with pytest.raises(LinksLost):
        world.connections.acquire(world.backend, 1.0, "id1")


def test_server_that_no_vm_reaches_is_unreachable(world):
    world.add_relay()
    world.server.stop_listening()
    with pytest.raises(BackendUnreachable) as caught:
        world.connections.acquire(world.backend, 1.0, "id1")
    assert type(caught.value) is BackendUnreachable


@pytest.mark.parametrize(
    "reason, told",
    [
        ("stranger", "ConnectionClosed|reset"),
        ("leaving", "503"),
        ("full", "503"),
        ("unknown target", "403"),
    ],
)
def test_relay_connects_only_for_peers_to_known_servers_while_it_has_room(world, reason, told):
    relay = world.add_relay(max_tunnels=0 if reason == "full" else 8)
    world.is_peer = reason != "stranger"
    world.relay_open = reason != "leaving"
    target = (draw_host(), 9) if reason == "unknown target" else world.backend.address
    with pytest.raises(PathUnavailable, match=told):
        open_tunnel(world.relays[0].address, target, 1.0, SOURCE)
    assert (relay.opened, world.server.connections) == (0, 0)


def test_relay_passes_large_bodies_both_ways_with_a_slow_reader(monkeypatch):
    body = bytes(range(256)) * 8_192
    with World(monkeypatch, lambda sock, request: sock.sendall(request)) as world:
        world.add_relay()
        sock, _ = open_tunnel(world.relays[0].address, world.backend.address, 1.0, SOURCE)
        with contextlib.closing(sock):
            sock.settimeout(5.0)
            sent = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            sending = gevent.spawn(sock.sendall, sent)
            received = bytearray()
            while len(received) < len(sent):
                received += sock.recv(20_000)
                gevent.sleep(0.001)
            sending.get()
        assert bytes(received) == sent


@pytest.mark.parametrize("leave", [socket.socket.close, reset])
def test_server_learns_soon_that_the_caller_has_left(monkeypatch, leave):
    with World(monkeypatch, hang) as world:
        relay = world.add_relay()
        sock, _ = open_tunnel(world.relays[0].address, world.backend.address, 1.0, SOURCE)
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        expect_soon(lambda: world.server.requests)
        leave(sock)
        expect_soon(lambda: world.server.closed == 1, timeout_s=0.4)
        expect_soon(lambda: relay.open == 0)


def test_end_through_a_relay_is_confirmed_only_once_the_server_has_it(monkeypatch):
    with World(monkeypatch, hang) as world:
        world.add_relay()
        address = world.relays[0].address
        sock, _ = open_tunnel(address, world.backend.address, 1.0, SOURCE)
        assert await_end(sock, 1.0)
        monkeypatch.setattr("balsamtally.paths.relays.end_sending", lambda sock, timeout_s: False)
        sock, _ = open_tunnel(address, world.backend.address, 1.0, SOURCE)
        assert not await_end(sock, 1.0)


@pytest.mark.parametrize("resets", [False, True])
def test_end_of_the_server_s_side_arrives_as_it_was(monkeypatch, resets):
    def end(sock, request):
        if resets:
            reset(sock)
        return False

    with World(monkeypatch, end) as world:
        world.add_relay()
        sock, _ = open_tunnel(world.relays[0].address, world.backend.address, 1.0, SOURCE)
        sock.settimeout(2.0)
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        if resets:
            with pytest.raises(ConnectionResetError):
                sock.recv(1)
        else:
            assert sock.recv(1) == b""


def test_idle_connections_through_a_leaving_vm_are_closed(world):
    relay = world.add_relay()
    world.cut = "hang"
    world.connections.prepare(world.backend, 1.0, "id1")
    assert relay.open == 1
    world.connections.close_idle_through("vm2")
    expect_soon(lambda: relay.open == 0)


def test_call_is_refused_at_once_while_all_vms_are_cut_off(world):
    world.relays.append(RelayVm("vm2", (draw_host(), 8000), "d", open=False))
    world.cut = "hang"
    for name in ("b2", "b3"):
        world.losses.record_failed(make_backend(name))
    begun_s = time.monotonic()
    with pytest.raises(LinksLost):
        world.connections.acquire(world.backend, 1.0, "id1")
    assert time.monotonic() - begun_s < HEAD_START_S / 2
    world.cut = None
    with world.dialer:
        world.losses.record_failed(world.backend)
        expect_soon(lambda: not world.losses.is_cut_off())
    assert world.ask() == (b"answer", "")


def send_unframed(pieces):
    """Return a script that sends an answer without a length and waits before its last piece."""

    def answer(sock, request):
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + pieces[0])
        gevent.sleep(0.3)
        sock.sendall(pieces[1])
        return False

    return answer


@pytest.mark.parametrize("end", ["", "gone", "replaced"])
def test_end_of_a_relay_does_not_pass_for_the_end_of_an_answer(monkeypatch, end):
    with World(monkeypatch, send_unframed([b"first half, ", b"second half"])) as world:
        relay = world.add_relay()
        world.add_relay("vm3")
        world.cut = "hang"
        monkeypatch.setattr(dialers.random, "shuffle", lambda relays: None)
        until_s = time.monotonic() + 5.0
        connection = world.connections.acquire(world.backend, 2.0, "id1")
        connection.send(b"GET", b"/", HEADERS, b"", until_s)
        connection.read_head(until_s)
        if end:
            # A process that is killed ends its connections in order.
            monkeypatch.setattr("balsamtally.paths.relays.reset", close)
            gevent.spawn_later(0.1, world.stop_relay, relay)
        body = connection.read_whole(until_s, 1000)
        if end == "replaced":
            world.add_relay("vm2", world.relays[0].address, incarnation="another")
        is_whole = world.connections.is_still_running(world.backend, connection)
        assert is_whole is (not end)
        assert body == (b"first half, " if end else b"first half, second half")
        connection.close()


def test_relay_that_stops_resets_its_connections(monkeypatch):
    with World(monkeypatch, hang) as world:
        relay = world.add_relay()
        sock, _ = open_tunnel(world.relays[0].address, world.backend.address, 1.0, SOURCE)
        sock.settimeout(2.0)
        world.stop_relay(relay)
        with pytest.raises(ConnectionResetError):
            sock.recv(1)


def test_bytes_that_come_before_a_request_are_not_lost_in_a_relay(monkeypatch):
    with World(monkeypatch) as world:
        relay = socket.socket()
        relay.bind((draw_host(), 0))
        relay.listen(1)

        def greet():
            sock, _ = relay.accept()
            sock.recv(1000)
            sock.sendall(b"HTTP/1.1 200 \r\n\r\nHTTP/1.1 200 OK\r\n")
            gevent.sleep(1.0)

        gevent.spawn(greet)
        with pytest.raises(PathUnavailable, match="bytes came"):
            open_tunnel(relay.getsockname(), world.backend.address, 1.0, SOURCE)
        relay.close()


@pytest.mark.parametrize("known", [False, True])
def test_relay_without_links_of_its_own_tells_nothing_about_a_server(world, monkeypatch, known):
    relay = world.add_relay()
    world.controls = [make_backend("b2", (draw_host(), 9))]
    world.server.stop_listening()
    if known:
        relay._losses.record_lost(world.backend, "vm9", hangs=False)
    with pytest.raises(PathUnavailable):
        open_tunnel(world.relays[0].address, world.backend.address, 1.0, SOURCE)


def test_relay_of_another_domain_is_asked_while_those_of_one_domain_are_cut_off(world):
    for number in range(8):
        relay = world.add_relay(f"near{number}")
        relay._losses.record_lost(world.backend, "far", hangs=True)
    world.add_relay("far")
    world.relays[-1] = replace(world.relays[-1], domain="other")
    world.dialer._domain = world.relays[0].domain
    world.cut = "hang"
    begun_s = time.monotonic()
    assert world.ask() == (b"answer", "far")
    assert time.monotonic() - begun_s < FIRST_S


def test_reader_that_pauses_is_served_through_a_relay_as_directly(monkeypatch):
    body = b"x" * 4_000_000
    with World(monkeypatch, lambda sock, request: sock.sendall(body)) as world:
        world.add_relay()
        sock, _ = open_tunnel(world.relays[0].address, world.backend.address, 1.0, SOURCE)
        with contextlib.closing(sock):
            sock.settimeout(5.0)
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
            gevent.sleep(PAUSE_S)
            received = 0
            while piece := sock.recv(65_536):
                received += len(piece)
                if received == len(body):
                    break
        assert received == len(body)


def test_failure_on_a_way_that_broke_is_not_the_server_s(world):
    cut, full = AnswerCut(), BackendRefused()
    is_own_loss = world.connections.is_own_loss
    assert not is_own_loss(world.backend, "", cut)
    assert is_own_loss(world.backend, "vm2", cut) and not is_own_loss(world.backend, "vm2", full)
    world.losses.record_lost(world.backend, "vm2", hangs=False)
    assert is_own_loss(world.backend, "", cut) and not is_own_loss(world.backend, "", full)


def test_link_that_is_back_serves_calls_at_once_where_no_relay_is_left(world):
    relay = world.add_relay()
    world.cut = "hang"
    world.ask()
    world.cut = None
    world.stop_relay(relay)
    assert world.ask() == (b"answer", "")


@pytest.mark.parametrize("hangs", [False, True])
def test_kept_connections_are_used_unless_they_hang(world, hangs):
    world.add_relay()
    world.connections.prepare(world.backend, 1.0, "id0")
    world.cut = "hang" if hangs else "refuse"
    world.losses.record_lost(world.backend, "vm2", hangs)
    assert world.ask() == (b"answer", "vm2" if hangs else "")
