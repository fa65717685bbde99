"""Published records merge to the same result in any order, with repeats and stale ones."""

from hypothesis import given
from hypothesis import strategies as st

from balsamtally.records import Record, Records

RECORDS = st.lists(
    st.builds(
        Record, st.sampled_from("abc"), st.integers(1, 9), st.sampled_from([None, b"x", b"y"])
    ),
    max_size=12,
    unique_by=lambda record: (record.key, record.revision),
)


def list_state(records):
    return {r.key: (r.revision, r.value) for r in records.list_since(0)}


@given(RECORDS, st.randoms(use_true_random=False), st.integers(1, 4))
def test_merge_in_any_order_equals_the_newest_of_each_key(published, shuffler, size):
    expected = {}
    for record in sorted(published, key=lambda record: record.revision):
        expected[record.key] = (record.revision, record.value)
    mixed = published * 2
    shuffler.shuffle(mixed)
    held = Records()
    for start in range(0, len(mixed), size):
        held.merge(mixed[start : start + size])
    assert list_state(held) == expected
    assert held.complete_revision == 0


@given(RECORDS, st.integers(0, 9))
def test_what_a_peer_lacks_brings_it_up_to_date(published, since):
    whole, behind = Records(), Records()
    whole.merge(published)
    behind.merge([record for record in published if record.revision <= since])
    behind.merge(whole.list_since(since))
    assert list_state(behind) == list_state(whole)


def test_listing_removes_what_it_lacks_but_not_what_came_later():
    held = Records()
    held.merge([Record("a", 3, b"1"), Record("b", 4, b"1"), Record("c", 9, b"1")])
    changed = held.merge_listing([Record("a", 3, b"1")], at=7)
    assert changed == [Record("b", 7, None)]
    assert {r.key for r in held.list_since(0) if r.value is not None} == {"a", "c"}


def test_unchanged_value_is_no_change():
    held = Records()
    assert held.merge([Record("a", 1, b"1")])
    assert held.merge([Record("a", 2, b"1")]) == []
