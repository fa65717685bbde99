"""Simulation of spillover between failure domains, with the policy weights of two deployments.

Two failure domains in two regions have three runners each. Three quarters of the requests arrive
in the first domain; the live class has a burst. Writes JSON lines to ``bench-results/spill.jsonl``.
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
FIRST_DOMAIN_SHARE = 0.75
MEDIAN_REQUEST_BYTES = 60_000
PARTITION_S = 30.0
WEIGHTS = {
    "none": None,
    "medanos_libres": Policy(live_weight=10.0, goodput_weight=1.0, region_byte_weight=1.0),
    "board": Policy(live_weight=1.0, goodput_weight=2.0, region_byte_weight=15.0),
}


class SpillPolicy(QueuePolicy):
    """One coordinator in each failure domain, with spillover between the domains.

    :param run: run that the policy serves
    :param weights: policy weights, ``None`` for no spillover
    :param cut: whether the network between the domains is partitioned for ``PARTITION_S``
    :ivar spilled: number of calls sent to the other domain
    """

    def __init__(self, run: Run, weights: Policy | None, cut: bool):
        super().__init__(run, coordinators=2)
        self.weights = weights
        self.cut = cut
        self.region_bytes = RegionBytes(lambda: run.now, lambda: 1)
        self.spill_routers = {
            name: SpilloverRouter(
                domain, lambda *_: LINK, self.region_bytes, lambda: weights, lambda: run.now
            )
            for name, domain in DOMAINS.items()
        }
        self.spilled = 0

    def choose_coordinator(self, call: Call) -> str:
        """Return the coordinator of the local domain, or of the domain that spillover selects."""
        rng = random.Random(call.name)
        local = "vm0" if rng.random() < FIRST_DOMAIN_SHARE else "vm1"
        size = MEDIAN_REQUEST_BYTES * rng.lognormvariate(0.0, 1.0)
        if self.weights is None or self._is_partitioned() or call.attempt > 1:
            return local
        (other,) = set(self.names) - {local}
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
        remote_view = view_queue(DOMAINS[other].name, self.queues[other], tier)
        chosen = self.spill_routers[local].choose_domain(
            request,
            view_queue(DOMAINS[local].name, self.queues[local], tier),
            [(DOMAINS[other], remote_view)],
        )
        if chosen is None:
            return local
        self.spilled += 1
        name = call.request_class.name
        self.region_bytes.count(request.customer, name, LINK, int(size))
        return other

    def _is_partitioned(self) -> bool:
        return self.cut and FAULT_AT_S <= self.run.now < FAULT_AT_S + PARTITION_S


def run_weights(name: str, cut: bool, seed: int) -> dict:
    """Return the measurements of one run.

    :param name: key in ``WEIGHTS``
    :param cut: whether the network between the domains is partitioned for ``PARTITION_S``
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
