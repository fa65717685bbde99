"""Reading and watching the platform's store."""

import base64
import random
import time
from collections.abc import Callable
from urllib.parse import quote

import gevent
import msgspec

from balsamtally.backends import fetch
from balsamtally.catalog import Catalog
from balsamtally.errors import BalsamtallyError, HistoryGone, PlatformUnavailable
from balsamtally.logs import log
from balsamtally.readers import PlatformReadState
from balsamtally.records import Record
from balsamtally.tasks import spawn_repeating

# The store answers in 4 ms; this leaves room for one that is a hundred times slower.
READ_TIMEOUT_S = 2.0
# Each call is billed; one that stalls must be found, as others rely on this entry VM.
WATCH_WAIT_MS = 5_000
WATCH_TIMEOUT_S = WATCH_WAIT_MS / 1000 + READ_TIMEOUT_S
# Changes come in bursts; those of this time are read by one call.
BURST_S = 0.1
# How often an entry VM that leaves reading to others asks whether it is to read.
REST_S = 0.1
# A VM that was refused tries again after this time at the soonest, while another one reads.
REFUSED_S = 3.0
# Pause after a failed call: short enough that changes are in force in time after an outage.
MIN_PAUSE_S = 0.15
MAX_PAUSE_S = 0.8
SOURCE = "platform"


class Item(msgspec.Struct, frozen=True):
    """An item or an event; an event without ``value`` tells of a removal by ``removed``."""

    key: str
    revision: int
    value: str | None = None
    removed: bool = False


class Page(msgspec.Struct, frozen=True):
    """A page of items; ``at`` is the store's revision."""

    entries: tuple[Item, ...]
    at: int
    has_more: bool = False


class Changes(msgspec.Struct, frozen=True):
    """Events behind a revision; the next watch goes on from ``at``."""

    events: tuple[Item, ...]
    at: int


def decode_item(item: Item) -> Record:
    """Return the record of an item or event.

    One whose value can't be read counts as empty, which names nothing to use: the others hold.

    :param item: the item
    """
    if item.removed or item.value is None:
        return Record(item.key, item.revision, None)
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError as error:
        log.warning("record_refused", key=item.key, revision=item.revision, why=str(error))
        value = b""
    return Record(item.key, item.revision, value)


class Store:
    """Keeps a catalog up to date from the store, in a task of its own, closed by context.

    :param address: IP number and port of the store
    :param catalog: takes in what is read
    :param should_read: tells whether this entry VM is to read, or learns from its peers
    :param record_read_state: takes in how this entry VM stands to the platform
    :param random_source: source of random pauses
    """

    def __init__(
        self,
        address: tuple[str, int],
        catalog: Catalog,
        should_read: Callable[[], bool] = lambda: True,
        record_read_state: Callable[[PlatformReadState], None] = lambda reading: None,
        random_source: Callable[[float, float], float] = random.uniform,
    ):
        self.address = address
        self._catalog = catalog
        self._should_read = should_read
        self._record_read_state = record_read_state
        self._pause = random_source
        self._history_gone = False
        self._failures = 0
        self._refused_s = 0.0

    def __enter__(self) -> "Store":
        self._task = spawn_repeating("store", self._step)
        return self

    def __exit__(self, *exc_info) -> None:
        self._task.kill(block=False)

    def _step(self) -> None:
        at = self._catalog.records.complete_revision
        if at and not self._should_read():
            self._rest()
            return
        try:
            if not at or self._history_gone:
                self._list()
            else:
                self._watch(at)
        except HistoryGone as error:
            log.info("platform_history_gone", at=at, why=str(error))
            self._history_gone = True
        except (BalsamtallyError, ValueError) as error:
            self._note_failure(error)

    def _rest(self) -> None:
        """Leave reading to others; after a refusal, for some time at least."""
        if self._failures and time.monotonic() - self._refused_s >= REFUSED_S:
            self._failures = 0
            self._catalog.start_removal_grace()
        self._record_read_state(
            PlatformReadState.REFUSED if self._failures else PlatformReadState.RESTING
        )
        gevent.sleep(REST_S)

    def _note_failure(self, error: Exception) -> None:
        self._failures += 1
        self._refused_s = time.monotonic()
        self._record_read_state(PlatformReadState.REFUSED)
        if self._failures == 1:
            at = self._catalog.records.complete_revision
            log.warning("platform_lost", at=at, why=str(error))
        gevent.sleep(self._pause(MIN_PAUSE_S, min(MAX_PAUSE_S, MIN_PAUSE_S * 2**self._failures)))

    def _note_success(self) -> None:
        if self._failures:
            log.info("platform_back", failures=self._failures)
            self._catalog.start_removal_grace()
        self._failures = 0
        self._record_read_state(PlatformReadState.READING)
        self._catalog.record_platform_read()

    def _list(self) -> None:
        """Read all entries; pages are no snapshot, so the watch begins where the first was read."""
        records: list[Record] = []
        first_at: int | None = None
        after = ""
        while True:
            page = self._read_page(after)
            first_at = page.at if first_at is None else min(first_at, page.at)
            records += [decode_item(item) for item in page.entries]
            if not page.has_more or not page.entries:
                break
            after = page.entries[-1].key
        self._note_success()
        self._catalog.merge_listing(records, first_at, SOURCE)
        self._history_gone = False

    def _read_page(self, after: str) -> Page:
        target = (
            f"/kv-range?path_prefix=&after={quote(after, safe='')}"
            if after
            else ("/kv-range?path_prefix=")
        )
        return msgspec.json.decode(self._read(target, READ_TIMEOUT_S), type=Page)

    def _watch(self, at: int) -> None:
        # After a failure a short one tells soon whether the store serves again.
        wait_ms = 1 if self._failures else WATCH_WAIT_MS
        target = f"/kv-watch?path_prefix=&after={at}&wait_ms={wait_ms}"
        changes = msgspec.json.decode(self._read(target, WATCH_TIMEOUT_S), type=Changes)
        self._note_success()
        self._catalog.merge([decode_item(item) for item in changes.events], SOURCE, changes.at)
        gevent.sleep(BURST_S)

    def _read(self, target: str, timeout_s: float) -> bytes:
        status, body = fetch(self.address, target.encode(), timeout_s)
        if status == 410:
            raise HistoryGone
        if status != 200:
            raise PlatformUnavailable(f"the platform answered {status}")
        return body
