"""TCP sockets for callers, backend servers and peers."""

import contextlib
import errno
import fcntl
import ipaddress
import socket as plain
import struct
import termios
import time

import gevent
from gevent import monkey, select, socket

# A peer that disappears without a reset is detected after about KEEPALIVE_IDLE_S +
# KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S. The kernel takes whole seconds, of which these are the
# lowest.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000
BACKLOG = 512
# Buffers of a caller's socket in the kernel, which doubles them. Unread answers and unread input
# take no more.
CALLER_SEND_BYTES = 65_536
CALLER_RECEIVE_BYTES = 131_072
# Interval at which the confirmation of a connection's end is awaited.
CONFIRMATION_INTERVAL_S = 0.005
# States of TCP_INFO in which the other side has acknowledged the end: FIN_WAIT2, TIME_WAIT, and
# CLOSE, which the kernel tells after both sides have ended; a time-out or reset sets an error too.
_CONFIRMED_STATES = (5, 6, 7)
DISCARDED_BYTES = 65_536
# The socket module of Python 3.11 has no name for this option of Linux.
IP_BIND_ADDRESS_NO_PORT = 24
READABLE = select.POLLIN | select.POLLHUP | select.POLLERR
WRITABLE = select.POLLOUT | select.POLLERR
# The poll that doesn't switch to other greenlets.
_poll_now = monkey.get_original("select", "poll")
_NO_LINGER = struct.pack("ii", 1, 0)


def set_up(sock: socket.socket, user_timeout_ms: int = USER_TIMEOUT_MS) -> None:
    """Disable Nagle's algorithm and detect a lost peer within seconds.

    :param sock: a TCP socket
    :param user_timeout_ms: time without an acknowledgement, or without room at the other side,
        after which the connection ends, in milliseconds
    """
    sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
    sock.setsockopt(plain.SOL_SOCKET, plain.SO_KEEPALIVE, 1)
    sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_USER_TIMEOUT, user_timeout_ms)


def bound_buffers(sock: socket.socket) -> None:
    """Bound the kernel's buffers of a caller's connection.

    :param sock: a connected socket
    """
    sock.setsockopt(plain.SOL_SOCKET, plain.SO_SNDBUF, CALLER_SEND_BYTES)
    sock.setsockopt(plain.SOL_SOCKET, plain.SO_RCVBUF, CALLER_RECEIVE_BYTES)


def count_unsent(sock: socket.socket) -> int:
    """Return the bytes that the kernel holds as not yet acknowledged, 0 for a closed socket.

    :param sock: a connected socket
    """
    try:
        return struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))[0]
    except (OSError, ValueError):
        return 0


