"""The tiers of the calls that were placed lately."""

import time
from collections.abc import Callable

# A call isn't refused because of calls of a lower tier that were placed within this time. Operators
# compare the service of different kinds of calls over the same span.
TIER_WINDOW_S = 5.0


class PlacedTiers:
    """The tiers of the calls that were placed within ``TIER_WINDOW_S``.

    :param clock: monotonic clock in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._last_placed_s: dict[int, float] = {}

    def record(self, tier: int) -> None:
        """Record that a call was placed.

        :param tier: priority tier of the call
        """
        self._last_placed_s[tier] = self._clock()

    def find_lowest(self) -> int:
        """Return the lowest tier, which has the highest number, of the calls placed lately."""
        since_s = self._clock() - TIER_WINDOW_S
        recent = (tier for tier, at_s in self._last_placed_s.items() if at_s >= since_s)
        return max(recent, default=0)
