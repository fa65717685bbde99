"""What a call is worth to a backend server, and what it would find there."""

import msgspec

from balsamtally.calls import Engine
from balsamtally.demands import Demand
from balsamtally.selection import Candidate, count_unread, predict_first_event_s
from balsamtally.waiting import Room, Waiter, find_needed_s

# A runner that is slower than this beside its like tells nothing of the speed of the others.
NORMAL_FACTOR = 1.5


class PlacementTarget(msgspec.Struct, frozen=True, array_like=True):
    """The backend server that a call goes to, and what is known of it then.

    :ivar backend: name of the backend server
    :ivar born: start of its incarnation in Unix milliseconds
    :ivar first_s: expected time to the beginning of the answer, in seconds
    :ivar normal_s: the same for a runner of normal pace
    :ivar telling_tokens: prompt tokens whose reading tells the speed of engines, 0 if none does
    :ivar fresh_tokens: prompt tokens of the call that it doesn't hold
    :ivar again_tokens: those among them that another backend server holds
    :ivar reading_tokens: prompt tokens that are read there before the call's
    :ivar beside_tokens: prompt tokens that are read there at all
    :ivar running: calls that run there
    :ivar close: whether the answer is a stream with a close bound on pauses
    :ivar at_home: whether it stands in the region of the entry VM that gave the place
    :ivar told_by: how many peers and coordinators had told that VM of their work
    """

    backend: str
    born: int
    first_s: float
    normal_s: float
    telling_tokens: int
    fresh_tokens: int
    again_tokens: int
    reading_tokens: int
    beside_tokens: int
    running: int
    close: bool
    at_home: bool
    told_by: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Identity of the backend server's incarnation."""
        return (self.backend, self.born)


def make_placement_target(candidate: Candidate, close: bool, told_by: int) -> PlacementTarget:
    """Return the place that a call was given.

    :param candidate: the backend server that was chosen
    :param close: whether the answer is a stream with a close bound on pauses
    :param told_by: how many peers and coordinators told of the work that was counted
    """
    first_s = predict_first_event_s(candidate)
    telling = candidate.at_home and candidate.slow_factor < NORMAL_FACTOR
    return PlacementTarget(
        backend=candidate.backend.name,
        born=candidate.backend.born,
        first_s=first_s,
        normal_s=first_s / candidate.slow_factor,
        telling_tokens=count_unread(candidate) if telling else 0,
        fresh_tokens=candidate.fresh_tokens,
        again_tokens=candidate.again_tokens,
        reading_tokens=candidate.reading_tokens,
        beside_tokens=candidate.beside_tokens,
        running=candidate.running,
        close=close,
        at_home=candidate.at_home,
        told_by=told_by,
    )


def make_waiter(demand: Demand, work_s: float) -> Waiter:
    """Return how a call ranks among those that wait.

    :param demand: what the call asks
    :param work_s: time that the prompts of its route take to read, in seconds
    """
    return Waiter(
        id=demand.request,
        tier=demand.tier,
        urgency=demand.urgency,
        target_at_s=demand.arrived_s + demand.target_s,
        until_s=demand.until_s,
        answer_tokens=demand.answer_tokens,
        work_s=work_s,
        needs_s=find_needed_s(work_s, demand.target_s),
    )


def make_room(candidate: Candidate, engine: Engine | None) -> Room:
    """Return what a model runner has before it.

    :param candidate: the runner
    :param engine: what is published of its engine, ``None`` where nothing is
    """
    return Room(
        reading_s=candidate.reading_tokens / candidate.tokens_per_s * candidate.slow_factor,
        running=candidate.running,
        slots=candidate.backend.slots,
        memory_tokens=candidate.memory_tokens,
        memory_limit_tokens=engine.memory_tokens if engine is not None else 0,
    )
