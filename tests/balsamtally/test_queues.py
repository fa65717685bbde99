"""Tests of the queue of a pool: shares, order, shedding, preemption, leases and timeouts."""

import random

import pytest
import structlog

from balsamtally.contracts import RequestClass
from balsamtally.messages import Release, Renew, Withdraw
from balsamtally.queues import RunnerView
from tests.balsamtally.queue_world import CLASSES, WEIGHTS, World


@pytest.fixture(autouse=True, scope="module")
def quiet_logs():
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    yield
    structlog.reset_defaults()


def run_saturated(world, seconds, offer, held_s=4.0):
    """Serve requests for a time and return each grant with the time at which it was made."""
    running = []
    granted = []
    for step in range(int(seconds / 0.05)):
        for until, message in [item for item in running if item[0] <= world.now]:
            running.remove((until, message))
            world.queue.release("vm1", Release(message.grant, "m", 100, 0.2))
        offer(step)
        world.advance(0.05)
        grants = world.pop_sent("Grant")
        world.sent.clear()
        for message in grants:
            running.append((world.now + held_s, message))
            granted.append((world.now, message))
    return granted


def test_each_class_gets_its_share_under_a_flood_of_higher_tiers():
    world = World(runners=[("a", 8)])
    world.expire_adoption_period()

    def offer(step):
        for name in CLASSES:
            world.ask(f"{name}-{step}", name)

    granted = run_saturated(world, 300.0, offer)
    batch = [when for when, message in granted if message.request.startswith("batch")]
    waits = [later - sooner for sooner, later in zip(batch, batch[1:], strict=False)]
    # 0.1 of 8 slots, less a quantum of one slot second and one answer of 4 s
    assert len(batch) * 4.0 >= 0.1 * 8 * 300.0 - 1.0 - 4.0
    # debt of 10 s, yield of 5 s, one quantum earned at 0.8 slots, and an answer of 4 s
    assert max(waits) <= 10.0 + 5.0 + 1.0 / 0.8 + 4.0
    live = [message for _, message in granted if message.request.startswith("live")]
    assert len(live) / len(granted) >= 0.6


class NaiveFairQueue:
    """Start-time fair queueing by a scan of every waiting request."""

    def __init__(self):
        self.waiting = []
        self.finish = {}
        self.virtual_time = 0.0

    def add(self, request, customer):
        if not any(name == customer for _, name in self.waiting):
            self.finish[customer] = max(self.virtual_time, self.finish.get(customer, 0.0))
        self.waiting.append((request, customer))

    def pop(self, expected):
        heads = {}
        for request, customer in self.waiting:
            heads.setdefault(customer, request)
        least = min(self.finish[customer] for customer in heads)
        tied = {heads[name]: name for name in heads if self.finish[name] <= least + 1e-9}
        assert expected in tied
        customer = tied[expected]
        self.virtual_time = self.finish[customer]
        self.finish[customer] += 1.0 / WEIGHTS[customer]
        self.waiting.remove((expected, customer))


@pytest.mark.parametrize("seed", range(20))
def test_order_is_that_of_a_naive_sorted_policy(seed):
    draw = random.Random(seed)
    classes = {
        name: RequestClass(name, tier, 1e9, share=0.0, max_wait_s=1e9)
        for name, tier in (("live", 0), ("desk", 1), ("batch", 3))
    }
    world = World(runners=[("a", 1)], classes=classes)
    world.expire_adoption_period()
    world.ask("first")
    naive_queues = {name: NaiveFairQueue() for name in classes}
    naive_queues["live"].add("first", "ana")
    naive_queues["live"].pop("first")
    (busy,) = world.pop_sent("Grant")
    for number in range(300):
        if draw.random() < 0.6:
            name, customer = draw.choice(sorted(classes)), draw.choice(sorted(WEIGHTS))
            world.ask(f"r{number}", name, customer)
            naive_queues[name].add(f"r{number}", customer)
        elif world.queue.queued:
            world.queue.release("vm1", Release(busy.grant, "m"))
            (busy,) = world.pop_sent("Grant")
            highest = next(queue for queue in naive_queues.values() if queue.waiting)
            highest.pop(busy.request)


