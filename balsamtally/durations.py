"""How long the calls of each route take."""

from collections.abc import Collection
from dataclasses import dataclass

# Share by which a shorter call lowers the longest recent duration.
DECAY = 0.01
# Weight of one call in the moving average.
SMOOTHING = 0.05
# Smallest number of calls that tell how long others may take.
MIN_SAMPLES = 16


@dataclass
class RouteDurations:
    """The durations of one route's calls.

    :ivar longest_s: the longest recent duration, in seconds
    :ivar mean_s: moving average, in seconds
    :ivar samples: calls that were recorded
    """

    longest_s: float = 0.0
    mean_s: float = 0.0
    samples: int = 0


class Durations:
    """The durations of the calls that were sent to a backend server, by route."""

    def __init__(self):
        self._routes: dict[str, RouteDurations] = {}

    def record(self, route: str, took_s: float) -> None:
        """Record a call.

        :param route: name of the route
        :param took_s: time from its last attempt to its end, in seconds
        """
        found = self._routes.setdefault(route, RouteDurations())
        found.samples += 1
        found.mean_s += max(SMOOTHING, 1.0 / found.samples) * (took_s - found.mean_s)
        found.longest_s = max(took_s, found.longest_s + DECAY * (took_s - found.longest_s))

    def find(self, route: str) -> RouteDurations | None:
        """Return the durations of a route's calls, ``None`` if too few were recorded.

        :param route: name of the route
        """
        found = self._routes.get(route)
        return found if found is not None and found.samples >= MIN_SAMPLES else None

    def keep_only(self, routes: Collection[str]) -> None:
        """Drop the durations of removed routes.

        :param routes: names of the routes that still exist
        """
        for name in [name for name in self._routes if name not in routes]:
            del self._routes[name]
