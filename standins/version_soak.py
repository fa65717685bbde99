"""Soak of resumable streams while servers are replaced by newer versions and VMs are lost.

Callers take broken streams up again with ``Last-Event-Id`` and ``Resumes``; afterwards no stream
may hold events from two versions of the servers' software.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import json
import random
import re
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import defopt
import gevent

from standins.fleet import FleetError
from standins.grid import DOMAINS, Grid, Vm, make_config
from standins.grid_callers import (
    NOT_EXECUTED_STATUSES,
    STREAM_EVENTS,
    Answer,
    GridCaller,
    find_faults,
)
from standins.version_world import LONG_ROUTES, STABLE_S, World, format_time

CALLERS = 24
DEADLINE_S = 10.0
MAX_TRIES = 6
# Time between two events of a stream: 1 to 4 s a stream.
EVENT_S = (1 / STREAM_EVENTS, 4 / STREAM_EVENTS)
DISTURBED_S = 10.0
# Fewer take-ups show nothing about their share.
MIN_TAKE_UPS = 12
ENTRY_EVENTS = ("backend_added", "backend_leaving", "backend_removed", "backend_lapsed")
FINAL_STATUSES = (400, 401, 404, 413, 431)
_EVENT = re.compile(rb"id: (\d+)\ndata: t\d+ by (\w+)\n\n")


@dataclass
class Try:
    """One attempt of a caller at a stream.

    :ivar answer: the answer
    :ivar after: id of the event that it goes on after, 0 to begin the stream
    :ivar is_counted: whether its VM was in touch, and servers were there that could serve it
    :ivar events: ids of the events that it brought, and the versions that wrote them
    """

    answer: Answer
    after: int
    is_counted: bool
    events: list[tuple[int, str]]


@dataclass
class Stream:
    """A stream as its caller received it.

    :ivar tries: the attempts, in order
    :ivar origin: the attempt that brought the first event, ``None`` before
    """

    tries: list[Try] = field(default_factory=list)
    origin: Try | None = None

    @property
    def software(self) -> str:
        """Version that wrote the first event, empty before it."""
        return self.origin.events[0][1] if self.origin else ""

    @property
    def last(self) -> int:
        """Id of the last whole event, 0 before the first."""
        return max((events[-1][0] for t in self.tries if (events := t.events)), default=0)

    def list_events(self) -> list[tuple[int, str]]:
        """Return the events of all attempts in the order of their arrival."""
        return [event for attempt in self.tries for event in attempt.events]


class Callers:
    """Callers that begin streams one after the other and take broken ones up; a context manager.

    :param world: the deployment under faults
    :param seed: seed of their choices
    :ivar streams: the streams begun
    """

    def __init__(self, world: World, seed: int):
        self.streams: list[Stream] = []
        self._world = world
        self._seed = seed
        self._running = True

    def __enter__(self) -> "Callers":
        self._tasks = [
            gevent.spawn(self._run, random.Random(f"{self._seed}/{number}"))
            for number in range(CALLERS)
        ]
        return self

    def __exit__(self, *exc_info) -> None:
        gevent.killall(self._tasks)

    def finish(self) -> None:
        """Begin no further stream, and wait for the end of the others."""
        self._running = False
        gevent.joinall(self._tasks, raise_error=True)

    def _run(self, choices: random.Random) -> None:
        while self._running:
            self.streams.append(stream := Stream())
            self._follow(stream, choices)
            gevent.sleep(choices.uniform(0.0, 0.1))

    def _follow(self, stream: Stream, choices: random.Random) -> None:
        """Begin a stream and take it up again until it is whole or the caller gives up."""
        event_s = choices.uniform(*EVENT_S)
        until_s = time.monotonic() + DEADLINE_S
        vm = choices.choice(self._world.grid.vms)
        for _ in range(MAX_TRIES):
            stream.tries.append(tried := self._try(stream, vm, event_s, until_s))
            if stream.origin is None and tried.events:
                stream.origin = tried
            answer, left_s = tried.answer, until_s - time.monotonic()
            if answer.good or answer.status in FINAL_STATUSES or left_s < 0.5:
                return
            pause_s = float(answer.headers.get("retry-after", choices.uniform(0.05, 0.5)))
            gevent.sleep(min(pause_s, left_s / 3))
            if choices.random() < 0.8:
                vm = choices.choice([other for other in self._world.grid.vms if other is not vm])

    def _try(self, stream: Stream, vm: Vm, event_s: float, until_s: float) -> Try:
        left_s, after = until_s - time.monotonic(), stream.last
        headers = {"Event_S": f"{event_s:.3f}", "Deadline_Ms": f"{left_s * 1000:.0f}"}
        if stream.origin is not None:
            headers |= {"Last_Event_Id": str(after), "Resumes": stream.origin.answer.id}
        was_servable = self._is_servable(stream, vm)
        with GridCaller(vm) as caller:
            answer = caller.ask("draft", b"x", timeout_s=left_s, **headers)
        events = [(int(number), by.decode()) for number, by in _EVENT.findall(answer.body)]
        is_counted = was_servable and (bool(events) or self._is_servable(stream, vm))
        return Try(answer, after, is_counted, events)

    def _is_servable(self, stream: Stream, vm: Vm) -> bool:
        world = self._world
        return world.is_in_touch(vm) and world.count_serving(stream.software) >= 2


@dataclass(frozen=True)
class Result:
    """What a run has shown.

    :ivar seed: its seed
    :ivar steps: the faults that it injected
    :ivar streams: number of streams
    :ivar take_ups: number of attempts that went on after an event
    :ivar begun: counted attempts to begin a stream, and those of them that did
    :ivar gone_on: counted attempts to take a stream up, and those of them that went on
    :ivar faults: the faults found, with the log lines of their calls
    """

    seed: int
    steps: tuple[str, ...]
    streams: int
    take_ups: int
    begun: tuple[int, int]
    gone_on: tuple[int, int]
    faults: tuple[str, ...]


def check_stream(grid: Grid, stream: Stream) -> list[str]:
    """Return descriptions of the faults of a stream, empty if there are none."""
    faults = []
    events = stream.list_events()
    if [number for number, _ in events] != list(range(1, len(events) + 1)):
        faults.append(f"events are missing or doubled: {[number for number, _ in events]}")
    if len(versions := {by for _, by in events}) > 1:
        faults.append(f"holds events from versions {', '.join(sorted(versions))}")
    held = b""
    for tried in stream.tries:
        answer = tried.answer
        faults += find_faults(grid, "draft", replace(answer, body=held + answer.body))
        is_told = answer.status == 503 and "retry-after" in answer.headers
        if answer.status in (*NOT_EXECUTED_STATUSES, *FINAL_STATUSES) and not is_told:
            faults.append(f"answered {answer.status} without the time of a retry")
        held += b"".join(b"id: %d\n" % number for number, _ in tried.events)
    return faults + check_going_on(grid, stream)


def list_runs(grid: Grid, answer: Answer) -> list[tuple[float, str, str, str]]:
    """Return time, server, version and ``Last-Event-Id`` of each run of an attempt, in order."""
    return sorted(
        (at_s, server.name, software, headers.get("last-event-id", ""))
        for server in grid.servers
        for (attempt_id, headers, at_s), software in zip(
            server.runs, server.run_software, strict=True
        )
        if attempt_id == answer.id
    )


def check_going_on(grid: Grid, stream: Stream) -> list[str]:
    """Return the versions other than its first at which a stream was told to go on."""
    if stream.origin is None:
        return []
    # Attempts that brought nothing before the first event bind no later one.
    bound = stream.tries[stream.tries.index(stream.origin) :]
    runs = [run for tried in bound for run in list_runs(grid, tried.answer)]
    others = {software for _, _, software, after in runs if after} - {stream.software}
    return [f"goes on at version {software}" for software in sorted(others)]


def trace(grid: Grid, stream: Stream) -> str:
    """Return the attempts at a stream, the servers' runs, and the VMs' log lines about them."""
    lines, servers = [], set()
    wall_s = time.time() - time.monotonic()
    for tried in stream.tries:
        answer = tried.answer
        lines.append(
            f"    {format_time(wall_s + answer.sent_s)} {answer.id}: status {answer.status},"
            f" whole {answer.whole}, after {tried.after}, events {tried.events}"
        )
        for at_s, name, software, after in list_runs(grid, answer):
            servers.add(name)
            at = format_time(wall_s + at_s)
            lines.append(f"      {at} runs at {name} {software} after {after or '-'}")
        lines += list_log_lines(grid, lambda line, id=answer.id: id in line.values())
    lines.append("    entries of its servers:")
    lines += list_log_lines(
        grid, lambda line: line["event"] in ENTRY_EVENTS and line["backend"] in servers
    )
    return "\n".join(lines)


def list_log_lines(grid: Grid, check: Callable[[dict], bool]) -> list[str]:
    """Return the log lines of all VMs that pass a check, in the order of their times."""
    lines = [line for vm in grid.vms for line in vm.list_lines() if check(line)]
    return [f"      {json.dumps(line)}" for line in sorted(lines, key=lambda o: o["timestamp"])]


def count_shares(streams: list[Stream], is_take_up: bool) -> tuple[int, int]:
    """Return the number of counted attempts of a kind, and of those that brought an event."""
    counted = [
        tried
        for stream in streams
        for tried in stream.tries
        if tried.is_counted and (tried.after > 0) == is_take_up
    ]
    return len(counted), sum(bool(tried.events) or tried.answer.good for tried in counted)


def describe_share(results: list[Result]) -> str:
    """Return how many of the counted take-ups went on, and of the new streams began."""
    begun, began = (sum(result.begun[i] for result in results) for i in (0, 1))
    taken_up, went_on = (sum(result.gone_on[i] for result in results) for i in (0, 1))
    return f"{went_on} of {taken_up} take-ups go on, {began} of {begun} new streams begin"


def find_low_share(results: list[Result]) -> list[str]:
    """Check that take-ups go on at least half as often as new streams begin.

    :param results: results of one run or more
    :return: description of the fault, empty if there is none or the take-ups are too few
    """
    begun, began = (sum(result.begun[i] for result in results) for i in (0, 1))
    taken_up, went_on = (sum(result.gone_on[i] for result in results) for i in (0, 1))
    if taken_up < MIN_TAKE_UPS or went_on * begun >= taken_up * began / 2:
        return []
    return [f"low share: {describe_share(results)}"]


def soak(seed: int) -> Result:
    """Run a deployment under the faults of a seed, and check all its streams.

    :param seed: the seed
    """
    domains = random.Random(seed).choice((2, 3))
    with Grid(vms=1, servers=1, domains=domains) as grid:
        if domains == 2:
            grid.start_vm("vm-third", list(DOMAINS)[0])
        grid.store.put("op/config", make_config(2, LONG_ROUTES))
        with World(grid, seed) as world, Callers(world, seed) as callers:
            gevent.sleep(STABLE_S)
            world.run(time.monotonic() + DISTURBED_S)
            callers.finish()
        streams = callers.streams
        faults = []
        for stream in streams:
            if found := check_stream(grid, stream):
                faults.append(f"{'; '.join(dict.fromkeys(found))}\n{trace(grid, stream)}")
        return Result(
            seed,
            tuple(world.steps),
            len(streams),
            sum(tried.after > 0 for stream in streams for tried in stream.tries),
            count_shares(streams, is_take_up=False),
            count_shares(streams, is_take_up=True),
            tuple(faults),
        )


def print_result(result: Result) -> None:
    """Print a line for the run, and what broke."""
    print(
        f"seed {result.seed}: streams {result.streams}, take-ups {result.take_ups}, in touch:"
        f" {describe_share([result])}; broken {len(result.faults)}",
        flush=True,
    )
    if result.faults:
        print("  steps:", *result.steps, sep="\n    ", flush=True)
    for fault in (*result.faults, *find_low_share([result])):
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
    broken = [result.seed for result in results if result.faults or find_low_share([result])]
    print(f"{len(results)} seeds run, broken: {broken or 'none'}, not run: {failed or 'none'}")
    print(f"in touch, all seeds: {describe_share(results)}")
    return 1 if broken or failed or low else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
