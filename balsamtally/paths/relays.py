"""Relay of connections: passes bytes between another entry VM and a backend server.

The bytes aren't read. Each side's end is passed on: an orderly one in order, a reset as a reset.
"""

import random
import time
from collections.abc import Callable, Iterable

import gevent
import h11
from gevent import socket
from gevent.pool import Pool

from balsamtally.calls import Backend
from balsamtally.logs import log
from balsamtally.paths.losses import Losses
from balsamtally.paths.tunnels import INCARNATION, MAX_HEAD_BYTES, REFUSED_STATUS, SILENT_STATUS
from balsamtally.sockets import (
    bound_buffers,
    close,
    connect,
    end_sending,
    listen,
    reset,
    set_up,
)

# Part of the descriptors for connections of other VMs; each takes two.
RELAY_SHARE = 1 / 8
RESERVED_FDS = 200
# Connections passed on where the descriptors of the process aren't known.
DEFAULT_TUNNELS = 256
HEAD_TIMEOUT_S = 1.0
# A backend server accepts within a round trip, 0.06 s to another region; the VM that asks has other
# relays to try.
CONNECT_TIMEOUT_S = 0.25
# Other servers that are tried to tell a lost server from a lost link of this VM, and for how long.
MAX_CONTROLS = 2
CONTROL_TIMEOUT_S = 0.15
# A VM stops reading while its caller takes nothing, for 6 s at most.
PEER_USER_TIMEOUT_MS = 8_000
# Longest wait until a backend server's host confirms the end of a connection.
END_TIMEOUT_S = 0.25
# Time for which the other VM may still send after the backend server has ended the connection.
LINGER_S = 1.0
COPY_BYTES = 16_384


def find_max_tunnels(max_fds: float) -> int:
    """Return the most connections that are passed on for other entry VMs.

    :param max_fds: most descriptors of the process, 0 if it isn't known
    """
    if not max_fds:
        return DEFAULT_TUNNELS
    return max(1, int((max_fds - RESERVED_FDS) * RELAY_SHARE / 2))


class Relay:
    """Passes connections of other entry VMs on to backend servers; a context manager.

    :param address: IP number and port to listen at
    :param incarnation: identity of this process
    :param list_backends: returns the backend servers
    :param is_peer: returns whether an IP number is that of an entry VM whose beats are heard
    :param is_open: returns whether further connections are passed on
    :param losses: the direct links of this VM
    :param max_tunnels: most connections that are passed on at a time
    :ivar open: connections that are passed on now
    :ivar opened: connections passed on since the start
    :ivar refused: connections refused since the start, because of ``is_open`` or ``max_tunnels``
    """

    def __init__(
        self,
        address: tuple[str, int],
        incarnation: str,
        list_backends: Callable[[], Iterable[Backend]],
        is_peer: Callable[[str], bool],
        is_open: Callable[[], bool],
        losses: Losses,
        max_tunnels: int = DEFAULT_TUNNELS,
    ):
        self._address = address
        self._incarnation = incarnation
        self._list_backends = list_backends
        self._is_peer = is_peer
        self._is_open = is_open
        self._losses = losses
        self._max_tunnels = max_tunnels
        self._tasks = Pool()
        self.open = 0
        self.opened = 0
        self.refused = 0

    def __enter__(self) -> "Relay":
        self._listener = listen(self._address)
        self._accepting = gevent.spawn(self._accept)
        return self

    def __exit__(self, *exc_info) -> None:
        self._accepting.kill()
        close(self._listener)
        self._tasks.kill()

    def _accept(self) -> None:
        while True:
            try:
                sock, (ip, _) = self._listener.accept()
            except OSError as error:
                log.warning("relay_accept_failed", why=str(error))
                gevent.sleep(HEAD_TIMEOUT_S)
                continue
            self._tasks.spawn(self._serve, sock, ip)

    def _serve(self, sock: socket.socket, ip: str) -> None:
        try:
            set_up(sock, PEER_USER_TIMEOUT_MS)
            bound_buffers(sock)
            self._serve_peer(sock, ip)
        except OSError as error:
            log.info("relay_failed", peer=ip, why=str(error))
        except gevent.GreenletExit:
            # An orderly end would pass for the end of an answer.
            reset(sock)
            raise
        finally:
            close(sock)

    def _serve_peer(self, sock: socket.socket, ip: str) -> None:
        if not self._is_peer(ip):
            log.warning("relay_stranger", peer=ip)
            return
        target = read_target(sock)
        if target is None:
            log.warning("relay_request_malformed", peer=ip)
            answer(sock, 400)
            return
        backend = next((each for each in self._list_backends() if each.address == target), None)
        if backend is None:
            answer(sock, 403)
        elif self._losses.is_lost(backend) or not self._has_room():
            self.refused += 1
            answer(sock, 503)
        else:
            self._pass_on(sock, ip, backend)

    def _has_room(self) -> bool:
        return self._is_open() and self.open < self._max_tunnels

    def _pass_on(self, sock: socket.socket, ip: str, backend: Backend) -> None:
        self.open += 1
        try:
            server = self._connect(sock, backend)
            if server is None:
                return
            self.opened += 1
            log.info("relaying", peer=ip, backend=backend.name, open=self.open)
            try:
                answer(sock, 200, self._incarnation)
                exchange(sock, server)
            finally:
                close(server)
        finally:
            self.open -= 1

    def _connect(self, sock: socket.socket, backend: Backend) -> socket.socket | None:
        """Connect to a backend server; answer the other VM if that fails."""
        try:
            server = connect(backend.address, CONNECT_TIMEOUT_S)
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            self._losses.record_failed(backend, not refused)
            status = REFUSED_STATUS if refused else SILENT_STATUS
            answer(sock, status if self._reaches_only_others(backend) else 503)
            return None
        self._losses.record_connected(backend)
        server.settimeout(None)
        bound_buffers(server)
        return server

    def _reaches_only_others(self, backend: Backend) -> bool:
        """Return whether other servers accept connections, and one still doesn't.

        Links that have come back since an attempt began connect to all of them. Servers of the same
        domain are tried first.

        Where no other server is known, nothing tells a lost link from a lost server.
        """
        others = [each for each in self._list_backends() if each.address != backend.address]
        if not others:
            return True
        random.shuffle(others)
        others.sort(key=lambda each: each.domain != backend.domain)
        again = gevent.spawn(self._try, backend)
        controls = [gevent.spawn(self._try, each) for each in others[:MAX_CONTROLS]]
        gevent.joinall([again, *controls])
        return any(control.value for control in controls) and not again.value

    def _try(self, backend: Backend) -> bool:
        try:
            close(connect(backend.address, CONTROL_TIMEOUT_S))
        except OSError as error:
            self._losses.record_failed(backend, not isinstance(error, ConnectionRefusedError))
            return False
        self._losses.record_connected(backend)
        return True


