"""The choice of a backend server for one call.

Load pattern: bursts of long prompts that share their beginnings, on few runners in several regions.
As long as an answer begins well in time it doesn't matter when; then a call goes where the
beginning of its prompt was read before, and at home unless that saves more than the bytes to
another region cost. Where it would be late, the time decides. Ties break by rendezvous hashing, so
that all entry VMs choose alike.
"""

from collections.abc import Sequence

import msgspec

from balsamtally.calls import Backend
from balsamtally.rendezvous import rank_members

# Time lost to a call in another region, both ways; the users' sheets.
REGION_ROUND_TRIP_S = 0.06
# Part of the target within which the beginning of an answer is well in time.
SAFE_TARGET_SHARE = 0.5
# What time counts that is well in time, and what time beyond it counts.
EARLY_WEIGHT = 0.1
LATENESS_WEIGHT = 3.0
# What a byte to another region counts. The users price 1,000 tokens that are read again like 34 KB
# between regions, which is 0.8 to 1 us a byte by the speed of their engines.
REGION_BYTE_COST_S = 1e-6
# Part of the prompts before a call's that is still to be read; least squares over the users' days
# gave 0.3 to 0.8, since the first of them is partly read.
UNREAD_SHARE = 0.6
# Time to the first event of a short prompt at an idle runner; the same fit gave 28 ms.
FIRST_STEP_S = 0.025
# Time that each running call adds to the tokens of the others; engines' step time per batch slot.
RUNNING_COST_S = 0.002


class Candidate(msgspec.Struct, frozen=True):
    """A backend server as the choice sees it.

    :ivar backend: the backend server
    :ivar at_home: whether it stands in the own region
    :ivar running: calls that run there
    :ivar reading_tokens: prompt tokens that are read there before this call's
    :ivar beside_tokens: prompt tokens that are read there at all
    :ivar memory_tokens: tokens of the calls there
    :ivar fresh_tokens: prompt tokens of this call that it doesn't hold
    :ivar tokens_per_s: prompt tokens that it reads in a second
    :ivar call_s: time that a call takes there besides, in seconds
    :ivar slow_factor: how much slower than its like it was seen to be, 1 or more
    :ivar again_tokens: prompt tokens among the fresh ones that another backend server holds
    :ivar close: streams with a close bound on pauses among the calls that run there
    :ivar region: region that it stands in
    """

    backend: Backend
    at_home: bool
    running: int = 0
    reading_tokens: int = 0
    beside_tokens: int = 0
    memory_tokens: int = 0
    fresh_tokens: int = 0
    tokens_per_s: float = 32_000.0
    call_s: float = 0.0
    slow_factor: float = 1.0
    again_tokens: int = 0
    close: int = 0
    region: str = ""


def count_prefill_tokens(candidate: Candidate) -> int:
    """Return the prompt tokens that are to be read before an answer begins.

    :param candidate: where the call would be sent
    """
    return int(candidate.reading_tokens * UNREAD_SHARE) + candidate.fresh_tokens


def predict_first_event_s(candidate: Candidate) -> float:
    """Return the expected time to the first event of an answer, in seconds.

    :param candidate: where it would be sent
    """
    reading_s = count_prefill_tokens(candidate) / candidate.tokens_per_s
    over = max(0, candidate.running + 1 - candidate.backend.slots)
    waiting_s = over * candidate.call_s / max(1, candidate.backend.slots)
    round_trip_s = 0.0 if candidate.at_home else REGION_ROUND_TRIP_S
    beside_s = FIRST_STEP_S + candidate.running * RUNNING_COST_S
    working_s = reading_s + beside_s + candidate.call_s + waiting_s
    return round_trip_s + working_s * candidate.slow_factor


def compute_cost(candidate: Candidate, target_s: float, size_bytes: int) -> float:
    """Return what sending a call somewhere costs, in weighted seconds.

    :param candidate: where it would be sent
    :param target_s: time left within which its answer should begin, in seconds
    :param size_bytes: size of its body
    """
    first_event_s = predict_first_event_s(candidate)
    late_s = max(0.0, first_event_s - max(target_s, 0.0) * SAFE_TARGET_SHARE)
    read_s = candidate.fresh_tokens / candidate.tokens_per_s
    away_s = 0.0 if candidate.at_home else size_bytes * REGION_BYTE_COST_S
    return EARLY_WEIGHT * first_event_s + LATENESS_WEIGHT * late_s + read_s + away_s


def choose(
    candidates: Sequence[Candidate], target_s: float, size_bytes: int, session: str
) -> Candidate | None:
    """Return where to send a call, ``None`` if there are no candidates.

    :param candidates: backend servers that may be used
    :param target_s: time left within which its answer should begin, in seconds
    :param size_bytes: size of its body
    :param session: what its likes are known by, for ties
    """
    if not candidates:
        return None
    costs = [round(compute_cost(candidate, target_s, size_bytes), 3) for candidate in candidates]
    least = min(costs)
    cheapest = {
        candidate.backend.name: candidate
        for candidate, cost in zip(candidates, costs, strict=True)
        if cost == least
    }
    # Names are hashed for ties only.
    return cheapest[
        rank_members(session, cheapest)[0] if len(cheapest) > 1 else next(iter(cheapest))
    ]