def test_customers_share_a_class_by_weight():
    world = World(runners=[("a", 4)])
    world.expire_adoption_period()
    counts = dict.fromkeys(WEIGHTS, 0)

    def offer(step):
        for customer in WEIGHTS:
            for copy in range(5 if customer == "tito" else 1):
                world.ask(f"{customer}-{step}-{copy}", "desk", customer)

    for _, message in run_saturated(world, 200.0, offer, held_s=1.0):
        counts[message.request.split("-")[0]] += 1
    assert counts["rupa"] == pytest.approx(2 * counts["ana"], rel=0.05)
    assert counts["ana"] == pytest.approx(2 * counts["tito"], rel=0.05)


def test_full_queue_sheds_the_lowest_tier_first_and_live_never_for_it():
    world = World(runners=[("a", 1)], max_queued=4)
    world.expire_adoption_period()
    world.ask("running")
    for number in range(2):
        world.ask(f"batch{number}", "batch")
        world.ask(f"desk{number}", "desk")
    for number in range(5):
        world.ask(f"live{number}")
    shed = [message.request for message in world.pop_sent("Refuse")]
    assert shed == ["batch1", "batch0", "desk1", "desk0", "live4"]
    world.ask("late-batch", "batch")
    assert [message.request for message in world.pop_sent("Refuse")] == ["late-batch"]


def test_flooding_customer_is_the_one_that_is_shed():
    world = World(runners=[("a", 1)])
    world.expire_adoption_period()
    world.ask("running")
    world.ask("small", "desk", "ana")
    for number in range(20):
        world.ask(f"flood{number}", "desk", "rupa")
    assert "small" in world.queue.queued
    assert all(message.request.startswith("flood") for message in world.pop_sent("Refuse"))


def test_overdue_request_is_served_after_requests_that_can_meet_the_target():
    world = World(runners=[("a", 1)])
    world.expire_adoption_period()
    world.ask("running")
    (busy,) = world.pop_sent("Grant")
    world.ask("old")
    world.advance(1.5)
    world.ask("new")
    world.queue.release("vm1", Release(busy.grant, "m"))
    (busy,) = world.pop_sent("Grant")
    assert busy.request == "new"
    world.queue.release("vm1", Release(busy.grant, "m"))
    assert world.pop_sent("Grant")[0].request == "old"


def fill_with_batch(world, count, **fields):
    for number in range(count):
        world.advance(0.2)
        world.ask(f"batch{number}", "batch", **fields)
    return {message.request: message for message in world.pop_sent("Grant")}


def test_preempts_the_least_work_only_when_a_live_target_would_be_missed():
    world = World(runners=[("a", 3)])
    world.expire_adoption_period()
    grants = fill_with_batch(world, 3)
    world.ask("desk", "desk")
    world.advance(3.9)
    assert world.pop_sent("Revoke") == []
    world.ask("live")
    world.advance(0.9)
    assert world.pop_sent("Revoke") == []
    world.advance(0.2)
    world.advance(0.05)
    (revoked,) = world.pop_sent("Revoke")
    assert revoked.request == "batch2"
    world.queue.release("vm1", Release(grants["batch2"].grant, "m"))
    assert world.pop_sent("Grant")[0].request == "live"


def test_revocation_that_is_not_answered_does_not_hold_up_the_next():
    world = World(runners=[("a", 2)])
    world.expire_adoption_period()
    fill_with_batch(world, 2)
    world.ask("live1")
    world.advance(1.05)
    assert [message.request for message in world.pop_sent("Revoke")] == ["batch1"]
    world.advance(0.9)
    world.ask("live2")
    world.advance(1.05)
    assert [message.request for message in world.pop_sent("Revoke")] == ["batch0"]


