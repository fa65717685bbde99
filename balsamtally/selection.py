"""The choice of a backend server for one call.

Load pattern: bursts of long prompts with shared prefixes, on few runners in several regions.

As long as an answer is expected to begin well within its target, the expected time counts little:
the call goes to a runner that has its prompt's prefix in the cache, and stays in the local region
unless the cached prefix saves more than the transfer to another region costs. If the answer would
miss its target, the expected time dominates. Ties are broken by rendezvous hashing, so that all
entry VMs make the same choice.
"""

from collections.abc import Sequence

import msgspec

from balsamtally.calls import Backend
from balsamtally.rendezvous import rank_members

# Round-trip time that a call to another region costs; from the operators' data sheets.
REGION_ROUND_TRIP_S = 0.06
# Share of the target up to which an answer that begins counts as well within the target.
SAFE_TARGET_SHARE = 0.5
# Weights of the expected time to the first event, and of its excess over the safe share.
EARLY_WEIGHT = 0.1
LATENESS_WEIGHT = 3.0
# Cost of a byte sent to another region, in seconds. The operators price 1,000 tokens that are read
# again like 34 KB between regions, which is 0.8 to 1 us per byte at the speed of their engines.
REGION_BYTE_COST_S = 1e-6
# Share of the queued prompt tokens that is still unread, since the first prompt is partly read; a
# least-squares fit over the operators' recorded days gave 0.3 to 0.8.
UNREAD_SHARE = 0.6
# Time to the first event for a short prompt at an idle runner; the same fit gave 28 ms.
FIRST_STEP_S = 0.025
# Time that each running call adds to an engine step, per batch slot.
RUNNING_COST_S = 0.002


class Candidate(msgspec.Struct, frozen=True):
    """A backend server that may be chosen for a call.

    :ivar backend: the backend server
    :ivar at_home: whether it is in the local region
    :ivar running: calls that run on it
    :ivar reading_tokens: prompt tokens queued on it that are read before the call's prompt
    :ivar beside_tokens: all prompt tokens queued on it
    :ivar memory_tokens: tokens that its calls take in memory
    :ivar fresh_tokens: prompt tokens of the call that aren't in its cache
    :ivar tokens_per_s: prefill speed in prompt tokens per second
    :ivar call_s: service time of a call in addition to the prefill, in seconds
    :ivar slow_factor: observed slowdown relative to the expected speed, 1 or more
    :ivar again_tokens: prompt tokens among the fresh ones that another backend server has cached
    :ivar close: running streams with a tight inter-event latency bound
    :ivar region: its region
    :ivar cold: whether it is cold and therefore slow
    :ivar told: calls among the running ones that are known from announcements only and may have
        changed since; counted for plain services
    :ivar far: calls among the running ones that come from another region, of which some are still
        on their way; counted for plain services
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
    cold: bool = False
    told: int = 0
    far: int = 0


def count_prefill_tokens(candidate: Candidate) -> int:
    """Return the prompt tokens that a backend server reads before an answer begins.

    :param candidate: backend server that the call would be sent to
    """
    return int(candidate.reading_tokens * UNREAD_SHARE) + candidate.fresh_tokens


def predict_first_event_s(candidate: Candidate) -> float:
    """Return the expected time to the first event of an answer, in seconds.

    :param candidate: backend server that the call would be sent to
    """
    reading_s = count_prefill_tokens(candidate) / candidate.tokens_per_s
    over = max(0, candidate.running + 1 - candidate.backend.slots)
    waiting_s = over * candidate.call_s / max(1, candidate.backend.slots)
    round_trip_s = 0.0 if candidate.at_home else REGION_ROUND_TRIP_S
    beside_s = FIRST_STEP_S + candidate.running * RUNNING_COST_S
    working_s = reading_s + beside_s + candidate.call_s + waiting_s
    return round_trip_s + working_s * candidate.slow_factor


def compute_cost(candidate: Candidate, target_s: float, size_bytes: int) -> float:
    """Return the cost of sending a call to a backend server, in weighted seconds.

    :param candidate: the backend server
    :param target_s: time left until the answer should begin, in seconds
    :param size_bytes: size of the call's body
    """
    first_event_s = predict_first_event_s(candidate)
    late_s = max(0.0, first_event_s - max(target_s, 0.0) * SAFE_TARGET_SHARE)
    read_s = candidate.fresh_tokens / candidate.tokens_per_s
    transfer_s = 0.0 if candidate.at_home else size_bytes * REGION_BYTE_COST_S
    return EARLY_WEIGHT * first_event_s + LATENESS_WEIGHT * late_s + read_s + transfer_s


def choose(
    candidates: Sequence[Candidate], target_s: float, size_bytes: int, session: str
) -> Candidate | None:
    """Return the cheapest backend server for a call, ``None`` if there are no candidates.

    :param candidates: backend servers that may be used
    :param target_s: time left until the answer should begin, in seconds
    :param size_bytes: size of the call's body
    :param session: key that calls with the same prompt prefix share, for breaking ties
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
    # Names are hashed only if there is a tie.
    return cheapest[
        rank_members(session, cheapest)[0] if len(cheapest) > 1 else next(iter(cheapest))
    ]
