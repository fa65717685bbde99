"""Conversion of candidates and demands into placement targets, capacities and queue entries."""

import msgspec

from balsamtally.calls import Engine
from balsamtally.decoding import Count, Seconds
from balsamtally.demands import Demand
from balsamtally.selection import Candidate, count_prefill_tokens, predict_first_event_s
from balsamtally.waiting import RunnerCapacity, Waiter, find_lead_time_s

# The answers of a runner with at least this slowdown don't count as samples of the engine speed.
NORMAL_FACTOR = 1.5


class PlacementTarget(msgspec.Struct, frozen=True, array_like=True):
    """The backend server that a call is sent to, with its state at the time of the choice.

    :ivar backend: name of the backend server
    :ivar born: start of its incarnation in Unix milliseconds
    :ivar first_event_s: expected time to the first event of the answer, in seconds
    :ivar normal_speed_s: the same time for a runner of normal speed, in seconds
    :ivar measured_tokens: prompt tokens read until the first event, 0 if the answer isn't a valid
        sample of the engine speed
    :ivar fresh_tokens: prompt tokens of the call that aren't in the backend server's cache
    :ivar again_tokens: tokens among these that another backend server has cached
    :ivar reading_tokens: queued prompt tokens that are read before the call's prompt
    :ivar beside_tokens: all queued prompt tokens
    :ivar running: calls that run on the backend server
    :ivar close: whether the answer is a stream with a tight inter-event latency bound
    :ivar at_home: whether it is in the region of the entry VM that placed the call
    :ivar told_by: peers and coordinators whose reported work that VM took into account
    :ivar permitted: whether that VM used a permit, as the backend server limits its requests
    """

    backend: str
    born: Count
    first_event_s: Seconds
    normal_speed_s: Seconds
    measured_tokens: int
    fresh_tokens: int
    again_tokens: int
    reading_tokens: int
    beside_tokens: int
    running: int
    close: bool
    at_home: bool
    told_by: int = 0
    permitted: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Identity of the backend server's incarnation."""
        return (self.backend, self.born)


def make_placement_target(
    candidate: Candidate, close: bool, told_by: int, permitted: bool = False
) -> PlacementTarget:
    """Return the placement target for a chosen backend server.

    :param candidate: the chosen backend server
    :param close: whether the answer is a stream with a tight inter-event latency bound
    :param told_by: peers and coordinators whose reported work was taken into account
    :param permitted: whether a permit was used
    """
    first_event_s = predict_first_event_s(candidate)
    measured = candidate.at_home and candidate.slow_factor < NORMAL_FACTOR
    return PlacementTarget(
        backend=candidate.backend.name,
        born=candidate.backend.born,
        first_event_s=first_event_s,
        normal_speed_s=first_event_s / candidate.slow_factor,
        measured_tokens=count_prefill_tokens(candidate) if measured else 0,
        fresh_tokens=candidate.fresh_tokens,
        again_tokens=candidate.again_tokens,
        reading_tokens=candidate.reading_tokens,
        beside_tokens=candidate.beside_tokens,
        running=candidate.running,
        close=close,
        at_home=candidate.at_home,
        told_by=told_by,
        permitted=permitted,
    )


def make_waiter(demand: Demand, prefill_s: float) -> Waiter:
    """Return the queue entry of a call.

    :param demand: requirements of the call
    :param prefill_s: average prefill time of the prompts of its route, in seconds
    """
    return Waiter(
        id=demand.request,
        tier=demand.tier,
        urgency=demand.urgency,
        target_at_s=demand.arrived_s + demand.target_s,
        until_s=demand.until_s,
        answer_tokens=demand.answer_tokens,
        prefill_s=prefill_s,
        lead_time_s=find_lead_time_s(prefill_s, demand.target_s),
        customer=demand.customer,
        work_tokens=demand.prompt_tokens + demand.answer_tokens,
        target_s=demand.target_s,
    )


def make_capacity(candidate: Candidate, engine: Engine | None) -> RunnerCapacity:
    """Return the occupancy and limits of a model runner.

    :param candidate: the runner
    :param engine: published properties of its engine, ``None`` if there are none
    """
    return RunnerCapacity(
        reading_s=candidate.reading_tokens / candidate.tokens_per_s * candidate.slow_factor,
        running=candidate.running,
        slots=candidate.backend.slots,
        memory_tokens=candidate.memory_tokens,
        memory_limit_tokens=engine.memory_tokens if engine is not None else 0,
    )
