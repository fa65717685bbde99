"""Runners dedicated to streams with a tight inter-event latency bound, which get no long prompts.

Load pattern: short prompts whose answers have a tight bound on the time between two events,
together with prompts of ten thousand tokens.

An engine reads prompts in chunks between the decode steps of running answers. While it reads a long
prompt, each event of a stream is delayed by one chunk per token. If this delay is near the bound,
reordering prompts at the runner doesn't help: the streams need runners with little prefill work.
Every entry VM computes the same order of the runners and dedicates the first of them, as many
as the streams need; other calls go to the remaining runners.
"""

import math
from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass, field
from functools import lru_cache

from balsamtally.rendezvous import rank_members
from balsamtally.selection import Candidate
from balsamtally.speeds import EngineSpeed
from balsamtally.waiting import TOKEN_S

# A bound counts as tight if more than this share of the streams concurrent with long prompts miss
# it; operators require that 95 of 100 streams stay within the bound.
MAX_MISS_SHARE = 0.05
# Assumed share of misses before streams are observed, if an event concurrent with prompts is
# expected to take too long.
INITIAL_MISS_SHARE = 0.2
# Weight of one stream in the moving average of the share of misses, and half-life of the average
# while no stream runs concurrently with long prompts, so that a tight bound is tested again.
MISS_SMOOTHING = 0.05
MISS_HALF_LIFE_S = 60.0
# Before streams are observed, an event is expected to miss the bound if its average time concurrent
# with a long prompt exceeds this share of the bound; most longest inter-event times of streams are
# within a quarter of their mean.
EVENT_TIME_SHARE = 0.8
# Without observed streams, and while long prompts are queued, the same with this lower share: an
# estimate that is near the bound is as likely to be too low as too high. With observed streams this
# share is too low: a deployment whose events took 0.72 of the bound lost a runner to it.
NEAR_EVENT_TIME_SHARE = 0.7
# Number of observed streams, none of them older than the half-life, from which on the share of
# misses decides alone.
MIN_OBSERVED_STREAMS = 20
# Only streams whose bound is within this factor of the service's tightest use dedicated runners.
TIGHTEST_BOUND_FACTOR = 1.25
# Share of a dedicated runner's slots that streams fill before another runner is dedicated; the rest
# is for bursts.
SLOT_SHARE = 0.6
# Share of time that a dedicated runner may spend on the prefill of its own streams: uninterrupted
# prefill of many short prompts delays an event as much as one long prompt.
PREFILL_SHARE = 0.3
# Streams go to the dedicated runners that run the fewest calls, or at most this many more: the
# counts of peers are some ten milliseconds old.
MAX_STREAM_IMBALANCE = 1
# Largest share of a pool that is dedicated, so that long prompts have the other runners, and the
# smallest pool that has dedicated runners; one runner may be dedicated whatever the share.
MAX_DEDICATED_SHARE = 0.2
# The same if the streams' share of the work is larger. Half of the runners remain for other calls.
MAX_WORK_SHARE = 0.5
# Time within which the prompts of other calls should be read, in seconds: the shortest target of
# the operators' long prompts is 2 s, and a runner is sent 0.5 s of prompts at most.
QUEUE_S = 0.5
MIN_RUNNERS = 3
# A region with at least this many runners has dedicated runners of its own; smaller regions share
# a pool.
MIN_REGION_RUNNERS = 5
# Name of the pool that the smaller regions share.
SMALL_REGIONS = ""
# Time for which runners stay dedicated after the streams that needed them, to bridge two bursts.
DEDICATED_HOLD_S = 5.0
# Weight of one call in the moving averages of prompt and answer lengths.
SMOOTHING = 0.05
# Number of cached runner orders; runners are added and removed a few at a time.
RANKED_POOLS = 64


def has_tight_bound(gap_s: float, tightest_s: float, miss_share: float) -> bool:
    """Return whether concurrent long prompts make a stream miss its inter-event latency bound.

    :param gap_s: longest allowed time between two events, in seconds, 0 if unbounded
    :param tightest_s: the tightest such bound of the service's streams, in seconds
    :param miss_share: share of such streams concurrent with long prompts that missed the bound
    """
    return is_near_tightest(gap_s, tightest_s) and miss_share > MAX_MISS_SHARE


def is_near_tightest(gap_s: float, tightest_s: float) -> bool:
    """Return whether an inter-event latency bound is near the tightest one of its service.

    :param gap_s: longest allowed time between two events, in seconds, 0 if unbounded
    :param tightest_s: the tightest such bound of the service's streams, in seconds
    """
    return 0.0 < gap_s <= tightest_s * TIGHTEST_BOUND_FACTOR


