"""Input of a caller's connection, read ahead within bounds so that a disconnect is noticed at once.

Reading stops while the inbox is full. It slows down for a caller that sends very few bytes at a
time, as each read costs processor time.
"""

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event

from balsamtally.held_bytes import HeldBytes, Holding
from balsamtally.sockets import has_input

READ_BYTES = 16_384
# Largest read of input that is discarded. The kernel drops it without a copy, so the buffer isn't
# written, and all connections share it.
DISCARD_BYTES = 262_144
# Largest read of a body whose whole length is counted already.
MAX_READ_BYTES = 65_536
# Input of such a body from which on reading stops. With 64 KiB, reading and parsing take turns, and
# bodies of 900 KB took over 3 s beside 180 callers.
BODY_AHEAD_BYTES = 262_144
# Input from which on reading stops, so that two reads at most are buffered; while a head is
# received, it may be larger.
READ_AHEAD_BYTES = 16_384
# Reads with fewer bytes than this count as small. A caller may make FREE_SMALL_READS of them in a
# request without a pause.
SMALL_READ_BYTES = 512
FREE_SMALL_READS = 64
# Pause before a read for each small read beyond these, and the longest pause, in seconds. 1,800
# callers that send single bytes then cause 7,200 reads in a second.
PAUSE_STEP_S = 0.001
MAX_PAUSE_S = 0.25
# Longest wait for the reader to take input that the kernel holds.
LATE_READ_TIMEOUT_S = 1.0
_discarded = bytearray(DISCARD_BYTES)


class Inbox:
    """The input of one connection that was received and not yet consumed.

    :param sock: the connection
    :param clock: monotonic clock in seconds
    :param on_end: called once when the caller closed the connection
    :param account: counts the bytes, ``None`` to count none
    :ivar data: the input
    :ivar ended: whether the caller closed the connection
    :ivar first_byte_s: monotonic time at which the oldest byte arrived, in seconds
    :ivar limit: bytes from which on reading stops
    """

    def __init__(
        self,
        sock: socket.socket,
        clock: Callable[[], float],
        on_end: Callable[[], None],
        account: HeldBytes | None = None,
    ):
        self._sock = sock
        self._clock = clock
        self._on_end = on_end
        self._holding = Holding(account) if account is not None else None
        self._arrived = Event()
        self._has_space = Event()
        self._has_space.set()
        self._small_reads = 0
        self._expected = 0
        self._discards = False
        self._reader: gevent.Greenlet | None = None
        self.data = bytearray()
        self.ended = False
        self.first_byte_s = 0.0
        self.limit = READ_AHEAD_BYTES

    def start(self) -> None:
        """Start to read the socket."""
        self._reader = gevent.spawn(self._read_all)

    def stop(self) -> None:
        """Stop reading, and release the input."""
        if self._reader is not None:
            self._reader.kill(block=False)
        self.data.clear()
        self._count()

    def _read_all(self) -> None:
        while not self.ended:
            self._has_space.wait()
            pause_s = (self._small_reads - FREE_SMALL_READS) * PAUSE_STEP_S
            if pause_s > 0:
                gevent.sleep(min(pause_s, MAX_PAUSE_S))
            if self._discards:
                self._discard_next()
            else:
                self._read_next()
        self._arrived.set()
        self._on_end()

    def _read_next(self) -> None:
        try:
            data = self._sock.recv(min(max(READ_BYTES, self._expected), MAX_READ_BYTES))
        except OSError:
            data = b""
        self.ended = not data
        self._small_reads += len(data) < SMALL_READ_BYTES
        if self._discards:
            # This began while the read waited.
            return
        self._expected = max(0, self._expected - len(data))
        if not self.data:
            self.first_byte_s = self._clock()
        self.data += data
        self._count()
        self._arrived.set()

    def _discard_next(self) -> None:
        try:
            size = self._sock.recv_into(_discarded, 0, socket.MSG_TRUNC)
        except OSError:
            size = 0
        self.ended = not size
        self._small_reads += size < SMALL_READ_BYTES

    def _count(self) -> None:
        """Count the input, and stop or resume reading."""
        if self._holding is not None:
            self._holding.record(len(self.data))
        if len(self.data) < (BODY_AHEAD_BYTES if self._expected else self.limit):
            self._has_space.set()
        else:
            self._has_space.clear()

    def begin_request(self, max_head_bytes: int) -> None:
        """Read on as far as a request needs.

        :param max_head_bytes: size of the largest head that is accepted
        """
        self._small_reads = self._expected = 0
        if len(self.data) >= self.limit:
            # Reading had stopped, so the rest of the head could not arrive.
            self.first_byte_s = self._clock()
        self.limit = max(READ_AHEAD_BYTES, max_head_bytes + 1)
        self._count()

    def expect(self, size: int) -> None:
        """Read the rest of a body in large pieces, but not beyond its end.

        :param size: length of the body, with the part that has been received
        """
        self._expected = max(0, size - len(self.data))
        self._count()

    def begin_handling(self) -> None:
        """Read ahead only a little until the next request is received."""
        self._expected = 0
        self.limit = READ_AHEAD_BYTES
        self._count()

    def take(self, size: int) -> bytes:
        """Remove and return the oldest input.

        :param size: most bytes to remove
        """
        taken = bytes(self.data[:size])
        del self.data[:size]
        self._count()
        return taken

    def put_back(self, data: bytes) -> None:
        """Put input before the rest.

        :param data: the input
        """
        self.data[:0] = data
        self._count()

    def discard_until_end(self, timeout_s: float) -> None:
        """Discard all input until the caller closes the connection; no request can follow.

        Each read takes what the kernel holds. With reads of 16 KiB, the rest of refused bodies took
        so much processor time that accepted ones reached their backend servers too late.

        :param timeout_s: longest time, in seconds
        """
        self._discards = True
        self.data.clear()
        self._expected = 0
        self._count()
        self._arrived.clear()
        if not self.ended:
            self._arrived.wait(timeout_s)

    def wake(self) -> None:
        """Wake what waits for input."""
        self._arrived.set()

    def end(self) -> None:
        """Treat the connection as closed by the caller."""
        self.ended = True
        self._arrived.set()

    def wait_for_first(self, timeout_s: float) -> bool:
        """Wait for input or the end; return whether either happened before the timeout.

        Input counts that came in the same turn of the event loop as the timeout, or waits unread.

        :param timeout_s: longest wait, in seconds
        """
        self._arrived.clear()
        if self.ended or self._arrived.wait(timeout_s):
            return True
        if not self.data and has_input(self._sock):
            self._arrived.wait(LATE_READ_TIMEOUT_S)
        return bool(self.data) or self.ended

    def wait_for_more(self, deadline_s: float, is_cancelled: Callable[[], bool]) -> bool:
        """Wait for further input; return whether some arrived.

        :param deadline_s: monotonic time at which the wait ends, in seconds
        :param is_cancelled: whether to end the wait early, asked after :meth:`wake`
        """
        if self.ended:
            return False
        self._arrived.clear()
        size = len(self.data)
        while len(self.data) == size:
            left_s = deadline_s - self._clock()
            if self.ended or left_s <= 0 or is_cancelled() or not self._arrived.wait(left_s):
                return len(self.data) != size
            self._arrived.clear()
        return True
