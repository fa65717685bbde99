"""Dispatch policies of the benchmark: the real queue, and naive ones."""

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


class DirectPolicy:
    """Sends each call at once to an engine, which queues it.

    :param run: the run
    :param choose: returns the name of the engine, given the policy
    """

    def __init__(self, run: Run, choose: Callable):
        self.run = run
        self.choose = choose
        self.turn = itertools.count()
        self.loads = dict.fromkeys(run.engines, 0)

    def submit(self, call: Call) -> None:
        """Dispatch a call."""
        self.run.dispatch(call, self.choose(self))

    def start_waiting(self, call: Call, engine: Engine) -> None:
        """Start a call that waited in an engine, unless its caller has given up."""
        if is_expired(call, self.run.now):
            call.refused = True
        else:
            self.run.start(call, engine)

    def fail(self, call: Call) -> None:
        """Dispatch again a call whose engine failed."""
        self.submit(call)

    def finish(self, call: Call) -> None:
        """Nothing is to be done."""

    def replace(self) -> None:
        """There is no coordinator."""

    def report(self, made_at: float, loads: dict[str, int]) -> None:
        """Take in the engines' loads."""
        self.loads = loads


class FifoPolicy:
    """One queue without tiers, with exact knowledge of the free slots."""

    def __init__(self, run: Run):
        self.run = run
        self.queue: deque[Call] = deque()
        self.in_use = dict.fromkeys(run.engines, 0)
        self.down_until = dict.fromkeys(run.engines, 0.0)

    def submit(self, call: Call) -> None:
        """Queue a call."""
        self.queue.append(call)
        self._fill()

    def fail(self, call: Call) -> None:
        """Put a call whose engine failed at the head, and leave the engine alone for a while."""
        self.in_use[call.runner] -= 1
        self.down_until[call.runner] = self.run.now + 5.0
        self.queue.appendleft(call)
        self._fill()

    def finish(self, call: Call) -> None:
        """Fill the slot that got free."""
        self.in_use[call.runner] -= 1
        self._fill()

    def replace(self) -> None:
        """The queue stays."""

    def report(self, made_at: float, loads: dict[str, int]) -> None:
        """Loads are known exactly; see whether an engine is back."""
        self._fill()

    def _fill(self) -> None:
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
    """Return whether a call's caller has given up before its first token."""
    return call.first_token is None and now - call.arrived > call.request_class.max_wait_s


def choose_random(policy: DirectPolicy) -> str:
    """Return any engine."""
    return policy.run.draw.choice(sorted(policy.run.engines))


def choose_next(policy: DirectPolicy) -> str:
    """Return the engines in turn."""
    return f"r{next(policy.turn) % len(policy.run.engines)}"


def choose_least_reported(policy: DirectPolicy) -> str:
    """Return an engine with the least reported load."""
    least = min(policy.loads.values())
    return policy.run.draw.choice([n for n, load in policy.loads.items() if load == least])


class QueuePolicy:
    """The PoolQueue, with fakes of the entry VMs.

    :param run: the run
    :param coordinators: coordinators among which the pool is divided
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
        """Ask for a grant."""
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
        """Return the coordinator to ask for a call."""
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
        """Start a call that waited in an engine, which happens while grants are relearnt."""
        self.run.start(call, engine)

    def fail(self, call: Call) -> None:
        """Release the grant of a call whose engine failed, and ask again."""
        self._release(call, failed=True)
        call.attempt += 1
        call.excluded = (call.runner,)
        self.submit(call)

    def replace(self) -> None:
        """Start a new coordinator, which knows nothing; the entry VMs notice after a second."""
        self._make_queues()
        self.run.at(1.0, self._ask_again)

    def _ask_again(self) -> None:
        self._send_renewal()
        for call in list(self.calls.values()):
            if call.finished is None and not call.refused and not call.grant:
                self.submit(call)

    def report(self, made_at: float, loads: dict[str, int]) -> None:
        """Pass the engines' loads on."""
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
