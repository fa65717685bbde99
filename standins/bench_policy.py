"""Benchmark of a burst above capacity: through the router, and sent round robin to the runners.

Both ways send the same requests at the same times. Without the router, each runner queues requests
in the order of arrival.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import json
import tempfile
from collections.abc import Sequence
from pathlib import Path

import defopt

from balsamtally.contracts import RequestClass
from balsamtally.logs import set_up_logs
from standins.answers import answer_length
from standins.bench import RESULTS, count_generated
from standins.fleet import EXAMPLES, Fleet
from standins.load import Arrivals, Load, load_facts
from standins.results import count_reports

SLOTS = 8
TOKEN_MS = 20.0
BATCH_SLOWDOWN = 0.05
CLASS_SHARES = (0.3, 0.3, 0.2, 0.2)  # of the offered load, by tier
LENGTH_SAMPLES = 2000


def find_capacity(runners: int) -> float:
    """Return the requests a second that the runners can answer with all slots in use.

    :param runners: number of runners
    """
    token_s = TOKEN_MS / 1000 * (1 + BATCH_SLOWDOWN * (SLOTS - 1))
    lengths = [answer_length(f"sample {number}") for number in range(LENGTH_SAMPLES)]
    return runners * SLOTS / token_s * LENGTH_SAMPLES / sum(lengths)


def choose_streams(
    classes: Sequence[RequestClass], rate: float, burst: float, quiet: float, duration_s: float
) -> list[Arrivals]:
    """Return arrivals with a burst in the middle third of the run and a low load around it.

    :param classes: request classes in the order of their tiers
    :param rate: requests a second that the runners can answer
    :param burst: load during the burst, as a share of that rate
    :param quiet: load before and after the burst, as a share of that rate
    :param duration_s: length of the run in seconds
    """
    streams = []
    for item, share in zip(classes, CLASS_SHARES, strict=True):
        for number, load in enumerate((quiet, burst, quiet)):
            start_s, stop_s = (duration_s * third / 3 for third in (number, number + 1))
            arrivals = Arrivals(
                item.name, rate * share * load, whole_share=0.0, start_s=start_s, stop_s=stop_s
            )
            streams.append(arrivals)
    return streams


def measure_way(
    way: str, user: str, seed: int, burst: float, quiet: float, duration_s: float
) -> list[dict]:
    """Return the figures of one way to send the requests, by class and in total.

    :param way: ``routed`` or ``round_robin``
    :param user: deployment whose example tickets are published
    :param seed: seed of all random choices
    :param burst: load during the burst, as a share of the capacity
    :param quiet: load before and after the burst, as a share of the capacity
    :param duration_s: sending time in seconds
    """
    facts = load_facts(EXAMPLES / user)
    classes = sorted(facts.list(RequestClass), key=lambda item: item.tier)
    flags = ("--token-ms", str(TOKEN_MS), "--batch-slowdown", str(BATCH_SLOWDOWN))
    with tempfile.TemporaryDirectory() as folder:
        routed = way == "routed"
        with Fleet(Path(folder), user, runner_flags=flags, start_daemons=routed) as fleet:
            addresses = [vm.caller for vm in fleet.vms.values()]
            addresses = addresses or [runner.address for runner in fleet.runners.values()]
            load = Load(addresses, facts, seed)
            capacity = find_capacity(len(fleet.runners))
            streams = choose_streams(classes, capacity, burst, quiet, duration_s)
            results = count_reports(load.run(streams, duration_s))
            generated = count_generated(fleet)
    goodput = sum(result.goodput_tokens for result in results.values())
    lines = []
    for item in classes:
        counts = results[item.name].describe(item.name)
        attainment = round(counts["met_target"] / counts["sent"], 3)
        lines.append({"way": way, "tier": item.tier, "attainment": attainment, **counts})
    waste = {"generated_tokens": generated, "goodput_tokens": goodput}
    lines.append({"way": way, "class": "all", **waste, "wasted_tokens": generated - goodput})
    return lines


def main(
    *,
    user: str = "medanos-libres",
    seed: int = 1,
    burst: float = 1.3,
    quiet: float = 0.6,
    duration: float = 45.0,
) -> None:
    """Compare the router with round robin under a burst; add the figures to bench-results/.

    :param user: whose example tickets to take
    :param seed: seed of all random choices
    :param burst: load in the middle third, as a share of the capacity
    :param quiet: load before and after, as a share of the capacity
    :param duration: for how long to send, in seconds
    """
    set_up_logs("bench")
    RESULTS.mkdir(exist_ok=True)
    setting = {"benchmark": "policy", "user": user, "seed": seed, "burst": burst}
    for way in ("round_robin", "routed"):
        for line in measure_way(way, user, seed, burst, quiet, duration):
            text = json.dumps({**setting, **line})
            print(text, flush=True)
            with (RESULTS / "policy.jsonl").open("a") as file:
                file.write(text + "\n")


if __name__ == "__main__":
    defopt.run(main)
