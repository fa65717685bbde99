"""Demo of the platform path: store, backend servers and real daemons on loopback, with failures.

It exits with 0 only if every route got at least one good answer, each complete answer belongs to
its caller's request, no non-repeatable request was executed twice, and each request that was
reported as not run was not executed.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import sys
import time
from collections import Counter

import gevent

from standins.grid import Grid
from standins.grid_callers import Answer, GridCaller, find_faults

ROUTES = ("draft", "history", "sign", "lookup")
DURATION_S = 8.0
REQUEST_PAUSE_S = 0.03
CALLERS_PER_VM = 3


class DemoRun:
    """Runs callers against all entry VMs while parts of the test deployment fail.

    :param grid: the test deployment
    :ivar answers: route name and answer of each request
    """

    def __init__(self, grid: Grid):
        self._grid = grid
        self._until_s = time.monotonic() + DURATION_S
        self.answers: list[tuple[str, Answer]] = []

    def run(self) -> None:
        """Run the callers and inject the failures, until the demo's duration is over."""
        callers = [
            gevent.spawn(self._run_caller, vm, ROUTES[number % len(ROUTES) :] + ROUTES)
            for vm in self._grid.vms
            for number in range(CALLERS_PER_VM)
        ]
        self._inject_failures()
        gevent.joinall(callers, raise_error=True)

    def _run_caller(self, vm, routes: tuple[str, ...]) -> None:
        with GridCaller(vm) as caller:
            while time.monotonic() < self._until_s:
                for route in routes:
                    self.answers.append((route, caller.ask(route, b"body")))
                    gevent.sleep(REQUEST_PAUSE_S)

    def _inject_failures(self) -> None:
        models, desks = self._grid.list_servers("model"), self._grid.list_servers("desk")
        gevent.sleep(1.0)
        print_step("a model runner cuts its streams")
        models[0].fault = "cut"
        gevent.sleep(1.0)
        print_step("an entry VM is killed")
        self._grid.vms[0].kill()
        models[0].fault = ""
        gevent.sleep(1.0)
        self._grid.start(self._grid.vms[0])
        print_step("the store turns everyone away, a plain service resets its calls")
        self._grid.store.fault = "busy"
        desks[0].fault = "reset"
        gevent.sleep(1.0)
        self._grid.store.fault = desks[0].fault = ""
        print_step("a model runner leaves")
        models[1].register("draining")


def print_step(text: str) -> None:
    """Print a step of the demo."""
    print(f"  {text}", flush=True)


def main() -> int:
    """Run the demo.

    :return: exit code, 0 if no answer was wrong and every route was served
    """
    with Grid(vms=2, servers=2, domains=2) as grid:
        print(f"{len(grid.vms)} entry VMs, {len(grid.servers)} backend servers", flush=True)
        run = DemoRun(grid)
        run.run()
        faults = [
            (answer.id, fault)
            for route, answer in run.answers
            for fault in find_faults(grid, route, answer)
        ]
    counts: dict[str, Counter] = {route: Counter() for route in ROUTES}
    for route, answer in run.answers:
        counts[route]["good" if answer.good else f"{answer.status or 'cut'}"] += 1
    for route, count in counts.items():
        print(
            f"{route:10}", "  ".join(f"{name} {number}" for name, number in sorted(count.items()))
        )
    print(f"wrong answers: {len(faults)}", *faults[:10])
    served = all(count["good"] for count in counts.values())
    return 0 if served and not faults else 1


if __name__ == "__main__":
    sys.exit(main())
