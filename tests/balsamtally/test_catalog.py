"""Tests of the catalog: contract versions, added, draining and removed backend servers."""

import math

import pytest

from balsamtally.catalog import RETURN_GRACE_S, Catalog, Decoder
from balsamtally.records import Record, Update
from tests.balsamtally.scripted import make_backend, make_contracts, make_route


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def read_contracts(record):
    if record.key != "contracts":
        return None
    if not record.value.isdigit():
        raise ValueError("not a number")
    return make_contracts(make_route(), version=int(record.value))


def read_backend(name, value):
    if value.startswith(b"bad"):
        raise ValueError("not well formed")
    return make_backend(name, leaving=value.endswith(b"leaving"), born=int(value.split()[0]))


DECODER = Decoder(
    read_contracts, lambda key: key[2:] if key.startswith("s/") else None, read_backend
)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def catalog(clock):
    return Catalog(DECODER, clock)


def test_contracts_version_never_decreases_whatever_the_source(catalog):
    catalog.merge([Record("contracts", 5, b"7")], "platform")
    catalog.merge([Record("contracts", 9, b"6")], "peer")
    assert catalog.contracts.version == 7
    catalog.merge([Record("contracts", 10, b"broken")], "platform")
    assert catalog.contracts.version == 7
    catalog.merge([Record("contracts", 11, b"8")], "platform")
    assert catalog.contracts.version == 8


def test_malformed_entry_is_ignored_and_affects_no_other(catalog):
    catalog.merge([Record("s/a", 1, b"1"), Record("s/b", 2, b"bad"), Record("s/c", 3, b"1")], "p")
    assert [backend.name for backend in catalog.list_open("desk")] == ["a", "c"]
    catalog.merge([Record("s/a", 4, b"bad")], "p")
    assert [backend.name for backend in catalog.list_open("desk")] == ["c"]


@pytest.mark.parametrize("kind", [ValueError, RecursionError, OverflowError, KeyError, TypeError])
def test_record_whose_decoder_fails_in_any_way_costs_no_other_record(kind, clock):
    def refuse(name, value):
        if value == b"odd":
            raise kind("odd")
        return read_backend(name, value)

    def refuse_contracts(record):
        return refuse("", record.value) if record.value == b"odd" else read_contracts(record)

    decoder = Decoder(refuse_contracts, DECODER.read_backend_name, refuse)
    catalog = Catalog(decoder, clock)
    values = {"s/a": b"odd", "old": b"odd", "s/b": b"1", "contracts": b"7"}
    catalog.merge([Record(key, 1, value) for key, value in values.items()], "platform")
    assert [backend.name for backend in catalog.list_open("desk")] == ["b"]
    assert catalog.contracts.version == 7


def test_draining_and_removed_backend_servers_get_no_new_work(catalog):
    catalog.merge([Record("s/a", 1, b"1"), Record("s/b", 2, b"1")], "p")
    catalog.merge([Record("s/a", 3, b"1 leaving"), Record("s/b", 4, None)], "p")
    assert catalog.list_open("desk") == []
    assert "a" in catalog.backends and "b" not in catalog.backends


def test_entry_that_comes_and_goes_within_an_update_is_reported(catalog, clock):
    reported, missed = [], []
    catalog.on_backends = lambda backends: reported.append({backend.name for backend in backends})
    catalog.on_missed = missed.append
    catalog.merge([Record("s/a", 1, b"1"), Record("contracts", 2, b"7")], "p", 2)
    catalog.merge([Record("s/b", 3, b"1"), Record("s/b", 4, None)], "p", 4)
    catalog.merge([Record("contracts", 5, b"8")], "p", 5)
    assert reported == [{"a"}, {"a", "b"}, {"a"}] and not missed
    catalog.start_removal_grace()
    catalog.merge([Record("s/a", 6, None)], "p", 6)
    clock.now += RETURN_GRACE_S
    catalog.remove_lapsed()
    assert reported[3:] == [{"a"}, set()] and not missed


def test_entries_that_may_have_come_and_gone_unseen_are_reported(catalog, clock):
    missed = []
    catalog.on_missed = missed.append
    catalog.merge_listing([Record("s/a", 1, b"1"), Record("s/b", 2, b"bad")], 2, "platform")
    catalog.merge([Record("s/b", 3, None)], "p", 3)
    assert not missed
    catalog.merge([Record("s/c", 4, None)], "p", 4)
    assert missed == [math.inf]
    clock.now += 5.0
    catalog.merge_update(Update(5, [Record("contracts", 5, b"7")], age_ms=0, since=4), "peer")
    assert missed[1:] == []
    clock.now += 4.0
    catalog.merge_update(Update(6, [Record("s/a", 6, b"2")], age_ms=0, since=5), "peer")
    assert missed[1:] == [4.0]
    clock.now += 3.0
    catalog.merge_listing([Record("s/a", 6, b"2")], 9, "platform")
    assert missed[2:] == [3.0]


def test_marking_an_earlier_incarnation_has_no_effect(catalog):
    catalog.merge([Record("s/a", 1, b"1")], "p")
    before = catalog.backends["a"]
    catalog.merge([Record("s/a", 2, b"2")], "p")
    catalog.mark_leaving(before, "test")
    assert len(catalog.list_open("desk")) == 1


