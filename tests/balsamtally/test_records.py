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


def test_change_after_a_restoration_replaces_what_was_kept_whatever_its_sequence():
    held = Records(lambda key, value: (int(value),))
    held.merge([Record("a", 20, b"5")])
    held.merge_listing([Record("a", 7, b"3", 1)], at=9, era=1)
    assert [r.value for r in held.list_since(0)] == [b"5"]
    assert held.merge([Record("a", 10, b"4", 1)])
    assert [(r.position, r.value) for r in held.list_since(9)] == [((1, 10), b"4")]


def test_key_that_two_restorations_lost_returns_with_its_last_value():
    held = Records(lambda key, value: (int(value),))
    held.merge([Record("a", 11, b"1")])
    assert held.merge_listing([], at=10, era=1)
    assert not held.merge_listing([], at=10, era=2)
    assert held.merge([Record("a", 11, b"1", 3)])


def test_record_of_a_former_era_is_ignored():
    held = Records()
    held.merge_listing([Record("a", 3, b"1", 2)], at=5, era=2)
    assert held.merge([Record("b", 900, b"1", 1)]) == []
    assert held.merge_listing([Record("b", 900, b"1", 1)], at=900, era=1) == []
    assert held.position == (2, 5)
