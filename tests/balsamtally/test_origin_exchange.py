"""Origins of streams at several entry VMs that exchange encoded messages and lose some of them."""

import contextlib
import math
import random

import gevent
import msgspec

from balsamtally import origin_exchange
from balsamtally.decoding import decode
from balsamtally.origin_exchange import (
    HOLDERS,
    MAX_NOTICE_BYTES,
    Member,
    OriginAsk,
    OriginExchange,
    OriginNotice,
    OriginReply,
    choose_holders,
    make_notices,
)
from balsamtally.origins import Origins
from balsamtally.software_history import SoleVersion
from tests.balsamtally.test_origins import Clock, make_origin
from tests.polling import expect_soon

_message = msgspec.msgpack.Decoder(OriginNotice | OriginAsk | OriginReply)


class Fleet:
    """Entry VMs by name; a name is also the IP number. A context manager.

    :ivar dead: names of VMs that neither send nor receive
    :ivar cut: name of a failure domain that is cut off from the others, empty for none
    :ivar hears_all: whether dead and unreachable VMs still count as alive
    :ivar soles: what each VM says of the version that has served alone
    :ivar ages_s: age of what they say, in seconds
    :ivar sent: messages sent, with sender and receiver
    """

    def __init__(self, size, domains=3, loses=lambda message, sender, receiver: False):
        self.clock = Clock()
        self.members = [
            Member(f"vm-{number}", f"domain-{number % domains}", f"vm-{number}")
            for number in range(size)
        ]
        self.by_name = {member.vm: member for member in self.members}
        self.dead, self.cut, self.hears_all = set(), "", False
        self.soles, self.ages_s = {}, {}
        self.sent = []
        self._loses = loses

    def __enter__(self):
        self._stack = contextlib.ExitStack()
        self.origins, self.exchanges = {}, {}
        for member in self.members:
            self.start(member.vm)
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def start(self, name):
        """Start a VM, or start it again without its memory."""
        self.dead.discard(name)
        self.origins[name] = Origins(self.clock)
        self.exchanges[name] = OriginExchange(
            self.by_name[name],
            self.origins[name],
            lambda: self._list_peers(name),
            lambda message, ip: self._deliver(message, name, ip),
            lambda service, window_s: self._find_sole(name),
            self.clock,
        )
        self._stack.enter_context(self.exchanges[name])

    def _find_sole(self, name):
        sole = self.soles.get(name)
        return None if sole is None else (sole, self.ages_s.get(name, 0.0))

    def reaches(self, name, other):
        one, two = self.by_name[name].domain, self.by_name[other].domain
        return not {name, other} & self.dead and (one == two or self.cut not in (one, two))

    def _list_peers(self, name):
        others = [member for member in self.members if member.vm != name]
        return [each for each in others if self.hears_all or self.reaches(name, each.vm)]

    def _deliver(self, message, sender, receiver):
        self.sent.append((message, sender, receiver))
        if not self.reaches(sender, receiver) or self._loses(message, sender, receiver):
            return
        message = decode(_message, msgspec.msgpack.encode(message))
        exchange = self.exchanges[receiver]
        handlers = {
            OriginNotice: exchange.handle_notice,
            OriginAsk: exchange.handle_ask,
            OriginReply: exchange.handle_reply,
        }
        handlers[type(message)](message, sender)

    def begin(self, name, origin):
        """Announce an origin at a VM and return the names of its holders when they are told."""
        members = [self.by_name[name], *self._list_peers(name)]
        chosen = choose_holders(origin.request, members)
        assert len(chosen) == min(HOLDERS, len(members))
        domains = {member.domain for member in members}
        assert len({holder.domain for holder in chosen}) == min(HOLDERS, len(domains))
        for lost in chosen:
            others = choose_holders(origin.request, [each for each in members if each != lost])
            assert set(chosen) - {lost} <= set(others)
        holders = [holder.vm for holder in chosen]
        self.exchanges[name].announce(origin)
        expect_soon(lambda: {*holders} - {name} <= self.list_told(origin))
        return holders

    def list_told(self, origin):
        notices = [each for each in self.sent if isinstance(each[0], OriginNotice)]
        return {receiver for notice, _, receiver in notices if origin in notice.origins}

    def find(self, name, request="a1", customer="acme"):
        return self.exchanges[name].find(request, customer, "desk", 20.0)

    def count(self, kind):
        return sum(isinstance(message, kind) for message, _, _ in self.sent)


