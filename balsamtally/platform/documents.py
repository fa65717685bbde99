"""Decodes entries of the platform's store into contracts and backend servers."""

import re
from typing import Annotated

import msgspec

from balsamtally.calls import Account, Backend, Branch, Engine, Limits, Repeat, Route, Service
from balsamtally.catalog import Contracts, Decoder
from balsamtally.decoding import DECODING_ERRORS, Count, decode
from balsamtally.records import Record, Sequence
from balsamtally.server_limits import MAX_LIMIT_PER_S
from balsamtally.sockets import parse_address

CONTRACTS_KEY = "op/config"
SERVERS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"
# Published states of backend servers, and whether each means that the server is draining.
STATES = {"ready": False, "draining": True}

MAX_MS = 1e9
MAX_WEIGHT = 1e9
# Each call that a backend server runs needs a connection to its port.
MAX_SLOTS = 65_535
# A key of the store has at most 200 bytes; other names are as short.
MAX_NAME_CHARS = 200
MAX_ADDRESS_CHARS = len("255.255.255.255:65535")
# A name that is sent as the value of a header, encoded in Latin-1.
HEADER_VALUE = r"\A(?:[!-~\x80-\xff](?:[ -~\x80-\xff]*[!-~\x80-\xff])?)?\Z"

# Name of a failure domain in the key of an evacuation.
DOMAIN = rf"\A[^/\s\x00-\x1f]{{1,{MAX_NAME_CHARS}}}\Z"

Duration = Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_LIMIT_PER_S)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
HeaderValue = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS, pattern=HEADER_VALUE)]
Address = Annotated[str, msgspec.Meta(max_length=MAX_ADDRESS_CHARS)]


class RouteDocument(msgspec.Struct, frozen=True):
    """A published route.

    ``type`` determines whether a call may be repeated, and whether its answer is streamed.
    """

    name: Name
    hostname: str
    path_prefix: str
    type: str
    timeout_ms: Duration
    target_latency_ms: Duration = 0.0
    priority: Count = 0
    service: Name = ""
    traffic_split: tuple["SplitDocument", ...] = ()
    max_attempts: Count = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: Duration = 0.0
    allowed_regions: tuple[Name, ...] | None = None


class SplitDocument(msgspec.Struct, frozen=True):
    """A service that receives a share of a route's calls."""

    service: Name
    weight: Weight


class EngineDocument(msgspec.Struct, frozen=True):
    """Properties of a service's engines; ``stride`` is the number of tokens in one event."""

    slots: Count = 0
    kv_capacity_tokens: Count = 0
    stride: Count = 0


class ServiceDocument(msgspec.Struct, frozen=True):
    """A published service."""

    name: Name
    health_check: str = ""
    max_connections: Count = 0
    engine: EngineDocument | None = None
    cold_per_s: Rate = 0.0


class LimitsDocument(msgspec.Struct, frozen=True):
    """Limits on callers' requests."""

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 4_194_304
    header_timeout_ms: Duration = 3_000.0
    idle_timeout_ms: Duration = 15_000.0


class TenantDocument(msgspec.Struct, frozen=True):
    """A customer with its API keys in plain text."""

    name: HeaderValue
    api_keys: tuple[str, ...] = ()
    priority: Count | None = None
    allowed_regions: tuple[Name, ...] | None = None


class ContractsDocument(msgspec.Struct, frozen=True):
    """One version of the contracts that the operators publish."""

    version: Count
    routes: tuple[RouteDocument, ...]
    services: tuple[ServiceDocument, ...]
    limits: LimitsDocument = LimitsDocument()
    tenants: tuple[TenantDocument, ...] | None = None


class ServerDocument(msgspec.Struct, frozen=True):
    """The entry that a backend server publishes.

    ``born`` is the start of its incarnation in Unix milliseconds, ``version`` that of its software.
    """

    service: Name
    address: Address
    zone: Name
    state: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    born: Count = 0
    seq: Count = 0
    cold_remaining_ms: float = 0.0
    version: Name = ""


class EvacuationDocument(msgspec.Struct, frozen=True):
    """The value of an evacuation; its key names the failure domain."""


class ContractsSequence(msgspec.Struct, frozen=True):
    """The field that orders the published versions of the contracts."""

    version: Count


class ServerSequence(msgspec.Struct, frozen=True):
    """The fields that order the entries of a backend server."""

    born: Count = 0
    seq: Count = 0


_contracts_sequence = msgspec.json.Decoder(ContractsSequence)
_server_sequence = msgspec.json.Decoder(ServerSequence)
_contracts = msgspec.json.Decoder(ContractsDocument)
_server = msgspec.json.Decoder(ServerDocument)
_evacuation = msgspec.json.Decoder(EvacuationDocument)


