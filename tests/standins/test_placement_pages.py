"""The page on the peers' port that explains where a call would go, at real daemons."""

from functools import partial

import msgspec

from balsamtally.backends import fetch
from standins.grid import PEER_PORT, Grid
from tests import polling

expect_soon = partial(polling.expect_soon, timeout_s=20.0)


def test_daemon_explains_a_placement_without_sending_anything():
    """Guards against a page that isn't connected to the view that places calls."""
    with Grid(vms=1, servers=2) as grid:
        address = (grid.vms[0].host, PEER_PORT)

        def ask():
            status, body = fetch(address, b"/explain?host=nowhere.example&path=/", 2.0)
            return status, msgspec.json.decode(body) if body else {}

        expect_soon(lambda: ask()[0] == 200 and "error" in ask()[1])
        assert fetch(address, b"/explain?part=x", 2.0)[0] == 400
