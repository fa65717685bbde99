"""The contracts in force and the known backend servers, decoded from published records."""

import math
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from functools import cached_property

from gevent.event import Event

from balsamtally.calls import Account, Backend, Limits, Route, Service
from balsamtally.decoding import DECODING_ERRORS
from balsamtally.departures import Departures, Incarnation
from balsamtally.evacuations import Evacuations
from balsamtally.logs import log
from balsamtally.records import Record, Records, Sequence, Update, read_no_sequence

# Backend servers renew entries that expired during an outage of the platform within two seconds of
# its return, by the platform's protocol.
RETURN_GRACE_S = 2.0


def read_no_evacuation(record: Record) -> str | None:
    """Return ``None``; the default of a decoder for a platform without evacuations.

    :param record: the record
    """
    return None


@dataclass(frozen=True)
class Contracts:
    """One version of the contracts.

    :ivar version: version number, which only increases
    :ivar routes: the routes
    :ivar services: the services by name
    :ivar limits: limits on callers' requests
    :ivar accounts: the customers by API key, ``None`` if calls need no key
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits = field(default_factory=Limits)
    accounts: Mapping[str, Account] | None = None

    @cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.path_prefix)):
            by_host.setdefault(route.host, []).append(route)
        return by_host

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, ``None`` if there is none.

        :param host: host in the caller's request
        :param path: path without the query
        """
        routes = self._routes_by_host.get(host, ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    @cached_property
    def _tightest_gaps_s(self) -> dict[str, float]:
        tightest_s: dict[str, float] = {}
        for route in self.routes:
            if route.streams and route.gap_s:
                for branch in route.branches:
                    known_s = tightest_s.get(branch.service, route.gap_s)
                    tightest_s[branch.service] = min(known_s, route.gap_s)
        return tightest_s

    def find_tightest_gap_s(self, service: str) -> float:
        """Return the tightest inter-event latency bound of a service, 0 if there is none.

        :param service: name of the service
        :return: the bound in seconds
        """
        return self._tightest_gaps_s.get(service, 0.0)


@dataclass(frozen=True)
class Decoder:
    """Functions that decode published records, implemented by the adapter to the platform.

    :ivar read_contracts: returns the contracts of a record, ``None`` for a record of another kind;
        raises one of ``DECODING_ERRORS`` if the record is invalid
    :ivar read_backend_name: returns the name of the backend server of a key, ``None`` for another
        key
    :ivar read_backend: returns the backend server of an entry; raises one of ``DECODING_ERRORS`` if
        the entry is invalid
    :ivar read_sequence: returns the sequence that the value of a key contains, the same or a larger
        one for each later value of its writer; empty for an invalid value
    :ivar read_evacuation: returns the failure domain that a record evacuates, or brings back if its
        value was removed; ``None`` for a record of another kind; raises one of ``DECODING_ERRORS``
        if the record is invalid
    """

    read_contracts: Callable[[Record], Contracts | None]
    read_backend_name: Callable[[str], str | None]
    read_backend: Callable[[str, bytes], Backend]
    read_sequence: Callable[[str, bytes], Sequence] = read_no_sequence
    read_evacuation: Callable[[Record], str | None] = read_no_evacuation


class Catalog:
    """This entry VM's view of the contracts and backend servers.

    :param decoder: decodes records
    :param clock: monotonic clock
    :ivar records: the merged records
    :ivar contracts: the contracts in force, ``None`` before any are known
    :ivar known: event that is set once contracts are in force
    :ivar backends: the backend servers by name
    :ivar evacuations: the evacuated failure domains
    :ivar on_cold: called with a backend server whose new entry tells that it is cold
    :ivar on_evacuation: called after an evacuation has begun or ended
    :ivar on_backends: called with all backend servers after entries of some have changed
    :ivar on_missed: called if entries of backend servers may have come and gone unseen, with the
        time for which this is possible in seconds, infinite if such an entry is known
    :ivar current_s: monotonic clock at which the platform last had no records beyond these, as far
        as this VM or a peer has learnt, in seconds
    """

    def __init__(self, decoder: Decoder, clock: Callable[[], float] = time.monotonic):
        self.records = Records(decoder.read_sequence)
        self.contracts: Contracts | None = None
        self.known = Event()
        self.backends: dict[str, Backend] = {}
        self.evacuations = Evacuations(clock)
        self.on_cold: Callable[[Backend], None] = lambda backend: None
        self.on_evacuation: Callable[[], None] = lambda: None
        self.on_backends: Callable[[Iterable[Backend]], None] = lambda backends: None
        self.on_missed: Callable[[float], None] = lambda missed_s: None
        self.current_s = clock()
        self._decoder = decoder
        self._clock = clock
        self._departures = Departures()
        self._present_departures: tuple[Incarnation, ...] = ()
        self._lapsed: dict[str, float] = {}
        self._refused: set[str] = set()
        self._grace_until_s = 0.0

    def merge(
        self, records: Iterable[Record], source: str, complete_revision: int = 0, era: int = 0
    ) -> None:
        """Merge records and apply those that changed.

        :param records: the records
        :param source: source of the records, for the log
        :param complete_revision: revision up to which no change is missing after the merge
        :param era: era of this revision, the last one that is known
        """
        changed = self.records.merge(records)
        self.records.record_complete_revision(complete_revision, era)
        self._apply(changed, source)

    def merge_update(self, update: Update, source: str) -> None:
        """Merge an update from a peer and adopt its grace period for removals.

        An update of a former era is ignored.

        :param update: the update; one that doesn't name its start must hold all records
        :param source: name of the peer, for the log
        """
        if update.era < self.records.era:
            log.info("update_outdated", source=source, era=update.era, known=self.records.era)
            return
        if update.since and (update.era, update.since) > self.records.position:
            log.info("update_incomplete", source=source, since=update.since)
            return
        self._grace_until_s = max(
            self._grace_until_s, self._clock() + min(update.grace_s, RETURN_GRACE_S)
        )
        at, era = update.complete_revision, update.era
        if update.since:
            # An update has the last change of an entry only.
            if any(self._decoder.read_backend_name(r.key) is not None for r in update.records):
                self.on_missed(self.age_s)
            self.merge(update.records, source, at, era)
        else:
            self.merge_listing(update.records, at, source, era, update.unchanged_keys)
        if update.age_ms is not None:
            self.record_current(update.age_ms / 1000)

    def make_update(self, since: int, era: int | None = None) -> Update:
        """Return an update for a peer that misses no change up to a revision.

        :param since: the revision
        :param era: its era, ``None`` if the peer doesn't know of eras
        """
        records = self.records
        start, unchanged_keys = 0, []
        if era not in (None, records.era):
            changed = records.list_all()
        else:
            changed = records.list_since(since)
            if since < records.history_start:
                unchanged_keys = records.list_unchanged_keys(since)
            else:
                start = since
        grace_s = max(0.0, self._grace_until_s - self._clock())
        at, era = records.complete_revision, records.era
        return Update(at, changed, grace_s, era, self.age_ms, start, unchanged_keys)

    def merge_listing(
        self,
        records: Iterable[Record],
        at: int,
        source: str,
        era: int = 0,
        unchanged_keys: Iterable[str] = (),
    ) -> None:
        """Merge a complete listing; records that the listing lacks are removed.

        A platform that was restored lacks what was written after its copy, which its writers write
        again soon: removals are delayed as after an outage.

        :param records: all records of the platform
        :param at: revision at the start of the listing
        :param source: source of the listing, for the log
        :param era: era of the listing
        :param unchanged_keys: further keys of the listing, whose records are known
        """
        if era > self.records.era and self.records.complete_revision:
            before = self.records.position
            log.warning("platform_restored", before=before, now=(era, at), source=source)
            self.start_removal_grace()
        if self.records.complete_revision:
            self.on_missed(self.age_s)
        self._apply(self.records.merge_listing(records, at, era, unchanged_keys), source)

    @property
    def age_s(self) -> float:
        """Time since the platform had no records beyond these, in seconds."""
        return self._clock() - self.current_s

    @property
    def age_ms(self) -> int | None:
        """The age in milliseconds for peers, ``None`` before all records are known."""
        return int(1000 * self.age_s) if self.records.complete_revision else None

    def record_current(self, age_s: float = 0.0) -> None:
        """Record that the platform had no records beyond these.

        :param age_s: for how long this has been known, in seconds
        """
        self.current_s = max(self.current_s, self._clock() - age_s)

    def start_removal_grace(self) -> None:
        """Delay removals: backend servers may renew entries that expired during an outage."""
        self._grace_until_s = self._clock() + RETURN_GRACE_S

    def _apply(self, changed: list[Record], source: str) -> None:
        evacuated = [self._apply_evacuation(record, source) for record in changed]
        applied: set[str] = set()
        for record in changed:
            name = self._decoder.read_backend_name(record.key)
            if name is None:
                self._apply_contracts(record, source)
                continue
            if name in applied:
                self.on_backends(self.backends.values())
            self._apply_backend(name, record, source)
            applied.add(name)
        self._update_departures()
        if applied:
            self.on_backends(self.backends.values())
        if any(evacuated):
            self.on_evacuation()

    def _apply_evacuation(self, record: Record, source: str) -> bool:
        """Apply the record of an evacuation; return whether one has begun or ended."""
        try:
            domain = self._decoder.read_evacuation(record)
        except DECODING_ERRORS as error:
            log.warning(
                "evacuation_refused", key=record.key, revision=record.revision, why=str(error)
            )
            return False
        if domain is None:
            return False
        apply = self.evacuations.end if record.value is None else self.evacuations.begin
        return apply(domain, record.revision, source)

    def _apply_contracts(self, record: Record, source: str) -> None:
        try:
            contracts = self._decoder.read_contracts(record)
        except DECODING_ERRORS as error:
            log.warning(
                "contracts_refused", key=record.key, revision=record.revision, why=str(error)
            )
            return
        if contracts is None:
            return
        before = self.contracts.version if self.contracts is not None else 0
        if contracts.version > before:
            self.contracts = contracts
            self.known.set()
            log.info(
                "contracts_in_force",
                version=contracts.version,
                before=before,
                revision=record.revision,
                source=source,
                routes=len(contracts.routes),
            )

    def _apply_backend(self, name: str, record: Record, source: str) -> None:
        known = self.backends.get(name)
        if record.value is None:
            self._remove(name, record, source)
            return
        try:
            backend = self._decoder.read_backend(name, record.value)
        except DECODING_ERRORS as error:
            log.warning("backend_refused", key=record.key, revision=record.revision, why=str(error))
            self.backends.pop(name, None)
            self._refused.add(name)
            return
        self._lapsed.pop(name, None)
        self._refused.discard(name)
        if backend.key in self._departures:
            backend = replace(backend, leaving=True)
        self.backends[name] = backend
        if backend.cold_s:
            self.on_cold(backend)
        if known is None or known.key != backend.key:
            log.info("backend_added", backend=name, born=backend.born, source=source)
        if backend.leaving and (known is None or not known.leaving):
            log.info("backend_leaving", backend=name, revision=record.revision, source=source)

    def _remove(self, name: str, record: Record, source: str) -> None:
        if name not in self.backends:
            if name not in self._refused:
                self.on_missed(math.inf)
            self._refused.discard(name)
            return
        if self._clock() < self._grace_until_s:
            self._lapsed[name] = self._grace_until_s
            log.info("backend_lapsed", backend=name, revision=record.revision, source=source)
        else:
            del self.backends[name]
            log.info("backend_removed", backend=name, revision=record.revision, source=source)

    def remove_lapsed(self) -> None:
        """Remove the backend servers whose expired entries were not renewed in time."""
        now = self._clock()
        for name in [name for name, until_s in self._lapsed.items() if now >= until_s]:
            del self._lapsed[name]
            if self.backends.pop(name, None) is not None:
                log.info("backend_removed", backend=name, source="lapsed")
                self._update_departures()
                self.on_backends(self.backends.values())

    def mark_leaving(self, backend: Backend, why: str) -> None:
        """Mark a backend server as draining, so that it gets no new work.

        Called if the backend server itself reports that it is draining, or if another one answers
        at its address.

        :param backend: the incarnation
        :param why: reason for the log
        """
        if self.is_known(backend.key) and not self.backends[backend.name].leaving:
            self.backends[backend.name] = replace(self.backends[backend.name], leaving=True)
            log.info("backend_leaving", backend=backend.name, source=why)

    def record_departure(self, incarnation: Incarnation, source: str) -> bool:
        """Record that an incarnation of a backend server announced in an answer that it is leaving.

        It takes no new work from now on, even if its entry is written again as ready.

        :param incarnation: name and start of the backend server
        :param source: source of the announcement, for the log
        :return: whether this was news
        """
        if not self._departures.record(incarnation):
            return False
        if self.is_known(incarnation):
            self.mark_leaving(self.backends[incarnation[0]], source)
        self._update_departures()
        return True

    def list_departures(self) -> tuple[Incarnation, ...]:
        """Return the latest leaving incarnations whose entries are still there."""
        return self._present_departures

    def _update_departures(self) -> None:
        """Find the departures for heartbeats, which are sent far more often than these change."""
        self._present_departures = self._departures.list_latest(self.is_known)

    def is_known(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation of a backend server is published.

        :param incarnation: name and start of the backend server
        """
        known = self.backends.get(incarnation[0])
        return known is not None and known.key == incarnation

    def find_cold_rate_per_s(self, service: str) -> float:
        """Return the published rate for cold servers of a service, 0 if it isn't limited.

        :param service: name of the service
        """
        found = self.contracts.services.get(service) if self.contracts is not None else None
        return found.cold_rate_per_s if found is not None else 0.0

    @property
    def evacuated(self) -> set[str]:
        """The evacuated failure domains."""
        return self.evacuations.domains

    def is_open(self, backend: Backend) -> bool:
        """Return whether a backend server is neither draining nor evacuated.

        :param backend: the backend server as it is published now
        """
        return not backend.leaving and backend.domain not in self.evacuated

    def list_open(self, service: str) -> list[Backend]:
        """Return the backend servers of a service that are neither draining nor evacuated.

        :param service: name of the service
        """
        return [
            backend
            for backend in self.backends.values()
            if backend.service == service and self.is_open(backend)
        ]
