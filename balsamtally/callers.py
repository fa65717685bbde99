"""Connections of callers, HTTP/1.1, one task for each.

A request that could be read in two ways is refused before anything is run: two lengths, a length
beside chunks, bare line feeds, folded lines.
"""

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
import h11
from gevent import Timeout, socket
from gevent.event import Event
from gevent.pool import Pool

from balsamtally.calls import Headers, Limits
from balsamtally.errors import (
    BalsamtallyError,
    BodyTooLarge,
    CallerLeft,
    HeadTooLarge,
    MalformedRequest,
    RequestTimeout,
)
from balsamtally.logs import log
from balsamtally.sockets import close, set_up

READ_BYTES = 65_536
# Bytes of further requests that are read while one is served, to notice that the caller leaves.
MAX_INBOX_BYTES = 262_144
# A caller that doesn't read its answer for so long is treated as gone; twice the TCP user timeout.
WRITE_TIMEOUT_S = 6.0
# Callers of one entry VM; below the descriptors that the smallest VMs have (4,100, 200 reserved).
MAX_CALLERS = 1_800
# Time for which the rest of a refused request is read, so that the refusal isn't lost by a reset.
LINGER_S = 0.5
HEAD_END = b"\r\n\r\n"
_BAD_LINES = re.compile(rb"(?<!\r)\n|\r(?!\n)|\n[ \t]|\x00")
_FRAMING = (b"content-length:", b"transfer-encoding:")
_TARGET = re.compile(rb"/[\x21-\x7e\x80-\xff]*")


