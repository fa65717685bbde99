"""The demo: a small installation under load that loses a daemon and a model runner.

It exits with 0 only if every whole answer was the caller's own, no service call broke what its
caller was told, and each class got answers.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import json
import shutil
import signal
import sys
import time
from collections import Counter
from pathlib import Path

import defopt
import gevent
from gevent.event import Event

from balsamtally.contracts import Operation, RequestClass
from balsamtally.logs import set_up_logs
from standins.callers import make_key
from standins.fleet import EXAMPLES, Fleet
from standins.load import Arrivals, Load, load_facts
from standins.results import ClassResult, Outcome, Report, count_reports, find_broken_calls

FOLDER = Path("demo-run")
CLASS_RATES = (4.0, 3.0, 1.5, 1.0)
CALL_RATE = 1.5
BURST_RATE = 20.0
BURST_START = 0.3
BURST_STOP = 0.5
DAEMON_KILLED = 0.4
RUNNER_KILLED = 0.6
PROGRESS_S = 5.0
RUNNER_FLAGS = ("--token-ms", "20")
COLUMNS = ("sent", "whole", "met", "goodput", "wasted", "retried", "refused", "cut", "unknown")
COLUMNS += ("wrong", "failed", "p95 ms")


def choose_streams(load: Load, service: str, operations: tuple[Operation, ...], duration_s: float):
    """Return the streams of the demo.

    :param load: the load tool, whose state gives the classes
    :param service: name of the plain service
    :param operations: its operations
    :param duration_s: length of the run in seconds
    """
    classes = sorted(load.facts.list(RequestClass), key=lambda item: item.tier)
    rates = zip(classes, CLASS_RATES, strict=True)
    streams = [Arrivals(item.name, rate) for item, rate in rates]
    streams += [Arrivals(f"{service}/{operation.name}", CALL_RATE) for operation in operations]
    start_s, stop_s = BURST_START * duration_s, BURST_STOP * duration_s
    streams.append(Arrivals(classes[-1].name, BURST_RATE, start_s=start_s, stop_s=stop_s))
    return streams


def count_retries(fleet: Fleet) -> Counter[str]:
    """Return the retries that the daemons logged, by class."""
    retries: Counter[str] = Counter()
    for vm in fleet.vms.values():
        for line in vm.read_log().splitlines():
            if '"decision": "retry"' in line:
                retries[json.loads(line).get("request_class", "")] += 1
    return retries


def make_row(result: ClassResult, wasted: int, retried: int) -> list[str]:
    """Return the cells of a class, in the order of COLUMNS."""
    told = result.outcomes
    cells = [result.sent, told[Outcome.WHOLE], result.met_target, result.goodput_tokens]
    cells += [wasted, retried, told[Outcome.REFUSED], told[Outcome.CUT], told[Outcome.UNKNOWN]]
    cells += [told[Outcome.WRONG], told[Outcome.FAILED]]
    return [str(cell) for cell in cells] + [str(result.describe("")["first_token_p95_ms"] or "-")]


def print_table(reports: list[Report], retries: Counter[str]) -> None:
    """Print the counts of each class; wasted are the tokens received of answers not whole."""
    results = count_reports(reports)
    width = max(len(name) for name in results)
    print(" ".join(["class".ljust(width), *(name.rjust(8) for name in COLUMNS)]))
    for name, result in results.items():
        wasted = sum(
            report.tokens
            for report in reports
            if report.name == name and report.outcome is not Outcome.WHOLE
        )
        row = make_row(result, wasted, retries[name])
        print(" ".join([name.ljust(width), *(cell.rjust(8) for cell in row)]))
    codes = sum((result.codes for result in results.values()), Counter())
    print(f"errors by numbered code: {dict(sorted(codes.items()))}")


class Run:
    """One run of the demo.

    :param fleet: the started fleet
    :param load: the load tool
    :param duration_s: length of the run in seconds
    """

    def __init__(self, fleet: Fleet, load: Load, duration_s: float):
        self.fleet = fleet
        self.load = load
        self.duration_s = duration_s
        self.begun = time.monotonic()
        self.lost_generated = 0

    def say(self, text: str) -> None:
        """Print a line of progress."""
        print(f"{time.monotonic() - self.begun:5.1f} s  {text}", flush=True)

    def show_progress(self) -> None:
        """Print progress for ever; meant for a greenlet."""
        while True:
            gevent.sleep(PROGRESS_S)
            whole = sum(report.outcome is Outcome.WHOLE for report in self.load.reports)
            self.say(f"{self.load.sent} sent, {len(self.load.reports)} ended, {whole} whole")

    def cause_failures(self) -> None:
        """Kill a daemon and then a model runner; meant for a greenlet."""
        gevent.sleep(DAEMON_KILLED * self.duration_s)
        daemon = list(self.fleet.vms.values())[-1]
        self.say(f"killing the daemon {daemon.name}")
        daemon.kill()
        gevent.sleep((RUNNER_KILLED - DAEMON_KILLED) * self.duration_s)
        runner = next(iter(self.fleet.runners.values()))
        self.lost_generated = runner.counts()["generated"]
        self.say(f"killing the model runner {runner.name}")
        runner.kill()

    def perform(self) -> list[Report]:
        """Send the load while things fail, and return the reports."""
        service = self.fleet.service
        streams = choose_streams(self.load, service.name, service.operations, self.duration_s)
        helpers = [gevent.spawn(self.show_progress), gevent.spawn(self.cause_failures)]
        try:
            return self.load.run(streams, self.duration_s)
        finally:
            gevent.killall(helpers)

    def count_generated(self) -> int:
        """Return the tokens that all runners generated, the killed one's as last read."""
        runners = [runner for runner in self.fleet.runners.values() if runner.is_running()]
        return self.lost_generated + sum(runner.counts()["generated"] for runner in runners)

    def find_faults(self, reports: list[Report]) -> list[str]:
        """Return what must not have happened and did."""
        executions: Counter[str] = Counter()
        for service in self.fleet.services.values():
            for body, runs in service.counts()["bodies"].items():
                executions[json.loads(body)] += runs
        idempotent = [each.name for each in self.fleet.service.operations if each.idempotent]
        told = [report for report in reports if report.name not in idempotent]
        once = Counter({call: executions[call] for call in {report.call for report in told}})
        faults = find_broken_calls(told, once)
        faults += [
            f"{report.name}: wrong answer: {report.text}"
            for report in reports
            if report.outcome is Outcome.WRONG
        ]
        for name, result in count_reports(reports).items():
            if not result.outcomes[Outcome.WHOLE]:
                faults.append(f"{name}: no whole answer")
        return faults


