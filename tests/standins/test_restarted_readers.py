"""Tests with real daemons of which those that read the store are killed and start again."""

import os
import random
import signal
import time

import gevent
import pytest

from balsamtally.catalog import RETURN_GRACE_S
from standins.grid import Grid, ask_ready, make_config
from standins.grid_callers import GridCaller, Traffic
from tests.polling import expect_soon

# The operators' bound for drains, from the acknowledgement of the change.
BOUND_S = 3.0
# The observation ends as long after the bound.
OBSERVED_S = 2.0
READERS = 3
# Further seeds by hand.
SEEDS = range(int(os.environ.get("SOAK_SEEDS", "3")))
DISTURBED_S = 8.0


def call(vm):
    with GridCaller(vm) as caller:
        return caller.ask("lookup", b"body")


def test_vms_learn_of_a_removal_while_the_readers_of_the_store_start_again():
    """Guards against a removal that daemons never learn from those that started after it."""
    with Grid(vms=2, servers=1, domains=3) as grid:
        gevent.sleep(1.0)
        expect_soon(lambda: len(grid.list_watching()) == READERS)
        readers = grid.list_watching()
        others = [vm for vm in grid.vms if vm not in readers]
        grid.store.put("op/config", make_config(2))
        gevent.sleep(0.4)
        for vm in readers:
            vm.kill()
        gone, *_ = grid.list_servers("desk")
        grid.store.remove(f"servers/{gone.name}")
        acked_s = time.monotonic()
        for vm in readers:
            gevent.sleep(0.1)
            grid.start(vm)
        with Traffic(others) as traffic:
            gevent.sleep(acked_s + BOUND_S + OBSERVED_S - time.monotonic())
        arrived = [
            at_s - acked_s for attempt_id, at_s in gone.arrivals if attempt_id in traffic.senders
        ]
        assert [delay_s for delay_s in arrived if delay_s > BOUND_S] == []
        assert len(traffic.answers) > 20 * len(others)


class Trouble:
    """Restarts, changes and outages in a seeded order, overlapping; ends what it began."""

    def __init__(self, grid, seed):
        self._grid = grid
        self._random = random.Random(seed)
        self._restarts = {}
        self._version = 1
        self.removed = set()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        gevent.killall(list(self._restarts.values()))

    def run(self, until_s):
        steps = [self._restart, self._restart_readers, self._configure, self._register]
        steps += [self._remove, self._reload]
        # After these every reader lists the store again, which mends what was missed.
        if self._random.random() < 0.3:
            steps += [self._grid.store.forget_history, self._interrupt_store]
        while time.monotonic() < until_s:
            self._random.choice(steps)()
            gevent.sleep(self._random.uniform(0.0, 0.5))
        self._grid.store.fault = ""
        gevent.joinall(list(self._restarts.values()), raise_error=True)

    def _restart(self):
        number = self._random.choice((signal.SIGKILL, signal.SIGTERM))
        vms = self._random.sample(self._grid.vms, self._random.randint(1, len(self._grid.vms)))
        self._restart_all(vms, number)

    def _restart_readers(self):
        """Kill those that read the store just before a removal."""
        self._restart_all(self._grid.list_watching(), signal.SIGKILL)
        gevent.sleep(self._random.uniform(0.0, 0.05))
        self._remove()

    def _restart_all(self, vms, number):
        for vm in vms:
            if vm not in self._restarts or self._restarts[vm].ready():
                pause_s = self._random.uniform(0.05, 0.8)
                self._restarts[vm] = gevent.spawn(self._restart_one, vm, number, pause_s)

    def _restart_one(self, vm, number, pause_s):
        vm.signal(number)
        vm.wait()
        gevent.sleep(pause_s)
        self._grid.start(vm)

    def _reload(self):
        # The signal ends a process that hasn't come to ignore it yet.
        for vm in self._grid.vms:
            if ask_ready(vm) == 200 and vm.is_running():
                vm.signal(signal.SIGHUP)

    def _configure(self):
        self._version += 1
        self._grid.store.put("op/config", make_config(self._version))

    def _remove(self):
        present = [s for s in self._grid.list_servers("desk") if s not in self.removed]
        if len(present) > 2:
            self.removed.add(server := self._random.choice(present))
            self._grid.store.remove(f"servers/{server.name}")

    def _register(self):
        if self.removed:
            server = self._random.choice(sorted(self.removed, key=lambda server: server.name))
            self.removed.remove(server)
            server.register("ready")

    def _interrupt_store(self):
        self._grid.store.fault = "" if self._grid.store.fault else "busy"


@pytest.mark.parametrize("seed", SEEDS)
def test_vms_know_what_the_store_holds_after_restarts_changes_and_outages(seed):
    """Guards against any order of restarts and removals after which a VM knows other servers."""
    with (
        Grid(vms=2, servers=2, domains=3) as grid,
        Traffic(grid.vms),
        Trouble(grid, seed) as trouble,
    ):
        trouble.run(time.monotonic() + DISTURBED_S)
        grid.wait_ready(grid.vms)
        gevent.sleep(RETURN_GRACE_S + BOUND_S)
        settled_s = time.monotonic()
        answers = [call(vm) for _ in range(10) for vm in grid.vms]
        assert {answer.status for answer in answers} == {200}
        late = [s.name for s in trouble.removed if any(at > settled_s for _, at in s.arrivals)]
        assert late == []
