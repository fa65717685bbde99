"""Benchmark of the peer links: CPU time and bytes for each cast, call and idle peer.

A cast is a one-way message; a call waits for its reply.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import contextlib
import json
import resource
import sys
import time
from collections.abc import Callable
from pathlib import Path

import gevent

from balsamtally.links import Links
from balsamtally.loops import Loop
from balsamtally.messages import Ask, Grant, Release, Renew
from balsamtally.settings import Settings
from standins.fleet import find_addresses

CASTS = 20_000
CALLS = 2_000
BATCH = 100  # casts sent before the sender yields
IDLE_S = 10.0
MAX_PEERS = 48


def measure_cpu(work: Callable[[], None]) -> tuple[float, float]:
    """Return the CPU time and the elapsed time of a function call, in seconds.

    :param work: function to call
    """
    before = resource.getrusage(resource.RUSAGE_SELF)
    started = time.monotonic()
    work()
    took_s = time.monotonic() - started
    after = resource.getrusage(resource.RUSAGE_SELF)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime, took_s


def open_links(stack: contextlib.ExitStack, loop: Loop, count: int) -> list[Links]:
    """Open the links of several simulated VMs in this process.

    :param stack: stack that closes the links
    :param loop: loop of the process
    :param count: number of VMs
    :return: the links of each VM
    """
    addresses = dict(zip([f"vm-{i}" for i in range(count)], find_addresses(count), strict=True))
    return [
        stack.enter_context(
            Links(
                Settings(vm, "d", "r", peer_address=address, link_key="ab" * 16),
                addresses.get,
                loop,
            )
        )
        for vm, address in addresses.items()
    ]


def measure_casts(sender_links: Links, receiver_links: Links) -> dict:
    """Return the cost of a cast at both ends together, with casts sent in batches.

    :param sender_links: links of the sender
    :param receiver_links: links of the receiver
    """
    received = []
    receiver_links.handle(Release, lambda sender, message: received.append(1))

    def work() -> None:
        for number in range(CASTS):
            sender_links.cast(receiver_links.settings.vm, Release(f"g-{number}", "pool", 100, 0.5))
            if number % BATCH == BATCH - 1:
                gevent.sleep(0.001)
        while len(received) < CASTS:
            gevent.sleep(0.01)

    before = sender_links.sent_bytes
    cpu_s, took_s = measure_cpu(work)
    return {
        "name": "cast",
        "cpu_us_both_ends": cpu_s / CASTS * 1e6,
        "bytes": (sender_links.sent_bytes - before) / CASTS,
        "took_s": took_s,
    }


def measure_grants(entry_links: Links, coordinator_links: Links) -> dict:
    """Return the cost of a grant request sent as a call and a grant cast back, at both ends.

    :param entry_links: links of the entry VM
    :param coordinator_links: links of the coordinator
    """
    grants = []
    entry_links.handle(Grant, lambda sender, message: grants.append(1))

    def grant(sender: str, ask: Ask) -> None:
        coordinator_links.cast(sender, Grant("g", ask.request, 1, "runner", 4, "least_loaded", 6.0))

    coordinator_links.handle(Ask, grant)

    def work() -> None:
        for number in range(CALLS):
            ask = Ask(f"req-{number}", 1, "pool", "customer", "live")
            entry_links.call(coordinator_links.settings.vm, ask, 5.0)
        while len(grants) < CALLS:
            gevent.sleep(0.01)

    before = entry_links.sent_bytes + coordinator_links.sent_bytes
    cpu_s, took_s = measure_cpu(work)
    return {
        "name": "ask_and_grant",
        "cpu_us_both_ends": cpu_s / CALLS * 1e6,
        "bytes_both_ways": (entry_links.sent_bytes + coordinator_links.sent_bytes - before) / CALLS,
        "round_trip_ms": took_s / CALLS * 1e3,
    }


def measure_idle(links: list[Links]) -> dict:
    """Return the cost of open link streams that carry one small cast a second.

    :param links: links of each VM; the first VM casts to each of the others
    """
    for other in links[1:]:
        other.handle(Renew, lambda sender, message: None)
        links[0].call(other.settings.vm, Renew("pool", ()), 5.0)
    memory_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss

    def work() -> None:
        end = time.monotonic() + IDLE_S
        while time.monotonic() < end:
            for other in links[1:]:
                links[0].cast(other.settings.vm, Renew("pool", ()))
            gevent.sleep(1.0)

    cpu_s, took_s = measure_cpu(work)
    peers = len(links) - 1
    return {
        "name": "held_stream",
        "peers": peers,
        "cpu_us_a_second_both_ends": cpu_s / took_s / peers * 1e6,
        "resident_kb_in_all": memory_kb,
    }


def main() -> None:
    """Run all measurements; print a JSON line for each and append it to ``bench-results``."""
    rows = []
    with Loop() as loop, contextlib.ExitStack() as stack:
        links = open_links(stack, loop, MAX_PEERS + 1)
        rows.append(measure_casts(links[0], links[1]))
        rows.append(measure_grants(links[0], links[1]))
        rows += [measure_idle(links[: count + 1]) for count in (12, 24, MAX_PEERS)]
    Path("bench-results").mkdir(exist_ok=True)
    with Path("bench-results/links.jsonl").open("a") as file:
        for row in rows:
            text = json.dumps({"date": time.strftime("%Y-%m-%d"), **row})
            file.write(text + "\n")
            sys.stdout.write(text + "\n")


if __name__ == "__main__":
    main()
