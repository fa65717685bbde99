"""The callers' listener: chat requests, models, receipts and plain service calls."""

import contextlib
import secrets
import select
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import bottle
import gevent
from gevent.pool import Pool as GreenletPool
from gevent.pywsgi import WSGIHandler, WSGIServer

from balsamtally.admission import SERVICE_TIER, Admission
from balsamtally.bodies import decode_chat
from balsamtally.chats import ChatRequest, Chats, Progress
from balsamtally.contracts import Customer, Pool, RequestClass
from balsamtally.errors import (
    BalsamtallyError,
    BodyTooLarge,
    CallerLeft,
    GraceEnded,
    Leaving,
    MalformedBody,
    MalformedHeader,
    NotReady,
    UnknownClass,
    UnknownKey,
    UnknownModel,
    UnknownPath,
)
from balsamtally.logs import log
from balsamtally.messages import ServiceAnswer
from balsamtally.responses import collect_answer, render_error, stream_events
from balsamtally.services import qualify_refusal
from balsamtally.settings import Settings, split_address
from balsamtally.slots import CallerVanished
from balsamtally.streams import Chunk

CALLER_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 10_000
MAX_HEADER_CHARACTERS = 512
CLASS_HEADER = "X-Request-Class"
RECEIPT_HEADER = "Idempotency-Key"
ROUTED = "balsamtally.routed"
SOCKET = "balsamtally.socket"


@dataclass(frozen=True)
class Doors:
    """What the callers' listener needs of the daemon.

    :ivar is_ready: tells whether some state was learnt
    :ivar is_leaving: tells whether the VM is leaving
    :ivar find_customer: finds the customer of an API key
    :ivar find_class: finds a request class by name
    :ivar find_pool: finds a pool by its model's name or alias
    :ivar list_pools: lists the pools
    :ivar check_limits: raises if the customer or the class is over its limit
    :ivar issue_receipt: issues a receipt to a customer
    :ivar call_service: calls a plain service: customer, service, operation, body, receipt
    :ivar record_end: called at the end of a chat request with its error, if any
    """

    is_ready: Callable[[], bool]
    is_leaving: Callable[[], bool]
    find_customer: Callable[[str], Customer | None]
    find_class: Callable[[str], RequestClass | None]
    find_pool: Callable[[str], Pool | None]
    list_pools: Callable[[], list[Pool]]
    check_limits: Callable[[Customer, RequestClass], None]
    issue_receipt: Callable[[Customer], str]
    call_service: Callable[[Customer, str, str, bytes, str | None], ServiceAnswer]
    record_end: Callable[[ChatRequest, Progress, BaseException | None], None]


