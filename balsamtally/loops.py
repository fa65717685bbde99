"""The asyncio loop of the process, run in a greenlet."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine

import gevent
from gevent import monkey
from gevent.event import AsyncResult, Event
from gevent.socket import wait_read

EpollSelector = monkey.get_original("selectors", "EpollSelector")


class HubSelector(EpollSelector):
    """Waits in gevent's hub for one descriptor, that of the kernel's own selector."""

    def select(self, timeout: float | None = None) -> list:
        """Return the events that are ready, after at most a timeout.

        :param timeout: longest wait in seconds, ``None`` for no bound
        """
        ready = super().select(0)
        if ready or (timeout is not None and timeout <= 0):
            gevent.sleep(0)
            return ready
        with contextlib.suppress(TimeoutError):
            wait_read(self.fileno(), timeout)
        return super().select(0)


class Loop:
    """An asyncio loop in a greenlet, closed by context; a process has one at a time."""

    def __init__(self):
        self.asyncio = asyncio.SelectorEventLoop(HubSelector())
        self._started = Event()
        self._greenlet = None

    def __enter__(self) -> "Loop":
        self.asyncio.call_soon(self._started.set)
        self._greenlet = gevent.spawn(self.asyncio.run_forever)
        self._started.wait()
        return self

    def __exit__(self, *exc_info) -> None:
        self.asyncio.call_soon_threadsafe(self.asyncio.stop)
        self._greenlet.join()
        self.asyncio.close()

    def post(self, function: Callable, *arguments) -> None:
        """Call a function in the loop's greenlet, soon.

        :param function: function that doesn't block
        :param arguments: its arguments
        """
        self.asyncio.call_soon_threadsafe(function, *arguments)

    def run(self, coroutine: Coroutine) -> object:
        """Run a coroutine in the loop and wait for its result in this greenlet.

        :param coroutine: the coroutine
        :return: its result
        """
        result = AsyncResult()

        def finish(task: asyncio.Task) -> None:
            error = asyncio.CancelledError() if task.cancelled() else task.exception()
            if error is not None:
                result.set_exception(error)
            else:
                result.set(task.result())

        self.post(lambda: self.asyncio.create_task(coroutine).add_done_callback(finish))
        return result.get()
