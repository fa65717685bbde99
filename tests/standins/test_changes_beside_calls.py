"""Whole requests that cross a change of the configuration or of the settings, with daemons."""

import contextlib
import itertools
import random
import signal

import gevent
import pytest

from balsamtally.rendezvous import rank_members
from balsamtally.sockets import connect
from standins.grid import CALLER_PORT, HOST, KEY, ROUTES, Grid, make_config
from standins.grid_callers import GridCaller, find_faults, open_callers
from tests.answer_grammar import read_answers
from tests.polling import expect_soon

LONG_ROUTES = tuple(route | {"timeout_ms": 15_000} for route in ROUTES)
WITHOUT_SIGN = tuple(route for route in LONG_ROUTES if route["name"] != "sign")
WITHOUT_MODEL = tuple(route for route in LONG_ROUTES if route["service"] != "model")
# The other entry VM coordinates this service.
MOVED_TO = "model-moved"
STREAMS_PER_VM = 6
WORK_S = 1.0
SEED = 58
KEPT_CONNECTIONS = 12
IDLE_S = 0.6
BODY_PARTS = 8
PART_BYTES = 2_000
PART_INTERVAL_S = 0.1
versions = itertools.count(2)


@pytest.fixture(scope="module")
def deployed():
    with Grid(vms=2, servers=1, domains=1) as grid:
        grid.add_server("i-moved", MOVED_TO, grid.vms[0].domain)
        yield grid


@pytest.fixture
def grid(deployed):
    apply(deployed)
    return deployed


def configure(routes=LONG_ROUTES, keys=(KEY,), limits=(), without=()):
    """Return the next version of the configuration, with limits and without services by name."""
    config = make_config(next(versions), routes, keys)
    model = config["services"][0]
    services = [*config["services"], model | {"name": MOVED_TO}]
    return config | {
        "services": [service for service in services if service["name"] not in without],
        "limits": config["limits"] | dict(limits),
    }


def apply(grid, **changes):
    config = configure(**changes)
    grid.store.put("op/config", config)
    for vm in grid.vms:
        expect_soon(
            lambda vm=vm: vm.count_events("contracts_in_force", version=config["version"]) == 1
        )


def move(kind, service):
    return tuple(r | {"service": service} if r["name"] == kind else r for r in LONG_ROUTES)


def ask(vm, kind):
    with GridCaller(vm) as caller:
        headers = {"Event_S": str(WORK_S / 8), "Work_S": str(WORK_S), "Deadline_Ms": "15000"}
        return kind, caller.ask(kind, b"x" * 100, timeout_s=15.0, **headers)


def begin(grid, kind, count):
    return [gevent.spawn(ask, vm, kind) for vm in grid.vms for _ in range(count)]


def find_all_faults(grid, calls):
    return [fault for call in calls for fault in find_faults(grid, *call)]


@contextlib.contextmanager
def stopped(vms):
    """Keep the processes of entry VMs from running within the context."""
    try:
        for vm in vms:
            vm.signal(signal.SIGSTOP)
        yield
    finally:
        for vm in vms:
            vm.signal(signal.SIGCONT)


def send_on_kept_connection(vm, draws, answers):
    """Send requests on one connection, with pauses of up to half of the idle timeout.

    Append each answer, and the time since the former request on this connection was sent.
    """
    with GridCaller(vm) as caller:
        former = None
        while True:
            answer = caller.ask("sign", b"body", Work_S="0.005")
            between_s = answer.sent_s - former.sent_s if former is not None else 0.0
            answers.append((answer, between_s))
            former = answer if answer.whole else None
            gevent.sleep(draws.uniform(0.0, IDLE_S / 2))


def test_requests_on_kept_connections_are_answered_beside_new_limits_and_sighup(grid):
    """Guards against a connection that is closed under its limit while a request crosses."""
    draws = random.Random(SEED)
    answers = []
    tasks = [
        gevent.spawn(send_on_kept_connection, vm, draws, answers)
        for vm in grid.vms
        for _ in range(KEPT_CONNECTIONS)
    ]
    for limits in (
        {"idle_timeout_ms": 1000 * IDLE_S},
        {"idle_timeout_ms": 1000 * IDLE_S, "max_body_bytes": 10_000},
        {"idle_timeout_ms": 1000 * IDLE_S, "max_header_bytes": 4_096, "header_timeout_ms": 500},
    ):
        apply(grid, limits=limits)
        for vm in grid.vms:
            vm.limits = {"memory_mb": vm.limits["memory_mb"] - 10}
            grid.write_settings(vm)
            vm.signal(signal.SIGHUP)
        gevent.sleep(2 * IDLE_S)
    gevent.killall(tasks)
    in_time = [answer for answer, between_s in answers if between_s < IDLE_S]
    assert len(in_time) > 100
    assert [answer.status for answer in in_time if not answer.good] == []
    for vm in grid.vms:
        assert vm.count_events("settings_changed", changed=["memory_mb"]) == 3


