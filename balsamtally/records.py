"""Records that the platform publishes, stored by key with their revisions.

Records from the platform and from peers merge by revision, so their order, repeats, stale reads and
lagging peers don't affect the result.
"""

from collections.abc import Iterable

import msgspec

from balsamtally.decoding import Count, Seconds


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One published key and its value.

    :ivar key: the key
    :ivar revision: revision of the last change
    :ivar value: the value, ``None`` if the key was removed
    """

    key: str
    revision: Count
    value: bytes | None


class Update(msgspec.Struct, frozen=True, array_like=True):
    """Answer of one entry VM to another's pull.

    :ivar complete_revision: revision up to which the sender missed no change
    :ivar records: the records that changed after the requested revision
    :ivar grace_s: time for which the sender still delays removals, since the platform has only just
        become reachable again, in seconds
    """

    complete_revision: Count
    records: list[Record]
    grace_s: Seconds = 0.0


class Records:
    """The records that this entry VM knows; the newest revision of a key wins.

    :ivar complete_revision: revision up to which no change was missed; single records may be newer,
        since the pages of a listing are read one after the other
    """

    def __init__(self):
        self._records: dict[str, Record] = {}
        self.complete_revision = 0

    def merge(self, records: Iterable[Record]) -> list[Record]:
        """Merge records and return those that changed a value.

        :param records: records in any order
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
        """Merge a complete listing; known keys that it lacks were removed.

        :param records: all records of the platform
        :param at: revision at the start of the listing
        :return: the records that changed a value, removals included
        """
        records = list(records)
        listed = {record.key for record in records}
        removed = [
            Record(key, at, None)
            for key, held in self._records.items()
            if key not in listed and held.value is not None and held.revision < at
        ]
        changed = self.merge([*records, *removed])
        self.record_complete_revision(at)
        return changed

    def record_complete_revision(self, revision: int) -> None:
        """Record that all changes up to a revision are known.

        :param revision: the revision
        """
        self.complete_revision = max(self.complete_revision, revision)

    def list_since(self, revision: int) -> list[Record]:
        """Return the records that changed after a revision, removals included.

        :param revision: the revision
        """
        return [record for record in self._records.values() if record.revision > revision]
