"""Sockets of callers, backend servers and peers."""

import contextlib
import ipaddress
import socket as plain

from gevent import socket

# A peer that vanished without a reset is found after about KEEPALIVE_IDLE_S +
# KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S; the shortest values that the kernel's whole seconds give.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000
BACKLOG = 512


def set_up(sock: socket.socket) -> None:
    """Send small pieces at once, and notice a vanished peer within seconds.

    :param sock: a TCP socket
    """
    sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
    sock.setsockopt(plain.SOL_SOCKET, plain.SO_KEEPALIVE, 1)
    sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def listen(address: tuple[str, int]) -> socket.socket:
    """Return a listening TCP socket.

    :param address: IP number and port
    """
    sock = socket.socket(plain.AF_INET, plain.SOCK_STREAM)
    sock.setsockopt(plain.SOL_SOCKET, plain.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def connect(address: tuple[str, int], timeout_s: float) -> socket.socket:
    """Return a connected TCP socket.

    :param address: IP number and port
    :param timeout_s: longest time for it, in seconds
    :raises OSError: if there is no connection by then
    """
    sock = socket.socket(plain.AF_INET, plain.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect(address)
        set_up(sock)
    except BaseException:
        sock.close()
        raise
    return sock


def is_idle(sock: socket.socket) -> bool:
    """Return whether a connection is open and holds nothing that was not read.

    :param sock: a connected socket
    """
    before = sock.gettimeout()
    sock.settimeout(0)
    try:
        sock.recv(1, plain.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        sock.settimeout(before)
    return False


def close(sock: socket.socket) -> None:
    """Close a socket, whatever state it is in.

    :param sock: the socket
    """
    with contextlib.suppress(OSError):
        sock.close()


def parse_address(text: str) -> tuple[str, int]:
    """Return IP number and port of a text such as ``10.1.0.7:8000``.

    :param text: the text
    :raises ValueError: if it isn't one
    """
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not port.isdecimal() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is not an IP number with a port")
    return host, int(port)
