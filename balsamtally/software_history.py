"""Which software versions have served each service, as one entry VM knows from its catalog.

A stream of unknown origin may go on only at the version that began it. That is safe if one version
alone can have begun a stream for as long as a stream can live, at any entry VM.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from balsamtally.calls import Backend
from balsamtally.clocks import boottime
from balsamtally.gateway_settings import DEFAULT_CHANGE_BOUND_S

# Age of the catalog in seconds above which others may know of versions that this VM doesn't.
MAX_AGE_S = 2.0


@dataclass(frozen=True)
class SoleVersion:
    """A version that alone can have begun a stream, as a peer has observed.

    :ivar software: the version
    :ivar until_s: this VM's clock up to which the peer knew all changes, in seconds
    """

    software: str
    until_s: float


class SoftwareHistory:
    """The software versions that have served each service.

    Entry VMs learn of a change at different times, so that one of them may begin streams at a
    backend server that another one no longer knows: the drain allowance.

    :param find_drain_s: returns the drain allowance in seconds
    :param clock: steady clock that counts suspensions, in seconds
    """

    def __init__(
        self,
        find_drain_s: Callable[[], float] = lambda: DEFAULT_CHANGE_BOUND_S,
        clock: Callable[[], float] = boottime,
    ):
        self._find_drain_s = find_drain_s
        self._clock = clock
        self._present: dict[str, set[str]] = {}
        self._seen_s: dict[str, dict[str, float]] = {}
        self._complete_s = math.inf

    @property
    def known_since_s(self) -> float:
        """Clock since which each version that began a stream is known, in seconds.

        Infinite before the first observation.
        """
        return self._complete_s + self._find_drain_s()

    def observe(self, backends: Iterable[Backend]) -> None:
        """Record the known backend servers; called after each change of them.

        :param backends: all known backend servers, draining ones too
        """
        self._record_present()
        self._present = {}
        for backend in backends:
            self._present.setdefault(backend.service, set()).add(backend.software)
        self._record_present()
        self._complete_s = min(self._complete_s, self._clock())

    def _record_present(self) -> None:
        now = self._clock()
        for service, present in self._present.items():
            self._seen_s.setdefault(service, {}).update(dict.fromkeys(present, now))

    def record_gap(self, gap_s: float) -> None:
        """Record that backend servers may have come and gone unseen until now.

        :param gap_s: time for which changes may have been missed, in seconds; infinite if one is
            known to be missing
        """
        if gap_s > MAX_AGE_S:
            self._complete_s = self._clock()

    def record_past(self, backends: Iterable[Backend], covered_s: float) -> None:
        """Record the backend servers that the platform's history shows.

        The history doesn't tell how long they served, so that they count as seen now.

        :param backends: all backend servers that served within the covered time
        :param covered_s: length of the covered time before now, in seconds
        """
        now = self._clock()
        for backend in backends:
            self._seen_s.setdefault(backend.service, {})[backend.software] = now
        self._complete_s = min(self._complete_s, now - covered_s)

    def find_sole(self, service: str, window_s: float, age_s: float) -> str | None:
        """Return the only version that can have begun a stream, at this or another entry VM.

        Servers that don't publish a version count as servers of the version "".

        :param service: name of the service
        :param window_s: time before now within which the stream began, in seconds
        :param age_s: age of the catalog in seconds
        :return: the version; ``None`` if there are several or none, or not all of them are known
        """
        since_s = self._clock() - window_s
        if age_s > MAX_AGE_S or since_s < self.known_since_s:
            return None
        seen_s = self._seen_s.get(service, {})
        drain_s = self._find_drain_s()
        found = {software for software, at_s in seen_s.items() if at_s + drain_s >= since_s}
        found |= self._present.get(service, set())
        return found.pop() if len(found) == 1 else None

    def is_only_since(self, service: str, software: str, since_s: float) -> bool:
        """Return whether no other version has been known since a time.

        Other than ``find_sole``, it allows for no servers that others still used at that time.

        :param service: name of the service
        :param software: the version
        :param since_s: the history's clock, in seconds
        """
        seen_s = self._seen_s.get(service, {})
        found = {other for other, at_s in seen_s.items() if at_s >= since_s}
        found |= self._present.get(service, set())
        return self._complete_s <= since_s and found <= {software}
