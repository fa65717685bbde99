"""How fast backend servers begin their answers, learnt from the answers themselves.

Load pattern: a runner that turns several times slower while its health check stays good. Its pace
is the time to the first event over the expected one; it falls back to normal as time passes, so
that a few calls try the runner again.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

# Weight of one answer in the pace; about five answers show a change.
SMOOTHING = 0.25
MAX_FACTOR = 8.0
# The pace of a backend server without answers falls to half of its excess in this time.
HALF_LIFE_S = 3.0
# Differences below this are noise of the network and of batches.
MIN_EXPECTED_S = 0.08


@dataclass
class Pace:
    """The pace of one backend server.

    :ivar factor: time to the first event over the expected time, smoothed
    :ivar at_s: steady clock at its last answer
    """

    factor: float
    at_s: float


class Paces:
    """The paces of all backend servers.

    :param clock: steady clock
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._paces: dict[tuple[str, int], Pace] = {}

    def record(self, key: tuple[str, int], took_s: float, expected_s: float) -> None:
        """Take in the time to a first event.

        :param key: identity of the backend server
        :param took_s: the time in seconds
        :param expected_s: the time that was expected for a runner of normal pace
        """
        ratio = min(took_s / max(expected_s, MIN_EXPECTED_S), 2 * MAX_FACTOR)
        factor = self._find_factor(key)
        self._paces[key] = Pace(factor + SMOOTHING * (ratio - factor), self._clock())

    def find(self, key: tuple[str, int]) -> float:
        """Return how much slower than expected a backend server is, 1 to ``MAX_FACTOR``.

        :param key: its identity
        """
        return min(MAX_FACTOR, max(1.0, self._find_factor(key)))

    def _find_factor(self, key: tuple[str, int]) -> float:
        """Return the smoothed factor, which answers sooner than expected bring below 1."""
        pace = self._paces.get(key)
        if pace is None:
            return 1.0
        return 1.0 + (pace.factor - 1.0) * 0.5 ** ((self._clock() - pace.at_s) / HALF_LIFE_S)
