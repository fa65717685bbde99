"""Tests of rendezvous hashing."""

from hypothesis import given
from hypothesis import strategies as st

from balsamtally.rendezvous import rank_members


@given(st.text(max_size=8), st.sets(st.text(max_size=4), min_size=2, max_size=9), st.data())
def test_lost_member_moves_only_its_own_tasks(task, members, data):
    ranked = rank_members(task, members)
    lost = data.draw(st.sampled_from(ranked))
    assert rank_members(task, members - {lost}) == [name for name in ranked if name != lost]
