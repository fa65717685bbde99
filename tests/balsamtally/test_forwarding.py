"""Tests of forwarding: retries, reported outcomes, stream resumption and the end of the work."""

import contextlib
import time

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamtally import backends, sockets
from balsamtally.backends import Connections
from balsamtally.callers import CallerServer
from balsamtally.calls import Account, Branch, Limits, PromptPart, Repeat
from balsamtally.errors import (
    AnswerCut,
    BackendSilent,
    BackendUnreachable,
    Leaving,
    PartQuarantined,
    TargetHopeless,
)
from balsamtally.forwarding import Forwarder
from balsamtally.held_bytes import HeldBytes
from balsamtally.paths import dialer
from balsamtally.plans import make_plan, pick_service
from balsamtally.sockets import listen
from balsamtally.stall_exchange import StallExchange
from balsamtally.stalls import SETTLE_S, Stalls
from balsamtally.terminations import RECHECK_S, Terminations
from tests.answer_grammar import read_answers
from tests.balsamtally.scripted import (
    ScriptedBackend,
    hang,
    make_backend,
    make_call,
    make_contracts,
    make_hooks,
    make_route,
    make_wire,
    read_message,
    reply,
    send_raw,
)
from tests.polling import expect_soon

STREAM = b"HTTP/1.1 200 OK\r\nId: id1\r\nSigned: a\r\nTransfer-Encoding: chunked\r\n\r\n"
STREAM_AGAIN = STREAM.replace(b"Signed: a", b"Signed: b")
END = b"0\r\n\r\n"
REQUEST = b"POST /a/x?y=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
OWN_PART = (PromptPart("o", 5),)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def events(first, last):
    return b"".join(chunk(event(number)) for number in range(first, last + 1))


class ForwarderHarness:
    """Runs a forwarder between callers and scripted backend servers.

    :param wire: the header conventions, ``None`` for those of :mod:`scripted`
    """

    def __init__(
        self,
        route,
        *backends,
        more_routes=(),
        wire=None,
        deadline_s=2.0,
        parts=OWN_PART,
        **hooks,
    ):
        self.servers = [make_backend(f"b{i}", b.address) for i, b in enumerate(backends)]
        found = make_contracts(route, *more_routes)
        self._wire = wire
        self.hooks, self.recorded, self.backlogs = make_hooks(found, self.servers, **hooks)
        self._deadline_s = deadline_s
        self._parts = parts

    def __enter__(self):
        self._stack = contextlib.ExitStack()
        self.connections = self._stack.enter_context(Connections())
        wire = self._wire or make_wire(
            lambda request: make_call(
                id=(request.find_value(b"id") or b"id1").decode(),
                arrived_s=request.arrived_s,
                deadline_s=self._deadline_s,
                body=request.body,
                method=request.method,
                target=request.target,
                parts=self._parts,
            )
        )
        terminations = Terminations(
            self.connections.refuses_connections, self.connections.is_reachable
        )
        self.stalls = Stalls()
        self.forwarder = Forwarder(
            self.hooks, wire, self.connections, terminations, HeldBytes(1e9), self.stalls
        )
        serve, refuse = self.forwarder.serve, self.forwarder.refuse
        server = CallerServer(listen(("127.0.0.1", 0)), Limits, serve, refuse, time.monotonic)
        self._stack.enter_context(server)
        self._address = server._listener.getsockname()
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def connect(self):
        return socket.create_connection(self._address, timeout=10)

    def send(self, request=REQUEST):
        """Return status, headers and body of the answer, and whether it is complete."""
        with contextlib.closing(self.connect()) as sock:
            sock.sendall(request)
            return read_answer(sock)

    def list_recorded(self, kind):
        return [fields[1:] for fields in self.recorded if fields[0] == kind]


def read_answer(sock):
    data = b""
    with contextlib.suppress(OSError):
        while not is_whole(data):
            piece = sock.recv(65536)
            if not piece:
                break
            data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    headers = dict(line.lower().split(b": ", 1) for line in lines[1:])
    status = int(lines[0].split()[1]) if lines[0] else 0
    if headers.get(b"transfer-encoding") == b"chunked":
        body = b"".join(join_chunks(body))
    return status, headers, body, is_whole(data)


def is_whole(data):
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return False
    if b"ransfer-encoding: chunked" in head.lower():
        return body.endswith(END)
    length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
    return len(body) == length


def join_chunks(body):
    while body:
        size, _, rest = body.partition(b"\r\n")
        count = int(size or b"0", 16)
        yield rest[:count]
        body = rest[count + 2 :]


def test_request_is_forwarded_unchanged_and_answer_is_returned():
    with ScriptedBackend(reply(200, b"whole", b"Id: id1\r\nSigned: s\r\n")) as one:
        with ForwarderHarness(make_route(), one) as harness:
            status, headers, body, whole = harness.send()
        assert (status, body, whole, headers[b"signed"]) == (200, b"whole", True, b"s")
        [request] = one.requests
        assert request.startswith(b"POST /a/x?y=1 HTTP/1.1\r\n") and request.endswith(
            b"\r\n\r\nbody"
        )


FAILURES = {
    "closed": send_raw(),
    "reset": send_raw(reset=True),
    "cut": send_raw(b"HTTP/1.1 200 X\r\nId: id1\r\nContent-Length: 9\r\n\r\nab"),
    "garbage": send_raw(b"\x00\x01 no answer\r\n\r\n"),
    "foreign": send_raw(b"HTTP/1.1 200 X\r\nId: other\r\nContent-Length: 2\r\n\r\nab"),
    "unsigned": reply(200, b"ab", b""),
    "two lengths": send_raw(
        b"HTTP/1.1 200 X\r\nId: id1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"
    ),
    "unframed and reset": send_raw(
        b"HTTP/1.1 200 X\r\nId: id1\r\n\r\nab", pause_s=0.02, reset=True
    ),
}


@pytest.mark.parametrize("name", FAILURES)
def test_call_that_may_have_run_is_sent_once_and_never_reported_as_not_run(name):
    with ScriptedBackend(FAILURES[name]) as one, ScriptedBackend(reply()) as two:
        with ForwarderHarness(make_route(Repeat.NEVER), one, two) as harness:
            status, _, _, whole = harness.send()
        assert status in (502, 504) and whole
        assert len(one.requests) == 1 and two.requests == []


@pytest.mark.parametrize("name", FAILURES)
def test_idempotent_call_is_retried_at_another_backend_server(name):
    with ScriptedBackend(FAILURES[name]) as one, ScriptedBackend(reply()) as two:
        with ForwarderHarness(make_route(Repeat.ALWAYS), one, two) as harness:
            assert harness.send()[:3:2] == (200, b"answer")
        assert len(one.requests) == len(two.requests) == 1


@pytest.mark.parametrize("name", FAILURES)
def test_connection_with_an_irregular_exchange_is_not_reused(name):
    with ScriptedBackend(FAILURES[name], reply()) as one:
        with ForwarderHarness(make_route(), one) as harness:
            harness.send()
            assert harness.send()[0] == 200
        # An answer without a length has a witness, and a link is checked after a reset.
        expected = 2 + name.startswith("unframed") + name.endswith("reset")
        expect_soon(lambda: one.connections >= expected)
        assert one.connections == expected


