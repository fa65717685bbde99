"""Operations behind the command-line tool; none of them prints or modifies shared state."""

import hashlib
import secrets
from collections.abc import Iterable, Mapping

import msgspec
import urllib3

from balsamtally.contracts import Customer, PlainService, Policy, Pool, RequestClass
from balsamtally.errors import (
    DaemonUnreachable,
    OperatorError,
    UnknownObject,
)
from balsamtally.machines import BackendServer
from balsamtally.tickets import (
    FORMAT,
    Removed,
    Ticket,
    WorldObject,
    decode_ticket,
    digest_ticket,
    identify_object,
)
from balsamtally.zones import FailureDomain, RegionLink

READ_TIMEOUT_S = 5.0
API_KEY_BYTES = 32
LINK_KEY_BYTES = 32
API_KEY_PREFIX = "bt-"
# Kind and name of an object.
Key = tuple[str, str]

TEMPLATES: dict[str, WorldObject] = {
    "class": RequestClass(name="", tier=1, first_token_ms=1400.0),
    "customer": Customer(name="", key_hashes=(), classes=()),
    "pool": Pool(name=""),
    "service": PlainService(name="", operations=()),
    "policy": Policy(name=""),
    "backend": BackendServer(name="", role="model", address="", domain="", pools=()),
    "domain": FailureDomain(name="", region=""),
    "region_link": RegionLink(name=""),
}


class Change(msgspec.Struct, frozen=True):
    """A difference between two states.

    :ivar kind: kind of the object
    :ivar name: name of the object
    :ivar field: name of the field, ``*`` for the whole object
    :ivar before: former value, ``None`` where the object was absent
    :ivar after: new value, ``None`` where the object is absent
    """

    kind: str
    name: str
    field: str
    before: object
    after: object


class StateInForce(msgspec.Struct, frozen=True):
    """Objects in force, with the numbers of the tickets that set them.

    :ivar objects: object in force by kind and name, including removals
    :ivar numbers: number of the ticket that set the object, by kind and name
    """

    objects: dict[Key, WorldObject]
    numbers: dict[Key, int]

    def next_number(self) -> int:
        """Return the number after the highest one in force."""
        return max(self.numbers.values(), default=0) + 1


def find_faults(body: bytes) -> list[str]:
    """Return every fault of a ticket's text, each with its path in the JSON document.

    :param body: JSON text of the ticket
    :return: a text for each fault, empty if there is none
    """
    try:
        decode_ticket(body)
    except OperatorError as error:
        return str(error).split("; ")
    return []


def merge_tickets(tickets: Iterable[Ticket]) -> StateInForce:
    """Return the state that results from all the tickets.

    :param tickets: checked tickets, in any order
    :return: the state in force
    """
    objects = {}
    numbers = {}
    for ticket in sorted(tickets, key=lambda ticket: (ticket.number, digest_ticket(ticket))):
        for item in ticket.objects:
            key = identify_object(item)
            objects[key] = item
            numbers[key] = ticket.number
    return StateInForce(objects, numbers)


def fetch(daemon: str, path: str) -> object:
    """Read a page of a daemon's operators' listener.

    :param daemon: IP address and port of the listener
    :param path: path of the page
    :return: the decoded JSON
    :raises DaemonUnreachable: if the daemon doesn't answer in time, or answers with another status
        than 200 or 404, or without JSON
    :raises UnknownObject: if the daemon has nothing at the path (status 404)
    """
    try:
        with urllib3.PoolManager(retries=False, timeout=READ_TIMEOUT_S) as http:
            answer = http.request("GET", f"http://{daemon}{path}")
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise DaemonUnreachable(f"the daemon at {daemon} is not in reach: {error}") from error
    if answer.status == 404:
        raise UnknownObject(f"the daemon at {daemon} holds nothing under {path}")
    if answer.status != 200:
        raise DaemonUnreachable(f"the daemon at {daemon} answered {path} with {answer.status}")
    try:
        return msgspec.json.decode(answer.data)
    except msgspec.DecodeError as error:
        raise DaemonUnreachable(f"no balsamtally daemon answers at {daemon}") from error


def fetch_state(daemon: str) -> StateInForce:
    """Read the state in force at a daemon.

    :param daemon: IP address and port of its operators' listener
    :return: the state
    :raises DaemonUnreachable: if the daemon doesn't answer, or answers in an unknown format
    """
    try:
        report = msgspec.convert(fetch(daemon, "/state"), _StatePage)
    except msgspec.ValidationError as error:
        raise DaemonUnreachable(f"no balsamtally daemon answers at {daemon}: {error}") from error
    return StateInForce(
        {(held.kind, held.name): held.item for held in report.objects},
        {(held.kind, held.name): held.number for held in report.objects},
    )


def apply_ticket(state: StateInForce, ticket: Ticket) -> tuple[StateInForce, list[str]]:
    """Apply a ticket to a state, and return warnings about objects that it doesn't change.

    :param state: state in force
    :param ticket: checked ticket
    :return: the new state, and a text for each object for which a later or conflicting ticket is
        in force
    """
    objects = dict(state.objects)
    numbers = dict(state.numbers)
    warnings = []
    for item in ticket.objects:
        key = identify_object(item)
        if numbers.get(key, 0) > ticket.number:
            warnings.append(
                f"{key[0]} {key[1]!r} is unchanged: ticket {numbers[key]} is after {ticket.number}"
            )
        elif numbers.get(key) == ticket.number and objects[key] != item:
            warnings.append(f"{key[0]} {key[1]!r}: another ticket {ticket.number} is in force")
        else:
            objects[key] = item
            numbers[key] = ticket.number
    return StateInForce(objects, numbers), warnings


