"""Selection of the coordinators that place calls, and the messages of placement requests."""

from collections.abc import Collection, Iterable, Mapping

import msgspec

from balsamtally.assessment import PlacementTarget
from balsamtally.backlogs import Load, add_loads
from balsamtally.beats import Beat
from balsamtally.decoding import Seconds
from balsamtally.demands import Demand
from balsamtally.rendezvous import rank_members

# Number of likely coordinators per service of another region that are sent this region's load,
# until a coordinator of that region has announced itself.
MAX_GUESSED_COORDINATORS = 2


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """A placement request, resent under the same number until the final reply.

    :ivar incarnation: identity of the sender's process
    :ivar number: number of the request, counted by the sender
    :ivar demand: requirements of the call; its times are in seconds relative to the sending
    """

    incarnation: str
    number: int
    demand: Demand


class Withdrawal(msgspec.Struct, frozen=True, array_like=True, tag="withdrawal"):
    """Withdraws a placement request.

    :ivar incarnation: identity of the sender's process
    :ivar number: number of the request, counted by the sender
    """

    incarnation: str
    number: int


class Reply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """A coordinator's reply to a placement request.

    :ivar number: number of the request
    :ivar waits: whether the call waits in the coordinator's queue; other replies are final
    :ivar place: the placement, ``None`` if there is none
    :ivar refused: why the call cannot meet its deadline, empty if it is not refused
    :ivar retry_after_s: time after which a refused caller may retry, in seconds
    """

    number: int
    waits: bool = False
    place: PlacementTarget | None = None
    refused: str = ""
    retry_after_s: Seconds = 0.0


def rank_coordinators(service: str, beats: Iterable[Beat]) -> list[Beat]:
    """Return the VMs that can coordinate a service, the coordinator first and its successors after.

    VMs that are leaving are excluded; VMs without records come last.

    :param service: the service that the calls go to
    :param beats: last beats of the VMs of one region
    """
    candidates = {beat.vm: beat for beat in beats if not beat.leaving}
    ranked = [candidates[name] for name in rank_members(service, candidates)]
    return sorted(ranked, key=lambda beat: not beat.revision)


def find_likely_coordinators(
    services: Iterable[str], beats: Collection[Beat], announced: Collection[str]
) -> list[Beat]:
    """Return the VMs of another region that are sent the load of the local region.

    :param services: the services
    :param beats: last beats of the VMs of that region
    :param announced: names of the VMs that recently announced themselves as coordinators
    :return: the announced coordinators, or the highest-ranked VMs if there are none
    """
    coordinators = [beat for beat in beats if beat.vm in announced]
    if coordinators:
        return coordinators
    ranks = [rank_coordinators(service, beats)[:MAX_GUESSED_COORDINATORS] for service in services]
    return [beat for likely in ranks for beat in likely]


def sum_region_load(work: Mapping[str, Load], queued: Mapping[str, Load]) -> dict[str, Load]:
    """Return the load per backend server that a coordinator announces to other regions.

    Calls queued for backend servers of the region count too, since they run before calls from other
    regions.

    :param work: load that VMs of the region placed, by name of the backend server
    :param queued: queued prompts for backend servers of the region, by name of the backend server
    """
    summed = dict(work)
    for name, load in queued.items():
        summed[name] = add_loads(summed.get(name, Load()), load)
    return summed
