"""Tests of a running daemon with malformed requests, and slow, idle and disconnecting callers."""

import contextlib
import hashlib
import json
import re
import socket
from functools import partial

import psutil
import pytest
import urllib3
from hypothesis import example, given, settings
from hypothesis import strategies as st

from balsamtally.contracts import Customer
from balsamtally.errors import ERRORS, BalsamtallyError, BodyTooLarge, CallerLeft, UnknownClass
from balsamtally.settings import split_address
from balsamtally.tickets import FORMAT, Ticket
from standins.fleet import Fleet
from tests.polling import expect_soon

KEY = "example-key-of-buggy-cabo"
READ_TIMEOUT_S = 10
SETTLE_TIMEOUT_S = 20
POLL_S = 0.05
VANISHING_CALLERS = 40
SLOW_CALLERS = 6
IDLE_CONNECTIONS = 1500
MAX_BODY_BYTES = 20_000
MAX_BYTES_PER_CONNECTION = 60_000
SMALL_BUFFER_BYTES = 2048
INTERNAL = BalsamtallyError.code

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=8,
)
CHAT = {
    "model": "waivers-8b",
    "messages": [{"role": "user", "content": "hello"}],
    "max_tokens": 1,
}
FIELDS = st.sampled_from(
    ["model", "messages", "stream", "n", "max_tokens", "temperature", "priority", "stop"]
)
BODIES = st.one_of(
    st.binary(max_size=40),
    JSON.map(lambda value: json.dumps(value).encode()),
    st.dictionaries(FIELDS, JSON, max_size=3).map(lambda more: json.dumps(CHAT | more).encode()),
)
HEADER_NAMES = st.sampled_from(
    [
        b"Authorization",
        b"Content-Type",
        b"X-Request-Class",
        b"Idempotency-Key",
        b"X-Request-Id",
        b"Transfer-Encoding",
        b"Content-Length",
        b"Expect",
        b"Connection",
        b"Host",
    ]
)
HEADER_VALUES = st.one_of(
    st.binary(max_size=20),
    st.sampled_from([b"chunked", b"-1", b"99999999999", b"1e3", b"Bearer", b"a" * 9000]),
)
ROUTES = st.sampled_from(
    [
        (b"POST", b"/v1/chat/completions"),
        (b"GET", b"/v1/models"),
        (b"POST", b"/v1/receipts"),
    ]
)
ANY_ROUTE = st.tuples(
    st.sampled_from([b"GET", b"POST", b"PUT", b"HEAD", b"OPTIONS", b"\x00"]),
    st.sampled_from([b"/", b"*", b"/v1/models", b"/v1/services/%00/%ff"])
    | st.binary(max_size=12).map(lambda text: b"/" + text),
)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    flags = {"leave-notice-s": "0", "grace-s": "1", "max-body-bytes": str(MAX_BODY_BYTES)}
    with Fleet(folder, domains=1, runners_per_domain=1, daemon_flags=flags) as fleet:
        yield fleet


@pytest.fixture(scope="module")
def vm(fleet):
    [vm] = fleet.vms.values()
    yield vm
    assert vm.read("/healthz")
    assert "Traceback" not in vm.read_log()


def connect(vm):
    return socket.create_connection(split_address(vm.caller), timeout=READ_TIMEOUT_S)


def send_raw(vm, request):
    """Send bytes, shut down the sending side, and return all bytes received."""
    received = b""
    with connect(vm) as sock, contextlib.suppress(ConnectionError):
        sock.sendall(request)
        sock.shutdown(socket.SHUT_WR)
        while data := sock.recv(65536):
            received += data
    return received


def post_chat(vm, body, key=KEY, **options):
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    url = f"http://{vm.caller}/v1/chat/completions"
    options.setdefault("timeout", READ_TIMEOUT_S)
    return urllib3.request("POST", url, body=body, headers=headers, retries=False, **options)


def check_numbered_error(status, body):
    error = json.loads(body)["error"]
    known = ERRORS[error["code"]]
    assert error["code"] != INTERNAL, error
    assert (status, error["outcome"]) == (known.status, known.outcome.value)


wait_until = partial(expect_soon, timeout_s=SETTLE_TIMEOUT_S)


def count_in_flight(vm):
    return sum_metric(vm, rb"in_flight{[^}]*}")


def count_ended(vm, code):
    return sum_metric(vm, rb'requests_total{[^}]*code="%d"}' % code)


def sum_metric(vm, labels):
    counts = re.findall(rb"balsamtally_" + labels + rb" (\d+)", vm.read("/metrics"))
    return sum(int(count) for count in counts)


