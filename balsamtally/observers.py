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
    """

    running: int
    waiting: int = 0
    leaving: bool = False
    fence: int = 0


@dataclass
class Observed:
    """What was last heard of a runner.

    :ivar report: its last report, ``None`` before the first
    :ivar heard_at: when that came, in seconds of the monotonic clock
    :ivar wanted_at: when a coordinator last asked for it
    :ivar refused_at: when it last refused work as leaving, negative if never
    """

    report: LoadReport | None = None
    heard_at: float = 0.0
    wanted_at: float = 0.0
    refused_at: float = -LEAVING_KEPT_S


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

    def list_views(self, servers: Sequence[BackendServer]) -> list[RunnerView]:
        """Return what is known of runners, and observe them from now on.

        :param servers: the runners
        :return: a view of each runner
        """
        now = time.monotonic()
        views = []
        for server in servers:
            observed = self.observed.setdefault(server.name, Observed())
            observed.wanted_at = now
            if server.name not in self._tasks:
                self._tasks[server.name] = gevent.spawn(self._observe, server, observed)
            views.append(make_view(server, observed, now))
        return views

    def note_refusal(self, runner: str) -> None:
        """Take in that a runner refused work as leaving.

        :param runner: its name
        """
        self.observed.setdefault(runner, Observed()).refused_at = time.monotonic()

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
        try:
            response = self.runners.find_pool(server.address).request(
                "GET", "/load", timeout=POLL_TIMEOUT_S, retries=False
            )
            if response.status == 200:
                observed.report = msgspec.json.decode(response.data, type=LoadReport)
                observed.heard_at = time.monotonic()
        except (urllib3.exceptions.HTTPError, OSError, msgspec.DecodeError):
            return


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


def make_view(server: BackendServer, observed: Observed, now: float) -> RunnerView:
    """Return the view of one runner.

    :param server: the runner
    :param observed: what was heard of it
    :param now: seconds of the monotonic clock
    :return: the view
    """
    leaving = server.leaving or is_leaving(observed, now)
    if observed.report is None:
        return RunnerView(server.name, server.slots, leaving)
    return RunnerView(
        server.name,
        server.slots,
        leaving,
        running=observed.report.running,
        report_age_s=now - observed.heard_at,
    )
