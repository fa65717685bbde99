"""Tests of the deterministic answers of the stand-ins."""

import statistics

from hypothesis import given
from hypothesis import strategies as st

from standins.answers import answer_length, answer_tokens, continue_answer, hash_blocks


@given(st.text(), st.integers(1, 300), st.data())
def test_answer_continues_at_any_offset(prompt, max_tokens, data):
    whole = "".join(answer_tokens(prompt))
    held = whole[: data.draw(st.integers(0, len(whole)))]
    rest, complete = continue_answer(prompt, held, max_tokens)
    assert whole.startswith(held + "".join(rest))
    assert complete == (held + "".join(rest) == whole)
    assert len(rest) <= max_tokens


def test_answers_differ_and_lengths_are_skewed():
    lengths = [answer_length(f"user: {number}") for number in range(2000)]
    assert statistics.mean(lengths) > 1.2 * statistics.median(lengths)
    assert len({"".join(answer_tokens(f"user: {number}", 3)) for number in range(2000)}) > 1990


def test_block_hash_covers_all_text_before_it():
    first = hash_blocks("a" * 256 + "c" * 300)
    second = hash_blocks("b" * 256 + "c" * 300)
    assert len(first) == 2
    assert not set(first) & set(second)
