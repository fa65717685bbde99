"""Counters, gauges and histograms of the daemon."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from aioprometheus import Counter, Gauge, Histogram, Registry, render

FIRST_TOKEN_BOUNDS_S = (0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.4, 2.0, 4.0, 8.0, 16.0, 60.0)
BETWEEN_TOKENS_BOUNDS_S = (0.01, 0.02, 0.03, 0.05, 0.074, 0.1, 0.15, 0.25, 0.5, 1.0, 5.0)
QUEUE_WAIT_BOUNDS_S = (0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0)
DECISION_BOUNDS_S = (0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.05, 0.25)
INFINITY = float("inf")


@dataclass(frozen=True)
class Gauges:
    """Values that are read each time the metrics are rendered.

    :ivar queued: requests that wait in the queues which this VM coordinates, by class
    :ivar in_flight: unfinished requests of this entry VM's callers, by tier
    :ivar members: live entry VMs of this VM's failure domain
    :ivar tickets: tickets with an object in force
    :ivar platform_age_s: time since the last successful read of the platform, in seconds
    :ivar sent_bytes: bytes sent over the peer links since the start
    :ivar received_bytes: bytes received over the peer links since the start
    """

    queued: Mapping[str, int] = field(default_factory=dict)
    in_flight: Mapping[int, int] = field(default_factory=dict)
    members: int = 0
    tickets: int = 0
    platform_age_s: float = 0.0
    sent_bytes: int = 0
    received_bytes: int = 0


class Collectors:
    """Metric collectors in a separate registry."""

    def __init__(self):
        self._registry = Registry()

    def render(self) -> tuple[bytes, str]:
        """Return all metrics in the text format of Prometheus.

        :return: body and its content type
        """
        body, headers = render(self._registry, [])
        return body, headers["Content-Type"]

    def _counter(self, name: str, meaning: str) -> Counter:
        return Counter(f"balsamtally_{name}", meaning, registry=self._registry)

    def _gauge(self, name: str, meaning: str) -> Gauge:
        return Gauge(f"balsamtally_{name}", meaning, registry=self._registry)

    def _histogram(self, name: str, meaning: str, bounds_s: tuple[float, ...]) -> Histogram:
        return Histogram(
            f"balsamtally_{name}", meaning, registry=self._registry, buckets=(*bounds_s, INFINITY)
        )


class Metrics(Collectors):
    """The metrics of one daemon.

    Values of the label ``class`` must come from the objects in force, never from a caller's input.
    """

    def __init__(self, read_gauges: Callable[[], Gauges] = Gauges):
        """Register the collectors.

        :param read_gauges: returns the current values, called at each :meth:`render`
        """
        super().__init__()
        self.read_gauges = read_gauges
        self._requests = self._counter("requests_total", "Requests by class and result code")
        self._tokens = self._counter("tokens_total", "Tokens by class and fate")
        self._retries = self._counter("retries_total", "Attempts after the first")
        self._unknown = self._counter("unknown_total", "Requests whose outcome is unknown")
        self._preemptions = self._counter("preemptions_total", "Preempted answers")
        self._region_bytes = self._counter("region_bytes_total", "Bytes sent between regions")
        self._first_token = self._histogram(
            "first_token_seconds", "Time to the first token", FIRST_TOKEN_BOUNDS_S
        )
        self._between_tokens = self._histogram(
            "between_tokens_seconds", "Time between two tokens", BETWEEN_TOKENS_BOUNDS_S
        )
        self._queue_wait = self._histogram(
            "queue_wait_seconds", "Time in the queue", QUEUE_WAIT_BOUNDS_S
        )
        self._decision = self._histogram(
            "decision_seconds", "Time that a routing decision takes", DECISION_BOUNDS_S
        )
        self._queued = self._gauge("queued", "Requests in the queues of this coordinator")
        self._in_flight = self._gauge("in_flight", "Requests held by this entry VM")
        self._members = self._gauge("members", "Live entry VMs of the own failure domain")
        self._tickets = self._gauge("tickets", "Tickets whose state is in force")
        self._platform_age = self._gauge(
            "platform_age_seconds", "Time since the last good read of the platform"
        )
        self._link_bytes = self._gauge("link_bytes", "Bytes over the peer links since the start")

    def count_request(self, request_class: str, code: int) -> None:
        """Count a finished request.

        :param request_class: name of the request's class, empty if no class was found
        :param code: numeric result code, 0 for a complete answer
        """
        self._requests.inc({"class": request_class, "code": str(code)})

    def count_tokens(self, request_class: str, delivered: int, wasted: int = 0) -> None:
        """Count generated tokens.

        :param request_class: name of the class
        :param delivered: tokens that reached the caller
        :param wasted: tokens that reached no caller
        """
        if delivered:
            self._tokens.add({"class": request_class, "fate": "delivered"}, delivered)
        if wasted:
            self._tokens.add({"class": request_class, "fate": "wasted"}, wasted)

    def count_retry(self, request_class: str) -> None:
        """Count a retry: an attempt after the first.

        :param request_class: name of the class
        """
        self._retries.inc({"class": request_class})

    def count_unknown(self, request_class: str) -> None:
        """Count a request whose outcome is unknown.

        :param request_class: name of the class
        """
        self._unknown.inc({"class": request_class})

    def count_preemption(self, request_class: str) -> None:
        """Count a preempted answer.

        :param request_class: name of the class
        """
        self._preemptions.inc({"class": request_class})

    def count_region_bytes(self, customer: str, request_class: str, size_bytes: int) -> None:
        """Count bytes sent to another region.

        :param customer: name of the customer
        :param request_class: name of the class
        :param size_bytes: number of bytes
        """
        self._region_bytes.add({"customer": customer, "class": request_class}, size_bytes)

    def observe_first_token(self, request_class: str, time_s: float) -> None:
        """Record the time from a request's arrival to its first token.

        :param request_class: name of the class
        :param time_s: time in seconds
        """
        self._first_token.observe({"class": request_class}, float(time_s))

    def observe_between_tokens(self, request_class: str, time_s: float) -> None:
        """Record the time between two tokens of an answer.

        :param request_class: name of the class
        :param time_s: time in seconds
        """
        self._between_tokens.observe({"class": request_class}, float(time_s))

    def observe_queue_wait(self, request_class: str, time_s: float) -> None:
        """Record the time that a request waited in the queue.

        :param request_class: name of the class
        :param time_s: time in seconds
        """
        self._queue_wait.observe({"class": request_class}, float(time_s))

    def observe_decision(self, time_s: float) -> None:
        """Record the time that a routing decision took.

        :param time_s: time in seconds
        """
        self._decision.observe({}, float(time_s))

    def render(self) -> tuple[bytes, str]:
        """Return all metrics in the text format of Prometheus.

        :return: body and its content type
        """
        gauges = self.read_gauges()
        set_by_label(self._queued, "class", gauges.queued)
        set_by_label(self._in_flight, "tier", gauges.in_flight)
        self._members.set({}, gauges.members)
        self._tickets.set({}, gauges.tickets)
        self._platform_age.set({}, gauges.platform_age_s)
        self._link_bytes.set({"direction": "sent"}, gauges.sent_bytes)
        self._link_bytes.set({"direction": "received"}, gauges.received_bytes)
        return super().render()


def set_by_label(gauge: Gauge, label: str, values: Mapping[str | int, int]) -> None:
    """Set a gauge for each value of a label, and to 0 for label values that are no longer present.

    :param gauge: the gauge
    :param label: name of the label
    :param values: the gauge's value by label value
    """
    shown = {str(key): value for key, value in values.items()}
    for labels, _ in gauge.get_all():
        if labels[label] not in shown:
            gauge.set(labels, 0)
    for key, value in shown.items():
        gauge.set({label: key}, value)
