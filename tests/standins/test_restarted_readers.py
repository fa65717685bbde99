"""A test with real daemons of which those that read the store are killed and start again."""

import time

import gevent

from standins.grid import Grid, make_config
from standins.grid_callers import GridCaller
from tests.polling import expect_soon

# The operators' bound for drains, from the acknowledgement of the change.
BOUND_S = 3.0
# The observation ends as long after the bound.
OBSERVED_S = 2.0
CALL_INTERVAL_S = 0.1
READERS = 3


def list_reading(grid):
    return [vm for vm in grid.vms if grid.store.watching[vm.name]]


def test_vms_learn_of_a_removal_while_the_readers_of_the_store_start_again():
    """Guards against a removal that daemons never learn from those that started after it."""
    with Grid(vms=2, servers=1, domains=3) as grid:
        gevent.sleep(1.0)
        expect_soon(lambda: len(list_reading(grid)) == READERS)
        readers = list_reading(grid)
        others = [vm for vm in grid.vms if vm not in readers]
        grid.store.put("op/config", make_config(2))
        gevent.sleep(0.4)
        for vm in readers:
            vm.kill()
        gone, *_ = grid.list_servers("desk")
        grid.store.remove(f"servers/{gone.name}")
        acked_s = time.monotonic()
        for vm in readers:
            gevent.sleep(0.1)
            grid.start(vm)
        answers = []
        while time.monotonic() < acked_s + BOUND_S + OBSERVED_S:
            for vm in others:
                with GridCaller(vm) as caller:
                    answers.append(caller.ask("lookup", b"body"))
            gevent.sleep(CALL_INTERVAL_S)
        ids = {answer.id for answer in answers}
        delays_s = [at_s - acked_s for attempt_id, at_s in gone.arrivals if attempt_id in ids]
        assert [delay_s for delay_s in delays_s if delay_s > BOUND_S] == []
        assert len(answers) > 20 * len(others)
