"""Which backend server gets a call and when: calls wait here, and go in their order."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import msgspec
from gevent.event import Event

from balsamtally.assessment import PlacementTarget, make_placement_target, make_room, make_waiter
from balsamtally.backlogs import URGENCIES, Backlogs, Load, Size, Tally, Work
from balsamtally.beats import Beat, PromptRead
from balsamtally.calls import Backend, PromptPart
from balsamtally.catalog import Catalog
from balsamtally.demands import Demand, make_demand
from balsamtally.errors import BalsamtallyError, TargetHopeless
from balsamtally.forwarding import Choice
from balsamtally.logs import log
from balsamtally.plans import CallProgress, Plan
from balsamtally.reports import Finding, Report, report_outcome
from balsamtally.runners import Runners
from balsamtally.selection import Candidate, choose, predict_first_event_s
from balsamtally.waiting import TOKEN_S, Waiter, has_room, is_hopeless, is_late, order

# Waiting calls are looked at again after this time at the latest, to find those without hope.
LOOK_S = 0.1
# Changes and beats of this time are looked at together: a look weighs all runners for each call.
PUMP_S = 0.01
# A backlog of this time and more is there all the time, not by chance.
READING_S = 0.1
# No call is given up for the sake of less urgent ones that were sent in this time; the span over
# which the users compare how kinds of calls were served.
TIER_WINDOW_S = 5.0
# Refused calls come back over this time, so that they don't come together.
SPREAD_S = 0.5


@dataclass(frozen=True)
class Reservation:
    """A place that a call was given, with its work counted there.

    :ivar place: the place
    :ivar work: the work
    """

    place: PlacementTarget
    work: Work


@dataclass
class Waiting:
    """A call that waits for a backend server.

    :ivar demand: what it asks
    :ivar waiter: how it ranks
    :ivar chosen: set as a backend server was chosen
    :ivar reservation: the place that it was given
    """

    demand: Demand
    waiter: Waiter
    chosen: Event
    reservation: Reservation | None = None


def ignore(*_) -> None:
    """Do nothing, where nobody is to be told."""


class Dispatch:
    """Chooses backend servers and counts the work given to them.

    :param catalog: the backend servers
    :param backlogs: their work
    :param find_region: returns the region of a failure domain
    :param region: own region
    :param tell_read: tells the peers of a prompt that a backend server was given to read
    :param clock: steady clock
    :param observe_lag: takes in by how much an answer began later than expected, by its route
    :param forward_report: tells the entry VM that places this one's calls of an own finding
    :param on_work_change: takes in that the own work at a service changed
    """

    def __init__(
        self,
        catalog: Catalog,
        backlogs: Backlogs,
        find_region: Callable[[str], str],
        region: str,
        tell_read: Callable[[PromptRead], None],
        clock: Callable[[], float] = time.monotonic,
        observe_lag: Callable[[str, float], None] = ignore,
        forward_report: Callable[[Report], None] = ignore,
        on_work_change: Callable[[str], None] = ignore,
    ):
        self.runners = Runners(catalog, backlogs, find_region, region, clock)
        self._catalog = catalog
        self._backlogs = backlogs
        self._tell_read = tell_read
        self._clock = clock
        self._note_lag = observe_lag
        self._pass_report = forward_report
        self._note_work = on_work_change
        self._waiting: dict[str, dict[int, Waiting]] = {}
        self._claimed: dict[str, dict[str, Tally]] = {}
        self._begun_s: dict[int, float] = {}
        self._pump_due = False

    def choose(self, plan: Plan, progress: CallProgress) -> Choice | None:
        """Wait for a backend server and return it with the work that is counted there.

        :param plan: the call's plan
        :param progress: how far it has come
        :return: the choice, ``None`` if no backend server is open
        :raises TargetHopeless: if the whole answer can't be had in time
        """
        demand = make_demand(plan, progress)
        reservation = self.reserve(demand)
        if reservation is None:
            return None
        place = reservation.place
        log_place(demand, place, self._clock())
        return Choice(self._catalog.backends[place.backend], reservation.work)

    def accept(self, demand: Demand, place: PlacementTarget, placed_by: str) -> Choice | None:
        """Count a call at the place that another entry VM gave it.

        :param demand: what the call asks
        :param place: the place
        :param placed_by: name of that entry VM
        :return: the choice, ``None`` if the backend server isn't known or takes nothing more
        """
        backend = self._find_open(place.key)
        if backend is None:
            return None
        work = self._count(demand, place)
        self.runners.find_cache(demand.service, place.key).record_read(demand.parts)
        log_place(demand, place, self._clock(), placed_by)
        return Choice(backend, work)

    def reserve(self, demand: Demand, on_wait: Callable[[], None] = ignore) -> Reservation | None:
        """Wait for a place for a call, and count its work there.

        :param demand: what the call asks
        :param on_wait: called if there is no place at once
        :return: the place, ``None`` if no backend server is open
        :raises TargetHopeless: if the whole answer can't be had in time
        """
        work_s = self.runners.note_demand(demand)
        if self.runners.find_engine(demand.service) is None:
            chosen = self._choose_among(demand, self.runners.list_candidates(demand))
            return self._reserve(demand, chosen) if chosen is not None else None
        return self._wait(Waiting(demand, make_waiter(demand, work_s), Event()), on_wait)

    def _wait(self, waiting: Waiting, on_wait: Callable[[], None]) -> Reservation | None:
        line = self._waiting.setdefault(waiting.demand.service, {})
        line[id(waiting)] = waiting
        taken = False
        try:
            self.pump(waiting.demand.service)
            if waiting.reservation is None:
                on_wait()
            while waiting.reservation is None:
                candidates = self.runners.list_candidates(waiting.demand)
                if not candidates:
                    return None
                self._check_hope(waiting, candidates)
                waiting.chosen.wait(LOOK_S)
            taken = True
            return waiting.reservation
        finally:
            line.pop(id(waiting), None)
            if waiting.reservation is not None and not taken:
                waiting.reservation.work.cancel()

    def _check_hope(self, waiting: Waiting, candidates: list[Candidate]) -> None:
        best = min(candidates, key=predict_first_event_s)
        first_s = predict_first_event_s(best)
        token_s = self._find_token_s(waiting.demand, best)
        if is_hopeless(waiting.waiter, first_s, token_s, self._clock()):
            left_s = waiting.waiter.until_s - self._clock()
            raise TargetHopeless(
                f"{left_s:.2f} s are left, {best.backend.name} would begin in {first_s:.2f} s with"
                f" {best.reading_tokens} tokens to read before it, and the answer is expected to"
                f" have {waiting.waiter.answer_tokens} tokens",
                retry_after_s=first_s + random.uniform(0, SPREAD_S),
            )

    def _find_token_s(self, demand: Demand, candidate: Candidate) -> float:
        """Return the time for a token of an answer at a runner now, in seconds.

        A call isn't given up for the time that less urgent ones take from its answer.
        """
        reading = candidate.beside_tokens > candidate.tokens_per_s * READING_S
        since_s = self._clock() - TIER_WINDOW_S
        least = max(
            (tier for tier, begun_s in self._begun_s.items() if begun_s >= since_s), default=0
        )
        if not reading or demand.tier < least:
            return TOKEN_S
        return self.runners.find_habits(demand.service).speed.token_reading_s

    def pump(self, service: str) -> None:
        """Send waiting calls where there is room now.

        :param service: name of the service
        """
        line = self._waiting.get(service)
        if not line:
            return
        # Callers choose the ids of their calls, which may be the same.
        held = {id(waiting.waiter): waiting for waiting in line.values() if not waiting.reservation}
        full_tier: int | None = None
        claimed: dict[str, Tally] = {}
        self._claimed[service] = claimed
        now = self._clock()
        ranked = order((waiting.waiter for waiting in held.values()), now)
        for place, waiter in enumerate(ranked):
            if full_tier is not None and waiter.tier >= full_tier:
                rest = [held[id(each)].demand for each in ranked[place:]]
                self._spread_claims(service, rest, claimed)
                break
            waiting = held[id(waiter)]
            chosen, any_room = self._find_room(waiting, claimed)
            if chosen is not None:
                waiting.reservation = self._reserve(waiting.demand, chosen)
                waiting.chosen.set()
            elif not any_room and not is_late(waiter, now):
                full_tier = waiter.tier

    def _spread_claims(self, service: str, rest: list[Demand], claimed: dict[str, Tally]) -> None:
        """Count calls that weren't looked at, as there is no room, at all runners of the region."""
        homes = self.runners.list_home(service)
        for demand in rest if homes else ():
            rank = min(demand.urgency, URGENCIES - 1)
            for name in homes:
                reading = claimed.setdefault(name, Tally()).reading
                reading[rank] += demand.prompt_tokens // len(homes)

    def list_waiting_loads(self) -> dict[str, Load]:
        """Return the prompts of calls that wait for a backend server, by its name."""
        # The last waiting call may have left since the line was looked at.
        lines = [self._claimed[service] for service, line in self._waiting.items() if line]
        return {name: held.freeze() for claimed in lines for name, held in claimed.items()}

    def count_waiting(self) -> dict[str, int]:
        """Return how many calls wait for a backend server, by service."""
        return {service: len(line) for service, line in self._waiting.items()}

    def pump_all(self) -> None:
        """Send waiting calls of all services where there is room now."""
        for service in list(self._waiting):
            self.pump(service)

    def _find_room(
        self, waiting: Waiting, claimed: dict[str, Tally]
    ) -> tuple[Candidate | None, bool]:
        """Return where a waiting call may go now, and whether there was room anywhere.

        A call waits for a runner without room if it suits it best with all that waits for it.

        :param claimed: prompts of calls before this one that wait for a backend server, by its
            name; those of this call are added
        """
        demand = waiting.demand
        candidates = [
            add_claims(candidate, claimed) for candidate in self.runners.list_candidates(demand)
        ]
        late = is_late(waiting.waiter, self._clock())
        engine = self.runners.find_engine(demand.service)
        open_now = [
            candidate
            for candidate in candidates
            if has_room(make_room(candidate, engine), demand.tier, demand.memory_tokens, late)
        ]
        best = self._choose_among(demand, candidates)
        if best is None or best in open_now:
            return best, bool(open_now)
        claims = claimed.setdefault(best.backend.name, Tally())
        claims.reading[min(demand.urgency, URGENCIES - 1)] += best.fresh_tokens
        return None, bool(open_now)

    def _choose_among(self, demand: Demand, candidates: list[Candidate]) -> Candidate | None:
        left_s = demand.arrived_s + demand.target_s - self._clock()
        return choose(candidates, left_s, demand.size_bytes, demand.session)

    def is_open(self, backend: Backend) -> bool:
        """Return whether a backend server still takes new work.

        :param backend: the incarnation
        """
        return self._find_open(backend.key) is not None

    def _find_open(self, key: tuple[str, int]) -> Backend | None:
        """Return an incarnation that takes new work, ``None`` if it doesn't."""
        held = self._catalog.backends.get(key[0])
        return held if held is not None and held.key == key and not held.leaving else None

    # Work and outcomes.

    def _reserve(self, demand: Demand, chosen: Candidate) -> Reservation:
        """Count a call at its backend server and tell the peers what is read for it."""
        place = make_placement_target(
            chosen, self.runners.is_close(demand), self._backlogs.count_told()
        )
        self._begun_s[demand.tier] = self._clock()
        work = self._count(demand, place)
        self.runners.find_cache(demand.service, place.key).record_read(demand.parts)
        shared = tuple((part.name, part.tokens) for part in demand.parts[:-1])
        self._tell_read(PromptRead(place.backend, shared))
        return Reservation(place, work)

    def _count(self, demand: Demand, place: PlacementTarget) -> Work:
        begun_s = self._clock()

        def record_answer_start() -> None:
            took_s = self._clock() - begun_s
            self._note_lag(demand.route, took_s - place.first_s)
            found = Report(
                Finding.BEGAN,
                demand.service,
                place.backend,
                place.born,
                took_s,
                place.normal_s,
                place.telling_tokens,
            )
            self._take_own(found)

        size = Size(place.fresh_tokens, demand.memory_tokens, demand.urgency, place.close)
        work = self._backlogs.begin(
            place.backend, size, record_answer_start, lambda: self._note_change(demand.service)
        )
        self.runners.note_change()
        self._note_work(demand.service)
        return work

    def _note_change(self, service: str) -> None:
        """Send waiting calls as work has begun to answer or ended."""
        self.runners.note_change()
        self._note_work(service)
        self._pump_soon()

    def record_beat(self, beat: Beat) -> None:
        """Take in what a peer told: prompts that runners were given, findings, changes of work.

        :param beat: the peer's beat
        """
        for read in beat.reads:
            backend = self._catalog.backends.get(read.backend)
            if backend is not None:
                parts = tuple(PromptPart(name, tokens) for name, tokens in read.parts)
                self.runners.find_cache(backend.service, backend.key).record_read(parts)
        for report in beat.reports:
            self.runners.take_report(report)
        self._pump_soon()

    def _pump_soon(self) -> None:
        """Send waiting calls in a moment, once for all changes that come until then."""
        if not self._pump_due and any(self._waiting.values()):
            self._pump_due = True
            gevent.spawn_later(PUMP_S, self._pump_due_calls)

    def _pump_due_calls(self) -> None:
        self._pump_due = False
        # What peers told meanwhile is not in the last look.
        self.runners.note_change()
        self.pump_all()

    def _take_own(self, report: Report) -> None:
        self.runners.take_report(report)
        self._pass_report(report)

    def record_longest_gap(self, backend: Backend, plan: Plan, gap_s: float) -> None:
        """Take in the longest pause of a stream.

        :param backend: the backend server that it came from
        :param plan: the call's plan
        :param gap_s: the pause in seconds
        """
        self._take_own(
            Report(
                Finding.PAUSED,
                backend.service,
                backend.name,
                backend.born,
                gap_s,
                expected_s=plan.route.gap_s,
            )
        )

    def record_outcome(
        self, backend: Backend, plan: Plan, failure: BalsamtallyError | None, took_s: float
    ) -> None:
        """Take in how an attempt went.

        :param backend: the backend server
        :param plan: the call's plan
        :param failure: what went wrong, ``None`` if nothing did
        :param took_s: how long it took, in seconds
        """
        report = report_outcome(backend, plan, failure, took_s)
        if report is not None:
            self._take_own(report)

    def forget_removed(self) -> None:
        """Forget backend servers and routes that are no longer there."""
        self.runners.forget_removed()


