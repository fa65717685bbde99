"""The move of a call from a backend server that has stopped sending to another one.

Silence doesn't prove that a backend server has ended: it may pause and go on. A call therefore
keeps waiting for its answer, and leaves only for a place that it holds at another backend server.
Where none is found, ending the call would gain nothing.
"""

import time
from collections.abc import Callable

import gevent

from balsamtally.errors import BackendSilent, CapacityError
from balsamtally.logs import log
from balsamtally.plans import Choice

# Time after a search without a place until the next one.
SEARCH_INTERVAL_S = 0.5


class Move:
    """Looks for another backend server while a call waits for a silent one; a context manager.

    :param request: id of the call
    :param is_silent: returns whether the present backend server has stopped sending
    :param search: waits for a place at another backend server; returns ``None`` if the call may not
        leave or no place is found
    :param take_retry: takes a retry from the service's retry budget; returns whether one was left
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self,
        request: str,
        is_silent: Callable[[], bool],
        search: Callable[[], Choice | None],
        take_retry: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ):
        self._request = request
        self._is_silent = is_silent
        self._search = search
        self._take_retry = take_retry
        self._clock = clock
        self._task: gevent.Greenlet | None = None
        self._next_search_s = 0.0
        self._place: Choice | None = None

    def __enter__(self) -> "Move":
        return self

    def __exit__(self, *exc_info) -> None:
        self._end_search()

    def check(self) -> None:
        """Check whether the call should wait any longer; called several times a second.

        :raises BackendSilent: if the backend server is silent and a place elsewhere is held
        """
        if not self._is_silent():
            self._end_search()
        elif self._task is None:
            if self._clock() >= self._next_search_s:
                self._task = gevent.spawn(self._run_search)
        elif self._task.ready():
            self._task = None
            self._next_search_s = self._clock() + SEARCH_INTERVAL_S
            self._leave()

    def _run_search(self) -> None:
        try:
            place = self._search()
        except CapacityError as error:
            log.info("no_place_to_move", request=self._request, why=str(error))
            return
        if self._task is gevent.getcurrent():
            self._place = place
        elif place is not None:
            place.work.cancel()

    def _leave(self) -> None:
        if self._place is None:
            return
        if not self._take_retry():
            log.info("no_place_to_move", request=self._request, why="no retry is left")
            self._end_search()
            return
        raise BackendSilent

    def _end_search(self) -> None:
        task, self._task = self._task, None
        if task is not None:
            task.kill(block=False)
        place = self.take_place()
        if place is not None:
            place.work.cancel()

    def take_place(self) -> Choice | None:
        """Return the place that the call leaves for, which the caller then owns."""
        place, self._place = self._place, None
        return place
