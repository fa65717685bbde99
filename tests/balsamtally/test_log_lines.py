"""Tests of the bounded log: it never blocks, drops successes first and reports what it dropped."""

import json
import os

import pytest

from balsamtally.logs import MAX_BUFFERED_BYTES, MAX_LINES_PER_S, MAX_URGENT_LINES_PER_S, LineWriter


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    yield reader, writer
    for fd in (reader, writer):
        try:
            os.close(fd)
        except OSError:
            pass


def read_all(fd):
    data = b""
    while True:
        try:
            piece = os.read(fd, 1 << 20)
        except BlockingIOError:
            return data
        if not piece:
            return data
        data += piece


def make_line(event, number, size=20):
    return json.dumps({"event": event, "number": number, "pad": "x" * size}).encode()


def test_full_pipe_never_blocks_and_keeps_failures(pipe):
    reader, fd = pipe
    now = [0.0]
    writer = LineWriter(fd, lambda: now[0])
    failures = []
    for number in range(4000):
        now[0] += 0.01
        calm = number % 10 != 0
        if not calm:
            failures.append(number)
        writer.write(make_line("ended" if calm else "refused", number, 300), "ended", calm)
    assert writer.dropped > 0 and writer._buffered_bytes <= MAX_BUFFERED_BYTES
    data = b""
    for _ in range(100):
        data += read_all(reader)
        writer.flush()
    lines = [json.loads(line) for line in data.splitlines()]
    seen = [line["number"] for line in lines if line.get("event") == "refused"]
    assert seen == failures[-len(seen) :] and len(seen) == len(failures)


def test_flood_of_calm_lines_leaves_capacity_for_urgent_lines_and_is_summarized(pipe):
    reader, fd = pipe
    now = [5.0]
    writer = LineWriter(fd, lambda: now[0])
    for number in range(MAX_LINES_PER_S + 50):
        writer.write(make_line("ended", number, 0), "ended", True)
    writer.write(make_line("refused", 1, 0), "refused", False)
    now[0] += 1.0
    writer.write(make_line("ended", 2, 0), "ended", True)
    lines = [json.loads(line) for line in read_all(reader).splitlines()]
    events = [line["event"] for line in lines]
    assert events.count("ended") == MAX_LINES_PER_S + 1 and "refused" in events
    [summary] = [line for line in lines if line["event"] == "lines_dropped"]
    assert summary["lines"] == {"ended": 50} and writer.dropped == 50


def test_urgent_lines_are_bounded(pipe):
    _, fd = pipe
    writer = LineWriter(fd, lambda: 0.0)
    for _ in range(MAX_URGENT_LINES_PER_S + 7):
        writer.write(b"{}", "refused", False)
    assert writer.dropped == 7


def test_closed_reader_raises_no_error_and_empties_the_buffer(pipe):
    reader, fd = pipe
    writer = LineWriter(fd, lambda: 0.0)
    os.close(reader)
    writer.write(b"{}", "refused", False)
    assert writer._buffered_bytes == 0
