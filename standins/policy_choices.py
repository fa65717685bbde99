"""Dispatch policies of the benchmark: the real ``PoolQueue`` and simple baselines."""

import itertools
import random
from collections import deque
from collections.abc import Callable

from balsamtally.contracts import Customer
from balsamtally.messages import Ask, Grant, Refuse, Release, Renew, Revoke
from balsamtally.queues import RENEW_EVERY_S, PoolQueue, RunnerView
from balsamtally.shards import QueueView, divide_runners, rank_coordinators
from standins.policy_run import (
    ARRIVALS_S,
    CLASSES,
    DRAIN_S,
    MESSAGE_S,
    SLOTS,
    TICK_S,
    Call,
    Engine,
    Run,
)

FAILED_ENGINE_PAUSE_S = 5.0
REPLACEMENT_NOTICE_S = 1.0


class DirectPolicy:
    """Sends each call immediately to an engine, which queues the call if its slots are in use.

    :param run: run that the policy serves
    :param choose: returns the name of the engine for the next call
    """

    def __init__(self, run: Run, choose: Callable):
        self.run = run
        self.choose = choose
        self.turns = itertools.count()
        self.loads = dict.fromkeys(run.engines, 0)

    def submit(self, call: Call) -> None:
        """Dispatch a new call."""
        self.run.dispatch(call, self.choose(self))

    def start_waiting(self, call: Call, engine: Engine) -> None:
        """Start a call from an engine's queue, or refuse it if its maximum wait has passed."""
        if is_expired(call, self.run.now):
            call.refused = True
        else:
            self.run.start(call, engine)

    def fail(self, call: Call) -> None:
        """Dispatch a call again after its engine failed."""
        self.submit(call)

    def finish(self, call: Call) -> None:
        """Do nothing: this policy counts no slots."""

    def replace(self) -> None:
        """Do nothing: this policy has no coordinator."""

    def report(self, made_at: float, loads: dict[str, int]) -> None:
        """Record the engines' reported loads."""
        self.loads = loads


class FifoPolicy:
    """One first-in-first-out queue without tiers, with exact counts of the free slots."""

    def __init__(self, run: Run):
        self.run = run
        self.queue: deque[Call] = deque()
        self.in_use = dict.fromkeys(run.engines, 0)
        self.down_until = dict.fromkeys(run.engines, 0.0)

    def submit(self, call: Call) -> None:
        """Queue a call."""
        self.queue.append(call)
        self._dispatch_waiting()

    def fail(self, call: Call) -> None:
        """Requeue a call at the head, and use its engine no more for ``FAILED_ENGINE_PAUSE_S``."""
        self.in_use[call.runner] -= 1
        self.down_until[call.runner] = self.run.now + FAILED_ENGINE_PAUSE_S
        self.queue.appendleft(call)
        self._dispatch_waiting()

    def finish(self, call: Call) -> None:
        """Dispatch a queued call to the free slot."""
        self.in_use[call.runner] -= 1
        self._dispatch_waiting()

    def replace(self) -> None:
        """Do nothing: the queue is not lost."""

    def report(self, made_at: float, loads: dict[str, int]) -> None:
        """Dispatch queued calls, as an engine may be usable again; ignore the reported loads."""
        self._dispatch_waiting()

    def _dispatch_waiting(self) -> None:
        while self.queue:
            up = [name for name in self.in_use if self.down_until[name] <= self.run.now]
            name = min(up, key=self.in_use.get)
            if self.in_use[name] >= SLOTS:
                return
            call = self.queue.popleft()
            if is_expired(call, self.run.now):
                call.refused = True
                continue
            self.in_use[name] += 1
            self.run.dispatch(call, name)


def is_expired(call: Call, now: float) -> bool:
    """Return whether a call without a first token has waited longer than its class allows."""
    return call.first_token is None and now - call.arrived > call.request_class.max_wait_s


def choose_random(policy: DirectPolicy) -> str:
    """Return a random engine."""
    return policy.run.rng.choice(sorted(policy.run.engines))


def choose_next(policy: DirectPolicy) -> str:
    """Return the next engine in round-robin order."""
    return f"r{next(policy.turns) % len(policy.run.engines)}"


def choose_least_reported(policy: DirectPolicy) -> str:
    """Return a random engine among those with the least reported load."""
    least = min(policy.loads.values())
    return policy.run.rng.choice([n for n, load in policy.loads.items() if load == least])


