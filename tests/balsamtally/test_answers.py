"""Tests of the checks of a streamed answer."""

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from balsamtally.answers import AnswerCheck
from balsamtally.errors import AnswerCut, BackendFailed, WrongAnswer

ID = "q1.1"
TOKENS = [f"t{n} " for n in range(6)]
WHOLE = [(ID, token, None, None) for token in TOKENS]
WHOLE += [(ID, "", "stop", None), (ID, "", None, len(TOKENS)), None]


def read_events(events):
    """Return the text of a whole answer, or raise."""
    check = AnswerCheck(ID)
    for event in events:
        if event is None:
            check.end()
            return "".join(check.text)
        check.accept(*event)
    raise AnswerCut()


@given(st.data())
@settings(max_examples=300)
def test_faulty_answer_never_ends_as_complete(data):
    events = list(WHOLE)
    fault = data.draw(st.sampled_from(["none", "cut", "double", "other", "no finish", "more"]))
    index = data.draw(st.integers(0, len(TOKENS) - 1))
    if fault == "cut":
        events = events[: index + 1]
    elif fault == "double":
        events.insert(index, events[index])
    elif fault == "other":
        events[index] = ("q2.1", *events[index][1:])
    elif fault == "no finish":
        del events[len(TOKENS)]
    elif fault == "more":
        events.insert(len(TOKENS) + 1, events[index])
    if fault == "none":
        assert read_events(events) == "".join(TOKENS)
        return
    with pytest.raises((AnswerCut, WrongAnswer, BackendFailed)):
        read_events(events)


def test_chunk_or_marker_after_the_end_is_rejected():
    check = AnswerCheck(ID)
    check.accept(ID, "a", "stop")
    with pytest.raises(BackendFailed):
        check.accept(ID, "", "stop")
    check.end()
    with pytest.raises(WrongAnswer):
        check.accept(ID)
    with pytest.raises(WrongAnswer):
        check.end()