def find_dangling_references(objects: Iterable[WorldObject]) -> list[str]:
    """Return the references to objects that don't exist.

    :param objects: all objects of the state
    :return: a text for each reference
    """
    present = {identify_object(item) for item in objects if not isinstance(item, Removed)}
    found = []
    for item in objects:
        for field, kind, name in _list_references(item):
            if (kind, name) not in present:
                own_kind, own_name = identify_object(item)
                found.append(f"{own_kind} {own_name!r}: {field}: no {kind} {name!r}")
    return found


def compare_objects(
    before: Mapping[Key, WorldObject], after: Mapping[Key, WorldObject]
) -> list[Change]:
    """Return the differences between two states by object and field.

    :param before: former objects by kind and name
    :param after: new objects by kind and name
    :return: the differences, in the order of kind, name and field
    """
    changes = []
    for key in sorted(before.keys() | after.keys()):
        old = _list_fields(before.get(key))
        new = _list_fields(after.get(key))
        if old is None or new is None:
            if old != new:
                changes.append(Change(*key, "*", old, new))
            continue
        for field in sorted(old.keys() | new.keys()):
            if old.get(field) != new.get(field):
                changes.append(Change(*key, field, old.get(field), new.get(field)))
    return changes


def make_ticket(
    names: Iterable[Key], state: StateInForce, number: int | None, author: str, note: str = ""
) -> Ticket:
    """Return a ticket with the current state of each object, or a template if the object is new.

    :param names: kind and name of each object
    :param state: state in force
    :param number: number of the ticket, ``None`` for the one after the highest in force
    :param author: author of the ticket
    :param note: reason for the ticket
    :return: the ticket, for the author to edit
    :raises UnknownObject: if a kind doesn't exist
    """
    objects = []
    for key in names:
        held = state.objects.get(key)
        if held is None or isinstance(held, Removed):
            if key[0] not in TEMPLATES:
                raise UnknownObject(f"no kind {key[0]!r}; there are {', '.join(TEMPLATES)}")
            held = msgspec.structs.replace(TEMPLATES[key[0]], name=key[1])
        objects.append(held)
    return Ticket(FORMAT, number or state.next_number(), author, tuple(objects), note)


def drain_backend(state: StateInForce, name: str, number: int | None, author: str) -> Ticket:
    """Return a ticket that takes a backend server out of service.

    :param state: state in force
    :param name: name of the backend server
    :param number: number of the ticket, ``None`` for the one after the highest in force
    :param author: author of the ticket
    :return: the ticket with the complete new state of the backend server
    :raises UnknownObject: if the state has no such backend server
    """
    held = state.objects.get(("backend", name))
    if not isinstance(held, BackendServer):
        raise UnknownObject(f"no backend server {name!r} in force")
    leaving = msgspec.structs.replace(held, leaving=True)
    return Ticket(FORMAT, number or state.next_number(), author, (leaving,), f"drain {name}")


def format_ticket(ticket: Ticket) -> str:
    """Return a ticket as indented JSON text with every field written out.

    :param ticket: the ticket
    :return: JSON text
    """
    return msgspec.json.format(msgspec.json.encode(ticket), indent=2).decode() + "\n"


def make_api_key() -> tuple[str, str]:
    """Return a new API key and its hash, which is all that tickets store of the key."""
    key = API_KEY_PREFIX + secrets.token_urlsafe(API_KEY_BYTES)
    return key, hashlib.sha256(key.encode()).hexdigest()


def make_link_key() -> str:
    """Return a new shared key for the links between daemons, in hexadecimal."""
    return secrets.token_hex(LINK_KEY_BYTES)


def tabulate(rows: Iterable[object]) -> str:
    """Format rows as a text table.

    :param rows: structs or mappings
    :return: a heading and a line for each row, with aligned columns
    """
    cells = [msgspec.to_builtins(row) for row in rows]
    columns = list(dict.fromkeys(name for row in cells for name in row))
    lines = [columns, *([_format_cell(row.get(name)) for name in columns] for row in cells)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


class _ObjectInForce(msgspec.Struct):
    kind: str
    name: str
    number: int
    item: WorldObject


class _StatePage(msgspec.Struct):
    objects: list[_ObjectInForce]


def _list_references(item: WorldObject) -> list[tuple[str, str, str]]:
    """Return the field, kind and name of each reference from an object to another."""
    if isinstance(item, Customer):
        return [("classes", "class", name) for name in item.classes]
    if isinstance(item, BackendServer):
        kind = "pool" if item.role == "model" else "service"
        return [("domain", "domain", item.domain), *(("pools", kind, name) for name in item.pools)]
    return []


def _list_fields(item: WorldObject | None) -> dict | None:
    """Return an object's fields, ``None`` if it is absent or removed."""
    if item is None or isinstance(item, Removed):
        return None
    return msgspec.to_builtins(item)


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, str):
        return value or "-"
    return msgspec.json.encode(value).decode()
