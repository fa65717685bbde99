"""Settings of a gateway, in a module that can be imported without the gateway itself."""

from collections.abc import Mapping
from dataclasses import dataclass

from balsamtally.budgets import BudgetRule

# Bound for changes where the settings name none, in seconds.
DEFAULT_CHANGE_BOUND_S = 3.0
# Interval of backend servers' heartbeats where the settings name none, above the usual ones.
DEFAULT_HEARTBEAT_S = 3.0
# Memory of the machine where the settings don't state it, that of the smallest machines.
DEFAULT_MEMORY_MB = 88.0
# Without these settings a cold server gets no more than its published rate.
DEFAULT_COLD_OVERAGE = 1.0
DEFAULT_COLD_SLACK = 0.0


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway.

    :ivar vm: name of the entry VM
    :ivar domain: failure domain of the entry VM
    :ivar regions: regions by failure domain
    :ivar caller_address: IP address and port of the listener for callers
    :ivar ready_address: IP address and port of the listener for the balancer's health check
    :ivar peer_address: IP address and port for datagrams and page requests of other entry VMs
    :ivar relay_address: IP address and port at which connections of other entry VMs are relayed to
        backend servers; the port is the same at all VMs
    :ivar seeds: IP addresses at which other entry VMs may run, contacted at the start
    :ivar platform_address: IP address and port of the platform's store of published records
    :ivar grace_s: maximum time that a draining gateway waits for its calls, in seconds
    :ivar budget: retry budget of the whole fleet
    :ivar change_bound_s: shortest time within which a published change must be in force at all VMs,
        in seconds
    :ivar heartbeat_s: time between two heartbeats of a backend server to the platform, in seconds
    :ivar memory_mb: memory that the process may take, in MB
    :ivar cold_overage: factor by which the requests to a cold server within one second may exceed
        its published rate
    :ivar cold_slack: requests within one second that it may get beyond that
    :ivar max_fds: most descriptors of the process, 0 if it isn't known
    :ivar metrics_port: port of a separate metrics listener on the IP address of
        ``caller_address``, 0 for no such listener
    """

    vm: str
    domain: str
    regions: Mapping[str, str]
    caller_address: tuple[str, int]
    ready_address: tuple[str, int]
    peer_address: tuple[str, int]
    relay_address: tuple[str, int]
    seeds: tuple[str, ...]
    platform_address: tuple[str, int]
    grace_s: float
    budget: BudgetRule
    change_bound_s: float = DEFAULT_CHANGE_BOUND_S
    heartbeat_s: float = DEFAULT_HEARTBEAT_S
    memory_mb: float = DEFAULT_MEMORY_MB
    cold_overage: float = DEFAULT_COLD_OVERAGE
    cold_slack: float = DEFAULT_COLD_SLACK
    max_fds: float = 0.0
    metrics_port: int = 0

    def find_region(self, domain: str) -> str:
        """Return the region of a failure domain; an unknown domain counts as a region of its own.

        :param domain: name of the failure domain
        """
        return self.regions.get(domain, domain)
