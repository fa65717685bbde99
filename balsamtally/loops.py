"""An asyncio event loop that runs in a gevent greenlet."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine

import gevent
from gevent import monkey
from gevent.event import AsyncResult, Event
from gevent.socket import wait_read

EpollSelector = monkey.get_original("selectors", "EpollSelector")


class HubSelector(EpollSelector):
    """A selector that waits in gevent's hub, for the file descriptor of its epoll instance."""

    def select(self, timeout: float | None = None) -> list:
        """Return the events that are ready, waiting until there are any or the timeout passes.

        :param timeout: maximum wait in seconds, ``None`` for no limit
        """
        ready = super().select(0)
        if ready or (timeout is not None and timeout <= 0):
            gevent.sleep(0)
            return ready
        with contextlib.suppress(TimeoutError):
            wait_read(self.fileno(), timeout)
        return super().select(0)


class Loop:
    """Runs an asyncio event loop in a greenlet; a context manager, one at a time in a process."""

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
        """Schedule a function to be called in the loop's greenlet.

        :param function: function that doesn't block
        :param arguments: arguments of the function
        """
        self.asyncio.call_soon_threadsafe(function, *arguments)

    def run(self, coroutine: Coroutine) -> object:
        """Run a coroutine in the loop and block the calling greenlet until the coroutine ends.

        :param coroutine: the coroutine
        :return: result of the coroutine
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
