"""Bound on the bytes that a process holds for calls in progress.

Answers of backend servers and bodies of callers share one account, whose limit follows from the
memory of the machine. Input that is read ahead counts too. Small items are accepted beyond the
limit, up to SMALL_SHARE of it for bodies. A part of it is kept for answers, so that large bodies of
callers can't fail them. Where the rest is used up, the backend server that holds the most loses an
answer, and the others go on: bytes without end come from few backend servers. Bodies of callers
that stall lose their place to others.
"""

import random
import time
from collections import Counter
from collections.abc import Callable

from balsamtally.errors import AnswerTooLarge, TooManyRequests

# Part of the machine's memory for the account. The process itself takes 25 to 45 MB, and the rest
# is for what isn't counted: connections, copies in transit and free memory between objects in use.
ACCOUNT_SHARE = 0.3
# Part of the account that only answers may use.
RESERVE_SHARE = 0.25
BYTES_PER_MB = 1_000_000
# Items up to this size are accepted beyond the limit; bodies up to SMALL_SHARE of it.
SMALL_BYTES = 16_384
SMALL_SHARE = 1.25
# A body that is being received may be refused for another one if nothing of it arrived for this
# time, in seconds, or less than this in a second.
STALL_S = 3.0
MIN_BYTES_PER_S = 4_096
# Memory that a byte of an unfinished answer takes: the answer, and what its buffers leave unused.
ANSWER_FACTOR = 2.0
# Limits of the time after which a caller with a refused body may return, in seconds.
MIN_RETURN_S = 0.2
MAX_RETURN_S = 5.0
# Time over which the rate of released bytes is averaged, in seconds.
RATE_S = 2.0


class HeldBytes:
    """The account of one process.

    :param limit_bytes: most bytes of all items that aren't small
    :param clock: monotonic clock in seconds
    :ivar limit_bytes: this limit, which may be changed
    :ivar used_bytes: bytes held now
    :ivar evicted: stalled bodies refused since the start to make room
    """

    def __init__(self, limit_bytes: float, clock: Callable[[], float] = time.monotonic):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0.0
        self._by_backend: Counter[str] = Counter()
        self._clock = clock
        self._bodies: set[Holding] = set()
        self.evicted = 0
        self._released_per_s = 0.0
        self._released_s = clock()

    def has_room(self, size: float) -> bool:
        """Return whether there is room for more bytes, without the reserve for answers.

        :param size: the bytes
        """
        return self.used_bytes + size <= (1.0 - RESERVE_SHARE) * self.limit_bytes

    def has_room_for_small(self, size: float) -> bool:
        """Return whether there is room for more bytes of a small item.

        :param size: the bytes
        """
        return self.used_bytes + size <= SMALL_SHARE * self.limit_bytes

    def read_clock(self) -> float:
        """Return the monotonic time, in seconds."""
        return self._clock()

    def watch(self, body: "Holding", is_held: bool) -> None:
        """Consider the body of a caller for eviction, or no longer.

        :param body: the body
        :param is_held: whether it holds bytes
        """
        (self._bodies.add if is_held else self._bodies.discard)(body)

    def evict_stalled(self, size: float) -> None:
        """Refuse the largest stalled bodies, whose callers then make room for more bytes.

        They release their bytes soon, not at once.

        :param size: the bytes
        """
        stalled = [body for body in self._bodies if body.is_evictable and body.is_stalled()]
        needed = self.used_bytes + size - (1.0 - RESERVE_SHARE) * self.limit_bytes
        needed -= sum(body.size for body in self._bodies if body.is_evicted)
        for body in sorted(stalled, key=lambda body: body.size, reverse=True):
            if needed <= 0:
                break
            needed -= body.size
            self.evicted += body.evict()

    def has_room_for_answer(self, size: float, backend: str) -> bool:
        """Return whether there is room for more bytes of an answer.

        Beyond the reserve, the backend server whose answers hold the most gets no more.

        :param size: the bytes
        :param backend: name of the backend server
        """
        if self.has_room(size):
            return True
        if self._by_backend.total() + size <= RESERVE_SHARE * self.limit_bytes:
            return True
        is_largest = self._by_backend[backend] >= max(self._by_backend.values(), default=0.0)
        return not is_largest and self.used_bytes + size <= self.limit_bytes

    def add(self, size: float, backend: str = "") -> None:
        """Count bytes, or release them.

        :param size: the bytes, negative to release them
        :param backend: backend server of an answer, empty for the body of a caller
        """
        self.used_bytes += size
        if backend:
            self._by_backend[backend] += size
            if self._by_backend[backend] <= 0:
                del self._by_backend[backend]
        if size < 0:
            self._record_release(-size)

    def _record_release(self, size: float) -> None:
        now = self._clock()
        kept = max(0.0, 1.0 - (now - self._released_s) / RATE_S)
        self._released_per_s = self._released_per_s * kept + size / RATE_S
        self._released_s = now

    def estimate_return_s(self, size: float) -> float:
        """Return the time after which a body of some bytes may find room, in seconds.

        Callers return spread over half of it, so that they don't all find the same room.

        :param size: size of the body
        """
        needed = self.used_bytes + size - (1.0 - RESERVE_SHARE) * self.limit_bytes
        wait_s = needed / max(self._released_per_s, 1.0)
        return random.uniform(1.0, 1.5) * min(max(wait_s, MIN_RETURN_S), MAX_RETURN_S)