@pytest.mark.parametrize("is_reachable", [False, True])
def test_reset_counts_as_the_server_s_fault_only_while_its_link_works(monkeypatch, is_reachable):
    monkeypatch.setattr(Connections, "is_reachable", lambda self, backend: is_reachable)
    with ScriptedBackend(FAILURES["reset"]) as one:
        with ForwarderHarness(make_route(Repeat.NEVER), one) as harness:
            assert harness.send()[0] == 502
            gevent.sleep(0.1)
            assert len(harness.list_recorded("outcome")) == is_reachable


REFUSED = reply(503, b"", b"Id: id1\r\nNot-Run: 1\r\n")


def test_refused_call_is_retried_at_another_backend_server():
    again = reply(503, b"", b"Id: id2\r\nNot-Run: 1\r\n"), reply(headers=b"Id: id2\r\n")
    with ScriptedBackend(REFUSED, again[0]) as one, ScriptedBackend(reply(), again[1]) as two:
        with ForwarderHarness(make_route(Repeat.NEVER), one, two) as harness:
            assert harness.send()[0] == 200
            assert harness.send(SECOND)[0] == 200
        assert one.connections == 1


def test_max_attempts_and_retry_budget_limit_the_attempts():
    with ScriptedBackend(REFUSED) as one, ScriptedBackend(REFUSED) as two:
        with ScriptedBackend(reply()) as three:
            with ForwarderHarness(make_route(max_attempts=2), one, two, three) as harness:
                assert harness.send()[0] == 503
            assert three.requests == []
            with ForwarderHarness(
                make_route(max_attempts=3), one, three, take_retry=lambda s: False
            ) as harness:
                assert harness.send()[0] == 503
            assert three.requests == []


def test_not_run_is_reported_only_if_no_attempt_may_have_run():
    with ScriptedBackend(send_raw()) as one, ScriptedBackend(REFUSED) as two:
        with ForwarderHarness(make_route(Repeat.ALWAYS), one, two) as harness:
            assert harness.send()[0] == 502
    with ScriptedBackend(send_raw()) as one:
        with ForwarderHarness(make_route(Repeat.ALWAYS), one) as harness:
            assert harness.send()[0] == 502


def test_unreachable_backend_servers_do_not_count_as_attempts():
    with ScriptedBackend(reply()) as one:
        stopped = ScriptedBackend(reply())
        with stopped:
            pass
        with ForwarderHarness(make_route(max_attempts=1), stopped, one) as harness:
            assert harness.send()[0] == 200


def test_call_reaches_the_last_backend_server_while_all_others_refuse_connections():
    """As after the loss of a failure domain whose backend servers are still published."""
    stopped = [ScriptedBackend(reply()) for _ in range(6)]
    for backend in stopped:
        with backend:
            pass
    with ScriptedBackend(reply()) as one:
        with ForwarderHarness(make_route(max_attempts=1), *stopped, one) as harness:
            assert harness.send()[0] == 200
        with ForwarderHarness(make_route(max_attempts=1), *stopped) as harness:
            assert harness.send()[0] == 503


def test_replaced_backend_server_is_recorded_as_leaving_and_call_is_retried():
    wrong = reply(421, b"", b"Id: id1\r\n")
    with ScriptedBackend(wrong) as one, ScriptedBackend(reply()) as two:
        with ForwarderHarness(make_route(), one, two) as harness:
            assert harness.send()[0] == 200
            [(backend, _)] = harness.list_recorded("leaving")
            assert backend.name == "b0"


def test_nothing_is_sent_to_backend_server_that_started_draining_while_connecting():
    with ScriptedBackend(reply()) as one, ScriptedBackend(reply()) as two:
        with ForwarderHarness(
            make_route(), one, two, is_open=lambda backend: backend.name != "b0"
        ) as harness:
            assert harness.send()[0] == 200
        assert one.requests == [] and len(two.requests) == 1


def test_failed_answer_of_an_idempotent_call_is_returned_if_no_retry_succeeds():
    failed = reply(500, b"fault", b"Id: id1\r\nSigned: s\r\n")
    with ScriptedBackend(failed) as one, ScriptedBackend(reply()) as two:
        with ForwarderHarness(make_route(Repeat.ALWAYS), one, two) as harness:
            assert harness.send()[0] == 200
        with ForwarderHarness(make_route(Repeat.ALWAYS), one) as harness:
            status, headers, body, _ = harness.send()
            assert (status, headers[b"signed"], body) == (500, b"s", b"fault")
        with ForwarderHarness(make_route(Repeat.NEVER), one, two) as harness:
            assert harness.send()[0] == 500
        assert len(two.requests) == 1


def test_late_answer_to_an_earlier_request_is_skipped_by_its_id():
    extra = b"HTTP/1.1 200 X\r\nId: earlier\r\nContent-Length: 3\r\n\r\nbad"
    right = b"HTTP/1.1 200 X\r\nId: id1\r\nContent-Length: 4\r\n\r\ngood"
    with ScriptedBackend(send_raw(extra, right)) as one:
        with ForwarderHarness(make_route(), one) as harness:
            assert harness.send()[:3:2] == (200, b"good")


def test_second_answer_after_a_whole_answer_is_discarded():
    whole = b"HTTP/1.1 200 X\r\nId: id1\r\nContent-Length: 4\r\n\r\ngood"

    def answer_twice(sock, request):
        sock.sendall(whole)
        gevent.sleep(0.05)
        sock.sendall(whole.replace(b"good", b"evil"))

    with ScriptedBackend(answer_twice) as one:
        with ForwarderHarness(make_route(), one) as harness:
            assert harness.send()[2] == b"good"
            gevent.sleep(0.1)
            assert harness.send()[2] == b"good"
        assert one.connections == 2


def test_second_call_with_an_id_gets_no_copy_of_the_first_ones_answer():
    """The copy arrives after the second request was sent, so that only the id could tell."""

    def repeat_first(sock, request):
        reply(200, b"first")(sock, request)
        if read_message(sock) is not None:
            reply(200, b"first")(sock, request)
        return False

    with ScriptedBackend(repeat_first, reply(200, b"second")) as one:
        with ForwarderHarness(make_route(), one) as harness:
            assert [harness.send()[2] for _ in range(2)] == [b"first", b"second"]


LATE = b"HTTP/1.1 200 X\r\nId: id0\r\nContent-Length: 4\r\n\r\nlate"
SECOND = b"GET /a/x HTTP/1.1\r\nHost: h\r\nId: id2\r\n\r\n"


