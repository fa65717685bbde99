"""Tests of receipts."""

import gevent
import pytest

from balsamtally import errors
from balsamtally.messages import ServiceAnswer
from balsamtally.receipts import ReceiptRegistry, digest_call

CALL = digest_call("filing", "record", b"{}")
ANSWER = ServiceAnswer(200, b"x" * 10)


class Clocks:
    """Two clocks set by hand."""

    def __init__(self):
        self.wall = 1e9
        self.passed = 0.0

    def make_book(self, **changes):
        values = {"vm": "a1", "incarnation": "i1", "key": b"k", "lifetime_s": 10.0}
        values |= {"clock": lambda: self.wall, "monotonic": lambda: self.passed}
        return ReceiptRegistry(**values | changes)


def refuse_to_run():
    raise AssertionError("dispatched a second time")


def fail_with(error):
    def send():
        raise error

    return send


def test_repeat_gets_the_kept_answer_and_another_call_is_refused():
    registry = Clocks().make_book()
    receipt = registry.open(registry.issue("ana"))
    assert registry.run(receipt, "ana", CALL, lambda: ANSWER) is ANSWER
    assert registry.run(receipt, "ana", CALL, refuse_to_run) is ANSWER
    with pytest.raises(errors.ReceiptReused):
        registry.run(receipt, "ana", digest_call("filing", "record", b"{1}"), refuse_to_run)
    with pytest.raises(errors.ReceiptForeign):
        registry.run(receipt, "eva", CALL, refuse_to_run)


def test_repeat_joins_the_running_call():
    registry = Clocks().make_book()
    receipt = registry.open(registry.issue("ana"))
    first = gevent.spawn(registry.run, receipt, "ana", CALL, lambda: gevent.sleep(0.01) or ANSWER)
    second = gevent.spawn(registry.run, receipt, "ana", CALL, refuse_to_run)
    assert first.get() is second.get() is ANSWER


@pytest.mark.parametrize(
    ("error", "repeated"),
    [
        (errors.NoBackend, errors.ReceiptVoid),
        (errors.OutcomeUnknown, errors.OutcomeUnknown),
        (errors.BackendFailed, errors.BackendFailed),
        (ValueError, errors.OutcomeUnknown),
        (gevent.GreenletExit, errors.OutcomeUnknown),
    ],
)
def test_failed_call_never_runs_again(error, repeated):
    registry = Clocks().make_book()
    receipt = registry.open(registry.issue("ana"))
    with pytest.raises(error):
        registry.run(receipt, "ana", CALL, fail_with(error()))
    for _ in range(2):
        with pytest.raises(repeated):
            registry.run(receipt, "ana", CALL, refuse_to_run)
    assert registry.running == 0


def test_forged_and_other_receipts_are_refused():
    registry = Clocks().make_book()
    text = registry.issue("ana")
    for forged in ("", "é", "a", text[:-4], "A" + text[1:], text * 20):
        with pytest.raises(errors.ReceiptInvalid):
            registry.open(forged)
    with pytest.raises(errors.ReceiptInvalid):
        registry.open(Clocks().make_book(key=b"other").issue("ana"))
    with pytest.raises(errors.OutcomeUnknown):
        registry.run(
            registry.open(Clocks().make_book(incarnation="i2").issue("ana")), "ana", CALL, str
        )


@pytest.mark.parametrize("jump_s", [-1e9, 0.0, 1e9])
def test_expired_receipt_never_runs_whatever_the_wall_clock_says(jump_s):
    clocks = Clocks()
    registry = clocks.make_book()
    used, unused, late = (registry.open(registry.issue("ana")) for _ in range(3))
    registry.run(used, "ana", CALL, lambda: ANSWER)
    clocks.wall += jump_s
    clocks.passed = 10.0
    for error in (errors.ReceiptExpired, errors.ReceiptVoid):
        with pytest.raises(error):
            registry.run(unused, "ana", CALL, refuse_to_run)
    assert registry.run(used, "ana", CALL, refuse_to_run) is ANSWER
    clocks.passed = 20.0
    registry.issue("ana")
    assert len(registry) == 1
    for receipt in (used, unused, late):
        with pytest.raises(errors.OutcomeUnknown):
            registry.run(receipt, "ana", CALL, refuse_to_run)


def test_memory_is_bounded_without_forgetting():
    clocks = Clocks()
    registry = clocks.make_book(max_receipts=4, max_answer_bytes=25)
    held = [registry.open(registry.issue(name)) for name in ("ana", "ana", "eva")]
    with pytest.raises(errors.ReceiptsFull):
        registry.issue("ana")
    registry.issue("eva")
    with pytest.raises(errors.ReceiptsFull):
        registry.issue("ida")
    for receipt in held:
        assert registry.run(receipt, receipt.customer, CALL, lambda: ANSWER) is ANSWER
    with pytest.raises(errors.AnswerGone):
        registry.run(held[0], "ana", CALL, refuse_to_run)
    assert registry.run(held[1], "ana", CALL, refuse_to_run) is ANSWER
    clocks.passed = 20.0
    registry.issue("ida")
    assert len(registry) == 1 and registry.count_usable() == 1


def test_leaving_vm_issues_none_but_runs_those_that_are_out():
    registry = Clocks().make_book()
    receipt = registry.open(registry.issue("ana"))
    registry.leave()
    with pytest.raises(errors.Leaving):
        registry.issue("ana")
    assert registry.run(receipt, "ana", CALL, lambda: ANSWER) is ANSWER
