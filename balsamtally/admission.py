"""Admission control of an entry VM by requests in flight and memory, per priority tier."""

import contextlib
from collections import Counter
from collections.abc import Iterator

from balsamtally.errors import TooManyRequests

SERVICE_TIER = 0


class Admission:
    """Limits the requests in flight and the bytes of their bodies.

    Only requests of the same or a higher tier count against a request, so that a burst of a lower
    tier can't cause its refusal. With n tiers, at most n times the limits are in flight.

    :param max_requests: largest number of requests in flight of a tier and the higher tiers
    :param max_bytes: largest total size of the bodies of a tier and the higher tiers, in bytes
    """

    def __init__(self, max_requests: int, max_bytes: int):
        self.max_requests = max_requests
        self.max_bytes = max_bytes
        self.requests: Counter[int] = Counter()
        self.bytes: Counter[int] = Counter()

    @property
    def in_flight(self) -> int:
        """Number of requests in flight over all tiers."""
        return self.requests.total()

    @contextlib.contextmanager
    def hold(self, tier: int, body_bytes: int) -> Iterator[None]:
        """Admit a request and count it as in flight within the context.

        :param tier: priority tier of the request, 0 is the highest
        :param body_bytes: size of the body in bytes
        :raises TooManyRequests: if the limits of the tier and the higher tiers are reached
        """
        if sum_up_to(self.requests, tier) >= self.max_requests:
            raise TooManyRequests(
                f"{self.max_requests} requests of this or a higher tier are in flight"
            )
        if sum_up_to(self.bytes, tier) + body_bytes > self.max_bytes:
            raise TooManyRequests(
                "request bodies of this or a higher tier use all the memory reserved for bodies"
            )
        self.requests[tier] += 1
        self.bytes[tier] += body_bytes
        try:
            yield
        finally:
            self.requests[tier] -= 1
            self.bytes[tier] -= body_bytes


def sum_up_to(counts: Counter[int], tier: int) -> int:
    """Return the sum of the counts of a tier and the higher tiers.

    :param counts: count by tier
    :param tier: lowest priority tier to include
    """
    return sum(count for counted_tier, count in counts.items() if counted_tier <= tier)
