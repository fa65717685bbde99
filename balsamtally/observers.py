"""Observation of the model runners' load reports: one task for each observed runner."""

import time
from collections.abc import Sequence
from dataclasses import dataclass

import gevent
import msgspec
import urllib3

from balsamtally.load import RunnerView
from balsamtally.machines import BackendServer
from balsamtally.streams import Runners

POLL_EVERY_S = 0.5
POLL_TIMEOUT_S = 1.0
UNWANTED_AFTER_S = 10.0
LEAVING_KEPT_S = 30.0
REPORT_LAG_S = 3.0


class LoadReport(msgspec.Struct, frozen=True):
    """A runner's report of its load.

    :ivar running: answers in generation
    :ivar waiting: requests in its own queue
    :ivar leaving: whether it takes no new work
    :ivar fence: number of the last order that it accepted
    :ivar slots: answers that it generates side by side
    :ivar model_list: models that it serves now, ``None`` if it doesn't tell
    :ivar versions: version of the weights by model
    :ivar adapters: adapters that it holds
    :ivar loading: whether it is carrying out an order
    """

    running: int
    waiting: int = 0
    leaving: bool = False
    fence: int = 0
    slots: int = 0
    model_list: tuple[str, ...] | None = None
    versions: dict[str, str] = {}
    adapters: tuple[str, ...] = ()
    loading: bool = False


@dataclass
class Observed:
    """What was last heard of a runner.

    :ivar report: its last report, ``None`` before the first
    :ivar heard_at: when that came, in seconds of the monotonic clock
    :ivar wanted_at: when a coordinator last asked for it
    :ivar refused_at: when it last refused work as leaving, negative if never
    :ivar held_until: until when it gets no new work, so that it can take an order
    """

    report: LoadReport | None = None
    heard_at: float = 0.0
    wanted_at: float = 0.0
    refused_at: float = -LEAVING_KEPT_S
    held_until: float = 0.0


class Observers:
    """Polls the runners whose views are asked for; closed by context.

    :param runners: connections to the runners
    """

    def __init__(self, runners: Runners):
        self.runners = runners
        self.observed: dict[str, Observed] = {}
        self._tasks: dict[str, gevent.Greenlet] = {}

    def __enter__(self) -> "Observers":
        return self

    def __exit__(self, *exc_info) -> None:
        gevent.killall(list(self._tasks.values()))

    def list_views(self, servers: Sequence[BackendServer], pool: str = "") -> list[RunnerView]:
        """Return what is known of runners, and observe them from now on.

        :param servers: the runners
        :param pool: model that they are to serve, empty for any
        :return: a view of each runner; one that doesn't hold the model counts as leaving
        """
        now = time.monotonic()
        views = []
        for server in servers:
            observed = self.observed.setdefault(server.name, Observed())
            observed.wanted_at = now
            if server.name not in self._tasks:
                self._tasks[server.name] = gevent.spawn(self._observe, server, observed)
            views.append(make_view(server, observed, now, pool))
        return views

    def record_refusal(self, runner: str) -> None:
        """Take in that a runner refused work as leaving.

        :param runner: its name
        """
        self.observed.setdefault(runner, Observed()).refused_at = time.monotonic()

    def hold(self, runner: str, time_s: float) -> None:
        """Keep new work from a runner for a while.

        :param runner: its name
        :param time_s: for how long, in seconds
        """
        held = self.observed.setdefault(runner, Observed())
        held.held_until = time.monotonic() + time_s

    def is_leaving(self, runner: str) -> bool:
        """Tell whether a runner itself said that it is leaving.

        :param runner: its name
        """
        observed = self.observed.get(runner)
        return observed is not None and is_leaving(observed, time.monotonic())

    def _observe(self, server: BackendServer, observed: Observed) -> None:
        try:
            while time.monotonic() - observed.wanted_at < UNWANTED_AFTER_S:
                self._poll(server, observed)
                gevent.sleep(POLL_EVERY_S)
        finally:
            self._tasks.pop(server.name, None)

    def _poll(self, server: BackendServer, observed: Observed) -> None:
        report = read_load(self.runners, server)
        if report is not None:
            observed.report = report
            observed.heard_at = time.monotonic()


def read_load(runners: Runners, server: BackendServer) -> LoadReport | None:
    """Read a runner's load report.

    :param runners: connections to the runners
    :param server: the runner
    :return: the report, ``None`` if it isn't in reach
    """
    try:
        response = runners.find_pool(server.address).request(
            "GET", "/load", timeout=POLL_TIMEOUT_S, retries=False
        )
        if response.status != 200:
            return None
        return msgspec.json.decode(response.data, type=LoadReport)
    except (urllib3.exceptions.HTTPError, OSError, msgspec.DecodeError):
        return None


def is_leaving(observed: Observed, now: float) -> bool:
    """Tell whether a runner is leaving, by its report or by a refusal.

    Reports lag, so that only one which came well after a refusal lifts it.

    :param observed: what was heard of it
    :param now: seconds of the monotonic clock
    """
    is_newer = observed.heard_at > observed.refused_at + REPORT_LAG_S
    if now - observed.refused_at < LEAVING_KEPT_S and not is_newer:
        return True
    return observed.report is not None and observed.report.leaving


def holds_model(observed: Observed, pool: str) -> bool:
    """Tell whether a runner serves a model now, as far as it is known.

    :param observed: what was heard of the runner
    :param pool: name of the model, empty for any
    """
    report = observed.report
    return not pool or report is None or report.model_list is None or pool in report.model_list


def make_view(server: BackendServer, observed: Observed, now: float, pool: str = "") -> RunnerView:
    """Return the view of one runner.

    :param server: the runner
    :param observed: what was heard of it
    :param now: seconds of the monotonic clock
    :param pool: model that it is to serve, empty for any
    :return: the view
    """
    is_held = now < observed.held_until or not holds_model(observed, pool)
    leaving = server.leaving or is_held or is_leaving(observed, now)
    if observed.report is None:
        return RunnerView(server.name, server.slots, leaving)
    return RunnerView(
        server.name,
        server.slots,
        leaving,
        running=observed.report.running,
        report_age_s=now - observed.heard_at,
    )
