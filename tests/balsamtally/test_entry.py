"""Tests of the connections of callers of the chat interface."""

import contextlib

import gevent
import pytest
from gevent import socket
from gevent.pywsgi import WSGIServer

from balsamtally.entry import SOCKET_KEY, CallerHandler
from balsamtally.errors import GraceEnded

FILLER = b"x" * 65_536


def fill(sock):
    """Fill the buffers of a connection, as unread answers to earlier requests do."""
    sock.settimeout(0)
    with contextlib.suppress(OSError):
        while True:
            sock.send(FILLER)
    sock.settimeout(10)


@pytest.mark.parametrize("error", [GraceEnded(), TimeoutError("timed out")])
def test_no_error_body_is_written_after_a_head_whose_sending_was_aborted(error):
    tasks = []

    def answer(environ, start_response):
        fill(environ[SOCKET_KEY])
        tasks.append(gevent.getcurrent())
        start_response("200 OK", [("Content-Type", "text/plain")])
        return [b"answer"]

    server = WSGIServer(
        ("127.0.0.1", 0), answer, handler_class=CallerHandler, log=None, error_log=None
    )
    server.start()
    with contextlib.closing(socket.create_connection(server.address, timeout=10)) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while not tasks:
            gevent.sleep(0.01)
        gevent.sleep(0.05)
        tasks[0].kill(error, block=False)
        data = b""
        while piece := caller.recv(65_536):
            data += piece
    server.stop()
    rest = data.strip(b"x")
    assert b"HTTP/1.1 200 OK\r\n".startswith(rest[:17])
