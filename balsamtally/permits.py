"""Permits for requests to backend servers that limit the rate of all entry VMs together.

One entry VM, the decider, gives out the permits of a limited backend server: the coordinator of the
service in the server's region, or one VM of all regions if none is heard there. It fills a token
bucket at the limit. The calls that it places take tokens at once; other VMs ask it for permits as
their calls wait, and a call isn't sent without one. Without a vote two VMs may decide for a moment;
the tokens that a bucket holds are few, a new decider begins with none, and members that aren't
heard keep their share of the rate until they are forgotten.

Calls to a brittle server need permits too; they are for its free places instead of a rate.
"""

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import msgspec

from balsamtally.beats import Beat
from balsamtally.calls import Backend
from balsamtally.clocks import boottime
from balsamtally.decoding import Count
from balsamtally.departures import Incarnation
from balsamtally.logs import log
from balsamtally.places import PLACE_TTL_S, Places, count_usable
from balsamtally.server_limits import ServerLimits

# Least rate at which a limited backend server is sent requests, so that the end of a limit of zero
# is noticed.
MIN_RATE_PER_S = 0.1
# Tokens that a bucket holds beyond one, in seconds of its rate.
BURST_S = 0.1
# Interval at which permits are asked for while calls wait.
ASK_INTERVAL_S = 0.1
# A permit that isn't used for this time is no longer valid.
PERMIT_TTL_S = 1.0
# The same for a cold server: unused permits add to what arrives in a later second, and its bound is
# for each second.
COLD_PERMIT_TTL_S = 0.4
# An ask that can't be served at once is kept for this time; the entry VM repeats it.
ASK_TTL_S = 0.3
MAX_PERMITS_PER_ASK = 8
# Calls that the decider places at a brittle server for each one of another region, while both wait.
# The end of a call of another region is known later, so that it takes its place for longer.
OWN_CALLS_PER_FAR_CALL = 8
# Time for which a view of the membership is reused.
MEMBERSHIP_TTL_S = 0.1
# Part of the rate that a waiting call counts on at backend servers of other deciders.
FOREIGN_RATE_SHARE = 0.5


class PermitAsk(msgspec.Struct, frozen=True, array_like=True, tag="permit_ask"):
    """Asks the decider of a backend server for permits.

    :ivar number: number of the ask, counted by the sender
    :ivar name: name of the backend server
    :ivar born: start of its incarnation in Unix milliseconds
    :ivar count: calls that wait
    """

    number: Count
    name: str
    born: Count
    count: Count

    @property
    def key(self) -> Incarnation:
        """Identity of the backend server's incarnation."""
        return (self.name, self.born)


class PermitGrant(msgspec.Struct, frozen=True, array_like=True, tag="permit_grant"):
    """The decider's answer to an ask.

    :ivar number: number of the ask
    :ivar count: permits that it grants
    """

    number: Count
    count: Count


@dataclass
class Bucket:
    """The token bucket of a backend server that this entry VM decides for.

    :ivar filled_s: monotonic clock at the last refill, in seconds
    :ivar created_s: monotonic clock since which this entry VM decides, in seconds
    :ivar tokens: tokens held
    :ivar places: free places at a brittle server, infinite at another one
    :ivar asks: the last ask of each entry VM that was not served, by IP number, with its time
    :ivar serves_asks: whether the next token is for such an ask; it is after one call placed here,
        several at a brittle server, or if this entry VM leaves a token unused
    :ivar own_calls: calls placed here since the last ask was served
    :ivar had_token: whether a token was left when asks were last served
    """

    filled_s: float
    created_s: float
    tokens: float = 0.0
    places: float = math.inf
    asks: dict[str, tuple[PermitAsk, float]] = field(default_factory=dict)
    serves_asks: bool = False
    had_token: bool = False
    own_calls: int = 0

    @property
    def available(self) -> float:
        """Calls that may be sent now."""
        return min(self.tokens, self.places)

    def spend(self, count: int) -> None:
        """Use tokens and places.

        :param count: number of calls
        """
        self.tokens -= count
        self.places -= count

    def fill(self, rate_per_s: float, now: float) -> None:
        """Add the tokens of the time since the last refill.

        :param rate_per_s: tokens per second, infinite for a brittle server without a limit
        :param now: monotonic clock in seconds
        """
        if rate_per_s == math.inf:
            self.tokens, self.filled_s = math.inf, now
            return
        # An entry VM that may spend nothing, as it hears no other, keeps no token either.
        most = 1.0 + rate_per_s * BURST_S if rate_per_s else 0.0
        self.tokens = min(most, self.tokens + rate_per_s * (now - self.filled_s))
        self.filled_s = now


