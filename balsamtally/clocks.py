"""A steady clock that counts the time for which the machine was suspended."""

import time

# Only Linux has such a clock.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boottime() -> float:
    """Return a steady clock that counts suspensions, in seconds; its start is undefined.

    ``time.monotonic`` stands still during a suspension, so that what is old looks fresh.
    """
    return time.clock_gettime(_CLOCK)