@settings(max_examples=40)
@given(BODIES)
@example(b"[" * 15_000)
@example(json.dumps(CHAT).encode() + b" " * MAX_BODY_BYTES)
def test_any_body_gets_an_answer_or_a_numbered_error(vm, body):
    answer = post_chat(vm, body)
    assert (answer.status == BodyTooLarge.status) == (len(body) > MAX_BODY_BYTES)
    if answer.status != 200:
        check_numbered_error(answer.status, answer.data)


@settings(max_examples=200)
@given(
    ROUTES | ROUTES | ANY_ROUTE,
    st.lists(st.tuples(HEADER_NAMES, HEADER_VALUES), max_size=3),
    st.just(json.dumps(CHAT).encode()) | st.binary(max_size=30),
    st.booleans(),
    st.booleans(),
)
def test_any_header_gets_a_numbered_error_or_a_clean_close(
    vm, route, headers, body, with_key, with_length
):
    method, path = route
    lines = [method + b" " + path + b" HTTP/1.1", b"Host: a"]
    if with_key:
        lines.append(b"Authorization: Bearer " + KEY.encode())
    if with_length:
        lines.append(b"Content-Length: %d" % len(body))
    lines += [name + b": " + value for name, value in headers]
    received = send_raw(vm, b"\r\n".join(lines) + b"\r\n\r\n" + body)
    if not received:
        return
    head, _, rest = received.partition(b"\r\n\r\n")
    status = int(head.split()[1])
    if b"application/json" not in head:
        assert status in (400, 414, 431) and b"connection: close" in head.lower(), received
    elif status >= 400 and method != b"HEAD" and b"chunked" not in head:
        length = int(re.search(rb"Content-Length: (\d+)", head)[1])
        check_numbered_error(status, rest[:length])


@pytest.mark.parametrize("classes", [(), ("dangling",)])
def test_customer_without_a_class_gets_a_numbered_error(fleet, vm, classes):
    key = "key-of-" + "-".join(("nobody", *classes))
    customer = Customer(key, (hashlib.sha256(key.encode()).hexdigest(),), classes)
    fleet.publish(Ticket(FORMAT, 90 + len(classes), "ana", (customer,)))
    wait_until(lambda: key.encode() in vm.read("/state"))
    answer = post_chat(vm, json.dumps(CHAT).encode(), key=key)
    check_numbered_error(answer.status, answer.data)
    assert answer.json()["error"]["code"] == UnknownClass.code


def test_work_of_disconnected_callers_is_cancelled(fleet, vm):
    [runner] = fleet.runners.values()
    body = json.dumps(CHAT | {"stream": True, "max_tokens": 5000}).encode()
    ended_whole, ended_left = count_ended(vm, 0), count_ended(vm, CallerLeft.code)
    answers = [post_chat(vm, body, preload_content=False) for _ in range(runner.server.slots)]
    waiting = [connect(vm) for _ in range(VANISHING_CALLERS - len(answers))]
    head = f"POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\n"
    for sock in waiting:
        sock.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    wait_until(lambda: count_in_flight(vm) == VANISHING_CALLERS)
    for sock in waiting:
        sock.close()
    wait_until(lambda: count_in_flight(vm) == len(answers))
    for answer in answers:
        answer.close()
    wait_until(lambda: count_in_flight(vm) == 0)
    wait_until(lambda: runner.counts()["running"] == runner.counts()["waiting"] == 0)
    assert count_ended(vm, CallerLeft.code) == ended_left + VANISHING_CALLERS
    assert count_ended(vm, 0) == ended_whole


def test_slow_readers_do_not_block_other_callers(vm):
    body = json.dumps(CHAT | {"stream": True, "max_tokens": 5000}).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\n"
    with contextlib.ExitStack() as stack:
        for _ in range(SLOW_CALLERS):
            sock = stack.enter_context(socket.socket())
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            sock.connect(split_address(vm.caller))
            sock.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        wait_until(lambda: count_in_flight(vm) == SLOW_CALLERS)
        assert post_chat(vm, json.dumps(CHAT).encode()).status == 200
        assert count_in_flight(vm) == SLOW_CALLERS
    wait_until(lambda: count_in_flight(vm) == 0)


def test_idle_connections_take_bounded_memory(vm):
    process = psutil.Process(vm.pid)
    before = process.memory_info().rss
    with contextlib.ExitStack() as stack:
        for _ in range(IDLE_CONNECTIONS):
            stack.enter_context(connect(vm))
        wait_until(lambda: len(process.net_connections("tcp")) > IDLE_CONNECTIONS)
        assert post_chat(vm, json.dumps(CHAT).encode()).status == 200
        grown = process.memory_info().rss - before
    assert grown < IDLE_CONNECTIONS * MAX_BYTES_PER_CONNECTION
    wait_until(lambda: len(process.net_connections("tcp")) < IDLE_CONNECTIONS)
