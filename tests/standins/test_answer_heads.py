"""Tests of the raw bytes that callers of real daemons get from backend servers that fail."""

import contextlib
import random
from collections import Counter

import gevent
import pytest
from gevent import socket

from standins.grid import CALLER_PORT, HOST, KEY, Grid, list_ids

# Above the time limit of the routes.
READ_TIMEOUT_S = 15.0
EACH = 4
ERRORS = (500, 502, 504)
ENDS = ("stall", "cut", "reset")
KINDS = ("draft", "draft", "history")
STEPS = ("500", "500", "502", "504", *ENDS, "whole", "whole", "whole")
CALLS = 150
PAUSE_S = 0.04


@pytest.fixture
def grid():
    with Grid(servers=2) as grid:
        yield grid


def read_raw(vm, kind, attempt_id, script, deadline_ms=5000):
    """Send a request and return all bytes received until the connection ends."""
    head = (
        f"POST /{kind}/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt_id}\r\n"
        f"Authorization: Token {KEY}\r\nDeadline-Ms: {deadline_ms}\r\nScript: {script}\r\n"
        "Token-Usage: 30,8\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )
    data = b""
    with contextlib.closing(socket.create_connection((vm.host, CALLER_PORT))) as sock:
        sock.settimeout(READ_TIMEOUT_S)
        sock.sendall(head.encode())
        with contextlib.suppress(ConnectionResetError):
            while piece := sock.recv(65536):
                data += piece
    return data


def read_stream(data):
    """Return the number of heads, the status, the event ids, and whether the stream is whole."""
    head, _, body = data.partition(b"\r\n\r\n")
    heads = data.count(b"HTTP/1.1 ")
    return heads, int(head.split()[1]), tuple(list_ids(body)), body.endswith(b"\r\n0\r\n\r\n")


def ask_all(grid, asked, pause_s=0.0):
    """Send requests of (route, script) in turn to all VMs; return what :func:`read_stream` says."""
    tasks = []
    for number, (kind, script) in enumerate(asked):
        vm = grid.vms[number % len(grid.vms)]
        tasks.append(gevent.spawn(read_raw, vm, kind, f"a{number}", script))
        gevent.sleep(pause_s)
    gevent.joinall(tasks, raise_error=True)
    return [read_stream(task.value) for task in tasks]


def test_stored_error_answer_is_not_written_into_a_begun_stream_by_a_daemon(grid):
    asked = [("draft", f"{error},{end}") for error in ERRORS for end in ENDS] * EACH
    found = Counter(zip(asked, ask_all(grid, asked), strict=True))
    assert found == {(case, (1, 200, (1,), False)): EACH for case in asked}


def test_callers_get_one_head_and_events_in_order_while_attempts_fail_at_random(grid):
    rng = random.Random(1)
    asked = [(rng.choice(KINDS), f"{rng.choice(STEPS)},{rng.choice(STEPS)}") for _ in range(CALLS)]
    found = ask_all(grid, asked, PAUSE_S)
    assert [case for case, (heads, *_) in zip(asked, found, strict=True) if heads != 1] == []
    assert all(ids == tuple(range(1, len(ids) + 1)) for _, _, ids, _ in found)
    assert {status for _, status, _, _ in found} >= {200, 500, 502}
