"""Selection of the failure domain that serves a request."""

from balsamtally.contracts import Customer, RequestClass
from balsamtally.facts import Facts
from balsamtally.messages import Ask, QueueState
from balsamtally.routes import Routes
from balsamtally.spill import PoolView, SpilloverRouter, SpillRequest
from balsamtally.zones import FailureDomain, RegionLink

BYTES_PER_TOKEN = 200
PROMPT_BYTES_PER_TOKEN = 4


class DomainSelector:
    """Selects the local failure domain, unless only another one can meet a request's target.

    :param local_domain: own failure domain
    :param facts: the state in force
    :param routes: routes to the coordinators
    :param spillover: compares the other failure domains
    """

    def __init__(
        self, local_domain: FailureDomain, facts: Facts, routes: Routes, spillover: SpilloverRouter
    ):
        self.local_domain = local_domain
        self.facts = facts
        self.routes = routes
        self.spillover = spillover

    def choose(self, ask: Ask, state: QueueState) -> str:
        """Return the failure domain that should serve a request.

        :param ask: the request
        :param state: queue state reported by the request's coordinator in the local domain
        :return: name of the failure domain, the local one if no other is better
        """
        request_class = self.facts.find(RequestClass, ask.request_class)
        customer = self.facts.find(Customer, ask.customer)
        if request_class is None or customer is None:
            return self.local_domain.name
        request = SpillRequest(
            request=ask.request,
            request_class=request_class,
            customer=customer,
            slack_s=request_class.first_token_ms / 1000 - ask.waited_s,
            tokens=state.tokens,
            bytes=ask.prompt_tokens * PROMPT_BYTES_PER_TOKEN + state.tokens * BYTES_PER_TOKEN,
        )
        local_view = read_view(state, request_class.tier) if state.runners else None
        others = []
        for other in state.others:
            domain = self.facts.find(FailureDomain, other.domain)
            view = read_view(other, request_class.tier)
            if domain is not None and view is not None and other.runners:
                others.append((domain, view))
        chosen = self.spillover.choose_domain(request, local_view, others)
        if chosen is not None:
            return chosen.name
        if state.runners or not request_class.spill:
            return self.local_domain.name
        return self._find_nearest(ask.pool)

    def _find_nearest(self, pool: str) -> str:
        """Return the nearest other failure domain that has runners of a pool and a live VM."""
        names = [
            name
            for name in self.routes.list_domains(pool)
            if name != self.local_domain.name and self.routes.list_members(name)
        ]
        return min(names, key=self._measure_distance, default=self.local_domain.name)

    def _measure_distance(self, name: str) -> tuple[float, str]:
        domain = self.facts.find(FailureDomain, name)
        if domain is None:
            return RegionLink("").one_way_ms, name
        if domain.region == self.local_domain.region:
            return 0.0, name
        return find_link(self.facts, self.local_domain.region, domain.region).one_way_ms, name


def find_link(facts: Facts, region: str, other: str) -> RegionLink:
    """Return the link between two regions, with default values if no ticket defines it.

    :param facts: the state in force
    :param region: name of a region
    :param other: name of the other region
    """
    name = "+".join(sorted((region, other)))
    return facts.find(RegionLink, name) or RegionLink(name)


def read_view(state: QueueState, tier: int) -> PoolView | None:
    """Return the view of a queue for a new request of a tier, or ``None`` if it isn't known.

    :param state: state of the queue
    :param tier: priority tier of the request
    """
    for known in state.tiers:
        if known.tier == tier:
            return PoolView(
                state.domain, known.wait_s, known.first_token_s, known.free_slots, state.age_s
            )
    return None
