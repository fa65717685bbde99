"""Runs of the choice of a failure domain on a virtual clock, with the weights of both users.

Two failure domains in two regions, three runners each; three quarters of the callers are at the
first, where the live class bursts. Writes JSON lines to ``bench-results/spill.jsonl``.
"""

import json
import random
from pathlib import Path

import defopt
import structlog

from balsamtally.contracts import Customer, Policy
from balsamtally.spill import RegionBytes, SpilloverRouter, SpillRequest, view_queue
from balsamtally.zones import FailureDomain, RegionLink
from standins.policy_choices import QueuePolicy
from standins.policy_run import FAULT_AT_S, MEAN_TOKENS, Call, Run, Scenario

RESULTS = Path("bench-results/spill.jsonl")
LINK = RegionLink("br-south+uy-east", 30.0)
DOMAINS = {
    "vm0": FailureDomain("rocha-a", "uy-east"),
    "vm1": FailureDomain("poa-a", "br-south"),
}
FIRST_HOME_SHARE = 0.75
MEDIAN_BYTES = 60_000
CUT_FOR_S = 30.0
WEIGHTS = {
    "none": None,
    "medanos_libres": Policy(live_weight=10.0, goodput_weight=1.0, region_byte_weight=1.0),
    "board": Policy(live_weight=1.0, goodput_weight=2.0, region_byte_weight=15.0),
}


class SpillPolicy(QueuePolicy):
    """One coordinator in each failure domain, with spill between them.

    :param run: the run
    :param weights: weights of the user, ``None`` for no spill
    :param cut: whether the failure domains are cut off from each other for a while
    """

    def __init__(self, run: Run, weights: Policy | None, cut: bool):
        super().__init__(run, coordinators=2)
        self.weights = weights
        self.cut = cut
        self.region_bytes = RegionBytes(lambda: run.now, lambda: 1)
        self.spillers = {
            name: SpilloverRouter(
                domain, lambda *_: LINK, self.region_bytes, lambda: weights, lambda: run.now
            )
            for name, domain in DOMAINS.items()
        }
        self.spilled = 0

    def choose_coordinator(self, call: Call) -> str:
        """Return the coordinator at the caller's home, or that of the domain to spill to."""
        draw = random.Random(call.name)
        home = "vm0" if draw.random() < FIRST_HOME_SHARE else "vm1"
        size = MEDIAN_BYTES * draw.lognormvariate(0.0, 1.0)
        if self.weights is None or self._is_cut() or call.attempt > 1:
            return home
        (other,) = set(self.names) - {home}
        tier = call.request_class.tier
        target_s = call.request_class.first_token_ms / 1000.0
        request = SpillRequest(
            call.name,
            call.request_class,
            Customer(call.customer, (), ()),
            slack_s=target_s - (self.run.now - call.arrived),
            tokens=MEAN_TOKENS,
            bytes=size,
        )
        there = view_queue(DOMAINS[other].name, self.queues[other], tier)
        chosen = self.spillers[home].choose_domain(
            request,
            view_queue(DOMAINS[home].name, self.queues[home], tier),
            [(DOMAINS[other], there)],
        )
        if chosen is None:
            return home
        self.spilled += 1
        name = call.request_class.name
        self.region_bytes.count(request.customer, name, LINK, int(size))
        return other

    def _is_cut(self) -> bool:
        return self.cut and FAULT_AT_S <= self.run.now < FAULT_AT_S + CUT_FOR_S


def run_weights(name: str, cut: bool, seed: int) -> dict:
    """Return the measurements of one run.

    :param name: name of the weights
    :param cut: whether the failure domains are cut off from each other for a while
    :param seed: seed of the arrivals
    """
    scenario = Scenario("spill", burst_load=1.2, burst_class="live")
    run = Run(scenario, lambda run: SpillPolicy(run, WEIGHTS[name], cut), seed)
    result = run.run()
    by_class: dict[str, int] = {}
    for (_, request_class), sent in run.policy.region_bytes.sent.items():
        by_class[request_class] = by_class.get(request_class, 0) + sent
    return {
        "weights": name,
        "cut": cut,
        "seed": seed,
        "region_bytes": dict(sorted(by_class.items())),
        "spilled": run.policy.spilled,
        **result,
    }


def main(*, seeds: int = 3) -> None:
    """Run with the weights of both users and without spill, whole and cut.

    :param seeds: runs of each
    """
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    RESULTS.parent.mkdir(exist_ok=True)
    with RESULTS.open("w") as file:
        for cut in (False, True):
            for name in WEIGHTS:
                for seed in range(1, seeds + 1):
                    line = json.dumps(run_weights(name, cut, seed))
                    print(line, file=file, flush=True)
                    print(line)


if __name__ == "__main__":
    defopt.run(main)
