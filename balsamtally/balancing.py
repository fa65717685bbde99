"""Even load of the servers of a plain service: the choice of a server for one call.

Load pattern: many entry VMs place short calls on few servers with few slots. A VM knows its own
calls exactly, but the calls of others only as of their last announcement, in which time others
place about as many calls as they had announced. If each VM took the server that seems idlest, all
would take the same one. So a call is drawn among the servers: each gets the part of the calls to
expect that brings all to the same utilization. The more of the load is known exactly, the nearer
this comes to the idlest server; the less is known, the nearer to parts in proportion to the slots.
Neither depends on the number of VMs.

Servers that cost clearly more, such as those of another region, get calls only if the cheaper ones
have no free slot.
"""

from collections.abc import Sequence

import msgspec

from balsamtally.selection import REGION_ROUND_TRIP_S, Candidate, compute_cost

# Mean age of the announced loads of others: they are sent each 0.1 s and take up to 30 ms.
ANNOUNCED_AGE_S = 0.08
# Time after which a coordinator hears that a call of another VM has ended.
END_KNOWN_S = 0.02
# Costs within this difference count as equal, as in ``selection.choose``, which rounds to it.
EQUAL_COST_S = 0.001
# Time per call until calls have been observed; the published plain services take 23 and 90 ms.
INITIAL_CALL_S = 0.05
# Shortest time per call that is reckoned with.
MIN_CALL_S = 0.001
# Weight of one call in the moving average of a service's time per call.
SMOOTHING = 0.05


class CallTimes(msgspec.Struct, frozen=True):
    """What the estimates of a service's load depend on.

    :ivar call_s: time per call at a server, in seconds
    :ivar end_known_s: time after which the placing VM knows that a call has ended, in seconds
    """

    call_s: float
    end_known_s: float = 0.0


def make_call_times(call_s: float, coordinates: bool) -> CallTimes:
    """Return what the estimates of a service's load depend on.

    :param call_s: time per call at a server, in seconds
    :param coordinates: whether this entry VM places the calls of its region's other VMs
    """
    return CallTimes(max(MIN_CALL_S, call_s), END_KNOWN_S if coordinates else 0.0)


def update_call_s(call_s: float, took_s: float, far: bool) -> float:
    """Return the moving average of the time per call at a server after one more call.

    :param call_s: the average before, in seconds
    :param took_s: time that the call took, in seconds
    :param far: whether the server is in another region
    """
    at_server_s = max(MIN_CALL_S, took_s - (REGION_ROUND_TRIP_S if far else 0.0))
    return call_s + SMOOTHING * (at_server_s - call_s)


def find_full_s(call_s: float, slots: int) -> float:
    """Return for how long a server that refused a call as full is avoided, in seconds.

    One of its calls ends after this time on average. A longer time would send its share of the
    calls to the other servers, which would be full next.

    :param call_s: time per call in seconds
    :param slots: slots of the server
    """
    return call_s / max(1, slots)


def estimate_unseen(candidates: Sequence[Candidate], times: CallTimes) -> float:
    """Return how many calls others have placed on some servers since their last announcement.

    :param candidates: the servers
    :param times: times of the service's calls
    """
    told = sum(candidate.told for candidate in candidates)
    return told * ANNOUNCED_AGE_S / times.call_s


def estimate_busy(candidate: Candidate, times: CallTimes) -> float:
    """Return the estimated calls that take a slot of a server.

    A call counts from when it is placed until its end is known. For a part of this time it is on
    its way, or has ended already.

    :param candidate: the server
    :param times: times of the service's calls
    """
    call_s, known_s = times.call_s, times.call_s + times.end_known_s
    near = candidate.running - candidate.far
    return near * call_s / known_s + candidate.far * call_s / (known_s + REGION_ROUND_TRIP_S)


