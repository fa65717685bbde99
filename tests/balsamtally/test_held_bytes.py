"""The account of held bytes: who is refused, who goes on, and that nothing stays counted."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtally.errors import AnswerTooLarge, Outcome, TooManyRequests
from balsamtally.held_bytes import (
    ANSWER_FACTOR,
    MAX_RETURN_S,
    RESERVE_SHARE,
    SMALL_BYTES,
    HeldBytes,
    Holding,
    find_limit,
)

LIMIT = 1_000_000
FOR_BODIES = int((1 - RESERVE_SHARE) * LIMIT)
FOR_ANSWERS = int(LIMIT / ANSWER_FACTOR)


class Clock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def account():
    return HeldBytes(LIMIT, Clock())


def hold(account, size, backend=""):
    holding = Holding(account, backend)
    holding.resize(size)
    return holding


def test_body_without_room_is_refused_as_not_run_and_has_room_after_a_release(account):
    first = hold(account, FOR_BODIES - 100_000)
    with pytest.raises(TooManyRequests) as refusal:
        hold(account, 200_000)
    assert refusal.value.outcome is Outcome.NOT_RUN and refusal.value.status == 503
    first.resize(0)
    hold(account, 200_000)


def test_small_bodies_and_answers_are_accepted_when_the_account_is_full(account):
    hold(account, FOR_BODIES)
    hold(account, SMALL_BYTES)
    hold(account, int(RESERVE_SHARE * LIMIT / ANSWER_FACTOR) - 1, "a")
    hold(account, SMALL_BYTES, "b")
    with pytest.raises(AnswerTooLarge):
        hold(account, SMALL_BYTES + 1, "b")


def test_backend_server_that_holds_the_most_loses_an_answer_and_others_go_on(account):
    full = int(FOR_BODIES / ANSWER_FACTOR)
    endless = [hold(account, full // 10, "endless") for _ in range(10)]
    other = hold(account, 50_000, "other")
    with pytest.raises(AnswerTooLarge) as error:
        endless[0].resize(full // 10 + 1)
    assert error.value.outcome is Outcome.RAN
    other.resize(60_000)
    with pytest.raises(AnswerTooLarge):
        other.resize(FOR_ANSWERS)


def test_bodies_leave_the_reserve_to_answers(account):
    hold(account, FOR_BODIES)
    hold(account, int(RESERVE_SHARE * LIMIT / ANSWER_FACTOR) - 1, "a")
    assert FOR_BODIES < account.used_bytes <= LIMIT


def test_callers_return_sooner_the_faster_bytes_are_released(account):
    held = hold(account, FOR_BODIES)
    assert MAX_RETURN_S <= account.estimate_return_s(500_000) <= 1.5 * MAX_RETURN_S
    held.resize(FOR_BODIES - 400_000)
    held.resize(FOR_BODIES)
    assert account.estimate_return_s(100_000) <= 0.75 + 0.01


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 2 * LIMIT)), max_size=60))
def test_nothing_stays_counted_and_the_limit_holds_but_for_small_items(steps):
    account = HeldBytes(LIMIT, Clock())
    names = ["", "", "a", "a", "b", "c"]
    holdings = [Holding(account, name) for name in names]
    small = len(names) * SMALL_BYTES * ANSWER_FACTOR
    for index, size in steps:
        try:
            holdings[index].resize(size)
        except (TooManyRequests, AnswerTooLarge):
            pass
        assert 0 <= account.used_bytes <= LIMIT + small
    for holding in holdings:
        with holding:
            pass
    assert account.used_bytes == 0 and not account._by_backend


def test_limit_follows_from_the_memory_of_the_machine():
    assert find_limit(150.0) == 2 * find_limit(75.0) > 0
