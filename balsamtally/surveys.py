"""Periodic queries of a pool's queues in other failure domains, while their results are used."""

import time
from collections.abc import Callable

import gevent
import msgspec

from balsamtally.errors import BalsamtallyError
from balsamtally.links import Links
from balsamtally.messages import QueueQuery, QueueState

QUERY_INTERVAL_S = 1.0
QUERY_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 5.0


class Surveys:
    """Queue states of pools in other failure domains, with one polling task per requested pool.

    :param links: links to the other entry VMs
    :param list_targets: returns a coordinator in each other failure domain, for the name of a pool
    """

    def __init__(self, links: Links, list_targets: Callable[[str], list[str]]):
        self.links = links
        self.list_targets = list_targets
        self._states: dict[str, dict[str, tuple[QueueState, float]]] = {}
        self._last_requested_s: dict[str, float] = {}
        self._tasks: dict[str, gevent.Greenlet] = {}

    def __enter__(self) -> "Surveys":
        return self

    def __exit__(self, *exc_info) -> None:
        gevent.killall(list(self._tasks.values()))

    def list_states(self, pool: str) -> tuple[QueueState, ...]:
        """Return the known states of a pool's queues, and keep polling them from now on.

        :param pool: name of the pool
        :return: the latest state of each other failure domain, with its age
        """
        now = time.monotonic()
        self._last_requested_s[pool] = now
        if pool not in self._tasks:
            self._tasks[pool] = gevent.spawn(self._poll, pool)
        return tuple(
            msgspec.structs.replace(state, age_s=now - at)
            for state, at in self._states.get(pool, {}).values()
        )

    def _poll(self, pool: str) -> None:
        try:
            while time.monotonic() - self._last_requested_s[pool] < IDLE_TIMEOUT_S:
                queries = [gevent.spawn(self._query, pool, vm) for vm in self.list_targets(pool)]
                gevent.joinall(queries)
                gevent.sleep(QUERY_INTERVAL_S)
        finally:
            self._tasks.pop(pool, None)
            self._states.pop(pool, None)

    def _query(self, pool: str, vm: str) -> None:
        try:
            state = self.links.call(vm, QueueQuery(pool), QUERY_TIMEOUT_S)
        except BalsamtallyError:
            return
        if isinstance(state, QueueState):
            self._states.setdefault(pool, {})[state.domain] = (state, time.monotonic())
