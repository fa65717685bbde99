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
    SMALL_SHARE,
    STALL_S,
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


def receive(account, size, evicted):
    """Return the holding of a body that is being received."""
    holding = Holding(account, on_evict=lambda: evicted.append(holding))
    holding.resize(size)
    holding.is_evictable = True
    return holding


def test_small_bodies_are_refused_when_very_many_hold_more_than_the_account(account):
    """Guards against 500 bodies of 16 KB each, of which none counts as large."""
    with pytest.raises(TooManyRequests) as refusal:
        for _ in range(LIMIT):
            hold(account, SMALL_BYTES)
    assert refusal.value.outcome is Outcome.NOT_RUN
    assert LIMIT < account.used_bytes <= SMALL_SHARE * LIMIT


def test_input_read_ahead_takes_the_room_of_bodies(account):
    """Guards against input that is held but not counted."""
    inbox = Holding(account)
    inbox.record(FOR_BODIES)
    with pytest.raises(TooManyRequests):
        hold(account, SMALL_BYTES + 1)
    inbox.record(0)
    hold(account, SMALL_BYTES + 1)


def test_largest_stalled_body_makes_room_for_another(account):
    """Guards against bodies that are never completed and keep others out until their time-out."""
    evicted = []
    small, large = (receive(account, size, evicted) for size in (100_000, 600_000))
    account._clock.now_s += STALL_S + 0.1
    moving = receive(account, 40_000, evicted)
    with pytest.raises(TooManyRequests):
        hold(account, 200_000)
    assert evicted == [large] and account.evicted == 1
    assert small.is_evictable and moving.is_evictable and not large.is_evictable


def test_body_that_arrives_by_single_bytes_is_stalled_and_one_at_a_usual_pace_is_not(account):
    """Guards against a body that is kept from eviction by a byte now and then."""
    evicted = []
    slow, usual = (receive(account, 300_000, evicted) for _ in range(2))
    for _ in range(20):
        account._clock.now_s += STALL_S / 4
        slow.progress(1)
        usual.progress(50_000)
    with pytest.raises(TooManyRequests):
        hold(account, 700_000)
    assert evicted == [slow]
