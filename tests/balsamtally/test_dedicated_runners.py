"""Runners kept for streams with a close bound: the load of long prompts beside live answers."""

from random import Random

import pytest

from balsamtally.dedicated_runners import (
    CLOSE_LATE_SHARE,
    FILL_SHARE,
    KEEP_S,
    LATE_HALF_LIFE_S,
    MAX_KEPT_SHARE,
    READING_SHARE,
    Streams,
    choose_kept,
    count_kept,
    expect_late_share,
    find_most_streams,
    find_pools,
    is_close,
    narrow,
)
from balsamtally.selection import Candidate, choose
from tests.balsamtally.scripted import make_backend

# The users' sheet: a step takes 5.2 ms, 49.6 tokens are read in a millisecond, up to 1,024 in a
# step; an event of a stream holds 3 tokens, and a pause of 120 ms is on time.
STEP_S, TOKENS_PER_S, CHUNK_TOKENS, EVENT_TOKENS, GAP_S = 0.0052, 49_600, 1024, 3, 0.12
# Reading with the attention on what was read before; the longest prompts have 50,000 tokens.
PAIR_S = 0.37e-9


def make_candidate(name, at_home=True, slots=64, **changes):
    return Candidate(make_backend(name, slots=slots), at_home, **changes)


def test_closest_bound_of_a_service_is_close_if_streams_beside_prompts_pause_for_longer():
    assert is_close(0.12, 0.12, 0.06) and is_close(0.14, 0.12, 0.06)
    assert not is_close(0.12, 0.12, 0.05)
    assert not is_close(0.2, 0.12, 0.9)
    # A stream without a bound has no close one.
    assert not is_close(0.0, 0.12, 0.9)


def test_pauses_are_expected_by_the_tokens_of_an_event_until_streams_tell():
    assert expect_late_share(0.12, EVENT_TOKENS, 0.034) > CLOSE_LATE_SHARE
    # The Board's sheet, whose pauses stay within their bound beside prompts of any length.
    assert not expect_late_share(0.2, 4, 0.036)
    assert not expect_late_share(0.2, EVENT_TOKENS, 0.034)
    assert not expect_late_share(0.12, 0, 0.034)


@pytest.mark.parametrize("late", [True, False])
def test_what_streams_beside_prompts_tell_goes_before_what_was_expected(late):
    """A mean of all streams forgot what prompts do as soon as streams were kept apart from them."""
    streams = Streams()
    assert streams.find_late_share(100.0, 0.2) == 0.2
    for _ in range(60):
        streams.note_pause(late, 100.0)
    assert (streams.find_late_share(100.0, 0.2) > CLOSE_LATE_SHARE) == late
    assert (streams.find_late_share(100.0 + LATE_HALF_LIFE_S, 0.2) > CLOSE_LATE_SHARE) == late
    # It is tried again in the end.
    assert streams.find_late_share(100.0 + 5 * LATE_HALF_LIFE_S, 0.2) < CLOSE_LATE_SHARE


def test_runners_are_kept_by_need_up_to_a_share():
    assert count_kept(0, 10, 12) == 0
    assert count_kept(1, 10, 12) == 1
    assert count_kept(11, 10, 12) == 2
    assert count_kept(50, 10, 6) == count_kept(50, 10, 3) == 1
    assert count_kept(10_000, 10, 50) == int(50 * MAX_KEPT_SHARE)
    assert count_kept(5, 10, 2) == 0


def test_runner_is_given_no_more_streams_than_slots_and_their_own_prompts_allow():
    assert find_most_streams(16, 1.3, 0.013) == 16 * FILL_SHARE
    assert find_most_streams(64, 1.0, 0.03) == pytest.approx(READING_SHARE / 0.03)
    assert find_most_streams(64, 0.1, 10.0) == 1
    assert find_most_streams(64, 1.0, 0.0) == 64 * FILL_SHARE
    streams = Streams()
    streams.note_call(1_500, 170)
    assert streams.find_most(64, 50_000) == find_most_streams(64, 170 * 0.006, 0.03)


def test_all_entry_vms_keep_the_same_runners_whatever_they_see_of_loads():
    names = [f"r{number}" for number in range(12)]
    one = [make_candidate(name) for name in names]
    two = [make_candidate(name, running=9, close=3) for name in reversed(names)]
    assert choose_kept("desk", one, 20, 20) == choose_kept("desk", two, 20, 20)
    assert choose_kept("desk", one, 20, 20) <= choose_kept("desk", one, 40, 20)
    assert len(choose_kept("desk", one, 40, 20)) == 2


def test_each_large_region_keeps_runners_and_small_ones_keep_them_together():
    north = [make_candidate(f"n{number}", region="north") for number in range(6)]
    south = [make_candidate(f"s{number}", False, region="south") for number in range(5)]
    east = [make_candidate(f"e{number}", False, region="east") for number in range(2)]
    west = [make_candidate(f"w{number}", False, region="west") for number in range(3)]
    pools = find_pools([*north, *west, *south, *east])
    assert pools == {"north": north, "south": south, "": [*west, *east]}
    assert find_pools(north) == {"north": north}
    assert find_pools([]) == {}
    assert choose_kept("desk", [], 5, 10) == set()


