"""HTTP/1.1 server connections of callers, with one greenlet for each.

A request with ambiguous framing is refused before it is handled, see :mod:`balsamtally.framing`.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
import h11
from gevent import Timeout, socket
from gevent.event import Event
from gevent.pool import Pool

from balsamtally.calls import BODILESS, Headers, Limits
from balsamtally.errors import (
    AnswerBegun,
    BalsamtallyError,
    BodyTooLarge,
    CallerLeft,
    HeadTooLarge,
    MalformedRequest,
    RequestTimeout,
)
from balsamtally.framing import check_framing, check_lines
from balsamtally.held_bytes import HeldBytes, Holding
from balsamtally.logs import log
from balsamtally.sockets import close, reset, set_up

READ_BYTES = 65_536
# Input that is buffered while a request is handled. Reading continues so that a disconnect is
# noticed at once.
MAX_INBOX_BYTES = 262_144
# A caller that reads nothing of its answer for this time is treated as disconnected; twice the TCP
# user timeout.
WRITE_TIMEOUT_S = 6.0
# Connections of callers at one entry VM; the smallest VMs have 4,100 file descriptors, of which 200
# are reserved.
MAX_CALLERS = 1_800
# Time for which the rest of a refused request is read: closing a socket with unread input sends a
# reset, and the caller could lose the refusal.
LINGER_S = 0.5
_HEAD_REQUEST = b"HEAD / HTTP/1.1\r\nHost: caller\r\nConnection: close\r\n\r\n"
# Digits that are read of a length; one with more exceeds any limit.
MAX_LENGTH_DIGITS = 15
HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class Request:
    """A caller's request with its whole body.

    :ivar method: HTTP method
    :ivar target: path and query as sent
    :ivar headers: headers in the order sent, with names as sent
    :ivar body: the body
    :ivar arrived_s: monotonic clock at the first byte of the request, in seconds
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_s: float

    def list_values(self, name: bytes) -> list[bytes]:
        """Return all values of a header in the order sent.

        :param name: name of the header in lower case
        """
        return [value for header, value in self.headers if header.lower() == name]

    def find_value(self, name: bytes) -> bytes | None:
        """Return the value of a header that may be sent only once.

        :param name: name of the header in lower case
        :return: value of the header, ``None`` if it is missing
        :raises MalformedRequest: if the header is repeated
        """
        values = self.list_values(name)
        if len(values) > 1:
            raise MalformedRequest(f"header {name.decode()} is repeated")
        return values[0] if values else None