@dataclass
class Purse:
    """Permits that a decider granted to this entry VM.

    :ivar count: permits left
    :ivar until_s: clock until which they are valid, in seconds
    :ivar asked_s: clock at the last ask, in seconds
    :ivar pending_s: clock at each ask that isn't answered, by its number
    """

    count: int = 0
    until_s: float = 0.0
    asked_s: float = float("-inf")
    pending_s: dict[int, float] = field(default_factory=dict)


class Permits:
    """Gives out and uses the permits for limited backend servers.

    :param limits: the limits that are known
    :param find_decider: returns the last beat of the entry VM that decides for a backend server,
        ``None`` if it is this one
    :param find_share: returns the part of a limit that this entry VM and those that it hears may
        spend, from 0 to 1
    :param send: sends a message to an IP number; it may be lost
    :param clock: steady clock that counts suspensions, in seconds
    :param find_cold_share: returns the part of the limit of the cold servers of a failure domain
        that this entry VM may spend, from 0 to 1
    :param count_running: returns how many calls of all entry VMs run at a backend server
    :param find_call_s: returns the mean time per call of a service, in seconds
    """

    def __init__(
        self,
        limits: ServerLimits,
        find_decider: Callable[[Backend], Beat | None] = lambda backend: None,
        find_share: Callable[[], float] = lambda: 1.0,
        send: Callable[[PermitAsk | PermitGrant, str], None] = lambda message, ip: None,
        clock: Callable[[], float] = boottime,
        find_cold_share: Callable[[str], float] = lambda domain: 1.0,
        count_running: Callable[[str], int] = lambda name: 0,
        find_call_s: Callable[[str], float] = lambda service: 1.0,
    ):
        self._limits = limits
        self._find_decider = find_decider
        self._find_share = find_share
        self._send = send
        self._clock = clock
        self._buckets: dict[Incarnation, Bucket] = {}
        self._purses: dict[Incarnation, Purse] = {}
        self._deciders: dict[Incarnation, tuple[Beat | None, float]] = {}
        self._share = (0.0, float("-inf"))
        self._find_cold_share = find_cold_share
        self._cold_shares: dict[str, tuple[float, float]] = {}
        self._places = Places(count_running, clock)
        self._find_call_s = find_call_s
        self._last_number = 0

    @property
    def has_limits(self) -> bool:
        """Whether any backend server has a limit, is brittle or is cold."""
        return not self._limits.is_empty

    def is_limited(self, key: Incarnation) -> bool:
        """Return whether a backend server has a limit or is brittle.

        :param key: identity of its incarnation
        """
        if not self.has_limits:
            return False
        return self._limits.find(key) is not None or self._limits.find_brittle(key) is not None

    def is_cold(self, key: Incarnation) -> bool:
        """Return whether a backend server is cold.

        :param key: identity of its incarnation
        """
        return self._limits.is_cold(key)

    def was_cold(self, key: Incarnation, within_s: float) -> bool:
        """Return whether a backend server was cold within the last seconds.

        :param key: identity of its incarnation
        :param within_s: the time in seconds
        """
        return self._limits.was_cold(key, within_s)

    def is_sendable(self, backend: Backend) -> bool:
        """Return whether a call may be sent to a backend server now.

        :param backend: the incarnation
        """
        if not self.is_limited(backend.key):
            return True
        bucket = self._fill_bucket(backend)
        if bucket is None:
            purse = self._purses.get(backend.key)
            return purse is not None and purse.count > 0 and purse.until_s > self._clock()
        return bucket.available >= 1 and not (bucket.serves_asks and bucket.asks)

    def take(self, backend: Backend) -> bool:
        """Use a permit for a backend server to which a call may be sent now.

        :param backend: the incarnation
        :return: whether it needed one
        """
        if not self.is_limited(backend.key):
            return False
        bucket = self._fill_bucket(backend)
        if bucket is None:
            purse = self._purses.setdefault(backend.key, Purse())
            purse.count = max(0, purse.count - 1)
        else:
            bucket.spend(1)
            bucket.own_calls += 1
            own_calls = 1 if bucket.places == math.inf else OWN_CALLS_PER_FAR_CALL
            bucket.serves_asks |= bucket.own_calls >= own_calls
        return True

    def record_refusal(self, key: Incarnation) -> None:
        """Record that a backend server refused a call for want of room.

        :param key: identity of its incarnation
        """
        tolerated = self._limits.find_brittle(key)
        if tolerated is not None:
            self._places.record_refusal(key, tolerated)
            log.info("brittle_server_full", backend=key[0], born=key[1], refusals=tolerated)

    def request(self, backends: Collection[Backend], count: int) -> None:
        """Ask the deciders of limited backend servers for permits, unless they were asked lately.

        :param backends: the incarnations
        :param count: calls that wait
        """
        now = self._clock()
        for backend in backends:
            decider = self._look_up_decider(backend)
            purse = self._purses.setdefault(backend.key, Purse())
            if decider is None or now - purse.asked_s < ASK_INTERVAL_S:
                continue
            self._last_number += 1
            oldest_s = now - PERMIT_TTL_S
            purse.pending_s = {
                number: asked_s for number, asked_s in purse.pending_s.items() if asked_s > oldest_s
            }
            purse.pending_s[self._last_number] = purse.asked_s = now
            self._send(PermitAsk(self._last_number, *backend.key, count), decider.ip)

    def find_rate(self, backends: Collection[Backend]) -> float:
        """Return the requests per second that waiting calls can count on at limited servers.

        :param backends: the incarnations
        """
        rate_per_s = 0.0
        for backend in backends:
            if self._look_up_decider(backend) is None:
                rate_per_s += min(self._find_own_rate(backend), self._find_places_rate(backend))
            else:
                # The decider may use a cold server although this entry VM may not.
                rate = min(self._find_rate(backend, 1.0), self._find_places_rate(backend))
                rate_per_s += rate * FOREIGN_RATE_SHARE
        return rate_per_s

    def estimate_wait_s(self, backends: Collection[Backend], before: int) -> float:
        """Return the time until a waiting call gets a permit, in seconds.

        :param backends: the limited servers that it may go to
        :param before: waiting calls that go first
        """
        rate_per_s = max(self.find_rate(backends), MIN_RATE_PER_S)
        # A cold server without another limit takes all waiting calls once it is warm.
        warm_s = [
            self._limits.find_cold_left_s(backend.key)
            for backend in backends
            if self._limits.find_named(backend.key) is None
            and self._limits.find_brittle(backend.key) is None
        ]
        return min([before / rate_per_s, *warm_s])

    def handle_ask(self, ask: PermitAsk, ip: str) -> None:
        """Queue an ask; it is served with the tokens that :meth:`serve_asks` finds.

        :param ask: the ask
        :param ip: IP number of the sender
        """
        bucket = self._buckets.get(ask.key)
        if bucket is not None:
            bucket.asks[ip] = (ask, self._clock())

    def handle_grant(self, grant: PermitGrant, _: str) -> None:
        """Record permits, unless the ask was made too long ago or was answered before.

        :param grant: the grant
        """
        now = self._clock()
        for key, purse in self._purses.items():
            ttl_s = self._find_ttl_s(key)
            asked_s = purse.pending_s.pop(grant.number, None)
            if asked_s is not None and now - asked_s < ttl_s:
                held = purse.count if purse.until_s > now else 0
                purse.count = min(held + grant.count, MAX_PERMITS_PER_ASK)
                purse.until_s = asked_s + ttl_s

    def _find_ttl_s(self, key: Incarnation) -> float:
        if self._limits.find_brittle(key) is not None:
            return PLACE_TTL_S
        return COLD_PERMIT_TTL_S if self.is_cold(key) else PERMIT_TTL_S

    def serve_asks(self, backends: Collection[Backend]) -> None:
        """Fill the buckets of this entry VM, and grant permits for the asks that wait.

        :param backends: the published backend servers
        """
        limited = {backend.key: backend for backend in backends if self.is_limited(backend.key)}
        self._purses = {key: self._purses[key] for key in self._purses if key in limited}
        self._buckets = {key: self._buckets[key] for key in self._buckets if key in limited}
        self._deciders = {key: self._deciders[key] for key in self._deciders if key in limited}
        self._places.keep_only(limited)
        for backend in limited.values():
            bucket = self._fill_bucket(backend)
            if bucket is not None:
                self._serve_bucket(bucket)

    def _serve_bucket(self, bucket: Bucket) -> None:
        now = self._clock()
        for ip, (ask, asked_s) in list(bucket.asks.items()):
            if now - asked_s > ASK_TTL_S:
                del bucket.asks[ip]
            elif bucket.available >= 1 and bucket.serves_asks:
                count = min(ask.count, int(bucket.available), MAX_PERMITS_PER_ASK)
                bucket.spend(count)
                if bucket.places < math.inf:
                    self._places.record_grant(ask.key, count)
                bucket.serves_asks, bucket.own_calls = False, 0
                del bucket.asks[ip]
                self._send(PermitGrant(ask.number, count), ip)
        bucket.serves_asks |= bucket.had_token and bucket.available >= 1
        bucket.had_token = bucket.available >= 1

    def _fill_bucket(self, backend: Backend) -> Bucket | None:
        """Return the filled bucket of a backend server, ``None`` if another VM decides."""
        if self._look_up_decider(backend) is not None:
            self._buckets.pop(backend.key, None)
            return None
        now = self._clock()
        bucket = self._buckets.setdefault(backend.key, Bucket(now, now))
        bucket.fill(self._find_own_rate(backend), now)
        bucket.places = math.inf
        if self._limits.find_brittle(backend.key) is not None:
            share = self._look_up_share()
            bucket.places = self._places.count_free(backend, share, bucket.created_s)
        return bucket

    def _find_places_rate(self, backend: Backend) -> float:
        """Return the calls per second for which a brittle server has places, else infinity."""
        if self._limits.find_brittle(backend.key) is None:
            return math.inf
        return count_usable(backend, self._look_up_share()) / self._find_call_s(backend.service)

    def _find_own_rate(self, backend: Backend) -> float:
        """Return the requests per second that this entry VM may send or grant as the decider."""
        return self._find_rate(backend, None)

    def _find_rate(self, backend: Backend, cold_share: float | None) -> float:
        """Return the lower one of the rates by the limits that a server named and has while cold.

        :param backend: the incarnation
        :param cold_share: part of its limit as a cold server, ``None`` for that of this entry VM
        """
        named = self._limits.find_named(backend.key)
        cold = self._limits.find_cold(backend.key)
        is_brittle = self._limits.find_brittle(backend.key) is not None
        rates = []
        if named is not None or (cold is None and not is_brittle):
            rates.append(self._find_named_rate(named))
        if cold is not None:
            if cold_share is None:
                cold_share = self._look_up_cold_share(backend.domain)
            rates.append(cold * cold_share)
        return min(rates, default=math.inf)

    def _look_up_cold_share(self, domain: str) -> float:
        share, at_s = self._cold_shares.get(domain, (0.0, float("-inf")))
        if self._clock() - at_s > MEMBERSHIP_TTL_S:
            share = self._find_cold_share(domain)
            self._cold_shares[domain] = (share, self._clock())
        return share

    def _find_named_rate(self, limit_per_s: float | None) -> float:
        return max(limit_per_s or 0.0, MIN_RATE_PER_S) * self._look_up_share()

    def _look_up_share(self) -> float:
        share, at_s = self._share
        if self._clock() - at_s > MEMBERSHIP_TTL_S:
            share = self._find_share()
            self._share = (share, self._clock())
        return share

    def _look_up_decider(self, backend: Backend) -> Beat | None:
        decider, at_s = self._deciders.get(backend.key, (None, float("-inf")))
        if self._clock() - at_s > MEMBERSHIP_TTL_S:
            decider = self._find_decider(backend)
            self._deciders[backend.key] = (decider, self._clock())
        return decider
