"""Tests with real daemons of backend servers that name the request rate that they take."""

import contextlib
import itertools
import signal
import time
from functools import partial

import gevent
import pytest

from standins.grid import Grid
from standins.grid_callers import GridCaller, find_faults
from tests import polling

expect_soon = partial(polling.expect_soon, timeout_s=20.0)
CALLERS_PER_VM = 3
THINKING_S = 0.02
# The operators' rule: from this time after a limit was first named, in any window of this length,
# one and a half times the limit and five requests.
SETTLED_S = 4.0
WINDOW_S = 4.0
_parts = itertools.count(1)


def find_allowed(limit):
    return int(1.5 * limit * WINDOW_S) + 5


def find_most(server, since_s):
    """Return the most requests that reached a server within a window after a time."""
    times = sorted(at for _, at in server.arrivals if at >= since_s)
    return max((sum(start <= at <= start + WINDOW_S for at in times) for start in times), default=0)


def ask_once(caller, kind, answers):
    part = next(_parts)
    parts = f"a{part}:20,b{part}:10"
    answers.append(caller.ask(kind, b"body", Prompt_Prefix=parts, Event_S="0.01"))


def ask_repeatedly(vm, kind, answers):
    with GridCaller(vm) as caller:
        while True:
            ask_once(caller, kind, answers)
            # A caller that was refused doesn't return at once.
            refused = answers[-1].status in (0, 503)
            gevent.sleep(0.1 if refused else THINKING_S)


@contextlib.contextmanager
def load_on(vms, kind):
    """Let callers of all VMs ask within the context; yield the list of answers."""
    answers = []
    tasks = [
        gevent.spawn(ask_repeatedly, vm, kind, answers) for vm in vms for _ in range(CALLERS_PER_VM)
    ]
    try:
        yield answers
    finally:
        gevent.killall(tasks)


def name_limit(server, limit):
    """Let a server name a limit in its answers; return the time of the first such answer."""
    server.limits = (str(limit),)
    before = len(server.arrivals)
    expect_soon(lambda: len(server.arrivals) > before)
    return time.monotonic()


@pytest.mark.parametrize("kind, service", [("lookup", "desk"), ("draft", "model")])
@pytest.mark.parametrize("limit", [1.0, 2.5, 8.0])
def test_runner_that_named_a_limit_gets_no_more_from_all_vms_together(kind, service, limit):
    with Grid(vms=2, servers=1, domains=2) as grid:
        servers = grid.list_servers(service)
        with load_on(grid.vms, kind) as answers:
            gevent.sleep(1.0)
            named_s = [name_limit(server, limit) for server in servers]
            gevent.sleep(SETTLED_S + WINDOW_S + 2.0)
        most = [
            find_most(server, at + SETTLED_S) for server, at in zip(servers, named_s, strict=True)
        ]
        served = [
            sum(at >= first + SETTLED_S for _, at in server.arrivals)
            for server, first in zip(servers, named_s, strict=True)
        ]
        faults = [find_faults(grid, kind, answer) for answer in answers if answer.good]
    assert max(most) <= find_allowed(limit)
    # What it takes is used.
    assert min(served) >= 0.6 * limit * (WINDOW_S + 2.0) - 1
    assert not any(faults)


def test_other_runners_serve_the_calls_beyond_the_limit_of_one():
    with Grid(vms=2, servers=2, domains=2) as grid:
        limited, *others = grid.list_servers("desk")
        with load_on(grid.vms, "lookup") as answers:
            named_s = name_limit(limited, 1.0)
            gevent.sleep(SETTLED_S)
            before = len(answers)
            gevent.sleep(WINDOW_S + 1.0)
            later = answers[before:]
        assert find_most(limited, named_s + SETTLED_S) <= find_allowed(1.0)
        assert len(later) > 50
        assert all(answer.good for answer in later)


def test_limit_holds_while_a_vm_is_killed_and_starts_again():
    with Grid(vms=2, servers=1, domains=2) as grid:
        servers = grid.list_servers("desk")
        with load_on(grid.vms, "lookup"):
            named_s = max(name_limit(server, 1.0) for server in servers)
            gevent.sleep(SETTLED_S)
            for vm in grid.vms[:2]:
                vm.kill()
                gevent.sleep(1.0)
                grid.start(vm)
                gevent.sleep(WINDOW_S)
        assert max(find_most(server, named_s + SETTLED_S) for server in servers) <= find_allowed(
            1.0
        )


def test_limit_holds_while_vms_are_paused_in_turn():
    with Grid(vms=2, servers=1, domains=2) as grid:
        servers = grid.list_servers("desk")
        with load_on(grid.vms, "lookup"):
            named_s = max(name_limit(server, 2.5) for server in servers)
            gevent.sleep(SETTLED_S)
            for vm in grid.vms[:2]:
                vm.signal(signal.SIGSTOP)
                gevent.sleep(WINDOW_S)
                vm.signal(signal.SIGCONT)
                gevent.sleep(1.0)
        assert max(find_most(server, named_s + SETTLED_S) for server in servers) <= find_allowed(
            2.5
        )


def test_limit_ends_with_an_answer_that_names_none():
    with Grid(vms=2, servers=1, domains=2) as grid:
        servers = grid.list_servers("desk")
        with load_on(grid.vms, "lookup"):
            for server in servers:
                name_limit(server, 2.0)
            gevent.sleep(SETTLED_S)
            for server in servers:
                server.limits = ()
            gevent.sleep(3.0)
            freed_s = time.monotonic()
            gevent.sleep(2.0)
        for server in servers:
            assert sum(at >= freed_s for _, at in server.arrivals) > 20


@pytest.mark.parametrize(
    "values", [("-1",), ("nan",), ("inf",), ("1e999",), ("9" * 5000,), ("two",), ("1.0", "2.0")]
)
def test_odd_limit_is_logged_and_costs_no_runner_and_no_vm(values):
    with Grid(vms=1, servers=1, domains=1) as grid:
        [server] = grid.list_servers("desk")
        server.limits = values
        with load_on(grid.vms, "lookup") as answers:
            expect_soon(lambda: len(answers) > 40)
        assert all(answer.good for answer in answers)
        assert grid.vms[0].count_events("notice_refused", header="Server-Limit")
