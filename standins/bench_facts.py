"""Cost and delay of dissemination and membership by number of daemons, with real processes.

Run ``python -m standins.bench_facts [DOMAINSxDAEMONS ...]``, such as ``3x8 1x24`` for three failure
domains of 8 daemons and one of 24. Writes JSON lines to ``bench-results/facts.jsonl`` and to
standard output.
"""

import contextlib
import json
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from datetime import datetime
from pathlib import Path

import psutil

from balsamtally.contracts import Pool
from balsamtally.tickets import Ticket
from standins.fleet import Daemon, Fleet, FleetError

RESULTS = Path("bench-results/facts.jsonl")
DEFAULT_SIZES = ("3x2", "3x4", "3x8", "3x11", "1x24")
ATTEMPTS = 3
SETTLE_S = 8.0
IDLE_S = 60.0
TICKETS = 10
TICKET_INTERVAL_S = 1.0
FIRST_NUMBER = 100_000  # above the numbers of the example tickets
PAUSE_S = 10.0
DETECTION_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 60.0


def read_lines(vm: Daemon, event: str) -> Iterator[dict]:
    """Yield the fields of each log line of one event.

    :param vm: daemon whose log is read
    :param event: name of the event
    """
    for line in vm.read_log().splitlines():
        if f'"{event}"' in line and line.startswith("{"):
            fields = json.loads(line)
            if fields.get("event") == event:
                yield fields


def read_time(fields: dict) -> float:
    """Return the time of a log line, in seconds since the epoch."""
    return datetime.fromisoformat(fields["timestamp"]).timestamp()


def read_link_bytes(vm: Daemon) -> float:
    """Return the bytes that a daemon sent and received over its links."""
    lines = (vm.read("/metrics") or b"").decode().splitlines()
    return sum(float(line.split()[-1]) for line in lines if line.startswith("balsamtally_link_b"))


def read_cpu_s(vm: Daemon) -> float:
    """Return the CPU time that a daemon has used, in seconds."""
    times = psutil.Process(vm.pid).cpu_times()
    return times.user + times.system


def count_reads(fleet: Fleet) -> int:
    """Return the number of key-value and health reads of the platform."""
    counts = fleet.platform.counts()
    return counts.get("kv", 0) + counts.get("health", 0)


def measure_idle(fleet: Fleet) -> dict:
    """Return the mean cost of an idle daemon, and the rate of reads of the platform.

    :param fleet: started fleet
    """
    vms = list(fleet.vms.values())
    bytes_before = sum(map(read_link_bytes, vms))
    cpu_before = sum(map(read_cpu_s, vms))
    reads = count_reads(fleet)
    started = time.monotonic()
    time.sleep(IDLE_S)
    took_s = time.monotonic() - started
    cpu_s = sum(map(read_cpu_s, vms)) - cpu_before
    link_bytes = sum(map(read_link_bytes, vms)) - bytes_before
    memory = [psutil.Process(vm.pid).memory_info().rss for vm in vms]
    return {
        "cpu_percent": round(100 * cpu_s / took_s / len(vms), 3),
        "link_bytes_per_s": round(link_bytes / took_s / len(vms), 1),
        "platform_reads_per_s": round((count_reads(fleet) - reads) / took_s, 3),
        "memory_mb": round(statistics.mean(memory) / 1e6, 1),
    }


def wait_for(check: Callable[[], bool], limit_s: float = DETECTION_TIMEOUT_S) -> bool:
    """Wait until a condition holds, and return whether it held in time.

    :param check: returns whether the condition holds
    :param limit_s: longest wait in seconds
    """
    deadline = time.monotonic() + limit_s
    while not check():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.2)
    return True


def measure_tickets(fleet: Fleet) -> dict:
    """Return the time from publishing a ticket to its acceptance by each daemon.

    :param fleet: started fleet
    """
    published = {}
    for number in range(FIRST_NUMBER, FIRST_NUMBER + TICKETS):
        published[number] = time.time()
        fleet.publish(Ticket(1, number, "bench", (Pool(f"bench-{number}"),)))
        time.sleep(TICKET_INTERVAL_S)
    time.sleep(SETTLE_S)
    times = []
    for vm in fleet.vms.values():
        for fields in read_lines(vm, "ticket_accepted"):
            if fields["number"] in published:
                times.append(read_time(fields) - published[fields["number"]])
    return {
        "accepted": len(times),
        "expected": TICKETS * len(fleet.vms),
        "accept_p50_ms": round(1000 * statistics.median(times), 1),
        "accept_max_ms": round(1000 * max(times), 1),
    }


