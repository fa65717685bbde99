"""End-to-end tests of requests through one daemon, with the openai client and raw HTTP."""

import http.client
import itertools
import json
import socket
import time

import openai
import pytest
import urllib3

from standins.answers import answer_length, answer_tokens, join_prompt, service_answer
from standins.callers import make_headers, make_key
from standins.fleet import Fleet

CUSTOMER = "faro-rides"
CHATS = "/v1/chat/completions"
CLASS = "waiver-live"
MEGABYTE = 1_000_000
CLOSED_CLASS = {"Authorization": f"Bearer {make_key('punta-rubia')}", "X-Request-Class": CLASS}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet"), domains=1, runners_per_domain=1) as started:
        yield started


@pytest.fixture(scope="module")
def address(fleet):
    (vm,) = fleet.vms.values()
    return vm.caller


@pytest.fixture
def runner(fleet):
    (runner,) = fleet.runners.values()
    yield runner
    runner.set_fault()


@pytest.fixture(scope="module")
def client(address):
    url = f"http://{address}/v1"
    with openai.OpenAI(base_url=url, api_key=make_key(CUSTOMER), max_retries=0) as client:
        yield client


def make_messages(label: str) -> list[dict]:
    """Return the messages of a chat with one question."""
    return [{"role": "user", "content": f"Which track is open? {label}"}]


def post(address: str, path: str, body: bytes, **headers: str) -> urllib3.BaseHTTPResponse:
    """Send a request with the customer's key."""
    named = make_headers(CUSTOMER, **headers)
    return urllib3.request(
        "POST", f"http://{address}{path}", body=body, headers=named, retries=False
    )


def count_when_idle(runner) -> dict:
    """Wait until a runner has no running requests, and return its counts."""
    while (counts := runner.counts())["running"]:
        time.sleep(0.02)
    return counts


def read_error(reply: urllib3.BaseHTTPResponse) -> tuple[int, int, str]:
    """Return the HTTP status, the numbered code and the outcome of an error response."""
    error = reply.json()["error"]
    return reply.status, error["code"], error["outcome"]


def encode_chat(model: str, **fields: object) -> bytes:
    """Return the encoded body of a chat request."""
    return json.dumps({"model": model, "messages": make_messages("raw"), **fields}).encode()


def test_streamed_answer_is_the_callers_own(client, fleet):
    messages = make_messages("streamed")
    events = list(
        client.chat.completions.create(
            model=fleet.pool,
            messages=messages,
            stream=True,
            extra_headers={"X-Request-Class": CLASS},
        )
    )
    pieces = [choice.delta.content or "" for event in events for choice in event.choices]
    assert [piece for piece in pieces if piece] == answer_tokens(join_prompt(messages))
    assert events[-1].choices[0].finish_reason == "stop"
    assert len({event.id for event in events}) == 1


def test_whole_answer_is_the_callers_own(client, fleet):
    messages = make_messages("whole")
    reply = client.chat.completions.create(model="waivers", messages=messages, max_tokens=7)
    assert reply.choices[0].message.content == "".join(answer_tokens(join_prompt(messages), 7))
    assert reply.usage.completion_tokens == len(answer_tokens(join_prompt(messages), 7))


def test_answers_on_one_connection_are_not_mixed(client, fleet):
    streams = {}
    for number in range(8):
        messages = make_messages(f"mixed {number}")
        stream = client.chat.completions.create(model=fleet.pool, messages=messages, stream=True)
        streams[join_prompt(messages)] = stream
    for prompt, stream in reversed(streams.items()):
        pieces = [choice.delta.content or "" for event in stream for choice in event.choices]
        assert "".join(pieces) == "".join(answer_tokens(prompt))


def test_models_are_listed(client, fleet):
    assert [model.id for model in client.models.list()] == [fleet.pool]


@pytest.mark.parametrize(
    ("change", "error", "code"),
    [
        ({"model": "no-such-model"}, openai.NotFoundError, 1004),
        ({"extra_headers": {"X-Request-Class": "none"}}, openai.PermissionDeniedError, 1005),
        ({"extra_headers": CLOSED_CLASS}, openai.PermissionDeniedError, 1005),
        ({"extra_headers": {"Authorization": "Bearer no"}}, openai.AuthenticationError, 1003),
    ],
)
def test_client_sees_numbered_errors(client, fleet, change, error, code):
    request = {"model": fleet.pool, "messages": make_messages("refused"), **change}
    with pytest.raises(error) as caught:
        client.chat.completions.create(**request)
    assert caught.value.body["code"] == code
    assert caught.value.body["outcome"] == "not_run"


