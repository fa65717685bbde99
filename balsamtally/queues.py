"""The queue of one model pool in a failure domain, held by the coordinator of the pool."""

import heapq
import itertools
import random
import time
from collections.abc import Callable, Sequence

from cachetools import TTLCache

from balsamtally.affinity import PrefixHints
from balsamtally.contracts import Customer, Policy, RequestClass
from balsamtally.errors import (
    CapacityError,
    QueueFull,
    QueueTimeout,
    TargetHopeless,
    UnknownClass,
)
from balsamtally.fair_queues import ClassQueue, QueuedRequest
from balsamtally.grants import (
    ENDED_TTL_S,
    GRANT_LEASE_S,
    MAX_ENDED,
    RENEW_EVERY_S,
    GrantTable,
    HeldGrant,
)
from balsamtally.lengths import LengthStatistics
from balsamtally.load import RunnerLoads, RunnerView
from balsamtally.logs import log
from balsamtally.messages import Ask, Grant, Refuse, Release, Renew, Revoke, Withdraw

MAX_QUEUED = 20_000
PREEMPTION_LEAD_S = 0.3
MIN_FIRST_TOKEN_MARGIN_S = 0.1
FIRST_TOKEN_MARGIN_FACTOR = 1.5
MAX_URGENT_COUNTED = 32
# Requests of a class that are tried and skipped, since the free runners may not serve them.
MAX_SKIPPED = 16
# A request is refused if its expected wait exceeds the time until its timeout by this factor.
TIMEOUT_FACTOR = 2.0

__all__ = ["GRANT_LEASE_S", "RENEW_EVERY_S", "PoolQueue", "RunnerView"]


