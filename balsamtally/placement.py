"""Placement: which model, version and adapters each model runner holds, and the orders for it."""

import math
from collections.abc import Callable, Sequence

import msgspec

from balsamtally.contracts import Pool
from balsamtally.logs import log
from balsamtally.rendezvous import rank_members

FRESH_S = 1.0
ORDER_TIMEOUT_S = 60.0
MIN_DWELL_S = 120.0
STABLE_S = 10.0
TARGET_USE = 0.8
SURPLUS_USE = 0.6


class RunnerReport(msgspec.Struct, frozen=True):
    """What a model runner reports of its placement.

    :ivar name: name of the runner
    :ivar pools: models that it serves
    :ivar versions: version of the weights of each of them, in the same order
    :ivar adapters: adapters that it holds
    :ivar fence: number of the last order that it accepted
    :ivar slots: answers that it generates side by side
    :ivar running: answers in generation
    :ivar loading: whether it is carrying out an order
    :ivar leaving: whether it is leaving
    :ivar unchanged_s: time since its placement changed, in seconds
    :ivar age_s: age of this report, in seconds
    :ivar allowed: models that it may be ordered to serve, ``None`` for any
    """

    name: str
    pools: tuple[str, ...]
    versions: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    fence: int = 0
    slots: int = 8
    running: int = 0
    loading: bool = False
    leaving: bool = False
    unchanged_s: float = math.inf
    age_s: float = 0.0
    allowed: tuple[str, ...] | None = None


class PoolNeed(msgspec.Struct, frozen=True):
    """What a pool needs.

    :ivar pool: the pool
    :ivar slots: slots that its requests use and wait for, smoothed
    """

    pool: Pool
    slots: float


class Order(msgspec.Struct, frozen=True):
    """The whole state that a runner is to take up; carrying it out twice changes nothing.

    :ivar fence: fencing number, one higher than that of the last order it accepted
    :ivar pools: models to serve
    :ivar versions: version of the weights of each of them
    :ivar adapters: adapters to hold
    """

    fence: int
    pools: tuple[str, ...]
    versions: tuple[str, ...]
    adapters: tuple[str, ...]


class Wanted(msgspec.Struct, frozen=True):
    """The placement that a runner should have.

    :ivar pools: models to serve
    :ivar versions: version of the weights of each of them
    :ivar adapters: adapters to hold
    """

    pools: tuple[str, ...]
    versions: tuple[str, ...]
    adapters: tuple[str, ...]


class Outstanding(msgspec.Struct, frozen=True):
    """An order whose effect hasn't been read back.

    :ivar wanted: the placement
    :ivar fence: number of the order
    :ivar sent_at: when it was sent, in seconds of the clock
    """

    wanted: Wanted
    fence: int
    sent_at: float


def is_in_force(report: RunnerReport, wanted: Wanted) -> bool:
    """Return whether a runner has the wanted placement."""
    return (
        report.pools == wanted.pools
        and report.versions == wanted.versions
        and set(report.adapters) == set(wanted.adapters)
    )


def plan_placement(needs: Sequence[PoolNeed], reports: Sequence[RunnerReport]) -> dict[str, Wanted]:
    """Return the placement that each runner of a failure domain should have.

    The plan depends on the published facts alone, so that two deciders which see the same
    agree. It moves at most one runner, from a pool with runners to spare to the pool that lacks
    most of them.

    :param needs: the pools
    :param reports: the runners
    :return: the placement by name of runner, those that are leaving left out
    """
    pools = {need.pool.name: need.pool for need in needs}
    present = sorted(
        (report for report in reports if not report.leaving), key=lambda report: report.name
    )
    moved = _choose_move(needs, present)
    plan = {}
    for report in present:
        names = report.pools
        if moved is not None and moved[0] == report.name:
            names = (moved[1],)
        known = [pools[name] for name in names if name in pools]
        if known:
            plan[report.name] = _describe(known)
    return plan


def may_serve(report: RunnerReport, pool: str) -> bool:
    """Return whether a runner may be ordered to serve a model.

    :param report: report of the runner
    :param pool: name of the model
    """
    return report.allowed is None or pool in report.allowed


def _describe(pools: list[Pool]) -> Wanted:
    adapters = sorted({adapter for pool in pools for adapter in pool.adapters})
    return Wanted(
        tuple(pool.name for pool in pools),
        tuple(pool.version for pool in pools),
        tuple(adapters),
    )


def _choose_move(needs: Sequence[PoolNeed], present: list[RunnerReport]) -> tuple[str, str] | None:
    """Return the runner to move and its new pool, or ``None``."""
    if any(report.loading for report in present):
        return None
    lacking = {need.pool.name: _count_lacking(need, present) for need in needs}
    short = [name for name, count in lacking.items() if count > 0]
    if not short:
        return None
    target = min(short, key=lambda name: (-lacking[name], name))
    spare = [
        report.name
        for need in needs
        if need.pool.name != target and _has_spare(need, present)
        for report in present
        if report.pools == (need.pool.name,) and may_serve(report, target)
    ]
    if not spare:
        return None
    return rank_members(f"move/{target}", spare)[0], target


def _count_lacking(need: PoolNeed, present: list[RunnerReport]) -> int:
    holding = [report for report in present if need.pool.name in report.pools]
    slots = _find_slots(present)
    wanted = max(need.pool.min_runners, math.ceil(need.slots / (slots * TARGET_USE)))
    return wanted - len(holding)


