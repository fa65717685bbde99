"""Tests of the platform path with real daemons, while parts of the deployment fail."""

import signal
import time
from collections import Counter
from functools import partial

import gevent
import pytest

from standins.grid import EVENT_S, Grid, ask_ready, make_config
from standins.grid_callers import GridCaller, find_faults
from tests import polling

# Daemons are separate processes, so their start takes seconds.
expect_soon = partial(polling.expect_soon, timeout_s=20.0)
KINDS = ("draft", "history", "sign", "lookup")
# Documented bound on how long a draining backend server may still get new work.
DRAIN_S = 3.0
BUDGET_RATIO, BUDGET_EXTRA = 0.2, 56
# Longer than a silent VM counts as alive (peers.ALIVE_S).
FREEZE_S = 3.0


@pytest.fixture
def grid():
    with Grid() as grid:
        yield grid


class Traffic:
    """Callers that send requests in turn until they are stopped, and record each answer."""

    def __init__(self, grid, vms, kinds=KINDS, each=2, pause_s=0.02):
        self.answers = []
        self._grid = grid
        self._running = True
        self._pause_s = pause_s
        self._tasks = [
            gevent.spawn(self._run, vm, kinds[number % len(kinds) :] + kinds)
            for vm in vms
            for number in range(each)
        ]

    def _run(self, vm, kinds):
        with GridCaller(vm) as caller:
            while self._running:
                for kind in kinds:
                    if self._running:
                        self.answers.append((kind, caller.ask(kind, b"body")))
                        gevent.sleep(self._pause_s)

    def stop(self):
        """Stop, check each answer, and return the numbers of good answers and of other answers."""
        self._running = False
        gevent.joinall(self._tasks, raise_error=True)
        for kind, answer in self.answers:
            assert find_faults(self._grid, kind, answer) == []
        return Counter(answer.good for _, answer in self.answers)


def test_all_routes_are_served_completely_signed_and_once_without_failures(grid):
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


def test_unknown_keys_and_routes_are_refused(grid):
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
    runner = grid.list_servers("model")[0]
    runner.fault = "cut"
    traffic = Traffic(grid, grid.vms, kinds=("draft",))
    gevent.sleep(1.0)
    runner.crash()
    gevent.sleep(1.0)
    assert traffic.stop()[False] == 0
    ids = Counter(run[0] for server in grid.servers for run in server.runs)
    assert max(ids.values()) == 2


def test_non_repeatable_call_is_never_reported_as_not_run_after_a_reset(grid):
    for server in grid.list_servers("desk"):
        server.fault = "reset"
    with GridCaller(grid.vms[0]) as caller:
        answer = caller.ask("sign", b"x")
    assert answer.status == 502 and find_faults(grid, "sign", answer) == []
    assert sum(len(server.runs) for server in grid.servers) == 1


def test_draining_runner_gets_no_new_work(grid):
    runner = grid.list_servers("model")[0]
    traffic = Traffic(grid, grid.vms, kinds=("draft", "history"))
    gevent.sleep(0.5)
    runner.register("draining")
    announced_s = time.monotonic()
    gevent.sleep(DRAIN_S + 1.0)
    assert traffic.stop()[False] == 0
    assert all(at < announced_s + DRAIN_S for _, _, at in runner.runs)


def test_new_configuration_applies_on_all_vms_and_is_never_reverted(grid):
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


def test_vm_that_starts_without_the_store_gets_its_configuration_from_peers(grid):
    grid.store.put("op/config", make_config(5))
    expect_soon(lambda: all(vm.count_events("contracts_in_force", version=5) for vm in grid.vms))
    grid.store.fault = "busy"
    grid.vms[0].kill()
    grid.start(grid.vms[0])
    grid.wait_ready([grid.vms[0]])
    with GridCaller(grid.vms[0]) as caller:
        assert caller.ask("draft").good
    grid.store.fault = ""


def test_vm_without_a_configuration_is_not_ready_and_answers_503():
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


def test_request_to_a_starting_vm_waits_for_the_configuration(grid):
    [vm, *_] = grid.vms
    vm.kill()
    grid.store.delay_s = 0.3
    grid.start(vm)
    answers = []

    def ask_once():
        with GridCaller(vm) as caller:
            answers.append(caller.ask("lookup"))
        return answers[-1].status

    expect_soon(ask_once)
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


