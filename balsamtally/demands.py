"""What a call asks of the backend servers of its service, in a form that entry VMs can send."""

import msgspec

from balsamtally.calls import Call, PromptPart
from balsamtally.plans import CallProgress, Plan


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """What a call asks of a backend server.

    :ivar request: id of the call
    :ivar route: name of its route
    :ivar service: name of its service
    :ivar version: version of the contracts that it was planned by
    :ivar tier: priority tier, 0 is the highest
    :ivar urgency: rank among all calls, 0 is the first
    :ivar arrived_s: steady clock when it came, in seconds
    :ivar target_s: time within which its answer is to begin, in seconds
    :ivar until_s: steady clock at its deadline, in seconds
    :ivar gap_s: longest pause of its answer that is on time, in seconds, 0 where there is no bound
    :ivar parts: parts of its prompt in order
    :ivar prompt_tokens: tokens of its prompt
    :ivar answer_tokens: tokens that its answer is expected to have
    :ivar size_bytes: size of its body
    :ivar attempt: number of the attempt, from 1 on
    :ivar avoid: names of backend servers that it isn't sent to
    """

    request: str
    route: str
    service: str
    version: int
    tier: int
    urgency: int
    arrived_s: float
    target_s: float
    until_s: float
    gap_s: float = 0.0
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0
    size_bytes: int = 0
    attempt: int = 1
    avoid: tuple[str, ...] = ()

    @property
    def session(self) -> str:
        """What its likes are known by: the last part of its prompt that they share."""
        if len(self.parts) >= 2:
            return self.parts[-2].name
        return self.parts[-1].name if self.parts else self.request

    @property
    def memory_tokens(self) -> int:
        """Tokens that the call takes in a runner's memory."""
        return self.prompt_tokens + self.answer_tokens


def make_demand(plan: Plan, progress: CallProgress) -> Demand:
    """Return what a call asks of the next backend server that it is sent to.

    :param plan: the call's plan
    :param progress: how far it has come
    """
    call, route = plan.call, plan.route
    return Demand(
        request=call.id,
        route=route.name,
        service=plan.service,
        version=plan.version,
        tier=plan.tier,
        urgency=plan.urgency,
        arrived_s=call.arrived_s,
        target_s=route.target_s,
        until_s=plan.until_s,
        gap_s=route.gap_s if route.streams else 0.0,
        parts=call.parts,
        prompt_tokens=call.prompt_tokens,
        answer_tokens=find_answer_tokens(call),
        size_bytes=len(call.body),
        attempt=progress.sent + 1,
        avoid=tuple(progress.avoid),
    )


def shift_times(demand: Demand, by_s: float) -> Demand:
    """Return a demand with its moments moved, as steady clocks of two VMs have nothing in common.

    :param demand: the demand
    :param by_s: how far its moments are moved, in seconds
    """
    return msgspec.structs.replace(
        demand, arrived_s=demand.arrived_s + by_s, until_s=demand.until_s + by_s
    )


def find_answer_tokens(call: Call) -> int:
    """Return how many tokens an answer is expected to have.

    :param call: the call
    """
    if call.hinted_tokens:
        return min(call.hinted_tokens, call.answer_tokens or call.hinted_tokens)
    return call.answer_tokens // 2
