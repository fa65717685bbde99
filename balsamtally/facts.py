"""The state in force: for each object, that of the highest accepted ticket that touches it."""

from dataclasses import dataclass
from typing import TypeVar

from balsamtally.tickets import Removed, Ticket, WorldObject, digest_ticket, identify_object

T = TypeVar("T")


@dataclass(frozen=True)
class Entry:
    """One object in force.

    :ivar item: the object
    :ivar number: number of the ticket that set it
    :ivar digest: digest of that ticket
    """

    item: WorldObject
    number: int
    digest: str


class Facts:
    """The objects in force on this entry VM."""

    def __init__(self):
        self.entries: dict[tuple[str, str], Entry] = {}
        self.accepted: dict[tuple[int, str], Ticket] = {}

    def accept(self, ticket: Ticket) -> bool:
        """Merge a checked ticket.

        :param ticket: a ticket that passed its checks
        :return: whether it was new
        """
        order = (ticket.number, digest_ticket(ticket))
        if order in self.accepted:
            return False
        self.accepted[order] = ticket
        for item in ticket.objects:
            key = identify_object(item)
            held = self.entries.get(key)
            if held is None or order > (held.number, held.digest):
                self.entries[key] = Entry(item, *order)
        return True

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
        found = [
            entry.item
            for key, entry in self.entries.items()
            if key[0] == tag and not isinstance(entry.item, Removed)
        ]
        return sorted(found, key=lambda item: item.name)
