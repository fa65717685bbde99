"""HTTP/1.1 client connections to backend servers, with a pool of idle connections.

A connection is reused only after a regular exchange, and never for two requests with the same id:
a second answer to the first would be taken for the answer to the second. It is closed if it holds
unread bytes, broke, or received an early or a second answer. This module never retries a request.
"""

import time
from collections import deque
from collections.abc import Callable, Iterator

import gevent
import h11
from gevent import socket

from balsamtally.calls import BODILESS, AnswerHead, Backend, Headers
from balsamtally.errors import (
    AnswerCut,
    AnswerTooLarge,
    BackendUnreachable,
    BalsamtallyError,
    ConnectionUnusable,
    LinksLost,
    NoAnswer,
)
from balsamtally.held_bytes import Holding
from balsamtally.logs import log
from balsamtally.paths.dialer import Dialer
from balsamtally.paths.losses import Losses
from balsamtally.sockets import (
    await_end,
    close,
    connect,
    end_sending,
    has_input,
    is_idle,
    receive_now,
    wait_ready,
    was_closed_in_order,
)

READ_BYTES = 65_536
SEND_BYTES = 16_384
# A reachable backend server accepts within milliseconds. The kernel resends a lost SYN only after
# one second, so that a slightly longer wait would rarely help.
CONNECT_TIMEOUT_S = 0.9
# A connection is refused within a round trip; by the operators' data sheets a round trip to another
# region takes 0.06 s.
REFUSAL_TIMEOUT_S = 0.15
# Attempts to connect before a backend server counts as silent: a lost packet isn't silence.
SILENT_ATTEMPTS = 3
# Idle timeout of backend servers that send no Keep-Alive header.
DEFAULT_IDLE_S = 4.0
# An idle connection is no longer used this long before its backend server would close it.
IDLE_MARGIN_S = 0.5
MAX_TIMEOUT_DIGITS = 9
# Requests sent on one connection, which bounds the ids that it keeps.
MAX_REQUESTS = 256
# Idle connections for each backend server.
MAX_IDLE_CONNECTIONS = 32
MAX_HEAD_BYTES = 65_536
# Statuses outside 100 to 599 are invalid by RFC 9110, section 15. The parser refuses lower ones.
MAX_STATUS = 599
# Interim answers (1xx) before a final answer; servers send one at most.
MAX_INTERIM_ANSWERS = 8
# Limits for reading a discarded answer in order to reuse its connection; a refusal has some hundred
# bytes.
MAX_DRAINED_BYTES = 65_536
DRAIN_S = 0.5
# A page of the platform's store has about 1 MB, and a third more in base64.
MAX_FETCHED_BYTES = 8_388_608
# Shortest time-out of a socket; 0 would make it non-blocking.
MIN_WAIT_S = 0.001
# A reader that waits for bytes calls its check at this interval.
CHECK_INTERVAL_S = 0.1
# Longest wait until a backend server's host confirms the end of a connection, a round trip to
# another region and a resent packet.
END_TIMEOUT_S = 0.3
# The same through another VM, which waits for the backend server's host first.
RELAYED_END_TIMEOUT_S = 0.35
TIME_OVER = "the deadline passed before the end of the answer"
_NO_BODY = ((b"Host", b"backend"), (b"Content-Length", b"0"))


