"""Beats: datagrams between entry VMs of the platform path, and their schedule by peer group."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from balsamtally.backlogs import Load
from balsamtally.decoding import Count, Integer, IpNumber
from balsamtally.gateway_settings import GatewaySettings
from balsamtally.reports import Report
from balsamtally.server_limits import ToldLimit

# Prompt reads in one beat; the oldest are dropped beyond this.
MAX_READS_PER_BEAT = 64
# Reports in one beat; the oldest are dropped beyond this.
MAX_REPORTS_PER_BEAT = 32
# Interval of beats without changes; the load that a peer reports expires after 1.5 s.
REFRESH_BEAT_S = 1.0


class PromptRead(msgspec.Struct, frozen=True, array_like=True):
    """Shared prefix parts of a prompt that was sent to a backend server.

    :ivar backend: name of the backend server
    :ivar parts: names of the parts in order, with their token counts
    """

    backend: str
    parts: tuple[tuple[str, Integer], ...]


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """State that an entry VM announces to its peers.

    :ivar vm: name of the sender
    :ivar ip: its IP number
    :ivar domain: its failure domain
    :ivar incarnation: identity of its process
    :ivar revision: revision up to which it holds all published records
    :ivar leaving: whether it is shutting down and takes no new calls
    :ivar loads: its load by backend server, ``None`` if the beat doesn't carry it
    :ivar peers: IP numbers of some entry VMs that it receives beats from
    :ivar reads: shared prefix parts of prompts that it recently sent to backend servers
    :ivar read_state: whether it reads the platform, a
        :class:`~balsamtally.readers.PlatformReadState`
    :ivar region_loads: load of its whole region by backend server, ``None`` if it coordinates no
        service
    :ivar last_ask_number: number of its last placement request
    :ivar pending_asks: numbers of its placement requests without a final reply
    :ivar reports: its recent reports on backend servers
    :ivar departures: incarnations of backend servers that announced that they are leaving
    :ivar limits: limits that backend servers named
    :ivar era: era of the revision
    :ivar age_ms: time since the platform had no records beyond the sender's, in milliseconds;
        ``None`` from a sender that doesn't know it
    :ivar relays: whether it relays connections to backend servers
    """

    vm: str
    ip: IpNumber
    domain: str
    incarnation: str
    revision: Count
    leaving: bool
    loads: dict[str, Load] | None
    peers: tuple[IpNumber, ...]
    reads: tuple[PromptRead, ...] = ()
    read_state: int = 0
    region_loads: dict[str, Load] | None = None
    last_ask_number: Count = 0
    pending_asks: tuple[Count, ...] = ()
    reports: tuple[Report, ...] = ()
    departures: tuple[tuple[str, Count], ...] = ()
    limits: tuple[ToldLimit, ...] = ()
    era: Count = 0
    age_ms: Count | None = None
    relays: bool = False

    @property
    def position(self) -> tuple[int, int]:
        """Era, and revision up to which the sender holds all published records."""
        return (self.era, self.revision)


def make_initial_beat(settings: GatewaySettings, incarnation: str) -> Beat:
    """Return the first heartbeat that an entry VM announces after its start.

    :param settings: settings of the entry VM
    :param incarnation: identity of the process
    """
    return Beat(
        vm=settings.vm,
        ip=settings.peer_address[0],
        domain=settings.domain,
        incarnation=incarnation,
        revision=0,
        leaving=False,
        loads={},
        peers=(),
    )


@dataclass
class Peer:
    """Another entry VM.

    :ivar beat: its last beat
    :ivar heard_s: monotonic clock at the arrival of that beat
    :ivar silent: whether it was logged as silent since then
    """

    beat: Beat
    heard_s: float
    silent: bool = False


@dataclass(frozen=True)
class BeatTargets:
    """Receivers of one beat to a peer group.

    :ivar ips: IP numbers of the receivers
    :ivar reads: prompt reads that some of them haven't received yet
    :ivar partial: whether the group has other peers, which the next beats go to
    """

    ips: set[str]
    reads: tuple[PromptRead, ...]
    partial: bool


class PeerGroup:
    """Peers that receive beats at the same interval.

    :ivar reads: prompt reads for the next beat
    :param interval_s: time between two beats to the group, in seconds
    :param contains: tells whether a failure domain belongs to the group
    :param max_targets: most receivers of one beat; a larger group is served round robin
    """

    def __init__(self, interval_s: float, contains: Callable[[str], bool], max_targets: int):
        self._interval_s = interval_s
        self._contains = contains
        self._max_targets = max_targets
        self._next_index = 0
        self._batches: deque[tuple[PromptRead, ...]] = deque()
        self._due_s = 0.0
        self._last_sent: Beat | None = None
        self._last_sent_s = 0.0
        self.reads: list[PromptRead] = []

    def is_due(self, now: float, stretch: float = 1.0) -> bool:
        """Return whether a beat is due; if so, schedule the next one.

        :param now: monotonic clock in seconds
        :param stretch: factor on the interval to the next beat; values below 1 count as 1
        """
        if now < self._due_s:
            return False
        self._due_s = now + self._interval_s * max(1.0, stretch)
        return True

    def get_wait_s(self, now: float) -> float:
        """Return the time until the next beat is due, in seconds.

        :param now: monotonic clock in seconds
        """
        return max(0.0, self._due_s - now)

    def record_sent(self, beat: Beat, now: float) -> None:
        """Record that a beat was sent to the group.

        :param beat: the beat
        :param now: monotonic clock in seconds
        """
        self._last_sent = beat
        self._last_sent_s = now

    def is_refresh_due(self, now: float) -> bool:
        """Return whether the last beat is so old that it is sent again without changes.

        :param now: monotonic clock in seconds
        """
        return self._last_sent is None or now - self._last_sent_s >= REFRESH_BEAT_S

    def has_changes(self, beat: Beat) -> bool:
        """Return whether a beat differs from the last one that was sent.

        :param beat: the beat
        """
        sent = self._last_sent
        return bool(
            sent is None
            or beat.reads
            or beat.loads != sent.loads
            or beat.region_loads != sent.region_loads
            or beat.position != sent.position
            or beat.leaving != sent.leaving
            or beat.relays != sent.relays
            or beat.read_state != sent.read_state
            or beat.departures != sent.departures
            or list_rates(beat.limits) != list_rates(sent.limits)
        )

    def list_ips(self, alive: list[Peer]) -> set[str]:
        """Return the IP numbers of the group's live peers.

        :param alive: all live peers
        """
        return {peer.beat.ip for peer in alive if self._contains(peer.beat.domain)}

    def select_targets(self, alive: list[Peer]) -> BeatTargets:
        """Return the receivers of the next beat, round robin, and the prompt reads for them.

        A prompt read stays in the beats of one whole round, so that every peer receives it.

        :param alive: all live peers
        """
        ips = sorted(self.list_ips(alive))
        turns = max(1, math.ceil(len(ips) / self._max_targets))
        self._batches.append(self.take_reads())
        while len(self._batches) > turns:
            self._batches.popleft()
        reads = tuple(read for batch in self._batches for read in batch)[-MAX_READS_PER_BEAT:]
        if turns == 1:
            return BeatTargets(set(ips), reads, False)
        sent = {ips[(self._next_index + step) % len(ips)] for step in range(self._max_targets)}
        self._next_index = (self._next_index + self._max_targets) % len(ips)
        return BeatTargets(sent, reads, True)

    def take_reads(self) -> tuple[PromptRead, ...]:
        """Return the newest prompt reads for the next beat and clear them all."""
        taken = tuple(self.reads[-MAX_READS_PER_BEAT:])
        self.reads.clear()
        return taken


def list_rates(
    limits: tuple[ToldLimit, ...],
) -> set[tuple[str, int, float | None, int | None]]:
    """Return limits without their ages, which differ in each beat.

    :param limits: the limits in a beat
    """
    return {(*limit.key, limit.limit_per_s, limit.brittle) for limit in limits}
