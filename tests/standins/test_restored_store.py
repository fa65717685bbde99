"""Tests with real daemons and a store that comes back from a copy some seconds old."""

import time

import gevent
import pytest

from balsamtally.catalog import RETURN_GRACE_S
from standins.grid import ROUTES, Grid, make_config
from standins.grid_callers import GridCaller
from tests.polling import expect_soon

# The operators' bound: a configuration is in force this long after its acknowledgement.
APPLY_S = 3.0


def make_routes(*names):
    """Return the usual routes and idempotent ones with these names."""
    lookup = next(route for route in ROUTES if route["name"] == "lookup")
    added = [lookup | {"name": name, "path_prefix": f"/{name}/"} for name in names]
    return (*ROUTES, *added)


def ask(vm, kind):
    with GridCaller(vm) as caller:
        return caller.ask(kind, b"body").status


def expect_served(grid, kind, since_s):
    """Expect that all VMs serve a route in time after its configuration was written."""
    for vm in grid.vms:
        expect_soon(
            lambda vm=vm: ask(vm, kind) == 200, max(0.1, since_s + APPLY_S - time.monotonic())
        )


def publish(grid, version, *names):
    grid.store.put("op/config", make_config(version, make_routes(*names)))
    return time.monotonic()


def go_back(grid, copy):
    """Let the store be away for a moment and come back from a copy."""
    grid.store.fault = "busy"
    gevent.sleep(0.5)
    grid.store.restore(copy)
    grid.store.fault = ""


@pytest.fixture
def grid():
    with Grid(vms=2, servers=2, domains=2) as grid:
        grid.store.era = "1"
        yield grid


def test_routes_that_are_written_after_a_return_are_served_and_confirmed_ones_stay(grid):
    copy = grid.store.copy()
    for version in range(2, 6):
        publish(grid, version)
    expect_served(grid, "kept", publish(grid, 6, "kept"))
    go_back(grid, copy)
    for _ in range(10):
        assert {ask(vm, "kept") for vm in grid.vms} == {200}
        gevent.sleep(0.1)
    publish(grid, 6, "kept")
    expect_served(grid, "later", publish(grid, 7, "kept", "later"))
    assert {ask(vm, "kept") for vm in grid.vms} == {200}


def test_return_that_no_watch_notices_is_shown_by_the_era(grid):
    copy = grid.store.copy()
    expect_served(grid, "kept", publish(grid, 2, "kept"))
    grid.store.fault = "busy"
    gevent.sleep(0.5)
    grid.store.restore(copy)
    written_s = publish(grid, 3, "kept", "later")
    for server in grid.servers:
        server.register("ready")
    grid.store.fault = ""
    expect_served(grid, "later", written_s + 1.0)


def test_drain_written_after_a_return_is_known_to_all(grid):
    copy = grid.store.copy()
    for version in range(2, 8):
        publish(grid, version)
    gevent.sleep(1.0)
    go_back(grid, copy)
    leaving, *_ = grid.list_servers("desk")
    leaving.register("draining")
    gevent.sleep(APPLY_S)
    before = len(leaving.arrivals)
    for _ in range(10):
        assert {ask(vm, "lookup") for vm in grid.vms} == {200}
    assert len(leaving.arrivals) == before


def test_vm_that_starts_after_a_return_beside_others_learns_the_same(grid):
    copy = grid.store.copy()
    expect_served(grid, "kept", publish(grid, 2, "kept"))
    go_back(grid, copy)
    gevent.sleep(RETURN_GRACE_S)
    vm = grid.vms[0]
    vm.kill()
    grid.start(vm)
    grid.wait_ready([vm])
    written_s = publish(grid, 3, "kept", "later")
    expect_served(grid, "later", written_s)
    expect_served(grid, "kept", written_s)
