"""The asyncio loop of the process, run in a greenlet."""

import asyncio
from collections.abc import Callable, Coroutine

import gevent
from gevent.event import AsyncResult, Event


class Loop:
    """An asyncio loop in a greenlet, closed by context; a process has one at a time."""

    def __init__(self):
        self.asyncio = asyncio.new_event_loop()
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
