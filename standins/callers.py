"""Test callers: send a request, compare the answer with the expected one, and report the result."""

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
    """A client for several entry VMs that selects them round robin, as a load balancer does.

    :param addresses: addresses of the callers' listeners
    """

    def __init__(self, addresses: Sequence[str]):
        self.round_robin = itertools.cycle(addresses)
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
        :param body: body of the request
        :param headers: headers of the request
        :param preload: whether to read the complete answer before returning
        :return: the answer
        :raises urllib3.exceptions.HTTPError: if no answer was received
        """
        attempts = 0
        while True:
            url = f"http://{next(self.round_robin)}{path}"
            attempts += 1
            try:
                return self.pool.request(
                    "POST", url, body=body, headers=headers, preload_content=preload
                )
            except urllib3.exceptions.NewConnectionError:
                if attempts >= self.number:
                    raise


@dataclass(frozen=True)
class Chat:
    """A chat request to send.

    :ivar target: request class
    :ivar customer: name of the customer
    :ivar model: name of the model
    :ivar messages: the conversation
    :ivar max_tokens: maximum number of tokens of the answer, ``None`` for no limit
    :ivar streamed: whether to request a streamed answer
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
    :ivar idempotent: whether the operation is idempotent and so needs no receipt
    :ivar customer: name of the customer
    :ivar label: unique text that identifies the call
    """

    service: str
    operation: str
    idempotent: bool
    customer: str
    label: str

    @property
    def body(self) -> bytes:
        """Body of the call: the label as JSON."""
        return json.dumps(self.label).encode()


@dataclass
class StreamedAnswer:
    """A streamed answer as received.

    :ivar tokens: received tokens
    :ivar times: monotonic time at which each token was received, in seconds
    :ivar error: error event in the stream as JSON text, empty without an error
    :ivar ended: whether the end marker was received
    :ivar surplus: number of events after the end marker
    """

    tokens: list[str] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    error: str = ""
    ended: bool = False
    surplus: int = 0

    def read(self, reply: urllib3.BaseHTTPResponse) -> None:
        """Read all events until the answer or the connection ends."""
        try:
            for event in SSEClient(reply.stream()).events():
                self.add(event.data)
        except (urllib3.exceptions.HTTPError, OSError):
            self.ended = False

    def add(self, data: str) -> None:
        """Record the data of an event."""
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
    """Return the headers of a customer's request.

    :param customer: name of the customer
    :param further: further headers, with ``_`` for ``-`` in their names
    """
    named = {name.replace("_", "-"): value for name, value in further.items()}
    key = make_key(customer)
    return {"Authorization": f"Bearer {key}", "Content-Type": "application/json", **named}


def report_error(name: str, body: bytes | str, tokens: int = 0, call: str = "") -> Report:
    """Return the report on a request that failed with an error answer.

    :param name: request class or operation
    :param body: error answer as JSON text
    :param tokens: number of tokens received before the error
    :param call: label of a service call, empty for a chat request
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

    :param entries: entry VMs to send the request to
    :param chat: the request
    :return: report on the request
    :raises urllib3.exceptions.HTTPError: if no answer was received
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
        return check_answer(chat, reply.data, expected, time.monotonic() - begun)
    answer = StreamedAnswer()
    try:
        answer.read(reply)
    finally:
        if answer.ended:
            reply.release_conn()
        else:
            reply.close()
    return check_stream(chat, answer, expected, begun)


def check_answer(chat: Chat, body: bytes, expected: list[str], elapsed_s: float) -> Report:
    """Compare an answer that was not streamed with the expected answer.

    :param chat: the request
    :param body: JSON text of the answer
    :param expected: tokens of the expected answer
    :param elapsed_s: time from the request to the end of the answer, in seconds
    :return: report on the request
    """
    content = json.loads(body)["choices"][0]["message"]["content"]
    outcome = Outcome.WHOLE if content == "".join(expected) else Outcome.WRONG
    allowed_ms = chat.target.first_token_ms + chat.target.between_tokens_ms * len(expected)
    met = outcome is Outcome.WHOLE and elapsed_s * 1000 <= allowed_ms
    return Report(chat.target.name, outcome, tokens=len(expected), met_target=met)


def check_stream(chat: Chat, answer: StreamedAnswer, expected: list[str], begun: float) -> Report:
    """Compare a streamed answer with the expected answer.

    :param chat: the request
    :param answer: the answer
    :param expected: tokens of the expected answer
    :param begun: monotonic time at which the request was sent, in seconds
    :return: report on the request
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
    """Call a plain service, after requesting a receipt if the operation is not idempotent.

    :param entries: entry VMs to send the call to
    :param call: the call
    :param copies: number of concurrent copies of the call, all with the same receipt
    :return: report on each copy, or one report if the receipt was refused
    :raises urllib3.exceptions.HTTPError: if the request for a receipt got no answer
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
