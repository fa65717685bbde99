"""The daemon of an entry VM whose links to backend servers can be cut while it runs.

It is started with the path of a file that names the cut links, a JSON object of ways by
``IP:port``, or by ``*`` for all backend servers:

* ``hang``: nothing passes either way, and new connections time out
* ``reset``: open connections are reset, and new ones are refused
* ``refuse``: open connections live on, and new ones are refused

Connections to other VMs, the store and callers are left alone.
"""

import contextlib
import errno
import json
import os
import socket as plain
import sys
import time
import weakref
from pathlib import Path

import gevent
from gevent import socket
from gevent.event import Event

from balsamtally.paths import dialer, relays
from balsamtally.platform.__main__ import main
from balsamtally.sockets import USER_TIMEOUT_MS, connect, reset

POLL_S = 0.01
# Time after which the kernel gives up a connection that nothing passes.
GIVEN_UP_S = USER_TIMEOUT_MS / 1000
# Bytes that the kernel takes for sending meanwhile.
SEND_BUFFER_BYTES = 262_144
# State of TCP_INFO in which the end was sent and not confirmed.
FIN_WAIT1 = b"\x04"
# Descriptors that look like those of a connection which hangs, and of one that has ended.
_HANGING, _peer = plain.socketpair()
_ENDED, _closed = plain.socketpair()
_closed.close()


class CutSocket(socket.socket):
    """A connection over a link that may be cut.

    :param fileno: descriptor of the connection
    :param address: address of the backend server, as ``IP:port``
    :param links: the links of the entry VM
    :ivar address: that address
    """

    def __init__(self, fileno: int, address: str, links: "Links"):
        super().__init__(fileno=fileno)
        self.address = address
        self._links = links
        self._hangs_since_s = 0.0
        self._failure = 0
        self._changed = Event()
        self._received = b""
        self._received_error: OSError | None = None
        self._unsent = b""
        self._is_end_unsent = False

    @property
    def hangs(self) -> bool:
        """Whether nothing passes."""
        return bool(self._hangs_since_s)

    def cut(self, way: str) -> None:
        """Apply the way in which the link is cut, or none, to the open connection.

        :param way: ``hang``, ``reset``, ``refuse``, or empty if the link isn't cut
        """
        if self._failure:
            return
        if way == "reset":
            self._fail(errno.ECONNRESET)
        elif way == "hang" and not self.hangs:
            self._hangs_since_s = time.monotonic()
        elif way == "hang" and time.monotonic() - self._hangs_since_s >= GIVEN_UP_S:
            self._fail(errno.ETIMEDOUT)
        elif way != "hang" and self.hangs:
            gevent.spawn(self._flush)

    def _fail(self, number: int) -> None:
        self._failure = number
        reset(super())
        self._hangs_since_s = 0.0
        self._changed.set()

    def _flush(self) -> None:
        """Send what was held back."""
        with contextlib.suppress(OSError):
            while self._unsent:
                sent_bytes = super().send(self._unsent)
                self._unsent = self._unsent[sent_bytes:]
            if self._is_end_unsent:
                super().shutdown(plain.SHUT_WR)
        self._hangs_since_s = 0.0
        self._changed.set()

    def _await_link(self, until_s: float | None) -> None:
        """Wait while the connection hangs.

        :raises BlockingIOError: if the socket doesn't block
        :raises TimeoutError: after the socket's time-out
        """
        while self.hangs:
            if self.gettimeout() == 0.0:
                raise BlockingIOError(errno.EWOULDBLOCK, "the link is cut")
            self._changed.clear()
            if not self._changed.wait(until_s and max(0.0, until_s - time.monotonic())):
                raise TimeoutError("timed out")
        self._check_failure()

    def _check_failure(self) -> None:
        if self._failure:
            raise OSError(self._failure, os.strerror(self._failure))

    def _find_end(self) -> float | None:
        timeout_s = self.gettimeout()
        return None if timeout_s is None else time.monotonic() + timeout_s

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Receive as a socket does; what arrives during a cut is held back."""
        until_s = self._find_end()
        while True:
            self._await_link(until_s)
            if self._received:
                data = self._received[:size]
                if not flags & plain.MSG_PEEK:
                    self._received = self._received[size:]
                return data
            if self._received_error is not None:
                raise self._received_error
            try:
                data = super().recv(size, flags)
            except (BlockingIOError, TimeoutError) as error:
                if not self._failure:
                    raise
                self._check_failure()
                raise error
            except OSError as error:
                self._check_failure()
                if not self.hangs:
                    raise
                self._received_error = error
                continue
            if not self.hangs:
                return data
            if not flags & plain.MSG_PEEK:
                self._received += data

    def send(self, data, flags: int = 0) -> int:
        """Send as a socket does; during a cut the bytes are kept up to the kernel's buffer."""
        if self.hangs and len(self._unsent) >= SEND_BUFFER_BYTES:
            self._await_link(self._find_end())
        if self.hangs:
            taken = bytes(data[: SEND_BUFFER_BYTES - len(self._unsent)])
            self._unsent += taken
            return len(taken)
        self._check_failure()
        return super().send(data, flags)

    def sendall(self, data, flags: int = 0) -> None:
        """Send all bytes as a socket does."""
        view = memoryview(data)
        while view:
            view = view[self.send(view, flags) :]

    def shutdown(self, how: int) -> None:
        """End the sending side; the end isn't sent before the end of a cut."""
        if self.hangs:
            self._is_end_unsent = True
            return
        self._check_failure()
        super().shutdown(how)

    def getsockopt(self, *args):
        """Return a socket option; the end of a connection that hangs isn't confirmed."""
        if self.hangs and args[:2] == (plain.IPPROTO_TCP, plain.TCP_INFO):
            return FIN_WAIT1
        return super().getsockopt(*args)

    def fileno(self) -> int:
        """Return a descriptor to poll."""
        if self._failure:
            return _ENDED.fileno()
        return _HANGING.fileno() if self.hangs else super().fileno()

    def close(self) -> None:
        """Close the socket; the backend server doesn't learn it while the connection hangs."""
        if self.hangs and not self._failure:
            self._links.keep_orphan(os.dup(super().fileno()), self)
        super().close()