def test_all_vms_serve_again_after_being_killed_and_restarted(grid):
    for vm in grid.vms:
        vm.kill()
    for vm in grid.vms:
        grid.start(vm)
    grid.wait_ready(grid.vms)
    traffic = Traffic(grid, grid.vms)
    gevent.sleep(1.0)
    assert traffic.stop()[False] == 0


def test_caller_disconnect_cancels_the_run_on_the_backend_server(grid):
    runners = grid.list_servers("model")
    with GridCaller(grid.vms[0]) as caller:
        task = gevent.spawn(caller.ask, "history", Token_Usage="30,500")
        expect_soon(lambda: sum(server.running for server in runners) == 1)
        task.kill()
    begun = time.monotonic()
    expect_soon(lambda: sum(server.running for server in runners) == 0)
    assert time.monotonic() - begun < 500 * EVENT_S


def test_changed_settings_file_is_applied(grid):
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
    # The kernel merges signals that arrive while the same signal is pending.
    expect_soon(lambda: 1 <= vm.count_events("settings_signal") <= 5)
    assert traffic.stop()[False] == 0


def test_suspended_vm_resumes_with_complete_answers_and_the_newest_configuration(grid):
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


def find_placing_vms(vms):
    """Return the names of the VMs that placed calls of other VMs, from the ``routed`` log lines."""
    lines = [line for vm in vms for line in vm.list_lines() if line.get("event") == "routed"]
    return {line["placed_by"] for line in lines if line["placed_by"]}


@pytest.mark.parametrize("signals", [[signal.SIGKILL], [signal.SIGSTOP, signal.SIGCONT]])
def test_calls_are_served_by_the_other_vms_whichever_places_them_is_lost_or_frozen(signals):
    with Grid(vms=3, domains=1) as grid:
        traffic = Traffic(grid, grid.vms)
        expect_soon(lambda: find_placing_vms(grid.vms))
        traffic.stop()
        [lost, *_] = [vm for vm in grid.vms if vm.name in find_placing_vms(grid.vms)]
        others = [vm for vm in grid.vms if vm is not lost]
        traffic = Traffic(grid, others)
        for number in signals:
            gevent.sleep(0.5)
            lost.signal(number)
        expect_soon(lambda: sum(vm.count_events("coordinator_silent") for vm in others))
        gevent.sleep(1.0)
        assert traffic.stop()[False] == 0
        assert find_placing_vms(grid.vms) - {lost.name}


# Entries of another writer: values, and changes to the entry of a runner.
ODD_ENTRIES = {
    "servers/a-deep": b'{"extra":' + b"[" * 100_000,
    "servers/a-born": {"born": 10**30},
    "servers/a-slots": {"slots": 10**30},
    "servers/a-name\u0416": {},
    "servers/a-name\r\nTenant: x": {},
    "servers/a-port": {"address": "127.0.0.1:\u0668\u0660\u0660\u0660"},
}


@pytest.fixture
def pair():
    with Grid(vms=2, domains=1) as grid:
        yield grid


def check_service(grid, key):
    """Check that each entry VM answers the calls of all kinds."""
    for vm in grid.vms:
        with GridCaller(vm, key=key) as caller:
            for kind in 2 * KINDS:
                answer = caller.ask(kind)
                assert answer.good and find_faults(grid, kind, answer) == [], (kind, answer)


def test_odd_entry_among_those_of_the_runners_costs_no_other_entry(pair):
    # In the events of a watch, before a new configuration in the same answer.
    sound = pair.list_servers("desk")[0].make_entry("ready")
    for key, odd in ODD_ENTRIES.items():
        pair.store.put(key, odd if isinstance(odd, bytes) else sound | odd)
    pair.store.put("op/config", make_config(5, keys=("second",)))
    expect_soon(lambda: all(vm.count_events("contracts_in_force", version=5) for vm in pair.vms))
    check_service(pair, "second")
    # In the first listing of all entry VMs, then in the records of a peer.
    for restarted, fault in ((pair.vms, ""), (pair.vms[:1], "busy")):
        pair.store.fault = fault
        for vm in restarted:
            vm.kill()
        for vm in restarted:
            pair.start(vm)
        pair.wait_ready(restarted)
        check_service(pair, "second")
    for vm in pair.vms:
        assert vm.is_running() and not vm.count_events("step_failed"), vm.read_log()[-3000:]
    lines = pair.vms[0].list_lines()
    refused = {line["key"] for line in lines if line["event"] == "backend_refused"}
    assert refused == ODD_ENTRIES.keys()
