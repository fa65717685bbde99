"""Reads and writes the headers that callers, this program and backend servers exchange."""

import re

import msgspec

from balsamtally.callers import Request
from balsamtally.calls import AnswerHead, Attempt, Call, Headers, Notice, PromptPart, Verdict
from balsamtally.decoding import DECODING_ERRORS, Count, decode
from balsamtally.errors import BalsamtallyError, MalformedHeader, MalformedRequest
from balsamtally.forwarding import Wire
from balsamtally.logs import log
from balsamtally.server_limits import MAX_LIMIT_PER_S, MAX_REFUSALS

ATTEMPT_ID = b"attempt-id"
SIGNATURE = b"response-signature"
NOT_EXECUTED = b"not-executed"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
SERVER_LIMIT = b"server-limit"
SERVER_BRITTLE = b"server-brittle"
LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
SCHEME = b"token"
# Deadline of a call without a Deadline-Ms header; the route's timeout applies as well.
NO_DEADLINE_S = 60.0
MAX_ID_BYTES = 128
MAX_PARTS = 256
MAX_DIGITS = 15
MAX_URGENCY = 9
# Hop-by-hop headers, and headers that the router sets itself.
CONNECTION_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate", b"te", b"trailer")
    + (b"proxy-authorization", b"transfer-encoding", b"upgrade", b"expect", b"content-length")
)
OWN_HEADERS = frozenset(
    (b"authorization", b"tenant", b"hold", b"pin-ms", b"kv-backup", b"kv-from", b"kv-fetch")
    + (b"request-priority", b"expect-instance", b"expect-version", b"deadline-ms", LAST_EVENT)
)
# Headers of answers that concern the entry VM alone.
UNPASSED_HEADERS = CONNECTION_HEADERS | {LEAVING}
# Headers that a caller can't strip by naming them in its Connection header.
KEPT_HEADERS = frozenset((ATTEMPT_ID, b"host", b"model", b"token-usage", b"prompt-prefix"))
RETRY_AFTER_DIGITS = 2
REPORT_TARGET = b"/report"
# A number without a sign, possibly with a fraction.
_WHOLE = re.compile(rb"[0-9]{1,15}")
_DECIMAL = re.compile(rb"[0-9]{1,15}(?:\.[0-9]{1,15})?")
_HEXADECIMAL = re.compile(rb"[0-9a-fA-F]+")


class State(msgspec.Struct, frozen=True):
    """What a backend server reports of itself; ``born`` is its start in Unix milliseconds."""

    born: Count | None = None


_state = msgspec.json.Decoder(State)


def read_call(request: Request) -> Call:
    """Parse a caller's request into a call.

    :param request: the request
    :raises RequestError: if a header is missing, repeated or invalid
    """
    attempt_id = request.find_value(ATTEMPT_ID)
    if not attempt_id or len(attempt_id) > MAX_ID_BYTES:
        raise MalformedHeader("Attempt-Id is missing or too long")
    host = (request.find_value(b"host") or b"").decode("latin-1").lower()
    prompt_tokens, answer_tokens = read_usage(request.find_value(b"token-usage"))
    return Call(
        id=attempt_id.decode("latin-1"),
        method=request.method,
        target=request.target,
        host=host.partition(":")[0],
        key=read_key(request.find_value(b"authorization")),
        deadline_s=read_deadline_s(request.find_value(b"deadline-ms")),
        arrived_s=request.arrived_s,
        headers=pick_call_headers(request),
        body=request.body,
        last_event=read_number(request.find_value(LAST_EVENT), "Last-Event-Id"),
        resumes=read_resumes(request.find_value(RESUMES)),
        parts=read_parts(request.find_value(b"prompt-prefix")),
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
        hinted_tokens=read_number(request.find_value(b"length-hint"), "Length-Hint") or 0,
    )


def read_number(value: bytes | None, name: str) -> int | None:
    """Parse a header's value as a non-negative integer.

    :param value: value of the header, ``None`` if it is missing
    :param name: name of the header, for the error
    :return: the number, ``None`` if the header is missing
    :raises MalformedHeader: if the value isn't a non-negative integer of at most 15 digits
    """
    return None if value is None else parse_number(value, name)


def parse_number(text: bytes, name: str) -> int:
    """Return a non-negative integer.

    :param text: the digits
    :param name: what the number is, for the error
    :raises MalformedHeader: if the text isn't a non-negative integer of at most 15 digits
    """
    if not text.isdigit() or len(text) > MAX_DIGITS:
        raise MalformedHeader(f"{name} is not a whole number")
    return int(text)