class BackendConnection:
    """One connection to a backend server, for one request at a time.

    :param sock: the connected socket
    :param number: number of the connection among those of its pool
    :param relay: name of the entry VM that the connection leads through, empty if it is direct
    :param incarnation: identity of that VM's process
    :ivar relay: name of that VM
    :ivar incarnation: identity of its process
    :ivar request_ids: ids of the requests for which the pool handed out the connection
    :ivar idle_since_s: monotonic clock when the last exchange ended, in seconds
    :ivar idle_limit_s: longest idle time after which the connection is reused, in seconds
    :ivar ends_by_close: whether the last answer has neither a length nor chunks, so that it ends
        with the connection
    :ivar witness: another connection to the backend server's process, which ends with the process
        within such an answer; ``None`` if there is none
    :ivar holding: counts the bytes of the current answer, ``None`` if they aren't counted
    :ivar held_bytes: bytes of the answer's body that the reader holds
    :ivar check: called while an answer is awaited, raises an error to end the wait; ``None`` for no
        check
    """

    def __init__(
        self, sock: socket.socket, number: int = 0, relay: str = "", incarnation: str = ""
    ):
        self._sock = sock
        self.relay = relay
        self.incarnation = incarnation
        self._number = number
        self._requests = 0
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._method = b""
        # For each request, whether it was HEAD, whose answers have no body.
        self._head_requests: set[bool] = set()
        self._whole_request = False
        self._unsent = b""
        self.request_ids: set[str] = set()
        self.idle_since_s = 0.0
        self.idle_limit_s = DEFAULT_IDLE_S
        self.ends_by_close = False
        self.witness: socket.socket | None = None
        self._witness_since_s = 0.0
        self._irregular = False
        self._read_bytes = 0
        self.holding: Holding | None = None
        self.held_bytes = 0
        self.check: Callable[[], None] | None = None
        self._unparsed_bytes = 0

    @property
    def exchange(self) -> str:
        """Number of the connection and of its last request, separated by a point."""
        return f"{self._number}.{self._requests}"

    def close(self) -> None:
        """Close the connection, and its witness."""
        close(self._sock)
        if self.witness is not None:
            close(self.witness)

    def end_request(self) -> bool:
        """End the connection within an answer; return whether the other side's host confirmed it.

        A backend server stops working on a request whose connection ends.
        """
        self._irregular = True
        if self.relay:
            # The kernel that confirms the end is the relay's, so the relay confirms the server's.
            return await_end(self._sock, RELAYED_END_TIMEOUT_S)
        return end_sending(self._sock, END_TIMEOUT_S)

    def is_usable(self, now_s: float) -> bool:
        """Return whether an idle connection may be reused.

        :param now_s: monotonic clock in seconds
        """
        return now_s - self.idle_since_s < self.idle_limit_s and is_idle(self._sock)

    def has_late_answer(self) -> bool:
        """Return whether bytes came after the whole answer to the last request."""
        if self._http.their_state not in (h11.IDLE, h11.DONE):
            return False
        return bool(self._http.trailing_data[0]) or has_input(self._sock)

    def watch_process(self, witness: socket.socket, now_s: float) -> None:
        """Set the witness of an answer that ends with its connection.

        :param witness: a new connection to the same process, closed with this connection
        :param now_s: monotonic clock in seconds
        """
        self.witness, self._witness_since_s = witness, now_s

    def has_lost_witness(self, now_s: float) -> bool:
        """Return whether the witness shows the end of the backend server's process.

        A reset doesn't: a backend server resets connections beyond its limit. Nor does an end after
        the idle timeout.

        :param now_s: monotonic clock in seconds
        """
        if self.witness is None or now_s - self._witness_since_s >= self.idle_limit_s:
            return False
        return was_closed_in_order(self.witness)

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes, until_s: float):
        """Send a request.

        :param method: HTTP method
        :param target: path and query
        :param headers: headers, including the length of a body
        :param body: the body
        :param until_s: deadline on the monotonic clock, in seconds
        :raises ConnectionUnusable: if the connection ended or has input before the head was sent
        :raises AnswerCut: if the connection breaks later
        :raises NoAnswer: if the deadline passes
        """
        self._whole_request = False
        self._requests += 1
        self.held_bytes = 0
        self._method = method
        self._head_requests.add(method == b"HEAD")
        head = self._http.send(h11.Request(method=method, target=target, headers=headers))
        # The parser only counts the body, which is sent without a copy.
        self._http.send_with_data_passthrough(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        self._write(head, body, until_s)

    def _write(self, head: bytes, body: bytes, until_s: float) -> None:
        """Write a request, but stop as soon as the backend server answers early.

        What arrives before the whole head was sent is no answer to this request.
        """
        first = body[: max(0, SEND_BYTES - len(head))]
        view, rest = memoryview(head + first), memoryview(body)[len(first) :]
        self._unsent = b""
        sent_bytes = 0
        try:
            while view:
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    raise NoAnswer("the request could not be sent in time")
                readable, writable = wait_ready(self._sock, left_s)
                if readable and sent_bytes < len(head):
                    raise ConnectionUnusable
                if readable:
                    self._unsent = bytes(view) + bytes(rest)
                    return
                if writable:
                    self._sock.settimeout(left_s)
                    size = self._sock.send(view[:SEND_BYTES])
                    sent_bytes += size
                    view = view[size:]
                if not view:
                    view, rest = rest, memoryview(b"")
        except OSError as error:
            if sent_bytes < len(head):
                raise ConnectionUnusable(f"the connection broke: {error}") from error
            raise AnswerCut(f"the connection broke while the request was sent: {error}") from error
        self._whole_request = True

    def read_head(self, until_s: float) -> AnswerHead:
        """Return the head of the next final answer.

        :param until_s: deadline on the monotonic clock, in seconds
        :raises AnswerCut: if the connection breaks or the answer is malformed
        :raises NoAnswer: if the deadline passes
        """
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            event = self._next_event(until_s)
            if type(event) is h11.Response:
                break
        else:
            raise AnswerCut(f"received more than {MAX_INTERIM_ANSWERS} interim answers")
        if event.status_code > MAX_STATUS:
            raise AnswerCut(f"the answer is malformed: status {event.status_code}")
        headers = tuple((bytes(name), bytes(value)) for name, value in event.headers.raw_items())
        names = [name.lower() for name, _ in headers]
        if names.count(b"content-length") + names.count(b"transfer-encoding") > 1:
            raise AnswerCut("the answer has more than one length or transfer encoding header")
        has_body = self._method != b"HEAD" and event.status_code not in BODILESS
        framing = {b"content-length", b"transfer-encoding"}
        self.ends_by_close = has_body and not framing.intersection(names)
        self._read_keep_alive(headers)
        return AnswerHead(event.status_code, headers)

    def read_body(self, find_deadline_s: Callable[[], float]) -> Iterator[bytes]:
        """Yield the body in pieces until its end.

        :param find_deadline_s: returns the deadline for the next piece on the monotonic clock, in
            seconds
        :raises AnswerCut: if the connection breaks before the end
        :raises NoAnswer: if the deadline passes
        """
        while True:
            event = self._next_event(find_deadline_s())
            if type(event) is h11.Data:
                yield bytes(event.data)
            elif type(event) is h11.EndOfMessage:
                return

    def read_whole(self, until_s: float, most_bytes: int) -> bytes:
        """Return the whole body.

        :param until_s: deadline on the monotonic clock, in seconds
        :param most_bytes: largest size of the body
        :raises AnswerCut: if the connection breaks before the end
        :raises AnswerTooLarge: if the body is larger, or too many bytes are held
        :raises NoAnswer: if the deadline passes
        """
        body = bytearray()
        for piece in self.read_body(lambda: until_s):
            body += piece
            self.held_bytes = len(body)
            if len(body) > most_bytes:
                raise AnswerTooLarge(f"the answer has more than {most_bytes} bytes")
        return bytes(body)

    def drain(self, until_s: float) -> bool:
        """Read and discard the rest of an answer, within limits on size and time.

        :param until_s: deadline on the monotonic clock, in seconds
        :return: whether the end of the answer was reached
        :raises CallerLeft: if the caller disconnects meanwhile
        """
        try:
            self.read_whole(min(until_s, time.monotonic() + DRAIN_S), MAX_DRAINED_BYTES)
        except (AnswerCut, NoAnswer) as error:
            log.info("drain_failed", why=str(error))
            return False
        return True

    def skip_answer(self, until_s: float) -> None:
        """Discard the answer to another request, which may have come while this one was being sent.

        :param until_s: deadline on the monotonic clock, in seconds
        :raises AnswerCut: if no further answer can be read from the connection
        """
        self._irregular = True
        if len(self._head_requests) > 1:
            raise AnswerCut("the answer to another request may be one without a body, to HEAD")
        ended = self.drain(until_s)
        rest, closed = self._http.trailing_data
        if not ended or closed or self._http.their_state is not h11.DONE:
            raise AnswerCut("the connection ended with the answer to another request")
        # The head of the request has been sent already; the new parser only needs its method.
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._http.send(h11.Request(method=self._method, target=b"/", headers=_NO_BODY))
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)
        if self._unsent:
            self._write(b"", self._unsent, until_s)

    def _next_event(self, until_s: float):
        ended = False
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    raise NoAnswer(TIME_OVER)
                data = self._receive(until_s)
                ended = not data
                self._unparsed_bytes += len(data)
                self._count_bytes()
                self._http.receive_data(data)
                self._yield_after(len(data))
        except TimeoutError as error:
            if time.monotonic() < until_s:
                raise AnswerCut("the connection timed out in the kernel") from error
            raise NoAnswer(TIME_OVER) from error
        except OSError as error:
            raise AnswerCut(f"the connection broke: {error}") from error
        except h11.RemoteProtocolError as error:
            if ended:
                raise AnswerCut("the connection was closed within the answer") from error
            raise AnswerCut(f"the answer is malformed: {error}") from error
        self._unparsed_bytes = 0
        if event is h11.PAUSED or type(event) is h11.ConnectionClosed:
            raise AnswerCut("the connection was closed before the answer")
        return event

    def _receive(self, until_s: float) -> bytes:
        """Wait for bytes or the end; call the check meanwhile.

        The kernel reports a reset once; the next read returns the empty bytes of an orderly end. So
        nothing but a read whose result counts may look at the connection within an answer.

        :raises OSError: if the connection was reset or has timed out
        """
        while True:
            left_s = until_s - time.monotonic()
            checked = self.check is not None and left_s > CHECK_INTERVAL_S
            self._sock.settimeout(CHECK_INTERVAL_S if checked else max(left_s, MIN_WAIT_S))
            try:
                return self._sock.recv(READ_BYTES)
            except TimeoutError as error:
                # A time-out of the kernel has an error number.
                if not checked or error.errno is not None:
                    raise
            # A late event loop may find the timer before the bytes or the end that have arrived.
            data = receive_now(self._sock, READ_BYTES)
            if data is not None:
                return data
            self.check()

    def _count_bytes(self) -> None:
        """Count the bytes of the answer that are held: those of its body, and a part not parsed."""
        if self.holding is not None:
            self.holding.resize(self.held_bytes + self._unparsed_bytes)

    def _yield_after(self, size: int) -> None:
        """Yield to other greenlets once for every READ_BYTES bytes read.

        Reading data that is already in the socket buffer doesn't switch greenlets.
        """
        self._read_bytes += size
        if self._read_bytes >= READ_BYTES:
            self._read_bytes = 0
            gevent.sleep(0)

    def _read_keep_alive(self, headers: Headers) -> None:
        """Set the idle limit from the ``timeout`` parameter of a ``Keep-Alive`` header."""
        for name, value in headers:
            if name.lower() == b"keep-alive":
                for word in value.split(b","):
                    key, _, number = word.strip().partition(b"=")
                    is_number = number.isdigit() and len(number) <= MAX_TIMEOUT_DIGITS
                    if key.lower() == b"timeout" and is_number:
                        self.idle_limit_s = max(0.0, int(number) - IDLE_MARGIN_S)

    def reset(self, now_s: float) -> bool:
        """Prepare the connection for another request after a whole answer.

        :param now_s: monotonic clock in seconds
        :return: whether the connection may be reused
        """
        http = self._http
        if self._irregular or not self._whole_request or http.our_state is not h11.DONE:
            return False
        if len(self.request_ids) >= MAX_REQUESTS:
            return False
        if http.their_state is not h11.DONE or http.trailing_data != (b"", False):
            return False
        http.start_next_cycle()
        self.idle_since_s = now_s
        return True


