"""Tests of the JSON-line logs, in a separate process because each process sets them up once."""

import json
import subprocess
import sys
from pathlib import Path

PROGRAM = """
from gevent import monkey; monkey.patch_all()
import gevent, json, sys
from balsamtally.logs import log, set_up_logs
kept = []
set_up_logs("vm-1", lambda line: kept.append(dict(line)))
log.info("granted", request="r-1", runner={"a set"})
gevent.spawn(log.warning, "peer_refused").join()
try:
    raise ValueError("why")
except ValueError:
    log.exception("request_failed", request="r-1")
print(json.dumps(kept, default=str))
"""


def test_each_line_is_json_with_its_vm_from_any_greenlet_and_is_passed_to_the_callback():
    ended = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        cwd=Path(__file__).parents[2],
        capture_output=True,
        text=True,
        timeout=60,
    )
    lines = [json.loads(line) for line in ended.stderr.splitlines()]
    assert [line["event"] for line in lines] == ["granted", "peer_refused", "request_failed"]
    assert {line["vm"] for line in lines} == {"vm-1"}
    assert [line["level"] for line in lines] == ["info", "warning", "error"]
    assert all("timestamp" in line for line in lines)
    assert "ValueError: why" in lines[2]["exception"]
    assert json.loads(ended.stdout) == lines
