"""The operators' listener: metrics, health, and what the daemon holds and decided."""

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
    :ivar item: the object as the ticket states it
    """

    kind: str
    name: str
    number: int
    digest: str
    item: object


class RefusedTicket(msgspec.Struct, frozen=True):
    """A ticket that failed its checks.

    :ivar source: key under which the platform holds it
    :ivar digest: digest of its text
    :ivar reason: all the faults
    """

    source: str
    digest: str
    reason: str


class StateReport(msgspec.Struct, frozen=True):
    """The state that a daemon holds.

    :ivar vm: name of the VM
    :ivar objects: objects in force, removals included
    :ivar refused: tickets that failed their checks
    :ivar conflicts: digests of the different tickets met under one number
    """

    vm: str
    objects: tuple[ObjectInForce, ...]
    refused: tuple[RefusedTicket, ...] = ()
    conflicts: dict[int, tuple[str, ...]] = {}


class RunnerReport(msgspec.Struct, frozen=True):
    """A backend server as a daemon sees it.

    :ivar name: name of the backend server
    :ivar role: ``model`` or ``service``
    :ivar address: IP number and port
    :ivar domain: failure domain it stands in
    :ivar pools: names of the models, or of the plain service, that it serves
    :ivar slots: answers that it generates side by side
    :ivar leaving: whether it gets no new work, by its ticket or its own word
    :ivar running: answers in generation by its last report, ``None`` if there is none
    :ivar report_age_s: age of that report, in seconds
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
    """The queued requests of one class.

    :ivar pool: name of the model
    :ivar request_class: name of the class
    :ivar queued: requests that wait
    """

    pool: str
    request_class: str
    queued: int


def describe_state(vm: str, facts: Facts) -> StateReport:
    """Return what a daemon holds in force.

    :param vm: name of the VM
    :param facts: its facts
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
    """Return what a daemon knows of a backend server.

    :param server: the backend server in force
    :param view: what the daemon heard of it
    :return: the report
    """
    heard = view.running >= 0
    return RunnerReport(
        server.name,
        server.role,
        server.address,
        server.domain,
        server.pools,
        server.slots,
        server.leaving or view.leaving,
        running=view.running if heard else None,
        report_age_s=round(view.report_age_s, 1) if heard else None,
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
    :param read_unready: returns why the daemon isn't ready, empty once it is
    :param read_state: returns a :class:`StateReport`
    :param read_vms: returns the entry VMs as this one sees them
    :param read_runners: returns the backend servers as this VM sees them
    :param read_queues: returns the queues that this VM coordinates
    :param decisions: the last decisions
    :return: the application
    """
    app = bottle.Bottle()
    app.default_error_handler = _answer_error
    app.get("/metrics", callback=lambda: _answer_metrics(render_metrics))
    app.get("/healthz", callback=lambda: _answer({"healthy": True}))
    app.get("/readyz", callback=lambda: _answer_readiness(read_unready()))
    app.get("/explain/<request>", callback=lambda request: _explain(request, decisions))
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


def _explain(request: str, decisions: Decisions) -> bytes:
    lines = decisions.find(request)
    return _answer({"request": request, "decisions": lines}, 200 if lines else 404)


def _answer(value: object, status: int = 200) -> bytes:
    bottle.response.status = status
    bottle.response.content_type = JSON_TYPE
    return msgspec.json.encode(value, enc_hook=str)


def _answer_error(error: bottle.HTTPError) -> bytes:
    return _answer({"error": str(error.body)}, error.status_code)
