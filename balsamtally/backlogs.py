"""The work at backend servers: calls sent by this entry VM, and loads announced by its peers."""

import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

import msgspec

from balsamtally.decoding import MAX_INTEGER, Integer

# Time-to-live of the loads that a peer announces; peers announce them several times a second.
PEER_LOAD_TTL_S = 1.5
# Number of urgencies that are counted separately; engines distinguish ten, and calls of lower rank
# share the last one.
URGENCIES = 10


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Work at one backend server, of one or more entry VMs.

    :ivar running: calls that were sent and have not ended
    :ivar reading: prompt tokens of calls whose answer has not begun, by urgency from 0 on
    :ivar memory_tokens: tokens that the calls take in memory
    :ivar close: calls whose answers are streams with a tight inter-event latency bound
    """

    running: Integer = 0
    reading: tuple[Integer, ...] = ()
    memory_tokens: Integer = 0
    close: Integer = 0

    @property
    def reading_tokens(self) -> int:
        """Prompt tokens of calls whose answer has not begun."""
        return sum(self.reading)

    def count_before(self, urgency: int) -> int:
        """Return the prompt tokens that are read before the prompt of a new call.

        :param urgency: urgency of the call
        """
        return sum(self.reading[: urgency + 1])


@dataclass
class LoadCounter:
    """Mutable counters of the work at one backend server."""

    running: int = 0
    reading: list[int] = field(default_factory=lambda: [0] * URGENCIES)
    memory_tokens: int = 0
    close: int = 0

    def add(self, load: Load, sign: int) -> None:
        """Add or subtract work.

        :param load: the work
        :param sign: 1 to add it, -1 to subtract it
        """
        self.running += sign * load.running
        for rank, tokens in enumerate(load.reading[:URGENCIES]):
            self.reading[rank] += sign * tokens
        self.memory_tokens += sign * load.memory_tokens
        self.close += sign * load.close

    def freeze(self) -> Load:
        """Return the present work, in the range of a message, without trailing empty urgencies."""
        ranks = max((rank + 1 for rank, tokens in enumerate(self.reading) if tokens), default=0)
        reading = tuple(min(tokens, MAX_INTEGER) for tokens in self.reading[:ranks])
        memory_tokens = min(self.memory_tokens, MAX_INTEGER)
        return Load(self.running, reading, memory_tokens, self.close)


@dataclass(frozen=True)
class Size:
    """The work of one call at a backend server.

    :ivar reading_tokens: prompt tokens that the backend server has to read
    :ivar memory_tokens: tokens that the call takes in memory
    :ivar urgency: rank of the call; prompts of more urgent calls are read first
    :ivar close: whether the answer is a stream with a tight inter-event latency bound
    """

    reading_tokens: int = 0
    memory_tokens: int = 0
    urgency: int = 0
    close: bool = False


@dataclass(frozen=True)
class PeerLoads:
    """The loads that a peer announced last.

    :ivar loads: the peer's work by name of the backend server
    :ivar at_s: monotonic clock at the arrival of the announcement, in seconds
    """

    loads: Mapping[str, Load] = field(default_factory=dict)
    at_s: float = 0.0


class PeerLoadSums:
    """Sums of the loads that other entry VMs announced and that haven't expired.

    The sums are updated incrementally, since each choice reads the load of every backend server and
    hundreds of peers announce loads.

    :param clock: monotonic clock in seconds
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        # By peer name, least recent announcement first.
        self._peers: OrderedDict[str, PeerLoads] = OrderedDict()
        self._sums: dict[str, LoadCounter] = {}

    def record(self, peer: str, loads: Mapping[str, Load]) -> None:
        """Replace the loads of a peer.

        :param peer: name of the entry VM
        :param loads: the peer's work by backend server
        """
        held = self._peers.pop(peer, PeerLoads()).loads
        self._count(held, loads)
        self._peers[peer] = PeerLoads(loads, self._clock())

    def _count(self, old: Mapping[str, Load], new: Mapping[str, Load]) -> None:
        for backend, load in old.items():
            if new.get(backend) != load:
                self._sums.setdefault(backend, LoadCounter()).add(load, -1)
        for backend, load in new.items():
            if old.get(backend) != load:
                self._sums.setdefault(backend, LoadCounter()).add(load, 1)

    def drop_expired(self) -> None:
        """Drop the loads of peers whose last announcement has expired."""
        oldest = self._clock() - PEER_LOAD_TTL_S
        while self._peers:
            peer = next(iter(self._peers))
            if self._peers[peer].at_s >= oldest:
                return
            self.forget(peer)

    def forget(self, peer: str) -> None:
        """Drop the loads of a peer.

        :param peer: name of the entry VM
        """
        held = self._peers.pop(peer, None)
        if held is not None:
            self._count(held.loads, {})

    def count_peers(self) -> int:
        """Return the number of entry VMs whose announced loads haven't expired."""
        self.drop_expired()
        return len(self._peers)

    def find(self, backend: str) -> LoadCounter | None:
        """Return the announced work at a backend server, ``None`` if none was ever announced.

        :param backend: name of the backend server
        """
        return self._sums.get(backend)

    def list_backends(self) -> list[str]:
        """Return the names of the backend servers that peers announced loads for."""
        return list(self._sums)

    def forget_backends(self, keep: Collection[str]) -> None:
        """Drop removed backend servers once they are idle.

        :param keep: names of the backend servers that still exist
        """
        for name in [name for name in self._sums if name not in keep]:
            if self._sums[name] == LoadCounter():
                del self._sums[name]


