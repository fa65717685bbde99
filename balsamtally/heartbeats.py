"""Heartbeats between entry VMs: failure detection, gossip of membership and ticket digests."""

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

import msgspec

from balsamtally.errors import BalsamtallyError
from balsamtally.logs import log
from balsamtally.members import ALIVE, DEAD, SUSPECT, Members
from balsamtally.messages import (
    Heartbeat,
    MemberExchange,
    MemberState,
    Message,
    Probe,
    ProbeResult,
)

HEARTBEAT_INTERVAL_S = 1.0
REPLY_TIMEOUT_S = 0.8
PROBE_TIMEOUT_S = 2.0
MAX_PROBE_HELPERS = 3
GATEWAYS_PER_DOMAIN = 2
MAX_GATEWAYS_TRIED = 8
GATEWAY_BACKOFF_S = 20.0
MAX_GOSSIP_STATES = 8
DEAD_PROBE_BEATS = 5
EXCHANGE_TIMEOUT_S = 3.0
EXCHANGE_INTERVAL_S = 5.0


class PeerLinks(Protocol):
    """Interface of the links that this module uses."""

    def call(self, vm: str, message: Message, timeout_s: float) -> Message:
        """Send a message and wait for its reply."""

    def cast(self, vm: str, message: Message) -> None:
        """Send a message without a reply; it may be lost."""

    def handle(self, kind: type, handler: Callable[[str, Any], Message | None]) -> None:
        """Set the handler of a kind of message."""