def lose_once(draw):
    """Return a loss of about half of the pairs' first messages of each kind."""
    seen = set()

    def loses(message, sender, receiver):
        key = (type(message), sender, receiver)
        is_first = key not in seen
        seen.add(key)
        return is_first and draw.random() < 0.5

    return loses


def disturb(draw, fleet, knowing):
    """Kill, restart and cut off some VMs, those that know the origin more often than others."""
    fleet.hears_all = draw.random() < 0.3
    chances = {name: 0.6 if name in knowing else 0.2 for name in fleet.by_name}
    fleet.dead = {name for name, chance in chances.items() if draw.random() < chance}
    for name in sorted(fleet.dead):
        if draw.random() < 0.5:
            fleet.start(name)
    fleet.cut = draw.choice((*fleet.members, *[Member("", "", "")] * 9)).domain


def play(seed):
    """Return whether the origin was to be found, and fail if it was and wasn't."""
    draw = random.Random(seed)
    with Fleet(draw.randint(2, 17), draw.randint(1, 7), lose_once(draw)) as fleet:
        starter = draw.choice(fleet.members).vm
        fleet.cut = draw.choice((fleet.by_name[starter].domain, "", "", "", ""))
        holders = fleet.begin(starter, make_origin())
        disturb(draw, fleet, {starter, *holders})
        living = [name for name in fleet.by_name if name not in fleet.dead]
        asker = draw.choice(living or [starter])
        reachable = [name for name in living if fleet.reaches(asker, name)]
        expected = any(len(fleet.origins[name]) for name in reachable)
        if living:
            assert fleet.find(asker) == (make_origin() if expected else None, None), seed
        return expected


def test_vm_that_has_just_started_asks_the_peers_that_it_hears_of_meanwhile():
    """It refused streams that it was asked for before it had heard of the peers that know them."""
    with Fleet(3) as fleet:
        origin = make_origin()
        fleet.begin("vm-0", origin)
        fleet.start("vm-1")
        fleet.dead |= {"vm-0", "vm-2"}
        search = gevent.spawn(fleet.find, "vm-1")
        gevent.sleep(origin_exchange.ANSWER_LIMIT_S / 2)
        fleet.dead.clear()
        assert search.get() == (origin, None)


def test_an_origin_is_found_while_one_vm_that_knows_it_lives_and_is_reachable():
    tasks = [gevent.spawn(play, seed) for seed in range(200)]
    gevent.joinall(tasks, raise_error=True)
    found = sum(task.get() for task in tasks)
    assert 80 <= found <= 180


def test_the_holders_of_many_failure_domains_survive_the_first_vm():
    with Fleet(60, 7) as fleet:
        for number in range(30):
            origin = make_origin(f"a{number}")
            holders = fleet.begin(f"vm-{number}", origin)
            fleet.dead = {f"vm-{number}", *holders[: HOLDERS - 1]} - {holders[-1]}
            asker = next(name for name in fleet.by_name if name not in {*fleet.dead, holders[-1]})
            before = fleet.count(OriginAsk)
            assert fleet.find(asker, origin.request) == (origin, None)
            assert fleet.count(OriginAsk) - before == HOLDERS
            fleet.dead = set()


def test_a_sole_version_counts_only_if_no_peer_knows_an_origin_of_the_customer():
    with Fleet(6) as fleet:
        fleet.begin("vm-0", make_origin())
        for name in fleet.by_name:
            assert fleet.find(name, customer="other") == (None, None)
        fleet.soles = dict.fromkeys(fleet.by_name, "v2")
        for name in fleet.by_name:
            assert fleet.find(name) == (make_origin(), None)
        fleet.sent.clear()
        assert fleet.find("vm-0", "unknown") == (None, SoleVersion("v2", fleet.clock.now_s))
        # Each peer answers in time, and so is asked once.
        assert fleet.count(OriginAsk) == 5
        fleet.soles["vm-3"] = "v1"
        assert fleet.find("vm-0", "unknown") == (None, None)
        fleet.dead = {"vm-3"}
        fleet.hears_all = True
        assert fleet.find("vm-0", "unknown") == (None, SoleVersion("v2", fleet.clock.now_s))