class Holding:
    """The bytes of one item in the account, a context manager that releases them.

    :param account: the account
    :param backend: backend server of an answer, empty for the body of a caller
    :param on_evict: called to refuse the body of a caller, ``None`` if it can't be refused
    :ivar is_evictable: whether input of the body is awaited, so that it may be refused
    :ivar is_evicted: whether it was refused to make room, and its bytes are about to be released
    """

    def __init__(
        self,
        account: HeldBytes,
        backend: str = "",
        on_evict: Callable[[], None] | None = None,
    ):
        self._account = account
        self._backend = backend
        self._on_evict = on_evict
        self._size = 0.0
        self.is_evictable = self.is_evicted = False
        self._began_s = self._progressed_s = 0.0
        self._received = 0

    def __enter__(self) -> "Holding":
        return self

    def __exit__(self, *exc_info) -> None:
        self.resize(0)

    @property
    def size(self) -> float:
        """Bytes that the item counts."""
        return self._size

    def resize(self, size: int) -> None:
        """Change the size of the item.

        :param size: its bytes
        :raises TooManyRequests: if there is no room for the body of a caller
        :raises AnswerTooLarge: if there is none for an answer
        """
        counted = size * ANSWER_FACTOR if self._backend else float(size)
        grown = counted - self._size
        if grown > 0 and size > SMALL_BYTES:
            self._check_room(grown, size)
        elif grown > 0 and not self._backend and not self._account.has_room_for_small(grown):
            self._refuse_body(grown)
        if self._on_evict is not None:
            if not self._size:
                self._began_s = self._progressed_s = self._account.read_clock()
                self._received = 0
                self.is_evicted = False
            self._account.watch(self, counted > 0)
        self._size = counted
        self._account.add(grown, self._backend)

    def _check_room(self, grown: float, size: int) -> None:
        account = self._account
        if self._backend:
            if not account.has_room_for_answer(grown, self._backend):
                raise AnswerTooLarge(f"no memory is left for an answer of {size} bytes or more")
        elif not account.has_room(grown):
            self._refuse_body(grown)

    def _refuse_body(self, grown: float) -> None:
        self._account.evict_stalled(grown)
        raise TooManyRequests(
            "no memory is left for the body of the request",
            self._account.estimate_return_s(grown),
        )

    def progress(self, size: int) -> None:
        """Record that a part of the body arrived.

        :param size: its bytes, with framing
        """
        self._progressed_s = self._account.read_clock()
        self._received += size

    def is_stalled(self) -> bool:
        """Return whether the body arrives too slowly to keep others out."""
        now = self._account.read_clock()
        age_s = now - self._began_s
        is_slow = age_s > STALL_S and self._received < age_s * MIN_BYTES_PER_S
        return is_slow or now - self._progressed_s > STALL_S

    def evict(self) -> bool:
        """Refuse the body; return whether that was begun now."""
        self.is_evictable = False
        self.is_evicted = True
        if self._on_evict is not None:
            self._on_evict()
        return self._on_evict is not None

    def record(self, size: int) -> None:
        """Change the size of an item that has arrived and can't be refused.

        :param size: its bytes
        """
        self._account.add(size - self._size, self._backend)
        self._size = float(size)


def find_limit(memory_mb: float) -> float:
    """Return the limit of a process's account, in bytes.

    :param memory_mb: memory of the machine, in MB
    """
    return ACCOUNT_SHARE * memory_mb * BYTES_PER_MB
