"""Tests with a real daemon of what it holds: answers without end, and large bodies of callers."""

import gevent
import pytest

from standins.grid import ENDLESS, MEMORY_MB, Grid, make_config
from standins.grid_callers import GridCaller
from tests.polling import expect_soon

CALLERS = 300
SOUND_CALLERS = 4
FLOOD_S = 6.0
SLOTS = 64


def call_on(vm, kind, answers):
    while True:
        with GridCaller(vm) as caller:
            answers.append(caller.ask(kind, b"body"))
        gevent.sleep(0.02)


@pytest.mark.parametrize("part", ENDLESS)
def test_answers_without_end_take_no_more_memory_than_the_machine_has(part):
    """Guards against a process that keeps all that faulty backend servers send, and ends."""
    faulty_service = "model" if part == "event" else "desk"
    faulty, sound = ("draft", "lookup") if part == "event" else ("lookup", "draft")
    with Grid(vms=1, servers=4, domains=1) as grid:
        [vm] = grid.vms
        for server in grid.list_servers(faulty_service):
            server.slots = SLOTS
            server.register("ready")
            server.endless = part
        faulty_answers, sound_answers = [], []
        tasks = [gevent.spawn(call_on, vm, faulty, faulty_answers) for _ in range(CALLERS)]
        tasks += [gevent.spawn(call_on, vm, sound, sound_answers) for _ in range(SOUND_CALLERS)]
        gevent.sleep(FLOOD_S)
        assert vm.is_running()
        peak_mb = vm.read_peak_mb()
        gevent.killall(tasks)
    assert peak_mb <= MEMORY_MB
    assert sound_answers and all(answer.good for answer in sound_answers)
    assert faulty_answers and not any(answer.good for answer in faulty_answers)


UPLOADERS = 180
UPLOAD_BYTES = 900_000


def upload_on(vm, answers):
    body = b"x" * UPLOAD_BYTES
    while True:
        with GridCaller(vm) as caller:
            answers.append(caller.ask("lookup", body, Work_S="1.5"))
        gevent.sleep(0.1)


def test_bodies_of_callers_take_no_more_memory_than_the_machine_has():
    """Guards against a process that takes on more bodies than it can hold, and ends."""
    with Grid(vms=1, servers=4, domains=1) as grid:
        [vm] = grid.vms
        for server in grid.list_servers("desk"):
            server.slots = SLOTS
            server.register("ready")
        uploads, sound_answers = [], []
        tasks = [gevent.spawn(upload_on, vm, uploads) for _ in range(UPLOADERS)]
        tasks += [gevent.spawn(call_on, vm, "sign", sound_answers) for _ in range(SOUND_CALLERS)]
        gevent.sleep(FLOOD_S)
        assert vm.is_running()
        peak_mb = vm.read_peak_mb()
        gevent.killall(tasks)
        arrived = {attempt_id for server in grid.servers for attempt_id, _ in server.arrivals}
    assert peak_mb <= MEMORY_MB
    assert sound_answers and all(answer.good for answer in sound_answers)
    refused = [answer for answer in uploads if answer.status == 503]
    assert refused and all("retry-after" in answer.headers for answer in refused)
    assert not any(answer.id in arrived for answer in refused)
    assert any(answer.good for answer in uploads)


SMALLEST_MEMORY_MB = 88
LARGEST_BODY_BYTES = 4_000_000


def test_largest_body_is_served_by_the_smallest_machine():
    """Guards against bounds that refuse a single caller within the published limits."""
    with Grid(vms=1, servers=2, domains=1, limits={"memory_mb": SMALLEST_MEMORY_MB}) as grid:
        [vm] = grid.vms
        config = make_config(2)
        config["limits"]["max_body_bytes"] = LARGEST_BODY_BYTES
        grid.store.put("op/config", config)
        answers = []

        def ask():
            with GridCaller(vm) as caller:
                answers.append(caller.ask("lookup", b"x" * LARGEST_BODY_BYTES))
            return answers[-1].status != 413

        # Until the new limit is in force, the body is too large.
        expect_soon(ask)
        assert answers[-1].good, answers[-1].status
        assert vm.read_peak_mb() <= SMALLEST_MEMORY_MB