def estimate_miss_share(tightest_s: float, event_tokens: int, token_reading_s: float) -> float:
    """Return the expected share of streams concurrent with long prompts that miss their bound.

    :param tightest_s: the tightest inter-event latency bound of a service's streams, in seconds
    :param event_tokens: tokens per event, 0 if unknown
    :param token_reading_s: time per answer token while prompts are read, in seconds
    """
    late = event_tokens * token_reading_s > tightest_s * EVENT_TIME_SHARE
    return INITIAL_MISS_SHARE if late else 0.0


def is_queue_long(reading_tokens: int, event_tokens: int, speed: EngineSpeed) -> bool:
    """Return whether a runner reads prompts during at least one whole event of its streams.

    :param reading_tokens: prompt tokens queued at the runner
    :param event_tokens: tokens per event, 0 if unknown
    :param speed: estimated speed of the engine
    """
    event_s = event_tokens * speed.beside_token_s
    return 0 < event_s * speed.tokens_per_s <= reading_tokens


def expects_misses(tightest_s: float, event_tokens: int, speed: EngineSpeed) -> bool:
    """Return whether streams beside the queued prompts are expected to miss their bound.

    :param tightest_s: the tightest inter-event latency bound of a service's streams, in seconds
    :param event_tokens: tokens per event, 0 if unknown
    :param speed: estimated speed of the engines, from the streams of all bounds
    """
    share = EVENT_TIME_SHARE if speed.has_learnt_beside else NEAR_EVENT_TIME_SHARE
    return event_tokens * speed.beside_token_s > tightest_s * share


def compute_max_streams(slots: int, answer_s: float, read_s: float) -> float:
    """Return how many streams a dedicated runner gets before another runner is dedicated.

    :param slots: answers that a runner generates concurrently
    :param answer_s: duration of a stream from its first event on, in seconds
    :param read_s: prefill time of a stream's prompt, in seconds
    """
    by_reading = PREFILL_SHARE * answer_s / read_s if read_s else slots
    return max(1.0, min(slots * SLOT_SHARE, by_reading))


def count_needed_by_others(pool: Sequence[Candidate]) -> float:
    """Return how many runners the calls of a pool other than its tight streams need.

    :param pool: the pool of runners
    """
    slots = sum(
        max(0, each.running - each.close) / max(1.0, each.backend.slots * SLOT_SHARE)
        for each in pool
    )
    reading = sum(each.beside_tokens / each.tokens_per_s for each in pool) / QUEUE_S
    return max(slots, reading)


def count_dedicated(
    streams: int, max_streams: float, runners: int, others: float = math.inf
) -> int:
    """Return how many runners of a pool are dedicated to streams.

    They are at most a fifth, or the streams' share of the work if that is larger.

    :param streams: concurrent streams with a tight bound
    :param max_streams: how many of these streams one runner gets
    :param runners: size of the pool
    :param others: how many runners the other calls need
    """
    if runners < MIN_RUNNERS or not streams:
        return 0
    needed = streams / max_streams
    work_share = min(MAX_WORK_SHARE, needed / (needed + others))
    return min(
        math.ceil(needed),
        max(1, int(runners * MAX_DEDICATED_SHARE), int(runners * work_share)),
    )


