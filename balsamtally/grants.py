"""The grants in use of a pool and their leases, as held by the pool's coordinator."""

import heapq
import itertools
import random
from dataclasses import dataclass

from cachetools import TTLCache

from balsamtally.fair_queues import QueuedRequest
from balsamtally.messages import Grant

GRANT_LEASE_S = 6.0
RENEW_EVERY_S = 2.0
REVOCATION_TIMEOUT_S = 1.0
ENDED_TTL_S = 120.0
MAX_ENDED = 20_000
MAX_CANDIDATES = 64
ASSUMED_TOKENS_PER_S = 30.0
"""Assumed decode speed. Only used to compare amounts of work, so the exact rate matters little."""


@dataclass(eq=False)
class HeldGrant:
    """A grant in use.

    :ivar name: id of the grant
    :ivar runner: name of the runner
    :ivar request_class: name of the request class, empty if the class is unknown
    :ivar sender: entry VM that holds the grant
    :ivar since: when the grant was made or adopted, in seconds of the clock
    :ivar expires: when the lease ends, in seconds of the clock
    :ivar request: the granted request, ``None`` for a grant of another coordinator
    :ivar message: the grant as it was sent, ``None`` for a grant of another coordinator
    :ivar guaranteed: whether the grant counts towards the guaranteed share of the class
    :ivar revoked_at: when the grant was revoked, in seconds of the clock, or ``None``
    """

    name: str
    runner: str
    request_class: str
    sender: str
    since: float
    expires: float
    request: QueuedRequest | None = None
    message: Grant | None = None
    guaranteed: bool = False
    revoked_at: float | None = None

    def estimate_wasted_tokens(self, now: float) -> float:
        """Estimate the tokens that a runner must compute again if the grant is revoked.

        :param now: seconds of the clock
        """
        ask = self.request.ask
        return ask.prompt_tokens + ask.generated + (now - self.since) * ASSUMED_TOKENS_PER_S


class GrantTable:
    """The grants in use of a pool, with their leases.

    The id of a grant contains its runner and class, so that another coordinator can count the
    grant from a renewal alone.

    :param clock: monotonic clock in seconds
    :param rng: source of the random epoch that makes the ids of this coordinator unique
    """

    def __init__(self, clock, rng: random.Random | None = None):
        self.clock = clock
        self.epoch = f"{(rng or random.SystemRandom()).getrandbits(48):x}"
        self.sequence = itertools.count(1)
        self.held: dict[str, HeldGrant] = {}
        self.by_request: dict[str, HeldGrant] = {}
        self.preemptible: dict[str, HeldGrant] = {}
        self.revoked: dict[str, HeldGrant] = {}
        self.leases: list[tuple[float, int, HeldGrant]] = []
        self.ended: TTLCache = TTLCache(MAX_ENDED, ENDED_TTL_S, clock)

    def __len__(self) -> int:
        return len(self.held)

    def find(self, name: str) -> HeldGrant | None:
        """Return the grant with an id, or ``None`` if it isn't in use."""
        return self.held.get(name)

    def make_name(self, runner: str, request_class: str) -> str:
        """Return the id of a new grant.

        :param runner: name of the runner
        :param request_class: name of the class
        """
        return f"{self.epoch}.{next(self.sequence)}|{request_class}|{runner}"

    def add(self, held: HeldGrant, preemptible: bool) -> None:
        """Add a new grant.

        :param held: the grant
        :param preemptible: whether the grant may be revoked
        """
        self.held[held.name] = held
        self._schedule(held)
        if held.request is not None:
            self.by_request[held.request.ask.request] = held
        if preemptible:
            self.preemptible[held.name] = held

    def adopt(self, sender: str, name: str) -> HeldGrant | None:
        """Add a grant that another coordinator made.

        :param sender: entry VM that holds the grant
        :param name: id of the grant
        :return: the grant, or ``None`` if it has ended or the id names no runner
        """
        _, _, rest = name.partition("|")
        request_class, _, runner = rest.partition("|")
        if name in self.ended or not runner:
            return None
        now = self.clock()
        held = HeldGrant(name, runner, request_class, sender, now, now + GRANT_LEASE_S)
        self.add(held, preemptible=False)
        return held

    def renew(self, held: HeldGrant) -> None:
        """Extend the lease of a grant."""
        held.expires = self.clock() + GRANT_LEASE_S

    def drop(self, held: HeldGrant) -> None:
        """Remove a grant."""
        del self.held[held.name]
        self.preemptible.pop(held.name, None)
        self.revoked.pop(held.name, None)
        if held.request is None:
            return
        request = held.request.ask.request
        if self.by_request.get(request) is held:
            del self.by_request[request]

    def end(self, name: str) -> None:
        """Record that a grant was released, so that a delayed renewal doesn't adopt it again."""
        self.ended[name] = True

    def list_expired(self) -> list[HeldGrant]:
        """Return the grants whose lease has expired; the caller must drop them."""
        now = self.clock()
        expired = []
        while self.leases and self.leases[0][0] <= now:
            _, _, held = heapq.heappop(self.leases)
            if self.held.get(held.name) is not held:
                continue
            if held.expires <= now:
                expired.append(held)
            else:
                self._schedule(held)
        return expired

    def revoke_cheapest(self, count: int) -> list[HeldGrant]:
        """Mark the preemptible grants with the least work to repeat as revoked.

        Only the newest ``MAX_CANDIDATES`` grants are considered, since older grants have
        generated more.

        :param count: largest number of grants to revoke
        :return: the revoked grants
        """
        if count <= 0:
            return []
        now = self.clock()
        newest = itertools.islice(reversed(self.preemptible.values()), MAX_CANDIDATES)
        cheapest = heapq.nsmallest(count, newest, key=lambda held: held.estimate_wasted_tokens(now))
        for held in cheapest:
            del self.preemptible[held.name]
            held.revoked_at = now
            self.revoked[held.name] = held
        return cheapest

    def count_revoked(self) -> int:
        """Count the revoked grants that are expected to be released soon.

        A grant isn't counted for longer than ``REVOCATION_TIMEOUT_S``, so that an entry VM
        that doesn't respond to a revocation doesn't hold up the next one.
        """
        oldest = self.clock() - REVOCATION_TIMEOUT_S
        return sum(1 for held in self.revoked.values() if held.revoked_at >= oldest)

    def _schedule(self, held: HeldGrant) -> None:
        heapq.heappush(self.leases, (held.expires, next(self.sequence), held))
