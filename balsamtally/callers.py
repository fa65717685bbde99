"""HTTP/1.1 server connections of callers, with one greenlet for each.

A request with ambiguous framing is refused before it is handled, see :mod:`balsamtally.framing`.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
import h11
from gevent import Timeout, socket
from gevent.pool import Pool

from balsamtally.calls import BODILESS, Headers, Limits
from balsamtally.errors import (
    AnswerBegun,
    BalsamtallyError,
    CallerLeft,
    HeadTooLarge,
    MalformedRequest,
    RequestTimeout,
)
from balsamtally.framing import check_framing, check_lines
from balsamtally.held_bytes import HeldBytes
from balsamtally.inboxes import Inbox
from balsamtally.logs import log
from balsamtally.request_bodies import BodyReader
from balsamtally.sockets import bound_buffers, close, count_unsent, has_input, reset, set_up

# A caller that reads nothing of its answer for this time is treated as disconnected; twice the TCP
# user timeout.
WRITE_TIMEOUT_S = 6.0
# At the limit of connections, a new one replaces the one that has been idle for the longest time,
# at least for this time, in seconds: a new connection needs time for its first request.
IDLE_GRACE_S = 1.0
IDLE_POLL_S = 0.05
# Bytes of former answers that may be unsent when a pipelined request is served, and the interval at
# which they are counted, in seconds.
MAX_UNSENT_BYTES = 16_384
UNSENT_POLL_S = 0.02
# Connections of callers at one entry VM; the smallest VMs have 4,100 file descriptors, of which 200
# are reserved.
MAX_CALLERS = 1_800
# Part of the descriptors for connections of callers; the rest is for backend servers, the store,
# peers and readiness. 3,900 descriptors give MAX_CALLERS.
CALLER_SHARE = 6 / 13
RESERVED_FDS = 200
# Time for which the rest of a refused request is read: closing a socket with unread input sends a
# reset, and the caller could lose the refusal.
LINGER_S = 0.5
_HEAD_REQUEST = b"HEAD / HTTP/1.1\r\nHost: caller\r\nConnection: close\r\n\r\n"
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
    :ivar idle_since_s: monotonic time since which it was idle last, in seconds
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
        self._inbox = Inbox(sock, clock, self._end_serving, account)
        self._body_reader = BodyReader(self._inbox, clock, account)
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
        self.idle_since_s = clock()

    def __enter__(self) -> "Caller":
        set_up(self._sock)
        bound_buffers(self._sock)
        self._inbox.start()
        return self

    def __exit__(self, *exc_info) -> None:
        self._inbox.stop()
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

    def _end_serving(self) -> None:
        """Raise :class:`CallerLeft` in the handler, as the caller disconnected."""
        if self._serving is not None:
            self._serving.kill(CallerLeft("the caller closed the connection"), block=False)

    def read_request(self) -> Request | None:
        """Read the next request.

        :return: the request, ``None`` if the connection ended or the idle timeout passed
        :raises BalsamtallyError: if the request can't be accepted
        """
        if self._ended:
            return None
        limits = self._find_limits()
        self.idle = not self._inbox.data
        self._method = b""
        self.answered = self.began_answer = False
        self.sent_bytes = 0
        if self.idle:
            self.idle_since_s = self._clock()
            self._inbox.begin_request(limits.max_header_bytes)
            arrived = self._inbox.wait_for_first(limits.idle_timeout_s)
            if not arrived or not self._inbox.data or self._ended:
                return None
        else:
            self._wait_until_taken()
        # They may have changed during the wait.
        limits = self._find_limits()
        self._inbox.begin_request(limits.max_header_bytes)
        self.idle = False
        try:
            head = self._read_head(limits)
        except BalsamtallyError:
            self._method = bytes(self._inbox.data.partition(b" ")[0])
            raise
        if head is None:
            return None
        arrived_s = self._inbox.first_byte_s
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=len(head) + 1)
        try:
            self._http.receive_data(head)
            request = self._http.next_event()
            if type(request) is not h11.Request:
                raise MalformedRequest("the head of the request is malformed")
            self._method = bytes(request.method)
            check_framing(head, request.target)
            body = self._body_reader.read(self._http, request, limits, self._send)
        except h11.RemoteProtocolError as error:
            raise MalformedRequest(str(error)) from error
        self._inbox.first_byte_s = self._clock()
        self._inbox.begin_handling()
        raw = tuple((bytes(name), bytes(value)) for name, value in request.headers.raw_items())
        return Request(bytes(request.method), bytes(request.target), raw, body, arrived_s)

    def _wait_until_taken(self) -> None:
        """Wait before a pipelined request until the caller took most of the former answers.

        Other callers get a turn in any case, as neither reading nor writing may block here.

        :raises CallerLeft: if the caller takes nothing for WRITE_TIMEOUT_S
        """
        gevent.sleep(0)
        unsent = count_unsent(self._sock)
        until_s = self._clock() + WRITE_TIMEOUT_S
        while unsent > MAX_UNSENT_BYTES and not self._inbox.ended:
            if self._clock() > until_s:
                raise CallerLeft("the caller stopped reading its answers")
            gevent.sleep(UNSENT_POLL_S)
            before, unsent = unsent, count_unsent(self._sock)
            if unsent < before:
                until_s = self._clock() + WRITE_TIMEOUT_S

    def _read_head(self, limits: Limits) -> bytes | None:
        inbox = self._inbox
        deadline_s = inbox.first_byte_s + limits.head_timeout_s
        while (end := inbox.data.find(HEAD_END)) < 0:
            check_lines(inbox.data)
            if len(inbox.data) > limits.max_header_bytes:
                raise HeadTooLarge
            if not inbox.wait_for_more(deadline_s, lambda: False):
                if inbox.ended:
                    return None
                raise RequestTimeout
        if end + len(HEAD_END) > limits.max_header_bytes:
            raise HeadTooLarge
        head = bytes(inbox.data[: end + len(HEAD_END)])
        check_lines(head)
        inbox.take(len(head))
        return head

    def release_body(self) -> None:
        """Count the bytes of the last request's body no longer, as nothing refers to it."""
        self._body_reader.release()

    def serve(self, handle: Callable[..., None], *arguments) -> None:
        """Run a handler, and raise :class:`CallerLeft` in it as soon as the caller disconnects.

        :param handle: the handler
        :param arguments: arguments of the handler
        :raises CallerLeft: if the caller disconnected
        """
        if self._inbox.ended:
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
        unsent = memoryview(data)
        try:
            while unsent:
                with Timeout(WRITE_TIMEOUT_S, CallerLeft("the caller stopped reading its answer")):
                    unsent = unsent[self._sock.send(unsent) :]
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
        self._inbox.discard_until_end(LINGER_S)

    def has_unread_request(self) -> bool:
        """Return whether a request has arrived on a connection that still counts as idle."""
        return self.idle and bool(self._inbox.data or has_input(self._sock))

    def end_after_answer(self) -> None:
        """Serve no request after the current one; close the connection if it is idle.

        A request that has arrived on an idle connection is served first.
        """
        if self.has_unread_request():
            self.closing = True
            return
        self._ended = True
        if self.idle:
            close(self._sock)
            self._inbox.end()


