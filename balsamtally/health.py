"""The health of a model runner, judged by its own answers."""

import math
from statistics import median

SMOOTHING = 0.15
MIN_TOKENS = 8
MIN_ANSWERS = 5
MIN_SPEED = 0.05
MAX_SPEED = 4.0
SLOW_SPEED = 0.5
FAILURES_TO_EJECT = 3
EJECT_S = 2.0
MAX_EJECT_S = 10.0
SLOW_START_S = 5.0
SILENCE_FACTOR = 4.0
SILENCE_S = 5.0
MAX_EJECTED_SHARE = 0.5


class RunnerHealth:
    """What the answers of one runner show.

    A runner whose answers fail is ejected for a time that doubles with each failed probe.
    Then one request probes it, and after a success its slots come back over SLOW_START_S.

    :ivar first_token_s: smoothed time to the first token in seconds, 0 until it is known
    :ivar token_s: smoothed time between two tokens in seconds, 0 until it is known
    :ivar speed: speed relative to the other runners of the pool
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
        """Count an answer.

        :param first_token_s: time to its first token in seconds, negative if none came
        :param tokens: its length
        :param held_s: time that it held its slot, in seconds
        :param now: seconds of the clock
        """
        self.answers += 1
        self.failures = 0
        self.progress_at = now
        if self.probing:
            self.probing = False
            self.ejections = 0
            self.started_at = now
        if first_token_s >= 0.0:
            self.first_token_s = _smooth(self.first_token_s, first_token_s)
        if tokens >= MIN_TOKENS and first_token_s >= 0.0:
            self.token_s = _smooth(self.token_s, max(held_s - first_token_s, 0.0) / tokens)

    def observe_failure(self, request: str, now: float) -> bool:
        """Count an answer that failed by the runner's fault.

        :param request: id of the request; its failures one after the other count once
        :param now: seconds of the clock
        :return: whether the runner should be ejected
        """
        if now < self.ejected_until:
            return False
        if request != self.failed_request:
            self.failures += 1
        self.failed_request = request
        return self.probing or self.failures >= FAILURES_TO_EJECT

    def eject(self, now: float) -> None:
        """Take the runner out for a time, and probe it afterwards."""
        self.ejected_until = now + min(EJECT_S * 2.0**self.ejections, MAX_EJECT_S)
        self.ejections += 1
        self.probing = True
        self.failures = 0

    def is_fully_available(self, now: float) -> bool:
        """Return whether all slots may be used, as far as failures tell.

        :param now: seconds of the clock
        """
        return now >= self.ejected_until and not self.probing

    def is_silent(self, in_use: int, typical_held_s: float, now: float) -> bool:
        """Return whether no answer has ended for much longer than one usually takes.

        :param in_use: slots in use
        :param typical_held_s: mean time that a slot is held, in seconds
        :param now: seconds of the clock
        """
        if in_use == 0:
            return False
        return now - self.progress_at > SILENCE_S + SILENCE_FACTOR * typical_held_s

    def limit_slots(self, slots: int, now: float) -> int:
        """Return how many slots may be in use.

        :param slots: slots of the runner
        :param now: seconds of the clock
        """
        if now < self.ejected_until:
            return 0
        if self.probing:
            return min(1, slots)
        part = min(1.0, (now - self.started_at) / SLOW_START_S, self.speed / SLOW_SPEED)
        return min(slots, max(1, math.ceil(slots * part)))


def update_speeds(runners: list[RunnerHealth]) -> float:
    """Compare the runners of a pool with their median.

    :param runners: the runners
    :return: typical time to the first token in seconds, 0 if it isn't known
    """
    known = [runner for runner in runners if runner.answers >= MIN_ANSWERS]
    token_s = sorted(runner.token_s for runner in known if runner.token_s > 0.0)
    first_s = [runner.first_token_s for runner in known if runner.first_token_s > 0.0]
    for runner in known if token_s else ():
        # the lower median, so that of two runners the faster one is the measure
        typical_s = token_s[(len(token_s) - 1) // 2]
        if runner.token_s > 0.0:
            runner.speed = min(max(typical_s / runner.token_s, MIN_SPEED), MAX_SPEED)
    return median(first_s) if first_s else 0.0


def count_ejectable(runners: int) -> int:
    """Return how many runners of a pool may be ejected at a time.

    :param runners: number of runners
    """
    return int(runners * MAX_EJECTED_SHARE)


def _smooth(old: float, new: float) -> float:
    return new if old == 0.0 else old + SMOOTHING * (new - old)
