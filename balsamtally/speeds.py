"""Estimation of the prefill and decode speed of a service's engines from their answers.

Load pattern: the same burst on two kinds of engines, one of which reads prompts 1.5 times as fast
as the other. Backlogs are limited in seconds, and whether an answer can be complete at its deadline
depends on the time per token, so that both speeds are needed.
"""

from dataclasses import dataclass

# Weight of one answer in the moving averages.
SMOOTHING = 0.05
# Initial estimates: the slower engine of the operators' data sheets, with concurrent calls.
INITIAL_TOKENS_PER_S = 32_000.0
INITIAL_TOKEN_READING_S = 0.036
# Limits of the observed values, so that a few outliers don't distort the estimates.
TOKENS_PER_S_BOUNDS = (10_000.0, 200_000.0)
TOKEN_READING_S_BOUNDS = (0.012, 0.08)
# Prompts shorter than a few prefill chunks give no valid sample of the prefill speed.
MIN_TOKENS = 8_000
# Weight of one stream in the average time per token beside prompts, and the number of streams after
# which the average counts as learnt. A burst ends this many streams within a second.
BESIDE_SMOOTHING = 0.1
MIN_BESIDE_STREAMS = 10
# Part of the time to the first event that isn't prefill: the round trip and the first decode step.
OVERHEAD_S = 0.03


@dataclass
class EngineSpeed:
    """The estimated speed of a service's engines.

    :ivar tokens_per_s: prefill speed of one engine in prompt tokens per second
    :ivar token_reading_s: time per answer token while prompts are read, in seconds
    :ivar beside_token_s: the same, only from streams whose runner had long prompts to read
    :ivar beside_streams: number of such streams
    """

    tokens_per_s: float = INITIAL_TOKENS_PER_S
    token_reading_s: float = INITIAL_TOKEN_READING_S
    beside_token_s: float = INITIAL_TOKEN_READING_S
    beside_streams: int = 0

    @property
    def has_learnt_beside(self) -> bool:
        """Whether enough streams beside long prompts were observed."""
        return self.beside_streams >= MIN_BESIDE_STREAMS

    def record_gap_beside(self, gap_s: float, tokens: int) -> None:
        """Record the longest inter-event time of a stream whose runner has long prompts to read.

        :param gap_s: the time between two events, in seconds
        :param tokens: tokens per event, 0 if unknown
        """
        if not tokens:
            return
        seen = clamp(gap_s / tokens, TOKEN_READING_S_BOUNDS)
        self.beside_token_s += BESIDE_SMOOTHING * (seen - self.beside_token_s)
        self.beside_streams += 1

    def record_first_event(self, tokens: int, took_s: float) -> None:
        """Record the time to the first event of an answer.

        :param tokens: prompt tokens that were read until then, including those queued before
        :param took_s: time to the first event, in seconds
        """
        if tokens < MIN_TOKENS or took_s <= 2 * OVERHEAD_S:
            return
        seen = tokens / (took_s - OVERHEAD_S)
        self.tokens_per_s += SMOOTHING * (clamp(seen, TOKENS_PER_S_BOUNDS) - self.tokens_per_s)

    def record_longest_gap(self, gap_s: float, tokens: int) -> None:
        """Record the longest inter-event time of a stream, which occurs while prompts are read.

        :param gap_s: the time between two events, in seconds
        :param tokens: tokens per event, 0 if unknown
        """
        seen = gap_s / tokens if tokens else 0.0
        low, high = TOKEN_READING_S_BOUNDS
        if low <= seen <= high:
            self.token_reading_s += SMOOTHING * (seen - self.token_reading_s)


def clamp(value: float, bounds: tuple[float, float]) -> float:
    """Return a value limited to an interval.

    :param value: the value
    :param bounds: lower and upper limit
    """
    return min(max(value, bounds[0]), bounds[1])
