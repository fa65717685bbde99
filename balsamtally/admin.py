"""The operators' HTTP listener: metrics, health, current state and recent decisions."""

from collections.abc import Callable

import bottle
import msgspec

from balsamtally.decisions import Decisions
from balsamtally.facts import Facts
from balsamtally.load import RunnerView
from balsamtally.machines import BackendServer

JSON_TYPE = "application/json"


class ObjectInForce(msgspec.Struct, frozen=True):
    """An object in force.

    :ivar kind: kind of the object
    :ivar name: name of the object
    :ivar number: number of the ticket that set it
    :ivar digest: digest of that ticket
    :ivar item: the object as given in the ticket
    """

    kind: str
    name: str
    number: int
    digest: str
    item: object


class RefusedTicket(msgspec.Struct, frozen=True):
    """A ticket that failed its checks.

    :ivar source: key under which the platform holds it
    :ivar digest: digest of the ticket's text
    :ivar reason: all faults found
    """

    source: str
    digest: str
    reason: str


class StateReport(msgspec.Struct, frozen=True):
    """The state in force at a daemon.

    :ivar vm: name of the VM
    :ivar objects: objects in force, removals included
    :ivar refused: tickets that failed their checks
    :ivar conflicts: digests of the different tickets received under the same number, by number
    """

    vm: str
    objects: tuple[ObjectInForce, ...]
    refused: tuple[RefusedTicket, ...] = ()
    conflicts: dict[int, tuple[str, ...]] = {}


class RunnerReport(msgspec.Struct, frozen=True):
    """A backend server in a daemon's view.

    :ivar name: name of the backend server
    :ivar role: ``model`` or ``service``
    :ivar address: IP address and port
    :ivar domain: failure domain of the backend server
    :ivar pools: names of the models, or of the plain service, that the backend server provides
    :ivar slots: answers that the backend server can generate concurrently
    :ivar leaving: whether the backend server gets no new work, as set by its ticket or reported by
        itself
    :ivar running: answers generated now according to its last report, ``None`` without a report
    :ivar report_age_s: age of the last report in seconds, ``None`` without a report
    """

    name: str
    role: str
    address: str
    domain: str
    pools: tuple[str, ...]
    slots: int
    leaving: bool
    running: int | None
    report_age_s: float | None


class QueuedRequests(msgspec.Struct, frozen=True):
    """The number of queued requests of one class for one model.

    :ivar pool: name of the model
    :ivar request_class: name of the class
    :ivar queued: number of waiting requests
    """

    pool: str
    request_class: str
    queued: int


def describe_state(vm: str, facts: Facts) -> StateReport:
    """Return the state in force at a daemon.

    :param vm: name of the daemon's VM
    :param facts: ticket state of the daemon
    :return: the report
    """
    objects = tuple(
        ObjectInForce(kind, name, entry.number, entry.digest, entry.item)
        for (kind, name), entry in sorted(facts.entries.items())
    )
    refused = tuple(
        RefusedTicket(notice.source, notice.digest, notice.reason)
        for notice in facts.refused.values()
    )
    conflicts = {number: tuple(sorted(found)) for number, found in facts.conflicts.items()}
    return StateReport(vm, objects, refused, conflicts)


def describe_runner(server: BackendServer, view: RunnerView) -> RunnerReport:
    """Return a daemon's view of a backend server.

    :param server: the backend server in force
    :param view: the daemon's view of its load; ``running`` is negative before the first report
    :return: the report
    """
    has_report = view.running >= 0
    return RunnerReport(
        server.name,
        server.role,
        server.address,
        server.domain,
        server.pools,
        server.slots,
        server.leaving or view.leaving,
        running=view.running if has_report else None,
        report_age_s=round(view.report_age_s, 1) if has_report else None,
    )


def make_admin_app(
    *,
    render_metrics: Callable[[], tuple[bytes, str]],
    read_unready: Callable[[], str],
    read_state: Callable[[], object],
    read_vms: Callable[[], object],
    read_runners: Callable[[], object],
    read_queues: Callable[[], object],
    decisions: Decisions,
) -> bottle.Bottle:
    """Return the WSGI application of the operators' listener.

    :param render_metrics: returns the metrics' body and content type
    :param read_unready: returns why the daemon isn't ready, empty if it is ready
    :param read_state: returns a :class:`StateReport`
    :param read_vms: returns this VM's view of the entry VMs
    :param read_runners: returns this VM's view of the backend servers
    :param read_queues: returns the queues that this VM coordinates
    :param decisions: recent decisions
    :return: the application
    """
    app = bottle.Bottle()
    app.default_error_handler = _answer_error
    app.get("/metrics", callback=lambda: _answer_metrics(render_metrics))
    app.get("/healthz", callback=lambda: _answer({"healthy": True}))
    app.get("/readyz", callback=lambda: _answer_readiness(read_unready()))
    app.get("/explain/<request>", callback=lambda request: _answer_decisions(request, decisions))
    app.get("/state", callback=lambda: _answer(read_state()))
    app.get("/vms", callback=lambda: _answer(read_vms()))
    app.get("/runners", callback=lambda: _answer(read_runners()))
    app.get("/queues", callback=lambda: _answer(read_queues()))
    return app


def _answer_metrics(render_metrics: Callable[[], tuple[bytes, str]]) -> bytes:
    body, content_type = render_metrics()
    bottle.response.content_type = content_type
    return body


def _answer_readiness(reason: str) -> bytes:
    return _answer({"ready": not reason, "reason": reason}, 503 if reason else 200)


def _answer_decisions(request: str, decisions: Decisions) -> bytes:
    lines = decisions.find(request)
    return _answer({"request": request, "decisions": lines}, 200 if lines else 404)


def _answer(value: object, status: int = 200) -> bytes:
    bottle.response.status = status
    bottle.response.content_type = JSON_TYPE
    return msgspec.json.encode(value, enc_hook=str)


def _answer_error(error: bottle.HTTPError) -> bytes:
    return _answer({"error": str(error.body)}, error.status_code)
