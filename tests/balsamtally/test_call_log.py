"""Tests that the log lines of a call tell which answer its caller got, from whom and how far."""

from structlog.testing import capture_logs

from balsamtally.call_log import log_end
from balsamtally.calls import Repeat
from tests.balsamtally.scripted import ScriptedBackend, hang, make_route, reply, send_raw
from tests.balsamtally.test_forwarding import REQUEST, STREAM, ForwarderHarness, event, events
from tests.polling import expect_soon

OWN = b"HTTP/1.1 200 X\r\nId: id%d\r\n"
FOREIGN = b"HTTP/1.1 200 X\r\nId: other\r\nContent-Length: 2\r\n\r\nab"


def run_harness(route, *backends, **hooks):
    """Return a harness that writes the line of each call's end."""

    def record_end(plan, progress, error):
        log_end(plan, progress, error, 0.1, error is None)

    return ForwarderHarness(route, *backends, record_end=record_end, **hooks)


def run_calls(route, *backends, calls=1, **hooks):
    """Return the lines of calls in order, and the number of each kind of unexpected answers."""
    with capture_logs() as lines, run_harness(route, *backends, **hooks) as run:
        for number in range(1, calls + 1):
            run.send(
                b"POST /a/x HTTP/1.1\r\nHost: h\r\nId: id%d\r\nContent-Length: 0\r\n\r\n" % number
            )
        return lines, (run.forwarder.foreign_answers, run.connections.late_answers)


def pick(lines, name, *fields):
    return [tuple(line[field] for field in fields) for line in lines if line["event"] == name]


def test_lines_tell_whose_answer_was_begun_and_that_it_was_cut():
    with ScriptedBackend(reply(500)) as one:
        with ScriptedBackend(send_raw(STREAM + events(1, 2))) as two:
            lines, _ = run_calls(make_route(Repeat.RESUME, streams=True), one, two)
    failed = pick(lines, "attempt_failed", "attempt", "exchange", "framing", "answer_begun")
    assert failed == [(1, "1.1", "length", False), (2, "2.1", "chunked", True)]
    [ended] = pick(lines, "ended", "status", "code", "answer", "answer_attempt", "sent_bytes")
    assert ended == (200, 3002, "cut", 2, len(event(1) + event(2)))


def test_lines_tell_a_stored_answer_and_an_error_without_one():
    with ScriptedBackend(reply(500, b"broken"), send_raw()) as one:
        lines, _ = run_calls(make_route(), one, calls=2)
    ended = pick(lines, "ended", "status", "answer", "answer_attempt", "exchange", "framing")
    assert ended == [(500, "whole", 1, "1.1", "length"), (502, "whole", 0, "1.2", "")]


def test_lines_name_connections_that_carried_foreign_and_late_answers():
    unframed = send_raw(OWN % 3 + b"\r\nab")
    two_answers = send_raw(FOREIGN + OWN % 2 + b"Content-Length: 2\r\n\r\nab" + FOREIGN)
    with ScriptedBackend(reply(), two_answers, unframed) as one:
        lines, counts = run_calls(make_route(), one, calls=3)
    assert pick(lines, "foreign_answer", "answered", "exchange") == [("other", "1.2")]
    assert pick(lines, "late_answer", "backend", "exchange") == [("b0", "1.2")]
    assert counts == (1, 1)
    assert pick(lines, "ended", "exchange", "framing", "answer", "sent_bytes") == [
        ("1.1", "length", "whole", 6),
        ("1.2", "length", "whole", 2),
        ("2.1", "close", "whole", 2),
    ]


def test_call_that_ends_by_an_unexpected_error_or_with_its_process_has_a_code():
    with ScriptedBackend(hang) as one:
        lines, _ = run_calls(make_route(), one, is_open=lambda backend: 1 / 0)
        with capture_logs() as killed:
            with run_harness(make_route(), one) as harness:
                caller = harness.connect()
                caller.sendall(REQUEST)
                expect_soon(lambda: one.requests)
            expect_soon(lambda: pick(killed, "ended"))
            caller.close()
    fields = ("status", "code", "answer", "why")
    assert pick(lines, "ended", *fields) == [(500, 9000, "whole", "division by zero")]
    assert pick(killed, "ended", *fields) == [(0, 9000, "none", "GreenletExit")]
