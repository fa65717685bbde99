"""Tests of receipts."""

import gevent
import pytest

from balsamtally import errors
from balsamtally.messages import ServiceAnswer
from balsamtally.receipts import ReceiptBook, digest_call

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
        return ReceiptBook(**values | changes)


def refuse_to_run():
    raise AssertionError("dispatched a second time")


def fail_with(error):
    def send():
        raise error

    return send


def test_repeat_gets_the_kept_answer_and_another_call_is_refused():
    book = Clocks().make_book()
    receipt = book.open(book.issue("ana"))
    assert book.run(receipt, "ana", CALL, lambda: ANSWER) is ANSWER
    assert book.run(receipt, "ana", CALL, refuse_to_run) is ANSWER
    with pytest.raises(errors.ReceiptReused):
        book.run(receipt, "ana", digest_call("filing", "record", b"{1}"), refuse_to_run)
    with pytest.raises(errors.ReceiptForeign):
        book.run(receipt, "eva", CALL, refuse_to_run)


def test_repeat_joins_the_running_call():
    book = Clocks().make_book()
    receipt = book.open(book.issue("ana"))
    first = gevent.spawn(book.run, receipt, "ana", CALL, lambda: gevent.sleep(0.01) or ANSWER)
    second = gevent.spawn(book.run, receipt, "ana", CALL, refuse_to_run)
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
    book = Clocks().make_book()
    receipt = book.open(book.issue("ana"))
    with pytest.raises(error):
        book.run(receipt, "ana", CALL, fail_with(error()))
    for _ in range(2):
        with pytest.raises(repeated):
            book.run(receipt, "ana", CALL, refuse_to_run)
    assert book.running == 0


def test_forged_and_other_receipts_are_refused():
    book = Clocks().make_book()
    text = book.issue("ana")
    for forged in ("", "é", "a", text[:-4], "A" + text[1:], text * 20):
        with pytest.raises(errors.ReceiptInvalid):
            book.open(forged)
    with pytest.raises(errors.ReceiptInvalid):
        book.open(Clocks().make_book(key=b"other").issue("ana"))
    with pytest.raises(errors.OutcomeUnknown):
        book.run(book.open(Clocks().make_book(incarnation="i2").issue("ana")), "ana", CALL, str)


@pytest.mark.parametrize("jump_s", [-1e9, 0.0, 1e9])
def test_expired_receipt_never_runs_whatever_the_wall_clock_says(jump_s):
    clocks = Clocks()
    book = clocks.make_book()
    used, unused, late = (book.open(book.issue("ana")) for _ in range(3))
    book.run(used, "ana", CALL, lambda: ANSWER)
    clocks.wall += jump_s
    clocks.passed = 10.0
    for error in (errors.ReceiptExpired, errors.ReceiptVoid):
        with pytest.raises(error):
            book.run(unused, "ana", CALL, refuse_to_run)
    assert book.run(used, "ana", CALL, refuse_to_run) is ANSWER
    clocks.passed = 20.0
    book.issue("ana")
    assert len(book) == 1
    for receipt in (used, unused, late):
        with pytest.raises(errors.OutcomeUnknown):
            book.run(receipt, "ana", CALL, refuse_to_run)


def test_memory_is_bounded_without_forgetting():
    clocks = Clocks()
    book = clocks.make_book(max_receipts=4, max_answer_bytes=25)
    held = [book.open(book.issue(name)) for name in ("ana", "ana", "eva")]
    with pytest.raises(errors.ReceiptsFull):
        book.issue("ana")
    book.issue("eva")
    with pytest.raises(errors.ReceiptsFull):
        book.issue("ida")
    for receipt in held:
        assert book.run(receipt, receipt.customer, CALL, lambda: ANSWER) is ANSWER
    with pytest.raises(errors.AnswerGone):
        book.run(held[0], "ana", CALL, refuse_to_run)
    assert book.run(held[1], "ana", CALL, refuse_to_run) is ANSWER
    clocks.passed = 20.0
    book.issue("ida")
    assert len(book) == 1 and book.count_usable() == 1


def test_leaving_vm_issues_none_but_runs_those_that_are_out():
    book = Clocks().make_book()
    receipt = book.open(book.issue("ana"))
    book.leave()
    with pytest.raises(errors.Leaving):
        book.issue("ana")
    assert book.run(receipt, "ana", CALL, lambda: ANSWER) is ANSWER
