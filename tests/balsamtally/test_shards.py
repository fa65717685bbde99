"""Tests of the sharding of a large pool among coordinators."""

import math
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from balsamtally.shards import (
    RUNNERS_PER_COORDINATOR,
    QueueView,
    divide_runners,
    list_coordinators,
    rank_coordinators,
)

VMS = [f"vm{number}" for number in range(40)]


@given(st.integers(1, 12), st.integers(0, 120))
def test_each_runner_has_one_coordinator_and_the_imbalance_is_bounded(count, runners):
    names = [f"r{number}" for number in range(runners)]
    divided = divide_runners("m", VMS[:count], names)
    assert sorted(name for part in divided.values() for name in part) == sorted(names)
    assert max(map(len, divided.values())) <= math.ceil(1.25 * runners / count)
    assert divide_runners("m", VMS[:count], names[::-1]) == divided


def test_small_pool_has_one_coordinator_and_a_growing_pool_keeps_its_coordinators():
    assert len(list_coordinators("m", VMS, 1)) == len(list_coordinators("m", VMS, 24)) == 1
    five = list_coordinators("m", VMS, 5 * RUNNERS_PER_COORDINATOR)
    six = list_coordinators("m", VMS, 5 * RUNNERS_PER_COORDINATOR + 1)
    assert six[:5] == five
    assert list_coordinators("m", [], 10) == []


def test_removed_coordinator_moves_few_runners_of_the_others():
    names = [f"r{number}" for number in range(200)]
    before = divide_runners("m", VMS[:9], names)
    after = divide_runners("m", VMS[:8], names)
    moved = sum(len(set(part) - set(after[name])) for name, part in before.items() if name in after)
    assert moved <= 0.1 * len(names)


def test_ask_goes_to_the_shorter_of_two_queues():
    coordinators = VMS[:8]
    views = {name: QueueView(0, 100) for name in coordinators}
    views["vm0"] = QueueView(50, 100)
    firsts = Counter(
        rank_coordinators(f"q{number}", coordinators, views)[0] for number in range(4000)
    )
    assert firsts["vm0"] == 0
    assert max(firsts.values()) <= 1.3 * 4000 / 7
    views["vm0"] = QueueView(50, 100, age_s=60.0)
    assert rank_coordinators("q", ["vm0"], views) == ["vm0"]
    asked = {rank_coordinators(f"q{number}", coordinators, views)[0] for number in range(200)}
    assert "vm0" in asked
    assert sorted(rank_coordinators("q", coordinators, {})) == sorted(coordinators)