def read_target(sock: socket.socket) -> tuple[str, int] | None:
    """Return the address that another VM asks for, ``None`` if its request isn't valid.

    :param sock: the connection of the other VM
    :raises OSError: if the connection breaks, or no request comes in time
    """
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    until_s = time.monotonic() + HEAD_TIMEOUT_S
    try:
        while (event := http.next_event()) is h11.NEED_DATA:
            sock.settimeout(max(0.001, until_s - time.monotonic()))
            http.receive_data(sock.recv(MAX_HEAD_BYTES))
    except h11.RemoteProtocolError:
        return None
    finally:
        sock.settimeout(None)
    if type(event) is not h11.Request or event.method != b"CONNECT" or http.trailing_data[0]:
        return None
    host, _, port = event.target.decode("latin-1").rpartition(":")
    return (host, int(port)) if port.isascii() and port.isdigit() else None


def answer(sock: socket.socket, status: int, incarnation: str = "") -> None:
    """Send the head of an answer without a body.

    :param sock: the connection of the other VM
    :param status: HTTP status
    :param incarnation: identity of this process, for a connection that is opened
    :raises OSError: if the connection breaks
    """
    # An answer to CONNECT with status 200 has no length: the connection follows it.
    header = f"{INCARNATION.decode()}: {incarnation}" if status == 200 else "Content-Length: 0"
    sock.sendall(f"HTTP/1.1 {status} \r\n{header}\r\n\r\n".encode())


def exchange(peer: socket.socket, server: socket.socket) -> None:
    """Pass bytes between both connections until either ends.

    :param peer: the connection of the other VM
    :param server: the connection to the backend server
    """
    downstream = gevent.spawn(copy, server, peer)
    upstream = gevent.spawn(copy, peer, server)
    try:
        gevent.wait([downstream, upstream], count=1)
        if downstream.ready():
            _end_for_peer(peer, downstream.value, upstream)
        else:
            # Its read could take the error by which the kernel tells of a lost connection.
            downstream.kill()
            _end_for_server(peer, server, upstream.value)
    finally:
        gevent.killall([downstream, upstream])


def _end_for_peer(peer: socket.socket, in_order: bool, upstream: gevent.Greenlet) -> None:
    """Pass the end of the backend server's side on to the other VM."""
    if not in_order:
        reset(peer)
        return
    end_sending(peer, 0.0)
    upstream.join(LINGER_S)


def _end_for_server(peer: socket.socket, server: socket.socket, in_order: bool) -> None:
    """Pass the end of the other VM's side on to the backend server.

    The other VM takes an orderly end for the confirmation that the server's host has the end.
    """
    if not in_order:
        reset(server)
        reset(peer)
    elif not end_sending(server, END_TIMEOUT_S):
        reset(peer)


def copy(source: socket.socket, sink: socket.socket) -> bool:
    """Copy bytes until the source ends; return whether it ended in order.

    :param source: connection that is read
    :param sink: connection that is written
    """
    try:
        while data := source.recv(COPY_BYTES):
            sink.sendall(data)
    except OSError as error:
        log.debug("relay_copy_ended", why=str(error))
        return False
    return True
