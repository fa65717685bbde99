"""Queueing of calls, and their placement on backend servers."""

import random
import sys
import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from balsamtally.assessment import (
    PlacementTarget,
    make_capacity,
    make_placement_target,
    make_waiter,
)
from balsamtally.backlogs import URGENCIES, Backlogs, Load, LoadCounter, Size, Work
from balsamtally.balancing import choose_evenly
from balsamtally.beats import Beat, PromptRead
from balsamtally.call_log import log_placement
from balsamtally.calls import Backend, PromptPart
from balsamtally.catalog import Catalog
from balsamtally.customer_shares import CustomerShares
from balsamtally.demands import Demand, make_demand
from balsamtally.errors import BalsamtallyError, TargetHopeless
from balsamtally.forwarding import Choice
from balsamtally.logs import log
from balsamtally.permits import MIN_RATE_PER_S, Permits
from balsamtally.placed_tiers import PlacedTiers
from balsamtally.plans import CallProgress, Plan
from balsamtally.refusals import Refusals
from balsamtally.reports import Finding, Report, report_outcome, report_pause, report_silence
from balsamtally.runners import Runners
from balsamtally.selection import Candidate, choose, predict_first_event_s
from balsamtally.server_limits import ServerLimits
from balsamtally.waiting import (
    TOKEN_S,
    Waiter,
    cannot_meet_deadline,
    has_capacity,
    will_miss_target,
)
from balsamtally.waiting_calls import (
    Reservation,
    Waiting,
    WorkAhead,
    add_waiting_load,
    count_before,
    spread_loads,
)

# Longest time after which a waiting call is re-evaluated, to find calls that cannot meet their
# deadline.
RECHECK_INTERVAL_S = 0.1
# Changes and heartbeats within this time share one scheduling pass, because a pass computes the
# cost of all runners for each call.
SCHEDULING_DELAY_S = 0.01
# A backlog that takes at least this time to read counts as sustained load, not as a chance event.
SUSTAINED_BACKLOG_S = 0.1
# The regions and the software version that a call is limited to.
Eligibility = tuple[frozenset[str] | None, str | None]
NO_LIMITS: Eligibility = (None, None)
# Above any tier, where calls of all tiers may still find capacity.
NO_TIER_FULL = sys.maxsize


def ignore(*_) -> None:
    """Do nothing; the default of optional callbacks."""


