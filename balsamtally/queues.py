"""The queue of a pool in one failure domain, held by its coordinator."""

import heapq
import itertools
import math
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
from balsamtally.grants import (
    GRANT_LEASE_S,
    MAX_REMEMBERED,
    MEMORY_S,
    RENEW_EVERY_S,
    GrantTable,
    HeldGrant,
)
from balsamtally.lengths import LengthStatistics
from balsamtally.lines import ClassLine, Waiting
from balsamtally.load import RunnerLoads, RunnerView
from balsamtally.logs import log
from balsamtally.messages import Ask, Grant, Refuse, Release, Renew, Revoke, Withdraw

MAX_QUEUED = 20_000
PREEMPT_LEAD_S = 0.3
START_MARGIN_S = 0.1
START_FACTOR = 1.5
MAX_URGENT = 32
MAX_SET_ASIDE = 16
HOPELESS_FACTOR = 2.0

__all__ = ["GRANT_LEASE_S", "RENEW_EVERY_S", "PoolQueue", "RunnerView"]


class PoolQueue:
    """The requests that wait for a pool, and the grants in use.

    Tiers are strict: a lower tier gets a slot only if no higher one waits, but for the share
    that is guaranteed to each class in the long run. Within a class customers are served by
    start-time fair queueing. The callbacks are called straight from the methods.

    :param pool: name of the model
    :param find_class: returns the request class of a name
    :param find_customer: returns the customer of a name
    :param grant: sends a grant to an entry VM
    :param refuse: sends a refusal to an entry VM
    :param revoke: sends a revocation to an entry VM
    :param clock: returns seconds that never go back
    :param find_policy: returns the policy in force
    :param rng: source of random numbers, for the ids of grants
    :param max_queued: most requests queued, over all classes
    """

    def __init__(
        self,
        pool: str,
        find_class: Callable[[str], RequestClass | None],
        find_customer: Callable[[str], Customer | None],
        grant: Callable[[str, Grant], None],
        refuse: Callable[[str, Refuse], None],
        revoke: Callable[[str, Revoke], None],
        clock: Callable[[], float] = time.monotonic,
        find_policy: Callable[[], Policy] = Policy,
        rng: random.Random | None = None,
        max_queued: int = MAX_QUEUED,
    ):
        self.pool = pool
        self.find_class = find_class
        self.find_customer = find_customer
        self.send_grant = grant
        self.send_refuse = refuse
        self.send_revoke = revoke
        self.clock = clock
        self.find_policy = find_policy
        self.max_queued = max_queued
        self.numbers = itertools.count(1)
        self.loads = RunnerLoads()
        self.grants = GrantTable(clock, rng)
        self.lines: dict[str, ClassLine] = {}
        self.queued: dict[str, Waiting] = {}
        self.ended: TTLCache = TTLCache(MAX_REMEMBERED, MEMORY_S, clock)
        self.timeouts: list[tuple[float, int, Waiting]] = []
        self.learning_until = clock() + GRANT_LEASE_S
        self.settled_at = clock()
        self.lengths = LengthStatistics()
        self.hints = PrefixHints(clock)

    # Events

    def set_runners(self, runners: Sequence[RunnerView]) -> None:
        """Replace what is known of the runners of the pool.

        :param runners: the runners with their last reports
        """
        self.loads.set_views(runners, self.clock())
        self.tick()

    def submit(self, sender: str, ask: Ask) -> None:
        """Queue a request; it ends in one grant, one refusal, or its withdrawal.

        The same attempt asked again gets the same answer again, but for one whose grant
        expired: its entry VM never got the grant, and it is queued again. A request whose
        answer has started is never refused, since it could not be told that it was not run.

        :param sender: entry VM that asks
        :param ask: the request
        """
        if self._repeat_answer(sender, ask):
            return
        request_class = self.find_class(ask.request_class)
        if request_class is None:
            self._refuse(sender, ask, UnknownClass())
            return
        now = self.clock()
        arrived = now - max(0.0, ask.waited_s)
        target = arrived + request_class.first_token_ms / 1000.0
        deadline = target - max(START_MARGIN_S, START_FACTOR * self.loads.first_token_s)
        waiting = Waiting(
            ask,
            sender,
            request_class,
            arrived,
            target,
            deadline,
            late=deadline < now,
            started=ask.generated > 0 or ask.preemptions > 0,
        )
        if self._is_hopeless(waiting, now):
            self._refuse(sender, ask, TargetHopeless())
            return
        self._enqueue(waiting)
        self.tick()

    def renew(self, sender: str, message: Renew) -> None:
        """Extend leases; a grant that is not known here is counted from now on.

        :param sender: entry VM that holds the grants
        :param message: the grants
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
            self.loads.note_adopted(held.runner, now)

    def release(self, sender: str, message: Release) -> None:
        """Take a slot back.

        :param sender: entry VM that held the grant
        :param message: the grant and how it went
        """
        now = self.clock()
        self.grants.end(message.grant)
        held = self.grants.find(message.grant)
        if held is None:
            return
        if held.waiting is not None:
            self._learn(held, message, now)
        self._drop_held(held, now)
        self._end_attempt(held)
        self.tick()

    def withdraw(self, sender: str, message: Withdraw) -> None:
        """Drop a queued request whose caller left.

        :param sender: entry VM that asked
        :param message: the request
        """
        waiting = self.queued.get(message.request)
        if waiting is not None:
            self._dequeue(waiting)
        self.ended[message.request] = (math.inf, None)
        self.tick()

    def drop_sender(self, sender: str) -> None:
        """Drop the queued requests of an entry VM that is gone; its grants expire.

        :param sender: name of the entry VM
        """
        gone = [waiting for waiting in self.queued.values() if waiting.sender == sender]
        for waiting in gone:
            self._dequeue(waiting)
        self.tick()

    def tick(self) -> None:
        """Do what is due: expire, refuse, grant and preempt."""
        now = self.clock()
        self.loads.refresh(now, learning=now < self.learning_until)
        self._settle(now)
        self._expire_leases(now)
        self._expire_waiting(now)
        for line in self.lines.values():
            line.mark_late(now)
        self._grant_free_slots(now)
        self._preempt(now)

    def count_queued(self) -> dict[str, int]:
        """Return the number of queued requests by class."""
        return {name: len(line) for name, line in self.lines.items() if len(line)}

    # Admission

    def _repeat_answer(self, sender: str, ask: Ask) -> bool:
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
        attempt, refusal = self.ended.get(ask.request, (0, None))
        if ask.attempt > attempt:
            return False
        if refusal is not None and refusal.attempt == ask.attempt:
            self.send_refuse(sender, refusal)
        return True

    def _is_hopeless(self, waiting: Waiting, now: float) -> bool:
        request_class = waiting.request_class
        if request_class.tier == 0 or waiting.started or not self.lengths.is_ready():
            return False
        ahead = sum(
            len(line)
            for line in self.lines.values()
            if line.request_class.tier <= request_class.tier
        )
        slots = self.loads.slots
        wait_s = self.lengths.estimate_wait_s(ahead, slots)
        if request_class.share > 0.0:
            own = len(self._find_line(request_class))
            guaranteed = request_class.share * slots
            wait_s = min(wait_s, self.lengths.estimate_wait_s(own, guaranteed))
        left_s = waiting.arrived + request_class.max_wait_s - now
        return wait_s > HOPELESS_FACTOR * left_s

    def _enqueue(self, waiting: Waiting) -> None:
        line = self._find_line(waiting.request_class)
        line.add(waiting)
        self.queued[waiting.ask.request] = waiting
        if not waiting.started:
            timeout = waiting.arrived + waiting.request_class.max_wait_s
            heapq.heappush(self.timeouts, (timeout, next(self.numbers), waiting))
        if len(line) > waiting.request_class.max_queued:
            self._shed(line)
        elif len(self.queued) > self.max_queued:
            lines = [line for line in self.lines.values() if len(line)]
            self._shed(max(lines, key=lambda line: (line.request_class.tier, len(line))))

    def _shed(self, line: ClassLine) -> None:
        victim = line.choose_victim()
        if victim is None:
            return
        self._dequeue(victim)
        self._refuse(victim.sender, victim.ask, QueueFull())

    def _refuse(self, sender: str, ask: Ask, error: CapacityError | UnknownClass) -> None:
        refusal = Refuse(ask.request, ask.attempt, error.report())
        self.ended[ask.request] = (ask.attempt, refusal)
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

    def _dequeue(self, waiting: Waiting) -> None:
        waiting.queued = False
        del self.queued[waiting.ask.request]
        self._find_line(waiting.request_class).remove(waiting)

    def _find_line(self, request_class: RequestClass) -> ClassLine:
        line = self.lines.get(request_class.name)
        if line is None:
            line = ClassLine(request_class, self._find_weight)
            self.lines[request_class.name] = line
        line.request_class = request_class
        return line

    def _find_weight(self, name: str) -> float:
        customer = self.find_customer(name)
        return max(customer.weight, 0.01) if customer is not None else 1.0

    # Time

    def _settle(self, now: float) -> None:
        elapsed_s = now - self.settled_at
        if elapsed_s <= 0.0:
            return
        self.settled_at = now
        for line in self.lines.values():
            line.settle(self.loads.slots, elapsed_s)

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

    def _learn(self, held: HeldGrant, message: Release, now: float) -> None:
        held_s = now - held.since
        request = held.waiting.ask.request
        if message.failed or (message.tokens > 0 and held.revoked_at is None):
            self.loads.observe(held.runner, request, held_s, message, now)
        if message.tokens > 0 and not message.failed and held.revoked_at is None:
            self.lengths.observe(held.request_class, message.tokens, held_s)
            self.loads.mean_held_s = self.lengths.mean_held_s

    # Grants

    def _grant_free_slots(self, now: float) -> None:
        blocked: set[str] = set()
        while self.loads.free:
            line, owed = self._choose_line(blocked, self._count_urgent(now, 1) > 0)
            if line is None:
                return
            if not self._grant_next(line, owed, now):
                blocked.add(line.request_class.name)

    def _choose_line(self, blocked: set[str], urgent: bool) -> tuple[ClassLine | None, bool]:
        waiting = [line for name, line in self.lines.items() if len(line) and name not in blocked]
        slots = self.loads.slots
        owed = [line for line in waiting if line.is_owed(slots, urgent)]
        if owed:
            longest = max(owed, key=lambda line: line.balance_slot_s / line.request_class.share)
            return longest, True
        highest = min(
            waiting,
            key=lambda line: (
                line.request_class.tier,
                line.in_use / max(line.request_class.share, 0.001),
            ),
            default=None,
        )
        return highest, False

    def _grant_next(self, line: ClassLine, owed: bool, now: float) -> bool:
        for waiting in line.ahead.values():
            if self._place(waiting, owed, now):
                return True
        set_aside = sum(1 for waiting in line.ahead.values() if not waiting.started)
        for _ in range(MAX_SET_ASIDE - set_aside):
            waiting = line.pop()
            if waiting is None:
                return False
            line.set_aside(waiting)
            if self._place(waiting, owed, now):
                return True
        return False

    def _place(self, waiting: Waiting, owed: bool, now: float) -> bool:
        hints = self.hints.match(waiting.ask.prefix)
        pick = self.loads.pick(waiting.ask, waiting.target - now, hints)
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
            waiting=waiting,
            message=message,
            owed=owed,
        )
        preemptible = (
            request_class.preemptible
            and request_class.tier > 0
            and not owed
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
        line = self.lines.get(held.request_class)
        if line is None:
            line = self._find_line(self.find_class(held.request_class))
        line.in_use += change
        if held.owed:
            line.in_use_owed += change

    def _drop_held(self, held: HeldGrant, now: float) -> None:
        self.grants.drop(held)
        self._count_slot(held, -1, now)

    def _end_attempt(self, held: HeldGrant) -> None:
        if held.waiting is None:
            return
        ask = held.waiting.ask
        attempt, _ = self.ended.get(ask.request, (0, None))
        if attempt < ask.attempt:
            self.ended[ask.request] = (ask.attempt, None)

    def _log_grant(self, held: HeldGrant, now: float) -> None:
        ask = held.waiting.ask
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
            guaranteed=held.owed,
            waited_s=round(now - held.waiting.arrived, 3),
            queued=len(self.queued),
        )

    # Preemption

    def _count_urgent(self, now: float, most: int) -> int:
        return sum(
            line.count_urgent(now + PREEMPT_LEAD_S, most)
            for line in self.lines.values()
            if line.request_class.tier == 0 and len(line)
        )

    def _preempt(self, now: float) -> None:
        urgent = self._count_urgent(now, MAX_URGENT)
        wanted = urgent - self.grants.count_revoked()
        for held in self.grants.revoke_cheapest(wanted):
            log.info(
                "revoked",
                pool=self.pool,
                request=held.waiting.ask.request,
                grant=held.name,
                runner=held.runner,
                urgent=urgent,
            )
            self.send_revoke(held.sender, Revoke(held.name, held.waiting.ask.request))
