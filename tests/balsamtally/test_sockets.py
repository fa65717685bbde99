"""Whether the other side of a connection confirmed its end."""

import pytest
from gevent import socket

from balsamtally import sockets
from balsamtally.sockets import end_sending, listen


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
