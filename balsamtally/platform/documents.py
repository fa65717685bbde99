"""Decodes entries of the platform's store into contracts and backend servers."""

import msgspec

from balsamtally.calls import Account, Backend, Branch, Engine, Limits, Repeat, Route, Service
from balsamtally.catalog import Contracts, Decoder
from balsamtally.decoding import decode
from balsamtally.records import Record
from balsamtally.sockets import parse_address

CONTRACTS_KEY = "op/config"
SERVERS_PREFIX = "servers/"
# Published states of backend servers, and whether each means that the server is draining.
STATES = {"ready": False, "draining": True}


class RouteDocument(msgspec.Struct, frozen=True):
    """A published route.

    ``type`` determines whether a call may be repeated, and whether its answer is streamed.
    """

    name: str
    hostname: str
    path_prefix: str
    type: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ""
    traffic_split: tuple["SplitDocument", ...] = ()
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class SplitDocument(msgspec.Struct, frozen=True):
    """A service that receives a share of a route's calls."""

    service: str
    weight: float


class EngineDocument(msgspec.Struct, frozen=True):
    """Properties of a service's engines; ``stride`` is the number of tokens in one event."""

    slots: int = 0
    kv_capacity_tokens: int = 0
    stride: int = 0


class ServiceDocument(msgspec.Struct, frozen=True):
    """A published service."""

    name: str
    health_check: str = ""
    max_connections: int = 0
    engine: EngineDocument | None = None


class LimitsDocument(msgspec.Struct, frozen=True):
    """Limits on callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class TenantDocument(msgspec.Struct, frozen=True):
    """A customer with its API keys in plain text."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class ContractsDocument(msgspec.Struct, frozen=True):
    """One version of the contracts that the operators publish."""

    version: int
    routes: tuple[RouteDocument, ...]
    services: tuple[ServiceDocument, ...]
    limits: LimitsDocument = LimitsDocument()
    tenants: tuple[TenantDocument, ...] | None = None


class ServerDocument(msgspec.Struct, frozen=True):
    """The entry that a backend server publishes.

    ``born`` is the start of its incarnation in Unix milliseconds.
    """

    service: str
    address: str
    zone: str
    state: str
    slots: int
    born: int = 0
    seq: int = 0
    cold_remaining_ms: float = 0.0


_contracts = msgspec.json.Decoder(ContractsDocument)
_server = msgspec.json.Decoder(ServerDocument)


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
            key: Account(tenant.name, tenant.priority)
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
    return Service(document.name, document.health_check, document.max_connections, engine)


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
    document = decode(_server, value)
    if not name or not document.service or document.state not in STATES or document.slots < 0:
        raise ValueError(f"the entry of {name!r} describes no valid backend server")
    return Backend(
        name=name,
        born=document.born,
        service=document.service,
        address=parse_address(document.address),
        domain=document.zone,
        slots=document.slots,
        leaving=STATES[document.state],
    )


DECODER = Decoder(read_contracts, read_backend_name, read_backend)
