"""A replay of calls to a plain service, in virtual time and with the real decision of each VM.

Six servers with six slots in three regions, as in the published deployments. A server with no free
slot refuses a call. Work of other deciders is known as of the last announcement, 20 to 200 ms ago.
"""

import heapq
import itertools
from dataclasses import dataclass, field
from random import Random

from balsamtally.backlogs import Load
from balsamtally.demands import Demand
from balsamtally.reports import Finding, Report
from tests.balsamtally.scripted import make_backend
from tests.balsamtally.test_dispatch import World

REGIONS = ("north", "south", "west")
SERVERS, SLOTS = 6, 6
LOCAL_ONE_WAY_S, REGION_ONE_WAY_S = 0.0009, 0.03
# Announcements arrive at least this late, and at an interval drawn for each decider.
ANNOUNCEMENT_DELAY_S, ANNOUNCEMENT_INTERVALS_S = 0.02, (0.08, 0.18)
# A coordinator learns this late that a call of another VM has ended.
END_KNOWN_S = 0.02
MAX_ATTEMPTS = 2
WARM_UP_S = 1.0


@dataclass(frozen=True)
class Scenario:
    """What a replay plays.

    :ivar vms: number of entry VMs
    :ivar coordinated: whether one VM of each region places the calls of all its VMs
    :ivar load: arrivals relative to the slots of all servers
    :ivar call_s: time that a call takes at a server, in seconds
    :ivar shares: parts of the arrivals by region
    :ivar time_s: length of the replay in seconds
    """

    vms: int
    coordinated: bool = True
    load: float = 0.65
    call_s: float = 0.09
    shares: tuple[float, ...] = (1.0, 1.0, 1.0)
    time_s: float = 12.0


@dataclass
class Result:
    """What a replay measured.

    :ivar calls: calls that arrived
    :ivar full: attempts that found their server full
    :ivar refused: calls whose last attempt found its server full
    :ivar late: calls answered after the target
    :ivar remote: attempts sent to another region
    :ivar ratios: busiest server over the mean at each tenth of a second, by places taken
    :ivar by_server: calls run by each server
    """

    calls: int = 0
    full: int = 0
    refused: int = 0
    late: int = 0
    remote: int = 0
    ratios: list[float] = field(default_factory=list)
    by_server: dict[str, int] = field(default_factory=dict)

    @property
    def peak_ratio(self) -> float:
        """Mean over the tenths of a second of the busiest server over the mean."""
        return sum(self.ratios) / len(self.ratios)

    @property
    def day_ratio(self) -> float:
        """Calls of the busiest server over the mean of all servers, over the whole replay."""
        return max(self.by_server.values()) * SERVERS / sum(self.by_server.values())


class Decider:
    """A VM that places calls with its own view.

    :param region: its region
    :param backends: the servers
    :param random: source of its announcement times
    :param coordinates: whether it places all calls of its region
    """

    def __init__(self, region, backends, random, coordinates):
        self.region = region
        self.world = World(engine=None, region=region)
        self.world.dispatch._draw = random.random
        self.world.dispatch.runners._coordinates = lambda service: coordinates
        self.world.catalog.backends.update(backends)
        self.coordinates = coordinates
        self.period_s = random.uniform(*ANNOUNCEMENT_INTERVALS_S)
        self.phase_s = random.uniform(0.0, self.period_s)

    def find_known_s(self, now):
        """Return the time as of which the work of others is known."""
        return now - (now - self.phase_s) % self.period_s - ANNOUNCEMENT_DELAY_S


