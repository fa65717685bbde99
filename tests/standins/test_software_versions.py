"""Streams are taken up while backend servers of two software versions serve, with real daemons."""

import contextlib

import gevent
import pytest

from standins.grid import ROUTES, Grid, list_ids, make_config
from standins.grid_callers import STREAM_EVENTS, GridCaller
from standins.version_soak import list_runs
from tests.polling import expect_soon

STREAMS = 12
EVENT_S = 0.2
LONG_ROUTES = tuple(route | {"timeout_ms": 15_000} for route in ROUTES)


@pytest.fixture
def grid():
    """Two VMs and four model servers, half of them of each version."""
    with Grid(vms=2, servers=4, domains=1) as deployed:
        for server in deployed.list_servers("model")[2:]:
            upgrade(server)
        deployed.store.put("op/config", make_config(2, LONG_ROUTES))
        for vm in deployed.vms:
            expect_soon(lambda vm=vm: vm.count_events("contracts_in_force", version=2) == 1)
        yield deployed


def upgrade(server):
    server.software = "v2"
    server.register("ready")


def ask(vm, **headers):
    with GridCaller(vm) as caller:
        return caller.ask(
            "draft", timeout_s=15.0, Event_S=str(EVENT_S), Deadline_Ms="15000", **headers
        )


def begin_streams(grid, vm):
    """Begin streams at a VM and wait until each has events."""
    calls = [gevent.spawn(ask, vm) for _ in range(STREAMS)]
    servers = grid.list_servers("model")
    expect_soon(lambda: sum(server.running for server in servers) == STREAMS)
    gevent.sleep(2 * EVENT_S)
    return calls


def take_up(vm, answer):
    """Take up a stream after its last event, and return the answer."""
    return ask(vm, Resumes=answer.id, Last_Event_Id=str(max(list_ids(answer.body))))


def list_software(grid, *answers):
    """Return the versions of the servers that ran some attempts of a caller."""
    ids = {answer.id for answer in answers}
    return {s.software for s in grid.servers for run in s.runs if run[0] in ids}


def list_joined(grid, pairs):
    return [list_software(grid, *pair) for pair in pairs if len(list_software(grid, *pair)) > 1]


def test_taken_up_streams_go_on_at_the_version_that_began_them(grid):
    """Callers got streams that were joined from two versions after the loss of a VM."""
    lost, other = grid.vms
    calls = begin_streams(grid, lost)
    lost.kill()
    begun = [call.get() for call in calls]
    assert all(list(list_ids(answer.body)) for answer in begun)
    tasks = [gevent.spawn(take_up, other, answer) for answer in begun]
    pairs = [(first, task.get()) for first, task in zip(begun, tasks, strict=True)]
    assert list_joined(grid, pairs) == []
    # Both versions serve, so that the take-ups are served like new streams.
    for first, second in pairs:
        assert second.good
        assert [*list_ids(first.body + second.body)] == [*range(1, STREAM_EVENTS + 1)]


def test_stream_that_is_cut_goes_on_at_its_version_within_the_answer(grid):
    with contextlib.ExitStack() as stack:
        callers = [stack.enter_context(GridCaller(grid.vms[0])) for _ in range(STREAMS)]
        tasks = [gevent.spawn(caller.ask, "draft", Script="cut,whole") for caller in callers]
        answers = [task.get() for task in tasks]
    assert [answer.good for answer in answers] == [True] * STREAMS
    assert list_joined(grid, [(answer,) for answer in answers]) == []


def test_streams_are_not_joined_from_two_versions_after_the_loss_of_all_vms(grid):
    """The servers of the old version have just left; no VM knows which version began a stream."""
    calls = begin_streams(grid, grid.vms[0])
    for vm in grid.vms:
        vm.kill()
    for server in grid.list_servers("model")[:2]:
        grid.store.remove(f"servers/{server.name}")
    begun = [call.get() for call in calls]
    for vm in grid.vms:
        grid.start(vm)
    grid.wait_ready(grid.vms)
    tasks = [gevent.spawn(take_up, grid.vms[1], answer) for answer in begun]
    pairs = [(first, task.get()) for first, task in zip(begun, tasks, strict=True)]
    assert list_joined(grid, pairs) == []
    refused = [second for _, second in pairs if not second.good]
    assert all(answer.status == 503 and answer.headers["retry-after"] for answer in refused)


def test_streams_of_the_only_version_go_on_after_the_loss_of_all_vms():
    """A refusal would lose streams that one version alone can have begun."""
    with Grid(vms=2, servers=2, domains=1) as grid:
        calls = begin_streams(grid, grid.vms[0])
        for vm in grid.vms:
            vm.kill()
        begun = [call.get() for call in calls]
        for vm in grid.vms:
            grid.start(vm)
        grid.wait_ready(grid.vms)
        tasks = [gevent.spawn(take_up, grid.vms[1], answer) for answer in begun]
        assert all(task.get().good for task in tasks)


def test_streams_do_not_go_on_at_a_server_that_started_again_at_another_version(grid):
    """The server's entry is older than its process, as the store is silent."""
    lost, other = grid.vms
    calls = begin_streams(grid, lost)
    for listener in ("", *(vm.name for vm in grid.vms)):
        grid.store.stalled[listener] = "mute"
    lost.kill()
    begun = [call.get() for call in calls]
    for server in grid.list_servers("model")[:2]:
        server.software = "v2"
        server.restart()
    tasks = [gevent.spawn(take_up, other, answer) for answer in begun]
    for first, task in zip(begun, tasks, strict=True):
        second = task.get()
        runs = list_runs(grid, first) + list_runs(grid, second)
        assert len({software for _, _, software, _ in runs}) == 1
        assert second.good or second.status == 503
