"""Messages that the daemons of the entry VMs exchange over their links."""

import msgspec

from balsamtally.errors import ErrorReport

# Stands for an attempt after all others.
ALL_ATTEMPTS = 2**31 - 1


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of all messages.

    Messages are encoded as arrays. For compatibility with older daemons, new fields are appended
    and have defaults.
    """


class Done(Message, frozen=True):
    """An empty reply."""


class Failed(Message, frozen=True):
    """A reply that reports an error.

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
    :ivar waited_s: time that the request waited before this message was sent, in seconds
    :ivar prefix: hashes of the prompt's prefix blocks, shortest prefix first
    :ivar prompt_tokens: estimated number of prompt tokens
    :ivar preemptions: number of times the request was preempted before
    :ivar excluded: runners that failed or refused this request
    :ivar generated: number of answer tokens already delivered to the caller
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
    """A query for the state of a pool's queue; the reply is a :class:`QueueState`.

    :ivar pool: name of the model
    """

    pool: str


class Hold(Message, frozen=True):
    """A request to send no new work to some runners for a while, so that they can accept an order.

    :ivar runners: names of the runners
    :ivar duration_s: how long no work is sent, in seconds
    """

    runners: tuple[str, ...]
    duration_s: float


class Grant(Message, frozen=True):
    """A slot on a model runner, granted to one attempt.

    :ivar grant: id of the grant
    :ivar request: id of the request
    :ivar attempt: number of the attempt
    :ivar runner: name of the runner
    :ivar candidates: number of runners considered
    :ivar reason: why this runner was selected
    :ivar expires_s: time after which the grant expires unless it is renewed, in seconds
    """

    grant: str
    request: str
    attempt: int
    runner: str
    candidates: int
    reason: str
    expires_s: float


class TierState(msgspec.Struct, frozen=True, array_like=True):
    """The wait and capacity that a queue offers to a new request of one tier.

    :ivar tier: the priority tier
    :ivar wait_s: expected time until the request is granted a slot, in seconds
    :ivar first_token_s: typical time from the grant to the first token, in seconds
    :ivar free_slots: number of slots free for the tier
    """

    tier: int
    wait_s: float
    first_token_s: float
    free_slots: int


class QueueState(Message, frozen=True):
    """The state of a pool's queue at one coordinator.

    :ivar domain: name of the coordinator's failure domain
    :ivar runners: number of the coordinator's runners, 0 if it can't queue for the pool
    :ivar queued: number of waiting requests
    :ivar slots: number of slots of the runners
    :ivar used: number of slots in use by grants
    :ivar tiers: expected wait and capacity for a new request, by tier
    :ivar tokens: expected answer length in tokens for the class of the asking request
    :ivar age_s: age of this state, in seconds
    :ivar others: states of the pool's queues in other failure domains, sent where this domain has
        no capacity left
    :ivar grant: the grant of the asking request, if it was granted a slot immediately
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
    """Notice that a request was shed from the queue: it was not run and got no grant.

    :ivar request: id of the request
    :ivar attempt: number of the attempt
    :ivar error: why the request was shed
    """

    request: str
    attempt: int
    error: ErrorReport


class Release(Message, frozen=True):
    """Returns the slot of a grant and reports how the attempt ended.

    :ivar grant: id of the grant
    :ivar pool: name of the model
    :ivar tokens: number of tokens generated
    :ivar first_token_s: time from dispatch to the first token in seconds, negative without one
    :ivar failed: whether the runner failed
    :ivar refused: whether the runner refused the request or the connection
    """

    grant: str
    pool: str
    tokens: int = 0
    first_token_s: float = -1.0
    failed: bool = False
    refused: bool = False


class Renew(Message, frozen=True):
    """Renews grants that the sender still uses.

    :ivar pool: name of the model
    :ivar grants: ids of the grants
    """

    pool: str
    grants: tuple[str, ...]


class Revoke(Message, frozen=True):
    """Revokes a grant: its answer is cancelled and resumed later under another grant.

    :ivar grant: id of the grant
    :ivar request: id of the request
    """

    grant: str
    request: str


class Withdraw(Message, frozen=True):
    """Ends an attempt of a queued request, and those before it.

    :ivar request: id of the request
    :ivar pool: name of the model
    :ivar attempt: number of the attempt; by default all attempts end, as for a sender of an
        earlier version
    """

    request: str
    pool: str
    attempt: int = ALL_ATTEMPTS


class CallService(Message, frozen=True):
    """A plain service call, forwarded to the entry VM that issued its receipt.

    :ivar receipt: encoded receipt
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
    """The complete answer of a plain service.

    :ivar status: HTTP status code
    :ivar body: body of the answer
    :ivar content_type: MIME type of the body
    """

    status: int
    body: bytes
    content_type: str = "application/json"