def read_contracts(record: Record) -> Contracts | None:
    """Decode the contracts in a record.

    :param record: the record
    :return: the contracts, ``None`` if the record is of another kind or was removed
    :raises ValueError: if the record is invalid
    """
    if record.key != CONTRACTS_KEY or record.value is None:
        return None
    document = decode(_contracts, record.value)
    services = {service.name: make_service(service) for service in document.services}
    accounts = None
    if document.tenants is not None:
        accounts = {
            key: Account(tenant.name, tenant.priority, limit_regions(tenant.allowed_regions))
            for tenant in document.tenants
            for key in tenant.api_keys
        }
    limits = document.limits
    return Contracts(
        version=document.version,
        routes=tuple(make_route(route) for route in document.routes),
        services=services,
        limits=Limits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            head_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
        accounts=accounts,
    )


def make_service(document: ServiceDocument) -> Service:
    """Return the service that a document describes.

    :param document: the document
    """
    engine = None
    if document.engine is not None:
        published = document.engine
        engine = Engine(published.slots, published.kv_capacity_tokens, published.stride)
    return Service(
        name=document.name,
        health_path=document.health_check,
        max_connections=document.max_connections,
        engine=engine,
        cold_rate_per_s=document.cold_per_s,
    )


def limit_regions(published: tuple[str, ...] | None) -> frozenset[str] | None:
    """Return the regions that a route or customer is limited to, ``None`` if there is no limit.

    :param published: the published regions; an empty list means that there is no limit
    """
    return frozenset(published) if published else None


def make_route(document: RouteDocument) -> Route:
    """Return the route that a document describes.

    :param document: the document
    :raises ValueError: if the route names no service or its type is unknown
    """
    branches = tuple(Branch(split.service, split.weight) for split in document.traffic_split)
    if not branches:
        branches = (Branch(document.service),)
    if not all(branch.service for branch in branches):
        raise ValueError(f"route {document.name} names no service")
    return Route(
        name=document.name,
        host=document.hostname.lower(),
        path_prefix=document.path_prefix,
        repeat=find_repeat(document),
        streams=document.type == "streaming",
        timeout_s=document.timeout_ms / 1000,
        target_s=document.target_latency_ms / 1000,
        gap_s=document.gap_target_ms / 1000,
        tier=document.priority,
        max_attempts=document.max_attempts,
        public=document.public,
        branches=branches,
        allowed_regions=limit_regions(document.allowed_regions),
    )


def find_repeat(document: RouteDocument) -> Repeat:
    """Return whether the calls of a route may be repeated, by the route's type.

    :param document: the route
    :raises ValueError: if the type is unknown
    """
    if document.type == "streaming":
        return Repeat.RESUME if document.resumable else Repeat.NEVER
    if document.type in ("idempotent", "non_idempotent"):
        return Repeat.ALWAYS if document.type == "idempotent" else Repeat.NEVER
    raise ValueError(f"route {document.name} has the unknown type {document.type!r}")


def read_backend_name(key: str) -> str | None:
    """Return the name of the backend server of an entry, ``None`` for other entries.

    :param key: key of the entry
    """
    return key.removeprefix(SERVERS_PREFIX) if key.startswith(SERVERS_PREFIX) else None


def read_backend(name: str, value: bytes) -> Backend:
    """Decode the entry of a backend server.

    :param name: name of the backend server
    :param value: value of the entry
    :raises ValueError: if the entry is malformed
    """
    if not name or len(name) > MAX_NAME_CHARS or not re.search(HEADER_VALUE, name):
        raise ValueError("the name can't be sent in a header")
    document = decode(_server, value)
    if not document.service or document.state not in STATES:
        raise ValueError("the service is empty or the state unknown")
    return Backend(
        name=name,
        born=document.born,
        service=document.service,
        address=parse_address(document.address),
        domain=document.zone,
        slots=document.slots,
        leaving=STATES[document.state],
        cold_s=min(max(document.cold_remaining_ms, 0.0), MAX_MS) / 1000,
        software=document.version,
    )


def read_evacuation(record: Record) -> str | None:
    """Return the failure domain of an evacuation, ``None`` for a record of another kind.

    :param record: the record
    :raises ValueError: if the failure domain or the value is malformed
    """
    if not record.key.startswith(EVACUATIONS_PREFIX):
        return None
    domain = record.key.removeprefix(EVACUATIONS_PREFIX)
    if not re.search(DOMAIN, domain):
        raise ValueError("the key names no failure domain")
    if record.value is not None:
        decode(_evacuation, record.value)
    return domain


def read_sequence(key: str, value: bytes) -> Sequence:
    """Return the sequence of an entry: a contracts version, or a server's start and count.

    :param key: key of the entry
    :param value: value of the entry
    :return: the sequence, empty if the value is invalid or contains none
    """
    if key.startswith(EVACUATIONS_PREFIX):
        return ()
    try:
        if key == CONTRACTS_KEY:
            return (decode(_contracts_sequence, value).version,)
        server = decode(_server_sequence, value)
    except DECODING_ERRORS:
        # Refused with a log line as it is applied.
        return ()
    return (server.born, server.seq)


DECODER = Decoder(read_contracts, read_backend_name, read_backend, read_sequence, read_evacuation)
