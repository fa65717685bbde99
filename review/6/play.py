"""A runner leaves while the processes that read the store are down; the others never learn of it."""

import sys
import time
from pathlib import Path

import gevent

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import (  # noqa: E402
    BOUNDS, BROKEN, HELD, TROUBLE, Deployment, Record, Runner, Unfit, answer, call, make_config,
    run_case, sign,
)  # fmt: skip

ZONES = ["rocha-a", "mvd-a", "poa-a"] * 2
WORK_S = 0.3
# Time until the first process that was killed starts again, and from each to the next.
RESTART_S = 0.1
BETWEEN_S = 0.15
DRAIN_S = BOUNDS["drain_ms"] / 1000
# "and a little longer (at times many seconds)"
LONGER_S = 6.0


def work(runner, sock, run) -> str:
    gevent.sleep(WORK_S)
    sock.sendall(answer(200, run.attempt, b"filed", sign(runner, run.attempt)))
    return "ok"


def list_readers(made: Deployment) -> list:
    """Return the daemons that read the store, by their logs."""
    return [vm for vm in made.vms
            if (states := vm.read_events("platform_reading")) and states[-1]["now"] == "READING"]  # fmt: skip


def play(record: Record, made: Deployment) -> int:
    runners = [Runner(made.store, f"i-desk-{i}", "desk", zone, record, work)
               for i, zone in enumerate(["rocha-a", "mvd-a", "poa-a"])]  # fmt: skip
    routes = [{"name": "sign", "path_prefix": "/sign/", "type": "non_idempotent",
               "service": "desk", "max_attempts": 2, "timeout_ms": 3000}]  # fmt: skip
    services = [{"name": "desk", "health_check": "/health", "max_connections": 110}]
    made.store.put("op/config", make_config(1, routes, services))
    for runner in runners:
        runner.register()
    made.start(ZONES)
    gevent.sleep(5.0)
    readers = list_readers(made)
    until_s = time.monotonic() + 10.0
    # herd_kill takes 0.6 of the machines at most.
    while not 0 < len(readers) <= 0.6 * len(made.vms):
        if time.monotonic() > until_s:
            raise Unfit(f"{len(readers)} of {len(made.vms)} daemons read the store")
        gevent.sleep(0.5)
        readers = list_readers(made)
    record.write(f"readers of the store: {[vm.name for vm in readers]}")
    others = [vm for vm in made.vms if vm not in readers]
    # An ordinary change of the configuration, as some come every minute.
    made.store.put("op/config", make_config(2, routes, services))
    gevent.sleep(0.4)
    if TROUBLE:
        record.write(f"SIGKILL to {[vm.name for vm in readers]}")
        for vm in readers:
            vm.kill()
    gevent.sleep(RESTART_S / 2)
    leaver = runners[0]
    leaver.leave_store()
    acknowledged_s = time.monotonic()
    record.write(f"the store has acknowledged the removal of servers/{leaver.name}")
    gevent.sleep(RESTART_S / 2)
    if TROUBLE:
        for vm in readers:
            vm.write_settings(made.vms, made.store.address, False)
            vm.start()
            record.write(f"{vm.name} starts again")
            gevent.sleep(BETWEEN_S)

    seen, calls = [], []

    def send(vm) -> None:
        seen.append((vm, call(record, vm, "POST", "/sign/1", 3000, {}, b"waiver")))

    exit_s = acknowledged_s + DRAIN_S + LONGER_S
    while time.monotonic() < exit_s:
        for vm in others:
            calls.append(gevent.spawn(send, vm))
        gevent.sleep(0.2)
    leaver.exit()
    record.write(f"{leaver.name} exits")
    gevent.joinall(calls, timeout=6.0)

    late = [run for run in leaver.runs if run.at_s > acknowledged_s + DRAIN_S]
    lost = [run for run in late if run.ended != "ok"]
    answers = {outcome.attempt: outcome for _, outcome in seen}
    for run in lost:
        outcome = answers.get(run.attempt)
        record.write(f"ran at {leaver.name}, its answer is lost: {run.attempt}, "
                     f"client's status {outcome.status if outcome else 'none'}")  # fmt: skip
    latest_s = max((run.at_s for run in late), default=acknowledged_s) - acknowledged_s
    record.write(
        f"{len(late)} of {len(seen)} requests reached {leaver.name} later than {DRAIN_S} s after the "
        f"acknowledgement (the last one {latest_s:.1f} s after it), {len(lost)} of them were cut by "
        f"its exit; all were sent to daemons that ran all the while"
    )
    return BROKEN if late else HELD


run_case(str(Path(__file__).resolve().parent), play)
