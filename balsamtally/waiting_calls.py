"""Calls that wait for a backend server, and the work that waits before each of them."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

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
    :ivar returned: whether the call was refused before, or is a retry of this gateway
    :ivar ahead_tokens: prompt tokens of the waiting calls that come before it in the last pass,
        and that are read at the same backend servers
    :ivar fresh_tokens: prompt tokens that the backend server which holds most of them must read
    """

    demand: Demand
    waiter: Waiter
    chosen: Event
    reservation: Reservation | None = None
    returned: bool = False
    ahead_tokens: int = 0
    fresh_tokens: int = field(init=False)

    def __post_init__(self):
        self.fresh_tokens = self.demand.prompt_tokens

    def update_fresh_tokens(self, candidates: Sequence[Candidate]) -> None:
        """Update the work of the call from what the backend servers hold of its prompt.

        :param candidates: backend servers that may run the call, at least one
        """
        fresh_tokens = min(candidate.fresh_tokens for candidate in candidates)
        if fresh_tokens != self.fresh_tokens:
            self.fresh_tokens = fresh_tokens
            work_tokens = fresh_tokens + self.demand.answer_tokens
            self.waiter = replace(self.waiter, work_tokens=work_tokens)


class WorkAhead:
    """Sums the prompt tokens of waiting calls in the order in which they are placed."""

    def __init__(self):
        self._tokens: dict[frozenset[str] | None, int] = {}
        self._shared_parts: set[str] = set()

    def add(self, waiting: Waiting) -> None:
        """Set the work ahead of a waiting call, and add its own for the calls behind it.

        A call with a regional limit counts only the calls that can't go elsewhere. Shared prompt
        parts count once, since they may be read once for all calls.

        :param waiting: the call
        """
        regions = waiting.demand.allowed_regions
        waiting.ahead_tokens = sum(
            tokens
            for limit, tokens in self._tokens.items()
            if regions is None or (limit is not None and limit <= regions)
        )
        self._tokens[regions] = self._tokens.get(regions, 0) + self._count_least_tokens(waiting)

    def _count_least_tokens(self, waiting: Waiting) -> int:
        parts = waiting.demand.parts
        if not parts:
            return waiting.fresh_tokens
        counted = sum(part.tokens for part in parts[:-1] if part.name in self._shared_parts)
        self._shared_parts.update(part.name for part in parts[:-1])
        own_tokens = min(parts[-1].tokens, waiting.fresh_tokens)
        return max(waiting.fresh_tokens - counted, own_tokens)


def count_before(waiting: Waiting, queue: Iterable[Waiting]) -> int:
    """Return how many waiting calls of a queue are placed before one of them.

    :param waiting: the call
    :param queue: all calls of the queue
    """
    unplaced = [other for other in queue if other.reservation is None]
    ranked = sorted(unplaced, key=lambda each: (each.demand.urgency, each.waiter.target_at_s))
    return ranked.index(waiting)


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
