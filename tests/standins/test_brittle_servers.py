"""Tests with real daemons of backend servers that fall over when they refuse too many requests."""

import contextlib
import time

import gevent
import pytest

from standins.grid import BRITTLE_S, Grid
from standins.grid_callers import GridCaller

SLOTS = 4
WORK_S = 0.2
# Callers in all, as a multiple of the slots.
OVERLOAD = 4
OBSERVED_S = 11.0
# The operators' rule: falls of all servers, and the part of their room that has to be used.
ALLOWED_FALLS = 2
ALLOWED_SHARE = 0.1
LEAST_USE = 1 / 3


def ask_repeatedly(vm):
    with GridCaller(vm) as caller:
        while True:
            answer = caller.ask("lookup", b"body", Work_S=str(WORK_S))
            if not answer.good:
                gevent.sleep(0.1)


@contextlib.contextmanager
def load_on(vms, callers):
    """Let callers ask within the context, spread over the VMs."""
    tasks = [gevent.spawn(ask_repeatedly, vms[number % len(vms)]) for number in range(callers)]
    try:
        yield
    finally:
        gevent.killall(tasks)


@contextlib.contextmanager
def make_brittle_grid(refusals, callers_at=slice(None)):
    """Yield a deployment under load, its servers and the time from which they refuse requests."""
    with Grid(vms=2, servers=2, domains=2) as grid:
        servers = grid.list_servers("desk")
        for server in servers:
            server.slots = SLOTS
            server.register("ready")
        with load_on(grid.vms[callers_at], OVERLOAD * SLOTS * len(servers)):
            gevent.sleep(1.0)
            for server in servers:
                server.brittle = refusals
            gevent.sleep(BRITTLE_S)
            yield grid, servers, time.monotonic()


def count_falls(servers):
    return sum(len(server.falls) for server in servers)


def find_use(servers, since_s, until_s):
    """Return the part of the servers' room that was used within a time."""
    ran = sum(since_s <= at_s < until_s for server in servers for _, _, at_s in server.runs)
    return ran * WORK_S / (len(servers) * SLOTS * (until_s - since_s))


def check_rule(servers, since_s):
    falls, use = count_falls(servers), find_use(servers, since_s, time.monotonic())
    print(f"{falls} falls, {use:.2f} of the room used")
    assert falls <= ALLOWED_FALLS + ALLOWED_SHARE * len(servers)
    assert use >= LEAST_USE


@pytest.mark.parametrize("refusals", [1, 3, 8])
def test_brittle_servers_are_used_and_seldom_fall_under_four_times_their_load(refusals):
    with make_brittle_grid(refusals) as (_, servers, since_s):
        gevent.sleep(OBSERVED_S)
        check_rule(servers, since_s)
