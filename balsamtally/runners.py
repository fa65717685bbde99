"""This entry VM's view of the backend servers: load, speed, health and cached prompt parts."""

import copy
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

from balsamtally.backlogs import Backlogs, Load
from balsamtally.balancing import (
    INITIAL_CALL_S,
    CallTimes,
    find_full_s,
    make_call_times,
    measure_imbalance,
    update_call_s,
)
from balsamtally.calls import Backend, Engine
from balsamtally.catalog import Catalog
from balsamtally.dedicated_runners import (
    StreamStatistics,
    choose_dedicated,
    count_needed_by_others,
    estimate_miss_share,
    expects_misses,
    filter_candidates,
    find_pools,
    has_tight_bound,
    is_near_tightest,
    is_queue_long,
)
from balsamtally.demands import Demand
from balsamtally.health import RunnerHealth, count_ejectable
from balsamtally.logs import log
from balsamtally.paces import Paces
from balsamtally.permits import Permits
from balsamtally.prefixes import PrefixCache
from balsamtally.reports import Finding, Report
from balsamtally.selection import Candidate
from balsamtally.speeds import INITIAL_TOKEN_READING_S, EngineSpeed

# Time for which a backend server is avoided after it refused a call because it was full.
FULL_S = 0.3
# A snapshot of the runners is reused for this time unless a local change comes first; the loads
# that peers announce are older than that. Each waiting call compares all runners several times a
# second.
SNAPSHOT_TTL_S = 0.02
# Weight of one call in the moving average of its route's prompt size.
SMOOTHING = 0.05


@dataclass(frozen=True)
class Runner:
    """The state of a backend server at the time of a snapshot.

    :ivar backend: the backend server
    :ivar region: region of the backend server
    :ivar at_home: whether the backend server is in the local region
    :ivar usable: whether it is neither full nor ejected
    :ivar load: its work
    :ivar slow_factor: observed slowdown relative to the expected speed, 1 or more
    :ivar cache: estimate of the prompt parts that it holds
    :ivar cold: whether it is cold
    :ivar told: calls on it that are known from announcements only, 0 for a model runner
    :ivar far: calls on it that come from another region, 0 for a model runner
    """

    backend: Backend
    region: str
    at_home: bool
    usable: bool
    load: Load
    slow_factor: float
    cache: PrefixCache
    cold: bool = False
    told: int = 0
    far: int = 0


@dataclass(frozen=True)
class Snapshot:
    """The backend servers of a service at one time.

    :ivar runners: the backend servers that accept new work
    :ivar at_s: monotonic clock at the time of the snapshot, in seconds
    :ivar changes: number of local changes that the snapshot includes
    """

    runners: list[Runner]
    at_s: float
    changes: int


@dataclass
class ServiceStatistics:
    """Statistics of a service, learnt from its calls.

    :ivar speed: estimated speed of its engines
    :ivar streams: statistics of its streams with a tight inter-event latency bound
    :ivar call_s: moving average of the time per call, in seconds
    """

    speed: EngineSpeed = field(default_factory=EngineSpeed)
    streams: StreamStatistics = field(default_factory=StreamStatistics)
    call_s: float = INITIAL_CALL_S


