"""How fast the engines of a service work, learnt from answers.

Load pattern: the same burst on engines of two kinds, of which one reads prompts half as fast again.
Backlogs are judged in seconds, and the hope for a whole answer by its tokens, so that both have to
be known.
"""

from dataclasses import dataclass

# Weight of one answer in the means.
SMOOTHING = 0.05
# Until answers tell better: the slower of the users' sheets, with running calls beside it.
FIRST_TOKENS_PER_S = 32_000.0
FIRST_TOKEN_READING_S = 0.036
# What is believed at most and at least, so that a few odd answers mislead nobody.
TOKENS_PER_S_BOUNDS = (10_000.0, 200_000.0)
TOKEN_READING_S_BOUNDS = (0.012, 0.08)
# Fewer tokens than a few chunks take a time that tells nothing of the reading.
MIN_TOKENS = 8_000
# Round trip and the first step, which are no reading.
OVERHEAD_S = 0.03


@dataclass
class EngineSpeed:
    """The speed of a service's engines.

    :ivar tokens_per_s: prompt tokens that one reads in a second
    :ivar token_reading_s: time for a token of an answer while prompts are read, in seconds
    """

    tokens_per_s: float = FIRST_TOKENS_PER_S
    token_reading_s: float = FIRST_TOKEN_READING_S

    def note_first_event(self, tokens: int, took_s: float) -> None:
        """Take in the time to a first event.

        :param tokens: prompt tokens that were read for it, those before it among them
        :param took_s: the time in seconds
        """
        if tokens < MIN_TOKENS or took_s <= 2 * OVERHEAD_S:
            return
        seen = tokens / (took_s - OVERHEAD_S)
        self.tokens_per_s += SMOOTHING * (clamp(seen, TOKENS_PER_S_BOUNDS) - self.tokens_per_s)

    def record_longest_gap(self, gap_s: float, tokens: int) -> None:
        """Take in the longest pause of a stream, which is one with prompts read beside it.

        :param gap_s: the pause in seconds
        :param tokens: tokens of one event, 0 where that isn't known
        """
        seen = gap_s / tokens if tokens else 0.0
        low, high = TOKEN_READING_S_BOUNDS
        if low <= seen <= high:
            self.token_reading_s += SMOOTHING * (seen - self.token_reading_s)


def clamp(value: float, bounds: tuple[float, float]) -> float:
    """Return a value within its bounds.

    :param value: the value
    :param bounds: the lowest and the highest
    """
    return min(max(value, bounds[0]), bounds[1])
