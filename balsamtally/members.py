"""The entry VMs that this one knows, from heartbeats and from the platform's list."""

import math
import time
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from balsamtally.logs import log
from balsamtally.machines import EntryVm
from balsamtally.messages import MemberState
from balsamtally.rendezvous import rank_members

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATUS_NAMES = ("alive", "suspect", "dead", "left")

AWAY_S = 3.0
SUSPICION_S = 3.0
FORGET_S = 7200.0
LISTED_LEAVING_S = 300.0
NEWS_FACTOR = 3
FLAP_HALF_LIFE_S = 60.0
FLAP_SUPPRESS = 2.5
FLAP_REUSE = 1.0
FLAP_MAX = 8.0


def rank_state(state: MemberState) -> tuple[int, str, int]:
    """Return the order of a state among those of one name; the highest holds.

    :param state: the state
    """
    return state.generation, state.incarnation, state.status


class Record:
    """One entry VM as this one sees it.

    :ivar state: state that holds
    :ivar since: clock of its last change of status
    :ivar penalty: measure of its flapping, which halves every ``FLAP_HALF_LIFE_S``
    :ivar penalty_at: clock at which the penalty was computed
    :ivar damped: whether it flaps and is left out for now
    """

    __slots__ = ("state", "since", "penalty", "penalty_at", "damped")

    def __init__(self, state: MemberState, now: float):
        self.state = state
        self.since = now
        self.penalty = 0.0
        self.penalty_at = now
        self.damped = False

    def decay(self, now: float) -> None:
        """Bring the penalty up to date.

        :param now: the clock
        """
        self.penalty *= 0.5 ** ((now - self.penalty_at) / FLAP_HALF_LIFE_S)
        self.penalty_at = now
        if self.damped and self.penalty < FLAP_REUSE:
            self.damped = False

    def penalize(self, now: float) -> None:
        """Count one return from the dead.

        :param now: the clock
        """
        self.decay(now)
        self.penalty = min(FLAP_MAX, self.penalty + 1.0)
        if self.penalty >= FLAP_SUPPRESS:
            self.damped = True


