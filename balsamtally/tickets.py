"""Change tickets: their format and the checks of it."""

import msgspec
import xxhash

from balsamtally.contracts import Customer, PlainService, Policy, Pool, RequestClass
from balsamtally.errors import TicketInvalid, TicketMalformed
from balsamtally.machines import BackendServer
from balsamtally.zones import FailureDomain, RegionLink

FORMAT = 1
MAX_TICKET_BYTES = 1_000_000


class Removed(msgspec.Struct, frozen=True, tag="removed", tag_field="kind"):
    """The removal of an object.

    :ivar name: name of the removed object
    :ivar of: its kind, such as ``customer``
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
    """A numbered change ticket with the whole new state of each object it touches.

    :ivar format: version of the format
    :ivar number: number of the ticket, 1 or more
    :ivar author: who wrote it
    :ivar note: why
    :ivar objects: the whole new state of each object
    """

    format: int
    number: int
    author: str
    objects: tuple[WorldObject, ...]
    note: str = ""


_decoder = msgspec.json.Decoder(Ticket)


def identify_object(item: WorldObject) -> tuple[str, str]:
    """Return the kind and the name of an object.

    :param item: object of a ticket
    :return: kind and name; a removal has those of what it removes
    """
    if isinstance(item, Removed):
        return item.of, item.name
    return type(item).__struct_config__.tag, item.name


def decode_ticket(body: bytes) -> Ticket:
    """Decode and check a change ticket.

    :param body: JSON text of the ticket
    :return: the ticket
    :raises TicketMalformed: if it is not JSON of the right shape; the text names the place
    :raises TicketInvalid: if it breaks a rule
    """
    if len(body) > MAX_TICKET_BYTES:
        raise TicketMalformed(f"{len(body)} bytes are over the limit of {MAX_TICKET_BYTES}")
    try:
        ticket = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise TicketMalformed(str(error)) from error
    faults = check_ticket(ticket)
    if faults:
        raise TicketInvalid("; ".join(faults))
    return ticket


def check_ticket(ticket: Ticket) -> list[str]:
    """Return the rules that a ticket breaks; they depend on the ticket alone.

    :param ticket: decoded ticket
    :return: a text for each fault, empty if there is none
    """
    faults = []
    if ticket.format != FORMAT:
        faults.append(f"format: {ticket.format} is not {FORMAT}")
    if ticket.number < 1:
        faults.append("number: must be 1 or more")
    if not ticket.objects:
        faults.append("objects: must not be empty")
    seen = set()
    for item in ticket.objects:
        key = identify_object(item)
        if key in seen:
            faults.append(f"objects: {key[0]} {key[1]!r} stands twice")
        seen.add(key)
    return faults


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
