"""Which entry VM places the calls of a region, and what is said to ask it for a place."""

from collections.abc import Collection, Iterable, Mapping

import msgspec

from balsamtally.assessment import PlacementTarget
from balsamtally.backlogs import Load, add_loads
from balsamtally.beats import Beat
from balsamtally.demands import Demand
from balsamtally.rendezvous import rank_members

# VMs that may be the coordinator of another region, as long as none of it was heard.
GUESSED_COORDINATORS = 2


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """A request for a place; sent again under its number until it is answered.

    :ivar incarnation: identity of the sender's process
    :ivar number: number of the request there
    :ivar demand: what the call asks; its moments are seconds from the sending
    """

    incarnation: str
    number: int
    demand: Demand


class Withdrawal(msgspec.Struct, frozen=True, array_like=True, tag="withdrawal"):
    """A request for a place that no longer holds.

    :ivar incarnation: identity of the sender's process
    :ivar number: number of the request there
    """

    incarnation: str
    number: int


class Reply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """What a coordinator answers.

    :ivar number: number of the request
    :ivar waits: whether the call waits in line
    :ivar place: the place, ``None`` if there is none
    :ivar refused: why the call can't be answered in time, empty if it can
    :ivar retry_after_s: time to come back after such a refusal, in seconds
    """

    number: int
    waits: bool = False
    place: PlacementTarget | None = None
    refused: str = ""
    retry_after_s: float = 0.0


def rank_coordinators(service: str, beats: Iterable[Beat]) -> list[Beat]:
    """Return the VMs that may place calls, in the order in which they are to.

    Those that are leaving are left out; those that know no records yet come last.

    :param service: the service that the calls go to
    :param beats: last beats of the VMs of a region
    """
    able = {beat.vm: beat for beat in beats if not beat.leaving}
    ranked = [able[name] for name in rank_members(service, able)]
    return sorted(ranked, key=lambda beat: not beat.revision)


def find_likely_coordinators(
    services: Iterable[str], beats: Collection[Beat], claimed: Collection[str]
) -> list[Beat]:
    """Return the VMs of another region that are told the work of the own one.

    :param services: the services
    :param beats: last beats of the VMs of that region
    :param claimed: names of the VMs that told as coordinators lately
    :return: the coordinators that were heard, else those that may be
    """
    heard = [beat for beat in beats if beat.vm in claimed]
    if heard:
        return heard
    ranks = [rank_coordinators(service, beats)[:GUESSED_COORDINATORS] for service in services]
    return [beat for likely in ranks for beat in likely]


def sum_region(work: Mapping[str, Load], claims: Mapping[str, Load]) -> dict[str, Load]:
    """Return what a coordinator tells other regions of the load of backend servers.

    The lines before the region's own backend servers count, as they go before calls of others.

    :param work: work that VMs of the region gave to backend servers, by name
    :param claims: prompts of calls that wait for backend servers of the region, by name
    """
    summed = dict(work)
    for name, load in claims.items():
        summed[name] = add_loads(summed.get(name, Load()), load)
    return summed
