"""Tests of the client of the platform's configuration service."""

import base64
import json

import pytest
from gevent.pywsgi import WSGIServer

from balsamtally.configuration import Configuration
from balsamtally.errors import PlatformUnavailable
from balsamtally.machines import EntryVm
from balsamtally.settings import Settings

VM = {
    "Node": {"Node": "n1", "Address": "10.0.0.9"},
    "Service": {
        "ID": "entry-1",
        "Address": "",
        "Port": 8081,
        "Meta": {"domain": "rocha-a", "region": "uy-east", "leaving": "true"},
    },
    "Checks": [{"Status": "passing"}],
}


@pytest.fixture
def platform():
    """Serve an answer that the test sets, and record the requests."""
    state = {"status": "200 OK", "body": b"[]", "index": "7", "seen": []}

    def answer(environ, start_response):
        state["seen"].append(environ["PATH_INFO"] + "?" + environ["QUERY_STRING"])
        start_response(state["status"], [("X-Consul-Index", state["index"])])
        return [state["body"]]

    server = WSGIServer(("127.0.0.1", 0), answer, log=None)
    server.start()
    settings = Settings("e1", "d", "r", platform_address=f"127.0.0.1:{server.server_port}")
    with Configuration(settings) as configuration:
        yield state, configuration
    server.stop()


def read(configuration, method):
    """Read in a worker thread, because the server runs in the event loop of this thread."""
    import gevent

    return gevent.get_hub().threadpool.apply(getattr(configuration, method), (5, 3.0))


def test_tickets_and_vms_are_read(platform):
    state, configuration = platform
    value = base64.b64encode(b"{}").decode()
    state["body"] = json.dumps([{"Key": "a/1", "Value": value, "ModifyIndex": 3}]).encode()
    assert read(configuration, "read_tickets") == ([("a/1", b"{}")], 7)
    failing = {**VM, "Checks": [{"Status": "critical"}]}
    state["body"] = json.dumps([VM, failing]).encode()
    vm = EntryVm("entry-1", "10.0.0.9:8081", "rocha-a", "uy-east", leaving=True)
    assert read(configuration, "read_vms") == ([vm], 7)
    assert state["seen"] == [
        "/v1/kv/balsamtally/tickets?recurse=true&index=5&wait=3s",
        "/v1/health/service/balsamtally?&index=5&wait=3s",
    ]


ODD_PORTS = [None, "8081", 0, 65_536, 10**30]
ODD_META = [None, {}, {"domain": 3, "region": "r"}, {"domain": "d", "region": "r", "leaving": 1}]


def test_odd_row_costs_no_other_row(platform):
    state, configuration = platform
    service = VM["Service"]
    odd = [service | {"Port": port} for port in ODD_PORTS] + [{"ID": "x"}, 5]
    odd += [service | {"Meta": meta} for meta in ODD_META] + [service | {"ID": 5}]
    rows = [5, {}, *(VM | {"Service": each} for each in odd), VM | {"Checks": 5}, VM]
    state["body"] = json.dumps(rows).encode()
    assert [vm.name for vm in read(configuration, "read_vms")[0]] == ["entry-1"]
    rows = [{"Key": 5, "Value": ""}, {"Key": "a/0", "Value": "!"}, {"Key": "a/1", "Value": None}]
    state["body"] = json.dumps(rows).encode()
    assert read(configuration, "read_tickets")[0] == [("a/1", b"")]


@pytest.mark.parametrize("method", ["read_tickets", "read_vms"])
@pytest.mark.parametrize(
    ("status", "body"),
    [
        ("500 Oops", b"[]"),
        ("200 OK", b"<html>"),
        ("200 OK", b"{}"),
        ("200 OK", b'[{"Key": 3, "Value": "!"}]'),
        ("200 OK", b"[3]"),
        ("200 OK", b"[" * 100_000),
    ],
)
def test_invalid_answer_is_reported_as_unavailable(platform, method, status, body):
    state, configuration = platform
    state.update(status=status, body=body)
    with pytest.raises(PlatformUnavailable):
        read(configuration, method)
