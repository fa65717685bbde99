"""The requirements of a call on a backend server, in a form that entry VMs can exchange."""

import msgspec

from balsamtally.calls import Call, PromptPart
from balsamtally.plans import CallProgress, Plan


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """The requirements of one attempt of a call on a backend server.

    :ivar request: id of the call
    :ivar route: name of the route
    :ivar service: name of the service
    :ivar version: version of the contracts that the call was planned with
    :ivar tier: priority tier, 0 is the highest
    :ivar urgency: rank among all calls, 0 is the first
    :ivar arrived_s: monotonic clock at the call's arrival, in seconds
    :ivar target_s: time from the arrival within which the answer should begin, in seconds
    :ivar until_s: monotonic clock at the deadline, in seconds
    :ivar gap_s: longest allowed time between two events of the answer, in seconds, 0 if unbounded
    :ivar parts: parts of the prompt in order
    :ivar prompt_tokens: tokens of the prompt
    :ivar answer_tokens: expected tokens of the answer
    :ivar size_bytes: size of the call's body
    :ivar attempt: number of the attempt, from 1 on
    :ivar avoid: names of backend servers that the call must not be sent to
    :ivar customer: name of the customer, empty if the route is public
    :ivar allowed_regions: regions whose backend servers may run the call, ``None`` for all
    :ivar software: version of a backend server's software at which the call's stream goes on,
        ``None`` for any
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
    customer: str = ""
    allowed_regions: frozenset[str] | None = None
    software: str | None = None

    @property
    def session(self) -> str:
        """Key that calls with the same prompt prefix share: its last shared prompt part."""
        if len(self.parts) >= 2:
            return self.parts[-2].name
        return self.parts[-1].name if self.parts else self.request

    @property
    def memory_tokens(self) -> int:
        """Tokens that the call is expected to take in a runner's memory."""
        return self.prompt_tokens + self.answer_tokens

    def allows_software(self, software: str) -> bool:
        """Return whether backend servers of a software version may run the call.

        :param software: the version
        """
        return self.software is None or self.software == software

    def allows_region(self, region: str) -> bool:
        """Return whether backend servers of a region may run the call.

        :param region: name of the region
        """
        return self.allowed_regions is None or region in self.allowed_regions


def make_demand(plan: Plan, progress: CallProgress) -> Demand:
    """Return the requirements of a call's next attempt.

    :param plan: the call's plan
    :param progress: the call's progress
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
        avoid=tuple(progress.avoid | progress.paused),
        customer=plan.customer,
        allowed_regions=plan.allowed_regions,
        software=progress.software,
    )


def shift_times(demand: Demand, by_s: float) -> Demand:
    """Return a demand with its clock times shifted, as the monotonic clocks of two VMs differ.

    :param demand: the demand
    :param by_s: offset that is added to the times, in seconds
    """
    return msgspec.structs.replace(
        demand, arrived_s=demand.arrived_s + by_s, until_s=demand.until_s + by_s
    )


def find_answer_tokens(call: Call) -> int:
    """Return the expected tokens of an answer: the caller's hint, else half of the limit.

    :param call: the call
    """
    if call.hinted_tokens:
        return min(call.hinted_tokens, call.answer_tokens or call.hinted_tokens)
    return call.answer_tokens // 2
