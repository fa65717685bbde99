"""Polling for an expected condition, in place of fixed delays that fail on a busy machine."""

import time

import gevent

POLL_S = 0.02
TIMEOUT_S = 10.0


def expect_soon(check, timeout_s=TIMEOUT_S):
    """Poll until a check returns true; fail if it doesn't within the timeout."""
    until_s = time.monotonic() + timeout_s
    while not check():
        assert (
            time.monotonic() < until_s
        ), f"the expected condition was not met within {timeout_s} s"
        gevent.sleep(POLL_S)
