"""End-to-end tests with coordinators that are killed, paused or overloaded."""

import json

import gevent
import msgspec
import pytest
import urllib3

from balsamtally.errors import EXIT_GRACE_ENDED, GraceEnded, Leaving
from balsamtally.machines import BackendServer
from balsamtally.shards import list_coordinators
from balsamtally.tickets import Ticket
from standins.answers import answer_tokens, join_prompt
from standins.callers import make_headers
from standins.fleet import Fleet
from tests.polling import expect_soon
from tests.standins.test_path import CHATS, CLASS, CUSTOMER, make_messages

ANSWER_TOKENS = 40
TIMEOUT_S = 60.0
MAX_ROUNDS = 10
FLOOD = 40
LIVE = 12
SLOTS_IN_ALL = 4
NEWS_S = 3.0


def make_ticket(item):
    """Return a ticket for one object, with a number above those of all example tickets."""
    return Ticket(1, 1_000, "ana", (item,))


def find_server(fleet, name):
    """Return the definition of a backend server from the state in force."""
    body = json.loads(next(iter(fleet.vms.values())).read("/state"))
    rows = (row["item"] for row in body["objects"] if row["kind"] == "backend")
    return msgspec.convert(next(row for row in rows if row["name"] == name), BackendServer)


def ask_whole(vm, label, request_class=CLASS):
    """Send one request without streaming; return whether the answer is right, or the error code."""
    messages = make_messages(label)
    body = {"model": "waivers-8b", "messages": messages, "max_tokens": ANSWER_TOKENS}
    headers = make_headers(CUSTOMER, **{"X-Request-Class": request_class})
    url = f"http://{vm.caller}{CHATS}"
    response = urllib3.request(
        "POST", url, body=json.dumps(body), headers=headers, timeout=TIMEOUT_S, retries=False
    )
    if response.status != 200:
        return response.json()["error"]["code"]
    right = "".join(answer_tokens(join_prompt(messages), ANSWER_TOKENS))
    return response.json()["choices"][0]["message"]["content"] == right


def ask_many(vm, label, count):
    """Send requests concurrently and return the results of ``ask_whole``."""
    asked = [gevent.spawn(ask_whole, vm, f"{label} {number}") for number in range(count)]
    return [each.get() for each in asked]


def find_coordinator(fleet):
    """Return the coordinator of the pool and another daemon of its failure domain."""
    first = list_coordinators(fleet.pool, list(fleet.vms), len(fleet.runners))[0]
    other = next(vm for name, vm in fleet.vms.items() if name != first)
    return fleet.vms[first], other


@pytest.fixture
def domain(tmp_path):
    with Fleet(tmp_path, domains=1, vms_per_domain=3, slots=4) as fleet:
        yield fleet


@pytest.mark.parametrize("fault", ["kill", "pause"])
def test_requests_go_on_while_their_coordinator_is_lost(domain, fault):
    coordinator, other = find_coordinator(domain)
    assert ask_many(other, "before", 4) == [True] * 4
    asked = [gevent.spawn(ask_many, other, f"burst {number}", 4) for number in range(5)]
    gevent.sleep(0.1)
    getattr(coordinator, fault)()
    assert [each.get() for each in asked] == [[True] * 4] * 5
    assert ask_many(other, "after", 8) == [True] * 8
    if fault == "pause":
        coordinator.resume()
        assert ask_many(coordinator, "woken", 4) == [True] * 4


def test_requests_that_would_miss_at_home_are_served_in_another_domain(tmp_path):
    flags = ("--token-ms", "60")
    with Fleet(tmp_path, domains=2, runners_per_domain=1, slots=2, runner_flags=flags) as fleet:
        home, _ = fleet.vms.values()
        rounds = iter(range(MAX_ROUNDS))
        while '"spilled"' not in home.read_log():
            assert ask_many(home, f"round {next(rounds)}", 6) == [True] * 6
        _, other = fleet.runners.values()
        assert other.counts()["generated"] > 0


def test_pool_without_a_runner_at_home_is_served_elsewhere(tmp_path):
    with Fleet(tmp_path, domains=2, runners_per_domain=1) as fleet:
        home, _ = fleet.vms.values()
        runner = next(iter(fleet.runners.values()))
        runner.leave()
        assert ask_many(home, "elsewhere", 4) == [True] * 4


def test_graceful_leave_cuts_off_no_answer_and_brings_no_new_work(tmp_path):
    flags = ("--token-ms", "50")
    with Fleet(tmp_path, domains=1, vms_per_domain=2, slots=4, runner_flags=flags) as fleet:
        first, second = fleet.vms.values()
        leaving, staying = fleet.runners.values()
        asked = [gevent.spawn(ask_whole, first, f"long {number}") for number in range(8)]
        while not (leaving.counts()["running"] and staying.counts()["running"]):
            gevent.sleep(0.02)
        leaving.leave()
        first.leave()
        assert [each.get() for each in asked] == [True] * 8
        generated = staying.counts()["generated"]
        assert ask_many(second, "after", 4) == [True] * 4
        assert staying.counts()["generated"] > generated
        assert '"drained": true' in first.read_log()


def test_waiting_chats_are_told_at_the_end_of_the_grace_period_that_they_were_not_run(tmp_path):
    flags = ("--token-ms", "300")
    with Fleet(
        tmp_path, domains=1, vms_per_domain=1, runners_per_domain=1, slots=2, runner_flags=flags
    ) as fleet:
        (vm,) = fleet.vms.values()
        (runner,) = fleet.runners.values()
        asked = [gevent.spawn(ask_whole, vm, f"late {number}") for number in range(5)]
        expect_soon(lambda: runner.counts()["running"] == 2)
        for _ in range(2):
            vm.leave()
            gevent.sleep(0.3)
        codes = sorted(each.get() for each in asked)
        assert codes == [Leaving.code] * 3 + [GraceEnded.code] * 2
        assert vm.process.wait(20) == EXIT_GRACE_ENDED


def test_live_requests_are_served_through_a_flood_and_a_lost_coordinator(tmp_path):
    with Fleet(tmp_path, domains=1, vms_per_domain=3, slots=SLOTS_IN_ALL // 2) as fleet:
        coordinator, other = find_coordinator(fleet)
        flood = [
            gevent.spawn(ask_whole, other, f"flood {number}", "archive-batch")
            for number in range(FLOOD)
        ]
        gevent.sleep(0.3)
        live = [gevent.spawn(ask_whole, other, f"live {number}") for number in range(LIVE)]
        coordinator.kill()
        gevent.sleep(1.0)
        live += [gevent.spawn(ask_whole, other, f"later {number}") for number in range(LIVE)]
        assert [each.get() for each in live] == [True] * 2 * LIVE
        assert sum(each.ready() for each in flood) <= 2 * SLOTS_IN_ALL
        assert [each.get() for each in flood] == [True] * FLOOD


def test_runner_that_a_ticket_calls_leaving_gets_no_new_work(tmp_path):
    with Fleet(tmp_path, domains=1, vms_per_domain=2) as fleet:
        first, second = fleet.vms.values()
        leaving, staying = fleet.runners.values()
        assert ask_many(first, "before", 8) == [True] * 8
        assert leaving.counts()["generated"] and staying.counts()["generated"]
        server = find_server(fleet, leaving.name)
        second.pause()
        fleet.publish(make_ticket(msgspec.structs.replace(server, leaving=True)))
        gevent.sleep(NEWS_S)
        second.resume()
        generated = leaving.counts()["generated"]
        assert ask_many(first, "after", 8) + ask_many(second, "woken", 8) == [True] * 16
        assert leaving.counts()["generated"] == generated
