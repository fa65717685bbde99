"""Which backend servers served before an entry VM started, by the history of the platform's store.

The history has no times. A revision counts as old if an entry of a server was last written there,
and the server's start and its count of heartbeats show that this was long ago: an entry that
expired and was written again has a high count.
"""

import base64
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Annotated

import msgspec

from balsamtally.calls import Backend
from balsamtally.decoding import DECODING_ERRORS, MAX_INTEGER, Count, decode
from balsamtally.platform.documents import SERVERS_PREFIX, read_backend, read_backend_name

# Difference that is allowed between the clocks of two machines, in seconds.
CLOCK_MARGIN_S = 1.0
# Longest time from the start of a server to its first heartbeat, and of one of its pauses.
START_S = 3.0
# Largest ratio of the time between two heartbeats to the published interval.
BEAT_FACTOR = 1.5
# Start of the history of a store that has discarded none.
FIRST_REVISION = 1


@dataclass(frozen=True)
class PastSettings:
    """What an entry VM needs to know of the past.

    :ivar record: receives the backend servers that the history shows, and the length of the time
        before now that it covers, in seconds
    :ivar find_needed_s: returns the length of the time that must be covered, in seconds
    :ivar find_beat_s: returns the published interval of the servers' heartbeats, in seconds
    :ivar wall_clock: Unix time in seconds
    """

    record: Callable[[Iterable[Backend], float], None]
    find_needed_s: Callable[[], float]
    find_beat_s: Callable[[], float]
    wall_clock: Callable[[], float] = time.time


class PastUnknown(ValueError):
    """The history doesn't show which backend servers served."""


class PastItem(msgspec.Struct, frozen=True):
    """An item of a listing or an event, with the revision of its creation."""

    key: Annotated[str, msgspec.Meta(min_length=1)]
    revision: Count
    created: Count = 0
    value: str | None = None
    removed: bool = False


class Start(msgspec.Struct, frozen=True):
    """Start of a server in Unix milliseconds, and its number of heartbeats since."""

    born: Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
    seq: Count


_item = msgspec.json.Decoder(PastItem)
_start = msgspec.json.Decoder(Start)


@dataclass(frozen=True)
class Entry:
    """The entry of a backend server at one revision.

    :ivar name: name of the backend server
    :ivar revision: the revision
    :ivar created: revision at which the entry was created, 0 for a removal
    :ivar backend: the backend server, ``None`` for an invalid entry or a removal
    :ivar start: start and heartbeats, ``None`` if they aren't known
    """

    name: str
    revision: int
    created: int
    backend: Backend | None
    start: Start | None


def read_entries(items: Iterable[msgspec.Raw]) -> list[Entry]:
    """Return the entries of backend servers among items, in order of their revisions.

    :param items: items of a listing, or events
    :raises ValueError: if an item is malformed
    """
    read = [decode(_item, raw) for raw in items]
    entries = [read_entry(item) for item in read if item.key.startswith(SERVERS_PREFIX)]
    return sorted(entries, key=lambda entry: entry.revision)


def read_entry(item: PastItem) -> Entry:
    """Return the entry of an item.

    :param item: the item of a backend server
    :raises ValueError: if its value isn't encoded as base64
    """
    name = read_backend_name(item.key) or ""
    if item.removed or item.value is None:
        return Entry(name, item.revision, 0, None, None)
    value = base64.b64decode(item.value, validate=True)
    try:
        backend = read_backend(name, value)
    except DECODING_ERRORS:
        # No entry VM sends calls to the server of an invalid entry.
        backend = None
    try:
        start = decode(_start, value)
    except DECODING_ERRORS:
        start = None
    return Entry(name, item.revision, item.created, backend, start)


def find_start(listed: Sequence[Entry], now_ms: float, until_ms: float, beat_s: float) -> int:
    """Return the latest revision that is known to be older than a time.

    Without one it is the first revision, after which a young store has its whole history.

    :param listed: the entries of a listing
    :param now_ms: Unix time in milliseconds
    :param until_ms: the time in Unix milliseconds
    :param beat_s: published interval of heartbeats in seconds
    :raises PastUnknown: if the clocks of servers contradict each other or this VM's
    """
    starts = [(entry, entry.start) for entry in listed if entry.start is not None]
    if any(start.born > now_ms + 1000 * CLOCK_MARGIN_S for _, start in starts):
        raise PastUnknown("a server started in the future")
    found = FIRST_REVISION
    for entry, start in starts:
        beats_s = (start.seq + 1) * beat_s * BEAT_FACTOR
        if start.born + 1000 * (START_S + beats_s) <= until_ms:
            found = max(found, entry.revision)
    younger = [entry.revision for entry, start in starts if start.born > until_ms]
    if found > FIRST_REVISION and any(revision <= found for revision in younger):
        raise PastUnknown("a server started after its entry was written")
    return found


def find_past_backends(
    listed: Sequence[Entry], events: Sequence[Entry], after: int, until_ms: float
) -> list[Backend]:
    """Return the backend servers that the events after a revision show.

    :param listed: the entries of a listing, read after the revision and before the events
    :param events: all events after the revision, in order
    :param after: the revision
    :param until_ms: time in Unix milliseconds; what ended before it needn't be known
    :raises PastUnknown: if the value of an entry at the revision isn't known
    """
    unchanged = {entry.name for entry in listed if entry.revision <= after}
    told: set[str] = set()
    for event in events:
        known = event.name in unchanged or event.name in told
        if not known and not is_former_known(event, until_ms):
            raise PastUnknown(f"the entry of {event.name} before {event.revision} isn't known")
        told.add(event.name)
    if any(entry.name not in told for entry in listed if entry.revision > after):
        raise PastUnknown("an event of a listed change is missing")
    return [event.backend for event in events if event.backend is not None]


def is_former_known(event: Entry, until_ms: float) -> bool:
    """Return whether an event tells which incarnations its entry had before.

    There is none before the creation. A former incarnation ended before the start of this one.

    :param event: the first event of an entry
    :param until_ms: time in Unix milliseconds; an incarnation that ended before it may be unknown
    """
    if event.created == event.revision:
        return True
    return event.start is not None and event.start.born <= until_ms
