"""Detection of slow backend servers from the time to the first event of their answers.

Load pattern: a runner becomes several times slower while its health check still succeeds.

The pace of a backend server is the ratio of the observed to the expected time to the first event,
as a moving average. It decays towards 1 without new answers, so that a slow runner is tried again
with a few calls.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

# Weight of one answer in the moving average; a change shows after about five answers.
SMOOTHING = 0.25
# Upper limit of the reported slowdown.
MAX_FACTOR = 8.0
# Half-life of the deviation from 1 while a backend server sends no answers.
HALF_LIFE_S = 3.0
# Shortest expected time that is used in the ratio; differences below it are noise of the network
# and of batching.
MIN_EXPECTED_S = 0.08


@dataclass
class Pace:
    """The pace of one backend server.

    :ivar factor: moving average of the ratio of observed to expected time to the first event
    :ivar at_s: monotonic clock at the last answer, in seconds
    """

    factor: float
    at_s: float


class Paces:
    """The paces of all backend servers.

    :param clock: monotonic clock in seconds
    :param was_cold: returns whether a backend server was cold within the last seconds
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        was_cold: Callable[[tuple[str, int], float], bool] = lambda key, within_s: False,
    ):
        self._clock = clock
        self._was_cold = was_cold
        self._paces: dict[tuple[str, int], Pace] = {}

    def record(self, key: tuple[str, int], took_s: float, expected_s: float) -> bool:
        """Record the time to the first event of an answer; return whether it counts.

        A cold server is always slow, and fast again by itself, so that its answers don't count.

        :param key: identity of the backend server's incarnation
        :param took_s: observed time in seconds
        :param expected_s: time expected of a runner of normal speed, in seconds
        """
        if self._was_cold(key, took_s):
            return False
        ratio = min(took_s / max(expected_s, MIN_EXPECTED_S), 2 * MAX_FACTOR)
        factor = self._find_factor(key)
        self._paces[key] = Pace(factor + SMOOTHING * (ratio - factor), self._clock())
        return True

    def find(self, key: tuple[str, int]) -> float:
        """Return the slowdown of a backend server, 1 to ``MAX_FACTOR``.

        :param key: identity of the backend server's incarnation
        """
        return min(MAX_FACTOR, max(1.0, self._find_factor(key)))

    def _find_factor(self, key: tuple[str, int]) -> float:
        """Return the decayed moving average; answers faster than expected bring it below 1."""
        pace = self._paces.get(key)
        if pace is None:
            return 1.0
        return 1.0 + (pace.factor - 1.0) * 0.5 ** ((self._clock() - pace.at_s) / HALF_LIFE_S)