class Entry:
    """The callers' listener, closed by context.

    :param settings: settings of the VM
    :param chats: answers chat requests
    :param doors: what else it needs of the daemon
    """

    def __init__(self, settings: Settings, chats: Chats, doors: Doors):
        self.settings = settings
        self.chats = chats
        self.doors = doors
        self.admission = Admission(settings.max_requests, settings.max_bodies_bytes)
        self._tasks: set[gevent.Greenlet] = set()
        self.app = self._make_app()
        self._server = WSGIServer(
            split_address(settings.caller_address),
            self.app,
            handler_class=CallerHandler,
            spawn=GreenletPool(MAX_CONNECTIONS),
            log=None,
            error_log=None,
        )

    def __enter__(self) -> "Entry":
        self._server.start()
        return self

    def __exit__(self, *exc_info) -> None:
        self._server.stop(timeout=1)

    def abort_requests(self) -> None:
        """End the requests in flight with an error that says so."""
        for task in list(self._tasks):
            task.kill(GraceEnded(), block=False)

    def _make_app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.route("/v1/chat/completions", "POST", self._guard(self._serve_chat))
        app.route("/v1/models", "GET", self._guard(self._serve_models))
        app.route("/v1/receipts", "POST", self._guard(self._serve_receipt))
        path = "/v1/services/<service>/<operation>"
        app.route(path, "POST", self._guard(self._serve_service))
        app.default_error_handler = lambda error: render_error(
            UnknownPath() if error.status_code in (404, 405) else BalsamtallyError(), ""
        )
        return app

    def _guard(self, serve: Callable) -> Callable:
        """Wrap a route: checks common to all, errors as JSON, nothing to callers that left."""

        def serve_guarded(**path):
            request_id = f"req-{secrets.token_hex(8)}"
            bottle.response.set_header("X-Request-Id", request_id)
            try:
                return self._admit(request_id, serve, path)
            except CallerVanished:
                return render_error(CallerLeft(), request_id)
            except BalsamtallyError as error:
                return render_error(self._qualify(serve, error), request_id)
            except OSError as error:
                early = MalformedBody(f"the body ended early: {error}")
                return render_error(self._qualify(serve, early), request_id)
            except Exception:
                log.exception("request_failed", request=request_id)
                return render_error(BalsamtallyError(), request_id)

        return serve_guarded

    def _qualify(self, serve: Callable, error: BalsamtallyError) -> BalsamtallyError:
        """Return the error as a caller may be told it, where another copy may be on its way."""
        if serve != self._serve_service or ROUTED in bottle.request.environ:
            return error
        return qualify_refusal(error, bottle.request.get_header(RECEIPT_HEADER))

    def _admit(self, request_id: str, serve: Callable, path: dict) -> object:
        """Call a route with its request counted in flight until the answer's end."""
        customer = self._find_customer()
        request_class = self._find_class(customer) if serve == self._serve_chat else None
        tier = request_class.tier if request_class is not None else SERVICE_TIER
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.admission.hold(tier, self._measure_body()))
            stack.enter_context(self._track_task())
            answer = serve(request_id, customer, **(path or {}))
            if isinstance(answer, Iterator):
                return HeldStream(answer, stack.pop_all())
            return answer

    @contextlib.contextmanager
    def _track_task(self) -> Iterator[None]:
        task = gevent.getcurrent()
        self._tasks.add(task)
        try:
            yield
        finally:
            self._tasks.discard(task)

    def _find_customer(self) -> Customer:
        if not self.doors.is_ready():
            raise NotReady
        scheme, _, key = (read_header("Authorization") or "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise UnknownKey
        customer = self.doors.find_customer(key.strip())
        if customer is None:
            raise UnknownKey
        return customer

    def _measure_body(self) -> int:
        """Return the most bytes that the body may take."""
        limit = self.settings.max_body_bytes
        environ = bottle.request.environ
        if environ.get("HTTP_TRANSFER_ENCODING"):
            return limit
        size = bottle.request.content_length
        if size > limit:
            raise BodyTooLarge(f"the body is over {limit} bytes")
        return max(0, size)

    def _read_body(self) -> bytes:
        limit = self.settings.max_body_bytes
        body = bottle.request.environ["wsgi.input"].read(limit + 1)
        if len(body) > limit:
            raise BodyTooLarge(f"the body is over {limit} bytes")
        return body

    def _serve_models(self, request_id: str, customer: Customer) -> dict:
        models = [
            {"id": pool.name, "object": "model", "created": 0, "owned_by": "balsamtally"}
            for pool in self.doors.list_pools()
        ]
        return {"object": "list", "data": models}

    def _serve_receipt(self, request_id: str, customer: Customer) -> dict:
        if self.doors.is_leaving():
            raise Leaving
        return {"receipt": self.doors.issue_receipt(customer)}

    def _serve_service(
        self, request_id: str, customer: Customer, service: str, operation: str
    ) -> bytes:
        receipt = read_header(RECEIPT_HEADER)
        body = self._read_body()
        bottle.request.environ[ROUTED] = True
        answer = self.doors.call_service(customer, service, operation, body, receipt)
        bottle.response.status = answer.status
        bottle.response.content_type = answer.content_type
        return answer.body

    def _serve_chat(self, request_id: str, customer: Customer) -> dict | Iterator[bytes]:
        if self.doors.is_leaving():
            raise Leaving
        arrived = time.monotonic()
        raw, body = decode_chat(self._read_body())
        request_class = self._find_class(customer)
        pool = self.doors.find_pool(body.model)
        if pool is None:
            raise UnknownModel(f"unknown model {body.model!r}")
        self.doors.check_limits(customer, request_class)
        chat = ChatRequest(request_id, customer, request_class, pool, raw, arrived)
        progress = Progress()
        chunks = self._record_end(chat, progress)
        if body.stream:
            first = next(chunks)
            bottle.response.content_type = "text/event-stream"
            bottle.response.set_header("Cache-Control", "no-cache")
            return stream_events(chat, first, chunks)
        return collect_answer(chat, chunks)

    def _find_class(self, customer: Customer) -> RequestClass:
        name = read_header(CLASS_HEADER) or next(iter(customer.classes), "")
        request_class = self.doors.find_class(name) if name in customer.classes else None
        if request_class is None:
            raise UnknownClass(f"request class {name!r} is unknown or not open to this customer")
        return request_class

    def _record_end(self, chat: ChatRequest, progress: Progress) -> Iterator[Chunk]:
        """Yield the answer's chunks and report the end, also if the caller leaves early."""
        has_vanished = make_vanished_check(bottle.request.environ.get(SOCKET))
        error: BaseException | None = None
        try:
            yield from self.chats.answer(chat, progress, has_vanished)
        except BaseException as failure:
            error = failure
            raise
        finally:
            self.doors.record_end(chat, progress, error)


class HeldStream:
    """A streamed body that gives its place in flight back when it is closed.

    :param answer: the pieces
    :param held: what is closed after them
    """

    def __init__(self, answer: Iterator[bytes], held: contextlib.ExitStack):
        self._answer = answer
        self._held = held

    def __iter__(self) -> Iterator[bytes]:
        return self._answer

    def close(self) -> None:
        """Close the answer, also where it was not read to its end."""
        with self._held:
            self._answer.close()


class CallerHandler(WSGIHandler):
    """Handler of one caller's connection, with time limits on reading and writing."""

    def handle(self) -> None:
        """Serve the connection's requests."""
        self.socket.settimeout(CALLER_TIMEOUT_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict:
        """Return the request's environment with the caller's socket."""
        environ = super().get_environ()
        environ[SOCKET] = self.socket
        return environ

    def read_requestline(self) -> str:
        """Return the request line, or nothing if the caller is silent for too long."""
        try:
            return super().read_requestline()
        except TimeoutError:
            return ""


def make_vanished_check(caller: socket.socket | None) -> Callable[[], bool]:
    """Return a function that tells whether a caller has closed its connection.

    :param caller: the caller's socket, ``None`` where there is none
    :return: the function
    """

    def has_vanished() -> bool:
        if caller is None:
            return False
        try:
            readable, _, _ = select.select([caller], [], [], 0)
            return bool(readable) and caller.recv(1, socket.MSG_PEEK) == b""
        except (OSError, ValueError):
            return True

    return has_vanished


def read_header(name: str) -> str | None:
    """Return a header of the current request.

    :param name: its name
    :return: its value, ``None`` if it is missing
    :raises MalformedHeader: if it is too long or holds other than printable ASCII
    """
    # bottle's own reader fails on bytes that aren't UTF-8.
    value = bottle.request.environ.get("HTTP_" + name.upper().replace("-", "_"))
    if value is None:
        return None
    if len(value) > MAX_HEADER_CHARACTERS or not value.isascii() or not value.isprintable():
        raise MalformedHeader(f"header {name} is not valid")
    return value
