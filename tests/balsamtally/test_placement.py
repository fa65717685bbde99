"""Tests of placement by two placers, with lost and delayed orders, on a virtual clock."""

from collections import Counter

import msgspec
import pytest
import structlog
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamtally.contracts import Pool
from balsamtally.placement import (
    MIN_DWELL_S,
    STABLE_S,
    Placement,
    PoolNeed,
    RunnerReport,
    plan_placement,
)

LOAD_S = 15.0
POOLS = {"x": Pool("x", version="1", min_runners=1), "y": Pool("y", version="1", min_runners=1)}


@pytest.fixture(autouse=True, scope="module")
def quiet_logs():
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    yield
    structlog.reset_defaults()


class FakeRunner:
    """A runner that applies orders, with or without support for fencing numbers."""

    def __init__(self, world, name, pool, fencing):
        self.world = world
        self.report = RunnerReport(name, (pool,), ("1",), unchanged_s=0.0)
        self.changed_at = world.now - MIN_DWELL_S
        self.fencing = fencing
        self.accepted = []
        self.pending = None

    def read(self):
        if self.pending is not None and self.world.now >= self.pending[1]:
            order, self.pending = self.pending[0], None
            self.changed_at = self.world.now
            self.report = msgspec.structs.replace(
                self.report,
                pools=order.pools,
                versions=order.versions,
                adapters=order.adapters,
                loading=False,
            )
        age = self.world.now - self.changed_at
        self.report = msgspec.structs.replace(self.report, unchanged_s=age)
        return self.report

    def apply(self, order):
        self.read()
        if self.fencing and order.fence <= self.report.fence:
            return
        self.accepted.append(order)
        fence = max(order.fence, self.report.fence)
        if order.pools == self.report.pools and order.versions == self.report.versions:
            self.report = msgspec.structs.replace(self.report, fence=fence)
            return
        self.pending = (order, self.world.now + LOAD_S)
        remaining = tuple(pool for pool in self.report.pools if pool in order.pools)
        self.report = msgspec.structs.replace(
            self.report,
            fence=fence,
            loading=True,
            pools=remaining,
            versions=("1",) * len(remaining),
        )


class World:
    """A failure domain with several runners and two placers."""

    def __init__(self, fencing=True, pools="xxxy", max_loading=1):
        self.now = 1000.0
        self.runners = {
            f"r{number}": FakeRunner(self, f"r{number}", pool, fencing)
            for number, pool in enumerate(pools)
        }
        self.needs = [PoolNeed(pool, 0.0) for pool in POOLS.values()]
        self.responsible = {0: True, 1: True}
        self.delayed = []
        self.fate = "sent"
        self.stale = {0: self.read_all(), 1: self.read_all()}
        self.placers = [self.make_placer(number, max_loading) for number in range(2)]

    def make_placer(self, number, max_loading):
        return Placement(
            lambda name: self.responsible[number],
            lambda name: None if self.fate == "unreadable" else self.runners[name].read(),
            lambda name, order: self.send(name, order),
            lambda: self.now,
            max_loading,
        )

    def read_all(self):
        return [(self.now, runner.read()) for runner in self.runners.values()]

    def send(self, name, order):
        report = self.runners[name].read()
        assert not report.leaving and not report.loading and report.running == 0
        assert report.unchanged_s >= MIN_DWELL_S
        if self.fate == "delayed":
            self.delayed.append((name, order))
        elif self.fate == "sent":
            self.runners[name].apply(order)

    def step(self, number):
        reports = [
            msgspec.structs.replace(report, age_s=self.now - read_at)
            for read_at, report in self.stale[number]
        ]
        self.placers[number].step(self.needs, reports)

    def run(self, seconds):
        for _ in range(int(seconds)):
            self.now += 1.0
            for number in range(2):
                self.stale[number] = self.read_all()
                self.step(number)

    def count_pools(self):
        held = Counter()
        for runner in self.runners.values():
            report = runner.read()
            target = runner.pending[0].pools if runner.pending else report.pools
            held.update(target)
        return held


