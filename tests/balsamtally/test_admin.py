"""Tests of the operators' listener and of the recent decisions that it shows."""

import io

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamtally.admin import describe_runner, describe_state, make_admin_app
from balsamtally.decisions import Decisions
from balsamtally.facts import Facts
from balsamtally.load import RunnerView
from balsamtally.machines import BackendServer
from balsamtally.tickets import Ticket
from balsamtally.zones import FailureDomain


def get(app, path):
    """Send a GET request to the application and return the status and body of its response."""
    seen = []
    environ = {
        "REQUEST_METHOD": "GET",
        "PATH_INFO": path,
        "SERVER_NAME": "test",
        "SERVER_PORT": "80",
        "SERVER_PROTOCOL": "HTTP/1.1",
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(),
        "wsgi.errors": io.StringIO(),
    }
    body = b"".join(app(environ, lambda status, _headers, _info=None: seen.append(status)))
    return int(seen[0].split()[0]), body


def make_app(**changed):
    readers = {
        "render_metrics": lambda: (b"balsamtally_members 1\n", "text/plain"),
        "read_unready": lambda: "",
        "read_state": lambda: [],
        "read_vms": lambda: [],
        "read_runners": lambda: [],
        "read_queues": lambda: [],
        "decisions": Decisions(),
    }
    return make_admin_app(**(readers | changed))


def test_readiness_gives_the_reason_until_ready():
    reasons = ["", "no ticket learnt"]
    app = make_app(read_unready=reasons.pop)
    assert get(app, "/readyz") == (503, b'{"ready":false,"reason":"no ticket learnt"}')
    assert get(app, "/readyz") == (200, b'{"ready":true,"reason":""}')
    assert get(app, "/healthz")[0] == 200


def test_state_shows_objects_with_their_ticket():
    facts = Facts()
    facts.accept(Ticket(1, 4, "ana", (FailureDomain("rocha-a", "uy-east"),)))
    facts.accept(Ticket(1, 3, "ana", (FailureDomain("rocha-a", "br-south"),)))
    status, body = get(make_app(read_state=lambda: describe_state("vm-1", facts)), "/state")
    [shown] = msgspec.json.decode(body)["objects"]
    assert (status, shown["kind"], shown["name"], shown["number"]) == (200, "domain", "rocha-a", 4)
    assert shown["item"]["region"] == "uy-east"


def test_explain_shows_decisions_and_unknown_paths_get_a_json_error():
    decisions = Decisions()
    decisions.add({"request": "r-1", "event": "granted", "runner": "m-2"})
    app = make_app(decisions=decisions)
    status, body = get(app, "/explain/r-1")
    assert (status, msgspec.json.decode(body)["decisions"][0]["runner"]) == (200, "m-2")
    assert get(app, "/explain/r-2")[0] == 404
    status, body = get(app, "/nothing")
    assert status == 404 and "error" in msgspec.json.decode(body)


@settings(max_examples=60)
@given(st.integers(1, 5), st.lists(st.sampled_from(["", "a", "b", "c"]), max_size=20))
def test_decisions_keep_the_most_recent_lines(limit, requests):
    decisions = Decisions(limit)
    for number, request in enumerate(requests):
        decisions.add({"request": request, "number": number})
    kept = [pair for pair in enumerate(requests) if pair[1]][-limit:]
    for name in "abc":
        expected = [number for number, request in kept if request == name]
        assert [line["number"] for line in decisions.find(name)] == expected


def test_runner_is_leaving_by_its_ticket_or_its_report():
    for by_ticket, by_itself in ((False, False), (True, False), (False, True)):
        server = BackendServer("m", "model", "127.0.0.1:9", "d", ("p",), leaving=by_ticket)
        report = describe_runner(server, RunnerView("m", 8, by_itself))
        assert report.leaving == (by_ticket or by_itself)
        assert report.running is report.report_age_s is None
    reported = describe_runner(server, RunnerView("m", 8, running=0, report_age_s=0.26))
    assert (reported.running, reported.report_age_s) == (0, 0.3)