class Links:
    """The links to the backend servers, cut as a file says.

    :param path: path of the file
    """

    def __init__(self, path: Path):
        self._path = path
        self._stamp = 0
        self._ways: dict[str, str] = {}
        self._open: weakref.WeakSet[CutSocket] = weakref.WeakSet()
        self._orphans: set[CutSocket] = set()

    def find_way(self, address: str) -> str:
        """Return the way in which a link is cut, empty if it isn't.

        :param address: address of the backend server, as ``IP:port``
        """
        return self._ways.get(address) or self._ways.get("*", "")

    def connect(self, address: tuple[str, int], timeout_s: float) -> socket.socket:
        """Return a connection to a backend server, see :func:`balsamtally.sockets.connect`."""
        name = f"{address[0]}:{address[1]}"
        way = self.find_way(name)
        if way == "hang":
            gevent.sleep(timeout_s)
            raise TimeoutError("timed out")
        if way:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "the link is cut")
        sock = CutSocket(connect(address, timeout_s).detach(), name, self)
        sock.settimeout(timeout_s)
        self._open.add(sock)
        return sock

    def keep_orphan(self, fileno: int, closed: CutSocket) -> None:
        """Keep a connection that was closed while it hung until its link is back or it is given up.

        :param fileno: a descriptor of the connection
        :param closed: the socket that was closed
        """
        orphan = CutSocket(fileno, closed.address, self)
        orphan._hangs_since_s = closed._hangs_since_s
        orphan._unsent, orphan._is_end_unsent = closed._unsent, True
        closed._hangs_since_s = 0.0
        self._open.discard(closed)
        self._orphans.add(orphan)

    def follow(self) -> None:
        """Apply the file, again and again."""
        while True:
            self.read()
            for sock in [*self._open, *self._orphans]:
                sock.cut(self.find_way(sock.address))
            for orphan in [orphan for orphan in self._orphans if not orphan.hangs]:
                self._orphans.remove(orphan)
                orphan.close()
            gevent.sleep(POLL_S)

    def read(self) -> None:
        """Read the file if it has changed."""
        with contextlib.suppress(FileNotFoundError):
            stamp = self._path.stat().st_mtime_ns
            if stamp != self._stamp:
                self._ways = json.loads(self._path.read_text())
                self._stamp = stamp


if __name__ == "__main__":
    links = Links(Path(sys.argv.pop(1)))
    links.read()
    gevent.spawn(links.follow)
    dialer.connect = relays.connect = links.connect
    sys.exit(main())