class CallResult(Message, frozen=True):
    """The result of a forwarded plain service call.

    Only the incarnation that issued the receipt knows whether the call was run.

    :ivar incarnation: identity of the replying process
    :ivar number: sequence number of the receipt
    :ivar digest: digest of the call, to detect a receipt sent again with another call
    :ivar answer: the answer, ``None`` where there is an error
    :ivar error: the error, ``None`` where there is an answer
    """

    incarnation: str
    number: int
    digest: bytes
    answer: ServiceAnswer | None = None
    error: ErrorReport | None = None


class MemberState(msgspec.Struct, frozen=True, array_like=True):
    """The state of an entry VM in the membership.

    Of two states with the same name, the state with the higher generation, incarnation and status,
    compared in this order, takes precedence. Only the VM itself increases its generation.

    :ivar name: name of the VM
    :ivar address: IP address and port of its peer listener
    :ivar domain: failure domain of the VM
    :ivar region: region of the failure domain
    :ivar incarnation: identity of the VM's process, empty if unknown
    :ivar generation: generation of the state, 0 if the VM is known only from the platform's list
    :ivar status: 0 alive, 1 suspected, 2 dead, 3 left
    :ivar leaving: whether the VM announced that it is draining
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
    """A heartbeat with recent membership changes; the reply is a heartbeat too.

    :ivar sender: state of the sending entry VM
    :ivar members: recently changed states of entry VMs
    :ivar digest: digest of the tickets in force at the sender
    :ivar member_digests: digest of the live members of each failure domain, by domain
    :ivar listed_leaving: VMs that the platform lists as leaving, ``None`` if the sender doesn't
        watch the list
    """

    sender: MemberState
    members: tuple[MemberState, ...] = ()
    digest: str = ""
    member_digests: dict[str, int] = {}
    listed_leaving: tuple[str, ...] | None = None


class Probe(Message, frozen=True):
    """A request to send a heartbeat to a VM that the sender can't reach itself.

    :ivar target: state of that VM at the sender
    """

    target: MemberState


class ProbeResult(Message, frozen=True):
    """The reply to a probe.

    :ivar target: state of the VM according to its answer, ``None`` if it did not answer
    """

    target: MemberState | None


class MemberExchange(Message, frozen=True):
    """The sender's view of the members of some failure domains; the reply has the same form.

    :ivar members: states of the members
    :ivar domains: names of the failure domains
    """

    members: tuple[MemberState, ...]
    domains: tuple[str, ...]


class TicketNotice(msgspec.Struct, frozen=True, array_like=True):
    """Notice of a ticket that failed validation.

    :ivar digest: digest of the ticket's text
    :ivar source: key of the ticket in the platform's store
    :ivar reason: description of all validation errors
    """

    digest: str
    source: str
    reason: str


class TicketOffer(Message, frozen=True):
    """Tickets that the receiver may not have.

    :ivar tickets: JSON texts of the tickets
    :ivar refused: tickets that failed validation
    """

    tickets: tuple[bytes, ...]
    refused: tuple[TicketNotice, ...] = ()


class TicketDigests(Message, frozen=True):
    """A request for the index of the ticket groups that differ between sender and receiver.

    :ivar buckets: digest of each group of ticket numbers at the sender
    """

    buckets: tuple[int, ...]


class TicketIndex(Message, frozen=True):
    """Numbers and digests of the tickets in the groups that differ.

    :ivar held: tickets that define the current version of an object at the sender
    :ivar conflicts: tickets that share their number with another ticket
    :ivar refused: tickets that failed validation
    """

    held: tuple[tuple[int, str], ...]
    conflicts: tuple[tuple[int, str], ...] = ()
    refused: tuple[TicketNotice, ...] = ()


class TicketRequest(Message, frozen=True):
    """A request for tickets; the reply contains as many as fit into one message.

    :ivar wanted: number and digest of each ticket that the sender doesn't have
    """

    wanted: tuple[tuple[int, str], ...]


class LimitDemand(msgspec.Struct, frozen=True, array_like=True):
    """The demand of an entry VM or failure domain for the tokens of one rate limit.

    :ivar key: key of the limit, such as ``customer/dunas/requests_per_s``
    :ivar rate: cost of the callers' requests per second
    :ivar want: number of tokens wanted now
    """

    key: str
    rate: float
    want: float = 0.0


class LimitAsk(Message, frozen=True):
    """A request for rate limit tokens, sent to the limits' coordinator in the failure domain.

    :ivar demands: demands of the sender, by limit
    """

    demands: tuple[LimitDemand, ...]


class LimitTokens(Message, frozen=True):
    """Rate limit tokens granted in reply to demands.

    :ivar tokens: tokens for each demand in the same order, negative if the limit is unknown
    """

    tokens: tuple[float, ...]


class DomainDemand(Message, frozen=True):
    """The demand of a failure domain for the limits of one shard.

    :ivar domain: name of the failure domain
    :ivar shard: number of the shard
    :ivar demands: total demands of the domain's entry VMs
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