def find_max_callers(max_fds: float) -> int:
    """Return the most connections of callers.

    :param max_fds: most descriptors of the process, 0 if it isn't known
    """
    if not max_fds:
        return MAX_CALLERS
    return max(1, int((max_fds - RESERVED_FDS) * CALLER_SHARE))


class CallerServer:
    """Accepts callers' connections and runs one greenlet for each, a context manager.

    :param listener: listening socket, closed on exit
    :param find_limits: returns the limits in force
    :param handle: called with the connection and a request, to answer the request
    :param refuse: called with the connection and an error, to answer an unacceptable request
    :param clock: monotonic clock
    :param account: counts the bytes of bodies, ``None`` to count none
    :param max_callers: most open connections
    :ivar callers: open connections
    :ivar closed_idle: idle connections closed since the start to make room for new ones
    :ivar max_callers: most open connections
    """

    def __init__(
        self,
        listener: socket.socket,
        find_limits: Callable[[], Limits],
        handle: Callable[[Caller, Request], None],
        refuse: Callable[[Caller, BalsamtallyError], None],
        clock: Callable[[], float],
        account: HeldBytes | None = None,
        max_callers: int = MAX_CALLERS,
    ):
        self._listener = listener
        self._find_limits = find_limits
        self._handle = handle
        self._refuse = refuse
        self._clock = clock
        self._account = account
        self._tasks = Pool(max_callers)
        self._closing = False
        self.closed_idle = 0
        self.max_callers = max_callers
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
            if not self._tasks.free_count():
                self._close_longest_idle()
            self._tasks.spawn(self._serve, sock)

    def _close_longest_idle(self) -> None:
        """Make room for a new connection, if one has been idle for IDLE_GRACE_S."""
        while not self._tasks.free_count():
            idle = [caller for caller in self.callers if caller.idle]
            longest = min(idle, key=lambda caller: caller.idle_since_s, default=None)
            is_recent = longest and self._clock() - longest.idle_since_s < IDLE_GRACE_S
            if longest is None or is_recent or longest.has_unread_request():
                gevent.sleep(IDLE_POLL_S)
                continue
            longest.end_after_answer()
            self.closed_idle += 1
            return

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
