"""What this entry VM knows of the backend servers: their work, pace, health and prompt parts."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from balsamtally.backlogs import Backlogs, Load
from balsamtally.calls import Backend, Engine
from balsamtally.catalog import Catalog
from balsamtally.dedicated_runners import (
    Streams,
    choose_kept,
    expect_late_share,
    find_pools,
    is_close,
    is_least,
    narrow,
)
from balsamtally.demands import Demand
from balsamtally.health import RunnerHealth, count_ejectable
from balsamtally.logs import log
from balsamtally.paces import Paces
from balsamtally.prefixes import PrefixCache
from balsamtally.reports import Finding, Report
from balsamtally.selection import Candidate
from balsamtally.speeds import FIRST_TOKEN_READING_S, EngineSpeed

# A backend server that refused a call for want of room is passed over for so long.
FULL_S = 0.3
# What all runners have before them is looked at anew after this time, or after an own change; what
# peers tell is older than that. Each waiting call weighs all runners several times a second.
LOOK_OLD_S = 0.02
# Weight of one call in the mean size of its route's prompts.
SMOOTHING = 0.05


@dataclass(frozen=True)
class Runner:
    """A backend server as it was when it was looked at.

    :ivar backend: the backend server
    :ivar region: region that it stands in
    :ivar at_home: whether that is the own region
    :ivar usable: whether it is neither full nor faulty
    :ivar load: its work
    :ivar slow_factor: how much slower than its like it was seen to be
    :ivar cache: what it holds of prompts
    """

    backend: Backend
    region: str
    at_home: bool
    usable: bool
    load: Load
    slow_factor: float
    cache: PrefixCache


@dataclass(frozen=True)
class Look:
    """The backend servers of a service at a moment.

    :ivar runners: the open ones
    :ivar at_s: steady clock then, in seconds
    :ivar changes: own changes until then
    """

    runners: list[Runner]
    at_s: float
    changes: int


@dataclass
class Habits:
    """What the calls of a service were seen to be like.

    :ivar speed: how fast its engines work
    :ivar streams: its streams with a close bound on pauses
    """

    speed: EngineSpeed = field(default_factory=EngineSpeed)
    streams: Streams = field(default_factory=Streams)


class Runners:
    """The backend servers of all services, as far as this entry VM knows them.

    :param catalog: what is published of them
    :param backlogs: their work
    :param find_region: returns the region of a failure domain
    :param region: own region
    :param clock: steady clock
    """

    def __init__(
        self,
        catalog: Catalog,
        backlogs: Backlogs,
        find_region: Callable[[str], str],
        region: str,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._catalog = catalog
        self._backlogs = backlogs
        self._find_region = find_region
        self._region = region
        self._clock = clock
        self._paces = Paces(clock)
        self._health: dict[tuple[str, int], RunnerHealth] = {}
        self._caches: dict[tuple[str, int], PrefixCache] = {}
        self._full_until_s: dict[tuple[str, int], float] = {}
        self._sizes: dict[str, float] = {}
        self._habits: dict[str, Habits] = {}
        self._kept: dict[str, set[str]] = {}
        self._looks: dict[str, Look] = {}
        self._changes = 0

    def note_change(self) -> None:
        """Take in that the work changed since the last look."""
        self._changes += 1

    # What is published.

    def find_engine(self, service: str) -> Engine | None:
        """Return what is published of a service's engines, ``None`` for a plain service.

        :param service: name of the service
        """
        contracts = self._catalog.contracts
        found = contracts.services.get(service) if contracts is not None else None
        return found.engine if found is not None else None

    def find_habits(self, service: str) -> Habits:
        """Return what the calls of a service were seen to be like.

        :param service: name of the service
        """
        return self._habits.setdefault(service, Habits())

    def find_cache(self, service: str, key: tuple[str, int]) -> PrefixCache:
        """Return what a runner seems to hold of prompts.

        :param service: name of its service
        :param key: identity of its incarnation
        """
        cache = self._caches.get(key)
        if cache is None:
            engine = self.find_engine(service)
            cache = PrefixCache(engine.memory_tokens if engine is not None else 0)
            self._caches[key] = cache
        return cache

    # What a call would find.

    def note_demand(self, demand: Demand) -> float:
        """Take in a call; return the time that the prompts of its route take to read, in seconds.

        :param demand: what it asks
        """
        if self.is_close(demand):
            streams = self.find_habits(demand.service).streams
            streams.note_call(demand.prompt_tokens, demand.answer_tokens)
        mean = self._sizes.get(demand.route, float(demand.prompt_tokens))
        mean += SMOOTHING * (demand.prompt_tokens - mean)
        self._sizes[demand.route] = mean
        return mean / self.find_habits(demand.service).speed.tokens_per_s

    def list_candidates(self, demand: Demand) -> list[Candidate]:
        """Return the backend servers that a call may be sent to.

        :param demand: what it asks
        """
        runners = self._look(demand.service)
        usable = [runner for runner in runners if runner.usable] or runners
        candidates = self._make_candidates(demand, usable)
        narrowed = self._narrow(demand, candidates)
        if not demand.avoid:
            return narrowed
        # Which runners are kept doesn't depend on what one call avoids.
        for choices in (narrowed, candidates, self._make_candidates(demand, runners)):
            left = [one for one in choices if one.backend.name not in demand.avoid]
            if left:
                return left
        return []

    def list_home(self, service: str) -> list[str]:
        """Return the names of the open backend servers of a service in the own region.

        :param service: name of the service
        """
        return [runner.backend.name for runner in self._look(service) if runner.at_home]

    def _make_candidates(self, demand: Demand, runners: list[Runner]) -> list[Candidate]:
        held = [runner.cache.count_cached_tokens(demand.parts) for runner in runners]
        most = max(held, default=0)
        return [
            self._make_candidate(demand, runner, tokens, most)
            for runner, tokens in zip(runners, held, strict=True)
        ]

    def _look(self, service: str) -> list[Runner]:
        """Return the open backend servers of a service, looked at a moment ago at most."""
        now = self._clock()
        held = self._looks.get(service)
        if held and now - held.at_s < LOOK_OLD_S and held.changes == self._changes:
            return held.runners
        runners = [self._look_at(service, each) for each in self._catalog.list_open(service)]
        self._looks[service] = Look(runners, now, self._changes)
        return runners

    def _look_at(self, service: str, backend: Backend) -> Runner:
        load = self._backlogs.find(backend.name)
        region = self._find_region(backend.domain)
        return Runner(
            backend=backend,
            region=region,
            at_home=region == self._region,
            usable=self._is_usable(backend, load.running),
            load=load,
            slow_factor=self._paces.find(backend.key),
            cache=self.find_cache(service, backend.key),
        )

    def _is_usable(self, backend: Backend, running: int) -> bool:
        now = self._clock()
        if self._full_until_s.get(backend.key, 0.0) > now:
            return False
        health = self._health.get(backend.key)
        if health is None or health.is_fully_available(now):
            return True
        return running < health.limit_slots(max(backend.slots, 1), now)

    def _make_candidate(
        self, demand: Demand, runner: Runner, held_tokens: int, most_held_tokens: int
    ) -> Candidate:
        load = runner.load
        return Candidate(
            backend=runner.backend,
            at_home=runner.at_home,
            running=load.running,
            reading_tokens=load.count_before(demand.urgency),
            beside_tokens=load.reading_tokens,
            memory_tokens=load.memory_tokens,
            fresh_tokens=max(0, demand.prompt_tokens - held_tokens),
            again_tokens=most_held_tokens - held_tokens,
            tokens_per_s=self.find_habits(demand.service).speed.tokens_per_s,
            slow_factor=runner.slow_factor,
            close=load.close,
            region=runner.region,
        )

    def _narrow(self, demand: Demand, candidates: list[Candidate]) -> list[Candidate]:
        """Keep long prompts and streams with a close bound on pauses apart."""
        close = self.is_close(demand)
        streams = self.find_habits(demand.service).streams
        now = self._clock()
        kept: set[str] = set()
        own_kept: set[str] = set()
        for name, pool in find_pools(candidates).items():
            at_home = any(candidate.at_home for candidate in pool)
            running = sum(candidate.close for candidate in pool) + (close and at_home)
            peak = streams.note_running(name, running, now)
            if peak:
                most = streams.find_most(pool[0].backend.slots, pool[0].tokens_per_s)
                chosen = choose_kept(demand.service, pool, peak, most)
                kept |= chosen
                own_kept |= chosen if at_home else set()
        self._kept[demand.service] = kept
        return narrow(candidates, kept, own_kept, close)

    def is_close(self, demand: Demand) -> bool:
        """Return whether a call's answer is a stream with a close bound on pauses.

        :param demand: what the call asks
        """
        engine = self.find_engine(demand.service)
        if engine is None or not demand.gap_s:
            return False
        least_s = self._catalog.contracts.find_tightest_gap_s(demand.service)
        expected = expect_late_share(least_s, engine.event_tokens, FIRST_TOKEN_READING_S)
        streams = self.find_habits(demand.service).streams
        late_share = streams.find_late_share(self._clock(), expected)
        return is_close(demand.gap_s, least_s, late_share)

    # What attempts tell.

    def take_report(self, report: Report) -> None:
        """Take in what an attempt tells of a backend server.

        :param report: the report, own or a peer's
        """
        speed = self.find_habits(report.service).speed
        if report.finding == Finding.BEGAN:
            self._paces.note(report.key, report.took_s, report.expected_s)
            speed.note_first_event(report.tokens, report.took_s)
        elif report.finding == Finding.PAUSED:
            self._note_pause(report)
        elif report.finding == Finding.FULL:
            self._full_until_s[report.key] = self._clock() + FULL_S
        else:
            self._note_health(report)
        self.note_change()

    def _note_pause(self, report: Report) -> None:
        engine = self.find_engine(report.service)
        if engine is None:
            return
        habits = self.find_habits(report.service)
        habits.speed.record_longest_gap(report.took_s, engine.event_tokens)
        # Streams on kept runners don't tell what long prompts beside them would do.
        least_s = self._catalog.contracts.find_tightest_gap_s(report.service)
        beside = report.backend not in self._kept.get(report.service, ())
        if beside and is_least(report.expected_s, least_s):
            habits.streams.note_pause(report.took_s > report.expected_s, self._clock())

    def _note_health(self, report: Report) -> None:
        now = self._clock()
        health = self._health.setdefault(report.key, RunnerHealth())
        if report.finding == Finding.ANSWERED:
            health.observe_success(-1.0, 0, report.took_s, now)
        elif health.observe_failure(report.request, now) or report.finding == Finding.UNREACHABLE:
            self._eject(report, health)

    def _eject(self, report: Report, health: RunnerHealth) -> None:
        """Take a backend server out for a time, unless too many of its service are out."""
        now = self._clock()
        likes = self._catalog.list_open(report.service)
        out = sum(
            now < self._health[like.key].ejected_until for like in likes if like.key in self._health
        )
        allowed = out < count_ejectable(len(likes))
        if allowed:
            health.eject(now)
        log.info(
            "backend_ejected" if allowed else "backend_kept",
            backend=report.backend,
            code=report.code,
            why=report.why,
            out=out,
            of=len(likes),
        )

    def forget_removed(self) -> None:
        """Forget backend servers and routes that are no longer there."""
        keys = {backend.key for backend in self._catalog.backends.values()}
        for held in (self._health, self._caches, self._full_until_s):
            for key in [key for key in held if key not in keys]:
                del held[key]
        self._backlogs.forget(self._catalog.backends)
        contracts = self._catalog.contracts
        routes = {route.name for route in contracts.routes} if contracts is not None else set()
        for name in [name for name in self._sizes if name not in routes]:
            del self._sizes[name]
