"""Which entry VMs read the platform for the others of their failure domain.

Load pattern: hundreds of entry VMs, a few changes a second. Each call to the platform is billed, a
watch of each VM returns with each change, and peers pass records on within a fraction of a second
anyway. So one VM of a failure domain watches, the first in an order that all work out alike from
the peers that they hear. There is no vote: two that read at a time cost a few calls, and one that
hears of no reader, or stays behind its peers, reads for itself.
"""

import enum
from collections.abc import Sequence

from balsamtally.beats import Beat
from balsamtally.rendezvous import rank_members

TASK = "read the platform"
READERS_PER_DOMAIN = 1
# A VM whose peers have newer records for so long reads for itself; a pull takes 0.3 s at most, and
# the users' shortest bound for a change is 3 s.
MAX_BEHIND_S = 1.0


class PlatformReadState(enum.IntEnum):
    """How an entry VM stands to the platform.

    ``RESTING``: it leaves reading to others; ``READING``: it reads and had an answer lately;
    ``REFUSED``: its last call failed.
    """

    RESTING = 0
    READING = 1
    REFUSED = 2


def should_read(own: Beat, heard: Sequence[Beat], behind_s: float) -> bool:
    """Return whether an entry VM is to read the platform itself.

    :param own: what it tells of itself
    :param heard: what the peers that were heard lately tell
    :param behind_s: time for which peers have had newer records, in seconds
    """
    if behind_s > MAX_BEHIND_S:
        return True
    readers = [
        beat for beat in heard if beat.read_state == PlatformReadState.READING and not beat.leaving
    ]
    if not readers:
        return True
    if own.read_state == PlatformReadState.REFUSED:
        return False
    near = [beat for beat in heard if beat.domain == own.domain and not beat.leaving]
    able = [beat.vm for beat in near if beat.read_state != PlatformReadState.REFUSED]
    return own.vm in rank_members(TASK, [*able, own.vm])[:READERS_PER_DOMAIN]
