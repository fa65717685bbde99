"""Regions and failure domains."""

import msgspec


class FailureDomain(msgspec.Struct, frozen=True, tag="domain", tag_field="kind"):
    """A failure domain with its own entry VMs and backend servers.

    :ivar name: name of the failure domain
    :ivar region: name of the region it lies in
    """

    name: str
    region: str


class RegionLink(msgspec.Struct, frozen=True, tag="region_link", tag_field="kind"):
    """The link between two regions.

    :ivar name: the two regions' names in alphabetical order, joined by ``+``
    :ivar one_way_ms: latency one way in milliseconds
    :ivar bytes_per_s: bytes a second that may be sent over it, 0 for no bound
    """

    name: str
    one_way_ms: float = 30.0
    bytes_per_s: int = 0