def read_deadline_s(value: bytes | None) -> float:
    """Return how long the caller waits, in seconds.

    :param value: value of the header in milliseconds, possibly with a fraction
    :raises MalformedHeader: if the value isn't a number or is out of range
    """
    if value is None:
        return NO_DEADLINE_S
    try:
        deadline_ms = float(value)
    except ValueError as error:
        raise MalformedHeader("Deadline-Ms is not a number") from error
    if not 0 <= deadline_ms < 1e9:
        raise MalformedHeader("Deadline-Ms is out of range")
    return deadline_ms / 1000


def read_key(value: bytes | None) -> str:
    """Return the API key, empty if there is none.

    :param value: value of the header
    """
    scheme, _, key = (value or b"").strip().partition(b" ")
    return key.strip().decode("latin-1") if scheme.lower() == SCHEME else ""


def read_resumes(value: bytes | None) -> str:
    """Return the id of the attempt that began the stream which a call takes up.

    :param value: value of the header
    :return: the id, empty if the header is missing
    :raises MalformedHeader: if it can't be an id
    """
    if value is None:
        return ""
    if not value or len(value) > MAX_ID_BYTES:
        raise MalformedHeader("Resumes is empty or too long")
    return value.decode("latin-1")


def read_usage(value: bytes | None) -> tuple[int, int]:
    """Return the length of the prompt and the maximum length of the answer, in tokens.

    :param value: value of the header
    :raises MalformedHeader: if the value isn't one or two integers
    """
    if value is None:
        return 0, 0
    prompt, _, answer = value.partition(b",")
    name = "a token count of Token-Usage"
    return parse_number(prompt.strip(), name), parse_number(answer.strip() or b"0", name)


def read_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    """Return the parts of the prompt in order.

    :param value: value of the header
    :raises MalformedHeader: if an entry is invalid
    """
    if not value:
        return ()
    parts = []
    for entry in value.split(b",")[:MAX_PARTS]:
        name, _, tokens = entry.strip().partition(b":")
        if not name:
            raise MalformedHeader("Prompt-Prefix has an entry without an ID")
        count = parse_number(tokens, "a token count of Prompt-Prefix")
        parts.append(PromptPart(normalize_part(name), count))
    return tuple(parts)


def normalize_part(name: bytes) -> str:
    """Return the name of a prompt part, the same one for all spellings of a hexadecimal ID.

    :param name: the ID as sent
    """
    text = name.decode("latin-1")
    return text.lower().lstrip("0") or "0" if _HEXADECIMAL.fullmatch(name) else text


def pick_call_headers(request: Request) -> Headers:
    """Return the headers of a request that are passed on to the backend server.

    :param request: the request
    :raises MalformedRequest: if a name with underscores equals that of a protected header when the
        underscores are read as hyphens
    """
    named = set()
    for value in request.list_values(b"connection"):
        named |= {word.strip().lower() for word in value.split(b",")}
    dropped = (named - KEPT_HEADERS) | CONNECTION_HEADERS | OWN_HEADERS
    for name, _ in request.headers:
        if b"_" in name and name.lower().replace(b"_", b"-") in KEPT_HEADERS | OWN_HEADERS:
            raise MalformedRequest(f"the name of header {name.decode('latin-1')} is ambiguous")
    return tuple((name, value) for name, value in request.headers if name.lower() not in dropped)


def make_headers(attempt: Attempt) -> Headers:
    """Return the request headers of an attempt.

    :param attempt: the attempt
    """
    call = attempt.call
    headers = list(call.headers)
    headers.append((b"Deadline-Ms", b"%d" % max(1, int(attempt.left_s * 1000))))
    headers.append((b"Expect-Instance", attempt.backend.name.encode("latin-1")))
    headers.append((b"Request-Priority", b"%d" % min(max(attempt.urgency, 0), MAX_URGENCY)))
    if attempt.customer:
        headers.append((b"Tenant", attempt.customer.encode("latin-1")))
    if attempt.last_event is not None:
        headers.append((b"Last-Event-Id", b"%d" % attempt.last_event))
    if call.body or call.method not in (b"GET", b"HEAD"):
        headers.append((b"Content-Length", b"%d" % len(call.body)))
    return tuple(headers)


