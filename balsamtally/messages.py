"""Messages between the daemons."""

import msgspec

from balsamtally.errors import ErrorReport
from balsamtally.machines import EntryVm


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages."""


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
    """

    grant: str
    pool: str
    tokens: int = 0
    first_token_s: float = -1.0
    failed: bool = False


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
    :ivar answer: the answer, ``None`` where there is an error
    :ivar error: the error, ``None`` where there is an answer
    """

    incarnation: str
    number: int
    answer: ServiceAnswer | None = None
    error: ErrorReport | None = None


class Heartbeat(Message, frozen=True):
    """A sign of life with what changed lately.

    :ivar sender: the sending entry VM
    :ivar members: other entry VMs, as the sender knows them
    :ivar digest: digest of the tickets that the sender has accepted
    """

    sender: EntryVm
    members: tuple[EntryVm, ...] = ()
    digest: str = ""


class TicketOffer(Message, frozen=True):
    """Tickets that the receiver may lack.

    :ivar tickets: JSON texts of the tickets
    """

    tickets: tuple[bytes, ...]


class TicketRequest(Message, frozen=True):
    """A request for the tickets that the sender lacks.

    :ivar held: number and digest of each ticket that the sender holds
    """

    held: tuple[tuple[int, str], ...]


AnyMessage = (
    Done
    | Failed
    | Ask
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
    | TicketOffer
    | TicketRequest
)
