"""Spillover of requests to other failure domains, and budgets for bytes between regions."""

import math
from collections import Counter
from collections.abc import Callable, Sequence

import msgspec

from balsamtally.contracts import Customer, Policy, RequestClass
from balsamtally.logs import log
from balsamtally.queues import PoolQueue
from balsamtally.zones import FailureDomain, RegionLink

MAX_VIEW_AGE_S = 5.0
TARGET_MARGIN_S = 0.1
BUDGET_BURST_S = 10.0
MAX_BUCKETS = 4_000
BYTES_PER_MB = 1_000_000
TOKENS_PER_VALUE = 1_000


class PoolView(msgspec.Struct, frozen=True):
    """A snapshot of a pool in one failure domain.

    :ivar domain: name of the failure domain
    :ivar wait_s: expected time until a new request is granted a slot, in seconds
    :ivar first_token_s: typical time from the grant to the first token, in seconds
    :ivar free_slots: number of free slots
    :ivar age_s: age of the snapshot, in seconds
    """

    domain: str
    wait_s: float
    first_token_s: float
    free_slots: int = 0
    age_s: float = 0.0


def view_queue(domain: str, queue: PoolQueue, tier: int) -> PoolView:
    """Return a snapshot of a pool's queue for a new request of a tier.

    A tier-0 request is expected to wait for nothing if it can preempt a running request.

    :param domain: name of the failure domain of the queue
    :param queue: the queue
    :param tier: priority tier of the request
    """
    ahead = sum(
        len(line) for line in queue.class_queues.values() if line.request_class.tier <= tier
    )
    free = queue.loads.count_all_free(queue.clock())
    wait_s = 0.0
    preempts = tier == 0 and len(queue.grants.preemptible) > ahead
    if free == 0 and not preempts:
        wait_s = queue.lengths.estimate_wait_s(ahead, queue.loads.slots)
    return PoolView(domain, wait_s, queue.loads.first_token_s, free)


class SpillRequest(msgspec.Struct, frozen=True):
    """A request that may be served in another failure domain.

    :ivar request: id of the request
    :ivar request_class: request class of the request
    :ivar customer: customer of the request
    :ivar slack_s: time left until the first token is due, in seconds
    :ivar tokens: expected length of the answer
    :ivar bytes: expected bytes of prompt and answer
    """

    request: str
    request_class: RequestClass
    customer: Customer
    slack_s: float
    tokens: float
    bytes: float


class TokenBucket:
    """A token bucket of bytes that holds up to ``BUDGET_BURST_S`` of its rate.

    :param rate: bytes per second
    :param now: seconds of the clock
    """

    def __init__(self, rate: float, now: float):
        self.rate = rate
        self.level = rate * BUDGET_BURST_S
        self.refilled_at = now

    def refill(self, rate: float, now: float) -> None:
        """Refill the bucket for the time since the last call, at a rate that may have changed."""
        self.rate = rate
        filled = self.level + rate * max(0.0, now - self.refilled_at)
        self.level = min(filled, rate * BUDGET_BURST_S)
        self.refilled_at = now


class RegionBytes:
    """Counts of bytes sent between regions by customer and class, and budgets for them.

    :param clock: monotonic clock in seconds
    :param count_sharers: returns how many entry VMs share each budget
    """

    def __init__(self, clock: Callable[[], float], count_sharers: Callable[[], int]):
        self.clock = clock
        self.count_sharers = count_sharers
        self.sent: Counter[tuple[str, str]] = Counter()
        self.buckets: dict[str, TokenBucket] = {}

    def may_send(self, customer: Customer, link: RegionLink, expected: float) -> bool:
        """Return whether the budgets of the customer and the link allow a request.

        :param customer: the customer
        :param link: link between the regions
        :param expected: bytes that the request is expected to send
        """
        return all(bucket.level >= expected for bucket in self._list_buckets(customer, link))

    def count(self, customer: Customer, request_class: str, link: RegionLink, sent: int) -> None:
        """Charge the bytes that were actually sent, which may exceed the expected bytes.

        :param customer: the customer
        :param request_class: name of the class
        :param link: link between the regions
        :param sent: bytes of prompt and answer
        """
        self.sent[(customer.name, request_class)] += sent
        for bucket in self._list_buckets(customer, link):
            bucket.level -= sent

    def _list_buckets(self, customer: Customer, link: RegionLink) -> list[TokenBucket]:
        limits = (
            (f"customer/{customer.name}", customer.region_bytes_per_s),
            (f"link/{link.name}", link.bytes_per_s),
        )
        return [self._find_bucket(name, rate) for name, rate in limits if rate > 0.0]

    def _find_bucket(self, name: str, rate: float) -> TokenBucket:
        now = self.clock()
        share = rate / max(1, self.count_sharers())
        bucket = self.buckets.get(name)
        if bucket is None:
            self._evict_fullest()
            bucket = self.buckets[name] = TokenBucket(share, now)
        bucket.refill(share, now)
        return bucket

    def _evict_fullest(self) -> None:
        if len(self.buckets) < MAX_BUCKETS:
            return
        fullest = max(
            self.buckets, key=lambda name: self.buckets[name].level / self.buckets[name].rate
        )
        del self.buckets[fullest]


