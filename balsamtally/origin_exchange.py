"""Tells peers of the origins of streams, and asks them for those that this entry VM doesn't know.

An origin is kept by the VM that began the stream and by a few holders, which follow from the id of
the request, so that any VM knows whom to ask after the first one has died.
"""

import itertools
import math
import secrets
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

import gevent
import msgspec
from gevent.event import Event

from balsamtally.clocks import boottime
from balsamtally.decoding import Count, Seconds
from balsamtally.logs import log
from balsamtally.origins import Name, Origin, Origins, RequestId
from balsamtally.rendezvous import rank_members
from balsamtally.software_history import SoleVersion
from balsamtally.tasks import spawn_repeating

# Entry VMs that are told of an origin.
HOLDERS = 3
# Entry VMs that are asked if the holders don't know an origin: VMs that have started since may have
# become holders in place of those that were told, and the first VM needn't be a holder.
MAX_ASKED = 16
# Streams that begin within this time share a datagram.
BATCH_S = 0.005
# A datagram of this size isn't split into fragments, of which each may be lost.
MAX_NOTICE_BYTES = 1_200
# Time for the answers to a question; a round trip between regions takes 0.06 s.
ANSWER_LIMIT_S = 0.3
# Times that a question is sent within this limit, as datagrams get lost.
ASK_SENDS = 4


class OriginNotice(msgspec.Struct, frozen=True, array_like=True, tag="origin"):
    """Origins that the receiver is to hold.

    :ivar vm: name of the sender
    :ivar origins: the origins
    """

    vm: Name
    origins: tuple[Origin, ...]


class OriginAsk(msgspec.Struct, frozen=True, array_like=True, tag="origin-ask"):
    """A question for an origin, resent under the same number.

    :ivar vm: name of the sender
    :ivar number: number of the question, counted by the sender
    :ivar request: id of the attempt that brought the first event
    :ivar customer: name of the customer that takes the stream up
    :ivar service: service that the stream belongs to
    :ivar window_s: longest time since the stream may have begun, in seconds
    """

    vm: Name
    number: Count
    request: RequestId
    customer: Name
    service: Name
    window_s: Seconds


class OriginReply(msgspec.Struct, frozen=True, array_like=True, tag="origin-reply"):
    """The reply to a question for an origin.

    :ivar vm: name of the sender
    :ivar number: number of the question
    :ivar origin: the origin, ``None`` if it isn't known
    :ivar sole: the only version that has served the service for the whole window as the sender has
        observed, ``None`` if it can't tell or there were several
    :ivar age_ms: age of this observation in milliseconds: time since the sender last began to read
        the platform; ``None`` for an unknown origin without a version, and from earlier releases
    """

    vm: Name
    number: Count
    origin: Origin | None = None
    sole: Name | None = None
    age_ms: Count | None = None


@dataclass(frozen=True)
class Member:
    """An entry VM that may hold origins.

    :ivar vm: its name
    :ivar domain: its failure domain
    :ivar ip: its IP number
    """

    vm: str
    domain: str
    ip: str


@dataclass(eq=False)
class Search:
    """A question that waits for replies.

    :ivar ask: the question
    :ivar began_s: clock at which it was first sent, in seconds
    :ivar asked: names of the VMs that were asked
    :ivar replied: names of those that have replied
    :ivar soles: versions that served alone as peers have observed, with the clock up to which the
        last of these observations is complete
    :ivar origin: the origin that a peer knows, ``None`` without one
    :ivar source: name of that peer
    :ivar settled: set when a reply has the origin
    """

    ask: OriginAsk
    began_s: float
    asked: set[str] = field(default_factory=set)
    replied: set[str] = field(default_factory=set)
    soles: dict[str, float] = field(default_factory=dict)
    origin: Origin | None = None
    source: str = ""
    settled: Event = field(default_factory=Event)

    @property
    def sole(self) -> SoleVersion | None:
        """The version that served alone, ``None`` if no peer can tell or they disagree."""
        return SoleVersion(*next(iter(self.soles.items()))) if len(self.soles) == 1 else None


def choose_holders(request: str, members: Sequence[Member], most: int = HOLDERS) -> list[Member]:
    """Return the VMs that hold an origin: one of each failure domain first, then further ones.

    Without a VM, the others keep their order, so that the holders that remain are still chosen.

    :param request: id of the attempt that brought the first event
    :param members: the VMs to choose from
    :param most: most VMs
    """
    by_name = {member.vm: member for member in members}
    ranked = [by_name[name] for name in rank_members(request, by_name)]
    firsts = {member.domain: member for member in reversed(ranked)}
    first_names = {member.vm for member in firsts.values()}
    return sorted(ranked, key=lambda member: member.vm not in first_names)[:most]


