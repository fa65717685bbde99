"""Verdicts on model runners that have stopped sending, from the silence of their streams.

Load pattern: a runner stays connected but sends nothing more, so that its callers wait until their
deadline.

An engine's step serves all running answers, so that a runner that works sends something on one of
its streams before long. A verdict needs silent streams of several calls, because one stream may
wait for reasons of its own. One entry VM often has a single stream at a runner; VMs of a region
therefore tell each other of the runners that are silent to them.

This module has no input and output. A pause of this process or a loss of its network makes all
runners look silent; neither leads to a verdict.
"""

import math
import time
from collections.abc import Callable, Container
from dataclasses import dataclass, field

import msgspec

from balsamtally.calls import Backend
from balsamtally.decoding import Count, Seconds

# Shortest silence that may lead to a verdict. It is several times the longest pause of an engine
# step; a lost packet is sent again within it.
MIN_SILENCE_S = 1.0
# The silence must exceed the tightest inter-event bound of the runner's streams, and the longest
# recent time between two of its events, by this factor.
SILENCE_FACTOR = 3.0
# Bound that streams of routes without one are assumed to have.
DEFAULT_GAP_S = 1.0
# Time for which the longest gap of a runner counts as recent.
RECENT_S = 10.0
# A verdict needs at least this many silent streams, of different calls.
MIN_SILENT_STREAMS = 2
# Time for which peers may object to a verdict: a round trip within a region and two steps.
SETTLE_S = 0.25
# Time for which the notices of peers count.
NOTICE_TTL_S = 0.8
# Silent runners in one notice, which has to fit into a datagram.
MAX_SILENCES = 64
# The process counts as paused if :meth:`Stalls.decide` wasn't called for this time.
MAX_STEP_S = 0.4


class Silence(msgspec.Struct, frozen=True, array_like=True):
    """What an entry VM knows about the silence of one runner.

    :ivar backend: name of the runner
    :ivar born: start of its incarnation in Unix milliseconds
    :ivar silent: streams of the sender at the runner that are silent for too long
    :ivar open: streams of the sender at the runner that have begun
    :ivar heard_s: time since the runner last sent anything to the sender, in seconds
    :ivar verdict: whether the sender has decided that the runner has stopped sending
    """

    backend: str
    born: Count
    silent: Count
    open: Count
    heard_s: Seconds
    verdict: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Identity of the runner's incarnation."""
        return (self.backend, self.born)


class SilenceNotice(msgspec.Struct, frozen=True, array_like=True, tag="silence"):
    """What an entry VM tells the peers of its region about silent runners.

    :ivar vm: name of the sender
    :ivar silences: the runners that the sender or a peer suspects
    """

    vm: str
    silences: tuple[Silence, ...]


@dataclass(frozen=True)
class SilentRunner:
    """A verdict: a runner has stopped sending.

    :ivar key: identity of the runner's incarnation
    :ivar silent: silent streams of all VMs that told of them
    :ivar open: open streams of these VMs
    :ivar silent_s: time since the runner last sent anything to this VM, in seconds
    """

    key: tuple[str, int]
    silent: int
    open: int
    silent_s: float


