"""Tests of the queue of a pool."""

import random

import pytest
import structlog
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamtally.contracts import Customer, RequestClass
from balsamtally.messages import Ask, Release, Renew, Withdraw
from balsamtally.queues import GRANT_LEASE_S, PoolQueue, RunnerView

CLASSES = {
    "live": RequestClass("live", 0, 1400.0, share=0.3, max_wait_s=20.0, max_queued=6),
    "desk": RequestClass("desk", 1, 4000.0, share=0.1, max_wait_s=30.0, max_queued=6),
    "batch": RequestClass(
        "batch", 3, 60000.0, share=0.1, max_wait_s=90.0, max_queued=6, preemptible=True
    ),
}
WEIGHTS = {"ana": 1.0, "rupa": 2.0, "tito": 0.5}


@pytest.fixture(autouse=True, scope="module")
def quiet_logs():
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    yield
    structlog.reset_defaults()


class World:
    """A queue on a virtual clock, with what it sent."""

    def __init__(self, runners=(("a", 2), ("b", 3)), classes=CLASSES, **options):
        self.now = 1000.0
        self.classes = classes
        self.sent = []
        self.runners = [RunnerView(name, slots) for name, slots in runners]
        self.queue = PoolQueue(
            "m",
            classes.get,
            lambda name: Customer(name, (), (), weight=WEIGHTS.get(name, 1.0)),
            lambda vm, message: self.sent.append((vm, message)),
            lambda vm, message: self.sent.append((vm, message)),
            lambda vm, message: self.sent.append((vm, message)),
            lambda: self.now,
            draw=random.Random(7),
            **options,
        )
        self.queue.set_runners(self.runners)

    def ask(self, request, name="live", customer="ana", vm="vm1", attempt=1, **fields):
        self.queue.submit(vm, Ask(request, attempt, "m", customer, name, **fields))

    def pass_time(self, seconds):
        self.now += seconds
        self.queue.tick()

    def settle_in(self):
        """Wait until the queue has learnt the grants of an earlier coordinator."""
        self.pass_time(GRANT_LEASE_S + 0.1)

    def take(self, kind):
        found = [message for _, message in self.sent if type(message).__name__ == kind]
        self.sent = [item for item in self.sent if type(item[1]).__name__ != kind]
        return found


class QueueMachine(RuleBasedStateMachine):
    """Random events against an oracle that counts slots and answers."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.world.settle_in()
        self.asked = {}
        self.granted = {}
        self.ended = {}
        self.in_use = {}
        self.lease = {}
        self.count = 0

    def read_sent(self):
        for vm, message in self.world.sent:
            key = (message.request, getattr(message, "attempt", None))
            kind = type(message).__name__
            if kind == "Revoke":
                assert self.asked[self.in_use[message.grant].request][1] == "batch"
                continue
            assert vm == self.asked[message.request][0]
            if kind == "Refuse":
                assert self.ended.setdefault(key, message) == message
                assert key not in self.granted
                assert message.error.outcome == "not_run"
                self.check_shed(message)
                continue
            if key in self.granted:
                assert self.granted[key] == message
                continue
            assert key not in self.ended, "granted after its end"
            self.granted[key] = message
            self.in_use[message.grant] = message
            self.lease[message.grant] = self.world.now + message.expires_s
        self.world.sent.clear()

    def check_shed(self, message):
        if message.error.code != 2003 or self.asked[message.request][1] != "live":
            return
        lower = self.asked[self.newest][1] != "live"
        assert not lower, "a live request was shed for a lower tier"

    def forget_expired(self):
        for grant, until in list(self.lease.items()):
            if until <= self.world.now:
                del self.lease[grant]
                self.in_use.pop(grant, None)

    @rule(
        name=st.sampled_from(sorted(CLASSES)),
        customer=st.sampled_from(sorted(WEIGHTS)),
        vm=st.sampled_from(["vm1", "vm2"]),
        attempt=st.just(1),
    )
    def ask(self, name, customer, vm, attempt):
        self.count += 1
        self.newest = f"r{self.count}"
        self.asked[self.newest] = (vm, name, customer)
        self.world.ask(self.newest, name, customer, vm, attempt)
        self.read_sent()

    @rule(data=st.data())
    def ask_again(self, data):
        if not self.asked:
            return
        request = data.draw(st.sampled_from(sorted(self.asked)))
        vm, name, customer = self.asked[request]
        known = len(self.world.queue.queued)
        fresh = len(self.granted)
        self.world.ask(request, name, customer, vm)
        if (request, 1) in self.granted or (request, 1) in self.ended:
            assert len(self.world.queue.queued) <= known
        self.read_sent()
        assert len(self.granted) == fresh or request not in self.ended

    @rule(data=st.data(), failed=st.booleans())
    def release(self, data, failed):
        if not self.in_use:
            return
        grant = data.draw(st.sampled_from(sorted(self.in_use)))
        del self.in_use[grant]
        self.lease.pop(grant)
        self.world.queue.release("vm1", Release(grant, "m", 50, 0.2, failed))
        self.read_sent()

    @rule(data=st.data())
    def withdraw(self, data):
        if not self.asked:
            return
        request = data.draw(st.sampled_from(sorted(self.asked)))
        self.world.queue.withdraw("vm1", Withdraw(request, "m"))
        if (request, 1) not in self.granted:
            self.ended.setdefault((request, 1), None)
        self.read_sent()

    @rule(seconds=st.sampled_from([0.05, 0.5, 1.5, 5.0]))
    def pass_time(self, seconds):
        self.world.now += seconds
        self.forget_expired()
        self.world.queue.tick()
        self.read_sent()

    @rule()
    def renew(self):
        self.world.queue.renew("vm1", Renew("m", tuple(self.in_use)))
        for grant in self.in_use:
            self.lease[grant] = self.world.now + GRANT_LEASE_S
        self.read_sent()

    @rule(vm=st.sampled_from(["vm1", "vm2"]))
    def drop_sender(self, vm):
        gone = [
            waiting.ask.request
            for waiting in self.world.queue.queued.values()
            if waiting.sender == vm
        ]
        self.world.queue.drop_sender(vm)
        for request in gone:
            del self.asked[request]
        self.read_sent()

    @rule(leaving=st.booleans())
    def set_runners(self, leaving):
        self.world.queue.set_runners([RunnerView("a", 2, leaving), RunnerView("b", 3)])
        self.read_sent()

    @invariant()
    def slots_are_not_oversubscribed(self):
        for runner, slots in (("a", 2), ("b", 3)):
            used = sum(1 for grant in self.in_use.values() if grant.runner == runner)
            assert used <= slots
            assert used == self.world.queue.loads.runners[runner].in_use

    @invariant()
    def each_ask_is_queued_or_answered_once(self):
        for request in self.asked:
            places = (
                (request in self.world.queue.queued)
                + ((request, 1) in self.granted)
                + ((request, 1) in self.ended)
            )
            assert places == 1, request

    @invariant()
    def no_slot_idles_while_a_request_waits(self):
        loads = self.world.queue.loads
        assert not (self.world.queue.queued and loads.free)


QueueMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=60
)
TestQueueMachine = QueueMachine.TestCase
