"""Benchmark of the dispatch policy against simple baselines, in deterministic simulated runs.

Writes one JSON line for each run to ``bench-results/policy_core.jsonl``. The dispatch decisions
are those of the real ``PoolQueue``; engines and entry VMs are simulated on a virtual clock.
"""

import itertools
import json
import random
import time
from collections import deque
from pathlib import Path

import defopt
import structlog

from balsamtally.contracts import Customer, RequestClass
from balsamtally.messages import Ask, Grant, Release
from balsamtally.queues import PoolQueue, RunnerView
from standins.policy_choices import POLICIES
from standins.policy_run import CLASSES, SCENARIOS, SLOTS, Run

MIN_RUNNERS_TO_DIVIDE = 24
RESULTS = Path("bench-results/policy_core.jsonl")


def measure_cost(runners: int = 200, queued: int = 10_000, requests: int = 5000) -> dict:
    """Return the CPU time of the dispatch decisions for one request while the queue is full.

    :param runners: number of runners of the pool
    :param queued: number of requests that wait during the whole measurement
    :param requests: number of requests that are measured
    """
    now = [0.0]
    grants: deque[Grant] = deque()
    classes = {
        name: RequestClass(
            name, kind.tier, 1e6, share=kind.share, max_wait_s=1e9, max_queued=queued
        )
        for name, kind in CLASSES.items()
    }
    queue = PoolQueue(
        "m",
        classes.get,
        lambda name: Customer(name, (), ()),
        lambda _, message: grants.append(message),
        lambda _, message: None,
        lambda _, message: None,
        clock=lambda: now[0],
        rng=random.Random(1),
    )
    views = [
        RunnerView(f"r{number}", SLOTS, running=0, report_age_s=0.1) for number in range(runners)
    ]
    queue.set_runners(views)
    names = itertools.count()

    def submit_next() -> None:
        number = next(names)
        kind = list(CLASSES)[number % 3]
        queue.submit("vm", Ask(f"q{number}", 1, "m", f"c{number % 1800}", kind))

    for _ in range(runners * SLOTS + queued):
        submit_next()
    started = time.process_time()
    for _ in range(requests):
        now[0] += 0.0005
        submit_next()
        queue.release("vm", Release(grants.popleft().grant, "m", 100, 0.2))
    cpu_s = time.process_time() - started
    return {
        "runners": runners,
        "queued": len(queue.queued),
        "cpu_ms_per_request": round(1000.0 * cpu_s / requests, 4),
    }


def main(*, seeds: int = 3) -> None:
    """Run all scenarios under all policies, and write the results.

    :param seeds: runs of each
    """
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    RESULTS.parent.mkdir(exist_ok=True)
    with RESULTS.open("w") as file:
        for scenario, (name, make_policy) in itertools.product(SCENARIOS, POLICIES.items()):
            if name == "four_pool_queues" and scenario.runners < MIN_RUNNERS_TO_DIVIDE:
                continue
            for seed in range(1, seeds + 1):
                result = Run(scenario, make_policy, seed).run()
                line = json.dumps(
                    {"scenario": scenario.name, "policy": name, "seed": seed, **result}
                )
                print(line, file=file, flush=True)
                print(line)
        for queued in (100, 1000, 10_000):
            line = json.dumps({"scenario": "cost", **measure_cost(queued=queued)})
            print(line, file=file, flush=True)
            print(line)


if __name__ == "__main__":
    defopt.run(main)
