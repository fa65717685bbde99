"""Origins of resumable streams: the backend server, and so the software version, that began each.

What two versions write doesn't fit together, so that a caller's further tries have to go on at the
version that sent the first event.
"""

import time
from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Annotated

import msgspec

from balsamtally.calls import Backend
from balsamtally.decoding import Count

# Several times the longest stream; each use of a record renews it.
ORIGIN_TTL_S = 60.0
MAX_ORIGINS = 10_000
# Largest difference between the clocks of a VM and a backend server, in milliseconds.
CLOCK_MARGIN_MS = 500
MAX_REQUEST_CHARS = 128
MAX_NAME_CHARS = 200

RequestId = Annotated[str, msgspec.Meta(max_length=MAX_REQUEST_CHARS)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """Where a stream began.

    :ivar request: id of the caller's attempt that brought the first event
    :ivar customer: name of the customer, empty if the route is public
    :ivar software: version of the backend server's software, empty if it isn't published
    :ivar backend: name of the backend server
    :ivar born: start of its incarnation in Unix milliseconds, as the entry said that the VM had
    :ivar begun_ms: Unix milliseconds by the VM's clock when the first event came
    """

    request: RequestId
    customer: Name
    software: Name
    backend: Name
    born: Count
    begun_ms: Count


class Origins:
    """The origins that an entry VM knows, limited in number and in time.

    :param clock: monotonic clock in seconds
    :param most: most records; beyond them the least recently used one is dropped
    :param ttl_s: time for which a record is kept after its last use, in seconds
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        most: int = MAX_ORIGINS,
        ttl_s: float = ORIGIN_TTL_S,
    ):
        self._clock = clock
        self._most = most
        self._ttl_s = ttl_s
        # In the order of their last use, by id and customer.
        self._origins: OrderedDict[tuple[str, str], tuple[Origin, float]] = OrderedDict()

    def __len__(self) -> int:
        self._prune()
        return len(self._origins)

    def record(self, origin: Origin) -> bool:
        """Record an origin, or renew it if it is known.

        :param origin: the origin
        :return: whether it is the one known for this id and customer; a first one is not replaced
        """
        known = self.find(origin.request, origin.customer)
        if known is None:
            self._renew(origin)
            while len(self._origins) > self._most:
                self._origins.popitem(last=False)
        return known is None or known == origin

    def find(self, request: str, customer: str) -> Origin | None:
        """Return the origin of a stream and renew its record.

        :param request: id of the attempt that brought the first event
        :param customer: name of the customer that takes the stream up
        :return: the origin, ``None`` if no stream of this customer is known by the id
        """
        self._prune()
        known = self._origins.get((request, customer))
        if known is None:
            return None
        origin, _ = known
        self._renew(origin)
        return origin

    def _renew(self, origin: Origin) -> None:
        key = (origin.request, origin.customer)
        self._origins[key] = (origin, self._clock() + self._ttl_s)
        self._origins.move_to_end(key)

    def _prune(self) -> None:
        now = self._clock()
        while self._origins:
            _, until_s = next(iter(self._origins.values()))
            if until_s > now:
                return
            self._origins.popitem(last=False)


def find_software(origin: Origin, backends: Mapping[str, Backend]) -> str | None:
    """Return the software version of the process that began a stream.

    A backend server may have started again with another version before the VM that sent the call
    read its new entry. If it had by the time of the first event, this process began the stream.

    :param origin: the stream's origin
    :param backends: the entries of the backend servers, by name
    :return: the version, empty if it wasn't published; ``None`` if the start and the first event
        are too close to tell which came first
    """
    entry = backends.get(origin.backend)
    if entry is None or entry.born <= origin.born or entry.software == origin.software:
        return origin.software
    # The start is by the clock of the server, the first event by that of a VM.
    if abs(entry.born - origin.begun_ms) <= CLOCK_MARGIN_MS:
        return None
    return entry.software if entry.born < origin.begun_ms else origin.software