class Sources(msgspec.Struct, frozen=True):
    """Numbers of calls that run at a backend server, by sender.

    :ivar own: calls of this entry VM
    :ivar local: calls of its region's other entry VMs
    :ivar remote: calls of other regions
    """

    own: int = 0
    local: int = 0
    remote: int = 0


class Backlogs:
    """Work at all backend servers: of this entry VM, of its region's peers and of other regions.

    :param clock: monotonic clock in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._own: dict[str, LoadCounter] = {}
        self._local = PeerLoadSums(clock)
        self._remote = PeerLoadSums(clock)

    def begin(
        self,
        backend: str,
        size: Size,
        on_answer_start: Callable[[], None],
        on_change: Callable,
    ) -> "Work":
        """Count a call that is sent to a backend server.

        :param backend: name of the backend server
        :param size: work of the call at the backend server
        :param on_answer_start: called when the answer begins
        :param on_change: called after the answer has begun or the call has ended
        """
        return Work(self._own.setdefault(backend, LoadCounter()), size, on_answer_start, on_change)

    def record_peer_loads(self, peer: str, loads: Mapping[str, Load]) -> None:
        """Record the loads that a peer of the local region announced.

        :param peer: name of the entry VM
        :param loads: the peer's work by backend server
        """
        self._local.record(peer, loads)

    def record_region_loads(self, peer: str, sums: Mapping[str, Load]) -> None:
        """Record the loads that a coordinator announced for its whole region.

        :param peer: name of the coordinator
        :param sums: the region's work by backend server
        """
        self._remote.record(peer, sums)

    def forget_peer(self, peer: str) -> None:
        """Drop the loads of a removed peer.

        :param peer: name of the entry VM
        """
        self._local.forget(peer)
        self._remote.forget(peer)

    def count_reporting_peers(self) -> int:
        """Return the number of peers and coordinators whose announced loads haven't expired."""
        return self._local.count_peers() + self._remote.count_peers()

    def list_own(self) -> dict[str, Load]:
        """Return this entry VM's work by backend server, for announcement to the peers."""
        return {name: own.freeze() for name, own in self._own.items() if own.running}

    def list_region(self) -> dict[str, Load]:
        """Return the local region's work by backend server, for coordinators of other regions."""
        self._local.drop_expired()
        names = {*self._own, *self._local.list_backends()}
        found = {name: sum_counters(self._own.get(name), self._local.find(name)) for name in names}
        return {name: load for name, load in found.items() if load.running}

    def find(self, backend: str) -> Load:
        """Return the work of all entry VMs at a backend server.

        :param backend: name of the backend server
        """
        self._local.drop_expired()
        self._remote.drop_expired()
        return sum_counters(
            self._own.get(backend), self._local.find(backend), self._remote.find(backend)
        )

    def count_sources(self, backend: str) -> Sources:
        """Return who sent the calls that run at a backend server.

        :param backend: name of the backend server
        """
        self._local.drop_expired()
        self._remote.drop_expired()
        return Sources(
            *(
                counter.running if counter is not None else 0
                for counter in (
                    self._own.get(backend),
                    self._local.find(backend),
                    self._remote.find(backend),
                )
            )
        )

    def forget(self, keep: Collection[str]) -> None:
        """Drop removed backend servers once they are idle.

        :param keep: names of the backend servers that still exist
        """
        for name in [name for name, own in self._own.items() if name not in keep]:
            if not self._own[name].running:
                del self._own[name]
        self._local.forget_backends(keep)
        self._remote.forget_backends(keep)


def sum_counters(*counters: LoadCounter | None) -> Load:
    """Return the sum of counters.

    :param counters: the counters; ``None`` counts as no work
    """
    present = [counter for counter in counters if counter is not None]
    if len(present) == 1:
        return present[0].freeze()
    reading = tuple(map(sum, zip(*(counter.reading for counter in present), strict=True)))
    return Load(
        sum(counter.running for counter in present),
        reading if any(reading) else (),
        sum(counter.memory_tokens for counter in present),
        sum(counter.close for counter in present),
    )


class Work:
    """Counts one call at a backend server until the call ends; use as a context manager.

    :param own: counters of this entry VM's work at the backend server
    :param size: work of the call
    :param on_answer_start: called when the answer begins
    :param on_change: called after the answer has begun or the call has ended
    """

    def __init__(
        self,
        own: LoadCounter,
        size: Size,
        on_answer_start: Callable[[], None],
        on_change: Callable[[], None],
    ):
        self._own = own
        self._size = size
        self._on_answer_start = on_answer_start
        self._on_change = on_change
        self._begun = False
        own.running += 1
        self._rank = min(size.urgency, URGENCIES - 1)
        own.reading[self._rank] += size.reading_tokens
        own.memory_tokens += size.memory_tokens
        own.close += size.close

    def __enter__(self) -> "Work":
        return self

    def record_answer_start(self) -> None:
        """Subtract the prompt from the backlog, as the answer has begun."""
        if not self._begun:
            self._count_read()
            self._on_answer_start()
            self._on_change()

    def _count_read(self) -> None:
        self._begun = True
        self._own.reading[self._rank] -= self._size.reading_tokens

    def cancel(self) -> None:
        """Subtract the work of a call that was not sent."""
        self.__exit__(None, None, None)

    def __exit__(self, *exc_info) -> None:
        if not self._begun:
            self._count_read()
        self._own.running -= 1
        self._own.memory_tokens -= self._size.memory_tokens
        self._own.close -= self._size.close
        self._on_change()


def add_loads(one: Load, other: Load) -> Load:
    """Return the sum of two loads of a backend server.

    :param one: a load
    :param other: the other load
    """
    counter = LoadCounter()
    counter.add(one, 1)
    counter.add(other, 1)
    return counter.freeze()
