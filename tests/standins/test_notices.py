"""Tests with real daemons of backend servers that announce their end or a pause in answers."""

import itertools
import time
from functools import partial

import gevent
import pytest

from standins.grid import Grid
from standins.grid_callers import GridCaller, find_faults
from tests import polling

expect_soon = partial(polling.expect_soon, timeout_s=20.0)
# Time that an announcement may take to the other entry VMs: two heartbeats to all.
TELLING_S = 3.0


@pytest.fixture
def grid():
    with Grid(vms=2, servers=2, domains=1) as grid:
        yield grid


_parts = itertools.count(1)


def ask(kind, vm):
    """Send a call whose prompt shares no parts with others, so that any runner may get it."""
    part = next(_parts)
    with GridCaller(vm) as caller:
        return caller.ask(kind, b"body", Prompt_Prefix=f"a{part}:20,b{part}:10")


def ask_until(kind, vm, check):
    """Send calls until a condition holds."""

    def ask_and_check():
        ask(kind, vm)
        return check()

    expect_soon(ask_and_check)


def ask_all(grid, kind, count=12):
    """Send calls to all entry VMs and return the answers."""
    return [ask(kind, vm) for _ in range(count) for vm in grid.vms]


@pytest.mark.parametrize(
    "kind, service, fault",
    [
        ("draft", "model", ""),
        ("lookup", "desk", ""),
        ("sign", "desk", "full"),
        ("lookup", "desk", "error"),
    ],
    ids=["stream", "whole", "refusal", "error"],
)
def test_runner_that_says_in_an_answer_that_it_leaves_gets_no_further_calls(
    grid, kind, service, fault
):
    leaving, other = grid.list_servers(service)
    grid.store.fault = "silent"
    leaving.fault, leaving.leaving = fault, True
    ask_until(kind, grid.vms[0], lambda: leaving.arrivals)
    gevent.sleep(TELLING_S)
    before = len(leaving.arrivals)
    # An older ready entry of the same incarnation, as after an outage of the store.
    grid.store.fault = ""
    leaving.register("ready")
    answers = ask_all(grid, kind)
    gevent.sleep(0.5)
    answers += ask_all(grid, kind)
    assert len(leaving.arrivals) == before
    assert all(answer.good for answer in answers)
    assert [find_faults(grid, kind, answer) for answer in answers] == [[]] * len(answers)
    assert all("server-leaving" not in answer.headers for answer in answers)
    assert all(vm.count_events("backend_leaving", backend=leaving.name) == 1 for vm in grid.vms)


def test_new_incarnation_of_a_runner_that_left_gets_calls(grid):
    leaving, other = grid.list_servers("desk")
    leaving.leaving = True
    ask_until("lookup", grid.vms[0], lambda: leaving.arrivals)
    leaving.leaving = False
    leaving.restart()
    before = len(leaving.arrivals)
    ask_until("lookup", grid.vms[0], lambda: len(leaving.arrivals) > before)


def test_paused_runner_gets_no_calls_until_its_pause_ends(grid):
    paused, other = grid.list_servers("desk")
    [vm] = grid.vms[:1]
    paused.fault, paused.retry_after = "full", "2.5"
    ask_until("lookup", vm, lambda: paused.arrivals)
    paused.fault = ""
    refused_s = paused.arrivals[-1][1]
    tasks = []
    with GridCaller(vm) as caller:
        while time.monotonic() < refused_s + 2.0:
            tasks.append(gevent.spawn(caller.ask, "lookup", b"body"))
            tasks[-1].join()
    assert all(task.value.good for task in tasks)
    assert not [at for _, at in paused.arrivals if refused_s < at < refused_s + 2.5]
    assert vm.count_events("backend_ejected", backend=paused.name) == 0
    before = len(paused.arrivals)
    ask_until("lookup", vm, lambda: len(paused.arrivals) > before)


def test_calls_are_refused_until_the_end_of_the_first_pause_if_all_runners_pause(grid):
    for number, server in enumerate(grid.list_servers("desk")):
        server.fault, server.retry_after = "full", str(8 + 20 * number)
    vm = grid.vms[0]
    with GridCaller(vm) as caller:
        first = caller.ask("sign", b"body")
        answers = [caller.ask("sign", b"body") for _ in range(5)]
    assert first.status == 503 and find_faults(grid, "sign", first) == []
    for answer in answers:
        assert answer.status == 503 and find_faults(grid, "sign", answer) == []
        assert 5.0 < float(answer.headers["retry-after"]) < 9.5
    assert [len(server.arrivals) for server in grid.list_servers("desk")] == [1, 1]


@pytest.mark.parametrize("value", ["0", "soon", "-1", "1e3", "9" * 400])
def test_odd_pause_costs_nothing(grid, value):
    odd, other = grid.list_servers("desk")
    odd.fault, odd.retry_after = "full", value
    ask_until("lookup", grid.vms[0], lambda: odd.arrivals)
    odd.fault = ""
    before = len(odd.arrivals)
    ask_until("lookup", grid.vms[0], lambda: len(odd.arrivals) > before)