def test_streams_spread_evenly_over_kept_runners():
    runners = [make_candidate("a", running=5), make_candidate("b", running=2)]
    assert narrow([*runners, make_candidate("c")], {"a", "b"}, {"a", "b"}, True) == [runners[1]]


@pytest.mark.parametrize("close", [True, False])
def test_calls_are_kept_apart_unless_no_runner_would_be_left(close):
    candidates = [make_candidate("a", slots=16), make_candidate("b", slots=16)]
    assert {one.backend.name for one in narrow(candidates, {"a"}, {"a"}, close)} == {
        "a" if close else "b"
    }
    assert narrow(candidates, {"a", "b"}, {"a"}, False) == candidates


def test_stream_goes_to_the_runners_kept_in_its_region():
    candidates = [make_candidate("a"), make_candidate("b"), make_candidate("c")]
    assert narrow(candidates, {"a", "b"}, {"b"}, True) == [candidates[1]]
    assert narrow(candidates, {"a", "b"}, {"b"}, False) == [candidates[2]]


def test_stream_goes_beyond_kept_runners_without_a_free_slot():
    full = make_candidate("a", slots=16, running=16)
    free = make_candidate("b", slots=16)
    assert free in narrow([full, free], {"a"}, {"a"}, True)


def test_peak_lasts_over_a_short_lull():
    streams = Streams()
    assert streams.note_running("north", 12, 0.0) == 12
    assert streams.note_running("north", 3, 1.0) == 12
    assert streams.note_running("south", 3, 1.0) == 3
    assert streams.note_running("north", 0, KEEP_S + 0.1) == 0


def play_streams(keep):
    """Return the part of live streams without a pause over their bound, and of prompts in time.

    Six runners get 15 long prompts a second, 40% of them read from the start, and 20 live streams
    of 170 tokens a second, for 12 s: the burst of a loaded day.
    """
    random = Random(3)
    names = "abcdef"
    reads = {name: [] for name in names}
    free_at = dict.fromkeys(names, 0.0)
    streams, prompts = [], []
    events = [(random.uniform(0, 12), False) for _ in range(180)]
    events += [(random.uniform(0, 12), True) for _ in range(240)]
    for now, live in sorted(events):
        candidates = [
            make_candidate(
                name,
                reading_tokens=int(max(0.0, free_at[name] - now) * TOKENS_PER_S),
                fresh_tokens=1_100 if live else 0,
                close=sum(end > now for at, end, held in streams if held == name),
            )
            for name in names
        ]
        if keep:
            running = sum(one.close for one in candidates) + live
            most = find_most_streams(64, 170 * 0.0065, 1_100 / TOKENS_PER_S)
            kept = choose_kept("desk", candidates, running, most)
            candidates = narrow(candidates, kept, kept, live)
        tokens = 1_100 if live else random.choice([3_700, 3_700, 3_700, 17_000, 40_000])
        name = choose(candidates, 0.4 if live else 2.0, 0, str(now)).backend.name
        begin = now if live else max(now, free_at[name])
        end = begin + tokens * (1 / TOKENS_PER_S + tokens / 2 * PAIR_S)
        if live:
            streams.append((end, end + 170 * 0.0065, name))
        else:
            free_at[name] = end
            prompts.append(end - now <= 2.0)
        reads[name].append((begin, end, tokens))
    fine = 0
    for begin, end, name in streams:
        beside = [tokens for at, until, tokens in reads[name] if at < end and until > begin]
        worst = max(
            (tokens for tokens in beside if tokens > CHUNK_TOKENS * EVENT_TOKENS), default=0
        )
        chunk_s = CHUNK_TOKENS * (1 / TOKENS_PER_S + worst * PAIR_S)
        # Steps vary by a fifth with what runs beside.
        fine += not worst or EVENT_TOKENS * (STEP_S + chunk_s) * random.uniform(1.0, 1.2) <= GAP_S
    return fine / len(streams), sum(prompts) / len(prompts)


def weigh_answers(on_time, worth, late_worth):
    return on_time * worth + (1 - on_time) * late_worth


def test_live_streams_beside_a_burst_of_long_prompts_keep_their_pauses():
    """The users want pauses within their bound for 95 in 100."""
    kept_streams, kept_prompts = play_streams(keep=True)
    naive_streams, naive_prompts = play_streams(keep=False)
    assert kept_streams >= 0.95 > naive_streams
    # What the users' sheet pays for live answers and long prompts, on time and late.
    kept = 240 * weigh_answers(kept_streams, 1.5, 0.22) + 180 * weigh_answers(
        kept_prompts, 1.6, 0.82
    )
    naive = 240 * weigh_answers(naive_streams, 1.5, 0.22)
    assert kept > naive + 180 * weigh_answers(naive_prompts, 1.6, 0.82)
