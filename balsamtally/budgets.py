"""One entry VM's share of the fleet's retry budget.

The budget limits the load of an outage in which every request fails once. In any window of the
given length, the retries of all entry VMs together stay below a ratio of the requests plus a fixed
allowance.
"""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

# Fraction of the budget that is spent, so that the fleet stays within the budget although entry VMs
# differ in their views of the window and the membership.
SAFETY_FACTOR = 0.7


@dataclass(frozen=True)
class BudgetRule:
    """The fleet's retry budget for each service.

    :ivar ratio: retries allowed per request
    :ivar allowance: additional retries allowed in each window, for all entry VMs together
    :ivar window_s: length of the sliding window in seconds
    """

    ratio: float
    allowance: float
    window_s: float


class FleetBudget:
    """Counts requests and retries by service over a sliding window.

    :param rule: the fleet's budget
    :param count_members: returns how many entry VMs share the allowance, 0 if this VM is isolated
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self,
        rule: BudgetRule,
        count_members: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.rule = rule
        self._count_members = count_members
        self._clock = clock
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, service: str) -> None:
        """Count a caller's request to a service."""
        self._trim(self._requests, service).append(self._clock())

    def take(self, service: str) -> bool:
        """Spend one retry if the budget allows it.

        :param service: name of the service
        :return: whether the retry may be made
        """
        if not self.has_left(service):
            return False
        self._retries[service].append(self._clock())
        return True

    def has_left(self, service: str) -> bool:
        """Return whether the budget allows another retry.

        :param service: name of the service
        """
        return len(self._trim(self._retries, service)) + 1 <= self.find_limit(service)

    def find_limit(self, service: str) -> float:
        """Return how many retries may be made in the current window."""
        requests = len(self._trim(self._requests, service))
        members = self._count_members()
        allowance = self.rule.allowance / members if members else 0.0
        return SAFETY_FACTOR * (self.rule.ratio * requests + allowance)

    def count_left(self, service: str) -> float:
        """Return how many retries are left in the current window."""
        return max(0.0, self.find_limit(service) - len(self._trim(self._retries, service)))

    def _trim(self, counted: dict[str, deque[float]], service: str) -> deque[float]:
        times = counted.setdefault(service, deque())
        oldest = self._clock() - self.rule.window_s
        while times and times[0] < oldest:
            times.popleft()
        return times
