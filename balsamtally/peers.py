"""The other entry VMs: found by seeds, heard by datagrams, asked for records they have before us.

Datagrams need no connection that could stall, and a partition heals with the next one. What they
carry is a hint: work in progress, how new the sender's records are, and whom it knows.
"""

import random
import time
from collections.abc import Callable, Collection, Sequence
from typing import Any
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent import socket
from gevent.event import Event

from balsamtally.backends import fetch
from balsamtally.backlogs import PEER_LOAD_S, Backlogs, Load
from balsamtally.beats import MAX_TOLD_REPORTS, Beat, Peer, PromptRead, Ring, Turn
from balsamtally.catalog import Catalog
from balsamtally.coordination import (
    Ask,
    Reply,
    Withdrawal,
    find_likely_coordinators,
    rank_coordinators,
    sum_region_load,
)
from balsamtally.errors import BalsamtallyError
from balsamtally.logs import log
from balsamtally.readers import PlatformReadState, should_read
from balsamtally.records import Update
from balsamtally.reports import Report
from balsamtally.sockets import close
from balsamtally.tasks import spawn_repeating

# Within a failure domain; each datagram wakes a small machine. Coordinators hear of each change
# besides, and others need the work of their peers only where none answers.
NEAR_BEAT_S = 0.2
# A beat that tells a coordinator of a change follows the one before after this time at the soonest.
MIN_BEAT_S = 0.02
# To other failure domains of the region.
REGION_BEAT_S = 0.2
# Between coordinators of regions, who tell each other the work of their regions and the prompts
# that they gave runners to read; calls go to other regions by what is told so often.
SUMS_BEAT_S = 0.1
# Most by which a pause between near beats is longer than another, so that VMs don't beat as one.
NEAR_JITTER = 0.2
# Peers of a failure domain that hear each beat. Where there are more they take turns, since a beat
# wakes each of them: with 33 of the users' largest fleet each hears of a VM every 0.5 s.
NEAR_PEERS = 8
# To other regions, where bytes are billed; records must pass on within a second.
FAR_BEAT_S = 0.2
# Peers of other regions that hear each far beat. Where there are more, beats are sent less often,
# this many times at most: work that is told so seldom is too old to count, records are not.
FAR_PEERS = 8
MAX_FAR_STRETCH = 4.0
# Entry VMs that were not heard lately and are tried with each far beat.
UNHEARD_PEERS = 4
ALIVE_S = 2.5
# A far peer is heard seldom where there are many: of 55 each after 5 s on average.
FAR_ALIVE_S = 15.0
# A peer that was silent for so long no longer shares in the fleet's budgets.
FORGET_S = 60.0
PULL_TIMEOUT_S = 1.5
# A peer's newer records are waited for by the own watch for so long before they are asked for.
PULL_DELAY_S = 0.25
# A VM that doesn't read the platform asks sooner, but not all of them the one reader at once.
RELAY_DELAY_S = (0.0, 0.1)
MAX_DATAGRAM_BYTES = 16_384
# Peers told of in a greeting; a failure domain of the users' largest site has 14.
MAX_TOLD_PEERS = 24
# Peers told of in each other beat, so that all are known within a second or two.
TOLD_PEERS = 3
RECORDS_PATH = b"/records"
# Service of backend servers that aren't known here.
UNKNOWN_SERVICE = ""
Message = Ask | Withdrawal | Reply


