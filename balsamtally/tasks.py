"""Tasks that run as long as the process: a fault in one step is told and the next step follows."""

from collections.abc import Callable

import gevent

from balsamtally.logs import log

# Pause after a step that failed, so that a lasting fault doesn't take the processor.
FAULT_PAUSE_S = 0.2


def spawn_repeating(name: str, step: Callable[[], None]) -> gevent.Greenlet:
    """Start a task that runs a step over and over.

    :param name: name of the task, for the log
    :param step: one step, which waits by itself for its time
    :return: the task
    """

    def run() -> None:
        while True:
            try:
                step()
            except Exception:
                log.exception("step_failed", step=name)
                gevent.sleep(FAULT_PAUSE_S)

    return gevent.spawn(run)
