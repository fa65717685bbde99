"""Reads the reports of a failure domain's model runners and sends them placement orders."""

import time
from collections.abc import Callable

import gevent
import gevent.pool
import msgspec
import urllib3

from balsamtally.contracts import Pool
from balsamtally.errors import BalsamtallyError
from balsamtally.facts import Facts
from balsamtally.links import Links
from balsamtally.logs import log
from balsamtally.machines import BackendServer
from balsamtally.messages import Hold, QueueQuery, QueueState
from balsamtally.observers import LoadReport, read_load
from balsamtally.placement import Order, Placement, PoolNeed, RunnerReport
from balsamtally.routes import Routes
from balsamtally.streams import Runners

PLACEMENT_INTERVAL_S = 10.0
HOLD_S = 15.0
QUERY_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 2.0
DEMAND_SMOOTHING = 0.3
READ_CONCURRENCY = 8


class Orders:
    """Runs the placement of a failure domain while this entry VM is responsible for it.

    :param facts: the state in force
    :param routes: routes to the coordinators
    :param links: links to the other entry VMs
    :param runners: connections to the runners
    :param is_placer: returns whether this entry VM decides the placement of its failure domain
    """

    def __init__(
        self,
        facts: Facts,
        routes: Routes,
        links: Links,
        runners: Runners,
        is_placer: Callable[[], bool],
    ):
        self.facts = facts
        self.routes = routes
        self.links = links
        self.runners = runners
        self.is_placer = is_placer
        self.placement = Placement(
            lambda runner: self.is_placer(), self._read_report, self._send_order, time.monotonic
        )
        self._smoothed_needs: dict[str, float] = {}
        self._placements_seen_at: dict[str, tuple[tuple, float]] = {}
        self._task = None

    def __enter__(self) -> "Orders":
        self._task = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info) -> None:
        self._task.kill()

    def step(self) -> None:
        """Read all runners of the failure domain, and send the orders that are due.

        Also announces to the entry VMs of the domain which runners are draining for an order.
        """
        servers = self._list_servers()
        results = gevent.pool.Pool(READ_CONCURRENCY).map(self._read_server, servers)
        reports = [report for report in results if report is not None]
        self.placement.step(self._list_needs(), reports)
        draining = tuple(self.placement.list_draining())
        if draining:
            log.info("placement_draining", runners=draining)
            for vm in self.routes.list_members(self.routes.domain):
                self.links.cast(vm, Hold(draining, HOLD_S))

    def _run(self) -> None:
        while True:
            gevent.sleep(PLACEMENT_INTERVAL_S)
            if not self.is_placer():
                continue
            try:
                self.step()
            except Exception:
                log.exception("step_failed", step="Orders.step")

    def _list_servers(self) -> list[BackendServer]:
        return [
            server
            for server in self.facts.list(BackendServer)
            if server.role == "model" and server.domain == self.routes.domain
        ]

    def _list_needs(self) -> list[PoolNeed]:
        pools = self.facts.list(Pool)
        return [PoolNeed(pool, self._measure_need(pool.name)) for pool in pools]

    def _measure_need(self, pool: str) -> float:
        """Return the slots that the requests of a pool use or wait for, exponentially smoothed."""
        used = 0.0
        for vm in self.routes.list_coordinators(pool, self.routes.domain):
            try:
                state = self.links.call(vm, QueueQuery(pool), QUERY_TIMEOUT_S)
            except BalsamtallyError:
                continue
            if isinstance(state, QueueState):
                used += state.queued + state.used
        before = self._smoothed_needs.get(pool, used)
        self._smoothed_needs[pool] = before + DEMAND_SMOOTHING * (used - before)
        return self._smoothed_needs[pool]

    def _read_report(self, name: str) -> RunnerReport | None:
        server = self.facts.find(BackendServer, name)
        return self._read_server(server) if server is not None else None

    def _read_server(self, server: BackendServer) -> RunnerReport | None:
        begun = time.monotonic()
        load = read_load(self.runners, server)
        if load is None or load.model_list is None:
            return None
        return RunnerReport(
            name=server.name,
            pools=load.model_list,
            versions=tuple(self._read_version(load, pool) for pool in load.model_list),
            adapters=load.adapters,
            fence=load.fence,
            slots=server.slots,
            running=load.running + load.waiting,
            loading=load.loading,
            leaving=server.leaving or load.leaving,
            unchanged_s=self._measure_unchanged_s(server.name, load),
            age_s=time.monotonic() - begun,
            allowed=server.pools,
        )

    def _read_version(self, load: LoadReport, pool: str) -> str:
        """Return the version of a pool on a runner, or empty if no ticket specifies a version."""
        pool_config = self.facts.find(Pool, pool)
        if pool_config is None or not pool_config.version:
            return ""
        return load.versions.get(pool, "")

    def _measure_unchanged_s(self, name: str, load: LoadReport) -> float:
        """Return how long a runner's placement has been observed unchanged, in seconds."""
        now = time.monotonic()
        placement = (load.model_list, load.adapters, load.fence)
        held = self._placements_seen_at.get(name)
        if held is None or held[0] != placement:
            self._placements_seen_at[name] = (placement, now)
            return 0.0
        return now - held[1]

    def _send_order(self, name: str, order: Order) -> None:
        server = self.facts.find(BackendServer, name)
        if server is None or server.leaving:
            return
        try:
            self.runners.find_pool(server.address).request(
                "POST",
                "/orders",
                body=msgspec.json.encode(order),
                headers={"Content-Type": "application/json"},
                timeout=ORDER_TIMEOUT_S,
                retries=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            log.warning("order_unanswered", runner=name, fence=order.fence, reason=str(error))
