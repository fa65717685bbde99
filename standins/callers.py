"""Callers: send one request, check its answer against the right one, and report on it."""

import itertools
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import gevent
import urllib3
from sseclient import SSEClient

from balsamtally.contracts import RequestClass
from standins.answers import answer_tokens, join_prompt, service_answer
from standins.results import Outcome, Report

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 60.0
CONNECTIONS_PER_ENTRY = 200
END_OF_STREAM = "[DONE]"


class Entries:
    """The entry VMs, of which the next one takes each request, as before a balancer.

    :param addresses: addresses of their callers' listeners
    """

    def __init__(self, addresses: Sequence[str]):
        self.turns = itertools.cycle(addresses)
        self.number = len(addresses)
        self.pool = urllib3.PoolManager(
            num_pools=2 * self.number,
            maxsize=CONNECTIONS_PER_ENTRY,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
            retries=False,
        )

    def post(
        self, path: str, body: bytes, headers: dict[str, str], preload: bool = True
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to the next entry VM that accepts a connection.

        :param path: path of the request
        :param body: its body
        :param headers: its headers
        :param preload: whether to read the whole answer
        :return: the answer
        :raises urllib3.exceptions.HTTPError: if there is none
        """
        tried = 0
        while True:
            url = f"http://{next(self.turns)}{path}"
            tried += 1
            try:
                return self.pool.request(
                    "POST", url, body=body, headers=headers, preload_content=preload
                )
            except urllib3.exceptions.NewConnectionError:
                if tried >= self.number:
                    raise


@dataclass(frozen=True)
class Chat:
    """A chat request to send.

    :ivar target: request class
    :ivar customer: name of the customer
    :ivar model: name of the model
    :ivar messages: the conversation
    :ivar max_tokens: most tokens of the answer, ``None`` for no bound
    :ivar streamed: whether the answer is to be streamed
    """

    target: RequestClass
    customer: str
    model: str
    messages: tuple[dict, ...]
    max_tokens: int | None = None
    streamed: bool = True


@dataclass(frozen=True)
class Call:
    """A call to a plain service.

    :ivar service: name of the service
    :ivar operation: name of the operation
    :ivar idempotent: whether it needs no receipt
    :ivar customer: name of the customer
    :ivar label: text that no other call carries
    """

    service: str
    operation: str
    idempotent: bool
    customer: str
    label: str

    @property
    def body(self) -> bytes:
        """Body of the call, which begins with its label."""
        return json.dumps(self.label).encode()


@dataclass
class StreamedAnswer:
    """A streamed answer as it came.

    :ivar tokens: pieces of text
    :ivar times: their times by the monotonic clock
    :ivar error: the error in which it ended, empty without one
    :ivar ended: whether it came to its marked end
    :ivar surplus: events after the end
    """

    tokens: list[str] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    error: str = ""
    ended: bool = False
    surplus: int = 0

    def read(self, reply: urllib3.BaseHTTPResponse) -> None:
        """Read all events up to the end of the connection or the answer."""
        try:
            for event in SSEClient(reply.stream()).events():
                self.add(event.data)
        except (urllib3.exceptions.HTTPError, OSError):
            self.ended = False

    def add(self, data: str) -> None:
        """Take up an event."""
        if self.ended:
            self.surplus += 1
            return
        if data == END_OF_STREAM:
            self.ended = True
            return
        chunk = json.loads(data)
        if "error" in chunk:
            self.error = data
            return
        for choice in chunk["choices"]:
            if choice["delta"].get("content"):
                self.tokens.append(choice["delta"]["content"])
                self.times.append(time.monotonic())


def make_key(customer: str) -> str:
    """Return the documented example key of a customer."""
    return f"example-key-of-{customer}"


def make_headers(customer: str, **further: str) -> dict[str, str]:
    """Return the headers of a request, with ``_`` for ``-`` in the names of further ones."""
    named = {name.replace("_", "-"): value for name, value in further.items()}
    key = make_key(customer)
    return {"Authorization": f"Bearer {key}", "Content-Type": "application/json", **named}


def report_error(name: str, body: bytes | str, tokens: int = 0, call: str = "") -> Report:
    """Return the report on a request that was answered with a numbered error.

    :param name: request class or operation
    :param body: JSON text of the error
    :param tokens: tokens received before it
    :param call: what identifies a service call
    """
    try:
        error = json.loads(body)["error"]
        code, run, text = int(error["code"]), error["outcome"], error["message"]
    except (ValueError, KeyError, TypeError):
        return Report(name, Outcome.FAILED, call=call, text=f"no numbered error: {body[:200]!r}")
    outcome = {"not_run": Outcome.REFUSED, "unknown": Outcome.UNKNOWN}.get(run, Outcome.CUT)
    if tokens:
        outcome = Outcome.CUT
    return Report(name, outcome, code, run, tokens, call=call, text=text)


def send_chat(entries: Entries, chat: Chat) -> Report:
    """Send a chat request and report on its answer.

    :param entries: where to send it
    :param chat: the request
    :return: what became of it
    :raises urllib3.exceptions.HTTPError: if there was no answer
    """
    body = {"model": chat.model, "messages": chat.messages, "stream": chat.streamed}
    if chat.max_tokens is not None:
        body["max_tokens"] = chat.max_tokens
    headers = make_headers(chat.customer, X_Request_Class=chat.target.name)
    begun = time.monotonic()
    path = "/v1/chat/completions"
    reply = entries.post(path, json.dumps(body).encode(), headers, preload=not chat.streamed)
    if reply.status != 200:
        return report_error(chat.target.name, reply.data)
    expected = answer_tokens(join_prompt(chat.messages), chat.max_tokens)
    if not chat.streamed:
        return judge_whole(chat, reply.data, expected, time.monotonic() - begun)
    answer = StreamedAnswer()
    try:
        answer.read(reply)
    finally:
        if answer.ended:
            reply.release_conn()
        else:
            reply.close()
    return judge_stream(chat, answer, expected, begun)


def judge_whole(chat: Chat, body: bytes, expected: list[str], elapsed_s: float) -> Report:
    """Compare an answer that was not streamed with the right one.

    :param chat: the request
    :param body: JSON text of the answer
    :param expected: tokens of the right answer
    :param elapsed_s: time that it took, in seconds
    """
    content = json.loads(body)["choices"][0]["message"]["content"]
    outcome = Outcome.WHOLE if content == "".join(expected) else Outcome.WRONG
    allowed_ms = chat.target.first_token_ms + chat.target.between_tokens_ms * len(expected)
    met = outcome is Outcome.WHOLE and elapsed_s * 1000 <= allowed_ms
    return Report(chat.target.name, outcome, tokens=len(expected), met_target=met)


def judge_stream(chat: Chat, answer: StreamedAnswer, expected: list[str], begun: float) -> Report:
    """Compare a streamed answer with the right one.

    :param chat: the request
    :param answer: the answer
    :param expected: tokens of the right answer
    :param begun: when the request was sent, by the monotonic clock
    """
    text, whole_text = "".join(answer.tokens), "".join(expected)
    number = len(answer.tokens)
    if not whole_text.startswith(text) or answer.surplus or answer.ended and text != whole_text:
        shown = f"received {text[-60:]!r} of {number} tokens, expected {len(expected)}"
        return Report(chat.target.name, Outcome.WRONG, tokens=number, text=shown)
    if answer.error:
        return report_error(chat.target.name, answer.error, number)
    if not answer.ended:
        return Report(chat.target.name, Outcome.CUT, tokens=number, text="no end of the stream")
    first_s = answer.times[0] - begun
    between_s = (answer.times[-1] - answer.times[0]) / max(1, number - 1)
    met = first_s * 1000 <= chat.target.first_token_ms
    met = met and between_s * 1000 <= chat.target.between_tokens_ms
    return Report(chat.target.name, Outcome.WHOLE, 0, "", number, first_s, between_s, met)


def send_call(entries: Entries, call: Call, copies: int = 1) -> list[Report]:
    """Call a plain service, with a receipt first where the operation is not idempotent.

    :param entries: where to send it
    :param call: the call
    :param copies: how often to send it at once under its one receipt
    :return: what became of each copy
    :raises urllib3.exceptions.HTTPError: if there was no receipt
    """
    headers = make_headers(call.customer)
    if not call.idempotent:
        reply = entries.post("/v1/receipts", b"", headers)
        if reply.status != 200:
            return [report_error(call.operation, reply.data, call=call.label)]
        headers["Idempotency-Key"] = json.loads(reply.data)["receipt"]
    sending = [gevent.spawn(send_copy, entries, call, headers) for _ in range(copies)]
    gevent.joinall(sending)
    return [greenlet.get() for greenlet in sending]


def send_copy(entries: Entries, call: Call, headers: dict[str, str]) -> Report:
    """Send one copy of a call and report on its answer."""
    path = f"/v1/services/{call.service}/{call.operation}"
    begun = time.monotonic()
    try:
        reply = entries.post(path, call.body, headers)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        text = f"{type(error).__name__}: {error}"
        return Report(call.operation, Outcome.UNKNOWN, call=call.label, text=text)
    if reply.status != 200:
        return report_error(call.operation, reply.data, call=call.label)
    if json.loads(reply.data) != json.loads(service_answer(call.operation, call.body)):
        return Report(
            call.operation, Outcome.WRONG, call=call.label, text=reply.data[:200].decode()
        )
    elapsed_s = time.monotonic() - begun
    return Report(
        call.operation, Outcome.WHOLE, first_token_s=elapsed_s, met_target=True, call=call.label
    )
