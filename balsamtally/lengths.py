"""Lengths of answers, learnt by request class."""

from ddsketch import DDSketch

RELATIVE_ERROR = 0.02
SAMPLES_PER_SKETCH = 2000
MIN_SAMPLES = 16
HELD_SMOOTHING = 0.05
DEFAULT_TOKENS = 256.0


class ClassLengths:
    """Lengths of the answers of one class: the last 2,000 to 4,000 of them."""

    def __init__(self):
        self.old: DDSketch | None = None
        self.new = DDSketch(RELATIVE_ERROR)
        self.both: DDSketch | None = None

    def observe(self, tokens: int) -> None:
        """Count an answer.

        :param tokens: its length
        """
        self.both = None
        self.new.add(max(tokens, 1))
        if self.new.count >= SAMPLES_PER_SKETCH:
            self.old = self.new
            self.new = DDSketch(RELATIVE_ERROR)

    def merge(self) -> DDSketch:
        """Return one sketch of all that is kept."""
        if self.both is None:
            self.both = DDSketch(RELATIVE_ERROR)
            self.both.merge(self.new)
            if self.old is not None:
                self.both.merge(self.old)
        return self.both


class LengthStatistics:
    """What is known of answers that have ended, to judge those that run or wait.

    :ivar mean_held_s: mean time that a slot is held, in seconds; 0 until it is known
    """

    def __init__(self):
        self.classes: dict[str, ClassLengths] = {}
        self.mean_held_s = 0.0
        self.samples = 0

    def observe(self, request_class: str, tokens: int, held_s: float) -> None:
        """Count an answer that has ended whole.

        :param request_class: name of the class
        :param tokens: length of the answer
        :param held_s: time that it held its slot, in seconds
        """
        self.classes.setdefault(request_class, ClassLengths()).observe(tokens)
        self.samples += 1
        smoothing = max(HELD_SMOOTHING, 1.0 / self.samples)
        self.mean_held_s += smoothing * (max(held_s, 0.001) - self.mean_held_s)

    def is_ready(self) -> bool:
        """Return whether enough answers have ended for an estimate."""
        return self.samples >= MIN_SAMPLES

    def find_quantile(self, request_class: str, quantile: float) -> float:
        """Return a quantile of the length of a class's answers, in tokens.

        :param request_class: name of the class
        :param quantile: 0 to 1
        """
        lengths = self.classes.get(request_class)
        if lengths is None:
            return DEFAULT_TOKENS
        return lengths.merge().get_quantile_value(quantile)

    def estimate_remaining(self, request_class: str, generated: int) -> float:
        """Return the median of the tokens still to come of a running answer.

        :param request_class: name of the class
        :param generated: tokens generated so far
        """
        below = self._find_rank(request_class, generated)
        if below >= 1.0:
            return float(max(generated, 1))
        middle = self.find_quantile(request_class, below + (1.0 - below) / 2.0)
        return max(middle - generated, 1.0)

    def estimate_wait_s(self, ahead: float, slots: float) -> float:
        """Return the time until a slot is free for a new request, in seconds.

        :param ahead: requests that wait before it
        :param slots: slots that serve them
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