def find_changes(vms: list[Daemon], member: str, status: str, since: float) -> list[float]:
    """Return when each daemon first logged a status of a member, in seconds after a start time.

    :param vms: observing daemons
    :param member: name of the member
    :param status: status such as ``dead``, or ``leaving``
    :param since: start time in seconds since the epoch
    """
    found = []
    for vm in vms:
        times = [
            read_time(fields) - since
            for fields in read_lines(
                vm, f"member_{'leaving' if status == 'leaving' else 'changed'}"
            )
            if fields["member"] == member and fields.get("status", status) == status
        ]
        found += (
            [min(time_s for time_s in times if time_s > 0)] if max(times, default=0) > 0 else []
        )
    return found


def measure_change(vms: list[Daemon], member: str, status: str, since: float) -> dict:
    """Return how long the daemons take to log a status of a member.

    Waits up to ``DETECTION_TIMEOUT_S``; the parameters are those of ``find_changes``.
    """
    wait_for(lambda: len(find_changes(vms, member, status, since)) == len(vms))
    times = find_changes(vms, member, status, since)
    return {
        "seen_by": len(times),
        "expected": len(vms),
        "p50_s": round(statistics.median(times), 2) if times else None,
        "max_s": round(max(times), 2) if times else None,
    }


def measure_faults(fleet: Fleet) -> Iterator[dict]:
    """Yield the times to detect that a daemon is paused, resumes, leaves or is killed.

    :param fleet: started fleet
    """
    first = fleet.domains[0].name
    local_vms = [vm for vm in fleet.vms.values() if vm.domain == first]
    remote_vms = [vm for vm in fleet.vms.values() if vm.domain != first]
    paused, killed = local_vms[0], local_vms[-1]
    started = time.time()
    paused.pause()
    time.sleep(PAUSE_S)
    yield {"fault": "pause", **measure_change(local_vms[1:], paused.name, "dead", started)}
    started = time.time()
    paused.resume()
    yield {"fault": "wake", **measure_change(local_vms[1:], paused.name, "alive", started)}
    time.sleep(SETTLE_S)
    started = time.time()
    paused.leave()
    local_vms.remove(paused)
    yield {"fault": "leave", **measure_change(local_vms, paused.name, "leaving", started)}
    started = time.time()
    killed.kill()
    yield {"fault": "kill", **measure_change(local_vms[:-1], killed.name, "dead", started)}
    if remote_vms:
        seen = measure_change(remote_vms, killed.name, "dead", started)
        yield {"fault": "kill, other domains", **seen}


def measure_restart(fleet: Fleet) -> dict:
    """Return the time and platform reads of restarting all daemons of a failure domain at once.

    :param fleet: started fleet
    """
    vms = [vm for vm in fleet.vms.values() if vm.domain == fleet.domains[0].name]
    for vm in vms:
        vm.kill()
    reads = count_reads(fleet)
    started = time.monotonic()
    for vm in vms:
        vm.start()
    deadline = time.monotonic() + READY_TIMEOUT_S
    for vm in vms:
        vm.wait_ready(deadline)
    took_s = time.monotonic() - started
    return {
        "restarted": len(vms),
        "ready_s": round(took_s, 2),
        "platform_reads": count_reads(fleet) - reads,
    }


def start_fleet(folder: Path, domains: int, per_domain: int) -> Fleet:
    """Return a started fleet, with up to ``ATTEMPTS`` attempts in case a port is already in use.

    :param folder: folder of the logs
    :param domains: number of failure domains
    :param per_domain: number of daemons in each failure domain
    """
    for attempt in range(ATTEMPTS):
        fleet = Fleet(folder / str(attempt), "medanos-libres", domains, per_domain, 0)
        try:
            return fleet.__enter__()
        except FleetError:
            if attempt == ATTEMPTS - 1:
                raise
    raise AssertionError("ATTEMPTS must be at least 1")


def measure_fleet(domains: int, per_domain: int) -> Iterator[dict]:
    """Yield the measurements of one fleet.

    :param domains: number of failure domains
    :param per_domain: number of daemons in each failure domain
    """
    with tempfile.TemporaryDirectory(prefix="bench-facts-") as folder:
        with contextlib.closing(start_fleet(Path(folder), domains, per_domain)) as fleet:
            time.sleep(SETTLE_S)
            yield {"measure": "idle", **measure_idle(fleet)}
            yield {"measure": "tickets", **measure_tickets(fleet)}
            for result in measure_faults(fleet):
                yield {"measure": "fault", **result}
            yield {"measure": "restart", **measure_restart(fleet)}


def main() -> None:
    """Measure fleets of the sizes given as arguments, or of ``DEFAULT_SIZES``."""
    RESULTS.parent.mkdir(exist_ok=True)
    with RESULTS.open("a") as out:
        for size in sys.argv[1:] or DEFAULT_SIZES:
            domains, per_domain = map(int, size.split("x"))
            for result in measure_fleet(domains, per_domain):
                line = json.dumps({"fleet": size, "daemons": domains * per_domain, **result})
                print(line, flush=True)
                print(line, file=out, flush=True)


if __name__ == "__main__":
    main()
