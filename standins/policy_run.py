"""Runs of dispatch policies against fake engines on a virtual clock."""

import heapq
import itertools
import random
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from balsamtally.contracts import RequestClass

SLOTS = 8
TOKENS_PER_S = 30.0
PREFILL_S = 0.15
PREFILL_TOKENS_PER_S = 5000.0
MESSAGE_S = 0.002
FAILURE_SEEN_S = 0.5
REPORT_EVERY_S = 0.5
TICK_S = 0.05
ARRIVALS_S = 120.0
FAULT_AT_S = 40.0
REPLACE_AT_S = 60.0
BURST_END_S = 80.0
DRAIN_S = 900.0
MEAN_TOKENS = 115.0
MEAN_HELD_S = PREFILL_S + MEAN_TOKENS / TOKENS_PER_S

CLASSES = {
    "live": RequestClass("live", 0, 1400.0, share=0.3, max_wait_s=15.0, max_queued=500),
    "desk": RequestClass("desk", 1, 5000.0, share=0.1, max_wait_s=60.0, max_queued=500),
    "batch": RequestClass(
        "batch", 3, 300000.0, share=0.05, max_wait_s=600.0, max_queued=5000, preemptible=True
    ),
}
MIX = {"live": 0.3, "desk": 0.2, "batch": 0.5}


@dataclass(eq=False)
class Call:
    """A request of the run.

    :ivar name: id of the request
    :ivar request_class: its request class
    :ivar customer: name of its customer
    :ivar arrived: when it came, in seconds
    :ivar tokens: length of its answer
    """

    name: str
    request_class: RequestClass
    customer: str
    arrived: float
    tokens: int
    generated: int = 0
    attempt: int = 1
    preemptions: int = 0
    first_token: float | None = None
    finished: float | None = None
    refused: bool = False
    started: float = 0.0
    ready: float = 0.0
    rate: float = TOKENS_PER_S
    version: int = 0
    runner: str = ""
    grant: str = ""
    excluded: tuple[str, ...] = ()


@dataclass(eq=False)
class Engine:
    """A model runner: slots, and a first-in-first-out queue for what comes beyond them.

    :ivar speed: part of its usual speed
    :ivar up: whether it answers
    """

    name: str
    speed: float = 1.0
    up: bool = True
    running: dict[str, Call] = field(default_factory=dict)
    waiting: deque = field(default_factory=deque)


@dataclass(frozen=True)
class Scenario:
    """What happens in a run.

    :ivar name: its name
    :ivar load: offered load, as a part of the capacity
    :ivar burst_load: offered load during the burst
    :ivar burst_class: the class that makes up the burst
    :ivar slow: speed of the first runner from the fault on
    :ivar crash: whether the first runner crashes at the fault, and is back at the burst's end
    :ivar report_lag_s: age of the load reports, in seconds
    :ivar replace: whether the coordinator is replaced in mid-burst
    :ivar runners: runners of the pool; the pool is divided only where there are many
    """

    name: str
    load: float = 0.7
    burst_load: float = 0.7
    burst_class: str = "batch"
    slow: float = 1.0
    crash: bool = False
    report_lag_s: float = 1.0
    replace: bool = False
    runners: int = 6


SCENARIOS = (
    Scenario("steady"),
    Scenario("burst", burst_load=1.3),
    Scenario("burst_2_runners", burst_load=1.3, runners=2),
    Scenario("burst_48_runners", burst_load=1.3, runners=48),
    Scenario("live_burst", burst_load=1.3, burst_class="live"),
    Scenario("slow_runner", slow=0.25),
    Scenario("crash", crash=True),
    Scenario("crash_in_burst", burst_load=1.3, crash=True),
    Scenario("lagging_reports", load=0.9, burst_load=0.9, report_lag_s=5.0),
    Scenario("coordinator_replaced", burst_load=1.3, replace=True),
)


