"""Service of requests in another failure domain, and the bytes that go between regions."""

import math
from collections import Counter
from collections.abc import Callable, Sequence

import msgspec

from balsamtally.contracts import Customer, Policy, RequestClass
from balsamtally.logs import log
from balsamtally.queues import PoolQueue
from balsamtally.zones import FailureDomain, RegionLink

MAX_VIEW_AGE_S = 5.0
MIN_TIME_LEFT_S = 0.1
BUDGET_BURST_S = 10.0
MAX_BUDGETS = 4_000
BYTES_PER_MB = 1_000_000
TOKENS_PER_VALUE = 1_000


class PoolView(msgspec.Struct, frozen=True):
    """What is known of a pool in one failure domain.

    :ivar domain: name of the failure domain
    :ivar wait_s: expected time until a new request is granted a slot, in seconds
    :ivar first_token_s: usual time from the grant to the first token, in seconds
    :ivar free_slots: slots that are free
    :ivar age_s: age of this knowledge, in seconds
    """

    domain: str
    wait_s: float
    first_token_s: float
    free_slots: int = 0
    age_s: float = 0.0


def view_queue(domain: str, queue: PoolQueue, tier: int) -> PoolView:
    """Return what the coordinator of a pool knows, for a request of a tier.

    :param domain: name of its failure domain
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
    :ivar request_class: its request class
    :ivar customer: its customer
    :ivar slack_s: time left until its first token is due, in seconds
    :ivar tokens: expected length of the answer
    :ivar bytes: expected bytes of prompt and answer
    """

    request: str
    request_class: RequestClass
    customer: Customer
    slack_s: float
    tokens: float
    bytes: float


class Bucket:
    """A budget that fills at a rate.

    :param rate: units a second
    :param now: seconds of the clock
    """

    def __init__(self, rate: float, now: float):
        self.rate = rate
        self.level = rate * BUDGET_BURST_S
        self.filled_at = now

    def fill(self, rate: float, now: float) -> None:
        """Bring the level up to date; the rate may have changed."""
        self.rate = rate
        filled = self.level + rate * max(0.0, now - self.filled_at)
        self.level = min(filled, rate * BUDGET_BURST_S)
        self.filled_at = now


class RegionBytes:
    """The bytes sent between regions, by customer and class, and the budgets for them.

    :param clock: returns seconds that never go back
    :param count_sharers: returns how many entry VMs share each budget
    """

    def __init__(self, clock: Callable[[], float], count_sharers: Callable[[], int]):
        self.clock = clock
        self.count_sharers = count_sharers
        self.sent: Counter[tuple[str, str]] = Counter()
        self.buckets: dict[str, Bucket] = {}

    def may_send(self, customer: Customer, link: RegionLink, expected: float) -> bool:
        """Return whether the budgets allow a request.

        :param customer: the customer
        :param link: link between the regions
        :param expected: bytes that it is expected to send
        """
        return all(bucket.level >= expected for bucket in self._list_buckets(customer, link))

    def count(self, customer: Customer, request_class: str, link: RegionLink, sent: int) -> None:
        """Count bytes that were sent, also those beyond the expectation.

        :param customer: the customer
        :param request_class: name of the class
        :param link: link between the regions
        :param sent: bytes, prompt and answer
        """
        self.sent[(customer.name, request_class)] += sent
        for bucket in self._list_buckets(customer, link):
            bucket.level -= sent

    def _list_buckets(self, customer: Customer, link: RegionLink) -> list[Bucket]:
        limits = (
            (f"customer/{customer.name}", customer.region_bytes_per_s),
            (f"link/{link.name}", link.bytes_per_s),
        )
        return [self._find_bucket(name, rate) for name, rate in limits if rate > 0.0]

    def _find_bucket(self, name: str, rate: float) -> Bucket:
        now = self.clock()
        share = rate / max(1, self.count_sharers())
        bucket = self.buckets.get(name)
        if bucket is None:
            self._make_room()
            bucket = self.buckets[name] = Bucket(share, now)
        bucket.fill(share, now)
        return bucket

    def _make_room(self) -> None:
        if len(self.buckets) < MAX_BUDGETS:
            return
        fullest = max(
            self.buckets, key=lambda name: self.buckets[name].level / self.buckets[name].rate
        )
        del self.buckets[fullest]