def test_announced_departure_outlasts_an_older_ready_entry_and_ends_with_the_incarnation(catalog):
    catalog.merge([Record("s/a", 1, b"1")], "p")
    assert catalog.record_departure(("a", 1), "its answer")
    assert not catalog.record_departure(("a", 1), "a peer")
    catalog.merge([Record("s/a", 2, b"1 ready")], "p")
    catalog.merge([Record("s/a", 3, None)], "p")
    catalog.merge([Record("s/a", 4, b"1")], "p")
    assert catalog.list_open("desk") == []
    assert catalog.list_departures() == (("a", 1),)
    catalog.merge([Record("s/a", 5, b"2")], "p")
    assert len(catalog.list_open("desk")) == 1
    assert catalog.list_departures() == ()


def test_departure_that_arrives_before_the_entry_holds(catalog):
    catalog.record_departure(("a", 1), "a peer")
    catalog.merge([Record("s/a", 1, b"1")], "p")
    assert catalog.list_open("desk") == []
    assert not catalog.record_departure(("b", 0), "its start isn't known")


def test_entries_that_expired_during_an_outage_have_two_seconds_to_be_renewed(catalog, clock):
    catalog.merge([Record("s/a", 1, b"1"), Record("s/b", 2, b"1")], "p")
    catalog.start_removal_grace()
    catalog.merge([Record("s/a", 3, None), Record("s/b", 4, None)], "p")
    assert len(catalog.list_open("desk")) == 2
    catalog.merge([Record("s/a", 5, b"1")], "p")
    clock.now += RETURN_GRACE_S
    catalog.remove_lapsed()
    assert [backend.name for backend in catalog.list_open("desk")] == ["a"]
    catalog.merge([Record("s/a", 6, None)], "p")
    assert catalog.list_open("desk") == []


def test_grace_period_of_a_peer_is_at_most_that_after_an_outage(catalog, clock):
    catalog.merge([Record("s/a", 1, b"1")], "p")
    catalog.merge_update(Update(2, [Record("s/a", 2, None)], 1e9), "peer")
    clock.now += RETURN_GRACE_S
    catalog.remove_lapsed()
    assert catalog.list_open("desk") == []


def test_removal_is_learnt_from_a_peer_that_started_after_it(catalog, clock):
    """Guards against a removal that is lost as the readers of the platform start again."""
    listed = [Record("s/a", 1, b"1"), Record("s/b", 2, b"1")]
    catalog.merge_listing(listed, 2, "platform")
    started = Catalog(DECODER, clock)
    started.merge_listing(listed[1:], 3, "platform")
    started.merge([Record("s/c", 4, b"1")], "platform", 4)
    update = started.make_update(*reversed(catalog.records.position))
    assert update.since == 0 and [record.key for record in update.records] == ["s/c"]
    catalog.merge_update(update, "peer")
    assert set(catalog.backends) == {"b", "c"} and catalog.records.complete_revision == 4
    # Later changes are told one by one again.
    started.merge([Record("s/b", 5, None)], "platform", 5)
    update = started.make_update(*reversed(catalog.records.position))
    assert (update.since, update.unchanged_keys) == (4, [])
    catalog.merge_update(update, "peer")
    assert set(catalog.backends) == {"c"}


def test_late_answer_of_a_peer_brings_no_removed_backend_server_back(catalog, clock):
    """Guards against a server that a fresh VM learns from a peer after it listed the platform."""
    peer = Catalog(DECODER, clock)
    peer.merge_listing([Record("s/a", 1, b"1"), Record("s/b", 2, b"1")], 2, "platform")
    late = peer.make_update(0, 0)
    catalog.merge_listing([Record("s/b", 2, b"1")], 3, "platform")
    catalog.merge_update(late, "peer")
    assert set(catalog.backends) == {"b"} and catalog.records.complete_revision == 3


def test_update_that_begins_after_the_known_revision_is_refused(catalog):
    """Guards against a peer's answer whose gap would count as known."""
    catalog.merge_listing([Record("s/a", 1, b"1")], 2, "platform")
    catalog.merge_update(Update(9, [], since=5), "peer")
    assert catalog.records.complete_revision == 2


def test_update_of_a_former_era_does_not_make_the_records_recent(catalog, clock):
    """Guards against a VM that doesn't read the platform since a peer behind it seems current."""
    catalog.merge_listing([Record("s/a", 1, b"1", 2)], 1, "platform", 2)
    clock.now += 9.0
    catalog.merge_update(Update(9, [], era=1, age_ms=0, since=0), "peer")
    assert catalog.age_s == 9.0 and catalog.records.position == (2, 1)


def test_route_with_the_longest_prefix_is_found():
    contracts = make_contracts(
        make_route(name="short"), make_route(name="long", path_prefix="/a/b/"), make_route(host="x")
    )
    assert contracts.find_route("host.example", "/a/b/c").name == "long"
    assert contracts.find_route("host.example", "/a/b").name == "short"
    assert contracts.find_route("host.example", "/b/") is None
