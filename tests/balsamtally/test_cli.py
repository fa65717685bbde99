"""End-to-end scenarios of the command-line tool against an operators' listener on real sockets."""

import hashlib
import json
import shlex
import shutil
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest
from gevent.pywsgi import WSGIServer
from pytest_bdd import given, parsers, scenarios, then, when

from balsamtally.admin import describe_state, make_admin_app
from balsamtally.cli import run
from balsamtally.decisions import Decisions
from balsamtally.explanations import answer_page
from balsamtally.facts import Facts
from balsamtally.machines import EntryVm
from balsamtally.messages import TicketNotice
from balsamtally.tickets import decode_ticket
from tests.balsamtally.test_dispatch import World

ROOT = Path(__file__).parents[2]
EXAMPLES = ROOT / "examples"
DAEMON_TIMEOUT_S = 30

scenarios("features")


@pytest.fixture
def outcome():
    return SimpleNamespace(code=None, out="", err="")


@given(parsers.parse('a folder with the example tickets of "{user}"'))
def go_to_examples(user, tmp_path, monkeypatch):
    shutil.copytree(EXAMPLES / user, tmp_path, dirs_exist_ok=True)
    monkeypatch.chdir(tmp_path)


@given(parsers.parse('the file "{name}" is "{source}" with:'))
def edit_file(name, source, datatable):
    text = Path(source).read_text()
    for old, new in datatable[1:]:
        assert old in text
        text = text.replace(old, new, 1)
    Path(name).write_text(text)


@given(parsers.parse('a daemon that holds the tickets "{names}"'), target_fixture="daemon")
def start_daemon(names, request):
    facts = Facts()
    for name in names.split():
        facts.accept(decode_ticket(Path(name).read_bytes()))
    decisions = Decisions()
    app = make_admin_app(
        render_metrics=lambda: (b"", "text/plain"),
        read_unready=lambda: "",
        read_state=lambda: describe_state("vm-1", facts),
        read_vms=lambda: [EntryVm("vm-1", "127.0.0.1:1", "rocha-a", "uy-east")],
        read_runners=lambda: [],
        read_queues=lambda: [],
        decisions=decisions,
    )
    server = WSGIServer(("127.0.0.1", 0), app, log=None)
    server.start()
    request.addfinalizer(server.stop)
    address = f"127.0.0.1:{server.server_port}"
    return SimpleNamespace(address=address, facts=facts, decisions=decisions)


@given(parsers.parse('the daemon refused a ticket "{source}" since "{reason}"'))
def refuse_ticket(daemon, source, reason):
    daemon.facts.record_refused(TicketNotice("ab", source, reason))


@given(parsers.parse('the daemon decided "{event}" for "{request_id}" with runner "{runner}"'))
def add_decision(daemon, event, request_id, runner):
    daemon.decisions.add({"event": event, "request": request_id, "runner": runner})


@when(parsers.parse('I run "{command}"'))
def run_command(command, outcome, capsys, request):
    capsys.readouterr()
    if "DAEMON" in command:
        command = command.replace("DAEMON", request.getfixturevalue("daemon").address)
    try:
        outcome.code = run(shlex.split(command))
    except SystemExit as ended:
        outcome.code = ended.code
    outcome.out, outcome.err = capsys.readouterr()


@given("the variables", target_fixture="variables")
def set_variables(datatable):
    return dict(datatable[1:])


@when(parsers.parse('I run the daemon with "{flags}"'))
def run_daemon(flags, outcome, variables):
    ended = subprocess.run(
        [sys.executable, "-m", "balsamtally.daemon", *shlex.split(flags)],
        cwd=ROOT,
        env=variables,
        capture_output=True,
        text=True,
        timeout=DAEMON_TIMEOUT_S,
    )
    outcome.code, outcome.out, outcome.err = ended.returncode, ended.stdout, ended.stderr


@then(parsers.parse("the exit code is {code:d}"))
def check_code(outcome, code):
    assert outcome.code == code, outcome.out + outcome.err


@then(parsers.parse('the output contains "{text}"'))
def check_output(outcome, text):
    assert text in outcome.out


@then(parsers.parse('the output doesn\'t contain "{text}"'))
def check_output_lacks(outcome, text):
    assert text not in outcome.out


@then(parsers.parse('the errors contain "{text}"'))
def check_errors(outcome, text):
    assert text in outcome.err


@then(parsers.parse('the errors don\'t contain "{text}"'))
def check_errors_lack(outcome, text):
    assert text not in outcome.err


@then("the JSON output is")
def check_json(outcome, docstring):
    assert json.loads(outcome.out) == json.loads(docstring)


@then("the hash is that of the key")
def check_hash(outcome):
    made = json.loads(outcome.out)
    assert hashlib.sha256(made["key"].encode()).hexdigest() == made["hash"]


@pytest.mark.parametrize(("path", "code"), [("/a/x", 0), ("/none", 1)])
def test_placement_is_explained_with_servers_or_the_refusal(path, code, capsys):
    world = World()
    world.add("a")
    pages = []

    def answer(environ, start_response):
        pages.append(environ["PATH_INFO"])
        query = environ["QUERY_STRING"]
        status, body = answer_page(query, world.dispatch, world.catalog, lambda name: None, "vm1")
        start_response(f"{status} -", [("Content-Type", "application/json")])
        return [body]

    server = WSGIServer(("127.0.0.1", 0), answer, log=None)
    server.start()
    try:
        command = ["explain-placement", "host.example", path, "--customer", "cabo"]
        address = f"127.0.0.1:{server.server_port}"
        assert run([*command, "--vm", address, "--parts", "s:100", "o:20"]) == code
    finally:
        server.stop()
    out, err = capsys.readouterr()
    assert pages == ["/explain"]
    assert ("chosen: a" in out) if code == 0 else ("error" in err and not out)
