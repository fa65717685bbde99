"""Gossip between the entry VMs of the platform path: discovery by seeds, beats, record pulls.

Datagrams need no connection that could stall, and after a partition the next one restores contact.
Their content is advisory: work in progress, the revision of the sender's records and known peers.
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
from balsamtally.backlogs import PEER_LOAD_TTL_S, Backlogs, Load
from balsamtally.beats import MAX_REPORTS_PER_BEAT, Beat, BeatTargets, Peer, PeerGroup, PromptRead
from balsamtally.calls import Backend
from balsamtally.catalog import Catalog
from balsamtally.coordination import (
    Ask,
    Reply,
    Withdrawal,
    find_likely_coordinators,
    rank_coordinators,
    sum_region_load,
)
from balsamtally.decoding import decode
from balsamtally.errors import BalsamtallyError
from balsamtally.logs import log
from balsamtally.origin_exchange import OriginAsk, OriginNotice, OriginReply
from balsamtally.permits import PermitAsk, PermitGrant
from balsamtally.quarantine_messages import QuarantineUpdate
from balsamtally.readers import DEFAULT_READ_TIMES, PlatformReadState, should_read
from balsamtally.records import Update
from balsamtally.reports import Report
from balsamtally.server_limits import ToldLimit
from balsamtally.sockets import close
from balsamtally.stalls import SilenceNotice
from balsamtally.tasks import spawn_repeating

# Interval within a failure domain; each datagram wakes a small machine. Coordinators also receive
# each change at once; other VMs need their peers' load only if no coordinator replies.
LOCAL_BEAT_S = 0.2
# Shortest interval between two beats that report changes to a coordinator.
MIN_BEAT_S = 0.02
# Interval to other failure domains of the region.
REGION_BEAT_S = 0.2
# Interval between coordinators of different regions, which exchange the load of their regions and
# the prompts sent to runners. Placement in other regions relies on this data.
REGION_LOADS_BEAT_S = 0.1
# Largest random extension of the interval, as a fraction, so that VMs don't send in lockstep.
LOCAL_BEAT_JITTER = 0.2
# Receivers of each beat in a failure domain; more peers are served round robin, since a beat wakes
# each receiver. With the 33 peers of the largest deployment each hears of a VM every 0.5 s.
MAX_LOCAL_TARGETS = 8
# Interval to other regions, where traffic is billed; records must arrive within a second.
REMOTE_BEAT_S = 0.2
# Receivers in other regions of each beat. With more peers the interval grows, at most by the factor
# below: load reported that rarely is too old to count, records are not.
MAX_REMOTE_TARGETS = 8
MAX_REMOTE_STRETCH = 4.0
# Entry VMs without recent beats that are tried with each beat to other regions.
MAX_UNHEARD_TARGETS = 4
ALIVE_S = 2.5
# Beats from other regions are rare in large fleets: with 55 remote peers one arrives from each
# every 5 s on average.
REMOTE_ALIVE_S = 15.0
# A peer that was silent for this long no longer shares the fleet's budgets.
FORGET_S = 60.0
PULL_TIMEOUT_S = 1.5
# Time for which a VM that watches the platform waits for newer records before it pulls from a peer.
PULL_DELAY_S = 0.25
# Range of the shorter, random delay of a VM that doesn't read the platform; it spreads the pulls
# from the one reader.
RELAY_DELAY_S = (0.0, 0.1)
MAX_DATAGRAM_BYTES = 16_384
# Peer addresses in a greeting; a failure domain of the largest site has 14 VMs.
MAX_PEERS_PER_GREETING = 24
# Peer addresses in any other beat; all VMs are known within a second or two.
MAX_PEERS_PER_BEAT = 3
RECORDS_PATH = b"/records"
# Stands for the service of unknown backend servers.
UNKNOWN_SERVICE = ""
Message = (
    Ask | Withdrawal | Reply | QuarantineUpdate | PermitAsk | PermitGrant | SilenceNotice
) | (OriginNotice | OriginAsk | OriginReply)

_message = msgspec.msgpack.Decoder(Beat | Message)
_update = msgspec.msgpack.Decoder(Update)


class Peers:
    """Exchanges beats with the other entry VMs; a context manager.

    :ivar handlers: handlers of the other message types; each gets the message and the sender's IP
        number
    :ivar describe_asks: returns the number of the last placement request and those of the pending
        ones
    :ivar list_waiting_loads: returns the load of queued calls by backend server
    :ivar list_limits: returns the limits of backend servers for a beat
    :ivar relays: tells whether this entry VM relays connections to backend servers
    :ivar read_times: times of reading the platform
    :ivar was_asked_recently: tells whether peers recently sent placement requests for a service

    :param own: first beat of this entry VM
    :param port: port for datagrams and for pulls, the same on all entry VMs
    :param seeds: IP numbers of entry VMs that may be running
    :param catalog: records of this entry VM
    :param backlogs: load of this entry VM and of its peers
    :param find_region: returns the region of a failure domain
    :param on_beat: called with each beat of a peer
    """

    def __init__(
        self,
        own: Beat,
        port: int,
        seeds: tuple[str, ...],
        catalog: Catalog,
        backlogs: Backlogs,
        find_region: Callable[[str], str],
        on_beat: Callable[[Beat], None],
    ):
        self.own = own
        self.leaving = False
        self.seeds = seeds
        self._port = port
        self._catalog = catalog
        self._backlogs = backlogs
        self._peers: dict[str, Peer] = {}
        self._known_s: dict[str, float] = {}
        self._find_region = find_region
        self._region = find_region(own.domain)
        self._on_beat = on_beat
        self._groups = (
            PeerGroup(LOCAL_BEAT_S, lambda domain: domain == own.domain, MAX_LOCAL_TARGETS),
            PeerGroup(REGION_BEAT_S, self._is_same_region, MAX_LOCAL_TARGETS),
            PeerGroup(REMOTE_BEAT_S, self._is_remote, MAX_REMOTE_TARGETS),
        )
        self._coordinators = PeerGroup(REGION_LOADS_BEAT_S, self._is_remote, MAX_REMOTE_TARGETS)
        self._announced_s: dict[str, float] = {}
        self._reports: list[Report] = []
        self.handlers: dict[type, Callable[[Any, str], None]] = {}
        self.describe_asks: Callable[[], tuple[int, tuple[int, ...]]] = lambda: (0, ())
        self.was_asked_recently: Callable[[str], bool] = lambda service: False
        self.list_waiting_loads: Callable[[], dict[str, Load]] = dict
        self.list_limits: Callable[[], tuple[ToldLimit, ...]] = tuple
        self.relays: Callable[[], bool] = lambda: False
        self._started_s = time.monotonic()
        self._new_peers: set[str] = set()
        self._new_ips: set[str] = set()
        self._wake = Event()
        self._pulling = False
        self._lagging_since_s: float | None = None
        self.read_state = PlatformReadState.RESTING
        self.read_times = DEFAULT_READ_TIMES
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

    # Membership.

    def list_alive(self) -> list[Peer]:
        """Return the peers whose last beat is recent."""
        now = time.monotonic()
        return [peer for peer in self._peers.values() if self._is_alive(peer, now)]

    def is_known(self, ip: str) -> bool:
        """Return whether an IP number is that of an entry VM whose beats arrive.

        :param ip: the IP number
        """
        return any(peer.beat.ip == ip for peer in self.list_alive())

    def _is_alive(self, peer: Peer, now: float) -> bool:
        longest_s = REMOTE_ALIVE_S if self._is_remote(peer.beat.domain) else ALIVE_S
        return now - peer.heard_s <= longest_s

    def _is_remote(self, domain: str) -> bool:
        return self._find_region(domain) != self._region

    def _is_same_region(self, domain: str) -> bool:
        return domain != self.own.domain and not self._is_remote(domain)

    def record_read_state(self, read_state: PlatformReadState) -> None:
        """Record whether this entry VM reads the platform, and announce a change to the peers.

        :param read_state: the state
        """
        if read_state != self.read_state:
            log.info("platform_reading", before=self.read_state.name, now=read_state.name)
            self.read_state = read_state
            self._wake.set()

    def should_read(self) -> bool:
        """Return whether this entry VM should read the platform itself."""
        era = self._catalog.records.era
        own = msgspec.structs.replace(self.own, read_state=self.read_state, era=era)
        heard = [peer.beat for peer in self.list_alive()]
        lag_s = self._measure_lag_s(heard)
        return should_read(own, heard, lag_s, self._catalog.age_s, self.read_times)

    def _measure_lag_s(self, heard: Sequence[Beat]) -> float:
        """Return the time for which peers have had newer records, in seconds."""
        if all(beat.position <= self._catalog.records.position for beat in heard):
            self._lagging_since_s = None
            return 0.0
        if self._lagging_since_s is None:
            self._lagging_since_s = time.monotonic()
        return time.monotonic() - self._lagging_since_s

    def count_members(self) -> int:
        """Return how many entry VMs share the fleet's budgets, 0 if no beat has arrived yet.

        Silent VMs count for ``FORGET_S``, since they may spend their share behind a partition. VMs
        that are known only from the beats of others count too, as after a restart of all VMs.
        """
        return 1 + len(self._known_s) if self._peers else 0

    def find_share(self) -> float:
        """Return the part of a fleet-wide rate that this entry VM and those it hears may spend.

        Silent VMs keep their part for ``FORGET_S``, as they may spend it behind a partition. A VM
        that has heard none since its start spends nothing for that time, unless it is the only one.
        """
        isolated = not self._peers and set(self.seeds) - {self.own.ip}
        if isolated and time.monotonic() - self._started_s < FORGET_S:
            return 0.0
        heard = 1 + len(self.list_alive())
        return heard / max(heard, 1 + len(self._known_s))

    # Coordinators.

    def find_decider(self, backend: Backend) -> Beat | None:
        """Return the last beat of the VM that decides on the requests to a backend server.

        It is the coordinator of the service in the region of the backend server, or if no VM is
        heard there the one among all VMs.

        :param backend: the backend server
        :return: the beat, ``None`` if it is this entry VM
        """
        beats = [peer.beat for peer in self.list_alive()] + [self._make_own_beat()]
        region = self._find_region(backend.domain)
        local = [beat for beat in beats if self._find_region(beat.domain) == region]
        first = next(iter(rank_coordinators(backend.service, local or beats)), None)
        return None if first is None or first.vm == self.own.vm else first

    def find_coordinator(self, service: str, excluded: Collection[str] = ()) -> Beat | None:
        """Return the last beat of the VM that coordinates a service in the local region.

        :param service: the service that the calls go to
        :param excluded: names of VMs that are skipped
        :return: the beat, ``None`` if this entry VM is the coordinator
        """
        local = [peer.beat for peer in self.list_alive() if not self._is_remote(peer.beat.domain)]
        own = self._make_own_beat()
        candidates = [beat for beat in (*local, own) if beat.vm not in excluded]
        first = next(iter(rank_coordinators(service, candidates)), own)
        return None if first.vm == self.own.vm else first

    def _make_own_beat(self) -> Beat:
        era, revision = self._catalog.records.position
        return msgspec.structs.replace(self.own, era=era, revision=revision, leaving=self.leaving)

    def coordinates(self, service: str) -> bool:
        """Return whether this entry VM places the local region's calls of a service.

        :param service: name of the service
        """
        return self.was_asked_recently(service) or self.find_coordinator(service) is None

    def _list_services(self) -> list[str]:
        contracts = self._catalog.contracts
        return list(contracts.services) if contracts is not None else [UNKNOWN_SERVICE]

    def _make_region_loads(self) -> dict[str, Load] | None:
        """Return the region's load by backend server, for services that this VM coordinates."""
        own = {service for service in self._list_services() if self.coordinates(service)}
        if not own:
            return None
        queued = {
            name: load
            for name, load in self.list_waiting_loads().items()
            if self._is_in_region(name)
        }
        work = sum_region_load(self._backlogs.list_region(), queued)
        return {name: load for name, load in work.items() if self._find_service(name) in own}

    def _find_service(self, backend: str) -> str:
        found = self._catalog.backends.get(backend)
        return found.service if found is not None else UNKNOWN_SERVICE

    def _is_in_region(self, backend: str) -> bool:
        found = self._catalog.backends.get(backend)
        return found is not None and not self._is_remote(found.domain)

    def _list_remote_coordinators(self, alive: list[Peer], now: float) -> set[str]:
        """Return the IP numbers of the coordinators of other regions."""
        regions: dict[str, list[Beat]] = {}
        for peer in alive:
            if self._is_remote(peer.beat.domain):
                regions.setdefault(self._find_region(peer.beat.domain), []).append(peer.beat)
        announced = {vm for vm, at in self._announced_s.items() if now - at < PEER_LOAD_TTL_S}
        services = self._list_services()
        return {
            beat.ip
            for beats in regions.values()
            for beat in find_likely_coordinators(services, beats, announced)
        }

    # Beats.

    def _send_next(self) -> None:
        now = time.monotonic()
        local, same_region, remote = self._groups
        alive = self.list_alive()
        self._send_greetings(alive)
        self._send_local(local, alive, now)
        if self._coordinators.is_due(now):
            self._send_region_loads(alive, now)
        if same_region.is_due(now):
            self._send_changes(
                same_region, alive, same_region.select_targets(alive), now, includes_loads=True
            )
        remote_ips = remote.list_ips(alive)
        if remote.is_due(now, min(MAX_REMOTE_STRETCH, len(remote_ips) / MAX_REMOTE_TARGETS)):
            self._forget_silent(now)
            ips = self._sample(remote_ips, MAX_REMOTE_TARGETS)
            targets = BeatTargets(ips, (), len(ips) < len(remote_ips))
            self._send_changes(remote, alive, targets, now)
            unheard = self._sample(self._list_unresponsive(alive), MAX_UNHEARD_TARGETS)
            self._send(self._make_beat(alive), unheard)
        if self._wake.wait(local.get_wait_s(time.monotonic())):
            gevent.sleep(max(0.0, MIN_BEAT_S - (time.monotonic() - now)))
            self._wake.clear()

    def _send_local(self, group: PeerGroup, alive: list[Peer], now: float) -> None:
        """Send each change to coordinators, and due beats to other VMs of the failure domain."""
        ips, reads = set(), ()
        if group.is_due(now, 1.0 + self._random.uniform(0, LOCAL_BEAT_JITTER)):
            targets = group.select_targets(alive)
            ips, reads = targets.ips, targets.reads
        found = [self.find_coordinator(service) for service in self._list_services()]
        coordinators = {beat.ip for beat in found if beat is not None}
        beat = self._make_beat(alive, reads, loads=self._backlogs.list_own())
        self._send(beat, ips - coordinators)
        reports = tuple(self._reports[-MAX_REPORTS_PER_BEAT:])
        self._reports.clear()
        self._send(msgspec.structs.replace(beat, reports=reports), coordinators)

    def _send_region_loads(self, alive: list[Peer], now: float) -> None:
        """Send the region's load and new prompt reads to coordinators of other regions."""
        group = self._coordinators
        region_loads = self._make_region_loads()
        reads = group.take_reads()
        if region_loads is None and not reads:
            return
        beat = self._make_beat((), reads, 0, region_loads=region_loads)
        if (region_loads and group.is_refresh_due(now)) or group.has_changes(beat):
            self._send(beat, self._list_remote_coordinators(alive, now))
            group.record_sent(beat, now)

    def _send_changes(
        self,
        group: PeerGroup,
        alive: list[Peer],
        targets: BeatTargets,
        now: float,
        includes_loads: bool = False,
    ) -> None:
        """Send a beat to peers where traffic is billed, if it carries changes or a refresh is due.

        A beat to a part of the group is always sent: its receivers may lack the last changes.
        """
        refresh = group.is_refresh_due(now)
        loads = self._backlogs.list_own() if includes_loads else None
        beat = self._make_beat(alive, targets.reads, MAX_PEERS_PER_BEAT if refresh else 0, loads)
        if targets.partial or refresh or group.has_changes(beat):
            self._send(beat, targets.ips)
            group.record_sent(beat, now)

    def record_read(self, read: PromptRead) -> None:
        """Queue a prompt read for the next beats.

        :param read: the shared parts of the prompt and its backend server
        """
        if read.parts:
            for group in (*self._groups[:2], self._coordinators):
                group.reads.append(read)

    def list_region_ips(self) -> list[str]:
        """Return the IP numbers of the live peers of the local region."""
        region = self._find_region(self.own.domain)
        return [
            peer.beat.ip
            for peer in self.list_alive()
            if self._find_region(peer.beat.domain) == region
        ]

    def announce_report(self, report: Report) -> None:
        """Queue a report on a backend server for the service's coordinator and wake the sender.

        :param report: the report
        """
        self._reports.append(report)
        self.announce_change()

    def announce_change(self) -> None:
        """Wake the sender, so that coordinators receive a change of load soon."""
        self._wake.set()

    def _send_greetings(self, alive: list[Peer]) -> None:
        """Send new peers the addresses of their failure domains, and new addresses a beat."""
        for peer in alive:
            if peer.beat.vm in self._new_peers:
                domain_peers = [other for other in alive if other.beat.domain == peer.beat.domain]
                self._send(
                    self._make_beat(domain_peers, max_peers=MAX_PEERS_PER_GREETING), {peer.beat.ip}
                )
        heard = {peer.beat.ip for peer in alive}
        self._send(self._make_beat(()), self._new_ips - heard)
        self._new_peers.clear()
        self._new_ips.clear()

    def _list_unresponsive(self, alive: list[Peer]) -> set[str]:
        """Return IP numbers of seeds and known entry VMs without a recent beat."""
        unheard = (set(self.seeds) | self._known_s.keys()) - {peer.beat.ip for peer in alive}
        return unheard - {self.own.ip}

    def _sample(self, ips: set[str], max_peers: int) -> set[str]:
        return set(self._random.sample(sorted(ips), min(max_peers, len(ips))))

    def _make_beat(
        self,
        known: Sequence[Peer],
        reads: tuple[PromptRead, ...] = (),
        max_peers: int = MAX_PEERS_PER_BEAT,
        loads: dict[str, Load] | None = None,
        region_loads: dict[str, Load] | None = None,
    ) -> Beat:
        last_ask_number, pending_asks = self.describe_asks()
        return msgspec.structs.replace(
            self.own,
            revision=self._catalog.records.complete_revision,
            era=self._catalog.records.era,
            age_ms=self._catalog.age_ms,
            leaving=self.leaving,
            read_state=self.read_state,
            loads=loads,
            peers=tuple(self._sample({peer.beat.ip for peer in known}, max_peers)),
            reads=reads,
            region_loads=region_loads,
            last_ask_number=last_ask_number,
            pending_asks=pending_asks,
            departures=self._catalog.list_departures(),
            limits=self.list_limits(),
            relays=self.relays(),
        )

    def _send(self, beat: Beat, ips: set[str]) -> None:
        data = msgspec.msgpack.encode(beat)
        for ip in ips:
            self._send_data(data, ip)

    def send_message(self, message: Message, ip: str) -> None:
        """Send another message than a beat; it may be lost.

        :param message: the message
        :param ip: IP number of the receiving entry VM
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
            message = decode(_message, data)
        except msgspec.DecodeError as error:
            log.warning("beat_refused", peer=sender[0], why=str(error))
            return
        try:
            self._handle_message(message, sender[0])
        except Exception:
            log.exception("handler_failed", message=type(message).__name__, peer=sender[0])

    def _handle_message(self, message: Beat | Message, ip: str) -> None:
        if isinstance(message, Beat):
            self._handle_beat(message)
        elif (handler := self.handlers.get(type(message))) is not None:
            handler(message, ip)

    def _handle_beat(self, beat: Beat) -> None:
        if beat.vm == self.own.vm:
            return
        now = time.monotonic()
        held = self._peers.get(beat.vm)
        if held is None or held.beat.incarnation != beat.incarnation:
            log.info("peer_seen", peer=beat.vm, incarnation=beat.incarnation)
            self._new_peers.add(beat.vm)
        elif held.silent:
            log.info("peer_back", peer=beat.vm, silent_s=round(now - held.heard_s, 1))
        self._peers[beat.vm] = Peer(beat, now)
        self._known_s[beat.ip] = now
        for ip in beat.peers:
            if ip not in self._known_s and ip != self.own.ip:
                self._new_ips.add(ip)
                self._known_s[ip] = now
        if self._new_peers or self._new_ips:
            self._wake.set()
        if not self._is_remote(beat.domain):
            if beat.loads is not None:
                self._backlogs.record_peer_loads(beat.vm, beat.loads)
        elif beat.region_loads is not None:
            self._backlogs.record_region_loads(beat.vm, beat.region_loads)
            self._announced_s[beat.vm] = now
        self._on_beat(beat)
        if beat.position > self._catalog.records.position:
            self._pull_later()
        elif beat.age_ms is not None:
            self._catalog.record_current(beat.age_ms / 1000)

    def _forget_silent(self, now: float) -> None:
        for name, peer in list(self._peers.items()):
            silent_s = now - peer.heard_s
            if not peer.silent and not self._is_alive(peer, now):
                peer.silent = True
                log.info("peer_silent", peer=name, silent_s=round(silent_s, 1))
            if silent_s > FORGET_S:
                del self._peers[name]
                self._announced_s.pop(name, None)
                self._backlogs.forget_peer(name)
        for ip in [ip for ip, heard_s in self._known_s.items() if now - heard_s > FORGET_S]:
            del self._known_s[ip]

    # Records.

    def _pull_later(self) -> None:
        if not self._pulling:
            self._pulling = True
            reads = self.read_state == PlatformReadState.READING
            delay_s = PULL_DELAY_S if reads else self._random.uniform(*RELAY_DELAY_S)
            gevent.spawn_later(delay_s, self._pull)

    def _pull(self) -> None:
        """Pull missing records from a peer with newer ones."""
        try:
            position = self._catalog.records.position
            alive = self.list_alive()
            newest = max((peer.beat.position for peer in alive), default=(0, 0))
            if newest > position:
                # A peer that is cut off from the platform may hold records withdrawn since, so only
                # peers with the newest revision are asked.
                newest_peers = [peer for peer in alive if peer.beat.position == newest]
                self._pull_from(self._random.choice(newest_peers), position)
        finally:
            self._pulling = False

    def _pull_from(self, peer: Peer, position: tuple[int, int]) -> None:
        """Pull the records after a position of this entry VM from a peer.

        A peer of an earlier release doesn't say whether it knows each removal after the position,
        so all its records are pulled, which tell what was removed.
        """
        era, since = position
        try:
            update = self._fetch_update(peer, era, since)
            if update.since is None and since and update.era == era:
                update = self._fetch_update(peer, era, 0)
        except (BalsamtallyError, ValueError) as error:
            log.info("pull_failed", peer=peer.beat.vm, reason=str(error))
            return
        self._catalog.merge_update(update, peer.beat.vm)

    def _fetch_update(self, peer: Peer, era: int, since: int) -> Update:
        target = RECORDS_PATH + b"?era=%d&since=%d" % (era, since)
        status, body = fetch((peer.beat.ip, self._port), target, PULL_TIMEOUT_S)
        if status != 200:
            raise ValueError(f"status {status}")
        update = decode(_update, body)
        log.info(
            "records_pulled",
            peer=peer.beat.vm,
            since=(era, since),
            covers_since=update.since,
            at=(update.era, update.complete_revision),
            records=len(update.records),
            removals=sum(record.value is None for record in update.records),
            unchanged_keys=len(update.unchanged_keys),
        )
        return update

    def answer_pull(self, query: str) -> bytes:
        """Return the records for a peer's pull.

        :param query: query string of the request
        :return: the update, encoded as MessagePack
        :raises ValueError: if the query isn't valid
        """
        fields = parse_qs(query)
        since = int(fields.get("since", ["0"])[0])
        era = int(fields["era"][0]) if "era" in fields else None
        return msgspec.msgpack.encode(self._catalog.make_update(since, era))