def test_bad_bodies_are_refused_and_not_run(address, fleet, runner):
    before = sum(runner.counts()["executions"].values())
    good = encode_chat(fleet.pool)
    assert read_error(post(address, CHATS, good[:-2])) == (400, 1001, "not_run")
    assert read_error(post(address, CHATS, b"\xff\xfe")) == (400, 1001, "not_run")
    assert read_error(post(address, CHATS, b"[" * 50_000)) == (400, 1001, "not_run")
    no_messages = json.dumps({"model": fleet.pool, "messages": "hi"}).encode()
    assert read_error(post(address, CHATS, no_messages)) == (400, 1001, "not_run")
    assert read_error(post(address, "/v1/nothing", good)) == (404, 1008, "not_run")
    assert sum(runner.counts()["executions"].values()) == before


def test_oversized_body_is_refused(address, fleet):
    large = encode_chat(fleet.pool, user="x" * 2 * MEGABYTE)
    host, _, port = address.partition(":")
    with socket.create_connection((host, int(port)), timeout=10) as caller:
        head = f"POST {CHATS} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {make_key(CUSTOMER)}\r\n"
        caller.sendall(f"{head}Content-Length: {len(large)}\r\n\r\n".encode())
        assert b" 413 " in caller.recv(4096).split(b"\r\n")[0]


def test_hostile_headers_get_a_clean_answer(address):
    host, _, port = address.partition(":")
    for request in (b"\x00\xff\r\n\r\n", b"POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n"):
        with socket.create_connection((host, int(port)), timeout=10) as caller:
            caller.sendall(request)
            reply = caller.recv(4096)
            assert reply == b"" or reply.startswith(b"HTTP/1.1 4")


def test_work_of_a_vanished_caller_is_cancelled(address, fleet, runner):
    runner.set_fault(slow_factor=5.0)
    before = count_when_idle(runner)
    for streamed in (True, False):
        caller = http.client.HTTPConnection(address)
        body = encode_chat(fleet.pool, stream=streamed)
        caller.request("POST", CHATS, body, make_headers(CUSTOMER))
        while runner.counts()["generated"] == before["generated"]:
            time.sleep(0.02)
        caller.close()
        after = count_when_idle(runner)
        generated = after["generated"] - before["generated"]
        assert after["cancelled"] - before["cancelled"] == generated > 0, streamed
        before = after


def choose_messages(least: int, most: int) -> list[dict]:
    """Return the messages of a chat whose answer has ``least`` to ``most`` tokens."""
    candidates = (make_messages(f"cut {number}") for number in itertools.count())
    return next(each for each in candidates if least <= answer_length(join_prompt(each)) <= most)


def test_cut_answer_is_resumed_to_the_whole(client, fleet, runner):
    messages = choose_messages(15, 20)
    runner.set_fault(cut_after_tokens=5, cut_answers=1)
    before = count_when_idle(runner)
    stream = client.chat.completions.create(model=fleet.pool, messages=messages, stream=True)
    pieces = [choice.delta.content or "" for event in stream for choice in event.choices]
    assert "".join(pieces) == "".join(answer_tokens(join_prompt(messages)))
    executions = sum(runner.counts()["executions"].values())
    assert executions - sum(before["executions"].values()) == 2


def test_answer_that_ends_early_is_told_as_cut(client, fleet, runner):
    messages = choose_messages(100, 200)
    runner.set_fault(cut_after_tokens=3)
    stream = client.chat.completions.create(model=fleet.pool, messages=messages, stream=True)
    text = ""
    with pytest.raises(openai.APIError) as caught:
        for event in stream:
            text += "".join(choice.delta.content or "" for choice in event.choices)
    assert (caught.value.body["code"], caught.value.body["outcome"]) == (3002, "ran")
    assert text and "".join(answer_tokens(join_prompt(messages))).startswith(text)


def test_service_call_under_a_receipt_runs_once(address, fleet):
    (service,) = fleet.services.values()
    path = "/v1/services/filing/record"
    refused = post(address, path, b'"path-1"')
    assert read_error(refused) == (428, 1101, "not_run")
    receipt = post(address, "/v1/receipts", b"").json()["receipt"]
    answers = [post(address, path, b'"path-1"', Idempotency_Key=receipt) for _ in range(3)]
    assert {answer.status for answer in answers} == {200}
    assert {answer.data for answer in answers} == {service_answer("record", b'"path-1"')}
    assert service.counts()["bodies"] == {'"path-1"': 1}
