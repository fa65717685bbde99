"""Counters, gauges and histograms of a gateway."""

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from balsamtally.metrics import FIRST_TOKEN_BOUNDS_S, QUEUE_WAIT_BOUNDS_S, Collectors, set_by_label

# Customers with a label of their own, in the order of their first calls. A site has 10 to 24
# customers; more labels make the metrics page slow to read.
MAX_CUSTOMERS = 64
# Label shared by all further customers and by calls on public routes.
OTHER_CUSTOMERS = "other"
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True)
class CallGauges:
    """Values that are read each time the metrics are rendered.

    :ivar waiting: calls that wait for a backend server, by service
    :ivar running: calls of all entry VMs at each backend server
    :ivar reading_tokens: prompt tokens not yet processed at each backend server
    :ivar imbalances: calls of the busiest backend server over the mean, by plain service
    :ivar retries_left: retries that the retry budget permits now, by service
    :ivar dedicated: runners that this entry VM dedicates to live streams, by service
    :ivar in_flight: unfinished calls of this entry VM's callers
    :ivar callers: open connections from callers
    :ivar peers: entry VMs that sent a heartbeat recently
    :ivar version: version of the contracts in force
    :ivar platform_age_s: time since the platform's store had no records beyond the known ones, in
        seconds
    :ivar opened: connections to backend servers opened since the start
    :ivar foreign_answers: answers to other requests that were skipped since the start
    :ivar late_answers: connections closed since the start because bytes followed a whole answer
    :ivar dropped_lines: log lines dropped since the start
    :ivar quarantined: groups of prompt parts in quarantine
    :ivar evacuated: 1 for each evacuated failure domain
    :ivar cold: backend servers that are cold
    :ivar limited: backend servers that limit the rate of requests
    :ivar brittle: backend servers that said that they are brittle
    :ivar held_bytes: bytes held for calls in progress
    :ivar held_bytes_limit: limit of these bytes
    :ivar callers_limit: most open connections of callers
    :ivar closed_idle: idle connections of callers closed since the start to make room
    :ivar evicted_bodies: stalled bodies of callers refused since the start to make room
    :ivar lost_links: backend servers to which the direct link is lost
    :ivar tunnels: connections to backend servers opened through other entry VMs since the start
    :ivar relayed: connections that are relayed for other entry VMs now
    :ivar relays_refused: connections that weren't relayed since the start
    """

    waiting: Mapping[str, int] = field(default_factory=dict)
    running: Mapping[str, int] = field(default_factory=dict)
    reading_tokens: Mapping[str, int] = field(default_factory=dict)
    imbalances: Mapping[str, float] = field(default_factory=dict)
    retries_left: Mapping[str, int] = field(default_factory=dict)
    evacuated: Mapping[str, int] = field(default_factory=dict)
    dedicated: Mapping[str, int] = field(default_factory=dict)
    in_flight: int = 0
    callers: int = 0
    peers: int = 0
    version: int = 0
    platform_age_s: float = 0.0
    opened: int = 0
    foreign_answers: int = 0
    late_answers: int = 0
    dropped_lines: int = 0
    quarantined: int = 0
    limited: int = 0
    brittle: int = 0
    cold: int = 0
    held_bytes: float = 0.0
    held_bytes_limit: float = 0.0
    callers_limit: int = 0
    closed_idle: int = 0
    evicted_bodies: int = 0
    lost_links: int = 0
    tunnels: int = 0
    relayed: int = 0
    relays_refused: int = 0


