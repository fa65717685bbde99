"""Selection of the entry VMs that read the platform for their failure domain.

Load pattern: hundreds of entry VMs, a few changes per second. Each call to the platform is billed,
every watch returns with each change, and peers pass records on within a fraction of a second
anyway. So one VM of each failure domain watches. There is no vote: two readers at a time cost a few
calls.

No VM relies on a reader as such. Each knows the age of its records: the time since the platform had
no others, as it or a peer learnt from an answer of the platform. While a reader works, its answers
keep the records of all recent. If they grow old, for whatever reason, more and more VMs of the
failure domain read the platform themselves, until all do, before a change could come late.
"""

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass

from balsamtally.beats import Beat
from balsamtally.gateway_settings import DEFAULT_CHANGE_BOUND_S
from balsamtally.rendezvous import rank_members

TASK = "read the platform"
# A VM whose peers have had newer records for this long reads the platform itself. A pull takes
# 0.3 s at most, and the shortest documented bound for the propagation of a change is 3 s.
MAX_LAG_S = 1.0
# Limits of the bound that the times are derived from, in seconds: a shorter one would need a call
# every few beats, and a longer one saves no more calls.
MIN_BOUND_S = 1.5
MAX_BOUND_S = 10.0
# Parts of the bound. A reader's records are at most as old as a watch lasts, and its peers hear of
# an answer with the next beats. The rest after the last part is for the VM's own call.
WATCH_PART = 0.27
ANSWER_PART = 0.17
FIRST_PART = 0.5
STEP_PART = 0.07
LAST_PART = 0.8


class PlatformReadState(enum.IntEnum):
    """Whether an entry VM reads the platform.

    ``RESTING``: it relies on other readers; ``READING``: it reads, and its last call succeeded;
    ``REFUSED``: its last call failed.
    """

    RESTING = 0
    READING = 1
    REFUSED = 2


@dataclass(frozen=True)
class ReadTimes:
    """Times of reading the platform, all in seconds.

    :ivar watch_s: longest time that a watch waits for a change
    :ivar answer_s: time after that within which a reader expects the answer
    :ivar first_s: age of its records at which the first VM of a failure domain reads the platform
    :ivar step_s: time after which twice as many VMs read it
    :ivar last_s: age at which each VM reads it, also one that was refused
    """

    watch_s: float
    answer_s: float
    first_s: float
    step_s: float
    last_s: float


def make_read_times(bound_s: float) -> ReadTimes:
    """Return the times by which a change is known in time at each VM that the platform answers.

    :param bound_s: time from the acknowledgement of a change until it must be in force everywhere,
        in seconds
    """
    bound_s = min(max(bound_s, MIN_BOUND_S), MAX_BOUND_S)
    return ReadTimes(
        watch_s=WATCH_PART * bound_s,
        answer_s=ANSWER_PART * bound_s,
        first_s=FIRST_PART * bound_s,
        step_s=STEP_PART * bound_s,
        last_s=LAST_PART * bound_s,
    )


DEFAULT_READ_TIMES = make_read_times(DEFAULT_CHANGE_BOUND_S)


def should_read(
    own: Beat,
    heard: Sequence[Beat],
    lag_s: float,
    age_s: float = 0.0,
    times: ReadTimes = DEFAULT_READ_TIMES,
) -> bool:
    """Return whether an entry VM should read the platform itself.

    Peers that know only a former era don't count as readers, since nothing is pulled from them.

    :param own: its own beat
    :param heard: last beats of the live peers
    :param lag_s: time for which peers have had newer records, in seconds
    :param age_s: age of its records, in seconds
    :param times: times of reading the platform
    """
    if lag_s > MAX_LAG_S or age_s >= times.last_s:
        return True
    heard = [beat for beat in heard if beat.era >= own.era and not beat.leaving]
    readers = [beat for beat in heard if beat.read_state == PlatformReadState.READING]
    if not readers:
        return True
    if own.read_state == PlatformReadState.REFUSED:
        return False
    near_readers = [beat.vm for beat in readers if beat.domain == own.domain]
    if own.read_state == PlatformReadState.READING:
        return find_rank(own, near_readers) == 0
    if near_readers and age_s < times.first_s:
        return False
    near = [beat for beat in heard if beat.domain == own.domain]
    candidates = [beat.vm for beat in near if beat.read_state != PlatformReadState.REFUSED]
    rank = find_rank(own, candidates)
    if not near_readers and rank == 0:
        return True
    return age_s >= times.first_s + times.step_s * math.log2(1 + rank)


def find_rank(own: Beat, others: Sequence[str]) -> int:
    """Return the position of an entry VM among those that may read, 0 for the first.

    :param own: its own beat
    :param others: names of the others
    """
    return rank_members(TASK, [*others, own.vm]).index(own.vm)
