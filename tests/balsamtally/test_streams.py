"""Tests of streamed answers from model runners."""

import pytest

from balsamtally.errors import BackendFailed
from balsamtally.streams import RunnerFailed, RunnerLeaving, Runners, RunnerStream
from tests.balsamtally.scripted import ScriptedBackend, send_raw


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