def _has_spare(need: PoolNeed, present: list[RunnerReport]) -> bool:
    """Return whether the pool is lightly used even with a runner less."""
    left = sum(1 for report in present if need.pool.name in report.pools) - 1
    return left >= need.pool.min_runners and need.slots <= left * _find_slots(present) * SURPLUS_USE


def _find_slots(present: list[RunnerReport]) -> int:
    return max(1, min((report.slots for report in present), default=1))


class Placement:
    """Decides about the runners that fall to this entry VM, and orders what they should hold.

    That one daemon decides for a runner is efficiency and not safety. An engine that honours
    fencing numbers refuses the older of two orders. For one that ignores them every order
    carries the whole state, is sent only on a report that was read just before, and leads where
    the plan of any other decider with the same facts leads.

    :param is_mine: returns whether this entry VM decides about a runner
    :param read_report: reads a runner's report anew, ``None`` if it isn't in reach
    :param send_order: sends an order; its return says nothing of the effect
    :param clock: returns seconds that never go back
    :param max_loading: most runners of the failure domain that load at a time: the domain's
        part of the weight store's rate, divided by the rate of one load
    """

    def __init__(
        self,
        is_mine: Callable[[str], bool],
        read_report: Callable[[str], RunnerReport | None],
        send_order: Callable[[str, Order], None],
        clock: Callable[[], float],
        max_loading: int = 1,
    ):
        self.is_mine = is_mine
        self.read_report = read_report
        self.send_order = send_order
        self.clock = clock
        self.max_loading = max_loading
        self.loading = 0
        self.outstanding: dict[str, Outstanding] = {}
        self.wanted_since: dict[str, tuple[Wanted, float]] = {}

    def step(self, needs: Sequence[PoolNeed], reports: Sequence[RunnerReport]) -> None:
        """Compare the plan with the reports and send the orders that are due.

        :param needs: what the pools of the failure domain need
        :param reports: the last report of each of its runners
        """
        plan = plan_placement(needs, reports)
        self.loading = sum(1 for report in reports if report.loading)
        for report in sorted(reports, key=lambda report: report.name):
            self._read_back(report)
            wanted = plan.get(report.name)
            if wanted is None or is_in_force(report, wanted):
                self.wanted_since.pop(report.name, None)
                continue
            if not self._is_due(report, wanted) or self.loading >= self.max_loading:
                continue
            if self._send(report, wanted):
                self.loading += 1
        self._forget_missing({report.name for report in reports})

    def list_draining(self) -> list[str]:
        """Return the runners that get no new work, so that they can take an order.

        :return: their names, no more than may load at a time
        """
        now = self.clock()
        due = sorted(
            name
            for name, (_, since) in self.wanted_since.items()
            if now - since >= STABLE_S and name not in self.outstanding
        )
        return due[: max(0, self.max_loading - self.loading)]

    def _is_due(self, report: RunnerReport, wanted: Wanted) -> bool:
        if not self.is_mine(report.name):
            self.wanted_since.pop(report.name, None)
            return False
        now = self.clock()
        held, since = self.wanted_since.get(report.name, (None, now))
        if held != wanted:
            self.wanted_since[report.name] = (wanted, now)
            return False
        return now - since >= STABLE_S and self._is_allowed(report)

    def _is_allowed(self, report: RunnerReport) -> bool:
        """Return whether a runner may be ordered at all now."""
        return (
            report.name not in self.outstanding
            and not report.leaving
            and not report.loading
            and report.running == 0
            and report.unchanged_s >= MIN_DWELL_S
        )

    def _send(self, report: RunnerReport, wanted: Wanted) -> bool:
        read_at = self.clock()
        fresh = self.read_report(report.name)
        if fresh is None or not self._is_same(report, fresh):
            return False
        if self.clock() - read_at + fresh.age_s > FRESH_S or not self.is_mine(report.name):
            return False
        order = Order(fresh.fence + 1, wanted.pools, wanted.versions, wanted.adapters)
        self.outstanding[report.name] = Outstanding(wanted, order.fence, self.clock())
        log.info(
            "placement_ordered",
            runner=report.name,
            fence=order.fence,
            pools=order.pools,
            versions=order.versions,
            adapters=order.adapters,
            before=fresh.pools,
        )
        self.send_order(report.name, order)
        return True

    def _is_same(self, report: RunnerReport, fresh: RunnerReport) -> bool:
        """Return whether a report read anew still allows what was decided on the older one."""
        unchanged = (report.pools, report.versions, report.adapters, report.fence) == (
            fresh.pools,
            fresh.versions,
            fresh.adapters,
            fresh.fence,
        )
        return unchanged and self._is_allowed(fresh)

    def _read_back(self, report: RunnerReport) -> None:
        order = self.outstanding.get(report.name)
        if order is None or self.clock() - report.age_s <= order.sent_at:
            return
        if is_in_force(report, order.wanted):
            outcome = "done"
        elif report.fence > order.fence:
            outcome = "superseded"
        elif self.clock() - order.sent_at > ORDER_TIMEOUT_S and not report.loading:
            outcome = "timeout"
        else:
            return
        del self.outstanding[report.name]
        log.info("placement_ended", runner=report.name, fence=order.fence, outcome=outcome)

    def _forget_missing(self, present: set[str]) -> None:
        for name in set(self.wanted_since) - present:
            del self.wanted_since[name]
        for name, order in list(self.outstanding.items()):
            if name not in present and self.clock() - order.sent_at > ORDER_TIMEOUT_S:
                del self.outstanding[name]