def add_claims(candidate: Candidate, claimed: dict[str, Tally]) -> Candidate:
    """Return a candidate with the prompts before it that wait for it.

    :param candidate: the candidate
    :param claimed: prompts that wait for backend servers, by name
    """
    claims = claimed.get(candidate.backend.name)
    if claims is None:
        return candidate
    tokens = sum(claims.reading)
    return msgspec.structs.replace(
        candidate,
        reading_tokens=candidate.reading_tokens + tokens,
        beside_tokens=candidate.beside_tokens + tokens,
    )


def log_place(demand: Demand, place: PlacementTarget, now_s: float, placed_by: str = "") -> None:
    """Log where a call goes, and why.

    :param demand: what it asks
    :param place: the place that it was given
    :param now_s: steady clock in seconds
    :param placed_by: name of the entry VM that gave the place, empty if it is this one
    """
    log.info(
        "routed",
        request=demand.request,
        route=demand.route,
        version=demand.version,
        tier=demand.tier,
        urgency=demand.urgency,
        backend=place.backend,
        expected_ms=round(place.first_s * 1000),
        waited_ms=round((now_s - demand.arrived_s) * 1000),
        running=place.running,
        reading_tokens=place.reading_tokens,
        beside_tokens=place.beside_tokens,
        fresh_tokens=place.fresh_tokens,
        again_tokens=place.again_tokens,
        slow=round(place.first_s / place.normal_s, 1) if place.normal_s else 1.0,
        close=place.close,
        at_home=place.at_home,
        told_by=place.told_by,
        attempt=demand.attempt,
        placed_by=placed_by,
    )
