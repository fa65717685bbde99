"""Whether the other side of a connection confirmed its end, and whether sockets are ready."""

import contextlib
import fcntl

import gevent
import pytest
from gevent import socket

from balsamtally import sockets
from balsamtally.sockets import end_sending, listen, wait_ready


@pytest.mark.parametrize("other_side", ["reads nothing", "closed", "reset"])
def test_end_of_a_connection_is_confirmed_only_by_a_host_that_did_not_reset_it(other_side):
    """A run may go on elsewhere only after its runner's host has received the end."""
    listener = listen(("127.0.0.1", 0))
    with listener, socket.create_connection(listener.getsockname()) as sock:
        other, _ = listener.accept()
        if other_side == "closed":
            other.close()
        if other_side == "reset":
            sockets.reset(other)
        assert end_sending(sock, 1.0) == (other_side != "reset")
        other.close()


def test_end_of_a_connection_whose_host_does_not_answer_is_not_confirmed(monkeypatch):
    """No loopback host stays silent, so that the state before the confirmation is simulated."""
    monkeypatch.setattr(sockets, "_CONFIRMED_STATES", ())
    listener = listen(("127.0.0.1", 0))
    with listener, socket.create_connection(listener.getsockname()) as sock:
        assert not end_sending(sock, 0.02)


def test_readiness_of_a_socket_whose_descriptor_select_refuses():
    """Guards against calls that fail once the process has 1,024 descriptors open."""
    left, right = socket.socketpair()
    with left, right:
        for number in (1_500, left.fileno()):
            high = fcntl.fcntl(left.fileno(), fcntl.F_DUPFD, number)
            with socket.socket(fileno=high) as sock:
                assert sock.fileno() >= number
                assert wait_ready(sock, 0.1) == (False, True)
        right.sendall(b"x")
        assert wait_ready(left, 1.0) == (True, True)
        right.close()
        assert wait_ready(left, 1.0)[0]
    with pytest.raises((OSError, ValueError)):
        wait_ready(left, 0.1)


def test_wait_for_a_full_connection_ends_with_its_time_or_as_it_is_read():
    left, right = socket.socketpair()
    with left, right:
        left.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while left.send(b"x" * 65_536):
                pass
        assert wait_ready(left, 0.05) == (False, False)
        reader = gevent.spawn_later(0.05, right.recv, 4_000_000)
        assert wait_ready(left, 5.0)[1]
        reader.join()
