"""The work that backend servers have before them: own sends, and what peers told of theirs."""

import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

import msgspec

# What a peer told of its sends counts for so long; it tells several times a second.
PEER_LOAD_TTL_S = 1.5
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
class Tally:
    """Work at one backend server, counted as it changes."""

    running: int = 0
    reading: list[int] = field(default_factory=lambda: [0] * URGENCIES)
    memory_tokens: int = 0
    close: int = 0

    def add(self, load: Load, sign: int) -> None:
        """Count work that a peer told of, or that no longer holds.

        :param load: the work
        :param sign: 1 to count it, -1 to count it no longer
        """
        self.running += sign * load.running
        for rank, tokens in enumerate(load.reading[:URGENCIES]):
            self.reading[rank] += sign * tokens
        self.memory_tokens += sign * load.memory_tokens
        self.close += sign * load.close

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


class Told:
    """Sums of what other entry VMs told of their work, as long as it holds.

    Sums are kept as it changes, since a choice looks at every backend server and hundreds of peers
    tell of theirs.

    :param clock: steady clock
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        # By name, the one that was heard longest ago first.
        self._peers: OrderedDict[str, PeerLoads] = OrderedDict()
        self._sums: dict[str, Tally] = {}

    def note(self, peer: str, loads: Mapping[str, Load]) -> None:
        """Put what a peer tells now in place of what it told before.

        :param peer: name of the entry VM
        :param loads: the work by backend server
        """
        held = self._peers.pop(peer, PeerLoads()).loads
        self._count(held, loads)
        self._peers[peer] = PeerLoads(loads, self._clock())

    def _count(self, old: Mapping[str, Load], new: Mapping[str, Load]) -> None:
        for backend, load in old.items():
            if new.get(backend) != load:
                self._sums.setdefault(backend, Tally()).add(load, -1)
        for backend, load in new.items():
            if old.get(backend) != load:
                self._sums.setdefault(backend, Tally()).add(load, 1)

    def drop_old(self) -> None:
        """Count no longer what was told too long ago."""
        oldest = self._clock() - PEER_LOAD_TTL_S
        while self._peers:
            peer = next(iter(self._peers))
            if self._peers[peer].at_s >= oldest:
                return
            self.forget(peer)

    def forget(self, peer: str) -> None:
        """Count no longer what a peer told.

        :param peer: name of the entry VM
        """
        held = self._peers.pop(peer, None)
        if held is not None:
            self._count(held.loads, {})

    def count_tellers(self) -> int:
        """Return how many entry VMs told of their work so lately that it counts."""
        self.drop_old()
        return len(self._peers)

    def find(self, backend: str) -> Tally | None:
        """Return the work at a backend server, ``None`` if there was never any.

        :param backend: its name
        """
        return self._sums.get(backend)

    def list_backends(self) -> list[str]:
        """Return the names of the backend servers that peers told of."""
        return list(self._sums)

    def forget_backends(self, keep: Collection[str]) -> None:
        """Forget idle backend servers that are no longer there.

        :param keep: names of those that are
        """
        for name in [name for name in self._sums if name not in keep]:
            if self._sums[name] == Tally():
                del self._sums[name]


class Backlogs:
    """Work at all backend servers: own, that of peers in the region, and that of other regions.

    :param clock: steady clock
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._own: dict[str, Tally] = {}
        self._near = Told(clock)
        self._far = Told(clock)

    def begin(
        self,
        backend: str,
        size: Size,
        record_answer_start: Callable[[], None],
        note_change: Callable,
    ) -> "Work":
        """Count a call that is sent to a backend server.

        :param backend: name of the backend server
        :param size: what the call takes there
        :param record_answer_start: called as its answer begins
        :param note_change: called as its answer has begun or ended
        """
        return Work(self._own.setdefault(backend, Tally()), size, record_answer_start, note_change)

    def record_peer_loads(self, peer: str, loads: Mapping[str, Load]) -> None:
        """Take in what a peer of the region told of its own sends.

        :param peer: name of the entry VM
        :param loads: its work by backend server
        """
        self._near.note(peer, loads)

    def record_region_loads(self, peer: str, sums: Mapping[str, Load]) -> None:
        """Take in what a coordinator told of the sends of its whole region.

        :param peer: name of the coordinator
        :param sums: the work by backend server
        """
        self._far.note(peer, sums)

    def forget_peer(self, peer: str) -> None:
        """Forget what a peer told that is no longer there.

        :param peer: name of the entry VM
        """
        self._near.forget(peer)
        self._far.forget(peer)

    def count_told(self) -> int:
        """Return how many peers and coordinators told of work so lately that it counts."""
        return self._near.count_tellers() + self._far.count_tellers()

    def list_own(self) -> dict[str, Load]:
        """Return the own work by backend server, for the peers."""
        return {name: own.freeze() for name, own in self._own.items() if own.running}

    def list_region(self) -> dict[str, Load]:
        """Return the work of the whole region by backend server, for coordinators of others."""
        self._near.drop_old()
        names = {*self._own, *self._near.list_backends()}
        found = {name: add(self._own.get(name), self._near.find(name)) for name in names}
        return {name: load for name, load in found.items() if load.running}

    def find(self, backend: str) -> Load:
        """Return the work at a backend server, of all entry VMs.

        :param backend: its name
        """
        self._near.drop_old()
        self._far.drop_old()
        return add(self._own.get(backend), self._near.find(backend), self._far.find(backend))

    def forget(self, keep: Collection[str]) -> None:
        """Forget idle backend servers that are no longer there.

        :param keep: names of those that are
        """
        for name in [name for name, own in self._own.items() if name not in keep]:
            if not self._own[name].running:
                del self._own[name]
        self._near.forget_backends(keep)
        self._far.forget_backends(keep)


def add(*tallies: Tally | None) -> Load:
    """Return the sum of work.

    :param tallies: the parts, ``None`` where there is none
    """
    present = [tally for tally in tallies if tally is not None]
    if len(present) == 1:
        return present[0].freeze()
    reading = tuple(map(sum, zip(*(tally.reading for tally in present), strict=True)))
    return Load(
        sum(tally.running for tally in present),
        reading if any(reading) else (),
        sum(tally.memory_tokens for tally in present),
        sum(tally.close for tally in present),
    )


class Work:
    """One call at a backend server, counted until it ends; use as a context.

    :param own: where it is counted
    :param size: what it takes there
    :param record_answer_start: called as its answer begins
    :param note_change: called as its answer has begun or ended
    """

    def __init__(
        self,
        own: Tally,
        size: Size,
        record_answer_start: Callable[[], None],
        note_change: Callable[[], None],
    ):
        self._own = own
        self._size = size
        self._note_begun = record_answer_start
        self._note_change = note_change
        self._begun = False
        own.running += 1
        self._rank = min(size.urgency, URGENCIES - 1)
        own.reading[self._rank] += size.reading_tokens
        own.memory_tokens += size.memory_tokens
        own.close += size.close

    def __enter__(self) -> "Work":
        return self

    def record_answer_start(self) -> None:
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


def add_loads(one: Load, other: Load) -> Load:
    """Return the sum of two parts of the work at a backend server.

    :param one: a part
    :param other: the other one
    """
    tally = Tally()
    tally.add(one, 1)
    tally.add(other, 1)
    return tally.freeze()
