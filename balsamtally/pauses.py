"""Pauses: times in which a backend server wants no new calls from this entry VM.

A pause concerns one entry VM. It isn't told to others, and the backend server isn't ejected.
"""

import random
import time
from collections.abc import Callable, Iterable

import gevent

from balsamtally.calls import Backend
from balsamtally.errors import BackendsPaused
from balsamtally.forwarding import Choice
from balsamtally.logs import log
from balsamtally.plans import CallProgress, Plan

# Longest pause; after it the backend server may ask for another one.
MAX_PAUSE_S = 300.0
# Calls return over a time after the end of a pause: this share of the pause, within bounds.
SPREAD_SHARE = 0.1
MIN_SPREAD_S = 0.05
MAX_SPREAD_S = 1.0


class Pauses:
    """The pauses that backend servers asked this entry VM for.

    :param clock: monotonic clock in seconds
    :param random_source: returns a random number between two limits
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        random_source: Callable[[float, float], float] = random.uniform,
    ):
        self._clock = clock
        self._random = random_source
        self._until_s: dict[tuple[str, int], float] = {}

    def record(self, backend: Backend, pause_s: float) -> None:
        """Start a pause, or prolong it.

        :param backend: the incarnation of the backend server
        :param pause_s: duration of the pause in seconds
        """
        pause_s = min(pause_s, MAX_PAUSE_S)
        if pause_s <= 0:
            return
        spread_s = min(max(SPREAD_SHARE * pause_s, MIN_SPREAD_S), MAX_SPREAD_S)
        until_s = self._clock() + pause_s + self._random(0, spread_s)
        self._until_s[backend.key] = max(until_s, self._until_s.get(backend.key, 0.0))
        log.info("backend_paused", backend=backend.name, pause_s=round(pause_s, 2))

    def is_paused(self, backend: Backend) -> bool:
        """Return whether a backend server wants no new calls now.

        :param backend: the incarnation of the backend server
        """
        return self._until_s.get(backend.key, 0.0) > self._clock()

    @property
    def is_empty(self) -> bool:
        """Whether no pause is recorded; those that have ended may still be."""
        return not self._until_s

    def list_paused(self, backends: Iterable[Backend]) -> list[Backend]:
        """Return those backend servers that want no new calls now.

        :param backends: the backend servers
        """
        return [backend for backend in backends if self.is_paused(backend)]

    def measure_wait_s(self, backends: Iterable[Backend]) -> float:
        """Return the time until the first of some pauses ends, in seconds.

        :param backends: backend servers that pause
        """
        now = self._clock()
        return max(0.0, min(self._until_s[backend.key] for backend in backends) - now)

    def forget_removed(self, backends: Iterable[Backend]) -> None:
        """Drop the pauses that have ended, and those of other incarnations.

        :param backends: the known backend servers
        """
        now = self._clock()
        keys = {backend.key for backend in backends}
        self._until_s = {
            key: until_s for key, until_s in self._until_s.items() if until_s > now and key in keys
        }


class PausingChoice:
    """Chooses backend servers that don't pause.

    :param pauses: the pauses
    :param list_open: returns the backend servers of a service that take new work
    :param choose: waits for a backend server that the call's progress doesn't exclude
    :param clock: monotonic clock in seconds
    :param sleep: waits for some seconds
    """

    def __init__(
        self,
        pauses: Pauses,
        list_open: Callable[[str], list[Backend]],
        choose: Callable[[Plan, CallProgress], Choice | None],
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = gevent.sleep,
    ):
        self._pauses = pauses
        self._list_open = list_open
        self._choose = choose
        self._clock = clock
        self._sleep = sleep

    def choose(self, plan: Plan, progress: CallProgress) -> Choice | None:
        """Wait for a backend server that doesn't pause.

        If all pause, the call waits for the end of a pause where its answer can still begin within
        the target, and a call that was sent before until its deadline; else it is refused.

        :param plan: the call's plan
        :param progress: the call's progress
        :return: the choice, ``None`` if no backend server takes new work
        :raises BackendsPaused: if all backend servers that are left pause for too long
        :raises TargetHopeless: if the answer can't be complete by the call's deadline
        """
        while True:
            paused = self._list_paused(plan, progress)
            progress.paused = {backend.name for backend in paused}
            choice = self._choose(plan, progress)
            if choice is None and paused:
                self._wait(plan, progress, paused)
            elif choice is None or not self._pauses.is_paused(choice.backend):
                return choice
            else:
                # The pause began while the call waited.
                choice.work.cancel()

    def _list_paused(self, plan: Plan, progress: CallProgress) -> list[Backend]:
        if self._pauses.is_empty:
            return []
        backends = self._list_open(plan.service)
        return self._pauses.list_paused(
            backend for backend in backends if backend.name not in progress.avoid
        )

    def _wait(self, plan: Plan, progress: CallProgress, paused: list[Backend]) -> None:
        """Wait for the end of the first pause, unless the answer would begin too late."""
        wait_s = self._pauses.measure_wait_s(paused)
        latest_s = plan.until_s
        if not progress.sent:
            latest_s = min(plan.call.arrived_s + plan.route.target_s, latest_s)
        if self._clock() + wait_s >= latest_s:
            raise BackendsPaused(retry_after_s=wait_s)
        self._sleep(wait_s)
