"""Speeds of engines are learnt from answers and bounded."""

from hypothesis import given
from hypothesis import strategies as st

from balsamtally.speeds import (
    MIN_TOKENS,
    OVERHEAD_S,
    TOKEN_READING_S_BOUNDS,
    TOKENS_PER_S_BOUNDS,
    EngineSpeed,
)


def test_speed_comes_near_what_the_answers_show():
    speed = EngineSpeed()
    for number in range(100):
        tokens = 9_000 + 100 * number
        speed.note_first_event(tokens, tokens / 50_000 + OVERHEAD_S)
        speed.record_longest_gap(0.115, 5)
    assert abs(speed.tokens_per_s - 50_000) < 1_000
    assert abs(speed.token_reading_s - 0.023) < 0.001


def test_short_prompts_and_calm_streams_tell_nothing():
    speed = EngineSpeed()
    before = (speed.tokens_per_s, speed.token_reading_s)
    for _ in range(100):
        speed.note_first_event(MIN_TOKENS - 1, 0.05)
        speed.note_first_event(MIN_TOKENS, 0.01)
        speed.record_longest_gap(0.02, 5)
        speed.record_longest_gap(2.0, 5)
        speed.record_longest_gap(0.115, 0)
    assert (speed.tokens_per_s, speed.token_reading_s) == before


@given(st.lists(st.tuples(st.integers(0, 10**6), st.floats(0, 100), st.integers(0, 9))))
def test_speed_stays_within_its_bounds(answers):
    speed = EngineSpeed()
    for tokens, took_s, stride in answers:
        speed.note_first_event(tokens, took_s)
        speed.record_longest_gap(took_s, stride)
    assert TOKENS_PER_S_BOUNDS[0] <= speed.tokens_per_s <= TOKENS_PER_S_BOUNDS[1]
    assert TOKEN_READING_S_BOUNDS[0] <= speed.token_reading_s <= TOKEN_READING_S_BOUNDS[1]
