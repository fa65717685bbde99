"""The state in force: for each object, that of the highest accepted ticket that touches it."""

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
Order = tuple[int, str]

BUCKETS = 64
MAX_REMEMBERED = 50_000
MAX_CONFLICTS = 256
MAX_REFUSED = 100


@dataclass(frozen=True, slots=True)
class Entry:
    """One object in force.

    :ivar item: the object
    :ivar number: number of the ticket that set it
    :ivar digest: digest of that ticket
    """

    item: WorldObject
    number: int
    digest: str


@dataclass(slots=True)
class _Held:
    body: bytes
    uses: int


class Facts:
    """The objects in force on this entry VM.

    Only tickets that still set at least one object are held. Of the others, number and digest are
    remembered, so that a second ticket under the same number is noticed.
    """

    def __init__(self):
        self.entries: dict[Key, Entry] = {}
        self.refused: dict[str, TicketNotice] = {}
        self.conflicts: dict[int, set[str]] = {}
        self._held: dict[Order, _Held] = {}
        self._remembered: dict[int, str] = {}
        self._conflicting: set[Order] = set()
        self._buckets = [0] * BUCKETS
        self._watchers: list[Callable[[frozenset[Key]], None]] = []
        self._lists: dict[str, list] = {}
        self._indexes: dict[str, dict[str, Entry]] = {}

    def accept(self, ticket: Ticket, body: bytes = b"") -> bool:
        """Merge a checked ticket.

        :param ticket: a ticket that passed its checks
        :param body: its JSON text as published, which peers get; the canonical one if empty
        :return: whether it was new
        """
        canonical = encode_ticket(ticket)
        order = (ticket.number, xxhash.xxh3_128_hexdigest(canonical))
        if self.knows(order):
            return False
        self._remember(order)
        changed = self._merge(ticket, order)
        if changed:
            self._held[order] = _Held(body or canonical, len(changed))
            self._flip(order)
            self._forget_caches({kind for kind, _ in changed})
        log.info(
            "ticket_accepted",
            number=order[0],
            digest=order[1],
            author=ticket.author,
            objects=len(ticket.objects),
            in_force=len(changed),
        )
        self._tell(changed)
        return True

    def _merge(self, ticket: Ticket, order: Order) -> frozenset[Key]:
        changed = set()
        for item in ticket.objects:
            key = identify_object(item)
            held = self.entries.get(key)
            if held is not None and order <= (held.number, held.digest):
                continue
            self.entries[key] = Entry(item, *order)
            changed.add(key)
            if held is not None:
                self._release((held.number, held.digest))
        return frozenset(changed)

    def _release(self, order: Order) -> None:
        held = self._held[order]
        held.uses -= 1
        if held.uses == 0:
            del self._held[order]
            self._flip(order)

    def _remember(self, order: Order) -> None:
        number, digest = order
        other = self._remembered.get(number)
        if other is not None:
            self._conflicting.add(order)
            self.record_conflict(number, (other, digest))
            return
        self._remembered[number] = digest
        if len(self._remembered) > MAX_REMEMBERED:
            del self._remembered[next(iter(self._remembered))]

    def record_conflict(self, number: int, digests: Iterable[str]) -> None:
        """Take note of different tickets under one number, and raise an alarm if it is news.

        :param number: the number
        :param digests: digests of the tickets
        """
        known = self.conflicts.get(number, set())
        news = set(digests) - known
        if not news:
            return
        for digest in news:
            self._flip((number, f"conflict {digest}"))
        self.conflicts[number] = known | news
        if len(self.conflicts) > MAX_CONFLICTS:
            lowest = min(self.conflicts)
            for digest in self.conflicts.pop(lowest):
                self._flip((lowest, f"conflict {digest}"))
                self._conflicting.discard((lowest, digest))
        held = sorted(known | news)
        log.error("ticket_conflict", number=number, digests=held, in_force=held[-1])

    def record_refused(self, refused: TicketNotice) -> bool:
        """Keep a refused ticket for operators.

        :param refused: the ticket's digest, source and faults
        :return: whether it was new
        """
        if refused.digest in self.refused:
            return False
        self.refused[refused.digest] = refused
        if len(self.refused) > MAX_REFUSED:
            del self.refused[next(iter(self.refused))]
        log.error("ticket_refused", source=refused.source, reason=refused.reason[:1000])
        return True

    def watch(self, watcher: Callable[[frozenset[Key]], None]) -> None:
        """Call a function after each change.

        :param watcher: gets the kinds and names of the changed objects
        """
        self._watchers.append(watcher)

    def _tell(self, changed: frozenset[Key]) -> None:
        if not changed:
            return
        for watcher in self._watchers:
            try:
                watcher(changed)
            except Exception:
                log.exception("watcher_failed", watcher=repr(watcher))

    def digest(self) -> str:
        """Return a digest of the state in force, equal on all entry VMs that agree."""
        total = 0
        for bucket in self._buckets:
            total ^= bucket
        return f"{total:016x}"

    def list_buckets(self) -> tuple[int, ...]:
        """Return one digest for each group of ticket numbers."""
        return tuple(self._buckets)

    def list_ticket_ids(self, buckets: Iterable[int]) -> tuple[list[Order], list[Order]]:
        """Return what the given buckets hold.

        :param buckets: indexes of the buckets
        :return: number and digest of each held ticket, and of each ticket in a conflict
        """
        chosen = set(buckets)
        held = [order for order in self._held if order[0] % BUCKETS in chosen]
        conflicts = [
            (number, digest)
            for number, digests in self.conflicts.items()
            if number % BUCKETS in chosen
            for digest in sorted(digests)
        ]
        return held, conflicts

    def knows(self, order: Order) -> bool:
        """Return whether a ticket was accepted before.

        :param order: its number and digest
        """
        if order in self._held or order in self._conflicting:
            return True
        return self._remembered.get(order[0]) == order[1]

    def get_body(self, order: Order) -> bytes | None:
        """Return the JSON text of a ticket that still sets an object.

        :param order: its number and digest
        """
        held = self._held.get(order)
        return held.body if held else None

    def _flip(self, order: Order) -> None:
        text = f"{order[0]} {order[1]}".encode()
        self._buckets[order[0] % BUCKETS] ^= xxhash.xxh3_64_intdigest(text)

    def _forget_caches(self, kinds: set[str]) -> None:
        for kind in kinds:
            self._lists.pop(kind, None)
            self._indexes.pop(kind, None)

    def find(self, kind: type[T], name: str) -> T | None:
        """Return an object in force.

        :param kind: its class
        :param name: its name
        :return: the object, or ``None``
        """
        entry = self.entries.get((kind.__struct_config__.tag, name))
        if entry is None or isinstance(entry.item, Removed):
            return None
        return entry.item

    def list(self, kind: type[T]) -> list[T]:
        """Return all objects of a class in force, by name.

        :param kind: their class
        :return: the objects
        """
        tag = kind.__struct_config__.tag
        found = self._lists.get(tag)
        if found is None:
            found = sorted((entry.item for entry in self._list_entries(tag)), key=_get_name)
            self._lists[tag] = found
        return found.copy()

    def find_customer(self, key_hash: str) -> Customer | None:
        """Return the customer to whom an API key belongs.

        Where two customers claim a key, the one that the higher ticket set has it.

        :param key_hash: SHA-256 digest of the key, in hexadecimal
        :return: the customer, or ``None``
        """
        entry = self._index("customer", lambda item: item.key_hashes).get(key_hash)
        return entry.item if entry else None

    def find_pool(self, name: str) -> Pool | None:
        """Return the pool of a model name or an alias of it; a name goes before an alias.

        :param name: the name that the caller gave
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
