"""Exceptions and their numbered result codes."""

import enum

import msgspec

# Exit codes of both daemons: invalid settings, and a grace period that ended with calls in flight.
EXIT_SETTINGS_INVALID = 2
EXIT_GRACE_ENDED = 3


class Outcome(enum.Enum):
    """Whether a backend server ran the request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class BalsamtallyError(Exception):
    """Base class of all errors with a numbered result code.

    :cvar code: number that identifies the error in the table of docs/ERRORS.md
    :cvar status: HTTP status of the answer
    :cvar outcome: whether a backend server ran the request
    :cvar retry_after_s: seconds after which a client may retry, ``None`` to send no such hint
    :cvar default: message text if the raiser gives none
    """

    code = 9000
    status = 500
    outcome = Outcome.UNKNOWN
    retry_after_s: float | None = None
    default = "internal error"

    def __init__(self, message: str = "", retry_after_s: float | None = None):
        super().__init__(message or self.default)
        if retry_after_s is not None:
            self.retry_after_s = retry_after_s

    def report(self) -> "ErrorReport":
        """Return the error in the form that is sent to callers and peers."""
        return ErrorReport(
            message=str(self),
            code=self.code,
            type=type(self).__name__,
            outcome=self.outcome.value,
            retry_after_s=self.retry_after_s,
        )


class ErrorReport(msgspec.Struct, frozen=True):
    """An error as sent to callers and peers.

    :ivar message: human-readable text
    :ivar code: numbered result code
    :ivar type: name of the exception class
    :ivar outcome: ``not_run``, ``ran`` or ``unknown``
    :ivar retry_after_s: seconds after which a client may retry, ``None`` for no hint
    """

    message: str
    code: int
    type: str
    outcome: str
    retry_after_s: float | None = None

    def restore(self) -> BalsamtallyError:
        """Return the exception that this report describes."""
        found = ERRORS.get(self.code, BalsamtallyError)
        return found(self.message, self.retry_after_s)


def drop_traces(error: BalsamtallyError) -> BalsamtallyError:
    """Return an error without its tracebacks, whose frames would keep what they refer to.

    :param error: the error, which is kept as a value
    """
    link: BaseException | None = error
    while link is not None:
        link.__traceback__ = None
        link = link.__cause__ or link.__context__
    return error


class RequestError(BalsamtallyError):
    """The caller's request can't be accepted and was not run."""

    code = 1000
    status = 400
    outcome = Outcome.NOT_RUN
    default = "bad request"


class MalformedBody(RequestError):
    """The body isn't JSON of the expected shape."""

    code = 1001
    default = "the body is not valid JSON of the expected shape"


class BodyTooLarge(RequestError):
    """The request body exceeds the size limit."""

    code = 1002
    status = 413
    default = "the body is too large"


class UnknownKey(RequestError):
    """The API key is missing or belongs to no customer."""

    code = 1003
    status = 401
    default = "the API key is missing or unknown"


class UnknownModel(RequestError):
    """No pool serves the model."""

    code = 1004
    status = 404
    default = "unknown model"


class UnknownClass(RequestError):
    """The request class doesn't exist or isn't open to the customer."""

    code = 1005
    status = 403
    default = "unknown request class, or not open to this customer"


class UnknownService(RequestError):
    """The plain service or its operation doesn't exist."""

    code = 1006
    status = 404
    default = "unknown service or operation"


class MalformedHeader(RequestError):
    """A header isn't valid."""

    code = 1007
    default = "a header is not valid"


class UnknownPath(RequestError):
    """The path or method doesn't exist."""

    code = 1008
    status = 404
    default = "no such path or method"


class MalformedRequest(RequestError):
    """The request isn't valid HTTP, or is ambiguous."""

    code = 1009
    default = "the request is not valid"


class HeadTooLarge(RequestError):
    """The request line and headers exceed the size limit."""

    code = 1010
    status = 431
    default = "the head of the request is too large"


class RequestTimeout(RequestError):
    """The request was not received completely within the time limit."""

    code = 1011
    status = 408
    default = "the request was not received in time"


class ReceiptError(RequestError):
    """The receipt can't be used."""

    code = 1100
    default = "the receipt can't be used"


class ReceiptRequired(ReceiptError):
    """A non-idempotent call was sent without a receipt."""

    code = 1101
    status = 428
    default = "a non-idempotent call needs a receipt: POST /v1/receipts first"


