"""Which parts of prompts were at backend servers as these crashed, and which were answered since.

A prompt that crashes a backend server takes the calls beside it along, so that one crash tells
little about any of them. The parts that several crashes have in common, and that no backend server
of the service has begun to answer since, are the suspects.
"""

import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

import msgspec
import xxhash

from balsamtally.calls import PromptPart
from balsamtally.decoding import Count, Seconds

# Crashes closer together than this count once: a failure that takes several backend servers at the
# same moment says nothing about the prompts at them.
MIN_CRASH_INTERVAL_S = 0.15
# Older crashes are dropped.
EVIDENCE_TTL_S = 1800.0
MAX_CRASHES = 128
MAX_PARTS_PER_CRASH = 256
# Parts of one prompt that are recorded, those nearest to its end.
MAX_PARTS_PER_CALL = 64
# Parts whose last answer is remembered.
MAX_BEGUN_PARTS = 2048
# Longer names are replaced by a hash.
MAX_NAME_CHARACTERS = 40

PartGroup = tuple[str, ...]


class Implication(msgspec.Struct, frozen=True, array_like=True):
    """A call that waited for its answer at a backend server as this crashed.

    :ivar backend: name of the backend server
    :ivar born: start of its incarnation in Unix milliseconds
    :ivar service: name of its service
    :ivar parts: keys of the shared parts of the call's prompt
    :ivar crash_age_s: time since the crash, in seconds
    :ivar sent_age_s: time since the call was sent to the backend server, in seconds
    """

    backend: str
    born: Count
    service: str
    parts: PartGroup
    crash_age_s: Seconds
    sent_age_s: Seconds


class BegunPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt that a backend server began to answer.

    :ivar service: name of the service
    :ivar part: key of the part
    :ivar age_s: time since the answer began, in seconds
    """

    service: str
    part: str
    age_s: Seconds


@dataclass
class Crash:
    """The end of one incarnation of a backend server.

    :ivar service: name of the service
    :ivar at_s: clock at the crash, in seconds
    :ivar sent_s: by key of each implicated part, the clock at which the last call with it was sent
    """

    service: str
    at_s: float
    sent_s: dict[str, float] = field(default_factory=dict)


def list_keys(parts: Iterable[PromptPart]) -> PartGroup:
    """Return the keys of the shared parts of a prompt, without repetitions.

    :param parts: the shared parts in order
    """
    names = tuple(dict.fromkeys(part.name for part in parts))[-MAX_PARTS_PER_CALL:]
    return tuple(
        name if len(name) <= MAX_NAME_CHARACTERS else xxhash.xxh3_128_hexdigest(name.encode())
        for name in names
    )


class CrashEvidence:
    """The crashes of backend servers and the parts of prompts that each of them implicates.

    :param clock: monotonic clock in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._crashes: OrderedDict[tuple[str, int], Crash] = OrderedDict()
        self._begun_s: OrderedDict[tuple[str, str], float] = OrderedDict()

    def add(self, implication: Implication) -> None:
        """Add a call that a crash implicates; the order of additions doesn't matter.

        :param implication: the call
        """
        now = self._clock()
        at_s = now - max(0.0, implication.crash_age_s)
        if now - at_s > EVIDENCE_TTL_S:
            return
        key = (implication.backend, implication.born)
        crash = self._crashes.setdefault(key, Crash(implication.service, at_s))
        crash.at_s = min(crash.at_s, at_s)
        sent_s = now - max(0.0, implication.sent_age_s)
        for part in implication.parts:
            if self._begun_s.get((crash.service, part), sent_s) > sent_s:
                continue
            if part in crash.sent_s or len(crash.sent_s) < MAX_PARTS_PER_CRASH:
                crash.sent_s[part] = max(crash.sent_s.get(part, sent_s), sent_s)
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)

    def record_begun(self, service: str, parts: PartGroup, age_s: float = 0.0) -> PartGroup:
        """Record that an answer to a prompt began, which clears its parts of earlier crashes.

        :param service: name of the service
        :param parts: keys of the shared parts of the prompt
        :param age_s: time since the answer began, in seconds
        :return: the parts that a crash had implicated until now
        """
        begun_s = self._clock() - max(0.0, age_s)
        for part in parts:
            key = (service, part)
            self._begun_s[key] = max(begun_s, self._begun_s.pop(key, begun_s))
        while len(self._begun_s) > MAX_BEGUN_PARTS:
            self._begun_s.popitem(last=False)
        return self._clear(service, parts, begun_s) if self._crashes else ()

    def _clear(self, service: str, parts: PartGroup, begun_s: float) -> PartGroup:
        cleared = set()
        for crash in self._crashes.values():
            if crash.service != service:
                continue
            for part in parts:
                if crash.sent_s.get(part, begun_s) < begun_s:
                    del crash.sent_s[part]
                    cleared.add(part)
        return tuple(cleared)

    def list_begun(self, service: str, parts: Iterable[str]) -> list[BegunPart]:
        """Return the parts of which an answer is known to have begun, with the last time.

        :param service: name of the service
        :param parts: keys of the parts
        """
        now = self._clock()
        known = ((part, self._begun_s.get((service, part))) for part in parts)
        return [BegunPart(service, part, now - at_s) for part, at_s in known if at_s is not None]

    def has_begun(self, service: str, parts: Iterable[str]) -> bool:
        """Return whether answers to prompts with each of these parts are known to have begun.

        :param service: name of the service
        :param parts: keys of the parts
        """
        return all((service, part) in self._begun_s for part in parts)

    def list_suspects(self, min_crashes: int) -> Iterator[tuple[PartGroup, str, list[str]]]:
        """Yield the groups of parts that several crashes have in common.

        A group holds all parts that were at each of the crashes of one of them, since these can't
        be told apart.

        :param min_crashes: crashes at different times that a group needs
        :return: for each group its parts, the service of the last crash, and the names of the
            backend servers that crashed
        """
        crashes: dict[str, list[tuple[str, Crash]]] = {}
        for (backend, _), crash in self._crashes.items():
            for part in crash.sent_s:
                crashes.setdefault(part, []).append((backend, crash))
        found = set()
        for implicating in crashes.values():
            times = sorted(crash.at_s for _, crash in implicating)
            if count_separate(times) < min_crashes:
                continue
            common = set.intersection(*(set(crash.sent_s) for _, crash in implicating))
            group = tuple(sorted(common))
            if group not in found:
                found.add(group)
                yield group, implicating[-1][1].service, [backend for backend, _ in implicating]

    def is_suspect(self, parts: PartGroup, min_crashes: int) -> bool:
        """Return whether a prompt holds all parts of a group of suspects.

        :param parts: keys of the shared parts of the prompt
        :param min_crashes: crashes that the group needs
        """
        held = set(parts)
        return any(held.issuperset(group) for group, *_ in self.list_suspects(min_crashes))

    def prune(self) -> None:
        """Drop crashes that are too old or implicate no part any more."""
        oldest_s = self._clock() - EVIDENCE_TTL_S
        for key, crash in list(self._crashes.items()):
            if not crash.sent_s or crash.at_s < oldest_s:
                del self._crashes[key]

    def count_crashes(self) -> int:
        """Return the number of crashes that implicate a part."""
        return sum(bool(crash.sent_s) for crash in self._crashes.values())


def count_separate(times_s: Iterable[float]) -> int:
    """Return the number of crashes, without those that came right after another one.

    :param times_s: times of the crashes in ascending order, in seconds
    """
    count, last_s = 0, float("-inf")
    for at_s in times_s:
        if at_s - last_s >= MIN_CRASH_INTERVAL_S:
            count, last_s = count + 1, at_s
    return count