class Run:
    """One run of a scenario under a policy.

    :param scenario: what happens
    :param make_policy: returns the policy, given the run
    :param seed: seed of the arrivals
    """

    def __init__(self, scenario: Scenario, make_policy: Callable, seed: int):
        self.scenario = scenario
        self.now = 0.0
        self.events: list = []
        self.order = itertools.count()
        self.draw = random.Random(seed)
        self.engines = {f"r{number}": Engine(f"r{number}") for number in range(scenario.runners)}
        self.calls: list[Call] = []
        self.reports: deque = deque()
        self.wasted_tokens = 0.0
        self.cpu_s = 0.0
        self.decisions = 0
        self.policy = make_policy(self)

    def at(self, delay_s: float, action: Callable, *given) -> None:
        """Do something later."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), action, given))

    def run(self) -> dict:
        """Run to the end and return the measurements."""
        self._plan_arrivals()
        self.at(0.0, self._report)
        self.at(FAULT_AT_S, self._start_fault)
        self.at(BURST_END_S, self._end_fault)
        if self.scenario.replace:
            self.at(REPLACE_AT_S, self.policy.replace)
        while self.events:
            when, _, action, given = heapq.heappop(self.events)
            if when > ARRIVALS_S + DRAIN_S:
                break
            self.now = when
            action(*given)
        return self._measure()

    def _plan_arrivals(self) -> None:
        capacity = self.scenario.runners * SLOTS / MEAN_HELD_S
        when = 0.0
        while when < ARRIVALS_S:
            load = self.scenario.load
            burst = FAULT_AT_S <= when < BURST_END_S
            offered = self.scenario.burst_load if burst else load
            when += self.draw.expovariate(capacity * offered)
            name = self.draw.choices(list(MIX), list(MIX.values()))[0]
            if burst and self.draw.random() < (offered - load) / offered:
                name = self.scenario.burst_class
            customer = f"c{min(int(self.draw.expovariate(0.4)), 9)}"
            tokens = max(2, int(self.draw.lognormvariate(4.5, 0.7)))
            call = Call(f"q{len(self.calls)}", CLASSES[name], customer, when, tokens)
            self.calls.append(call)
            self.at(when, self.decide, self.policy.submit, call)

    def decide(self, action: Callable, *given) -> None:
        """Do something and count its CPU time."""
        started = time.process_time()
        action(*given)
        self.cpu_s += time.process_time() - started
        self.decisions += 1

    def _start_fault(self) -> None:
        first = self.engines["r0"]
        first.speed = self.scenario.slow
        if self.scenario.crash:
            self.crash(first)

    def _end_fault(self) -> None:
        self.engines["r0"].up = True

    def _report(self) -> None:
        loads = {name: len(e.running) + len(e.waiting) for name, e in self.engines.items()}
        self.reports.append((self.now, loads))
        while len(self.reports) > 1 and self.reports[1][0] <= self.now - self.scenario.report_lag_s:
            self.reports.popleft()
        self.policy.report(*self.reports[0])
        if self.now < ARRIVALS_S + DRAIN_S:
            self.at(REPORT_EVERY_S, self._report)

    # Engines

    def dispatch(self, call: Call, name: str) -> None:
        """Send a call to an engine."""
        engine = self.engines[name]
        call.runner = name
        if not engine.up:
            self.at(FAILURE_SEEN_S, self.policy.fail, call)
        elif len(engine.running) < SLOTS:
            self.start(call, engine)
        else:
            engine.waiting.append(call)

    def start(self, call: Call, engine: Engine) -> None:
        """Run a call on a free slot."""
        engine.running[call.name] = call
        call.started = self.now
        call.version += 1
        again_s = call.generated / PREFILL_TOKENS_PER_S
        self.wasted_tokens += again_s * TOKENS_PER_S
        if call.generated:
            self.wasted_tokens += PREFILL_S * TOKENS_PER_S
        first_s = (PREFILL_S + again_s) / engine.speed
        call.ready = self.now + first_s
        left_s = (call.tokens - call.generated) / (TOKENS_PER_S * engine.speed)
        call.rate = TOKENS_PER_S * engine.speed
        self.at(first_s, self._first_token, call, call.version)
        self.at(first_s + left_s, self._finish, call, engine, call.version)

    def stop(self, call: Call) -> None:
        """Cancel a running call; what it generated has reached its caller."""
        engine = self.engines[call.runner]
        engine.running.pop(call.name, None)
        call.version += 1
        done = int(max(0.0, self.now - call.ready) * call.rate)
        call.generated = min(call.generated + done, call.tokens - 1)

    def crash(self, engine: Engine) -> None:
        """Stop an engine; its callers see it."""
        engine.up = False
        for call in [*engine.running.values(), *engine.waiting]:
            if call.name in engine.running:
                self.stop(call)
            self.at(FAILURE_SEEN_S, self.policy.fail, call)
        engine.waiting.clear()

    def _first_token(self, call: Call, version: int) -> None:
        if call.version == version and call.first_token is None:
            call.first_token = self.now

    def _finish(self, call: Call, engine: Engine, version: int) -> None:
        if call.version != version:
            return
        engine.running.pop(call.name)
        call.finished = self.now
        self.policy.finish(call)
        while engine.waiting and len(engine.running) < SLOTS:
            self.policy.start_waiting(engine.waiting.popleft(), engine)

    def _measure(self) -> dict:
        offered, met, refused, unfinished = Counter(), Counter(), Counter(), Counter()
        tokens = 0
        for call in self.calls:
            name = call.request_class.name
            offered[name] += 1
            refused[name] += call.refused
            unfinished[name] += call.finished is None and not call.refused
            target = call.arrived + call.request_class.first_token_ms / 1000.0
            met[name] += call.first_token is not None and call.first_token <= target
            if call.finished is not None and call.finished <= ARRIVALS_S:
                tokens += call.tokens
        generated = sum(call.tokens for call in self.calls if call.finished is not None)
        return {
            "attainment": {name: round(met[name] / offered[name], 4) for name in sorted(offered)},
            "goodput_tokens_per_s": round(tokens / ARRIVALS_S, 1),
            "wasted_share": round(self.wasted_tokens / generated, 5),
            "offered": len(self.calls),
            "refused": dict(sorted(refused.items())),
            "unfinished": dict(sorted(unfinished.items())),
            "preemptions": sum(call.preemptions for call in self.calls),
            "cpu_ms_per_request": round(1000.0 * self.cpu_s / len(self.calls), 3),
        }
