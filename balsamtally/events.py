"""Splits event streams (``text/event-stream``) into whole events."""

from dataclasses import dataclass

from balsamtally.errors import AnswerCut, WrongAnswer

# Model engines put a few tokens into an event, well under 1 KB.
MAX_EVENT_BYTES = 262_144
MAX_ID_DIGITS = 15
_END = b"\n\n"


@dataclass(frozen=True)
class Event:
    """One whole event.

    :ivar id: number in its ``id`` field, ``None`` if it has none
    :ivar text: the event's bytes including the blank line at its end
    """

    id: int | None
    text: bytes


class EventReader:
    """Assembles the pieces of a stream into whole events."""

    def __init__(self):
        self._buffer = b""

    def read(self, piece: bytes) -> list[Event]:
        """Return the events that a piece completes.

        :param piece: the next bytes of the stream
        :raises AnswerCut: if the incomplete event is larger than ``MAX_EVENT_BYTES``
        """
        self._buffer += piece
        *whole, self._buffer = self._buffer.split(_END)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise AnswerCut(f"an event has more than {MAX_EVENT_BYTES} bytes")
        return [Event(find_id(text), text + _END) for text in whole]

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return self._buffer


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
