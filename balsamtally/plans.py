"""The plan of a call under the contracts in force, and the call's progress."""

from dataclasses import dataclass, field

import xxhash

from balsamtally.backlogs import Work
from balsamtally.calls import Account, AnswerHead, Backend, Call, Repeat, Route
from balsamtally.catalog import Contracts
from balsamtally.errors import (
    BackendFailed,
    BalsamtallyError,
    NoAnswer,
    NotReady,
    Outcome,
    OutcomeUnknown,
    UnknownKey,
    UnknownPath,
)
from balsamtally.held_bytes import Holding
from balsamtally.origins import Origin

# Ranks within a tier, one for each of the tiers 0 to 2 that the operators' routes have.
ROUTE_RANKS = 3


@dataclass(frozen=True)
class Plan:
    """The terms of the contracts that apply to a call.

    :ivar call: the call
    :ivar route: the call's route
    :ivar service: service that the call is sent to
    :ivar customer: name of the customer, empty if the route is public
    :ivar tier: priority tier
    :ivar urgency: rank among all calls, 0 is the first: by tier, then by the route's tier
    :ivar version: version of the contracts
    :ivar until_s: monotonic clock by which the caller gets a final answer, in seconds
    :ivar allowed_regions: regions whose backend servers may run the call, ``None`` for all; may be
        empty
    """

    call: Call
    route: Route
    service: str
    customer: str
    tier: int
    urgency: int
    version: int
    until_s: float
    allowed_regions: frozenset[str] | None = None


@dataclass(frozen=True)
class Choice:
    """The backend server selected for an attempt.

    :ivar backend: the backend server
    :ivar work: the attempt's share in the work counted at the backend server
    """

    backend: Backend
    work: Work


@dataclass
class CallProgress:
    """The progress of a call over its attempts.

    :ivar sent: number of attempts that were sent to a backend server
    :ivar terminated: number of attempts whose backend server has terminated since
    :ivar crashes: number of attempts whose backend server ended before it began to answer
    :ivar waited_s: time from the call's arrival to its first attempt, in seconds
    :ivar avoid: names of backend servers that are not tried again
    :ivar paused: names of backend servers that pause as the next attempt is placed
    :ivar last_event: id of the last event sent to the caller, ``None`` before the first
    :ivar origin: where the stream that the caller has events of began, ``None`` if that isn't known
    :ivar software: version of a backend server's software at which the stream goes on, ``None`` for
        any
    :ivar may_have_run: whether a backend server may have run the call
    :ivar failed_answer: a backend server's error answer, returned if no attempt succeeds
    :ivar stored_bytes: counts the bytes of that answer, ``None`` where none is stored
    :ivar attempt_sent_s: monotonic clock when the last attempt was sent, in seconds
    :ivar heard_s: monotonic clock when its backend server last sent something, in seconds; that of
        the sending before
    :ivar attempt_begun: whether the backend server of the last attempt began to answer it
    :ivar former_may_run: whether the last attempt's backend server stopped sending and may still
        work on the call, as it didn't confirm the end of the connection
    :ivar place: place of the next attempt that was found while the last one still ran, ``None``
        without one
    :ivar probed_parts: quarantined groups of prompt parts that the next attempt probes
    :ivar first_event_s: monotonic clock when the answer began, in seconds, 0 before
    :ivar last_piece_s: monotonic clock when the last chunk of a stream arrived, in seconds
    :ivar longest_gap_s: longest time between two chunks of the stream, in seconds
    :ivar backend: backend server of the last attempt, ``None`` before the first
    :ivar exchange: connection of the last attempt, and number of its request on this connection
    :ivar relay: name of the entry VM through which the last attempt was sent, empty if directly
    :ivar framing: what ends the answer to the last attempt, empty before its head
    :ivar status: status that was sent to the caller
    :ivar answer: whether the caller was sent ``none`` of an answer, a part (``cut``), or a
        ``whole`` one
    :ivar answer_attempt: number of the attempt whose answer is sent, 0 for an error of this program
    :ivar sent_bytes: length of the body sent to the caller, in bytes
    """

    sent: int = 0
    terminated: int = 0
    crashes: int = 0
    waited_s: float = 0.0
    avoid: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    last_event: int | None = None
    origin: Origin | None = None
    software: str | None = None
    may_have_run: bool = False
    failed_answer: tuple[AnswerHead, bytes] | None = None
    stored_bytes: Holding | None = None
    attempt_sent_s: float = 0.0
    heard_s: float = 0.0
    attempt_begun: bool = False
    former_may_run: bool = False
    place: Choice | None = None
    probed_parts: set[tuple[str, ...]] = field(default_factory=set)
    first_event_s: float = 0.0
    last_piece_s: float = 0.0
    longest_gap_s: float = 0.0
    backend: Backend | None = None
    exchange: str = ""
    relay: str = ""
    framing: str = ""
    status: int = 0
    answer: str = "none"
    answer_attempt: int = 0
    sent_bytes: int = 0


