"""Contracts: request classes, customers, pools, plain services and the policy."""

import msgspec


class RequestClass(msgspec.Struct, frozen=True, tag="class", tag_field="kind"):
    """A request class with its service level and priority tier.

    :ivar name: unique name
    :ivar tier: priority tier, 0 is the highest
    :ivar first_token_ms: target for the time to first token, in milliseconds
    :ivar between_tokens_ms: target for the inter-token latency, in milliseconds
    :ivar share: long-run fraction of each pool's slots that the class receives, 0 to 1
    :ivar max_wait_s: maximum time in the queue, in seconds
    :ivar max_queued: maximum number of queued requests per failure domain and pool
    :ivar requests_per_s: limit over all customers, 0 for no limit
    :ivar preemptible: whether a running request may be cancelled and resumed later
    :ivar spill: whether its requests may be served in another failure domain
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
    """A customer with its API keys, request classes and limits.

    :ivar name: unique name
    :ivar key_hashes: SHA-256 digests of the API keys, in hexadecimal
    :ivar classes: request classes that the customer may use; the first is the default
    :ivar weight: weight within a request class, relative to the other customers
    :ivar requests_per_s: limit over all entry VMs, 0 for no limit
    :ivar tokens_per_s: limit on generated tokens over all entry VMs, 0 for no limit
    :ivar region_bytes_per_s: limit on bytes between regions, 0 for no limit
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
    :ivar aliases: other names that requests may use for the model
    :ivar adapters: adapters that the pool's runners hold
    :ivar version: version of the model weights
    :ivar min_runners: minimum number of runners that placement keeps on the model
    """

    name: str
    aliases: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    min_runners: int = 1


class Operation(msgspec.Struct, frozen=True):
    """An operation of a plain service.

    :ivar name: last segment of the request path of the operation
    :ivar idempotent: whether a call may be repeated
    :ivar timeout_s: maximum time until the answer, in seconds
    """

    name: str
    idempotent: bool = False
    timeout_s: float = 10.0


class PlainService(msgspec.Struct, frozen=True, tag="service", tag_field="kind"):
    """A plain service, which is not a model.

    :ivar name: unique name
    :ivar operations: operations of the service
    """

    name: str
    operations: tuple[Operation, ...]


class Policy(msgspec.Struct, frozen=True, tag="policy", tag_field="kind"):
    """Weights of outcomes, and limits on preemptions and retries, set by the operators.

    :ivar name: ``default``
    :ivar live_weight: value of meeting the target of a tier-0 request
    :ivar goodput_weight: value of a generated token that is delivered to its caller
    :ivar waste_weight: cost of a generated token that is delivered to no caller
    :ivar region_byte_weight: cost of a megabyte sent between regions
    :ivar max_preemptions: maximum number of preemptions of a request
    :ivar retry_share: maximum retries of a pool, as a fraction of its requests
    """

    name: str = "default"
    live_weight: float = 1.0
    goodput_weight: float = 1.0
    waste_weight: float = 1.0
    region_byte_weight: float = 1.0
    max_preemptions: int = 2
    retry_share: float = 0.1
