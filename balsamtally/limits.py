"""Limits of customers and request classes that hold over all entry VMs.

In each failure domain one entry VM coordinates each shard of the limits: it fills a token bucket
at its domain's share of the limit, and the others ask it for the tokens that they need. The
domains' shares follow their demand. Whoever can't reach the coordinator spends the fixed share of
one entry VM, and a domain that hears from no other spends the fixed share of its entry VMs.
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
REFILL_S = 1.0
STOCK_S = 1.5
MIN_STOCK = 1.0
MAX_ASKS = 4
ASK_GAP_S = 0.2
ASK_TIMEOUT_S = 0.3
DEMAND_TIME_CONSTANT_S = 2.0
DEMAND_FRESH_S = 2.5
EXCHANGE_S = 1.0
KEEP_ALIVE_S = 4.0
NEWS_SHARE = 0.3
DOMAIN_FRESH_S = 10.0
BUCKET_S = 1.0
IDLE_S = 60.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0


def find_shard(key: str) -> int:
    """Return the shard of a limit.

    :param key: such as ``customer/dunas/requests_per_s``
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % SHARDS


class Rate:
    """The rate of a cost, averaged over ``DEMAND_TIME_CONSTANT_S``."""

    def __init__(self, now: float):
        self._rate = 0.0
        self._at = now

    def add(self, cost: float, now: float) -> None:
        """Count a cost.

        :param cost: the cost
        :param now: the clock
        """
        self._rate = self.read(now) + cost / DEMAND_TIME_CONSTANT_S
        self._at = now

    def read(self, now: float) -> float:
        """Return the cost a second.

        :param now: the clock
        """
        return self._rate * math.exp((self._at - now) / DEMAND_TIME_CONSTANT_S)


class Stock:
    """The tokens of one limit that this VM may spend.

    :ivar tokens: tokens held, negative where costs were charged afterwards
    :ivar demand: cost that callers ask for
    :ivar waiting: cost of the requests that wait for tokens
    :ivar asking: set at the end of the ask that is in flight, if there is one
    :ivar asked_at: clock of the last ask
    :ivar credited_at: clock at which the fixed share last began with a request
    :ivar is_short: whether the last ask was not granted in full
    :ivar alone_since: clock of the last part of the fixed share, ``None`` while coordinated
    """

    def __init__(self, now: float):
        self.tokens = 0.0
        self.demand = Rate(now)
        self.waiting = 0.0
        self.asking: Event | None = None
        self.asked_at = -math.inf
        self.is_short = False
        self.used_at = now
        self.credited_at = -math.inf
        self.alone_since: float | None = None


class Bucket:
    """The tokens of one limit that this VM hands out as a coordinator.

    It begins with the domain's fixed share, so that the first requests of a customer pass. A new
    coordinator thus adds at most ``BUCKET_S`` of the limit.

    :ivar tokens: tokens left
    :ivar filled_at: clock of the last filling
    :ivar demands: rate that each entry VM asked for, and when
    """

    def __init__(self, now: float, tokens: float):
        self.tokens = tokens
        self.filled_at = now
        self.demands: dict[str, tuple[float, float]] = {}

    def sum_demand(self, now: float) -> float:
        """Return the failure domain's demand a second, and forget entry VMs that ask no more.

        :param now: the clock
        """
        self.demands = {
            vm: (rate, at) for vm, (rate, at) in self.demands.items() if now - at < DEMAND_FRESH_S
        }
        return sum(rate for rate, _ in self.demands.values())