class ReceiptInvalid(ReceiptError):
    """The receipt is forged or corrupted."""

    code = 1102
    default = "the receipt is not valid"


class ReceiptExpired(ReceiptError):
    """The receipt expired before its call was run."""

    code = 1103
    status = 410
    default = "the receipt has expired and its call was not run"


class ReceiptForeign(ReceiptError):
    """The receipt belongs to another customer."""

    code = 1104
    status = 403
    default = "the receipt belongs to another customer"


class ReceiptReused(ReceiptError):
    """The receipt was already used for another call; this call was not run."""

    code = 1105
    status = 409
    default = "the receipt was used for another call"


class ReceiptVoid(ReceiptError):
    """The receipt is void: its call was reported as not run and will never run."""

    code = 1106
    status = 410
    default = "the receipt is void: its call was not run and never will be"


class CapacityError(BalsamtallyError):
    """The request was refused for lack of capacity and was not run."""

    code = 2000
    status = 503
    outcome = Outcome.NOT_RUN
    retry_after_s = 1.0
    default = "no capacity"


class CustomerLimited(CapacityError):
    """The customer exceeds one of its limits."""

    code = 2001
    status = 429
    default = "the customer is over its limit"


class ClassLimited(CapacityError):
    """The request class exceeds its request rate."""

    code = 2002
    status = 429
    default = "the request class is over its limit"


class QueueFull(CapacityError):
    """The request was shed because the queue is full."""

    code = 2003
    default = "the queue is full"


class TargetHopeless(CapacityError):
    """The request was shed because it can't meet its latency target."""

    code = 2004
    default = "the latency target can't be met"


class NoBackend(CapacityError):
    """No reachable backend server serves the request."""

    code = 2005
    default = "no backend server in reach"


class Leaving(CapacityError):
    """The entry VM is draining."""

    code = 2006
    default = "this entry VM is leaving"


class NotReady(CapacityError):
    """The entry VM has not received any state yet."""

    code = 2007
    default = "this entry VM is not ready"


class ReceiptsFull(CapacityError):
    """The entry VM can store no further receipt, of the customer or at all."""

    code = 2008
    default = "no memory left for another receipt"


class RetriesExhausted(CapacityError):
    """The retry budget is exhausted and the request was not run."""

    code = 2009
    default = "the retry budget is exhausted"


class TooManyRequests(CapacityError):
    """The entry VM already holds its maximum number of requests or bytes of bodies."""

    code = 2010
    default = "this entry VM holds too many requests"


class QueueTimeout(CapacityError):
    """The request reached its maximum waiting time in the queue."""

    code = 2011
    default = "the request waited too long in the queue"


class BackendUnreachable(CapacityError):
    """The connection to the backend server failed, so nothing was sent."""

    code = 2012
    default = "no connection to the backend server"


class BackendRefused(CapacityError):
    """The backend server reported that it did not run the request and never will."""

    code = 2013
    default = "the backend server refused the request"


class BackendLeaving(BackendUnreachable):
    """The backend server began to drain, or to pause, before the request was sent."""

    code = 2014
    default = "the backend server is leaving"


class PartQuarantined(CapacityError):
    """A part of the prompt crashes backend servers, so that the call isn't sent to any."""

    code = 2015
    default = "a part of the prompt is quarantined, since it crashes backend servers"


class ConnectionUnusable(BackendUnreachable):
    """The connection ended, or had input, before the request's head was sent."""

    code = 2016
    default = "the connection ended before the request was sent"


class BackendsPaused(CapacityError):
    """All backend servers asked for a pause that lasts too long for the call."""

    code = 2017
    default = "all backend servers pause"


class SoftwareUnknown(CapacityError):
    """It isn't known which software version began the stream that the call takes up."""

    code = 2018
    default = "the software version that began the stream isn't known"


class LinksLost(BackendUnreachable):
    """This entry VM has lost its links to the backend servers, and no other VM relays for it."""

    code = 2019
    default = "this entry VM has lost its links to the backend servers"


class PathUnavailable(BackendUnreachable):
    """Another entry VM didn't relay a connection, which says nothing about the backend server."""

    code = 2020
    default = "another entry VM did not relay the connection"


