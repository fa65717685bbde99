"""Tests with real daemons and a store that gives no answer to the VMs that watch it."""

import time

import gevent
import pytest

from standins.grid import KEY, Grid, make_config
from standins.grid_callers import Traffic

# The operators' bound for drains and configurations, from the acknowledgement of the change.
BOUND_S = 3.0
# The observation ends as long after the bound.
OBSERVED_S = 2.0
OTHER_KEY = "example-key-of-other-cabo"


def list_watching(grid):
    return [vm.name for vm in grid.list_watching()]


def wait_for_watches(grid, count):
    """Wait until as many VMs watch, which then have just begun to."""
    while len(list_watching(grid)) < count:
        gevent.sleep(0.005)
    return list_watching(grid)


def stall_successors(grid, kind, most):
    """Stall each VM that begins to watch, up to a number of VMs."""
    while len(grid.store.stalled) < most:
        for name in list_watching(grid):
            if len(grid.store.stalled) < most:
                grid.store.stalled[name] = kind
        gevent.sleep(0.002)


def stop_server(grid, how):
    """Let a backend server leave, and return it and the time of the acknowledgement."""
    leaving, *_ = grid.list_servers("desk")
    if how == "drain":
        leaving.register("draining")
    else:
        grid.store.remove(f"servers/{leaving.name}")
    return leaving, time.monotonic()


@pytest.mark.parametrize(
    "domains,vms,kind,how",
    [(3, 3, "mute", "drain"), (3, 3, "head", "removal"), (2, 5, "drip", "drain")],
)
def test_vms_learn_of_a_leaving_server_while_the_store_gives_the_watching_vms_no_answer(
    domains, vms, kind, how
):
    """Guards against drains that are missed because the reading VMs wait for a silent store."""
    with Grid(vms=vms, servers=2, domains=domains) as grid, Traffic(grid.vms) as traffic:
        gevent.sleep(1.0)
        for name in wait_for_watches(grid, domains):
            grid.store.stalled[name] = kind
        leaving, acked_s = stop_server(grid, how)
        successors = gevent.spawn(stall_successors, grid, kind, domains * vms // 3)
        gevent.sleep(BOUND_S + OBSERVED_S)
        successors.kill()
        late = [
            (traffic.senders[attempt_id], round(at_s - acked_s, 2))
            for attempt_id, at_s in leaving.arrivals
            if at_s > acked_s + BOUND_S and attempt_id in traffic.senders
        ]
        assert [entry for entry in late if entry[0] not in grid.store.stalled] == []
        assert len(traffic.answers) > 20 * len(grid.vms)


def test_vms_refuse_a_withdrawn_key_while_the_store_gives_the_watching_vms_no_answer():
    """Guards against configurations that come late because the reading VMs wait in vain."""
    with Grid(vms=3, servers=1, domains=3) as grid:
        grid.store.put("op/config", make_config(2, keys=(KEY, OTHER_KEY)))
        gevent.sleep(BOUND_S)
        with Traffic(grid.vms, OTHER_KEY) as traffic:
            gevent.sleep(0.5)
            for name in wait_for_watches(grid, 3):
                grid.store.stalled[name] = "mute"
            grid.store.put("op/config", make_config(3))
            acked_s = time.monotonic()
            gevent.sleep(BOUND_S + OBSERVED_S)
        late = [
            (traffic.senders[answer.id], round(answer.sent_s - acked_s, 2))
            for answer in traffic.answers
            if answer.status != 401 and answer.sent_s > acked_s + BOUND_S
        ]
        assert [entry for entry in late if entry[0] not in grid.store.stalled] == []
        assert any(answer.status == 401 for answer in traffic.answers)
