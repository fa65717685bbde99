"""Estimates of answer lengths by request class, learnt from complete answers."""

from ddsketch import DDSketch

# Relative accuracy of the quantile sketches.
RELATIVE_ERROR = 0.02
SAMPLES_PER_SKETCH = 2000
# Smallest number of complete answers for an estimate.
MIN_SAMPLES = 16
# Weight of one answer in the moving average of the time that a slot is held.
HELD_SMOOTHING = 0.05
# Length that is assumed for a class without complete answers.
DEFAULT_TOKENS = 256.0


class ClassLengths:
    """Distribution of the lengths of the last 2,000 to 4,000 answers of one class."""

    def __init__(self):
        self.previous: DDSketch | None = None
        self.current = DDSketch(RELATIVE_ERROR)
        self.merged: DDSketch | None = None

    def observe(self, tokens: int) -> None:
        """Record an answer.

        :param tokens: length of the answer
        """
        self.merged = None
        self.current.add(max(tokens, 1))
        if self.current.count >= SAMPLES_PER_SKETCH:
            self.previous = self.current
            self.current = DDSketch(RELATIVE_ERROR)

    def merge(self) -> DDSketch:
        """Return one sketch of the previous and the current samples."""
        if self.merged is None:
            self.merged = DDSketch(RELATIVE_ERROR)
            self.merged.merge(self.current)
            if self.previous is not None:
                self.merged.merge(self.previous)
        return self.merged


class LengthStatistics:
    """Statistics of complete answers, for estimates of running and waiting requests.

    :ivar mean_held_s: average time that a slot is held, in seconds; 0 before the first answer
    """

    def __init__(self):
        self.classes: dict[str, ClassLengths] = {}
        self.mean_held_s = 0.0
        self.samples = 0

    def observe(self, request_class: str, tokens: int, held_s: float) -> None:
        """Record a complete answer.

        :param request_class: name of the class
        :param tokens: length of the answer
        :param held_s: time that the answer held its slot, in seconds
        """
        self.classes.setdefault(request_class, ClassLengths()).observe(tokens)
        self.samples += 1
        smoothing = max(HELD_SMOOTHING, 1.0 / self.samples)
        self.mean_held_s += smoothing * (max(held_s, 0.001) - self.mean_held_s)

    def is_ready(self) -> bool:
        """Return whether there are enough complete answers for an estimate."""
        return self.samples >= MIN_SAMPLES

    def find_quantile(self, request_class: str, quantile: float) -> float:
        """Return a quantile of the lengths of a class's answers, in tokens.

        :param request_class: name of the class
        :param quantile: the quantile, 0 to 1
        """
        lengths = self.classes.get(request_class)
        if lengths is None:
            return DEFAULT_TOKENS
        return lengths.merge().get_quantile_value(quantile)

    def estimate_remaining(self, request_class: str, generated: int) -> float:
        """Return the median of the remaining tokens of a running answer.

        :param request_class: name of the class
        :param generated: tokens generated so far
        """
        below = self._find_rank(request_class, generated)
        if below >= 1.0:
            return float(max(generated, 1))
        middle = self.find_quantile(request_class, below + (1.0 - below) / 2.0)
        return max(middle - generated, 1.0)

    def estimate_wait_s(self, ahead: float, slots: float) -> float:
        """Return the expected time until a slot is free for a new request, in seconds.

        :param ahead: requests that wait before the new one
        :param slots: slots that serve the waiting requests
        """
        return (ahead + 1.0) * self.mean_held_s / max(slots, 0.01)

    def _find_rank(self, request_class: str, tokens: int) -> float:
        low, high = 0.0, 1.0
        if tokens >= self.find_quantile(request_class, 1.0):
            return 1.0
        for _ in range(8):
            middle = (low + high) / 2.0
            if self.find_quantile(request_class, middle) <= tokens:
                low = middle
            else:
                high = middle
        return low
