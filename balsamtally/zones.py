"""Regions and failure domains."""

import msgspec


class FailureDomain(msgspec.Struct, frozen=True, tag="domain", tag_field="kind"):
    """A failure domain with its own entry VMs and backend servers.

    :ivar name: name of the failure domain
    :ivar region: name of the region that contains the failure domain
    """

    name: str
    region: str


class RegionLink(msgspec.Struct, frozen=True, tag="region_link", tag_field="kind"):
    """The network link between two regions.

    :ivar name: the two regions' names in alphabetical order, joined by ``+``
    :ivar one_way_ms: one-way latency, in milliseconds
    :ivar bytes_per_s: maximum bytes per second over the link, 0 for no limit
    """

    name: str
    one_way_ms: float = 30.0
    bytes_per_s: int = 0
