"""Calls that wait for a backend server, and the work that waits before each of them."""

from dataclasses import dataclass

import msgspec
from gevent.event import Event

from balsamtally.assessment import PlacementTarget
from balsamtally.backlogs import URGENCIES, LoadCounter, Work
from balsamtally.demands import Demand
from balsamtally.selection import Candidate
from balsamtally.waiting import Waiter


@dataclass(frozen=True)
class Reservation:
    """The placement of a call, with its work counted at the backend server.

    :ivar place: the placement target
    :ivar work: the counted work
    """

    place: PlacementTarget
    work: Work


@dataclass
class Waiting:
    """A call that waits for a backend server.

    :ivar demand: requirements of the call
    :ivar waiter: what its rank in the queue depends on
    :ivar chosen: set once a backend server is chosen
    :ivar reservation: the placement of the call, ``None`` while it waits
    """

    demand: Demand
    waiter: Waiter
    chosen: Event
    reservation: Reservation | None = None


def add_waiting_load(candidate: Candidate, waiting_loads: dict[str, LoadCounter]) -> Candidate:
    """Return a candidate whose backlog includes the prompts that wait for its backend server.

    :param candidate: the candidate
    :param waiting_loads: prompts of waiting calls, by name of the backend server
    """
    load = waiting_loads.get(candidate.backend.name)
    if load is None:
        return candidate
    tokens = sum(load.reading)
    return msgspec.structs.replace(
        candidate,
        reading_tokens=candidate.reading_tokens + tokens,
        beside_tokens=candidate.beside_tokens + tokens,
    )


def spread_loads(
    demands: list[Demand], names: list[str], waiting_loads: dict[str, LoadCounter]
) -> None:
    """Spread the prompts of waiting calls evenly over backend servers.

    :param demands: requirements of the calls
    :param names: names of the backend servers
    :param waiting_loads: prompts of waiting calls by name of the backend server; the prompts of
        these calls are added
    """
    for demand in demands if names else ():
        rank = min(demand.urgency, URGENCIES - 1)
        for name in names:
            reading = waiting_loads.setdefault(name, LoadCounter()).reading
            reading[rank] += demand.prompt_tokens // len(names)
