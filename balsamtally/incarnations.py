"""Incarnations: unique identities of processes."""

import secrets
import time


def make_incarnation() -> str:
    """Return a new identity: the time in nanoseconds, then 32 random bits, both hexadecimal."""
    return f"{time.time_ns():x}-{secrets.token_hex(4)}"


def is_later(incarnation: str, other: str) -> bool:
    """Return whether an incarnation began after another one, by the clocks of their VMs.

    The times have the same number of digits, so that the texts are in the order of the times.

    :param incarnation: an identity, empty if it isn't known
    :param other: another identity
    """
    return incarnation > other
