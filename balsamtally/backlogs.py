"""The work that backend servers have before them: own sends, and what peers told of theirs."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import zip_longest

import msgspec

# What a peer told of its sends counts for so long; it tells several times a second.
PEER_LOAD_S = 1.5
# Ranks that are counted apart; engines know ten, calls of lower ranks share the last one.
URGENCIES = 10


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Work of one entry VM at one backend server.

    :ivar running: calls that were sent and have not ended
    :ivar reading: prompt tokens of calls whose answer has not begun, by urgency from 0 on
    :ivar memory_tokens: tokens that the calls take in memory
    :ivar close: calls among them whose answers are streams with a close bound on pauses
    """

    running: int = 0
    reading: tuple[int, ...] = ()
    memory_tokens: int = 0
    close: int = 0

    @property
    def reading_tokens(self) -> int:
        """Prompt tokens of calls whose answer has not begun."""
        return sum(self.reading)

    def count_before(self, urgency: int) -> int:
        """Return the prompt tokens that are read before those of a new call.

        :param urgency: rank of the call
        """
        return sum(self.reading[: urgency + 1])


@dataclass
class OwnLoad:
    """Own work at one backend server, counted as it changes."""

    running: int = 0
    reading: list[int] = field(default_factory=lambda: [0] * URGENCIES)
    memory_tokens: int = 0
    close: int = 0

    def freeze(self) -> Load:
        """Return the work as it is now; ranks without prompts at the end are left out."""
        ranks = max((rank + 1 for rank, tokens in enumerate(self.reading) if tokens), default=0)
        return Load(self.running, tuple(self.reading[:ranks]), self.memory_tokens, self.close)


@dataclass(frozen=True)
class Size:
    """What one call takes at a backend server.

    :ivar reading_tokens: prompt tokens that are to be read
    :ivar memory_tokens: tokens that it takes in memory
    :ivar urgency: its rank; prompts of more urgent calls are read first
    :ivar close: whether its answer is a stream with a close bound on pauses
    """

    reading_tokens: int = 0
    memory_tokens: int = 0
    urgency: int = 0
    close: bool = False


@dataclass(frozen=True)
class PeerLoads:
    """What a peer told last.

    :ivar loads: its work by name of the backend server
    :ivar at_s: steady clock at its arrival
    """

    loads: Mapping[str, Load] = field(default_factory=dict)
    at_s: float = 0.0


class Backlogs:
    """Work at all backend servers.

    :param clock: steady clock
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._own: dict[str, OwnLoad] = {}
        self._peers: dict[str, PeerLoads] = {}

    def begin(
        self, backend: str, size: Size, note_begun: Callable[[], None], note_change: Callable
    ) -> "Work":
        """Count a call that is sent to a backend server.

        :param backend: name of the backend server
        :param size: what the call takes there
        :param note_begun: called as its answer begins
        :param note_change: called as its answer has begun or ended
        """
        return Work(self._own.setdefault(backend, OwnLoad()), size, note_begun, note_change)

    def note_peer(self, peer: str, loads: Mapping[str, Load]) -> None:
        """Take in what a peer told of its sends.

        :param peer: name of the entry VM
        :param loads: its work by backend server
        """
        self._peers[peer] = PeerLoads(loads, self._clock())

    def forget_peer(self, peer: str) -> None:
        """Forget what a peer told that is no longer there.

        :param peer: name of the entry VM
        """
        self._peers.pop(peer, None)

    def list_own(self) -> dict[str, Load]:
        """Return the own work by backend server, for the peers."""
        return {name: own.freeze() for name, own in self._own.items() if own.running}

    def find(self, backend: str) -> Load:
        """Return the work at a backend server, of this entry VM and its peers."""
        loads = []
        own = self._own.get(backend)
        if own is not None:
            loads.append(own.freeze())
        oldest = self._clock() - PEER_LOAD_S
        for peer in self._peers.values():
            load = peer.loads.get(backend)
            if load is not None and peer.at_s >= oldest:
                loads.append(load)
        return Load(
            sum(load.running for load in loads),
            tuple(map(sum, zip_longest(*(load.reading for load in loads), fillvalue=0))),
            sum(load.memory_tokens for load in loads),
            sum(load.close for load in loads),
        )

    def forget(self, keep) -> None:
        """Forget idle backend servers that are no longer there.

        :param keep: names of those that are
        """
        for name in [name for name, own in self._own.items() if name not in keep]:
            if not self._own[name].running:
                del self._own[name]


class Work:
    """One call at a backend server, counted until it ends; use as a context.

    :param own: where it is counted
    :param size: what it takes there
    :param note_begun: called as its answer begins
    :param note_change: called as its answer has begun or ended
    """

    def __init__(
        self,
        own: OwnLoad,
        size: Size,
        note_begun: Callable[[], None],
        note_change: Callable[[], None],
    ):
        self._own = own
        self._size = size
        self._note_begun = note_begun
        self._note_change = note_change
        self._begun = False
        own.running += 1
        self._rank = min(size.urgency, URGENCIES - 1)
        own.reading[self._rank] += size.reading_tokens
        own.memory_tokens += size.memory_tokens
        own.close += size.close

    def __enter__(self) -> "Work":
        return self

    def note_begun(self) -> None:
        """Count the prompt as read, as the answer begins."""
        if not self._begun:
            self._count_read()
            self._note_begun()
            self._note_change()

    def _count_read(self) -> None:
        self._begun = True
        self._own.reading[self._rank] -= self._size.reading_tokens

    def cancel(self) -> None:
        """Count the call no longer, as it was not sent."""
        self.__exit__(None, None, None)

    def __exit__(self, *exc_info) -> None:
        if not self._begun:
            self._count_read()
        self._own.running -= 1
        self._own.memory_tokens -= self._size.memory_tokens
        self._own.close -= self._size.close
        self._note_change()
