"""What the platform publishes, held by key with the revision of each entry.

Entries from the platform and from peers merge by revision, so that order, repeats, stale reads and
peers that are behind change nothing.
"""

from collections.abc import Iterable

import msgspec


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One published entry.

    :ivar key: its key
    :ivar revision: revision of its last change
    :ivar value: its bytes, ``None`` where it was removed
    """

    key: str
    revision: int
    value: bytes | None


class Update(msgspec.Struct, frozen=True, array_like=True):
    """What one entry VM tells another of published entries.

    :ivar complete_revision: revision up to which the sender missed no change
    :ivar records: the entries that changed after the revision that was asked for
    :ivar grace_s: time for which the sender still waits with removals, since the platform is just
        back, in seconds
    """

    complete_revision: int
    records: list[Record]
    grace_s: float = 0.0


class Records:
    """The entries that this entry VM knows, newest revision first to win.

    :ivar complete_revision: revision up to which no change was missed; entries may be newer, since
        the pages of a listing are read one after the other
    """

    def __init__(self):
        self._records: dict[str, Record] = {}
        self.complete_revision = 0

    def merge(self, records: Iterable[Record]) -> list[Record]:
        """Merge entries and return those that changed something.

        :param records: entries in any order
        """
        changed = []
        for record in records:
            held = self._records.get(record.key)
            if held is None or record.revision > held.revision:
                self._records[record.key] = record
                if held is None or held.value != record.value:
                    changed.append(record)
        return changed

    def merge_listing(self, records: Iterable[Record], at: int) -> list[Record]:
        """Merge a whole listing; entries that it lacks were removed.

        :param records: all entries of the platform
        :param at: revision that the listing was begun at
        :return: entries that changed something
        """
        records = list(records)
        listed = {record.key for record in records}
        gone = [
            Record(key, at, None)
            for key, held in self._records.items()
            if key not in listed and held.value is not None and held.revision < at
        ]
        changed = self.merge([*records, *gone])
        self.record_complete_revision(at)
        return changed

    def record_complete_revision(self, revision: int) -> None:
        """Take in that all changes up to a revision are known.

        :param revision: the revision
        """
        self.complete_revision = max(self.complete_revision, revision)

    def list_since(self, revision: int) -> list[Record]:
        """Return the entries that changed after a revision, removals among them.

        :param revision: the revision
        """
        return [record for record in self._records.values() if record.revision > revision]
