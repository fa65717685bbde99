"""The estimated load of each model runner of a pool, and the choice of a runner by load."""

import math
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from balsamtally.affinity import AFFINITY_MARGIN
from balsamtally.health import RunnerHealth, count_ejectable, update_speeds
from balsamtally.logs import log
from balsamtally.messages import Ask, Release

REPORT_TIME_TOLERANCE_S = 0.1
MAX_ENGINE_LAG_S = 2.0
IN_USE_HISTORY_S = 10.0
FRESH_REPORT_MAX_AGE_S = 3.0
REFRESH_INTERVAL_S = 0.25


class RunnerView(msgspec.Struct, frozen=True):
    """A coordinator's view of a runner.

    :ivar name: name of the runner
    :ivar slots: answers that the runner generates concurrently
    :ivar leaving: whether the runner is draining and receives no new work
    :ivar weight: speed relative to the other runners
    :ivar running: answers in generation by the last load report, negative without a report
    :ivar report_age_s: age of the last load report, in seconds
    """

    name: str
    slots: int
    leaving: bool = False
    weight: float = 1.0
    running: int = -1
    report_age_s: float = math.inf


@dataclass(frozen=True)
class RunnerChoice:
    """The choice of a runner.

    :ivar runner: name of the chosen runner
    :ivar candidates: number of runners that were considered
    :ivar reason: why the runner was chosen
    """

    runner: str
    candidates: int
    reason: str


