"""Benchmarks of one daemon, compared with direct calls to the stand-ins in the same run."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import json
import os
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path

import defopt
import gevent
import psutil

from balsamtally.contracts import RequestClass
from balsamtally.logs import set_up_logs
from standins.callers import Chat, Entries, send_chat
from standins.fleet import Fleet, Process
from standins.results import Outcome, Report, find_percentile_ms
from standins.streamers import list_prompts

RESULTS = Path("bench-results")
CUSTOMER = "buggy-cabo"
REQUEST_CLASS = RequestClass("waiver-live", 0, 60_000, 60_000)
FAST_FLAGS = ("--token-ms", "2", "--batch-slowdown", "0", "--prefill-token-ms", "0")
FIRST_TOKEN_REQUESTS = 300
CPU_REQUESTS = 150
CPU_PARALLEL = 4
SHORT_TOKENS = 10
LONG_TOKENS = 90
STREAM_PROCESSES = 4
STREAMS_PER_PROCESS = 50
STREAM_TOKENS = 300
STREAM_FLAGS = ("--token-ms", "25", "--batch-slowdown", "0", "--prefill-token-ms", "0")
STREAM_WARM_UP_S = 4.0
STREAM_MEASURED_S = 10.0
IDLE_S = 10.0
MEGABYTE = 1_000_000
NANOSECONDS_PER_S = 1_000_000_000


def read_cpu_s(process: Process) -> float:
    """Return the CPU time that all threads of a process have used, in seconds.

    Reads ``schedstat``, which counts nanoseconds; the process's ``stat`` counts ticks of 10 ms.
    """
    accounts = Path(f"/proc/{process.pid}/task").glob("*/schedstat")
    return sum(int(account.read_text().split()[0]) for account in accounts) / NANOSECONDS_PER_S


def start_fleet(stack: ExitStack, **options: object) -> Fleet:
    """Start a fleet with one failure domain in a temporary folder; the stack stops the fleet."""
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    return stack.enter_context(Fleet(folder, domains=1, **options))


def send_chats(address: str, model: str, seed: str, number: int, tokens: int) -> list[Report]:
    """Send streamed requests, ``CPU_PARALLEL`` at a time.

    :param address: address of the daemon or runner
    :param model: name of the model
    :param seed: text at the start of each question
    :param number: number of requests, rounded down to a multiple of ``CPU_PARALLEL``
    :param tokens: length of each answer in tokens
    :return: result of each request
    :raises RuntimeError: if an answer is not whole
    """
    entries = Entries([address])
    prompts = list_prompts(seed, tokens)
    reports: list[Report] = []

    def send_in_sequence() -> None:
        for _ in range(number // CPU_PARALLEL):
            chat = Chat(REQUEST_CLASS, CUSTOMER, model, next(prompts), tokens)
            reports.append(send_chat(entries, chat))

    gevent.joinall([gevent.spawn(send_in_sequence) for _ in range(CPU_PARALLEL)], raise_error=True)
    check_whole(reports)
    return reports


def check_whole(reports: list[Report]) -> None:
    """Raise an error if an answer is not whole, since its figures are not comparable.

    :raises RuntimeError: if an answer is not whole
    """
    for report in reports:
        if report.outcome is not Outcome.WHOLE:
            raise RuntimeError(f"answer is not whole: {report}")


def measure_first_token() -> dict:
    """Return the time to first token through a daemon and of direct calls, sent alternately."""
    with ExitStack() as stack:
        fleet = start_fleet(stack, runners_per_domain=1, runner_flags=FAST_FLAGS)
        (vm,), (runner,) = fleet.vms.values(), fleet.runners.values()
        ways = {"direct": Entries([runner.address]), "routed": Entries([vm.caller])}
        times_s: dict[str, list[float]] = {way: [] for way in ways}
        prompts = list_prompts("first token", SHORT_TOKENS)
        for _ in range(FIRST_TOKEN_REQUESTS):
            for way, entries in ways.items():
                chat = Chat(REQUEST_CLASS, CUSTOMER, fleet.pool, next(prompts), SHORT_TOKENS)
                report = send_chat(entries, chat)
                check_whole([report])
                times_s[way].append(report.first_token_s)
    figures = {"requests": FIRST_TOKEN_REQUESTS}
    for name, share in (("p50", 0.5), ("p95", 0.95)):
        direct, routed = (find_percentile_ms(times_s[way], share) for way in ways)
        figures |= {
            f"direct_{name}_ms": direct,
            f"routed_{name}_ms": routed,
            f"added_{name}_ms": round(routed - direct, 2),
            f"ratio_{name}": round(routed / direct, 2),
        }
    return figures


def measure_cpu() -> dict:
    """Return the CPU time of a daemon per request and per token, and that of a runner.

    The difference between two answer lengths gives the cost per token; the rest is per request.
    """
    with ExitStack() as stack:
        fleet = start_fleet(stack, runners_per_domain=1, runner_flags=FAST_FLAGS)
        (vm,), (runner,) = fleet.vms.values(), fleet.runners.values()
        send_chats(vm.caller, fleet.pool, "warm up", CPU_PARALLEL * 5, SHORT_TOKENS)
        cost_ms: dict[tuple[str, int], float] = {}
        for tokens in (SHORT_TOKENS, LONG_TOKENS):
            before = read_cpu_s(vm), read_cpu_s(runner)
            reports = send_chats(vm.caller, fleet.pool, f"cpu {tokens}", CPU_REQUESTS, tokens)
            after = read_cpu_s(vm), read_cpu_s(runner)
            for way, used in zip(
                ("daemon", "runner"), zip(before, after, strict=True), strict=True
            ):
                cost_ms[way, tokens] = 1000 * (used[1] - used[0]) / len(reports)
    figures: dict = {"requests": CPU_REQUESTS}
    for way in ("daemon", "runner"):
        short, long = cost_ms[way, SHORT_TOKENS], cost_ms[way, LONG_TOKENS]
        token = (long - short) / (LONG_TOKENS - SHORT_TOKENS)
        figures[f"{way}_request_ms"] = round(short - token * SHORT_TOKENS, 3)
        figures[f"{way}_token_ms"] = round(token, 4)
        figures[f"{way}_request_of_{LONG_TOKENS}_tokens_ms"] = round(long, 2)
    ratio = cost_ms["daemon", LONG_TOKENS] / cost_ms["runner", LONG_TOKENS]
    figures["daemon_to_runner"] = round(ratio, 2)
    return figures


def measure_streams() -> dict:
    """Return the CPU time, memory and latency of a daemon under many concurrent streams.

    200 streams are in flight, with 40 tokens a second each.
    """
    with ExitStack() as stack:
        streams = STREAM_PROCESSES * STREAMS_PER_PROCESS
        fleet = start_fleet(stack, slots=streams // 2, runner_flags=STREAM_FLAGS)
        (vm,) = fleet.vms.values()
        duration_s = STREAM_WARM_UP_S + STREAM_MEASURED_S
        callers = [
            stack.enter_context(start_streamers(fleet, number, duration_s))
            for number in range(STREAM_PROCESSES)
        ]
        gevent.sleep(STREAM_WARM_UP_S)
        generated, cpu_s, started = count_generated(fleet), read_cpu_s(vm), time.monotonic()
        gevent.sleep(STREAM_MEASURED_S)
        elapsed_s = time.monotonic() - started
        tokens_per_s = (count_generated(fleet) - generated) / elapsed_s
        cores = (read_cpu_s(vm) - cpu_s) / elapsed_s
        memory = psutil.Process(vm.pid).memory_info().rss / MEGABYTE
        for caller in callers:
            caller.process.wait()
        summaries = [json.loads(caller.read_log().splitlines()[-1]) for caller in callers]
    return {
        "streams": streams,
        "tokens_per_s": round(tokens_per_s),
        "daemon_cores": round(cores, 3),
        "daemon_token_ms": round(1000 * cores / tokens_per_s, 4),
        "daemon_rss_mb": round(memory, 1),
        "sent": sum(line["sent"] for line in summaries),
        "not_whole": sum(line["not_whole"] for line in summaries),
        "first_token_p95_ms": max(line["first_token_p95_ms"] for line in summaries),
        "between_tokens_p95_ms": max(line["between_tokens_p95_ms"] for line in summaries),
    }


def start_streamers(fleet: Fleet, number: int, duration_s: float) -> Process:
    """Return a process, not yet started, that keeps ``STREAMS_PER_PROCESS`` streams in flight."""
    (vm,) = fleet.vms.values()
    flags = {
        "address": vm.caller,
        "model": fleet.pool,
        "request-class": REQUEST_CLASS.name,
        "customer": CUSTOMER,
        "streams": STREAMS_PER_PROCESS,
        "tokens": STREAM_TOKENS,
        "duration": duration_s,
        "seed": f"streamer {number}",
    }
    arguments = ["standins.streamers"]
    for flag, value in flags.items():
        arguments += [f"--{flag}", str(value)]
    return Process(f"streamers-{number}", arguments, fleet.folder)


def count_generated(fleet: Fleet) -> int:
    """Return the tokens that all runners have generated."""
    return sum(runner.counts()["generated"] for runner in fleet.runners.values())


def measure_idle() -> dict:
    """Return the memory and CPU time of three idle daemons in one failure domain."""
    with ExitStack() as stack:
        fleet = start_fleet(stack, vms_per_domain=3)
        vms = list(fleet.vms.values())
        gevent.sleep(STREAM_WARM_UP_S)
        cpu_s = [read_cpu_s(vm) for vm in vms]
        gevent.sleep(IDLE_S)
        cores = [(read_cpu_s(vm) - before) / IDLE_S for vm, before in zip(vms, cpu_s, strict=True)]
        memory = [psutil.Process(vm.pid).memory_full_info() for vm in vms]
    return {
        "daemons": len(vms),
        "idle_cores": round(max(cores), 4),
        "rss_mb": round(max(each.rss for each in memory) / MEGABYTE, 1),
        "uss_mb": round(max(each.uss for each in memory) / MEGABYTE, 1),
    }


BENCHMARKS: dict[str, Callable[[], dict]] = {
    "first_token": measure_first_token,
    "cpu": measure_cpu,
    "streams": measure_streams,
    "idle": measure_idle,
}


def main(*, only: str = os.environ.get("ONLY", "")) -> None:
    """Run the benchmarks; print their figures and add them to bench-results/.

    :param only: name of the one to run, empty for all
    """
    set_up_logs("bench")
    RESULTS.mkdir(exist_ok=True)
    for name, measure in BENCHMARKS.items():
        if only not in ("", name):
            continue
        load_before = os.getloadavg()[0]
        line = {"benchmark": name, **measure(), "load_before": round(load_before, 1)}
        print(json.dumps(line), flush=True)
        with (RESULTS / f"{name}.jsonl").open("a") as file:
            file.write(json.dumps(line) + "\n")


if __name__ == "__main__":
    defopt.run(main)
