"""The grace period of a draining entry VM: which calls it still serves, and how the others end.

Until the balancer has noticed the stop, calls arrive that may last longer than the rest of the
grace period. Another entry VM serves a refused call after one round trip, while a call that is
broken off has lost all its time, and its outcome is unknown.
"""

import math
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from balsamtally.calls import Repeat
from balsamtally.durations import Durations
from balsamtally.errors import GraceEnded, Leaving
from balsamtally.plans import CallProgress, Plan

# Shares of the grace period: backend servers get the first one; callers are told at the second one
# that it ended; the process ends at the third one, even if a caller hasn't received that yet.
CALL_SHARE = 0.92
TELL_SHARE = 0.93
END_SHARE = 0.96
# A call is passed on if this multiple of the duration that is expected of it is left.
DURATION_MARGIN = 1.25
# A refused call may be sent to another entry VM at once, by a new connection.
RETRY_AFTER_S = 0.1


@dataclass
class StopCounts:
    """How the calls ended that a draining entry VM didn't serve to their end.

    :ivar refused: calls that were refused and not run
    :ivar told: calls whose callers were told that the grace period ended
    :ivar cut: calls whose answer was cut, or that had no answer
    """

    refused: int = 0
    told: int = 0
    cut: int = 0


class GracePeriod:
    """The grace period of one entry VM.

    :param find_grace_s: returns the length of the grace period in seconds
    :param clock: monotonic clock in seconds
    :ivar durations: how long the calls of each route took
    :ivar counts: calls that weren't served to their end
    """

    def __init__(
        self, find_grace_s: Callable[[], float], clock: Callable[[], float] = time.monotonic
    ):
        self._find_grace_s = find_grace_s
        self._clock = clock
        self._begun_s = math.inf
        self._waiting: dict[gevent.Greenlet, tuple[Plan, CallProgress]] = {}
        self.durations = Durations()
        self.counts = StopCounts()

    def begin(self) -> None:
        """Begin the grace period."""
        self._begun_s = min(self._begun_s, self._clock())

    def find_end_s(self, plan: Plan) -> float:
        """Return the monotonic clock by which a call must end, in seconds.

        :param plan: the call's plan
        """
        return min(plan.until_s, self._begun_s + self._find_grace_s() * CALL_SHARE)

    def check(self, plan: Plan, progress: CallProgress) -> None:
        """Check that a call may be passed on.

        :param plan: the call's plan
        :param progress: the call's progress
        :raises Leaving: if the call may last longer than the rest of the grace period
        """
        end_s = self.find_end_s(plan)
        if end_s < plan.until_s and self._clock() + self._predict_s(plan, progress) >= end_s:
            raise Leaving(retry_after_s=RETRY_AFTER_S)

    def _predict_s(self, plan: Plan, progress: CallProgress) -> float:
        """Return how long a call may take from now on, in seconds."""
        known = self.durations.find(plan.route.name)
        if known is None:
            return math.inf if plan.route.repeat is Repeat.NEVER else 0.0
        # A stream that is cut is resumed elsewhere, so that the risk of a cut is taken for it.
        took_s = known.mean_s if plan.route.repeat is Repeat.RESUME else known.longest_s
        spent_s = self._clock() - progress.first_event_s if progress.first_event_s else 0.0
        return max(0.0, took_s * DURATION_MARGIN - spent_s)

    def wait(self, plan: Plan, progress: CallProgress, choose: Callable) -> object:
        """Let a call wait for a backend server, as long as it may still be passed on.

        :param plan: the call's plan
        :param progress: the call's progress
        :param choose: called with both; waits for the backend server and returns it
        :raises Leaving: if too little is left of the grace period
        """
        task = gevent.getcurrent()
        self._waiting[task] = (plan, progress)
        try:
            return choose(plan, progress)
        finally:
            del self._waiting[task]

    def refuse_waiting(self) -> None:
        """Refuse the waiting calls for which too little is left of the grace period."""
        for task, (plan, progress) in list(self._waiting.items()):
            try:
                self.check(plan, progress)
            except Leaving as error:
                gevent.get_hub().loop.run_callback(self._refuse, task, error)

    def _refuse(self, task: gevent.Greenlet, error: Leaving) -> None:
        # The call may have been sent since.
        if task in self._waiting:
            task.throw(error)

    def count_end(self, progress: CallProgress, error: BaseException | None) -> None:
        """Count a call that ended in the grace period.

        :param progress: the call's progress
        :param error: the error that ended it, ``None`` after a complete answer
        """
        if math.isinf(self._begun_s) or not isinstance(error, (Leaving, GraceEnded)):
            return
        if progress.first_event_s:
            self.counts.cut += 1
        elif isinstance(error, Leaving):
            self.counts.refused += 1
        else:
            self.counts.told += 1
