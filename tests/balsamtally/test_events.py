"""Tests of splitting event streams, whatever the boundaries of the pieces."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtally.errors import AnswerCut, WrongAnswer
from balsamtally.events import MAX_EVENT_BYTES, EventReader, find_id

LINES = st.sampled_from([b"id: 3", b"id:12", b"data: x", b"data", b"weight-versions: 2", b"id: x"])


@given(st.lists(st.lists(LINES, min_size=1, max_size=3), max_size=6), st.integers(1, 9))
def test_pieces_of_any_size_give_the_same_events(events, size):
    texts = [b"\n".join(lines) + b"\n\n" for lines in events]
    data = b"".join(texts) + b"id: 9\nda"
    reader = EventReader()
    found = []
    for offset in range(0, len(data), size):
        found += reader.read(data[offset : offset + size])
    assert [event.text for event in found] == texts
    assert reader.rest == b"id: 9\nda"


def test_event_ids():
    assert find_id(b"id: 7\ndata: x") == 7
    assert find_id(b"weight-versions: 2\nid:8") == 8
    assert find_id(b"data: id: 7") is None
    assert find_id(b"id: x") is None


def test_endless_event_is_refused():
    with pytest.raises(AnswerCut):
        EventReader().read(b"x" * (MAX_EVENT_BYTES + 1))


@pytest.mark.parametrize("head", [b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", b"garbage, not a field\n"])
def test_line_that_is_no_field_is_reported_after_the_events_before_it(head):
    reader = EventReader()
    assert [event.id for event in reader.read(b"id: 1\ndata: x\n\n" + head + b"id: 2\n\n")] == [1]
    with pytest.raises(WrongAnswer):
        reader.check()


@pytest.mark.parametrize("text", [b": comment", b"data", b"event: a\r\ndata: HTTP/1.1 200 OK", b""])
def test_lines_of_the_format_are_fields(text):
    reader = EventReader(0)
    assert len(reader.read(text + b"\n\n")) == 1
    reader.check()
