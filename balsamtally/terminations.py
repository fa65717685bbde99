"""Tells the end of a backend server's process from the loss of a connection to it."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from gevent.event import AsyncResult

from balsamtally.calls import Backend

# A backend server that still accepted connections is asked again after this time.
RECHECK_S = 0.1
# A broken connection is attributed to the end of the process if that shows within this time: the
# store drops a silent entry after three heartbeats.
CONFIRMATION_S = 10.0
MAX_PENDING = 256
MAX_KNOWN = 256


@dataclass(frozen=True)
class PendingTermination:
    """A broken connection whose backend server may have ended.

    :ivar backend: the incarnation of the backend server
    :ivar until_s: clock until which an end counts, in seconds
    :ivar on_terminated: called if the backend server has ended
    """

    backend: Backend
    until_s: float
    on_terminated: Callable[[], None]


class SharedProbe:
    """Asks once about an incarnation of a backend server for all calls that want to know.

    :param probe: returns the answer, after a connection attempt
    :param keeps: whether a positive answer is final
    :param clock: monotonic clock in seconds
    """

    def __init__(self, probe: Callable[[Backend], bool], keeps: bool, clock: Callable[[], float]):
        self._probe = probe
        self._keeps = keeps
        self._clock = clock
        self._known: dict[tuple[str, int], tuple[float, AsyncResult]] = {}

    def ask(self, backend: Backend) -> bool:
        """Return the answer, at most ``RECHECK_S`` old unless it is final.

        :param backend: the incarnation of the backend server
        """
        asked_s, result = self._known.get(backend.key, (-RECHECK_S, None))
        is_old = self._clock() - asked_s >= RECHECK_S
        if result is None or (is_old and result.ready() and not (self._keeps and result.get())):
            result = AsyncResult()
            self._known[backend.key] = (self._clock(), result)
            while len(self._known) > MAX_KNOWN:
                del self._known[next(iter(self._known))]
            try:
                result.set(self._probe(backend))
            finally:
                # A caller that leaves meanwhile must not block the others.
                if not result.ready():
                    result.set(False)
        return result.get()


class Terminations:
    """Finds out which incarnations of backend servers have ended.

    Calls that break at the same time share one connection attempt.

    :param refuses_connections: returns whether no process listens at a backend server's address
    :param is_reachable: returns whether a backend server's host answers
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self,
        refuses_connections: Callable[[Backend], bool],
        is_reachable: Callable[[Backend], bool],
        clock: Callable[[], float] = time.monotonic,
    ):
        self._refusals = SharedProbe(refuses_connections, True, clock)
        self._hosts = SharedProbe(is_reachable, False, clock)
        self._clock = clock
        self._pending: list[PendingTermination] = []

    def has_terminated(self, backend: Backend) -> bool:
        """Return whether a backend server has ended, by an attempt to connect to it.

        :param backend: the incarnation of the backend server
        """
        return self._refusals.ask(backend)

    def is_reachable(self, backend: Backend) -> bool:
        """Return whether a backend server's host answers, by an attempt to connect to it.

        :param backend: the incarnation of the backend server
        """
        return self._hosts.ask(backend)

    def report(self, backend: Backend, on_terminated: Callable[[], None]) -> bool:
        """Call a function if a backend server has ended, now or as soon as that shows.

        :param backend: the incarnation of the backend server
        :param on_terminated: the function
        :return: whether the end shows already
        """
        if self.has_terminated(backend):
            on_terminated()
            return True
        until_s = self._clock() + CONFIRMATION_S
        self._pending = [
            *self._pending[1 - MAX_PENDING :],
            PendingTermination(backend, until_s, on_terminated),
        ]
        return False

    def check_pending(self, backends: Mapping[str, Backend]) -> None:
        """Attribute broken connections to backend servers that have been replaced or removed.

        :param backends: the known backend servers by name
        """
        pending, self._pending = self._pending, []
        for entry in pending:
            current = backends.get(entry.backend.name)
            if current is None or current.key != entry.backend.key:
                entry.on_terminated()
            elif self._clock() < entry.until_s:
                self._pending.append(entry)
