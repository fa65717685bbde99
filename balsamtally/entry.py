"""HTTP server for callers: chat requests, the model list, receipts and plain service calls."""

import contextlib
import secrets
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
from balsamtally.sockets import peek
from balsamtally.streams import Chunk

CALLER_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 10_000
MAX_HEADER_CHARACTERS = 512
CLASS_HEADER = "X-Request-Class"
RECEIPT_HEADER = "Idempotency-Key"
ROUTED_KEY = "balsamtally.routed"
SOCKET_KEY = "balsamtally.socket"


@dataclass(frozen=True)
class EntryHooks:
    """Functions of the daemon that the callers' server uses.

    :ivar is_ready: returns whether the daemon has received its first state
    :ivar is_leaving: returns whether the entry VM refuses new work because it is draining
    :ivar find_customer: returns the customer of an API key, ``None`` if unknown
    :ivar find_class: returns a request class by name, ``None`` if unknown
    :ivar find_pool: returns a pool by its model's name or alias, ``None`` if unknown
    :ivar list_pools: returns all pools
    :ivar check_limits: raises an error if the customer or request class exceeds its rate limit
    :ivar issue_receipt: issues a receipt to a customer
    :ivar call_service: calls a plain service with customer, service, operation, body and receipt
    :ivar record_end: called at the end of a chat request with its progress and error, if any
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
    """HTTP server for callers; a context manager that starts and stops the server.

    :param settings: settings of the entry VM
    :param chats: serves chat requests
    :param hooks: other functions of the daemon
    """

    def __init__(self, settings: Settings, chats: Chats, hooks: EntryHooks):
        self.settings = settings
        self.chats = chats
        self.hooks = hooks
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
        """Abort the requests in flight with :class:`GraceEnded`."""
        for task in list(self._tasks):
            task.kill(GraceEnded(), block=False)

    def _make_app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.route("/v1/chat/completions", "POST", self._wrap_route(self._serve_chat))
        app.route("/v1/models", "GET", self._wrap_route(self._serve_models))
        app.route("/v1/receipts", "POST", self._wrap_route(self._serve_receipt))
        path = "/v1/services/<service>/<operation>"
        app.route(path, "POST", self._wrap_route(self._serve_service))
        app.default_error_handler = lambda error: render_error(
            UnknownPath() if error.status_code in (404, 405) else BalsamtallyError(), ""
        )
        return app

    def _wrap_route(self, serve: Callable) -> Callable:
        """Wrap a route with the common checks and the rendering of errors as JSON."""

        def serve_route(**path):
            request_id = f"req-{secrets.token_hex(8)}"
            bottle.response.set_header("X-Request-Id", request_id)
            try:
                return self._admit(request_id, serve, path)
            except CallerVanished:
                return render_error(CallerLeft(), request_id)
            except BalsamtallyError as error:
                return render_error(self._qualify_error(serve, error), request_id)
            except OSError as error:
                incomplete = MalformedBody(
                    f"the request body could not be read to its end: {error}"
                )
                return render_error(self._qualify_error(serve, incomplete), request_id)
            except Exception:
                log.exception("request_failed", request=request_id)
                return render_error(BalsamtallyError(), request_id)

        return serve_route

    def _qualify_error(self, serve: Callable, error: BalsamtallyError) -> BalsamtallyError:
        """Return the error to report, given that another attempt of the same call may be running.

        Only service calls rejected before they were routed are concerned: a rejected copy doesn't
        show that the call was not run.
        """
        if serve != self._serve_service or ROUTED_KEY in bottle.request.environ:
            return error
        return qualify_refusal(error, bottle.request.get_header(RECEIPT_HEADER))

    def _admit(self, request_id: str, serve: Callable, path: dict) -> object:
        """Call a route handler and count its request as in flight until the answer ends."""
        customer = self._find_customer()
        request_class = self._find_class(customer) if serve == self._serve_chat else None
        tier = request_class.tier if request_class is not None else SERVICE_TIER
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.admission.hold(tier, self._measure_body()))
            stack.enter_context(self._track_task())
            answer = serve(request_id, customer, **(path or {}))
            if isinstance(answer, Iterator):
                return AdmittedStream(answer, stack.pop_all())
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
        if not self.hooks.is_ready():
            raise NotReady
        scheme, _, key = (read_header("Authorization") or "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise UnknownKey
        customer = self.hooks.find_customer(key.strip())
        if customer is None:
            raise UnknownKey
        return customer

    def _measure_body(self) -> int:
        """Return the declared size of the body, or the limit if no size is declared, in bytes."""
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
            for pool in self.hooks.list_pools()
        ]
        return {"object": "list", "data": models}

    def _serve_receipt(self, request_id: str, customer: Customer) -> dict:
        if self.hooks.is_leaving():
            raise Leaving
        return {"receipt": self.hooks.issue_receipt(customer)}

    def _serve_service(
        self, request_id: str, customer: Customer, service: str, operation: str
    ) -> bytes:
        receipt = read_header(RECEIPT_HEADER)
        body = self._read_body()
        bottle.request.environ[ROUTED_KEY] = True
        answer = self.hooks.call_service(customer, service, operation, body, receipt)
        bottle.response.status = answer.status
        bottle.response.content_type = answer.content_type
        return answer.body

    def _serve_chat(self, request_id: str, customer: Customer) -> dict | Iterator[bytes]:
        if self.hooks.is_leaving():
            raise Leaving
        arrived = time.monotonic()
        raw, body = decode_chat(self._read_body())
        request_class = self._find_class(customer)
        pool = self.hooks.find_pool(body.model)
        if pool is None:
            raise UnknownModel(f"model {body.model!r} is unknown")
        self.hooks.check_limits(customer, request_class)
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
        request_class = self.hooks.find_class(name) if name in customer.classes else None
        if request_class is None:
            raise UnknownClass(f"request class {name!r} is unknown or not open to this customer")
        return request_class

    def _record_end(self, chat: ChatRequest, progress: Progress) -> Iterator[Chunk]:
        """Yield the chunks of the answer and record its end, even if the caller disconnects."""
        has_vanished = make_vanished_check(bottle.request.environ.get(SOCKET_KEY))
        error: BaseException | None = None
        try:
            yield from self.chats.answer(chat, progress, has_vanished)
        except BaseException as failure:
            error = failure
            raise
        finally:
            self.hooks.record_end(chat, progress, error)


class AdmittedStream:
    """A streamed response body that releases its admission when it is closed.

    :param answer: the parts of the body
    :param resources: closed after the body, such as the admission of the request
    """

    def __init__(self, answer: Iterator[bytes], resources: contextlib.ExitStack):
        self._answer = answer
        self._resources = resources

    def __iter__(self) -> Iterator[bytes]:
        return self._answer

    def close(self) -> None:
        """Close the answer, even if it was not read to its end, and release its resources."""
        with self._resources:
            self._answer.close()


class CallerHandler(WSGIHandler):
    """Handler of one caller connection, with timeouts on reads and writes."""

    def handle(self) -> None:
        """Serve the requests of the connection."""
        self.socket.settimeout(CALLER_TIMEOUT_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict:
        """Return the WSGI environment of the request, with the caller's socket added."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_error(self, kind, value, traceback) -> None:
        """Answer an error of the server with 500, or end a connection whose answer has begun.

        The base class takes a head that was sent in part for one that wasn't sent.
        """
        if not self.headers_sent:
            super().handle_error(kind, value, traceback)
            return
        self.close_connection = True
        if isinstance(value, (OSError, BalsamtallyError, gevent.GreenletExit)):
            log.info("answer_aborted", why=f"{kind.__name__}: {value}")
        else:
            log.error("request_failed", exc_info=(kind, value, traceback))

    def read_requestline(self) -> str:
        """Return the request line, empty if the read timed out."""
        try:
            return super().read_requestline()
        except TimeoutError:
            return ""


def make_vanished_check(caller: socket.socket | None) -> Callable[[], bool]:
    """Return a function that checks whether a caller has closed its connection.

    :param caller: socket of the caller, ``None`` if unknown
    :return: the function; it returns ``False`` if there is no socket
    """

    def has_vanished() -> bool:
        return caller is not None and peek(caller) == b""

    return has_vanished


def read_header(name: str) -> str | None:
    """Return a header of the current request.

    :param name: name of the header
    :return: value of the header, ``None`` if it is missing
    :raises MalformedHeader: if the value is too long or contains other than printable ASCII
    """
    # bottle's own header access fails on bytes that aren't UTF-8.
    value = bottle.request.environ.get("HTTP_" + name.upper().replace("-", "_"))
    if value is None:
        return None
    if len(value) > MAX_HEADER_CHARACTERS or not value.isascii() or not value.isprintable():
        raise MalformedHeader(
            f"header {name} is over {MAX_HEADER_CHARACTERS} characters or not printable ASCII"
        )
    return value
