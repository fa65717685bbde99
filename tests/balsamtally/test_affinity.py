"""Tests of the prefix hints."""

import random

from balsamtally.affinity import HINT_S, PrefixHints, hash_prefix
from balsamtally.load import RunnerLoads, RunnerView
from balsamtally.messages import Ask


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def test_hints_match_caches_that_are_told_of_late_and_with_gaps():
    """A hint may lack what a cache holds; it names what it doesn't only until the next event."""
    draw = random.Random(3)
    clock = Clock()
    hints = PrefixHints(clock)
    caches = {name: set() for name in "ab"}
    for sequence in range(1, 400):
        clock.now += 1.0
        for name, cache in caches.items():
            block = draw.randrange(20)
            removed = {block} & cache
            cache ^= {block}
            if draw.random() < 0.9:
                hints.note_events(name, sequence, {block} - removed, removed)
                hints.note_events(name, sequence - 1, {block} ^ {99}, removed)
                for held in range(20):
                    if name in hints.match([held]):
                        assert held in cache
    assert any(hints.match([held]) for held in range(20))


def test_hint_is_the_longest_held_prefix_and_fades():
    clock = Clock()
    hints = PrefixHints(clock)
    hints.record_grant("a", [1, 2])
    hints.record_grant("b", [1, 2, 3, 4])
    assert hints.match([1, 2, 3, 9]) == {"a": 0.5, "b": 0.75}
    hints.forget_runner("b")
    assert hints.match([1, 2, 3, 9]) == {"a": 0.5}
    clock.now += HINT_S + 1
    assert hints.match([1, 2, 3, 9]) == {}


def test_memory_is_bounded():
    hints = PrefixHints(Clock(), max_blocks=10)
    for number in range(100):
        for runner in range(20):
            hints.record_grant(f"r{runner}", [number, -1])
    assert len(hints.blocks) == 10
    assert max(len(holders) for holders in hints.blocks.values()) == 4


def test_hint_breaks_ties_and_never_costs_a_target_or_much_load():
    loads = RunnerLoads()
    loads.set_views([RunnerView(name, 8) for name in "abc"], 0.0)
    loads.refresh(0.0, learning=False)
    ask = Ask("r", 1, "m", "ana", "live")
    assert loads.pick(ask, 1.0, {"c": 0.5}).runner == "c"
    loads.runners["c"].health.first_token_s = 2.0
    assert loads.pick(ask, 1.0, {"c": 0.5}).runner != "c"
    loads.runners["c"].health.first_token_s = 0.0
    for _ in range(3):
        loads.count_slot("c", 1, 0.0)
    pick = loads.pick(ask, 1.0, {"c": 0.5, "b": 0.1})
    assert (pick.runner, pick.reason) == ("b", "prefix")


def test_prompts_share_the_hashes_of_their_common_blocks():
    one, other = hash_prefix(b"a" * 600 + b"b" * 600), hash_prefix(b"a" * 600 + b"c" * 600)
    assert len(one) == len(other) == 4
    assert one[:2] == other[:2]
    assert not set(one[2:]) & set(other[2:])