class Peers:
    """Beats to and from the other entry VMs, closed by context.

    :ivar handlers: take in other messages than beats, by their type, with the sender's IP number
    :ivar describe_asks: returns the numbers of the last request for a place and of the open ones
    :ivar list_claims: returns the prompts of calls that wait for backend servers
    :ivar was_asked_recently: tells whether peers asked this entry VM lately for places at a service

    :param own: first beat of this entry VM
    :param port: port for datagrams and for asking, the same on all entry VMs
    :param seeds: IP numbers of entry VMs that may be there
    :param catalog: own records
    :param backlogs: own work and that of the peers
    :param find_region: returns the region of a failure domain
    :param note_heard: called with each beat of a peer
    """

    def __init__(
        self,
        own: Beat,
        port: int,
        seeds: tuple[str, ...],
        catalog: Catalog,
        backlogs: Backlogs,
        find_region: Callable[[str], str],
        note_heard: Callable[[Beat], None],
    ):
        self.own = own
        self.leaving = False
        self.seeds = seeds
        self._port = port
        self._catalog = catalog
        self._backlogs = backlogs
        self._peers: dict[str, Peer] = {}
        self._heard_of: dict[str, float] = {}
        self._find_region = find_region
        self._region = find_region(own.domain)
        self._note_heard = note_heard
        self._rings = (
            Ring(NEAR_BEAT_S, lambda domain: domain == own.domain, NEAR_PEERS),
            Ring(REGION_BEAT_S, self._is_beside, NEAR_PEERS),
            Ring(FAR_BEAT_S, self._is_far, FAR_PEERS),
        )
        self._coordinators = Ring(SUMS_BEAT_S, self._is_far, FAR_PEERS)
        self._claimed_s: dict[str, float] = {}
        self._reports: list[Report] = []
        self.handlers: dict[type, Callable[[Any, str], None]] = {}
        self.describe_asks: Callable[[], tuple[int, tuple[int, ...]]] = lambda: (0, ())
        self.was_asked_recently: Callable[[str], bool] = lambda service: False
        self.list_claims: Callable[[], dict[str, Load]] = dict
        self._new: set[str] = set()
        self._new_ips: set[str] = set()
        self._wake = Event()
        self._pulling = False
        self._behind_since_s: float | None = None
        self.read_state = PlatformReadState.RESTING
        self._random = random.Random()

    def __enter__(self) -> "Peers":
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self.own.ip, self._port))
        self._tasks = [
            spawn_repeating("receive beats", self._receive),
            spawn_repeating("send beats", self._send_next),
        ]
        return self

    def __exit__(self, *exc_info) -> None:
        gevent.killall(self._tasks, block=False)
        close(self._socket)

    # Members.

    def list_alive(self) -> list[Peer]:
        """Return the peers that were heard lately."""
        now = time.monotonic()
        return [peer for peer in self._peers.values() if self._is_alive(peer, now)]

    def _is_alive(self, peer: Peer, now: float) -> bool:
        longest_s = FAR_ALIVE_S if self._is_far(peer.beat.domain) else ALIVE_S
        return now - peer.heard_s <= longest_s

    def _is_far(self, domain: str) -> bool:
        return self._find_region(domain) != self._region

    def _is_beside(self, domain: str) -> bool:
        return domain != self.own.domain and not self._is_far(domain)

    def record_read_state(self, read_state: PlatformReadState) -> None:
        """Take in how this entry VM stands to the platform, and tell the peers of a change.

        :param read_state: how it stands
        """
        if read_state != self.read_state:
            log.info("platform_reading", before=self.read_state.name, now=read_state.name)
            self.read_state = read_state
            self._wake.set()

    def should_read(self) -> bool:
        """Return whether this entry VM is to read the platform itself."""
        own = msgspec.structs.replace(self.own, read_state=self.read_state)
        heard = [peer.beat for peer in self.list_alive()]
        return should_read(own, heard, self._find_behind_s(heard))

    def _find_behind_s(self, heard: Sequence[Beat]) -> float:
        """Return for how long peers have had newer records, in seconds."""
        if all(beat.revision <= self._catalog.records.complete_revision for beat in heard):
            self._behind_since_s = None
            return 0.0
        if self._behind_since_s is None:
            self._behind_since_s = time.monotonic()
        return time.monotonic() - self._behind_since_s

    def count_members(self) -> int:
        """Return how many entry VMs share the fleet's budgets, 0 if this one has heard of none.

        The silent ones count for some time, since they may spend their part behind a partition, and
        so do those that only others have heard yet, as after a loss of all.
        """
        return 1 + len(self._heard_of) if self._peers else 0

    # Coordinators.

    def find_coordinator(self, service: str, missed: Collection[str] = ()) -> Beat | None:
        """Return the last beat of the VM that places the calls of the own region.

        :param service: the service that the calls go to
        :param missed: names of VMs that are passed over
        :return: the beat, ``None`` if it is this entry VM
        """
        near = [peer.beat for peer in self.list_alive() if not self._is_far(peer.beat.domain)]
        own = self._make_own_rank()
        able = [beat for beat in (*near, own) if beat.vm not in missed]
        first = next(iter(rank_coordinators(service, able)), own)
        return None if first.vm == self.own.vm else first

    def _make_own_rank(self) -> Beat:
        whole = self._catalog.records.complete_revision
        return msgspec.structs.replace(self.own, revision=whole, leaving=self.leaving)

    def _coordinates(self, service: str) -> bool:
        return self.was_asked_recently(service) or self.find_coordinator(service) is None

    def _list_services(self) -> list[str]:
        contracts = self._catalog.contracts
        return list(contracts.services) if contracts is not None else [UNKNOWN_SERVICE]

    def _make_sums(self) -> dict[str, Load] | None:
        """Return the work of the region at the services that this VM coordinates."""
        own = {service for service in self._list_services() if self._coordinates(service)}
        if not own:
            return None
        claims = {name: load for name, load in self.list_claims().items() if self._is_at_home(name)}
        work = sum_region_load(self._backlogs.list_region(), claims)
        return {name: load for name, load in work.items() if self._find_service(name) in own}

    def _find_service(self, backend: str) -> str:
        found = self._catalog.backends.get(backend)
        return found.service if found is not None else UNKNOWN_SERVICE

    def _is_at_home(self, backend: str) -> bool:
        found = self._catalog.backends.get(backend)
        return found is not None and not self._is_far(found.domain)

    def _list_counterparts(self, alive: list[Peer], now: float) -> set[str]:
        """Return the IP numbers of the coordinators of other regions."""
        regions: dict[str, list[Beat]] = {}
        for peer in alive:
            if self._is_far(peer.beat.domain):
                regions.setdefault(self._find_region(peer.beat.domain), []).append(peer.beat)
        claimed = {vm for vm, at in self._claimed_s.items() if now - at < PEER_LOAD_S}
        services = self._list_services()
        return {
            beat.ip
            for beats in regions.values()
            for beat in find_likely_coordinators(services, beats, claimed)
        }

    # Beats.

    def _send_next(self) -> None:
        now = time.monotonic()
        near, beside, far = self._rings
        alive = self.list_alive()
        self._greet(alive)
        self._tell_near(near, alive, now)
        if self._coordinators.is_due(now):
            self._tell_coordinators(alive, now)
        if beside.is_due(now):
            self._send_news(beside, alive, beside.take_turn(alive), now, tells_work=True)
        far_ips = far.list_ips(alive)
        if far.is_due(now, min(MAX_FAR_STRETCH, len(far_ips) / FAR_PEERS)):
            self._forget_silent(now)
            targets = self._draw(far_ips, FAR_PEERS)
            turn = Turn(targets, (), len(targets) < len(far_ips))
            self._send_news(far, alive, turn, now)
            unheard = self._draw(self._list_unheard(alive), UNHEARD_PEERS)
            self._send(self._make_beat(alive), unheard)
        if self._wake.wait(near.find_wait_s(time.monotonic())):
            gevent.sleep(max(0.0, MIN_BEAT_S - (time.monotonic() - now)))
            self._wake.clear()

    def _tell_near(self, ring: Ring, alive: list[Peer], now: float) -> None:
        """Tell coordinators of each change, and the other VMs of the failure domain in turns."""
        ips, reads = set(), ()
        if ring.is_due(now, 1.0 + self._random.uniform(0, NEAR_JITTER)):
            turn = ring.take_turn(alive)
            ips, reads = turn.ips, turn.reads
        found = [self.find_coordinator(service) for service in self._list_services()]
        coordinators = {beat.ip for beat in found if beat is not None}
        beat = self._make_beat(alive, reads, loads=self._backlogs.list_own())
        self._send(beat, ips - coordinators)
        reports = tuple(self._reports[-MAX_TOLD_REPORTS:])
        self._reports.clear()
        self._send(msgspec.structs.replace(beat, reports=reports), coordinators)

    def _tell_coordinators(self, alive: list[Peer], now: float) -> None:
        """Tell coordinators of other regions the work of this one, and what is read."""
        ring = self._coordinators
        sums = self._make_sums()
        reads = ring.take_reads()
        if sums is None and not reads:
            return
        beat = self._make_beat((), reads, 0, sums=sums)
        if (sums and ring.is_silent(now)) or ring.has_news(beat):
            self._send(beat, self._list_counterparts(alive, now))
            ring.note_sent(beat, now)

    def _send_news(
        self, ring: Ring, alive: list[Peer], turn: Turn, now: float, tells_work: bool = False
    ) -> None:
        """Send a beat to peers where bytes are billed, if it tells them anything.

        It always goes out where each goes to other peers, since what is old to some is new to them.
        """
        silent = ring.is_silent(now)
        loads = self._backlogs.list_own() if tells_work else None
        beat = self._make_beat(alive, turn.reads, TOLD_PEERS if silent else 0, loads)
        if turn.partial or silent or ring.has_news(beat):
            self._send(beat, turn.ips)
            ring.note_sent(beat, now)

    def record_read(self, read: PromptRead) -> None:
        """Tell the peers soon that a backend server was given a prompt to read.

        :param read: its shared parts
        """
        if read.parts:
            for ring in (*self._rings[:2], self._coordinators):
                ring.reads.append(read)

    def announce_report(self, report: Report) -> None:
        """Tell the coordinator of a service soon what was found of a backend server.

        :param report: the finding
        """
        self._reports.append(report)
        self.announce_change()

    def announce_change(self) -> None:
        """Tell coordinators soon that the own work has changed."""
        self._wake.set()

    def _greet(self, alive: list[Peer]) -> None:
        """Tell peers that are new to us at once of their neighbours, and new addresses of us."""
        for peer in alive:
            if peer.beat.vm in self._new:
                like = [other for other in alive if other.beat.domain == peer.beat.domain]
                self._send(self._make_beat(like, most=MAX_TOLD_PEERS), {peer.beat.ip})
        heard = {peer.beat.ip for peer in alive}
        self._send(self._make_beat(()), self._new_ips - heard)
        self._new.clear()
        self._new_ips.clear()

    def _list_unheard(self, alive: list[Peer]) -> set[str]:
        """Return IP numbers of entry VMs that may be there but were not heard lately."""
        unheard = (set(self.seeds) | self._heard_of.keys()) - {peer.beat.ip for peer in alive}
        return unheard - {self.own.ip}

    def _draw(self, ips: set[str], most: int) -> set[str]:
        return set(self._random.sample(sorted(ips), min(most, len(ips))))

    def _make_beat(
        self,
        told: Sequence[Peer],
        reads: tuple[PromptRead, ...] = (),
        most: int = TOLD_PEERS,
        loads: dict[str, Load] | None = None,
        sums: dict[str, Load] | None = None,
    ) -> Beat:
        asked, open_asks = self.describe_asks()
        return msgspec.structs.replace(
            self.own,
            revision=self._catalog.records.complete_revision,
            leaving=self.leaving,
            read_state=self.read_state,
            loads=loads,
            peers=tuple(self._draw({peer.beat.ip for peer in told}, most)),
            reads=reads,
            sums=sums,
            asked=asked,
            open_asks=open_asks,
        )

    def _send(self, beat: Beat, targets: set[str]) -> None:
        data = msgspec.msgpack.encode(beat)
        for ip in targets:
            self._send_data(data, ip)

    def send_message(self, message: Message, ip: str) -> None:
        """Send a message that is no beat; it may be lost.

        :param message: the message
        :param ip: IP number of the entry VM that gets it
        """
        self._send_data(msgspec.msgpack.encode(message), ip)

    def _send_data(self, data: bytes, ip: str) -> None:
        try:
            self._socket.sendto(data, (ip, self._port))
        except OSError as error:
            log.debug("beat_not_sent", peer=ip, why=str(error))

    def _receive(self) -> None:
        data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        try:
            message = msgspec.msgpack.decode(data, type=Beat | Message)
        except msgspec.MsgspecError as error:
            log.warning("beat_refused", peer=sender[0], why=str(error))
            return
        if isinstance(message, Beat):
            self._take_beat(message)
        elif (handler := self.handlers.get(type(message))) is not None:
            handler(message, sender[0])

    def _take_beat(self, beat: Beat) -> None:
        if beat.vm == self.own.vm:
            return
        now = time.monotonic()
        held = self._peers.get(beat.vm)
        if held is None or held.beat.incarnation != beat.incarnation:
            log.info("peer_seen", peer=beat.vm, incarnation=beat.incarnation)
            self._new.add(beat.vm)
        elif held.silent:
            log.info("peer_back", peer=beat.vm, silent_s=round(now - held.heard_s, 1))
        self._peers[beat.vm] = Peer(beat, now)
        self._heard_of[beat.ip] = now
        for ip in beat.peers:
            if ip not in self._heard_of and ip != self.own.ip:
                self._new_ips.add(ip)
                self._heard_of[ip] = now
        if self._new or self._new_ips:
            self._wake.set()
        if not self._is_far(beat.domain):
            if beat.loads is not None:
                self._backlogs.note_peer(beat.vm, beat.loads)
        elif beat.sums is not None:
            self._backlogs.note_region(beat.vm, beat.sums)
            self._claimed_s[beat.vm] = now
        self._note_heard(beat)
        if beat.revision > self._catalog.records.complete_revision:
            self._pull_later()

    def _forget_silent(self, now: float) -> None:
        for name, peer in list(self._peers.items()):
            silent_s = now - peer.heard_s
            if not peer.silent and not self._is_alive(peer, now):
                peer.silent = True
                log.info("peer_silent", peer=name, silent_s=round(silent_s, 1))
            if silent_s > FORGET_S:
                del self._peers[name]
                self._claimed_s.pop(name, None)
                self._backlogs.forget_peer(name)
        for ip in [ip for ip, heard_s in self._heard_of.items() if now - heard_s > FORGET_S]:
            del self._heard_of[ip]

    # Records.

    def _pull_later(self) -> None:
        if not self._pulling:
            self._pulling = True
            reads = self.read_state == PlatformReadState.READING
            delay_s = PULL_DELAY_S if reads else self._random.uniform(*RELAY_DELAY_S)
            gevent.spawn_later(delay_s, self._pull)

    def _pull(self) -> None:
        """Ask a peer whose records are newer for what this entry VM lacks."""
        try:
            revision = self._catalog.records.complete_revision
            alive = self.list_alive()
            newest = max((peer.beat.revision for peer in alive), default=0)
            if newest > revision:
                # One that is itself cut off from the platform may hold what was withdrawn since.
                newest_peers = [peer for peer in alive if peer.beat.revision == newest]
                self._pull_from(self._random.choice(newest_peers), revision)
        finally:
            self._pulling = False

    def _pull_from(self, peer: Peer, revision: int) -> None:
        target = RECORDS_PATH + b"?since=%d" % revision
        try:
            status, body = fetch((peer.beat.ip, self._port), target, PULL_TIMEOUT_S)
            if status != 200:
                raise ValueError(f"status {status}")
            update = msgspec.msgpack.decode(body, type=Update)
        except (BalsamtallyError, ValueError) as error:
            log.info("pull_failed", peer=peer.beat.vm, reason=str(error))
            return
        self._catalog.merge_update(update, peer.beat.vm)

    def answer_pull(self, query: str) -> bytes:
        """Return the records that a peer asks for.

        :param query: query of its request
        :raises ValueError: if it isn't valid
        """
        since = int(parse_qs(query).get("since", ["0"])[0])
        return msgspec.msgpack.encode(self._catalog.make_update(since))
