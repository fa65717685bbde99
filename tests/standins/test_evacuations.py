"""Tests with real daemons of evacuated failure domains and cold servers."""

import contextlib
import itertools
import time
from functools import partial

import gevent
import pytest

from balsamtally.cold_servers import SETTLE_S
from standins.grid import COLD_BOUNDS, Grid, make_config
from standins.grid_callers import GridCaller
from tests import polling

expect_soon = partial(polling.expect_soon, timeout_s=20.0)
KEY = "op/evacuate/"
EVACUATE_S = 5.0
COLD_S = 4.0
RATE_PER_S = 9.4
CALLERS_PER_VM = 3
THINKING_S = 0.02
_parts = itertools.count(1)


def ask_repeatedly(vm, kind, answers):
    with GridCaller(vm) as caller:
        while True:
            part = next(_parts)
            answers.append(caller.ask(kind, b"body", Prompt_Prefix=f"a{part}:20,b{part}:10"))
            # A caller that was refused doesn't return at once.
            gevent.sleep(0.1 if answers[-1].status in (0, 503) else THINKING_S)


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


def count_since(servers, since_s):
    return sum(at >= since_s for server in servers for _, at in server.arrivals)


def list_domain(grid, service, domain):
    return [server for server in grid.list_servers(service) if f"-{domain}-" in server.name]


@pytest.mark.parametrize(("kind", "service"), [("lookup", "desk"), ("draft", "model")])
def test_evacuated_domain_gets_nothing_new_until_the_evacuation_ends(kind, service):
    """Guards against a part of the daemon that doesn't hear of an evacuation."""
    with Grid(vms=1, servers=1, domains=2) as grid:
        domain = grid.vms[0].domain
        servers = list_domain(grid, service, domain)
        with load_on(grid.vms, kind) as answers:
            expect_soon(lambda: count_since(servers, 0.0) > 5)
            grid.store.put(KEY + domain, {})
            gevent.sleep(EVACUATE_S / 2)
            since_s, before = time.monotonic(), len(answers)
            gevent.sleep(2.0)
            assert count_since(servers, since_s) == 0
            assert len(answers) > before + 5
            assert all(answer.good for answer in answers)
            grid.store.remove(KEY + domain)
            expect_soon(lambda: count_since(servers, since_s) > 5)
        for vm in grid.vms:
            assert vm.count_events("evacuation_begun", domain=domain) == 1
            assert vm.count_events("evacuation_ended", domain=domain) == 1


def count_most(server, since_s):
    """Return the most requests that reached a server within a second after a time."""
    times = sorted(at for _, at in server.arrivals if at >= since_s)
    return max((sum(start <= at <= start + 1.0 for at in times) for start in times), default=0)


def test_cold_servers_get_few_requests_until_they_are_warm():
    """Guards against a cold limit that real daemons don't learn, keep or end."""
    bound = RATE_PER_S * COLD_BOUNDS["cold_overage"] + COLD_BOUNDS["cold_slack"]
    with Grid(vms=3, servers=1, domains=1) as grid:
        config = make_config(version=2)
        config["services"] = [each | {"cold_per_s": RATE_PER_S} for each in config["services"]]
        grid.store.put("op/config", config)
        [server] = grid.list_servers("desk")
        gevent.sleep(SETTLE_S)
        with load_on(grid.vms, "lookup"):
            expect_soon(lambda: count_most(server, 0.0) > bound)
            server.cold_s = COLD_S
            server.register("ready")
            for vm in grid.vms:
                expect_soon(lambda vm=vm: vm.count_events("backend_cold", backend=server.name))
            known_s = time.monotonic()
            gevent.sleep(COLD_S / 2)
            served = count_since([server], known_s)
            most = count_most(server, known_s)
            expect_soon(lambda: count_most(server, known_s + COLD_S) > bound)
    assert most <= bound
    # What it takes is used.
    assert served >= COLD_S / 2
