"""Incarnations of backend servers that announced in an answer that they are leaving."""

from collections.abc import Callable
from itertools import islice

# Beyond this the oldest ones are dropped; a deployment has some hundred backend servers.
MAX_DEPARTURES = 4_096
# Incarnations named in one heartbeat, the latest ones.
MAX_ANNOUNCED = 32

Incarnation = tuple[str, int]


class Departures:
    """The leaving incarnations that answers or peers reported.

    An incarnation stays recorded after its entry expired or was written again as ready: the process
    that announced its end can't take the announcement back.
    """

    def __init__(self):
        # A dictionary, as it keeps the order of insertion.
        self._incarnations: dict[Incarnation, None] = {}

    def record(self, incarnation: Incarnation) -> bool:
        """Record a leaving incarnation.

        An incarnation without a known start isn't recorded, as its successor would have the same
        identity.

        :param incarnation: name and start of the backend server
        :return: whether it is recorded now and wasn't before
        """
        if not incarnation[1] or incarnation in self._incarnations:
            return False
        self._incarnations[incarnation] = None
        while len(self._incarnations) > MAX_DEPARTURES:
            del self._incarnations[next(iter(self._incarnations))]
        return True

    def __contains__(self, incarnation: Incarnation) -> bool:
        return incarnation in self._incarnations

    def list_latest(self, is_present: Callable[[Incarnation], bool]) -> tuple[Incarnation, ...]:
        """Return the latest leaving incarnations that are still there, for a heartbeat.

        :param is_present: returns whether an incarnation is still there
        """
        return tuple(islice(filter(is_present, reversed(self._incarnations)), MAX_ANNOUNCED))
