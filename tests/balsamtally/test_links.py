"""Tests of the links between entry VMs over real sockets in one process."""

import contextlib
import socket

import gevent
import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from balsamtally.errors import LinkError, PeerRefused, PeerTimeout, PeerUnreachable, QueueFull
from balsamtally.links import (
    RECONNECT_MAX_S,
    RECONNECT_MIN_S,
    Envelope,
    Links,
    decode_batch,
)
from balsamtally.loops import Loop
from balsamtally.messages import Done, Withdraw
from balsamtally.settings import Settings


def take_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@pytest.fixture
def open_links():
    addresses = {}
    with contextlib.ExitStack() as stack:
        loop = stack.enter_context(Loop())

        def open_one(vm, key="ab" * 16):
            addresses[vm] = take_address()
            settings = Settings(vm, "d", "r", peer_address=addresses[vm], link_key=key)
            return stack.enter_context(Links(settings, addresses.get, loop))

        yield open_one


@pytest.mark.parametrize("odd", [b"\x93\x01\xc2\x91\xa1\xff", b"\xc0"])
def test_odd_message_of_a_batch_costs_no_other_message(odd):
    sound = msgspec.msgpack.encode(Envelope(1, False, Done()))
    assert len(decode_batch(b"\x93" + sound + odd + sound, "b")) == 2


@given(st.binary(max_size=40))
@example(b"\x91" * 100_000)
def test_any_batch_is_a_list_of_messages_or_a_decode_error(data):
    with contextlib.suppress(msgspec.DecodeError):
        assert isinstance(decode_batch(data, "b"), list)


def test_call_reply_error_and_cast(open_links):
    one, two = open_links("one"), open_links("two")
    seen = []

    def answer(sender, message):
        seen.append((sender, message.request))
        if message.request == "full":
            raise QueueFull("no room")

    two.handle(Withdraw, answer)
    assert one.call("two", Withdraw("a", "p"), 5) == Done()
    with pytest.raises(QueueFull, match="no room"):
        one.call("two", Withdraw("full", "p"), 5)
    one.cast("two", Withdraw("cast", "p"))
    assert one.call("two", Withdraw("b", "p"), 5) == Done()
    assert [request for _, request in seen] == ["a", "full", "cast", "b"]
    assert {sender for sender, _ in seen} == {"one"}


def test_peer_with_another_key_is_not_served(open_links):
    two = open_links("two")
    outsider = open_links("stranger", key="cd" * 16)
    seen = []
    two.handle(Withdraw, lambda sender, message: seen.append(message))
    with pytest.raises(PeerRefused):
        outsider.call("two", Withdraw("a", "p"), 5)
    outsider._check_proof = lambda hello, nonce: None
    gevent.sleep(RECONNECT_MIN_S)
    with pytest.raises(LinkError):
        outsider.call("two", Withdraw("a", "p"), 2)
    assert seen == []


def test_unsent_call_is_unreachable_and_unanswered_one_is_a_timeout(open_links):
    one, two = open_links("one"), open_links("two")
    with pytest.raises(PeerUnreachable):
        one.call("nobody", Withdraw("a", "p"), 5)
    two.handle(Withdraw, lambda sender, message: gevent.sleep(2))
    with pytest.raises(PeerTimeout):
        one.call("two", Withdraw("a", "p"), 0.5)


def test_message_of_an_unknown_class_is_skipped_and_the_link_stays_open(open_links):
    one, two = open_links("one"), open_links("two")
    seen = []
    two.handle(Withdraw, lambda sender, message: seen.append(message.request))
    assert one.call("two", Withdraw("before", "p"), 5) == Done()
    task = one.peers["two"].task
    newer = msgspec.msgpack.encode([0, False, ["KindOfTheNextVersion", 1]])
    with_more = msgspec.msgpack.encode([0, False, ["Withdraw", "more", "p", 1, "a new field"]])
    peer = one._find_peer("two")
    peer.outbox.extend([(0, newer), (0, with_more)])
    one.loop.post(one._wake_writer, peer)
    assert one.call("two", Withdraw("after", "p"), 5) == Done()
    assert seen == ["before", "more", "after"]
    assert peer.task is task


def test_incoming_connection_ends_the_delay_of_outgoing_ones(open_links):
    one = open_links("one")
    for reconnect_delay_s in (RECONNECT_MIN_S, RECONNECT_MAX_S):
        one._find_peer("two").reconnect_delay_s = reconnect_delay_s
        with pytest.raises(PeerUnreachable):
            one.call("two", Withdraw("a", "p"), 5)
        gevent.sleep(RECONNECT_MIN_S)
    two = open_links("two")
    for links in (one, two):
        links.handle(Withdraw, lambda sender, message: Done())
    with pytest.raises(
        PeerUnreachable, match="two is unreachable; waiting before the next connection attempt"
    ):
        one.call("two", Withdraw("a", "p"), 5)
    assert two.call("one", Withdraw("b", "p"), 5) == Done()
    assert one.call("two", Withdraw("c", "p"), 5) == Done()
