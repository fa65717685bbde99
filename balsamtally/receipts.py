"""Receipts: idempotency tokens under which a non-idempotent call runs at most once.

A receipt names the process incarnation that issued it, and only that incarnation dispatches its
call. What holds depends on the memory of that one process: on no clock, lease or membership.
"""

import base64
import binascii
import enum
import hashlib
import hmac
import time
from collections import Counter, OrderedDict
from collections.abc import Callable

import msgspec
from gevent.event import Event

from balsamtally.errors import (
    AnswerGone,
    BalsamtallyError,
    Leaving,
    Outcome,
    OutcomeUnknown,
    ReceiptExpired,
    ReceiptForeign,
    ReceiptInvalid,
    ReceiptReused,
    ReceiptsFull,
    ReceiptVoid,
)
from balsamtally.messages import ServiceAnswer

LIFETIME_S = 300.0
MAX_RECEIPTS = 20_000
MAX_ANSWER_BYTES = 16_000_000
MAX_TEXT_CHARS = 1024
MAC_BYTES = 16
MAC_CONTEXT = b"balsamtally receipt 1\0"
CUSTOMER_SHARE = 0.5


class Receipt(msgspec.Struct, frozen=True, array_like=True):
    """The authenticated content of a receipt.

    :ivar vm: name of the entry VM that issued it
    :ivar incarnation: identity of the issuing process
    :ivar number: sequence number, from 1 in each incarnation
    :ivar customer: name of the customer it was issued to
    :ivar expires_at: wall clock time shown to the caller, in seconds since 1970; nothing
        depends on it
    """

    vm: str
    incarnation: str
    number: int
    customer: str
    expires_at: float


class State(enum.Enum):
    """State of a receipt at its issuer."""

    ISSUED = "issued"
    RUNNING = "running"
    FINISHED = "finished"
    VOID = "void"


class Entry:
    """What the issuer remembers of one receipt."""

    __slots__ = ("number", "customer", "issued_at", "state", "digest", "answer", "error", "done")

    def __init__(self, number: int, customer: str, issued_at: float):
        self.number = number
        self.customer = customer
        self.issued_at = issued_at
        self.state = State.ISSUED
        self.digest: bytes | None = None
        self.answer: ServiceAnswer | None = None
        self.error: BalsamtallyError | None = None
        self.done: Event | None = None


_decoder = msgspec.msgpack.Decoder(Receipt)


def digest_call(service: str, operation: str, body: bytes) -> bytes:
    """Return a digest that tells one call from another under the same receipt.

    :param service: name of the plain service
    :param operation: name of the operation
    :param body: body of the call
    :return: the digest
    """
    return hashlib.sha256(msgspec.msgpack.encode((service, operation, body))).digest()


