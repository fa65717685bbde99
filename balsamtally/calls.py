"""Data types of calls: routes, services, customers, backend servers, attempts and answers."""

import enum
from dataclasses import dataclass, field

Headers = tuple[tuple[bytes, bytes], ...]
# Statuses of answers without a body and a length.
BODILESS = frozenset((204, 304))


class Repeat(enum.Enum):
    """Whether a call may be run more than once.

    ``RESUME``: a stream that another backend server may continue after the last whole event.
    """

    NEVER = "never"
    ALWAYS = "always"
    RESUME = "resume"


@dataclass(frozen=True)
class Branch:
    """A service that a route sends calls to.

    :ivar service: name of the service
    :ivar weight: share of the route's calls, relative to the other branches
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """The published contract for calls with a given host and path prefix.

    :ivar name: unique name
    :ivar host: host in the ``Host`` header of its calls
    :ivar path_prefix: prefix of the paths of its calls
    :ivar repeat: whether a call may be run again
    :ivar streams: whether answers are event streams
    :ivar timeout_s: longest time until the end of the answer, in seconds
    :ivar target_s: latency target for the answer or its first event, in seconds
    :ivar gap_s: target for the longest time between two events of a stream, in seconds
    :ivar tier: priority tier, 0 is the highest
    :ivar max_attempts: most backend servers that one call may be sent to
    :ivar public: whether calls need no API key
    :ivar branches: services that its calls are distributed to
    :ivar allowed_regions: regions whose backend servers may run its calls, ``None`` for all
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
    allowed_regions: frozenset[str] | None = None


@dataclass(frozen=True)
class Engine:
    """Published properties of the model engines of a service.

    :ivar slots: answers that an engine generates concurrently
    :ivar memory_tokens: memory for running calls and cached prompt parts, in tokens
    :ivar event_tokens: tokens in one event of a stream, 0 if it isn't published
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 0


@dataclass(frozen=True)
class Service:
    """A service and the common properties of its backend servers.

    :ivar name: unique name
    :ivar health_path: path of a backend server's health check
    :ivar max_connections: most connections that a backend server accepts in total
    :ivar engine: properties of its model engines, ``None`` for a plain service
    :ivar cold_rate_per_s: requests per second that a cold backend server takes from all entry VMs
        together, 0 if it isn't limited
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None
    cold_rate_per_s: float = 0.0


@dataclass(frozen=True)
class Limits:
    """Limits on the size and duration of callers' requests.

    :ivar max_header_bytes: largest request head, in bytes
    :ivar max_body_bytes: largest request body, in bytes
    :ivar head_timeout_s: longest time until the head is received, in seconds
    :ivar idle_timeout_s: time after which an idle connection is closed, in seconds; also the
        longest time until a body is received
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Account:
    """A customer, as found by the API key of a call.

    :ivar name: unique name
    :ivar tier: priority tier that overrides the route's tier, ``None`` to use the route's tier
    :ivar allowed_regions: regions whose backend servers may run its calls, ``None`` for all
    """

    name: str
    tier: int | None = None
    allowed_regions: frozenset[str] | None = None


@dataclass(frozen=True)
class Backend:
    """One incarnation of a backend server.

    :ivar name: id of the backend server
    :ivar born: start of the incarnation in Unix milliseconds, 0 if it isn't known
    :ivar service: name of the service
    :ivar address: IP number and port
    :ivar domain: its failure domain
    :ivar slots: calls that it runs concurrently
    :ivar leaving: whether it is draining and receives no new work
    :ivar cold_s: time for which it stays cold after its entry was written, in seconds, 0 if it is
        warm
    :ivar software: version of its software, empty if it isn't published
    """

    name: str
    born: int
    service: str
    address: tuple[str, int]
    domain: str
    slots: int
    leaving: bool = False
    cold_s: float = 0.0
    software: str = ""

    @property
    def key(self) -> tuple[str, int]:
        """Identity of the incarnation."""
        return (self.name, self.born)


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that several calls may share in a prefix cache.

    :ivar name: id of the part
    :ivar tokens: length in tokens
    """

    name: str
    tokens: int


@dataclass(frozen=True)
class Call:
    """One call of a caller.

    :ivar id: unique id that the caller gave to this attempt
    :ivar method: HTTP method
    :ivar target: path and query as sent
    :ivar host: host that the caller named, without a port
    :ivar key: API key, empty if there is none
    :ivar deadline_s: time that the caller waits for the answer, in seconds
    :ivar arrived_s: monotonic clock at the first byte of the request, in seconds
    :ivar headers: headers that are passed on to the backend server
    :ivar body: the request body
    :ivar last_event: id of the last event that the caller received, ``None`` to start a stream
    :ivar resumes: id of the caller's attempt that brought the first event of the stream that this
        call takes up, empty if the caller named none
    :ivar parts: parts of the prompt in order
    :ivar prompt_tokens: length of the prompt in tokens
    :ivar answer_tokens: maximum length of the answer in tokens
    :ivar hinted_tokens: length of the answer that the caller expects, in tokens, 0 if not given
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
    resumes: str = ""
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0
    hinted_tokens: int = 0

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts of the prompt that other calls may share: all but the last."""
        return self.parts[:-1]


@dataclass(frozen=True)
class Attempt:
    """One attempt to run a call at a backend server.

    :ivar call: the call
    :ivar backend: the backend server
    :ivar customer: name of the customer, empty if the route is public
    :ivar urgency: priority sent to the backend server, 0 is the most urgent
    :ivar left_s: time left for the answer, sent to the backend server, in seconds
    :ivar last_event: id of the event after which the stream resumes, ``None`` from the start
    """

    call: Call
    backend: Backend
    customer: str
    urgency: int
    left_s: float
    last_event: int | None = None


class Verdict(enum.Enum):
    """Classification of the head of a backend server's answer.

    ``ANSWER``: the answer to the attempt, a success or an error; ``NOT_RUN``: the call did not run
    and never will; ``NOT_THERE``: like ``NOT_RUN``, and the address belongs to another backend
    server now; ``FOREIGN``: the answer to another request; ``INVALID``: an answer that must not be
    passed on.
    """

    ANSWER = "answer"
    NOT_RUN = "not_run"
    NOT_THERE = "not_there"
    FOREIGN = "foreign"
    INVALID = "invalid"


@dataclass(frozen=True)
class Notice:
    """What a backend server says about itself in the head of an answer.

    :ivar leaving: whether it is leaving and wants no further calls
    :ivar pause_s: time for which it wants no calls from this entry VM, in seconds, 0 for none
    :ivar limit_per_s: requests per second that it takes from all entry VMs together, ``None`` if it
        names no limit
    :ivar states_limit: whether the head tells the limit, or that there is none; false if the limit
        that it names is invalid
    :ivar brittle: refusals within a second beyond which it fails, ``None`` if it names none
    """

    leaving: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None
    states_limit: bool = True
    brittle: int | None = None


@dataclass(frozen=True)
class AnswerHead:
    """The head of a backend server's answer.

    :ivar status: HTTP status
    :ivar headers: headers as received
    """

    status: int
    headers: Headers = field(default=())

    @property
    def framing(self) -> str:
        """What ends the body: ``length``, ``chunked`` or, with neither header, ``close``."""
        names = {name.lower() for name, _ in self.headers}
        if b"transfer-encoding" in names:
            return "chunked"
        return "length" if b"content-length" in names else "close"

    @property
    def length(self) -> Headers:
        """The ``Content-Length`` header, empty if there is none or the answer has no body."""
        if self.status in BODILESS:
            return ()
        return tuple(pair for pair in self.headers if pair[0].lower() == b"content-length")
