"""The state in force: each object as set by the highest accepted ticket that contains it."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TypeVar

import xxhash

from balsamtally.contracts import Customer, Pool
from balsamtally.logs import log
from balsamtally.messages import TicketNotice
from balsamtally.tickets import Removed, Ticket, WorldObject, encode_ticket, identify_object

T = TypeVar("T")
Key = tuple[str, str]
TicketId = tuple[int, str]

BUCKETS = 64
MAX_KNOWN_NUMBERS = 50_000
MAX_CONFLICTS = 256
MAX_REFUSED = 100


@dataclass(frozen=True, slots=True)
class Entry:
    """An object in force and the ticket that set it.

    :ivar item: the object
    :ivar number: number of the ticket
    :ivar digest: digest of the ticket
    """

    item: WorldObject
    number: int
    digest: str


@dataclass(slots=True)
class _ActiveTicket:
    body: bytes
    uses: int


class Facts:
    """The objects in force on this entry VM.

    Only active tickets, which still set at least one object, are stored with their JSON text. For
    each number, the digest of the first accepted ticket is stored, so that a different ticket with
    the same number is detected.
    """

    def __init__(self):
        self.entries: dict[Key, Entry] = {}
        self.refused: dict[str, TicketNotice] = {}
        self.conflicts: dict[int, set[str]] = {}
        self._active: dict[TicketId, _ActiveTicket] = {}
        self._digests: dict[int, str] = {}
        self._conflicting: set[TicketId] = set()
        self._buckets = [0] * BUCKETS
        self._watchers: list[Callable[[frozenset[Key]], None]] = []
        self._lists: dict[str, list] = {}
        self._indexes: dict[str, dict[str, Entry]] = {}

    def accept(self, ticket: Ticket, body: bytes = b"") -> bool:
        """Merge a checked ticket into the state.

        :param ticket: a ticket that passed its checks
        :param body: JSON text as published, which is sent to peers; empty for the canonical text
        :return: whether the ticket was new
        """
        canonical = encode_ticket(ticket)
        ticket_id = (ticket.number, xxhash.xxh3_128_hexdigest(canonical))
        if self.knows(ticket_id):
            return False
        self._record_digest(ticket_id)
        changed = self._merge(ticket, ticket_id)
        if changed:
            self._active[ticket_id] = _ActiveTicket(body or canonical, len(changed))
            self._toggle_in_bucket(ticket_id)
            self._invalidate_caches({kind for kind, _ in changed})
        log.info(
            "ticket_accepted",
            number=ticket_id[0],
            digest=ticket_id[1],
            author=ticket.author,
            objects=len(ticket.objects),
            in_force=len(changed),
        )
        self._notify_watchers(changed)
        return True

    def _merge(self, ticket: Ticket, ticket_id: TicketId) -> frozenset[Key]:
        changed = set()
        for item in ticket.objects:
            key = identify_object(item)
            current = self.entries.get(key)
            if current is not None and ticket_id <= (current.number, current.digest):
                continue
            self.entries[key] = Entry(item, *ticket_id)
            changed.add(key)
            if current is not None:
                self._release((current.number, current.digest))
        return frozenset(changed)

    def _release(self, ticket_id: TicketId) -> None:
        active = self._active[ticket_id]
        active.uses -= 1
        if active.uses == 0:
            del self._active[ticket_id]
            self._toggle_in_bucket(ticket_id)

    def _record_digest(self, ticket_id: TicketId) -> None:
        number, digest = ticket_id
        other = self._digests.get(number)
        if other is not None:
            self._conflicting.add(ticket_id)
            self.record_conflict(number, (other, digest))
            return
        self._digests[number] = digest
        if len(self._digests) > MAX_KNOWN_NUMBERS:
            del self._digests[next(iter(self._digests))]

    def record_conflict(self, number: int, digests: Iterable[str]) -> None:
        """Record that different tickets share a number; log an error for each new conflict.

        :param number: the shared number
        :param digests: digests of the tickets
        """
        known = self.conflicts.get(number, set())
        added = set(digests) - known
        if not added:
            return
        for digest in added:
            self._toggle_in_bucket((number, f"conflict {digest}"))
        self.conflicts[number] = known | added
        if len(self.conflicts) > MAX_CONFLICTS:
            lowest = min(self.conflicts)
            for digest in self.conflicts.pop(lowest):
                self._toggle_in_bucket((lowest, f"conflict {digest}"))
                self._conflicting.discard((lowest, digest))
        conflicting = sorted(known | added)
        log.error("ticket_conflict", number=number, digests=conflicting, in_force=conflicting[-1])

    def record_refused(self, refused: TicketNotice) -> bool:
        """Store a refused ticket so that operators can list it.

        :param refused: the ticket's digest, source and faults
        :return: whether the ticket was new
        """
        if refused.digest in self.refused:
            return False
        self.refused[refused.digest] = refused
        if len(self.refused) > MAX_REFUSED:
            del self.refused[next(iter(self.refused))]
        log.error("ticket_refused", source=refused.source, reason=refused.reason[:1000])
        return True

    def watch(self, watcher: Callable[[frozenset[Key]], None]) -> None:
        """Register a function that is called after each change.

        :param watcher: receives the kinds and names of the changed objects
        """
        self._watchers.append(watcher)

    def _notify_watchers(self, changed: frozenset[Key]) -> None:
        if not changed:
            return
        for watcher in self._watchers:
            try:
                watcher(changed)
            except Exception:
                log.exception("watcher_failed", watcher=repr(watcher))

    def digest(self) -> str:
        """Return a digest of the state; entry VMs with the same state return the same digest.

        Refused tickets are left out once some may have been dropped: entry VMs drop different ones.
        """
        total = 0
        if len(self.refused) < MAX_REFUSED:
            for refused in self.refused:
                total ^= xxhash.xxh3_64_intdigest(refused.encode())
        for bucket in self._buckets:
            total ^= bucket
        return f"{total:016x}"

    def list_buckets(self) -> tuple[int, ...]:
        """Return the digest of each bucket of ticket numbers, for a comparison with peers."""
        return tuple(self._buckets)

    def list_ticket_ids(self, buckets: Iterable[int]) -> tuple[list[TicketId], list[TicketId]]:
        """Return the number and digest of each ticket in the given buckets.

        :param buckets: indexes of the buckets
        :return: the active tickets, and the tickets that conflict with another
        """
        chosen = set(buckets)
        active = [ticket_id for ticket_id in self._active if ticket_id[0] % BUCKETS in chosen]
        conflicts = [
            (number, digest)
            for number, digests in self.conflicts.items()
            if number % BUCKETS in chosen
            for digest in sorted(digests)
        ]
        return active, conflicts

    def knows(self, ticket_id: TicketId) -> bool:
        """Return whether a ticket was accepted before.

        :param ticket_id: number and digest of the ticket
        """
        if ticket_id in self._active or ticket_id in self._conflicting:
            return True
        return self._digests.get(ticket_id[0]) == ticket_id[1]

    def get_body(self, ticket_id: TicketId) -> bytes | None:
        """Return the JSON text of an active ticket, ``None`` if the ticket isn't active.

        :param ticket_id: number and digest of the ticket
        """
        active = self._active.get(ticket_id)
        return active.body if active else None

    def _toggle_in_bucket(self, ticket_id: TicketId) -> None:
        text = f"{ticket_id[0]} {ticket_id[1]}".encode()
        self._buckets[ticket_id[0] % BUCKETS] ^= xxhash.xxh3_64_intdigest(text)

    def _invalidate_caches(self, kinds: set[str]) -> None:
        for kind in kinds:
            self._lists.pop(kind, None)
            self._indexes.pop(kind, None)

    def find(self, kind: type[T], name: str) -> T | None:
        """Return an object in force.

        :param kind: class of the object
        :param name: name of the object
        :return: the object, or ``None``
        """
        entry = self.entries.get((kind.__struct_config__.tag, name))
        if entry is None or isinstance(entry.item, Removed):
            return None
        return entry.item

    def list(self, kind: type[T]) -> list[T]:
        """Return all objects of a class in force.

        :param kind: the class
        :return: the objects, sorted by name
        """
        tag = kind.__struct_config__.tag
        found = self._lists.get(tag)
        if found is None:
            found = sorted((entry.item for entry in self._list_entries(tag)), key=_get_name)
            self._lists[tag] = found
        return found.copy()

    def find_customer(self, key_hash: str) -> Customer | None:
        """Return the customer that an API key belongs to.

        If two customers list the same key, the customer set by the higher ticket has it.

        :param key_hash: SHA-256 digest of the key, in hexadecimal
        :return: the customer, or ``None``
        """
        entry = self._index("customer", lambda item: item.key_hashes).get(key_hash)
        return entry.item if entry else None

    def find_pool(self, name: str) -> Pool | None:
        """Return the pool with a model name or alias; a name takes precedence over an alias.

        If two pools list the same alias, the pool set by the higher ticket has it.

        :param name: model name or alias from the request
        :return: the pool, or ``None``
        """
        pool = self.find(Pool, name)
        if pool is not None:
            return pool
        entry = self._index("pool", lambda item: item.aliases).get(name)
        return entry.item if entry else None

    def _index(self, tag: str, list_keys: Callable[[WorldObject], tuple]) -> dict[str, Entry]:
        index = self._indexes.get(tag)
        if index is not None:
            return index
        index = {}
        for entry in self._list_entries(tag):
            for key in list_keys(entry.item):
                other = index.get(key)
                if other is None or _rank_claim(entry) > _rank_claim(other):
                    index[key] = entry
        self._indexes[tag] = index
        return index

    def _list_entries(self, tag: str) -> Iterator[Entry]:
        for key, entry in self.entries.items():
            if key[0] == tag and not isinstance(entry.item, Removed):
                yield entry


def _get_name(item: WorldObject) -> str:
    return item.name


def _rank_claim(entry: Entry) -> tuple[int, str, str]:
    return entry.number, entry.digest, entry.item.name
