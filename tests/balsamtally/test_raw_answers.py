"""Property tests of callers' raw bytes, for scripts of misbehaving backend servers."""

import contextlib
import json
from dataclasses import dataclass, replace

import gevent
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from balsamtally.calls import Repeat
from balsamtally.errors import ERRORS, BalsamtallyError
from balsamtally.platform.wire import WIRE
from tests.balsamtally.misbehaving import (
    HEADS,
    SCRIPTS,
    Misbehaving,
    RawCaller,
    Record,
    Run,
    Script,
    find_header,
    frame,
)
from tests.balsamtally.scripted import make_route
from tests.balsamtally.test_forwarding import ForwarderHarness

TIMEOUT_S = 0.25
LAST_EVENT = 4
PROMISES = (408, 421, 429, 503)
ROUTES = {
    "always": make_route(Repeat.ALWAYS, name="always", path_prefix="/always/"),
    "never": make_route(Repeat.NEVER, name="never", path_prefix="/never/"),
    "stream": make_route(Repeat.NEVER, True, name="stream", path_prefix="/stream/"),
    "again": make_route(Repeat.ALWAYS, True, name="again", path_prefix="/again/"),
    "resume": make_route(Repeat.RESUME, True, name="resume", path_prefix="/resume/"),
}


@dataclass(frozen=True)
class Demand:
    """A request of a caller."""

    route: str = "always"
    method: bytes = b"POST"
    version: bytes = b"1.1"
    last_event: int | None = None
    body_bytes: int = 4

    def make_target(self, number: bytes) -> bytes:
        return b"/%s/x?%s" % (self.route.encode(), number)

    def make_head(self, number: bytes, request_id: bytes) -> bytes:
        last = b"Last-Event-Id: %d\r\n" % self.last_event if self.last_event else b""
        head = b"%s %s HTTP/%s\r\nHost: host.example\r\nAttempt-Id: %s\r\n%s"
        return head % (self.method, self.make_target(number), self.version, request_id, last)

    @property
    def body(self) -> bytes:
        return b"x" * self.body_bytes if self.method == b"POST" else b""


