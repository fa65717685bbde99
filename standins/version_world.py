"""Seeded faults of a :class:`Grid` whose servers are replaced by others of newer versions."""

import math
import random
import signal
import time
from collections.abc import Callable

import gevent

from standins.grid import ROUTES, Grid, Server, Vm, ask_ready, make_config

LONG_ROUTES = tuple(route | {"timeout_ms": 15_000} for route in ROUTES)
# As long as a VM is undisturbed before it counts as being in touch.
STABLE_S = 4.0
# Time from a server's registration until it counts as serving.
KNOWN_S = 1.0
DRAIN_S = 3.0
SILENT_S = 1.5
MAX_SERVERS = 6


class World:
    """A deployment under seeded faults; ends on exit what it began.

    :param grid: the deployment
    :param seed: seed of the faults
    :ivar calm_since_s: monotonic time from which each VM, by name, is up and undisturbed
    :ivar steps: time and name of the faults so far
    """

    def __init__(self, grid: Grid, seed: int):
        self.grid = grid
        self.calm_since_s = {vm.name: time.monotonic() for vm in grid.vms}
        self.steps: list[tuple[float, str]] = []
        self._store_calm_since_s = time.monotonic()
        self._random = random.Random(seed)
        self._begun_s = time.monotonic()
        self._tasks: list[gevent.Greenlet] = []
        self._active = grid.list_servers("model")
        self._registered_s = dict.fromkeys(self._active, -math.inf)
        self._newest = 1
        self._version = 2
        self._names = 0

    def __enter__(self) -> "World":
        while len(self._active) < self._random.randint(4, MAX_SERVERS):
            self._add_server(self._random.choice(sorted({vm.domain for vm in self.grid.vms})))
        # The others are only disturbed together with all.
        self._restarted = self._random.sample(self.grid.vms, self._random.randint(1, 2))
        return self

    def __exit__(self, *exc_info) -> None:
        gevent.killall(self._tasks)

    def is_in_touch(self, vm: Vm) -> bool:
        """Return whether a VM and the store have been up and undisturbed for ``STABLE_S``."""
        since_s = max(self.calm_since_s[vm.name], self._store_calm_since_s)
        return time.monotonic() - since_s >= STABLE_S

    def count_serving(self, software: str) -> int:
        """Return the number of servers of a version, of any if it is empty, that serve well."""
        known_s = time.monotonic() - KNOWN_S
        return sum(
            software in ("", server.software) and not server.fault and not server.silent
            for server in self._active
            if self._registered_s[server] < known_s
        )

    def run(self, until_s: float) -> None:
        """Inject faults until this time, and wait until their ends.

        :param until_s: monotonic time, in seconds
        """
        steps = [self._release, self._release, self._restart_some, self._restart_some]
        steps += [self._reload, self._configure, self._vanish, self._start_at_another_version]
        steps += [self._disturb_server, self._silence_server]
        # After these no VM is in touch for a while.
        if self._random.random() < 0.5:
            steps += [self._lose_all, self._lose_all]
        if self._random.random() < 0.3:
            steps += [self._silence_store]
        self._take(self._release)
        self._take(self._restart_some)
        while time.monotonic() < until_s:
            self._take(self._random.choice(steps))
        gevent.joinall(self._tasks, raise_error=True)
        self.grid.wait_ready(self.grid.vms)

    def _take(self, step: Callable[[], None]) -> None:
        taken_s = time.monotonic() - self._begun_s
        self.steps.append((round(taken_s, 2), step.__name__.strip("_")))
        step()
        gevent.sleep(self._random.uniform(0.0, 1.0))

    def _spawn(self, work: Callable, *args) -> None:
        self._tasks.append(gevent.spawn(work, *args))

    # Entry VMs.

    def _restart_some(self) -> None:
        number = self._random.choice((signal.SIGKILL, signal.SIGKILL, signal.SIGTERM))
        self._restart(self._restarted, number)

    def _lose_all(self) -> None:
        if self._random.random() < 0.5:
            self._vanish_version()
        self._restart(self.grid.vms, signal.SIGKILL)

    def _restart(self, vms: list[Vm], number: int) -> None:
        for vm in vms:
            if self.calm_since_s[vm.name] < math.inf:
                self.calm_since_s[vm.name] = math.inf
                vm.signal(number)
                self._spawn(self._start_again, vm, self._random.uniform(0.05, 0.8))

    def _start_again(self, vm: Vm, pause_s: float) -> None:
        vm.wait()
        gevent.sleep(pause_s)
        self.grid.start(vm)
        self.grid.wait_ready([vm])
        self.calm_since_s[vm.name] = time.monotonic()

    def _reload(self) -> None:
        # The signal ends a process that hasn't come to ignore it yet.
        for vm in self.grid.vms:
            if ask_ready(vm) == 200 and vm.is_running():
                vm.signal(signal.SIGHUP)

    # Backend servers, the configuration and the store.

    def _add_server(self, domain: str) -> None:
        self._names += 1
        name, software = f"i-added-{self._names}", f"v{self._newest}"
        born = round(time.time() * 1000)
        server = self.grid.add_server(name, "model", domain, software, born)
        self._active.append(server)
        self._registered_s[server] = time.monotonic()

    def _choose_oldest(self) -> Server:
        oldest = f"v{min(int(server.software[1:]) for server in self._active)}"
        if oldest == f"v{self._newest}":
            self._newest += 1
        return self._random.choice([s for s in self._active if s.software == oldest])

    def _release(self) -> None:
        """Replace a server of the oldest version by one of the newest."""
        old = self._choose_oldest()
        self._add_server(old._domain)
        self._active.remove(old)
        self._spawn(self._drain, old, self._random.uniform(0.0, 0.8))

    def _drain(self, server: Server, pause_s: float) -> None:
        gevent.sleep(pause_s)
        server.register("draining")
        until_s = time.monotonic() + DRAIN_S
        gevent.sleep(pause_s)
        while server.running and time.monotonic() < until_s:
            gevent.sleep(0.1)
        self._end(server)

    def _end(self, server: Server) -> None:
        server.crash()
        self.grid.store.remove(f"servers/{server.name}")

    def _vanish(self) -> None:
        """Replace a server of the oldest version that ends without having drained."""
        old = self._choose_oldest()
        self._active.remove(old)
        self._end(old)
        self._add_server(old._domain)

    def _vanish_version(self) -> None:
        """Replace each server of the oldest version in this way."""
        oldest = self._choose_oldest().software
        while any(server.software == oldest for server in self._active):
            self._vanish()

    def _start_at_another_version(self) -> None:
        server = self._choose_oldest()
        self._registered_s[server] = math.inf
        server.software = f"v{self._newest}"
        server.restart()
        self._registered_s[server] = time.monotonic()

    def _disturb_server(self) -> None:
        server = self._random.choice(self._active)
        server.fault = self._random.choice(("cut", "reset"))
        self._spawn(self._mend, server, self._random.uniform(0.5, 1.5))

    def _silence_server(self) -> None:
        server = self._random.choice(self._active)
        server.silent = True
        self._spawn(self._mend, server, SILENT_S)

    def _mend(self, server: Server, after_s: float) -> None:
        gevent.sleep(after_s)
        server.fault, server.silent = "", False

    def _configure(self) -> None:
        self._version += 1
        self.grid.store.put("op/config", make_config(self._version, LONG_ROUTES))

    def _silence_store(self) -> None:
        if not self.grid.store.fault:
            self.grid.store.fault = "silent"
            self._store_calm_since_s = math.inf
            self._spawn(self._mend_store, self._random.uniform(0.5, 2.0))

    def _mend_store(self, after_s: float) -> None:
        gevent.sleep(after_s)
        self.grid.store.fault = ""
        self._store_calm_since_s = time.monotonic()