class PlacementMachine(RuleBasedStateMachine):
    """Two placers for every runner, stale reports, and orders that are lost or delayed."""

    fencing = True

    def __init__(self):
        super().__init__()
        self.world = World(self.fencing)

    @rule(number=st.sampled_from([0, 1]), seconds=st.sampled_from([1.0, 5.0, 60.0]))
    def step(self, number, seconds):
        self.world.now += seconds
        self.world.step(number)

    @rule(number=st.sampled_from([0, 1]))
    def receive_reports(self, number):
        self.world.stale[number] = self.world.read_all()

    @rule(number=st.sampled_from([0, 1]), responsible=st.booleans())
    def change_members(self, number, responsible):
        self.world.responsible[number] = responsible

    @rule(x=st.sampled_from([0.0, 4.0, 14.0, 30.0]), y=st.sampled_from([0.0, 4.0, 14.0, 30.0]))
    def change_needs(self, x, y):
        self.world.needs = [PoolNeed(POOLS["x"], x), PoolNeed(POOLS["y"], y)]

    @rule(fate=st.sampled_from(["sent", "lost", "delayed", "unreadable"]))
    def change_fate(self, fate):
        self.world.fate = fate

    @rule()
    def deliver_delayed(self):
        for name, order in self.world.delayed:
            self.world.runners[name].apply(order)
        self.world.delayed.clear()

    @rule(
        name=st.sampled_from(["r0", "r3"]), running=st.sampled_from([0, 3]), leaving=st.booleans()
    )
    def change_runner(self, name, running, leaving):
        runner = self.world.runners[name]
        runner.report = msgspec.structs.replace(runner.read(), running=running, leaving=leaving)

    @invariant()
    def fences_increase(self):
        for runner in self.world.runners.values():
            fences = [order.fence for order in runner.accepted]
            if runner.fencing:
                assert fences == sorted(set(fences))

    def teardown(self):
        """After the faults end, the demand is met and no order is outstanding."""
        world = self.world
        world.fate = "sent"
        self.deliver_delayed()
        world.responsible = {0: True, 1: True}
        for runner in world.runners.values():
            runner.report = msgspec.structs.replace(runner.read(), running=0, leaving=False)
        world.needs = [PoolNeed(POOLS["x"], 0.0), PoolNeed(POOLS["y"], 14.0)]
        world.run(3 * (MIN_DWELL_S + STABLE_S + LOAD_S + 60.0))
        assert world.count_pools()["y"] >= 3
        assert world.count_pools()["x"] >= 1
        orders = sum(len(runner.accepted) for runner in world.runners.values())
        world.run(300.0)
        assert sum(len(runner.accepted) for runner in world.runners.values()) == orders
        assert not any(placer.outstanding for placer in world.placers)


class UnfencedMachine(PlacementMachine):
    fencing = False


options = settings(max_examples=15, stateful_step_count=40)
PlacementMachine.TestCase.settings = options
UnfencedMachine.TestCase.settings = options
TestFenced = PlacementMachine.TestCase
TestUnfenced = UnfencedMachine.TestCase


def test_two_placers_move_one_runner_once():
    for fencing in (True, False):
        world = World(fencing, max_loading=2)
        world.needs = [PoolNeed(POOLS["x"], 12.0), PoolNeed(POOLS["y"], 10.0)]
        world.run(100)
        assert world.count_pools() == {"x": 3, "y": 1}
        world.needs = [PoolNeed(POOLS["x"], 4.0), PoolNeed(POOLS["y"], 10.0)]
        world.run(STABLE_S - 2)
        assert world.count_pools() == {"x": 3, "y": 1}
        world.run(400)
        assert world.count_pools() == {"x": 2, "y": 2}
        assert sum(len(runner.accepted) for runner in world.runners.values()) == 1


def test_short_demand_peak_moves_nothing_and_min_runners_stay():
    world = World()
    for _ in range(20):
        world.needs = [PoolNeed(POOLS["x"], 0.0), PoolNeed(POOLS["y"], 30.0)]
        world.run(STABLE_S - 3)
        world.needs = [PoolNeed(POOLS["x"], 15.0), PoolNeed(POOLS["y"], 4.0)]
        world.run(3)
    assert world.count_pools() == {"x": 3, "y": 1}
    world.needs = [PoolNeed(POOLS["x"], 0.0), PoolNeed(POOLS["y"], 99.0)]
    world.run(1000)
    assert world.count_pools() == {"x": 1, "y": 3}


