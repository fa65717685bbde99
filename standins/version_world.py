"""Seeded faults of a :class:`Grid` whose servers are replaced by others of newer versions."""

import math
import random
import signal
import time
from collections.abc import Callable
from datetime import UTC, datetime

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


def format_time(unix_s: float) -> str:
    """Return a UTC time of day to the millisecond, as in the log lines of the VMs."""
    return datetime.fromtimestamp(unix_s, UTC).strftime("%H:%M:%S.%f")[:-3]


class World:
    """A deployment under seeded faults; ends on exit what it began.

    :param grid: the deployment
    :param seed: seed of the faults
    :ivar calm_since_s: monotonic time from which each VM, by name, is up and undisturbed
    :ivar steps: the faults so far, each with its UTC time and what it concerned
    """

    def __init__(self, grid: Grid, seed: int):
        self.grid = grid
        self.calm_since_s = {vm.name: time.monotonic() for vm in grid.vms}
        self.steps: list[str] = []
        self._store_calm_since_s = time.monotonic()
        self._random = random.Random(seed)
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

    def _take(self, step: Callable[[], str]) -> None:
        taken_s = time.time()
        self.steps.append(f"{format_time(taken_s)} {step.__name__.strip('_')} {step()}".strip())
        gevent.sleep(self._random.uniform(0.0, 1.0))

    def _spawn(self, work: Callable, *args) -> None:
        self._tasks.append(gevent.spawn(work, *args))

    # Entry VMs.

    def _restart_some(self) -> str:
        number = self._random.choice((signal.SIGKILL, signal.SIGKILL, signal.SIGTERM))
        return self._restart(self._restarted, number)

    def _lose_all(self) -> str:
        gone = self._end_version() if self._random.random() < 0.5 else ""
        return self._restart(self.grid.vms, signal.SIGKILL) + gone

    def _restart(self, vms: list[Vm], number: int) -> str:
        for vm in vms:
            if self.calm_since_s[vm.name] < math.inf:
                self.calm_since_s[vm.name] = math.inf
                vm.signal(number)
                self._spawn(self._start_again, vm, self._random.uniform(0.05, 0.8))
        return f"{signal.Signals(number).name} {' '.join(vm.name for vm in vms)}"

    def _start_again(self, vm: Vm, pause_s: float) -> None:
        vm.wait()
        gevent.sleep(pause_s)
        self.grid.start(vm)
        self.grid.wait_ready([vm])
        self.calm_since_s[vm.name] = time.monotonic()

    def _reload(self) -> str:
        # The signal ends a process that hasn't come to ignore it yet.
        for vm in self.grid.vms:
            if ask_ready(vm) == 200 and vm.is_running():
                vm.signal(signal.SIGHUP)
        return ""

    # Backend servers, the configuration and the store.

    def _add_server(self, domain: str) -> str:
        self._names += 1
        name, software = f"i-added-{self._names}", f"v{self._newest}"
        born = round(time.time() * 1000)
        server = self.grid.add_server(name, "model", domain, software, born)
        self._active.append(server)
        self._registered_s[server] = time.monotonic()
        return f"{name} {software}"

    def _choose_oldest(self) -> Server:
        oldest = f"v{min(int(server.software[1:]) for server in self._active)}"
        if oldest == f"v{self._newest}":
            self._newest += 1
        return self._random.choice([s for s in self._active if s.software == oldest])

    def _release(self) -> str:
        """Replace a server of the oldest version by one of the newest."""
        old = self._choose_oldest()
        added = self._add_server(old._domain)
        self._active.remove(old)
        self._spawn(self._drain, old, self._random.uniform(0.0, 0.8))
        return f"{old.name} {old.software} by {added}"

    def _drain(self, server: Server, pause_s: float) -> None:
        gevent.sleep(pause_s)
        server.register("draining")
        gevent.sleep(DRAIN_S)
        server.crash()
        self._remove(server, pause_s)

    def _remove(self, server: Server, after_s: float) -> None:
        gevent.sleep(after_s)
        self.grid.store.remove(f"servers/{server.name}")

    def _vanish(self) -> str:
        """Replace a server of the oldest version that never registers as draining."""
        old = self._choose_oldest()
        self._active.remove(old)
        if is_crash := self._random.random() < 0.5:
            old.crash()
            self._spawn(self._remove, old, self._random.uniform(0.0, 2.0))
        else:
            self._remove(old, 0.0)
            self._tasks.append(gevent.spawn_later(DRAIN_S, old.crash))
        how = "crashed" if is_crash else "removed"
        return f"{old.name} {old.software} {how}, {self._add_server(old._domain)} added"

    def _end_version(self) -> str:
        """Let each server of the oldest version vanish."""
        oldest, ended = self._choose_oldest().software, ""
        while any(server.software == oldest for server in self._active):
            ended += f" {self._vanish()}"
        return ended

    def _start_at_another_version(self) -> str:
        server = self._choose_oldest()
        before, server.software = server.software, f"v{self._newest}"
        self._registered_s[server] = math.inf
        server.restart()
        self._registered_s[server] = time.monotonic()
        return f"{server.name} {before} to {server.software}"

    def _disturb_server(self) -> str:
        server = self._random.choice(self._active)
        server.fault = self._random.choice(("cut", "reset"))
        self._spawn(self._mend, server, self._random.uniform(0.5, 1.5))
        return f"{server.name} {server.fault}"

    def _silence_server(self) -> str:
        server = self._random.choice(self._active)
        server.silent = True
        self._spawn(self._mend, server, SILENT_S)
        return server.name

    def _mend(self, server: Server, after_s: float) -> None:
        gevent.sleep(after_s)
        server.fault, server.silent = "", False

    def _configure(self) -> str:
        self._version += 1
        self.grid.store.put("op/config", make_config(self._version, LONG_ROUTES))
        return str(self._version)

    def _silence_store(self) -> str:
        if not self.grid.store.fault:
            self.grid.store.fault = "silent"
            self._store_calm_since_s = math.inf
            self._spawn(self._mend_store, self._random.uniform(0.5, 2.0))
        return ""

    def _mend_store(self, after_s: float) -> None:
        gevent.sleep(after_s)
        self.grid.store.fault = ""
        self._store_calm_since_s = time.monotonic()
