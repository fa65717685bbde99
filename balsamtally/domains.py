"""The choice of the failure domain that serves a request."""

from balsamtally.contracts import Customer, RequestClass
from balsamtally.facts import Facts
from balsamtally.messages import Ask, QueueState
from balsamtally.routes import Routes
from balsamtally.spill import PoolView, SpilloverRouter, SpillRequest
from balsamtally.zones import FailureDomain, RegionLink

BYTES_PER_TOKEN = 200
PROMPT_BYTES_PER_TOKEN = 4


class DomainSelector:
    """Keeps requests at home unless they would miss their target there and make it elsewhere.

    :param home: own failure domain
    :param facts: the state in force
    :param routes: who coordinates what
    :param spillover: weighs the other failure domains
    """

    def __init__(
        self, home: FailureDomain, facts: Facts, routes: Routes, spillover: SpilloverRouter
    ):
        self.home = home
        self.facts = facts
        self.routes = routes
        self.spillover = spillover

    def choose(self, ask: Ask, state: QueueState) -> str:
        """Return the failure domain that is to serve a request.

        :param ask: the request
        :param state: what its coordinator at home told
        :return: name of the failure domain; the home one if no other serves it better
        """
        request_class = self.facts.find(RequestClass, ask.request_class)
        customer = self.facts.find(Customer, ask.customer)
        if request_class is None or customer is None:
            return self.home.name
        request = SpillRequest(
            request=ask.request,
            request_class=request_class,
            customer=customer,
            slack_s=request_class.first_token_ms / 1000 - ask.waited_s,
            tokens=state.tokens,
            bytes=ask.prompt_tokens * PROMPT_BYTES_PER_TOKEN + state.tokens * BYTES_PER_TOKEN,
        )
        home = read_view(state, request_class.tier) if state.runners else None
        others = []
        for other in state.others:
            domain = self.facts.find(FailureDomain, other.domain)
            view = read_view(other, request_class.tier)
            if domain is not None and view is not None and other.runners:
                others.append((domain, view))
        chosen = self.spillover.choose_domain(request, home, others)
        if chosen is not None:
            return chosen.name
        if state.runners or not request_class.spill:
            return self.home.name
        return self._find_nearest(ask.pool)

    def _find_nearest(self, pool: str) -> str:
        """Return the nearest other failure domain that serves a pool and has a live VM."""
        names = [
            name
            for name in self.routes.list_domains(pool)
            if name != self.home.name and self.routes.list_members(name)
        ]
        return min(names, key=self._measure_way, default=self.home.name)

    def _measure_way(self, name: str) -> tuple[float, str]:
        domain = self.facts.find(FailureDomain, name)
        if domain is None:
            return RegionLink("").one_way_ms, name
        if domain.region == self.home.region:
            return 0.0, name
        return find_link(self.facts, self.home.region, domain.region).one_way_ms, name


def find_link(facts: Facts, one: str, other: str) -> RegionLink:
    """Return the link between two regions, one with the defaults if no ticket tells of it.

    :param facts: the state in force
    :param one: name of a region
    :param other: name of the other region
    """
    name = "+".join(sorted((one, other)))
    return facts.find(RegionLink, name) or RegionLink(name)


def read_view(state: QueueState, tier: int) -> PoolView | None:
    """Return what a new request of a tier would meet, ``None`` if that is not known.

    :param state: state of a queue
    :param tier: priority tier of the request
    """
    for known in state.tiers:
        if known.tier == tier:
            return PoolView(
                state.domain, known.wait_s, known.first_token_s, known.free_slots, state.age_s
            )
    return None
