"""Tests of spillover to another failure domain and of the budgets for bytes between regions."""

import pytest
import structlog

from balsamtally.contracts import Customer, Policy, RequestClass
from balsamtally.messages import Ask
from balsamtally.queues import PoolQueue, RunnerView
from balsamtally.spill import (
    BUDGET_BURST_S,
    PoolView,
    RegionBytes,
    SpilloverRouter,
    SpillRequest,
    view_queue,
)
from balsamtally.zones import FailureDomain, RegionLink

LOCAL = FailureDomain("rocha-a", "uy-east")
NEAR = FailureDomain("rocha-b", "uy-east")
FAR = FailureDomain("poa-a", "br-south")
LINK = RegionLink("br-south+uy-east", 30.0, 1_000_000)
LIVE = RequestClass("live", 0, 1400.0)
BATCH = RequestClass("batch", 3, 60000.0)
DUNES = Customer("dunes", (), (), region_bytes_per_s=50_000.0)
BUSY_LOCAL_VIEW = PoolView("rocha-a", wait_s=3.0, first_token_s=0.2)


class World:
    def __init__(self, policy=None, sharers=1):
        self.now = 10.0
        self.bytes = RegionBytes(lambda: self.now, lambda: sharers)
        self.spillover = SpilloverRouter(
            LOCAL, lambda *_: LINK, self.bytes, lambda: policy or Policy(), lambda: self.now
        )

    def choose(
        self, *others, request_class=LIVE, local_view=BUSY_LOCAL_VIEW, slack_s=1.4, size=40_000
    ):
        request = SpillRequest("r", request_class, DUNES, slack_s, 200, size)
        with structlog.testing.capture_logs():
            return self.spillover.choose_domain(request, local_view, others)


def view(domain, wait_s=0.0, first_token_s=0.2, free_slots=8, age_s=0.5):
    return domain, PoolView(domain.name, wait_s, first_token_s, free_slots, age_s)


@pytest.mark.parametrize(
    ("others", "options", "chosen"),
    [
        ([view(NEAR), view(FAR)], {}, NEAR),
        ([view(FAR), view(NEAR, wait_s=0.5)], {}, NEAR),
        ([view(NEAR, wait_s=2.0), view(FAR)], {}, FAR),
        ([view(FAR)], {"local_view": PoolView("rocha-a", 1.1, 0.2)}, None),
        ([view(FAR)], {"local_view": None}, FAR),
        ([view(FAR, wait_s=0.95)], {}, FAR),
        ([view(FAR, wait_s=1.0)], {}, None),
        ([view(FAR, age_s=6.0)], {}, None),
        ([view(FAR, free_slots=0)], {}, None),
        ([view(NEAR)], {"request_class": RequestClass("local", 0, 1400.0, spill=False)}, None),
    ],
)
def test_request_spills_only_if_it_misses_its_target_locally_and_meets_it_remotely(
    others, options, chosen
):
    assert World().choose(*others, **options) is chosen


def test_view_is_not_used_for_more_requests_than_its_free_slots():
    world = World()
    chosen = [world.choose(view(FAR, free_slots=3)) for _ in range(5)]
    assert chosen == [FAR] * 3 + [None] * 2
    world.now += 0.6
    assert world.choose(view(FAR, free_slots=1)) is FAR


def test_policy_weights_change_the_choice():
    medanos = Policy(live_weight=10.0, region_byte_weight=1.0)
    board = Policy(live_weight=0.2, goodput_weight=5.0, region_byte_weight=30.0)
    urgent_batch = {"request_class": BATCH, "slack_s": 1.4, "size": 300_000}
    assert World(medanos).choose(view(FAR), size=300_000) is FAR
    assert World(board).choose(view(FAR), size=300_000) is None
    assert World(board).choose(view(FAR), size=30_000) is FAR
    assert World(medanos).choose(view(FAR), **urgent_batch) is None
    assert World(board).choose(view(NEAR), **urgent_batch) is NEAR


def test_bytes_between_regions_are_counted_and_stay_within_the_budget():
    world = World(sharers=2)
    assert world.choose(view(FAR), size=200_000) is FAR
    world.bytes.count(DUNES, "live", LINK, 200_000)
    world.bytes.count(DUNES, "batch", LINK, 60_000)
    assert world.bytes.sent == {("dunes", "live"): 200_000, ("dunes", "batch"): 60_000}
    assert world.choose(view(FAR)) is None
    world.now += 3.0
    assert world.choose(view(FAR)) is FAR
    world.now += 1000.0
    assert world.choose(view(FAR), size=25_000 * BUDGET_BURST_S + 1) is None


def test_view_of_a_queue_counts_requests_ahead_and_preemptible_grants():
    classes = {"live": LIVE, "batch": RequestClass("batch", 3, 60000.0, preemptible=True)}
    now = [0.0]
    ignore = lambda *_: None  # noqa: E731
    queue = PoolQueue("m", classes.get, ignore, ignore, ignore, ignore, lambda: now[0])
    queue.set_runners([RunnerView("a", 4, running=0, report_age_s=0.0)])
    queue.lengths.observe("live", 100, 4.0)
    assert view_queue("rocha-a", queue, 0) == PoolView("rocha-a", 0.0, 0.0, 4)
    for number in range(3):
        queue.submit("vm", Ask(f"batch{number}", 1, "m", "dunes", "batch"))
    queue.submit("vm", Ask("live0", 1, "m", "dunes", "live"))
    assert view_queue("rocha-a", queue, 0) == PoolView("rocha-a", 0.0, 0.0, 0)
    assert view_queue("rocha-a", queue, 3).wait_s == pytest.approx(1.0)
    for number in range(1, 5):
        queue.submit("vm", Ask(f"live{number}", 1, "m", "dunes", "live"))
    assert view_queue("rocha-a", queue, 0).wait_s == pytest.approx(5.0)
    for number in range(3, 5):
        queue.submit("vm", Ask(f"batch{number}", 1, "m", "dunes", "batch"))
    assert view_queue("rocha-a", queue, 0).wait_s == pytest.approx(5.0)
    assert view_queue("rocha-a", queue, 3).wait_s == pytest.approx(7.0)