class Heartbeats:
    """Sends and answers the heartbeats of this entry VM.

    Each round calls one member of the local failure domain, round robin in shuffled order. A
    gateway also calls one gateway of another failure domain. If the member digests differ, the two
    VMs exchange their member states.

    :param members: the known entry VMs
    :param links: links to the peers
    :param get_digest: returns the digest of the tickets in force here
    :param on_digest: called with a peer's name and its digest of the tickets in force
    :param is_watching: whether this VM watches the platform's list
    :param clock: monotonic clock in seconds
    :param random: source of random numbers
    :param spawn: runs a function in a task of its own
    """

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        get_digest: Callable[[], str],
        on_digest: Callable[[str, str], None],
        is_watching: Callable[[], bool],
        clock: Callable[[], float],
        random: Random,
        spawn: Callable[..., Any],
    ):
        self.members = members
        self.links = links
        self._get_digest = get_digest
        self._on_digest = on_digest
        self._is_watching = is_watching
        self._clock = clock
        self._random = random
        self._spawn = spawn
        self._targets: list[str] = []
        self._beats = 0
        self._exchange_after = 0.0
        self._backoff_until: dict[str, float] = {}
        links.handle(Heartbeat, self._answer_heartbeat)
        links.handle(Probe, self._answer_probe)
        links.handle(MemberExchange, self._answer_exchange)

    def beat(self) -> None:
        """Run one heartbeat round."""
        self.members.tick()
        self._beats += 1
        target = self._pick_peer()
        if target:
            self._spawn(self.call_peer, target)
        gateway = self._pick_gateway()
        if gateway:
            self._spawn(self.call_peer, gateway)
        if self._beats % DEAD_PROBE_BEATS == 0:
            self._probe_dead_member()

    def _pick_peer(self) -> str | None:
        live = {state.name for state in self.members.list_peers((ALIVE, SUSPECT))}
        while live:
            if not self._targets:
                self._targets = sorted(live)
                self._random.shuffle(self._targets)
            name = self._targets.pop()
            if name in live:
                return name
        return None

    def _pick_gateway(self) -> str | None:
        domains = self.members.list_domains()
        if not domains or not self.is_gateway():
            return None
        return self.pick_remote(self._random.choice(domains))

    def is_gateway(self) -> bool:
        """Return whether this VM is a gateway of its failure domain to the others."""
        own = self.members.own
        return own.name in self.members.list_gateways(own.domain, GATEWAYS_PER_DOMAIN)

    def pick_remote(self, domain: str) -> str:
        """Return a gateway of another failure domain, avoiding those that recently didn't answer.

        :param domain: name of the failure domain
        """
        ranked = self.members.list_gateways(domain, MAX_GATEWAYS_TRIED)
        now = self._clock()
        good = [name for name in ranked if self._backoff_until.get(name, 0.0) <= now]
        return self._random.choice((good or ranked)[:GATEWAYS_PER_DOMAIN])

    def _probe_dead_member(self) -> None:
        """Call a member that counts as dead: a partition may have healed."""
        dead = self.members.list_peers((DEAD,), everywhere=self.is_gateway())
        if dead:
            self._spawn(self.call_peer, self._random.choice(dead).name)

    def call_peer(self, name: str) -> bool:
        """Exchange heartbeats with a peer, and suspect it if it doesn't answer.

        :param name: name of the peer
        :return: whether it answered
        """
        resume_count = self.members.resume_count
        try:
            reply = self.links.call(
                name, self._make_heartbeat(self._list_refutable(name)), REPLY_TIMEOUT_S
            )
        except BalsamtallyError:
            self.members.is_resuming()
            if self.members.resume_count == resume_count:
                self._handle_missed_reply(name)
            return False
        if not isinstance(reply, Heartbeat):
            return False
        self.members.is_resuming()
        if self.members.resume_count == resume_count:
            self.members.confirm_contact()
        self._merge_heartbeat(name, reply)
        return True

    def _list_refutable(self, name: str) -> tuple[MemberState, ...]:
        """Return the peer's own state if it isn't alive, so that the peer can refute it."""
        state = self.members.get_state(name)
        return () if state is None or state.status == ALIVE else (state,)

    def cast_heartbeat(self, name: str) -> None:
        """Send a heartbeat without a reply, to announce a new digest at once.

        :param name: name of the peer
        """
        self.links.cast(name, self._make_heartbeat(()))

    def cast_left_state(self) -> None:
        """Announce to the live members of the failure domain that this VM stops now."""
        heartbeat = self._make_heartbeat(())
        left = self.members.make_left_state()
        for state in self.members.list_peers((ALIVE,)):
            self.links.cast(state.name, msgspec.structs.replace(heartbeat, sender=left))

    def _make_heartbeat(self, refutable: tuple[MemberState, ...]) -> Heartbeat:
        watching = self._is_watching()
        return Heartbeat(
            sender=self.members.own_state,
            members=refutable + self.members.take_gossip(MAX_GOSSIP_STATES),
            digest=self._get_digest(),
            member_digests=self.members.list_view_digests(),
            listed_leaving=self.members.list_listed_leaving() if watching else None,
        )

    def _merge_heartbeat(self, name: str, heartbeat: Heartbeat) -> None:
        if heartbeat.sender.name != name:
            log.warning("foreign_heartbeat", peer=name, sender=heartbeat.sender.name)
            return
        self.members.merge_state(heartbeat.sender)
        for state in heartbeat.members:
            self.members.merge_state(state)
        if heartbeat.listed_leaving is not None:
            self.members.record_leaving_report(name, heartbeat.listed_leaving)
        self._on_digest(name, heartbeat.digest)
        self._compare_member_digests(name, heartbeat.member_digests)

    def _answer_heartbeat(self, name: str, heartbeat: Heartbeat) -> Heartbeat:
        self._merge_heartbeat(name, heartbeat)
        return self._make_heartbeat(self._list_refutable(name))

    # Failure detection.

    def _handle_missed_reply(self, name: str) -> None:
        state = self.members.get_state(name)
        if state is None or state.status != ALIVE:
            return
        if state.domain != self.members.own.domain:
            self._backoff_until[name] = self._clock() + GATEWAY_BACKOFF_S
            return
        self.members.suspect(name)
        suspected = self.members.get_state(name)
        helpers = [peer.name for peer in self.members.list_peers((ALIVE,))]
        for helper in self._random.sample(sorted(helpers), min(MAX_PROBE_HELPERS, len(helpers))):
            self._spawn(self._ask_helper, helper, suspected)

    def _ask_helper(self, helper: str, suspected: MemberState) -> None:
        try:
            reply = self.links.call(helper, Probe(suspected), PROBE_TIMEOUT_S)
        except BalsamtallyError:
            return
        if isinstance(reply, ProbeResult) and reply.target is not None:
            self.members.merge_state(reply.target)

    def _answer_probe(self, sender: str, probe: Probe) -> ProbeResult:
        self.members.merge_state(probe.target)
        name = probe.target.name
        try:
            heartbeat = self._make_heartbeat((probe.target,))
            reply = self.links.call(name, heartbeat, REPLY_TIMEOUT_S)
        except BalsamtallyError:
            return ProbeResult(None)
        if not isinstance(reply, Heartbeat):
            return ProbeResult(None)
        self._merge_heartbeat(name, reply)
        return ProbeResult(self.members.get_state(name))

    # Member exchange.

    def _compare_member_digests(self, name: str, member_digests: dict[str, int]) -> None:
        own = self.members.list_view_digests()
        domains = tuple(
            sorted(
                domain
                for domain in {*own, *member_digests}
                if own.get(domain) != member_digests.get(domain)
            )
        )
        if domains and self._clock() >= self._exchange_after:
            self._exchange_after = self._clock() + EXCHANGE_INTERVAL_S * (
                0.5 + self._random.random()
            )
            self._spawn(self.exchange_members, name, domains)

    def exchange_members(self, name: str, domains: tuple[str, ...]) -> None:
        """Exchange the known states of some failure domains' members with a peer.

        :param name: name of the peer
        :param domains: names of the failure domains
        """
        states = tuple(self.members.list_states(domains))
        try:
            reply = self.links.call(name, MemberExchange(states, domains), EXCHANGE_TIMEOUT_S)
        except BalsamtallyError:
            return
        if isinstance(reply, MemberExchange):
            self._merge_states(reply.members)

    def _answer_exchange(self, name: str, exchange: MemberExchange) -> MemberExchange:
        self._merge_states(exchange.members)
        return MemberExchange(tuple(self.members.list_states(exchange.domains)), exchange.domains)

    def _merge_states(self, states: tuple[MemberState, ...]) -> None:
        for state in states:
            self.members.merge_state(state)
