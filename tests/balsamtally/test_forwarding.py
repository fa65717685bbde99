"""The way of a call: what is repeated, what its caller is told, and that its work ends with it."""

import contextlib
import time

import gevent
import pytest
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamtally.backends import Connections
from balsamtally.callers import CallerServer
from balsamtally.calls import Account, Branch, Limits, Repeat
from balsamtally.forwarding import Forwarder
from balsamtally.plans import make_plan, pick_service
from balsamtally.sockets import listen
from tests.balsamtally.scripted import (
    ScriptedBackend,
    hang,
    make_backend,
    make_call,
    make_contracts,
    make_hooks,
    make_route,
    make_wire,
    reply,
    send_raw,
)
from tests.polling import expect_soon

STREAM = b"HTTP/1.1 200 OK\r\nId: id1\r\nSigned: a\r\nTransfer-Encoding: chunked\r\n\r\n"
STREAM_AGAIN = STREAM.replace(b"Signed: a", b"Signed: b")
END = b"0\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def events(first, last):
    return b"".join(chunk(event(number)) for number in range(first, last + 1))


class Path:
    """A forwarder between a caller and scripted backend servers."""

    def __init__(self, route, *backends, deadline_s=2.0, names=None, **hooks):
        self.servers = [make_backend(f"b{i}", b.address) for i, b in enumerate(backends)]
        found = make_contracts(route)
        self.hooks, self.told, self.backlogs = make_hooks(found, self.servers, **hooks)
        self._deadline_s = deadline_s

    def __enter__(self):
        self._stack = contextlib.ExitStack()
        self.connections = self._stack.enter_context(Connections())
        wire = make_wire(
            lambda request: make_call(
                arrived_s=request.arrived_s,
                deadline_s=self._deadline_s,
                body=request.body,
                method=request.method,
                target=request.target,
            )
        )
        forwarder = Forwarder(self.hooks, wire, self.connections)
        server = CallerServer(
            listen(("127.0.0.1", 0)), Limits, forwarder.serve, forwarder.refuse, time.monotonic
        )
        self._stack.enter_context(server)
        self._address = server._listener.getsockname()
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def connect(self):
        return socket.create_connection(self._address, timeout=10)

    def ask(self, request=b"POST /a/x?y=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"):
        """Return status, headers and body of the answer, and whether it ended as whole."""
        with contextlib.closing(self.connect()) as sock:
            sock.sendall(request)
            return read_answer(sock)

    def list_told(self, kind):
        return [fields[1:] for fields in self.told if fields[0] == kind]


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


def test_method_target_and_body_go_unchanged_and_the_answer_comes_back():
    with ScriptedBackend(reply(200, b"whole", b"Id: id1\r\nSigned: s\r\n")) as one:
        with Path(make_route(), one) as path:
            status, headers, body, whole = path.ask()
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
def test_call_that_may_have_run_is_sent_once_and_never_told_as_not_run(name):
    with ScriptedBackend(FAILURES[name]) as one, ScriptedBackend(reply()) as two:
        with Path(make_route(Repeat.NEVER), one, two) as path:
            status, _, _, whole = path.ask()
        assert status in (502, 504) and whole
        assert len(one.requests) == 1 and two.requests == []


@pytest.mark.parametrize("name", FAILURES)
def test_idempotent_call_is_tried_again_elsewhere(name):
    with ScriptedBackend(FAILURES[name]) as one, ScriptedBackend(reply()) as two:
        with Path(make_route(Repeat.ALWAYS), one, two) as path:
            assert path.ask()[:3:2] == (200, b"answer")
        assert len(one.requests) == len(two.requests) == 1


@pytest.mark.parametrize("name", FAILURES)
def test_connection_on_which_anything_was_odd_is_not_used_again(name):
    with ScriptedBackend(FAILURES[name], reply()) as one:
        with Path(make_route(), one) as path:
            path.ask()
            assert path.ask()[0] == 200
        assert one.connections == 2


REFUSED = reply(503, b"", b"Id: id1\r\nNot-Run: 1\r\n")


def test_call_that_was_refused_goes_to_another_backend_server():
    with ScriptedBackend(REFUSED) as one, ScriptedBackend(reply()) as two:
        with Path(make_route(Repeat.NEVER), one, two) as path:
            assert path.ask()[0] == 200
            assert path.ask()[0] == 200
        assert one.connections == 1