class Connections:
    """The pool of idle connections to backend servers, a context manager that closes them.

    :param clock: monotonic clock
    :param dialer: opens connections, ``None`` to open direct ones alone
    :ivar opened: connections opened so far
    :ivar late_answers: connections closed so far because bytes came after a whole answer
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic, dialer: Dialer | None = None):
        self._clock = clock
        self._dialer = dialer or Dialer(Losses())
        # Idle connections by incarnation of the backend server, the most recently used last.
        self._idle: dict[tuple[str, int], deque[BackendConnection]] = {}
        self.opened = 0
        self.late_answers = 0

    def __enter__(self) -> "Connections":
        return self

    def __exit__(self, *exc_info) -> None:
        self.keep_only(())

    def acquire(self, backend: Backend, timeout_s: float, request_id: str) -> BackendConnection:
        """Return an idle connection that hasn't carried a request with this id, or a new one.

        :param backend: the backend server
        :param timeout_s: longest time to open a connection, in seconds
        :param request_id: id of the request to be sent
        :raises BackendUnreachable: if no connection can be opened; nothing was sent
        """
        connection = self._take_idle(backend, request_id) or self._open(backend, timeout_s)
        connection.request_ids.add(request_id)
        return connection

    def _open(self, backend: Backend, timeout_s: float) -> BackendConnection:
        try:
            path = self._dialer.open(backend, min(timeout_s, CONNECT_TIMEOUT_S))
        except OSError as error:
            raise BackendUnreachable(f"no connection to {backend.name}: {error}") from error
        self.opened += 1
        connection = BackendConnection(path.sock, self.opened, path.relay, path.incarnation)
        connection.idle_since_s = self._clock()
        return connection

    def prepare(self, backend: Backend, timeout_s: float, request_id: str) -> None:
        """Have an idle connection that hasn't carried a request with this id.

        :param backend: the backend server
        :param timeout_s: longest time to open a connection, in seconds
        :param request_id: id of the request to be sent
        :raises BackendUnreachable: if no connection can be opened
        """
        connection = self._take_idle(backend, request_id) or self._open(backend, timeout_s)
        self._idle.setdefault(backend.key, deque()).append(connection)

    def _take_idle(self, backend: Backend, request_id: str) -> BackendConnection | None:
        idle = self._idle.setdefault(backend.key, deque())
        losses = self._dialer.losses
        for connection in reversed(list(idle)):
            if not connection.relay and losses.hangs(backend):
                continue
            if connection.relay and not losses.is_lost(backend):
                idle.remove(connection)
                connection.close()
            elif not connection.is_usable(self._clock()):
                idle.remove(connection)
                self._discard(backend, connection)
            elif request_id not in connection.request_ids:
                idle.remove(connection)
                return connection
        return None

    def _discard(self, backend: Backend, connection: BackendConnection) -> None:
        """Close a connection that can't be reused, and report bytes after its last answer."""
        if connection.has_late_answer():
            self.late_answers += 1
            log.info("late_answer", backend=backend.name, exchange=connection.exchange)
        connection.close()

    def add_witness(self, backend: Backend, connection: BackendConnection) -> None:
        """Open a witness for an answer without a length.

        :param backend: the backend server
        :param connection: a connection on which an answer has begun
        """
        if not connection.ends_by_close:
            return
        try:
            witness = self._dialer.open(backend, REFUSAL_TIMEOUT_S).sock
        except (OSError, LinksLost) as error:
            log.info("no_witness", backend=backend.name, why=str(error))
            return
        self.opened += 1
        connection.watch_process(witness, self._clock())

    def is_still_running(self, backend: Backend, connection: BackendConnection) -> bool:
        """Return whether the process that sent an answer runs after the end of its connection.

        Its address must accept a connection, and the witness must not have ended: a process that
        has taken its place accepts connections too. A host that doesn't answer counts as ended.

        :param backend: the backend server
        :param connection: the connection that ended
        """
        if connection.relay and not self._dialer.is_same_relay_alive(
            backend, connection.relay, connection.incarnation
        ):
            # The end may be that of the relay.
            return False
        accepts = self._accepts_connections(backend)
        return bool(accepts) and not connection.has_lost_witness(self._clock())

    def _accepts_connections(
        self, backend: Backend, attempts: int = SILENT_ATTEMPTS
    ) -> bool | None:
        """Return whether a process listens at an address, ``None`` if its host doesn't answer."""
        for _ in range(attempts):
            try:
                close(self._dialer.open(backend, REFUSAL_TIMEOUT_S).sock)
            except ConnectionRefusedError:
                return False
            except (OSError, LinksLost) as error:
                log.info("backend_silent", backend=backend.name, why=str(error))
                continue
            return True
        return None

    def refuses_connections(self, backend: Backend) -> bool:
        """Return whether a backend server has terminated: no process listens at its address.

        :param backend: the backend server
        """
        return self._accepts_connections(backend, attempts=1) is False

    def is_reachable(self, backend: Backend) -> bool:
        """Return whether a backend server's host answers an attempt to connect.

        :param backend: the backend server
        """
        return self._accepts_connections(backend) is not None

    def release(self, backend: Backend, connection: BackendConnection) -> None:
        """Return a connection to the pool, or close it if it can't be reused.

        :param backend: backend server of the connection
        :param connection: the connection
        """
        idle = self._idle.get(backend.key)
        reusable = connection.reset(self._clock())
        if reusable and not connection.relay:
            self._dialer.losses.record_used(backend)
        if idle is None or len(idle) >= MAX_IDLE_CONNECTIONS or not reusable:
            self._discard(backend, connection)
        else:
            idle.append(connection)

    def close_idle(self, incarnation: tuple[str, int]) -> None:
        """Close the idle connections to a backend server; those in use are closed on release.

        :param incarnation: name and start of the backend server
        """
        for connection in self._idle.pop(incarnation, ()):
            connection.close()

    def is_own_loss(self, backend: Backend, relay: str, failure: BalsamtallyError) -> bool:
        """Return whether a failure on a connection may be put down to the way to the server.

        :param backend: the backend server
        :param relay: name of the entry VM that the connection led through, empty if it was direct
        :param failure: the failure
        """
        broke = isinstance(failure, (AnswerCut, ConnectionUnusable))
        losses = self._dialer.losses
        return broke if relay else losses.hangs(backend) or (broke and losses.is_lost(backend))

    def close_idle_through(self, relay: str) -> None:
        """Close the idle connections that lead through an entry VM which is leaving.

        :param relay: name of the entry VM
        """
        for idle in self._idle.values():
            for connection in [each for each in idle if each.relay == relay]:
                idle.remove(connection)
                connection.close()

    def fetch(self, backend: Backend, target: bytes, timeout_s: float) -> tuple[int, bytes]:
        """Send a ``GET`` request to a backend server on a new connection.

        :param backend: the backend server
        :param target: path and query
        :param timeout_s: longest time for the exchange, in seconds
        :return: status and body of the answer
        :raises BalsamtallyError: if there is no whole answer by then
        """
        until_s = time.monotonic() + timeout_s
        connection = self._open(backend, timeout_s)
        head, body = _fetch_on(connection, backend.address, target, until_s)
        return head.status, body

    def keep_only(self, backends) -> None:
        """Close the idle connections to all other backend servers.

        :param backends: backend servers whose connections stay open
        """
        keys = {backend.key for backend in backends}
        for key in [key for key in self._idle if key not in keys]:
            for connection in self._idle.pop(key):
                connection.close()


