"""Distributed rate limits of customers and request classes, enforced over all entry VMs.

The limits are divided into shards. In each failure domain, one entry VM coordinates each shard:
it refills a token bucket at its domain's share of the limit, and the other entry VMs ask it for
the tokens that they need. The shares of the domains follow their demand. An entry VM that can't
reach the coordinator spends the fixed share of one entry VM. A domain that receives no demand from
the other domains spends the fixed share of its own entry VMs.
"""

import math
import time
from collections.abc import Callable

import gevent
import xxhash
from gevent.event import Event

from balsamtally.contracts import Customer, RequestClass
from balsamtally.errors import BalsamtallyError, ClassLimited, CustomerLimited
from balsamtally.facts import Facts
from balsamtally.heartbeats import PeerLinks
from balsamtally.logs import log
from balsamtally.members import Members
from balsamtally.messages import DomainDemand, LimitAsk, LimitDemand, LimitTokens
from balsamtally.rendezvous import rank_members

SHARDS = 16
REFILL_INTERVAL_S = 1.0
PREFETCH_S = 1.5
MIN_PREFETCH_TOKENS = 1.0
MAX_ASKS = 4
MIN_ASK_INTERVAL_S = 0.2
ASK_TIMEOUT_S = 0.3
DEMAND_TIME_CONSTANT_S = 2.0
DEMAND_TTL_S = 2.5
EXCHANGE_INTERVAL_S = 1.0
MAX_SEND_INTERVAL_S = 4.0
MIN_CHANGE_RATIO = 0.3
DOMAIN_DEMAND_TTL_S = 10.0
BURST_S = 1.0
IDLE_TIMEOUT_S = 60.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0