class QueuePolicy:
    """The real ``PoolQueue`` of each coordinator, with simulated entry VMs.

    :param run: run that the policy serves
    :param coordinators: number of coordinators that share the runners of the pool
    """

    def __init__(self, run: Run, coordinators: int = 1):
        self.run = run
        self.calls: dict[str, Call] = {}
        self.held: dict[str, Call] = {}
        self.epochs = itertools.count(1)
        self.names = [f"vm{number}" for number in range(coordinators)]
        self.divided = divide_runners("m", self.names, list(run.engines))
        self.views: dict[str, QueueView] = {}
        self.coordinators: dict[str, str] = {}
        self._make_queues()
        run.at(TICK_S, self._tick)
        run.at(RENEW_EVERY_S, self._renew)

    def _make_queues(self) -> None:
        self.epoch = next(self.epochs)
        self.queues = {name: self._make_queue(name, self.epoch) for name in self.names}

    def _make_queue(self, name: str, epoch: int) -> PoolQueue:
        queue = PoolQueue(
            "m",
            CLASSES.get,
            lambda name: Customer(name, (), ()),
            lambda _, message: self.run.at(MESSAGE_S, self._on_grant, epoch, message),
            lambda _, message: self.run.at(MESSAGE_S, self._on_refuse, epoch, message),
            lambda _, message: self.run.at(MESSAGE_S, self._on_revoke, epoch, message),
            clock=lambda: self.run.now,
            rng=random.Random(f"{name}/{epoch}"),
        )
        queue.set_runners([RunnerView(runner, SLOTS) for runner in self.divided[name]])
        return queue

    def submit(self, call: Call) -> None:
        """Request a grant from a coordinator."""
        self.calls[call.name] = call
        call.grant = ""
        ask = Ask(
            call.name,
            call.attempt,
            "m",
            call.customer,
            call.request_class.name,
            waited_s=self.run.now - call.arrived,
            preemptions=call.preemptions,
            excluded=call.excluded,
            generated=call.generated,
        )
        name = self.choose_coordinator(call)
        self.coordinators[call.name] = name
        self.run.at(MESSAGE_S, self._on_ask, name, ask)

    def choose_coordinator(self, call: Call) -> str:
        """Return the name of the coordinator that receives the request for a grant."""
        return rank_coordinators(call.name, self.names, self.views)[0]

    def _on_ask(self, name: str, ask: Ask) -> None:
        self.run.decide(self.queues[name].submit, "vm", ask)

    def _on_grant(self, epoch: int, message: Grant) -> None:
        call = self.calls[message.request]
        if epoch != self.epoch or call.attempt != message.attempt or call.grant:
            return
        call.grant = message.grant
        self.held[message.grant] = call
        self.run.dispatch(call, message.runner)

    def _on_refuse(self, epoch: int, message: Refuse) -> None:
        call = self.calls[message.request]
        if epoch == self.epoch and not call.grant:
            call.refused = True

    def _on_revoke(self, epoch: int, message: Revoke) -> None:
        call = self.held.get(message.grant)
        if call is None or epoch != self.epoch:
            return
        self.run.stop(call)
        call.preemptions += 1
        self._release(call, failed=False)
        call.attempt += 1
        self.submit(call)

    def _release(self, call: Call, failed: bool) -> None:
        self.held.pop(call.grant, None)
        first_s = -1.0 if failed else call.ready - call.started
        message = Release(call.grant, "m", call.tokens, first_s, failed)
        name = self.coordinators[call.name]
        self.run.at(MESSAGE_S, lambda: self.run.decide(self.queues[name].release, "vm", message))

    def finish(self, call: Call) -> None:
        """Release the grant."""
        self._release(call, failed=False)

    def start_waiting(self, call: Call, engine: Engine) -> None:
        """Start a call from an engine's queue.

        Engines queue calls while a new coordinator learns the grants of its predecessor.
        """
        self.run.start(call, engine)

    def fail(self, call: Call) -> None:
        """Release the grant of a call whose engine failed, and request another grant."""
        self._release(call, failed=True)
        call.attempt += 1
        call.excluded = (call.runner,)
        self.submit(call)

    def replace(self) -> None:
        """Replace the coordinators by new ones without state.

        The entry VMs notice after ``REPLACEMENT_NOTICE_S``.
        """
        self._make_queues()
        self.run.at(REPLACEMENT_NOTICE_S, self._resubmit)

    def _resubmit(self) -> None:
        self._send_renewal()
        for call in list(self.calls.values()):
            if call.finished is None and not call.refused and not call.grant:
                self.submit(call)

    def report(self, made_at: float, loads: dict[str, int]) -> None:
        """Pass the engines' reported loads to the coordinators."""
        age_s = self.run.now - made_at
        for name, queue in self.queues.items():
            views = [
                RunnerView(runner, SLOTS, running=min(loads[runner], SLOTS), report_age_s=age_s)
                for runner in self.divided[name]
            ]
            self.run.decide(queue.set_runners, views)
            slots = SLOTS * len(self.divided[name])
            self.views[name] = QueueView(len(queue.queued), slots, 0.0)

    def _tick(self) -> None:
        for queue in self.queues.values():
            self.run.decide(queue.tick)
        if self.run.now < ARRIVALS_S + DRAIN_S:
            self.run.at(TICK_S, self._tick)

    def _renew(self) -> None:
        self._send_renewal()
        if self.run.now < ARRIVALS_S + DRAIN_S:
            self.run.at(RENEW_EVERY_S, self._renew)

    def _send_renewal(self) -> None:
        for name, queue in self.queues.items():
            held = [
                grant for grant, call in self.held.items() if self.coordinators[call.name] == name
            ]
            self.run.decide(queue.renew, "vm", Renew("m", tuple(held)))


POLICIES = {
    "pool_queue": QueuePolicy,
    "four_pool_queues": lambda run: QueuePolicy(run, coordinators=4),
    "random": lambda run: DirectPolicy(run, choose_random),
    "round_robin": lambda run: DirectPolicy(run, choose_next),
    "least_reported": lambda run: DirectPolicy(run, choose_least_reported),
    "fifo": FifoPolicy,
}