def classify(attempt: Attempt, head: AnswerHead) -> Verdict:
    """Classify the head of an answer to an attempt.

    :param attempt: the attempt
    :param head: head of the answer
    """
    headers: dict[bytes, bytes] = {}
    for name, value in head.headers:
        if name.lower() in headers and name.lower() in (ATTEMPT_ID, SIGNATURE, NOT_EXECUTED):
            return Verdict.INVALID
        headers[name.lower()] = value
    answered_id = headers.get(ATTEMPT_ID)
    if answered_id is not None and answered_id != attempt.call.id.encode("latin-1"):
        return Verdict.FOREIGN
    # A refusal without an id may be an earlier one that is sent again, while this call runs.
    if answered_id is None:
        return Verdict.INVALID
    if head.status == 421:
        return Verdict.NOT_THERE
    if NOT_EXECUTED in headers and head.status >= 400:
        return Verdict.NOT_RUN
    if b"content-encoding" in headers:
        return Verdict.INVALID
    if SIGNATURE not in headers and (head.status < 400 or head.status in (408, 429, 503)):
        return Verdict.INVALID
    return Verdict.INVALID if head.status < 200 or 300 <= head.status < 400 else Verdict.ANSWER


def read_notice(head: AnswerHead) -> Notice:
    """Return what a backend server says about itself in the head of an answer.

    An invalid value is logged and has no effect.

    :param head: head of the answer
    """
    leaving, pause_s = False, 0.0
    for name, value in head.headers:
        text = value.strip()
        if name.lower() == LEAVING:
            valid = text in (b"0", b"1")
            leaving |= text == b"1"
        elif name.lower() == RETRY_AFTER and head.status == 503:
            valid = _DECIMAL.fullmatch(text) is not None
            pause_s = max(pause_s, float(text)) if valid else pause_s
        else:
            continue
        if not valid:
            log_refused_notice(name, text)
    limit_per_s, states_limit = read_limit(head)
    return Notice(leaving, pause_s, limit_per_s, states_limit, read_brittle(head))


def read_limit(head: AnswerHead) -> tuple[float | None, bool]:
    """Return the limit that a head names, in requests per second, and whether the head is valid.

    :param head: head of the answer
    """
    values = [value.strip() for name, value in head.headers if name.lower() == SERVER_LIMIT]
    if not values:
        return None, True
    if len(values) == 1 and _DECIMAL.fullmatch(values[0]):
        return min(float(values[0]), MAX_LIMIT_PER_S), True
    log_refused_notice(b"Server-Limit", b", ".join(values))
    return None, False


def read_brittle(head: AnswerHead) -> int | None:
    """Return the refusals within a second that a head says its server tolerates.

    :param head: head of the answer
    :return: the number, ``None`` if the head names none or an invalid one
    """
    values = [value.strip() for name, value in head.headers if name.lower() == SERVER_BRITTLE]
    if not values:
        return None
    if len(values) == 1 and _WHOLE.fullmatch(values[0]):
        return min(int(values[0]), MAX_REFUSALS)
    log_refused_notice(b"Server-Brittle", b", ".join(values))
    return None


def log_refused_notice(name: bytes, value: bytes) -> None:
    """Log an invalid value of a header in which a backend server tells something about itself.

    :param name: name of the header
    :param value: the value
    """
    log.info("notice_refused", header=name.decode("latin-1"), value=repr(value[:64]))


def pick_headers(head: AnswerHead) -> Headers:
    """Return the headers of an answer that are passed on to the caller.

    :param head: head of the answer
    """
    return tuple(
        (name, value) for name, value in head.headers if name.lower() not in UNPASSED_HEADERS
    )


def report(call_id: str, error: BalsamtallyError) -> tuple[Headers, bytes]:
    """Return headers and body of an error answer to a caller.

    :param call_id: id of the call, empty if it isn't known
    :param error: the error
    """
    headers: list[tuple[bytes, bytes]] = [(b"Content-Type", b"application/json")]
    if call_id:
        headers.append((b"Attempt-Id", call_id.encode("latin-1")))
    if error.retry_after_s is not None:
        headers.append((b"Retry-After", f"{error.retry_after_s:.{RETRY_AFTER_DIGITS}f}".encode()))
    body = b'{"error":{"code":%d,"type":"%s"}}' % (error.code, type(error).__name__.encode())
    return tuple(headers), body


def read_answer_id(head: AnswerHead) -> str:
    """Return the id of the request that an answer names, empty if it names none.

    :param head: head of the answer
    """
    ids = [value for name, value in head.headers if name.lower() == ATTEMPT_ID]
    return ids[0][:MAX_ID_BYTES].decode("latin-1") if ids else ""


def read_born(body: bytes) -> int | None:
    """Return the start of a backend server in Unix milliseconds, ``None`` if it doesn't tell.

    :param body: body of the answer in which it reports its state
    """
    try:
        return decode(_state, body).born
    except DECODING_ERRORS:
        return None


WIRE = Wire(
    read_call,
    make_headers,
    classify,
    read_notice,
    pick_headers,
    report,
    read_answer_id,
    REPORT_TARGET,
    read_born,
)
