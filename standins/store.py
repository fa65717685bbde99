"""A stand-in for the platform's key-value store: revisions, paged listings, watches and faults."""

import base64
import contextlib
import json
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from urllib.parse import parse_qs

import gevent
from gevent.event import Event

from balsamtally.callers import Caller, CallerServer, Request
from balsamtally.calls import Limits
from balsamtally.errors import BalsamtallyError
from balsamtally.sockets import listen

PAGE_ITEMS = 50
LIMITS = Limits(idle_timeout_s=60.0)
DRIP_S = 0.4


@dataclass(frozen=True)
class StoreCopy:
    """The content of a store at one time.

    :ivar items: the items by key
    :ivar events: the events of its history
    :ivar revision: its revision
    """

    items: dict[str, dict]
    events: list[dict]
    revision: int


class Store:
    """An HTTP server for the store's read API; a context manager.

    :param address: IP address and port to listen on
    :ivar fault: ``""``, ``"busy"`` (503), ``"many"`` (429), ``"silent"`` (no answer) or
        ``"garbage"`` (invalid JSON)
    :ivar calls: number of calls received
    :ivar delay_s: delay of each answer, in seconds
    :ivar era: value of ``Store-Era`` in all answers, empty for none
    :ivar on_page: called after each page of a listing was sent
    :ivar stalled: listeners whose callers get no whole answer, with ``"mute"`` (no byte),
        ``"head"`` (no byte of the body) or ``"drip"`` (a byte of the body each ``DRIP_S``)
    :ivar watching: number of waiting watches by listener
    """

    def __init__(self, address: tuple[str, int]):
        self.address = address
        self.fault = ""
        self.calls = 0
        self.delay_s = 0.0
        self.era = ""
        self.on_page: Callable[[], None] = lambda: None
        self.stalled: dict[str, str] = {}
        self.watching: Counter[str] = Counter()
        self._stack = contextlib.ExitStack()
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._spoiled: dict[str, dict] = {}
        self._revision = 100
        self._oldest_revision = 0
        self._changed = Event()

    def __enter__(self) -> "Store":
        self.open_listener("", self.address)
        return self

    def __exit__(self, *exc_info) -> None:
        self._stack.close()

    def open_listener(self, name: str, address: tuple[str, int]) -> None:
        """Serve callers at one more address.

        :param name: name of the listener
        :param address: its IP address and port
        """
        serve = partial(self._serve, name)
        self._stack.enter_context(
            CallerServer(listen(address), lambda: LIMITS, serve, self._refuse, time.monotonic)
        )

    def put(self, key: str, value: object) -> int:
        """Write an item and return its revision.

        :param key: key of the item
        :param value: stored as it is if bytes, else encoded as JSON
        """
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        known = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self._revision,
            "created": known["created"] if known else self._revision,
            "lease_id": 0,
        }
        self._items[key] = item
        self._append_event(item)
        return self._revision

    def spoil(self, key: str, /, **fields: object) -> None:
        """Write an item that is sent with these fields instead of its own."""
        self._spoiled[key] = fields
        self.put(key, b"")

    def remove(self, key: str) -> int:
        """Remove an item and return the revision of the removal."""
        self._revision += 1
        self._items.pop(key, None)
        self._append_event({"key": key, "revision": self._revision, "removed": True})
        return self._revision

    def forget_history(self) -> None:
        """Discard all events, so that watches from an older revision get status 410."""
        self._events.clear()
        self._oldest_revision = self._revision
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Return a copy of the content, from which the store can be restored."""
        return StoreCopy(dict(self._items), list(self._events), self._revision)

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: its revisions are given out again, and a new era begins."""
        self._items, self._events = dict(copy.items), list(copy.events)
        self._revision = copy.revision
        self.era = str(int(self.era or 0) + 1)
        self._notify_watches()

    def _append_event(self, event: dict) -> None:
        self._events.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()

    def _refuse(self, caller: Caller, error: BalsamtallyError) -> None:
        caller.answer(error.status, (), b"")

    def _serve(self, listener: str, caller: Caller, request: Request) -> None:
        self.calls += 1
        if self._stall(listener, caller):
            return
        gevent.sleep(self.delay_s)
        if self.fault == "silent":
            gevent.sleep(3600)
        if self.fault in ("busy", "many"):
            caller.answer(503 if self.fault == "busy" else 429, self._make_era(), b"")
            return
        if self.fault == "garbage":
            caller.answer(200, (), b"{]")
            return
        path, _, query = request.target.decode().partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        if path == "/kv-range":
            self._list(caller, fields)
        elif path == "/kv-watch":
            self._watch(listener, caller, fields)
        else:
            caller.answer(404, (), b"")

    def _answer(self, caller: Caller, name: str, items: list[dict], **more: object) -> None:
        sent = [item | self._spoiled.get(item["key"], {}) for item in items]
        body = {name: sent, "at": self._revision, **more}
        headers = ((b"Content-Type", b"application/json"), *self._make_era())
        caller.answer(200, headers, json.dumps(body).encode())

    def _make_era(self) -> tuple[tuple[bytes, bytes], ...]:
        return ((b"Store-Era", self.era.encode()),) if self.era else ()

    def _list(self, caller: Caller, fields: dict[str, str]) -> None:
        prefix, after = fields.get("path_prefix", ""), fields.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        self._answer(caller, "entries", items, has_more=len(keys) > PAGE_ITEMS)
        self.on_page()

    def _stall(self, listener: str, caller: Caller) -> bool:
        """Withhold an answer while the listener is stalled, and return whether it was."""
        kind = self.stalled.get(listener)
        if kind is None:
            return False
        if kind != "mute":
            caller.begin(200, self._make_era())
        while listener in self.stalled:
            if kind == "drip":
                caller.send(b" ")
            gevent.sleep(DRIP_S)
        return True

    def _watch(self, listener: str, caller: Caller, fields: dict[str, str]) -> None:
        self.watching[listener] += 1
        try:
            events = self._wait_for_events(fields)
        finally:
            self.watching[listener] -= 1
        if self._stall(listener, caller):
            return
        if events is None:
            caller.answer(410, self._make_era(), b"")
        else:
            self._answer(caller, "events", events)

    def _wait_for_events(self, fields: dict[str, str]) -> list[dict] | None:
        """Return the events of a watch, ``None`` if their history was dropped."""
        prefix, after = fields.get("path_prefix", ""), int(fields["after"])
        until_s = time.monotonic() + int(fields["wait_ms"]) / 1000
        while True:
            if not self._oldest_revision <= after <= self._revision:
                return None
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return events
            self._changed.wait(left_s)