class Runners:
    """This entry VM's view of the backend servers of all services.

    :param catalog: the published backend servers and contracts
    :param backlogs: work at the backend servers
    :param find_region: returns the region of a failure domain
    :param region: the local region
    :param permits: permits for backend servers that limit the rate of requests
    :param clock: monotonic clock in seconds
    :param coordinates: returns whether this entry VM places the local region's calls of a service
    """

    def __init__(
        self,
        catalog: Catalog,
        backlogs: Backlogs,
        find_region: Callable[[str], str],
        region: str,
        permits: Permits,
        clock: Callable[[], float] = time.monotonic,
        coordinates: Callable[[str], bool] = lambda service: True,
    ):
        self._catalog = catalog
        self._backlogs = backlogs
        self._find_region = find_region
        self._region = region
        self._permits = permits
        self._clock = clock
        self._paces = Paces(clock, lambda key, within_s: self._permits.was_cold(key, within_s))
        self._coordinates = coordinates
        self._health: dict[tuple[str, int], RunnerHealth] = {}
        self._caches: dict[tuple[str, int], PrefixCache] = {}
        self._full_until_s: dict[tuple[str, int], float] = {}
        self._sizes: dict[str, float] = {}
        self._statistics: dict[str, ServiceStatistics] = {}
        self._dedicated: dict[str, set[str]] = {}
        self._needed_by_others: dict[tuple[str, str], tuple[Snapshot | None, float]] = {}
        self._snapshots: dict[str, Snapshot] = {}
        self._changes = 0

    def record_change(self) -> None:
        """Invalidate the snapshots, as the work of backend servers has changed."""
        self._changes += 1

    def find_engine(self, service: str) -> Engine | None:
        """Return the published properties of a service's engines, ``None`` for a plain service.

        :param service: name of the service
        """
        contracts = self._catalog.contracts
        found = contracts.services.get(service) if contracts is not None else None
        return found.engine if found is not None else None

    def find_statistics(self, service: str) -> ServiceStatistics:
        """Return the statistics of a service.

        :param service: name of the service
        """
        statistics = self._statistics.get(service)
        if statistics is None:
            statistics = self._statistics[service] = ServiceStatistics()
        return statistics

    def spreads_evenly(self, service: str) -> bool:
        """Return whether calls of a service are spread over its servers by their free slots.

        Model runners are chosen by their caches, and a VM that hears of no other chooses by cost.

        :param service: name of the service
        """
        return self.find_engine(service) is None and self._backlogs.count_reporting_peers() > 0

    def find_call_times(self, service: str) -> CallTimes:
        """Return what the estimates of a plain service's load depend on.

        :param service: name of the service
        """
        return make_call_times(self.find_statistics(service).call_s, self._coordinates(service))

    def find_cache(self, service: str, key: tuple[str, int]) -> PrefixCache:
        """Return the estimate of the prompt parts that a runner holds in its cache.

        :param service: name of the runner's service
        :param key: identity of the runner's incarnation
        """
        cache = self._caches.get(key)
        if cache is None:
            engine = self.find_engine(service)
            cache = PrefixCache(engine.memory_tokens if engine is not None else 0)
            self._caches[key] = cache
        return cache

    def record_demand(self, demand: Demand) -> float:
        """Record a call; return the average prefill time of its route's prompts, in seconds.

        :param demand: requirements of the call
        """
        if self.has_tight_bound(demand):
            streams = self.find_statistics(demand.service).streams
            streams.record_call(demand.prompt_tokens, demand.answer_tokens)
        mean = self._sizes.get(demand.route, float(demand.prompt_tokens))
        mean += SMOOTHING * (demand.prompt_tokens - mean)
        self._sizes[demand.route] = mean
        return self.estimate_prefill_s(demand)

    def list_candidates(self, demand: Demand) -> list[Candidate]:
        """Return the backend servers that a call may be sent to now.

        :param demand: requirements of the call
        """
        runners = self._list_runners(demand.service)
        if self._permits.has_limits:
            runners = [runner for runner in runners if self._permits.is_sendable(runner.backend)]
        usable = [runner for runner in runners if runner.usable] or runners
        candidates = self._make_candidates(demand, usable)
        suitable = self._filter_suitable(demand, candidates)
        if is_unlimited(demand):
            return suitable
        # The choice of dedicated runners doesn't depend on the runners that one call avoids, or
        # that its regional limit or software version excludes.
        for choices in (suitable, candidates):
            left = [candidate for candidate in choices if is_eligible(demand, candidate)]
            if left:
                return left
        every = self._make_candidates(demand, runners)
        return [candidate for candidate in every if is_eligible(demand, candidate)]

    def preview(self, demand: Demand) -> list[Candidate]:
        """Return what :meth:`list_candidates` would, without a change of the streams' statistics.

        :param demand: requirements of the call
        """
        statistics = self.find_statistics(demand.service)
        dedicated = self._dedicated.get(demand.service, set())
        self._statistics[demand.service] = copy.deepcopy(statistics)
        try:
            return self.list_candidates(demand)
        finally:
            self._statistics[demand.service] = statistics
            self._dedicated[demand.service] = dedicated

    def estimate_prefill_s(self, demand: Demand) -> float:
        """Return the average prefill time of a route's prompts, in seconds.

        :param demand: requirements of a call of the route
        """
        mean = self._sizes.get(demand.route, float(demand.prompt_tokens))
        return mean / self.find_statistics(demand.service).speed.tokens_per_s

    def is_limited(self, backend: Backend) -> bool:
        """Return whether a backend server limits the rate of requests.

        :param backend: the backend server
        """
        return self._permits.is_limited(backend.key)

    def explain_absence(self, demand: Demand, backend: Backend) -> str:
        """Return why a backend server is no candidate for a call.

        :param demand: requirements of the call
        :param backend: the backend server
        """
        found = [each for each in self._list_runners(demand.service) if each.backend is backend]
        if backend.leaving:
            return "draining"
        if not found:
            return "not open, as its failure domain is evacuated"
        if not demand.allows_region(found[0].region):
            return "outside the allowed regions"
        if not demand.allows_software(backend.software):
            return "of another software version than the one that began the stream"
        if not self._permits.is_sendable(backend):
            return "limits its requests, and there is no permit now"
        if self._full_until_s.get(backend.key, 0.0) > self._clock():
            return "refused a call as full a moment ago"
        if not found[0].usable:
            return "ejected, or takes few calls after an ejection"
        return "kept for calls with another bound on the time between events"

    def list_limited(self, demand: Demand) -> list[Candidate]:
        """Return the backend servers that a call may be sent to as soon as it has a permit.

        :param demand: requirements of the call
        """
        limited = [
            runner
            for runner in self._list_runners(demand.service)
            if self._permits.is_limited(runner.backend.key) and is_eligible(demand, runner)
        ]
        return self._make_candidates(demand, limited)

    def _filter_suitable(self, demand: Demand, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates that suit a call; limited ones aren't dedicated to any calls.

        Streams with a tight inter-event latency bound go to warm servers as long as there are any.
        """
        if not self._permits.has_limits:
            return self._apply_dedication(demand, candidates)
        if self.has_tight_bound(demand):
            candidates = [each for each in candidates if not each.cold] or candidates
        limited, others = [], []
        for candidate in candidates:
            is_limited = self._permits.is_limited(candidate.backend.key)
            (limited if is_limited else others).append(candidate)
        return limited + (self._apply_dedication(demand, others) if others else [])

    def list_local(self, service: str) -> list[str]:
        """Return the names of a service's backend servers in the local region that take new work.

        :param service: name of the service
        """
        return [runner.backend.name for runner in self._list_runners(service) if runner.at_home]

    def measure_imbalances(self) -> dict[str, float]:
        """Return the calls of the busiest server over the mean, by plain service."""
        contracts = self._catalog.contracts
        if contracts is None:
            return {}
        plain = [name for name in contracts.services if self.find_engine(name) is None]
        running = {
            name: [runner.load.running for runner in self._list_runners(name)] for name in plain
        }
        return {name: measure_imbalance(counts) for name, counts in running.items()}

    def _make_candidates(self, demand: Demand, runners: list[Runner]) -> list[Candidate]:
        held = [runner.cache.count_cached_tokens(demand.parts) for runner in runners]
        most_held = max(held, default=0)
        return [
            self._make_candidate(demand, runner, tokens, most_held)
            for runner, tokens in zip(runners, held, strict=True)
        ]

    def _list_runners(self, service: str) -> list[Runner]:
        """Return the backend servers of a service that accept new work, from a recent snapshot."""
        now = self._clock()
        held = self._snapshots.get(service)
        if held and now - held.at_s < SNAPSHOT_TTL_S and held.changes == self._changes:
            return held.runners
        servers = self._catalog.list_open(service)
        if self.spreads_evenly(service):
            # The coordinator itself placed the calls that its region's peers announce.
            is_local_told = not self._coordinates(service)
            runners = [self._observe_server(service, each, is_local_told) for each in servers]
        else:
            runners = [self._observe_runner(service, each) for each in servers]
        self._snapshots[service] = Snapshot(runners, now, self._changes)
        return runners

    def _observe_server(self, service: str, backend: Backend, is_local_told: bool) -> Runner:
        """Return the state of a plain service's server, with the origin of its calls."""
        runner = self._observe_runner(service, backend)
        sources = self._backlogs.count_sources(backend.name)
        return replace(
            runner,
            told=sources.remote + (sources.local if is_local_told else 0),
            far=sources.remote if runner.at_home else sources.own + sources.local,
        )

    def _observe_runner(self, service: str, backend: Backend) -> Runner:
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
            cold=self._permits.has_limits and self._permits.is_cold(backend.key),
        )

    def _is_usable(self, backend: Backend, running: int) -> bool:
        now = self._clock()
        if self._full_until_s.get(backend.key, 0.0) > now:
            return False
        slots = max(backend.slots, 1)
        limit = self._catalog.evacuations.limit_slots(backend.domain, slots)
        if limit is not None and running >= limit:
            return False
        health = self._health.get(backend.key)
        if health is None or health.is_fully_available(now):
            return True
        return running < health.limit_slots(slots, now)

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
            tokens_per_s=self.find_statistics(demand.service).speed.tokens_per_s,
            slow_factor=runner.slow_factor,
            close=load.close,
            region=runner.region,
            cold=runner.cold,
            told=runner.told,
            far=runner.far,
        )

    def _apply_dedication(self, demand: Demand, candidates: list[Candidate]) -> list[Candidate]:
        """Separate streams with a tight inter-event latency bound from long prompts."""
        close = self.has_tight_bound(demand)
        streams = self.find_statistics(demand.service).streams
        now = self._clock()
        dedicated: set[str] = set()
        local_dedicated: set[str] = set()
        for name, pool in find_pools(candidates).items():
            at_home = any(candidate.at_home for candidate in pool)
            running = sum(candidate.close for candidate in pool) + (close and at_home)
            peak = streams.record_running(name, running, now)
            if peak:
                max_streams = streams.find_max_streams(pool[0].backend.slots, pool[0].tokens_per_s)
                chosen = choose_dedicated(
                    demand.service,
                    pool,
                    peak,
                    max_streams,
                    partial(self._count_needed_by_others, (demand.service, name)),
                )
                dedicated |= chosen
                local_dedicated |= chosen if at_home else set()
        self._record_dedicated(demand.service, dedicated, now)
        if not demand.allows_region(self._region):
            local_dedicated = dedicated
            candidates = [each for each in candidates if demand.allows_region(each.region)]
        return filter_candidates(candidates, dedicated, local_dedicated, close)

    def _count_needed_by_others(self, key: tuple[str, str], pool: Sequence[Candidate]) -> float:
        """Return how many runners of a pool the other calls need, from the present snapshot.

        The sum over the pool is the same for all calls of a scheduling pass.
        """
        snapshot = self._snapshots.get(key[0])
        held = self._needed_by_others.get(key)
        if held is None or held[0] is not snapshot:
            held = self._needed_by_others[key] = (snapshot, count_needed_by_others(pool))
        return held[1]

    def _record_dedicated(self, service: str, dedicated: set[str], now_s: float) -> None:
        """Record which runners of a service are dedicated, and log the first and the last one."""
        before = self._dedicated.get(service, set())
        self._dedicated[service] = dedicated
        if bool(before) != bool(dedicated):
            streams = self.find_statistics(service).streams
            log.info(
                "runners_dedicated",
                service=service,
                runners=sorted(dedicated),
                observed=streams.is_observed(now_s),
                beside_token_ms=round(1000 * self.find_statistics(service).speed.beside_token_s, 1),
            )

    def count_dedicated(self) -> dict[str, int]:
        """Return how many runners are dedicated to streams, by service."""
        return {service: len(names) for service, names in self._dedicated.items()}

    def has_tight_bound(self, demand: Demand) -> bool:
        """Return whether a call's answer is a stream with a tight inter-event latency bound.

        :param demand: requirements of the call
        """
        engine = self.find_engine(demand.service)
        if engine is None or not demand.gap_s:
            return False
        tightest_s = self._catalog.contracts.find_tightest_gap_s(demand.service)
        expected = estimate_miss_share(tightest_s, engine.event_tokens, INITIAL_TOKEN_READING_S)
        streams = self.find_statistics(demand.service).streams
        miss_share = streams.find_miss_share(self._clock(), expected)
        if has_tight_bound(demand.gap_s, tightest_s, miss_share):
            return True
        if not is_near_tightest(demand.gap_s, tightest_s) or streams.is_observed(self._clock()):
            return False
        return self._expects_misses(demand.service, engine, tightest_s)

    def _expects_misses(self, service: str, engine: Engine, tightest_s: float) -> bool:
        """Return whether queued prompts are expected to make streams miss their bound."""
        statistics = self.find_statistics(service)
        if not expects_misses(tightest_s, engine.event_tokens, statistics.speed):
            return False
        longest = max((each.load.reading_tokens for each in self._list_runners(service)), default=0)
        is_long = is_queue_long(longest, engine.event_tokens, statistics.speed)
        return statistics.streams.record_queue(is_long, self._clock())

    def handle_report(self, report: Report) -> None:
        """Update the view of a backend server from the report of an attempt.

        :param report: the report of this entry VM or of a peer
        """
        speed = self.find_statistics(report.service).speed
        if report.finding == Finding.BEGAN:
            if self._paces.record(report.key, report.took_s, report.expected_s):
                speed.record_first_event(report.tokens, report.took_s)
        elif report.finding == Finding.PAUSED:
            self._record_longest_gap(report)
        elif report.finding == Finding.FULL:
            self._full_until_s[report.key] = self._clock() + self._find_full_s(report)
            self._permits.record_refusal(report.key)
        else:
            self._record_health(report)
        backend = self._catalog.backends.get(report.backend)
        if report.finding == Finding.ANSWERED and backend is not None:
            far = self._find_region(backend.domain) != self._region
            statistics = self.find_statistics(report.service)
            statistics.call_s = update_call_s(statistics.call_s, report.took_s, far)
        self.record_change()

    def _find_full_s(self, report: Report) -> float:
        """Return for how long a backend server that refused a call is avoided, in seconds."""
        backend = self._catalog.backends.get(report.backend)
        if backend is None or not self.spreads_evenly(report.service):
            return FULL_S
        call_s = self.find_statistics(report.service).call_s
        return min(FULL_S, find_full_s(call_s, backend.slots))

    def _record_longest_gap(self, report: Report) -> None:
        engine = self.find_engine(report.service)
        if engine is None or self._permits.was_cold(report.key, report.took_s):
            return
        statistics = self.find_statistics(report.service)
        statistics.speed.record_longest_gap(report.took_s, engine.event_tokens)
        reading_tokens = self._backlogs.find(report.backend).reading_tokens
        if is_queue_long(reading_tokens, engine.event_tokens, statistics.speed):
            statistics.speed.record_gap_beside(report.took_s, engine.event_tokens)
        # Streams on dedicated runners don't show the effect of concurrent long prompts.
        tightest_s = self._catalog.contracts.find_tightest_gap_s(report.service)
        concurrent_prompts = report.backend not in self._dedicated.get(report.service, ())
        if concurrent_prompts and is_near_tightest(report.expected_s, tightest_s):
            statistics.streams.record_stream(report.took_s > report.expected_s, self._clock())

    def _record_health(self, report: Report) -> None:
        now = self._clock()
        health = self._health.setdefault(report.key, RunnerHealth())
        if report.finding == Finding.ANSWERED:
            health.observe_success(-1.0, 0, report.took_s, now)
        elif health.observe_failure(report.request, now) or (
            # Calls that fail for the same cause prolong no ejection.
            report.finding == Finding.UNREACHABLE
            and now >= health.ejected_until
        ):
            self._eject(report, health)

    def _eject(self, report: Report, health: RunnerHealth) -> None:
        """Eject a backend server for a time, unless too many of its service are ejected."""
        now = self._clock()
        servers = self._catalog.list_open(report.service)
        out = sum(
            now < self._health[server.key].ejected_until
            for server in servers
            if server.key in self._health
        )
        allowed = out < count_ejectable(len(servers))
        if allowed:
            health.eject(now)
        log.info(
            "backend_ejected" if allowed else "backend_kept",
            backend=report.backend,
            code=report.code,
            why=report.why,
            out=out,
            of=len(servers),
        )

    def forget_removed(self) -> None:
        """Drop the state of removed backend servers and routes."""
        keys = {backend.key for backend in self._catalog.backends.values()}
        for held in (self._health, self._caches, self._full_until_s):
            for key in [key for key in held if key not in keys]:
                del held[key]
        self._backlogs.forget(self._catalog.backends)
        contracts = self._catalog.contracts
        routes = {route.name for route in contracts.routes} if contracts is not None else set()
        for name in [name for name in self._sizes if name not in routes]:
            del self._sizes[name]


def is_eligible(demand: Demand, server: Runner | Candidate) -> bool:
    """Return whether a call may be sent to a backend server, apart from the server's capacity.

    :param demand: requirements of the call
    :param server: the backend server
    """
    if server.backend.name in demand.avoid or not demand.allows_region(server.region):
        return False
    return demand.allows_software(server.backend.software)


def is_unlimited(demand: Demand) -> bool:
    """Return whether a call may be sent to every backend server of its service.

    :param demand: requirements of the call
    """
    return not demand.avoid and demand.allowed_regions is None and demand.software is None