def test_attempts_and_budget_bound_the_sends():
    with ScriptedBackend(REFUSED) as one, ScriptedBackend(REFUSED) as two:
        with ScriptedBackend(reply()) as three:
            with Path(make_route(max_attempts=2), one, two, three) as path:
                assert path.ask()[0] == 503
            assert three.requests == []
            with Path(make_route(max_attempts=3), one, three, take_retry=lambda s: False) as path:
                assert path.ask()[0] == 503
            assert three.requests == []


def test_not_run_is_said_only_if_no_attempt_may_have_run():
    with ScriptedBackend(send_raw()) as one, ScriptedBackend(REFUSED) as two:
        with Path(make_route(Repeat.ALWAYS), one, two) as path:
            assert path.ask()[0] == 502
    with ScriptedBackend(send_raw()) as one:
        with Path(make_route(Repeat.ALWAYS), one) as path:
            assert path.ask()[0] == 502


def test_unreachable_backend_servers_cost_no_attempt():
    with ScriptedBackend(reply()) as one:
        gone = ScriptedBackend(reply())
        with gone:
            pass
        with Path(make_route(max_attempts=1), gone, one) as path:
            assert path.ask()[0] == 200


def test_another_backend_server_at_the_address_is_told_and_passed_over():
    wrong = reply(421, b"", b"Id: id1\r\n")
    with ScriptedBackend(wrong) as one, ScriptedBackend(reply()) as two:
        with Path(make_route(), one, two) as path:
            assert path.ask()[0] == 200
            [(backend, _)] = path.list_told("leaving")
            assert backend.name == "b0"


def test_backend_server_that_began_to_leave_meanwhile_is_sent_nothing():
    with ScriptedBackend(reply()) as one, ScriptedBackend(reply()) as two:
        with Path(make_route(), one, two, is_open=lambda backend: backend.name != "b0") as path:
            assert path.ask()[0] == 200
        assert one.requests == [] and len(two.requests) == 1


def test_failed_answer_of_an_idempotent_call_is_kept_for_want_of_a_better_one():
    failed = reply(500, b"fault", b"Id: id1\r\nSigned: s\r\n")
    with ScriptedBackend(failed) as one, ScriptedBackend(reply()) as two:
        with Path(make_route(Repeat.ALWAYS), one, two) as path:
            assert path.ask()[0] == 200
        with Path(make_route(Repeat.ALWAYS), one) as path:
            status, headers, body, _ = path.ask()
            assert (status, headers[b"signed"], body) == (500, b"s", b"fault")
        with Path(make_route(Repeat.NEVER), one, two) as path:
            assert path.ask()[0] == 500
        assert len(two.requests) == 1


def test_late_answer_to_an_earlier_request_is_passed_over_by_its_id():
    extra = b"HTTP/1.1 200 X\r\nId: earlier\r\nContent-Length: 3\r\n\r\nbad"
    right = b"HTTP/1.1 200 X\r\nId: id1\r\nContent-Length: 4\r\n\r\ngood"
    with ScriptedBackend(send_raw(extra, right)) as one:
        with Path(make_route(), one) as path:
            assert path.ask()[:3:2] == (200, b"good")


def test_answer_behind_a_whole_answer_reaches_nobody():
    whole = b"HTTP/1.1 200 X\r\nId: id1\r\nContent-Length: 4\r\n\r\ngood"

    def answer_twice(sock, request):
        sock.sendall(whole)
        gevent.sleep(0.05)
        sock.sendall(whole.replace(b"good", b"evil"))

    with ScriptedBackend(answer_twice) as one:
        with Path(make_route(), one) as path:
            assert path.ask()[2] == b"good"
            gevent.sleep(0.1)
            assert path.ask()[2] == b"good"
        assert one.connections == 2


def test_early_answer_ends_the_connection_so_that_no_other_bytes_take_the_bodys_place():
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
        with Path(make_route(max_attempts=2), one, two, deadline_s=5.0) as path:
            head = b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(big)
            assert path.ask(head + big)[0] == 200
            gevent.sleep(0.4)
        assert one.closed == 1 and len(two.requests[0]) > len(big)


# Time.


