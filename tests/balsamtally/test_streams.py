"""Streams of model runners: whose they are, and what error answers and odd events mean."""

from types import SimpleNamespace

import msgspec
import pytest
from gevent import get_hub
from hypothesis import example, given
from hypothesis import strategies as st

from balsamtally import streams
from balsamtally.errors import BackendFailed, WrongAnswer
from balsamtally.streams import (
    RunnerFailed,
    RunnerLeaving,
    Runners,
    RunnerStream,
    decode_chunk,
)
from tests.balsamtally.scripted import ScriptedBackend, reply, send_raw

STREAM = (
    b'data: {"id":"r1.1","choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}\n\n'
    b"data: [DONE]\n\n"
)
CHUNK = {"id": "a1", "choices": [{"delta": {"content": "x"}}]}
DEEP = "[" * 100_000
ODD_USAGES = [
    {"completion_tokens": "5"},
    {"completion_tokens": 1.5},
    {"completion_tokens": True},
    {"completion_tokens": [5]},
]


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


def make_stream(*events):
    """Return a stream whose runner sends these events, a last chunk and the end marker."""
    last = '{"id":"a1","choices":[{"finish_reason":"stop"}]}'
    data = "".join(f"data: {event}\n\n" for event in (*events, last, "[DONE]")).encode()
    response = SimpleNamespace(
        status=200, headers={}, stream=lambda size, decode_content: iter([data])
    )
    return RunnerStream(SimpleNamespace(urlopen=lambda *args, **more: response), "a1", {})


def list_odd_events():
    yield '{"id":"a1","x":' + DEEP
    yield '{"id":"a1","usage":' + '{"a":' * 500 + "1" + "}" * 501
    yield '{"id":"a1","usage":{"completion_tokens":' + "1" * 5000 + "}}"
    for usage in ODD_USAGES:
        yield msgspec.json.encode(CHUNK | {"usage": usage}).decode()


def test_answer_with_usage_is_whole():
    usage = {"completion_tokens": 1, "prompt_tokens_details": {"cached_tokens": 0}}
    stream = make_stream(msgspec.json.encode(CHUNK | {"usage": usage}).decode())
    assert [chunk.usage for chunk in stream.read_chunks()] == [usage, None]


@pytest.mark.parametrize("event", list(list_odd_events()))
def test_odd_event_is_a_failed_attempt(event):
    stream = make_stream(event)
    with pytest.raises(RunnerFailed):
        list(stream.read_chunks())


@given(st.text(max_size=40) | st.sampled_from([msgspec.json.encode(CHUNK).decode()]))
@example("1" * 5000)
@example("NaN")
@example('"\ud800"')
def test_any_event_is_a_chunk_or_a_decode_error(text):
    try:
        chunk = decode_chunk(text)
    except ValueError:
        return
    assert chunk.id == "a1" and msgspec.json.encode(chunk)


def test_stream_of_a_runner_that_pauses_is_not_ended():
    """A runner's silence doesn't prove that it has ended; nothing limits the caller's wait."""
    first = b'data: {"id":"r1.1","choices":[{"delta":{"content":"b"}}]}\n\n'
    script = send_raw(
        b"HTTP/1.1 200 OK\r\n\r\n" + first, STREAM, pause_s=streams.READ_TIMEOUT_S + 1.0
    )
    with ScriptedBackend(script) as runner, Runners() as runners:
        pool = runners.find_pool(f"{runner.address[0]}:{runner.address[1]}")
        with RunnerStream(pool, "r1.1", {}) as stream:
            assert len(list(stream.read_chunks())) == 2
