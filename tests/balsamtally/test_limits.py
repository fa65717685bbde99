"""Tests of distributed limits: their accuracy, and their behaviour in network partitions."""

from random import Random

import pytest

from balsamtally.contracts import Customer, RequestClass
from balsamtally.errors import ClassLimited, CustomerLimited, PeerTimeout
from balsamtally.limits import Limits
from balsamtally.tickets import Ticket
from tests.balsamtally.fake_network import FakeNetwork, NodeLinks

LAYOUT = {"a1": "a", "a2": "a", "a3": "a", "a4": "a", "b1": "b", "b2": "b"}
LIMIT = 100.0
TICK_S = 0.05
TICKS_PER_S = 20
SETTLE_S = 20


class Fleet:
    """Entry VMs on a fake network that admit requests of one customer."""

    def __init__(self, limit=LIMIT):
        self.network = FakeNetwork(LAYOUT, seed=3)
        self.random = Random(5)
        self.customer = Customer("dunas", (), ("live",), requests_per_s=limit, tokens_per_s=limit)
        self.classes = RequestClass("live", 0, 1400, requests_per_s=limit)
        self.limits = {}
        for name, node in self.network.nodes.items():
            node.facts.accept(Ticket(1, 1, "ana", (self.customer, self.classes)))
            self.limits[name] = Limits(
                node.facts, node.members, node.links, lambda: self.network.now
            )
        for _ in range(SETTLE_S):
            self.network.step()

    def run(self, seconds, rates):
        """Offer requests at a rate for each VM and return the number admitted per second."""
        admitted = 0
        for _ in range(seconds):
            for _ in range(TICKS_PER_S):
                self.network.now += TICK_S
                admitted += sum(self.offer(name, rate) for name, rate in rates.items())
            self.network.step(0.0)
            for limits in self.limits.values():
                limits.refill()
                limits.exchange()
        return admitted / seconds

    def offer(self, name, rate):
        offered = int(rate * TICK_S + self.random.random())
        return sum(self.try_take(name) for _ in range(offered))

    def try_take(self, name):
        try:
            self.limits[name].take(self.customer)
        except CustomerLimited as error:
            assert error.retry_after_s > 0
            return 0
        return 1


@pytest.mark.parametrize(
    "rates",
    [
        {"a1": 300.0},
        {"a1": 270.0, "b2": 30.0},
        {"a1": 50.0, "a2": 50.0, "a3": 50.0, "a4": 50.0, "b1": 50.0, "b2": 50.0},
        {"a1": 200.0, "a2": 1.0, "b1": 100.0},
    ],
)
def test_limit_holds_under_skewed_demand(rates):
    fleet = Fleet()
    fleet.run(5, rates)
    assert fleet.run(60, rates) == pytest.approx(LIMIT, rel=0.05)


def test_demand_below_the_limit_is_admitted_at_any_vm():
    fleet = Fleet()
    fleet.run(5, {"a2": 80.0})
    assert fleet.run(30, {"a2": 80.0}) >= 78.0


def test_burst_of_half_a_second_passes_after_an_idle_period():
    fleet = Fleet()
    for _ in range(int(0.5 * LIMIT / len(LAYOUT))):
        assert all(fleet.try_take(name) for name in LAYOUT)


def test_demand_that_starts_at_all_vms_at_once_is_soon_limited():
    fleet = Fleet()
    admitted = fleet.run(4, dict.fromkeys(LAYOUT, 100.0))
    assert admitted <= 1.6 * LIMIT


def test_demand_that_moves_is_not_admitted_twice():
    fleet = Fleet()
    fleet.run(10, {"a1": 300.0})
    total = sum(fleet.run(4, {name: 300.0}) for name in ("a2", "b1", "a3", "b2", "a1")) / 5
    assert total <= 1.3 * LIMIT


def test_limit_below_one_request_per_vm_is_accurate():
    fleet = Fleet(limit=1.0)
    rates = dict.fromkeys(LAYOUT, 3.0)
    fleet.run(5, rates)
    assert fleet.run(60, rates) == pytest.approx(1.0, rel=0.15)


@pytest.mark.parametrize("isolated", [("b1", "b2"), ("a1", "a2"), ("a1",), ("a1", "a2", "b1")])
def test_partition_admits_no_more_than_the_limit(isolated):
    fleet = Fleet()
    rates = dict.fromkeys(LAYOUT, 60.0)
    fleet.run(10, rates)
    fleet.network.group = dict.fromkeys(isolated, 1)
    during = fleet.run(20, rates)
    assert during <= 1.5 * LIMIT
    assert 0.5 * LIMIT <= fleet.run(30, rates) <= 1.1 * LIMIT


def test_isolated_vms_spend_the_fixed_shares():
    fleet = Fleet()
    rates = dict.fromkeys(LAYOUT, 60.0)
    fleet.network.group = {name: place for place, name in enumerate(LAYOUT)}
    fleet.run(20, rates)
    assert fleet.run(30, rates) == pytest.approx(LIMIT, rel=0.1)


def test_vms_without_a_reply_spend_their_fixed_shares(monkeypatch):
    def fail(links, vm, message, timeout_s):
        raise PeerTimeout(vm)

    fleet = Fleet()
    monkeypatch.setattr(NodeLinks, "call", fail)
    monkeypatch.setattr(fleet.network, "step", lambda seconds: None)
    rates = dict.fromkeys(LAYOUT, 60.0)
    fleet.run(5, rates)
    assert fleet.run(20, rates) == pytest.approx(LIMIT, rel=0.05)
    fleet.run(40, dict.fromkeys(LAYOUT, 0.5))
    assert fleet.run(1, dict.fromkeys(LAYOUT, 1000.0)) <= 2 * LIMIT + len(LAYOUT)


def test_idle_time_does_not_accumulate_tokens_for_a_large_burst():
    fleet = Fleet()
    fleet.run(40, dict.fromkeys(LAYOUT, 0.5))
    assert fleet.run(1, dict.fromkeys(LAYOUT, 1000.0)) <= 2.5 * LIMIT


def test_token_debt_blocks_requests_until_it_is_refilled():
    fleet = Fleet()
    fleet.run(5, {"a1": 20.0})
    fleet.limits["a1"].charge(fleet.customer, "tokens_per_s", 10 * LIMIT)
    assert fleet.run(5, {"a1": 20.0}) == 0
    assert fleet.run(20, {"a1": 20.0}) > 10


def test_class_limit_holds_and_objects_without_limit_pass():
    fleet = Fleet(limit=2.0)
    limits = fleet.limits["a1"]
    for _ in range(100):
        limits.take(Customer("free", (), ("live",)))
        limits.take_class(RequestClass("free", 0, 1400))
    with pytest.raises(ClassLimited):
        for _ in range(4):
            limits.take_class(fleet.classes)


def test_first_request_passes_at_each_vm_even_if_the_coordinator_is_unreachable():
    fleet = Fleet()
    assert [fleet.try_take(name) for name in LAYOUT] == [1] * len(LAYOUT)
    isolated_fleet = Fleet()
    isolated_fleet.network.is_cut = lambda source, target: source != target
    assert [isolated_fleet.try_take(name) for name in LAYOUT] == [1] * len(LAYOUT)
