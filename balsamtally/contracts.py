"""Contracts: request classes, customers, pools, plain services and the policy's weights."""

import msgspec


class RequestClass(msgspec.Struct, frozen=True, tag="class", tag_field="kind"):
    """A request class with its service level and priority tier.

    :ivar name: unique name
    :ivar tier: priority tier, 0 is the highest
    :ivar first_token_ms: target for the first token, in milliseconds
    :ivar between_tokens_ms: target between two tokens, in milliseconds
    :ivar share: part of each pool's slots that the class gets in the long run, 0 to 1
    :ivar max_wait_s: longest time in the queue, in seconds
    :ivar max_queued: most requests queued in one failure domain and pool
    :ivar requests_per_s: limit over all customers, 0 for none
    :ivar preemptible: whether a running answer may be cancelled and resumed later
    :ivar spill: whether it may be served in another failure domain
    """

    name: str
    tier: int
    first_token_ms: float
    between_tokens_ms: float = 74.0
    share: float = 0.02
    max_wait_s: float = 60.0
    max_queued: int = 1000
    requests_per_s: float = 0.0
    preemptible: bool = False
    spill: bool = True


class Customer(msgspec.Struct, frozen=True, tag="customer", tag_field="kind"):
    """A customer.

    :ivar name: unique name
    :ivar key_hashes: SHA-256 digests of its API keys, in hexadecimal
    :ivar classes: request classes open to it; the first is taken where a request names none
    :ivar weight: share within a class, relative to the other customers
    :ivar requests_per_s: limit over all entry VMs, 0 for none
    :ivar tokens_per_s: limit on generated tokens over all entry VMs, 0 for none
    :ivar region_bytes_per_s: limit on bytes between regions, 0 for none
    """

    name: str
    key_hashes: tuple[str, ...]
    classes: tuple[str, ...]
    weight: float = 1.0
    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    region_bytes_per_s: float = 0.0


class Pool(msgspec.Struct, frozen=True, tag="pool", tag_field="kind"):
    """The model runners that serve one model.

    :ivar name: name of the model
    :ivar aliases: other names under which callers may ask for it
    :ivar adapters: adapters that its runners hold
    :ivar version: version of the weights
    :ivar min_runners: fewest runners that placement keeps on the model
    """

    name: str
    aliases: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    min_runners: int = 1


class Operation(msgspec.Struct, frozen=True):
    """An operation of a plain service.

    :ivar name: last part of the path under which callers call it
    :ivar idempotent: whether a call may be repeated
    :ivar timeout_s: longest time for an answer, in seconds
    """

    name: str
    idempotent: bool = False
    timeout_s: float = 10.0


class PlainService(msgspec.Struct, frozen=True, tag="service", tag_field="kind"):
    """A plain service beside the model engines.

    :ivar name: unique name
    :ivar operations: what may be called
    """

    name: str
    operations: tuple[Operation, ...]


class Policy(msgspec.Struct, frozen=True, tag="policy", tag_field="kind"):
    """Weights by which the users value outcomes.

    :ivar name: ``default``
    :ivar live_weight: value of meeting the target of a tier-0 request
    :ivar goodput_weight: value of a generated token that reached its caller
    :ivar waste_weight: cost of a generated token that reached no caller
    :ivar region_byte_weight: cost of a megabyte between regions
    :ivar max_preemptions: most times that one request is preempted
    :ivar retry_share: retries that a pool may add, as a share of its requests
    """

    name: str = "default"
    live_weight: float = 1.0
    goodput_weight: float = 1.0
    waste_weight: float = 1.0
    region_byte_weight: float = 1.0
    max_preemptions: int = 2
    retry_share: float = 0.1
