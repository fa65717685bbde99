"""Benchmark of the latency of service calls with a receipt, compared with calls without one."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import json
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import urllib3

from standins.callers import make_headers
from standins.fleet import Daemon, Fleet
from standins.results import find_percentile_ms

RESULTS = Path("bench-results")
CUSTOMER = "faro-rides"
CALLS = 300
WARM_UP_CALLS = 20
IDEMPOTENT, NON_IDEMPOTENT = "lookup", "record"


def measure(call: Callable[[int], None]) -> dict[str, float]:
    """Return the median and the 95th percentile of a call's latency, in milliseconds.

    The first ``WARM_UP_CALLS`` calls are not counted.

    :param call: function that makes one call, given its number
    """
    times = []
    for number in range(WARM_UP_CALLS + CALLS):
        started = time.monotonic()
        call(number)
        times.append(time.monotonic() - started)
    measured = times[WARM_UP_CALLS:]
    return {f"p{part}_ms": find_percentile_ms(measured, part / 100) for part in (50, 95)}


def main() -> None:
    """Measure each way to call the service, and write a JSON line for each."""
    http = urllib3.PoolManager(retries=False)

    def post(address: str, path: str, number: int = 0, **headers: str) -> bytes:
        url, all_headers = f"http://{address}{path}", make_headers(CUSTOMER, **headers)
        reply = http.request("POST", url, body=json.dumps(number).encode(), headers=all_headers)
        if reply.status != 200:
            raise RuntimeError(f"{reply.status}: {reply.data!r}")
        return reply.data

    def record(issuer: Daemon, entry: Daemon, number: int) -> None:
        receipt = json.loads(post(issuer.caller, "/v1/receipts"))["receipt"]
        path = f"/v1/services/{fleet.service.name}/{NON_IDEMPOTENT}"
        post(entry.caller, path, number, Idempotency_Key=receipt)

    with tempfile.TemporaryDirectory() as folder:
        with Fleet(Path(folder), domains=1, vms_per_domain=2, runners_per_domain=1) as fleet:
            first, second = fleet.vms.values()
            [service] = fleet.services.values()
            path = f"/v1/services/{fleet.service.name}/{IDEMPOTENT}"
            ways = {
                "direct to the service": lambda n: post(service.address, f"/{IDEMPOTENT}", n),
                "forwarded, no receipt": lambda n: post(first.caller, path, n),
                "receipt alone": lambda n: post(first.caller, "/v1/receipts"),
                "receipt and call at the issuer": lambda n: record(first, first, n),
                "receipt and call at another VM": lambda n: record(first, second, n),
            }
            lines = [{"way": way, "calls": CALLS, **measure(call)} for way, call in ways.items()]
    RESULTS.mkdir(exist_ok=True)
    text = "".join(json.dumps(line) + "\n" for line in lines)
    (RESULTS / "outcomes.jsonl").write_text(text)
    print(text, end="")


if __name__ == "__main__":
    main()