def run_demo(fleet: Fleet, user: str, seed: int, duration_s: float) -> bool:
    """Run the load with its failures and print what came of it.

    :return: whether nothing happened that must not
    """
    addresses = [vm.caller for vm in fleet.vms.values()]
    load = Load(addresses, load_facts(EXAMPLES / user), seed)
    run = Run(fleet, load, duration_s)
    run.say(f"sending requests for {duration_s:g} s to {len(addresses)} daemons")
    reports = run.perform()
    print_table(reports, count_retries(fleet))
    goodput = sum(result.goodput_tokens for result in count_reports(reports).values())
    print(f"tokens generated {run.count_generated()}, of them in whole answers {goodput}")
    for report in reports:
        if report.outcome is Outcome.FAILED:
            print(f"failed: {report.name}: {report.text[:160]}")
    faults = run.find_faults(reports)
    for fault in faults:
        print(f"FAULT: {fault}")
    print("no fault" if not faults else f"{len(faults)} faults")
    return not faults


def print_examples(fleet: Fleet) -> None:
    """Print lines by which a person can try the fleet."""
    vm = next(iter(fleet.vms.values()))
    key = make_key("faro-rides" if fleet.service.name == "filing" else "paste-makers")
    curl = f"curl -s -H 'Authorization: Bearer {key}' http://{vm.caller}"
    chat = {
        "model": fleet.pool,
        "messages": [{"role": "user", "content": "Which tracks are open?"}],
        "stream": True,
    }
    path = f"/v1/services/{fleet.service.name}"
    once, often = sorted(fleet.service.operations, key=lambda each: each.idempotent)
    print(f"{curl}/v1/models")
    print(f"{curl}/v1/chat/completions -N -d '{json.dumps(chat)}'")
    print(f"{curl}{path}/{often.name} -d '\"question\"'")
    print(f"{curl}/v1/receipts -X POST")
    print(f"{curl}{path}/{once.name} -H 'Idempotency-Key: RECEIPT' -d '\"document\"'")
    for name, each in fleet.vms.items():
        print(f"{name}: callers {each.caller}, operators http://{each.operator}/metrics")
    print(f"platform: http://{fleet.platform.address}; logs in {fleet.folder}/; Ctrl-C ends all")


def wait_for_end() -> None:
    """Wait for Ctrl-C or SIGTERM."""
    ended = Event()
    gevent.signal_handler(signal.SIGINT, ended.set)
    gevent.signal_handler(signal.SIGTERM, ended.set)
    ended.wait()


def main(
    *,
    stay: bool = False,
    vms_per_domain: int = 1,
    user: str = "medanos-libres",
    seed: int = 1,
    duration: float = 30.0,
) -> None:
    """Start a small installation on this machine, and load it or leave it running.

    :param stay: leave it running until Ctrl-C, without load
    :param vms_per_domain: daemons in each of the three failure domains
    :param user: whose example tickets to publish
    :param seed: seed of all random choices
    :param duration: for how long to send requests, in seconds
    """
    set_up_logs("demo")
    shutil.rmtree(FOLDER, ignore_errors=True)
    print("starting the platform, the back ends and the daemons", flush=True)
    with Fleet(FOLDER, user, vms_per_domain=vms_per_domain, runner_flags=RUNNER_FLAGS) as fleet:
        if stay:
            print_examples(fleet)
            wait_for_end()
            return
        right = run_demo(fleet, user, seed, duration)
    sys.exit(0 if right else 1)


if __name__ == "__main__":
    defopt.run(main)
