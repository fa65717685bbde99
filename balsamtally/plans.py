"""What the contracts say of a call, and how far the call has come."""

from dataclasses import dataclass, field

import xxhash

from balsamtally.calls import Account, AnswerHead, Backend, Call, Route
from balsamtally.catalog import Contracts
from balsamtally.errors import NotReady, UnknownKey, UnknownPath

# Ranks within a tier; the users' routes have tiers 0 to 2.
ROUTE_RANKS = 3


@dataclass(frozen=True)
class Plan:
    """What the contracts in force say of a call.

    :ivar call: the call
    :ivar route: its route
    :ivar service: service that it goes to
    :ivar customer: name of the customer, empty where the route is public
    :ivar tier: priority tier
    :ivar urgency: rank among all calls, 0 is the first: by tier, and there by the route's tier
    :ivar version: version of the contracts
    :ivar until_s: steady clock at which its caller gets a final answer, in seconds
    """

    call: Call
    route: Route
    service: str
    customer: str
    tier: int
    urgency: int
    version: int
    until_s: float


@dataclass
class CallProgress:
    """How far a call has come.

    :ivar sent: backend servers that it was sent to
    :ivar terminated: backend servers among these that have ended since
    :ivar unreachable: backend servers that could not be reached
    :ivar waited_s: time that it waited for its first backend server, in seconds
    :ivar avoid: names of backend servers that are not tried again
    :ivar last_event: last event that the caller was sent
    :ivar may_have_run: whether a backend server may have run it
    :ivar failed_answer: a failed answer of a backend server, for want of a better one
    :ivar begun: whether the caller has the head of an answer
    :ivar first_event_s: steady clock when the answer began, 0 before
    :ivar last_piece_s: steady clock when the last piece of a stream came
    :ivar longest_gap_s: longest pause between two pieces, in seconds
    :ivar backend: the last backend server that it was sent to, ``None`` before
    :ivar status: status that the caller got
    """

    sent: int = 0
    terminated: int = 0
    unreachable: int = 0
    waited_s: float = 0.0
    avoid: set[str] = field(default_factory=set)
    last_event: int | None = None
    may_have_run: bool = False
    failed_answer: tuple[AnswerHead, bytes] | None = None
    begun: bool = False
    first_event_s: float = 0.0
    last_piece_s: float = 0.0
    longest_gap_s: float = 0.0
    backend: Backend | None = None
    status: int = 0


def make_plan(call: Call, contracts: Contracts | None) -> Plan:
    """Return what the contracts say of a call.

    :param call: the call
    :param contracts: the contracts in force, ``None`` where none are known
    :raises BalsamtallyError: if they don't allow it
    """
    if contracts is None:
        raise NotReady
    route = contracts.find_route(call.host, call.target.partition(b"?")[0].decode("latin-1"))
    if route is None:
        raise UnknownPath
    account: Account | None = None
    if contracts.accounts is not None and not route.public:
        account = contracts.accounts.get(call.key)
        if account is None:
            raise UnknownKey
    tier = route.tier if account is None or account.tier is None else account.tier
    rank = min(route.tier, ROUTE_RANKS - 1)
    wait_s = min(call.deadline_s, route.timeout_s)
    return Plan(
        call=call,
        route=route,
        service=pick_service(call.id, route),
        customer=account.name if account is not None else "",
        tier=tier,
        urgency=tier * ROUTE_RANKS + rank,
        version=contracts.version,
        until_s=call.arrived_s + wait_s,
    )


def pick_service(call_id: str, route: Route) -> str:
    """Return the service of a call: its id decides, by the weights of the route's branches.

    :param call_id: id of the call
    :param route: its route
    """
    total = sum(branch.weight for branch in route.branches)
    point = xxhash.xxh3_64_intdigest(call_id.encode()) / 2**64 * total
    for branch in route.branches:
        point -= branch.weight
        if point < 0:
            return branch.service
    return route.branches[-1].service
