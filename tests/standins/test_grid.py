"""The path on the users' platform with real daemons, under failure."""

import signal
import time
from collections import Counter
from functools import partial

import gevent
import pytest

from standins.grid import EVENT_S, Grid, ask_ready, make_config
from standins.grid_callers import GridCaller, find_faults
from tests import polling

# Daemons start as processes of their own.
expect_soon = partial(polling.expect_soon, timeout_s=20.0)
KINDS = ("draft", "history", "sign", "lookup")
# The users' bound on work for a backend server that leaves.
DRAIN_S = 3.0
BUDGET_RATIO, BUDGET_EXTRA = 0.2, 56
# Longer than a VM is believed alive that is not heard (peers.ALIVE_S).
FREEZE_S = 3.0


@pytest.fixture
def grid():
    with Grid() as grid:
        yield grid


class Traffic:
    """Callers that ask in turn until they are stopped; each answer is kept with its kind."""

    def __init__(self, grid, vms, kinds=KINDS, each=2, pause_s=0.02):
        self.answers = []
        self._grid = grid
        self._go_on = True
        self._pause_s = pause_s
        self._tasks = [
            gevent.spawn(self._run, vm, kinds[number % len(kinds) :] + kinds)
            for vm in vms
            for number in range(each)
        ]

    def _run(self, vm, kinds):
        with GridCaller(vm) as caller:
            while self._go_on:
                for kind in kinds:
                    if self._go_on:
                        self.answers.append((kind, caller.ask(kind, b"body")))
                        gevent.sleep(self._pause_s)

    def stop(self):
        """Stop, check each answer, and return how many were good and not good."""
        self._go_on = False
        gevent.joinall(self._tasks, raise_error=True)
        for kind, answer in self.answers:
            assert find_faults(self._grid, kind, answer) == []
        return Counter(answer.good for _, answer in self.answers)


def test_calm_day_serves_all_kinds_whole_signed_and_once(grid):
    traffic = Traffic(grid, grid.vms)
    gevent.sleep(2.0)
    count = traffic.stop()
    assert count[False] == 0 and count[True] > 40
    used = {server.name for server in grid.servers if server.runs}
    assert len(used) >= 2


def test_forged_and_private_headers_do_not_reach_a_backend_server(grid):
    with GridCaller(grid.vms[0]) as caller:
        answer = caller.ask("draft", b"", Tenant="other", Hold="1", Pin_Ms="9", Kv_From="x/y")
    assert answer.good
    [headers] = [h for s in grid.servers for i, h, _ in s.runs if i == answer.id]
    assert headers["tenant"] == "buggy-cabo"
    assert not {"hold", "pin-ms", "kv-from", "authorization"} & headers.keys()
    assert 0 < int(headers["deadline-ms"]) <= 5000


def test_keys_and_routes_that_are_not_there(grid):
    with GridCaller(grid.vms[0], key="unknown") as caller:
        assert caller.ask("lookup").status == 401
    with GridCaller(grid.vms[0]) as caller:
        assert caller.ask("nowhere").status == 404
    assert not any(server.runs for server in grid.servers)


def test_stopped_vm_is_not_ready_first_and_loses_no_request(grid):
    vm = grid.vms[0]
    traffic = Traffic(grid, [vm], each=4)
    gevent.sleep(1.0)
    vm.signal(signal.SIGTERM)
    expect_soon(lambda: ask_ready(vm) == 503)
    gevent.sleep(1.5)
    count = traffic.stop()
    assert count[False] == 0
    assert vm.wait() == 0
    assert vm.count_events("stopped", cut=0) == 1


def test_crashed_and_cutting_runners_cost_no_resumable_stream(grid):
    one = grid.list_servers("model")[0]
    one.fault = "cut"
    traffic = Traffic(grid, grid.vms, kinds=("draft",))
    gevent.sleep(1.0)
    one.crash()
    gevent.sleep(1.0)
    assert traffic.stop()[False] == 0
    ids = Counter(run[0] for server in grid.servers for run in server.runs)
    assert max(ids.values()) == 2


def test_call_that_must_not_repeat_is_never_told_as_not_run_after_a_reset(grid):
    for server in grid.list_servers("desk"):
        server.fault = "reset"
    with GridCaller(grid.vms[0]) as caller:
        answer = caller.ask("sign", b"x")
    assert answer.status == 502 and find_faults(grid, "sign", answer) == []
    assert sum(len(server.runs) for server in grid.servers) == 1


def test_leaving_runner_gets_no_new_work(grid):
    one = grid.list_servers("model")[0]
    traffic = Traffic(grid, grid.vms, kinds=("draft", "history"))
    gevent.sleep(0.5)
    one.register("draining")
    told = time.monotonic()
    gevent.sleep(DRAIN_S + 1.0)
    assert traffic.stop()[False] == 0
    assert all(at < told + DRAIN_S for _, _, at in one.runs)


def test_configuration_is_in_force_everywhere_and_never_goes_back(grid):
    grid.store.put("op/config", make_config(2, keys=("second",)))
    old, new = [], []
    until = time.monotonic() + 3.0
    while time.monotonic() < until:
        for vm in grid.vms:
            with GridCaller(vm, key="second") as caller:
                new.append((vm.name, caller.ask("lookup").good))
            with GridCaller(vm) as caller:
                old.append(caller.ask("lookup").status)
    for vm in grid.vms:
        seen = [good for name, good in new if name == vm.name]
        assert seen == sorted(seen) and seen[-1]
    assert set(old[-4:]) == {401}