def test_new_version_is_loaded_by_one_runner_at_a_time():
    world = World()
    pool = Pool("x", version="2", adapters=("forms",))
    world.needs = [PoolNeed(pool, 12.0), PoolNeed(POOLS["y"], 4.0)]
    busy = world.runners["r1"]
    busy.report = msgspec.structs.replace(busy.read(), running=2)
    for _ in range(200):
        world.run(1)
        loading = sum(1 for runner in world.runners.values() if runner.read().loading)
        draining = world.placers[0].list_draining()
        assert loading + len(draining) <= 1
    assert draining == ["r1"]
    versions = {name: runner.read().versions for name, runner in world.runners.items()}
    assert versions == {"r0": ("2",), "r1": ("1",), "r2": ("2",), "r3": ("1",)}
    assert world.runners["r0"].read().adapters == ("forms",)


def test_plan_omits_a_draining_runner():
    reports = [RunnerReport("a", ("x",), ("0",), leaving=True), RunnerReport("b", ("x",), ("0",))]
    assert set(plan_placement([PoolNeed(POOLS["x"], 1.0)], reports)) == {"b"}


class Harness:
    """One placer for one runner that should change its version."""

    def __init__(self):
        self.now = 1000.0
        self.report = RunnerReport("a", ("x",), ("0",), fence=4)
        self.fresh = self.report
        self.responsible = True
        self.read_s = 0.0
        self.loses_role = False
        self.orders = []
        self.placement = Placement(
            lambda _: self.responsible,
            self.read,
            lambda _, order: self.orders.append(order),
            self.clock,
        )
        self.step(0.0)

    def clock(self):
        return self.now

    def read(self, _):
        self.now += self.read_s
        self.responsible = self.responsible and not self.loses_role
        return self.fresh

    def step(self, seconds, **changes):
        self.now += seconds
        self.report = msgspec.structs.replace(self.report, **changes)
        self.placement.step([PoolNeed(POOLS["x"], 1.0)], [self.report])
        return [order.fence for order in self.orders]


CHANGES = [
    {"leaving": True},
    {"loading": True},
    {"running": 1},
    {"unchanged_s": MIN_DWELL_S - 1.0},
]


@pytest.mark.parametrize("changes", [*CHANGES, {"fence": 5}, {"pools": ("y",)}, {"age_s": 1.1}])
def test_no_order_if_the_runner_changed_since_its_report(changes):
    harness = Harness()
    harness.fresh = msgspec.structs.replace(harness.report, **changes)
    assert harness.step(STABLE_S) == []
    harness.fresh = harness.report
    assert harness.step(1.0) == [5]


@pytest.mark.parametrize("changes", CHANGES)
def test_no_order_while_the_runner_is_not_ready(changes):
    harness = Harness()
    assert harness.step(STABLE_S, **changes) == []


def test_no_order_after_a_pause_between_read_and_send():
    harness = Harness()
    harness.read_s = 1.5
    assert harness.step(STABLE_S) == []


def test_no_order_by_a_daemon_that_is_no_longer_responsible():
    harness = Harness()
    harness.responsible = False
    assert harness.step(STABLE_S) == []
    harness.responsible = True
    assert harness.step(1.0) == []
    harness.loses_role = True
    assert harness.step(STABLE_S) == []
    harness.loses_role, harness.responsible = False, True
    assert harness.step(STABLE_S) == [5]


def test_lost_order_is_sent_again_only_after_its_timeout_with_a_new_fencing_number():
    harness = Harness()
    harness.step(STABLE_S)
    for _ in range(11):
        assert harness.step(5.0) == [5]
    harness.fresh = msgspec.structs.replace(harness.fresh, fence=5)
    harness.step(10.0, fence=5)
    assert harness.step(STABLE_S) == [5, 6]


def test_effect_is_read_from_a_report_made_after_the_order():
    harness = Harness()
    harness.step(STABLE_S)
    harness.step(1.0, versions=("1",), age_s=2.0)
    assert harness.placement.outstanding
    harness.step(0.5, age_s=0.1)
    assert not harness.placement.outstanding


def test_order_is_superseded_by_a_higher_fencing_number():
    harness = Harness()
    harness.step(STABLE_S)
    harness.step(1.0, fence=6, loading=True)
    assert not harness.placement.outstanding
