"""Backend servers that send nothing for a while and then go on, with real daemons."""

import contextlib
import signal

import gevent
import pytest

from standins.grid import ROUTES, Grid, make_config
from standins.grid_callers import GridCaller, find_faults
from tests.polling import expect_soon

STREAMS_PER_VM = 8
EVENT_S = 0.2
SILENT_S = 2.0
ADDED = {**ROUTES[1], "name": "added", "path_prefix": "/added/"}
LONG_ROUTES = tuple(route | {"timeout_ms": 15_000, "gap_target_ms": 100} for route in ROUTES)


@pytest.fixture
def grid():
    with Grid(vms=2, servers=2, domains=1) as deployed:
        deployed.store.put("op/config", make_config(2, LONG_ROUTES))
        for vm in deployed.vms:
            expect_soon(lambda vm=vm: vm.count_events("contracts_in_force", version=2) == 1)
        yield deployed


def ask(vm, kind):
    with GridCaller(vm) as caller:
        return caller.ask(kind, timeout_s=15.0, Event_S=str(EVENT_S), Deadline_Ms="15000")


@contextlib.contextmanager
def begun_streams(grid, kind):
    """Begin streams, yield, and check that all of them are complete."""
    calls = [gevent.spawn(ask, vm, kind) for vm in grid.vms for _ in range(STREAMS_PER_VM)]
    servers = grid.list_servers("model")
    expect_soon(lambda: sum(server.running for server in servers) == len(calls))
    gevent.sleep(EVENT_S)
    yield
    answers = [call.get() for call in calls]
    assert [answer.whole for answer in answers] == [True] * len(calls)
    assert [find_faults(grid, kind, answer) for answer in answers] == [[]] * len(calls)


def pause(*servers):
    """Let servers send nothing for a while, and then go on."""
    for server in servers:
        server.silent = True
    gevent.sleep(SILENT_S)
    for server in servers:
        server.silent = False


@pytest.mark.parametrize("beside", ["change", "hup", "nothing"])
def test_streams_of_a_sound_server_that_pauses_are_not_ended(grid, beside):
    """Those that may not be resumed were ended midway 1.3 s after the server's last event."""
    with begun_streams(grid, "history"):
        if beside == "change":
            grid.store.put("op/config", make_config(3, (*LONG_ROUTES, ADDED)))
        elif beside == "hup":
            for vm in grid.vms:
                vm.signal(signal.SIGHUP)
        gevent.sleep(EVENT_S)
        busiest = max(grid.list_servers("model"), key=lambda server: server.running)
        pause(busiest)
