"""Decoding, validation and encoding of change tickets."""

import json
from collections.abc import Iterator
from typing import get_args

import msgspec
import xxhash

from balsamtally.contracts import (
    Customer,
    Operation,
    PlainService,
    Policy,
    Pool,
    RequestClass,
)
from balsamtally.errors import TicketInvalid, TicketMalformed
from balsamtally.machines import BackendServer
from balsamtally.rules import KINDS, MODEL_NAME, check_combination, check_name, check_object
from balsamtally.zones import FailureDomain, RegionLink

FORMAT = 1
MAX_TICKET_BYTES = 1_000_000
MAX_NUMBER = 2**53 - 1
MAX_AUTHOR_CHARS = 200


class Removed(msgspec.Struct, frozen=True, tag="removed", tag_field="kind"):
    """The removal of an object.

    :ivar name: name of the removed object
    :ivar of: kind of the removed object, such as ``customer``
    """

    name: str
    of: str


WorldObject = (
    RequestClass
    | Customer
    | Pool
    | PlainService
    | Policy
    | BackendServer
    | FailureDomain
    | RegionLink
    | Removed
)


class Ticket(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A numbered change ticket with the complete new state of each object that it changes.

    :ivar format: version of the ticket format
    :ivar number: number of the ticket, 1 or more
    :ivar author: author of the ticket
    :ivar note: reason for the change
    :ivar objects: the complete new state of each changed object
    """

    format: int
    number: int
    author: str
    objects: tuple[WorldObject, ...]
    note: str = ""


_decoder = msgspec.json.Decoder(Ticket)
_KINDS = {kind.__struct_config__.tag: kind for kind in get_args(WorldObject)}
_KNOWN_FIELDS = {
    kind: {kind.__struct_config__.tag_field, *kind.__struct_encode_fields__}
    for kind in (Ticket, Operation, *_KINDS.values())
}


def identify_object(item: WorldObject) -> tuple[str, str]:
    """Return the kind and the name of an object.

    :param item: object of a ticket
    :return: kind and name; for a removal, those of the removed object
    """
    if isinstance(item, Removed):
        return item.of, item.name
    return type(item).__struct_config__.tag, item.name


def decode_ticket(body: bytes) -> Ticket:
    """Decode and validate a change ticket.

    :param body: JSON text of the ticket
    :return: the ticket
    :raises TicketMalformed: if the text isn't JSON of the expected shape; the message has the path
        of each fault
    :raises TicketInvalid: if the ticket breaks a rule; the message has the path of each fault
    """
    if len(body) > MAX_TICKET_BYTES:
        raise TicketMalformed(f"the ticket has {len(body)} bytes, the limit is {MAX_TICKET_BYTES}")
    ticket, faults = _decode_shape(body)
    if faults:
        raise TicketMalformed("; ".join(faults))
    faults = check_ticket(ticket)
    if faults:
        raise TicketInvalid("; ".join(faults))
    return ticket


def _decode_shape(body: bytes) -> tuple[Ticket | None, list[str]]:
    try:
        raw = msgspec.json.decode(body)
        faults = find_repeated_keys(body)
        try:
            ticket = _decoder.decode(body)
            return ticket, faults + find_unknown_fields(raw)
        except msgspec.ValidationError:
            return None, faults + check_shape(raw)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise TicketMalformed(str(error)) from error


def find_repeated_keys(body: bytes) -> list[str]:
    """Return a fault for each repeated key of a JSON object.

    :param body: JSON text
    """
    faults = []

    def check_pairs(pairs: list[tuple[str, object]]) -> dict:
        found = dict(pairs)
        if len(found) < len(pairs):
            seen = set()
            for key, _ in pairs:
                if key in seen:
                    faults.append(f"$: the key {key[:80]!r} is repeated in a JSON object")
                seen.add(key)
        return found

    json.loads(body, object_pairs_hook=check_pairs)
    return faults


def find_unknown_fields(raw: dict) -> list[str]:
    """Return a fault for each unknown field, so that misspelt field names are detected.

    :param raw: decoded JSON of a ticket of the expected shape
    """
    faults = _list_unknown(raw, Ticket, "$")
    for index, item in enumerate(raw["objects"]):
        faults += _find_unknown_inside(item, f"$.objects[{index}]")
    return faults


def _find_unknown_inside(item: dict, path: str) -> list[str]:
    found = _KINDS[item["kind"]]
    faults = _list_unknown(item, found, path)
    operations = item.get("operations") if found is PlainService else None
    for index, operation in enumerate(operations if isinstance(operations, list) else ()):
        if isinstance(operation, dict):
            faults += _list_unknown(operation, Operation, f"{path}.operations[{index}]")
    return faults


def _list_unknown(raw: dict, kind: type, path: str) -> list[str]:
    known = _KNOWN_FIELDS[kind]
    return [f"{path}: unknown field {key[:80]!r}" for key in raw if key not in known]


def check_shape(raw: object) -> list[str]:
    """Return all faults of a ticket's shape.

    :param raw: decoded JSON
    :return: messages with the path of each fault, such as
        ``$.objects[3].slots: Expected `int`, got `str```
    """
    if not isinstance(raw, dict):
        return ["$: must be a JSON object"]
    faults = _list_unknown(raw, Ticket, "$") + _check_fields(raw, Ticket, "$", skipped="objects")
    objects = raw.get("objects")
    if not isinstance(objects, list):
        return [*faults, "$.objects: must be a list"]
    for index, item in enumerate(objects):
        faults += _check_object_shape(item, f"$.objects[{index}]")
    return faults


def _check_object_shape(item: object, path: str) -> list[str]:
    if not isinstance(item, dict):
        return [f"{path}: must be a JSON object"]
    kind = item.get("kind")
    if not isinstance(kind, str) or kind not in _KINDS:
        return [f"{path}.kind: must be one of {', '.join(sorted(_KINDS))}"]
    return _find_unknown_inside(item, path) + _check_fields(item, _KINDS[kind], path)


def _check_fields(raw: dict, kind: type, path: str, skipped: str = "") -> list[str]:
    faults = []
    for field in msgspec.structs.fields(kind):
        if field.encode_name == skipped:
            continue
        if field.encode_name not in raw:
            if field.required:
                faults.append(f"{path}.{field.encode_name}: is missing")
            continue
        try:
            msgspec.convert(raw[field.encode_name], field.type)
        except msgspec.ValidationError as error:
            text, _, inner = str(error).partition(" - at `$")
            faults.append(f"{path}.{field.encode_name}{inner.rstrip('`')}: {text}")
    return faults


def check_ticket(ticket: Ticket) -> list[str]:
    """Return the faults of a ticket against the rules, which depend on the ticket alone.

    :param ticket: decoded ticket
    :return: a message for each fault, with its path
    """
    faults = []
    if ticket.format != FORMAT:
        faults.append(f"$.format: {ticket.format} is not supported, must be {FORMAT}")
    if not 1 <= ticket.number <= MAX_NUMBER:
        faults.append(f"$.number: must be from 1 to {MAX_NUMBER}")
    if not 1 <= len(ticket.author) <= MAX_AUTHOR_CHARS:
        faults.append(f"$.author: must have from 1 to {MAX_AUTHOR_CHARS} characters")
    if not ticket.objects:
        faults.append("$.objects: must not be empty")
    seen: dict[tuple[str, str], int] = {}
    for index, item in enumerate(ticket.objects):
        path = f"$.objects[{index}]"
        rules = _check_removed(item) if isinstance(item, Removed) else check_object(item)
        faults += [f"{path}{inner}: {text}" for inner, text in rules]
        key = identify_object(item)
        if seen.setdefault(key, index) != index:
            faults.append(f"{path}: {key[0]} {key[1][:80]!r} is repeated")
    faults += [f"$.objects{inner}: {text}" for inner, text in check_combination(ticket.objects)]
    return faults


def _check_removed(item: Removed) -> Iterator[tuple[str, str]]:
    if item.of not in KINDS:
        yield ".of", f"{item.of[:80]!r} is not one of {', '.join(KINDS)}"
    yield from check_name(".name", item.name, MODEL_NAME)


def encode_ticket(ticket: Ticket) -> bytes:
    """Return the canonical JSON text of a ticket.

    :param ticket: the ticket
    :return: JSON text
    """
    return msgspec.json.encode(ticket)


def digest_ticket(ticket: Ticket) -> str:
    """Return a digest of the ticket's content.

    :param ticket: the ticket
    :return: hexadecimal digest
    """
    return xxhash.xxh3_128_hexdigest(encode_ticket(ticket))
