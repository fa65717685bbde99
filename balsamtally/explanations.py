"""Explains to operators where a call would be placed now, and why, without placing it."""

import time
from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from balsamtally.assessment import make_capacity
from balsamtally.balancing import find_shares
from balsamtally.beats import Beat
from balsamtally.calls import Backend, Call, PromptPart
from balsamtally.catalog import Catalog, Contracts
from balsamtally.demands import Demand, make_demand
from balsamtally.dispatch import Dispatch
from balsamtally.errors import BalsamtallyError, UnknownKey
from balsamtally.plans import CallProgress, make_plan
from balsamtally.selection import Candidate, compute_cost, predict_first_event_s
from balsamtally.waiting import has_capacity, will_miss_target

EXPLAIN_PATH = "/explain"
DEFAULT_DEADLINE_S = 10.0


class ServerExplanation(msgspec.Struct, frozen=True):
    """What a placement would take into account of a backend server.

    :ivar name: its name
    :ivar domain: its failure domain
    :ivar share: probability with which it would be chosen now, 0 if it is left out
    :ivar left_out: why the call can't go there, empty if it can
    :ivar cost_s: cost of sending the call there, in weighted seconds
    :ivar first_event_s: expected time to the first event, in seconds
    :ivar region: its region
    :ivar running: calls on it
    :ivar slots: its slots
    :ivar reading_tokens: prompt tokens that it reads before the call's prompt
    :ivar fresh_tokens: prompt tokens of the call that it doesn't hold
    :ivar cold: whether it is cold
    :ivar limited: whether it limits the rate of requests
    """

    name: str
    domain: str
    share: float = 0.0
    left_out: str = ""
    cost_s: float | None = None
    first_event_s: float | None = None
    region: str = ""
    running: int = 0
    slots: int = 0
    reading_tokens: int = 0
    fresh_tokens: int = 0
    cold: bool = False
    limited: bool = False


class Explanation(msgspec.Struct, frozen=True):
    """Where a call would be placed now.

    :ivar route: its route
    :ivar service: its service
    :ivar customer: its customer, empty for a public route
    :ivar tier: its priority tier
    :ivar allowed_regions: regions that may run it, ``None`` for all
    :ivar decided_by: the entry VM that places it; the explanation is from the view of the VM asked
    :ivar chosen: the likeliest backend server, empty if there is none
    :ivar waits: why it would wait or be refused, empty if it would be placed at once
    :ivar servers: the service's backend servers, the likeliest first
    """

    route: str
    service: str
    customer: str
    tier: int
    allowed_regions: list[str] | None
    decided_by: str
    chosen: str
    waits: str
    servers: list[ServerExplanation]


def read_call(query: str, contracts: Contracts | None, now_s: float) -> Call:
    """Return the call that a query describes.

    :param query: ``host``, ``path``, and as wanted ``customer``, ``id``, ``deadline`` in seconds,
        ``bytes``, ``answer`` in tokens, and a ``part`` (``NAME:TOKENS``) for each prompt part
    :param contracts: the contracts in force
    :param now_s: monotonic clock in seconds
    :raises ValueError: if a number is invalid
    :raises UnknownKey: if there is no such customer
    """
    fields = parse_qs(query)

    def find(name: str, default: str = "") -> str:
        return fields.get(name, [default])[0]

    parts = []
    for text in fields.get("part", ()):
        name, _, tokens = text.rpartition(":")
        parts.append(PromptPart(name, int(tokens)))
    return Call(
        id=find("id", "explain"),
        method=b"POST",
        target=find("path", "/").encode(),
        host=find("host"),
        key=find_key(find("customer"), contracts),
        deadline_s=float(find("deadline", str(DEFAULT_DEADLINE_S))),
        arrived_s=now_s,
        headers=(),
        body=bytes(min(int(find("bytes", "0")), 4_000_000)),
        parts=tuple(parts),
        prompt_tokens=sum(part.tokens for part in parts),
        answer_tokens=int(find("answer", "0")),
    )


def find_key(customer: str, contracts: Contracts | None) -> str:
    """Return a key of a customer, empty if none is named.

    :param customer: name of the customer
    :param contracts: the contracts in force
    :raises UnknownKey: if there is no such customer
    """
    accounts = (contracts.accounts if contracts is not None else None) or {}
    keys = [key for key, account in accounts.items() if account.name == customer]
    if customer and not keys:
        raise UnknownKey
    return keys[0] if customer else ""


