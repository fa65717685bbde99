"""Test doubles for forwarding: scripted backend servers, contracts, calls, a wire and hooks."""

import contextlib
import itertools

import gevent
from gevent import socket

from balsamtally.backlogs import Backlogs, Size
from balsamtally.calls import (
    Account,
    Backend,
    Branch,
    Call,
    Notice,
    PromptPart,
    Repeat,
    Route,
    Service,
    Verdict,
)
from balsamtally.catalog import Contracts
from balsamtally.forwarding import Choice, ForwardingHooks, Wire
from standins.fleet import draw_host

HOST = "127.0.0.1"
_birth_numbers = itertools.count(1)


def make_route(repeat=Repeat.NEVER, streams=False, **changes):
    """Return a route of the service ``desk``."""
    fields = {
        "name": "route",
        "host": "host.example",
        "path_prefix": "/a/",
        "repeat": repeat,
        "streams": streams,
        "timeout_s": 2.0,
        "target_s": 0.5,
        "gap_s": 0.2,
        "tier": 1,
        "max_attempts": 2,
        "public": False,
        "branches": (Branch("desk"),),
    }
    return Route(**fields | changes)


def make_contracts(*routes, version=1, **changes):
    fields = {
        "version": version,
        "routes": routes,
        "services": {"desk": Service("desk", "/health", 100)},
        "accounts": {"key": Account("cabo")},
    }
    return Contracts(**fields | changes)


def make_backend(name="one", address=(HOST, 1), **changes):
    fields = {
        "name": name,
        "born": next(_birth_numbers),
        "service": "desk",
        "address": address,
        "domain": "home",
        "slots": 4,
    }
    return Backend(**fields | changes)


def make_call(**changes):
    fields = {
        "id": "id1",
        "method": b"POST",
        "target": b"/a/x?y=1",
        "host": "host.example",
        "key": "key",
        "deadline_s": 2.0,
        "arrived_s": 0.0,
        "headers": ((b"Host", b"host.example"),),
        "body": b"body",
        "parts": (PromptPart("s", 10), PromptPart("o", 5)),
    }
    return Call(**fields | changes)


class ScriptedBackend:
    """A backend server on loopback that answers each request by the next script.

    The last script is repeated. A script that returns ``False`` closes the connection.

    :ivar requests: complete requests received, in order
    :ivar connections: number of connections accepted
    :ivar closed: number of connections closed
    """

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self.requests = []
        self.connections = 0
        self.closed = 0

    def __enter__(self):
        self._listener = socket.socket()
        self._listener.bind((draw_host(), 0))
        self._listener.listen(16)
        self.address = self._listener.getsockname()
        self._tasks = [gevent.spawn(self._accept)]
        return self

    def __exit__(self, *exc_info):
        gevent.killall(self._tasks)
        self._listener.close()

    def stop_listening(self):
        """Close the listener, so that further connections are refused."""
        self._tasks[0].kill()
        self._listener.close()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            self.connections += 1
            self._tasks.append(gevent.spawn(self._serve, sock))

    def _serve(self, sock):
        try:
            with contextlib.closing(sock), contextlib.suppress(OSError):
                self._run_scripts(sock)
        finally:
            self.closed += 1

    def _run_scripts(self, sock):
        while (request := read_message(sock)) is not None:
            self.requests.append(request)
            script = self._scripts.pop(0) if len(self._scripts) > 1 else self._scripts[0]
            if script(sock, request) is False:
                return


def read_message(sock):
    """Read one HTTP message with a declared length; return ``None`` at the end of the stream."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65536)
        if not piece:
            return None
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        body += sock.recv(65536)
    return head + b"\r\n\r\n" + body


def reply(status=200, body=b"answer", headers=b"Id: id1\r\n"):
    """Return a script that sends a complete answer."""
    head = b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (status, headers, len(body))
    return lambda sock, request: sock.sendall(head + body)


def send_raw(*pieces, pause_s=0.0, reset=False):
    """Return a script that sends raw bytes and then closes or resets the connection."""

    def run(sock, request):
        for piece in pieces:
            sock.sendall(piece)
            gevent.sleep(pause_s)
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        return False

    return run


def hang(sock, request):
    """Read until the peer closes the connection, without an answer."""
    while sock.recv(65536):
        pass
    return False


# A protocol with short header names for these tests. The production wire is tested separately.


def _make_headers(attempt):
    headers = [*attempt.call.headers, (b"Id", attempt.call.id.encode())]
    headers.append((b"Left-Ms", b"%d" % (attempt.left_s * 1000)))
    if attempt.last_event is not None:
        headers.append((b"Last", b"%d" % attempt.last_event))
    headers.append((b"Content-Length", b"%d" % len(attempt.call.body)))
    return tuple(headers)


def _classify(attempt, head):
    headers = {name.lower(): value for name, value in head.headers}
    if headers.get(b"id", b"") not in (b"", attempt.call.id.encode()):
        return Verdict.FOREIGN
    if b"not-run" in headers:
        return Verdict.NOT_RUN
    if head.status == 421:
        return Verdict.NOT_THERE
    return Verdict.ANSWER if b"id" in headers else Verdict.INVALID


def _report(call_id, error):
    return ((b"Code", b"%d" % error.code),), str(error).encode()


def make_wire(read_call):
    return Wire(
        read_call,
        _make_headers,
        _classify,
        lambda head: Notice(leaving=(b"leaving", b"1") in head.headers),
        lambda head: tuple(
            (name, value)
            for name, value in head.headers
            if name.lower() not in (b"content-length", b"transfer-encoding", b"connection")
        ),
        _report,
        lambda head: dict(head.headers).get(b"Id", b"").decode(),
        b"/state",
        lambda body: int(body) if body.isdigit() else None,
    )


def make_hooks(contracts, backends, **changes):
    """Return hooks that choose backend servers in order, their recorded calls, and backlogs."""
    recorded = []
    backlogs = Backlogs()

    def choose(plan, progress):
        for backend in backends:
            if backend.name not in progress.avoid:
                size = Size(10, 20)
                work = backlogs.begin(backend.name, size, lambda: None, lambda: None)
                return Choice(backend, work)
        return None

    fields = {
        "find_contracts": lambda: contracts,
        "admit": lambda plan, progress: None,
        "is_suspect": lambda plan: False,
        "find_software": lambda plan, progress: None,
        "record_origin": lambda *fields: recorded.append(("origin", *fields)),
        "record_begun": lambda *fields: recorded.append(("begun", *fields)),
        "record_crash": lambda *fields: recorded.append(("crash", *fields)),
        "choose": choose,
        "find_end_s": lambda plan: plan.until_s,
        "is_open": lambda backend: True,
        "record_request": lambda service: None,
        "has_retry": lambda service: True,
        "take_retry": lambda service: True,
        "record_outcome": lambda *fields: recorded.append(("outcome", *fields)),
        "record_notice": lambda *fields: recorded.append(("notice", *fields)),
        "mark_leaving": lambda *fields: recorded.append(("leaving", *fields)),
        "record_end": lambda *fields: recorded.append(("end", *fields)),
    }
    return ForwardingHooks(**fields | changes), recorded, backlogs
