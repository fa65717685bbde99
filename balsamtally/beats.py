"""What entry VMs tell each other, and how often they tell whom."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from balsamtally.backlogs import Load
from balsamtally.reports import Report

# Reads told in one beat; more are forgotten, the oldest first.
MAX_TOLD_READS = 64
# Findings told in one beat; more are forgotten, the oldest first.
MAX_TOLD_REPORTS = 32
# A beat that says nothing new is sent this often; what a peer told counts for 1.5 s.
SAME_BEAT_S = 1.0


class PromptRead(msgspec.Struct, frozen=True, array_like=True):
    """Shared parts of a prompt that a backend server was given to read.

    :ivar backend: name of the backend server
    :ivar parts: the parts in order, with their tokens
    """

    backend: str
    parts: tuple[tuple[str, int], ...]


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """What an entry VM tells its peers.

    :ivar vm: name of the sender
    :ivar ip: its IP number
    :ivar domain: failure domain it stands in
    :ivar incarnation: identity of its process
    :ivar revision: newest record that it holds
    :ivar leaving: whether it is leaving
    :ivar loads: its work by backend server, ``None`` if the beat doesn't tell it
    :ivar peers: IP numbers of entry VMs that it hears
    :ivar reads: shared prompt parts that it lately gave backend servers to read
    :ivar read_state: whether it reads the platform, a
        :class:`~balsamtally.readers.PlatformReadState`
    :ivar sums: work of its whole region by backend server, ``None`` if it coordinates none
    :ivar asked: number of its last request for a place
    :ivar open_asks: numbers of those that it has no answer to
    :ivar reports: what it lately found of backend servers
    """

    vm: str
    ip: str
    domain: str
    incarnation: str
    revision: int
    leaving: bool
    loads: dict[str, Load] | None
    peers: tuple[str, ...]
    reads: tuple[PromptRead, ...] = ()
    read_state: int = 0
    sums: dict[str, Load] | None = None
    asked: int = 0
    open_asks: tuple[int, ...] = ()
    reports: tuple[Report, ...] = ()


@dataclass
class Peer:
    """An entry VM as it was heard last.

    :ivar beat: its last beat
    :ivar heard_s: steady clock at that time
    :ivar silent: whether it was logged as silent since
    """

    beat: Beat
    heard_s: float
    silent: bool = False


@dataclass(frozen=True)
class Turn:
    """One beat to the peers of a ring.

    :ivar ips: IP numbers of those that are told
    :ivar reads: reads that some of them were not told yet
    :ivar partial: whether others are told by the next beats
    """

    ips: set[str]
    reads: tuple[PromptRead, ...]
    partial: bool


class Ring:
    """Peers that are told equally often.

    :param pause_s: time between two beats to them, in seconds
    :param has: tells whether a failure domain belongs to it
    :param most: most peers that are told at a time; where there are more, they take turns
    """

    def __init__(self, pause_s: float, has: Callable[[str], bool], most: int):
        self._pause_s = pause_s
        self._has = has
        self._most = most
        self._place = 0
        self._batches: deque[tuple[PromptRead, ...]] = deque()
        self._due_s = 0.0
        self._told: Beat | None = None
        self._told_s = 0.0
        self.reads: list[PromptRead] = []

    def is_due(self, now: float, stretch: float = 1.0) -> bool:
        """Return whether a beat is due, and count it as sent.

        :param now: steady clock in seconds
        :param stretch: how much longer than usual the pause to the next one is, from 1 on
        """
        if now < self._due_s:
            return False
        self._due_s = now + self._pause_s * max(1.0, stretch)
        return True

    def find_wait_s(self, now: float) -> float:
        """Return the time until the next beat is due, in seconds.

        :param now: steady clock in seconds
        """
        return max(0.0, self._due_s - now)

    def note_sent(self, beat: Beat, now: float) -> None:
        """Take in that the ring's peers were sent a beat.

        :param beat: the beat
        :param now: steady clock in seconds
        """
        self._told = beat
        self._told_s = now

    def is_silent(self, now: float) -> bool:
        """Return whether the ring was told nothing for so long that it is told the same again.

        :param now: steady clock in seconds
        """
        return self._told is None or now - self._told_s >= SAME_BEAT_S

    def has_news(self, beat: Beat) -> bool:
        """Return whether a beat tells the ring anything that the one before did not.

        :param beat: the beat
        """
        told = self._told
        return bool(
            told is None
            or beat.reads
            or beat.loads != told.loads
            or beat.sums != told.sums
            or beat.revision != told.revision
            or beat.leaving != told.leaving
            or beat.read_state != told.read_state
        )

    def list_ips(self, alive: list[Peer]) -> set[str]:
        """Return the IP numbers of its peers.

        :param alive: the peers that were heard lately
        """
        return {peer.beat.ip for peer in alive if self._has(peer.beat.domain)}

    def take_turn(self, alive: list[Peer]) -> Turn:
        """Return whom to tell now, and which reads; each peer is told again after as many turns.

        :param alive: the peers that were heard lately
        """
        ips = sorted(self.list_ips(alive))
        turns = max(1, math.ceil(len(ips) / self._most))
        self._batches.append(self.take_reads())
        while len(self._batches) > turns:
            self._batches.popleft()
        reads = tuple(read for batch in self._batches for read in batch)[-MAX_TOLD_READS:]
        if turns == 1:
            return Turn(set(ips), reads, False)
        told = {ips[(self._place + step) % len(ips)] for step in range(self._most)}
        self._place = (self._place + self._most) % len(ips)
        return Turn(told, reads, True)

    def take_reads(self) -> tuple[PromptRead, ...]:
        """Return the newest of the reads to be told and forget all of them."""
        taken = tuple(self.reads[-MAX_TOLD_READS:])
        self.reads.clear()
        return taken