@dataclass
class StreamStatistics:
    """Recent statistics of a service's streams with a tight inter-event latency bound.

    :ivar prompt_tokens: average length of their prompts
    :ivar answer_tokens: average length of their answers
    """

    prompt_tokens: float = 0.0
    answer_tokens: float = 0.0
    _peaks: dict[str, tuple[int, float]] = field(default_factory=dict)
    _miss_share: float = 0.0
    _miss_share_at_s: float | None = None
    _observed: int = 0
    _observed_at_s: float = -math.inf
    _queued_at_s: float = -math.inf

    def record_running(self, pool: str, count: int, now_s: float) -> int:
        """Record the number of running streams, and return its recent peak.

        :param pool: name of the pool of runners
        :param count: streams that run in the pool
        :param now_s: monotonic clock in seconds
        """
        peak, peak_s = self._peaks.get(pool, (0, now_s))
        if count >= peak or now_s - peak_s > DEDICATED_HOLD_S:
            peak = count
            self._peaks[pool] = (count, now_s)
        return peak

    def find_miss_share(self, now_s: float, expected: float) -> float:
        """Return the recent share of streams concurrent with long prompts that missed their bound.

        :param now_s: monotonic clock in seconds
        :param expected: initial share, used before streams are observed
        """
        if self._miss_share_at_s is None:
            self._miss_share, self._miss_share_at_s = expected, now_s
        return self._miss_share * 0.5 ** ((now_s - self._miss_share_at_s) / MISS_HALF_LIFE_S)

    def is_observed(self, now_s: float) -> bool:
        """Return whether the observed streams suffice to tell whether a bound is tight.

        :param now_s: monotonic clock in seconds
        """
        recent = now_s - self._observed_at_s < MISS_HALF_LIFE_S
        return recent and self._observed >= MIN_OBSERVED_STREAMS

    def record_queue(self, is_long: bool, now_s: float) -> bool:
        """Record whether long prompts are queued; return whether they were recently.

        :param is_long: whether a runner has long prompts queued
        :param now_s: monotonic clock in seconds
        """
        if is_long:
            self._queued_at_s = now_s
        return now_s - self._queued_at_s < DEDICATED_HOLD_S

    def record_stream(self, late: bool, now_s: float) -> None:
        """Record a stream that ran concurrently with long prompts.

        :param late: whether the stream missed its inter-event latency bound
        :param now_s: monotonic clock in seconds
        """
        if now_s - self._observed_at_s >= MISS_HALF_LIFE_S:
            self._observed = 0
        self._observed += 1
        self._observed_at_s = now_s
        share = self.find_miss_share(now_s, 0.0)
        self._miss_share, self._miss_share_at_s = share + MISS_SMOOTHING * (late - share), now_s

    def record_call(self, prompt_tokens: int, answer_tokens: int) -> None:
        """Record the size of a call whose answer is such a stream.

        :param prompt_tokens: tokens of the prompt
        :param answer_tokens: expected tokens of the answer
        """
        weight = SMOOTHING if self.prompt_tokens else 1.0
        self.prompt_tokens += weight * (prompt_tokens - self.prompt_tokens)
        self.answer_tokens += weight * (answer_tokens - self.answer_tokens)

    def find_max_streams(self, slots: int, tokens_per_s: float) -> float:
        """Return how many streams a dedicated runner gets before another runner is dedicated.

        :param slots: answers that a runner generates concurrently
        :param tokens_per_s: prefill speed of the runner in prompt tokens per second
        """
        read_s = self.prompt_tokens / tokens_per_s
        return compute_max_streams(slots, self.answer_tokens * TOKEN_S, read_s)


def find_pools(candidates: Sequence[Candidate]) -> dict[str, list[Candidate]]:
    """Return the pools of runners from which dedicated runners are chosen.

    A call may go to any region, so that each entry VM has to know which runners the other regions
    dedicate. All entry VMs therefore compute the same pools.

    :param candidates: all runners
    :return: a pool for each region with enough runners, and one pool of all others under the empty
        name
    """
    regions: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        regions.setdefault(candidate.region, []).append(candidate)
    pools = {name: pool for name, pool in regions.items() if len(pool) >= MIN_REGION_RUNNERS}
    rest = [candidate for candidate in candidates if candidate.region not in pools]
    return pools | {SMALL_REGIONS: rest} if rest else pools


def choose_dedicated(
    service: str,
    pool: Sequence[Candidate],
    streams: int,
    max_streams: float,
    find_others: Callable[[Sequence[Candidate]], float] = count_needed_by_others,
) -> set[str]:
    """Return the names of the runners of a pool that are dedicated to streams.

    :param service: name of the service
    :param pool: the pool of runners
    :param streams: concurrent streams with a tight bound in the pool
    :param max_streams: how many of these streams one runner gets
    :param find_others: returns how many runners of the pool the other calls need
    """
    count = count_dedicated(streams, max_streams, len(pool))
    # The other calls' work is summed only where the streams need more than the usual share.
    if count and streams > count * max_streams:
        count = count_dedicated(streams, max_streams, len(pool), find_others(pool))
    return set(rank_pool(service, tuple(candidate.backend.name for candidate in pool))[:count])


@lru_cache(maxsize=RANKED_POOLS)
def rank_pool(service: str, names: tuple[str, ...]) -> list[str]:
    """Return runners in the order in which they are dedicated.

    :param service: name of the service
    :param names: names of the runners
    """
    return rank_members(service, names)


def filter_candidates(
    candidates: list[Candidate],
    dedicated: Container[str],
    local_dedicated: Container[str],
    close: bool,
) -> list[Candidate]:
    """Return the runners that a call may be sent to.

    :param candidates: the runners
    :param dedicated: names of the runners that are dedicated to streams
    :param local_dedicated: names of the runners that are dedicated to streams of the local region
    :param close: whether the call's answer is a stream with a tight bound
    """
    if not close:
        return [
            candidate for candidate in candidates if candidate.backend.name not in dedicated
        ] or candidates
    local = [candidate for candidate in candidates if candidate.backend.name in local_dedicated]
    fewest = min((candidate.running for candidate in local), default=0)
    local = [
        candidate
        for candidate in local
        if candidate.running < candidate.backend.slots
        and candidate.running <= fewest + MAX_STREAM_IMBALANCE
    ]
    return [candidate for candidate in local if not candidate.cold] or local or candidates
