"""Which backend servers this entry VM has lost its own link to.

A link counts as lost once another entry VM connects to a server that this one can't connect to. A
server that nobody connects to is another matter, and no loss of a link.
"""

import math
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from balsamtally.calls import Backend
from balsamtally.logs import log

# Direct attempts that must succeed in a row before a lost link is used again. Hysteresis keeps
# calls from switching between both ways while a link comes and goes.
PROBES_TO_RETURN = 2
# Time for which the outcome of a direct attempt tells about the network of this VM.
RECENT_S = 2.0
# Links that must be lost at about the same time before the others are suspected: a single one may
# be a lost packet.
MIN_LOST = 2
# Servers that must be out of reach, with none in reach, before this VM counts as cut off: one by
# itself may have ended.
MIN_UNREACHABLE = 2


@dataclass
class Link:
    """What is known of the direct way to one backend server.

    :ivar backend: the backend server
    :ivar connected_s: monotonic clock at the last direct connection or answer over one, in seconds
    :ivar failed_s: monotonic clock at the last direct attempt that failed, in seconds
    :ivar lost_s: monotonic clock since which the link is lost, in seconds, 0 if it isn't
    :ivar hangs: whether a direct attempt over the lost link got no answer, rather than a refusal
    :ivar probes: direct attempts that have succeeded in a row since then
    """

    backend: Backend
    connected_s: float = -math.inf
    failed_s: float = -math.inf
    lost_s: float = 0.0
    hangs: bool = False
    probes: int = 0

    def is_used_since(self, since_s: float) -> bool:
        """Return whether the link was of use since a time, and hasn't failed after that.

        :param since_s: monotonic clock in seconds
        """
        return self.connected_s > self.failed_s and self.connected_s >= since_s


class Losses:
    """The links of this entry VM that are lost.

    :param clock: monotonic clock in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._links: dict[tuple[str, int], Link] = {}
        self._suspects: set[tuple[str, int]] = set()
        self._last_used: Link | None = None

    def _find(self, backend: Backend) -> Link:
        return self._links.setdefault(backend.key, Link(backend))

    def is_lost(self, backend: Backend) -> bool:
        """Return whether the direct link to a backend server is lost.

        :param backend: the backend server
        """
        return self.is_lost_to(backend.key)

    def is_lost_to(self, key: tuple[str, int]) -> bool:
        """Return whether the direct link to an incarnation of a backend server is lost.

        :param key: identity of the incarnation
        """
        link = self._links.get(key)
        return link is not None and bool(link.lost_s)

    def hangs(self, backend: Backend) -> bool:
        """Return whether open connections over the direct link to a backend server would hang.

        Where new connections are refused, open ones may live on.

        :param backend: the backend server
        """
        link = self._links.get(backend.key)
        return link is not None and bool(link.lost_s) and link.hangs

    def list_lost(self) -> list[Backend]:
        """Return the backend servers to which the direct link is lost."""
        return [link.backend for link in self._links.values() if link.lost_s]

    def list_others(self, backend: Backend) -> list[Backend]:
        """Return the other backend servers that were tried, those most likely in reach first.

        :param backend: the one to leave out
        """
        links = [link for link in self._links.values() if link.backend.key != backend.key]
        links.sort(key=lambda link: (bool(link.lost_s), -link.connected_s))
        return [link.backend for link in links]

    def record_connected(self, backend: Backend) -> None:
        """Record that a direct attempt succeeded.

        :param backend: the backend server
        """
        link = self._last_used = self._find(backend)
        link.connected_s = self._clock()
        if not link.lost_s:
            return
        link.probes += 1
        if link.probes >= PROBES_TO_RETURN:
            lasted_s = self._clock() - link.lost_s
            log.info("link_back", backend=backend.name, lost_s=round(lasted_s, 2))
            link.lost_s = 0.0

    def record_used(self, backend: Backend) -> None:
        """Record that an answer came over a kept direct connection.

        :param backend: the backend server
        """
        link = self._find(backend)
        # Kept connections may live on while a lost link refuses new ones.
        if not link.lost_s:
            link.connected_s = self._clock()
            self._last_used = link

    def record_failed(self, backend: Backend, hangs: bool = True) -> None:
        """Record that a direct attempt failed.

        :param backend: the backend server
        :param hangs: whether it got no answer, rather than a refusal
        """
        link = self._find(backend)
        link.failed_s = self._clock()
        link.hangs = hangs
        link.probes = 0

    def record_lost(self, backend: Backend, relay: str, hangs: bool) -> None:
        """Record that a relay connects to a server to which a direct attempt doesn't connect.

        :param backend: the backend server
        :param relay: name of the entry VM that connects
        :param hangs: whether the direct attempt got no answer, rather than a refusal
        """
        link = self._find(backend)
        link.failed_s = self._clock()
        if link.lost_s:
            return
        link.lost_s, link.hangs, link.probes = self._clock(), hangs, 0
        log.warning("link_lost", backend=backend.name, relay=relay, hangs=hangs)
        self._suspect_others()

    def _suspect_others(self) -> None:
        """Suspect the links that aren't lost, if several others were lost recently."""
        since_s = self._clock() - RECENT_S
        lost = sum(link.lost_s >= since_s for link in self._links.values() if link.lost_s)
        if lost >= MIN_LOST:
            self._suspects |= {key for key, link in self._links.items() if not link.lost_s}

    def list_failing(self) -> list[Backend]:
        """Return the backend servers that a direct attempt should be made to from time to time.

        While this VM is cut off, these are all whose last attempt failed: no call tries them.
        """
        cut_off = self.is_cut_off()
        return [
            link.backend
            for link in self._links.values()
            if link.lost_s or (cut_off and link.failed_s > link.connected_s)
        ]

    def take_suspects(self, most: int) -> list[Backend]:
        """Return backend servers whose link may be lost as well, and forget the suspicion.

        :param most: most servers to return
        """
        taken = [self._suspects.pop() for _ in range(min(most, len(self._suspects)))]
        return [self._links[key].backend for key in taken if key in self._links]

    def is_cut_off(self) -> bool:
        """Return whether this VM recently reached none of the servers that it tried directly."""
        since_s = self._clock() - RECENT_S
        if self._last_used is not None and self._last_used.is_used_since(since_s):
            return False
        unreachable = 0
        for link in self._links.values():
            if link.is_used_since(since_s):
                return False
            unreachable += link.failed_s >= since_s or bool(link.lost_s)
        return unreachable >= MIN_UNREACHABLE

    def keep_only(self, keys: Collection[tuple[str, int]]) -> None:
        """Drop what is known of other backend servers.

        :param keys: identities of the known incarnations
        """
        for key in [key for key in self._links if key not in keys]:
            del self._links[key]