@dataclass(eq=False)
class RunnerActivity:
    """What one runner sent to this entry VM.

    :ivar heard_s: monotonic clock at the last event or answer, in seconds; minus infinity before
    :ivar streams: open streams that have begun, with their inter-event bound in seconds
    :ivar attempts: open attempts, including those that wait for their first event
    :ivar longest_gap_s: longest recent time between two events of a stream, in seconds
    :ivar longest_at_s: monotonic clock when it was observed, in seconds
    :ivar resumed_s: monotonic clock at the end of this process's last pause, in seconds, 0 without
        one; silence and gaps before it tell nothing about the runner
    :ivar suspected_s: monotonic clock at the begin of the suspicion, in seconds, 0 without one
    :ivar verdict_s: monotonic clock at the verdict, in seconds; minus infinity without one
    :ivar notices: last notices of peers by name of the VM, with their time of arrival
    """

    heard_s: float = -math.inf
    streams: dict["Watch", float] = field(default_factory=dict)
    attempts: int = 0
    longest_gap_s: float = 0.0
    longest_at_s: float = 0.0
    resumed_s: float = 0.0
    suspected_s: float = 0.0
    verdict_s: float = -math.inf
    notices: dict[str, tuple[Silence, float]] = field(default_factory=dict)

    def find_limit_s(self, now_s: float) -> float:
        """Return the silence beyond any pause that load explains, in seconds.

        :param now_s: monotonic clock in seconds
        """
        recent_s = self.longest_gap_s if now_s - self.longest_at_s < RECENT_S else 0.0
        # A peer's verdict rests on the bounds of other streams at the same runner.
        bound_s = 0.0 if self.is_told(now_s) else min(self.streams.values(), default=DEFAULT_GAP_S)
        return max(MIN_SILENCE_S, SILENCE_FACTOR * max(bound_s, recent_s))

    def record_heard(self, now_s: float) -> None:
        """Record an event or answer, which ends any suspicion.

        :param now_s: monotonic clock in seconds
        """
        self.heard_s = now_s
        self.suspected_s, self.verdict_s = 0.0, -math.inf

    def restart(self, now_s: float) -> None:
        """Begin anew to wait for events, after this process was paused.

        The runner hasn't been heard, so that this VM doesn't object to a verdict of its peers.

        :param now_s: monotonic clock in seconds
        """
        self.resumed_s = now_s
        self.suspected_s, self.verdict_s = 0.0, -math.inf

    def record_gap(self, gap_s: float, now_s: float) -> None:
        """Record the time between two events of a stream.

        :param gap_s: the time in seconds
        :param now_s: monotonic clock in seconds
        """
        if gap_s >= self.longest_gap_s or now_s - self.longest_at_s >= RECENT_S:
            self.longest_gap_s, self.longest_at_s = gap_s, now_s

    def is_silent(self, now_s: float) -> bool:
        """Return whether streams are open and the runner is silent for too long.

        :param now_s: monotonic clock in seconds
        """
        since_s = max(self.heard_s, self.resumed_s)
        return bool(self.streams) and now_s - since_s >= self.find_limit_s(now_s)

    def is_told(self, now_s: float) -> bool:
        """Return whether a peer has recently told of its verdict.

        :param now_s: monotonic clock in seconds
        """
        return any(
            told.verdict and now_s - at_s < NOTICE_TTL_S for told, at_s in self.notices.values()
        )

    def list_notices(self, now_s: float) -> list[Silence]:
        """Return the recent notices of peers, with the present time since they heard the runner.

        :param now_s: monotonic clock in seconds
        """
        return [
            msgspec.structs.replace(told, heard_s=told.heard_s + now_s - at_s)
            for told, at_s in self.notices.values()
            if now_s - at_s < NOTICE_TTL_S
        ]


class Watch:
    """Watches one attempt at a backend server; a context manager.

    :param activity: what the backend server sent
    :param gap_s: the route's inter-event bound in seconds, 0 if unbounded
    :param clock: monotonic clock in seconds
    """

    def __init__(self, activity: RunnerActivity, gap_s: float, clock: Callable[[], float]):
        self._activity = activity
        self._gap_s = gap_s or DEFAULT_GAP_S
        self._clock = clock
        self._begun_s = clock()
        self._event_s = 0.0

    def __enter__(self) -> "Watch":
        self._activity.attempts += 1
        return self

    def __exit__(self, *exc_info) -> None:
        self._activity.attempts -= 1
        self._activity.streams.pop(self, None)

    def record_head(self) -> None:
        """Record the head of an answer."""
        self._activity.record_heard(self._clock())

    def record_event(self, now_s: float) -> None:
        """Record events of the stream.

        :param now_s: monotonic clock in seconds
        """
        if self._event_s > self._activity.resumed_s:
            self._activity.record_gap(now_s - self._event_s, now_s)
        elif not self._event_s:
            self._activity.streams[self] = self._gap_s
        self._event_s = now_s
        self._activity.record_heard(now_s)

    def has_stopped(self) -> bool:
        """Return whether the backend server has stopped sending since the attempt began."""
        return self._activity.verdict_s >= self._begun_s


