"""Polling of the model runners' load reports, with one task for each observed runner."""

import time
from collections.abc import Sequence
from dataclasses import dataclass

import gevent
import msgspec
import urllib3

from balsamtally.decoding import Count, decode
from balsamtally.load import RunnerView
from balsamtally.machines import BackendServer
from balsamtally.streams import Runners

POLL_EVERY_S = 0.5
POLL_TIMEOUT_S = 1.0
# Polling of a runner stops when nobody asked for its view for this long.
POLL_IDLE_TIMEOUT_S = 10.0
# A refusal marks a runner as leaving for this long, unless a newer report says otherwise.
REFUSAL_TTL_S = 30.0
# A report that arrives sooner than this after a refusal may be older than the refusal.
REPORT_LAG_S = 3.0


class LoadReport(msgspec.Struct, frozen=True):
    """A runner's report of its load.

    :ivar running: answers that the runner generates now
    :ivar waiting: requests in the runner's own queue
    :ivar leaving: whether the runner accepts no new work
    :ivar fence: number of the last order that the runner accepted
    :ivar slots: answers that the runner can generate concurrently
    :ivar model_list: models that the runner serves now, ``None`` if it doesn't report them
    :ivar versions: version of the weights by model
    :ivar adapters: adapters that the runner has loaded
    :ivar loading: whether the runner is executing an order
    """

    running: Count
    waiting: Count = 0
    leaving: bool = False
    fence: Count = 0
    slots: Count = 0
    model_list: tuple[str, ...] | None = None
    versions: dict[str, str] = {}
    adapters: tuple[str, ...] = ()
    loading: bool = False


_report = msgspec.json.Decoder(LoadReport)


@dataclass
class RunnerObservation:
    """The last observed state of a runner; all times are seconds of the monotonic clock.

    :ivar report: last load report, ``None`` before the first
    :ivar received_at: when the last report arrived
    :ivar requested_at: when a coordinator last asked for the runner's view
    :ivar refused_at: when the runner last refused work as leaving, negative if never
    :ivar held_until: until when the runner gets no new work, so that it can execute an order
    """

    report: LoadReport | None = None
    received_at: float = 0.0
    requested_at: float = 0.0
    refused_at: float = -REFUSAL_TTL_S
    held_until: float = 0.0


class Observers:
    """Polls the runners whose views are requested; a context manager that ends the polling.

    :param runners: connections to the runners
    """

    def __init__(self, runners: Runners):
        self.runners = runners
        self.observed: dict[str, RunnerObservation] = {}
        self._tasks: dict[str, gevent.Greenlet] = {}

    def __enter__(self) -> "Observers":
        return self

    def __exit__(self, *exc_info) -> None:
        gevent.killall(list(self._tasks.values()))

    def list_views(self, servers: Sequence[BackendServer], pool: str = "") -> list[RunnerView]:
        """Return the views of runners, and poll these runners from now on.

        :param servers: the runners
        :param pool: model that the runners must serve, empty for any
        :return: a view of each runner; a runner without the model is marked as leaving
        """
        now = time.monotonic()
        views = []
        for server in servers:
            observed = self.observed.setdefault(server.name, RunnerObservation())
            observed.requested_at = now
            if server.name not in self._tasks:
                self._tasks[server.name] = gevent.spawn(self._observe, server, observed)
            views.append(make_view(server, observed, now, pool))
        return views

    def record_refusal(self, runner: str) -> None:
        """Record that a runner refused work as leaving.

        :param runner: name of the runner
        """
        self.observed.setdefault(runner, RunnerObservation()).refused_at = time.monotonic()

    def hold(self, runner: str, time_s: float) -> None:
        """Give a runner no new work for a while.

        :param runner: name of the runner
        :param time_s: duration in seconds
        """
        observed = self.observed.setdefault(runner, RunnerObservation())
        observed.held_until = time.monotonic() + time_s

    def is_leaving(self, runner: str) -> bool:
        """Return whether a runner reported that it is leaving, or refused work as leaving.

        :param runner: name of the runner
        """
        observed = self.observed.get(runner)
        return observed is not None and is_leaving(observed, time.monotonic())

    def _observe(self, server: BackendServer, observed: RunnerObservation) -> None:
        try:
            while time.monotonic() - observed.requested_at < POLL_IDLE_TIMEOUT_S:
                self._poll(server, observed)
                gevent.sleep(POLL_EVERY_S)
        finally:
            self._tasks.pop(server.name, None)

    def _poll(self, server: BackendServer, observed: RunnerObservation) -> None:
        report = read_load(self.runners, server)
        if report is not None:
            observed.report = report
            observed.received_at = time.monotonic()


def read_load(runners: Runners, server: BackendServer) -> LoadReport | None:
    """Read a runner's load report.

    :param runners: connections to the runners
    :param server: the runner
    :return: the report, ``None`` if the runner is unreachable or sends no valid report
    """
    try:
        response = runners.find_pool(server.address).request(
            "GET", "/load", timeout=POLL_TIMEOUT_S, retries=False
        )
        if response.status != 200:
            return None
        return decode(_report, response.data)
    except (urllib3.exceptions.HTTPError, OSError, msgspec.DecodeError):
        return None


def is_leaving(observed: RunnerObservation, now: float) -> bool:
    """Return whether a runner is leaving, by its report or by a refusal.

    Reports lag, so only a report received more than :data:`REPORT_LAG_S` after a refusal
    overrides the refusal.

    :param observed: last observed state of the runner
    :param now: seconds of the monotonic clock
    """
    is_newer = observed.received_at > observed.refused_at + REPORT_LAG_S
    if now - observed.refused_at < REFUSAL_TTL_S and not is_newer:
        return True
    return observed.report is not None and observed.report.leaving


def holds_model(observed: RunnerObservation, pool: str) -> bool:
    """Return whether a runner serves a model now; true if its models are unknown.

    :param observed: last observed state of the runner
    :param pool: name of the model, empty for any
    """
    report = observed.report
    return not pool or report is None or report.model_list is None or pool in report.model_list


def make_view(
    server: BackendServer, observed: RunnerObservation, now: float, pool: str = ""
) -> RunnerView:
    """Return the view of one runner.

    :param server: the runner
    :param observed: last observed state of the runner
    :param now: seconds of the monotonic clock
    :param pool: model that the runner must serve, empty for any
    :return: the view, marked as leaving while the runner gets no new work
    """
    is_withheld = now < observed.held_until or not holds_model(observed, pool)
    leaving = server.leaving or is_withheld or is_leaving(observed, now)
    if observed.report is None:
        return RunnerView(server.name, server.slots, leaving)
    return RunnerView(
        server.name,
        server.slots,
        leaving,
        running=observed.report.running,
        report_age_s=now - observed.received_at,
    )