def explain_call(
    call: Call, dispatch: Dispatch, catalog: Catalog, decided_by: str, now_s: float
) -> Explanation:
    """Return where a call would be placed now; nothing is counted, reserved or sent.

    :param call: the call
    :param dispatch: the view of the entry VM
    :param catalog: the backend servers and contracts
    :param decided_by: name of the entry VM that places the call
    :param now_s: monotonic clock in seconds
    :raises BalsamtallyError: if the contracts don't allow the call
    """
    plan = make_plan(call, catalog.contracts)
    demand = make_demand(plan, CallProgress())
    candidates = dispatch.preview(demand)
    shares = share_out(demand, candidates, dispatch, now_s)
    chosen = max(shares, key=shares.get, default="")
    by_name = {candidate.backend.name: candidate for candidate in candidates}
    servers = [
        explain_server(backend, by_name.get(backend.name), demand, dispatch, shares, now_s)
        for backend in catalog.backends.values()
        if backend.service == plan.service
    ]
    regions = plan.allowed_regions
    return Explanation(
        plan.route.name,
        plan.service,
        plan.customer,
        plan.tier,
        sorted(regions) if regions is not None else None,
        decided_by,
        chosen,
        explain_wait(demand, by_name.get(chosen), dispatch, now_s),
        sorted(servers, key=lambda server: (-server.share, bool(server.left_out), server.name)),
    )


def share_out(
    demand: Demand, candidates: list[Candidate], dispatch: Dispatch, now_s: float
) -> dict[str, float]:
    """Return the probability with which each candidate would be chosen, by name.

    :param demand: requirements of the call
    :param candidates: the backend servers that it may be sent to
    :param dispatch: the view of the entry VM
    :param now_s: monotonic clock in seconds
    """
    if not candidates:
        return {}
    if dispatch.runners.spreads_evenly(demand.service):
        left_s = demand.arrived_s + demand.target_s - now_s
        times = dispatch.runners.find_call_times(demand.service)
        found = find_shares(candidates, left_s, demand.size_bytes, times)
        return {candidate.backend.name: share for candidate, share in found}
    best = dispatch.choose_among(demand, candidates)
    return {best.backend.name: 1.0} if best is not None else {}


def explain_server(
    backend: Backend,
    candidate: Candidate | None,
    demand: Demand,
    dispatch: Dispatch,
    shares: dict[str, float],
    now_s: float,
) -> ServerExplanation:
    """Return what a placement would take into account of a backend server.

    :param backend: the backend server
    :param candidate: its state as a candidate, ``None`` if it is none
    :param demand: requirements of the call
    :param dispatch: the view of the entry VM
    :param shares: probability of each candidate by name
    :param now_s: monotonic clock in seconds
    """
    limited = dispatch.runners.is_limited(backend)
    if candidate is None:
        why = dispatch.runners.explain_absence(demand, backend)
        return ServerExplanation(
            backend.name, backend.domain, left_out=why, slots=backend.slots, limited=limited
        )
    left_s = demand.arrived_s + demand.target_s - now_s
    return ServerExplanation(
        backend.name,
        backend.domain,
        round(shares.get(backend.name, 0.0), 3),
        "",
        round(compute_cost(candidate, left_s, demand.size_bytes), 4),
        round(predict_first_event_s(candidate), 4),
        candidate.region,
        candidate.running,
        backend.slots,
        candidate.reading_tokens,
        candidate.fresh_tokens,
        candidate.cold,
        limited,
    )


def explain_wait(demand: Demand, chosen: Candidate | None, dispatch: Dispatch, now_s: float) -> str:
    """Return why a call would wait or be refused, empty if it would be placed at once.

    :param demand: requirements of the call
    :param chosen: the backend server that it would go to, ``None`` if there is none
    :param dispatch: the view of the entry VM
    :param now_s: monotonic clock in seconds
    """
    if chosen is None:
        limited = dispatch.runners.list_limited(demand)
        return "waits for a permit of a limited server" if limited else "refused: no server"
    engine = dispatch.runners.find_engine(demand.service)
    if engine is None:
        return ""
    waiter = dispatch.make_waiter(demand)
    late = will_miss_target(waiter, now_s)
    capacity = make_capacity(chosen, engine)
    if has_capacity(capacity, demand.tier, demand.memory_tokens, late):
        return ""
    return f"waits for {chosen.backend.name}, which has no capacity for the call's tier"


def answer_page(
    query: str,
    dispatch: Dispatch,
    catalog: Catalog,
    find_coordinator: Callable[[str], Beat | None],
    vm: str,
) -> tuple[int, bytes]:
    """Return the HTTP status and the JSON body of the page that explains a placement.

    :param query: the call, see :func:`read_call`
    :param dispatch: the view of the entry VM
    :param catalog: the backend servers and contracts
    :param find_coordinator: returns the last beat of a service's coordinator, ``None`` for this VM
    :param vm: name of this VM
    """
    now_s = time.monotonic()
    try:
        call = read_call(query, catalog.contracts, now_s)
        explanation = explain_call(call, dispatch, catalog, vm, now_s)
    except ValueError as error:
        return 400, msgspec.json.encode({"error": str(error)})
    except BalsamtallyError as error:
        # That the call would be refused is an explanation too.
        return 200, msgspec.json.encode({"error": error.report()})
    coordinator = find_coordinator(explanation.service)
    if coordinator is not None:
        explanation = msgspec.structs.replace(explanation, decided_by=coordinator.vm)
    return 200, msgspec.json.encode(explanation)
