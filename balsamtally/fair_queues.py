"""Fair queues of waiting requests, between the customers of a class and between classes."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from balsamtally.contracts import RequestClass
from balsamtally.messages import Ask
from balsamtally.virtual_times import VirtualTimes

MAX_CREDIT_S = 30.0
MAX_DEBT_S = 10.0
URGENT_YIELD_S = 5.0
SLOT_QUANTUM_S = 1.0

_sequence = itertools.count()


@dataclass(eq=False)
class QueuedRequest:
    """A queued request.

    :ivar ask: the ask of the entry VM
    :ivar sender: entry VM that asked
    :ivar request_class: request class of the request
    :ivar arrived: when the request began to wait, in seconds of the clock
    :ivar target_at: when the first token is due, in seconds of the clock
    :ivar deadline: latest time of a grant that meets the target, in seconds of the clock
    :ivar queued: whether the request still waits
    :ivar overdue: whether the deadline has passed
    :ivar started: whether part of the answer has reached the caller
    """

    ask: Ask
    sender: str
    request_class: RequestClass
    arrived: float
    target_at: float
    deadline: float
    queued: bool = True
    overdue: bool = False
    started: bool = False


class FairQueue:
    """A start-time fair queue of requests between customers.

    While two customers both have queued requests, the numbers of requests popped for them,
    each divided by the customer's weight, differ by at most the sum of the inverse weights.

    :param find_weight: returns the weight of a customer
    """

    def __init__(self, find_weight: Callable[[str], float]):
        self.find_weight = find_weight
        self.queues: dict[str, OrderedDict[str, QueuedRequest]] = {}
        self.heap: list[tuple[float, int, str]] = []
        self.times = VirtualTimes()
        self.size = 0

    def add(self, waiting: QueuedRequest) -> None:
        """Append a request to its customer's queue."""
        customer = waiting.ask.customer
        queue = self.queues.get(customer)
        if queue is None:
            queue = self.queues[customer] = OrderedDict()
            start = self.times.find_start(customer)
            heapq.heappush(self.heap, (start, next(_sequence), customer))
        queue[waiting.ask.request] = waiting
        self.size += 1

    def remove(self, waiting: QueuedRequest) -> None:
        """Remove a queued request."""
        queue = self.queues[waiting.ask.customer]
        del queue[waiting.ask.request]
        self.size -= 1

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request.

        :return: the request, or ``None`` if the queue is empty
        """
        while self.heap:
            start, _, customer = self.heap[0]
            queue = self.queues[customer]
            if not queue:
                heapq.heappop(self.heap)
                del self.queues[customer]
                self.times.forget(customer)
                continue
            _, waiting = queue.popitem(last=False)
            self.size -= 1
            self.times.advance(start)
            finish = self.times.charge(customer, 1.0 / self.find_weight(customer))
            heapq.heapreplace(self.heap, (finish, next(_sequence), customer))
            return waiting
        return None

    def choose_victim(self) -> QueuedRequest | None:
        """Return the newest request of the customer with the most requests per unit of weight.

        :return: the request, which stays queued, or ``None`` if the queue is empty
        """
        longest = max(
            (customer for customer, queue in self.queues.items() if queue),
            key=lambda customer: len(self.queues[customer]) / self.find_weight(customer),
            default=None,
        )
        if longest is None:
            return None
        return next(reversed(self.queues[longest].values()))


class ClassQueue:
    """The waiting requests of one class in a pool, and the class's balance of slot seconds.

    Requests whose answer has started are popped first and are never shed. Requests that can
    still meet their target are popped before overdue requests.
    While requests of the class wait, the class earns its share of the pool's slots, in slot
    seconds, and pays for the slots that it uses. The balance stays between a debt of
    ``MAX_DEBT_S`` and a credit of ``MAX_CREDIT_S`` seconds of the share.

    :param request_class: the class
    :param find_weight: returns the weight of a customer
    """

    def __init__(self, request_class: RequestClass, find_weight: Callable[[str], float]):
        self.request_class = request_class
        self.within_target = FairQueue(find_weight)
        self.overdue = FairQueue(find_weight)
        self.front: dict[str, QueuedRequest] = {}
        self.deadlines: list[tuple[float, int, QueuedRequest]] = []
        self.in_use = 0
        self.in_use_guaranteed = 0
        self.balance_slot_s = 0.0

    def __len__(self) -> int:
        return self.within_target.size + self.overdue.size + len(self.front)

    def add(self, waiting: QueuedRequest) -> None:
        """Append a request to the queue for its state."""
        if waiting.started:
            self.front[waiting.ask.request] = waiting
            return
        if waiting.overdue:
            self.overdue.add(waiting)
            return
        self.within_target.add(waiting)
        heapq.heappush(self.deadlines, (waiting.deadline, next(_sequence), waiting))

    def remove(self, waiting: QueuedRequest) -> None:
        """Remove a queued request."""
        if self.front.pop(waiting.ask.request, None) is not None:
            return
        queue = self.overdue if waiting.overdue else self.within_target
        queue.remove(waiting)

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request that isn't at the front, or ``None``."""
        return self.within_target.pop() or self.overdue.pop()

    def requeue_at_front(self, waiting: QueuedRequest) -> None:
        """Put a popped request at the front, since no free runner may serve it now."""
        self.front[waiting.ask.request] = waiting

    def mark_overdue(self, now: float) -> None:
        """Move requests whose deadline has passed behind the requests that can meet it."""
        while self.deadlines and self.deadlines[0][0] < now:
            _, _, waiting = heapq.heappop(self.deadlines)
            if not waiting.queued:
                continue
            waiting.overdue = True
            if waiting.ask.request in self.front:
                continue
            self.within_target.remove(waiting)
            self.overdue.add(waiting)

    def count_urgent(self, before: float, most: int) -> int:
        """Count the requests that aren't overdue and whose deadline is before a given time.

        :param before: the time, in seconds of the clock
        :param most: number at which counting stops
        :return: the number of requests, at most ``most``
        """
        found = []
        while self.deadlines and len(found) < most:
            if self.deadlines[0][0] >= before:
                break
            item = heapq.heappop(self.deadlines)
            if item[2].queued:
                found.append(item)
        for item in found:
            heapq.heappush(self.deadlines, item)
        return len(found)

    def choose_victim(self) -> QueuedRequest | None:
        """Return the request to shed first, preferring overdue requests.

        :return: the request, which stays queued, or ``None`` if only front requests are queued
        """
        return self.overdue.choose_victim() or self.within_target.choose_victim()

    def update_balance(self, slots: float, elapsed_s: float) -> None:
        """Add the slot seconds earned and subtract those used since the last call.

        :param slots: slots of the pool
        :param elapsed_s: seconds since the last call
        """
        earned = self.request_class.share * slots
        if not len(self):
            self.balance_slot_s = min(self.balance_slot_s, 0.0)
            earned_now = earned if self.balance_slot_s < 0.0 else 0.0
        else:
            earned_now = earned
        balance = self.balance_slot_s + (earned_now - self.in_use) * elapsed_s
        # The credit limit is at least 2 slot seconds, so that a small share can earn a slot.
        self.balance_slot_s = min(
            max(balance, -earned * MAX_DEBT_S), max(earned * MAX_CREDIT_S, 2.0)
        )

    def has_earned_slot(self, slots: float, urgent: bool) -> bool:
        """Return whether requests of the class wait and its balance pays for another slot.

        :param slots: slots of the pool
        :param urgent: whether a tier-0 request is about to miss its target; the class then
            needs ``URGENT_YIELD_S`` seconds of its share in addition
        """
        needed = SLOT_QUANTUM_S * (1 + self.in_use_guaranteed)
        if urgent:
            needed += self.request_class.share * slots * URGENT_YIELD_S
        return len(self) > 0 and self.balance_slot_s >= needed
