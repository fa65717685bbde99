"""The exchange of quarantines: all peers hear of a change, and a peer that starts hears of all."""

import contextlib
import time

import gevent
import msgspec
from hypothesis import given
from hypothesis import strategies as st

from balsamtally.beats import Beat
from balsamtally.quarantine import CRASHES_TO_QUARANTINE, REPEAT_S, Quarantine
from balsamtally.quarantine_exchange import MAX_UPDATE_BYTES, QuarantineExchange, split_update
from balsamtally.quarantine_messages import QuarantineUpdate
from tests.balsamtally.test_quarantine import implications_of, is_admitted, make_backend
from tests.polling import expect_soon


class Fleet:
    """Entry VMs that exchange updates in memory; a context manager.

    :ivar lost: whether the next updates are lost
    :ivar cut: names of entry VMs that receive nothing
    """

    def __init__(self, size):
        self.lost = False
        self.cut = set()
        self.sent = 0
        self.quarantines = {}
        self.exchanges = {}
        for number in range(size):
            self.add(f"vm-{number}")
        self._stack = contextlib.ExitStack()

    def add(self, name):
        """Add an entry VM that knows nothing; its name is also its address."""
        quarantine = Quarantine(name, lambda: self.exchanges[name].announce())
        self.quarantines[name] = quarantine
        self.exchanges[name] = QuarantineExchange(
            quarantine, lambda: [ip for ip in self.quarantines if ip != name], self._send
        )

    def _send(self, update, ip):
        self.sent += 1
        if not self.lost and ip not in self.cut:
            data = msgspec.msgpack.encode(update)
            update = msgspec.msgpack.decode(data, type=QuarantineUpdate)
            self.exchanges[ip].handle_update(update, update.vm)

    def __enter__(self):
        for exchange in self.exchanges.values():
            self._stack.enter_context(exchange)
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def crash(self, vm, crashed_s, *parts):
        self.quarantines[vm].record_crash(make_backend(), parts, crashed_s - 0.3, crashed_s)

    def refuses(self, *parts):
        return all(not is_admitted(each, *parts) for each in self.quarantines.values())


def crash_everywhere(fleet, *parts):
    """Let each crash be seen by another entry VM."""
    for number in range(CRASHES_TO_QUARANTINE):
        vm = f"vm-{number % len(fleet.quarantines)}"
        fleet.crash(vm, time.monotonic() - 3.0 + number, *parts)


def test_all_entry_vms_quarantine_a_part_whose_crashes_different_ones_saw():
    with Fleet(4) as fleet:
        crash_everywhere(fleet, "dead")
        expect_soon(lambda: fleet.refuses("dead"))


def test_lost_updates_are_repeated():
    with Fleet(4) as fleet:
        fleet.lost = True
        crash_everywhere(fleet, "dead")
        expect_soon(lambda: fleet.sent >= 3 * CRASHES_TO_QUARANTINE)
        assert not fleet.refuses("dead")
        fleet.lost = False
        expect_soon(lambda: fleet.refuses("dead"))


def test_entry_vm_that_starts_again_hears_of_quarantines_with_its_first_heartbeat():
    with Fleet(3) as fleet:
        crash_everywhere(fleet, "dead")
        expect_soon(lambda: fleet.refuses("dead"))
        fleet.add("vm-2")
        assert is_admitted(fleet.quarantines["vm-2"], "dead")
        fleet.exchanges["vm-0"].greet(Beat("vm-2", "vm-2", "home", "second", 0, False, {}, ()))
        assert not is_admitted(fleet.quarantines["vm-2"], "dead")


def test_entry_vm_that_comes_back_from_a_cut_hears_of_quarantines():
    with Fleet(4) as fleet:
        fleet.cut = {"vm-3"}
        crash_everywhere(fleet, "dead")
        others = [each for name, each in fleet.quarantines.items() if name != "vm-3"]
        expect_soon(lambda: not any(is_admitted(each, "dead") for each in others))
        # The evidence is no longer repeated.
        gevent.sleep(REPEAT_S + 0.5)
        assert is_admitted(fleet.quarantines["vm-3"], "dead")
        fleet.cut = set()
        expect_soon(lambda: fleet.refuses("dead"))


def test_nothing_is_sent_without_evidence():
    with Fleet(3) as fleet:
        for exchange in fleet.exchanges.values():
            exchange.announce()
        for quarantine in fleet.quarantines.values():
            quarantine.record_begun("model", ("a", "b"))
            assert quarantine.make_update() is None
        assert fleet.sent == 0


@given(st.lists(implications_of(st.integers(1, 900)), max_size=64))
def test_split_updates_are_small_and_keep_all_findings(implications):
    whole = QuarantineUpdate("vm-1", tuple(implications))
    parts = list(split_update(whole))
    assert all(len(msgspec.msgpack.encode(part)) <= MAX_UPDATE_BYTES for part in parts)
    kept = [found for part in parts for found in part.implications]
    assert kept == implications


def test_answers_that_begin_after_a_crash_are_not_told_to_all_peers():
    with Fleet(4) as fleet:
        crash_everywhere(fleet, "popular", "dead")
        expect_soon(lambda: fleet.refuses("popular", "dead"))
        fleet.quarantines["vm-0"].record_begun("model", ("popular",))
        expect_soon(lambda: fleet.refuses("dead"))
        sent = fleet.sent
        for quarantine in fleet.quarantines.values():
            for _ in range(50):
                quarantine.record_begun("model", ("popular", "other"))
        gevent.sleep(0.2)
        assert fleet.sent - sent < 20