def find_shard(key: str) -> int:
    """Return the shard of a limit.

    :param key: such as ``customer/dunas/requests_per_s``
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % SHARDS


class DecayingRate:
    """An exponential moving average of a cost per second, over ``DEMAND_TIME_CONSTANT_S``."""

    def __init__(self, now: float):
        self._rate = 0.0
        self._at = now

    def add(self, cost: float, now: float) -> None:
        """Add a cost.

        :param cost: the cost
        :param now: seconds of the clock
        """
        self._rate = self.read(now) + cost / DEMAND_TIME_CONSTANT_S
        self._at = now

    def read(self, now: float) -> float:
        """Return the average cost per second.

        :param now: seconds of the clock
        """
        return self._rate * math.exp((self._at - now) / DEMAND_TIME_CONSTANT_S)


class Allowance:
    """The tokens of one limit that this entry VM may spend.

    :ivar tokens: tokens held, negative after costs were charged in arrears
    :ivar demand: cost per second that callers request
    :ivar waiting: cost of the requests that wait for tokens
    :ivar pending_ask: event that is set when the ask in flight ends, ``None`` without one
    :ivar asked_at: time of the last ask, in seconds of the clock
    :ivar had_shortfall: whether the last ask was not granted in full
    :ivar used_at: time of the last use, in seconds of the clock
    :ivar initial_credit_at: when the fixed share last started with a credit of one request
    :ivar fixed_share_added_at: when tokens of the fixed share were last added, ``None`` while the
        coordinator grants tokens
    """

    def __init__(self, now: float):
        self.tokens = 0.0
        self.demand = DecayingRate(now)
        self.waiting = 0.0
        self.pending_ask: Event | None = None
        self.asked_at = -math.inf
        self.had_shortfall = False
        self.used_at = now
        self.initial_credit_at = -math.inf
        self.fixed_share_added_at: float | None = None


class CoordinatedBucket:
    """The token bucket of one limit from which this entry VM grants tokens as coordinator.

    The bucket starts with ``BURST_S`` of the domain's fixed share, so that the first requests of
    a customer pass. A new coordinator thus adds at most ``BURST_S`` of the limit.

    :ivar tokens: tokens left
    :ivar filled_at: time of the last refill, in seconds of the clock
    :ivar demands: rate that each entry VM asked for, and the time of the ask
    """

    def __init__(self, now: float, tokens: float):
        self.tokens = tokens
        self.filled_at = now
        self.demands: dict[str, tuple[float, float]] = {}

    def sum_demand(self, now: float) -> float:
        """Return the demand of the failure domain per second.

        Demands older than ``DEMAND_TTL_S`` are removed.

        :param now: seconds of the clock
        """
        self.demands = {
            vm: (rate, at) for vm, (rate, at) in self.demands.items() if now - at < DEMAND_TTL_S
        }
        return sum(rate for rate, _ in self.demands.values())


class Limits:
    """Spends the limits in force, and coordinates shards of them for the failure domain.

    Runs its periodic tasks while it is entered as a context manager.

    :param facts: the customers and classes in force
    :param members: the membership of the entry VMs
    :param links: links to the peers
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self,
        facts: Facts,
        members: Members,
        links: PeerLinks,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._facts = facts
        self._members = members
        self._links = links
        self._clock = clock
        self._allowances: dict[str, Allowance] = {}
        self._buckets: dict[str, CoordinatedBucket] = {}
        self._domain_demands: dict[tuple[str, int], tuple[dict[str, float], float]] = {}
        self._last_sent: dict[int, tuple[dict[str, float], float]] = {}
        self._tasks: list[gevent.Greenlet] = []
        links.handle(LimitAsk, self._handle_ask)
        links.handle(DomainDemand, self._record_domain_demand)

    def __enter__(self) -> "Limits":
        self._tasks.append(gevent.spawn(self._repeat, self.refill, REFILL_INTERVAL_S))
        self._tasks.append(gevent.spawn(self._repeat, self.exchange, EXCHANGE_INTERVAL_S))
        return self

    def __exit__(self, *exc_info: object) -> None:
        gevent.killall(self._tasks, timeout=1.0)

    def _repeat(self, step: Callable[[], None], period_s: float) -> None:
        while True:
            gevent.sleep(period_s)
            try:
                step()
            except Exception:
                log.exception("step_failed", step=step.__qualname__)

    # Spending

    def take(self, customer: Customer, cost: float = 1.0) -> None:
        """Spend requests of a customer's limits.

        :param customer: the customer
        :param cost: number of requests
        :raises CustomerLimited: if a limit of the customer is exhausted
        """
        if customer.tokens_per_s:
            key = f"customer/{customer.name}/tokens_per_s"
            self._spend(key, 0.0, CustomerLimited, f"{customer.name} is over tokens_per_s")
        if customer.requests_per_s:
            key = f"customer/{customer.name}/requests_per_s"
            self._spend(key, cost, CustomerLimited, f"{customer.name} is over requests_per_s")

    def take_class(self, request_class: RequestClass, cost: float = 1.0) -> None:
        """Spend requests of the limit of a request class.

        :param request_class: the class
        :param cost: number of requests
        :raises ClassLimited: if the limit of the class is exhausted
        """
        if request_class.requests_per_s:
            key = f"class/{request_class.name}/requests_per_s"
            self._spend(key, cost, ClassLimited, f"{request_class.name} is over requests_per_s")

    def charge(self, customer: Customer, field: str, cost: float) -> None:
        """Charge a cost that was unknown when the request was admitted, such as generated tokens.

        :param customer: the customer
        :param field: name of the limit, such as ``tokens_per_s``
        :param cost: the cost
        """
        if getattr(customer, field):
            allowance = self._find_allowance(f"customer/{customer.name}/{field}")
            allowance.demand.add(cost, self._clock())
            allowance.tokens -= cost

    def _find_allowance(self, key: str) -> Allowance:
        allowance = self._allowances.get(key)
        if allowance is None:
            allowance = self._allowances[key] = Allowance(self._clock())
        allowance.used_at = self._clock()
        return allowance

    def _spend(self, key: str, cost: float, error: type[BalsamtallyError], text: str) -> None:
        allowance = self._find_allowance(key)
        now = self._clock()
        allowance.demand.add(cost, now)
        if (
            allowance.fixed_share_added_at is not None
            and now - allowance.fixed_share_added_at >= MIN_ASK_INTERVAL_S
        ):
            self._add_fixed_share(key, allowance)
        allowance.waiting += cost or MIN_PREFETCH_TOKENS
        try:
            self._wait_for_tokens(key, allowance, cost)
        finally:
            allowance.waiting -= cost or MIN_PREFETCH_TOKENS
        if not _has_tokens(allowance, cost):
            raise error(text, self._estimate_wait(key, allowance, cost))
        allowance.tokens -= cost

    def _wait_for_tokens(self, key: str, allowance: Allowance, cost: float) -> None:
        """Ask for tokens until there are enough or an ask isn't granted in full.

        Makes at most ``MAX_ASKS`` attempts.
        """
        for _ in range(MAX_ASKS):
            if _has_tokens(allowance, cost):
                return
            if allowance.pending_ask is not None:
                allowance.pending_ask.wait(ASK_TIMEOUT_S)
            elif (
                allowance.had_shortfall and self._clock() - allowance.asked_at < MIN_ASK_INTERVAL_S
            ):
                return
            else:
                self._ask(find_shard(key), [key])

    def _estimate_wait(self, key: str, allowance: Allowance, cost: float) -> float:
        limit = self._find_limit(key)
        share = limit / max(1, sum(self._members.count_known().values()))
        rate = share if allowance.fixed_share_added_at is not None else limit
        wait_s = (cost - allowance.tokens) / rate if rate else MAX_RETRY_AFTER_S
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _find_limit(self, key: str) -> float:
        """Return a limit in force, 0 for none."""
        kind, _, rest = key.partition("/")
        name, _, field = rest.rpartition("/")
        found = self._facts.find(Customer if kind == "customer" else RequestClass, name)
        return getattr(found, field, 0.0) if found is not None else 0.0

    # Asking for tokens

    def refill(self) -> None:
        """Prefetch the tokens that will be needed soon, and drop limits that are idle."""
        now = self._clock()
        shards: dict[int, list[str]] = {}
        for key, allowance in list(self._allowances.items()):
            if now - allowance.used_at > IDLE_TIMEOUT_S and allowance.tokens >= 0:
                del self._allowances[key]
            elif (
                allowance.pending_ask is None
                and allowance.tokens < allowance.demand.read(now) * PREFETCH_S / 2
            ):
                shards.setdefault(find_shard(key), []).append(key)
        for shard, keys in shards.items():
            self._ask(shard, keys)
        for key, bucket in list(self._buckets.items()):
            if now - bucket.filled_at > IDLE_TIMEOUT_S:
                del self._buckets[key]

    def _ask(self, shard: int, keys: list[str]) -> None:
        """Ask the coordinator for tokens; without a reply, use the fixed share."""
        pending_ask = Event()
        allowances = [self._allowances[key] for key in keys]
        for allowance in allowances:
            allowance.pending_ask = pending_ask
        try:
            demands = tuple(map(self._make_demand, keys, allowances))
            for demand, allowance, granted in zip(
                demands, allowances, self._call_coordinator(shard, demands), strict=True
            ):
                allowance.had_shortfall = granted < demand.want
                self._add_tokens(demand.key, allowance, granted)
        finally:
            for allowance in allowances:
                allowance.pending_ask = None
            pending_ask.set()

    def _make_demand(self, key: str, allowance: Allowance) -> LimitDemand:
        allowance.asked_at = self._clock()
        rate = allowance.demand.read(allowance.asked_at)
        return LimitDemand(key, rate, max(rate * PREFETCH_S, allowance.waiting) - allowance.tokens)

    def _call_coordinator(self, shard: int, demands: tuple[LimitDemand, ...]) -> tuple[float, ...]:
        """Return the tokens granted for each demand, negative numbers without a valid reply."""
        no_reply = (-1.0,) * len(demands)
        coordinator = self._members.rank_domain(f"limits/{shard}")[:1]
        if not coordinator:
            return no_reply
        try:
            reply = self._links.call(coordinator[0], LimitAsk(demands), ASK_TIMEOUT_S)
        except BalsamtallyError:
            return no_reply
        is_complete = isinstance(reply, LimitTokens) and len(reply.tokens) == len(demands)
        return reply.tokens if is_complete else no_reply

    def _add_tokens(self, key: str, allowance: Allowance, granted: float) -> None:
        """Add the granted tokens, or tokens of the fixed share if ``granted`` is negative."""
        if granted >= 0:
            allowance.tokens += granted
            allowance.fixed_share_added_at = None
            return
        if allowance.fixed_share_added_at is None:
            log.info("limit_on_fixed_share", limit=key)
            self._start_fixed_share(allowance)
        self._add_fixed_share(key, allowance)

    def _start_fixed_share(self, allowance: Allowance) -> None:
        """Start to use the fixed share, with an initial credit of one request.

        The credit is given at most every ``IDLE_TIMEOUT_S``, not at every lost message.
        """
        now = self._clock()
        allowance.fixed_share_added_at = now
        if now - allowance.initial_credit_at >= IDLE_TIMEOUT_S:
            allowance.initial_credit_at = now
            allowance.fixed_share_added_at = now - BURST_S
            allowance.tokens = min(1.0, allowance.tokens + 1.0)

    def _add_fixed_share(self, key: str, allowance: Allowance) -> None:
        now = self._clock()
        rate = self._find_limit(key) / max(1, sum(self._members.count_known().values()))
        headroom = max(1.0, rate * BURST_S) - allowance.tokens
        allowance.tokens += max(0.0, min(headroom, rate * (now - allowance.fixed_share_added_at)))
        allowance.fixed_share_added_at = now

    # Coordination

    def _handle_ask(self, name: str, ask: LimitAsk) -> LimitTokens:
        now = self._clock()
        return LimitTokens(tuple(self._grant(name, demand, now) for demand in ask.demands))

    def _grant(self, name: str, demand: LimitDemand, now: float) -> float:
        limit = self._find_limit(demand.key)
        if not limit:
            return -1.0
        bucket = self._buckets.get(demand.key)
        if bucket is None:
            known = self._members.count_known()
            fraction = known.get(self._members.own.domain, 1) / sum(known.values())
            bucket = CoordinatedBucket(now, max(1.0, limit * fraction * BURST_S))
            self._buckets[demand.key] = bucket
        bucket.demands[name] = (demand.rate, now)
        total = bucket.sum_demand(now)
        rate = self._find_domain_rate(demand.key, limit, total, now)
        capacity = max(1.0, rate * BURST_S)
        bucket.tokens = min(capacity, bucket.tokens + rate * (now - bucket.filled_at))
        bucket.filled_at = now
        fraction = demand.rate / total if total > rate else 1.0
        granted = max(0.0, min(demand.want, bucket.tokens * max(fraction, 1.0 / capacity)))
        bucket.tokens -= granted
        return granted

    def _find_domain_rate(self, key: str, limit: float, demand: float, now: float) -> float:
        """Return the share of a limit that this failure domain may spend now, per second.

        The fixed share stays reserved for a domain without a recent message, and for each known
        entry VM that isn't live, since it may still run on the other side of a network partition.
        """
        own = self._members.own.domain
        known = self._members.count_known()
        total = max(1, sum(known.values()))
        reserved = 0
        demands = demand
        for domain, count in known.items():
            rates, at = self._domain_demands.get((domain, find_shard(key)), ({}, -math.inf))
            if domain != own and now - at >= DOMAIN_DEMAND_TTL_S:
                reserved += count
                continue
            reserved += max(0, count - self._members.count_live(domain))
            if domain != own:
                demands += rates.get(key, 0.0)
        free = limit * max(0, total - reserved) / total
        return free * (demand / demands if demands else 1.0)

    def exchange(self) -> None:
        """Send the demand for the limits that this entry VM coordinates to the other domains.

        A shard is sent if a limit was added or removed or a demand changed by more than
        ``MIN_CHANGE_RATIO``, and otherwise every ``MAX_SEND_INTERVAL_S``.
        """
        now = self._clock()
        by_shard: dict[int, dict[str, float]] = {}
        for key, bucket in self._buckets.items():
            rate = bucket.sum_demand(now)
            if rate:
                by_shard.setdefault(find_shard(key), {})[key] = rate
        for shard in range(SHARDS):
            rates = by_shard.get(shard, {})
            if self._members.is_coordinator(f"limits/{shard}") and self._must_send(
                shard, rates, now
            ):
                self._last_sent[shard] = (rates, now)
                self._send_demands(shard, rates)

    def _must_send(self, shard: int, rates: dict[str, float], now: float) -> bool:
        sent_rates, at = self._last_sent.get(shard, ({}, -math.inf))
        if now - at >= MAX_SEND_INTERVAL_S or rates.keys() != sent_rates.keys():
            return True
        return any(
            abs(rate - sent_rates[key]) > MIN_CHANGE_RATIO * sent_rates[key]
            for key, rate in rates.items()
        )

    def _send_demands(self, shard: int, rates: dict[str, float]) -> None:
        own = self._members.own.domain
        demands = tuple(LimitDemand(key, rate) for key, rate in rates.items())
        names: dict[str, list[str]] = {}
        for vm in self._members.list_all():
            names.setdefault(vm.domain, []).append(vm.name)
        for domain, peers in names.items():
            if domain != own:
                coordinator = rank_members(f"limits/{shard}", peers)[0]
                self._links.cast(coordinator, DomainDemand(own, shard, demands))

    def _record_domain_demand(self, name: str, message: DomainDemand) -> None:
        rates = {demand.key: demand.rate for demand in message.demands}
        self._domain_demands[message.domain, message.shard] = (rates, self._clock())


def _has_tokens(allowance: Allowance, cost: float) -> bool:
    return allowance.tokens >= cost if cost else allowance.tokens > 0
