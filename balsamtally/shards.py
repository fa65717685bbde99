"""Division of a large pool among several coordinators, each with its own runners."""

import math
from collections.abc import Mapping, Sequence

import msgspec

from balsamtally.rendezvous import rank_members

RUNNERS_PER_COORDINATOR = 24
BALANCE = 1.25
MAX_AGE_S = 5.0


class QueueView(msgspec.Struct, frozen=True):
    """What is known of the queue of one coordinator of a pool.

    :ivar queued: requests that wait
    :ivar slots: slots of its runners
    :ivar age_s: age of this knowledge, in seconds
    """

    queued: int
    slots: int
    age_s: float = 0.0


def list_coordinators(pool: str, members: Sequence[str], runners: int) -> list[str]:
    """Return the coordinators of a pool, the first choice first.

    A small pool has one, since one queue serves better than several.

    :param pool: name of the model
    :param members: names of the live entry VMs of the failure domain
    :param runners: number of its runners
    :return: names of the coordinators
    """
    wanted = max(1, math.ceil(runners / RUNNERS_PER_COORDINATOR))
    return rank_members(f"queue/{pool}", members)[:wanted]


def divide_runners(
    pool: str, coordinators: Sequence[str], runners: Sequence[str]
) -> dict[str, list[str]]:
    """Return the runners of each coordinator, by rendezvous with a bounded imbalance.

    :param pool: name of the model
    :param coordinators: names of the coordinators
    :param runners: names of the pool's runners
    :return: names of the runners by coordinator
    """
    divided: dict[str, list[str]] = {name: [] for name in coordinators}
    if not coordinators:
        return divided
    most = math.ceil(BALANCE * len(runners) / len(coordinators))
    for runner in sorted(runners):
        for name in rank_members(f"runner/{pool}/{runner}", coordinators):
            if len(divided[name]) < most:
                divided[name].append(runner)
                break
    return divided


def rank_coordinators(
    request: str, coordinators: Sequence[str], views: Mapping[str, QueueView]
) -> list[str]:
    """Return the coordinators to ask for a request, the first choice first.

    Two are drawn by the request's id; the one with the shorter queue for its slots goes first.
    One of which nothing recent is known counts as empty, so that it is found again.

    :param request: id of the request
    :param coordinators: names of the pool's coordinators
    :param views: what is known of their queues
    """
    ranked = rank_members(f"ask/{request}", coordinators)
    first_two = sorted(ranked[:2], key=lambda name: _measure_queue(views.get(name)))
    return first_two + ranked[2:]


def _measure_queue(view: QueueView | None) -> float:
    if view is None or view.age_s > MAX_AGE_S:
        return 0.0
    return view.queued / max(view.slots, 1)
