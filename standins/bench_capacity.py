"""Benchmark of routing a grant request and of holding the state in force, at the target size."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import hashlib
import json
import resource
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

import structlog

from balsamtally.contracts import Customer, Pool, RequestClass
from balsamtally.facts import Facts
from balsamtally.load import RunnerView
from balsamtally.machines import BackendServer, EntryVm
from balsamtally.members import Members
from balsamtally.messages import Ask, MemberState
from balsamtally.observers import Observers, RunnerObservation
from balsamtally.routes import Routes
from balsamtally.streams import Runners
from balsamtally.tickets import Ticket, decode_ticket, encode_ticket
from balsamtally.zones import FailureDomain
from standins.fleet import Backend, find_addresses

# Size of the target installation.
DOMAINS = 7
NODES = 340
RUNNERS = 1_300
CUSTOMERS = 1_800
POOLS = 28

# Repetitions of each measurement.
CHANGES = 1_100
LOOPS = 300
RESULTS = Path("bench-results/capacity.jsonl")


def measure_cpu_us(work: Callable[[], object], loops: int) -> float:
    """Return the mean CPU time of one call, in microseconds.

    :param work: function to call
    :param loops: number of calls
    """
    before = resource.getrusage(resource.RUSAGE_SELF)
    for _ in range(loops):
        work()
    after = resource.getrusage(resource.RUSAGE_SELF)
    return (after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime) / loops * 1e6


def make_objects(scale: float) -> list:
    """Return the objects of a simulated installation.

    :param scale: size as a share of the target size
    """
    domains = [FailureDomain(f"d{number}", f"r{number % 3}") for number in range(DOMAINS)]
    classes = [RequestClass(f"tier-{tier}", tier, 1_400.0) for tier in range(4)]
    pools = [Pool(f"m{number}") for number in range(POOLS)]
    backends = [
        BackendServer(
            f"runner-{number}",
            "model",
            f"10.0.{number // 250}.{number % 250}:8000",
            f"d{number % DOMAINS}",
            (f"m{number // DOMAINS % POOLS}",),
        )
        for number in range(int(RUNNERS * scale))
    ]
    customers = [
        Customer(
            f"customer-{number}",
            (hashlib.sha256(str(number).encode()).hexdigest(),),
            tuple(item.name for item in classes),
            requests_per_s=10.0,
        )
        for number in range(int(CUSTOMERS * scale))
    ]
    return domains + classes + pools + backends + customers


def measure_state(scale: float) -> dict:
    """Return the memory of the state in force, and the CPU time of accepting a change ticket.

    :param scale: size as a share of the target size
    """
    objects = make_objects(scale)
    body = encode_ticket(Ticket(1, 1, "bench", tuple(objects)))
    tracemalloc.start()
    facts = Facts()
    facts.accept(decode_ticket(body), body)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    changes = iter(
        [
            encode_ticket(Ticket(1, number + 2, "bench", (objects[-1 - number % len(objects)],)))
            for number in range(CHANGES)
        ]
    )

    def change() -> None:
        text = next(changes)
        facts.accept(decode_ticket(text), text)

    return {
        "name": "state",
        "scale": scale,
        "objects": len(objects),
        "memory_kb": round(size / 1e3),
        "change_cpu_us": round(measure_cpu_us(change, CHANGES)),
    }


def make_routes(scale: float) -> Routes:
    """Return the routes of an entry VM in an installation of a given size.

    :param scale: size as a share of the target size
    """
    facts = Facts()
    facts.accept(Ticket(1, 1, "bench", tuple(make_objects(scale))))
    own = EntryVm("vm-0", "10.9.0.0:81", "d0", "r0", "i")
    members = Members(own)
    for number in range(1, int(NODES * scale)):
        domain = number % DOMAINS
        address = f"10.9.{number // 250}.{number % 250}:81"
        members.merge_state(
            MemberState(f"vm-{number}", address, f"d{domain}", f"r{domain % 3}", "i", 1)
        )
    return Routes("d0", facts, members)


def measure_routes(scale: float) -> dict:
    """Return the CPU time of finding coordinators and of listing a coordinator's own runners.

    :param scale: size as a share of the target size
    """
    routes = make_routes(scale)
    asks = iter(Ask(f"req-{number}", 1, "m3", "customer-1", "tier-0") for number in range(LOOPS))

    def view(servers: list[BackendServer], pool: str) -> list[RunnerView]:
        return [RunnerView(server.name, server.slots) for server in servers]

    return {
        "name": "routes",
        "scale": scale,
        "rank_cpu_us": round(measure_cpu_us(lambda: routes.rank(next(asks), "d0"), LOOPS)),
        "own_view_cpu_us": round(
            measure_cpu_us(lambda: routes.list_grantable_runners("m3", view), LOOPS)
        ),
        "responsible_cpu_us": round(
            measure_cpu_us(lambda: routes.find_coordinator("m3", "runner-21"), LOOPS)
        ),
    }


def measure_poll() -> dict:
    """Return the CPU time of polling a runner's load report once, without that of the runner."""
    [address] = find_addresses(1)
    folder = Path("bench-results")
    arguments = ["standins.runner", "--address", address]
    with Backend("bench-runner", arguments, folder) as backend, Runners() as runners:
        backend.wait_ready(time.monotonic() + 30)
        server = BackendServer("r", "model", address, "d0", ("m",))
        observers, observed = Observers(runners), RunnerObservation()
        cost = measure_cpu_us(lambda: observers._poll(server, observed), LOOPS)
    return {"name": "poll", "cpu_us": round(cost)}


def main() -> None:
    """Print a JSON line for each measurement, and append the lines to ``RESULTS``."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    RESULTS.parent.mkdir(exist_ok=True)
    rows = [measure_state(scale) for scale in (0.25, 0.5, 1.0)]
    rows += [measure_routes(scale) for scale in (0.25, 0.5, 1.0)]
    rows.append(measure_poll())
    with RESULTS.open("a") as file:
        for row in rows:
            text = json.dumps({"date": time.strftime("%Y-%m-%d"), **row})
            file.write(text + "\n")
            sys.stdout.write(text + "\n")


if __name__ == "__main__":
    main()