class PoolQueue:
    """The requests that wait for slots of a pool, and the grants in use.

    Tiers have strict priority: a lower tier gets a slot only while no higher tier waits. The
    exception is the share of the slots that each class is guaranteed in the long run. Within a
    class, customers are served by start-time fair queueing. The methods call the callbacks
    synchronously.

    :param pool: name of the model
    :param find_class: returns the request class with a given name
    :param find_customer: returns the customer with a given name
    :param send_grant: sends a grant to an entry VM
    :param send_refuse: sends a refusal to an entry VM
    :param send_revoke: sends a revocation to an entry VM
    :param clock: monotonic clock in seconds
    :param find_policy: returns the policy in force
    :param rng: source of random numbers for the ids of grants
    :param max_queued: largest number of queued requests over all classes
    """

    def __init__(
        self,
        pool: str,
        find_class: Callable[[str], RequestClass | None],
        find_customer: Callable[[str], Customer | None],
        send_grant: Callable[[str, Grant], None],
        send_refuse: Callable[[str, Refuse], None],
        send_revoke: Callable[[str, Revoke], None],
        clock: Callable[[], float] = time.monotonic,
        find_policy: Callable[[], Policy] = Policy,
        rng: random.Random | None = None,
        max_queued: int = MAX_QUEUED,
    ):
        self.pool = pool
        self.find_class = find_class
        self.find_customer = find_customer
        self.send_grant = send_grant
        self.send_refuse = send_refuse
        self.send_revoke = send_revoke
        self.clock = clock
        self.find_policy = find_policy
        self.max_queued = max_queued
        self.sequence = itertools.count(1)
        self.loads = RunnerLoads()
        self.grants = GrantTable(clock, rng)
        self.class_queues: dict[str, ClassQueue] = {}
        self.queued: dict[str, QueuedRequest] = {}
        self.ended_attempts: TTLCache = TTLCache(MAX_ENDED, ENDED_TTL_S, clock)
        self.timeouts: list[tuple[float, int, QueuedRequest]] = []
        self.adopting_until = clock() + GRANT_LEASE_S
        self.balances_updated_at = clock()
        self.lengths = LengthStatistics()
        self.hints = PrefixHints(clock)

    # Events

    def set_runners(self, runners: Sequence[RunnerView]) -> None:
        """Replace the list of runners of the pool and schedule waiting requests.

        :param runners: the runners with their last load reports
        """
        self.loads.set_views(runners, self.clock())
        self.tick()

    def submit(self, sender: str, ask: Ask) -> None:
        """Queue a request. Each attempt ends in one grant, one refusal or its withdrawal.

        A repeated ask for the same attempt gets the same reply again. An attempt whose grant
        expired is queued again instead, since its entry VM never received the grant. A request
        whose answer has started is never refused, since a refusal states that it was not run.

        :param sender: entry VM that asks
        :param ask: the request
        """
        if self._handle_repeated_ask(sender, ask):
            return
        request_class = self.find_class(ask.request_class)
        if request_class is None:
            self._refuse(sender, ask, UnknownClass())
            return
        now = self.clock()
        arrived = now - max(0.0, ask.waited_s)
        target_at = arrived + request_class.first_token_ms / 1000.0
        deadline = target_at - max(
            MIN_FIRST_TOKEN_MARGIN_S, FIRST_TOKEN_MARGIN_FACTOR * self.loads.first_token_s
        )
        waiting = QueuedRequest(
            ask,
            sender,
            request_class,
            arrived,
            target_at,
            deadline,
            overdue=deadline < now,
            started=ask.generated > 0 or ask.preemptions > 0,
        )
        if self._would_time_out(waiting, now):
            self._refuse(sender, ask, TargetHopeless())
            return
        self._enqueue(waiting)
        self.tick()

    def renew(self, sender: str, message: Renew) -> None:
        """Extend the leases of grants, and adopt the grants of another coordinator.

        :param sender: entry VM that holds the grants
        :param message: the ids of the grants
        """
        now = self.clock()
        for name in message.grants:
            held = self.grants.find(name)
            if held is not None:
                self.grants.renew(held)
                continue
            held = self.grants.adopt(sender, name)
            if held is None:
                continue
            if self.find_class(held.request_class) is None:
                held.request_class = ""
            self._count_slot(held, 1, now)
            self.loads.record_adopted(held.runner, now)

    def release(self, sender: str, message: Release) -> None:
        """End a grant and free its slot.

        :param sender: entry VM that held the grant
        :param message: the id of the grant and the outcome of the attempt
        """
        now = self.clock()
        self.grants.end(message.grant)
        held = self.grants.find(message.grant)
        if held is None:
            return
        if held.request is not None:
            self._observe_release(held, message, now)
        self._drop_held(held, now)
        self._end_attempt(held)
        self.tick()

    def withdraw(self, sender: str, message: Withdraw) -> None:
        """Drop a queued request whose caller disconnected, or that waits elsewhere now.

        A later attempt of the request is queued as usual, whatever the order of the messages.

        :param sender: entry VM that asked
        :param message: the id of the request and the attempt
        """
        waiting = self.queued.get(message.request)
        if waiting is not None and waiting.ask.attempt <= message.attempt:
            self._dequeue(waiting)
        attempt, _ = self.ended_attempts.get(message.request, (0, None))
        if attempt < message.attempt:
            self.ended_attempts[message.request] = (message.attempt, None)
        self.tick()

    def drop_sender(self, sender: str) -> None:
        """Drop the queued requests of an entry VM that is no longer live; its grants expire.

        :param sender: name of the entry VM
        """
        dropped = [waiting for waiting in self.queued.values() if waiting.sender == sender]
        for waiting in dropped:
            self._dequeue(waiting)
        self.tick()

    def tick(self) -> None:
        """Run a scheduling pass: expire leases, refuse timed-out requests, grant and preempt."""
        now = self.clock()
        self.loads.refresh(now, learning=now < self.adopting_until)
        self._update_balances(now)
        self._expire_leases(now)
        self._expire_waiting(now)
        for queue in self.class_queues.values():
            queue.mark_overdue(now)
        self._grant_free_slots(now)
        self._preempt(now)

    def count_queued(self) -> dict[str, int]:
        """Return the number of queued requests by class."""
        return {name: len(queue) for name, queue in self.class_queues.items() if len(queue)}

    # Admission

    def _handle_repeated_ask(self, sender: str, ask: Ask) -> bool:
        """Reply to a repeated or outdated ask, and return whether the ask was one.

        An ask for a newer attempt replaces a queued ask of the same request.
        """
        waiting = self.queued.get(ask.request)
        if waiting is not None:
            if ask.attempt <= waiting.ask.attempt:
                return True
            self._dequeue(waiting)
            return False
        held = self.grants.by_request.get(ask.request)
        if held is not None and ask.attempt <= held.message.attempt:
            if ask.attempt == held.message.attempt:
                self.send_grant(sender, held.message)
            return True
        attempt, refusal = self.ended_attempts.get(ask.request, (0, None))
        if ask.attempt > attempt:
            return False
        if refusal is not None and refusal.attempt == ask.attempt:
            self.send_refuse(sender, refusal)
        return True

    def _would_time_out(self, waiting: QueuedRequest, now: float) -> bool:
        """Return whether the expected wait is far longer than the time until the timeout.

        Always false for tier 0, for started requests, and before answer lengths are known.
        """
        request_class = waiting.request_class
        if request_class.tier == 0 or waiting.started or not self.lengths.is_ready():
            return False
        ahead = sum(
            len(queue)
            for queue in self.class_queues.values()
            if queue.request_class.tier <= request_class.tier
        )
        slots = self.loads.slots
        wait_s = self.lengths.estimate_wait_s(ahead, slots)
        if request_class.share > 0.0:
            own = len(self._open_class_queue(request_class))
            guaranteed = request_class.share * slots
            wait_s = min(wait_s, self.lengths.estimate_wait_s(own, guaranteed))
        left_s = waiting.arrived + request_class.max_wait_s - now
        return wait_s > TIMEOUT_FACTOR * left_s

    def _enqueue(self, waiting: QueuedRequest) -> None:
        queue = self._open_class_queue(waiting.request_class)
        queue.add(waiting)
        self.queued[waiting.ask.request] = waiting
        if not waiting.started:
            timeout = waiting.arrived + waiting.request_class.max_wait_s
            heapq.heappush(self.timeouts, (timeout, next(self.sequence), waiting))
        if len(queue) > waiting.request_class.max_queued:
            self._shed(queue)
        elif len(self.queued) > self.max_queued:
            nonempty = [queue for queue in self.class_queues.values() if len(queue)]
            self._shed(
                max(
                    nonempty,
                    key=lambda queue: (queue.request_class.tier, len(queue)),
                )
            )

    def _shed(self, queue: ClassQueue) -> None:
        victim = queue.choose_victim()
        if victim is None:
            return
        self._dequeue(victim)
        self._refuse(victim.sender, victim.ask, QueueFull())

    def _refuse(self, sender: str, ask: Ask, error: CapacityError | UnknownClass) -> None:
        refusal = Refuse(ask.request, ask.attempt, error.report())
        self.ended_attempts[ask.request] = (ask.attempt, refusal)
        log.info(
            "refused",
            pool=self.pool,
            request=ask.request,
            attempt=ask.attempt,
            customer=ask.customer,
            request_class=ask.request_class,
            code=error.code,
            queued=len(self.queued),
        )
        self.send_refuse(sender, refusal)

    def _dequeue(self, waiting: QueuedRequest) -> None:
        waiting.queued = False
        del self.queued[waiting.ask.request]
        self._open_class_queue(waiting.request_class).remove(waiting)

    def _open_class_queue(self, request_class: RequestClass) -> ClassQueue:
        queue = self.class_queues.get(request_class.name)
        if queue is None:
            queue = ClassQueue(request_class, self._find_weight)
            self.class_queues[request_class.name] = queue
        queue.request_class = request_class
        return queue

    def _find_weight(self, name: str) -> float:
        customer = self.find_customer(name)
        return max(customer.weight, 0.01) if customer is not None else 1.0

    # Timers and observations

    def _update_balances(self, now: float) -> None:
        elapsed_s = now - self.balances_updated_at
        if elapsed_s <= 0.0:
            return
        self.balances_updated_at = now
        for queue in self.class_queues.values():
            queue.update_balance(self.loads.slots, elapsed_s)

    def _expire_leases(self, now: float) -> None:
        for held in self.grants.list_expired():
            log.info("grant_expired", pool=self.pool, grant=held.name, sender=held.sender)
            self._drop_held(held, now)

    def _expire_waiting(self, now: float) -> None:
        while self.timeouts and self.timeouts[0][0] <= now:
            _, _, waiting = heapq.heappop(self.timeouts)
            if waiting.queued:
                self._dequeue(waiting)
                self._refuse(waiting.sender, waiting.ask, QueueTimeout())

    def _observe_release(self, held: HeldGrant, message: Release, now: float) -> None:
        held_s = now - held.since
        request = held.request.ask.request
        if message.failed or (message.tokens > 0 and held.revoked_at is None):
            self.loads.observe(held.runner, request, held_s, message, now)
        if message.tokens > 0 and not message.failed and held.revoked_at is None:
            self.lengths.observe(held.request_class, message.tokens, held_s)
            self.loads.mean_held_s = self.lengths.mean_held_s

    # Grants

    def _grant_free_slots(self, now: float) -> None:
        blocked: set[str] = set()
        while self.loads.free:
            queue, guaranteed = self._choose_class_queue(blocked, self._count_urgent(now, 1) > 0)
            if queue is None:
                return
            if not self._grant_next(queue, guaranteed, now):
                blocked.add(queue.request_class.name)

    def _choose_class_queue(
        self, blocked: set[str], urgent: bool
    ) -> tuple[ClassQueue | None, bool]:
        """Return the class to serve next, and whether it gets a guaranteed slot.

        Classes with an earned slot come first, by the balance relative to their share. Otherwise
        the highest tier is served, and within a tier the class with the fewest slots in use
        relative to its share.
        """
        candidates = [
            queue for name, queue in self.class_queues.items() if len(queue) and name not in blocked
        ]
        slots = self.loads.slots
        guaranteed = [queue for queue in candidates if queue.has_earned_slot(slots, urgent)]
        if guaranteed:
            most_owed = max(
                guaranteed,
                key=lambda queue: queue.balance_slot_s / queue.request_class.share,
            )
            return most_owed, True
        highest = min(
            candidates,
            key=lambda queue: (
                queue.request_class.tier,
                queue.in_use / max(queue.request_class.share, 0.001),
            ),
            default=None,
        )
        return highest, False

    def _grant_next(self, queue: ClassQueue, guaranteed: bool, now: float) -> bool:
        """Grant a slot to the first request of a class that a free runner may serve."""
        for waiting in queue.front.values():
            if self._try_grant(waiting, guaranteed, now):
                return True
        skipped = sum(1 for waiting in queue.front.values() if not waiting.started)
        for _ in range(MAX_SKIPPED - skipped):
            waiting = queue.pop()
            if waiting is None:
                return False
            queue.requeue_at_front(waiting)
            if self._try_grant(waiting, guaranteed, now):
                return True
        return False

    def _try_grant(self, waiting: QueuedRequest, guaranteed: bool, now: float) -> bool:
        hints = self.hints.match(waiting.ask.prefix)
        pick = self.loads.pick(waiting.ask, waiting.target_at - now, hints)
        if pick is None:
            return False
        self._dequeue(waiting)
        ask = waiting.ask
        request_class = waiting.request_class
        message = Grant(
            grant=self.grants.make_name(pick.runner, request_class.name),
            request=ask.request,
            attempt=ask.attempt,
            runner=pick.runner,
            candidates=pick.candidates,
            reason=pick.reason,
            expires_s=GRANT_LEASE_S,
        )
        held = HeldGrant(
            name=message.grant,
            runner=pick.runner,
            request_class=request_class.name,
            sender=waiting.sender,
            since=now,
            expires=now + GRANT_LEASE_S,
            request=waiting,
            message=message,
            guaranteed=guaranteed,
        )
        preemptible = (
            request_class.preemptible
            and request_class.tier > 0
            and not guaranteed
            and ask.preemptions < self.find_policy().max_preemptions
        )
        self.grants.add(held, preemptible)
        self.hints.record_grant(pick.runner, ask.prefix)
        self._count_slot(held, 1, now)
        self._log_grant(held, now)
        self.send_grant(waiting.sender, message)
        return True

    def _count_slot(self, held: HeldGrant, change: int, now: float) -> None:
        self.loads.count_slot(held.runner, change, now)
        if not held.request_class:
            return
        queue = self.class_queues.get(held.request_class)
        if queue is None:
            queue = self._open_class_queue(self.find_class(held.request_class))
        queue.in_use += change
        if held.guaranteed:
            queue.in_use_guaranteed += change

    def _drop_held(self, held: HeldGrant, now: float) -> None:
        self.grants.drop(held)
        self._count_slot(held, -1, now)

    def _end_attempt(self, held: HeldGrant) -> None:
        if held.request is None:
            return
        ask = held.request.ask
        attempt, _ = self.ended_attempts.get(ask.request, (0, None))
        if attempt < ask.attempt:
            self.ended_attempts[ask.request] = (ask.attempt, None)

    def _log_grant(self, held: HeldGrant, now: float) -> None:
        ask = held.request.ask
        log.info(
            "granted",
            pool=self.pool,
            request=ask.request,
            attempt=ask.attempt,
            customer=ask.customer,
            request_class=ask.request_class,
            runner=held.runner,
            candidates=held.message.candidates,
            reason=held.message.reason,
            guaranteed=held.guaranteed,
            waited_s=round(now - held.request.arrived, 3),
            queued=len(self.queued),
        )

    # Preemption

    def _count_urgent(self, now: float, most: int) -> int:
        return sum(
            queue.count_urgent(now + PREEMPTION_LEAD_S, most)
            for queue in self.class_queues.values()
            if queue.request_class.tier == 0 and len(queue)
        )

    def _preempt(self, now: float) -> None:
        urgent = self._count_urgent(now, MAX_URGENT_COUNTED)
        missing = urgent - self.grants.count_revoked()
        for held in self.grants.revoke_cheapest(missing):
            log.info(
                "revoked",
                pool=self.pool,
                request=held.request.ask.request,
                grant=held.name,
                runner=held.runner,
                urgent=urgent,
            )
            self.send_revoke(held.sender, Revoke(held.name, held.request.ask.request))