@dataclass(frozen=True)
class Request:
    """A caller's request with its whole body.

    :ivar method: HTTP method
    :ivar target: path and query as sent
    :ivar headers: headers in their order, names as sent
    :ivar body: the body
    :ivar arrived_s: steady clock at its first byte, in seconds
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_s: float

    def list_values(self, name: bytes) -> list[bytes]:
        """Return the values of a header in their order.

        :param name: its name in lower case
        """
        return [value for header, value in self.headers if header.lower() == name]

    def find_value(self, name: bytes) -> bytes | None:
        """Return the value of a header that may stand once.

        :param name: its name in lower case
        :return: its value, ``None`` if it is missing
        :raises MalformedRequest: if it stands more than once
        """
        values = self.list_values(name)
        if len(values) > 1:
            raise MalformedRequest(f"header {name.decode()} stands more than once")
        return values[0] if values else None


class Caller:
    """The connection of one caller.

    :param sock: its socket
    :param find_limits: returns the limits in force
    :param clock: steady clock
    """

    def __init__(
        self,
        sock: socket.socket,
        find_limits: Callable[[], Limits],
        clock: Callable[[], float],
    ):
        self._sock = sock
        self._find_limits = find_limits
        self._clock = clock
        self._inbox = bytearray()
        self._first_byte_s = 0.0
        self._news = Event()
        self._room = Event()
        self._room.set()
        self._left = False
        self._serving: gevent.Greenlet | None = None
        self._http: h11.Connection | None = None
        self._method = b""
        self.idle = True
        self.closing = False
        self.answered = False
        self.began_answer = False
        self._told_closing = False
        self._ended = False

    def __enter__(self) -> "Caller":
        set_up(self._sock)
        self._reader = gevent.spawn(self._read_all)
        return self

    def __exit__(self, *exc_info) -> None:
        self._reader.kill(block=False)
        close(self._sock)

    # Reading.

    def _read_all(self) -> None:
        """Read all that comes, so that the caller's leaving is noticed at once."""
        while not self._left:
            self._room.wait()
            try:
                data = self._sock.recv(READ_BYTES)
            except OSError:
                data = b""
            self._left = not data
            if not self._inbox:
                self._first_byte_s = self._clock()
            self._inbox += data
            if len(self._inbox) > MAX_INBOX_BYTES:
                self._room.clear()
            self._news.set()
        if self._serving is not None:
            self._serving.kill(CallerLeft("the caller closed its connection"), block=False)

    def _wait_for_bytes(self, timeout_s: float) -> bool:
        """Wait until bytes arrive or the caller leaves; return whether either happened."""
        return self._left or self._news.wait(timeout_s)

    def read_request(self) -> Request | None:
        """Return the next request.

        :return: the request, ``None`` if the connection ended or stayed idle
        :raises BalsamtallyError: if the request can't be accepted
        """
        if self._ended:
            return None
        limits = self._find_limits()
        self.idle = not self._inbox
        self._method = b""
        self.answered = self.began_answer = False
        if self.idle:
            self._news.clear()
            if not self._wait_for_bytes(limits.idle_timeout_s) or not self._inbox or self._ended:
                return None
        self.idle = False
        head = self._read_head(limits)
        if head is None:
            return None
        arrived_s = self._first_byte_s
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=len(head) + 1)
        try:
            self._http.receive_data(head)
            request = self._http.next_event()
            if type(request) is not h11.Request:
                raise MalformedRequest("the head of the request is not valid")
            check_framing(head, request.target)
            self._method = bytes(request.method)
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
                if self._left:
                    return None
                raise RequestTimeout
        if end + len(HEAD_END) > limits.max_header_bytes:
            raise HeadTooLarge
        head = bytes(self._inbox[: end + len(HEAD_END)])
        check_lines(head)
        self._take(len(head))
        return head

    def _take(self, size: int) -> bytes:
        taken = bytes(self._inbox[:size])
        del self._inbox[:size]
        if len(self._inbox) <= MAX_INBOX_BYTES:
            self._room.set()
        return taken

    def _wait_for_more(self, deadline_s: float) -> bool:
        """Wait for further bytes until a time of the steady clock."""
        if self._left:
            return False
        self._news.clear()
        held = len(self._inbox)
        while len(self._inbox) == held:
            left_s = deadline_s - self._clock()
            if self._left or left_s <= 0 or not self._news.wait(left_s):
                return len(self._inbox) != held
            self._news.clear()
        return True

    def _read_body(self, request: h11.Request, limits: Limits) -> bytes:
        body = bytearray()
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
            elif not self._inbox and not self._wait_for_more(deadline):
                if self._left:
                    raise CallerLeft("the caller left within its request")
                raise RequestTimeout("the body of the request took too long")
            else:
                self._http.receive_data(self._take(READ_BYTES))
        rest, _ = self._http.trailing_data
        self._inbox[:0] = rest
        return bytes(body)

    def serve(self, handle: Callable[..., None], *arguments) -> None:
        """Run a handler that is ended by :class:`CallerLeft` as soon as the caller leaves.

        :param handle: the handler
        :param arguments: its arguments
        :raises CallerLeft: if the caller left
        """
        if self._left:
            raise CallerLeft("the caller closed its connection")
        self._serving = gevent.getcurrent()
        try:
            handle(*arguments)
        finally:
            self._serving = None

    # Writing.

    def begin(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Send the head of an answer.

        :param status: HTTP status
        :param headers: its headers; without a length the body goes in chunks
        """
        self._send(h11.Response(status_code=status, headers=[*headers, *self._begin_answer()]))

    def _begin_answer(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that tell whether the connection ends with this answer."""
        self.began_answer = True
        self._told_closing = self.closing
        return [(b"Connection", b"close")] if self.closing else []

    def send(self, data: bytes) -> None:
        """Send a piece of the body."""
        self._send(h11.Data(data=data))

    def end(self) -> None:
        """End the answer as whole."""
        self._send(h11.EndOfMessage())
        self.answered = True

    def answer(self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> None:
        """Send a whole answer.

        :param status: HTTP status
        :param headers: its headers without the length
        :param body: its body
        """
        size = (b"Content-Length", b"%d" % len(body))
        head = h11.Response(status_code=status, headers=[*headers, size, *self._begin_answer()])
        if self._http is None or self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._http = h11.Connection(h11.SERVER)
        parts = [self._http.send(head) or b""]
        if body and self._method != b"HEAD":
            parts.append(self._http.send(h11.Data(data=body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        self._write(b"".join(parts))
        self.answered = True

    def _send(self, event: object) -> None:
        self._write(self._http.send(event) or b"")

    def _write(self, data: bytes) -> None:
        try:
            with Timeout(WRITE_TIMEOUT_S, CallerLeft("the caller doesn't read its answer")):
                self._sock.sendall(data)
        except OSError as error:
            raise CallerLeft(str(error)) from error

    def may_continue(self) -> bool:
        """Return whether a further request may follow on the connection.

        One that was not told that the connection ends may have sent it already.
        """
        http = self._http
        return (
            self.answered
            and not self._told_closing
            and http is not None
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
        )

    def linger(self) -> None:
        """Let the caller read a refusal before the connection is closed."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            return
        with gevent.Timeout(LINGER_S, False):
            while not self._left:
                self._news.clear()
                self._inbox.clear()
                self._room.set()
                self._news.wait()

    def end_after_answer(self) -> None:
        """Serve no further request; one that comes now has crossed the close."""
        self._ended = True
        if self.idle:
            close(self._sock)
            self._left = True
            self._news.set()


def check_lines(head: bytes) -> None:
    """Check the line ends of a head, of which the last line may be cut.

    :param head: what has come of it
    :raises MalformedRequest: if a line ends in a bare line feed or goes on in the next one
    """
    text = head[:-1] if head.endswith(b"\r") else head
    if _BAD_LINES.search(text):
        raise MalformedRequest("a line of the head is not ended by CR LF, or is folded")


def check_framing(head: bytes, target: bytes) -> None:
    """Check that a request can be read in one way only.

    The raw head is read, since the parser joins equal lengths to one.

    :param head: its head as it came
    :param target: its target
    :raises MalformedRequest: if it can't
    """
    lines = head.lower().split(b"\r\n")[1:]
    names = [line.partition(b":")[0] for line in lines]
    framing = [line for line in lines if line.startswith(_FRAMING)]
    if len(framing) > 1 or any(b"," in line for line in framing):
        raise MalformedRequest("the length of the body is given in two ways")
    if not _TARGET.fullmatch(target):
        raise MalformedRequest("the target is not a path")
    if names.count(b"host") != 1:
        raise MalformedRequest("the request must name one host")


class CallerServer:
    """Accepts callers' connections and runs one task for each, closed by context.

    :param listener: where they connect; closed by the context
    :param find_limits: returns the limits in force
    :param handle: answers one request; it gets the connection and the request
    :param refuse: answers a request that can't be accepted; it gets the connection and the error
    :param clock: steady clock
    """

    def __init__(
        self,
        listener: socket.socket,
        find_limits: Callable[[], Limits],
        handle: Callable[[Caller, Request], None],
        refuse: Callable[[Caller, BalsamtallyError], None],
        clock: Callable[[], float],
    ):
        self._listener = listener
        self._find_limits = find_limits
        self._handle = handle
        self._refuse = refuse
        self._clock = clock
        self._tasks = Pool(MAX_CALLERS)
        self.callers: set[Caller] = set()

    def __enter__(self) -> "CallerServer":
        self._acceptor = gevent.spawn(self._accept)
        return self

    def __exit__(self, *exc_info) -> None:
        self.stop_listening()
        self._tasks.kill(block=False)

    def stop_listening(self) -> None:
        """Accept no more connections."""
        self._acceptor.kill(block=False)
        close(self._listener)

    def announce_close(self) -> None:
        """Tell callers with their next answer that their connection ends."""
        for caller in self.callers:
            caller.closing = True

    def close_idle(self) -> None:
        """Close the connections on which no request is running, and the others after theirs."""
        for caller in self.callers:
            caller.end_after_answer()

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
        with Caller(sock, self._find_limits, self._clock) as caller:
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
            if not caller.may_continue():
                return
