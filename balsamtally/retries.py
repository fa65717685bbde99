"""Retry budgets, which keep retries from multiplying the load during an outage."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from cachetools import LRUCache

MIN_RETRIES_PER_S = 0.1
MAX_BURST_RETRIES = 10.0
MAX_KEYS = 4096


@dataclass
class RetryBucket:
    """A token bucket of retries for one class and pool.

    :ivar retries: retries that may be made now
    :ivar updated_at: time of the last refill, in seconds of the clock
    """

    retries: float
    updated_at: float


class RetryBudget:
    """Token buckets that allow retries as a share of the requests, per request class and pool.

    Each first attempt adds the allowed share of a retry. A bucket starts full and holds at most
    ``MAX_BURST_RETRIES`` retries. It also refills at a low rate, so that infrequent requests can be
    retried too.
    """

    def __init__(
        self,
        find_share: Callable[[], float],
        min_retries_per_s: float = MIN_RETRIES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ):
        """
        :param find_share: returns the retries allowed per request
        :param min_retries_per_s: retries per second that are allowed regardless of the requests
        :param clock: monotonic clock in seconds
        """
        self._find_share = find_share
        self._refill_per_s = min_retries_per_s
        self._clock = clock
        self._buckets: LRUCache[tuple[str, str], RetryBucket] = LRUCache(MAX_KEYS)

    def record_request(self, request_class: str, pool: str) -> None:
        """Count the first attempt of a request.

        :param request_class: name of the request class
        :param pool: name of the model or plain service
        """
        bucket = self._update(request_class, pool)
        bucket.retries = min(MAX_BURST_RETRIES, bucket.retries + self._find_share())

    def take(self, request_class: str, pool: str) -> bool:
        """Spend one retry if the budget allows it.

        :param request_class: name of the request class
        :param pool: name of the model or plain service
        :return: whether the retry may be made
        """
        bucket = self._update(request_class, pool)
        if bucket.retries < 1.0:
            return False
        bucket.retries -= 1.0
        return True

    def _update(self, request_class: str, pool: str) -> RetryBucket:
        now = self._clock()
        bucket = self._buckets.get((request_class, pool))
        if bucket is None:
            bucket = self._buckets[(request_class, pool)] = RetryBucket(MAX_BURST_RETRIES, now)
        elapsed_s = max(0.0, now - bucket.updated_at)
        bucket.retries = min(MAX_BURST_RETRIES, bucket.retries + elapsed_s * self._refill_per_s)
        bucket.updated_at = now
        return bucket
