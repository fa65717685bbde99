"""Property tests of the raw bytes of chat callers, for scripts of misbehaving runners."""

import contextlib
import itertools
import json
from dataclasses import dataclass, replace
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from balsamtally import entry, streams
from balsamtally.chats import Chats
from balsamtally.contracts import Customer, Pool, RequestClass
from balsamtally.entry import Entry, EntryHooks
from balsamtally.errors import ERRORS, BalsamtallyError, NoBackend
from balsamtally.machines import BackendServer
from balsamtally.messages import Grant
from balsamtally.slots import Slot
from tests.balsamtally.misbehaving import (
    HEADS,
    SCRIPTS,
    Misbehaving,
    RawCaller,
    Record,
    Run,
    frame,
)

READ_TIMEOUT_S = 0.25
WORDS = 4
CUSTOMER = Customer("cabo", (), ("live",))
CLASS = RequestClass("live", 0, 1400.0)


@dataclass(frozen=True)
class ChatDemand:
    """A chat request of a caller.

    :ivar revoke_s: time after which the grant of its first attempt is revoked, 0 if it isn't
    """

    stream: bool = True
    version: bytes = b"1.1"
    revoke_s: float = 0.0


class Runner(Misbehaving):
    """A runner that answers a chat by the words that are still missing."""

    id_header = b"X-Request-Id"


def list_words(question: str) -> list[str]:
    return [f"{question}:{number} " for number in range(WORDS)]


def make_answer(run: Run, head: bytes, body: bytes) -> bytes:
    """Return the bytes of a run's answer: an event for each word, a finish reason and the end."""
    script = run.script
    if script.status == 200 and not script.early:
        run.body = make_events(run, json.loads(body)["messages"])
    else:
        run.body = b"%s %s" % (run.label, run.id)
    lines = b"HTTP/1.1 %d X\r\nContent-Type: text/event-stream\r\n" % script.status
    return frame(run, lines + HEADS[script.head], b"POST")


def make_events(run: Run, messages: list[dict]) -> bytes:
    words = list_words(messages[0]["content"])
    held = messages[-1]["content"] if len(messages) > 1 else ""
    pieces = [{"delta": {"content": word}} for word in words[held.count(" ") :]]
    pieces.append({"delta": {}, "finish_reason": "stop"})
    chunk_id = "other" if run.script.head == "other id" else run.id.decode()
    events = [json.dumps({"id": chunk_id, "choices": [piece]}).encode() for piece in pieces]
    events.append(b"[DONE]")
    odd = ODD_EVENTS[run.script.odd].replace(b"%id", chunk_id.encode())
    if odd:
        events.insert(run.script.odd_at % (len(events) + 1), odd)
    return b"".join(b"data: %s\n\n" % event for event in events)


# Data of an event that is inserted into a runner's stream.
ODD_EVENTS = {
    "": b"",
    "end": b"[DONE]",
    "no JSON": b"{",
    "no UTF-8": b'{"id": "%id", "x": "\xff"}',
    "nested": b'{"id": "%id", "x": ' + b"[" * 100_000,
    "text as count": b'{"id": "%id", "usage": {"completion_tokens": "many"}}',
    "few tokens": b'{"id": "%id", "usage": {"completion_tokens": 0}}',
    "large number": b'{"id": "%id", "usage": {"completion_tokens": 1e999}}',
    "no choice": b'{"id": "%id", "choices": []}',
    "two choices": b'{"id": "%id", "choices": [{}, {}]}',
    "number as text": b'{"id": "%id", "choices": [{"delta": {"content": 7}}]}',
    "comment": b"x\n\n: x",
    "garbage": b"\x00\xff\r\r\n\n",
}


class ChatHarness:
    """Runs the callers' server with slots that are granted at the runners in turn."""

    def __init__(self, runners, demands):
        self._servers = {
            f"r{number}": BackendServer(
                f"r{number}", "model", ":".join(map(str, runner.address)), "d", ("m",)
            )
            for number, runner in enumerate(runners)
        }
        self._demands = demands
        self._numbers = itertools.count()

    def __enter__(self):
        self._stack = contextlib.ExitStack()
        slots = SimpleNamespace(acquire=self._acquire, release=lambda slot, release: None)
        chats = Chats(
            slots,
            self._stack.enter_context(streams.Runners()),
            self._servers.get,
            lambda name: None,
            lambda request_class, pool: True,
            lambda **fields: None,
            lambda *traffic: None,
        )
        hooks = EntryHooks(
            is_ready=lambda: True,
            is_leaving=lambda: False,
            find_customer=lambda key: CUSTOMER,
            find_class=lambda name: CLASS,
            find_pool=lambda name: Pool("m"),
            list_pools=lambda: [],
            check_limits=lambda customer, request_class: None,
            issue_receipt=lambda customer: "",
            call_service=lambda *call: None,
            record_end=lambda *end: None,
        )
        limits = {"max_requests": 100, "max_bodies_bytes": 10**7, "max_body_bytes": 10**5}
        place = SimpleNamespace(caller_address="127.0.0.1:0", **limits)
        self._entry = self._stack.enter_context(Entry(place, chats, hooks))
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def connect(self):
        address = ("127.0.0.1", self._entry._server.server_port)
        return socket.create_connection(address, timeout=10)

    def _acquire(self, ask, has_vanished):
        name = next((name for name in self._servers if name not in ask.excluded), None)
        if name is None:
            raise NoBackend
        number = next(self._numbers)
        grant = Grant(f"g{number}", ask.request, ask.attempt, name, 1, "free", 6.0)
        slot = Slot(grant, ask.pool, "vm")
        revoke_s = self._demands[number % len(self._demands)].revoke_s
        if revoke_s and ask.attempt == 1:
            gevent.spawn_later(revoke_s, revoke, slot)
        return slot


