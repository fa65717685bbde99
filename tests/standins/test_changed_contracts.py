"""Calls that wait or run, and requests that cross, as the configuration changes, with daemons."""

import itertools

import gevent

from standins.grid import ROUTES, Grid, make_config
from standins.grid_callers import GridCaller, Traffic, find_faults
from tests.polling import expect_soon

WORK_S = 1.0
STREAMS_PER_VM = 6
LONG_ROUTES = tuple(route | {"timeout_ms": 15_000} for route in ROUTES)
SHORT_ROUTES = tuple(route | {"timeout_ms": 300} for route in ROUTES)


def shorten_idle_timeout(config):
    return config | {"limits": config["limits"] | {"idle_timeout_ms": 250}}


CHANGES = {
    "routes removed": lambda version: make_config(version, LONG_ROUTES[3:]),
    "key removed": lambda version: make_config(version, LONG_ROUTES, ("another-key",)),
    "time-outs shorter": lambda version: make_config(version, SHORT_ROUTES),
    "idle timeout shorter": lambda version: shorten_idle_timeout(make_config(version, LONG_ROUTES)),
}


def ask(vm, kind, work_s):
    with GridCaller(vm) as caller:
        headers = {"Event_S": str(work_s / 8), "Work_S": str(work_s), "Deadline_Ms": "15000"}
        return kind, caller.ask(kind, b"x" * 100, timeout_s=15.0, **headers)


def apply(grid, config):
    grid.store.put("op/config", config)
    for vm in grid.vms:
        expect_soon(
            lambda vm=vm: vm.count_events("contracts_in_force", version=config["version"]) == 1
        )


def begin(grid, kind, count):
    return [gevent.spawn(ask, vm, kind, WORK_S) for vm in grid.vms for _ in range(count)]


def test_calls_are_answered_beside_changes_that_concern_them():
    """A whole request was reported to get neither an answer nor a refusal beside a change."""
    versions = itertools.count(2)
    with Grid(vms=2, servers=1, domains=1) as grid:
        apply(grid, make_config(next(versions), LONG_ROUTES))
        for name, change in CHANGES.items():
            with Traffic(grid.vms) as traffic:
                # The runner has eight places, so that some of the streams wait.
                begun = begin(grid, "history", STREAMS_PER_VM) + begin(grid, "sign", 2)
                gevent.sleep(WORK_S / 4)
                crossing = [gevent.spawn(ask, vm, "sign", 0.0) for vm in grid.vms]
                apply(grid, change(next(versions)))
                crossing += [gevent.spawn(ask, vm, "sign", 0.0) for vm in grid.vms]
                answers = [call.get() for call in begun]
                crossed = [call.get() for call in crossing]
            assert all(answer.good for _, answer in answers), name
            assert all(answer.whole for _, answer in crossed), name
            assert all(answer.whole for answer in traffic.answers), name
            faults = [find_faults(grid, *each) for each in answers + crossed]
            assert not any(faults), name
            apply(grid, make_config(next(versions), LONG_ROUTES))