@pytest.mark.parametrize("reused", [False, True])
@pytest.mark.parametrize("late", [b"", LATE], ids=["end", "late answer"])
def test_call_whose_connection_has_input_before_it_is_sent_goes_elsewhere(reused, late):
    """The end of the connection, or a late answer, arrives after the connection was chosen.

    This is none of the two attempts.
    """
    admitted = []

    def admit(plan, progress):
        admitted.append(plan)
        if len(admitted) == (4 if reused else 2):
            disturb.set()
            expect_soon(disturbed.is_set)

    def serve(sock):
        if reused:
            read_message(sock)
            reply()(sock, b"")
        disturb.wait()
        sock.sendall(late)
        if late:
            gevent.spawn_later(0.1, disturbed.set)
            received.append(sock.recv(65536))
        sock.close()
        disturbed.set()

    disturb, disturbed, received = Event(), Event(), []
    refusal = reply(503, b"", b"Id: id2\r\nNot-Run: 1\r\n")
    three = ScriptedBackend(reply(200, b"three", b"Id: id2\r\n"))
    with ScriptedBackend(hang) as one, ScriptedBackend(refusal) as two, three:
        one._serve = serve
        with ForwarderHarness(make_route(), one, two, three, admit=admit) as harness:
            if reused:
                assert harness.send()[2] == b"answer"
            assert harness.send(SECOND)[:3:2] == (200, b"three")
    assert received in ([], [b""])


def test_late_answer_to_a_head_request_does_not_swallow_the_head_of_the_next_answer():
    """Such an answer has no body, whatever its length; then a body would be read as an answer."""
    body = b"HTTP/1.1 200 X\r\nId: id2\r\nContent-Length: 6\r\n\r\nforged"
    answer = b"HTTP/1.1 200 X\r\nId: id2\r\nContent-Length: %d\r\n\r\n" % len(body)
    late = b"HTTP/1.1 200 X\r\nId: id1\r\nContent-Length: %d\r\n\r\n" % len(answer)
    scripts = [
        lambda sock, _: sock.sendall(late),
        lambda sock, _: sock.sendall(late + answer + body),
    ]
    with ScriptedBackend(*scripts) as one, ForwarderHarness(make_route(), one) as harness:
        with contextlib.closing(harness.connect()) as sock:
            sock.sendall(b"HEAD /a/x HTTP/1.1\r\nHost: h\r\n\r\n")
            assert sock.recv(65536).startswith(b"HTTP/1.1 200")
        assert harness.send(SECOND)[2] != b"forged"


def test_connection_carries_a_bounded_number_of_requests(monkeypatch):
    monkeypatch.setattr(backends, "MAX_REQUESTS", 2)
    with ScriptedBackend(reply()) as one:
        with ForwarderHarness(make_route(), one) as harness:
            for call_id in "abcd":
                connection = harness.connections.acquire(harness.servers[0], 1.0, call_id)
                connection.send(b"GET", b"/", ((b"Host", b"h"),), b"", time.monotonic() + 5.0)
                connection.read_head(time.monotonic() + 5.0)
                assert connection.drain(time.monotonic() + 5.0)
                harness.connections.release(harness.servers[0], connection)
        assert one.connections == 2