class SpilloverRouter:
    """Chooses the failure domain for requests that would miss their target at home.

    :param home: own failure domain
    :param find_link: returns the link between two regions
    :param region_bytes: bytes and budgets
    :param find_policy: returns the policy in force
    :param clock: returns seconds that never go back
    """

    def __init__(
        self,
        home: FailureDomain,
        find_link: Callable[[str, str], RegionLink],
        region_bytes: RegionBytes,
        find_policy: Callable[[], Policy],
        clock: Callable[[], float],
    ):
        self.home = home
        self.find_link = find_link
        self.region_bytes = region_bytes
        self.find_policy = find_policy
        self.clock = clock
        self.sent_at: dict[str, list[float]] = {}

    def choose_domain(
        self,
        request: SpillRequest,
        home: PoolView | None,
        others: Sequence[tuple[FailureDomain, PoolView]],
    ) -> FailureDomain | None:
        """Return the failure domain that is to serve a request, if it isn't the own one.

        A request that came from another failure domain must not be offered here again.

        :param request: the request
        :param home: the pool at home, ``None`` if it has no runner there
        :param others: the pool elsewhere
        :return: the failure domain, ``None`` to stay at home
        """
        if not request.request_class.spill or self._meets_at_home(request, home):
            return None
        meeting = [
            (domain, view) for domain, view in others if self._meets_there(request, domain, view)
        ]
        affordable = [item for item in meeting if self._is_worth_it(request, item[0])]
        if not affordable:
            return None
        domain, view = min(affordable, key=lambda item: self._rank(*item))
        self.sent_at.setdefault(domain.name, []).append(self.clock())
        log.info(
            "spilled",
            request=request.request,
            customer=request.customer.name,
            request_class=request.request_class.name,
            home=self.home.name,
            domain=domain.name,
            home_wait_s=None if home is None else round(home.wait_s, 3),
            wait_s=round(view.wait_s, 3),
            slack_s=round(request.slack_s, 3),
            candidates=len(others),
        )
        return domain

    def _meets_at_home(self, request: SpillRequest, home: PoolView | None) -> bool:
        return home is not None and home.wait_s + home.first_token_s <= request.slack_s

    def _meets_there(self, request: SpillRequest, domain: FailureDomain, view: PoolView) -> bool:
        if view.age_s > MAX_VIEW_AGE_S or self._count_unseen(domain, view) >= view.free_slots:
            return False
        needed_s = view.wait_s + view.first_token_s + self._find_round_trips_s(domain)
        return needed_s + MIN_TIME_LEFT_S <= request.slack_s

    def _count_unseen(self, domain: FailureDomain, view: PoolView) -> int:
        """Return how many requests were sent since the view of a domain was made."""
        made_at = self.clock() - view.age_s
        sent_at = [when for when in self.sent_at.get(domain.name, ()) if when >= made_at]
        self.sent_at[domain.name] = sent_at
        return len(sent_at)

    def _find_round_trips_s(self, domain: FailureDomain) -> float:
        """Return the time of the ask, the grant, the prompt and the first token."""
        if domain.region == self.home.region:
            return 0.0
        return 4.0 * self.find_link(self.home.region, domain.region).one_way_ms / 1000.0

    def _is_worth_it(self, request: SpillRequest, domain: FailureDomain) -> bool:
        if domain.region == self.home.region:
            return True
        link = self.find_link(self.home.region, domain.region)
        if not self.region_bytes.may_send(request.customer, link, request.bytes):
            return False
        return self._value(request) > self._cost(request)

    def _value(self, request: SpillRequest) -> float:
        policy = self.find_policy()
        live = policy.live_weight if request.request_class.tier == 0 else 0.0
        return live + policy.goodput_weight * request.tokens / TOKENS_PER_VALUE

    def _cost(self, request: SpillRequest) -> float:
        return self.find_policy().region_byte_weight * request.bytes / BYTES_PER_MB

    def _rank(self, domain: FailureDomain, view: PoolView) -> tuple[bool, float]:
        unseen = self._count_unseen(domain, view)
        left = max(view.free_slots - unseen, 1)
        return domain.region != self.home.region, view.wait_s - math.log(left)
