"""Reads the body of a caller's request within the account of held bytes.

Each chunk costs a pass through the parser, so bodies in very small chunks are parsed in short
turns, one connection at a time: other callers are served in between.
"""

from collections.abc import Callable

import gevent
import h11
from gevent.lock import BoundedSemaphore

from balsamtally.calls import Limits
from balsamtally.errors import (
    BodyTooLarge,
    CallerLeft,
    MalformedRequest,
    RequestTimeout,
    TooManyRequests,
)
from balsamtally.held_bytes import HeldBytes, Holding
from balsamtally.inboxes import MAX_READ_BYTES, READ_BYTES, Inbox

# Digits that are read of a length; one with more exceeds any limit.
MAX_LENGTH_DIGITS = 15
# A body is dense where its last input held at least this number of chunks, smaller than this on
# average. The density is not known of the first input, of which little is parsed.
MIN_DENSE_CHUNKS = 16
DENSE_CHUNK_BYTES = 64
TURN_BYTES = 1_024
# Framing of chunks may take this many times the bytes of the body; 5 times with chunks of one byte.
MAX_FRAMING_RATIO = 8
MIN_FRAMING_BYTES = 65_536
_dense_turn = BoundedSemaphore(1)


def find_length(request: h11.Request) -> int:
    """Return the length that a request declares for its body, 0 if it declares none.

    :param request: the request, whose headers the parser has checked
    """
    lengths = [
        int(value[:MAX_LENGTH_DIGITS])
        for name, value in request.headers
        if name == b"content-length"
    ]
    return lengths[0] if lengths else 0


class BodyReader:
    """Reads the bodies of one connection.

    :param inbox: input of the connection
    :param clock: monotonic clock in seconds
    :param account: counts the bytes, ``None`` to count none
    """

    def __init__(self, inbox: Inbox, clock: Callable[[], float], account: HeldBytes | None):
        self._inbox = inbox
        self._clock = clock
        self._account = account
        self._holding = Holding(account, on_evict=self._evict) if account is not None else None
        self._is_evicted = self._is_chunked = False
        self._chunks = self._part_bytes = self._received = 0

    def release(self) -> None:
        """Count the bytes of the last body no longer, as nothing refers to it."""
        self._count(0)

    def _count(self, size: int) -> None:
        if self._holding is not None:
            self._holding.resize(size)

    def _evict(self) -> None:
        self._is_evicted = True
        self._inbox.wake()

    def _check_evicted(self) -> None:
        if self._is_evicted:
            raise TooManyRequests(
                "no memory is left for the body of the request",
                self._account.estimate_return_s(0),
            )

    def read(
        self, http: h11.Connection, request: h11.Request, limits: Limits, send: Callable
    ) -> bytes:
        """Read a body.

        :param http: the parser, which has read the head
        :param request: the head
        :param limits: limits on size and time
        :param send: sends an informational response
        :raises BalsamtallyError: if the body isn't accepted or doesn't arrive in time
        """
        # A body of known length is refused before it is sent, if its caller waits for that.
        declared = find_length(request)
        if declared > limits.max_body_bytes:
            raise BodyTooLarge
        self._is_evicted = False
        self._chunks = self._part_bytes = self._received = 0
        self._count(declared)
        self._inbox.expect(declared)
        self._is_chunked = not declared
        if http.they_are_waiting_for_100_continue:
            send(h11.InformationalResponse(status_code=100, headers=[]))
        return self._read_parts(http, declared, limits)

    def _read_parts(self, http: h11.Connection, declared: int, limits: Limits) -> bytes:
        body = bytearray()
        deadline_s = self._clock() + limits.idle_timeout_s
        while True:
            event = http.next_event()
            if type(event) is h11.EndOfMessage:
                break
            if type(event) is h11.Data:
                self._chunks += 1
                body += event.data
                if len(body) > limits.max_body_bytes:
                    raise BodyTooLarge
                self._count(max(declared, len(body)))
            else:
                self._receive(http, len(body), deadline_s)
        rest, _ = http.trailing_data
        self._inbox.put_back(rest)
        return bytes(body)

    def _receive(self, http: h11.Connection, size: int, deadline_s: float) -> None:
        """Pass further input to the parser."""
        inbox = self._inbox
        if self._received > MAX_FRAMING_RATIO * size + MIN_FRAMING_BYTES:
            raise MalformedRequest("the framing of the chunks is much larger than the body")
        if not inbox.data and not self._wait_for_more(deadline_s):
            self._check_evicted()
            if inbox.ended:
                raise CallerLeft("the caller disconnected within its request")
            raise RequestTimeout("the body of the request took too long")
        data = inbox.take(self._wait_for_turn(deadline_s))
        self._chunks = 0
        self._part_bytes = len(data)
        self._received += len(data)
        if self._holding is not None:
            self._holding.progress(len(data))
        http.receive_data(data)

    def _wait_for_more(self, deadline_s: float) -> bool:
        """Wait for input; a body that others wait for may be refused meanwhile."""
        if self._holding is not None:
            self._holding.is_evictable = True
        try:
            return self._inbox.wait_for_more(deadline_s, lambda: self._is_evicted)
        finally:
            if self._holding is not None:
                self._holding.is_evictable = False

    def _wait_for_turn(self, deadline_s: float) -> int:
        """Let other greenlets run; return how much input may be parsed next, in bytes.

        :raises RequestTimeout: if other dense bodies wait too, and the time for the body has passed
        """
        if not self._is_chunked:
            return MAX_READ_BYTES
        size = self._part_bytes
        if self._chunks < MIN_DENSE_CHUNKS or self._chunks * DENSE_CHUNK_BYTES < size:
            gevent.sleep(0)
            return READ_BYTES if size else TURN_BYTES
        if _dense_turn.locked() and self._clock() > deadline_s:
            raise RequestTimeout("the body of the request took too long")
        with _dense_turn:
            gevent.sleep(0)
        return TURN_BYTES