class Dispatch:
    """Queues calls, chooses a backend server for each and counts the work placed on it.

    :param catalog: the backend servers
    :param backlogs: work at the backend servers
    :param find_region: returns the region of a failure domain
    :param region: the local region
    :param announce_read: announces to the peers that a backend server was sent a prompt to read
    :param clock: monotonic clock in seconds
    :param observe_lag: records by how many seconds an answer began later than expected, by route
    :param forward_report: sends a finding of this entry VM to the entry VM that places its calls
    :param on_work_change: called with the name of a service when this entry VM's work at it changes
    :param permits: permits for backend servers that limit the rate of requests
    :param coordinates: returns whether this entry VM places the local region's calls of a service
    :param draw: returns a random number from 0 up to, not including, 1
    """

    def __init__(
        self,
        catalog: Catalog,
        backlogs: Backlogs,
        find_region: Callable[[str], str],
        region: str,
        announce_read: Callable[[PromptRead], None],
        clock: Callable[[], float] = time.monotonic,
        observe_lag: Callable[[str, float], None] = ignore,
        forward_report: Callable[[Report], None] = ignore,
        on_work_change: Callable[[str], None] = ignore,
        permits: Permits | None = None,
        coordinates: Callable[[str], bool] = lambda service: True,
        draw: Callable[[], float] = random.random,
    ):
        self._permits = permits or Permits(ServerLimits(catalog.is_known))
        self.runners = Runners(
            catalog, backlogs, find_region, region, self._permits, clock, coordinates
        )
        self._draw = draw
        self._shares = CustomerShares()
        self._refusals = Refusals(clock, self._shares.find_lead_of)
        self._catalog = catalog
        self._find_region = find_region
        self._region = region
        self._backlogs = backlogs
        self._announce_read = announce_read
        self._clock = clock
        self._observe_lag = observe_lag
        self._forward_report = forward_report
        self._on_work_change = on_work_change
        self._waiting: dict[str, dict[int, Waiting]] = {}
        self._waiting_loads: dict[str, dict[str, LoadCounter]] = {}
        self._placed_tiers = PlacedTiers(clock)
        self._pass_scheduled = False

    def choose(self, plan: Plan, progress: CallProgress) -> Choice | None:
        """Wait for a backend server and return it with the work that is counted there.

        :param plan: the call's plan
        :param progress: the call's progress
        :return: the choice, ``None`` if no backend server accepts new work
        :raises TargetHopeless: if the answer can't be complete by the call's deadline
        """
        demand = make_demand(plan, progress)
        reservation = self.reserve(demand)
        if reservation is None:
            return None
        target = reservation.place
        backend = self._catalog.backends[target.backend]
        log_placement(demand, target, backend.software, self._clock())
        return Choice(backend, reservation.work)

    def accept(self, demand: Demand, target: PlacementTarget, placed_by: str) -> Choice | None:
        """Count the work of a call that another entry VM placed.

        :param demand: requirements of the call
        :param target: the placement target
        :param placed_by: name of the entry VM that placed the call
        :return: the choice, ``None`` if the backend server isn't known or accepts no new work
        """
        backend = self._find_open(target.key)
        if backend is None:
            return None
        if self._permits.is_limited(target.key) and not target.permitted:
            log.info("permit_missing", request=demand.request, backend=target.backend)
            return None
        region = self._find_region(backend.domain)
        if not demand.allows_region(region):
            log.info("region_not_allowed", request=demand.request, region=region, by=placed_by)
            return None
        if not demand.allows_software(backend.software):
            # The VM that placed the call may be of a release that doesn't know of versions.
            log.info(
                "software_not_allowed",
                request=demand.request,
                software=backend.software,
                wanted=demand.software,
                by=placed_by,
            )
            return None
        work = self._count(demand, target)
        self.runners.find_cache(demand.service, target.key).record_read(demand.parts)
        log_placement(demand, target, backend.software, self._clock(), placed_by)
        return Choice(backend, work)

    def reserve(self, demand: Demand, on_wait: Callable[[], None] = ignore) -> Reservation | None:
        """Wait until a call can be placed, and count its work at the backend server.

        :param demand: requirements of the call
        :param on_wait: called if the call can't be placed at once
        :return: the placement, ``None`` if no backend server accepts new work
        :raises TargetHopeless: if the answer can't be complete by the call's deadline
        """
        prefill_s = self.runners.record_demand(demand)
        if self.runners.find_engine(demand.service) is None and not self._waits(demand):
            chosen = self.choose_among(demand, self.runners.list_candidates(demand))
            return self._reserve(demand, chosen) if chosen is not None else None
        return self._wait(Waiting(demand, make_waiter(demand, prefill_s), Event()), on_wait)

    def _waits(self, demand: Demand) -> bool:
        """Return whether a call of a plain service waits for a limited backend server."""
        if self._waiting.get(demand.service):
            return True
        return bool(
            self._permits.has_limits
            and not self.runners.list_candidates(demand)
            and self.runners.list_limited(demand)
        )

    def _wait(self, waiting: Waiting, on_wait: Callable[[], None]) -> Reservation | None:
        queue = self._waiting.setdefault(waiting.demand.service, {})
        self._refusals.recognise_return(waiting)
        queue[id(waiting)] = waiting
        taken = False
        try:
            self.dispatch_waiting(waiting.demand.service)
            if waiting.reservation is None:
                on_wait()
            while waiting.reservation is None:
                candidates = self.runners.list_candidates(waiting.demand)
                limited = [] if candidates else self.runners.list_limited(waiting.demand)
                if not candidates and not limited:
                    return None
                if limited:
                    self._wait_for_permit(waiting, limited)
                else:
                    self._check_deadline(waiting, candidates)
                    if not waiting.chosen.wait(RECHECK_INTERVAL_S):
                        # The load of a lost peer expires without a message.
                        self._schedule_pass()
            taken = True
            return waiting.reservation
        finally:
            queue.pop(id(waiting), None)
            if waiting.reservation is not None and not taken:
                waiting.reservation.work.cancel()

    def _check_deadline(self, waiting: Waiting, candidates: list[Candidate]) -> None:
        """Check whether a call can be complete in time, given the calls placed before it.

        :raises TargetHopeless: if its answer can't be complete by its deadline
        """
        waiting.update_fresh_tokens(candidates)
        self._refusals.check(
            waiting,
            candidates,
            lambda best: self._predict_token_s(waiting.demand, best),
            lambda: bool(self._list_open_now(waiting, candidates)),
        )

    def _list_open_now(self, waiting: Waiting, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates that have capacity for a waiting call now."""
        demand = waiting.demand
        late = will_miss_target(waiting.waiter, self._clock())
        engine = self.runners.find_engine(demand.service)
        return [
            candidate
            for candidate in candidates
            if engine is None
            or has_capacity(
                make_capacity(candidate, engine), demand.tier, demand.memory_tokens, late
            )
        ]

    def _wait_for_permit(self, waiting: Waiting, limited: list[Candidate]) -> None:
        """Wait for a permit for one of some backend servers, the only ones that are left.

        :raises TargetHopeless: if the answer can't be complete by the call's deadline
        """
        backends = [candidate.backend for candidate in limited]
        before = self._count_before(waiting)
        rate_per_s = max(self._permits.find_rate(backends), MIN_RATE_PER_S)
        wait_s = self._permits.estimate_wait_s(backends, before)
        first_event_s = predict_first_event_s(min(limited, key=predict_first_event_s))
        now = self._clock()
        if cannot_meet_deadline(waiting.waiter, wait_s + first_event_s, TOKEN_S, now):
            raise TargetHopeless(
                f"all backend servers limit their requests, together to {rate_per_s:.2f} a second,"
                f" and {before} calls go first",
                retry_after_s=self._refusals.reserve_permit_turn(
                    waiting.demand,
                    self._permits.estimate_wait_s(backends, before + 1),
                    rate_per_s,
                ),
            )
        self._permits.request(backends, before + 1)
        if not waiting.chosen.wait(RECHECK_INTERVAL_S):
            self._schedule_pass()

    def _count_before(self, waiting: Waiting) -> int:
        """Return how many waiting calls of the same service are placed before a call."""
        return count_before(waiting, self._waiting[waiting.demand.service].values())

    def _predict_token_s(self, demand: Demand, candidate: Candidate) -> float:
        """Return the expected time per answer token at a runner under its present load, in seconds.

        Prompts that slow down the answer are left out of account if calls of a lower tier were
        placed recently: a call isn't refused because of less urgent calls.
        """
        reading = candidate.beside_tokens > candidate.tokens_per_s * SUSTAINED_BACKLOG_S
        if not reading or demand.tier < self._placed_tiers.find_lowest():
            return TOKEN_S
        return self.runners.find_statistics(demand.service).speed.token_reading_s

    def dispatch_waiting(self, service: str) -> None:
        """Run a scheduling pass: place the waiting calls of a service where capacity is available.

        :param service: name of the service
        """
        queue = self._waiting.get(service)
        if not queue:
            return
        # Callers choose the ids of their calls, so that two calls may have the same id.
        pending = {
            id(waiting.waiter): waiting for waiting in queue.values() if not waiting.reservation
        }
        full_tiers: dict[Eligibility, int] = {}
        unevaluated: list[Demand] = []
        work_ahead = WorkAhead()
        waiting_loads: dict[str, LoadCounter] = {}
        self._waiting_loads[service] = waiting_loads
        now = self._clock()
        waiters = [waiting.waiter for waiting in pending.values()]
        ranked = self._shares.sort(service, waiters, now)
        for waiter in ranked:
            waiting = pending[id(waiter)]
            limits = (waiting.demand.allowed_regions, waiting.demand.software)
            # Calls with other limits may still find capacity.
            if waiter.tier >= min(
                full_tiers.get(NO_LIMITS, NO_TIER_FULL), full_tiers.get(limits, NO_TIER_FULL)
            ):
                unevaluated.append(waiting.demand)
                work_ahead.add(waiting)
                continue
            chosen, any_capacity = self._find_capacity(waiting, waiting_loads)
            if chosen is not None:
                waiting.reservation = self._reserve(waiting.demand, chosen)
                waiting.chosen.set()
                continue
            work_ahead.add(waiting)
            if not any_capacity and not will_miss_target(waiter, now):
                full_tiers[limits] = waiter.tier
        self._spread_waiting_loads(service, unevaluated, waiting_loads)

    def _spread_waiting_loads(
        self, service: str, unevaluated: list[Demand], waiting_loads: dict[str, LoadCounter]
    ) -> None:
        """Spread the prompts of calls that weren't evaluated evenly over the local runners.

        A pass stops evaluating a tier and those below it once no runner has capacity for the tier.
        """
        local_names = self.runners.list_local(service) if unevaluated else []
        local = [demand for demand in unevaluated if demand.allows_region(self._region)]
        spread_loads(local, local_names, waiting_loads)

    def list_waiting_loads(self) -> dict[str, Load]:
        """Return the prompt tokens of waiting calls by name of the intended backend server."""
        # The last waiting call may have ended since the last pass.
        by_service = [
            self._waiting_loads[service] for service, queue in self._waiting.items() if queue
        ]
        return {name: load.freeze() for loads in by_service for name, load in loads.items()}

    def count_waiting(self) -> dict[str, int]:
        """Return how many calls wait for a backend server, by service."""
        return {service: len(queue) for service, queue in self._waiting.items()}

    def dispatch_all_waiting(self) -> None:
        """Run a scheduling pass for each service."""
        for service in list(self._waiting):
            self.dispatch_waiting(service)

    def _find_capacity(
        self, waiting: Waiting, waiting_loads: dict[str, LoadCounter]
    ) -> tuple[Candidate | None, bool]:
        """Return where a waiting call may go now, and whether any runner had capacity.

        A call keeps waiting for a runner without capacity if this runner is still the cheapest with
        all calls that wait for it.

        :param waiting_loads: prompts of the calls ranked before this one, by name of the backend
            server that they wait for; the prompt of this call is added
        """
        demand = waiting.demand
        candidates = [
            add_waiting_load(candidate, waiting_loads)
            for candidate in self.runners.list_candidates(demand)
        ]
        open_now = self._list_open_now(waiting, candidates)
        best = self.choose_among(demand, candidates)
        if best is None or best in open_now:
            return best, bool(open_now)
        load = waiting_loads.setdefault(best.backend.name, LoadCounter())
        load.reading[min(demand.urgency, URGENCIES - 1)] += best.fresh_tokens
        return None, bool(open_now)

    def preview(self, demand: Demand) -> list[Candidate]:
        """Return the candidates for a call with the prompts that wait for them; changes nothing.

        :param demand: requirements of the call
        """
        waits = self._waiting.get(demand.service)
        loads = self._waiting_loads.get(demand.service, {}) if waits else {}
        return [add_waiting_load(each, loads) for each in self.runners.preview(demand)]

    def make_waiter(self, demand: Demand) -> Waiter:
        """Return the queue entry that a call would have; changes nothing.

        :param demand: requirements of the call
        """
        return make_waiter(demand, self.runners.estimate_prefill_s(demand))

    def choose_among(self, demand: Demand, candidates: list[Candidate]) -> Candidate | None:
        """Return the best of some candidates for a call, ``None`` if there are none.

        :param demand: requirements of the call
        :param candidates: the candidates
        """
        left_s = demand.arrived_s + demand.target_s - self._clock()
        service = demand.service
        if self.runners.spreads_evenly(service):
            times = self.runners.find_call_times(service)
            return choose_evenly(candidates, left_s, demand.size_bytes, times, self._draw())
        return choose(candidates, left_s, demand.size_bytes, demand.session)

    def is_open(self, backend: Backend) -> bool:
        """Return whether a backend server still accepts new work.

        :param backend: the incarnation of the backend server
        """
        return self._find_open(backend.key) is not None

    def _find_open(self, key: tuple[str, int]) -> Backend | None:
        """Return the backend server of an incarnation key, ``None`` if it accepts no new work."""
        current = self._catalog.backends.get(key[0])
        if current is None or current.key != key or not self._catalog.is_open(current):
            return None
        return current

    def _reserve(self, demand: Demand, chosen: Candidate) -> Reservation:
        """Count a call at its backend server and announce the prompt that is read for it."""
        target = make_placement_target(
            chosen,
            self.runners.has_tight_bound(demand),
            self._backlogs.count_reporting_peers(),
            self._permits.take(chosen.backend),
        )
        self._placed_tiers.record(demand.tier)
        self._charge_customer(demand, chosen.fresh_tokens)
        work = self._count(demand, target)
        self.runners.find_cache(demand.service, target.key).record_read(demand.parts)
        shared = tuple((part.name, part.tokens) for part in demand.parts[:-1])
        self._announce_read(PromptRead(target.backend, shared))
        return Reservation(target, work)

    def _charge_customer(self, demand: Demand, fresh_tokens: int) -> None:
        """Count a call's work as given to its customer; further attempts are no new claim."""
        if demand.attempt == 1:
            tokens = fresh_tokens + demand.answer_tokens
            self._shares.record_placement(
                demand.service, demand.urgency, demand.customer, tokens, self._clock()
            )

    def _count(self, demand: Demand, target: PlacementTarget) -> Work:
        begun_s = self._clock()

        def record_answer_start() -> None:
            took_s = self._clock() - begun_s
            self._observe_lag(demand.route, took_s - target.first_event_s)
            report = Report(
                Finding.BEGAN,
                demand.service,
                target.backend,
                target.born,
                took_s,
                target.normal_speed_s,
                target.measured_tokens,
            )
            self._handle_own_report(report)

        size = Size(target.fresh_tokens, demand.memory_tokens, demand.urgency, target.close)
        work = self._backlogs.begin(
            target.backend,
            size,
            record_answer_start,
            lambda: self._handle_work_change(demand.service),
        )
        self.runners.record_change()
        self._on_work_change(demand.service)
        return work

    def _handle_work_change(self, service: str) -> None:
        """Schedule a pass when an answer has begun or work has ended."""
        self.runners.record_change()
        self._on_work_change(service)
        self._schedule_pass()

    def record_beat(self, beat: Beat) -> None:
        """Record a peer's heartbeat: prompts sent to runners, findings and changes of its work.

        :param beat: the peer's heartbeat
        """
        for read in beat.reads:
            backend = self._catalog.backends.get(read.backend)
            if backend is not None:
                parts = tuple(PromptPart(name, tokens) for name, tokens in read.parts)
                self.runners.find_cache(backend.service, backend.key).record_read(parts)
        for report in beat.reports:
            self.runners.handle_report(report)
        self._schedule_pass()

    def dispatch_soon(self) -> None:
        """Schedule a pass after the backend servers that take new work have changed."""
        self.runners.record_change()
        self._schedule_pass()

    def _schedule_pass(self) -> None:
        """Schedule one pass for all changes within ``SCHEDULING_DELAY_S``."""
        if not self._pass_scheduled and any(self._waiting.values()):
            self._pass_scheduled = True
            gevent.spawn_later(SCHEDULING_DELAY_S, self._run_scheduled_pass)

    def _run_scheduled_pass(self) -> None:
        self._pass_scheduled = False
        # The present snapshots lack the work that peers have announced since.
        self.runners.record_change()
        self.dispatch_all_waiting()

    def _handle_own_report(self, report: Report) -> None:
        self.runners.handle_report(report)
        self._forward_report(report)

    def record_longest_gap(self, backend: Backend, plan: Plan, gap_s: float) -> None:
        """Record the longest inter-event time of a stream.

        :param backend: the backend server that sent the stream
        :param plan: the call's plan
        :param gap_s: the longest time between two events, in seconds
        """
        self._handle_own_report(report_pause(backend, plan, gap_s))

    def record_silence(self, key: tuple[str, int], silent_s: float) -> None:
        """Record that a backend server has stopped sending; it gets no new calls for a time.

        :param key: identity of its incarnation
        :param silent_s: time since it last sent anything, in seconds
        """
        backend = self._find_open(key)
        if backend is not None:
            self._handle_own_report(report_silence(backend, silent_s))

    def record_outcome(
        self, backend: Backend, plan: Plan, failure: BalsamtallyError | None, took_s: float
    ) -> None:
        """Record the outcome of an attempt.

        :param backend: the backend server
        :param plan: the call's plan
        :param failure: the failure, ``None`` if the attempt succeeded
        :param took_s: duration of the attempt in seconds
        """
        report = report_outcome(backend, plan, failure, took_s)
        if report is not None:
            self._handle_own_report(report)

    def forget_removed(self) -> None:
        """Drop the state of removed backend servers and routes."""
        self.runners.forget_removed()
