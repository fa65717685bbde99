"""Keeps the catalog up to date by listing and watching the platform's store."""

import base64
import random
import time
from collections.abc import Callable, Iterable
from typing import Annotated
from urllib.parse import quote

import gevent
import msgspec

from balsamtally.backends import fetch_answer
from balsamtally.calls import AnswerHead
from balsamtally.catalog import Catalog
from balsamtally.clocks import boottime
from balsamtally.decoding import Count, decode
from balsamtally.errors import BalsamtallyError, HistoryGone, PlatformUnavailable
from balsamtally.logs import log
from balsamtally.platform.documents import SERVERS_PREFIX
from balsamtally.platform.past import (
    CLOCK_MARGIN_S,
    PastSettings,
    PastUnknown,
    find_past_backends,
    find_start,
    read_entries,
)
from balsamtally.readers import DEFAULT_READ_TIMES, PlatformReadState, ReadTimes
from balsamtally.records import Record
from balsamtally.tasks import spawn_repeating

# The store answers in 4 ms; this tolerates answers that take a hundred times as long.
READ_TIMEOUT_S = 2.0
# Shortest wait of a reader's watch, however slow the store's answers are.
MIN_WATCH_S = 0.1
# Factor on the last time of an answer, above which the next answer counts as missing.
ANSWER_FACTOR = 2.0
# Pause between two watches, so that one request reads the changes of a burst.
BURST_S = 0.1
# Interval at which an entry VM that doesn't read checks whether it should.
REST_S = 0.1
# Shortest time after a failed request before this entry VM reads again, while another one reads.
REFUSED_S = 3.0
# Limits of the random pause after a failed request, short enough that changes take effect in time
# after an outage.
MIN_PAUSE_S = 0.15
MAX_PAUSE_S = 0.8
SOURCE = "platform"
MAX_KEY_CHARS = 200
# Header with the number of times that the store was restored from a copy.
ERA = b"store-era"
MAX_ERA_DIGITS = 15
NO_VALUE = msgspec.Raw(b"null")

Key = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY_CHARS)]


class Item(msgspec.Struct, frozen=True):
    """An entry in a page or the event of its last change.

    ``removed`` is set, and ``value`` missing, in the event of a removal.
    """

    key: Key
    revision: Count
    value: msgspec.Raw = NO_VALUE
    removed: bool = False


class Page(msgspec.Struct, frozen=True):
    """A page of a listing; ``at`` is the store's revision."""

    entries: tuple[msgspec.Raw, ...]
    at: Count
    has_more: bool = False


class Changes(msgspec.Struct, frozen=True):
    """The events after a revision; the next watch starts at revision ``at``."""

    events: tuple[msgspec.Raw, ...]
    at: Count


_page = msgspec.json.Decoder(Page)
_changes = msgspec.json.Decoder(Changes)
_item = msgspec.json.Decoder(Item)
_value = msgspec.json.Decoder(str | None)


def read_era(head: AnswerHead) -> int | None:
    """Return the era that an answer of the store names, ``None`` without a valid one.

    :param head: head of the answer
    """
    values = [value.strip() for name, value in head.headers if name.lower() == ERA]
    if len(values) == 1 and values[0].isdigit() and len(values[0]) <= MAX_ERA_DIGITS:
        return int(values[0])
    if values:
        log.warning("era_refused", values=repr(values)[:64])
    return None


def decode_items(items: Iterable[msgspec.Raw], era: int = 0) -> list[Record]:
    """Return the records of items; an item that names no key or revision is left out.

    :param items: the items in JSON, each decoded by itself
    :param era: era of their revisions
    """
    records = []
    for raw in items:
        try:
            records.append(decode_item(decode(_item, raw), era))
        except ValueError as error:
            log.warning("record_refused", key="", revision=0, why=str(error))
    return records


def decode_item(item: Item, era: int = 0) -> Record:
    """Return the record of an item.

    A value that can't be decoded is replaced by an empty one, which is later refused as malformed,
    so that the other records still take effect.

    :param item: the item
    :param era: era of its revision
    """
    try:
        text = None if item.removed else decode(_value, item.value)
        value = None if text is None else base64.b64decode(text, validate=True)
    except ValueError as error:
        log.warning("record_refused", key=item.key, revision=item.revision, why=str(error))
        value = b""
    return Record(item.key, item.revision, value, era)


