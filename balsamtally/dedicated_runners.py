"""Which model runners are kept free of long prompts for streams with a close bound on pauses.

Load pattern: short prompts whose answers may hardly pause, beside prompts of ten thousand tokens.
An engine reads prompts in chunks between the tokens of the answers that run, so that each event
beside a long prompt takes as long as the chunks between its tokens. Where that is about the bound,
no order of prompts at the runner helps: the streams need runners that read little. Those are the
first few in an order that each entry VM works out alike, as many as the streams take; other calls
go to the rest.
"""

import math
from collections.abc import Container, Sequence
from dataclasses import dataclass, field
from functools import lru_cache

from balsamtally.rendezvous import rank_members
from balsamtally.selection import Candidate
from balsamtally.waiting import TOKEN_S

# A bound on pauses is close if more than this part of the streams beside long prompts pause for
# longer; the users ask for 95 in 100 on time.
CLOSE_LATE_SHARE = 0.05
# What is expected of that part until streams tell, where an event beside prompts takes too long.
EXPECTED_LATE_SHARE = 0.2
# Weight of one stream in that part, and the time in which it falls by half where none runs beside
# long prompts any more, so that what was found once is tried again.
LATE_SMOOTHING = 0.05
LATE_HALF_LIFE_S = 60.0
# Until streams tell: part of the bound that an event beside a long prompt takes on average; of the
# longest pauses of streams, most lie within a quarter of their mean.
CLOSE_SHARE = 0.8
# Of a service's streams only those are kept apart whose bound is within this factor of the closest.
LIKE_FACTOR = 1.25
# Slots of a kept runner that streams are given before another one is kept; bursts take the rest.
FILL_SHARE = 0.6
# Part of its time that a kept runner may read the prompts of its own streams: beside a reading of
# any length without a break, an event takes as long as beside one long prompt.
READING_SHARE = 0.3
# Streams go to the kept runners that run the fewest of them, or this many more: counts of peers
# are some ten milliseconds old.
EVEN_STREAMS = 1
# Most runners that are kept, so that long prompts have the others; one in any case, where there are
# as many as this.
MAX_KEPT_SHARE = 0.2
MIN_RUNNERS = 3
# Runners of a region from which on some are kept in each region; with fewer, one serves all.
MIN_REGION_RUNNERS = 5
# Name of the pool of the runners of regions with fewer.
REST = ""
# Runners stay kept for so long after the streams that needed them; pauses between two bursts.
KEEP_S = 5.0
# Weight of one call in the mean lengths.
SMOOTHING = 0.05
# Orders of runners that are remembered; runners come and go, a few at a time.
RANKED_POOLS = 64


def is_close(gap_s: float, least_s: float, late_share: float) -> bool:
    """Return whether long prompts read beside a stream make its pauses too long.

    :param gap_s: longest pause that is on time, in seconds, 0 where there is no bound
    :param least_s: the shortest such bound of the service's streams, in seconds
    :param late_share: part of such streams beside long prompts that paused for longer
    """
    return is_least(gap_s, least_s) and late_share > CLOSE_LATE_SHARE


def is_least(gap_s: float, least_s: float) -> bool:
    """Return whether a bound on pauses is about the closest one of its service.

    :param gap_s: longest pause that is on time, in seconds, 0 where there is no bound
    :param least_s: the shortest such bound of the service's streams, in seconds
    """
    return 0.0 < gap_s <= least_s * LIKE_FACTOR


def expect_late_share(least_s: float, event_tokens: int, token_reading_s: float) -> float:
    """Return what part of streams beside long prompts is expected to pause for too long.

    :param least_s: the shortest bound on pauses of a service's streams, in seconds
    :param event_tokens: tokens of an event, 0 where that isn't known
    :param token_reading_s: time for a token of an answer while prompts are read, in seconds
    """
    late = event_tokens * token_reading_s > least_s * CLOSE_SHARE
    return EXPECTED_LATE_SHARE if late else 0.0


def find_most_streams(slots: int, answer_s: float, read_s: float) -> float:
    """Return how many streams a kept runner is given before another one is kept.

    :param slots: answers that a runner generates side by side
    :param answer_s: time that a stream takes once it has begun, in seconds
    :param read_s: time that its prompt takes to read, in seconds
    """
    by_reading = READING_SHARE * answer_s / read_s if read_s else slots
    return max(1.0, min(slots * FILL_SHARE, by_reading))


def count_kept(streams: int, most_streams: float, runners: int) -> int:
    """Return how many runners are kept for streams.

    :param streams: streams with a close bound that run at a time
    :param most_streams: how many of them one runner is given
    :param runners: runners that there are
    """
    if runners < MIN_RUNNERS:
        return 0
    return min(math.ceil(streams / most_streams), max(1, int(runners * MAX_KEPT_SHARE)))


