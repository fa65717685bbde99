"""Validation rules for the objects of a change ticket; they depend on the ticket alone."""

import ipaddress
import math
import re
from collections.abc import Callable, Iterable, Iterator

from balsamtally.contracts import Customer, PlainService, Policy, Pool, RequestClass
from balsamtally.machines import BackendServer
from balsamtally.zones import FailureDomain, RegionLink

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
MODEL_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,199}")
KEY_HASH = re.compile(r"[0-9a-f]{64}")
KINDS = ("class", "customer", "pool", "service", "policy", "backend", "domain", "region_link")
MAX_TIER = 15
MAX_TARGET_MS = 3_600_000.0
MAX_WAIT_S = 86_400.0
MAX_QUEUED = 1_000_000
MAX_RATE = 1e12
MAX_WEIGHT = 1e6
MAX_SLOTS = 100_000
MAX_TIMEOUT_S = 3600.0
MAX_PREEMPTIONS = 100
MAX_RUNNERS = 100_000
MAX_ONE_WAY_MS = 60_000.0
MAX_PORT = 65_535
SHARE_SUM_TOLERANCE = 1e-9

Faults = Iterator[tuple[str, str]]


def check_object(item: object) -> Faults:
    """Yield the faults of an object.

    :param item: decoded object of a ticket
    :return: pairs of a path within the object, such as ``.slots``, and a message
    """
    yield from RULES[type(item)](item)


def check_name(path: str, name: str, pattern: re.Pattern = NAME) -> Faults:
    """Yield a fault if a name has a character or a length that isn't allowed.

    :param path: path of the name
    :param name: the name
    :param pattern: pattern that the whole name must match
    """
    if not pattern.fullmatch(name):
        yield path, f"{name[:80]!r} does not match {pattern.pattern}"


def check_range(
    path: str, value: float, low: float, high: float, exclusive_low: bool = False
) -> Faults:
    """Yield a fault if a number is out of its range.

    :param path: path of the number
    :param value: the number
    :param low: minimum
    :param high: maximum
    :param exclusive_low: whether the minimum itself is out of range
    """
    if not math.isfinite(value) or not low <= value <= high or (exclusive_low and value == low):
        bound = "more than" if exclusive_low else "at least"
        yield path, f"{value} must be {bound} {low:g} and at most {high:g}"


def check_names(path: str, names: Iterable[str], pattern: re.Pattern = NAME) -> Faults:
    """Yield a fault for each invalid or repeated name of a list.

    :param path: path of the list
    :param names: the names
    :param pattern: pattern that each whole name must match
    """
    seen = set()
    for index, name in enumerate(names):
        yield from check_name(f"{path}[{index}]", name, pattern)
        if name in seen:
            yield f"{path}[{index}]", f"{name[:80]!r} is repeated"
        seen.add(name)


def check_address(path: str, address: str) -> Faults:
    """Yield a fault if an address isn't an IP address and a port.

    :param path: path of the address
    :param address: such as ``10.1.0.7:8000`` or ``[fd00::7]:8000``
    """
    host, _, port = address.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        host = ""
    try:
        ipaddress.ip_address(host)
        is_valid = port.isascii() and port.isdigit() and 1 <= int(port[:6]) <= MAX_PORT
    except ValueError:
        is_valid = False
    if not is_valid:
        yield path, f"{address[:80]!r} is not an IP address and a port such as 10.1.0.7:8000"


def _check_class(item: RequestClass) -> Faults:
    yield from check_name(".name", item.name)
    yield from check_range(".tier", item.tier, 0, MAX_TIER)
    yield from check_range(".first_token_ms", item.first_token_ms, 0, MAX_TARGET_MS, True)
    yield from check_range(".between_tokens_ms", item.between_tokens_ms, 0, MAX_TARGET_MS, True)
    yield from check_range(".share", item.share, 0, 1)
    yield from check_range(".max_wait_s", item.max_wait_s, 0, MAX_WAIT_S, True)
    yield from check_range(".max_queued", item.max_queued, 1, MAX_QUEUED)
    yield from check_range(".requests_per_s", item.requests_per_s, 0, MAX_RATE)


def _check_customer(item: Customer) -> Faults:
    yield from check_name(".name", item.name)
    yield from check_names(".key_hashes", item.key_hashes, KEY_HASH)
    yield from check_names(".classes", item.classes)
    yield from check_range(".weight", item.weight, 0, MAX_WEIGHT, True)
    for field in ("requests_per_s", "tokens_per_s", "region_bytes_per_s"):
        yield from check_range(f".{field}", getattr(item, field), 0, MAX_RATE)