def test_request_is_preempted_a_bounded_number_of_times():
    world = World(runners=[("a", 2)])
    world.expire_adoption_period()
    fill_with_batch(world, 1, preemptions=2)
    world.ask("preempted-once", "batch", preemptions=1)
    for number in range(4):
        world.ask(f"live{number}")
    world.advance(1.1)
    assert [message.request for message in world.pop_sent("Revoke")] == ["preempted-once"]


def test_guaranteed_grant_is_not_preempted():
    classes = dict(CLASSES, batch=RequestClass("batch", 3, 6e4, share=0.9, preemptible=True))
    world = World(runners=[("a", 1)], classes=classes)
    world.expire_adoption_period()
    world.ask("live")
    (busy,) = world.pop_sent("Grant")
    world.ask("batch", "batch")
    world.advance(1.3)
    world.ask("live2")
    world.queue.release("vm1", Release(busy.grant, "m"))
    assert world.pop_sent("Grant")[0].request == "batch"
    world.advance(1.1)
    assert world.pop_sent("Revoke") == []


def test_new_coordinator_counts_the_grants_of_the_old_one():
    old, new = World([("a", 4)], seed=1), World([("a", 4)], seed=2)
    old.expire_adoption_period()
    for number in range(4):
        old.ask(f"old{number}")
    held = tuple(message.grant for message in old.pop_sent("Grant"))
    for number in range(6):
        new.ask(f"new{number}")
    assert len(new.pop_sent("Grant")) == 2
    new.queue.renew("vm1", Renew("m", held))
    new.queue.renew("vm1", Renew("m", held))
    assert new.queue.loads.runners["a"].in_use == 6
    new.advance(2.0)
    assert new.pop_sent("Grant") == []
    for grant in held[:3]:
        new.queue.release("vm1", Release(grant, "m"))
        new.queue.renew("vm1", Renew("m", (grant,)))
    assert new.queue.loads.runners["a"].in_use == 3


def test_delayed_report_neither_hides_nor_double_counts_grants():
    world = World(runners=[("a", 4)])
    world.expire_adoption_period()
    for number in range(3):
        world.ask(f"r{number}")
    world.advance(0.5)
    held = [message.grant for message in world.pop_sent("Grant")]
    world.queue.release("vm1", Release(held[0], "m"))
    runner = world.queue.loads.runners["a"]
    for running, age_s, expected in ((3, 0.5, 0), (0, 1.5, 0), (4, 0.3, 1), (9, 0.9, 1), (2, 0, 0)):
        world.queue.set_runners([RunnerView("a", 4, running=running, report_age_s=age_s)])
        assert runner.used_by_others == expected
    assert runner.count_free(world.now, learning=False) == 2
    world.advance(1.0)
    for grant in held[1:]:
        world.queue.release("vm1", Release(grant, "m"))
    world.advance(1.0)
    world.queue.set_runners([RunnerView("a", 4, running=2, report_age_s=0.0)])
    assert runner.used_by_others == 0
    assert world.queue.lengths.samples == 0


def test_request_waits_for_a_runner_that_has_not_failed_it():
    world = World(runners=[("a", 1), ("b", 1)])
    world.expire_adoption_period()
    world.ask("running", excluded=("b",))
    world.ask("restricted", excluded=("b",))
    world.ask("unrestricted")
    world.ask("excludes-all", excluded=("a", "b"))
    grants = {message.request: message.runner for message in world.pop_sent("Grant")}
    assert grants == {"running": "a", "unrestricted": "b"}
    world.advance(2.0)
    for request in ("running", "restricted"):
        held = world.queue.grants.by_request[request]
        world.queue.release("vm1", Release(held.name, "m"))
    assert [message.request for message in world.pop_sent("Grant")] == [
        "restricted",
        "excludes-all",
    ]


def test_request_is_refused_after_its_longest_wait():
    world = World(runners=[("a", 1)])
    world.expire_adoption_period()
    world.ask("running")
    (busy,) = world.pop_sent("Grant")
    world.ask("waiting", waited_s=5.0)
    for _ in range(14):
        world.queue.renew("vm1", Renew("m", (busy.grant,)))
        world.advance(1.0)
    assert world.pop_sent("Refuse") == []
    world.advance(1.0)
    (refusal,) = world.pop_sent("Refuse")
    assert (refusal.request, refusal.error.type) == ("waiting", "QueueTimeout")
    assert refusal.error.outcome == "not_run"


