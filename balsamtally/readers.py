"""Selection of the entry VMs that read the platform for their failure domain.

Load pattern: hundreds of entry VMs, a few changes per second. Each call to the platform is billed,
every watch returns with each change, and peers pass records on within a fraction of a second
anyway. So one VM of each failure domain watches, the first by rendezvous hashing over the live
peers. There is no vote: two readers at a time cost a few calls, and a VM that knows of no reader or
lags behind its peers reads the platform itself.
"""

import enum
from collections.abc import Sequence

from balsamtally.beats import Beat
from balsamtally.rendezvous import rank_members

TASK = "read the platform"
READERS_PER_DOMAIN = 1
# A VM whose peers have had newer records for this long reads the platform itself. A pull takes
# 0.3 s at most, and the shortest documented bound for the propagation of a change is 3 s.
MAX_LAG_S = 1.0


class PlatformReadState(enum.IntEnum):
    """Whether an entry VM reads the platform.

    ``RESTING``: it relies on other readers; ``READING``: it reads, and a recent call succeeded;
    ``REFUSED``: its last call failed.
    """

    RESTING = 0
    READING = 1
    REFUSED = 2


def should_read(own: Beat, heard: Sequence[Beat], lag_s: float) -> bool:
    """Return whether an entry VM should read the platform itself.

    Peers that know only a former era don't count as readers, since nothing is pulled from them.

    :param own: its own beat
    :param heard: last beats of the live peers
    :param lag_s: time for which peers have had newer records, in seconds
    """
    if lag_s > MAX_LAG_S:
        return True
    heard = [beat for beat in heard if beat.era >= own.era]
    readers = [
        beat for beat in heard if beat.read_state == PlatformReadState.READING and not beat.leaving
    ]
    if not readers:
        return True
    if own.read_state == PlatformReadState.REFUSED:
        return False
    near = [beat for beat in heard if beat.domain == own.domain and not beat.leaving]
    candidates = [beat.vm for beat in near if beat.read_state != PlatformReadState.REFUSED]
    return own.vm in rank_members(TASK, [*candidates, own.vm])[:READERS_PER_DOMAIN]
