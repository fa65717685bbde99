"""The rate at which a cold server is sent requests, and which entry VMs may decide on it.

A cold server crashes if all entry VMs together send it more requests within a second than its
service publishes, so that no number of entry VMs may decide on it that the limit doesn't allow for.
"""

import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from balsamtally.beats import Beat
from balsamtally.permits import BURST_S, COLD_PERMIT_TTL_S

# Entry VMs that may decide on a cold server at a time: two, while their views differ or each hears
# half of the others.
MAX_DECIDERS = 2
# By how much the times differ that requests sent at one time take to arrive; one way between
# regions takes 0.03 s, and a connection may have to be opened first.
ARRIVAL_SPREAD_S = 0.1
# An entry VM that is silent counts as a member for this time. It's longer than any known partition,
# and a smaller fleet than before costs no more than the use of servers for as long as they're cold.
MEMORY_S = 3600.0
# An entry VM doesn't decide on cold servers for this time after its start. Beats name all VMs that
# are reachable within a second or two.
SETTLE_S = 3.0
# An entry VM that no peer has named as heard for this time may be silent to them.
CONFIRMATION_TTL_S = 5.0
# Below this part of the members of a region more than MAX_DECIDERS could each be in charge.
MIN_SHARE = 1 / MAX_DECIDERS


@dataclass(frozen=True)
class ColdRule:
    """How far cold servers may be loaded beyond their published rate.

    :ivar overage: factor of the published rate
    :ivar slack: requests within a second beyond that
    """

    overage: float = 1.0
    slack: float = 0.0

    def find_limit(self, rate_per_s: float) -> float | None:
        """Return the rate at which the decider on a cold server may grant requests, per second.

        In the worst case each of ``MAX_DECIDERS`` has a full bucket at the start of a second, and
        permits that it granted before are used and arrive within that second too.

        :param rate_per_s: published rate of the service's cold servers
        :return: the rate, ``None`` if the published rate is 0, which means no limit
        """
        if not rate_per_s:
            return None
        each = (rate_per_s * self.overage + self.slack) / MAX_DECIDERS
        longest_s = 1.0 + BURST_S + COLD_PERMIT_TTL_S + ARRIVAL_SPREAD_S
        return max(0.0, min(rate_per_s, (each - 1.0) / longest_s))


@dataclass(frozen=True)
class Member:
    """Another entry VM.

    :ivar domain: its failure domain
    :ivar heard_s: monotonic clock at its last beat, in seconds
    """

    domain: str
    heard_s: float


class ColdMembership:
    """Finds the part of a cold server's limit that this entry VM may spend as its decider.

    Only VMs of the server's region decide, as long as they hear at least half of its VMs and of its
    failure domains, and are heard themselves.

    :param own: a beat of this entry VM
    :param domains: the configured failure domains
    :param find_region: returns the region of a failure domain
    :param has_others: returns whether other entry VMs are configured
    :param list_alive: returns the last beats of the peers that are heard
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self,
        own: Beat,
        domains: Iterable[str],
        find_region: Callable[[str], str],
        has_others: Callable[[], bool],
        list_alive: Callable[[], Collection[Beat]],
        clock: Callable[[], float] = time.monotonic,
    ):
        self._own = own
        self._find_region = find_region
        self._region = find_region(own.domain)
        self._domains = {each for each in domains if find_region(each) == self._region}
        self._has_others = has_others
        self._list_alive = list_alive
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._started_s = clock()
        self._confirmed_s = float("-inf")

    def record_beat(self, beat: Beat) -> None:
        """Record a beat of a peer.

        :param beat: the beat
        """
        now = self._clock()
        if self._own.ip in beat.peers:
            self._confirmed_s = now
        if self._find_region(beat.domain) != self._region:
            return
        if beat.leaving:
            self._members.pop(beat.vm, None)
        else:
            self._members[beat.vm] = Member(beat.domain, now)

    def find_share(self, domain: str) -> float:
        """Return the part of a cold server's limit that this entry VM may spend, from 0 to 1.

        :param domain: failure domain of the server
        """
        now = self._clock()
        if self._find_region(domain) != self._region or now - self._started_s < SETTLE_S:
            return 0.0
        alive = self._list_alive()
        if (alive or self._has_others()) and now - self._confirmed_s > CONFIRMATION_TTL_S:
            return 0.0
        for vm in [vm for vm, each in self._members.items() if now - each.heard_s > MEMORY_S]:
            del self._members[vm]
        heard = {beat.vm for beat in alive if beat.vm in self._members}
        domains = {self._own.domain, *(self._members[vm].domain for vm in heard)}
        share = min(
            (1 + len(heard)) / (1 + len(self._members)),
            len(domains) / len(self._domains | domains),
        )
        return share if share >= MIN_SHARE else 0.0
