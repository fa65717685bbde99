"""Incarnations: unique identities of processes."""

import secrets
import time


def make_incarnation() -> str:
    """Return a new identity: the time in nanoseconds, then 32 random bits, both hexadecimal."""
    return f"{time.time_ns():x}-{secrets.token_hex(4)}"
