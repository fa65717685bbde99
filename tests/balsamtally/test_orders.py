"""Tests of the orders to model runners, with fake runners that apply orders and report state."""

import json
from types import SimpleNamespace

import gevent
import pytest

from balsamtally import placement
from balsamtally.contracts import Pool
from balsamtally.facts import Facts
from balsamtally.machines import BackendServer
from balsamtally.messages import Hold, QueueState
from balsamtally.orders import Orders
from balsamtally.tickets import Ticket

POOLS = ("small", "large")


class FakeRunner:
    """A runner that applies each order immediately, unless it drops orders."""

    def __init__(self, fencing):
        self.state = {"running": 0, "model_list": ["small"], "fence": 3, "adapters": []}
        self.fencing = fencing
        self.orders = []
        self.posts = 0
        self.drops_orders = False

    def request(self, method, path, body=b"", **_):
        self.posts += method == "POST"
        if method == "POST" and not self.drops_orders:
            self.apply(json.loads(body))
        return SimpleNamespace(status=200, data=json.dumps(self.state).encode())

    def apply(self, order):
        if self.fencing and order["fence"] <= self.state["fence"]:
            return
        self.orders.append(order)
        versions = dict(zip(order["pools"], order["versions"], strict=True))
        self.state |= {"model_list": order["pools"], "fence": order["fence"], "versions": versions}


class World:
    """One failure domain with three runners on the small model, where the large model needs one."""

    def __init__(self, fencing=True):
        self.runners = {f"10.0.0.{number}:80": FakeRunner(fencing) for number in range(3)}
        self.casts = []
        self.facts = Facts()
        servers = tuple(
            BackendServer(f"r{number}", "model", address, "d", POOLS)
            for number, address in enumerate(self.runners)
        )
        pools = (Pool("small"), Pool("large", version="v2", min_runners=1))
        self.facts.accept(Ticket(1, 1, "ana", servers + pools))

    def make_orders(self, is_placer=lambda: True):
        routes = SimpleNamespace(
            domain="d",
            list_members=lambda domain: ["vm"],
            list_coordinators=lambda pool, domain: ["vm"],
        )
        links = SimpleNamespace(
            call=lambda vm, query, timeout_s: QueueState("d", 3),
            cast=lambda vm, message: self.casts.append(message),
        )
        connections = SimpleNamespace(find_pool=self.runners.get)
        return Orders(self.facts, routes, links, connections, is_placer)

    def list_models(self):
        return sorted(runner.state["model_list"][0] for runner in self.runners.values())


@pytest.fixture(autouse=True)
def shorten_timers(monkeypatch):
    monkeypatch.setattr(placement, "STABLE_S", 0.0)
    monkeypatch.setattr(placement, "MIN_DWELL_S", 0.0)


def run_steps(orders, count):
    for _ in range(count):
        orders.step()
        gevent.sleep(0)


def test_pool_that_needs_a_runner_gets_one_and_no_further_order_follows():
    world = World()
    run_steps(world.make_orders(), 8)
    assert world.list_models() == ["large", "small", "small"]
    [order] = [order for runner in world.runners.values() for order in runner.orders]
    assert order == {"fence": 4, "pools": ["large"], "versions": ["v2"], "adapters": []}
    assert any(isinstance(message, Hold) for message in world.casts)


@pytest.mark.parametrize("fencing", [True, False])
def test_two_placers_converge_to_one_placement(fencing):
    world = World(fencing)
    both = [world.make_orders(), world.make_orders()]
    for _ in range(8):
        for orders in both:
            run_steps(orders, 1)
    assert world.list_models() == ["large", "small", "small"]


def test_lost_order_is_not_sent_again_before_its_timeout_and_nothing_else_moves():
    world = World()
    for runner in world.runners.values():
        runner.drops_orders = True
    orders = world.make_orders()
    run_steps(orders, 8)
    assert sum(runner.posts for runner in world.runners.values()) == 1
    assert world.list_models() == ["small"] * 3


def test_entry_vm_that_is_not_the_placer_orders_nothing():
    world = World()
    run_steps(world.make_orders(lambda: False), 8)
    assert not any(runner.orders for runner in world.runners.values())


@pytest.mark.parametrize(
    "report", [b'{"running":0,"x":' + b"[" * 100_000, b'{"running":-1}', b'{"running":1e999}']
)
def test_odd_report_of_a_runner_costs_no_other_report(report):
    world = World()
    odd = world.runners["10.0.0.0:80"]
    odd.request = lambda method, path, **_: SimpleNamespace(status=200, data=report)
    orders = world.make_orders()
    run_steps(orders, 8)
    assert sorted(runner.posts for runner in world.runners.values()) == [0, 0, 1]
