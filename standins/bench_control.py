"""Benchmark of a coordinator's CPU time and link bytes at several request rates."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import json
import sys
import tempfile
import time
from pathlib import Path

import gevent
import urllib3

from balsamtally.logs import set_up_logs
from balsamtally.shards import list_coordinators
from standins.bench_facts import read_cpu_s, read_link_bytes
from standins.callers import make_headers
from standins.fleet import Fleet

RATES = (0, 10, 20, 40)  # requests a second
RUN_S = 15.0
ANSWER_TOKENS = 8
CUSTOMER = "arenas-del-este"
RESULTS = Path("bench-results/control.jsonl")


def send(pool: urllib3.PoolManager, address: str, number: int, codes: list[int]) -> None:
    """Send one chat request and record its HTTP status.

    :param pool: HTTP connections to the daemon
    :param address: address of the daemon's caller listener
    :param number: number of the request, which makes its prompt unique
    :param codes: list to which the status is appended
    """
    messages = [{"role": "user", "content": f"Which track is open? {number}"}]
    body = {"model": "waivers-8b", "messages": messages, "max_tokens": ANSWER_TOKENS}
    headers = make_headers(CUSTOMER, **{"X-Request-Class": "waiver-live"})
    url = f"http://{address}/v1/chat/completions"
    codes.append(pool.request("POST", url, body=json.dumps(body), headers=headers).status)


def send_at_rate(address: str, rate: float, codes: list[int]) -> None:
    """Send requests at a rate for ``RUN_S``, and wait for the answers.

    :param address: address of the daemon's caller listener
    :param rate: requests a second, 0 for none
    :param codes: list to which the HTTP statuses are appended
    """
    pool = urllib3.PoolManager(maxsize=100, retries=False)
    end = time.monotonic() + RUN_S
    tasks = []
    while time.monotonic() < end:
        if rate:
            tasks.append(gevent.spawn(send, pool, address, len(tasks), codes))
        gevent.sleep(1 / rate if rate else RUN_S)
    gevent.joinall(tasks)


def main() -> None:
    """Measure the coordinator at each of ``RATES``; print and append a JSON line for each."""
    set_up_logs("bench")
    RESULTS.parent.mkdir(exist_ok=True)
    folder = Path(tempfile.mkdtemp(prefix="bench-control-"))
    with Fleet(folder, domains=1, vms_per_domain=2) as fleet, RESULTS.open("a") as out:
        first = list_coordinators(fleet.pool, list(fleet.vms), len(fleet.runners))[0]
        coordinator = fleet.vms[first]
        entry = next(vm for name, vm in fleet.vms.items() if name != first)
        for rate in RATES:
            codes: list[int] = []
            cpu_s, link_bytes = read_cpu_s(coordinator), read_link_bytes(coordinator)
            started = time.monotonic()
            send_at_rate(entry.caller, rate, codes)
            took_s = time.monotonic() - started
            row = {
                "date": time.strftime("%Y-%m-%d"),
                "name": "coordinator",
                "offered_per_s": rate,
                "answered": codes.count(200),
                "other": len(codes) - codes.count(200),
                "cpu_ms_per_s": round((read_cpu_s(coordinator) - cpu_s) / took_s * 1e3, 2),
                "link_bytes_per_s": round((read_link_bytes(coordinator) - link_bytes) / took_s),
            }
            text = json.dumps(row)
            out.write(text + "\n")
            sys.stdout.write(text + "\n")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