def make_body(run: Run, head: bytes) -> bytes:
    """Return the body of a run: the events that are due, or a text of the run and the request."""
    is_stream = head.split(b"/")[1] in (b"stream", b"again", b"resume")
    if is_stream and run.script.status == 200:
        first = int(find_header(head, b"Last-Event-Id") or 0) + 1
        return b"".join(make_event(run.label, n) for n in range(first, LAST_EVENT + 1))
    text = b"%s %s\n" % (run.label, run.id)
    return (text * (run.script.size // len(text) + 1))[: run.script.size]


def make_event(label: bytes, number: int) -> bytes:
    return b"id: %d\ndata: %s\n\n" % (number, label)


def make_answer(run: Run, head: bytes, body: bytes) -> bytes:
    """Return the bytes of a run's answer."""
    script, method = run.script, head.partition(b" ")[0]
    run.body = make_body(run, head)
    lines = [b"HTTP/1.1 %d X\r\nRun: %s\r\n" % (script.status, run.label)]
    if script.head != "no id":
        lines.append(b"Attempt-Id: %s\r\n" % (b"o" if script.head == "other id" else run.id))
    if script.head != "no signature":
        lines.append(b"Response-Signature: s.%s\r\n" % run.label)
    return frame(run, b"".join([*lines, HEADS[script.head]]), method)


def check_answer(answer, demand: Demand, number: bytes, record: Record) -> None:
    """Check that an answer has no byte but of the runs of its request, or is an error of ours."""
    headers = answer.headers
    runs = list_runs(demand, number, record)
    if answer.status == 200 and demand.route in ("stream", "again", "resume"):
        check_stream(answer, demand, runs)
        return
    run = record.runs.get(headers.get(b"run", b""))
    if run is None:
        check_own_error(answer, demand, runs)
        return
    assert run in runs, "the answer of another request"
    assert answer.status == run.script.status
    assert headers.get(b"response-signature", b"s." + run.label) == b"s." + run.label
    assert answer.status >= 300 or b"response-signature" in headers
    assert run.body.startswith(answer.body)
    assert not answer.whole or (run.may_be_whole and answer.body == run.body)
    if demand.method == b"HEAD" and b"content-length" in headers:
        assert headers[b"content-length"] == b"%d" % run.script.size


def list_runs(demand: Demand, number: bytes, record: Record) -> list[Run]:
    target = demand.make_target(number)
    return [run for run in record.runs.values() if run.target == target]


def check_own_error(answer, demand: Demand, runs: list[Run]) -> None:
    """Check an error of ours; a status that promises "not run" is true."""
    assert b"response-signature" not in answer.headers
    if answer.whole and demand.method != b"HEAD":
        error = ERRORS[json.loads(answer.body)["error"]["code"]]
        assert error is not BalsamtallyError and error.status == answer.status
    if answer.status in PROMISES:
        assert all(run.script.head == "refused" or run.script.status == 421 for run in runs)


def check_stream(answer, demand: Demand, runs: list[Run]) -> None:
    """Check that the events have no gap, come once, and are of one run unless resumable."""
    by_label = {run.label: run for run in runs}
    signature = answer.headers[b"response-signature"]
    assert signature == b"s." + answer.headers[b"run"] and answer.headers[b"run"] in by_label
    *events, rest = answer.body.split(b"\n\n")
    assert not rest, "a part of an event"
    labels = [event.rpartition(b" ")[2] for event in events]
    first = (demand.last_event or 0) + 1
    assert answer.body == b"".join(make_event(label, n) for n, label in enumerate(labels, first))
    assert set(labels) <= set(by_label)
    assert not labels or labels[0] == answer.headers[b"run"]
    assert demand.route == "resume" or len(set(labels)) <= 1
    if answer.whole and demand.method != b"HEAD":
        ended = [run for run in runs if run.may_be_whole and ends_stream(run, answer.body, first)]
        assert ended, "an incomplete stream looks whole"


def ends_stream(run: Run, body: bytes, first: int) -> bool:
    last = body.count(b"\n\n") + first - 1
    if last == LAST_EVENT:
        return True
    return run.script.framing == "unframed" and run.body.endswith(make_event(run.label, last))


def check_repeats(demand: Demand, number: bytes, record: Record) -> None:
    """Check that what may not be repeated is sent on only after a refusal."""
    runs = list_runs(demand, number, record)
    if demand.route in ("never", "stream"):
        for run in runs[:-1]:
            assert run.script.head == "refused" or run.script.status == 421


def play(
    backend_scripts, callers, pipelined=False, pause_s=0.0, same_id=False, make_answer=make_answer
):
    """Play scripts and requests; check the bytes of all callers, and return their answers."""
    record, found = Record(), []

    def is_open(backend):
        gevent.sleep(pause_s)
        return True

    def call(number, demands):
        numbers = [b"c%d.%d" % (number, n) for n in range(len(demands))]
        with contextlib.closing(harness.connect()) as sock:
            caller = RawCaller(sock)
            for count, (demand, token) in enumerate(zip(demands, numbers, strict=True), 1):
                request_id = numbers[0] if same_id else token
                caller.send(demand.make_head(token, request_id), demand.body)
                answers = caller.read(0 if pipelined else count)
                if answers and answers[-1].closes:
                    break
            caller.read(len(demands))
            answers = caller.finish()
        found.extend(answers)
        for answer, demand, token in zip(answers, demands, numbers, strict=False):
            check_answer(answer, demand, token, record)
        for demand, token in zip(demands, numbers, strict=True):
            check_repeats(demand, token, record)

    routes = [replace(route, timeout_s=TIMEOUT_S, public=True) for route in ROUTES.values()]
    with contextlib.ExitStack() as stack:
        backends = [
            stack.enter_context(Misbehaving(record, s, make_answer)) for s in backend_scripts
        ]
        harness = ForwarderHarness(
            routes[0], *backends, more_routes=routes[1:], wire=WIRE, is_open=is_open
        )
        stack.enter_context(harness)
        tasks = [gevent.spawn(call, *item) for item in enumerate(callers)]
        gevent.joinall(tasks, raise_error=True)
    assert not record.smuggled
    return found


DEMANDS = st.builds(
    Demand,
    route=st.sampled_from(tuple(ROUTES) + ("resume",) * 3),
    method=st.sampled_from((b"POST",) * 5 + (b"GET", b"HEAD")),
    version=st.sampled_from((b"1.1",) * 4 + (b"1.0",)),
    last_event=st.sampled_from((None, None, 2)),
    body_bytes=st.sampled_from((4, 0, 200_000)),
)


@settings(max_examples=300, suppress_health_check=list(HealthCheck))
@given(
    st.lists(st.lists(SCRIPTS, min_size=1, max_size=3), min_size=2, max_size=3),
    st.lists(st.lists(DEMANDS, min_size=1, max_size=3), min_size=1, max_size=2),
    st.booleans(),
    st.sampled_from((0.0, 0.002)),
    st.booleans(),
)
def test_callers_get_one_head_and_only_bytes_of_that_answer(
    backends, callers, pipelined, pause_s, same_id
):
    play(backends, callers, pipelined, pause_s, same_id)


@pytest.mark.parametrize("status", [b"000", b"0", b"099", b"20", b"20x", b"2000", b"600", b"999"])
@pytest.mark.parametrize(
    "demand",
    [
        Demand(),
        Demand("never"),
        Demand(method=b"HEAD"),
        Demand("stream"),
        Demand("resume", last_event=2),
    ],
    ids=["whole", "once", "HEAD", "stream", "resumed"],
)
def test_answer_with_an_invalid_status_is_never_passed_on(status, demand):
    """Guards against bytes that are no answer but reach the caller as one."""

    def make_odd(run, head, body):
        return make_answer(run, head, body).replace(b"1.1 200 X", b"1.1 %s X" % status, 1)

    for script in (Script(), Script(framing="unframed")):
        answers = play([[script], [script]], [[demand]], make_answer=make_odd)
        assert [answer.status for answer in answers] == [502]


@pytest.mark.parametrize("status", [b"000", b"600"])
def test_answer_with_an_invalid_status_is_not_taken_for_an_interim_one(status):
    scripts = [Script(interim=b"HTTP/1.1 %s X\r\n\r\n" % status)]
    answers = play([scripts, scripts], [[Demand()]])
    assert [answer.status for answer in answers] == [502]