def _check_pool(item: Pool) -> Faults:
    yield from check_name(".name", item.name, MODEL_NAME)
    yield from check_names(".aliases", item.aliases, MODEL_NAME)
    yield from check_names(".adapters", item.adapters, MODEL_NAME)
    if item.name in item.aliases:
        yield ".aliases", "must not contain the name of the pool"
    if item.version:
        yield from check_name(".version", item.version, MODEL_NAME)
    yield from check_range(".min_runners", item.min_runners, 0, MAX_RUNNERS)


def _check_service(item: PlainService) -> Faults:
    yield from check_name(".name", item.name)
    if not item.operations:
        yield ".operations", "must not be empty"
    seen = set()
    for index, operation in enumerate(item.operations):
        path = f".operations[{index}]"
        yield from check_name(f"{path}.name", operation.name)
        yield from check_range(f"{path}.timeout_s", operation.timeout_s, 0, MAX_TIMEOUT_S, True)
        if operation.name in seen:
            yield f"{path}.name", f"{operation.name[:80]!r} is repeated"
        seen.add(operation.name)


def _check_policy(item: Policy) -> Faults:
    if item.name != "default":
        yield ".name", "must be 'default'"
    for field in ("live_weight", "goodput_weight", "waste_weight", "region_byte_weight"):
        yield from check_range(f".{field}", getattr(item, field), 0, MAX_WEIGHT)
    yield from check_range(".max_preemptions", item.max_preemptions, 0, MAX_PREEMPTIONS)
    yield from check_range(".retry_share", item.retry_share, 0, 1)


def _check_backend(item: BackendServer) -> Faults:
    yield from check_name(".name", item.name)
    yield from check_address(".address", item.address)
    yield from check_name(".domain", item.domain)
    yield from check_names(".pools", item.pools, MODEL_NAME)
    if item.role == "service" and len(item.pools) != 1:
        yield ".pools", "must contain exactly one plain service"
    yield from check_range(".slots", item.slots, 1, MAX_SLOTS)
    yield from check_range(".accelerators", item.accelerators, 0, MAX_SLOTS)


def _check_domain(item: FailureDomain) -> Faults:
    yield from check_name(".name", item.name)
    yield from check_name(".region", item.region)


def _check_region_link(item: RegionLink) -> Faults:
    regions = item.name.split("+")
    if len(regions) != 2 or regions != sorted(set(regions)):
        yield ".name", f"{item.name[:80]!r} must be two regions in alphabetical order, joined by +"
    for region in regions:
        yield from check_name(".name", region)
    yield from check_range(".one_way_ms", item.one_way_ms, 0, MAX_ONE_WAY_MS)
    yield from check_range(".bytes_per_s", item.bytes_per_s, 0, MAX_RATE)


RULES: dict[type, Callable[..., Faults]] = {
    RequestClass: _check_class,
    Customer: _check_customer,
    Pool: _check_pool,
    PlainService: _check_service,
    Policy: _check_policy,
    BackendServer: _check_backend,
    FailureDomain: _check_domain,
    RegionLink: _check_region_link,
}


def check_combination(objects: tuple) -> Faults:
    """Yield the faults that concern several objects of a ticket.

    :param objects: the objects
    :return: pairs of a path such as ``[3].address`` and a message
    """
    yield from _check_unique(objects, BackendServer, "address", lambda item: [item.address])
    yield from _check_unique(objects, Customer, "key_hashes", lambda item: set(item.key_hashes))
    yield from _check_unique(objects, Pool, "aliases", lambda item: {item.name, *item.aliases})
    shares = [item.share for item in objects if isinstance(item, RequestClass)]
    if all(0 <= share <= 1 for share in shares) and sum(shares) > 1 + SHARE_SUM_TOLERANCE:
        yield "", f"the classes' shares add up to {sum(shares):g}, more than 1"


def _check_unique(
    objects: tuple, kind: type, field: str, list_values: Callable[..., Iterable[str]]
) -> Faults:
    """Yield a fault for each value that two objects of a kind share."""
    owners: dict[str, str] = {}
    for index, item in enumerate(objects):
        if not isinstance(item, kind):
            continue
        for value in sorted(list_values(item)):
            other = owners.setdefault(value, item.name)
            if other != item.name:
                yield f"[{index}].{field}", f"{value[:80]!r} is already used by {other[:80]!r}"