class ResultError(BalsamtallyError):
    """A request was sent to a backend server and has no complete answer."""

    code = 3000
    status = 502
    default = "no complete answer"


class OutcomeUnknown(ResultError):
    """The call may have run; it is not sent again."""

    code = 3001
    status = 504
    default = "the outcome is unknown; the call is never sent a second time"


class AnswerCut(ResultError):
    """The answer ended prematurely."""

    code = 3002
    outcome = Outcome.RAN
    default = "the answer was cut short"


class BackendSilent(AnswerCut):
    """The backend server stopped sending to several streams."""

    code = 3011
    outcome = Outcome.UNKNOWN
    default = "the backend server has stopped sending"


class AnswerGone(ResultError):
    """The call ran, and its answer is no longer stored."""

    code = 3003
    status = 410
    outcome = Outcome.RAN
    default = "the call ran; its answer is no longer held"


class BackendFailed(ResultError):
    """The backend server answered with an error."""

    code = 3004
    outcome = Outcome.RAN
    default = "the backend server failed"


class WrongAnswer(ResultError):
    """The backend server answered for another request."""

    code = 3005
    default = "the backend server answered for another request"


class GraceEnded(ResultError):
    """The entry VM's grace period ended before the answer was complete."""

    code = 3006
    status = 504
    default = "the entry VM stopped before the answer's end"


class NoAnswer(ResultError):
    """No model runner answered; a model runner may have run the request."""

    code = 3007
    default = "no model runner answered"


class CallerLeft(ResultError):
    """The caller closed its connection, or its sending side, before the answer."""

    code = 3008
    status = 499
    default = "the caller closed its side of the connection; its work was cancelled"


class AnswerBegun(ResultError):
    """Another answer was to be written into one that had begun; only a fault of balsamtally."""

    code = 3009
    default = "the answer has begun already"


class AnswerTooLarge(AnswerCut):
    """The answer has more bytes than may be held of one, or of all answers together."""

    code = 3010
    default = "the answer is too large"


class OperatorError(BalsamtallyError):
    """An operator's input isn't valid."""

    code = 4000
    status = 400
    outcome = Outcome.NOT_RUN
    default = "not valid"


class SettingsInvalid(OperatorError):
    """The settings aren't valid."""

    code = 4001
    default = "the settings are not valid"


class TicketMalformed(OperatorError):
    """The change ticket isn't JSON of the expected shape."""

    code = 4002
    default = "the change ticket is not JSON of the expected shape"


class TicketInvalid(OperatorError):
    """The change ticket breaks a rule."""

    code = 4003
    default = "the change ticket breaks a rule"


class UnknownObject(OperatorError):
    """The object or request that an operator named was not found."""

    code = 4004
    status = 404
    default = "no such object"


class LinkError(BalsamtallyError):
    """A peer or the platform is unreachable."""

    code = 5000
    status = 503
    default = "a peer or the platform is not in reach"


class PeerUnreachable(LinkError):
    """The peer is unreachable; the message was not sent."""

    code = 5001
    outcome = Outcome.NOT_RUN
    default = "the peer is not in reach"


class PeerTimeout(LinkError):
    """The peer did not reply, although it may have received the message."""

    code = 5002
    default = "the peer did not reply"


class PlatformUnavailable(LinkError):
    """The platform's configuration service gave no valid answer."""

    code = 5003
    default = "the platform did not answer"


class HistoryGone(PlatformUnavailable):
    """The platform has discarded the changes that a watch has yet to read."""

    code = 5006
    default = "the platform has dropped the history behind the last read"


class PeerRefused(LinkError):
    """The peer failed authentication with the shared key."""

    code = 5004
    outcome = Outcome.NOT_RUN
    default = "the peer is not authenticated"


class DaemonUnreachable(LinkError):
    """The operators' listener of a daemon is unreachable."""

    code = 5005
    default = "the daemon is not in reach"


def list_errors(base: type[BalsamtallyError] = BalsamtallyError) -> list[type[BalsamtallyError]]:
    """Return an exception class and all its subclasses.

    :param base: root of the class tree
    :return: the classes, sorted by code
    """
    found = [base]
    for subclass in base.__subclasses__():
        found.extend(list_errors(subclass))
    return sorted(found, key=lambda error: error.code)


ERRORS = {error.code: error for error in list_errors()}
