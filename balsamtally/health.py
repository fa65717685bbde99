"""Health of model runners: ejection after failures, slow start and relative speed."""

import math
from statistics import median

# Weight of a new answer in the moving averages.
SMOOTHING = 0.15
# Shortest answer whose time between tokens is measured.
MIN_TOKENS = 8
# Answers after which a runner is compared with others.
MIN_ANSWERS = 5
# Bounds of the relative speed.
MIN_SPEED = 0.05
MAX_SPEED = 4.0
# Relative speed below which a runner's slots are reduced in proportion.
SLOW_SPEED = 0.5
# Consecutive failures of different requests after which a runner is ejected.
FAILURES_TO_EJECT = 3
# Duration of the first ejection; the duration doubles up to the maximum.
EJECT_S = 2.0
MAX_EJECT_S = 10.0
SLOW_START_S = 5.0
# A busy runner is silent after SILENCE_S plus this many typical slot times without an answer.
SILENCE_FACTOR = 4.0
SILENCE_S = 5.0
# Share of a pool's runners that may be ejected at a time.
MAX_EJECTED_SHARE = 0.5


class RunnerHealth:
    """Health of one runner, derived from its answers.

    A runner whose answers fail is ejected for a time that doubles with each failed probe. After
    that time one request probes the runner. After a success its slots are restored gradually over
    SLOW_START_S.

    :ivar first_token_s: moving average of the time to first token in seconds, 0 until known
    :ivar token_s: moving average of the inter-token latency in seconds, 0 until known
    :ivar speed: speed relative to the median of the pool
    :ivar answers: successful answers so far
    :ivar failures: consecutive failures of different requests
    :ivar failed_request: id of the request that failed last
    :ivar ejections: ejections since the last successful probe
    :ivar ejected_until: clock at the end of the last ejection, in seconds
    :ivar probing: whether the next answer is a probe after an ejection
    :ivar started_at: clock at the start of the slow start, in seconds
    :ivar progress_at: clock at the last progress of the runner, in seconds
    """

    def __init__(self):
        self.first_token_s = 0.0
        self.token_s = 0.0
        self.speed = 1.0
        self.answers = 0
        self.failures = 0
        self.failed_request = ""
        self.ejections = 0
        self.ejected_until = -math.inf
        self.probing = False
        self.started_at = -math.inf
        self.progress_at = math.inf

    def observe_success(self, first_token_s: float, tokens: int, held_s: float, now: float) -> None:
        """Record a successful answer.

        :param first_token_s: time to first token in seconds, negative without tokens
        :param tokens: length of the answer in tokens
        :param held_s: time that the answer occupied its slot, in seconds
        :param now: clock in seconds
        """
        self.answers += 1
        self.failures = 0
        self.progress_at = now
        if self.probing:
            self.probing = False
            self.ejections = 0
            self.start_slowly(now)
        if first_token_s >= 0.0:
            self.first_token_s = _smooth(self.first_token_s, first_token_s)
        if tokens >= MIN_TOKENS and first_token_s >= 0.0:
            self.token_s = _smooth(self.token_s, max(held_s - first_token_s, 0.0) / tokens)

    def start_slowly(self, now: float) -> None:
        """Begin to restore the slots over ``SLOW_START_S``.

        :param now: clock in seconds
        """
        self.started_at = now

    def observe_failure(self, request: str, now: float) -> bool:
        """Record a failure that the runner caused.

        :param request: id of the request; consecutive failures of the same request count once
        :param now: clock in seconds
        :return: whether the runner should be ejected
        """
        if now < self.ejected_until:
            return False
        if request != self.failed_request:
            self.failures += 1
        self.failed_request = request
        return self.probing or self.failures >= FAILURES_TO_EJECT

    def eject(self, now: float) -> None:
        """Eject the runner for a time and probe it afterwards.

        :param now: clock in seconds
        """
        self.ejected_until = now + min(EJECT_S * 2.0**self.ejections, MAX_EJECT_S)
        self.ejections += 1
        self.probing = True
        self.failures = 0

    def is_fully_available(self, now: float) -> bool:
        """Return whether the runner is neither ejected nor being probed.

        :param now: clock in seconds
        """
        return now >= self.ejected_until and not self.probing

    def is_silent(self, in_use: int, typical_held_s: float, now: float) -> bool:
        """Return whether a busy runner has finished no answer for much longer than usual.

        :param in_use: slots in use
        :param typical_held_s: mean time that an answer occupies a slot, in seconds
        :param now: clock in seconds
        """
        if in_use == 0:
            return False
        return now - self.progress_at > SILENCE_S + SILENCE_FACTOR * typical_held_s

    def limit_slots(self, slots: int, now: float) -> int:
        """Return how many slots may be used.

        :param slots: slots of the runner
        :param now: clock in seconds
        """
        if now < self.ejected_until:
            return 0
        if self.probing:
            return min(1, slots)
        share = min(1.0, (now - self.started_at) / SLOW_START_S, self.speed / SLOW_SPEED)
        return min(slots, max(1, math.ceil(slots * share)))


def update_speeds(runners: list[RunnerHealth]) -> float:
    """Update the speeds of a pool's runners relative to the median inter-token latency.

    :param runners: the runners of the pool
    :return: median time to first token in seconds, 0 if it isn't known
    """
    known = [runner for runner in runners if runner.answers >= MIN_ANSWERS]
    token_s = sorted(runner.token_s for runner in known if runner.token_s > 0.0)
    first_s = [runner.first_token_s for runner in known if runner.first_token_s > 0.0]
    for runner in known if token_s else ():
        # The lower median: of two runners the faster one is the reference.
        typical_s = token_s[(len(token_s) - 1) // 2]
        if runner.token_s > 0.0:
            runner.speed = min(max(typical_s / runner.token_s, MIN_SPEED), MAX_SPEED)
    return median(first_s) if first_s else 0.0


def count_ejectable(runners: int) -> int:
    """Return how many runners of a pool may be ejected at a time.

    :param runners: number of runners in the pool
    """
    return int(runners * MAX_EJECTED_SHARE)


def _smooth(old: float, new: float) -> float:
    return new if old == 0.0 else old + SMOOTHING * (new - old)
