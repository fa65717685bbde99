"""Tests of the history of a request, assembled from the logs of several VMs."""

import json

from balsamtally.cli import run
from balsamtally.request_history import find_request_history, read_line


def make_line(event, second, vm="vm1", **fields):
    return {"event": event, "vm": vm, "timestamp": f"2026-12-04T10:00:{second}Z"} | fields


LINES = [
    make_line("routed", "01", request="r1", backend="a"),
    make_line("attempt_failed", "02", request="r1", backend="a", code=3002),
    make_line("ended", "03", request="r1", backend="a", code=3002),
    make_line("backend_ejected", "02.5", backend="a"),
    make_line("late_answer", "02.7", backend="a", exchange="3.1"),
    make_line("backend_ejected", "02.5", backend="b"),
    make_line("backend_ejected", "02.5", vm="vm2", backend="a"),
    make_line("backend_ejected", "59", backend="a"),
    make_line("ended", "02", request="r2"),
]
TEXTS = [f"  12.3 vm {json.dumps(line)}" for line in reversed(LINES)] + ["Traceback", "{broken"]


def test_history_has_the_lines_of_the_request_and_the_context_events_of_its_vm_and_backends():
    history = find_request_history("r1", TEXTS)
    assert [line.line.event for line in history] == [
        "routed",
        "attempt_failed",
        "backend_ejected",
        "late_answer",
        "ended",
    ]
    assert find_request_history("unknown", TEXTS) == []


def test_text_without_a_log_line_is_ignored():
    assert read_line("no line") is None and read_line("{broken") is None
    assert read_line('{"event":"x","a":' + "[" * 100_000) is None
    assert read_line('12.0 vm {"event": "x"}').line.event == "x"


def test_explain_command_reads_log_files(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("\n".join(TEXTS))
    assert run(["explain", "r1", "--logs", str(path)]) == 0
    out = capsys.readouterr().out.splitlines()
    assert len(out) == 5 and "attempt_failed" in out[1] and "code=3002" in out[1]
    assert run(["explain", "r1", "--logs", str(path), "--json"]) == 0
    assert len(json.loads(capsys.readouterr().out)) == 5
    assert run(["explain", "other", "--logs", str(path)]) == 1
