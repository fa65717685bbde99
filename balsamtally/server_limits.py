"""Limits that backend servers named in their answers, and those of cold servers.

A named limit holds for one incarnation, for the requests of all entry VMs together, until an answer
names none. Each statement has a time, and the latest one holds: for a limit, when the answer
arrived; for an answer without one, when its request was sent, since the head of a long answer may
have been written before the limit was named. Entry VMs have no common clock and tell each other
ages.

A brittle server names how many refusals within a second it tolerates. Its statement is of the same
kind as that of a limit and told with it. An incarnation that is published while its service has
brittle servers counts as brittle until an answer says otherwise.

The limit of a cold server follows from its published entry and ends by itself. As the entry may be
old, the time counts from when this entry VM learnt it, and a later entry never shortens it.
"""

import math
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Annotated

import msgspec

from balsamtally.calls import Backend
from balsamtally.decoding import Count, Seconds
from balsamtally.departures import Incarnation
from balsamtally.logs import log

# Largest limit that has an effect, in requests per second.
MAX_LIMIT_PER_S = 1e9
# Limits told in one heartbeat, the latest ones.
MAX_TOLD = 64
# An ended limit is told for this time, so that all entry VMs hear of its end.
ENDED_TTL_S = 30.0
# Time that a message between entry VMs may take. A told end counts as older by this, so that it
# doesn't cancel a limit that was named after it.
TRANSIT_S = 0.3
# Largest number of refusals that a brittle server tolerates; larger ones count as this.
MAX_REFUSALS = 1_000_000
# A service counts as brittle for this time after a server of it has last said that it is.
SERVICE_BRITTLE_S = 30.0
# Incarnations whose last answer without a limit is recorded; the oldest are dropped beyond this.
MAX_INCARNATIONS = 4_096

Limit = Annotated[float, msgspec.Meta(ge=0, le=MAX_LIMIT_PER_S)]


class ToldLimit(msgspec.Struct, frozen=True, array_like=True):
    """A limit as entry VMs tell it to each other.

    :ivar name: name of the backend server
    :ivar born: start of its incarnation in Unix milliseconds
    :ivar limit_per_s: requests per second, ``None`` if the limit has ended
    :ivar age_s: time since the statement, in seconds
    :ivar brittle: refusals within a second that it tolerates, ``None`` if it isn't brittle
    """

    name: str
    born: Count
    limit_per_s: Limit | None
    age_s: Seconds
    brittle: Count | None = None

    @property
    def key(self) -> Incarnation:
        """Identity of the backend server's incarnation."""
        return (self.name, self.born)


@dataclass(frozen=True)
class Statement:
    """What a backend server last said about its limit.

    :ivar limit_per_s: requests per second, ``None`` for no limit
    :ivar at_s: monotonic clock at the statement, in seconds
    :ivar brittle: refusals within a second that it tolerates, ``None`` if it isn't brittle
    """

    limit_per_s: float | None
    at_s: float
    brittle: int | None = None

    @property
    def is_end(self) -> bool:
        """Whether the server has no limit and isn't brittle."""
        return self.limit_per_s is None and self.brittle is None


@dataclass
class BrittleService:
    """A service with brittle servers.

    :ivar tolerated: refusals within a second that the server tolerates that was the last to say it
    :ivar said_s: monotonic clock when it said so, in seconds
    :ivar known: incarnations that were published when the first one said so
    """

    tolerated: int
    said_s: float
    known: frozenset[Incarnation]