class SpilloverRouter:
    """Chooses another failure domain for requests that would miss their target locally.

    :param local_domain: own failure domain
    :param find_link: returns the link between two regions
    :param region_bytes: bytes sent between regions and their budgets
    :param find_policy: returns the policy in force
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self,
        local_domain: FailureDomain,
        find_link: Callable[[str, str], RegionLink],
        region_bytes: RegionBytes,
        find_policy: Callable[[], Policy],
        clock: Callable[[], float],
    ):
        self.local_domain = local_domain
        self.find_link = find_link
        self.region_bytes = region_bytes
        self.find_policy = find_policy
        self.clock = clock
        self.sent_at: dict[str, list[float]] = {}

    def choose_domain(
        self,
        request: SpillRequest,
        local_view: PoolView | None,
        others: Sequence[tuple[FailureDomain, PoolView]],
    ) -> FailureDomain | None:
        """Return the other failure domain that should serve a request, if there is one.

        Must not be called for a request that came here from another failure domain.

        :param request: the request
        :param local_view: the pool in the local domain, ``None`` if it has no runner there
        :param others: the pool in the other failure domains
        :return: the failure domain, or ``None`` to serve the request locally
        """
        if not request.request_class.spill or self._meets_target_locally(request, local_view):
            return None
        feasible = [
            (domain, view)
            for domain, view in others
            if self._meets_target_remotely(request, domain, view)
        ]
        affordable = [item for item in feasible if self._is_worthwhile(request, item[0])]
        if not affordable:
            return None
        domain, view = min(affordable, key=lambda item: self._rank(*item))
        self.sent_at.setdefault(domain.name, []).append(self.clock())
        log.info(
            "spilled",
            request=request.request,
            customer=request.customer.name,
            request_class=request.request_class.name,
            home=self.local_domain.name,
            domain=domain.name,
            home_wait_s=None if local_view is None else round(local_view.wait_s, 3),
            wait_s=round(view.wait_s, 3),
            slack_s=round(request.slack_s, 3),
            candidates=len(others),
        )
        return domain

    def _meets_target_locally(self, request: SpillRequest, local_view: PoolView | None) -> bool:
        return (
            local_view is not None
            and local_view.wait_s + local_view.first_token_s <= request.slack_s
        )

    def _meets_target_remotely(
        self, request: SpillRequest, domain: FailureDomain, view: PoolView
    ) -> bool:
        if (
            view.age_s > MAX_VIEW_AGE_S
            or self._count_sent_since_view(domain, view) >= view.free_slots
        ):
            return False
        needed_s = view.wait_s + view.first_token_s + self._estimate_network_delay_s(domain)
        return needed_s + TARGET_MARGIN_S <= request.slack_s

    def _count_sent_since_view(self, domain: FailureDomain, view: PoolView) -> int:
        """Count the requests sent to a domain since its view was made; the view omits them."""
        made_at = self.clock() - view.age_s
        sent_at = [when for when in self.sent_at.get(domain.name, ()) if when >= made_at]
        self.sent_at[domain.name] = sent_at
        return len(sent_at)

    def _estimate_network_delay_s(self, domain: FailureDomain) -> float:
        """Estimate the network delay of the ask, the grant, the prompt and the first token."""
        if domain.region == self.local_domain.region:
            return 0.0
        return 4.0 * self.find_link(self.local_domain.region, domain.region).one_way_ms / 1000.0

    def _is_worthwhile(self, request: SpillRequest, domain: FailureDomain) -> bool:
        if domain.region == self.local_domain.region:
            return True
        link = self.find_link(self.local_domain.region, domain.region)
        if not self.region_bytes.may_send(request.customer, link, request.bytes):
            return False
        return self._value(request) > self._cost(request)

    def _value(self, request: SpillRequest) -> float:
        policy = self.find_policy()
        live_value = policy.live_weight if request.request_class.tier == 0 else 0.0
        return live_value + policy.goodput_weight * request.tokens / TOKENS_PER_VALUE

    def _cost(self, request: SpillRequest) -> float:
        return self.find_policy().region_byte_weight * request.bytes / BYTES_PER_MB

    def _rank(self, domain: FailureDomain, view: PoolView) -> tuple[bool, float]:
        sent_since_view = self._count_sent_since_view(domain, view)
        free_slots = max(view.free_slots - sent_since_view, 1)
        return domain.region != self.local_domain.region, view.wait_s - math.log(free_slots)