def test_connection_is_closed_after_an_early_answer():
    """The next request on the connection would be read as the rest of the unsent body."""
    big = b"x" * 3_000_000

    class Early(ScriptedBackend):
        def _serve(self, sock):
            sock.recv(1000)
            sock.sendall(b"HTTP/1.1 503 X\r\nId: id1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
            gevent.sleep(0.2)
            self.late = sock.recv(100)
            while sock.recv(65536):
                pass
            self.closed += 1

    with Early(hang) as one, ScriptedBackend(reply()) as two:
        with ForwarderHarness(make_route(max_attempts=2), one, two, deadline_s=5.0) as harness:
            head = b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(big)
            assert harness.send(head + big)[0] == 200
            gevent.sleep(0.4)
        assert one.closed == 1 and len(two.requests[0]) > len(big)


# Deadlines.


def test_call_to_a_silent_backend_server_fails_at_the_routes_timeout():
    with ScriptedBackend(hang) as one:
        with ForwarderHarness(make_route(timeout_s=0.3), one) as harness:
            begun = time.monotonic()
            status = harness.send()[0]
            assert status == 504 and 0.25 < time.monotonic() - begun < 5.0


def test_each_attempt_gets_only_the_remaining_time():
    def refuse_later(sock, request):
        gevent.sleep(0.2)
        REFUSED(sock, request)

    with ScriptedBackend(refuse_later) as one, ScriptedBackend(reply()) as two:
        with ForwarderHarness(make_route(timeout_s=1.0), one, two) as harness:
            assert harness.send()[0] == 200
        left = [int(r.partition(b"Left-Ms: ")[2].partition(b"\r\n")[0]) for r in one.requests]
        later = [int(r.partition(b"Left-Ms: ")[2].partition(b"\r\n")[0]) for r in two.requests]
        assert left[0] <= 1000 and later[0] <= left[0] - 190


@pytest.mark.parametrize("streams", [False, True])
def test_work_ends_as_soon_as_the_caller_disconnects(streams):
    def stream_on(sock, request):
        sock.sendall(STREAM)
        number = 0
        while True:
            number += 1
            sock.sendall(chunk(event(number)))
            gevent.sleep(0.02)

    with ScriptedBackend(stream_on if streams else hang) as one:
        with ForwarderHarness(make_route(streams=streams), one) as harness:
            sock = harness.connect()
            sock.sendall(b"POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
            expect_soon(lambda: harness.backlogs.find("b0").running == 1 and one.requests)
            sock.close()
            expect_soon(lambda: harness.backlogs.find("b0").running == 0 and one.closed == 1)


# Streams.


def test_stream_is_passed_on_and_ended_as_complete():
    pieces = [STREAM, *(chunk(event(number)) for number in range(1, 6)), END]
    with ScriptedBackend(send_raw(*pieces, pause_s=0.01)) as one:
        with ForwarderHarness(make_route(Repeat.RESUME, True), one) as harness:
            status, headers, body, whole = harness.send()
    assert (status, whole) == (200, True) and headers[b"signed"] == b"a"
    assert body == b"".join(event(number) for number in range(1, 6))


def test_cut_stream_is_resumed_after_its_last_whole_event():
    cut = send_raw(STREAM, events(1, 2), chunk(event(3)[:7]), pause_s=0.01, reset=True)
    rest = send_raw(STREAM_AGAIN, events(3, 4), END)
    with ScriptedBackend(cut) as one, ScriptedBackend(rest) as two:
        with ForwarderHarness(make_route(Repeat.RESUME, True), one, two) as harness:
            status, headers, body, whole = harness.send()
        assert b"Last: 2\r\n" in two.requests[0]
    assert (status, whole, headers[b"signed"]) == (200, True, b"a")
    assert body == b"".join(event(number) for number in range(1, 5))


def test_cut_stream_that_is_not_resumable_is_incomplete_for_the_caller():
    cut = send_raw(STREAM, events(1, 2), pause_s=0.01, reset=True)
    with ScriptedBackend(cut) as one, ScriptedBackend(cut) as two:
        with ForwarderHarness(make_route(Repeat.NEVER, True), one, two) as harness:
            _, _, body, whole = harness.send()
        assert not whole and two.requests == [] and body == event(1) + event(2)


def test_stream_that_ends_within_an_event_is_incomplete_for_the_caller():
    cut = send_raw(STREAM, events(1, 2), chunk(b"id: 3\nda"), END)
    with ScriptedBackend(cut) as one:
        with ForwarderHarness(make_route(Repeat.NEVER, True), one) as harness:
            assert harness.send()[3] is False


@settings(max_examples=40)
@given(st.integers(0, len(STREAM + events(1, 6))), st.integers(1, 40), st.booleans())
def test_resumed_stream_is_complete_wherever_it_was_cut(offset, size, reset):
    """The caller gets the same events as from an uncut stream, whatever the offset of the cut."""
    data = (STREAM + events(1, 6))[:offset]
    pieces = [data[i : i + size * 10] for i in range(0, len(data), size * 10)]

    def resume(sock, request):
        last = request.partition(b"Last: ")[2].partition(b"\r\n")[0]
        sock.sendall(STREAM_AGAIN + events(int(last or b"0") + 1, 6) + END)
        return False

    with ScriptedBackend(send_raw(*pieces, reset=reset)) as one, ScriptedBackend(resume) as two:
        with ForwarderHarness(make_route(Repeat.RESUME, True), one, two) as harness:
            status, _, body, whole = harness.send()
    assert (status, whole) == (200, True)
    assert body == b"".join(event(number) for number in range(1, 7))


# Contracts.


def test_service_is_picked_by_the_weights_of_the_branches():
    route = make_route(branches=(Branch("a", 90), Branch("b", 10)))
    picked = [pick_service(f"id{number}", route) for number in range(2000)]
    assert 120 < picked.count("b") < 280


def test_tier_of_the_customer_overrides_tier_of_the_route():
    contracts = make_contracts(make_route(tier=2), accounts={"key": Account("cabo", 0)})
    assert make_plan(make_call(), contracts).tier == 0
    assert make_plan(make_call(), make_contracts(make_route(tier=2))).tier == 2


@pytest.mark.parametrize(
    ("contracts", "status"),
    [
        (None, 503),
        (make_contracts(make_route(path_prefix="/b/")), 404),
        (make_contracts(make_route(host="other")), 404),
        (make_contracts(make_route(), accounts={}), 401),
    ],
)
def test_calls_that_the_contracts_do_not_allow_are_refused(contracts, status):
    with ScriptedBackend(reply()) as one:
        with ForwarderHarness(make_route(), one, find_contracts=lambda: contracts) as harness:
            assert harness.send()[0] == status
        assert one.requests == []


def crash(backend, *pieces):
    """Return a script that sends pieces, stops listening and closes the connection."""

    def run(sock, request):
        backend.stop_listening()
        return send_raw(*pieces)(sock, request)

    return run


@pytest.mark.parametrize("ended", [True, False])
def test_attempts_at_terminated_backend_servers_are_not_counted(ended):
    """The first backend server cuts its stream and keeps listening; the second one cuts it too.

    The attempt at the second one counts only if its process still listens.
    """
    with contextlib.ExitStack() as stack:
        one = stack.enter_context(ScriptedBackend(send_raw(STREAM, events(1, 2))))
        two = stack.enter_context(ScriptedBackend(send_raw()))
        three = stack.enter_context(ScriptedBackend(send_raw(STREAM_AGAIN, events(3, 4), END)))
        if ended:
            two._scripts = [crash(two)]
        with ForwarderHarness(
            make_route(Repeat.RESUME, True, max_attempts=2), one, two, three
        ) as harness:
            _, _, body, whole = harness.send()
        assert (whole, len(three.requests)) == ((True, 1) if ended else (False, 0))
        assert body == b"".join(event(number) for number in range(1, 5 if ended else 3))


def test_call_that_is_not_repeatable_is_not_retried_after_its_backend_server_terminated():
    with ScriptedBackend(reply(200)) as two, ScriptedBackend(send_raw()) as one:
        one._scripts = [crash(one)]
        with ForwarderHarness(make_route(Repeat.NEVER, max_attempts=1), one, two) as harness:
            status, *_ = harness.send()
        assert (status, two.requests) == (502, [])


def send_slowly(head, piece, pause_s, times):
    """Return a script that sends a head, then a piece repeatedly with pauses, and the end."""

    def run(sock, request):
        sock.sendall(head)
        for _ in range(times):
            gevent.sleep(pause_s)
            sock.sendall(piece)
        sock.sendall(END)
        return False

    return run


def test_slow_stream_is_passed_on_to_its_end():
    """Events that miss the inter-event target don't end a stream within the route's timeout."""
    script = send_slowly(STREAM, chunk(b"data: t\n\n"), 0.3, 5)
    with (
        ScriptedBackend(script) as one,
        ForwarderHarness(make_route(streams=True, gap_s=0.05), one) as harness,
    ):
        status, _, body, whole = harness.send()
    assert (status, whole, body.count(b"data")) == (200, True, 5)


@pytest.mark.parametrize("begun", [b"", chunk(b"data: t\n\n")], ids=["no event", "one event"])
def test_stalled_stream_that_still_sends_bytes_ends_at_the_routes_timeout(begun):
    """Bytes that never complete an event must not extend the call beyond the route's timeout."""
    script = send_slowly(STREAM + begun, chunk(b"x"), 0.05, 400)
    route = make_route(streams=True, timeout_s=0.6)
    with ScriptedBackend(script) as one, ForwarderHarness(route, one, deadline_s=20.0) as harness:
        begun_s = time.monotonic()
        status, _, _, whole = harness.send()
        # Well below the 20 s for which the script sends bytes.
        assert time.monotonic() - begun_s < 10
        expect_soon(lambda: one.closed == 1)
    assert status == 504 if not begun else not whole


HEAD = b"HTTP/1.1 200 OK\r\nId: id1\r\n"
FRAMINGS = {
    "length": HEAD + b"Content-Length: 9\r\n\r\nthe whole",
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nthe \r\n5\r\nwhole\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("name", FRAMINGS)
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
def test_answer_cut_at_any_byte_is_never_passed_on_as_complete(name, reset):
    answer = FRAMINGS[name]
    scripts = [send_raw(answer[:size], reset=reset) for size in range(1, len(answer))]
    with ScriptedBackend(*scripts) as one, ForwarderHarness(make_route(), one) as harness:
        for _ in scripts:
            assert harness.send()[0] in (502, 504)


def test_answer_without_a_length_that_ends_in_a_reset_fails():
    script = send_raw(HEAD + b"\r\nthe ", reset=True)
    with ScriptedBackend(script) as one, ForwarderHarness(make_route(), one) as harness:
        assert harness.send()[0] == 502


SHARED_PARTS = (PromptPart("s", 10), PromptPart("o", 5))


class CrashingBackend(ScriptedBackend):
    """A backend server that stops listening and breaks off as it begins to answer."""

    def __init__(self, *before):
        super().__init__(self._crash)
        self._before = before

    def _crash(self, sock, request):
        for piece in self._before:
            sock.sendall(piece)
        self.stop_listening()
        return False


def test_call_ends_at_most_two_backend_servers_that_had_not_begun_to_answer():
    route = make_route(Repeat.RESUME, streams=True, max_attempts=5)
    with CrashingBackend() as one, CrashingBackend() as two, CrashingBackend() as three:
        with ForwarderHarness(route, one, two, three, parts=SHARED_PARTS) as harness:
            assert harness.send()[0] == 502
        assert [len(each.requests) for each in (one, two, three)] == [1, 1, 0]
    assert [backend.name for _, backend, *_ in harness.list_recorded("crash")] == ["b0", "b1"]


def test_call_whose_answer_had_begun_survives_the_end_of_its_backend_servers():
    route = make_route(Repeat.RESUME, streams=True, max_attempts=1)
    begun = [CrashingBackend(STREAM + events(n, n)) for n in (1, 2, 3)]
    last = ScriptedBackend(send_raw(STREAM + events(4, 4) + END))
    with contextlib.ExitStack() as stack:
        for backend in (*begun, last):
            stack.enter_context(backend)
        harness = ForwarderHarness(route, *begun, last, parts=SHARED_PARTS)
        with harness:
            status, _, body, whole = harness.send()
    assert (status, whole) == (200, True)
    assert body == b"".join(map(event, (1, 2, 3, 4)))
    assert not harness.list_recorded("crash")


def test_call_with_suspected_parts_is_not_retried_after_a_crash():
    route = make_route(Repeat.RESUME, streams=True)
    with CrashingBackend() as one, ScriptedBackend(send_raw(STREAM + END)) as two:
        with ForwarderHarness(
            route, one, two, parts=SHARED_PARTS, is_suspect=lambda plan: True
        ) as harness:
            assert harness.send()[0] == 502
        assert len(one.requests) == 1 and not two.requests


def test_cut_connection_to_a_running_backend_server_is_no_crash():
    route = make_route(Repeat.RESUME, streams=True)
    with (
        ScriptedBackend(send_raw(reset=True)) as one,
        ScriptedBackend(send_raw(STREAM + END)) as two,
    ):
        with ForwarderHarness(
            route, one, two, parts=SHARED_PARTS, is_suspect=lambda plan: True
        ) as harness:
            assert harness.send()[0] == 200
        assert not harness.list_recorded("crash")


def test_part_that_is_quarantined_while_a_call_waits_is_not_sent():
    refusals = iter((None, PartQuarantined("held", retry_after_s=7.0)))

    def admit(plan, progress):
        error = next(refusals)
        if error is not None:
            raise error

    with ScriptedBackend(reply()) as one:
        with ForwarderHarness(make_route(), one, parts=SHARED_PARTS, admit=admit) as harness:
            status, headers, *_ = harness.send()
        assert (status, headers[b"code"]) == (503, b"2015")
        assert not one.requests


def test_part_that_is_quarantined_after_an_attempt_is_not_reported_as_not_run():
    refusals = iter((None, None, PartQuarantined()))

    def admit(plan, progress):
        error = next(refusals)
        if error is not None:
            raise error

    route = make_route(Repeat.RESUME, streams=True)
    with CrashingBackend() as one, ScriptedBackend(send_raw(STREAM + END)) as two:
        with ForwarderHarness(route, one, two, parts=SHARED_PARTS, admit=admit) as harness:
            assert harness.send()[0] == 502
        assert not two.requests


@pytest.mark.parametrize("repeat", [Repeat.ALWAYS, Repeat.RESUME])
def test_stored_error_answer_is_not_written_into_a_begun_stream(repeat):
    route = make_route(repeat, streams=True)
    error = reply(500, b"broken", b"Id: id1\r\nSigned: e\r\n")
    with ScriptedBackend(error) as one, ScriptedBackend(send_raw(STREAM + events(1, 2))) as two:
        with ForwarderHarness(route, one, two) as harness:
            status, _, body, whole = harness.send()
    assert (status, whole) == (200, False)
    assert body == event(1) + event(2)
    [(_, _, error)] = harness.list_recorded("end")
    assert isinstance(error, AnswerCut)


HEAD_PIECES = (
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 OK\r\nId: id1\r\nSig",
    b"HTTP/1.1 200 OK\r\nId: id1\r\nSigned: a\r\n",
    b"HTTP/1.1 200 OK\r\nId: id1\r\nContent-Length: 0\r\n",
)


@pytest.mark.parametrize("streams", [False, True])
@pytest.mark.parametrize("head", HEAD_PIECES)
def test_answer_that_ends_within_its_head_is_not_passed_on(head, streams):
    route = make_route(Repeat.NEVER, streams=streams)
    with ScriptedBackend(send_raw(head)) as one:
        with ForwarderHarness(route, one) as harness:
            assert harness.send()[0] == 502


UNFRAMED = b"HTTP/1.1 200 OK\r\nId: id1\r\nSigned: a\r\n\r\n"


@pytest.mark.parametrize("reset", [False, True])
def test_answer_without_a_length_is_whole_if_its_connection_is_closed_in_order(reset):
    with ScriptedBackend(send_raw(UNFRAMED, b"whole", pause_s=0.02, reset=reset)) as one:
        with ForwarderHarness(make_route(), one) as harness:
            status, _, body, whole = harness.send()
    assert (status, whole) == ((502, True) if reset else (200, True))
    assert reset or body == b"whole"


@pytest.mark.parametrize("text", [event(1) + event(2), event(1) + b"id: 2\nda"])
def test_stream_without_chunks_is_whole_if_it_ends_between_two_events(text):
    route = make_route(Repeat.NEVER, streams=True)
    with ScriptedBackend(send_raw(UNFRAMED, text)) as one:
        with ForwarderHarness(route, one) as harness:
            status, _, body, whole = harness.send()
    is_cut = text.endswith(b"da")
    assert (status, whole) == (200, not is_cut)
    assert body == (event(1) if is_cut else text)


@pytest.mark.parametrize("streams", [False, True])
def test_answer_without_a_length_is_cut_if_its_backend_server_ended(streams):
    text = event(1) if streams else b"short"
    route = make_route(Repeat.NEVER, streams=streams)
    with CrashingBackend(UNFRAMED, text) as one:
        with ForwarderHarness(route, one) as harness:
            status, _, body, whole = harness.send()
    assert (status, whole) == ((200, False) if streams else (502, True))


class RestartingBackend(ScriptedBackend):
    """A backend server whose process ends after a part of an answer; another one listens at once.

    The second process sends whole answers without a length.
    """

    def __init__(self, *before):
        super().__init__(self._restart, send_raw(UNFRAMED, *before, b"whole"))
        self._before = before

    def _restart(self, sock, request):
        for piece in self._before:
            sock.sendall(piece)
            gevent.sleep(0.02)
        others = [task for task in self._tasks[1:] if task is not gevent.getcurrent()]
        gevent.killall(others)
        return False


@pytest.mark.parametrize("streams", [False, True])
def test_answer_without_a_length_is_cut_if_its_backend_server_has_started_again(streams):
    text = event(1) if streams else b"short"
    route = make_route(Repeat.NEVER, streams=streams)
    with RestartingBackend(UNFRAMED, text) as one:
        with ForwarderHarness(route, one) as harness:
            status, _, body, whole = harness.send()
    assert (status, whole) == ((200, False) if streams else (502, True))


@pytest.mark.parametrize("lost", [backends.SILENT_ATTEMPTS, 99])
@pytest.mark.parametrize("streams", [False, True])
def test_answer_without_a_length_is_cut_if_its_backend_server_falls_silent(
    monkeypatch, streams, lost
):
    """Its host is cut off, so that attempts to connect have no answer, or a few of them are lost.

    The first one is for the witness.
    """

    def fall_silent(sock, request):
        attempts.append("sent")
        return send_raw(UNFRAMED, text)(sock, request)

    def connect(address, timeout_s):
        if attempts:
            attempts.append("tried")
        if 1 < len(attempts) <= 1 + lost:
            raise TimeoutError
        return sockets.connect(address, timeout_s)

    attempts, text = [], event(1) if streams else b"short"
    monkeypatch.setattr(dialer, "connect", connect)
    with ScriptedBackend(fall_silent) as one:
        with ForwarderHarness(make_route(Repeat.NEVER, streams=streams), one) as harness:
            status, _, body, whole = harness.send()
    if lost == backends.SILENT_ATTEMPTS:
        assert (status, body, whole) == (200, text, True)
    else:
        assert (status, whole) == ((200, False) if streams else (502, True))


def test_answer_without_a_length_is_cut_if_its_backend_server_ran_just_before():
    """Another answer without a length ends in order less than RECHECK_S before the crash."""
    crashing = CrashingBackend(UNFRAMED, b"short")
    crashing._scripts.insert(0, send_raw(UNFRAMED, b"whole"))
    with crashing, ForwarderHarness(make_route(), crashing) as harness:
        assert [harness.send()[0] for _ in range(2)] == [200, 502]


def test_stream_without_chunks_and_events_is_cut():
    route = make_route(Repeat.NEVER, streams=True)
    with ScriptedBackend(send_raw(UNFRAMED)) as one:
        with ForwarderHarness(route, one) as harness:
            assert harness.send()[0] == 502


def send_without_end(*pieces):
    """Return a script that sends its pieces and then repeats the last one until the close."""

    def run(sock, request):
        for piece in pieces[:-1]:
            sock.sendall(piece)
        with contextlib.suppress(OSError):
            while True:
                sock.sendall(pieces[-1])
        return False

    return run


ENDLESS = {
    "head": send_without_end(b"HTTP/1.1 200 OK\r\n", b"x" * 4096),
    "header lines": send_without_end(b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 512),
    "interim answers": send_without_end(b"HTTP/1.1 102 Processing\r\n\r\n" * 64),
    "body": send_without_end(STREAM, chunk(b"x" * 4096)),
    "unframed body": send_without_end(UNFRAMED, b"x" * 4096),
}


@pytest.mark.parametrize("streams", [False, True])
@pytest.mark.parametrize("name", ENDLESS)
def test_bytes_without_end_end_the_attempt_and_the_next_backend_server_answers(name, streams):
    route = make_route(Repeat.RESUME if streams else Repeat.ALWAYS, streams=streams)
    last = send_raw(STREAM + events(1, 2) + END)
    with ScriptedBackend(ENDLESS[name]) as one, ScriptedBackend(last) as two:
        with ForwarderHarness(route, one, two) as harness:
            begun_s = time.monotonic()
            status, _, body, whole = harness.send()
            assert (status, whole) == (200, True)
            assert body == event(1) + event(2)
            assert time.monotonic() - begun_s < route.timeout_s
            # An answer without a length has a witness.
            connections = 1 + name.startswith("unframed")
            expect_soon(lambda: one.closed == one.connections == connections)


LONG_NUMBER = b"9" * 5000


@pytest.mark.parametrize(
    "answer",
    [
        STREAM + chunk(b"id: " + LONG_NUMBER + b"\ndata: x\n\n") + END,
        STREAM.replace(b"Signed", b"Keep-Alive: timeout=" + LONG_NUMBER + b"\r\nSigned"),
    ],
)
def test_number_of_many_digits_from_a_backend_server_costs_only_the_attempt(answer):
    route = make_route(Repeat.RESUME, streams=True)
    last = send_raw(STREAM + events(1, 2) + END)
    with ScriptedBackend(send_raw(answer)) as one, ScriptedBackend(last) as two:
        with ForwarderHarness(route, one, two) as harness:
            status, _, body, whole = harness.send()
    assert (status, whole, body) == (200, True, event(1) + event(2))


@pytest.mark.parametrize(("status", "begun"), [(200, 1), (400, 0), (500, 0)])
def test_error_answer_of_a_backend_server_clears_no_prompt_parts(status, begun):
    with ScriptedBackend(reply(status)) as one:
        with ForwarderHarness(make_route(), one, parts=SHARED_PARTS) as harness:
            assert harness.send()[0] == status
    assert len(harness.list_recorded("begun")) == begun


@pytest.mark.parametrize("streams", [False, True])
@pytest.mark.parametrize(
    "framing", [b"Content-Length: 7\r\n", b"Transfer-Encoding: chunked\r\n", b""]
)
def test_answer_to_head_declares_the_length_of_the_backend_server(framing, streams):
    ids = [b"id1", b"id2"]
    scripts = [send_open(b"HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n" % (id_, framing)) for id_ in ids]
    with ScriptedBackend(*scripts) as one:
        with ForwarderHarness(make_route(streams=streams), one) as harness:
            for id_ in ids:
                with contextlib.closing(harness.connect()) as sock:
                    sock.sendall(b"HEAD /a/x HTTP/1.1\r\nHost: h\r\nId: %s\r\n\r\n" % id_)
                    [answer] = read_answers(sock.recv(65536), [b"HEAD"])
                assert answer.whole and answer.status == 200
                length = b"7" if b"Length" in framing else None
                assert answer.headers.get(b"content-length") == length
        assert one.connections == 1


def send_open(data):
    """Return a script that sends bytes and keeps the connection."""
    return lambda sock, request: sock.sendall(data)


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
@pytest.mark.parametrize("ended", [False, True])
def test_answer_without_a_body_has_no_length_and_does_not_end_with_its_connection(ended, method):
    length = b"" if ended else b"Content-Length: 7\r\n"
    head = b"HTTP/1.1 204 OK\r\nId: id1\r\n%s\r\n" % length
    with ScriptedBackend(send_open(head)) as one:
        if ended:
            one._scripts = [crash(one, head)]
        with ForwarderHarness(make_route(), one) as harness:
            with contextlib.closing(harness.connect()) as sock:
                sock.sendall(b"%s /a/x HTTP/1.1\r\nHost: h\r\n\r\n" % method)
                [answer] = read_answers(sock.recv(65536), [method])
    assert (answer.status, answer.whole) == (204, True)


def test_caller_that_leaves_while_a_refusal_is_drained_has_its_call_sent_nowhere_else():
    refusal = send_raw(b"HTTP/1.1 503 X\r\nId: id1\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\n")

    def refuse_slowly(sock, request):
        refusal(sock, request)
        hang(sock, request)

    with ScriptedBackend(refuse_slowly) as one, ScriptedBackend(reply()) as two:
        with ForwarderHarness(make_route(), one, two) as harness:
            with contextlib.closing(harness.connect()) as sock:
                sock.sendall(REQUEST)
                expect_soon(lambda: one.requests)
                gevent.sleep(0.05)
            expect_soon(lambda: harness.list_recorded("end"))
        assert not two.requests


def test_call_whose_plan_fails_unexpectedly_is_answered_with_an_error():
    with ScriptedBackend(reply()) as one:
        with ForwarderHarness(make_route(), one, find_contracts=lambda: 1 / 0) as harness:
            status, headers, _, whole = harness.send()
    assert (status, headers[b"code"], whole) == (500, b"9000", True)
    assert not one.requests


def test_request_is_sent_to_its_end_after_a_foreign_answer_within_it():
    size = 3_000_000

    class Late(ScriptedBackend):
        def _serve(self, sock):
            read = sock.recv(1000).count(b"\0")
            sock.sendall(b"HTTP/1.1 200 X\r\nId: other\r\nContent-Length: 3\r\n\r\nbad")
            while read < size and (piece := sock.recv(65536)):
                read += piece.count(b"\0")
            reply()(sock, b"")

    head = b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
    with (
        Late(hang) as one,
        ForwarderHarness(make_route(timeout_s=9.0), one, deadline_s=9.0) as harness,
    ):
        assert harness.send(head + bytes(size))[:3:2] == (200, b"answer")


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
def test_second_answer_of_a_stream_without_a_length_is_not_passed_on(pause_s):
    two = UNFRAMED + event(1) + event(2)
    with ScriptedBackend(send_raw(two, two, pause_s=pause_s)) as one:
        with ForwarderHarness(make_route(streams=True), one) as harness:
            assert harness.send()[2:] == (event(1) + event(2), False)


def test_second_answer_after_a_whole_answer_without_a_length_is_not_passed_on():
    with ScriptedBackend(send_raw(UNFRAMED + b"whole", UNFRAMED + b"whole")) as one:
        with ForwarderHarness(make_route(), one) as harness:
            assert harness.send()[0] == 502


def test_resumed_stream_that_begins_anew_repeats_no_event():
    with ScriptedBackend(send_raw(STREAM + events(1, 2))) as one:
        with ScriptedBackend(send_raw(STREAM + events(1, 3) + END)) as two:
            with ForwarderHarness(make_route(Repeat.RESUME, streams=True), one, two) as harness:
                assert harness.send()[2:] == (event(1) + event(2), False)


def test_stream_whose_events_are_out_of_order_is_incomplete():
    with ScriptedBackend(send_raw(STREAM + chunk(event(2)) + chunk(event(1)) + END)) as one:
        with ForwarderHarness(make_route(streams=True), one) as harness:
            assert harness.send()[2:] == (event(2), False)


@pytest.mark.parametrize("streams", [False, True])
def test_answer_without_a_length_is_whole_if_its_backend_server_resets_further_connections(streams):
    """A backend server resets the connections beyond its limit, the witness among them."""

    class Limited(ScriptedBackend):
        def _serve(self, sock):
            if self.connections == 1:
                return super()._serve(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            return sock.close()

    body = event(1) if streams else b"whole"
    with Limited(send_raw(UNFRAMED, body, pause_s=0.05)) as one:
        with ForwarderHarness(make_route(streams=streams), one) as harness:
            assert harness.send()[::2] == (200, body)


def run_calls_to_silent_backend(
    route, one, two, confirmed=True, monkeypatch=None, count=3, **hooks
):
    """Send calls to a backend server that falls silent after two events."""
    with ForwarderHarness(route, one, two, deadline_s=8.0, **hooks) as harness:
        if not confirmed:
            monkeypatch.setattr(backends, "end_sending", lambda sock, timeout_s: False)
        exchange = StallExchange("vm", harness.stalls, list, None, lambda verdict: None)
        # Other backend servers send something all the time.
        alive = [harness.stalls.watch(make_backend(name), 0.2) for name in ("alive", "well")]

        def send_signs():
            while True:
                for each in alive:
                    each.record_head()
                gevent.sleep(0.1)

        signs = gevent.spawn(send_signs)
        begun_s = time.monotonic()
        with exchange:
            requests = [
                REQUEST.replace(b"Host: h", b"Host: h\r\nId: id%d" % (n + 1)) for n in range(count)
            ]
            calls = [gevent.spawn(harness.send, request) for request in requests]
            answers = [call.get() for call in calls]
        signs.kill()
        return answers, time.monotonic() - begun_s, harness.list_recorded("outcome")


def go_silent(sock, request):
    name = request.partition(b"Id: ")[2][:3]
    sock.sendall(STREAM.replace(b"id1", name) + events(1, 2))
    return hang(sock, request)


def finish(sock, request):
    name = request.partition(b"Id: ")[2][:3]
    sock.sendall(STREAM_AGAIN.replace(b"id1", name) + events(3, 4) + END)
    return False


def test_streams_of_a_silent_backend_server_are_resumed_elsewhere_after_their_connections_end():
    """Callers of a silent runner waited until their deadline."""
    with ScriptedBackend(go_silent) as one, ScriptedBackend(finish) as two:
        route = make_route(Repeat.RESUME, True, timeout_s=8.0)
        answers, took_s, outcomes = run_calls_to_silent_backend(route, one, two)
        assert all(b"Last: 2\r\n" in request for request in two.requests)
        # One more connection shows that the server's host answers.
        assert one.closed == one.connections == 4 and len(two.requests) == 3
    assert [answer[3] for answer in answers] == [True] * 3 and took_s < 6.0
    assert {type(fields[2]) for fields in outcomes} == {BackendSilent, type(None)}


def pause(sock, request):
    """Send nothing for longer than a verdict takes, then the rest of the stream."""
    name = request.partition(b"Id: ")[2][:3]
    sock.sendall(STREAM.replace(b"id1", name) + events(1, 2))
    gevent.sleep(2.5)
    sock.sendall(events(3, 4) + END)
    return False


def refuse_place(plan, progress):
    raise TargetHopeless("no place")


STAYING = {
    "may not be repeated": (Repeat.NEVER, {}),
    "no other server": (Repeat.RESUME, {"choose": lambda plan, progress: None}),
    "no place": (Repeat.RESUME, {"choose": refuse_place}),
    "no retry": (Repeat.RESUME, {"take_retry": lambda service: False}),
    "no time": (Repeat.RESUME, {"find_end_s": lambda plan: time.monotonic() + 0.2}),
    "host silent": (Repeat.RESUME, {}),
}


@pytest.mark.parametrize("reason", STAYING)
def test_streams_that_cannot_go_on_elsewhere_are_not_ended_for_silence(monkeypatch, reason):
    """They were ended midway 1.3 s after the last event of a sound server that paused."""
    repeat, hooks = STAYING[reason]
    if reason == "host silent":
        monkeypatch.setattr(Connections, "is_reachable", lambda self, backend: False)
    with ScriptedBackend(pause) as one, ScriptedBackend(finish) as two:
        if "choose" in hooks:
            first = make_hooks(None, [make_backend("b0", one.address)])[0].choose
            later = hooks["choose"]
            hooks = {"choose": lambda plan, each: (later if each.avoid else first)(plan, each)}
        route = make_route(repeat, True, timeout_s=8.0)
        answers, _, outcomes = run_calls_to_silent_backend(route, one, two, **hooks)
        assert not two.requests and len(one.requests) == 3
    assert [answer[2:] for answer in answers] == [
        (b"".join(event(n) for n in range(1, 5)), True)
    ] * 3
    assert [fields[2] for fields in outcomes] == [None] * 3


def test_streams_do_not_leave_a_silent_server_for_one_that_cannot_be_reached():
    """They were cut, as no server was left, while the silent one only paused."""
    with ScriptedBackend(pause) as one, ScriptedBackend(finish) as two:
        two.stop_listening()
        route = make_route(Repeat.RESUME, True, timeout_s=8.0)
        answers, _, outcomes = run_calls_to_silent_backend(route, one, two)
    assert [answer[3] for answer in answers] == [True] * 3
    # Placement hears of the failure.
    assert {(each[0].name, type(each[2])) for each in outcomes} == {
        ("b0", type(None)),
        ("b1", BackendUnreachable),
    }


@pytest.mark.parametrize("change", ["host lost", "vm drains", "server drains"])
def test_stream_that_waited_for_a_place_stays_if_it_may_no_longer_leave(monkeypatch, change):
    """It was cut, as only the state before the wait was asked."""
    changes = []
    monkeypatch.setattr(
        Connections, "is_reachable", lambda self, backend: "host lost" not in changes
    )
    with ScriptedBackend(pause) as one, ScriptedBackend(finish) as two:
        servers = [make_backend("b0", one.address), make_backend("b1", two.address)]
        hooks, _, backlogs = make_hooks(None, servers)

        def choose(plan, progress):
            if progress.avoid:
                gevent.sleep(2 * RECHECK_S)
                changes.append(change)
            return hooks.choose(plan, progress)

        def admit(plan, progress):
            if "vm drains" in changes:
                raise Leaving

        route = make_route(Repeat.RESUME, True, timeout_s=8.0)
        changed_hooks = {"admit": admit, "is_open": lambda backend: "server drains" not in changes}
        answers, _, _ = run_calls_to_silent_backend(route, one, two, choose=choose, **changed_hooks)
        assert changes and not two.requests
    assert [answer[3] for answer in answers] == [True] * 3
    assert backlogs.find("b1").running == 0


def test_call_at_a_silent_server_takes_no_place_without_a_retry():
    """Each search took a permit where servers are limited, and kept a place from other calls."""
    with ScriptedBackend(pause) as one, ScriptedBackend(finish) as two:
        servers = [make_backend("b0", one.address), make_backend("b1", two.address)]
        hooks, searches = make_hooks(None, servers)[0], []

        def choose(plan, progress):
            searches.extend(progress.avoid)
            return hooks.choose(plan, progress)

        route = make_route(Repeat.RESUME, True, timeout_s=8.0)
        answers, _, _ = run_calls_to_silent_backend(
            route, one, two, choose=choose, has_retry=lambda service: False
        )
    assert [answer[3] for answer in answers] == [True] * 3 and not searches


def test_streams_of_two_silent_servers_do_not_change_places():
    """Each left a sound server that paused for another one that was silent as well."""

    def pause_later(sock, request):
        # Its verdict follows when calls of the other server already search.
        gevent.sleep(SETTLE_S / 2)
        return pause(sock, request)

    with ScriptedBackend(pause) as one, ScriptedBackend(pause_later) as two:
        servers = [make_backend("b0", one.address), make_backend("b1", two.address)]
        orders = [make_hooks(None, order)[0].choose for order in (servers, servers[::-1])]

        def choose(plan, progress):
            return orders[int(plan.call.id[2:]) % 2](plan, progress)

        route = make_route(Repeat.RESUME, True, timeout_s=8.0)
        answers, _, _ = run_calls_to_silent_backend(route, one, two, count=4, choose=choose)
        assert len(one.requests) == len(two.requests) == 2
    assert [answer[3] for answer in answers] == [True] * 4


def never_begin(sock, request):
    """Begin the streams of two calls, and send nothing at all to the third one."""
    if b"Id: id3" in request:
        return hang(sock, request)
    return pause(sock, request)


@pytest.mark.parametrize("repeat", [Repeat.NEVER, Repeat.RESUME])
def test_call_that_has_not_begun_leaves_a_silent_server_only_if_it_may_be_repeated(
    monkeypatch, repeat
):
    """The host of a dark server doesn't confirm the end; nothing has to go on there."""
    monkeypatch.setattr(Connections, "is_reachable", lambda self, backend: False)
    monkeypatch.setattr(backends, "end_sending", lambda sock, timeout_s: False)
    with ScriptedBackend(never_begin) as one, ScriptedBackend(finish) as two:
        route = make_route(repeat, True, timeout_s=4.0)
        answers, _, _ = run_calls_to_silent_backend(route, one, two)
        assert len(two.requests) == (repeat is Repeat.RESUME)
    whole = [(200, True), (200, True), (200, True) if repeat is Repeat.RESUME else (504, True)]
    assert [(answer[0], answer[3]) for answer in answers] == whole


def test_stream_is_not_resumed_while_the_silent_backend_server_may_still_work_on_it(monkeypatch):
    """A lost link keeps the end of the connection from the runner, which works on."""
    with ScriptedBackend(go_silent) as one, ScriptedBackend(finish) as two:
        route = make_route(Repeat.RESUME, True, timeout_s=8.0)
        answers, took_s, _ = run_calls_to_silent_backend(route, one, two, False, monkeypatch)
        assert not two.requests
    assert [answer[3] for answer in answers] == [False] * 3 and took_s < 6.0


def tell_state(answer, find_state):
    """Return a script that tells the server's state, and answers other requests by a script."""

    def run(sock, request):
        if request.startswith(b"GET /state"):
            return reply(200, find_state(), b"")(sock, request)
        return answer(sock, request)

    return run


@pytest.mark.parametrize("later, used", [(1, "b1"), (0, "b0"), (None, "b0")])
def test_stream_goes_on_only_at_the_process_that_the_entry_is_of(later, used):
    """A server that starts again may be of another software version, under its former name."""

    def find_state():
        return b"" if later is None else b"%d" % (harness.servers[0].born + later)

    def find_other_state():
        return b"%d" % harness.servers[1].born

    first, second = tell_state(reply(), find_state), tell_state(reply(), find_other_state)
    with ScriptedBackend(first) as one, ScriptedBackend(second) as two:
        harness = ForwarderHarness(make_route(), one, two, find_software=lambda *_: "v1")
        with harness:
            assert harness.send()[0] == 200
    names = [
        name for name, s in (("b0", one), ("b1", two)) if any(b"POST" in r for r in s.requests)
    ]
    assert names == [used]


def test_streams_do_not_leave_a_silent_server_for_one_that_has_started_again():
    """Its new process may be of another software version than its entry."""

    def find_state():
        return b"%d" % 1

    def find_software(plan, progress):
        return None if progress.last_event is None else "v1"

    with ScriptedBackend(pause) as one, ScriptedBackend(tell_state(finish, find_state)) as two:
        route = make_route(Repeat.RESUME, True, timeout_s=8.0)
        answers, _, _ = run_calls_to_silent_backend(route, one, two, find_software=find_software)
        assert two.requests and not any(b"POST" in request for request in two.requests)
    assert [answer[3] for answer in answers] == [True] * 3
