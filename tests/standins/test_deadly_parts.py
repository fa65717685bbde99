"""Prompts with one part crash each model runner that begins to answer them."""

import itertools
import time
from functools import partial

import gevent
import pytest

from balsamtally.backends import BackendConnection, fetch
from balsamtally.sockets import connect
from standins.grid import PEER_PORT, Grid
from standins.grid_callers import GridCaller
from tests import polling

# Daemons are separate processes, so their start takes seconds.
expect_soon = partial(polling.expect_soon, timeout_s=20.0)

# The stability window of the users' data sheets.
WINDOW_S = 4.0
# Requests that may reach runners later than the window after the fifth crash.
MAX_LATE_ARRIVALS = 3
DEADLY_PART = "dead1"
SHARED_PARTS = ("a1:20", "b2:10")
DEADLY_REQUESTS = 40
DEADLY_INTERVAL_S = 0.3
SOUND_INTERVAL_S = 0.05


@pytest.fixture
def grid():
    with Grid(vms=2, servers=4) as grid:
        for server in grid.list_servers("model"):
            server.deadly_part = DEADLY_PART
        yield grid


class Prompts:
    """Sends prompts in turn to all entry VMs, each on a connection of its own, and keeps answers.

    :param grid: the test deployment
    :param parts: the shared parts of each prompt
    :param kind: name of the route
    """

    def __init__(self, grid, parts, kind="draft"):
        self.answers = []
        self._vms = itertools.cycle(grid.vms)
        self._parts = parts
        self._kind = kind
        self._tasks = []

    def send(self):
        self._tasks.append(gevent.spawn(self._ask, next(self._vms), len(self._tasks)))

    def _ask(self, vm, number):
        prefix = ",".join((*self._parts, f"{number + 1:x}:10"))
        with GridCaller(vm) as caller:
            self.answers.append(caller.ask(self._kind, b"", Prompt_Prefix=prefix))

    def send_all(self, count, interval_s):
        for _ in range(count):
            self.send()
            gevent.sleep(interval_s)
        gevent.joinall(self._tasks, raise_error=True)

    def send_until(self, event, interval_s):
        while not event.ready():
            self.send()
            gevent.sleep(interval_s)
        gevent.joinall(self._tasks, raise_error=True)


def list_arrivals(grid, prompts):
    """Return the times at which requests reached model runners, in order."""
    ids = {answer.id for answer in prompts.answers}
    return sorted(at for s in grid.list_servers("model") for id, at in s.arrivals if id in ids)


def list_crashes(grid):
    return sorted(at for server in grid.list_servers("model") for at in server.crashes)


def count_late(grid, prompts):
    """Return how many requests reached runners later than the window after the fifth crash."""
    crashes = list_crashes(grid)
    if len(crashes) < 5:
        return 0
    return sum(at > crashes[4] + WINDOW_S for at in list_arrivals(grid, prompts))


@pytest.mark.parametrize("position", ["last", "first"])
def test_requests_of_one_kind_do_not_crash_runner_after_runner(grid, position):
    deadly_parts = (*SHARED_PARTS, f"{DEADLY_PART}:10")
    deadly = Prompts(grid, deadly_parts if position == "last" else deadly_parts[::-1])
    sound = Prompts(grid, SHARED_PARTS)
    task = gevent.spawn(deadly.send_all, DEADLY_REQUESTS, DEADLY_INTERVAL_S)
    sound.send_until(task, SOUND_INTERVAL_S)
    assert count_late(grid, deadly) <= MAX_LATE_ARRIVALS
    # Sound requests with the same parts are served.
    late = sorted(sound.answers, key=lambda answer: answer.sent_s)[-50:]
    assert sum(answer.good for answer in late) >= 45


def test_entry_vm_that_starts_again_still_refuses_a_quarantined_part(grid):
    parts = (*SHARED_PARTS, f"{DEADLY_PART}:10")
    deadly = Prompts(grid, parts)
    deadly.send_all(8, DEADLY_INTERVAL_S)
    expect_soon(lambda: all(vm.count_events("part_quarantined") for vm in grid.vms))
    [vm, *_] = grid.vms
    before = vm.count_events("part_quarantined")
    vm.kill()
    grid.start(vm)
    grid.wait_ready([vm])
    expect_soon(lambda: vm.count_events("part_quarantined") > before)
    crashed = len(list_crashes(grid))
    again = Prompts(grid, parts)
    again.send_all(len(grid.vms), 0.0)
    assert {answer.status for answer in again.answers} == {503}
    assert {"retry-after"} <= again.answers[0].headers.keys()
    assert len(list_crashes(grid)) == crashed


def test_crashes_for_other_reasons_quarantine_no_part(grid):
    sound = Prompts(grid, SHARED_PARTS)
    runners = grid.list_servers("model")
    task = gevent.spawn(sound.send_all, 300, 0.02)
    for runner in runners[:-2]:
        gevent.sleep(0.5)
        runner.crash()
    task.join()
    assert not any(vm.count_events("part_quarantined") for vm in grid.vms)
    assert not [answer for answer in sound.answers[-100:] if not answer.good]


def test_operator_lists_and_releases_a_quarantined_part(grid):
    deadly = Prompts(grid, (f"{DEADLY_PART}:10",))
    deadly.send_all(8, DEADLY_INTERVAL_S)
    expect_soon(lambda: all(vm.count_events("part_quarantined") for vm in grid.vms))
    first, last = grid.vms[0], grid.vms[-1]
    status, body = fetch((first.host, PEER_PORT), b"/quarantine", 2.0)
    assert status == 200 and DEADLY_PART in body.decode()
    for server in grid.servers:
        server.deadly_part = ""
    assert post(first, f"/quarantine/release?part={DEADLY_PART}") == 200
    assert post(first, f"/quarantine/release?part={DEADLY_PART}") == 404
    expect_soon(lambda: last.count_events("part_released"))
    mended = Prompts(grid, (f"{DEADLY_PART}:10",))
    mended.send_all(len(grid.vms), 0.0)
    assert all(answer.good for answer in mended.answers)


def post(vm, target):
    """Send an empty request to an entry VM's internal port and return the status."""
    until_s = time.monotonic() + 2.0
    connection = BackendConnection(connect((vm.host, PEER_PORT), 2.0))
    headers = ((b"Host", b"vm"), (b"Content-Length", b"0"))
    connection.send(b"POST", target.encode(), headers, b"", until_s)
    status = connection.read_head(until_s).status
    connection.close()
    return status
