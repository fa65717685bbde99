"""The grants in use, as a pool's coordinator knows them."""

import heapq
import itertools
import random
from dataclasses import dataclass

from cachetools import TTLCache

from balsamtally.lines import Waiting
from balsamtally.messages import Grant

GRANT_LEASE_S = 6.0
RENEW_EVERY_S = 2.0
REVOKE_S = 1.0
MEMORY_S = 120.0
MAX_REMEMBERED = 20_000
MAX_CANDIDATES = 64
TOKENS_PER_S = 30.0
"""Assumed speed of an answer, where only the order of two amounts of work counts."""


@dataclass(eq=False)
class HeldGrant:
    """A grant in use.

    :ivar name: id of the grant
    :ivar runner: name of the runner
    :ivar request_class: name of the class
    :ivar sender: entry VM that holds it
    :ivar since: when it was granted or first heard of, in seconds of the clock
    :ivar expires: when its lease ends, in seconds of the clock
    :ivar waiting: the request, ``None`` for a grant of another coordinator
    :ivar message: the grant as it was sent, ``None`` for a grant of another coordinator
    :ivar owed: whether it was made for the guaranteed share of its class
    :ivar revoked_at: when it was revoked, in seconds of the clock, ``None`` if it wasn't
    """

    name: str
    runner: str
    request_class: str
    sender: str
    since: float
    expires: float
    waiting: Waiting | None = None
    message: Grant | None = None
    owed: bool = False
    revoked_at: float | None = None

    def estimate_waste(self, now: float) -> float:
        """Return the tokens that a runner computes again if the grant is revoked.

        :param now: seconds of the clock
        """
        ask = self.waiting.ask
        return ask.prompt_tokens + ask.generated + (now - self.since) * TOKENS_PER_S


class GrantTable:
    """The grants in use of a pool, with their leases.

    The id of a grant names its runner and class, so that another coordinator, which hears of
    it by a renewal alone, can count it.

    :param clock: returns seconds that never go back
    :param rng: source of random numbers, which sets the ids of this coordinator apart
    """

    def __init__(self, clock, rng: random.Random | None = None):
        self.clock = clock
        self.epoch = f"{(rng or random.SystemRandom()).getrandbits(48):x}"
        self.numbers = itertools.count(1)
        self.held: dict[str, HeldGrant] = {}
        self.by_request: dict[str, HeldGrant] = {}
        self.preemptible: dict[str, HeldGrant] = {}
        self.revoked: dict[str, HeldGrant] = {}
        self.leases: list[tuple[float, int, HeldGrant]] = []
        self.ended: TTLCache = TTLCache(MAX_REMEMBERED, MEMORY_S, clock)

    def __len__(self) -> int:
        return len(self.held)

    def find(self, name: str) -> HeldGrant | None:
        """Return the grant of an id, or ``None`` if it isn't in use."""
        return self.held.get(name)

    def make_name(self, runner: str, request_class: str) -> str:
        """Return the id for a new grant.

        :param runner: name of the runner
        :param request_class: name of the class
        """
        return f"{self.epoch}.{next(self.numbers)}|{request_class}|{runner}"

    def add(self, held: HeldGrant, preemptible: bool) -> None:
        """Add a new grant.

        :param held: the grant
        :param preemptible: whether it may be revoked
        """
        self.held[held.name] = held
        self._schedule(held)
        if held.waiting is not None:
            self.by_request[held.waiting.ask.request] = held
        if preemptible:
            self.preemptible[held.name] = held

    def adopt(self, sender: str, name: str) -> HeldGrant | None:
        """Add a grant that another coordinator made.

        :param sender: entry VM that holds it
        :param name: id of the grant
        :return: the grant; ``None`` if it has ended, or the id names no runner
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
        if held.waiting is None:
            return
        request = held.waiting.ask.request
        if self.by_request.get(request) is held:
            del self.by_request[request]

    def end(self, name: str) -> None:
        """Remember that a grant was released, so that a late renewal doesn't revive it."""
        self.ended[name] = True

    def list_expired(self) -> list[HeldGrant]:
        """Return the grants whose lease has ended; the caller drops them."""
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
        """Mark the preemptible grants with the least work done as revoked.

        Only the newest grants are looked at, since older ones have done more.

        :param count: most grants to revoke
        :return: the revoked grants
        """
        if count <= 0:
            return []
        now = self.clock()
        newest = itertools.islice(reversed(self.preemptible.values()), MAX_CANDIDATES)
        cheapest = heapq.nsmallest(count, newest, key=lambda held: held.estimate_waste(now))
        for held in cheapest:
            del self.preemptible[held.name]
            held.revoked_at = now
            self.revoked[held.name] = held
        return cheapest

    def count_revoked(self) -> int:
        """Return how many revoked grants are about to be released.

        Those of an entry VM that doesn't answer are no longer counted after REVOKE_S.
        """
        oldest = self.clock() - REVOKE_S
        return sum(1 for held in self.revoked.values() if held.revoked_at >= oldest)

    def _schedule(self, held: HeldGrant) -> None:
        heapq.heappush(self.leases, (held.expires, next(self.numbers), held))