def test_vm_that_starts_while_the_store_is_away_learns_from_its_peers(grid):
    grid.store.put("op/config", make_config(5))
    expect_soon(lambda: all(vm.count_events("contracts_in_force", version=5) for vm in grid.vms))
    grid.store.fault = "busy"
    grid.vms[0].kill()
    grid.start(grid.vms[0])
    grid.wait_ready([grid.vms[0]])
    with GridCaller(grid.vms[0]) as caller:
        assert caller.ask("draft").good
    grid.store.fault = ""


def test_vm_that_knows_nothing_is_not_ready_and_answers_503():
    grid = Grid(domains=1)
    with grid:
        grid.store.fault = "busy"
        [vm] = grid.vms
        vm.kill()
        grid.start(vm)
        expect_soon(lambda: ask_ready(vm) == 503)
        with GridCaller(vm) as caller:
            assert caller.ask("lookup").status == 503
        grid.store.fault = ""
        grid.wait_ready([vm])
        with GridCaller(vm) as caller:
            assert caller.ask("lookup").good


def test_caller_who_comes_while_a_vm_starts_is_served_once_it_knows_its_contracts(grid):
    [vm, *_] = grid.vms
    vm.kill()
    grid.store.delay_s = 0.3
    grid.start(vm)
    answers = []

    def ask_until_somebody_listens():
        with GridCaller(vm) as caller:
            answers.append(caller.ask("lookup"))
        return answers[-1].status

    expect_soon(ask_until_somebody_listens)
    assert answers[-1].good


def test_fleet_keeps_its_retry_budget_while_every_backend_server_fails(grid):
    for server in grid.list_servers("desk"):
        server.fault = "error"
    traffic = Traffic(grid, grid.vms, kinds=("lookup",), each=6, pause_s=0.0)
    gevent.sleep(3.0)
    traffic.stop()
    asked = len(traffic.answers)
    arrived = sum(len(server.arrivals) for server in grid.list_servers("desk"))
    assert asked > 100
    assert arrived - asked <= BUDGET_RATIO * asked + BUDGET_EXTRA


def test_all_vms_are_killed_and_serve_again_when_they_are_back(grid):
    for vm in grid.vms:
        vm.kill()
    for vm in grid.vms:
        grid.start(vm)
    grid.wait_ready(grid.vms)
    traffic = Traffic(grid, grid.vms)
    gevent.sleep(1.0)
    assert traffic.stop()[False] == 0


def test_caller_that_leaves_ends_its_run(grid):
    one = grid.list_servers("model")
    with GridCaller(grid.vms[0]) as caller:
        task = gevent.spawn(caller.ask, "history", Token_Usage="30,500")
        expect_soon(lambda: sum(server.running for server in one) == 1)
        task.kill()
    begun = time.monotonic()
    expect_soon(lambda: sum(server.running for server in one) == 0)
    assert time.monotonic() - begun < 500 * EVENT_S


def test_settings_file_that_changes_is_taken_over(grid):
    vm = grid.vms[0]
    vm.write_settings([], f"{grid.store.address[0]}:{grid.store.address[1]}")
    vm.signal(signal.SIGHUP)
    expect_soon(lambda: vm.count_events("settings_changed"))
    with GridCaller(vm) as caller:
        assert caller.ask("lookup").good


def test_hangups_under_load_lose_no_request(grid):
    vm = grid.vms[0]
    traffic = Traffic(grid, [vm], each=4)
    for _ in range(5):
        gevent.sleep(0.2)
        vm.write_settings([], f"{grid.store.address[0]}:{grid.store.address[1]}")
        vm.signal(signal.SIGHUP)
    expect_soon(lambda: vm.count_events("settings_changed"))
    # The kernel joins signals that come while one is still to be handled.
    expect_soon(lambda: 1 <= vm.count_events("settings_signal") <= 5)
    assert traffic.stop()[False] == 0


def test_frozen_vm_wakes_with_whole_answers_and_the_newest_configuration(grid):
    vm, *others = grid.vms
    traffic = Traffic(grid, grid.vms)
    gevent.sleep(0.5)
    vm.signal(signal.SIGSTOP)
    grid.store.put("op/config", make_config(7))
    expect_soon(
        lambda: all(other.count_events("contracts_in_force", version=7) for other in others)
    )
    gevent.sleep(FREEZE_S)
    vm.signal(signal.SIGCONT)
    expect_soon(lambda: vm.count_events("contracts_in_force", version=7))
    gevent.sleep(0.5)
    traffic.stop()
    with GridCaller(vm) as caller:
        assert caller.ask("draft").good and caller.ask("lookup").good


def find_placing(vms):
    """Return the names of VMs that placed calls of others, by service, as the log lines tell."""
    lines = [line for vm in vms for line in vm.list_lines() if line.get("event") == "routed"]
    return {line["placed_by"] for line in lines if line["placed_by"]}


@pytest.mark.parametrize("signals", [[signal.SIGKILL], [signal.SIGSTOP, signal.SIGCONT]])
def test_calls_are_served_by_the_other_vms_whichever_places_them_is_lost_or_frozen(signals):
    with Grid(vms=3, domains=1) as grid:
        traffic = Traffic(grid, grid.vms)
        expect_soon(lambda: find_placing(grid.vms))
        traffic.stop()
        [lost, *_] = [vm for vm in grid.vms if vm.name in find_placing(grid.vms)]
        others = [vm for vm in grid.vms if vm is not lost]
        traffic = Traffic(grid, others)
        for number in signals:
            gevent.sleep(0.5)
            lost.signal(number)
        expect_soon(lambda: sum(vm.count_events("coordinator_silent") for vm in others))
        gevent.sleep(1.0)
        assert traffic.stop()[False] == 0
        assert find_placing(grid.vms) - {lost.name}