class Members:
    """The entry VMs of the system as this one sees them.

    Each VM alone raises its generation, so that a state that others spread about it can be
    refuted by it and by no one else, and a replaced VM under the same name supersedes the old one
    whatever its clock says.

    :param own: this entry VM, with the incarnation of this process
    :param clock: monotonic clock in seconds
    :param generation: first generation; time since the epoch in milliseconds spares a refutation
    """

    def __init__(
        self,
        own: EntryVm,
        clock: Callable[[], float] = time.monotonic,
        generation: int | None = None,
    ):
        self._clock = clock
        self._own = MemberState(
            own.name,
            own.address,
            own.domain,
            own.region,
            own.incarnation,
            max(1, int(time.time() * 1000) if generation is None else generation),
            ALIVE,
            own.leaving,
        )
        self._records: dict[str, Record] = {}
        self._news: dict[str, int] = {}
        self._leaving_reports: dict[str, tuple[frozenset[str], float]] = {}
        self._live: list[EntryVm] | None = None
        self._ranks: dict[str, list[str]] = {}
        self._views: dict[str, int] | None = None
        self._counts: tuple[Counter[str], Counter[str]] | None = None
        self._ticked_at = clock()
        self.version = 0
        self.wakes = 0
        self.away_since: float | None = None

    @property
    def own(self) -> EntryVm:
        """This entry VM."""
        return self._convert(self._own)

    @property
    def own_state(self) -> MemberState:
        """State of this entry VM as it tells others."""
        return self._own

    # What others ask.

    def list_domain(self) -> list[EntryVm]:
        """Return the live entry VMs of the own failure domain that aren't leaving, by name."""
        return [vm for vm in self._list_live() if vm.domain == self._own.domain]

    def list_all(self) -> list[EntryVm]:
        """Return the live entry VMs that aren't leaving, by name."""
        return list(self._list_live())

    def find(self, name: str) -> EntryVm | None:
        """Return an entry VM, also one that is leaving or no longer answers.

        :param name: its name
        :return: the entry VM, or ``None``
        """
        if name == self._own.name:
            return self.own
        record = self._records.get(name)
        return self._convert(record.state) if record else None

    def is_coordinator(self, task: str, count: int = 1) -> bool:
        """Return whether this VM is among the first that are to do a task in its failure domain.

        It never is while it has just woken from a pause and has heard from nobody since.

        :param task: name of the task
        :param count: how many members do the task
        """
        return not self.is_resuming() and self._own.name in self.rank_domain(task)[:count]

    def rank_domain(self, task: str) -> list[str]:
        """Return the names of the own failure domain's members as they are to do a task.

        :param task: name of the task
        """
        ranked = self._ranks.get(task)
        if ranked is None:
            ranked = rank_members(task, [vm.name for vm in self.list_domain()])
            self._ranks[task] = ranked
        return ranked

    def list_gateways(self, domain: str, count: int) -> list[str]:
        """Return the names of the gateways of a failure domain.

        :param domain: name of the failure domain
        :param count: how many gateways each failure domain has
        """
        names = [vm.name for vm in self._list_live() if vm.domain == domain]
        if not names:
            states = self.list_states((domain,))
            names = [state.name for state in states if state.status in (ALIVE, SUSPECT)]
        return rank_members(f"gateway/{domain}", names)[:count]

    def list_domains(self) -> list[str]:
        """Return the names of the other failure domains that have members, also leaving ones."""
        found = {
            record.state.domain
            for record in self._records.values()
            if record.state.status in (ALIVE, SUSPECT)
        }
        return sorted(found - {self._own.domain})

    def count_known(self) -> dict[str, int]:
        """Return for each failure domain how many entry VMs may be running.

        Those that count as dead may run behind a split, as long as the platform lists them.
        """
        return self._count()[0]

    def count_live(self, domain: str) -> int:
        """Return how many entry VMs of a failure domain live, also those that are leaving.

        :param domain: name of the failure domain
        """
        return self._count()[1][domain]

    def _count(self) -> tuple[Counter[str], Counter[str]]:
        if self._counts is None:
            states = [state for state in self.list_states() if state.status != LEFT]
            known = Counter(state.domain for state in states)
            live = Counter(state.domain for state in states if state.status != DEAD)
            self._counts = known, live
        return self._counts

    def list_states(self, domains: Iterable[str] | None = None) -> list[MemberState]:
        """Return all known states.

        :param domains: names of the failure domains, ``None`` for all
        """
        chosen = None if domains is None else set(domains)
        states = [record.state for record in self._records.values()]
        states.append(self._own)
        return [state for state in states if chosen is None or state.domain in chosen]

    def list_peers(self, status: tuple[int, ...], everywhere: bool = False) -> list[MemberState]:
        """Return the states of the other members of the own failure domain.

        :param status: the statuses wanted
        :param everywhere: whether to return those of the other failure domains as well
        """
        return [
            record.state
            for record in self._records.values()
            if record.state.status in status
            and (everywhere or record.state.domain == self._own.domain)
        ]

    def get_state(self, name: str) -> MemberState | None:
        """Return the state of another member.

        :param name: its name
        """
        record = self._records.get(name)
        return record.state if record else None

    def list_view_digests(self) -> dict[str, int]:
        """Return a digest of the live members of each failure domain."""
        if self._views is None:
            self._views = {}
            for state in self.list_states():
                if state.status in (ALIVE, SUSPECT):
                    text = f"{state.name} {state.generation} {state.incarnation}".encode()
                    digest = xxhash.xxh3_64_intdigest(text)
                    self._views[state.domain] = self._views.get(state.domain, 0) ^ digest
        return self._views

    # What is learnt.

    def merge_state(self, state: MemberState) -> bool:
        """Merge a state that a peer told of.

        :param state: the state
        :return: whether it was news
        """
        if state.name == self._own.name:
            return self._refute(state)
        record = self._records.get(state.name)
        if record is None:
            record = self._records[state.name] = Record(state, self._clock())
            self._note_change(record, None)
            return True
        if rank_state(state) <= rank_state(record.state):
            return False
        before, record.state = record.state, state
        self._note_change(record, before)
        return True

    def _note_change(self, record: Record, before: MemberState | None) -> None:
        now = self._clock()
        state = record.state
        if before is None or before.status != state.status:
            record.since = now
            log.info(
                "member_changed",
                member=state.name,
                domain=state.domain,
                status=STATUS_NAMES[state.status],
                before=STATUS_NAMES[before.status] if before else "unknown",
                generation=state.generation,
            )
        if state.leaving and not (before and before.leaving):
            log.info("member_leaving", member=state.name, domain=state.domain)
        is_return = before is not None and before.status == DEAD and state.status == ALIVE
        if is_return and before.incarnation == state.incarnation:
            record.penalize(now)
        self._queue(state.name)

    def _refute(self, state: MemberState) -> bool:
        if rank_state(state) <= rank_state(self._own):
            return False
        if state.incarnation != self._own.incarnation and state.status == ALIVE:
            log.warning("own_name_taken", incarnation=state.incarnation, address=state.address)
        self._raise_generation(state.generation)
        return True

    def _raise_generation(self, above: int, **changes: bool) -> None:
        generation = max(above, self._own.generation) + 1
        self._own = msgspec.structs.replace(self._own, generation=generation, **changes)
        self._queue(self._own.name)

    def suspect(self, name: str) -> None:
        """Suspect a member that didn't answer.

        :param name: its name
        """
        record = self._records.get(name)
        if record is not None and record.state.status == ALIVE:
            self.merge_state(msgspec.structs.replace(record.state, status=SUSPECT))

    def confirm_contact(self) -> None:
        """Take note that a peer answered a call made since the last pause."""
        self.away_since = None

    def merge_listed(self, vms: Iterable[EntryVm], watching: bool = True) -> bool:
        """Take in the platform's list, which lags: it adds VMs and tells which are leaving.

        :param vms: the entry VMs on it
        :param watching: whether this VM watches the list and so hears of its changes
        :return: whether other VMs are leaving than before
        """
        vms = list(vms)
        listed = {vm.name for vm in vms}
        for vm in vms:
            if vm.name != self._own.name and vm.name not in self._records:
                self.merge_state(MemberState(vm.name, vm.address, vm.domain, vm.region))
        for name, record in self._records.items():
            if name in listed:
                continue
            if not record.state.generation:
                self.merge_state(msgspec.structs.replace(record.state, status=DEAD))
            if record.state.status == DEAD:
                self.merge_state(msgspec.structs.replace(record.state, status=LEFT))
        self._touch()
        if not watching:
            return False
        return self.learn_leaving(self._own.name, [vm.name for vm in vms if vm.leaving])

    def learn_leaving(self, watcher: str, names: Iterable[str]) -> bool:
        """Take in which VMs the platform lists as leaving, as one watcher read it.

        A VM counts as leaving while any recent report says so.

        :param watcher: name of the VM that read the list
        :param names: the VMs that are leaving
        :return: whether they differ from the watcher's last report
        """
        report = frozenset(names)
        before, _ = self._leaving_reports.get(watcher, (frozenset(), 0.0))
        self._leaving_reports[watcher] = (report, self._clock())
        if before != report:
            self._touch()
        return before != report

    def stop_watching(self) -> None:
        """Forget this VM's own report of which VMs are leaving, since it no longer reads it."""
        if self._leaving_reports.pop(self._own.name, None):
            self._touch()

    def list_listed_leaving(self) -> tuple[str, ...]:
        """Return the VMs that the platform lists as leaving, as this VM read it."""
        report = self._leaving_reports.get(self._own.name)
        return tuple(sorted(report[0])) if report else ()

    def announce_leaving(self) -> None:
        """Announce that this VM is leaving."""
        if not self._own.leaving:
            self._raise_generation(0, leaving=True)

    def make_farewell(self) -> MemberState:
        """Return the last state of this VM, to be sent right before it stops."""
        return msgspec.structs.replace(self._own, status=LEFT)

    # Time.

    def is_resuming(self) -> bool:
        """Return whether this VM was paused and hasn't heard from a peer since.

        The gap is looked for here too, so that a role isn't used before the heartbeat task runs.
        """
        now = self._clock()
        if now - self._ticked_at > AWAY_S:
            self.wakes += 1
            self.away_since = self._ticked_at
            self._ticked_at = now
            log.warning("was_away", seconds=round(now - self.away_since, 3), wakes=self.wakes)
            for record in self._records.values():
                record.since = max(record.since, now)
            self._raise_generation(0)
        return self.away_since is not None

    def tick(self) -> None:
        """Do what time brings: called by the heartbeat task, about once a second."""
        self.is_resuming()
        now = self._ticked_at = self._clock()
        if not self.list_peers((ALIVE, SUSPECT)):
            self.away_since = None
        for name, record in list(self._records.items()):
            self._age(name, record, now)
        for watcher, (_, at) in list(self._leaving_reports.items()):
            if watcher != self._own.name and now - at > LISTED_LEAVING_S:
                del self._leaving_reports[watcher]
                self._touch()

    def _age(self, name: str, record: Record, now: float) -> None:
        state = record.state
        is_own_domain = state.domain == self._own.domain
        if state.status == SUSPECT and is_own_domain and now - record.since >= SUSPICION_S:
            self.merge_state(msgspec.structs.replace(state, status=DEAD))
        elif state.status in (DEAD, LEFT) and now - record.since > FORGET_S:
            del self._records[name]
            self._touch()
        if record.damped:
            record.decay(now)
            if not record.damped:
                self._touch()

    # News to piggyback.

    def take_news(self, limit: int) -> tuple[MemberState, ...]:
        """Return the changes that were told least often, and count them as told once more.

        :param limit: most states returned
        """
        names = sorted(self._news, key=lambda name: (-self._news[name], name))[:limit]
        states = []
        for name in names:
            self._news[name] -= 1
            if not self._news[name]:
                del self._news[name]
            state = self._own if name == self._own.name else self.get_state(name)
            if state is not None:
                states.append(state)
        return tuple(states)

    def _queue(self, name: str) -> None:
        size = len(self._records) + 1
        self._news[name] = NEWS_FACTOR * max(1, math.ceil(math.log2(size + 1)))
        self._touch()

    def _touch(self) -> None:
        self.version += 1
        self._live = None
        self._views = None
        self._counts = None
        self._ranks.clear()

    # The lists.

    def _list_live(self) -> list[EntryVm]:
        if self._live is None:
            vms = [self._convert(record.state) for record in self._records.values()]
            live = [vm for vm in vms if self._is_live(vm.name)]
            live.append(self.own)
            self._live = sorted((vm for vm in live if not vm.leaving), key=lambda vm: vm.name)
        return self._live

    def _is_live(self, name: str) -> bool:
        record = self._records[name]
        return record.state.status in (ALIVE, SUSPECT) and not record.damped

    def _convert(self, state: MemberState) -> EntryVm:
        listed = any(state.name in names for names, _ in self._leaving_reports.values())
        return EntryVm(
            state.name,
            state.address,
            state.domain,
            state.region,
            state.incarnation,
            state.leaving or listed,
        )
