"""Retry budgets: an outage must not multiply the load."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from cachetools import LRUCache

FLOOR_PER_S = 0.1
MAX_BURST_RETRIES = 10.0
MAX_KEYS = 4096


@dataclass
class Account:
    """Retries that may still be made for one class and pool.

    :ivar saved: retries saved up
    :ivar updated_at: time of the last change
    """

    saved: float
    updated_at: float


class RetryBudget:
    """Retries allowed as a share of the requests, per request class and pool.

    Each first attempt earns ``share`` of a retry. At most ``MAX_BURST_RETRIES`` retries are saved up,
    which a new class and pool begins with, and a small floor per second restores them, so that a
    rare request can be retried as well.
    """

    def __init__(
        self,
        find_share: Callable[[], float],
        floor_per_s: float = FLOOR_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ):
        """
        :param find_share: returns the retries allowed per request
        :param floor_per_s: retries a second that are allowed in any case
        :param clock: monotonic clock
        """
        self._find_share = find_share
        self._floor_per_s = floor_per_s
        self._clock = clock
        self._accounts: LRUCache[tuple[str, str], Account] = LRUCache(MAX_KEYS)

    def record_request(self, request_class: str, pool: str) -> None:
        """Count the first attempt of a request.

        :param request_class: name of the request class
        :param pool: name of the model or plain service
        """
        account = self._update(request_class, pool)
        account.saved = min(MAX_BURST_RETRIES, account.saved + self._find_share())

    def take(self, request_class: str, pool: str) -> bool:
        """Take one retry.

        :param request_class: name of the request class
        :param pool: name of the model or plain service
        :return: whether the retry may be made
        """
        account = self._update(request_class, pool)
        if account.saved < 1.0:
            return False
        account.saved -= 1.0
        return True

    def _update(self, request_class: str, pool: str) -> Account:
        now = self._clock()
        account = self._accounts.get((request_class, pool))
        if account is None:
            account = self._accounts[(request_class, pool)] = Account(MAX_BURST_RETRIES, now)
        passed_s = max(0.0, now - account.updated_at)
        account.saved = min(MAX_BURST_RETRIES, account.saved + passed_s * self._floor_per_s)
        account.updated_at = now
        return account
