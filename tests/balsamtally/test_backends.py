"""Tests of connections to backend servers: endless input is bounded in memory and time."""

import contextlib
import time

import gevent
import h11
import pytest
from gevent import socket

from balsamtally import backends
from balsamtally.backends import (
    DEFAULT_IDLE_S,
    DRAIN_S,
    MAX_DRAINED_BYTES,
    MAX_HEAD_BYTES,
    BackendConnection,
    Connections,
    fetch,
)
from balsamtally.errors import AnswerCut, BalsamtallyError
from balsamtally.sockets import connect, listen, reset, wait_ready
from tests.balsamtally.scripted import ScriptedBackend, hang, make_backend
from tests.polling import expect_soon

OK = b"HTTP/1.1 200 OK\r\nId: id1\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 65_536
# Bytes that a script can send beyond the reader's limit: one read and the kernel's socket buffers.
KERNEL_BYTES = 16 * 2**20
# Deadline of the call; the limits must end the call long before.
DEADLINE_S = 20.0


class Flood:
    """A script that sends a beginning, then the same block repeatedly."""

    def __init__(self, beginning, block):
        self._beginning, self._block = beginning, block
        self.sent = 0

    def __call__(self, sock, request):
        sock.sendall(self._beginning)
        while self._block:
            self.sent += sock.send(self._block)
        sock.recv(1)
        return False


@contextlib.contextmanager
def run_flood(beginning, block):
    """Run a backend server with a :class:`Flood` script; yield the script with its address."""
    flood = Flood(beginning, block)
    with ScriptedBackend(flood) as server:
        flood.address = server.address
        yield flood


@contextlib.contextmanager
def open_connection(flood):
    connection = BackendConnection(connect(flood.address, 1.0))
    until_s = time.monotonic() + DEADLINE_S
    connection.send(b"GET", b"/", ((b"Host", b"h"),), b"", until_s)
    try:
        yield connection, until_s
    finally:
        connection.close()


@contextlib.contextmanager
def count_turns():
    """Record how often another greenlet is scheduled."""
    turns = []

    def run():
        while True:
            turns.append(time.monotonic())
            gevent.sleep(0)

    task = gevent.spawn(run)
    gevent.sleep(0)
    try:
        yield turns
    finally:
        task.kill()


@pytest.mark.parametrize(
    ("beginning", "block"),
    [
        (OK + b"X: ", BLOCK),
        (OK, b"X: y\r\n" * 9_000),
        (b"", BLOCK),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
        (CHUNKED, BLOCK),
        (CHUNKED + b"5;", BLOCK),
        (CHUNKED + b"0\r\n", b"X: y\r\n" * 9_000),
    ],
    ids=["header line", "headers", "no answer", "interim", "chunk line", "extension", "trailers"],
)
def test_endless_head_or_chunk_framing_is_aborted(beginning, block):
    with run_flood(beginning, block) as flood, open_connection(flood) as (connection, until_s):
        with pytest.raises(AnswerCut):
            connection.read_head(until_s)
            for _ in connection.read_body(lambda: until_s):
                pass
        connection.close()
        assert time.monotonic() < until_s - DEADLINE_S / 2
    assert flood.sent <= 2 * MAX_HEAD_BYTES + KERNEL_BYTES


def test_discarded_answer_is_drained_up_to_the_size_limit():
    beginning = OK + b"Content-Length: 99999999999\r\n\r\n"
    with run_flood(beginning, BLOCK) as flood, open_connection(flood) as (connection, until_s):
        connection.read_head(until_s)
        assert not connection.drain(until_s)
        assert not connection.reset(time.monotonic())
        connection.close()
    assert flood.sent <= MAX_DRAINED_BYTES + KERNEL_BYTES


def test_discarded_answer_is_drained_up_to_the_time_limit():
    beginning = OK + b"Content-Length: 9999\r\n\r\n"
    with run_flood(beginning, b"") as flood, open_connection(flood) as (connection, until_s):
        connection.read_head(until_s)
        begun_s = time.monotonic()
        assert not connection.drain(until_s)
        assert DRAIN_S <= time.monotonic() - begun_s < DEADLINE_S / 2
        connection.close()


