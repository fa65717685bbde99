"""The exchange of change tickets between the entry VMs."""

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
ANNOUNCE_PEERS = 4
MAX_KNOWN_TEXTS = 20_000
MAX_REASON_CHARS = 4000


class Exchange:
    """Takes in tickets and passes them on.

    A ticket that comes from outside the failure domain is pushed to its members at once if it is
    small, and announced by a digest otherwise. Whoever sees a digest that differs pulls what it
    lacks, so that a push may be lost.

    :param facts: the tickets in force here
    :param members: the known entry VMs
    :param links: links to the peers
    :param heartbeats: heartbeats, which carry the digests
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
        self._known_texts: dict[int, None] = {}
        self._differing: dict[str, str] = {}
        links.handle(TicketOffer, self._answer_offer)
        links.handle(TicketDigests, self._answer_digests)
        links.handle(TicketRequest, self._answer_request)

    # From the platform.

    def merge_published(self, rows: Iterable[tuple[str, bytes]]) -> int:
        """Take in what the platform holds, whole, stale or backwards.

        :param rows: keys and values
        :return: how many tickets or refusals were new
        """
        news: list[bytes] = []
        notices: list[TicketNotice] = []
        for key, body in rows:
            text = xxhash.xxh3_64_intdigest(body)
            if text in self._known_texts:
                continue
            self._note_text(text)
            notice = self._take_text(body, key, news)
            if notice is not None:
                notices.append(notice)
        if news or notices:
            self._spread(news, notices)
        return len(news) + len(notices)

    def _note_text(self, text: int) -> None:
        self._known_texts[text] = None
        if len(self._known_texts) > MAX_KNOWN_TEXTS:
            del self._known_texts[next(iter(self._known_texts))]

    def _take_text(self, body: bytes, source: str, news: list[bytes]) -> TicketNotice | None:
        """Accept or refuse one ticket; what is new goes to ``news`` or is returned."""
        try:
            ticket = decode_ticket(body)
        except OperatorError as error:
            digest = xxhash.xxh3_128_hexdigest(body)
            notice = TicketNotice(digest, source, str(error)[:MAX_REASON_CHARS])
            return notice if self.facts.record_refused(notice) else None
        if self.facts.accept(ticket, body):
            news.append(body)
        return None

    # To the peers.

    def _spread(self, news: list[bytes], notices: list[TicketNotice]) -> None:
        """Pass on what came from outside the failure domain."""
        if sum(map(len, news)) <= MAX_PUSH_BYTES:
            offer = TicketOffer(tuple(news), tuple(notices))
            for peer in self._members.list_peers((ALIVE,)):
                self._links.cast(peer.name, offer)
        else:
            self._announce()
        self._announce_across()

    def _announce(self) -> None:
        peers = [peer.name for peer in self._members.list_peers((ALIVE,))]
        for name in self._random.sample(sorted(peers), min(ANNOUNCE_PEERS, len(peers))):
            self._heartbeats.cast_heartbeat(name)

    def _announce_across(self) -> None:
        """Show the new digest to the other failure domains, if this VM is a gateway."""
        if not self._heartbeats.is_gateway():
            return
        for domain in self._members.list_domains():
            self._heartbeats.cast_heartbeat(self._heartbeats.pick_remote(domain))

    def _answer_offer(self, name: str, offer: TicketOffer) -> None:
        news: list[bytes] = []
        for body in offer.tickets:
            self._take_text(body, name, news)
        for notice in offer.refused:
            self.facts.record_refused(notice)
        if news:
            self._announce_across()

    # Digests that differ.

    def record_digest(self, name: str, digest: str) -> None:
        """Take note of the digest of a peer's tickets.

        :param name: name of the peer
        :param digest: its digest
        """
        if digest == self.facts.digest():
            self._differing.pop(name, None)
        else:
            self._differing[name] = digest

    def pull_one(self) -> bool:
        """Pull from one peer whose digest differs, if there is one.

        :return: whether something new came
        """
        while self._differing:
            name, digest = self._differing.popitem()
            if digest != self.facts.digest():
                return self.pull(name)
        return False

    def pull(self, name: str) -> bool:
        """Pull the tickets that a peer has and this VM lacks.

        :param name: name of the peer
        :return: whether something new came
        """
        buckets = self.facts.list_buckets()
        try:
            index = self._links.call(name, TicketDigests(buckets), CALL_TIMEOUT_S)
            if not isinstance(index, TicketIndex):
                return False
            news = self._pull_bodies(name, index)
        except BalsamtallyError as error:
            log.info("pull_failed", peer=name, reason=str(error))
            return False
        self._learn_rest(index)
        if news:
            self._pass_on(name, news)
        return bool(news)

    def _pull_bodies(self, name: str, index: TicketIndex) -> list[bytes]:
        news: list[bytes] = []
        wanted = [order for order in index.held if not self.facts.knows(order)]
        while wanted:
            offer = self._links.call(name, TicketRequest(tuple(wanted)), CALL_TIMEOUT_S)
            if not isinstance(offer, TicketOffer) or not offer.tickets:
                break
            for body in offer.tickets:
                self._take_text(body, name, news)
            left = [order for order in wanted if not self.facts.knows(order)]
            if len(left) == len(wanted):
                break
            wanted = left
        return news

    def _learn_rest(self, index: TicketIndex) -> None:
        numbers: dict[int, list[str]] = {}
        for number, digest in index.conflicts:
            numbers.setdefault(number, []).append(digest)
        for number, digests in numbers.items():
            self.facts.record_conflict(number, digests)
        for notice in index.refused:
            self.facts.record_refused(notice)

    def _pass_on(self, name: str, news: list[bytes]) -> None:
        peer = self._members.get_state(name)
        if peer is not None and peer.domain != self._members.own.domain:
            self._spread(news, [])
        elif sum(map(len, news)) > MAX_PUSH_BYTES:
            self._announce()

    def _answer_digests(self, name: str, request: TicketDigests) -> TicketIndex:
        own = self.facts.list_buckets()
        differing = [
            place
            for place, digest in enumerate(own)
            if place >= len(request.buckets) or request.buckets[place] != digest
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
