"""A pool queue on a virtual clock, shared by the tests of queues."""

import random

from balsamtally.contracts import Customer, RequestClass
from balsamtally.messages import Ask
from balsamtally.queues import GRANT_LEASE_S, PoolQueue, RunnerView

CLASSES = {
    "live": RequestClass("live", 0, 1400.0, share=0.3, max_wait_s=20.0, max_queued=6),
    "desk": RequestClass("desk", 1, 4000.0, share=0.1, max_wait_s=30.0, max_queued=6),
    "batch": RequestClass(
        "batch", 3, 60000.0, share=0.1, max_wait_s=90.0, max_queued=6, preemptible=True
    ),
}
WEIGHTS = {"ana": 1.0, "rupa": 2.0, "tito": 0.5}


class World:
    """A pool queue on a virtual clock, with the messages that it sent."""

    def __init__(self, runners=(("a", 2), ("b", 3)), classes=CLASSES, seed=7, **options):
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
            rng=random.Random(seed),
            **options,
        )
        self.queue.set_runners(self.runners)

    def ask(self, request, name="live", customer="ana", vm="vm1", attempt=1, **fields):
        self.queue.submit(vm, Ask(request, attempt, "m", customer, name, **fields))

    def advance(self, seconds):
        self.now += seconds
        self.queue.tick()

    def expire_adoption_period(self):
        """Advance past the period in which grants of an earlier coordinator may be unknown."""
        self.advance(GRANT_LEASE_S + 0.1)

    def pop_sent(self, kind):
        found = [message for _, message in self.sent if type(message).__name__ == kind]
        self.sent = [item for item in self.sent if type(item[1]).__name__ != kind]
        return found