class ReadySocket:
    """A socket that has bytes ready at every read, so that no read blocks."""

    def __init__(self, beginning, block):
        self._beginning, self._block = beginning, block

    def settimeout(self, timeout_s):
        pass

    def recv(self, size):
        data, self._beginning = self._beginning or self._block, b""
        return data


def open_ready(beginning, block):
    """Return a connection with a sent request and a server that always has bytes ready."""
    connection = BackendConnection(ReadySocket(beginning, block))
    connection._http.send(h11.Request(method=b"GET", target=b"/", headers=((b"Host", b"h"),)))
    connection._http.send(h11.EndOfMessage())
    return connection


def test_endless_interim_answers_are_aborted():
    connection = open_ready(b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100)
    with pytest.raises(AnswerCut, match="interim"):
        connection.read_head(time.monotonic() + 2.0)


def test_reading_an_endless_body_yields_to_other_greenlets():
    """A server that always has bytes ready must not block the process."""
    connection = open_ready(OK + b"Content-Length: 99999999999\r\n\r\n", BLOCK)
    until_s = time.monotonic() + DEADLINE_S
    connection.read_head(until_s)
    with count_turns() as turns:
        for number, _ in enumerate(connection.read_body(lambda: until_s)):
            if number > 300:
                break
    assert len(turns) > 10


class LateSocket:
    """A socket whose wait for more input times out just as the other side acts.

    :param sock: the socket, in use
    :param act: lets the other side act, after the first input
    """

    def __init__(self, sock, act):
        self._sock, self._act = sock, act

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def recv(self, size, flags=0):
        if self._act is None or self._sock.gettimeout() == 0 or wait_ready(self._sock, 0.1)[0]:
            return self._sock.recv(size, flags)
        act, self._act = self._act, None
        act()
        expect_soon(lambda: wait_ready(self._sock, 0.0)[0])
        raise TimeoutError("timed out")


def end_in_order(sock):
    sock.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize("body", [b"", b"u" * 16_000_000], ids=["whole request", "upload"])
@pytest.mark.parametrize("act, whole", [(reset, False), (end_in_order, True)])
def test_answer_without_a_length_that_is_reset_as_the_reader_checks_is_cut(body, act, whole):
    """Guards against a part of an answer that looks whole: the kernel tells of a reset once."""
    listener = listen(("127.0.0.1", 0))
    with listener, socket.create_connection(listener.getsockname()) as sock:
        other, _ = listener.accept()
        connection = BackendConnection(LateSocket(sock, lambda: act(other)))
        checks = []
        connection.check = lambda: checks.append(time.monotonic())
        until_s = time.monotonic() + DEADLINE_S
        headers = ((b"Host", b"h"), (b"Content-Length", b"%d" % len(body)))
        sending = gevent.spawn(connection.send, b"POST", b"/", headers, body, until_s)
        other.recv(100)
        other.sendall(OK + b"\r\n" + b"x" * 5000)
        sending.get()
        connection.read_head(until_s)
        outcome = contextlib.nullcontext() if whole else pytest.raises(AnswerCut)
        with outcome:
            assert len(connection.read_whole(until_s, 10_000)) == 5000
        assert not checks
        other.close()


def test_fetching_an_endless_page_is_aborted(monkeypatch):
    monkeypatch.setattr(backends, "MAX_FETCHED_BYTES", 200_000)
    beginning = OK + b"Content-Length: 99999999999\r\n\r\n"
    with run_flood(beginning, BLOCK) as flood, pytest.raises(BalsamtallyError):
        fetch(flood.address, b"/", DEADLINE_S)
    assert flood.sent <= 200_000 + KERNEL_BYTES


def test_witness_that_its_server_closed_as_idle_does_not_show_the_end_of_the_server():
    now_s = [100.0]
    with ScriptedBackend(hang) as server, Connections(lambda: now_s[0]) as connections:
        backend = make_backend(address=server.address)
        connection = connections.acquire(backend, 1.0, "id1")
        connection.ends_by_close = True
        connections.add_witness(backend, connection)
        assert connections.is_still_running(backend, connection)
        expect_soon(lambda: server.connections == 3)
        gevent.killall(server._tasks[1:])
        expect_soon(lambda: connection.has_lost_witness(now_s[0]))
        assert not connections.is_still_running(backend, connection)
        now_s[0] += DEFAULT_IDLE_S
        assert connections.is_still_running(backend, connection)
        connection.close()