def test_concurrent_takers_share_a_question_and_later_ones_ask_again(monkeypatch):
    lines = []
    monkeypatch.setattr(origin_exchange.log, "info", lambda event, **fields: lines.append(event))
    with Fleet(4) as fleet:
        fleet.dead, fleet.hears_all = {"vm-1", "vm-2", "vm-3"}, True
        tasks = [gevent.spawn(fleet.find, "vm-0") for _ in range(10)]
        # A caller that gives up doesn't end the question of the others.
        gevent.sleep(0)
        tasks[0].kill()
        gevent.joinall(tasks)
        assert [task.get() for task in tasks[1:]] == [(None, None)] * 9
        assert fleet.count(OriginAsk) == 3 * origin_exchange.ASK_SENDS
        fleet.start("vm-2")
        fleet.origins["vm-2"].record(make_origin())
        assert fleet.find("vm-0") == (make_origin(), None)
        fleet.dead.add("vm-2")
        assert fleet.find("vm-0") == (make_origin(), None)
    assert lines == ["origin_unknown", "origin_found"]


def test_a_stream_that_goes_on_elsewhere_renews_its_origin_at_the_holders():
    with Fleet(6) as fleet:
        origin = make_origin()
        holders = fleet.begin("vm-0", origin)
        for fleet.clock.now_s in (50.0, 100.0):
            fleet.sent.clear()
            taker = next(name for name in fleet.by_name if name not in {"vm-0", *holders})
            fleet.begin(taker, fleet.find(taker)[0])
        assert all(len(fleet.origins[holder]) for holder in holders)
        fleet.clock.now_s = 161.0
        assert not any(len(origins) for origins in fleet.origins.values())


def test_a_different_origin_of_a_known_request_is_not_announced():
    with Fleet(4) as fleet:
        fleet.begin("vm-0", make_origin())
        fleet.exchanges["vm-0"].announce(make_origin(software="v2"))
        fleet.begin("vm-0", make_origin("a2"))
        assert not fleet.list_told(make_origin(software="v2"))


def test_streams_that_begin_together_share_small_datagrams():
    with Fleet(2) as fleet:
        origins = [make_origin(f"{number:016x}", backend="r" * 12) for number in range(100)]
        for origin in origins:
            fleet.exchanges["vm-0"].announce(origin)
        expect_soon(lambda: len(fleet.origins["vm-1"]) == len(origins))
        sizes = [len(msgspec.msgpack.encode(message)) for message, _, _ in fleet.sent]
        assert max(sizes) <= MAX_NOTICE_BYTES
        assert len(sizes) <= 2 * (sum(sizes) // MAX_NOTICE_BYTES + 1)
    large = make_origin("\xff" * 128, "\u2028" * 200, "\u2028" * 200, "\u2028" * 200)
    notices = list(make_notices("vm-0", [large] * 3))
    assert [len(notice.origins) for notice in notices] == [1, 1, 1]
    assert max(len(msgspec.msgpack.encode(notice)) for notice in notices) <= 16_384


def test_a_peers_word_reaches_up_to_its_last_reading_of_the_platform():
    """It counted up to the question, and a version that had come since was left out."""
    with Fleet(4) as fleet:
        fleet.clock.now_s = 50.0
        fleet.soles = {"vm-1": "v1", "vm-2": "v1"}
        fleet.ages_s = {"vm-1": 1.9, "vm-2": 0.4}
        assert fleet.find("vm-0") == (None, SoleVersion("v1", 49.6))


def test_the_word_of_a_peer_of_an_earlier_release_counts_only_against_another(monkeypatch):
    """Its word has no time."""
    monkeypatch.setattr(
        OriginExchange,
        "handle_reply",
        lambda self, reply, ip, handle=OriginExchange.handle_reply: handle(
            self, msgspec.structs.replace(reply, age_ms=None) if reply.vm == "vm-1" else reply, ip
        ),
    )
    with Fleet(4) as fleet:
        fleet.soles = {"vm-1": "v1"}
        assert fleet.find("vm-0") == (None, SoleVersion("v1", -math.inf))
        fleet.soles |= {"vm-2": "v2"}
        assert fleet.find("vm-0") == (None, None)
