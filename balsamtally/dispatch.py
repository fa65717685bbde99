"""Which backend server gets a call and when, with all that this entry VM knows of them."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import Event

from balsamtally.assessment import (
    Look,
    Runner,
    find_answer_tokens,
    find_patience_s,
    find_session,
    is_own_fault,
    make_room,
    make_waiter,
)
from balsamtally.backlogs import Backlogs, Size
from balsamtally.beats import Beat, PromptRead
from balsamtally.calls import Backend, Engine, PromptPart
from balsamtally.catalog import Catalog
from balsamtally.errors import (
    BackendRefused,
    BackendUnreachable,
    BalsamtallyError,
    TargetHopeless,
)
from balsamtally.forwarding import Choice
from balsamtally.health import RunnerHealth, count_ejectable
from balsamtally.lanes import Streams, choose_kept, find_pool, is_close, narrow
from balsamtally.logs import log
from balsamtally.paces import Paces
from balsamtally.plans import Plan, Trip
from balsamtally.prefixes import PrefixCache
from balsamtally.selection import Candidate, choose, count_unread, predict_first_event_s
from balsamtally.speeds import EngineSpeed
from balsamtally.waiting import TOKEN_S, Waiter, has_room, is_hopeless, is_late, order

# A backend server that refused a call for want of room is passed over for so long.
FULL_S = 0.3
# Waiting calls are looked at again after this time at the latest, to find those without hope.
LOOK_S = 0.1
# Beats of hundreds of peers are looked at together: a look weighs all runners for each call.
PUMP_S = 0.02
# What all runners have before them is looked at anew after this time, or after an own change; what
# peers tell is older than that. Each waiting call weighs all runners several times a second.
LOOK_OLD_S = 0.02
# A backlog of this time and more is there all the time, not by chance.
READING_S = 0.1
# No call is given up for the sake of less urgent ones that were sent in this time; the span over
# which the users compare how kinds of calls were served.
TIER_WINDOW_S = 5.0
# A runner that is slower than this beside its like tells nothing of the speed of the others.
NORMAL_FACTOR = 1.5
# Weight of one call in the mean size of its route's prompts.
SMOOTHING = 0.05
# Refused calls come back over this time, so that they don't come together.
SPREAD_S = 0.5


@dataclass
class Waiting:
    """A call that waits for a backend server.

    :ivar plan: the call's plan
    :ivar trip: how far it has come
    :ivar waiter: how it ranks
    :ivar chosen: set as a backend server was chosen
    :ivar choice: the backend server with the work that is counted there
    """

    plan: Plan
    trip: Trip
    waiter: Waiter
    chosen: Event
    choice: Choice | None = None


class Dispatch:
    """Chooses backend servers and counts the work given to them.

    :param catalog: the backend servers
    :param backlogs: their work
    :param find_region: returns the region of a failure domain
    :param region: own region
    :param tell_read: tells the peers of a prompt that a backend server was given to read
    :param clock: steady clock
    :param note_lag: takes in by how much an answer began later than expected, by its route
    """

    def __init__(
        self,
        catalog: Catalog,
        backlogs: Backlogs,
        find_region: Callable[[str], str],
        region: str,
        tell_read: Callable[[PromptRead], None],
        clock: Callable[[], float] = time.monotonic,
        note_lag: Callable[[str, float], None] = lambda route, lag_s: None,
    ):
        self._note_lag = note_lag
        self._catalog = catalog
        self._backlogs = backlogs
        self._find_region = find_region
        self._region = region
        self._tell_read = tell_read
        self._clock = clock
        self._paces = Paces(clock)
        self._health: dict[tuple[str, int], RunnerHealth] = {}
        self._caches: dict[tuple[str, int], PrefixCache] = {}
        self._full_until_s: dict[tuple[str, int], float] = {}
        self._waiting: dict[str, dict[int, Waiting]] = {}
        self._sizes: dict[str, float] = {}
        self._speeds: dict[str, EngineSpeed] = {}
        self._begun_s: dict[int, float] = {}
        self._streams: dict[str, Streams] = {}
        self._pump_due = False
        self._looks: dict[str, Look] = {}
        self._changes = 0

    def choose(self, plan: Plan, trip: Trip) -> Choice | None:
        """Wait for a backend server and return it with the work that is counted there.

        :param plan: the call's plan
        :param trip: how far it has come
        :return: the choice, ``None`` if no backend server is open
        :raises TargetHopeless: if the whole answer can't be had in time
        """
        if self._find_engine(plan.service) is None:
            chosen = self._choose_among(plan, self._list_candidates(plan, trip))
            return self._begin(plan, trip, chosen) if chosen is not None else None
        if self._is_close(plan):
            streams = self._find_streams(plan.service)
            streams.note_call(plan.call.prompt_tokens, find_answer_tokens(plan.call))
        return self._wait(Waiting(plan, trip, make_waiter(plan, self._note_size(plan)), Event()))

    def _note_size(self, plan: Plan) -> float:
        """Return the time that the prompts of a call's route take to read, this one counted."""
        name, tokens = plan.route.name, plan.call.prompt_tokens
        mean = self._sizes.get(name, float(tokens))
        mean += SMOOTHING * (tokens - mean)
        self._sizes[name] = mean
        return mean / self._find_speed(plan.service).tokens_per_s

    def _find_speed(self, service: str) -> EngineSpeed:
        return self._speeds.setdefault(service, EngineSpeed())

    def _find_streams(self, service: str) -> Streams:
        return self._streams.setdefault(service, Streams())

    def note_longest_gap(self, plan: Plan, gap_s: float) -> None:
        """Take in the longest pause of a stream.

        :param plan: the call's plan
        :param gap_s: the pause in seconds
        """
        engine = self._find_engine(plan.service)
        if engine is not None:
            self._find_speed(plan.service).note_longest_gap(gap_s, engine.event_tokens)

    def _wait(self, waiting: Waiting) -> Choice | None:
        line = self._waiting.setdefault(waiting.plan.service, {})
        line[id(waiting)] = waiting
        taken = False
        try:
            self.pump(waiting.plan.service)
            while waiting.choice is None:
                candidates = self._list_candidates(waiting.plan, waiting.trip)
                if not candidates:
                    return None
                self._check_hope(waiting, candidates)
                waiting.chosen.wait(LOOK_S)
            taken = True
            return waiting.choice
        finally:
            line.pop(id(waiting), None)
            if waiting.choice is not None and not taken:
                waiting.choice.work.cancel()

    def _check_hope(self, waiting: Waiting, candidates: list[Candidate]) -> None:
        best = min(candidates, key=predict_first_event_s)
        first_s = predict_first_event_s(best)
        token_s = self._find_token_s(waiting.plan, best)
        if is_hopeless(waiting.waiter, first_s, token_s, self._clock()):
            left_s = waiting.waiter.until_s - self._clock()
            raise TargetHopeless(
                f"{left_s:.2f} s are left, {best.backend.name} would begin in {first_s:.2f} s with"
                f" {best.reading_tokens} tokens to read before it, and the answer is expected to"
                f" have {waiting.waiter.answer_tokens} tokens",
                retry_after_s=first_s + random.uniform(0, SPREAD_S),
            )

    def _find_token_s(self, plan: Plan, candidate: Candidate) -> float:
        """Return the time for a token of an answer at a runner now, in seconds.

        A call isn't given up for the time that less urgent ones take from its answer.
        """
        reading = candidate.beside_tokens > candidate.tokens_per_s * READING_S
        since_s = self._clock() - TIER_WINDOW_S
        least = max(
            (tier for tier, begun_s in self._begun_s.items() if begun_s >= since_s), default=0
        )
        if not reading or plan.tier < least:
            return TOKEN_S
        return self._find_speed(plan.service).token_reading_s

    def pump(self, service: str) -> None:
        """Send waiting calls where there is room now.

        :param service: name of the service
        """
        line = self._waiting.get(service)
        if not line:
            return
        # Callers choose the ids of their calls, which may be the same.
        held = {id(waiting.waiter): waiting for waiting in line.values() if not waiting.choice}
        full_tier: int | None = None
        now = self._clock()
        for waiter in order((waiting.waiter for waiting in held.values()), now):
            if full_tier is not None and waiter.tier >= full_tier:
                break
            waiting = held[id(waiter)]
            chosen, any_room = self._find_room(waiting)
            if chosen is not None:
                waiting.choice = self._begin(waiting.plan, waiting.trip, chosen)
                waiting.chosen.set()
            elif not any_room and not is_late(waiter, now):
                full_tier = waiter.tier

    def count_waiting(self) -> dict[str, int]:
        """Return how many calls wait for a backend server, by service."""
        return {service: len(line) for service, line in self._waiting.items()}

    def pump_all(self) -> None:
        """Send waiting calls of all services where there is room now."""
        for service in list(self._waiting):
            self.pump(service)

    def _find_room(self, waiting: Waiting) -> tuple[Candidate | None, bool]:
        """Return where a waiting call may go now, and whether there was room anywhere."""
        plan = waiting.plan
        candidates = self._list_candidates(plan, waiting.trip)
        late = is_late(waiting.waiter, self._clock())
        tokens = plan.call.prompt_tokens + find_answer_tokens(plan.call)
        engine = self._find_engine(plan.service)
        open_now = [
            candidate
            for candidate in candidates
            if has_room(make_room(candidate, engine), plan.tier, tokens, late)
        ]
        best = self._choose_among(plan, candidates)
        if best in open_now:
            return best, True
        other = self._choose_among(plan, open_now)
        waited_s = self._clock() - plan.call.arrived_s
        if other is not None and waited_s < find_patience_s(plan.route.target_s, other):
            return None, True
        return other, bool(open_now)

    def _choose_among(self, plan: Plan, candidates: list[Candidate]) -> Candidate | None:
        target_s = plan.call.arrived_s + plan.route.target_s - self._clock()
        return choose(candidates, target_s, len(plan.call.body), find_session(plan.call))

    def _list_candidates(self, plan: Plan, trip: Trip) -> list[Candidate]:
        runners = [
            runner for runner in self._look(plan.service) if runner.backend.name not in trip.avoid
        ]
        usable = [runner for runner in runners if runner.usable] or runners
        parts = plan.call.parts
        held = [runner.cache.count_held(parts) for runner in usable]
        most = max(held, default=0)
        candidates = [
            self._make_candidate(plan, runner, tokens, most)
            for runner, tokens in zip(usable, held, strict=True)
        ]
        return self._narrow(plan, candidates)

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
        return Runner(
            backend=backend,
            at_home=self._find_region(backend.domain) == self._region,
            usable=self._is_usable(backend, load.running),
            load=load,
            slow_factor=self._paces.find(backend.key),
            cache=self._find_cache(service, backend),
        )

    def _narrow(self, plan: Plan, candidates: list[Candidate]) -> list[Candidate]:
        """Keep long prompts and streams with a close bound on pauses apart."""
        close = self._is_close(plan)
        streams = self._find_streams(plan.service)
        pool = find_pool(candidates)
        running = sum(candidate.close for candidate in pool) + close
        streams.note_running(running, self._clock())
        if not streams.peak or not pool:
            return candidates
        most = streams.find_most(pool[0].backend.slots, pool[0].tokens_per_s)
        kept = choose_kept(plan.service, pool, streams.peak, most)
        return narrow(candidates, kept, close) if kept else candidates

    def _is_close(self, plan: Plan) -> bool:
        engine = self._find_engine(plan.service)
        if engine is None or not plan.route.streams:
            return False
        token_s = self._find_speed(plan.service).token_reading_s
        least_s = self._catalog.contracts.find_least_gap_s(plan.service)
        return is_close(plan.route.gap_s, least_s, engine.event_tokens, token_s)

    def _is_usable(self, backend: Backend, running: int) -> bool:
        now = self._clock()
        if self._full_until_s.get(backend.key, 0.0) > now:
            return False
        health = self._health.get(backend.key)
        if health is None or health.is_whole(now):
            return True
        return running < health.limit_slots(max(backend.slots, 1), now)

    def _make_candidate(
        self, plan: Plan, runner: Runner, held_tokens: int, most_held_tokens: int
    ) -> Candidate:
        load = runner.load
        return Candidate(
            backend=runner.backend,
            at_home=runner.at_home,
            running=load.running,
            reading_tokens=load.count_before(plan.urgency),
            beside_tokens=load.reading_tokens,
            memory_tokens=load.memory_tokens,
            fresh_tokens=max(0, plan.call.prompt_tokens - held_tokens),
            again_tokens=most_held_tokens - held_tokens,
            tokens_per_s=self._find_speed(plan.service).tokens_per_s,
            slow_factor=runner.slow_factor,
            close=load.close,
        )

    def _find_engine(self, service: str) -> Engine | None:
        contracts = self._catalog.contracts
        found = contracts.services.get(service) if contracts is not None else None
        return found.engine if found is not None else None

    def _find_cache(self, service: str, backend: Backend) -> PrefixCache:
        cache = self._caches.get(backend.key)
        if cache is None:
            engine = self._find_engine(service)
            cache = PrefixCache(engine.memory_tokens if engine is not None else 0)
            self._caches[backend.key] = cache
        return cache

    def is_open(self, backend: Backend) -> bool:
        """Return whether a backend server still takes new work.

        :param backend: the incarnation
        """
        held = self._catalog.backends.get(backend.name)
        return held is not None and held.key == backend.key and not held.leaving

    # Work and outcomes.

    def _begin(self, plan: Plan, trip: Trip, chosen: Candidate) -> Choice:
        """Count a call at its backend server and tell the peers."""
        backend, call = chosen.backend, plan.call
        first_s = predict_first_event_s(chosen)
        expected_s = first_s / chosen.slow_factor
        begun_s = self._begun_s[plan.tier] = self._clock()
        log.info(
            "routed",
            request=call.id,
            route=plan.route.name,
            version=plan.version,
            tier=plan.tier,
            urgency=plan.urgency,
            backend=backend.name,
            expected_ms=round(first_s * 1000),
            waited_ms=round((begun_s - call.arrived_s) * 1000),
            running=chosen.running,
            reading_tokens=chosen.reading_tokens,
            beside_tokens=chosen.beside_tokens,
            fresh_tokens=chosen.fresh_tokens,
            again_tokens=chosen.again_tokens,
            slow=round(chosen.slow_factor, 1),
            at_home=chosen.at_home,
            close=self._is_close(plan),
            told_by=self._backlogs.count_told(),
            attempt=trip.sent + 1,
        )

        tokens = count_unread(chosen)

        def note_begun() -> None:
            took_s = self._clock() - begun_s
            self._paces.note(backend.key, took_s, expected_s)
            self._note_lag(plan.route.name, took_s - first_s)
            if chosen.at_home and chosen.slow_factor < NORMAL_FACTOR:
                self._find_speed(plan.service).note_first_event(tokens, took_s)

        memory_tokens = call.prompt_tokens + find_answer_tokens(call)
        size = Size(chosen.fresh_tokens, memory_tokens, plan.urgency, self._is_close(plan))
        work = self._backlogs.begin(
            backend.name, size, note_begun, lambda: self._note_change(plan.service)
        )
        self._changes += 1
        self._find_cache(plan.service, backend).note_read(call.parts)
        shared = tuple((part.name, part.tokens) for part in call.parts[:-1])
        self._tell_read(PromptRead(backend.name, shared))
        return Choice(backend, work)

    def _note_change(self, service: str) -> None:
        """Send waiting calls as work of this entry VM has begun to answer or ended."""
        self._changes += 1
        self.pump(service)

    def note_beat(self, beat: Beat) -> None:
        """Take in what a peer told: prompts that runners were given, and work that ended.

        :param beat: the peer's beat
        """
        for read in beat.reads:
            backend = self._catalog.backends.get(read.backend)
            if backend is not None:
                parts = tuple(PromptPart(name, tokens) for name, tokens in read.parts)
                self._find_cache(backend.service, backend).note_read(parts)
        self._pump_soon()

    def _pump_soon(self) -> None:
        """Send waiting calls in a moment, once for all beats that come until then."""
        if not self._pump_due and any(self._waiting.values()):
            self._pump_due = True
            gevent.spawn_later(PUMP_S, self._pump_due_calls)

    def _pump_due_calls(self) -> None:
        self._pump_due = False
        # What peers told meanwhile is not in the last look.
        self._changes += 1
        self.pump_all()

    def note_outcome(
        self, backend: Backend, plan: Plan, failure: BalsamtallyError | None, took_s: float
    ) -> None:
        """Take in how an attempt went.

        :param backend: the backend server
        :param plan: the call's plan
        :param failure: what went wrong, ``None`` if nothing did
        :param took_s: how long it took, in seconds
        """
        now = self._clock()
        self._changes += 1
        if isinstance(failure, BackendRefused):
            self._full_until_s[backend.key] = now + FULL_S
            return
        health = self._health.setdefault(backend.key, RunnerHealth())
        if failure is None:
            health.observe_success(-1.0, 0, took_s, now)
        elif is_own_fault(failure, plan, took_s):
            unreachable = isinstance(failure, BackendUnreachable)
            if health.observe_failure(plan.call.id, now) or unreachable:
                self._eject(backend, health, failure)

    def _eject(self, backend: Backend, health: RunnerHealth, failure: BalsamtallyError) -> None:
        """Take a backend server out for a time, unless too many of its service are out."""
        now = self._clock()
        likes = self._catalog.list_open(backend.service)
        out = sum(
            now < self._health[like.key].ejected_until for like in likes if like.key in self._health
        )
        allowed = out < count_ejectable(len(likes))
        if allowed:
            health.eject(now)
        log.info(
            "backend_ejected" if allowed else "backend_kept",
            backend=backend.name,
            code=failure.code,
            why=str(failure),
            out=out,
            of=len(likes),
        )

    def forget_gone(self) -> None:
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