def make_plan(call: Call, contracts: Contracts | None) -> Plan:
    """Return the plan of a call.

    :param call: the call
    :param contracts: the contracts in force, ``None`` if none are known
    :raises BalsamtallyError: if the contracts don't allow the call
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
        allowed_regions=find_allowed_regions(route, account),
    )


def find_allowed_regions(route: Route, account: Account | None) -> frozenset[str] | None:
    """Return the regions whose backend servers may run a call, ``None`` for all.

    The limits of the route and of the customer both apply, so that no region may be left.

    :param route: the call's route
    :param account: the caller's customer, ``None`` without one
    """
    limits = [route.allowed_regions, account.allowed_regions if account is not None else None]
    known = [limit for limit in limits if limit is not None]
    return frozenset.intersection(*known) if known else None


def pick_service(call_id: str, route: Route) -> str:
    """Return the service of a call, chosen by a hash of its id and the route's branch weights.

    :param call_id: id of the call
    :param route: route of the call
    """
    total = sum(branch.weight for branch in route.branches)
    point = xxhash.xxh3_64_intdigest(call_id.encode()) / 2**64 * total
    for branch in route.branches:
        point -= branch.weight
        if point < 0:
            return branch.service
    return route.branches[-1].service


def may_repeat(plan: Plan, begun: bool) -> bool:
    """Return whether a call that may have run may be sent again.

    :param plan: the call's plan
    :param begun: whether the head of an answer was sent to the caller
    """
    if plan.route.repeat is Repeat.ALWAYS:
        return not begun
    return plan.route.repeat is Repeat.RESUME


def find_last_event(call: Call, progress: CallProgress) -> int | None:
    """Return the id of the last event that the caller has, ``None`` if it has none.

    :param call: the call
    :param progress: progress of the call
    """
    return progress.last_event if progress.last_event is not None else call.last_event


def make_final_error(failure: BalsamtallyError, progress: CallProgress) -> BalsamtallyError:
    """Return the error that is sent to a caller after the last attempt.

    The outcome "not run" is reported only if no attempt may have run.

    :param failure: failure of the last attempt
    :param progress: progress of the call
    """
    if isinstance(failure, NoAnswer):
        return OutcomeUnknown(str(failure))
    if failure.outcome is Outcome.NOT_RUN and progress.may_have_run:
        return BackendFailed(f"an earlier attempt may have run; the last one failed: {failure}")
    return failure


def meets_targets(plan: Plan, progress: CallProgress, began_s: float) -> bool:
    """Return whether an answer met its latency targets for the first event and between events.

    :param plan: the plan of the call
    :param progress: the progress of the call
    :param began_s: time to the first event in seconds, negative if there was none
    """
    if not 0 <= began_s <= plan.route.target_s:
        return False
    return not plan.route.streams or progress.longest_gap_s <= plan.route.gap_s