class ServerLimits:
    """The limits that answers and peers reported.

    :param is_known: returns whether an incarnation is published
    :param clock: monotonic clock in seconds
    :param find_cold_limit: returns the requests per second for a cold server of a service, ``None``
        if they aren't limited
    :param list_published: returns the published backend servers by name
    """

    def __init__(
        self,
        is_known: Callable[[Incarnation], bool],
        clock: Callable[[], float] = time.monotonic,
        find_cold_limit: Callable[[str], float | None] = lambda service: None,
        list_published: Callable[[], Mapping[str, Backend]] = dict,
    ):
        self._is_known = is_known
        self._clock = clock
        self._find_cold_limit = find_cold_limit
        self._cold: dict[Incarnation, str] = {}
        self._cold_until_s: dict[Incarnation, float] = {}
        self._next_warm_s = math.inf
        self._statements: dict[Incarnation, Statement] = {}
        self._unlimited_s: dict[Incarnation, float] = {}
        self._limits: dict[Incarnation, float] = {}
        self._brittle: dict[Incarnation, int] = {}
        self._list_published = list_published
        self._brittle_services: dict[str, BrittleService] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no backend server has a limit, is brittle or is cold."""
        # Called for each candidate of each waiting call.
        if self._cold and self._clock() >= self._next_warm_s:
            self._end_cold()
        return not (self._limits or self._cold or self._brittle or self._brittle_services)

    def find(self, key: Incarnation) -> float | None:
        """Return the limit of a backend server in requests per second, ``None`` if it has none.

        :param key: identity of its incarnation
        :return: the lower of the limits that it named and that it has as a cold server
        """
        if key not in self._cold:
            return self.find_named(key)
        limits = (self.find_named(key), self.find_cold(key))
        return min((limit for limit in limits if limit is not None), default=None)

    def find_named(self, key: Incarnation) -> float | None:
        """Return the limit that a backend server named, in requests per second.

        :param key: identity of its incarnation
        """
        return self._limits.get(key)

    def find_brittle(self, key: Incarnation) -> int | None:
        """Return how many refusals within a second a brittle server tolerates.

        :param key: identity of its incarnation
        :return: the number, ``None`` if the server isn't brittle
        """
        if key in self._brittle or not self._brittle_services:
            return self._brittle.get(key)
        backend = self._list_published().get(key[0])
        service = self._brittle_services.get(backend.service) if backend is not None else None
        if service is None or key in service.known or key in self._unlimited_s:
            return None
        is_recent = self._clock() - service.said_s < SERVICE_BRITTLE_S
        return service.tolerated if is_recent else None

    def list_brittle(self) -> list[Incarnation]:
        """Return the incarnations that said that they are brittle."""
        return list(self._brittle)

    def find_cold(self, key: Incarnation) -> float | None:
        """Return the limit of a cold server in requests per second, ``None`` if it has none.

        :param key: identity of its incarnation
        """
        return self._find_cold_limit(self._cold[key]) if self.is_cold(key) else None

    def is_cold(self, key: Incarnation) -> bool:
        """Return whether a backend server is cold.

        :param key: identity of its incarnation
        """
        return key in self._cold and self._cold_until_s[key] > self._clock()

    def was_cold(self, key: Incarnation, within_s: float) -> bool:
        """Return whether a backend server was cold within the last seconds.

        :param key: identity of its incarnation
        :param within_s: the time in seconds
        """
        until_s = self._cold_until_s.get(key)
        return until_s is not None and until_s > self._clock() - within_s

    def find_cold_left_s(self, key: Incarnation) -> float:
        """Return how much longer a backend server counts as cold, in seconds.

        :param key: identity of its incarnation
        """
        return max(0.0, self._cold_until_s.get(key, 0.0) - self._clock())

    def record_cold(self, backend: Backend) -> None:
        """Record that the entry of a backend server tells that it is cold.

        :param backend: the incarnation, with the time for which it stays cold
        """
        key = backend.key
        until_s = self._clock() + backend.cold_s
        if until_s <= self._cold_until_s.get(key, float("-inf")):
            return
        if not self.is_cold(key):
            log.info("backend_cold", backend=key[0], born=key[1], cold_s=backend.cold_s)
        self._cold[key] = backend.service
        self._cold_until_s[key] = until_s
        self._next_warm_s = min(self._next_warm_s, until_s)

    def _end_cold(self) -> None:
        now = self._clock()
        for key in [key for key in self._cold if self._cold_until_s[key] <= now]:
            del self._cold[key]
            log.info("backend_warm", backend=key[0], born=key[1])
        self._next_warm_s = min((self._cold_until_s[key] for key in self._cold), default=math.inf)

    def list_limited(self) -> list[Incarnation]:
        """Return the incarnations that have a limit."""
        cold = [key for key in self._cold if self.find_cold(key) is not None]
        return list(dict.fromkeys([*self._limits, *cold]))

    def list_cold(self) -> list[Incarnation]:
        """Return the incarnations that are cold."""
        return [key for key in self._cold if self.is_cold(key)]

    def record_answer(
        self,
        backend: Backend,
        limit_per_s: float | None,
        sent_s: float,
        brittle: int | None = None,
    ) -> bool:
        """Record what an answer says; return whether the limit has changed.

        :param backend: the incarnation that answered
        :param limit_per_s: the limit that it names, ``None`` for none
        :param sent_s: monotonic clock when the request was sent, in seconds
        :param brittle: refusals within a second that it says it tolerates, ``None`` for none
        """
        key = backend.key
        if limit_per_s is not None or brittle is not None:
            return self._record(key, Statement(limit_per_s, self._clock(), brittle), "its answer")
        self._unlimited_s[key] = max(sent_s, self._unlimited_s.pop(key, sent_s))
        while len(self._unlimited_s) > MAX_INCARNATIONS:
            del self._unlimited_s[next(iter(self._unlimited_s))]
        if key not in self._statements:
            return False
        return self._record(key, Statement(None, sent_s), "its answer")

    def merge(self, told: Iterable[ToldLimit], source: str, heard_s: float | None = None) -> None:
        """Merge what a peer tells about published backend servers.

        :param told: the limits that the peer knows
        :param source: name of the peer, for the log
        :param heard_s: monotonic clock when the peer was heard, in seconds, ``None`` for now
        """
        if heard_s is None:
            heard_s = self._clock()
        for item in told:
            if not self._is_known(item.key):
                continue
            at_s = heard_s - max(0.0, item.age_s)
            statement = Statement(item.limit_per_s, at_s, item.brittle)
            if not statement.is_end or item.key in self._statements:
                self._record(item.key, statement, source)

    def _record(self, key: Incarnation, statement: Statement, source: str) -> bool:
        held = self._statements.get(key)
        if held is not None and not is_later(statement, held):
            return False
        unlimited_s = self._unlimited_s.get(key)
        if unlimited_s is not None and is_later(Statement(None, unlimited_s), statement):
            # The peer is told that the limit has ended meanwhile.
            statement = Statement(None, unlimited_s)
        self._statements[key] = statement
        return self._apply(key, statement, source)

    def _apply(self, key: Incarnation, statement: Statement, source: str) -> bool:
        is_brittle_new = self._apply_brittle(key, statement, source)
        return self._apply_limit(key, statement, source) or is_brittle_new

    def _apply_brittle(self, key: Incarnation, statement: Statement, source: str) -> bool:
        before = self._brittle.pop(key, None)
        if statement.brittle is not None:
            self._brittle[key] = statement.brittle
            self._record_brittle_service(key, statement)
        if statement.brittle == before:
            return False
        log.info(
            "server_brittle",
            backend=key[0],
            born=key[1],
            refusals=statement.brittle,
            before=before,
            source=source,
        )
        return True

    def _record_brittle_service(self, key: Incarnation, statement: Statement) -> None:
        published = self._list_published()
        if key[0] not in published:
            return
        name = published[key[0]].service
        service = self._brittle_services.get(name)
        if service is None:
            known = frozenset(each.key for each in published.values() if each.service == name)
            service = BrittleService(statement.brittle, statement.at_s, known)
            self._brittle_services[name] = service
        service.tolerated = statement.brittle
        service.said_s = max(service.said_s, statement.at_s)

    def _apply_limit(self, key: Incarnation, statement: Statement, source: str) -> bool:
        before = self._limits.pop(key, None)
        if statement.limit_per_s is not None:
            self._limits[key] = statement.limit_per_s
        if statement.limit_per_s == before:
            return False
        log.info(
            "server_limit",
            backend=key[0],
            born=key[1],
            limit_per_s=statement.limit_per_s,
            before=before,
            source=source,
        )
        return True

    def list_told(self) -> tuple[ToldLimit, ...]:
        """Return the limits for a heartbeat, the latest statements first."""
        now = self._clock()
        latest = sorted(self._statements.items(), key=lambda item: -item[1].at_s)
        return tuple(
            ToldLimit(
                *key,
                statement.limit_per_s,
                now - statement.at_s + (TRANSIT_S if statement.is_end else 0.0),
                statement.brittle,
            )
            for key, statement in islice(latest, MAX_TOLD)
        )

    def forget_removed(self) -> None:
        """Drop the limits of removed incarnations, and those that ended some time ago."""
        oldest_s = self._clock() - ENDED_TTL_S
        self._statements = {
            key: statement
            for key, statement in self._statements.items()
            if self._is_known(key) and (not statement.is_end or statement.at_s >= oldest_s)
        }
        self._unlimited_s = {
            key: at for key, at in self._unlimited_s.items() if self._is_known(key)
        }
        self._limits = {key: self._limits[key] for key in self._limits if key in self._statements}
        self._brittle = {
            key: self._brittle[key] for key in self._brittle if key in self._statements
        }
        brittle_since_s = self._clock() - SERVICE_BRITTLE_S
        self._brittle_services = {
            name: service
            for name, service in self._brittle_services.items()
            if service.said_s >= brittle_since_s
        }
        self._end_cold()
        self._cold = {key: self._cold[key] for key in self._cold if self._is_known(key)}
        self._cold_until_s = {
            key: until_s for key, until_s in self._cold_until_s.items() if self._is_known(key)
        }


def is_later(statement: Statement, other: Statement) -> bool:
    """Return whether a statement replaces another one; of two at one time, a limit does.

    :param statement: a statement
    :param other: the other one
    """
    if statement.at_s == other.at_s:
        return other.is_end and not statement.is_end
    return statement.at_s > other.at_s
