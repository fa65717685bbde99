"""Calls on their way through an entry VM: what a caller asked for, and what it is sent back."""

import enum
from dataclasses import dataclass, field

Headers = tuple[tuple[bytes, bytes], ...]


class Repeat(enum.Enum):
    """Whether a call may be run more than once.

    A resumable stream may go on at another backend server behind its last whole event.
    """

    NEVER = "never"
    ALWAYS = "always"
    RESUME = "resume"


@dataclass(frozen=True)
class Branch:
    """A service that a route sends calls to.

    :ivar service: name of the service
    :ivar weight: its part of the calls, relative to the other branches
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """A contract on one kind of call.

    :ivar name: unique name
    :ivar host: host that callers name
    :ivar path_prefix: what the path of its calls begins with
    :ivar repeat: whether a call may be run again
    :ivar streams: whether answers are series of events
    :ivar timeout_s: longest time for the final answer, in seconds
    :ivar target_s: time within which an answer, or its first event, is on time, in seconds
    :ivar gap_s: longest pause between events that is on time, in seconds
    :ivar tier: priority tier, 0 is the highest
    :ivar max_attempts: most backend servers that one call may be sent to
    :ivar public: whether no key is needed
    :ivar branches: services that its calls go to
    """

    name: str
    host: str
    path_prefix: str
    repeat: Repeat
    streams: bool
    timeout_s: float
    target_s: float
    gap_s: float
    tier: int
    max_attempts: int
    public: bool
    branches: tuple[Branch, ...]


@dataclass(frozen=True)
class Engine:
    """What is published of the model engines of a service.

    :ivar slots: answers generated side by side
    :ivar memory_tokens: memory for running calls and cached parts, in tokens
    :ivar event_tokens: tokens of one event of a stream, 0 where that isn't published
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 0


@dataclass(frozen=True)
class Service:
    """A service and its backend servers' common properties.

    :ivar name: unique name
    :ivar health_path: path that tells a backend server's health
    :ivar max_connections: connections that a backend server takes from all callers together
    :ivar engine: its model engines, ``None`` for a plain service
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None


@dataclass(frozen=True)
class Limits:
    """What a caller may send, and how long it may take.

    :ivar max_header_bytes: largest head of a request
    :ivar max_body_bytes: largest body
    :ivar head_timeout_s: longest time for a head, in seconds
    :ivar idle_timeout_s: longest time that a connection stays idle, in seconds
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Account:
    """A customer as calls see it.

    :ivar name: unique name
    :ivar tier: tier that goes before that of the route, ``None`` where there is none
    """

    name: str
    tier: int | None = None


@dataclass(frozen=True)
class Backend:
    """One incarnation of a backend server.

    :ivar name: its id
    :ivar born: start of the incarnation in Unix milliseconds, 0 where it is not known
    :ivar service: name of the service
    :ivar address: IP number and port
    :ivar domain: failure domain it stands in
    :ivar slots: calls that it runs side by side
    :ivar leaving: whether it is to receive no new work
    """

    name: str
    born: int
    service: str
    address: tuple[str, int]
    domain: str
    slots: int
    leaving: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Identity of the incarnation."""
        return (self.name, self.born)


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt, which several calls may share.

    :ivar name: its id
    :ivar tokens: its length in tokens
    """

    name: str
    tokens: int


@dataclass(frozen=True)
class Call:
    """One call of a caller.

    :ivar id: id of this attempt of the caller, unique
    :ivar method: HTTP method
    :ivar target: path and query as sent
    :ivar host: host that the caller named, without a port
    :ivar key: API key, empty where there is none
    :ivar deadline_s: time that the caller waits, in seconds
    :ivar arrived_s: steady clock when its head began to come, in seconds
    :ivar headers: what is passed on to the backend server
    :ivar body: the body
    :ivar last_event: last event that the caller has, ``None`` if it asks from the start
    :ivar parts: parts of the prompt in order
    :ivar prompt_tokens: tokens of the prompt
    :ivar answer_tokens: most tokens of the answer
    :ivar hinted_tokens: tokens that the caller expects of the answer, 0 where it doesn't tell
    """

    id: str
    method: bytes
    target: bytes
    host: str
    key: str
    deadline_s: float
    arrived_s: float
    headers: Headers
    body: bytes
    last_event: int | None = None
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0
    hinted_tokens: int = 0


@dataclass(frozen=True)
class Attempt:
    """One send of a call to a backend server.

    :ivar call: the call
    :ivar backend: the backend server
    :ivar customer: name of the customer, empty where the route is public
    :ivar urgency: rank among all calls that the backend server is told, 0 is the first
    :ivar left_s: time that the backend server is given, in seconds
    :ivar last_event: event behind which the answer is to go on, ``None`` from the start
    """

    call: Call
    backend: Backend
    customer: str
    urgency: int
    left_s: float
    last_event: int | None = None


class Verdict(enum.Enum):
    """What the head of a backend server's answer says.

    ``ANSWER``: the answer to the attempt, a success or not; ``NOT_RUN``: it did not run and never
    will; ``NOT_THERE``: the same, and another backend server has the address; ``FOREIGN``: the
    answer to another request; ``INVALID``: nothing that may be passed on.
    """

    ANSWER = "answer"
    NOT_RUN = "not_run"
    NOT_THERE = "not_there"
    FOREIGN = "foreign"
    INVALID = "invalid"


@dataclass(frozen=True)
class AnswerHead:
    """The head of an answer.

    :ivar status: HTTP status
    :ivar headers: headers as received
    """

    status: int
    headers: Headers = field(default=())
