"""End-to-end tests of request outcomes while processes are killed, paused and replaced."""

import json
import time
from collections import Counter
from functools import partial
from types import SimpleNamespace

import gevent
import msgspec
import pytest
import urllib3

from balsamtally.contracts import Operation, PlainService
from balsamtally.errors import GraceEnded, OutcomeUnknown
from balsamtally.tickets import Ticket
from standins.answers import service_answer
from standins.callers import make_headers
from standins.fleet import Fleet, Process
from tests.polling import expect_soon

CUSTOMER = "faro-rides"
LATE_S = 0.8
SPREAD_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 1.5


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("outcomes")
    with Fleet(folder, domains=2, vms_per_domain=2, runners_per_domain=1) as started:
        operations = (
            Operation("record", timeout_s=CALL_TIMEOUT_S),
            Operation("lookup", idempotent=True),
        )
        started.publish(Ticket(1, 90, "ana", (PlainService("filing", operations),)))
        started.numbers = iter(range(91, 1000))
        wait_until(lambda: all(b'"timeout_s":1.5' in read_state(vm) for vm in started.vms.values()))
        yield started


def read_state(vm):
    return (vm.read("/state") or b"").replace(b" ", b"")


@pytest.fixture(autouse=True)
def end_faults(fleet):
    yield
    for service in filter(Process.is_running, fleet.services.values()):
        service.set_fault()
    for vm in fleet.vms.values():
        vm.resume()
        revive(vm)


def revive(vm):
    if not vm.is_running():
        vm.start()
        vm.wait_ready(time.monotonic() + 30)


wait_until = partial(expect_soon, timeout_s=SPREAD_TIMEOUT_S)


def post(vm, path, body=b"", **headers):
    try:
        reply = urllib3.request(
            "POST",
            f"http://{vm.caller}{path}",
            body=body,
            headers=make_headers(CUSTOMER, **headers),
            timeout=20,
            retries=False,
        )
    except urllib3.exceptions.HTTPError as error:
        return SimpleNamespace(status=0, outcome="unknown", code=0, body=str(error))
    found = json.loads(reply.data)
    error = found.get("error", {})
    outcome, code = error.get("outcome", ""), int(error.get("code", 0))
    return SimpleNamespace(status=reply.status, outcome=outcome, code=code, body=found)


def issue(vm):
    return post(vm, "/v1/receipts").body["receipt"]


def record(vm, receipt, label):
    body = json.dumps(label).encode()
    answer = post(vm, "/v1/services/filing/record", body, Idempotency_Key=receipt)
    if answer.status == 200:
        assert answer.body == json.loads(service_answer("record", body))
    return answer


def count_runs(fleet, label):
    running = filter(Process.is_running, fleet.services.values())
    return sum(ran(service, label) for service in running)


def set_late(fleet):
    for service in fleet.services.values():
        service.set_fault(late_s=LATE_S)


def start_call(fleet, vm, receipt, label):
    """Start a call with a delayed answer, and return once the service runs it."""
    set_late(fleet)
    call = gevent.spawn(record, vm, receipt, label)
    wait_until(lambda: count_runs(fleet, label) or call.ready())
    assert count_runs(fleet, label), f"the call ended without a run: {call.value}"
    return call


def test_copies_at_all_vms_run_once_and_get_one_answer(fleet):
    vms = list(fleet.vms.values())
    receipt = issue(vms[0])
    set_late(fleet)
    copies = [gevent.spawn(record, vm, receipt, "copies") for vm in vms * 3]
    assert {copy.get().status for copy in copies} == {200}
    assert count_runs(fleet, "copies") == 1


@pytest.mark.parametrize("phase", ["issued", "running", "answered"])
def test_killed_issuer_leaves_the_outcome_unknown(fleet, phase):
    issuer, other, *_ = fleet.vms.values()
    label = f"killed {phase}"
    receipt = issue(issuer)
    if phase == "running":
        call = start_call(fleet, other, receipt, label)
        issuer.kill()
        assert call.get().code == OutcomeUnknown.code
    elif phase == "answered":
        assert record(other, receipt, label).status == 200
    issuer.kill()
    assert record(other, receipt, label).code == OutcomeUnknown.code
    revive(issuer)
    for vm in (issuer, other):
        assert record(vm, receipt, label).code == OutcomeUnknown.code
    assert count_runs(fleet, label) == (phase != "issued")


@pytest.mark.parametrize("phase", ["issued", "running", "answered"])
def test_paused_issuer_never_runs_twice(fleet, phase):
    issuer, other, *_ = fleet.vms.values()
    label = f"paused {phase}"
    receipt = issue(issuer)
    heard = []
    if phase == "running":
        call = start_call(fleet, issuer, receipt, label)
    elif phase == "answered":
        heard.append(record(other, receipt, label))
    issuer.pause()
    heard.append(record(other, receipt, label))
    assert heard[-1].code == OutcomeUnknown.code
    issuer.resume()
    if phase == "running":
        heard.append(call.get())
    heard += [record(vm, receipt, label) for vm in (other, issuer)]
    assert "not_run" not in {answer.outcome for answer in heard}
    assert heard[-1].status == 200 or phase == "running"
    assert count_runs(fleet, label) == 1


def test_leaving_vm_finishes_its_calls_and_a_second_signal_is_told(fleet):
    issuer, other, *_ = fleet.vms.values()
    calls = {
        label: start_call(fleet, vm, issue(issuer), label)
        for label, vm in (("own", issuer), ("forwarded", other))
    }
    issuer.leave()
    assert [call.get().status for call in calls.values()] == [200, 200]
    assert issuer.process.wait(20) == 0
    revive(issuer)
    call = start_call(fleet, issuer, issue(issuer), "hurried")
    issuer.leave()
    gevent.sleep(0.2)
    issuer.leave()
    assert call.get().code in (GraceEnded.code, OutcomeUnknown.code)
    assert issuer.process.wait(20) != 0
    assert count_runs(fleet, "hurried") == 1


def lookup(vm, label):
    return post(vm, "/v1/services/filing/lookup", json.dumps(label).encode()).status


def test_leaving_runner_gets_no_new_work(fleet):
    vm = next(iter(fleet.vms.values()))
    own = next(each for each in fleet.services.values() if each.server.domain == vm.domain)
    place = fleet.place(own.server)
    assert lookup(vm, "before") == 200
    assert own.counts()["bodies"].get('"before"') == 1
    leaving = msgspec.structs.replace(place, leaving=True)
    fleet.publish(Ticket(1, next(fleet.numbers), "ana", (leaving,)))
    labels = (f"after {number}" for number in range(1000))
    wait_until(lambda: lookup(vm, label := next(labels)) == 200 and not ran(own, label))
    for number in range(20):
        assert lookup(vm, f"left {number}") == 200 and not ran(own, f"left {number}")
    fleet.publish(Ticket(1, next(fleet.numbers), "ana", (place,)))
    wait_until(lambda: lookup(vm, label := next(labels)) == 200 and ran(own, label))
    call = start_call(fleet, vm, issue(vm), "last")
    own.leave()
    wait_until(lambda: own.control("GET", "/load")["leaving"])
    statuses = Counter(lookup(vm, f"refused {number}") for number in range(10))
    assert statuses == {200: 10} and call.get().status == 200
    assert own.process.wait(10) == 0


def ran(service, label):
    return service.counts()["bodies"].get(json.dumps(label), 0)
