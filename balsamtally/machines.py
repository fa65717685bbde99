"""Machines: entry VMs and backend servers."""

from typing import Literal

import msgspec

Role = Literal["model", "service"]


class BackendServer(msgspec.Struct, frozen=True, tag="backend", tag_field="kind"):
    """A backend server: a model runner, or a server of a plain service.

    :ivar name: unique name
    :ivar role: ``model`` or ``service``
    :ivar address: IP address and port, such as ``10.1.0.7:8000``
    :ivar domain: failure domain of the server
    :ivar pools: names of the models, or of the plain service, that the server serves
    :ivar slots: maximum number of requests that run at the same time
    :ivar accelerators: number of accelerators
    :ivar leaving: whether the server is draining and receives no new work
    :ivar fencing: whether the server refuses orders with an outdated fencing number
    """

    name: str
    role: Role
    address: str
    domain: str
    pools: tuple[str, ...]
    slots: int = 8
    accelerators: int = 1
    leaving: bool = False
    fencing: bool = False


class EntryVm(msgspec.Struct, frozen=True):
    """An entry VM, as listed by the platform or announced by a peer.

    :ivar name: name of the VM
    :ivar address: IP address and port of the peer listener
    :ivar domain: failure domain of the VM
    :ivar region: region of the failure domain
    :ivar incarnation: identity of the running daemon process, empty if unknown
    :ivar leaving: whether the VM is draining
    """

    name: str
    address: str
    domain: str
    region: str
    incarnation: str = ""
    leaving: bool = False