def revoke(slot):
    slot.revoked = True
    slot.revoke()


def check_chat(answer, demand: ChatDemand, question: str) -> None:
    """Check that an answer is the whole text, visibly a part of it, or a numbered error."""
    text = "".join(list_words(question))
    if answer.status != 200:
        assert not answer.whole or is_numbered(json.loads(answer.body)["error"], answer.status)
    elif not demand.stream and answer.whole:
        [choice] = json.loads(answer.body)["choices"]
        assert (choice["message"]["content"], choice["finish_reason"]) == (text, "stop")
    elif demand.stream:
        check_events(answer, text)


def is_numbered(error: dict, status: int) -> bool:
    known = ERRORS[error["code"]]
    return known is not BalsamtallyError and known.status == status


def check_events(answer, text: str) -> None:
    *events, rest = answer.body.split(b"\n\n")
    assert not rest, "a part of an event"
    assert all(event.startswith(b"data: ") for event in events)
    is_done = bool(events) and events[-1] == b"data: [DONE]"
    chunks = [json.loads(event[6:]) for event in (events[:-1] if is_done else events)]
    failed = bool(chunks) and "error" in chunks[-1]
    assert not any("error" in chunk for chunk in chunks[:-1]) and not (is_done and failed)
    found = [choice for chunk in chunks if "choices" in chunk for choice in chunk["choices"]]
    content = "".join(choice["delta"].get("content", "") for choice in found)
    reasons = [choice["finish_reason"] for choice in found if choice["finish_reason"]]
    assert {chunk["id"] for chunk in chunks if "choices" in chunk} <= {
        answer.headers[b"x-request-id"].decode()
    }
    if is_done:
        assert (content, reasons) == (text, ["stop"])
    else:
        assert text.startswith(content)
        assert failed or not answer.whole, "an incomplete stream looks whole"


def play_chats(runner_scripts, callers, pipelined=False):
    record = Record()

    def call(number, demands):
        with contextlib.closing(harness.connect()) as sock:
            caller = RawCaller(sock)
            questions = [f"q{number}.{n}" for n in range(len(demands))]
            for count, (demand, question) in enumerate(zip(demands, questions, strict=True), 1):
                message = {"role": "user", "content": question}
                body = {"model": "m", "messages": [message], "stream": demand.stream}
                head = (
                    b"POST /v1/chat/completions HTTP/%s\r\nHost: h\r\nAuthorization: Bearer k\r\n"
                )
                caller.send(head % demand.version, json.dumps(body).encode())
                answers = caller.read(0 if pipelined else count)
                if answers and answers[-1].closes:
                    break
            caller.read(len(demands))
            answers = caller.finish()
            for answer, demand, question in zip(answers, demands, questions, strict=False):
                check_chat(answer, demand, question)

    with contextlib.ExitStack() as stack:
        runners = [
            stack.enter_context(Runner(record, scripts, make_answer, filler=None))
            for scripts in runner_scripts
        ]
        harness = stack.enter_context(
            ChatHarness(runners, [demand for demands in callers for demand in demands])
        )
        tasks = [gevent.spawn(call, *item) for item in enumerate(callers)]
        gevent.joinall(tasks, raise_error=True)


CHAT_SCRIPTS = SCRIPTS | st.builds(
    replace,
    SCRIPTS,
    status=st.just(200),
    odd=st.sampled_from(tuple(ODD_EVENTS)),
    odd_at=st.integers(0, 6),
)
CHAT_DEMANDS = st.builds(
    ChatDemand,
    stream=st.booleans(),
    version=st.sampled_from((b"1.1",) * 4 + (b"1.0",)),
    revoke_s=st.sampled_from((0.0, 0.0, 0.0, 0.001, 0.005, 0.02)),
)


@pytest.fixture(autouse=True)
def _short_timeouts(monkeypatch):
    monkeypatch.setattr(streams, "READ_TIMEOUT_S", READ_TIMEOUT_S)
    monkeypatch.setattr(entry, "CALLER_TIMEOUT_S", 5.0)


@settings(max_examples=200, suppress_health_check=list(HealthCheck))
@given(
    st.lists(st.lists(CHAT_SCRIPTS, min_size=1, max_size=3), min_size=2, max_size=3),
    st.lists(st.lists(CHAT_DEMANDS, min_size=1, max_size=3), min_size=1, max_size=2),
    st.booleans(),
)
def test_chat_callers_get_one_head_and_only_bytes_of_that_answer(runners, callers, pipelined):
    play_chats(runners, callers, pipelined)
