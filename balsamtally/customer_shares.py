"""Fairness between the customers whose calls wait, by the work that they were given lately.

Load pattern: a customer sends 7.5 times its usual load beside others that send as usual.

Calls of one urgency and the same lateness class are ordered by start-time fair queueing: a call's
start tag is the work that its customer was given, plus the work of the customer's calls before it.
The calls of one customer keep their order. The state is that of one coordinator, is never sent,
and is forgotten within seconds: a coordinator that has just started treats all customers alike.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence

from balsamtally.demands import Demand
from balsamtally.virtual_times import VirtualTimes
from balsamtally.waiting import Waiter, find_effective_target_s, sort_waiters, will_miss_target

# Time constant with which the work that a customer was given counts less. An unused share is to be
# used by others within a second, and to be back as soon as its customer returns.
FORGET_S = 1.0
# Leads are reduced at most this often, since each time costs a step for each customer.
FORGET_INTERVAL_S = 0.05
# Smaller leads are dropped; a call has hundreds of tokens.
LEAST_LEAD_TOKENS = 1.0


class CustomerShares:
    """The work that customers were given lately, by queue of a service and urgency."""

    def __init__(self):
        self._times: dict[tuple[str, int], VirtualTimes] = defaultdict(VirtualTimes)
        self._forgotten_s: dict[tuple[str, int], float] = {}

    def record_placement(
        self, service: str, urgency: int, customer: str, tokens: int, now_s: float
    ) -> None:
        """Charge a customer for a call that was given a backend server.

        :param service: name of the service
        :param urgency: rank of the call among all calls
        :param customer: name of the customer, empty on a public route
        :param tokens: prompt tokens not cached and expected answer tokens
        :param now_s: monotonic clock in seconds
        """
        if tokens > 0:
            self._forget_old((service, urgency), now_s).charge(customer, tokens)

    def sort(self, service: str, waiters: Sequence[Waiter], now_s: float) -> list[Waiter]:
        """Return the waiting calls of a service in the order in which they are placed.

        :param service: name of the service
        :param waiters: the calls
        :param now_s: monotonic clock in seconds
        """
        ranked = sort_waiters(waiters, now_s)
        by_urgency: dict[int, list[Waiter]] = {}
        for waiter in ranked:
            by_urgency.setdefault(waiter.urgency, []).append(waiter)
        ordered: list[Waiter] = []
        for urgency, group in by_urgency.items():
            customers = {waiter.customer for waiter in group}
            times = self._forget_old((service, urgency), now_s)
            starts = times.copy_starts(customers)
            times.advance(min(starts.values()))
            ordered += interleave(group, starts, now_s) if len(customers) > 1 else group
        return ordered

    def find_lead_of(self, demand: Demand) -> int:
        """Return the work that a call's customer was given beyond the least served that waits.

        :param demand: requirements of the call
        :return: the work in tokens
        """
        return self.find_lead(demand.service, demand.urgency, demand.customer)

    def find_lead(self, service: str, urgency: int, customer: str) -> int:
        """Return the work that a customer was given beyond the least served one that waits.

        :param service: name of the service
        :param urgency: rank of its calls among all calls
        :param customer: name of the customer
        :return: the work in tokens
        """
        times = self._times[service, urgency]
        return round(times.find_start(customer) - times.now)

    def _forget_old(self, queue: tuple[str, int], now_s: float) -> VirtualTimes:
        times = self._times[queue]
        elapsed_s = now_s - self._forgotten_s.setdefault(queue, now_s)
        if elapsed_s >= FORGET_INTERVAL_S:
            times.shrink_leads(math.exp(-elapsed_s / FORGET_S), LEAST_LEAD_TOKENS)
            self._forgotten_s[queue] = now_s
        return times


def interleave(waiters: Iterable[Waiter], starts: dict[str, float], now_s: float) -> list[Waiter]:
    """Return the waiting calls of one urgency in fair order.

    Start tags are compared in units of the largest call, so that customers whose shares differ by
    less than one call keep the order of their targets.

    :param waiters: the calls, each customer's in the order in which they are placed
    :param starts: start tag of each customer's next call
    :param now_s: monotonic clock in seconds
    """
    waiters = list(waiters)
    unit = max(waiter.work_tokens for waiter in waiters)
    if not unit:
        return waiters
    base = min(starts.values())
    next_starts = dict(starts)
    ranks: list[tuple[bool, int, float]] = []
    for waiter in waiters:
        start = next_starts[waiter.customer]
        next_starts[waiter.customer] = start + waiter.work_tokens
        late = will_miss_target(waiter, now_s)
        ranks.append((late, int((start - base) / unit), find_effective_target_s(waiter)))
    order = sorted(range(len(waiters)), key=ranks.__getitem__)
    return [waiters[index] for index in order]