class Replay:
    """Plays a scenario.

    :param scenario: the scenario
    :param seed: seed of all random numbers
    """

    def __init__(self, scenario: Scenario, seed: int = 1):
        self.scenario = scenario
        self.random = Random(seed)
        names = [f"s{number}" for number in range(SERVERS)]
        self.backends = {
            name: make_backend(name, domain=REGIONS[number % 3], slots=SLOTS)
            for number, name in enumerate(names)
        }
        count = len(REGIONS) if scenario.coordinated else scenario.vms
        self.deciders = [
            Decider(REGIONS[number % 3], self.backends, self.random, scenario.coordinated)
            for number in range(count)
        ]
        self.busy = dict.fromkeys(names, 0)
        # Placed calls as [placed, end or None, server, decider].
        self.placed: list[list] = []
        self.events: list[tuple] = []
        self.numbers = itertools.count()
        self.result = Result(by_server=dict.fromkeys(names, 0))

    def run(self) -> Result:
        """Play all calls and return what was measured."""
        scenario = self.scenario
        rate = scenario.load * SERVERS * SLOTS / scenario.call_s
        self._schedule(0.0, self._sample)
        at = 0.0
        while at < scenario.time_s:
            at += self.random.expovariate(rate)
            self._schedule(at, self._arrive)
        while self.events:
            now, _, step, arguments = heapq.heappop(self.events)
            step(now, *arguments)
        return self.result

    def _schedule(self, at, step, *arguments):
        heapq.heappush(self.events, (at, next(self.numbers), step, arguments))

    def _sample(self, now):
        if now >= self.scenario.time_s:
            return
        if now >= WARM_UP_S and any(self.busy.values()):
            counts = self.busy.values()
            self.result.ratios.append(max(counts) * SERVERS / sum(counts))
        self._schedule(now + 0.1, self._sample)

    def _arrive(self, now):
        region = self.random.choices(range(3), self.scenario.shares)[0]
        decider = self.random.choice(self.deciders[region::3])
        self.result.calls += 1
        self._place(now, decider, now, ())

    def _tell(self, now, decider):
        """Bring a decider the work of others as of its last announcement."""
        known_s = decider.find_known_s(now)
        sums: tuple[dict[str, int], dict[str, int]] = ({}, {})
        for placed_s, end_s, server, other in self.placed:
            if other is not decider and placed_s <= known_s and (end_s is None or end_s > known_s):
                running = sums[other.region == decider.region]
                running[server] = running.get(server, 0) + 1
        remote, local = ({name: Load(count) for name, count in each.items()} for each in sums)
        decider.world.backlogs.record_region_loads("other regions", remote)
        decider.world.backlogs.record_peer_loads("peers", local)

    def _place(self, now, decider, arrived_s, avoid):
        world = decider.world
        world.now = 100.0 + now
        self._tell(now, decider)
        demand = Demand(
            f"c{next(self.numbers)}", "route", "desk", 1, 1, 1, 100.0 + arrived_s, self.target_s,
            103.0 + arrived_s, attempt=len(avoid) + 1, avoid=avoid, size_bytes=500,
        )  # fmt: skip
        reservation = world.dispatch.reserve(demand)
        server = reservation.place.backend
        entry = [now, None, server, decider]
        self.placed = [held for held in self.placed if held[1] is None or held[1] > now - 1.0]
        self.placed.append(entry)
        far = self.backends[server].domain != decider.region
        self.result.remote += far
        trip_s = REGION_ONE_WAY_S if far else LOCAL_ONE_WAY_S
        call = (decider, arrived_s, avoid, reservation.work, entry, trip_s)
        self._schedule(now + trip_s, self._reach, *call)

    @property
    def target_s(self):
        return 0.23 if self.scenario.call_s < 0.05 else 0.5

    def _reach(self, now, decider, arrived_s, avoid, work, entry, trip_s):
        server = entry[2]
        if self.busy[server] >= SLOTS:
            self.result.full += 1
            self._schedule(now + trip_s, self._refuse, decider, arrived_s, avoid, work, entry)
            return
        self.busy[server] += 1
        self.result.by_server[server] += 1
        self._schedule(now + self.scenario.call_s, self._finish, server)
        done_s = now + self.scenario.call_s + trip_s
        self.result.late += done_s - arrived_s > self.target_s
        known_s = done_s + (END_KNOWN_S if decider.coordinates else 0.0)
        self._schedule(known_s, self._record_end, decider, work, entry)

    def _finish(self, _, server):
        self.busy[server] -= 1

    def _record_end(self, now, decider, work, entry):
        decider.world.now = 100.0 + now
        entry[1] = now
        work.record_answer_start()
        backend = self.backends[entry[2]]
        trip_s = REGION_ONE_WAY_S if backend.domain != decider.region else LOCAL_ONE_WAY_S
        took_s = self.scenario.call_s + 2 * trip_s
        report = Report(Finding.ANSWERED, "desk", backend.name, backend.born, took_s)
        decider.world.dispatch.runners.handle_report(report)
        work.cancel()

    def _refuse(self, now, decider, arrived_s, avoid, work, entry):
        decider.world.now = 100.0 + now
        entry[1] = now
        work.cancel()
        backend = self.backends[entry[2]]
        report = Report(Finding.FULL, "desk", backend.name, backend.born, now - entry[0])
        decider.world.dispatch.runners.handle_report(report)
        if len(avoid) + 1 >= MAX_ATTEMPTS:
            self.result.refused += 1
            return
        self._place(now, decider, arrived_s, (*avoid, backend.name))