def fetch(address: tuple[str, int], target: bytes, timeout_s: float) -> tuple[int, bytes]:
    """Send a ``GET`` request on a new connection and return status and body of the answer.

    :param address: IP number and port
    :param target: path and query
    :param timeout_s: longest time for the exchange, in seconds
    :raises BalsamtallyError: if there is no whole answer by then
    """
    head, body = fetch_answer(address, target, timeout_s)
    return head.status, body


def fetch_answer(
    address: tuple[str, int], target: bytes, timeout_s: float
) -> tuple[AnswerHead, bytes]:
    """Send a ``GET`` request on a new connection and return head and body of the answer.

    :param address: IP number and port
    :param target: path and query
    :param timeout_s: longest time for the exchange, in seconds
    :raises BalsamtallyError: if there is no whole answer by then
    """
    until_s = time.monotonic() + timeout_s
    try:
        connection = BackendConnection(connect(address, timeout_s))
    except OSError as error:
        raise BackendUnreachable(str(error)) from error
    return _fetch_on(connection, address, target, until_s)


def _fetch_on(
    connection: BackendConnection, address: tuple[str, int], target: bytes, until_s: float
) -> tuple[AnswerHead, bytes]:
    """Send a ``GET`` request on a connection, read the whole answer and close the connection."""
    try:
        host = f"{address[0]}:{address[1]}".encode()
        headers = ((b"Host", host), (b"Connection", b"close"))
        connection.send(b"GET", target, headers, b"", until_s)
        head = connection.read_head(until_s)
        return head, connection.read_whole(until_s, MAX_FETCHED_BYTES)
    finally:
        connection.close()
