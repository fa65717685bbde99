"""Tests of the coordinator: paused processes, removed entry VMs and exceptions in a queue."""

from types import SimpleNamespace

import gevent
import pytest

from balsamtally import coordinator as module
from balsamtally.contracts import Customer, Pool, RequestClass
from balsamtally.coordinator import Coordinator
from balsamtally.facts import Facts
from balsamtally.load import RunnerView
from balsamtally.messages import Ask, Grant, Release
from balsamtally.tickets import Ticket

POOL = "m"


class Links:
    """Links that record cast messages and call the handlers as a peer's messages would."""

    def __init__(self):
        self.handlers, self.casts = {}, []

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def cast(self, vm, message):
        self.casts.append((vm, message))

    def receive(self, sender, message):
        return self.handlers[type(message)](sender, message)


@pytest.fixture
def world(monkeypatch):
    now = SimpleNamespace(offset=0.0)
    clock = module.time.monotonic
    monkeypatch.setattr(
        module, "time", SimpleNamespace(monotonic=lambda: clock() + now.offset, perf_counter=clock)
    )
    facts, links, live = Facts(), Links(), {"one", "two"}
    items = (RequestClass("live", 0, 60_000.0), Customer("c", (), ("live",)), Pool(POOL))
    facts.accept(Ticket(1, 1, "ana", items))
    views = [RunnerView("r1", 1)]
    with Coordinator(
        links, facts, "d", lambda pool: views, lambda pool: (), print, lambda: live, lambda s: None
    ) as coordinator:
        yield SimpleNamespace(coordinator=coordinator, links=links, live=live, now=now, views=views)


def ask(world, sender, request):
    return world.links.receive(sender, Ask(request, 1, POOL, "c", "live"))


def test_immediate_grant_is_in_the_reply_and_a_later_grant_is_cast(world):
    granted = ask(world, "one", "a").grant
    assert ask(world, "two", "b").grant is None
    world.links.receive("one", Release(granted.grant, POOL))
    [(vm, later)] = world.links.casts
    assert (vm, later.request, type(later)) == ("two", "b", Grant)


def test_coordinator_discards_its_queue_after_a_pause(world):
    granted = ask(world, "one", "a").grant
    ask(world, "two", "b")
    world.now.offset = module.MAX_PAUSE_S + 1
    world.links.receive("one", Release(granted.grant, POOL))
    gevent.sleep(2 * module.TICK_INTERVAL_S)
    assert world.links.casts == []
    assert ask(world, "two", "b").grant.request == "b"


def test_requests_of_a_removed_entry_vm_are_dropped(world):
    granted = ask(world, "one", "a").grant
    ask(world, "two", "b")
    ask(world, "one", "c")
    world.live.discard("two")
    gevent.sleep(module.VIEW_REFRESH_S + 3 * module.TICK_INTERVAL_S)
    world.links.receive("one", Release(granted.grant, POOL))
    assert [(vm, message.request) for vm, message in world.links.casts] == [("one", "c")]


def test_exception_in_a_scheduling_pass_does_not_stop_later_passes(world, monkeypatch):
    ask(world, "one", "a")
    queue = world.coordinator.queues[POOL]
    calls = []

    def fail():
        calls.append(1)
        raise KeyError("injected")

    monkeypatch.setattr(queue, "tick", fail)
    ask_again = Ask("b", 1, POOL, "c", "live")
    with pytest.raises(KeyError):
        world.links.receive("two", ask_again)
    gevent.sleep(5 * module.TICK_INTERVAL_S)
    assert len(calls) > 2
