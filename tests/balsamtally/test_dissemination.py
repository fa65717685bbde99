"""Real daemons with a platform that is down, or serves stale, conflicting or invalid tickets."""

import json
import time
from functools import partial

import pytest

from balsamtally.contracts import Pool
from balsamtally.dissemination import MIN_READ_INTERVAL_S
from balsamtally.tickets import Ticket, digest_ticket
from standins.fleet import Daemon, Fleet
from tests.polling import expect_soon

SETTLE_TIMEOUT_S = 40.0
WATCHERS = 2
DOMAINS = 2
PUBLISHED = 5


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("facts")
    with Fleet(
        folder,
        domains=DOMAINS,
        vms_per_domain=3,
        runners_per_domain=0,
        daemon_flags={"leave-notice-s": "0"},
    ) as started:
        for vm in started.vms.values():
            wait_until(lambda vm=vm: len(json.loads(vm.read("/vms"))) == len(started.vms))
        yield started


@pytest.fixture(autouse=True)
def sound_platform(fleet):
    yield
    set_mode(fleet)


def set_mode(fleet, **mode):
    fleet.platform.control("POST", "/control/mode", mode)


wait_until = partial(expect_soon, timeout_s=SETTLE_TIMEOUT_S)


def read_state(vm):
    return json.loads(vm.read("/state"))


def read_order(vm, name):
    for item in read_state(vm)["objects"]:
        if (item["kind"], item["name"]) == ("pool", name):
            return item["number"], item["digest"]
    return None


def make_ticket(number, name, version="1"):
    return Ticket(1, number, "ana", (Pool(name, version=version),))


def publish(fleet, ticket):
    fleet.publish(ticket)
    return ticket.number, digest_ticket(ticket)


def wait_for(fleet, name, order, vms=None):
    for vm in vms or fleet.vms.values():
        wait_until(lambda vm=vm: read_order(vm, name) == order)


def count_index(fleet):
    return fleet.platform.control("PUT", "/control/kv/other", b"x")["index"]


def test_tickets_reach_all_daemons_by_few_reads(fleet):
    before = fleet.platform.counts()["kv"]
    for number in range(PUBLISHED):
        wait_for(fleet, f"few-{number}", publish(fleet, make_ticket(100 + number, f"few-{number}")))
        time.sleep(MIN_READ_INTERVAL_S)
    # Each watcher reads once per change, and once more if its long poll of 30 s ends.
    assert fleet.platform.counts()["kv"] - before <= WATCHERS * DOMAINS * (PUBLISHED + 1)


def test_older_answers_change_nothing_and_a_fresh_daemon_learns_from_peers(fleet):
    publish(fleet, make_ticket(200, "back"))
    index = count_index(fleet)
    newest = publish(fleet, make_ticket(201, "back"))
    wait_for(fleet, "back", newest)
    set_mode(fleet, stale_index=index)
    vm = list(fleet.vms.values())[0]
    vm.kill()
    vm.start()
    vm.wait_ready(time.monotonic() + SETTLE_TIMEOUT_S)
    wait_for(fleet, "back", newest)


def test_outage_leaves_running_daemons_ready_but_not_a_fresh_one(fleet):
    set_mode(fleet, down=True)
    with Daemon("fresh", fleet.domains[0], fleet) as fresh:
        wait_until(lambda: fresh.read("/healthz") is not None)
        time.sleep(3)
        assert fresh.read("/readyz") is None
        assert all(vm.read("/readyz") is not None for vm in fleet.vms.values())
        set_mode(fleet)
        fresh.wait_ready(time.monotonic() + SETTLE_TIMEOUT_S)


def test_replaced_daemon_learns_from_peers_while_the_platform_is_down(fleet):
    set_mode(fleet, down=True)
    vm = list(fleet.vms.values())[1]
    vm.kill()
    vm.start()
    vm.wait_ready(time.monotonic() + SETTLE_TIMEOUT_S)


def test_two_tickets_with_one_number_converge_and_are_shown_as_a_conflict(fleet):
    tickets = [make_ticket(300, "both", version) for version in ("1", "2")]
    orders = sorted((ticket.number, digest_ticket(ticket)) for ticket in tickets)
    for ticket in tickets:
        fleet.publish(ticket)
        wait_until(lambda: all(read_order(vm, "both") for vm in fleet.vms.values()))
    wait_for(fleet, "both", orders[-1])
    digests = [digest for _, digest in orders]
    for vm in fleet.vms.values():
        wait_until(lambda vm=vm: read_state(vm)["conflicts"] == {"300": digests})


def test_invalid_ticket_is_shown_by_all_and_holds_up_nothing(fleet):
    body = b'{"format": 1, "number": 400, "author": "ana", "objects": [{"kind": "pool"}]}'
    fleet.platform.control("PUT", "/control/kv/balsamtally/tickets/400", body)
    order = publish(fleet, make_ticket(401, "later"))
    wait_for(fleet, "later", order)
    for vm in fleet.vms.values():
        wait_until(lambda vm=vm: len(read_state(vm)["refused"]) == 1)
        assert "$.objects[0].name: is missing" in read_state(vm)["refused"][0]["reason"]


def test_large_ticket_reaches_all_daemons(fleet):
    objects = tuple(Pool(f"large-{number}", version="v" * 120) for number in range(4000))
    order = publish(fleet, Ticket(1, 500, "ana", objects))
    wait_for(fleet, "large-3999", order)


def test_paused_daemon_is_removed_and_rejoins(fleet):
    vm = list(fleet.vms.values())[-1]
    other = list(fleet.vms.values())[-2]
    names = sorted(each.name for each in fleet.vms.values())
    vm.pause()
    try:
        wait_until(lambda: vm.name not in [m["name"] for m in json.loads(other.read("/vms"))])
        order = publish(fleet, make_ticket(600, "paused"))
    finally:
        vm.resume()
    wait_until(lambda: sorted(m["name"] for m in json.loads(other.read("/vms"))) == names)
    wait_for(fleet, "paused", order, [vm])
    assert "was_away" in vm.read_log()
