"""Surveys of a pool's queues in the other failure domains, while they are wanted."""

import time
from collections.abc import Callable

import gevent
import msgspec

from balsamtally.errors import BalsamtallyError
from balsamtally.links import Links
from balsamtally.messages import QueueQuery, QueueState

SURVEY_EVERY_S = 1.0
SURVEY_TIMEOUT_S = 0.5
UNWANTED_AFTER_S = 5.0


class Surveys:
    """What is known of pools elsewhere; one task for each pool that is asked for.

    :param links: links to the other entry VMs
    :param list_targets: gives, for a pool, a coordinator in each other failure domain
    """

    def __init__(self, links: Links, list_targets: Callable[[str], list[str]]):
        self.links = links
        self.list_targets = list_targets
        self._states: dict[str, dict[str, tuple[QueueState, float]]] = {}
        self._wanted_at: dict[str, float] = {}
        self._tasks: dict[str, gevent.Greenlet] = {}

    def __enter__(self) -> "Surveys":
        return self

    def __exit__(self, *exc_info) -> None:
        gevent.killall(list(self._tasks.values()))

    def list_states(self, pool: str) -> tuple[QueueState, ...]:
        """Return what is known of a pool elsewhere, and survey it from now on.

        :param pool: name of the model
        :return: the states with their ages
        """
        now = time.monotonic()
        self._wanted_at[pool] = now
        if pool not in self._tasks:
            self._tasks[pool] = gevent.spawn(self._survey, pool)
        return tuple(
            msgspec.structs.replace(state, age_s=now - at)
            for state, at in self._states.get(pool, {}).values()
        )

    def _survey(self, pool: str) -> None:
        try:
            while time.monotonic() - self._wanted_at[pool] < UNWANTED_AFTER_S:
                queries = [gevent.spawn(self._query, pool, vm) for vm in self.list_targets(pool)]
                gevent.joinall(queries)
                gevent.sleep(SURVEY_EVERY_S)
        finally:
            self._tasks.pop(pool, None)
            self._states.pop(pool, None)

    def _query(self, pool: str, vm: str) -> None:
        try:
            state = self.links.call(vm, QueueQuery(pool), SURVEY_TIMEOUT_S)
        except BalsamtallyError:
            return
        if isinstance(state, QueueState):
            self._states.setdefault(pool, {})[state.domain] = (state, time.monotonic())