class Store:
    """Reads the store into a catalog in a background greenlet, a context manager that ends it.

    :param address: IP number and port of the store
    :param catalog: receives the records
    :param should_read: returns whether this entry VM should read the store itself; otherwise peers
        send the records
    :param record_read_state: records whether this entry VM reads, rests or was refused by the store
    :param find_times: returns the times of reading the platform
    :param random_source: returns a random number between two limits, for pauses in seconds
    :param past: what to read from the store's history at the start, ``None`` to read nothing
    """

    def __init__(
        self,
        address: tuple[str, int],
        catalog: Catalog,
        should_read: Callable[[], bool] = lambda: True,
        record_read_state: Callable[[PlatformReadState], None] = lambda state: None,
        find_times: Callable[[], ReadTimes] = lambda: DEFAULT_READ_TIMES,
        random_source: Callable[[float, float], float] = random.uniform,
        past: PastSettings | None = None,
    ):
        self.address = address
        self._catalog = catalog
        self._should_read = should_read
        self._record_read_state = record_read_state
        self._find_times = find_times
        self._pause = random_source
        self._past = past
        self._history_gone = False
        self._failures = 0
        self._refused_s = 0.0
        self._watching = False
        self._answer_s = 0.0

    def __enter__(self) -> "Store":
        self._task = spawn_repeating("store", self._step)
        return self

    def __exit__(self, *exc_info) -> None:
        self._task.kill(block=False)

    def _step(self) -> None:
        at = self._catalog.records.complete_revision
        rests = at and not self._should_read()
        if rests and not self._catalog.is_reading_awaited:
            self._rest()
            return
        try:
            if not at or self._history_gone:
                self._list()
            else:
                self._watch(at, reads=not rests)
        except HistoryGone as error:
            log.info("platform_history_gone", at=at, why=str(error))
            self._history_gone = True
        except (BalsamtallyError, ValueError) as error:
            self._record_failure(error)

    def _rest(self) -> None:
        """Leave reading to other entry VMs; a failure is forgotten after REFUSED_S."""
        if self._failures and time.monotonic() - self._refused_s >= REFUSED_S:
            self._failures = 0
            self._catalog.start_removal_grace()
        self._record_read_state(
            PlatformReadState.REFUSED if self._failures else PlatformReadState.RESTING
        )
        self._watching = False
        gevent.sleep(REST_S)

    def _record_failure(self, error: Exception) -> None:
        """Report a failure to peers and pause; the limit of the pause doubles with each one."""
        self._failures += 1
        self._watching = False
        self._refused_s = time.monotonic()
        self._record_read_state(PlatformReadState.REFUSED)
        if self._failures == 1:
            at = self._catalog.records.complete_revision
            log.warning("platform_lost", at=at, why=str(error))
        gevent.sleep(self._pause(MIN_PAUSE_S, min(MAX_PAUSE_S, MIN_PAUSE_S * 2**self._failures)))

    def _record_success(self) -> None:
        if self._failures:
            log.info("platform_back", failures=self._failures)
            self._catalog.start_removal_grace()
        self._failures = 0
        self._record_read_state(PlatformReadState.READING)

    def _list(self) -> None:
        """Read all entries.

        The pages are not one snapshot, so that the watch starts at the lowest revision of a page.
        They are of one era; if the store is restored meanwhile, they are all read again.
        """
        began_s = boottime()
        known = self._catalog.records.position
        items: list[msgspec.Raw] = []
        records: list[Record] = []
        first_at: int | None = None
        first_era: int | None = None
        after = ""
        while True:
            era, page = self._read_page(after)
            if first_era is not None and era != first_era:
                raise HistoryGone(f"the store went from era {first_era} to {era} in a listing")
            first_era = era
            first_at = page.at if first_at is None else min(first_at, page.at)
            found = decode_items(page.entries, era)
            records += found
            items += page.entries
            if not page.has_more or not page.entries:
                break
            if not found or found[-1].key <= after:
                raise PlatformUnavailable(f"the listing does not go on after {after!r}")
            after = found[-1].key
        if (first_era, first_at) < known:
            raise PlatformUnavailable(f"the listing is of era {first_era} and revision {first_at}")
        self._record_success()
        log.info("platform_listed", at=(first_era, first_at), records=len(records))
        self._catalog.merge_listing(records, first_at, SOURCE, first_era)
        self._catalog.record_current(boottime() - began_s)
        self._catalog.record_reading(began_s)
        self._watching = True
        self._history_gone = False
        if self._past is not None and not known[1]:
            self._read_past(self._past, items)

    def _read_past(self, past: PastSettings, items: list[msgspec.Raw]) -> None:
        """Read which backend servers served before this process started.

        :param past: what is needed
        :param items: the items of the first listing
        """
        needed_s = past.find_needed_s()
        now_ms = 1000 * past.wall_clock()
        until_ms = now_ms - 1000 * (needed_s + CLOCK_MARGIN_S)
        at = self._catalog.records.complete_revision
        after = 0
        try:
            listed = read_entries(items)
            after = find_start(listed, now_ms, until_ms, past.find_beat_s())
            target = f"/kv-watch?path_prefix={SERVERS_PREFIX}&after={after}&wait_ms=1"
            era, body = self._read(target, self._find_answer_limit_s())
            changes = decode(_changes, body)
            if era or changes.at < at:
                raise PastUnknown("the store was restored" if era else "events are missing")
            events = read_entries(changes.events)
            found = find_past_backends(listed, events, after, until_ms)
        except HistoryGone:
            log.info("platform_past_unknown", after=after, why="the history is gone")
        except (BalsamtallyError, ValueError) as error:
            log.info("platform_past_unknown", after=after, why=str(error))
        else:
            log.info("platform_past_read", after=after, events=len(events))
            past.record(found, needed_s)

    def _read_page(self, after: str) -> tuple[int, Page]:
        target = (
            f"/kv-range?path_prefix=&after={quote(after, safe='')}"
            if after
            else ("/kv-range?path_prefix=")
        )
        era, body = self._read(target, READ_TIMEOUT_S)
        return era, decode(_page, body)

    def _watch(self, at: int, reads: bool = True) -> None:
        """Wait for changes and merge them.

        A stalled watch delays changes at all VMs that rely on this one, so that its answer is due
        even if there is no change.

        :param at: revision up to which no change is missing
        :param reads: whether this entry VM reads for others; if not, peers needn't know
        """
        wait_s = self._find_wait_s()
        target = f"/kv-watch?path_prefix=&after={at}&wait_ms={max(1, round(1000 * wait_s))}"
        began_s, asked_s = boottime(), time.monotonic()
        era, body = self._read(target, wait_s + self._find_answer_limit_s())
        changes = decode(_changes, body)
        known = self._catalog.records.era
        if era > known:
            raise HistoryGone(f"the store was restored: era {era} after {known}")
        if not changes.events:
            self._answer_s = max(0.0, time.monotonic() - asked_s - wait_s)
        if reads:
            self._record_success()
        self._catalog.merge(decode_items(changes.events, era), SOURCE, changes.at, era)
        self._catalog.record_current()
        self._catalog.record_reading(began_s)
        self._watching = reads
        gevent.sleep(BURST_S)

    def _find_wait_s(self) -> float:
        """Return the time for which the next watch waits for changes, in seconds.

        The first one doesn't wait, so that peers learn soon that the store answers this VM.
        """
        if not self._watching or self._catalog.is_reading_awaited:
            return 0.0
        return max(MIN_WATCH_S, self._find_times().watch_s - self._answer_s)

    def _find_answer_limit_s(self) -> float:
        """Return the time after which an answer counts as missing, in seconds.

        It grows with each failure, since the store may be slow.
        """
        usual_s = max(self._find_times().answer_s, ANSWER_FACTOR * self._answer_s)
        return min(READ_TIMEOUT_S, usual_s * 2**self._failures)

    def _read(self, target: str, timeout_s: float) -> tuple[int, bytes]:
        """Return era and body of an answer; without an era it counts as of the last known one.

        :raises HistoryGone: if the store no longer has the history after a revision
        :raises PlatformUnavailable: if it answered with an error, or from a former era
        """
        head, body = fetch_answer(self.address, target.encode(), timeout_s)
        if head.status == 410:
            raise HistoryGone
        if head.status != 200:
            raise PlatformUnavailable(f"the platform answered {head.status}")
        known = self._catalog.records.era
        era = read_era(head)
        if era is not None and era < known:
            raise PlatformUnavailable(f"the answer is of era {era}, {known} is known")
        return known if era is None else era, body
