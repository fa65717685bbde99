"""Admission of requests to an entry VM's memory, by priority tier."""

import contextlib
from collections import Counter
from collections.abc import Iterator

from balsamtally.errors import TooManyRequests

SERVICE_TIER = 0


class Admission:
    """Counts the requests in flight and the bytes of their bodies.

    A request is refused only for requests of its own or a higher tier, so that no burst of a
    lower tier keeps it out. With n tiers at most n times the limits are held.

    :param max_requests: most requests in flight of a tier and those above it
    :param max_bytes: most bytes of bodies of a tier and those above it
    """

    def __init__(self, max_requests: int, max_bytes: int):
        self.max_requests = max_requests
        self.max_bytes = max_bytes
        self.requests: Counter[int] = Counter()
        self.bytes: Counter[int] = Counter()

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self.requests.total()

    @contextlib.contextmanager
    def hold(self, tier: int, body_bytes: int) -> Iterator[None]:
        """Count a request in flight.

        :param tier: its priority tier, 0 is the highest
        :param body_bytes: size of its body
        :raises TooManyRequests: if its own and the higher tiers hold too much
        """
        if sum_up_to(self.requests, tier) >= self.max_requests:
            raise TooManyRequests(f"{self.max_requests} requests of this or a higher tier are held")
        if sum_up_to(self.bytes, tier) + body_bytes > self.max_bytes:
            raise TooManyRequests("the bodies of requests take all memory set aside for them")
        self.requests[tier] += 1
        self.bytes[tier] += body_bytes
        try:
            yield
        finally:
            self.requests[tier] -= 1
            self.bytes[tier] -= body_bytes


def sum_up_to(counts: Counter[int], tier: int) -> int:
    """Return the sum of the counts of a tier and the higher ones.

    :param counts: count by tier
    :param tier: the lowest tier counted
    """
    return sum(count for held, count in counts.items() if held <= tier)
