"""Tests with a real daemon of what hostile callers may take: memory and descriptors."""

import time

import gevent
import pytest

from standins.grid import Grid
from standins.grid_callers import GridCaller
from standins.hostile_callers import KINDS, Crowd, list_pieces

# The smallest machine. The crowd offers 175 MB together, more than its whole memory.
MEMORY_MB = 88
MAX_FDS = 800
CROWD = 250
IDLE_CROWD = 1_000
ATTACK_S = 4.0
ANSWER_S = 60.0
LIMITS = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}


@pytest.fixture
def grid():
    with Grid(vms=1, servers=2, domains=1, limits=LIMITS) as grid:
        yield grid


def expect_answer(vm):
    """Expect that an ordinary request is answered, repeated after a refusal or a lost answer."""
    until_s = time.monotonic() + ANSWER_S
    statuses = []
    while not statuses or statuses[-1] != 200:
        assert time.monotonic() < until_s, statuses
        with GridCaller(vm) as caller:
            statuses.append(caller.ask("lookup", b"body").status)
        gevent.sleep(0.1)


def withstand(vm, pieces):
    """Expect that a daemon withstands a crowd and serves an ordinary request afterwards."""
    most_descriptors = 0
    with Crowd(vm, pieces):
        until_s = time.monotonic() + ATTACK_S
        while time.monotonic() < until_s and vm.is_running():
            most_descriptors = max(most_descriptors, vm.count_descriptors())
            gevent.sleep(0.1)
        assert vm.is_running(), vm.read_log()[-3000:]
        expect_answer(vm)
        most_descriptors = max(most_descriptors, vm.count_descriptors())
    peak_mb = vm.read_peak_mb()
    print(f"peak {peak_mb:.0f} MB, {most_descriptors} descriptors")
    assert peak_mb <= MEMORY_MB
    assert most_descriptors <= MAX_FDS


@pytest.mark.parametrize("kind", KINDS)
def test_hostile_callers_take_no_more_than_the_machine_has(grid, kind):
    """Guards against a process that runs out of memory, or blocks, on input without end."""
    withstand(grid.vms[0], [list_pieces(kind) for _ in range(CROWD)])


def test_mixed_hostile_callers_take_no_more_than_the_machine_has(grid):
    """Guards against bounds that hold for each kind of input but not for their sum."""
    kinds = list(KINDS)
    withstand(grid.vms[0], [list_pieces(kinds[i % len(kinds)]) for i in range(CROWD)])


def test_idle_connections_take_no_more_descriptors_than_the_machine_has(grid):
    """Guards against connections that leave no descriptors for the store and backend servers."""
    withstand(grid.vms[0], [iter([b""]) for _ in range(IDLE_CROWD)])
