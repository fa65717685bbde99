"""Placement of models, versions and adapters on model runners, by orders to the runners."""

import math
from collections.abc import Callable, Sequence

import msgspec

from balsamtally.contracts import Pool
from balsamtally.logs import log
from balsamtally.rendezvous import rank_members

MAX_FRESH_AGE_S = 1.0
ORDER_TIMEOUT_S = 60.0
MIN_DWELL_S = 120.0
STABLE_S = 10.0
TARGET_UTILIZATION = 0.8
MAX_DONOR_UTILIZATION = 0.6


class RunnerReport(msgspec.Struct, frozen=True):
    """A model runner's report of its placement.

    :ivar name: name of the runner
    :ivar pools: models that the runner serves
    :ivar versions: version of the weights of each model, in the order of ``pools``
    :ivar adapters: loaded adapters
    :ivar fence: fencing number of the last order that the runner accepted
    :ivar slots: answers that the runner generates concurrently
    :ivar running: answers in generation
    :ivar loading: whether the runner is carrying out an order
    :ivar leaving: whether the runner is draining before its removal
    :ivar unchanged_s: time since the placement last changed, in seconds
    :ivar age_s: age of this report, in seconds
    :ivar allowed: models that the runner may be ordered to serve, ``None`` for any
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
    """The demand of a pool.

    :ivar pool: the pool
    :ivar slots: slots that the requests of the pool use or wait for, smoothed
    """

    pool: Pool
    slots: float


class Order(msgspec.Struct, frozen=True):
    """An order with the complete desired state of a runner; applying it is idempotent.

    :ivar fence: fencing number, one higher than that of the last order the runner accepted
    :ivar pools: models to serve
    :ivar versions: version of the weights of each model
    :ivar adapters: adapters to load
    """

    fence: int
    pools: tuple[str, ...]
    versions: tuple[str, ...]
    adapters: tuple[str, ...]


class DesiredPlacement(msgspec.Struct, frozen=True):
    """The placement that a runner should have.

    :ivar pools: models to serve
    :ivar versions: version of the weights of each model
    :ivar adapters: adapters to load
    """

    pools: tuple[str, ...]
    versions: tuple[str, ...]
    adapters: tuple[str, ...]


class OutstandingOrder(msgspec.Struct, frozen=True):
    """An order whose effect hasn't been seen in a report yet.

    :ivar desired: the ordered placement
    :ivar fence: fencing number of the order
    :ivar sent_at: when the order was sent, in seconds of the clock
    """

    desired: DesiredPlacement
    fence: int
    sent_at: float


def is_applied(report: RunnerReport, desired: DesiredPlacement) -> bool:
    """Return whether a runner has the desired placement."""
    return (
        report.pools == desired.pools
        and report.versions == desired.versions
        and set(report.adapters) == set(desired.adapters)
    )


def plan_placement(
    needs: Sequence[PoolNeed], reports: Sequence[RunnerReport]
) -> dict[str, DesiredPlacement]:
    """Return the placement that each runner of a failure domain should have.

    The plan depends on its arguments alone, so that two entry VMs with the same view of the
    failure domain make the same plan. It moves at most one runner, from a pool that can spare
    a runner to the pool that is missing the most runners.

    :param needs: the demand of each pool
    :param reports: the report of each runner
    :return: the placement by name of the runner, without runners that are draining
    """
    pools = {need.pool.name: need.pool for need in needs}
    active = sorted(
        (report for report in reports if not report.leaving), key=lambda report: report.name
    )
    move = _choose_move(needs, active)
    plan = {}
    for report in active:
        names = report.pools
        if move is not None and move[0] == report.name:
            names = (move[1],)
        known = [pools[name] for name in names if name in pools]
        if known:
            plan[report.name] = _make_desired_placement(known)
    return plan


def may_serve(report: RunnerReport, pool: str) -> bool:
    """Return whether a runner may be ordered to serve a model.

    :param report: report of the runner
    :param pool: name of the model
    """
    return report.allowed is None or pool in report.allowed


def _make_desired_placement(pools: list[Pool]) -> DesiredPlacement:
    adapters = sorted({adapter for pool in pools for adapter in pool.adapters})
    return DesiredPlacement(
        tuple(pool.name for pool in pools),
        tuple(pool.version for pool in pools),
        tuple(adapters),
    )


def _choose_move(needs: Sequence[PoolNeed], active: list[RunnerReport]) -> tuple[str, str] | None:
    """Return the runner to move and its new pool, or ``None`` if no runner should move."""
    if any(report.loading for report in active):
        return None
    missing = {need.pool.name: _count_missing_runners(need, active) for need in needs}
    under_provisioned = [name for name, count in missing.items() if count > 0]
    if not under_provisioned:
        return None
    target = min(under_provisioned, key=lambda name: (-missing[name], name))
    donors = [
        report.name
        for need in needs
        if need.pool.name != target and _can_spare_runner(need, active)
        for report in active
        if report.pools == (need.pool.name,) and may_serve(report, target)
    ]
    if not donors:
        return None
    return rank_members(f"move/{target}", donors)[0], target


def _count_missing_runners(need: PoolNeed, active: list[RunnerReport]) -> int:
    serving = [report for report in active if need.pool.name in report.pools]
    slots = _find_min_slots(active)
    desired = max(need.pool.min_runners, math.ceil(need.slots / (slots * TARGET_UTILIZATION)))
    return desired - len(serving)


def _can_spare_runner(need: PoolNeed, active: list[RunnerReport]) -> bool:
    """Return whether the pool stays below ``MAX_DONOR_UTILIZATION`` with one runner less."""
    left = sum(1 for report in active if need.pool.name in report.pools) - 1
    return (
        left >= need.pool.min_runners
        and need.slots <= left * _find_min_slots(active) * MAX_DONOR_UTILIZATION
    )


def _find_min_slots(active: list[RunnerReport]) -> int:
    return max(1, min((report.slots for report in active), default=1))


class Placement:
    """Plans the placement of the runners that this entry VM is responsible for, and orders it.

    Having one responsible entry VM per runner saves work, but safety doesn't depend on it. An
    engine that honours fencing numbers refuses the older of two orders. For an engine that
    ignores them, every order contains the complete state, is sent only if a report read just
    before still allows it, and equals the order of any other entry VM with the same view.

    :param is_responsible: returns whether this entry VM decides about a runner
    :param read_report: reads a new report of a runner, ``None`` if the runner is unreachable
    :param send_order: sends an order, without a result that tells whether it took effect
    :param clock: monotonic clock in seconds
    :param max_loading: largest number of runners of the failure domain that load concurrently:
        the domain's share of the weight store's throughput, divided by that of one load
    """

    def __init__(
        self,
        is_responsible: Callable[[str], bool],
        read_report: Callable[[str], RunnerReport | None],
        send_order: Callable[[str, Order], None],
        clock: Callable[[], float],
        max_loading: int = 1,
    ):
        self.is_responsible = is_responsible
        self.read_report = read_report
        self.send_order = send_order
        self.clock = clock
        self.max_loading = max_loading
        self.loading = 0
        self.outstanding: dict[str, OutstandingOrder] = {}
        self.desired_since: dict[str, tuple[DesiredPlacement, float]] = {}

    def step(self, needs: Sequence[PoolNeed], reports: Sequence[RunnerReport]) -> None:
        """Compare the plan with the reports and send the orders that are due.

        :param needs: the demand of each pool of the failure domain
        :param reports: the last report of each runner of the failure domain
        """
        plan = plan_placement(needs, reports)
        self.loading = sum(1 for report in reports if report.loading)
        for report in sorted(reports, key=lambda report: report.name):
            self._check_outcome(report)
            desired = plan.get(report.name)
            if desired is None or is_applied(report, desired):
                self.desired_since.pop(report.name, None)
                continue
            if not self._is_due(report, desired) or self.loading >= self.max_loading:
                continue
            if self._send(report, desired):
                self.loading += 1
        self._forget_unreported({report.name for report in reports})

    def list_draining(self) -> list[str]:
        """Return the runners that must drain, since they can take an order only when idle.

        :return: names of the runners, at most as many as may start to load
        """
        now = self.clock()
        due = sorted(
            name
            for name, (_, since) in self.desired_since.items()
            if now - since >= STABLE_S and name not in self.outstanding
        )
        return due[: max(0, self.max_loading - self.loading)]

    def _is_due(self, report: RunnerReport, desired: DesiredPlacement) -> bool:
        if not self.is_responsible(report.name):
            self.desired_since.pop(report.name, None)
            return False
        now = self.clock()
        held, since = self.desired_since.get(report.name, (None, now))
        if held != desired:
            self.desired_since[report.name] = (desired, now)
            return False
        return now - since >= STABLE_S and self._is_ready_for_order(report)

    def _is_ready_for_order(self, report: RunnerReport) -> bool:
        """Return whether a runner may be sent an order now, whatever its content."""
        return (
            report.name not in self.outstanding
            and not report.leaving
            and not report.loading
            and report.running == 0
            and report.unchanged_s >= MIN_DWELL_S
        )

    def _send(self, report: RunnerReport, desired: DesiredPlacement) -> bool:
        read_at = self.clock()
        fresh = self.read_report(report.name)
        if fresh is None or not self._is_unchanged(report, fresh):
            return False
        if self.clock() - read_at + fresh.age_s > MAX_FRESH_AGE_S or not self.is_responsible(
            report.name
        ):
            return False
        order = Order(fresh.fence + 1, desired.pools, desired.versions, desired.adapters)
        self.outstanding[report.name] = OutstandingOrder(desired, order.fence, self.clock())
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

    def _is_unchanged(self, report: RunnerReport, fresh: RunnerReport) -> bool:
        """Return whether a new report still allows the order decided on an older report."""
        unchanged = (report.pools, report.versions, report.adapters, report.fence) == (
            fresh.pools,
            fresh.versions,
            fresh.adapters,
            fresh.fence,
        )
        return unchanged and self._is_ready_for_order(fresh)

    def _check_outcome(self, report: RunnerReport) -> None:
        order = self.outstanding.get(report.name)
        if order is None or self.clock() - report.age_s <= order.sent_at:
            return
        if is_applied(report, order.desired):
            outcome = "done"
        elif report.fence > order.fence:
            outcome = "superseded"
        elif self.clock() - order.sent_at > ORDER_TIMEOUT_S and not report.loading:
            outcome = "timeout"
        else:
            return
        del self.outstanding[report.name]
        log.info("placement_ended", runner=report.name, fence=order.fence, outcome=outcome)

    def _forget_unreported(self, reported: set[str]) -> None:
        for name in set(self.desired_since) - reported:
            del self.desired_since[name]
        for name, order in list(self.outstanding.items()):
            if name not in reported and self.clock() - order.sent_at > ORDER_TIMEOUT_S:
                del self.outstanding[name]