def listen(address: tuple[str, int]) -> socket.socket:
    """Return a listening TCP socket.

    :param address: IP number and port
    """
    sock = socket.socket(plain.AF_INET, plain.SOCK_STREAM)
    sock.setsockopt(plain.SOL_SOCKET, plain.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def connect(address: tuple[str, int], timeout_s: float, source: str = "") -> socket.socket:
    """Return a connected TCP socket.

    :param address: IP number and port
    :param timeout_s: longest time to connect, in seconds
    :param source: IP number to connect from, empty to leave it to the kernel
    :raises OSError: if the connection fails or times out
    """
    sock = socket.socket(plain.AF_INET, plain.SOCK_STREAM)
    try:
        if source:
            # The port is chosen with the destination, so that many destinations can share one.
            with contextlib.suppress(OSError):
                sock.setsockopt(plain.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
            sock.bind((source, 0))
        sock.settimeout(timeout_s)
        sock.connect(address)
        set_up(sock)
    except BaseException:
        sock.close()
        raise
    return sock


def wait_ready(sock: socket.socket, timeout_s: float) -> tuple[bool, bool]:
    """Wait until a connection is readable or writable; return whether it is each of them.

    ``select`` refuses descriptors from 1,024 on.

    :param sock: a connected socket
    :param timeout_s: longest wait in seconds
    :raises OSError: if the socket was closed
    """
    for make_poll, wait_s in ((_poll_now, 0.0), (select.poll, timeout_s)):
        poll = make_poll()
        poll.register(sock.fileno(), select.POLLIN | select.POLLOUT)
        events = dict(poll.poll(1000 * wait_s)).get(sock.fileno(), 0)
        if events & select.POLLNVAL:
            raise OSError(errno.EBADF, "the socket was closed")
        if events:
            break
    return bool(events & READABLE), bool(events & WRITABLE)


def is_idle(sock: socket.socket) -> bool:
    """Return whether a connection is open and has no unread input.

    :param sock: a connected socket
    """
    return peek(sock) is None


def has_input(sock: socket.socket) -> bool:
    """Return whether a connection has unread input.

    :param sock: a connected socket
    """
    return bool(peek(sock))


def peek(sock: socket.socket) -> bytes | None:
    """Return the first byte of unread input, empty after the end, ``None`` if there is none yet.

    This takes a pending error from the connection, which then looks as if it was closed in order,
    so it is not for a connection on which the end of an answer is still to be read.

    :param sock: a connected socket
    """
    try:
        return receive_now(sock, 1, plain.MSG_PEEK)
    except OSError:
        return b""


def receive_now(sock: socket.socket, size: int, flags: int = 0) -> bytes | None:
    """Return input that has arrived, empty after the end, ``None`` if there is none yet.

    :param sock: a connected socket
    :param size: most bytes to return
    :param flags: flags of the read
    :raises OSError: if the connection was reset or has timed out
    """
    before = sock.gettimeout()
    sock.settimeout(0)
    try:
        return sock.recv(size, flags)
    except BlockingIOError:
        return None
    finally:
        sock.settimeout(before)


def was_closed_in_order(sock: socket.socket) -> bool:
    """Return whether the other side closed a connection in order, and not by a reset.

    :param sock: a connected socket without unread input
    """
    try:
        return receive_now(sock, 1, plain.MSG_PEEK) == b""
    except OSError:
        return False


def end_sending(sock: socket.socket, timeout_s: float) -> bool:
    """End the sending side of a connection; return whether the other side's kernel confirmed it.

    :param sock: a connected socket
    :param timeout_s: longest wait for the confirmation, in seconds
    """
    until_s = time.monotonic() + timeout_s
    try:
        sock.shutdown(plain.SHUT_WR)
        while sock.getsockopt(plain.IPPROTO_TCP, plain.TCP_INFO, 1)[0] not in _CONFIRMED_STATES:
            if time.monotonic() >= until_s:
                return False
            gevent.sleep(CONFIRMATION_INTERVAL_S)
        return sock.getsockopt(plain.SOL_SOCKET, plain.SO_ERROR) == 0
    except OSError:
        # The connection was reset or had broken: the other side's process has lost it, or the
        # network has, which can't be told apart.
        return False


def await_end(sock: socket.socket, timeout_s: float) -> bool:
    """End the sending side of a connection; return whether the other side ended it in order, too.

    :param sock: a connected socket, whose further input is discarded
    :param timeout_s: longest wait for the other side's end, in seconds
    """
    until_s = time.monotonic() + timeout_s
    try:
        sock.shutdown(plain.SHUT_WR)
        while (left_s := until_s - time.monotonic()) > 0:
            sock.settimeout(left_s)
            if not sock.recv(DISCARDED_BYTES):
                return True
    except OSError:
        # Reset, broken or too late: the other side hasn't confirmed anything.
        return False
    return False


def close(sock: socket.socket) -> None:
    """Close a socket, ignoring errors.

    :param sock: the socket
    """
    with contextlib.suppress(OSError):
        sock.close()


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset, ignoring errors.

    :param sock: the socket
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(plain.SOL_SOCKET, plain.SO_LINGER, _NO_LINGER)
    close(sock)


def parse_address(text: str) -> tuple[str, int]:
    """Parse an IPv4 address and port such as ``10.1.0.7:8000``.

    :param text: the text
    :raises ValueError: if the text isn't an IPv4 address with a port
    """
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is not an IP number with a port")
    return host, int(port)
