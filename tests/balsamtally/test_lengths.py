"""Tests of the learnt lengths of answers, against sorted samples."""

import random

import pytest

from balsamtally.lengths import SAMPLES_PER_SKETCH, LengthStatistics


@pytest.mark.parametrize("seed", range(5))
def test_estimates_match_sorted_samples(seed):
    draw = random.Random(seed)
    book = LengthStatistics()
    samples = sorted(int(draw.lognormvariate(5, 1)) + 1 for _ in range(1500))
    for tokens in draw.sample(samples, len(samples)):
        book.observe("live", tokens, 2.0)
    for quantile in (0.1, 0.5, 0.95):
        exact = samples[int(quantile * (len(samples) - 1))]
        assert book.find_quantile("live", quantile) == pytest.approx(exact, rel=0.05)
    for generated in (10, 150, 600):
        longer = [tokens for tokens in samples if tokens > generated]
        exact = longer[len(longer) // 2] - generated
        assert book.estimate_remaining("live", generated) == pytest.approx(exact, rel=0.15)
    assert book.estimate_wait_s(ahead=9, slots=5) == pytest.approx(4.0)


def test_old_lengths_are_forgotten():
    book = LengthStatistics()
    for tokens in [1000] * SAMPLES_PER_SKETCH + [10] * 2 * SAMPLES_PER_SKETCH:
        book.observe("batch", tokens, 1.0)
    assert book.find_quantile("batch", 0.99) == pytest.approx(10, rel=0.05)
    assert book.estimate_remaining("batch", 5000) == 5000