def test_request_that_would_time_out_is_refused_early_unless_in_tier_0():
    world = World(
        runners=[("a", 2)],
        classes={
            name: RequestClass(name, tier, 1000.0, share=0.02, max_wait_s=20.0)
            for tier, name in enumerate(("live", "batch"))
        },
    )
    world.expire_adoption_period()

    def offer(step):
        if step < 400:
            world.ask(f"r{step}", "batch" if step % 2 else "live")

    run_saturated(world, 30.0, offer, held_s=2.0)
    for name in ("live", "batch"):
        for number in range(60):
            world.ask(f"{name}{number}", name)
    refused = world.pop_sent("Refuse")
    assert {refusal.error.type for refusal in refused} == {"TargetHopeless"}
    assert all(refusal.request.startswith("batch") for refusal in refused)


def test_started_request_is_served_first_in_its_class_and_is_never_refused():
    world = World(runners=[("a", 1)], max_queued=8)
    world.expire_adoption_period()
    world.ask("running")
    (busy,) = world.pop_sent("Grant")
    for number in range(6):
        world.ask(f"new{number}", "batch")
    for number in range(7):
        world.ask(f"started{number}", "batch", attempt=2, preemptions=1, waited_s=500.0)
    for _ in range(100):
        world.queue.renew("vm1", Renew("m", (busy.grant,)))
        world.advance(1.0)
    refused = {message.request for message in world.pop_sent("Refuse")}
    assert refused == {f"new{number}" for number in range(6)}
    world.ask("newest", "batch")
    world.queue.release("vm1", Release(busy.grant, "m"))
    assert world.pop_sent("Grant")[0].request == "started0"


def test_adopted_grant_is_not_also_counted_as_used_by_others():
    old, new = World([("a", 4)], seed=1), World([("a", 4)], seed=2)
    old.expire_adoption_period()
    for number in range(2):
        old.ask(f"old{number}")
    new.queue.set_runners([RunnerView("a", 4, running=2, report_age_s=0.5)])
    new.queue.renew("vm1", Renew("m", tuple(message.grant for message in old.pop_sent("Grant"))))
    for number in range(4):
        new.ask(f"new{number}")
    assert len(new.pop_sent("Grant")) == 2


def test_delayed_duplicate_of_an_older_attempt_is_not_granted():
    world = World(runners=[("a", 4)])
    world.expire_adoption_period()
    world.ask("r", attempt=1)
    world.ask("r", attempt=2, preemptions=1)
    assert [message.attempt for message in world.pop_sent("Grant")] == [1, 2]
    world.ask("r", attempt=1)
    world.ask("r", attempt=2, preemptions=1)
    assert [message.attempt for message in world.pop_sent("Grant")] == [2]
    assert world.queue.loads.runners["a"].in_use == 2


def test_retry_after_a_withdrawn_attempt_is_granted():
    world = World()
    world.expire_adoption_period()
    world.queue.withdraw("vm1", Withdraw("r1", "m", attempt=1))
    world.ask("r1", attempt=2)
    [grant] = world.pop_sent("Grant")
    assert (grant.request, grant.attempt) == ("r1", 2)


def test_withdrawal_of_an_earlier_attempt_that_arrives_late_ends_no_later_one():
    world = World(runners=(("a", 1),))
    world.expire_adoption_period()
    world.ask("busy")
    world.ask("r1", attempt=2)
    world.queue.withdraw("vm1", Withdraw("r1", "m", attempt=1))
    assert "r1" in world.queue.queued
    world.queue.withdraw("vm1", Withdraw("r1", "m", attempt=2))
    assert "r1" not in world.queue.queued
    world.ask("r1", attempt=2)
    assert "r1" not in world.queue.queued
