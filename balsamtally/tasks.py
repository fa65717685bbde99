"""Background tasks that log the failure of a step and continue with the next step."""

from collections.abc import Callable

import gevent

from balsamtally.logs import log

# Delay after a failed step, so that a persistent failure doesn't use up the CPU.
FAILURE_DELAY_S = 0.2


def spawn_repeating(name: str, step: Callable[[], None]) -> gevent.Greenlet:
    """Start a greenlet that runs a step in an endless loop.

    :param name: name of the task in the log
    :param step: function run in each iteration; it does its own waiting
    :return: the greenlet
    """

    def run() -> None:
        while True:
            try:
                step()
            except Exception:
                log.exception("step_failed", step=name)
                gevent.sleep(FAILURE_DELAY_S)

    return gevent.spawn(run)