class RunnerLoad:
    """The slots of one runner: granted by this coordinator, and used by others.

    :param view: view of the runner
    :param now: seconds of the clock
    """

    def __init__(self, view: RunnerView, now: float):
        self.in_use = 0
        self.used_by_others = 0
        self.in_use_history: deque[tuple[float, int]] = deque([(now, 0)])
        self.reported_at = -math.inf
        self.score = 0.0
        self.health = RunnerHealth()
        self.set_view(view, now)

    def set_view(self, view: RunnerView, now: float) -> None:
        """Update the view of the runner and the number of slots that others use.

        The load report is compared with the slots that were in use when the report was made,
        so that a delayed report neither hides nor double-counts the grants made since. The
        reported age may leave out up to ``MAX_ENGINE_LAG_S`` of delay in the engine itself.
        """
        self.view = view
        if view.running < 0 or view.report_age_s > IN_USE_HISTORY_S:
            return
        made_at = now - view.report_age_s
        if made_at < self.reported_at:
            return
        self.reported_at = made_at
        self.used_by_others = max(0, view.running - self._find_most_in_use(made_at))

    def has_fresh_report(self, now: float) -> bool:
        """Return whether the last load report is recent."""
        return now - self.reported_at <= FRESH_REPORT_MAX_AGE_S

    def count_free(self, now: float, learning: bool) -> int:
        """Return how many slots may be granted now.

        :param now: seconds of the clock
        :param learning: whether this coordinator is new, so that it may not know all grants of
            an earlier coordinator
        """
        if self.view.leaving:
            return 0
        slots = self.health.limit_slots(self.view.slots, now)
        if learning and not self.has_fresh_report(now):
            slots = min(slots, max(1, self.view.slots // 2))
        return slots - self.in_use - self.used_by_others

    def update_score(self) -> None:
        """Update the score: the load with one more answer, relative to the runner's speed."""
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
        self.in_use_history.append((now, self.in_use))
        while len(self.in_use_history) > 1 and self.in_use_history[1][0] < now - IN_USE_HISTORY_S:
            self.in_use_history.popleft()

    def _find_most_in_use(self, made_at: float) -> int:
        most = 0
        for since, in_use in reversed(self.in_use_history):
            if since <= made_at + REPORT_TIME_TOLERANCE_S:
                most = max(most, in_use)
            if since <= made_at - MAX_ENGINE_LAG_S:
                break
        return most


class RunnerLoads:
    """The runners of a pool.

    :ivar free: runners with at least one slot that may be granted, by name
    :ivar slots: total slots that may be in use, over all runners
    :ivar first_token_s: typical time to first token in seconds, 0 until it is known
    """

    def __init__(self):
        self.first_token_s = 0.0
        self.mean_held_s = 0.0
        self.runners: dict[str, RunnerLoad] = {}
        self.free: dict[str, RunnerLoad] = {}
        self.slots = 0
        self.learning = True
        self.has_had_runners = False
        self.refreshed_at = -math.inf

    def set_views(self, views: Sequence[RunnerView], now: float) -> None:
        """Replace the list of runners.

        A runner that is no longer listed is kept as draining until its grants have ended.

        :param views: a view of each runner of the pool
        :param now: seconds of the clock
        """
        views_by_name = {view.name: view for view in views}
        for name, runner in list(self.runners.items()):
            if name not in views_by_name and runner.in_use == 0:
                del self.runners[name]
            elif name not in views_by_name:
                runner.view = msgspec.structs.replace(runner.view, leaving=True)
        for name, view in views_by_name.items():
            if name in self.runners:
                self.runners[name].set_view(view, now)
                continue
            runner = self.runners[name] = RunnerLoad(view, now)
            if self.has_had_runners:
                runner.health.started_at = now
        self.has_had_runners = self.has_had_runners or bool(views_by_name)
        self.refreshed_at = -math.inf

    def refresh(self, now: float, learning: bool) -> None:
        """Recompute the free slots.

        Does nothing within ``REFRESH_INTERVAL_S`` of the last call, unless the list of runners or
        ``learning`` has changed.

        :param now: seconds of the clock
        :param learning: whether grants of an earlier coordinator may be unknown here
        """
        if learning == self.learning and now - self.refreshed_at < REFRESH_INTERVAL_S:
            return
        self.learning = learning
        self.refreshed_at = now
        active = [runner for runner in self.runners.values() if not runner.view.leaving]
        self.first_token_s = update_speeds([runner.health for runner in active])
        self._eject_silent(active, now)
        self.free.clear()
        self.slots = sum(runner.health.limit_slots(runner.view.slots, now) for runner in active)
        for name, runner in self.runners.items():
            self._refresh_runner(name, runner, now)

    def observe(self, name: str, request: str, held_s: float, release: Release, now: float) -> None:
        """Record the outcome of an attempt for the health of its runner.

        :param name: name of the runner
        :param request: id of the request
        :param held_s: time that the slot was held, in seconds
        :param release: the outcome of the attempt
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
        """Stop counting the slot of an adopted grant as used by others.

        :param name: name of the runner
        :param now: seconds of the clock
        """
        runner = self.runners[name]
        runner.used_by_others = max(0, runner.used_by_others - 1)
        self._refresh_runner(name, runner, now)

    def pick(self, ask: Ask, slack_s: float, hints: Mapping[str, float]) -> RunnerChoice | None:
        """Choose a runner with a free slot.

        :param ask: the request
        :param slack_s: time left until the first token is due, in seconds
        :param hints: estimated fraction of the prompt's prefix that is cached, by runner
        :return: the choice, or ``None`` if no free runner may serve the request
        """
        allowed = [runner for name, runner in self.free.items() if name not in ask.excluded]
        if not allowed and self.free and self._excludes_all(ask):
            allowed = list(self.free.values())
        if not allowed:
            return None
        meeting_target = [runner for runner in allowed if runner.health.first_token_s <= slack_s]
        best = min(meeting_target or allowed, key=lambda runner: runner.score)
        warm = self._find_warmest(hints, meeting_target, best)
        if warm is not None:
            return RunnerChoice(warm.view.name, len(allowed), "prefix")
        return RunnerChoice(best.view.name, len(allowed), "least_loaded")

    def _find_warmest(
        self, hints: Mapping[str, float], meeting_target: list[RunnerLoad], best: RunnerLoad
    ) -> RunnerLoad | None:
        if not hints:
            return None
        near = [
            runner
            for runner in meeting_target
            if runner.view.name in hints and runner.score <= best.score + AFFINITY_MARGIN
        ]
        return max(near, key=lambda runner: hints[runner.view.name], default=None)

    def _eject(self, runner: RunnerLoad, reason: str, now: float) -> None:
        active = [other for other in self.runners.values() if not other.view.leaving]
        ejected = sum(1 for other in active if other.health.probing and other is not runner)
        if ejected >= count_ejectable(len(active)):
            return
        runner.health.eject(now)
        log.info(
            "runner_ejected",
            runner=runner.view.name,
            reason=reason,
            until_s=round(runner.health.ejected_until - now, 3),
        )

    def _eject_silent(self, active: list[RunnerLoad], now: float) -> None:
        if self.mean_held_s <= 0.0:
            return
        for runner in active:
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
