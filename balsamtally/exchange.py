"""Anti-entropy exchange of change tickets between the entry VMs."""

from collections.abc import Iterable
from random import Random

import xxhash

from balsamtally.errors import BalsamtallyError, OperatorError
from balsamtally.facts import Facts
from balsamtally.heartbeats import Heartbeats, PeerLinks
from balsamtally.logs import log
from balsamtally.members import ALIVE, Members
from balsamtally.messages import (
    TicketDigests,
    TicketIndex,
    TicketNotice,
    TicketOffer,
    TicketRequest,
)
from balsamtally.tickets import decode_ticket

CALL_TIMEOUT_S = 5.0
MAX_OFFER_BYTES = 1_200_000
MAX_PUSH_BYTES = 16_000
MAX_ANNOUNCE_PEERS = 4
MAX_KNOWN_BODIES = 20_000
MAX_REASON_CHARS = 4000


class Exchange:
    """Accepts tickets and replicates them to the peers.

    Tickets from outside the failure domain are pushed to its members at once if they are small, and
    announced by a digest otherwise. A VM that receives a differing digest pulls what it lacks, so a
    push may be lost.

    :param facts: the tickets in force here
    :param members: the known entry VMs
    :param links: links to the peers
    :param heartbeats: sends the digests
    :param random: source of random numbers
    """

    def __init__(
        self,
        facts: Facts,
        members: Members,
        links: PeerLinks,
        heartbeats: Heartbeats,
        random: Random,
    ):
        self.facts = facts
        self._members = members
        self._links = links
        self._heartbeats = heartbeats
        self._random = random
        self._known_bodies: dict[int, None] = {}
        self._differing: dict[str, str] = {}
        links.handle(TicketOffer, self._answer_offer)
        links.handle(TicketDigests, self._answer_digests)
        links.handle(TicketRequest, self._answer_request)

    # From the platform.

    def merge_published(self, rows: Iterable[tuple[str, bytes]]) -> int:
        """Merge tickets read from the platform, which may be stale or older than before.

        :param rows: keys and values
        :return: number of new tickets and new refusals
        """
        new_bodies: list[bytes] = []
        notices: list[TicketNotice] = []
        for key, body in rows:
            body_hash = xxhash.xxh3_64_intdigest(body)
            if body_hash in self._known_bodies:
                continue
            self._record_body(body_hash)
            notice = self._decode_and_accept(body, key, new_bodies)
            if notice is not None:
                notices.append(notice)
        if new_bodies or notices:
            self._push(new_bodies, notices)
        return len(new_bodies) + len(notices)

    def _record_body(self, body_hash: int) -> None:
        self._known_bodies[body_hash] = None
        if len(self._known_bodies) > MAX_KNOWN_BODIES:
            del self._known_bodies[next(iter(self._known_bodies))]

    def _decode_and_accept(
        self, body: bytes, source: str, new_bodies: list[bytes]
    ) -> TicketNotice | None:
        """Accept or refuse one ticket.

        A new ticket is appended to ``new_bodies``; the notice of a new refusal is returned.
        """
        try:
            ticket = decode_ticket(body)
        except OperatorError as error:
            digest = xxhash.xxh3_128_hexdigest(body)
            notice = TicketNotice(digest, source, str(error)[:MAX_REASON_CHARS])
            return notice if self.facts.record_refused(notice) else None
        if self.facts.accept(ticket, body):
            new_bodies.append(body)
        return None

    # To the peers.

    def _push(self, new_bodies: list[bytes], notices: list[TicketNotice]) -> None:
        """Pass tickets from outside the failure domain on to its members and to other domains."""
        if sum(map(len, new_bodies)) <= MAX_PUSH_BYTES:
            offer = TicketOffer(tuple(new_bodies), tuple(notices))
            for peer in self._members.list_peers((ALIVE,)):
                self._links.cast(peer.name, offer)
        else:
            self._announce_in_domain()
        self._announce_to_domains()

    def _announce_in_domain(self) -> None:
        peers = [peer.name for peer in self._members.list_peers((ALIVE,))]
        for name in self._random.sample(sorted(peers), min(MAX_ANNOUNCE_PEERS, len(peers))):
            self._heartbeats.cast_heartbeat(name)

    def _announce_to_domains(self) -> None:
        """Send the new digest to the other failure domains, if this VM is a gateway."""
        if not self._heartbeats.is_gateway():
            return
        for domain in self._members.list_domains():
            self._heartbeats.cast_heartbeat(self._heartbeats.pick_remote(domain))

    def _answer_offer(self, name: str, offer: TicketOffer) -> None:
        new_bodies: list[bytes] = []
        for body in offer.tickets:
            self._decode_and_accept(body, name, new_bodies)
        for notice in offer.refused:
            self.facts.record_refused(notice)
        if new_bodies:
            self._announce_to_domains()

    # Pulls.

    def record_digest(self, name: str, digest: str) -> None:
        """Record the digest of a peer's tickets.

        :param name: name of the peer
        :param digest: the digest
        """
        if digest == self.facts.digest():
            self._differing.pop(name, None)
        else:
            self._differing[name] = digest

    def pull_one(self) -> bool:
        """Pull from one peer whose digest differs, if there is one.

        :return: whether new tickets arrived
        """
        while self._differing:
            name, digest = self._differing.popitem()
            if digest != self.facts.digest():
                return self.pull(name)
        return False

    def pull(self, name: str) -> bool:
        """Pull the tickets that a peer has and this VM lacks.

        :param name: name of the peer
        :return: whether new tickets arrived
        """
        buckets = self.facts.list_buckets()
        try:
            index = self._links.call(name, TicketDigests(buckets), CALL_TIMEOUT_S)
            if not isinstance(index, TicketIndex):
                return False
            new_bodies = self._pull_bodies(name, index)
        except BalsamtallyError as error:
            log.info("pull_failed", peer=name, reason=str(error))
            return False
        self._merge_conflicts_and_refusals(index)
        if new_bodies:
            self._forward_pulled(name, new_bodies)
        return bool(new_bodies)

    def _pull_bodies(self, name: str, index: TicketIndex) -> list[bytes]:
        new_bodies: list[bytes] = []
        wanted = [order for order in index.held if not self.facts.knows(order)]
        while wanted:
            offer = self._links.call(name, TicketRequest(tuple(wanted)), CALL_TIMEOUT_S)
            if not isinstance(offer, TicketOffer) or not offer.tickets:
                break
            for body in offer.tickets:
                self._decode_and_accept(body, name, new_bodies)
            missing = [order for order in wanted if not self.facts.knows(order)]
            if len(missing) == len(wanted):
                break
            wanted = missing
        return new_bodies

    def _merge_conflicts_and_refusals(self, index: TicketIndex) -> None:
        numbers: dict[int, list[str]] = {}
        for number, digest in index.conflicts:
            numbers.setdefault(number, []).append(digest)
        for number, digests in numbers.items():
            self.facts.record_conflict(number, digests)
        for notice in index.refused:
            self.facts.record_refused(notice)

    def _forward_pulled(self, name: str, new_bodies: list[bytes]) -> None:
        peer = self._members.get_state(name)
        if peer is not None and peer.domain != self._members.own.domain:
            self._push(new_bodies, [])
        elif sum(map(len, new_bodies)) > MAX_PUSH_BYTES:
            self._announce_in_domain()

    def _answer_digests(self, name: str, request: TicketDigests) -> TicketIndex:
        own = self.facts.list_buckets()
        differing = [
            bucket
            for bucket, digest in enumerate(own)
            if bucket >= len(request.buckets) or request.buckets[bucket] != digest
        ]
        held, conflicts = self.facts.list_ticket_ids(differing)
        return TicketIndex(tuple(held), tuple(conflicts), tuple(self.facts.refused.values()))

    def _answer_request(self, name: str, request: TicketRequest) -> TicketOffer:
        bodies: list[bytes] = []
        size = 0
        for number, digest in request.wanted:
            body = self.facts.get_body((number, digest))
            if body is None:
                continue
            if bodies and size + len(body) > MAX_OFFER_BYTES:
                break
            bodies.append(body)
            size += len(body)
        return TicketOffer(tuple(bodies))
