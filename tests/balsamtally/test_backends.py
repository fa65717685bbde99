"""Bytes without end from a backend server, the store or a peer: bounded in memory and time."""

import contextlib
import time

import gevent
import h11
import pytest

from balsamtally import backends
from balsamtally.backends import (
    DRAIN_S,
    MAX_DRAINED_BYTES,
    MAX_HEAD_BYTES,
    BackendConnection,
    fetch,
)
from balsamtally.errors import AnswerCut, BalsamtallyError
from balsamtally.sockets import connect
from tests.balsamtally.scripted import ScriptedBackend

OK = b"HTTP/1.1 200 OK\r\nId: id1\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 65_536
# What the reader may take before it gives up: its bound, what one read brings and what the kernel
# holds for both ends.
KERNEL_BYTES = 16 * 2**20
# A call's deadline; bounds have to end it long before.
UNTIL_S = 20.0


class Flood:
    """A script that sends a beginning, then one block over and over."""

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
    """Run a backend server that floods; yield the flood with its address."""
    flood = Flood(beginning, block)
    with ScriptedBackend(flood) as server:
        flood.address = server.address
        yield flood


@contextlib.contextmanager
def open_connection(flood):
    connection = BackendConnection(connect(flood.address, 1.0))
    until_s = time.monotonic() + UNTIL_S
    connection.send(b"GET", b"/", ((b"Host", b"h"),), b"", until_s)
    try:
        yield connection, until_s
    finally:
        connection.close()


@contextlib.contextmanager
def count_turns():
    """Count how often another task gets its turn meanwhile."""
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
def test_head_or_frame_without_end_is_given_up(beginning, block):
    with run_flood(beginning, block) as flood, open_connection(flood) as (connection, until_s):
        with pytest.raises(AnswerCut):
            connection.read_head(until_s)
            for _ in connection.read_body(lambda: until_s):
                pass
        connection.close()
        assert time.monotonic() < until_s - UNTIL_S / 2
    assert flood.sent <= 2 * MAX_HEAD_BYTES + KERNEL_BYTES


def test_answer_that_nobody_gets_is_drained_within_bounds():
    beginning = OK + b"Content-Length: 99999999999\r\n\r\n"
    with run_flood(beginning, BLOCK) as flood, open_connection(flood) as (connection, until_s):
        connection.read_head(until_s)
        assert not connection.drain(until_s)
        assert not connection.reset(time.monotonic())
        connection.close()
    assert flood.sent <= MAX_DRAINED_BYTES + KERNEL_BYTES


def test_answer_that_nobody_gets_and_trickles_is_given_up_soon():
    beginning = OK + b"Content-Length: 9999\r\n\r\n"
    with run_flood(beginning, b"") as flood, open_connection(flood) as (connection, until_s):
        connection.read_head(until_s)
        begun_s = time.monotonic()
        assert not connection.drain(until_s)
        assert DRAIN_S <= time.monotonic() - begun_s < UNTIL_S / 2
        connection.close()


class ReadySocket:
    """A socket that has bytes ready at every read, so that no read waits."""

    def __init__(self, beginning, block):
        self._beginning, self._block = beginning, block

    def settimeout(self, timeout_s):
        pass

    def recv(self, size):
        data, self._beginning = self._beginning or self._block, b""
        return data


def open_ready(beginning, block):
    """Return a connection whose request is sent and whose server always has bytes ready."""
    connection = BackendConnection(ReadySocket(beginning, block))
    connection._http.send(h11.Request(method=b"GET", target=b"/", headers=((b"Host", b"h"),)))
    connection._http.send(h11.EndOfMessage())
    return connection


def test_interim_answers_without_end_are_given_up():
    connection = open_ready(b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100)
    with pytest.raises(AnswerCut, match="interim"):
        connection.read_head(time.monotonic() + 2.0)


def test_body_without_end_leaves_turns_to_others():
    """A server that always has bytes ready must not hold the process."""
    connection = open_ready(OK + b"Content-Length: 99999999999\r\n\r\n", BLOCK)
    until_s = time.monotonic() + UNTIL_S
    connection.read_head(until_s)
    with count_turns() as turns:
        for number, _ in enumerate(connection.read_body(lambda: until_s)):
            if number > 300:
                break
    assert len(turns) > 10


def test_page_without_end_is_given_up(monkeypatch):
    monkeypatch.setattr(backends, "MAX_FETCHED_BYTES", 200_000)
    beginning = OK + b"Content-Length: 99999999999\r\n\r\n"
    with run_flood(beginning, BLOCK) as flood, pytest.raises(BalsamtallyError):
        fetch(flood.address, b"/", UNTIL_S)
    assert flood.sent <= 200_000 + KERNEL_BYTES