class OriginExchange:
    """Exchanges the origins of streams with the peers; a context manager.

    :param own: this entry VM
    :param origins: the origins known here
    :param list_peers: returns the live peers
    :param send: sends a message to an IP number; it may be lost
    :param find_sole: returns the only version that has served a service for a time in seconds, and
        the age of this observation in seconds; ``None`` if this VM can't tell or there were several
    :param clock: steady clock that counts suspensions, in seconds
    """

    def __init__(
        self,
        own: Member,
        origins: Origins,
        list_peers: Callable[[], list[Member]],
        send: Callable[[OriginNotice | OriginAsk | OriginReply, str], None],
        find_sole: Callable[[str, float], tuple[str, float] | None],
        clock: Callable[[], float] = boottime,
    ):
        self._own = own
        self._origins = origins
        self._list_peers = list_peers
        self._send = send
        self._find_sole = find_sole
        self._clock = clock
        self._queued: dict[str, list[Origin]] = {}
        self._wake = Event()
        # A reply to an earlier process of this VM must not match a question of this one.
        self._numbers = itertools.count(secrets.randbits(48))
        self._searches: dict[int, Search] = {}
        self._tasks: dict[tuple[str, str, str, float], gevent.Greenlet] = {}

    def __enter__(self) -> "OriginExchange":
        self._task = spawn_repeating("origins", self._step)
        return self

    def __exit__(self, *exc_info) -> None:
        self._task.kill(block=False)

    # Notices.

    def announce(self, origin: Origin) -> None:
        """Record the origin of a stream that begins or goes on here, and tell its holders soon.

        :param origin: the origin
        """
        if not self._origins.record(origin):
            log.info("origin_differs", request=origin.request, software=origin.software)
            return
        for holder in choose_holders(origin.request, [self._own, *self._list_peers()]):
            if holder.vm != self._own.vm:
                self._queued.setdefault(holder.ip, []).append(origin)
        self._wake.set()

    def _step(self) -> None:
        self._wake.wait()
        gevent.sleep(BATCH_S)
        self._wake.clear()
        queued, self._queued = self._queued, {}
        for ip, origins in queued.items():
            for notice in make_notices(self._own.vm, origins):
                self._send(notice, ip)

    def handle_notice(self, notice: OriginNotice, _: str) -> None:
        """Record the origins that a peer tells of.

        :param notice: the notice
        """
        for origin in notice.origins:
            self._origins.record(origin)

    # Questions.

    def find(
        self, request: str, customer: str, service: str, window_s: float
    ) -> tuple[Origin | None, SoleVersion | None]:
        """Find the origin of a stream here or at the peers, within ``ANSWER_LIMIT_S``.

        Concurrent calls for the same stream share one question.

        :param request: id of the attempt that brought the first event
        :param customer: name of the customer that takes the stream up
        :param service: service that the stream belongs to
        :param window_s: longest time since the stream may have begun, in seconds
        :return: the origin, ``None`` if it isn't known; in that case the only version that served
            for the whole window up to a time as peers have observed, ``None`` if none can tell
        """
        origin = self._origins.find(request, customer)
        if origin is not None:
            return origin, None
        key = (request, customer, service, window_s)
        if key not in self._tasks:
            self._tasks[key] = gevent.spawn(self._search, key)
        return self._tasks[key].get()

    def _search(self, key: tuple[str, str, str, float]) -> tuple[Origin | None, SoleVersion | None]:
        number = next(self._numbers)
        *named, window_s = key
        # A question that is answered late still asks for the whole window.
        ask = OriginAsk(self._own.vm, number, *named, window_s + ANSWER_LIMIT_S)
        search = self._searches[number] = Search(ask, self._clock())
        try:
            self._ask(search)
        finally:
            del self._searches[number], self._tasks[key]
        origin, request = search.origin, search.ask.request
        if origin is not None:
            software = origin.software
            log.info("origin_found", request=request, software=software, source=search.source)
            return origin, None
        asked, replied = sorted(search.asked), sorted(search.replied)
        sole = search.sole.software if search.sole is not None else None
        log.info("origin_unknown", request=request, asked=asked, replied=replied, sole=sole)
        return None, search.sole

    def _ask(self, search: Search) -> None:
        """Ask the holders, then further VMs as well, until a reply has the origin.

        A VM that has just started hears of its peers one after the other, so that it goes on
        looking for them after those that it knows have replied.
        """
        most = HOLDERS
        for _ in range(ASK_SENDS):
            members = choose_holders(search.ask.request, self._list_peers(), most)
            silent = [member for member in members if member.vm not in search.replied]
            search.asked |= {member.vm for member in silent}
            for member in silent:
                self._send(search.ask, member.ip)
            if search.settled.wait(ANSWER_LIMIT_S / ASK_SENDS):
                return
            most = MAX_ASKED

    def handle_ask(self, ask: OriginAsk, sender: str) -> None:
        """Answer a peer's question.

        :param ask: the question
        :param sender: IP number of the peer
        """
        origin = self._origins.find(ask.request, ask.customer)
        found = self._find_sole(ask.service, ask.window_s) if origin is None else None
        reply = OriginReply(self._own.vm, ask.number, origin)
        if found is not None:
            sole, age_s = found
            reply = msgspec.structs.replace(reply, sole=sole, age_ms=math.ceil(1000 * age_s))
        self._send(reply, sender)

    def handle_reply(self, reply: OriginReply, _: str) -> None:
        """Record a peer's reply; one that comes too late serves the next try.

        :param reply: the reply
        """
        if reply.origin is not None:
            self._origins.record(reply.origin)
        search = self._searches.get(reply.number)
        if search is None or reply.vm not in search.asked:
            return
        search.replied.add(reply.vm)
        if reply.origin is not None and search.origin is None:
            search.origin, search.source = reply.origin, reply.vm
        if reply.sole is not None:
            # The reply was made after the question; how long it was on its way isn't known. One
            # without an age proves nothing, and still counts against another version.
            age_s = math.inf if reply.age_ms is None else reply.age_ms / 1000
            until_s = search.began_s - age_s
            search.soles[reply.sole] = max(until_s, search.soles.get(reply.sole, -math.inf))
        if search.origin is not None:
            search.settled.set()


def make_notices(vm: str, origins: Sequence[Origin]) -> Iterator[OriginNotice]:
    """Yield notices of at most ``MAX_NOTICE_BYTES`` each, or of a single origin.

    :param vm: name of the sender
    :param origins: the origins
    """
    notice = OriginNotice(vm, tuple(origins))
    if len(origins) <= 1 or len(msgspec.msgpack.encode(notice)) <= MAX_NOTICE_BYTES:
        yield notice
        return
    half = len(origins) // 2
    yield from make_notices(vm, origins[:half])
    yield from make_notices(vm, origins[half:])
