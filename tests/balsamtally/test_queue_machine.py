"""Compares the queue of a pool with a simple oracle over random event sequences."""

import pytest
import structlog
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamtally.messages import Release, Renew, Withdraw
from balsamtally.queues import GRANT_LEASE_S, RunnerView
from tests.balsamtally.queue_world import CLASSES, WEIGHTS, World


@pytest.fixture(autouse=True, scope="module")
def quiet_logs():
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    yield
    structlog.reset_defaults()


class QueueMachine(RuleBasedStateMachine):
    """Applies random events and checks them against an oracle that counts slots and replies."""

    def __init__(self):
        super().__init__()
        self.world = World(max_queued=10)
        self.world.expire_adoption_period()
        self.asked = {}
        self.granted = {}
        self.ended = {}
        self.in_use = {}
        self.lease_ends = {}
        self.count = 0
        self.leaving = set()
        self.expired = set()
        self.withdrawn = set()
        self.attempts = {}
        self.excluded = {}

    def attempt_key(self, request):
        return request, self.attempts[request]

    def check_sent(self):
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
                assert message.attempt == 1, "a started request was refused"
                self.check_queue_full(message)
                continue
            if key in self.granted:
                assert self.granted[key] == message
                continue
            assert key not in self.ended, "an attempt was granted after it had ended"
            assert message.runner not in self.leaving
            self.granted[key] = message
            self.in_use[message.grant] = message
            self.lease_ends[message.grant] = self.world.now + message.expires_s
        self.world.sent.clear()

    def check_queue_full(self, message):
        if message.error.code != 2003 or self.asked[message.request][1] != "live":
            return
        lower = self.asked[self.newest][1] != "live"
        assert not lower, "a live request was shed for a lower tier"

    def expire_leases(self):
        for grant, until in list(self.lease_ends.items()):
            if until <= self.world.now:
                del self.lease_ends[grant]
                message = self.in_use.pop(grant)
                key = (message.request, message.attempt)
                del self.granted[key]
                if message.request in self.withdrawn:
                    self.ended[key] = None
                elif key == self.attempt_key(message.request):
                    self.expired.add(message.request)

    def send_ask(self, request):
        vm, name, customer = self.asked[request]
        if self.attempt_key(request) not in self.ended:
            self.expired.discard(request)
        attempt = self.attempts[request]
        self.world.ask(
            request,
            name,
            customer,
            vm,
            attempt,
            preemptions=attempt - 1,
            excluded=self.excluded[request],
        )
        self.check_sent()

    @rule(
        names=st.lists(st.sampled_from(sorted(CLASSES)), min_size=1, max_size=4),
        customer=st.sampled_from(sorted(WEIGHTS)),
        vm=st.sampled_from(["vm1", "vm2"]),
        excluded=st.sampled_from([(), (), ("a",), ("b",)]),
    )
    def ask(self, names, customer, vm, excluded):
        for name in names:
            self.count += 1
            self.newest = f"r{self.count}"
            self.asked[self.newest] = (vm, name, customer)
            self.attempts[self.newest] = 1
            self.excluded[self.newest] = excluded
            self.send_ask(self.newest)

    @rule(data=st.data())
    def ask_again(self, data):
        if self.asked:
            self.send_ask(data.draw(st.sampled_from(sorted(self.asked))))

    @rule(data=st.data(), failed=st.booleans(), resume=st.booleans())
    def release(self, data, failed, resume):
        if not self.in_use:
            return
        grant = data.draw(st.sampled_from(sorted(self.in_use)))
        message = self.in_use.pop(grant)
        self.lease_ends.pop(grant)
        self.world.queue.release("vm1", Release(grant, "m", 50, 0.2, failed))
        self.world.queue.renew("vm1", Renew("m", (grant,)))
        self.check_sent()
        if message.request not in self.asked:
            return
        self.send_ask(message.request)
        if resume and message.request not in self.withdrawn:
            self.attempts[message.request] = message.attempt + 1
            self.send_ask(message.request)

    @rule(data=st.data())
    def withdraw(self, data):
        if not self.asked:
            return
        request = data.draw(st.sampled_from(sorted(self.asked)))
        self.world.queue.withdraw("vm1", Withdraw(request, "m"))
        self.withdrawn.add(request)
        if self.attempt_key(request) not in self.granted:
            self.ended.setdefault(self.attempt_key(request), None)
            self.expired.discard(request)
        self.check_sent()
        self.send_ask(request)

    @rule(seconds=st.sampled_from([0.05, 1.5, 5.0, 10.0]))
    def advance(self, seconds):
        self.world.now += seconds
        self.expire_leases()
        self.world.queue.tick()
        self.check_sent()

    @rule()
    def renew(self):
        self.world.queue.renew("vm1", Renew("m", tuple(self.in_use)))
        for grant in self.in_use:
            self.lease_ends[grant] = self.world.now + GRANT_LEASE_S
        self.check_sent()

    @rule(vm=st.sampled_from(["vm1", "vm2"]))
    def drop_sender(self, vm):
        dropped = [
            waiting.ask.request
            for waiting in self.world.queue.queued.values()
            if waiting.sender == vm
        ]
        self.world.queue.drop_sender(vm)
        for request in dropped:
            del self.asked[request]
        self.check_sent()

    @rule(leaving=st.booleans())
    def set_runners(self, leaving):
        self.leaving = {"a"} if leaving else set()
        self.world.queue.set_runners([RunnerView("a", 2, leaving), RunnerView("b", 3)])
        self.check_sent()

    @invariant()
    def slots_are_not_oversubscribed(self):
        for runner, slots in (("a", 2), ("b", 3)):
            used = sum(1 for grant in self.in_use.values() if grant.runner == runner)
            assert used <= slots
            assert used == self.world.queue.loads.runners[runner].in_use

    @invariant()
    def each_ask_is_queued_or_answered_once(self):
        for request in self.asked:
            states = (
                (request in self.world.queue.queued)
                + (self.attempt_key(request) in self.granted)
                + (self.attempt_key(request) in self.ended)
            )
            assert states == (request not in self.expired), request
        assert sum(self.world.queue.count_queued().values()) == len(self.world.queue.queued)

    @invariant()
    def no_request_waits_longer_than_its_class_allows(self):
        for waiting in self.world.queue.queued.values():
            last = waiting.arrived + waiting.request_class.max_wait_s
            assert waiting.started or self.world.now < last

    @invariant()
    def no_allowed_slot_is_free_while_a_request_waits(self):
        free = set(self.world.queue.loads.free)
        for waiting in self.world.queue.queued.values():
            assert free <= set(waiting.ask.excluded)


QueueMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=60)
TestQueueMachine = QueueMachine.TestCase