class Caller:
    """The connection of one caller, a context manager that closes it.

    :param sock: the accepted socket
    :param find_limits: returns the limits in force
    :param clock: monotonic clock
    :param account: counts the bytes of bodies, ``None`` to count none
    :ivar idle: whether the connection waits for the first byte of a request
    :ivar closing: whether the next answer announces that the connection closes
    :ivar answered: whether the current request was answered completely
    :ivar began_answer: whether the head of the answer was sent
    :ivar sent_bytes: length of the part of the answer's body that was sent, in bytes
    """

    def __init__(
        self,
        sock: socket.socket,
        find_limits: Callable[[], Limits],
        clock: Callable[[], float],
        account: HeldBytes | None = None,
    ):
        self._sock = sock
        self._find_limits = find_limits
        self._clock = clock
        self._body_bytes = Holding(account) if account is not None else None
        self._inbox = bytearray()
        self._first_byte_s = 0.0
        self._input_arrived = Event()
        self._inbox_writable = Event()
        self._inbox_writable.set()
        self._disconnected = False
        self._serving: gevent.Greenlet | None = None
        self._http: h11.Connection | None = None
        self._method = b""
        self.idle = True
        self.closing = False
        self.answered = False
        self.began_answer = False
        self.sent_bytes = 0
        self._announced_close = False
        self._ended = False

    def __enter__(self) -> "Caller":
        set_up(self._sock)
        self._reader = gevent.spawn(self._read_all)
        return self

    def __exit__(self, *exc_info) -> None:
        self._reader.kill(block=False)
        self.release_body()
        if self._is_cut_without_framing():
            reset(self._sock)
        else:
            close(self._sock)

    def _is_cut_without_framing(self) -> bool:
        """Return whether an HTTP/1.0 caller (no chunks) would take a cut answer as whole."""
        http = self._http
        is_cut = self.began_answer and not self.answered
        return is_cut and http is not None and (http.their_http_version or b"") < b"1.1"

    # Reading.

    def _read_all(self) -> None:
        """Read the socket continuously, so that a disconnect is noticed at once."""
        while not self._disconnected:
            self._inbox_writable.wait()
            try:
                data = self._sock.recv(READ_BYTES)
            except OSError:
                data = b""
            self._disconnected = not data
            if not self._inbox:
                self._first_byte_s = self._clock()
            self._inbox += data
            if len(self._inbox) > MAX_INBOX_BYTES:
                self._inbox_writable.clear()
            self._input_arrived.set()
        if self._serving is not None:
            self._serving.kill(CallerLeft("the caller closed the connection"), block=False)

    def _wait_for_bytes(self, timeout_s: float) -> bool:
        """Wait for input or a disconnect; return whether either happened before the timeout."""
        return self._disconnected or self._input_arrived.wait(timeout_s)

    def read_request(self) -> Request | None:
        """Read the next request.

        :return: the request, ``None`` if the connection ended or the idle timeout passed
        :raises BalsamtallyError: if the request can't be accepted
        """
        if self._ended:
            return None
        limits = self._find_limits()
        self.idle = not self._inbox
        self._method = b""
        self.answered = self.began_answer = False
        self.sent_bytes = 0
        if self.idle:
            self._input_arrived.clear()
            if not self._wait_for_bytes(limits.idle_timeout_s) or not self._inbox or self._ended:
                return None
        self.idle = False
        try:
            head = self._read_head(limits)
        except BalsamtallyError:
            self._method = bytes(self._inbox.partition(b" ")[0])
            raise
        if head is None:
            return None
        arrived_s = self._first_byte_s
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=len(head) + 1)
        try:
            self._http.receive_data(head)
            request = self._http.next_event()
            if type(request) is not h11.Request:
                raise MalformedRequest("the head of the request is malformed")
            self._method = bytes(request.method)
            check_framing(head, request.target)
            body = self._read_body(request, limits)
        except h11.RemoteProtocolError as error:
            raise MalformedRequest(str(error)) from error
        self._first_byte_s = self._clock()
        raw = tuple((bytes(name), bytes(value)) for name, value in request.headers.raw_items())
        return Request(bytes(request.method), bytes(request.target), raw, body, arrived_s)

    def _read_head(self, limits: Limits) -> bytes | None:
        deadline = self._first_byte_s + limits.head_timeout_s
        while (end := self._inbox.find(HEAD_END)) < 0:
            check_lines(self._inbox)
            if len(self._inbox) > limits.max_header_bytes:
                raise HeadTooLarge
            if not self._wait_for_more(deadline):
                if self._disconnected:
                    return None
                raise RequestTimeout
        if end + len(HEAD_END) > limits.max_header_bytes:
            raise HeadTooLarge
        head = bytes(self._inbox[: end + len(HEAD_END)])
        check_lines(head)
        self._consume(len(head))
        return head

    def _consume(self, size: int) -> bytes:
        """Remove bytes from the inbox, and resume reading if it was full."""
        consumed = bytes(self._inbox[:size])
        del self._inbox[:size]
        if len(self._inbox) <= MAX_INBOX_BYTES:
            self._inbox_writable.set()
        return consumed

    def _wait_for_more(self, deadline_s: float) -> bool:
        """Wait for further input until a deadline; return whether input arrived."""
        if self._disconnected:
            return False
        self._input_arrived.clear()
        size = len(self._inbox)
        while len(self._inbox) == size:
            left_s = deadline_s - self._clock()
            if self._disconnected or left_s <= 0 or not self._input_arrived.wait(left_s):
                return len(self._inbox) != size
            self._input_arrived.clear()
        return True

    def release_body(self) -> None:
        """Count the bytes of the last request's body no longer, as nothing refers to it."""
        self._count_body(0)

    def _count_body(self, size: int) -> None:
        if self._body_bytes is not None:
            self._body_bytes.resize(size)

    def _read_body(self, request: h11.Request, limits: Limits) -> bytes:
        body = bytearray()
        # A body of known length is refused before it is sent, if its caller waits for that.
        declared = find_length(request)
        if declared > limits.max_body_bytes:
            raise BodyTooLarge
        self._count_body(declared)
        deadline = self._clock() + limits.idle_timeout_s
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        while True:
            event = self._http.next_event()
            if type(event) is h11.EndOfMessage:
                break
            if type(event) is h11.Data:
                body += event.data
                if len(body) > limits.max_body_bytes:
                    raise BodyTooLarge
                self._count_body(max(declared, len(body)))
            elif not self._inbox and not self._wait_for_more(deadline):
                if self._disconnected:
                    raise CallerLeft("the caller disconnected within its request")
                raise RequestTimeout("the body of the request took too long")
            else:
                self._http.receive_data(self._consume(READ_BYTES))
        rest, _ = self._http.trailing_data
        self._inbox[:0] = rest
        return bytes(body)

    def serve(self, handle: Callable[..., None], *arguments) -> None:
        """Run a handler, and raise :class:`CallerLeft` in it as soon as the caller disconnects.

        :param handle: the handler
        :param arguments: arguments of the handler
        :raises CallerLeft: if the caller disconnected
        """
        if self._disconnected:
            raise CallerLeft("the caller closed the connection")
        self._serving = gevent.getcurrent()
        try:
            handle(*arguments)
        finally:
            self._serving = None

    def interrupt(self, error: BalsamtallyError) -> None:
        """Raise an error in the handler of the current request, if one runs.

        :param error: the error
        """
        gevent.get_hub().loop.run_callback(self._raise_in_handler, error)

    def _raise_in_handler(self, error: BalsamtallyError) -> None:
        # The handler may have returned since.
        if (handler := self._serving) is not None:
            handler.throw(error)

    # Writing.

    def begin(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Send the head of an answer.

        :param status: HTTP status
        :param headers: headers of the answer; without a length the body is sent in chunks
        :raises AnswerBegun: if an answer to the request has begun
        """
        self._write(self._make_head(status, headers))

    def _make_head(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
        """Return the head of an answer, which has begun with it."""
        if self.began_answer:
            raise AnswerBegun
        close_header = [(b"Connection", b"close")] if self.closing else []
        response = h11.Response(status_code=status, headers=[*headers, *close_header])
        if self._http is None or self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._http = h11.Connection(h11.SERVER)
            if self._method == b"HEAD":
                # The parser must know that the answer has no body.
                self._http.receive_data(_HEAD_REQUEST)
                self._http.next_event()
        head = self._http.send(response) or b""
        self.began_answer = True
        self._announced_close = self.closing
        return head

    def send(self, data: bytes) -> None:
        """Send a piece of the body."""
        self._send(h11.Data(data=data))
        self.sent_bytes += len(data)

    def end(self) -> None:
        """Mark the answer as complete."""
        self._send(h11.EndOfMessage())
        self.answered = True

    def answer(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
        length: Headers | None = None,
    ) -> None:
        """Send a whole answer.

        :param status: HTTP status
        :param headers: headers without the length
        :param body: the body
        :param length: header with the length for the answer to a HEAD request, empty if it isn't
            known, ``None`` for the length of the body
        :raises AnswerBegun: if an answer to the request has begun
        """
        if length is None or self._method != b"HEAD":
            length = () if status in BODILESS else ((b"Content-Length", b"%d" % len(body)),)
        parts = [self._make_head(status, [*headers, *length])]
        if body and self._method != b"HEAD":
            parts.append(self._http.send(h11.Data(data=body)) or b"")
            self.sent_bytes = len(body)
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        self._write(b"".join(parts))
        self.answered = True

    @property
    def answer_state(self) -> str:
        """``none``, ``cut`` after a part of an answer, or ``whole``."""
        if not self.began_answer:
            return "none"
        return "whole" if self.answered else "cut"

    def _send(self, event: object) -> None:
        self._write(self._http.send(event) or b"")

    def _write(self, data: bytes) -> None:
        try:
            with Timeout(WRITE_TIMEOUT_S, CallerLeft("the caller stopped reading its answer")):
                self._sock.sendall(data)
        except OSError as error:
            raise CallerLeft(str(error)) from error

    def may_continue(self) -> bool:
        """Return whether the connection may be kept open for another request.

        This also holds while the connection is closing, if the last answer didn't announce it: the
        caller may have sent another request already.
        """
        http = self._http
        return (
            self.answered
            and not self._announced_close
            and http is not None
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
        )

    def linger(self) -> None:
        """Discard input for LINGER_S, so that the caller can read a refusal before the close."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            return
        with gevent.Timeout(LINGER_S, False):
            while not self._disconnected:
                self._input_arrived.clear()
                self._inbox.clear()
                self._inbox_writable.set()
                self._input_arrived.wait()

    def end_after_answer(self) -> None:
        """Serve no request after the current one; close the connection if it is idle."""
        self._ended = True
        if self.idle:
            close(self._sock)
            self._disconnected = True
            self._input_arrived.set()


def find_length(request: h11.Request) -> int:
    """Return the length that a request declares for its body, 0 if it declares none.

    :param request: the request, whose headers the parser has checked
    """
    lengths = [
        int(value[:MAX_LENGTH_DIGITS])
        for name, value in request.headers
        if name == b"content-length"
    ]
    return lengths[0] if lengths else 0


class CallerServer:
    """Accepts callers' connections and runs one greenlet for each, a context manager.

    :param listener: listening socket, closed on exit
    :param find_limits: returns the limits in force
    :param handle: called with the connection and a request, to answer the request
    :param refuse: called with the connection and an error, to answer an unacceptable request
    :param clock: monotonic clock
    :param account: counts the bytes of bodies, ``None`` to count none
    :ivar callers: open connections
    """

    def __init__(
        self,
        listener: socket.socket,
        find_limits: Callable[[], Limits],
        handle: Callable[[Caller, Request], None],
        refuse: Callable[[Caller, BalsamtallyError], None],
        clock: Callable[[], float],
        account: HeldBytes | None = None,
    ):
        self._listener = listener
        self._find_limits = find_limits
        self._handle = handle
        self._refuse = refuse
        self._clock = clock
        self._account = account
        self._tasks = Pool(MAX_CALLERS)
        self._closing = False
        self.callers: set[Caller] = set()

    def __enter__(self) -> "CallerServer":
        self._acceptor = gevent.spawn(self._accept)
        return self

    def __exit__(self, *exc_info) -> None:
        self.stop_listening()
        self._tasks.kill(block=False)

    def stop_listening(self) -> None:
        """Stop accepting connections and close the listening socket."""
        self._acceptor.kill(block=False)
        close(self._listener)

    def announce_close(self) -> None:
        """Announce the close of all connections, old and new, in their next answers."""
        self._closing = True
        for caller in self.callers:
            caller.closing = True

    def close_idle(self) -> None:
        """Close the idle connections, and the others after their current request."""
        for caller in self.callers:
            caller.end_after_answer()

    def interrupt(self, error: BalsamtallyError) -> None:
        """Raise an error in all handlers of requests.

        :param error: the error
        """
        for caller in self.callers:
            caller.interrupt(error)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                log.warning("accept_failed", reason=str(error))
                gevent.sleep(LINGER_S)
                continue
            self._tasks.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        with Caller(sock, self._find_limits, self._clock, self._account) as caller:
            caller.closing = self._closing
            self.callers.add(caller)
            try:
                self._serve_requests(caller)
            except CallerLeft:
                pass
            finally:
                self.callers.discard(caller)

    def _serve_requests(self, caller: Caller) -> None:
        while True:
            try:
                request = caller.read_request()
            except CallerLeft:
                return
            except BalsamtallyError as error:
                caller.closing = True
                self._refuse(caller, error)
                caller.linger()
                return
            if request is None:
                return
            caller.serve(self._handle, caller, request)
            del request
            caller.release_body()
            if not caller.may_continue():
                return
