"""Streams from model runners: what a runner sends for another request is never believed."""

import pytest
from gevent import get_hub

from balsamtally.errors import WrongAnswer
from balsamtally.streams import Runners, RunnerStream
from tests.balsamtally.scripted import ScriptedBackend, reply

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
