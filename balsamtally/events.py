"""Splits event streams (``text/event-stream``) into whole events."""

import re
from dataclasses import dataclass

from balsamtally.errors import AnswerCut, WrongAnswer

# Model engines put a few tokens into an event, well under 1 KB.
MAX_EVENT_BYTES = 262_144
MAX_ID_DIGITS = 15
_END = b"\n\n"
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\r\n]*)?\r?\n")
# A field, or a comment, whose name is empty. The head of another answer has no such line.
_FIELD = re.compile(rb"(?:[a-z][a-z_-]*)?(?::.*)?\r?", re.DOTALL)


@dataclass(frozen=True)
class Event:
    """One whole event.

    :ivar id: number in its ``id`` field, ``None`` if it has none
    :ivar text: the event's bytes including the blank line at its end
    """

    id: int | None
    text: bytes


class EventReader:
    """Assembles the pieces of a stream into whole events.

    A backend server may send its answer twice. Where the answer has no length, the second one's
    head and its events are bytes of the stream.

    :param after: id that the ids of the events must exceed, each one the last one's too; ``None``
        for ids in any order
    """

    def __init__(self, after: int | None = None):
        self._buffer = b""
        self._last_id = after
        self._fault: WrongAnswer | None = None

    def read(self, piece: bytes) -> list[Event]:
        """Return the valid events that a piece completes; :meth:`check` reports an invalid one.

        :param piece: the next bytes of the stream
        :raises AnswerCut: if the incomplete event is larger than ``MAX_EVENT_BYTES``
        """
        self._buffer += piece
        *whole, self._buffer = self._buffer.split(_END)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise AnswerCut(f"an event has more than {MAX_EVENT_BYTES} bytes")
        events = []
        try:
            for text in whole:
                events.append(self._make_event(text))
        except WrongAnswer as error:
            self._fault = error
        return events

    def check(self) -> None:
        """Check the bytes read so far.

        :raises WrongAnswer: if they hold an invalid event, or one out of order
        """
        if self._fault is not None:
            raise self._fault

    def _make_event(self, text: bytes) -> Event:
        if not all(_FIELD.fullmatch(line) for line in text.split(b"\n")):
            raise WrongAnswer("the stream holds a line that is no field of an event")
        event_id = find_id(text)
        if event_id is not None and self._last_id is not None:
            if event_id <= self._last_id:
                raise WrongAnswer(f"event {event_id} came after event {self._last_id}")
            self._last_id = event_id
        return Event(event_id, text + _END)

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return self._buffer


def holds_answer_head(body: bytes) -> bool:
    """Return whether a body holds the status line of another answer.

    :param body: the body of an answer that ends with its connection
    """
    return _STATUS_LINE.search(body) is not None


def find_id(text: bytes) -> int | None:
    """Return the number in the ``id`` field of an event, ``None`` if there is none.

    :param text: the event
    :raises WrongAnswer: if the number has more than ``MAX_ID_DIGITS`` digits
    """
    for line in text.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            if value.isdigit() and len(value) > MAX_ID_DIGITS:
                raise WrongAnswer(f"the id of an event has {len(value)} digits")
            return int(value) if value.isdigit() else None
    return None
