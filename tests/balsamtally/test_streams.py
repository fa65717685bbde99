"""Tests of streamed answers from model runners: whose they are, and what an error answer means."""

import pytest
from gevent import get_hub

from balsamtally.errors import BackendFailed, WrongAnswer
from balsamtally.streams import RunnerFailed, RunnerLeaving, Runners, RunnerStream
from tests.balsamtally.scripted import ScriptedBackend, reply, send_raw

STREAM = (
    b'data: {"id":"r1.1","choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}\n\n'
    b"data: [DONE]\n\n"
)


@pytest.mark.parametrize("status", [200, 400, 500, 503])
def test_late_second_answer_on_a_reused_connection_is_not_believed(status):
    """A runner answers a request again, with any status, as the next one has been sent."""

    def read(attempt_id):
        with RunnerStream(pool, attempt_id, {}) as stream:
            return len(list(stream.read_chunks()))

    copy = reply(status, STREAM, b"X-Request-Id: r1.1\r\n")
    with ScriptedBackend(reply(200, STREAM, b""), copy) as runner, Runners() as runners:
        pool = runners.find_pool(f"{runner.address[0]}:{runner.address[1]}")
        apply = get_hub().threadpool.apply
        assert apply(read, ("r1.1",)) == 1
        with pytest.raises(WrongAnswer):
            apply(read, ("r2.1",))
    assert runner.connections == 1


@pytest.mark.parametrize(
    ("status", "expected"), [(400, BackendFailed), (500, RunnerFailed), (503, RunnerLeaving)]
)
@pytest.mark.parametrize("framing", [b"Content-Length: 9\r\n", b"Transfer-Encoding: chunked\r\n"])
@pytest.mark.parametrize("reset", [False, True])
def test_error_answer_that_is_cut_in_its_body_counts_by_its_status(
    status, expected, framing, reset
):
    head = b"HTTP/1.1 %d X\r\n%s\r\n" % (status, framing)
    script = send_raw(head, b"4\r\npart", pause_s=0.01, reset=reset)
    with ScriptedBackend(script) as one, Runners() as runners:
        pool = runners.find_pool(":".join(map(str, one.address)))
        with pytest.raises(expected, match=str(status)):
            RunnerStream(pool, "id1", {})
