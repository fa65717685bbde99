"""Machines: entry VMs and backend servers."""

from typing import Literal

import msgspec

Role = Literal["model", "service"]


class BackendServer(msgspec.Struct, frozen=True, tag="backend", tag_field="kind"):
    """A backend server: a model runner, or a runner of a plain service.

    :ivar name: unique name
    :ivar role: ``model`` or ``service``
    :ivar address: IP number and port, such as ``10.1.0.7:8000``
    :ivar domain: failure domain it stands in
    :ivar pools: names of the models, or of the plain service, that it serves
    :ivar slots: answers that it generates side by side
    :ivar accelerators: accelerators it holds
    :ivar leaving: whether it is to receive no new work
    :ivar fencing: whether it refuses orders that carry an old fencing number
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
    """An entry VM as the platform's list or a peer tells of it.

    :ivar name: name of the VM
    :ivar address: IP number and port of its peer listener
    :ivar domain: failure domain it stands in
    :ivar region: region of the failure domain
    :ivar incarnation: identity of its process, empty where it is not known
    :ivar leaving: whether it is leaving
    """

    name: str
    address: str
    domain: str
    region: str
    incarnation: str = ""
    leaving: bool = False