@dataclass
class Streams:
    """The streams of a service with a close bound on pauses, as they came lately.

    :ivar prompt_tokens: mean length of their prompts
    :ivar answer_tokens: mean length of their answers
    """

    prompt_tokens: float = 0.0
    answer_tokens: float = 0.0
    _peaks: dict[str, tuple[int, float]] = field(default_factory=dict)
    _late_share: float = 0.0
    _late_s: float | None = None

    def note_running(self, pool: str, count: int, now_s: float) -> int:
        """Take in how many run now, and return the most that ran at a time lately.

        :param pool: name of the pool of runners
        :param count: how many run there
        :param now_s: steady clock in seconds
        """
        peak, peak_s = self._peaks.get(pool, (0, now_s))
        if count >= peak or now_s - peak_s > KEEP_S:
            peak = count
            self._peaks[pool] = (count, now_s)
        return peak

    def find_late_share(self, now_s: float, expected: float) -> float:
        """Return what part of the streams beside long prompts paused for too long lately.

        :param now_s: steady clock in seconds
        :param expected: what is expected until streams tell
        """
        if self._late_s is None:
            self._late_share, self._late_s = expected, now_s
        return self._late_share * 0.5 ** ((now_s - self._late_s) / LATE_HALF_LIFE_S)

    def note_pause(self, late: bool, now_s: float) -> None:
        """Take in a stream that ran beside long prompts.

        :param late: whether it paused for too long
        :param now_s: steady clock in seconds
        """
        share = self.find_late_share(now_s, 0.0)
        self._late_share, self._late_s = share + LATE_SMOOTHING * (late - share), now_s

    def note_call(self, prompt_tokens: int, answer_tokens: int) -> None:
        """Take in the size of one.

        :param prompt_tokens: tokens of its prompt
        :param answer_tokens: tokens that its answer is expected to have
        """
        weight = SMOOTHING if self.prompt_tokens else 1.0
        self.prompt_tokens += weight * (prompt_tokens - self.prompt_tokens)
        self.answer_tokens += weight * (answer_tokens - self.answer_tokens)

    def find_most(self, slots: int, tokens_per_s: float) -> float:
        """Return how many a kept runner is given before another one is kept.

        :param slots: answers that a runner generates side by side
        :param tokens_per_s: prompt tokens that it reads in a second
        """
        read_s = self.prompt_tokens / tokens_per_s
        return find_most_streams(slots, self.answer_tokens * TOKEN_S, read_s)


def find_pools(candidates: Sequence[Candidate]) -> dict[str, list[Candidate]]:
    """Return the runners of which some are kept each, alike at all entry VMs.

    A call may go to any region, so that each VM has to know which runners the others keep.

    :param candidates: all runners
    :return: the runners by region where there are enough, the others together under no name
    """
    regions: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        regions.setdefault(candidate.region, []).append(candidate)
    pools = {name: pool for name, pool in regions.items() if len(pool) >= MIN_REGION_RUNNERS}
    rest = [candidate for candidate in candidates if candidate.region not in pools]
    return pools | {REST: rest} if rest else pools


def choose_kept(
    service: str, pool: Sequence[Candidate], streams: int, most_streams: float
) -> set[str]:
    """Return the names of the runners that are kept for streams.

    :param service: name of the service
    :param pool: the runners of which some are kept
    :param streams: streams with a close bound that run there at a time
    :param most_streams: how many of them one runner is given
    """
    count = count_kept(streams, most_streams, len(pool))
    return set(rank_pool(service, tuple(candidate.backend.name for candidate in pool))[:count])


@lru_cache(maxsize=RANKED_POOLS)
def rank_pool(service: str, names: tuple[str, ...]) -> list[str]:
    """Return runners in the order in which they are kept.

    :param service: name of the service
    :param names: names of its runners
    """
    return rank_members(service, names)


def narrow(
    candidates: list[Candidate], kept: Container[str], own_kept: Container[str], close: bool
) -> list[Candidate]:
    """Return the runners that a call may go to.

    :param candidates: the runners
    :param kept: names of those that are kept for streams
    :param own_kept: names of those among them that are kept for streams of the own region
    :param close: whether the call's answer is a stream with a close bound
    """
    if not close:
        return [one for one in candidates if one.backend.name not in kept] or candidates
    own = [one for one in candidates if one.backend.name in own_kept]
    fewest = min((one.running for one in own), default=0)
    own = [
        one
        for one in own
        if one.running < one.backend.slots and one.running <= fewest + EVEN_STREAMS
    ]
    return own or candidates