def test_requests_in_time_are_served_by_vms_that_stood_still_beside_a_lower_idle_timeout(grid):
    """A connection was closed as idle though a request had arrived, and mostly had been read."""
    apply(grid, limits={"idle_timeout_ms": 1000 * IDLE_S})
    with open_callers(grid.vms * KEPT_CONNECTIONS) as callers:
        begun = [gevent.spawn(caller.ask, "sign", b"body") for caller in callers]
        assert all(call.get().good for call in begun)
        with stopped(grid.vms):
            crossing = [gevent.spawn(caller.ask, "sign", b"body") for caller in callers]
            gevent.sleep(2 * IDLE_S)
        answers = [call.get() for call in crossing]
    assert [answer.status for answer in answers if not answer.good] == []


BODY_CHANGES = {
    "route removed": ({"routes": WITHOUT_SIGN}, 404),
    "key removed": ({"keys": ("another-key",)}, 401),
    "smaller bodies": ({"limits": {"max_body_bytes": PART_BYTES}}, 200),
    "shorter idle timeout": ({"limits": {"idle_timeout_ms": 1000 * PART_INTERVAL_S}}, 200),
    "service moved": ({"routes": move("sign", MOVED_TO)}, 200),
}


def send_body_in_parts(vm, meanwhile):
    """Send a request in parts and return the bytes of its answer; call a function at half."""
    head = (
        f"POST /sign/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: p{next(versions)}\r\n"
        f"Authorization: Token {KEY}\r\nDeadline-Ms: 5000\r\nConnection: close\r\n"
        f"Content-Length: {BODY_PARTS * PART_BYTES}\r\n\r\n"
    )
    with contextlib.closing(connect((vm.host, CALLER_PORT), 5.0)) as sock:
        sock.sendall(head.encode())
        for number in range(BODY_PARTS):
            if number == BODY_PARTS // 2:
                meanwhile()
            sock.sendall(PART_BYTES * b"x")
            gevent.sleep(PART_INTERVAL_S)
        data = b""
        while piece := sock.recv(65_536):
            data += piece
    return data


@pytest.mark.parametrize("name", BODY_CHANGES)
def test_body_that_arrives_beside_a_change_is_answered_or_refused(grid, name):
    """Guards against a whole request that gets neither, as its route, key or limits change."""
    changes, status = BODY_CHANGES[name]
    data = send_body_in_parts(grid.vms[0], lambda: apply(grid, **changes))
    answers = read_answers(data, [b"POST"], "closed")
    assert [(answer.status, answer.whole) for answer in answers] == [(status, True)]


def test_calls_that_wait_are_served_as_their_service_gets_another_coordinator(grid):
    """Guards against calls that are lost between two coordinators as a change moves them."""
    names = [vm.name for vm in grid.vms]
    assert rank_members("model", names) != rank_members(MOVED_TO, names)
    apply(grid, without=(MOVED_TO,))
    # The server has eight places, so that some of the streams wait at the coordinator.
    before = begin(grid, "history", STREAMS_PER_VM)
    gevent.sleep(WORK_S / 4)
    crossing = begin(grid, "history", 2)
    apply(grid, routes=move("history", MOVED_TO))
    after = begin(grid, "history", 2)
    calls = [call.get() for call in before + crossing + after]
    assert [answer.status for _, answer in calls if not answer.good] == []
    assert find_all_faults(grid, calls) == []
    ran = {attempt for attempt, _, _ in grid.list_servers(MOVED_TO)[0].runs}
    assert {answer.id for _, answer in calls[-len(after) :]} <= ran


def test_calls_that_wait_and_run_are_served_as_their_routes_and_service_are_removed(grid):
    """Guards against calls that end with their service; later ones are refused."""
    begun = begin(grid, "history", STREAMS_PER_VM) + begin(grid, "draft", 1)
    gevent.sleep(WORK_S / 4)
    apply(grid, routes=WITHOUT_MODEL, without=("model", MOVED_TO))
    later = begin(grid, "history", 1)
    calls = [call.get() for call in begun]
    assert [answer.status for _, answer in calls if not answer.good] == []
    assert find_all_faults(grid, calls) == []
    refused = [call.get()[1] for call in later]
    assert [(answer.status, answer.whole) for answer in refused] == [(404, True)] * len(refused)