class ReceiptRegistry:
    """The receipts of one process incarnation, and the calls that were run under them.

    A receipt can be used for ``lifetime_s`` and is remembered for twice that time. Afterwards
    its call is never run, and whether it ran is no longer known.
    """

    def __init__(
        self,
        vm: str,
        incarnation: str,
        key: bytes,
        clock: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = time.monotonic,
        max_receipts: int = MAX_RECEIPTS,
        lifetime_s: float = LIFETIME_S,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ):
        """
        :param vm: name of the own entry VM
        :param incarnation: identity of the own process, never used by another one
        :param key: the operator's shared key
        :param clock: wall clock, for the expiry that callers are shown
        :param monotonic: clock by which receipts expire
        :param max_receipts: most receipts remembered at a time
        :param lifetime_s: time in which a receipt can be used, in seconds
        :param max_answer_bytes: most bytes of answers kept for repeated calls
        """
        self.vm = vm
        self.incarnation = incarnation
        self.leaving = False
        self.running = 0
        self._key = key
        self._clock = clock
        self._monotonic = monotonic
        self._max_receipts = max_receipts
        self._lifetime_s = lifetime_s
        self._max_answer_bytes = max_answer_bytes
        self._next_number = 1
        self._entries: OrderedDict[int, Entry] = OrderedDict()
        self._held_by: Counter[str] = Counter()
        self._kept: OrderedDict[int, Entry] = OrderedDict()
        self._kept_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def issue(self, customer: str) -> str:
        """Issue a receipt.

        :param customer: name of the customer
        :return: text of the receipt
        :raises Leaving: if this VM is leaving
        :raises ReceiptsFull: if the memory, or the customer's part of it, is full
        """
        if self.leaving:
            raise Leaving()
        self._forget_old()
        if len(self._entries) >= self._max_receipts:
            raise ReceiptsFull()
        if self._held_by[customer] >= max(1, int(self._max_receipts * CUSTOMER_SHARE)):
            raise ReceiptsFull("the customer holds its part of the receipts")
        number = self._next_number
        self._next_number += 1
        self._entries[number] = Entry(number, customer, self._monotonic())
        self._held_by[customer] += 1
        expires_at = self._clock() + self._lifetime_s
        return self._seal(Receipt(self.vm, self.incarnation, number, customer, expires_at))

    def open(self, text: str) -> Receipt:
        """Return the content of a receipt; only its authenticity is checked.

        :param text: text of the receipt
        :return: its content
        :raises ReceiptInvalid: if it is forged or damaged
        """
        if len(text) > MAX_TEXT_CHARS:
            raise ReceiptInvalid()
        try:
            sealed = base64.b64decode(text.encode("ascii"), altchars=b"-_", validate=True)
        except (UnicodeEncodeError, binascii.Error) as error:
            raise ReceiptInvalid() from error
        payload, mac = sealed[:-MAC_BYTES], sealed[-MAC_BYTES:]
        if not hmac.compare_digest(mac, self._authenticate(payload)):
            raise ReceiptInvalid()
        try:
            return _decoder.decode(payload)
        except msgspec.DecodeError as error:
            raise ReceiptInvalid() from error

    def is_issuer(self, receipt: Receipt) -> bool:
        """Return whether this very process issued the receipt."""
        return (receipt.vm, receipt.incarnation) == (self.vm, self.incarnation)

    def run(
        self, receipt: Receipt, customer: str, digest: bytes, send: Callable[[], ServiceAnswer]
    ) -> ServiceAnswer:
        """Run a call under a receipt, or answer a repeat of it.

        An error of ``send`` with the outcome "not run" makes the receipt void; any other error
        is kept and answered again, and the call is never sent a second time.

        :param receipt: content of the receipt, as :meth:`open` returned it
        :param customer: name of the customer who calls
        :param digest: digest of the call
        :param send: dispatches the call; called at most once for each receipt
        :return: the answer
        :raises ReceiptForeign: if the receipt belongs to another customer
        :raises ReceiptReused: if the receipt was used for another call
        :raises ReceiptVoid: if the call was answered as not run before
        :raises ReceiptExpired: if the receipt was not used in time
        :raises AnswerGone: if the call ran and the answer is no longer held
        :raises OutcomeUnknown: if another incarnation issued the receipt, or it is forgotten
        """
        if receipt.customer != customer:
            raise ReceiptForeign()
        entry = self._find(receipt)
        if entry.digest is not None and entry.digest != digest:
            raise ReceiptReused()
        if entry.state is State.RUNNING:
            entry.done.wait()
        if entry.state is State.FINISHED:
            return self._repeat(entry)
        if entry.state is State.VOID:
            raise ReceiptVoid()
        if self._monotonic() - entry.issued_at >= self._lifetime_s:
            entry.state = State.VOID
            raise ReceiptExpired()
        entry.digest = digest
        return self._dispatch(entry, send)

    def leave(self) -> None:
        """Issue no more receipts; calls under those that are out still run."""
        self.leaving = True

    def count_usable(self) -> int:
        """Return how many receipts may still be used, or have their call running."""
        latest = self._monotonic() - self._lifetime_s
        unused = sum(
            entry.state is State.ISSUED and entry.issued_at > latest
            for entry in self._entries.values()
        )
        return unused + self.running

    def _seal(self, receipt: Receipt) -> str:
        payload = msgspec.msgpack.encode(receipt)
        return base64.urlsafe_b64encode(payload + self._authenticate(payload)).decode("ascii")

    def _authenticate(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, MAC_CONTEXT + payload, "sha256")[:MAC_BYTES]

    def _find(self, receipt: Receipt) -> Entry:
        if not self.is_issuer(receipt):
            raise OutcomeUnknown("the process that issued the receipt is gone")
        entry = self._entries.get(receipt.number)
        if entry is None:
            raise OutcomeUnknown("the receipt expired, and whether its call ran is forgotten")
        return entry

    def _dispatch(self, entry: Entry, send: Callable[[], ServiceAnswer]) -> ServiceAnswer:
        entry.state = State.RUNNING
        entry.done = Event()
        self.running += 1
        error: BalsamtallyError = OutcomeUnknown()
        answer = None
        try:
            answer = send()
        except BalsamtallyError as raised:
            error = raised
            raise
        finally:
            self.running -= 1
            self._finish(entry, answer, error)
        return answer

    def _finish(self, entry: Entry, answer: ServiceAnswer | None, error: BalsamtallyError) -> None:
        """Record how a call ended and wake the repeats that wait for it."""
        if answer is not None:
            entry.state = State.FINISHED
            self._keep(entry, answer)
        elif error.outcome is Outcome.NOT_RUN:
            entry.state = State.VOID
        else:
            entry.state = State.FINISHED
            entry.error = error
        entry.done.set()

    def _keep(self, entry: Entry, answer: ServiceAnswer) -> None:
        """Keep an answer for repeats; the oldest ones go first when the memory is full."""
        entry.answer = answer
        self._kept[entry.number] = entry
        self._kept_bytes += len(answer.body)
        while self._kept_bytes > self._max_answer_bytes:
            _, oldest = self._kept.popitem(last=False)
            self._drop_answer(oldest)

    def _drop_answer(self, entry: Entry) -> None:
        self._kept_bytes -= len(entry.answer.body)
        entry.answer = None

    def _repeat(self, entry: Entry) -> ServiceAnswer:
        if entry.answer is not None:
            return entry.answer
        if entry.error is not None:
            raise entry.error.report().restore()
        raise AnswerGone()

    def _forget_old(self) -> None:
        """Forget receipts that nobody may use any more; a running call is never forgotten."""
        latest = self._monotonic() - 2 * self._lifetime_s
        while self._entries:
            entry = next(iter(self._entries.values()))
            if entry.issued_at > latest or entry.state is State.RUNNING:
                return
            del self._entries[entry.number]
            self._held_by[entry.customer] -= 1
            if not self._held_by[entry.customer]:
                del self._held_by[entry.customer]
            if self._kept.pop(entry.number, None) is not None:
                self._drop_answer(entry)