def test_silent_backend_server_ends_the_call_at_the_routes_timeout():
    with ScriptedBackend(hang) as one:
        with Path(make_route(timeout_s=0.3), one) as path:
            begun = time.monotonic()
            status = path.ask()[0]
            assert status == 504 and 0.25 < time.monotonic() - begun < 5.0


def test_each_attempt_is_given_only_the_time_that_is_left():
    def refuse_later(sock, request):
        gevent.sleep(0.2)
        REFUSED(sock, request)

    with ScriptedBackend(refuse_later) as one, ScriptedBackend(reply()) as two:
        with Path(make_route(timeout_s=1.0), one, two) as path:
            assert path.ask()[0] == 200
        left = [int(r.partition(b"Left-Ms: ")[2].partition(b"\r\n")[0]) for r in one.requests]
        later = [int(r.partition(b"Left-Ms: ")[2].partition(b"\r\n")[0]) for r in two.requests]
        assert left[0] <= 1000 and later[0] <= left[0] - 190


@pytest.mark.parametrize("streams", [False, True])
def test_work_ends_as_soon_as_the_caller_leaves(streams):
    def stream_on(sock, request):
        sock.sendall(STREAM)
        number = 0
        while True:
            number += 1
            sock.sendall(chunk(event(number)))
            gevent.sleep(0.02)

    with ScriptedBackend(stream_on if streams else hang) as one:
        with Path(make_route(streams=streams), one) as path:
            sock = path.connect()
            sock.sendall(b"POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
            expect_soon(lambda: path.backlogs.find("b0").running == 1 and one.requests)
            sock.close()
            expect_soon(lambda: path.backlogs.find("b0").running == 0 and one.closed == 1)


# Streams.


def test_stream_is_passed_on_as_it_comes_and_ended_as_whole():
    pieces = [STREAM, *(chunk(event(number)) for number in range(1, 6)), END]
    with ScriptedBackend(send_raw(*pieces, pause_s=0.01)) as one:
        with Path(make_route(Repeat.RESUME, True), one) as path:
            status, headers, body, whole = path.ask()
    assert (status, whole) == (200, True) and headers[b"signed"] == b"a"
    assert body == b"".join(event(number) for number in range(1, 6))


def test_cut_stream_is_resumed_behind_its_last_whole_event():
    cut = send_raw(STREAM, events(1, 2), chunk(event(3)[:7]), pause_s=0.01, reset=True)
    rest = send_raw(STREAM_AGAIN, events(3, 4), END)
    with ScriptedBackend(cut) as one, ScriptedBackend(rest) as two:
        with Path(make_route(Repeat.RESUME, True), one, two) as path:
            status, headers, body, whole = path.ask()
        assert b"Last: 2\r\n" in two.requests[0]
    assert (status, whole, headers[b"signed"]) == (200, True, b"a")
    assert body == b"".join(event(number) for number in range(1, 5))


def test_cut_stream_that_may_not_be_resumed_looks_cut():
    cut = send_raw(STREAM, events(1, 2), pause_s=0.01, reset=True)
    with ScriptedBackend(cut) as one, ScriptedBackend(cut) as two:
        with Path(make_route(Repeat.NEVER, True), one, two) as path:
            _, _, body, whole = path.ask()
        assert not whole and two.requests == [] and body == event(1) + event(2)


def test_stream_that_ends_within_an_event_is_not_whole():
    cut = send_raw(STREAM, events(1, 2), chunk(b"id: 3\nda"), END)
    with ScriptedBackend(cut) as one:
        with Path(make_route(Repeat.NEVER, True), one) as path:
            assert path.ask()[3] is False


@settings(max_examples=40)
@given(st.integers(0, len(STREAM + events(1, 6))), st.integers(1, 40), st.booleans())
def test_stream_cut_anywhere_is_whole_and_in_order_to_its_caller(place, size, reset):
    """Stateful differential: whatever the place of the cut, the caller gets the naive whole."""
    data = (STREAM + events(1, 6))[:place]
    pieces = [data[i : i + size * 10] for i in range(0, len(data), size * 10)]

    def go_on(sock, request):
        last = request.partition(b"Last: ")[2].partition(b"\r\n")[0]
        sock.sendall(STREAM_AGAIN + events(int(last or b"0") + 1, 6) + END)
        return False

    with ScriptedBackend(send_raw(*pieces, reset=reset)) as one, ScriptedBackend(go_on) as two:
        with Path(make_route(Repeat.RESUME, True), one, two) as path:
            status, _, body, whole = path.ask()
    assert (status, whole) == (200, True)
    assert body == b"".join(event(number) for number in range(1, 7))


# Contracts.


def test_service_is_picked_by_the_branches_weights():
    route = make_route(branches=(Branch("a", 90), Branch("b", 10)))
    picked = [pick_service(f"id{number}", route) for number in range(2000)]
    assert 120 < picked.count("b") < 280


def test_tier_of_the_customer_goes_before_that_of_the_route():
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
def test_calls_that_the_contracts_do_not_allow(contracts, status):
    with ScriptedBackend(reply()) as one:
        with Path(make_route(), one, find_contracts=lambda: contracts) as path:
            assert path.ask()[0] == status
        assert one.requests == []


def crash(backend, *pieces):
    """Return a script that sends pieces and ends like a backend server that crashed."""

    def run(sock, request):
        backend.stop_listening()
        return send_raw(*pieces)(sock, request)

    return run


@pytest.mark.parametrize("ended", [True, False])
def test_attempts_at_backend_servers_that_have_ended_are_not_counted(ended):
    """Two runners end at once; the second is met on a connection that is dead already."""
    with contextlib.ExitStack() as stack:
        one = stack.enter_context(ScriptedBackend(send_raw(STREAM, events(1, 2))))
        two = stack.enter_context(ScriptedBackend(send_raw()))
        three = stack.enter_context(ScriptedBackend(send_raw(STREAM_AGAIN, events(3, 4), END)))
        if ended:
            two._scripts = [crash(two)]
        with Path(make_route(Repeat.RESUME, True, max_attempts=2), one, two, three) as path:
            _, _, body, whole = path.ask()
        assert (whole, len(three.requests)) == ((True, 1) if ended else (False, 0))
        assert body == b"".join(event(number) for number in range(1, 5 if ended else 3))


def test_call_that_may_not_repeat_goes_nowhere_else_after_its_backend_server_has_ended():
    with ScriptedBackend(reply(200)) as two, ScriptedBackend(send_raw()) as one:
        one._scripts = [crash(one)]
        with Path(make_route(Repeat.NEVER, max_attempts=1), one, two) as path:
            status, *_ = path.ask()
        assert (status, two.requests) == (502, [])


def drip(head, piece, pause_s, times):
    """Return a script that sends a head, then a piece over and over, and the end."""

    def run(sock, request):
        sock.sendall(head)
        for _ in range(times):
            gevent.sleep(pause_s)
            sock.sendall(piece)
        sock.sendall(END)
        return False

    return run


def test_slow_but_sound_stream_is_passed_on_to_its_end():
    """Events that come seldom, each far from the one before, within the route's time."""
    script = drip(STREAM, chunk(b"data: t\n\n"), 0.3, 5)
    with ScriptedBackend(script) as one, Path(make_route(streams=True, gap_s=0.05), one) as path:
        status, _, body, whole = path.ask()
    assert (status, whole, body.count(b"data")) == (200, True, 5)


@pytest.mark.parametrize("begun", [b"", chunk(b"data: t\n\n")], ids=["no event", "one event"])
def test_stalled_stream_that_sends_a_byte_now_and_then_ends_with_its_routes_time(begun):
    """The bound is the route's time, whatever bytes come; no event is ever ended."""
    script = drip(STREAM + begun, chunk(b"x"), 0.05, 400)
    route = make_route(streams=True, timeout_s=0.6)
    with ScriptedBackend(script) as one, Path(route, one, deadline_s=20.0) as path:
        begun_s = time.monotonic()
        status, _, _, whole = path.ask()
        # Far from the twenty seconds for which the bytes go on.
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
def test_plain_answer_cut_at_any_byte_never_reaches_its_caller_as_whole(name, reset):
    answer = FRAMINGS[name]
    scripts = [send_raw(answer[:size], reset=reset) for size in range(1, len(answer))]
    with ScriptedBackend(*scripts) as one, Path(make_route(), one) as path:
        for _ in scripts:
            assert path.ask()[0] in (502, 504)


def test_answer_without_a_length_that_ends_in_a_reset_is_not_whole():
    script = send_raw(HEAD + b"\r\nthe ", reset=True)
    with ScriptedBackend(script) as one, Path(make_route(), one) as path:
        assert path.ask()[0] == 502
