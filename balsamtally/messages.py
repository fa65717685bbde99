"""Messages between the daemons."""

import msgspec

from balsamtally.errors import ErrorReport


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages; new fields go to the end, with defaults, for older daemons."""


class Done(Message, frozen=True):
    """An empty reply."""


class Failed(Message, frozen=True):
    """A reply that carries an error.

    :ivar error: the error
    """

    error: ErrorReport


class Ask(Message, frozen=True):
    """A request for a slot on a model runner.

    :ivar request: id of the request
    :ivar attempt: number of the attempt, from 1
    :ivar pool: name of the model
    :ivar customer: name of the customer
    :ivar request_class: name of the request class
    :ivar waited_s: time that the request has waited before this message, in seconds
    :ivar prefix: hashes of the prompt's prefix blocks, the shortest first
    :ivar prompt_tokens: estimated tokens of the prompt
    :ivar preemptions: how often it was preempted before
    :ivar excluded: runners that failed this request
    :ivar generated: tokens of the answer that have reached the caller
    """

    request: str
    attempt: int
    pool: str
    customer: str
    request_class: str
    waited_s: float = 0.0
    prefix: tuple[int, ...] = ()
    prompt_tokens: int = 0
    preemptions: int = 0
    excluded: tuple[str, ...] = ()
    generated: int = 0


class QueueQuery(Message, frozen=True):
    """A question for the state of a pool's queue; the reply is a :class:`QueueState`.

    :ivar pool: name of the model
    """

    pool: str


class Hold(Message, frozen=True):
    """Runners that are to get no new work for a while, so that they can take an order.

    :ivar runners: their names
    :ivar time_s: for how long, in seconds
    """

    runners: tuple[str, ...]
    time_s: float


class Grant(Message, frozen=True):
    """A slot on a model runner, granted to one attempt.

    :ivar grant: id of the grant
    :ivar request: id of the request
    :ivar attempt: number of the attempt
    :ivar runner: name of the runner
    :ivar candidates: how many runners were considered
    :ivar reason: why this one
    :ivar expires_s: seconds after which the grant is void unless it is renewed
    """

    grant: str
    request: str
    attempt: int
    runner: str
    candidates: int
    reason: str
    expires_s: float


class TierState(msgspec.Struct, frozen=True, array_like=True):
    """What a new request of one tier would meet in a queue.

    :ivar tier: the priority tier
    :ivar wait_s: expected time until it is granted a slot, in seconds
    :ivar first_token_s: usual time from the grant to the first token, in seconds
    :ivar free_slots: slots that are free for it
    """

    tier: int
    wait_s: float
    first_token_s: float
    free_slots: int


class QueueState(Message, frozen=True):
    """The state of a pool's queue at one coordinator.

    :ivar domain: name of its failure domain
    :ivar runners: number of its runners, 0 if it can't queue for the pool
    :ivar queued: requests that wait
    :ivar slots: slots of its runners
    :ivar used: slots in use by grants
    :ivar tiers: what a new request would meet, by tier
    :ivar tokens: expected length of an answer of the asking request's class
    :ivar age_s: age of this knowledge, in seconds
    :ivar others: the pool in other failure domains, where this one has no room
    :ivar grant: the asking request's grant, where it was made at once
    """

    domain: str
    runners: int
    queued: int = 0
    slots: int = 0
    used: int = 0
    tiers: tuple[TierState, ...] = ()
    tokens: float = 0.0
    age_s: float = 0.0
    others: tuple["QueueState", ...] = ()
    grant: Grant | None = None


class Refuse(Message, frozen=True):
    """A request is shed from the queue: it was not run and no grant was made.

    :ivar request: id of the request
    :ivar attempt: number of the attempt
    :ivar error: why
    """

    request: str
    attempt: int
    error: ErrorReport


class Release(Message, frozen=True):
    """A grant's slot is free again.

    :ivar grant: id of the grant
    :ivar pool: name of the model
    :ivar tokens: tokens generated
    :ivar first_token_s: time from dispatch to the first token in seconds, negative if none came
    :ivar failed: whether the runner failed
    :ivar refused: whether it refused the request or the connection
    """

    grant: str
    pool: str
    tokens: int = 0
    first_token_s: float = -1.0
    failed: bool = False
    refused: bool = False


class Renew(Message, frozen=True):
    """Grants that are still in use by the sender.

    :ivar pool: name of the model
    :ivar grants: ids of the grants
    """

    pool: str
    grants: tuple[str, ...]


class Revoke(Message, frozen=True):
    """A grant is taken back, so that the answer is cancelled and resumed later.

    :ivar grant: id of the grant
    :ivar request: id of the request
    """

    grant: str
    request: str


class Withdraw(Message, frozen=True):
    """A queued request is withdrawn, since its caller left.

    :ivar request: id of the request
    :ivar pool: name of the model
    """

    request: str
    pool: str


class CallService(Message, frozen=True):
    """A plain service call, forwarded to the entry VM that issued its receipt.

    :ivar receipt: text of the receipt
    :ivar customer: name of the customer
    :ivar service: name of the plain service
    :ivar operation: name of the operation
    :ivar body: body of the call
    """

    receipt: str
    customer: str
    service: str
    operation: str
    body: bytes


class ServiceAnswer(Message, frozen=True):
    """The whole answer of a plain service.

    :ivar status: HTTP status
    :ivar body: body of the answer
    :ivar content_type: type of the body
    """

    status: int
    body: bytes
    content_type: str = "application/json"


class CallResult(Message, frozen=True):
    """How a forwarded plain service call ended.

    Only the incarnation that issued the receipt knows whether the call was run.

    :ivar incarnation: identity of the replying process
    :ivar number: sequence number of the receipt
    :ivar digest: digest of the call, since a receipt may be sent with another body
    :ivar answer: the answer, ``None`` where there is an error
    :ivar error: the error, ``None`` where there is an answer
    """

    incarnation: str
    number: int
    digest: bytes
    answer: ServiceAnswer | None = None
    error: ErrorReport | None = None


class MemberState(msgspec.Struct, frozen=True, array_like=True):
    """What an entry VM knows of another.

    Of two states of one name, the one with the higher generation, incarnation and status holds.
    Only the VM itself raises its generation.

    :ivar name: name of the VM
    :ivar address: IP number and port of its peer listener
    :ivar domain: failure domain it stands in
    :ivar region: region of the failure domain
    :ivar incarnation: identity of its process, empty where it is not known
    :ivar generation: 0 if only the platform's list tells of it
    :ivar status: 0 alive, 1 suspected, 2 dead, 3 left
    :ivar leaving: whether it announced that it is leaving
    """

    name: str
    address: str
    domain: str
    region: str
    incarnation: str = ""
    generation: int = 0
    status: int = 0
    leaving: bool = False


class Heartbeat(Message, frozen=True):
    """A sign of life with what changed lately, and the reply to it.

    :ivar sender: the sending entry VM
    :ivar members: what changed lately among the entry VMs
    :ivar digest: digest of the tickets in force at the sender
    :ivar member_digests: digest of the live members of each failure domain
    :ivar listed_leaving: VMs that the platform lists as leaving, if the sender watches the list
    """

    sender: MemberState
    members: tuple[MemberState, ...] = ()
    digest: str = ""
    member_digests: dict[str, int] = {}
    listed_leaving: tuple[str, ...] | None = None


class Probe(Message, frozen=True):
    """A request to send a heartbeat to a VM that the sender can't reach.

    :ivar target: what the sender knows of that VM
    """

    target: MemberState


class ProbeResult(Message, frozen=True):
    """The reply to a probe.

    :ivar target: state of the VM as it answered, ``None`` if it did not
    """

    target: MemberState | None


class MemberExchange(Message, frozen=True):
    """All that the sender knows of some failure domains' members; the reply is the same.

    :ivar members: states of the members
    :ivar domains: names of the failure domains
    """

    members: tuple[MemberState, ...]
    domains: tuple[str, ...]


class TicketNotice(msgspec.Struct, frozen=True, array_like=True):
    """A ticket that failed its checks.

    :ivar digest: digest of its text
    :ivar source: key under which the platform holds it
    :ivar reason: all the faults
    """

    digest: str
    source: str
    reason: str


class TicketOffer(Message, frozen=True):
    """Tickets that the receiver may lack.

    :ivar tickets: JSON texts of the tickets
    :ivar refused: tickets that failed their checks
    """

    tickets: tuple[bytes, ...]
    refused: tuple[TicketNotice, ...] = ()


class TicketDigests(Message, frozen=True):
    """A request for the index of the tickets that differ.

    :ivar buckets: a digest for each group of ticket numbers at the sender
    """

    buckets: tuple[int, ...]


class TicketIndex(Message, frozen=True):
    """Numbers and digests of the tickets in the groups that differ.

    :ivar held: tickets that set an object at the sender
    :ivar conflicts: tickets that share their number with another
    :ivar refused: tickets that failed their checks
    """

    held: tuple[tuple[int, str], ...]
    conflicts: tuple[tuple[int, str], ...] = ()
    refused: tuple[TicketNotice, ...] = ()


class TicketRequest(Message, frozen=True):
    """A request for tickets; the reply offers as many as fit into one message.

    :ivar wanted: number and digest of each ticket that the sender lacks
    """

    wanted: tuple[tuple[int, str], ...]


class LimitDemand(msgspec.Struct, frozen=True, array_like=True):
    """What an entry VM needs of a limit.

    :ivar key: the limit, such as ``customer/dunas/requests_per_s``
    :ivar rate: cost that callers ask for a second
    :ivar want: tokens wanted now
    """

    key: str
    rate: float
    want: float = 0.0


class LimitAsk(Message, frozen=True):
    """A request for tokens of limits, to their coordinator in the failure domain.

    :ivar demands: what the sender needs
    """

    demands: tuple[LimitDemand, ...]


class LimitTokens(Message, frozen=True):
    """Tokens of limits.

    :ivar tokens: tokens for each demand, in the same order, negative where the limit is unknown
    """

    tokens: tuple[float, ...]


class DomainDemand(Message, frozen=True):
    """What a failure domain needs of the limits of one shard.

    :ivar domain: name of the failure domain
    :ivar shard: number of the shard
    :ivar demands: what its entry VMs need together
    """

    domain: str
    shard: int
    demands: tuple[LimitDemand, ...] = ()


AnyMessage = (
    Done
    | Failed
    | Ask
    | QueueState
    | QueueQuery
    | Hold
    | Grant
    | Refuse
    | Release
    | Renew
    | Revoke
    | Withdraw
    | CallService
    | ServiceAnswer
    | CallResult
    | Heartbeat
    | Probe
    | ProbeResult
    | MemberExchange
    | TicketOffer
    | TicketDigests
    | TicketIndex
    | TicketRequest
    | LimitAsk
    | LimitTokens
    | DomainDemand
)
