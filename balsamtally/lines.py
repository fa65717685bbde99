"""Lines of waiting requests: fair between the customers of a class, and between classes."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from balsamtally.contracts import RequestClass
from balsamtally.messages import Ask

CREDIT_S = 30.0
DEBT_S = 10.0
YIELD_S = 5.0
QUANTUM_SLOT_S = 1.0

_sequence = itertools.count()


@dataclass(eq=False)
class Waiting:
    """A queued request.

    :ivar ask: the request
    :ivar sender: entry VM that asked
    :ivar request_class: its request class
    :ivar arrived: when it began to wait, in seconds of the clock
    :ivar target: when its first token is due, in seconds of the clock
    :ivar deadline: latest grant that still meets its target, in seconds of the clock
    :ivar queued: whether it still waits
    :ivar late: whether the deadline has passed
    :ivar started: whether part of the answer has reached the caller
    """

    ask: Ask
    sender: str
    request_class: RequestClass
    arrived: float
    target: float
    deadline: float
    queued: bool = True
    late: bool = False
    started: bool = False


class FairLine:
    """Requests in the order of start-time fair queueing between customers.

    Between two customers that wait throughout, the numbers of requests taken, each divided
    by its customer's weight, differ by at most the sum of the inverse weights.

    :param find_weight: returns the weight of a customer
    """

    def __init__(self, find_weight: Callable[[str], float]):
        self.find_weight = find_weight
        self.queues: dict[str, OrderedDict[str, Waiting]] = {}
        self.heap: list[tuple[float, int, str]] = []
        self.virtual_time = 0.0
        self.size = 0

    def add(self, waiting: Waiting) -> None:
        """Append a request to its customer's queue."""
        customer = waiting.ask.customer
        queue = self.queues.get(customer)
        if queue is None:
            queue = self.queues[customer] = OrderedDict()
            heapq.heappush(self.heap, (self.virtual_time, next(_sequence), customer))
        queue[waiting.ask.request] = waiting
        self.size += 1

    def remove(self, waiting: Waiting) -> None:
        """Remove a request that is in the line."""
        queue = self.queues[waiting.ask.customer]
        del queue[waiting.ask.request]
        self.size -= 1

    def pop(self) -> Waiting | None:
        """Take the next request.

        :return: the request, or ``None`` if the line is empty
        """
        while self.heap:
            start, _, customer = self.heap[0]
            queue = self.queues[customer]
            if not queue:
                heapq.heappop(self.heap)
                del self.queues[customer]
                continue
            _, waiting = queue.popitem(last=False)
            self.size -= 1
            self.virtual_time = start
            finish = start + 1.0 / self.find_weight(customer)
            heapq.heapreplace(self.heap, (finish, next(_sequence), customer))
            return waiting
        return None

    def choose_victim(self) -> Waiting | None:
        """Return the newest request of the customer with the most requests for its weight.

        :return: the request, which stays in the line, or ``None`` if the line is empty
        """
        longest = max(
            (customer for customer, queue in self.queues.items() if queue),
            key=lambda customer: len(self.queues[customer]) / self.find_weight(customer),
            default=None,
        )
        if longest is None:
            return None
        return next(reversed(self.queues[longest].values()))


class ClassLine:
    """The waiting requests of one class in a pool, and what the class is owed.

    Requests whose answer has started are taken first and are never shed. Those that can
    still meet their target are taken before those that are late.
    While the class waits it earns its share of the pool's slots, in slot seconds, and pays
    for the slots that it uses. The balance is kept between a debt of DEBT_S and a credit of
    CREDIT_S seconds of its share.

    :param request_class: the class
    :param find_weight: returns the weight of a customer
    """

    def __init__(self, request_class: RequestClass, find_weight: Callable[[str], float]):
        self.request_class = request_class
        self.on_time = FairLine(find_weight)
        self.late = FairLine(find_weight)
        self.ahead: dict[str, Waiting] = {}
        self.deadlines: list[tuple[float, int, Waiting]] = []
        self.in_use = 0
        self.in_use_owed = 0
        self.balance_slot_s = 0.0

    def __len__(self) -> int:
        return self.on_time.size + self.late.size + len(self.ahead)

    def add(self, waiting: Waiting) -> None:
        """Append a request."""
        if waiting.started:
            self.ahead[waiting.ask.request] = waiting
            return
        if waiting.late:
            self.late.add(waiting)
            return
        self.on_time.add(waiting)
        heapq.heappush(self.deadlines, (waiting.deadline, next(_sequence), waiting))

    def remove(self, waiting: Waiting) -> None:
        """Remove a request that is in the line."""
        if self.ahead.pop(waiting.ask.request, None) is not None:
            return
        line = self.late if waiting.late else self.on_time
        line.remove(waiting)

    def pop(self) -> Waiting | None:
        """Take the next request, or ``None``."""
        return self.on_time.pop() or self.late.pop()

    def set_aside(self, waiting: Waiting) -> None:
        """Keep a request that was taken and that no free runner may serve."""
        self.ahead[waiting.ask.request] = waiting

    def mark_late(self, now: float) -> None:
        """Move the requests whose deadline has passed behind the others."""
        while self.deadlines and self.deadlines[0][0] < now:
            _, _, waiting = heapq.heappop(self.deadlines)
            if not waiting.queued:
                continue
            waiting.late = True
            if waiting.ask.request in self.ahead:
                continue
            self.on_time.remove(waiting)
            self.late.add(waiting)

    def count_urgent(self, before: float, most: int) -> int:
        """Return how many on-time requests have a deadline before a time.

        :param before: the time, in seconds of the clock
        :param most: where to stop counting
        :return: their number
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

    def choose_victim(self) -> Waiting | None:
        """Return the request to shed first: a late one where there is one.

        :return: the request, which stays in the line, or ``None`` if all have started
        """
        return self.late.choose_victim() or self.on_time.choose_victim()

    def settle(self, slots: float, elapsed_s: float) -> None:
        """Bring the balance up to date.

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
        self.balance_slot_s = min(max(balance, -earned * DEBT_S), max(earned * CREDIT_S, 2.0))

    def is_owed(self, slots: float, urgent: bool) -> bool:
        """Return whether the class waits and has earned a slot.

        :param slots: slots of the pool
        :param urgent: whether a tier-0 request is about to miss its target; the class then
            yields for YIELD_S seconds of its share
        """
        needed = QUANTUM_SLOT_S * (1 + self.in_use_owed)
        if urgent:
            needed += self.request_class.share * slots * YIELD_S
        return len(self) > 0 and self.balance_slot_s >= needed
