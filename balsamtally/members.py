"""Membership: the entry VMs known from heartbeats and from the platform's list."""

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

PAUSE_THRESHOLD_S = 3.0
SUSPECT_TIMEOUT_S = 3.0
DEAD_RETENTION_S = 7200.0
LEAVING_REPORT_TTL_S = 300.0
GOSSIP_FACTOR = 3
FLAP_HALF_LIFE_S = 60.0
FLAP_SUPPRESS_PENALTY = 2.5
FLAP_REUSE_PENALTY = 1.0
MAX_FLAP_PENALTY = 8.0


def rank_state(state: MemberState) -> tuple[int, str, int]:
    """Return the sort key of a state among those of one member; the highest wins.

    :param state: the state
    """
    return state.generation, state.incarnation, state.status


class MemberRecord:
    """Local view of one entry VM.

    :ivar state: its current state
    :ivar status_since: clock at the last change of its status
    :ivar penalty: flap penalty, which halves every ``FLAP_HALF_LIFE_S``
    :ivar penalty_at: clock at the last update of the penalty
    :ivar damped: whether it is excluded from the live VMs for flapping
    """

    __slots__ = ("state", "status_since", "penalty", "penalty_at", "damped")

    def __init__(self, state: MemberState, now: float):
        self.state = state
        self.status_since = now
        self.penalty = 0.0
        self.penalty_at = now
        self.damped = False

    def decay(self, now: float) -> None:
        """Let the penalty decay up to now, and end the damping if it is low enough.

        :param now: the clock
        """
        self.penalty *= 0.5 ** ((now - self.penalty_at) / FLAP_HALF_LIFE_S)
        self.penalty_at = now
        if self.damped and self.penalty < FLAP_REUSE_PENALTY:
            self.damped = False

    def penalize(self, now: float) -> None:
        """Add a penalty for one return from dead to alive.

        :param now: the clock
        """
        self.decay(now)
        self.penalty = min(MAX_FLAP_PENALTY, self.penalty + 1.0)
        if self.penalty >= FLAP_SUPPRESS_PENALTY:
            self.damped = True


