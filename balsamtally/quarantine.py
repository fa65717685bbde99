"""Quarantine of prompt parts that crash backend servers (poison messages).

Each entry VM judges by the evidence that all of them have gathered. A group of parts that several
crashes have in common isn't sent to backend servers for some time; then a single call probes it.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import msgspec

from balsamtally.calls import Backend
from balsamtally.crash_evidence import CrashEvidence, Implication, PartGroup
from balsamtally.errors import PartQuarantined
from balsamtally.logs import log
from balsamtally.quarantine_messages import Candidate, QuarantineState, QuarantineUpdate

# Crashes after which a group of parts is quarantined, and after which calls with it aren't retried.
CRASHES_TO_QUARANTINE = 3
CRASHES_TO_SUSPECT = 2
# An entry VM that is about to quarantine parts asks all others, and waits this long for those that
# saw an answer begin. It exceeds the round trip between regions.
SETTLE_S = 0.4
# An entry VM decides for this time after a crash that one of its own calls met.
DECIDING_S = 10.0
# Duration of the first quarantine; it doubles with each probe up to the maximum. A probe may cost a
# backend server and all calls at it.
FIRST_HOLD_S = 60.0
MAX_HOLD_S = 3600.0
MAX_ENTRIES = 256
# Time for which own findings are repeated to the peers, since datagrams may be lost.
REPEAT_S = 2.0
MAX_FINDINGS = 64


@dataclass(frozen=True)
class Proposal:
    """A candidate of this entry VM.

    :ivar service: service whose backend servers crashed
    :ivar since_s: clock when the peers were asked first, in seconds
    :ivar repeated: whether the peers were asked a second time, since datagrams may be lost
    """

    service: str
    since_s: float
    repeated: bool = False


@dataclass(frozen=True)
class Entry:
    """A quarantine of a group of parts.

    :ivar service: service whose backend servers crashed
    :ivar generation: increases with each renewal
    :ivar hold_s: duration of this generation in seconds
    :ivar until_s: clock from which a call may probe the parts, in seconds
    :ivar released: whether the parts were released
    """

    service: str
    generation: int
    hold_s: float
    until_s: float
    released: bool = False


@dataclass(frozen=True)
class OwnImplication:
    """An implication by a call of this entry VM.

    :ivar implication: the implication, with its ages at the time of recording
    :ivar at_s: clock at the recording, in seconds
    """

    implication: Implication
    at_s: float

    def make_current(self, now_s: float) -> Implication:
        """Return the implication with its ages at a later time.

        :param now_s: the time on the clock, in seconds
        """
        passed_s = now_s - self.at_s
        return msgspec.structs.replace(
            self.implication,
            crash_age_s=self.implication.crash_age_s + passed_s,
            sent_age_s=self.implication.sent_age_s + passed_s,
        )


class Quarantine:
    """The quarantined groups of prompt parts, and the evidence for them.

    :param vm: name of this entry VM
    :param on_change: called if the peers should hear of a change soon
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self,
        vm: str,
        on_change: Callable[[], None] = lambda: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._vm = vm
        self._on_change = on_change
        self._clock = clock
        self._evidence = CrashEvidence(clock)
        self._entries: dict[PartGroup, Entry] = {}
        self._own: list[OwnImplication] = []
        self._own_crash_s = -DECIDING_S
        self._proposals: dict[PartGroup, Proposal] = {}

    # Calls.

    def admit(self, service: str, parts: PartGroup, admitted: set[PartGroup]) -> None:
        """Check a prompt before it is sent to a backend server.

        The first call after the end of a quarantine is admitted as a probe, and renews the
        quarantine for all others.

        :param service: name of the service
        :param parts: keys of the shared parts of the prompt
        :param admitted: groups that the call probes; a group is added if this call becomes a probe
        :raises PartQuarantined: if the prompt holds all parts of a quarantined group
        """
        now = self._clock()
        for group, entry in self._find_entries(service, parts):
            if group in admitted:
                continue
            if now < entry.until_s:
                raise PartQuarantined(
                    f"prompts with {', '.join(group)} crash backend servers",
                    retry_after_s=entry.until_s - now,
                )
            admitted.add(group)
            self._hold(group, entry.service, entry, "probed")

    def _find_entries(self, service: str, parts: PartGroup) -> list[tuple[PartGroup, Entry]]:
        if not self._entries:
            return []
        held = set(parts)
        return [
            (group, entry)
            for group, entry in self._entries.items()
            if not entry.released and held.issuperset(group)
            # Backend servers of another service may be sound, such as those of another version.
            and (service == entry.service or not self._evidence.has_begun(service, group))
        ]

    def record_begun(self, service: str, parts: PartGroup) -> None:
        """Record that an answer to a prompt began.

        :param service: name of the service
        :param parts: keys of the shared parts of the prompt
        """
        self._evidence.record_begun(service, parts)
        if self._entries and self._release_begun(service, parts):
            self._on_change()

    def record_crash(
        self, backend: Backend, parts: PartGroup, sent_s: float, crashed_s: float
    ) -> None:
        """Record that a backend server crashed before it began to answer a call.

        :param backend: the backend server
        :param parts: keys of the shared parts of the call's prompt
        :param sent_s: clock when the call was sent, in seconds
        :param crashed_s: clock when its connection broke, in seconds
        """
        if not parts:
            return
        now = self._clock()
        implication = Implication(
            backend.name, backend.born, backend.service, parts, now - crashed_s, now - sent_s
        )
        self._evidence.add(implication)
        self._own = [*self._own[1 - MAX_FINDINGS :], OwnImplication(implication, now)]
        self._own_crash_s = now
        self._on_change()

    def is_suspect(self, parts: PartGroup) -> bool:
        """Return whether a prompt holds the parts that at least two crashes have in common.

        :param parts: keys of the shared parts of the prompt
        """
        return bool(parts) and self._evidence.is_suspect(parts, CRASHES_TO_SUSPECT)

    # Decisions.

    def decide(self) -> None:
        """Propose and quarantine the groups of parts for which there is enough evidence."""
        now = self._clock()
        if now - self._own_crash_s > DECIDING_S:
            return
        before, self._proposals = self._proposals, {}
        for group, service, backends in self._evidence.list_suspects(CRASHES_TO_QUARANTINE):
            held = set(group)
            if self._is_covered(held):
                continue
            proposal = find_proposal(held, before) or Proposal(service, now)
            waited_s = now - proposal.since_s
            if waited_s >= SETTLE_S:
                self._hold(group, service, self._entries.get(group), "crashes", backends)
                continue
            repeated = waited_s >= SETTLE_S / 2
            if waited_s == 0.0 or repeated > proposal.repeated:
                self._on_change()
            self._proposals[group] = replace(proposal, repeated=repeated)

    def _is_covered(self, held: set[str]) -> bool:
        return any(
            not entry.released and held.issuperset(group) for group, entry in self._entries.items()
        )

    def _hold(
        self,
        group: PartGroup,
        service: str,
        before: Entry | None,
        why: str,
        backends: Iterable[str] = (),
    ) -> None:
        """Put a group into quarantine, or renew its quarantine for twice the time."""
        renewed = before is not None and not before.released
        hold_s = min(before.hold_s * 2, MAX_HOLD_S) if renewed else FIRST_HOLD_S
        generation = before.generation + 1 if before is not None else 1
        self._entries[group] = Entry(service, generation, hold_s, self._clock() + hold_s)
        self._limit_entries()
        log.warning(
            "part_quarantined",
            parts=list(group),
            service=service,
            why=why,
            backends=list(backends),
            generation=generation,
            hold_s=hold_s,
        )
        self._on_change()

    def _limit_entries(self) -> None:
        while len(self._entries) > MAX_ENTRIES:
            del self._entries[min(self._entries, key=lambda group: self._entries[group].until_s)]

    def _release_begun(self, service: str, parts: PartGroup) -> bool:
        """Take answered parts out of the quarantines of a service; return whether any changed."""
        begun = set(parts)
        changed = False
        for group, entry in list(self._entries.items()):
            if entry.released or entry.service != service or not begun.intersection(group):
                continue
            changed = True
            self._end(group, "an answer began")
            rest = tuple(part for part in group if part not in begun)
            if rest:
                self._entries[rest] = replace(entry, generation=self._next_generation(rest))
                log.warning("part_quarantined", parts=list(rest), service=service, why="narrowed")
        return changed

    def _next_generation(self, group: PartGroup) -> int:
        known = self._entries.get(group)
        return known.generation + 1 if known is not None else 1

    def release(self, group: PartGroup, why: str) -> bool:
        """End the quarantine of a group at all entry VMs.

        :param group: keys of the parts
        :param why: reason for the log
        :return: whether the group was in quarantine
        """
        entry = self._entries.get(group)
        if entry is None or entry.released:
            return False
        self._end(group, why)
        # Evidence from before the release doesn't renew the quarantine.
        self._evidence.record_begun(entry.service, group)
        self._on_change()
        return True

    def _end(self, group: PartGroup, why: str) -> None:
        entry = self._entries[group] = replace(self._entries[group], released=True)
        log.warning("part_released", parts=list(group), why=why, generation=entry.generation)

    def prune(self) -> None:
        """Drop evidence and quarantines that are no longer needed."""
        now = self._clock()
        self._evidence.prune()
        self._own = [own for own in self._own if now - own.at_s <= REPEAT_S]
        for group, entry in list(self._entries.items()):
            if now > entry.until_s + entry.hold_s:
                del self._entries[group]

    # Exchange with peers.

    def make_update(self) -> QuarantineUpdate | None:
        """Return what the peers should know, ``None`` if there is nothing."""
        now = self._clock()
        own = [own.make_current(now) for own in self._own if now - own.at_s <= REPEAT_S]
        states = self._list_states(now)
        candidates = [
            Candidate(proposal.service, group) for group, proposal in self._proposals.items()
        ]
        if not (own or states or candidates):
            return None
        return QuarantineUpdate(
            self._vm,
            tuple(own),
            states=tuple(states),
            candidates=tuple(candidates[:MAX_FINDINGS]),
        )

    def has_findings(self) -> bool:
        """Return whether there is own evidence that is repeated to the peers."""
        return bool(self._own)

    def make_objection(self, update: QuarantineUpdate) -> QuarantineUpdate | None:
        """Return the answers that began here to candidates of a peer, ``None`` if there were none.

        :param update: the peer's update
        """
        begun = [
            found
            for candidate in update.candidates[:MAX_FINDINGS]
            for found in self._evidence.list_begun(candidate.service, candidate.parts)
        ]
        return QuarantineUpdate(self._vm, begun=tuple(begun)) if begun else None

    def _list_states(self, now: float) -> list[QuarantineState]:
        newest = sorted(self._entries.items(), key=lambda item: item[1].until_s)[-MAX_FINDINGS:]
        return [
            QuarantineState(
                group,
                entry.service,
                entry.generation,
                entry.hold_s,
                entry.until_s - now,
                entry.released,
            )
            for group, entry in newest
        ]

    def merge_update(self, update: QuarantineUpdate) -> None:
        """Merge the findings of a peer; the order of updates doesn't matter.

        :param update: the peer's update
        """
        for begun in update.begun:
            cleared = self._evidence.record_begun(begun.service, (begun.part,), begun.age_s)
            if cleared and self._release_begun(begun.service, cleared):
                self._on_change()
        for implication in update.implications[:MAX_FINDINGS]:
            self._evidence.add(implication)
        states = update.states[:MAX_FINDINGS]
        held = {part for state in states if not state.released for part in state.parts}
        for state in states:
            if self._merge_state(state, update.vm) and state.released:
                # Parts of a quarantine that was only narrowed stay suspects.
                cleared = tuple(part for part in state.parts if part not in held)
                self._evidence.record_begun(state.service, cleared)

    def _merge_state(self, state: QuarantineState, source: str) -> bool:
        """Adopt a quarantine that is newer than the known one; return whether it was.

        Of two states of one generation the released one and the earlier end hold, so that passing
        a state on never prolongs it.
        """
        known = self._entries.get(state.parts)
        until_s = self._clock() + min(state.left_s, MAX_HOLD_S)
        if known is not None and known.generation > state.generation or not state.parts:
            return False
        if known is not None and known.generation == state.generation:
            released = known.released or state.released
            entry = replace(known, released=released, until_s=min(known.until_s, until_s))
        else:
            entry = Entry(state.service, state.generation, state.hold_s, until_s, state.released)
        self._entries[state.parts] = entry
        self._limit_entries()
        if known is not None and replace(known, until_s=entry.until_s) == entry:
            return False
        log.info(
            "part_released" if entry.released else "part_quarantined",
            parts=list(state.parts),
            service=entry.service,
            generation=entry.generation,
            why="told by a peer",
            source=source,
        )
        return True

    def list_entries(self) -> list[dict[str, object]]:
        """Return the quarantines in force with all their fields, for operators."""
        states = self._list_states(self._clock())
        return [msgspec.structs.asdict(state) for state in states if not state.released]


def find_proposal(held: set[str], proposals: dict[PartGroup, Proposal]) -> Proposal | None:
    """Return the earliest proposal that asked for all parts of a group, ``None`` if there is none.

    :param held: the parts of the group
    :param proposals: proposals by group
    """
    asked = [proposal for group, proposal in proposals.items() if held.issubset(group)]
    return min(asked, key=lambda proposal: proposal.since_s, default=None)
