"""Soak of entry VMs that are cut off from sound backend servers while VMs are lost and reloaded.

Afterwards no request may have run twice, or run and been refused; no VM may have taken a cut for a
failure of a backend server; and first tries at VMs cut off must have been served as at the others.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import itertools
import json
import math
import random
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime

import defopt
import gevent

from standins.fleet import FleetError
from standins.grid import Grid, Vm, ask_ready, make_config
from standins.grid_callers import Answer, GridCaller, find_faults
from standins.version_world import format_time

KINDS = ("lookup", "sign", "draft", "history")
WAYS = ("hang", "reset", "refuse")
CALLERS_PER_VM = 3
PAUSE_S = (0.0, 0.2)
DEADLINE_S = 2.0
CALM_S = 1.0
DISTURBED_S = 8.0
CUT_S = (0.3, 4.0)
SAMPLE_S = 0.05
# Time for other VMs to learn that a VM is cut off or has ended.
TOLD_S = 1.0
# Time in which a VM serves again after the last fault.
BACK_S = 3.0
# Fewer first tries show nothing about their share.
MIN_TRIES = 30
VERDICTS = ("backend_ejected", "backend_crashed", "backend_lapsed", "part_quarantined")


class World:
    """A deployment under seeded cuts and losses of entry VMs.

    :param grid: the deployment
    :param seed: seed of the faults
    :ivar steps: the faults so far, each with its UTC time and what it concerned
    """

    def __init__(self, grid: Grid, seed: int):
        self.steps: list[str] = []
        self._grid = grid
        self._random = random.Random(seed)
        self._up_since_s = dict.fromkeys(self._names(), time.monotonic())
        self._cut_since_s = dict.fromkeys(self._names(), math.inf)
        self._cuts = dict.fromkeys(self._names(), 0)
        self._partial: set[str] = set()
        self._version = 1
        self._unclear_s = [0.0]
        self._tasks: list[gevent.Greenlet] = []

    def _names(self) -> list[str]:
        return [vm.name for vm in self._grid.vms]

    def follow(self) -> None:
        """Note the times at which nobody can tell a lost server from lost links, again and again.

        These are times when each VM is down or cut off, some of them from some servers only.
        """
        while True:
            if self._partial and not self.has_relay():
                self._unclear_s.append(time.time())
            gevent.sleep(SAMPLE_S)

    def is_clear(self, unix_s: float) -> bool:
        """Return whether a lost server could be told from lost links shortly before a time."""
        return not any(0 <= unix_s - at_s <= DEADLINE_S for at_s in self._unclear_s)

    def is_up(self, vm: Vm) -> bool:
        """Return whether a VM is up and known to the others."""
        return time.monotonic() - self._up_since_s[vm.name] >= TOLD_S

    def is_cut(self, vm: Vm) -> bool:
        """Return whether a VM has been cut off from servers for so long that it knows."""
        return time.monotonic() - self._cut_since_s[vm.name] >= TOLD_S

    def is_just_cut(self, vm: Vm) -> bool:
        """Return whether a VM is cut off, but not for so long."""
        return self._cut_since_s[vm.name] < math.inf and not self.is_cut(vm)

    def has_relay(self) -> bool:
        """Return whether a VM is left that isn't cut off."""
        return any(
            self.is_up(vm) and self._cut_since_s[vm.name] == math.inf for vm in self._grid.vms
        )

    def run(self, until_s: float) -> None:
        """Inject faults until this time, end them, and wait until all VMs are ready.

        :param until_s: monotonic time, in seconds
        """
        steps = [self._cut, self._cut, self._cut_most, self._heal, self._restart]
        steps += [self._reload, self._configure]
        self._take(self._cut)
        following = gevent.spawn(self.follow)
        while time.monotonic() < until_s:
            self._take(self._random.choice(steps))
        gevent.joinall(self._tasks, raise_error=True)
        following.kill()
        for vm in self._grid.vms:
            self._end_cut(vm)
        self._grid.wait_ready(self._grid.vms)

    def _take(self, step: Callable[[], str]) -> None:
        taken_s = time.time()
        self.steps.append(f"{format_time(taken_s)} {step.__name__.strip('_')} {step()}".strip())
        gevent.sleep(self._random.uniform(0.0, 1.0))

    def _cut(self) -> str:
        return self._cut_off([self._random.choice(self._grid.vms)])

    def _cut_most(self) -> str:
        count = self._random.choice((len(self._grid.vms) - 1, len(self._grid.vms)))
        return self._cut_off(self._random.sample(self._grid.vms, count))

    def _cut_off(self, vms: list[Vm]) -> str:
        way = self._random.choice(WAYS)
        servers = None
        if self._random.random() < 0.3:
            servers = self._random.sample(self._grid.servers, len(self._grid.servers) // 2)
        lasts_s = self._random.uniform(*CUT_S)
        for vm in vms:
            self._cuts[vm.name] += 1
            if self._cut_since_s[vm.name] == math.inf:
                self._cut_since_s[vm.name] = time.monotonic()
            self._partial.discard(vm.name)
            if servers:
                self._partial.add(vm.name)
            self._grid.cut(vm, way, servers)
            self._tasks.append(gevent.spawn(self._heal_later, vm, self._cuts[vm.name], lasts_s))
        extent = "some servers" if servers else "all servers"
        return f"{' '.join(vm.name for vm in vms)} from {extent}, {way}, {lasts_s:.2f} s"

    def _heal_later(self, vm: Vm, number: int, after_s: float) -> None:
        """End a cut unless another one of the VM has taken its place."""
        gevent.sleep(after_s)
        if self._cuts[vm.name] == number:
            self._end_cut(vm)

    def _end_cut(self, vm: Vm) -> None:
        self._grid.heal(vm)
        self._partial.discard(vm.name)
        self._cut_since_s[vm.name] = math.inf

    def _heal(self) -> str:
        vm = self._random.choice(self._grid.vms)
        self._end_cut(vm)
        return vm.name

    def _restart(self) -> str:
        vm = self._random.choice(self._grid.vms)
        number = self._random.choice((signal.SIGKILL, signal.SIGTERM))
        if self._up_since_s[vm.name] == math.inf:
            return ""
        self._up_since_s[vm.name] = math.inf
        vm.signal(number)
        self._tasks.append(gevent.spawn(self._start_again, vm, self._random.uniform(0.0, 0.8)))
        return f"{signal.Signals(number).name} {vm.name}"

    def _start_again(self, vm: Vm, pause_s: float) -> None:
        vm.wait()
        gevent.sleep(pause_s)
        self._grid.start(vm)
        self._grid.wait_ready([vm])
        self._up_since_s[vm.name] = time.monotonic()

    def _reload(self) -> str:
        # The signal ends a process that hasn't come to ignore it yet.
        for vm in self._grid.vms:
            if ask_ready(vm) == 200 and vm.is_running():
                vm.signal(signal.SIGHUP)
        return ""

    def _configure(self) -> str:
        self._version += 1
        self._grid.store.put("op/config", make_config(self._version))
        return str(self._version)


@dataclass(frozen=True)
class Try:
    """One request of a caller.

    :ivar kind: name of the route
    :ivar vm: name of the VM that it was sent to
    :ivar answer: the answer
    :ivar place: ``cut`` if the VM was up and cut off before and after the request, ``other`` if it
        was up and not cut off, both only while another VM could relay; otherwise empty
    """

    kind: str
    vm: str
    answer: Answer
    place: str


class Callers:
    """Callers that keep their connections till the VM's process is gone; a context manager.

    :param world: the deployment under faults
    :param grid: the deployment
    :param seed: seed of their choices
    :ivar tries: the requests that have ended
    """

    def __init__(self, world: World, grid: Grid, seed: int):
        self.tries: list[Try] = []
        self._world = world
        self._grid = grid
        self._seed = seed
        self._running = True

    def __enter__(self) -> "Callers":
        self._tasks = [
            gevent.spawn(self._run, vm, number, random.Random(f"{self._seed}/{vm.name}/{number}"))
            for vm in self._grid.vms
            for number in range(CALLERS_PER_VM)
        ]
        return self

    def __exit__(self, *exc_info) -> None:
        self._running = False
        gevent.joinall(self._tasks, raise_error=True)

    def _run(self, vm: Vm, number: int, choices: random.Random) -> None:
        with GridCaller(vm) as caller:
            for kind in itertools.islice(itertools.cycle(KINDS), number, None):
                if not self._running:
                    return
                before = self._find_place(vm)
                deadline_ms = f"{1000 * DEADLINE_S:.0f}"
                answer = caller.ask(kind, b"x", DEADLINE_S + 0.5, Deadline_Ms=deadline_ms)
                place = before if self._find_place(vm) == before else ""
                self.tries.append(Try(kind, vm.name, answer, place))
                gevent.sleep(choices.uniform(*PAUSE_S))

    def _find_place(self, vm: Vm) -> str:
        if not self._world.is_up(vm) or not self._world.has_relay():
            return ""
        if self._world.is_cut(vm):
            return "cut"
        return "" if self._world.is_just_cut(vm) else "other"


@dataclass(frozen=True)
class Result:
    """What a run has shown.

    :ivar seed: its seed
    :ivar steps: the faults that it injected
    :ivar tries: number of requests
    :ivar cut: counted requests at VMs cut off, and those of them that were served
    :ivar others: counted requests at the other VMs, and those of them that were served
    :ivar faults: the faults found, with the log lines of their calls
    """

    seed: int
    steps: tuple[str, ...]
    tries: int
    cut: tuple[int, int]
    others: tuple[int, int]
    faults: tuple[str, ...]


def count_served(tries: list[Try], place: str) -> tuple[int, int]:
    """Return the number of counted requests at a place, and of those that were served."""
    counted = [tried.answer.good for tried in tries if tried.place == place]
    return len(counted), sum(counted)


def describe_shares(results: list[Result]) -> str:
    """Return how many requests were served at VMs cut off, and at the others."""
    (cut, cut_served), (others, others_served) = sum_shares(results)
    return f"{cut_served} of {cut} at VMs cut off, {others_served} of {others} at the others"


def sum_shares(results: list[Result]) -> tuple[tuple[int, int], tuple[int, int]]:
    """Return the sums over results of the requests at VMs cut off and at the others."""
    return (
        (sum(result.cut[0] for result in results), sum(result.cut[1] for result in results)),
        (sum(result.others[0] for result in results), sum(result.others[1] for result in results)),
    )


def find_low_share(results: list[Result]) -> list[str]:
    """Check that requests at VMs cut off are served two thirds as often as at the others.

    :param results: results of one run or more
    :return: description of the fault, empty if there is none or the requests are too few
    """
    (cut, cut_served), (others, others_served) = sum_shares(results)
    if min(cut, others) < MIN_TRIES or cut_served * others >= cut * others_served * 2 / 3:
        return []
    return [f"low share: {describe_shares(results)}"]


def list_lines(grid: Grid, check: Callable[[dict], bool]) -> list[str]:
    """Return the log lines of all VMs that pass a check, in the order of their times."""
    lines = [line for vm in grid.vms for line in vm.list_lines() if check(line)]
    return [f"      {json.dumps(line)}" for line in sorted(lines, key=lambda o: o["timestamp"])]


def read_time(line: dict) -> float:
    """Return the time of a log line, as Unix time in seconds."""
    return datetime.fromisoformat(line["timestamp"]).timestamp()


def list_faults(grid: Grid, world: World, tries: list[Try]) -> list[str]:
    """Return the faults of answers, and the verdicts on backend servers, which are all sound."""
    faults = []
    for tried in tries:
        answer = tried.answer
        if found := find_faults(grid, tried.kind, answer):
            lines = list_lines(grid, lambda line, id=answer.id: id in line.values())
            what = f"{tried.kind} {answer.id} at {tried.vm}, status {answer.status}: {found}"
            faults.append("\n".join([what, *lines]))
    verdicts = list_lines(
        grid, lambda line: line["event"] in VERDICTS and world.is_clear(read_time(line))
    )
    return faults + [f"verdict on a sound server\n{line}" for line in verdicts]


def list_not_back(grid: Grid) -> list[str]:
    """Return the VMs that don't serve within ``BACK_S`` after the last fault."""
    until_s = time.monotonic() + BACK_S
    away = list(grid.vms)
    while away and time.monotonic() < until_s:
        gevent.sleep(0.1)
        away = [vm for vm in away if not is_serving(vm)]
    return [f"{vm.name} doesn't serve {BACK_S} s after the last fault" for vm in away]


def is_serving(vm: Vm) -> bool:
    """Return whether a VM serves a request."""
    with GridCaller(vm) as caller:
        return caller.ask("lookup", b"x", DEADLINE_S).good


def soak(seed: int) -> Result:
    """Run a deployment under the faults of a seed, and check all answers.

    :param seed: the seed
    """
    with Grid(vms=2, servers=2, domains=2, is_cuttable=True) as grid:
        world = World(grid, seed)
        with Callers(world, grid, seed) as callers:
            gevent.sleep(CALM_S)
            world.run(time.monotonic() + DISTURBED_S)
        faults = list_not_back(grid) + list_faults(grid, world, callers.tries)
        return Result(
            seed,
            tuple(world.steps),
            len(callers.tries),
            count_served(callers.tries, "cut"),
            count_served(callers.tries, "other"),
            tuple(faults),
        )


def print_result(result: Result) -> None:
    """Print a line for the run, and what broke."""
    print(
        f"seed {result.seed}: requests {result.tries}, served {describe_shares([result])};"
        f" broken {len(result.faults)}",
        flush=True,
    )
    if result.faults:
        print("  steps:", *result.steps, sep="\n    ", flush=True)
    for fault in result.faults:
        print(f"  {fault}", flush=True)


def main(*, seeds: int = 3, first: int = 0) -> int:
    """Run one seed after the other.

    :param seeds: number of seeds
    :param first: first seed
    :return: exit code, 0 if nothing broke
    """
    results, failed = [], []
    for seed in range(first, first + seeds):
        try:
            results.append(result := soak(seed))
        except FleetError as error:
            failed.append(seed)
            print(f"seed {seed}: {error}", flush=True)
            continue
        print_result(result)
    low = find_low_share(results)
    broken = [result.seed for result in results if result.faults]
    print(f"{len(results)} seeds run, broken: {broken or 'none'}, not run: {failed or 'none'}")
    print(f"served, all seeds: {describe_shares(results)}", *low)
    return 1 if broken or failed or low else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
