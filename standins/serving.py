"""Code shared by the HTTP stand-ins: listener, ready line, graceful stop and JSON bodies."""

import os
import signal
import sys
from collections.abc import Callable
from typing import TypeVar

import gevent
import msgspec
from bottle import HTTPResponse, request
from gevent import pywsgi, socket
from gevent.event import Event

from balsamtally.settings import split_address

T = TypeVar("T")
BACKLOG = 1024
SOCKET_KEY = "standins.socket"


class CutConnection(ConnectionError):
    """Raised by an application to close the connection within an answer."""


class Handler(pywsgi.WSGIHandler):
    """A request handler that gives the application access to its connection.

    The socket is in the WSGI environment, and :class:`CutConnection` closes the connection.
    """

    def handle(self) -> None:
        """Serve the connection's requests without Nagle's delay of small writes."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict:
        """Return the WSGI environment with the connection's socket added."""
        return {**super().get_environ(), SOCKET_KEY: self.socket}

    def handle_error(self, kind: type, error: BaseException, trace) -> None:
        """Close the connection without an error answer after :class:`CutConnection`."""
        if not isinstance(error, CutConnection):
            super().handle_error(kind, error, trace)
            return
        self.close_connection = True
        self.socket.shutdown(socket.SHUT_RDWR)


def serve(app: Callable, address: str, on_stop: Callable[[], None]) -> None:
    """Serve an application until SIGTERM, and print a ready line once the server listens.

    :param app: WSGI application
    :param address: IP address and port; port 0 selects a free port
    :param on_stop: called on SIGTERM; the process exits with 0 when it returns
    """
    server = pywsgi.WSGIServer(
        split_address(address), app, log=None, backlog=BACKLOG, handler_class=Handler
    )
    server.start()

    def stop() -> None:
        on_stop()
        sys.stdout.flush()
        os._exit(0)

    gevent.signal_handler(signal.SIGTERM, stop)
    print(f"ready {server.server_host}:{server.server_port}", flush=True)
    Event().wait()


def read_body(kind: type[T]) -> T:
    """Return the JSON body of the current request.

    :param kind: expected type
    :return: the decoded body
    :raises HTTPResponse: with status 400 if the body is not JSON of the expected type
    """
    try:
        return msgspec.json.decode(request.body.read(), type=kind)
    except msgspec.DecodeError as error:
        raise answer({"error": {"code": "malformed", "message": str(error)}}, 400) from error


def answer(body: object, status: int = 200, **headers: str) -> HTTPResponse:
    """Return a JSON answer.

    :param body: object to encode as JSON
    :param status: HTTP status
    :param headers: further headers, with ``_`` for ``-`` in their names
    :return: the answer
    """
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return HTTPResponse(
        msgspec.json.encode(body), status, {"Content-Type": "application/json", **named}
    )


def caller_socket() -> socket.socket:
    """Return the socket of the current request's connection."""
    return request.environ[SOCKET_KEY]


def watch_close(connection: socket.socket, on_close: Callable[[], None]) -> None:
    """Wait until the caller closes its connection or sends more data.

    The function blocks, so it is to be called in a greenlet.

    :param connection: connection of a request whose body has been read
    :param on_close: called if the connection was closed, not if more data arrived
    """
    try:
        socket.wait_read(connection.fileno())
        if connection.recv(1, socket.MSG_PEEK):
            return
    except (OSError, ValueError):
        pass
    on_close()
