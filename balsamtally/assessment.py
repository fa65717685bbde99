"""What a call is worth to a backend server, and what it would find there."""

from dataclasses import dataclass

from balsamtally.backlogs import Load
from balsamtally.calls import Backend, Call, Engine
from balsamtally.errors import BackendLeaving, BalsamtallyError, NoAnswer
from balsamtally.plans import Plan
from balsamtally.prefixes import PrefixCache
from balsamtally.selection import Candidate
from balsamtally.waiting import Room, Waiter, find_needed_s

# A backend server is faulty if it gives no answer in so many times the target.
SILENT_TARGETS = 2.0
# Part of its target for which a call waits for the runner that suits it best.
AFFINITY_PATIENCE = 0.15
# How many times the time is waited besides that another runner takes to read what the first holds:
# a runner's time is lost as well as the call's.
AGAIN_PATIENCE = 2.0


@dataclass(frozen=True)
class Runner:
    """A backend server as it was when it was looked at.

    :ivar backend: the backend server
    :ivar at_home: whether it stands in the own region
    :ivar usable: whether it is neither full nor faulty
    :ivar load: its work
    :ivar slow_factor: how much slower than its like it was seen to be
    :ivar cache: what it holds of prompts
    """

    backend: Backend
    at_home: bool
    usable: bool
    load: Load
    slow_factor: float
    cache: PrefixCache


@dataclass(frozen=True)
class Look:
    """The backend servers of a service at a moment.

    :ivar runners: the open ones
    :ivar at_s: steady clock then, in seconds
    :ivar changes: own changes until then
    """

    runners: list[Runner]
    at_s: float
    changes: int


def find_session(call: Call) -> str:
    """Return what the likes of a call are known by: the last part of its prompt that they share.

    :param call: the call
    """
    if len(call.parts) >= 2:
        return call.parts[-2].name
    return call.parts[-1].name if call.parts else call.id


def is_own_fault(failure: BalsamtallyError, plan: Plan, took_s: float) -> bool:
    """Return whether a failure tells of a faulty backend server.

    One that had little time to answer, or that had begun to leave, isn't faulty for it.

    :param failure: what went wrong
    :param plan: the call's plan
    :param took_s: how long it took, in seconds
    """
    if isinstance(failure, BackendLeaving):
        return False
    return not isinstance(failure, NoAnswer) or took_s >= plan.route.target_s * SILENT_TARGETS


def make_waiter(plan: Plan, work_s: float) -> Waiter:
    """Return how a call ranks among those that wait.

    :param plan: the call's plan
    :param work_s: time that the prompts of its route take to read, in seconds
    """
    return Waiter(
        id=plan.call.id,
        tier=plan.tier,
        urgency=plan.urgency,
        target_at_s=plan.call.arrived_s + plan.route.target_s,
        until_s=plan.until_s,
        answer_tokens=find_answer_tokens(plan.call),
        work_s=work_s,
        needs_s=find_needed_s(work_s, plan.route.target_s),
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


def find_answer_tokens(call: Call) -> int:
    """Return how many tokens an answer is expected to have.

    :param call: the call
    """
    if call.hinted_tokens:
        return min(call.hinted_tokens, call.answer_tokens or call.hinted_tokens)
    return call.answer_tokens // 2


def find_patience_s(target_s: float, other: Candidate) -> float:
    """Return for how long a call waits for the runner that suits it best, in seconds.

    :param target_s: time from its arrival to its target, in seconds
    :param other: the runner that it would be sent to instead
    """
    again_s = other.again_tokens / other.tokens_per_s
    return target_s * AFFINITY_PATIENCE + again_s * AGAIN_PATIENCE