class CallMetrics(Collectors):
    """The metrics of one gateway.

    Label values come from the contracts and backend servers in force, never from a caller's input.

    :param read_gauges: returns the current values, called at each :meth:`render`
    """

    def __init__(self, read_gauges: Callable[[], CallGauges] = CallGauges):
        super().__init__()
        self._read_gauges = read_gauges
        self._calls = self._counter("calls_total", "Calls by route, status and result code")
        self._on_time = self._counter("calls_on_time_total", "Calls answered on time, by route")
        self._by_customer = self._counter(
            "customer_calls_total", "Calls by customer, and whether they were answered on time"
        )
        self._customers: set[str] = set()
        self._failures = self._counter(
            "backend_failures_total", "Failed attempts by backend server and result code"
        )
        self._pauses = self._counter(
            "backend_pauses_total", "Refusals in which a backend server asked for a pause"
        )
        self._silent = self._counter(
            "backend_silent_total", "Verdicts that a backend server has stopped sending"
        )
        self._first_event = self._histogram(
            "first_event_seconds", "Time to the first event or answer", FIRST_TOKEN_BOUNDS_S
        )
        self._wait = self._histogram(
            "call_wait_seconds", "Time that a call waited for a backend server", QUEUE_WAIT_BOUNDS_S
        )
        self._lag = self._histogram(
            "first_event_lag_seconds",
            "By how much an answer began later than expected as it was sent",
            FIRST_TOKEN_BOUNDS_S,
        )
        self._set_up_gauges()

    def _set_up_gauges(self) -> None:
        self._waiting = self._gauge("calls_waiting", "Calls that wait for a backend server")
        self._running = self._gauge("backend_running", "Calls at each backend server")
        self._reading = self._gauge("backend_reading_tokens", "Prompt tokens before each runner")
        self._imbalance = self._gauge(
            "service_imbalance", "Calls of the busiest backend server over the mean, by service"
        )
        self._retries = self._gauge("retries_left", "Retries that may be made now, by service")
        self._evacuated = self._gauge(
            "evacuated", "1 while a failure domain is evacuated, 0 after that"
        )
        self._dedicated = self._gauge(
            "dedicated_backends", "Runners dedicated to live streams, by service"
        )
        self._unlabelled = {
            "in_flight": self._gauge("calls_in_flight", "Calls held by this entry VM"),
            "callers": self._gauge("caller_connections", "Open connections of callers"),
            "peers": self._gauge("peers_alive", "Entry VMs heard lately"),
            "version": self._gauge("contracts_version", "Version of the contracts in force"),
            "platform_age_s": self._gauge(
                "store_age_seconds", "Time since the store had no records beyond the known ones"
            ),
            "opened": self._gauge(
                "backend_connections_opened", "Connections to backend servers opened"
            ),
            "foreign_answers": self._gauge(
                "backend_foreign_answers", "Answers to other requests that were skipped"
            ),
            "late_answers": self._gauge(
                "backend_late_answers", "Connections closed for bytes after a whole answer"
            ),
            "dropped_lines": self._gauge("log_lines_dropped", "Log lines dropped"),
            "quarantined": self._gauge(
                "quarantined_prompt_parts", "Groups of prompt parts in quarantine"
            ),
            "limited": self._gauge(
                "limited_backends", "Backend servers that limit the rate of requests"
            ),
            "brittle": self._gauge(
                "brittle_backends", "Backend servers that said that they are brittle"
            ),
            "cold": self._gauge("cold_backends", "Backend servers that are cold"),
            "held_bytes": self._gauge("held_bytes", "Bytes held for calls in progress"),
            "callers_limit": self._gauge(
                "caller_connections_limit", "Limit of the open connections of callers"
            ),
            "closed_idle": self._gauge(
                "caller_connections_closed_idle", "Idle connections closed for new ones"
            ),
            "evicted_bodies": self._gauge(
                "caller_bodies_evicted", "Stalled bodies refused to make room for others"
            ),
            "lost_links": self._gauge(
                "lost_links", "Backend servers to which the direct link is lost"
            ),
            "tunnels": self._gauge(
                "backend_tunnels_opened", "Connections opened through other entry VMs"
            ),
            "relayed": self._gauge(
                "relayed_connections", "Connections relayed for other entry VMs"
            ),
            "relays_refused": self._gauge(
                "relayed_connections_refused", "Connections that weren't relayed"
            ),
            "held_bytes_limit": self._gauge("held_bytes_limit", "Limit of the bytes held"),
        }
        self._memory = self._gauge("resident_bytes", "Resident memory of the process")

    def count_call(self, route: str, customer: str, status: int, code: int, on_time: bool) -> None:
        """Count a finished call.

        :param route: name of the call's route
        :param customer: name of the customer, empty on a public route
        :param status: HTTP status sent to the caller, 0 if none
        :param code: numeric result code, 0 for a complete answer
        :param on_time: whether the answer met its time-to-first-event and inter-event targets
        """
        self._calls.inc({"route": route, "status": str(status), "code": str(code)})
        if on_time:
            self._on_time.inc({"route": route})
        label = {"customer": self._find_label(customer), "on_time": "yes" if on_time else "no"}
        self._by_customer.inc(label)

    def _find_label(self, customer: str) -> str:
        if customer and len(self._customers) < MAX_CUSTOMERS:
            self._customers.add(customer)
        return customer if customer in self._customers else OTHER_CUSTOMERS

    def count_failure(self, backend: str, code: int) -> None:
        """Count a failed attempt.

        :param backend: name of the backend server
        :param code: numeric result code
        """
        self._failures.inc({"backend": backend, "code": str(code)})

    def count_pause(self, backend: str) -> None:
        """Count a refusal in which a backend server asked for a pause.

        :param backend: name of the backend server
        """
        self._pauses.inc({"backend": backend})

    def count_silent(self, backend: str) -> None:
        """Count a verdict that a backend server has stopped sending.

        :param backend: name of the backend server
        """
        self._silent.inc({"backend": backend})

    def observe_first_event(self, route: str, time_s: float) -> None:
        """Record the time to the first event of an answer.

        :param route: name of the route
        :param time_s: time in seconds
        """
        self._first_event.observe({"route": route}, float(time_s))

    def observe_wait(self, route: str, time_s: float) -> None:
        """Record the time that a call waited for a backend server.

        :param route: name of the route
        :param time_s: time in seconds
        """
        self._wait.observe({"route": route}, float(time_s))

    def observe_lag(self, route: str, time_s: float) -> None:
        """Record how much later than expected an answer began.

        :param route: name of the route
        :param time_s: time in seconds, negative (recorded as 0) if the answer began sooner
        """
        self._lag.observe({"route": route}, max(0.0, float(time_s)))

    def render(self) -> tuple[bytes, str]:
        """Return all metrics in the text format of Prometheus."""
        gauges = self._read_gauges()
        set_by_label(self._waiting, "service", gauges.waiting)
        set_by_label(self._running, "backend", gauges.running)
        set_by_label(self._reading, "backend", gauges.reading_tokens)
        set_by_label(self._imbalance, "service", gauges.imbalances)
        set_by_label(self._retries, "service", gauges.retries_left)
        set_by_label(self._evacuated, "domain", gauges.evacuated)
        set_by_label(self._dedicated, "service", gauges.dedicated)
        for name, gauge in self._unlabelled.items():
            gauge.set({}, getattr(gauges, name))
        self._memory.set({}, read_resident_bytes())
        return super().render()


def read_resident_bytes() -> int:
    """Return the resident memory of this process in bytes, 0 if the kernel doesn't report it."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0