class Stalls:
    """What the backend servers sent to this entry VM, and the verdicts on them.

    :param clock: monotonic clock in seconds
    :param is_lost: returns whether this VM has lost its link to an incarnation, whose silence then
        says nothing
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        is_lost: Callable[[tuple[str, int]], bool] = lambda key: False,
    ):
        self._clock = clock
        self._is_lost = is_lost
        self._runners: dict[tuple[str, int], RunnerActivity] = {}
        self._decided_s = clock()

    def watch(self, backend: Backend, gap_s: float) -> Watch:
        """Return the watch of an attempt that is sent to a backend server.

        :param backend: the backend server
        :param gap_s: the route's inter-event bound in seconds, 0 if unbounded
        """
        activity = self._runners.get(backend.key)
        if activity is None:
            activity = self._runners[backend.key] = RunnerActivity()
        return Watch(activity, gap_s, self._clock)

    def decide(self) -> list[SilentRunner]:
        """Return the new verdicts; called several times a second."""
        now = self._clock()
        paused = now - self._decided_s > MAX_STEP_S
        self._decided_s = now
        if paused:
            # What came meanwhile hasn't been read yet.
            for activity in self._runners.values():
                activity.restart(now)
            return []
        silent = self._list_silent(now)
        if not silent or not self._is_network_up(len(silent), now):
            for activity in silent.values():
                activity.suspected_s = 0.0
            return []
        judged = [self._judge(key, activity, now) for key, activity in silent.items()]
        return [verdict for verdict in judged if verdict is not None]

    def _list_silent(self, now_s: float) -> dict[tuple[str, int], RunnerActivity]:
        """Return the silent runners without a verdict."""
        return {
            key: activity
            for key, activity in self._runners.items()
            if activity.is_silent(now_s)
            and activity.verdict_s <= activity.heard_s
            and not self._is_lost(key)
        }

    def _is_network_up(self, silent: int, now_s: float) -> bool:
        """Return whether at least as many backend servers sent something as are silent.

        A lost network silences all of them. Idle backend servers say nothing about it.
        """
        heard = sum(now_s - activity.heard_s < MIN_SILENCE_S for activity in self._runners.values())
        return heard >= silent

    def _judge(
        self, key: tuple[str, int], activity: RunnerActivity, now_s: float
    ) -> SilentRunner | None:
        """Return a new verdict on a runner that is silent to this entry VM."""
        activity.suspected_s = activity.suspected_s or now_s
        told = activity.list_notices(now_s)
        if not activity.is_told(now_s):
            limit_s = activity.find_limit_s(now_s)
            settled = now_s - activity.suspected_s >= SETTLE_S
            if not settled or any(each.open and each.heard_s < limit_s for each in told):
                return None
        silent = len(activity.streams) + sum(each.silent for each in told)
        opened = len(activity.streams) + sum(each.open for each in told)
        enough = silent >= MIN_SILENT_STREAMS and 2 * silent >= opened
        if not enough and not activity.is_told(now_s):
            return None
        activity.verdict_s = now_s
        return SilentRunner(key, silent, opened, now_s - activity.heard_s)

    def list_silent(self) -> set[str]:
        """Return the names of the runners with a verdict, and of those that may get one soon."""
        oldest_s = self._clock() - MIN_SILENCE_S
        return {
            name
            for (name, _), each in self._runners.items()
            if each.verdict_s > each.heard_s
            or (each.streams and max(each.heard_s, each.resumed_s) <= oldest_s)
        }

    def make_silences(self) -> tuple[Silence, ...]:
        """Return what peers should know: silent runners, and verdicts whose streams have ended."""
        now = self._clock()
        return tuple(
            self._make_silence(key, activity, now)
            for key, activity in self._runners.items()
            if (activity.is_silent(now) or now - activity.verdict_s < NOTICE_TTL_S)
            and not self._is_lost(key)
        )[:MAX_SILENCES]

    def handle_notice(self, notice: SilenceNotice) -> tuple[Silence, ...]:
        """Record a peer's notice.

        :param notice: the notice
        :return: objections to send back: runners that sent something to this entry VM since
        """
        now = self._clock()
        objections = []
        for told in notice.silences:
            activity = self._runners.get(told.key)
            if activity is None:
                continue
            activity.notices[notice.vm] = (told, now)
            if activity.streams and told.silent and not activity.is_silent(now):
                objections.append(self._make_silence(told.key, activity, now))
        return tuple(objections)

    def _make_silence(
        self, key: tuple[str, int], activity: RunnerActivity, now_s: float
    ) -> Silence:
        silent = len(activity.streams) if activity.is_silent(now_s) else 0
        heard_s = max(0.0, now_s - activity.heard_s)
        return Silence(
            *key, silent, len(activity.streams), heard_s, activity.verdict_s > activity.heard_s
        )

    def forget_removed(self, keys: Container[tuple[str, int]]) -> None:
        """Drop the state of removed backend servers once no attempt is open there.

        :param keys: identities of the present incarnations
        """
        gone = [key for key, each in self._runners.items() if key not in keys and not each.attempts]
        for key in gone:
            del self._runners[key]
        now = self._clock()
        for activity in self._runners.values():
            drop_expired(activity.notices, now)


def drop_expired(notices: dict[str, tuple[Silence, float]], now_s: float) -> None:
    """Drop the notices that no longer count.

    :param notices: notices by name of the VM, with their time of arrival
    :param now_s: monotonic clock in seconds
    """
    for vm in [vm for vm, (_, at_s) in notices.items() if now_s - at_s >= NOTICE_TTL_S]:
        del notices[vm]
