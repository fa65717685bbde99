"""Records that the platform publishes, stored by key with their eras and revisions.

Records from the platform and from peers merge by era and revision, so their order, repeats, stale
reads and lagging peers don't affect the result. A new era begins as the platform is restored from a
copy: its revisions go back and are given out again. What was known then is compared with the copy
by the sequences that the values themselves contain, so that the copy brings nothing older back.
"""

import enum
from collections.abc import Callable, Iterable

import msgspec

from balsamtally.decoding import Count, Seconds

# Number that a value contains, which increases with each change of it by its writer.
Sequence = tuple[Count, ...]


class Order(enum.IntEnum):
    """Order of what is known of a key at the same sequence; the last one holds."""

    LOST = 0
    VALUE = 1
    REMOVED = 2


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One published key and its value.

    :ivar key: the key
    :ivar revision: revision of the last change
    :ivar value: the value, ``None`` if the key was removed
    :ivar era: era of the revision
    :ivar removed_sequence: sequence of the last value of a removed key, empty if it isn't known
    :ivar lost: whether the key is only missing from a restored copy, so that its writer may write
        the same value again
    """

    key: str
    revision: Count
    value: bytes | None
    era: Count = 0
    removed_sequence: Sequence = ()
    lost: bool = False

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision of the last change."""
        return (self.era, self.revision)


class Update(msgspec.Struct, frozen=True, array_like=True):
    """Answer of one entry VM to another's pull.

    It holds either each change after a revision, removals included, or a listing. A sender that
    doesn't know each removal after the requested revision sends a listing: a key that is neither
    among the records nor among the unchanged keys was removed.

    :ivar complete_revision: revision up to which the sender missed no change
    :ivar records: the records that changed after the requested revision, or all if the era differs
    :ivar grace_s: time for which the sender still delays removals, since the platform has only just
        become reachable again, in seconds
    :ivar era: era of the sender
    :ivar age_ms: time since the platform had no records beyond the sender's, in milliseconds;
        ``None`` from a sender that doesn't know it
    :ivar since: revision after which the records are each change, 0 for a listing; ``None`` from
        a sender that doesn't name it and may not know each removal
    :ivar unchanged_keys: in a listing, keys of the values that didn't change after the requested
        revision
    """

    complete_revision: Count
    records: list[Record]
    grace_s: Seconds = 0.0
    era: Count = 0
    age_ms: Count | None = None
    since: Count | None = None
    unchanged_keys: list[str] = []


def read_no_sequence(key: str, value: bytes) -> Sequence:
    """Return the sequence of a value that contains none.

    :param key: key of the value
    :param value: the value
    """
    return ()


class Records:
    """The records that this entry VM knows; the newest revision of a key in the last era wins.

    :ivar era: the last known era
    :ivar complete_revision: revision of this era up to which no change was missed; single records
        may be newer, since the pages of a listing are read one after the other
    :ivar history_start: revision of this era after which each change up to the complete one is
        known. A key that was removed before may have no record here.
    :param read_sequence: returns the sequence that a value contains, by its key
    """

    def __init__(self, read_sequence: Callable[[str, bytes], Sequence] = read_no_sequence):
        self._records: dict[str, Record] = {}
        self._read_sequence = read_sequence
        self.era = 0
        self.complete_revision = 0
        self.history_start = 0

    @property
    def position(self) -> tuple[int, int]:
        """Era, and revision up to which no change was missed."""
        return (self.era, self.complete_revision)

    def merge(self, records: Iterable[Record]) -> list[Record]:
        """Merge records and return those that changed a value; those of former eras are ignored.

        A value without a record here was removed if all changes up to its revision are known: it
        comes from a sender that knew less.

        :param records: records in any order
        """
        position = self.position
        known = (r for r in records if r.key in self._records or r.position > position)
        return self._merge(known)

    def _merge(self, records: Iterable[Record]) -> list[Record]:
        changed = []
        for record in records:
            if record.era < self.era:
                continue
            held = self._records.get(record.key)
            if held is None or self._replaces(record, held):
                self._records[record.key] = self._keep_sequence(record, held)
                if held is None or held.value != record.value:
                    changed.append(record)
            elif record.era > held.era:
                # The value is newer than the copy, the next change of this era replaces it.
                self._records[record.key] = msgspec.structs.replace(
                    held, era=record.era, revision=record.revision
                )
        return changed

    def _replaces(self, record: Record, held: Record) -> bool:
        """Return whether a record replaces the one that is held under its key."""
        if record.era == held.era and record.revision != held.revision:
            return record.revision > held.revision
        if record.era < held.era or record.value == held.value:
            return record.era > held.era
        if record.value is None and record.era > held.era:
            return True
        # A restored copy, or values that two entry VMs kept in place of its value.
        return self._rank(record) > self._rank(held)

    def _rank(self, record: Record) -> tuple[Sequence, Order]:
        """Return the rank of a value or removal among those of its key."""
        if record.value is not None:
            return self._read_sequence(record.key, record.value), Order.VALUE
        return record.removed_sequence, Order.LOST if record.lost else Order.REMOVED

    def _keep_sequence(self, record: Record, held: Record | None) -> Record:
        """Return a removal with the sequence of the removed value, another record as it is."""
        if record.value is not None or held is None:
            return record
        sequence = max(record.removed_sequence, self._rank(held)[0])
        return msgspec.structs.replace(record, removed_sequence=sequence)

    def merge_listing(
        self, records: Iterable[Record], at: int, era: int = 0, unchanged_keys: Iterable[str] = ()
    ) -> list[Record]:
        """Merge a complete listing; known keys that it lacks were removed.

        :param records: all records of the platform
        :param at: revision at the start of the listing
        :param era: era of the listing; one of a former era is ignored
        :param unchanged_keys: further keys of the listing, whose records are known
        :return: the records that changed a value, removals included
        """
        if (era, at) < self.position:
            return self.merge(records)
        records = list(records)
        listed = {record.key for record in records}.union(unchanged_keys)
        removed = [
            Record(key, at, None, era, lost=held.era < era and self._is_lost(held))
            for key, held in self._records.items()
            if key not in listed
            and held.position < (era, at)
            and (held.value is not None or held.era < era)
        ]
        changed = self._merge([*records, *removed])
        if (era, at) > self.position:
            # Keys that were written and removed since the last complete revision have no record.
            self.history_start = at
        self.record_complete_revision(at, era)
        return changed

    def _is_lost(self, held: Record) -> bool:
        return held.value is not None or held.lost

    def record_complete_revision(self, revision: int, era: int = 0) -> None:
        """Record that all changes up to a revision are known.

        :param revision: the revision
        :param era: its era
        """
        self.era, self.complete_revision = max(self.position, (era, revision))

    def list_since(self, revision: int) -> list[Record]:
        """Return the records that changed after a revision of this era, removals included.

        :param revision: the revision
        """
        since = (self.era, revision)
        return [record for record in self._records.values() if record.position > since]

    def list_unchanged_keys(self, revision: int) -> list[str]:
        """Return the keys of the values that didn't change after a revision of this era.

        :param revision: the revision
        """
        since = (self.era, revision)
        records = self._records.values()
        return [r.key for r in records if r.value is not None and r.position <= since]

    def list_all(self) -> list[Record]:
        """Return all records, removals included."""
        return list(self._records.values())
