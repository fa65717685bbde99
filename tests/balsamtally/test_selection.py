"""Choice of a backend server by time to the first event, region and cached prefix."""

from collections import Counter
from random import Random

from balsamtally.selection import REGION_ROUND_TRIP_S, Candidate, choose, predict_first_event_s
from tests.balsamtally.scripted import make_backend


def make_candidate(name, at_home=True, **changes):
    return Candidate(make_backend(name, slots=64), at_home, **changes)


def test_no_candidates_give_no_choice():
    assert choose([], 1.0, 0, "s") is None


def test_one_session_goes_to_one_runner_and_sessions_spread():
    candidates = [make_candidate(name) for name in "abcd"]
    chosen = [choose(candidates, 1.0, 0, f"s{number}").backend.name for number in range(400)]
    assert choose(list(reversed(candidates)), 1.0, 0, "s7").backend.name == chosen[7]
    assert min(Counter(chosen).values()) > 60


def pick(*candidates, target_s=1.5, size_bytes=18_000):
    return choose(candidates, target_s, size_bytes, "s").backend.name


def test_call_stays_in_the_local_region_until_it_would_miss_its_target_there():
    far = make_candidate("f", at_home=False)
    assert pick(make_candidate("h", reading_tokens=10_000), far) == "h"
    assert pick(make_candidate("h", reading_tokens=80_000), far) == "f"
    assert pick(make_candidate("h", reading_tokens=80_000)) == "h"


def test_call_goes_to_a_cached_prefix_in_another_region_if_that_saves_more_than_the_transfer():
    far = make_candidate("f", at_home=False, fresh_tokens=2900)
    assert pick(make_candidate("h", fresh_tokens=6700), far) == "f"
    assert pick(make_candidate("h", fresh_tokens=3200), far) == "h"
    assert pick(make_candidate("h", fresh_tokens=6700), far, size_bytes=150_000) == "h"


def test_slow_and_loaded_runners_are_avoided():
    good = make_candidate("b", fresh_tokens=3000)
    assert pick(make_candidate("a", slow_factor=5.0, fresh_tokens=5000), good) == "b"
    assert pick(make_candidate("c", reading_tokens=50_000, fresh_tokens=2900), good) == "b"
    assert predict_first_event_s(make_candidate("f", at_home=False)) >= REGION_ROUND_TRIP_S


def test_burst_of_long_prompts_meets_the_target_more_often_than_with_random_choice():
    """A burst of 60 calls/s for 3 s with hot sessions, on six runners of three regions."""

    def simulate_burst(pick):
        random = Random(5)
        free_at = {name: 0.0 for name in "abcdef"}
        held = {name: set() for name in "abcdef"}
        waits = []
        for number in range(180):
            now = number / 60
            session = f"s{min(random.randrange(40), random.randrange(40))}"
            candidates = [
                make_candidate(
                    name,
                    at_home=name in "ab",
                    reading_tokens=int(max(0.0, free - now) * 40_000),
                    fresh_tokens=2900 + (0 if session in held[name] else 3800),
                )
                for name, free in free_at.items()
            ]
            chosen = pick(candidates, session, random)
            name = chosen.backend.name
            start = max(now, free_at[name])
            free_at[name] = start + chosen.fresh_tokens / 40_000
            held[name].add(session)
            waits.append(free_at[name] - now)
        return sum(wait <= 1.5 for wait in waits) / len(waits)

    chosen_by_cost = simulate_burst(
        lambda candidates, session, random: choose(candidates, 1.5, 18_000, session)
    )
    naive = simulate_burst(lambda candidates, session, random: random.choice(candidates[:2]))
    assert chosen_by_cost >= 0.95 > naive
