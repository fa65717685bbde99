"""Even load of the servers of a plain service, and a replay of it with up to 340 entry VMs."""

from random import Random

import pytest

from balsamtally.balancing import (
    CallTimes,
    choose_evenly,
    divide_calls,
    estimate_busy,
    find_full_s,
    make_call_times,
    measure_imbalance,
    update_call_s,
)
from balsamtally.selection import Candidate
from tests.balsamtally.balancing_world import Replay, Scenario
from tests.balsamtally.scripted import make_backend

TIMES = CallTimes(0.09)
# Before calls were drawn by free slots, operators saw 1.2 to 1.6 over a whole day.
MAX_DAY_RATIO = 1.2
# Largest share of calls whose two attempts both find a full server while a third of all slots is
# free. No published figure exists; one in 20 is chosen.
MAX_REFUSED_SHARE = 0.05
VMS = (9, 78, 195, 340)


def make_server(name, running=0, at_home=True, slots=6, **changes):
    return Candidate(make_backend(name, slots=slots), at_home, running, **changes)


def pick(*candidates, target_s=0.5, times=TIMES, draw=0.5):
    return choose_evenly(candidates, target_s, 500, times, draw).backend.name


def test_no_candidates_give_no_choice():
    assert choose_evenly([], 1.0, 0, TIMES, 0.5) is None


def test_calls_are_divided_so_that_all_servers_come_to_the_same_utilization():
    assert divide_calls([1, 3, 3], [6, 6, 6], 1) == [1.0, 0.0, 0.0]
    assert divide_calls([0, 2, 9], [6, 6, 6], 4) == [0.75, 0.25, 0.0]
    assert divide_calls([0, 0], [6, 12], 6) == pytest.approx([1 / 3, 2 / 3])
    random = Random(3)
    for _ in range(300):
        count = random.randint(1, 8)
        busy = [random.uniform(0, 9) for _ in range(count)]
        slots = [random.randint(1, 9) for _ in range(count)]
        calls = random.uniform(0.01, 40)
        parts = divide_calls(busy, slots, calls)
        assert sum(parts) == pytest.approx(1.0) and min(parts) >= 0.0
        ends = [taken + part * calls for taken, part in zip(busy, parts, strict=True)]
        level = max(end / size for end, size, part in zip(ends, slots, parts, strict=True) if part)
        for end, size, part in zip(ends, slots, parts, strict=True):
            assert end / size == pytest.approx(level) if part else end / size >= level - 1e-9


def test_known_calls_give_the_idlest_server_and_announced_ones_a_draw():
    """Guards against all VMs sending to the one server that seemed idlest a moment ago."""
    for draw in (0.0, 0.5, 0.999):
        assert pick(make_server("a", 3), make_server("b", 1), draw=draw) == "b"
    told = [make_server("a", 3, told=3), make_server("b", 2, told=2)]
    assert {pick(*told, draw=draw) for draw in (0.1, 0.9)} == {"a", "b"}


def test_servers_of_another_region_get_calls_only_if_the_own_have_no_free_slot():
    far = make_server("f", 0, at_home=False)
    assert pick(make_server("h", 5), far) == "h"
    assert pick(make_server("h", 6), far) == "f"
    assert pick(make_server("h", 6), far, target_s=0.03) == "h"
    assert pick(make_server("h", 7), make_server("g", 6), make_server("f", 6, False)) in "gf"


def test_slow_and_cold_servers_get_calls_only_if_others_have_no_free_slot():
    for other in (make_server("o", slow_factor=4.0), make_server("o", cold=True)):
        assert pick(make_server("w", 5), other) == "w"
        assert pick(make_server("w", 6), other) == "o"


def test_calls_on_their_way_take_no_slot():
    assert estimate_busy(make_server("a", 5, far=5), TIMES) == pytest.approx(3.0)
    assert estimate_busy(make_server("a", 4), make_call_times(0.02, True)) == pytest.approx(2.0)


def test_time_per_call_is_learnt_without_the_way_between_regions():
    near = far = 0.05
    for _ in range(200):
        near, far = update_call_s(near, 0.09, False), update_call_s(far, 0.15, True)
    assert near == pytest.approx(far, abs=0.001) == pytest.approx(0.09, abs=0.001)
    assert find_full_s(0.09, 6) == pytest.approx(0.015)


def test_imbalance_is_one_for_idle_and_even_servers():
    assert measure_imbalance([]) == measure_imbalance([0, 0]) == measure_imbalance([2, 2]) == 1.0
    assert measure_imbalance([3, 1, 2]) == 1.5


@pytest.mark.parametrize("call_s", [0.09, 0.0225])
def test_coordinated_vms_load_servers_evenly_and_calls_find_slots(call_s):
    """Guards against servers that are full in turn while others idle, at two thirds of the slots.

    Of 1,000 calls 204 (90 ms) and 229 (23 ms) were refused before, after two attempts.
    """
    result = Replay(Scenario(vms=78, call_s=call_s, time_s=3.0)).run()
    assert result.day_ratio <= MAX_DAY_RATIO
    assert result.refused <= MAX_REFUSED_SHARE * result.calls


def test_error_does_not_grow_with_the_number_of_vms_that_choose_alone():
    """Guards against a choice that many VMs make alike from the same announcements."""
    results = [Replay(Scenario(vms, coordinated=False, time_s=3.0)).run() for vms in VMS]
    assert all(result.day_ratio <= MAX_DAY_RATIO for result in results)
    assert all(result.refused <= MAX_REFUSED_SHARE * result.calls for result in results)


def test_most_calls_stay_in_their_region_while_it_has_free_slots():
    result = Replay(Scenario(vms=78, load=0.5, time_s=3.0)).run()
    assert result.remote <= 0.1 * result.calls
