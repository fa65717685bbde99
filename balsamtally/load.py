"""What is believed of the load of each model runner."""

import math
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from balsamtally.affinity import AFFINITY_MARGIN
from balsamtally.health import RunnerHealth, count_ejectable, update_speeds
from balsamtally.logs import log
from balsamtally.messages import Ask, Release

REPORT_SPREAD_S = 0.1
REPORT_LAG_S = 2.0
HISTORY_S = 10.0
FRESH_REPORT_S = 3.0
REFRESH_S = 0.25


class RunnerView(msgspec.Struct, frozen=True):
    """What a coordinator is told of a runner.

    :ivar name: name of the runner
    :ivar slots: answers that it generates side by side
    :ivar leaving: whether it receives no new work
    :ivar weight: speed relative to the other runners
    :ivar running: answers in generation by its last report, negative if there is none
    :ivar report_age_s: age of that report, in seconds
    """

    name: str
    slots: int
    leaving: bool = False
    weight: float = 1.0
    running: int = -1
    report_age_s: float = math.inf


@dataclass(frozen=True)
class Pick:
    """The choice of a runner.

    :ivar runner: name of the runner
    :ivar candidates: how many runners were considered
    :ivar reason: why this one
    """

    runner: str
    candidates: int
    reason: str


class RunnerLoad:
    """The slots of one runner: those granted here, and those that others use.

    :param view: what is told of the runner
    :param now: seconds of the clock
    """

    def __init__(self, view: RunnerView, now: float):
        self.in_use = 0
        self.used_by_others = 0
        self.history: deque[tuple[float, int]] = deque([(now, 0)])
        self.reported_at = -math.inf
        self.score = 0.0
        self.health = RunnerHealth()
        self.set_view(view, now)

    def set_view(self, view: RunnerView, now: float) -> None:
        """Take in what is told of the runner.

        The report is compared with the slots that were in use when it was made, so that a
        late report neither hides nor doubles the grants made since. The age that is told
        may lack up to REPORT_LAG_S of the engine's own lag.
        """
        self.view = view
        if view.running < 0 or view.report_age_s > HISTORY_S:
            return
        made_at = now - view.report_age_s
        if made_at < self.reported_at:
            return
        self.reported_at = made_at
        self.used_by_others = max(0, view.running - self._find_most_in_use(made_at))

    def has_fresh_report(self, now: float) -> bool:
        """Return whether the last report is recent."""
        return now - self.reported_at <= FRESH_REPORT_S

    def count_free(self, now: float, learning: bool) -> int:
        """Return how many slots may be granted now.

        :param now: seconds of the clock
        :param learning: whether grants of an earlier coordinator may be unknown here
        """
        if self.view.leaving:
            return 0
        slots = self.health.limit_slots(self.view.slots, now)
        if learning and not self.has_fresh_report(now):
            slots = min(slots, max(1, self.view.slots // 2))
        return slots - self.in_use - self.used_by_others

    def update_score(self) -> None:
        """Bring the score up to date: the part of its speed that an answer more would use."""
        used = self.in_use + self.used_by_others + 1
        speed = self.view.weight * self.health.speed
        self.score = used / (self.view.slots * max(speed, 0.01))

    def count_slot(self, change: int, now: float) -> None:
        """Count a slot as in use, or as free again.

        :param change: 1 for in use, -1 for free
        :param now: seconds of the clock
        """
        if self.in_use == 0:
            self.health.progress_at = now
        self.in_use += change
        self.history.append((now, self.in_use))
        while len(self.history) > 1 and self.history[1][0] < now - HISTORY_S:
            self.history.popleft()

    def _find_most_in_use(self, made_at: float) -> int:
        most = 0
        for since, in_use in reversed(self.history):
            if since <= made_at + REPORT_SPREAD_S:
                most = max(most, in_use)
            if since <= made_at - REPORT_LAG_S:
                break
        return most


class RunnerLoads:
    """The runners of a pool.

    :ivar free: runners with a slot that may be granted, by name
    :ivar slots: slots that may be in use, over all runners
    :ivar first_token_s: typical time to the first token in seconds, 0 until it is known
    """

    def __init__(self):
        self.first_token_s = 0.0
        self.mean_held_s = 0.0
        self.runners: dict[str, RunnerLoad] = {}
        self.free: dict[str, RunnerLoad] = {}
        self.slots = 0
        self.learning = True
        self.started = False
        self.refreshed_at = -math.inf

    def set_views(self, views: Sequence[RunnerView], now: float) -> None:
        """Replace the list of runners.

        :param views: what is told of each runner of the pool
        :param now: seconds of the clock
        """
        named = {view.name: view for view in views}
        for name, runner in list(self.runners.items()):
            if name not in named and runner.in_use == 0:
                del self.runners[name]
            elif name not in named:
                runner.view = msgspec.structs.replace(runner.view, leaving=True)
        for name, view in named.items():
            if name in self.runners:
                self.runners[name].set_view(view, now)
                continue
            runner = self.runners[name] = RunnerLoad(view, now)
            if self.started:
                runner.health.started_at = now
        self.started = self.started or bool(named)
        self.refreshed_at = -math.inf

    def refresh(self, now: float, learning: bool) -> None:
        """Bring the free slots up to date, at most every REFRESH_S unless something changed.

        :param now: seconds of the clock
        :param learning: whether grants of an earlier coordinator may be unknown here
        """
        if learning == self.learning and now - self.refreshed_at < REFRESH_S:
            return
        self.learning = learning
        self.refreshed_at = now
        present = [runner for runner in self.runners.values() if not runner.view.leaving]
        self.first_token_s = update_speeds([runner.health for runner in present])
        self._eject_silent(present, now)
        self.free.clear()
        self.slots = sum(runner.health.limit_slots(runner.view.slots, now) for runner in present)
        for name, runner in self.runners.items():
            self._refresh_runner(name, runner, now)

    def observe(self, name: str, request: str, held_s: float, release: Release, now: float) -> None:
        """Learn from an answer that has ended.

        :param name: name of the runner
        :param request: id of the request
        :param held_s: time that the slot was held, in seconds
        :param release: how it went
        :param now: seconds of the clock
        """
        runner = self.runners.get(name)
        if runner is None:
            return
        if not release.failed:
            runner.health.observe_success(release.first_token_s, release.tokens, held_s, now)
        elif runner.health.observe_failure(request, now):
            self._eject(runner, "failures", now)

    def count_all_free(self, now: float) -> int:
        """Return how many slots may be granted now, over all runners.

        :param now: seconds of the clock
        """
        return sum(runner.count_free(now, self.learning) for runner in self.free.values())

    def count_slot(self, name: str, change: int, now: float) -> None:
        """Count a slot as in use, or as free again.

        :param name: name of the runner
        :param change: 1 for in use, -1 for free
        :param now: seconds of the clock
        """
        runner = self.runners.get(name)
        if runner is None:
            runner = self.runners[name] = RunnerLoad(RunnerView(name, 0, leaving=True), now)
        runner.count_slot(change, now)
        self._refresh_runner(name, runner, now)

    def record_adopted(self, name: str, now: float) -> None:
        """Count a slot that is now known no longer as one that others use.

        :param name: name of the runner
        :param now: seconds of the clock
        """
        runner = self.runners[name]
        runner.used_by_others = max(0, runner.used_by_others - 1)
        self._refresh_runner(name, runner, now)

    def pick(self, ask: Ask, slack_s: float, hints: Mapping[str, float]) -> Pick | None:
        """Choose a runner with a free slot.

        :param ask: the request
        :param slack_s: time left for its first token, in seconds
        :param hints: part of the prompt's prefix that a runner seems to hold, by name
        :return: the choice, or ``None`` if no free runner may serve it
        """
        allowed = [runner for name, runner in self.free.items() if name not in ask.excluded]
        if not allowed and self.free and self._excludes_all(ask):
            allowed = list(self.free.values())
        if not allowed:
            return None
        in_time = [runner for runner in allowed if runner.health.first_token_s <= slack_s]
        best = min(in_time or allowed, key=lambda runner: runner.score)
        warm = self._find_warmest(hints, in_time, best)
        if warm is not None:
            return Pick(warm.view.name, len(allowed), "prefix")
        return Pick(best.view.name, len(allowed), "least_loaded")

    def _find_warmest(
        self, hints: Mapping[str, float], in_time: list[RunnerLoad], best: RunnerLoad
    ) -> RunnerLoad | None:
        if not hints:
            return None
        near = [
            runner
            for runner in in_time
            if runner.view.name in hints and runner.score <= best.score + AFFINITY_MARGIN
        ]
        return max(near, key=lambda runner: hints[runner.view.name], default=None)

    def _eject(self, runner: RunnerLoad, reason: str, now: float) -> None:
        present = [other for other in self.runners.values() if not other.view.leaving]
        ejected = sum(1 for other in present if other.health.probing and other is not runner)
        if ejected >= count_ejectable(len(present)):
            return
        runner.health.eject(now)
        log.info(
            "runner_ejected",
            runner=runner.view.name,
            reason=reason,
            until_s=round(runner.health.ejected_until - now, 3),
        )

    def _eject_silent(self, present: list[RunnerLoad], now: float) -> None:
        if self.mean_held_s <= 0.0:
            return
        for runner in present:
            if runner.health.ejected_until > now:
                continue
            if runner.health.is_silent(runner.in_use, self.mean_held_s, now):
                self._eject(runner, "silent", now)
                runner.health.progress_at = now

    def _excludes_all(self, ask: Ask) -> bool:
        return all(
            name in ask.excluded for name, runner in self.runners.items() if not runner.view.leaving
        )

    def _refresh_runner(self, name: str, runner: RunnerLoad, now: float) -> None:
        if runner.count_free(now, self.learning) > 0:
            runner.update_score()
            self.free[name] = runner
        else:
            self.free.pop(name, None)
