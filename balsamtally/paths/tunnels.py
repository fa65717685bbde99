"""Client side of the connections that lead through another entry VM.

The method ``CONNECT`` of HTTP/1.1 opens them, RFC 9110, section 9.3.6.
"""

import time

import h11
from gevent import socket

from balsamtally.errors import PathUnavailable
from balsamtally.sockets import connect

READ_BYTES = 4_096
# Header with the identity of the relay's process.
INCARNATION = b"relay-incarnation"
MAX_HEAD_BYTES = 4_096
# Statuses with which a relay whose other links work says that a backend server is out of its reach,
# too: no process listens there, or its host doesn't answer. Other failures are no news of a server.
REFUSED_STATUS = 502
SILENT_STATUS = 504


def open_tunnel(
    relay: tuple[str, int], target: tuple[str, int], timeout_s: float, source: str
) -> tuple[socket.socket, str]:
    """Return a connection to a backend server that leads through another entry VM.

    :param relay: IP number and relay port of the other VM
    :param target: IP number and port of the backend server
    :param timeout_s: longest time to open the connection, in seconds
    :param source: IP number of this VM, by which the relay knows it
    :return: the connected socket, and the identity of the relay's process
    :raises ConnectionRefusedError: if no process listens at the backend server's address
    :raises TimeoutError: if the backend server doesn't answer the relay
    :raises PathUnavailable: if the relay can't be asked, or doesn't relay
    """
    until_s = time.monotonic() + timeout_s
    try:
        sock = connect(relay, timeout_s, source)
    except OSError as error:
        raise PathUnavailable(f"the relay can't be reached: {error}") from error
    try:
        status, incarnation = _ask(sock, target, until_s)
        if status == REFUSED_STATUS:
            raise ConnectionRefusedError("refused at the relay, too")
        if status == SILENT_STATUS:
            raise TimeoutError("no answer at the relay, either")
        if status != 200:
            raise PathUnavailable(f"the relay answered {status}")
    except BaseException:
        sock.close()
        raise
    return sock, incarnation


def _ask(sock: socket.socket, target: tuple[str, int], until_s: float) -> tuple[int, str]:
    """Ask a relay for a connection; return the status of its answer and its process's identity.

    :raises PathUnavailable: if the relay doesn't answer in time, or not in the protocol
    """
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    authority = f"{target[0]}:{target[1]}".encode()
    request = h11.Request(method=b"CONNECT", target=authority, headers=[(b"Host", authority)])
    try:
        sock.sendall(http.send(request) + (http.send(h11.EndOfMessage()) or b""))
        while (event := http.next_event()) is h11.NEED_DATA:
            sock.settimeout(max(0.001, until_s - time.monotonic()))
            http.receive_data(sock.recv(READ_BYTES))
    except OSError as error:
        raise PathUnavailable(f"the relay doesn't answer: {error}") from error
    except h11.RemoteProtocolError as error:
        raise PathUnavailable(f"the relay's answer is malformed: {error}") from error
    if type(event) is not h11.Response:
        raise PathUnavailable("the relay closed the connection")
    if http.trailing_data[0]:
        # A backend server that sends something before a request isn't one of ours.
        raise PathUnavailable("bytes came with the relay's answer")
    return event.status_code, dict(event.headers).get(INCARNATION, b"").decode("latin-1")
