"""Sharding of a large pool among several coordinators, each with its own runners."""

import math
from collections.abc import Mapping, Sequence

import msgspec

from balsamtally.rendezvous import rank_members

RUNNERS_PER_COORDINATOR = 24
MAX_IMBALANCE = 1.25
MAX_VIEW_AGE_S = 5.0


class QueueView(msgspec.Struct, frozen=True):
    """A snapshot of the queue of one coordinator of a pool.

    :ivar queued: number of waiting requests
    :ivar slots: slots of the coordinator's runners
    :ivar age_s: age of the snapshot, in seconds
    """

    queued: int
    slots: int
    age_s: float = 0.0


def list_coordinators(pool: str, members: Sequence[str], runners: int) -> list[str]:
    """Return the coordinators of a pool, in order of preference.

    A pool of up to ``RUNNERS_PER_COORDINATOR`` runners has a single coordinator, since one queue
    uses the slots better than several queues.

    :param pool: name of the model
    :param members: names of the live entry VMs of the failure domain
    :param runners: number of runners of the pool
    :return: names of the coordinators
    """
    count = max(1, math.ceil(runners / RUNNERS_PER_COORDINATOR))
    return rank_members(f"queue/{pool}", members)[:count]


def divide_runners(
    pool: str, coordinators: Sequence[str], runners: Sequence[str]
) -> dict[str, list[str]]:
    """Assign the runners to coordinators by rendezvous hashing with bounded loads.

    :param pool: name of the model
    :param coordinators: names of the coordinators
    :param runners: names of the pool's runners
    :return: names of the runners by coordinator
    """
    divided: dict[str, list[str]] = {name: [] for name in coordinators}
    if not coordinators:
        return divided
    limit = math.ceil(MAX_IMBALANCE * len(runners) / len(coordinators))
    for runner in sorted(runners):
        for name in rank_members(f"runner/{pool}/{runner}", coordinators):
            if len(divided[name]) < limit:
                divided[name].append(runner)
                break
    return divided


def rank_coordinators(
    request: str, coordinators: Sequence[str], views: Mapping[str, QueueView]
) -> list[str]:
    """Return the coordinators to ask for a request, in order of preference.

    The choice is between two coordinators picked by a hash of the request's id: the one with
    fewer queued requests per slot comes first. A coordinator without a recent view counts as
    empty, so that it is asked again.

    :param request: id of the request
    :param coordinators: names of the pool's coordinators
    :param views: snapshots of their queues, by name of the coordinator
    """
    ranked = rank_members(f"ask/{request}", coordinators)
    first_two = sorted(ranked[:2], key=lambda name: _measure_queue_per_slot(views.get(name)))
    return first_two + ranked[2:]


def _measure_queue_per_slot(view: QueueView | None) -> float:
    if view is None or view.age_s > MAX_VIEW_AGE_S:
        return 0.0
    return view.queued / max(view.slots, 1)