def divide_calls(busy: Sequence[float], slots: Sequence[float], calls: float) -> list[float]:
    """Divide calls among servers so that they come as near to the same utilization as possible.

    :param busy: calls at each server
    :param slots: slots of each server
    :param calls: number of calls, over 0
    :return: the part of the calls that each server gets; the sum is 1
    """
    order = sorted(zip(busy, slots, strict=True), key=lambda pair: pair[0] / pair[1])
    filled_busy, filled_slots, level = 0.0, 0.0, 0.0
    for taken, size in order:
        if filled_slots and taken / size >= level:
            break
        filled_busy += taken
        filled_slots += size
        level = (filled_busy + calls) / filled_slots
    return [max(0.0, level * size - taken) / calls for taken, size in zip(busy, slots, strict=True)]


def count_slots(candidate: Candidate) -> float:
    """Return the slots of a server, reduced by its observed slowdown.

    :param candidate: the server
    """
    return max(1, candidate.backend.slots) / candidate.slow_factor


def has_free_slot(candidate: Candidate, times: CallTimes) -> bool:
    """Return whether a server seems to have a free slot.

    :param candidate: the server
    :param times: times of the service's calls
    """
    return estimate_busy(candidate, times) < max(1, candidate.backend.slots)


def find_preferred(
    candidates: Sequence[Candidate], target_s: float, size_bytes: int, times: CallTimes
) -> list[Candidate]:
    """Return the servers that a call is drawn among.

    :param candidates: servers that may be used
    :param target_s: time left until the answer should begin, in seconds
    :param size_bytes: size of the call's body
    :param times: times of the service's calls
    """
    idle = [msgspec.structs.replace(candidate, running=0) for candidate in candidates]
    costs = [compute_cost(candidate, target_s, size_bytes) for candidate in idle]
    warm = [not candidate.cold for candidate in candidates]
    ranked = sorted(
        zip(candidates, costs, warm, strict=True), key=lambda each: (not each[2], each[1])
    )
    _, least, first_warm = ranked[0]
    cheapest = [
        candidate
        for candidate, cost, is_warm in ranked
        if is_warm == first_warm and cost <= least + EQUAL_COST_S
    ]
    if any(has_free_slot(candidate, times) for candidate in cheapest):
        return cheapest
    # A call with too little time for another region stays where it may still be on time.
    far_too_late = 0.0 < target_s < REGION_ROUND_TRIP_S
    others = [each for each in candidates if each.at_home or not far_too_late]
    return [each for each in others if has_free_slot(each, times)] or others or list(candidates)


def measure_imbalance(running: Sequence[int]) -> float:
    """Return the calls of the busiest server over the mean of all, 1 if there are no calls.

    :param running: calls that run on each server
    """
    return max(running) * len(running) / sum(running) if any(running) else 1.0


def find_shares(
    candidates: Sequence[Candidate], target_s: float, size_bytes: int, times: CallTimes
) -> list[tuple[Candidate, float]]:
    """Return the servers that a call is drawn among, with the probability of each.

    :param candidates: servers that may be used, at least one
    :param target_s: time left until the answer should begin, in seconds
    :param size_bytes: size of the call's body
    :param times: times of the service's calls
    """
    preferred = find_preferred(candidates, target_s, size_bytes, times)
    busy = [estimate_busy(candidate, times) for candidate in preferred]
    slots = [count_slots(candidate) for candidate in preferred]
    shares = divide_calls(busy, slots, 1.0 + estimate_unseen(preferred, times))
    return list(zip(preferred, shares, strict=True))


def choose_evenly(
    candidates: Sequence[Candidate], target_s: float, size_bytes: int, times: CallTimes, draw: float
) -> Candidate | None:
    """Return the server for a call, ``None`` if there are no candidates.

    :param candidates: servers that may be used
    :param target_s: time left until the answer should begin, in seconds
    :param size_bytes: size of the call's body
    :param times: times of the service's calls
    :param draw: random number from 0 up to, not including, 1
    """
    if not candidates:
        return None
    shares = find_shares(candidates, target_s, size_bytes, times)
    for candidate, share in shares:
        draw -= share
        if draw < 0.0 and share > 0.0:
            return candidate
    # Rounding may leave a rest of the draw.
    return max(shares, key=lambda pair: pair[1])[0]