class Members:
    """This VM's view of the membership.

    Only a VM itself raises its generation, so only it can refute a state that others gossip about
    it. For the same reason a VM that replaces another under the same name supersedes it whatever
    its clock says.

    :ivar version: increases with every change
    :ivar resume_count: how often this process was found to have been paused
    :ivar paused_since: clock at the start of the last pause, ``None`` once a peer has answered or
        if none is live
    :param own: this entry VM, with the incarnation of this process
    :param clock: monotonic clock in seconds
    :param generation: first generation; by default the Unix time in milliseconds, which usually
        exceeds the predecessor's, so that no refutation is needed
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
        self._records: dict[str, MemberRecord] = {}
        self._gossip_sends_left: dict[str, int] = {}
        self._leaving_reports: dict[str, tuple[frozenset[str], float]] = {}
        self._live: list[EntryVm] | None = None
        self._ranks: dict[str, list[str]] = {}
        self._member_digests: dict[str, int] | None = None
        self._counts: tuple[Counter[str], Counter[str]] | None = None
        self._last_tick_s = clock()
        self.version = 0
        self.resume_count = 0
        self.paused_since: float | None = None

    @property
    def own(self) -> EntryVm:
        """This entry VM."""
        return self._convert(self._own)

    @property
    def own_state(self) -> MemberState:
        """State of this entry VM as sent to others."""
        return self._own

    # Queries.

    def list_domain(self) -> list[EntryVm]:
        """Return the live entry VMs of the local failure domain that aren't leaving, by name."""
        return [vm for vm in self._list_live() if vm.domain == self._own.domain]

    def list_all(self) -> list[EntryVm]:
        """Return the live entry VMs that aren't leaving, by name."""
        return list(self._list_live())

    def find(self, name: str) -> EntryVm | None:
        """Return an entry VM, even if it is leaving or dead.

        :param name: its name
        :return: the entry VM, or ``None``
        """
        if name == self._own.name:
            return self.own
        record = self._records.get(name)
        return self._convert(record.state) if record else None

    def is_coordinator(self, task: str, count: int = 1) -> bool:
        """Return whether this VM is assigned a task in its failure domain.

        It never is after a pause of its process, until a peer has answered or none is live.

        :param task: name of the task
        :param count: how many members are assigned to the task
        """
        return not self.is_resuming() and self._own.name in self.rank_domain(task)[:count]

    def rank_domain(self, task: str) -> list[str]:
        """Return the names of the local failure domain's members, ranked for a task.

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
        """Return the names of the other failure domains with members, leaving ones included."""
        found = {
            record.state.domain
            for record in self._records.values()
            if record.state.status in (ALIVE, SUSPECT)
        }
        return sorted(found - {self._own.domain})

    def count_known(self) -> dict[str, int]:
        """Return how many entry VMs may be running, by failure domain.

        Dead members count as long as the platform lists them: they may run behind a partition.
        """
        return self._count()[0]

    def count_live(self, domain: str) -> int:
        """Return how many entry VMs of a failure domain are live, leaving ones included.

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
        """Return the states of the other members of the local failure domain.

        :param status: the statuses to include
        :param everywhere: whether to include the other failure domains
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
        if self._member_digests is None:
            self._member_digests = {}
            for state in self.list_states():
                if state.status in (ALIVE, SUSPECT):
                    text = f"{state.name} {state.generation} {state.incarnation}".encode()
                    digest = xxhash.xxh3_64_intdigest(text)
                    self._member_digests[state.domain] = (
                        self._member_digests.get(state.domain, 0) ^ digest
                    )
        return self._member_digests

    # Updates.

    def merge_state(self, state: MemberState) -> bool:
        """Merge a state received from a peer, or refute it if it is about this VM.

        :param state: the state
        :return: whether it changed anything
        """
        if state.name == self._own.name:
            return self._refute(state)
        record = self._records.get(state.name)
        if record is None:
            record = self._records[state.name] = MemberRecord(state, self._clock())
            self._handle_change(record, None)
            return True
        if rank_state(state) <= rank_state(record.state):
            return False
        before, record.state = record.state, state
        self._handle_change(record, before)
        return True

    def _handle_change(self, record: MemberRecord, before: MemberState | None) -> None:
        now = self._clock()
        state = record.state
        if before is None or before.status != state.status:
            record.status_since = now
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
        self._queue_gossip(state.name)

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
        self._queue_gossip(self._own.name)

    def suspect(self, name: str) -> None:
        """Mark a live member that didn't answer as suspected.

        :param name: its name
        """
        record = self._records.get(name)
        if record is not None and record.state.status == ALIVE:
            self.merge_state(msgspec.structs.replace(record.state, status=SUSPECT))

    def confirm_contact(self) -> None:
        """Record that a peer answered a call made since the last pause."""
        self.paused_since = None

    def merge_listed(self, vms: Iterable[EntryVm], watching: bool = True) -> bool:
        """Merge the platform's list of entry VMs.

        The list lags, so it only adds unknown VMs and says which are leaving. A VM that it lacks is
        marked as left if it is dead or known only from the list.

        :param vms: the entry VMs on the list
        :param watching: whether this VM watches the list and so receives its changes
        :return: whether the set of leaving VMs changed
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
        self._invalidate()
        if not watching:
            return False
        return self.record_leaving_report(self._own.name, [vm.name for vm in vms if vm.leaving])

    def record_leaving_report(self, watcher: str, names: Iterable[str]) -> bool:
        """Record which VMs the platform lists as leaving, as read by one watcher.

        A VM counts as leaving while any recent report contains it.

        :param watcher: name of the VM that read the list
        :param names: the leaving VMs
        :return: whether they differ from the watcher's previous report
        """
        report = frozenset(names)
        before, _ = self._leaving_reports.get(watcher, (frozenset(), 0.0))
        self._leaving_reports[watcher] = (report, self._clock())
        if before != report:
            self._invalidate()
        return before != report

    def stop_watching(self) -> None:
        """Drop this VM's own report of leaving VMs, since it no longer watches the list."""
        if self._leaving_reports.pop(self._own.name, None):
            self._invalidate()

    def list_listed_leaving(self) -> tuple[str, ...]:
        """Return the VMs listed as leaving when this VM last read the platform's list."""
        report = self._leaving_reports.get(self._own.name)
        return tuple(sorted(report[0])) if report else ()

    def announce_leaving(self) -> None:
        """Announce that this VM is leaving."""
        if not self._own.leaving:
            self._raise_generation(0, leaving=True)

    def make_left_state(self) -> MemberState:
        """Return this VM's state as left, to be sent right before it stops."""
        return msgspec.structs.replace(self._own, status=LEFT)

    # Timeouts.

    def is_resuming(self) -> bool:
        """Return whether this process was paused and no peer has answered since.

        The pause is detected here too, so that a role isn't used before the heartbeat task runs.
        """
        now = self._clock()
        if now - self._last_tick_s > PAUSE_THRESHOLD_S:
            self.resume_count += 1
            self.paused_since = self._last_tick_s
            self._last_tick_s = now
            log.warning(
                "was_away", seconds=round(now - self.paused_since, 3), wakes=self.resume_count
            )
            for record in self._records.values():
                record.status_since = max(record.status_since, now)
            self._raise_generation(0)
        return self.paused_since is not None

    def tick(self) -> None:
        """Apply timeouts; called by the heartbeat task about once a second."""
        self.is_resuming()
        now = self._last_tick_s = self._clock()
        if not self.list_peers((ALIVE, SUSPECT)):
            self.paused_since = None
        for name, record in list(self._records.items()):
            self._apply_timeouts(name, record, now)
        for watcher, (_, at) in list(self._leaving_reports.items()):
            if watcher != self._own.name and now - at > LEAVING_REPORT_TTL_S:
                del self._leaving_reports[watcher]
                self._invalidate()

    def _apply_timeouts(self, name: str, record: MemberRecord, now: float) -> None:
        state = record.state
        is_own_domain = state.domain == self._own.domain
        if (
            state.status == SUSPECT
            and is_own_domain
            and now - record.status_since >= SUSPECT_TIMEOUT_S
        ):
            self.merge_state(msgspec.structs.replace(state, status=DEAD))
        elif state.status in (DEAD, LEFT) and now - record.status_since > DEAD_RETENTION_S:
            del self._records[name]
            self._invalidate()
        if record.damped:
            record.decay(now)
            if not record.damped:
                self._invalidate()

    # Gossip.

    def take_gossip(self, limit: int) -> tuple[MemberState, ...]:
        """Return the changes that were sent least often, and count one more sending of each.

        :param limit: most states returned
        """
        names = sorted(
            self._gossip_sends_left, key=lambda name: (-self._gossip_sends_left[name], name)
        )[:limit]
        states = []
        for name in names:
            self._gossip_sends_left[name] -= 1
            if not self._gossip_sends_left[name]:
                del self._gossip_sends_left[name]
            state = self._own if name == self._own.name else self.get_state(name)
            if state is not None:
                states.append(state)
        return tuple(states)

    def _queue_gossip(self, name: str) -> None:
        size = len(self._records) + 1
        self._gossip_sends_left[name] = GOSSIP_FACTOR * max(1, math.ceil(math.log2(size + 1)))
        self._invalidate()

    def _invalidate(self) -> None:
        self.version += 1
        self._live = None
        self._member_digests = None
        self._counts = None
        self._ranks.clear()

    # Derived lists.

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
