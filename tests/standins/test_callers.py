"""Tests of the test callers and the stand-ins, which talk to each other without a daemon."""

import http.client
import json
import time
from collections import Counter

import pytest
import urllib3

from balsamtally.contracts import RequestClass
from standins.callers import Chat, Entries, send_chat
from standins.fleet import Fleet, FleetError
from standins.results import Outcome, Report, count_reports, find_broken_calls
from tests.polling import expect_soon

TARGET = RequestClass("live", 0, 30_000, 5_000)
RUNNER = "model-rocha-a-1"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    with Fleet(folder, domains=1, runners_per_domain=1, start_daemons=False) as started:
        yield started


@pytest.fixture
def runner(fleet):
    yield fleet.runners[RUNNER]
    fleet.runners[RUNNER].set_fault()


def ask(fleet: Fleet, runner, label: str, streamed: bool = True) -> Report:
    """Send a chat request directly to a runner."""
    messages = ({"role": "user", "content": label},)
    chat = Chat(TARGET, "faro-rides", fleet.pool, messages, 12, streamed)
    return send_chat(Entries([runner.address]), chat)


@pytest.mark.parametrize("streamed", [True, False])
def test_expected_answer_is_reported_whole(fleet, runner, streamed):
    report = ask(fleet, runner, f"right {streamed}", streamed)
    assert report.outcome is Outcome.WHOLE and report.met_target
    assert 1 <= report.tokens <= 12


@pytest.mark.parametrize(
    ("fault", "outcome"),
    [
        ({"wrong_id": True}, Outcome.WRONG),
        ({"duplicate_answer": True}, Outcome.WRONG),
        ({"cut_after_tokens": 2}, Outcome.CUT),
        ({"error": True}, Outcome.FAILED),
    ],
)
def test_faulty_answer_is_detected(fleet, runner, fault, outcome):
    runner.set_fault(**fault)
    assert ask(fleet, runner, f"faulty {fault}").outcome is outcome


def test_cut_unstreamed_answer_raises_an_error(fleet, runner):
    runner.set_fault(cut_after_tokens=2)
    with pytest.raises(urllib3.exceptions.HTTPError):
        ask(fleet, runner, "cut whole", streamed=False)


def count_when_idle(runner) -> dict:
    """Return the counters of a runner once it runs no job."""
    while (counts := runner.counts())["running"]:
        time.sleep(0.02)
    return counts


@pytest.mark.parametrize("streamed", [True, False])
def test_closed_connection_cancels_the_job(fleet, runner, streamed):
    runner.set_fault(slow_factor=5.0)
    before = count_when_idle(runner)
    caller = http.client.HTTPConnection(runner.address)
    body = {"messages": [{"role": "user", "content": "vanish"}], "stream": streamed}
    caller.request("POST", "/v1/chat/completions", json.dumps(body))
    while runner.counts()["generated"] == before["generated"]:
        time.sleep(0.02)
    caller.close()
    after = count_when_idle(runner)
    generated = after["generated"] - before["generated"]
    assert after["cancelled"] - before["cancelled"] == generated > 0


def test_runner_refuses_old_fence_and_loads_models(fleet, runner):
    runner.control("POST", "/orders", {"fence": 5, "pools": [fleet.pool, "other"]})
    with pytest.raises(FleetError, match="409"):
        runner.control("POST", "/orders", {"fence": 4, "pools": []})
    while "other" not in runner.control("GET", "/load")["model_list"]:
        time.sleep(0.02)
    assert runner.control("GET", "/load")["fence"] == 5


def test_service_counts_each_run(fleet):
    (service,) = fleet.services.values()
    url = f"http://{service.address}/record"
    headers = {"Idempotency-Key": "receipt-1"}
    for _ in range(2):
        urllib3.request("POST", url, body=b'"call-1"', headers=headers)
    service.set_fault(refuse=True)
    assert urllib3.request("POST", url, body=b'"call-2"', headers=headers).status == 503
    service.set_fault()
    counts = service.counts()
    assert counts["executions"]["receipt-1"] == counts["bodies"]['"call-1"'] == 2
    assert '"call-2"' not in counts["bodies"]


def test_draining_runner_completes_running_answers(fleet):
    arguments = ["standins.runner", "--address", "127.0.0.1:0", "--pools", fleet.pool]
    leaving = type(fleet.platform)("leaving", arguments, fleet.folder)
    with leaving:
        leaving.wait_ready(time.monotonic() + 30)
        leaving.set_fault(slow_factor=5.0)
        url = f"http://{leaving.address}/v1/chat/completions"
        body = {"messages": [{"role": "user", "content": "stay"}], "stream": True, "max_tokens": 60}
        reply = urllib3.request("POST", url, json=body, preload_content=False)
        pieces = reply.stream()
        next(pieces)
        leaving.leave()
        # The runner may still accept requests until it handles the signal.
        expect_soon(lambda: leaving.control("GET", "/load")["leaving"])
        refused = urllib3.request("POST", url, json=body, retries=False)
        assert refused.status == 503 and b"leaving" in refused.data
        assert b"".join(pieces).endswith(b"data: [DONE]\n\n")
        assert leaving.process.wait(30) == 0


def test_platform_answers_as_of_an_older_index(fleet):
    control = fleet.platform.control
    first = control("PUT", "/control/kv/x/1", b"old")["index"]
    control("PUT", "/control/kv/x/1", b"new")
    path = "/v1/kv/x/?recurse=true"
    assert control("GET", path)[0]["ModifyIndex"] == first + 1
    control("POST", "/control/mode", {"stale_index": first})
    assert control("GET", path)[0]["Value"] == "b2xk"
    control("POST", "/control/mode", {"down": True})
    with pytest.raises(FleetError, match="503"):
        control("GET", path)
    control("POST", "/control/mode", {})
    begun = time.monotonic()
    control("GET", f"{path}&index={first + 1}&wait=300ms")
    assert time.monotonic() - begun >= 0.29


def test_broken_calls_are_detected():
    def make_report(call: str, run: str, outcome: Outcome, code: int = 0) -> Report:
        return Report("record", outcome, code, run, call=call)

    reports = [
        make_report("twice", "", Outcome.WHOLE),
        make_report("lied", "not_run", Outcome.REFUSED, 2003),
        make_report("void", "not_run", Outcome.REFUSED, 1106),
        make_report("void", "", Outcome.WHOLE),
        make_report("never", "", Outcome.WHOLE),
        make_report("fine", "", Outcome.WHOLE),
        make_report("fine", "not_run", Outcome.REFUSED, 2010),
        make_report("refused", "not_run", Outcome.REFUSED, 2003),
        make_report("unknown", "unknown", Outcome.UNKNOWN, 3001),
    ]
    runs = Counter({"twice": 2, "lied": 1, "void": 1, "fine": 1, "unknown": 1})
    broken = find_broken_calls(reports, runs)
    assert sorted(text.split(":")[0] for text in broken) == ["lied", "never", "twice", "void"]
    assert count_reports(reports)["record"].codes[2003] == 2