class Limits:
    """The limits in force, spent here and coordinated for the failure domain.

    :param facts: the customers and classes in force
    :param members: the known entry VMs
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
        self._stocks: dict[str, Stock] = {}
        self._buckets: dict[str, Bucket] = {}
        self._domains: dict[tuple[str, int], tuple[dict[str, float], float]] = {}
        self._told: dict[int, tuple[dict[str, float], float]] = {}
        self._tasks: list[gevent.Greenlet] = []
        links.handle(LimitAsk, self._answer_ask)
        links.handle(DomainDemand, self._note_domain)

    def __enter__(self) -> "Limits":
        self._tasks.append(gevent.spawn(self._repeat, self.refill, REFILL_S))
        self._tasks.append(gevent.spawn(self._repeat, self.exchange, EXCHANGE_S))
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

    # Spending.

    def take(self, customer: Customer, cost: float = 1.0) -> None:
        """Spend a customer's requests, unless one of its limits is used up.

        :param customer: the customer
        :param cost: number of requests
        :raises CustomerLimited: if a limit of the customer is used up
        """
        if customer.tokens_per_s:
            key = f"customer/{customer.name}/tokens_per_s"
            self._spend(key, 0.0, CustomerLimited, f"{customer.name} is over tokens_per_s")
        if customer.requests_per_s:
            key = f"customer/{customer.name}/requests_per_s"
            self._spend(key, cost, CustomerLimited, f"{customer.name} is over requests_per_s")

    def take_class(self, request_class: RequestClass, cost: float = 1.0) -> None:
        """Spend a request class's requests, unless its limit is used up.

        :param request_class: the class
        :param cost: number of requests
        :raises ClassLimited: if the limit of the class is used up
        """
        if request_class.requests_per_s:
            key = f"class/{request_class.name}/requests_per_s"
            self._spend(key, cost, ClassLimited, f"{request_class.name} is over requests_per_s")

    def charge(self, customer: Customer, field: str, cost: float) -> None:
        """Charge a cost that was not known before, such as generated tokens.

        :param customer: the customer
        :param field: name of the limit, such as ``tokens_per_s``
        :param cost: the cost
        """
        if getattr(customer, field):
            stock = self._find_stock(f"customer/{customer.name}/{field}")
            stock.demand.add(cost, self._clock())
            stock.tokens -= cost

    def _find_stock(self, key: str) -> Stock:
        stock = self._stocks.get(key)
        if stock is None:
            stock = self._stocks[key] = Stock(self._clock())
        stock.used_at = self._clock()
        return stock

    def _spend(self, key: str, cost: float, error: type[BalsamtallyError], text: str) -> None:
        stock = self._find_stock(key)
        now = self._clock()
        stock.demand.add(cost, now)
        if stock.alone_since is not None and now - stock.alone_since >= ASK_GAP_S:
            self._add_fixed_share(key, stock)
        stock.waiting += cost or MIN_STOCK
        try:
            self._wait_for_tokens(key, stock, cost)
        finally:
            stock.waiting -= cost or MIN_STOCK
        if not _has_tokens(stock, cost):
            raise error(text, self._estimate_wait(key, stock, cost))
        stock.tokens -= cost

    def _wait_for_tokens(self, key: str, stock: Stock, cost: float) -> None:
        """Ask for tokens until there are enough, or until an ask isn't granted in full."""
        for _ in range(MAX_ASKS):
            if _has_tokens(stock, cost):
                return
            if stock.asking is not None:
                stock.asking.wait(ASK_TIMEOUT_S)
            elif stock.is_short and self._clock() - stock.asked_at < ASK_GAP_S:
                return
            else:
                self._ask(find_shard(key), [key])

    def _estimate_wait(self, key: str, stock: Stock, cost: float) -> float:
        limit = self._find_limit(key)
        share = limit / max(1, sum(self._members.count_known().values()))
        rate = share if stock.alone_since is not None else limit
        wait_s = (cost - stock.tokens) / rate if rate else MAX_RETRY_AFTER_S
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _find_limit(self, key: str) -> float:
        """Return a limit in force, 0 for none."""
        kind, _, rest = key.partition("/")
        name, _, field = rest.rpartition("/")
        found = self._facts.find(Customer if kind == "customer" else RequestClass, name)
        return getattr(found, field, 0.0) if found is not None else 0.0

    # Asking for tokens.

    def refill(self) -> None:
        """Ask for the tokens that will be needed soon, and forget limits not used for long."""
        now = self._clock()
        shards: dict[int, list[str]] = {}
        for key, stock in list(self._stocks.items()):
            if now - stock.used_at > IDLE_S and stock.tokens >= 0:
                del self._stocks[key]
            elif stock.asking is None and stock.tokens < stock.demand.read(now) * STOCK_S / 2:
                shards.setdefault(find_shard(key), []).append(key)
        for shard, keys in shards.items():
            self._ask(shard, keys)
        for key, bucket in list(self._buckets.items()):
            if now - bucket.filled_at > IDLE_S:
                del self._buckets[key]

    def _ask(self, shard: int, keys: list[str]) -> None:
        """Ask the coordinator for tokens; without an answer use the fixed share."""
        asking = Event()
        stocks = [self._stocks[key] for key in keys]
        for stock in stocks:
            stock.asking = asking
        try:
            demands = tuple(map(self._make_demand, keys, stocks))
            for demand, stock, granted in zip(
                demands, stocks, self._call_coordinator(shard, demands), strict=True
            ):
                stock.is_short = granted < demand.want
                self._add_tokens(demand.key, stock, granted)
        finally:
            for stock in stocks:
                stock.asking = None
            asking.set()

    def _make_demand(self, key: str, stock: Stock) -> LimitDemand:
        stock.asked_at = self._clock()
        rate = stock.demand.read(stock.asked_at)
        return LimitDemand(key, rate, max(rate * STOCK_S, stock.waiting) - stock.tokens)

    def _call_coordinator(self, shard: int, demands: tuple[LimitDemand, ...]) -> tuple[float, ...]:
        """Return the tokens for each demand, negative ones without an answer."""
        none = (-1.0,) * len(demands)
        coordinator = self._members.rank_domain(f"limits/{shard}")[:1]
        if not coordinator:
            return none
        try:
            reply = self._links.call(coordinator[0], LimitAsk(demands), ASK_TIMEOUT_S)
        except BalsamtallyError:
            return none
        is_whole = isinstance(reply, LimitTokens) and len(reply.tokens) == len(demands)
        return reply.tokens if is_whole else none

    def _add_tokens(self, key: str, stock: Stock, granted: float) -> None:
        """Add what the coordinator granted, or the fixed share's part where it is negative."""
        if granted >= 0:
            stock.tokens += granted
            stock.alone_since = None
            return
        if stock.alone_since is None:
            log.info("limit_on_fixed_share", limit=key)
            self._begin_alone(stock)
        self._add_fixed_share(key, stock)

    def _begin_alone(self, stock: Stock) -> None:
        """Begin the fixed share with one request, but not at each loss of one message."""
        now = self._clock()
        stock.alone_since = now
        if now - stock.credited_at >= IDLE_S:
            stock.credited_at = now
            stock.alone_since = now - BUCKET_S
            stock.tokens = min(1.0, stock.tokens + 1.0)

    def _add_fixed_share(self, key: str, stock: Stock) -> None:
        now = self._clock()
        rate = self._find_limit(key) / max(1, sum(self._members.count_known().values()))
        room = max(1.0, rate * BUCKET_S) - stock.tokens
        stock.tokens += max(0.0, min(room, rate * (now - stock.alone_since)))
        stock.alone_since = now

    # Coordinating.

    def _answer_ask(self, name: str, ask: LimitAsk) -> LimitTokens:
        now = self._clock()
        return LimitTokens(tuple(self._grant(name, demand, now) for demand in ask.demands))

    def _grant(self, name: str, demand: LimitDemand, now: float) -> float:
        limit = self._find_limit(demand.key)
        if not limit:
            return -1.0
        bucket = self._buckets.get(demand.key)
        if bucket is None:
            known = self._members.count_known()
            part = known.get(self._members.own.domain, 1) / sum(known.values())
            bucket = Bucket(now, max(1.0, limit * part * BUCKET_S))
            self._buckets[demand.key] = bucket
        bucket.demands[name] = (demand.rate, now)
        total = bucket.sum_demand(now)
        rate = self._find_domain_rate(demand.key, limit, total, now)
        room = max(1.0, rate * BUCKET_S)
        bucket.tokens = min(room, bucket.tokens + rate * (now - bucket.filled_at))
        bucket.filled_at = now
        part = demand.rate / total if total > rate else 1.0
        granted = max(0.0, min(demand.want, bucket.tokens * max(part, 1.0 / room)))
        bucket.tokens -= granted
        return granted

    def _find_domain_rate(self, key: str, limit: float, demand: float, now: float) -> float:
        """Return the part of a limit that this failure domain may spend now, a second.

        A domain that wasn't heard of lately keeps its fixed share, as does each known entry VM
        that doesn't count as live: it may run behind a split.
        """
        own = self._members.own.domain
        known = self._members.count_known()
        total = max(1, sum(known.values()))
        reserved = 0
        demands = demand
        for domain, count in known.items():
            rates, at = self._domains.get((domain, find_shard(key)), ({}, -math.inf))
            if domain != own and now - at >= DOMAIN_FRESH_S:
                reserved += count
                continue
            reserved += max(0, count - self._members.count_live(domain))
            if domain != own:
                demands += rates.get(key, 0.0)
        free = limit * max(0, total - reserved) / total
        return free * (demand / demands if demands else 1.0)

    def exchange(self) -> None:
        """Tell the other failure domains what this one needs of the limits it coordinates.

        A shard whose demand hardly changed is told only every ``KEEP_ALIVE_S``.
        """
        now = self._clock()
        by_shard: dict[int, dict[str, float]] = {}
        for key, bucket in self._buckets.items():
            rate = bucket.sum_demand(now)
            if rate:
                by_shard.setdefault(find_shard(key), {})[key] = rate
        for shard in range(SHARDS):
            rates = by_shard.get(shard, {})
            if self._members.is_coordinator(f"limits/{shard}") and self._is_due(shard, rates, now):
                self._told[shard] = (rates, now)
                self._tell_domains(shard, rates)

    def _is_due(self, shard: int, rates: dict[str, float], now: float) -> bool:
        told, at = self._told.get(shard, ({}, -math.inf))
        if now - at >= KEEP_ALIVE_S or rates.keys() != told.keys():
            return True
        return any(abs(rate - told[key]) > NEWS_SHARE * told[key] for key, rate in rates.items())

    def _tell_domains(self, shard: int, rates: dict[str, float]) -> None:
        own = self._members.own.domain
        demands = tuple(LimitDemand(key, rate) for key, rate in rates.items())
        names: dict[str, list[str]] = {}
        for vm in self._members.list_all():
            names.setdefault(vm.domain, []).append(vm.name)
        for domain, peers in names.items():
            if domain != own:
                coordinator = rank_members(f"limits/{shard}", peers)[0]
                self._links.cast(coordinator, DomainDemand(own, shard, demands))

    def _note_domain(self, name: str, message: DomainDemand) -> None:
        rates = {demand.key: demand.rate for demand in message.demands}
        self._domains[message.domain, message.shard] = (rates, self._clock())


def _has_tokens(stock: Stock, cost: float) -> bool:
    return stock.tokens >= cost if cost else stock.tokens > 0
