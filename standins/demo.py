"""Demo: a small installation under load, during which a daemon and a model runner are killed.

Exits with 0 only if no caller received a wrong answer, the executions of every service call agree
with the response to its caller, and each class received at least one whole answer.
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
# Rates are in requests a second; start, stop and kill times are shares of the run's duration.
CLASS_RATES = (4.0, 3.0, 1.5, 1.0)
CALL_RATE = 1.5
BURST_RATE = 20.0
BURST_START = 0.3
BURST_STOP = 0.5
DAEMON_KILL = 0.4
RUNNER_KILL = 0.6
PROGRESS_S = 5.0
RUNNER_FLAGS = ("--token-ms", "20")
COLUMNS = ("sent", "whole", "met", "goodput", "wasted", "retried", "refused", "cut", "unknown")
COLUMNS += ("wrong", "failed", "p95 ms")


def choose_streams(load: Load, service: str, operations: tuple[Operation, ...], duration_s: float):
    """Return the request streams: one for each class and operation, and a burst of the last tier.

    :param load: load generator, whose state gives the request classes
    :param service: name of the plain service
    :param operations: operations of the plain service
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
    """Return the number of retries that the daemons logged, by request class."""
    retries: Counter[str] = Counter()
    for vm in fleet.vms.values():
        for line in vm.read_log().splitlines():
            if '"decision": "retry"' in line:
                retries[json.loads(line).get("request_class", "")] += 1
    return retries


def make_row(result: ClassResult, wasted: int, retried: int) -> list[str]:
    """Return the table cells of a class, in the order of COLUMNS."""
    counts = result.outcomes
    cells = [result.sent, counts[Outcome.WHOLE], result.met_target, result.goodput_tokens]
    cells += [
        wasted,
        retried,
        counts[Outcome.REFUSED],
        counts[Outcome.CUT],
        counts[Outcome.UNKNOWN],
    ]
    cells += [counts[Outcome.WRONG], counts[Outcome.FAILED]]
    return [str(cell) for cell in cells] + [str(result.describe("")["first_token_p95_ms"] or "-")]


def print_table(reports: list[Report], retries: Counter[str]) -> None:
    """Print the counts of each class.

    The column ``wasted`` counts the tokens received in answers that were not whole.
    """
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
    :param load: load generator
    :param duration_s: length of the run in seconds
    """

    def __init__(self, fleet: Fleet, load: Load, duration_s: float):
        self.fleet = fleet
        self.load = load
        self.duration_s = duration_s
        self.started = time.monotonic()
        self.killed_runner_generated = 0

    def print_progress(self, text: str) -> None:
        """Print a line with the time since the start of the run."""
        print(f"{time.monotonic() - self.started:5.1f} s  {text}", flush=True)

    def show_progress(self) -> None:
        """Print the progress every ``PROGRESS_S``; runs in a greenlet until killed."""
        while True:
            gevent.sleep(PROGRESS_S)
            whole = sum(report.outcome is Outcome.WHOLE for report in self.load.reports)
            self.print_progress(
                f"{self.load.sent} sent, {len(self.load.reports)} ended, {whole} whole"
            )

    def inject_failures(self) -> None:
        """Kill a daemon and then a model runner; runs in a greenlet."""
        gevent.sleep(DAEMON_KILL * self.duration_s)
        daemon = list(self.fleet.vms.values())[-1]
        self.print_progress(f"killing the daemon {daemon.name}")
        daemon.kill()
        gevent.sleep((RUNNER_KILL - DAEMON_KILL) * self.duration_s)
        runner = next(iter(self.fleet.runners.values()))
        self.killed_runner_generated = runner.counts()["generated"]
        self.print_progress(f"killing the model runner {runner.name}")
        runner.kill()

    def send_load(self) -> list[Report]:
        """Send the load during the failures, and return the result of each request."""
        service = self.fleet.service
        streams = choose_streams(self.load, service.name, service.operations, self.duration_s)
        background = [gevent.spawn(self.show_progress), gevent.spawn(self.inject_failures)]
        try:
            return self.load.run(streams, self.duration_s)
        finally:
            gevent.killall(background)

    def count_generated(self) -> int:
        """Return the tokens that all runners generated.

        The count of the killed runner was read just before it was killed.
        """
        runners = [runner for runner in self.fleet.runners.values() if runner.is_running()]
        return self.killed_runner_generated + sum(
            runner.counts()["generated"] for runner in runners
        )

    def find_faults(self, reports: list[Report]) -> list[str]:
        """Return a text for each wrong answer, contradicted response and unanswered class."""
        executions: Counter[str] = Counter()
        for service in self.fleet.services.values():
            for body, runs in service.counts()["bodies"].items():
                executions[json.loads(body)] += runs
        idempotent = [each.name for each in self.fleet.service.operations if each.idempotent]
        # Idempotent operations may run more than once.
        checked = [report for report in reports if report.name not in idempotent]
        checked_executions = Counter(
            {call: executions[call] for call in {report.call for report in checked}}
        )
        faults = find_broken_calls(checked, checked_executions)
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
    """Run the load with its failures and print the results.

    :return: whether no fault was found
    """
    addresses = [vm.caller for vm in fleet.vms.values()]
    load = Load(addresses, load_facts(EXAMPLES / user), seed)
    run = Run(fleet, load, duration_s)
    run.print_progress(f"sending requests for {duration_s:g} s to {len(addresses)} daemons")
    reports = run.send_load()
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
    """Print curl commands and addresses for trying out the fleet by hand."""
    vm = next(iter(fleet.vms.values()))
    key = make_key("faro-rides" if fleet.service.name == "filing" else "paste-makers")
    curl = f"curl -s -H 'Authorization: Bearer {key}' http://{vm.caller}"
    chat = {
        "model": fleet.pool,
        "messages": [{"role": "user", "content": "Which tracks are open?"}],
        "stream": True,
    }
    path = f"/v1/services/{fleet.service.name}"
    non_idempotent, idempotent = sorted(fleet.service.operations, key=lambda each: each.idempotent)
    print(f"{curl}/v1/models")
    print(f"{curl}/v1/chat/completions -N -d '{json.dumps(chat)}'")
    print(f"{curl}{path}/{idempotent.name} -d '\"question\"'")
    print(f"{curl}/v1/receipts -X POST")
    print(f"{curl}{path}/{non_idempotent.name} -H 'Idempotency-Key: RECEIPT' -d '\"document\"'")
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
        passed = run_demo(fleet, user, seed, duration)
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    defopt.run(main)
