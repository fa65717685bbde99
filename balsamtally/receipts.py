"""Receipts: idempotency tokens under which a non-idempotent call runs at most once.

A receipt names the process incarnation that issued it, and only that incarnation dispatches its
call. The guarantee rests on the memory of that one process; it depends on no wall clock, lease or
view of the membership.
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
    :ivar expires_at: expiry by the wall clock in seconds since 1970; informational, since the
        issuer expires receipts by its monotonic clock
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


class ReceiptRecord:
    """The issuer's record of one receipt: its state and how its call ended."""

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
    """Return a digest of a call, by which the reuse of a receipt for another call is detected.

    :param service: name of the plain service
    :param operation: name of the operation
    :param body: body of the call
    :return: the SHA-256 digest
    """
    return hashlib.sha256(msgspec.msgpack.encode((service, operation, body))).digest()


class ReceiptRegistry:
    """Holds the receipts of one process incarnation and the results of their calls.

    A receipt can be used for ``lifetime_s`` and its record is kept for twice that time. Afterwards
    its call is never run, and whether it ran before is no longer known.
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
        :param vm: name of this entry VM
        :param incarnation: identity of this process, never used by another process
        :param key: key that all entry VMs share, by which receipts are authenticated
        :param clock: wall clock for the expiry time written into receipts
        :param monotonic: monotonic clock by which receipts expire
        :param max_receipts: maximum number of receipts in memory
        :param lifetime_s: time for which a receipt can be used, in seconds
        :param max_answer_bytes: maximum total size of the answers kept for repeated calls, in bytes
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
        self._records: OrderedDict[int, ReceiptRecord] = OrderedDict()
        self._count_by_customer: Counter[str] = Counter()
        self._answered: OrderedDict[int, ReceiptRecord] = OrderedDict()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def issue(self, customer: str) -> str:
        """Issue a receipt.

        :param customer: name of the customer
        :return: encoded receipt
        :raises Leaving: if this VM is draining
        :raises ReceiptsFull: if the limit of receipts, or the customer's share of it, is reached
        """
        if self.leaving:
            raise Leaving()
        self._evict_expired()
        if len(self._records) >= self._max_receipts:
            raise ReceiptsFull()
        if self._count_by_customer[customer] >= max(1, int(self._max_receipts * CUSTOMER_SHARE)):
            raise ReceiptsFull("the customer holds its whole share of the receipts")
        number = self._next_number
        self._next_number += 1
        self._records[number] = ReceiptRecord(number, customer, self._monotonic())
        self._count_by_customer[customer] += 1
        expires_at = self._clock() + self._lifetime_s
        return self._seal(Receipt(self.vm, self.incarnation, number, customer, expires_at))

    def open(self, text: str) -> Receipt:
        """Decode and authenticate a receipt; its state and expiry are not checked.

        :param text: encoded receipt
        :return: the content of the receipt
        :raises ReceiptInvalid: if the receipt is malformed or its authentication code is wrong
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
        """Return whether this process incarnation issued the receipt."""
        return (receipt.vm, receipt.incarnation) == (self.vm, self.incarnation)

    def run(
        self, receipt: Receipt, customer: str, digest: bytes, send: Callable[[], ServiceAnswer]
    ) -> ServiceAnswer:
        """Run a call under a receipt, or return the result of its earlier run.

        An error of ``send`` with the outcome "not run" voids the receipt. Any other error is kept
        and raised again for repeats; the call is never dispatched a second time.

        :param receipt: content of the receipt, as :meth:`open` returned it
        :param customer: name of the calling customer
        :param digest: digest of the call
        :param send: dispatches the call; called at most once for each receipt
        :return: the service's answer
        :raises ReceiptForeign: if the receipt was issued to another customer
        :raises ReceiptReused: if the receipt was used for another call
        :raises ReceiptVoid: if an earlier attempt ended as not run
        :raises ReceiptExpired: if the receipt was not used in time
        :raises AnswerGone: if the call ran and its answer is no longer in memory
        :raises OutcomeUnknown: if another incarnation issued the receipt, or its record was evicted
        """
        if receipt.customer != customer:
            raise ReceiptForeign()
        record = self._find_record(receipt)
        if record.digest is not None and record.digest != digest:
            raise ReceiptReused()
        if record.state is State.RUNNING:
            record.done.wait()
        if record.state is State.FINISHED:
            return self._replay(record)
        if record.state is State.VOID:
            raise ReceiptVoid()
        if self._monotonic() - record.issued_at >= self._lifetime_s:
            record.state = State.VOID
            raise ReceiptExpired()
        record.digest = digest
        return self._dispatch(record, send)

    def stop_issuing(self) -> None:
        """Stop issuing receipts; calls under receipts already issued still run."""
        self.leaving = True

    def count_usable(self) -> int:
        """Return the number of receipts that can still be used or whose call is running."""
        latest = self._monotonic() - self._lifetime_s
        unused = sum(
            record.state is State.ISSUED and record.issued_at > latest
            for record in self._records.values()
        )
        return unused + self.running

    def _seal(self, receipt: Receipt) -> str:
        payload = msgspec.msgpack.encode(receipt)
        return base64.urlsafe_b64encode(payload + self._authenticate(payload)).decode("ascii")

    def _authenticate(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, MAC_CONTEXT + payload, "sha256")[:MAC_BYTES]

    def _find_record(self, receipt: Receipt) -> ReceiptRecord:
        if not self.is_issuer(receipt):
            raise OutcomeUnknown("the process that issued the receipt no longer runs")
        record = self._records.get(receipt.number)
        if record is None:
            raise OutcomeUnknown("the receipt expired, and whether its call ran is no longer known")
        return record

    def _dispatch(self, record: ReceiptRecord, send: Callable[[], ServiceAnswer]) -> ServiceAnswer:
        record.state = State.RUNNING
        record.done = Event()
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
            self._finish(record, answer, error)
        return answer

    def _finish(
        self, record: ReceiptRecord, answer: ServiceAnswer | None, error: BalsamtallyError
    ) -> None:
        """Record the result of a call and wake the repeated calls that wait for it."""
        if answer is not None:
            record.state = State.FINISHED
            self._keep_answer(record, answer)
        elif error.outcome is Outcome.NOT_RUN:
            record.state = State.VOID
        else:
            record.state = State.FINISHED
            record.error = error
        record.done.set()

    def _keep_answer(self, record: ReceiptRecord, answer: ServiceAnswer) -> None:
        """Keep an answer for repeats; evict the oldest answers above the size limit."""
        record.answer = answer
        self._answered[record.number] = record
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > self._max_answer_bytes:
            _, oldest = self._answered.popitem(last=False)
            self._evict_answer(oldest)

    def _evict_answer(self, record: ReceiptRecord) -> None:
        self._answer_bytes -= len(record.answer.body)
        record.answer = None

    def _replay(self, record: ReceiptRecord) -> ServiceAnswer:
        if record.answer is not None:
            return record.answer
        if record.error is not None:
            raise record.error.report().restore()
        raise AnswerGone()

    def _evict_expired(self) -> None:
        """Evict receipts kept for twice their lifetime; a running call is never evicted."""
        latest = self._monotonic() - 2 * self._lifetime_s
        while self._records:
            record = next(iter(self._records.values()))
            if record.issued_at > latest or record.state is State.RUNNING:
                return
            del self._records[record.number]
            self._count_by_customer[record.customer] -= 1
            if not self._count_by_customer[record.customer]:
                del self._count_by_customer[record.customer]
            if self._answered.pop(record.number, None) is not None:
                self._evict_answer(record)
