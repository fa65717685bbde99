"""Hostile callers of a :class:`~standins.grid.Grid`: unfinished bodies and unread answers.

They read nothing, and leave their connections open until the context ends.
"""

import itertools
from collections.abc import Iterator

import gevent
from gevent import socket

from balsamtally.sockets import close
from standins.grid import CALLER_PORT, HOST, KEY, Vm

# Bytes that each connection offers at most.
OFFERED_BYTES = 700_000
CONNECT_TIMEOUT_S = 10.0
_HEAD = f"POST /lookup/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n".encode()
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_SHORT_LENGTH = 700_000


def _repeat(beginning: bytes, piece: bytes) -> Iterator[bytes]:
    yield beginning
    yield from itertools.repeat(piece, OFFERED_BYTES // len(piece))


def _send_bytes_singly(beginning: bytes, piece: bytes) -> Iterator[bytes]:
    yield beginning
    for _ in range(OFFERED_BYTES // len(piece)):
        for number in range(len(piece)):
            yield piece[number : number + 1]


def _make_call(body: bytes) -> bytes:
    attempt = b"Attempt-Id: hostile\r\nDeadline-Ms: 3000\r\n"
    return _HEAD + attempt + b"Content-Length: %d\r\n\r\n" % len(body) + body


def list_pieces(kind: str) -> Iterator[bytes]:
    """Yield what a hostile connection sends, one write each.

    :param kind: one of ``KINDS``
    """
    return KINDS[kind]()


KINDS = {
    "tiny chunks": lambda: _repeat(_CHUNKED, b"1\r\nx\r\n" * 1_000),
    "single bytes": lambda: _send_bytes_singly(_CHUNKED, b"1\r\nx\r\n"),
    "large chunks": lambda: _repeat(_CHUNKED + b"f0000\r\n", b"x" * 50_000),
    "chunk extensions": lambda: _repeat(_CHUNKED + b"1;odd=", b"x" * 10_000),
    "one byte short": lambda: _repeat(
        _HEAD + b"Content-Length: %d\r\n\r\n" % _SHORT_LENGTH + b"x" * 49_999, b"x" * 50_000
    ),
    "pipelined": lambda: _repeat(b"", _make_call(b"") * 50),
    "pipelined bodies": lambda: _repeat(b"", _make_call(b"x" * 60_000)),
}


class Crowd:
    """Hostile connections to one entry VM; a context manager that closes them.

    :param vm: the entry VM
    :param pieces: iterators over what each connection sends
    """

    def __init__(self, vm: Vm, pieces: list[Iterator[bytes]]):
        self._vm = vm
        self._pieces = pieces
        self._sockets: list[socket.socket] = []

    def __enter__(self) -> "Crowd":
        self._tasks = [gevent.spawn(self._send, pieces) for pieces in self._pieces]
        return self

    def __exit__(self, *exc_info) -> None:
        gevent.killall(self._tasks)
        for sock in self._sockets:
            close(sock)

    def _send(self, pieces: Iterator[bytes]) -> None:
        sock = socket.socket()
        self._sockets.append(sock)
        try:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.connect((self._vm.host, CALLER_PORT))
            sock.settimeout(None)
            for piece in pieces:
                sock.sendall(piece)
                gevent.sleep(0)
        except OSError:
            # The entry VM may refuse a hostile caller or close its connection.
            return
