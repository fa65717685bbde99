"""Failure domains that the operators evacuate, and their gradual return."""

import time
from collections.abc import Callable

from balsamtally.health import SLOW_START_S, RunnerHealth
from balsamtally.logs import log


class Evacuations:
    """The evacuated failure domains, and those whose evacuation has just ended.

    The servers of a failure domain that returns may be cold and have empty caches, so that their
    slots are restored over ``SLOW_START_S``.

    :param clock: monotonic clock in seconds
    :ivar domains: the evacuated failure domains
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._returning: dict[str, RunnerHealth] = {}
        self.domains: set[str] = set()

    def begin(self, domain: str, revision: int, source: str) -> bool:
        """Begin an evacuation; return whether the failure domain wasn't evacuated before.

        :param domain: name of the failure domain
        :param revision: revision of the record, for the log
        :param source: source of the record, for the log
        """
        if domain in self.domains:
            return False
        self.domains.add(domain)
        self._returning.pop(domain, None)
        log.info("evacuation_begun", domain=domain, revision=revision, source=source)
        return True

    def end(self, domain: str, revision: int, source: str) -> bool:
        """End an evacuation; return whether the failure domain was evacuated before.

        :param domain: name of the failure domain
        :param revision: revision of the removal, for the log
        :param source: source of the removal, for the log
        """
        if domain not in self.domains:
            return False
        self.domains.remove(domain)
        self._returning[domain] = RunnerHealth()
        self._returning[domain].start_slowly(self._clock())
        log.info("evacuation_ended", domain=domain, revision=revision, source=source)
        return True

    def limit_slots(self, domain: str, slots: int) -> int | None:
        """Return how many slots of a server may be used, ``None`` unless its domain returns.

        :param domain: the server's failure domain
        :param slots: slots of the server
        """
        returning = self._returning.get(domain)
        if returning is None:
            return None
        now = self._clock()
        if now - returning.started_at >= SLOW_START_S:
            del self._returning[domain]
            return None
        return returning.limit_slots(slots, now)
