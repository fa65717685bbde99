"""Tests of splitting event streams, whatever the boundaries of the pieces."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtally.errors import AnswerCut
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
