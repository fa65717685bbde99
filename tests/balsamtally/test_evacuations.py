"""Evacuated failure domains: records in any order, restored stores, and the gradual return."""

import itertools

import pytest
from structlog.testing import capture_logs

from balsamtally.catalog import Catalog, Decoder
from balsamtally.evacuations import Evacuations
from balsamtally.health import SLOW_START_S
from balsamtally.platform.documents import DECODER
from balsamtally.records import Record
from tests.balsamtally.scripted import make_backend

KEY = "op/evacuate/north"


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def catalog(clock):
    catalog = Catalog(DECODER, clock)
    catalog.backends = {
        name: make_backend(name, domain=domain) for name, domain in (("a", "north"), ("b", "south"))
    }
    return catalog


def list_names(catalog):
    return [backend.name for backend in catalog.list_open("desk")]


def test_evacuated_servers_are_left_out_until_the_evacuation_ends(catalog):
    """Guards against new calls at an evacuated server, and one that never returns."""
    notices = []
    catalog.on_evacuation = lambda: notices.append(set(catalog.evacuated))
    with capture_logs() as logs:
        catalog.merge([Record(KEY, 1, b"{}")], "platform")
        assert list_names(catalog) == ["b"]
        catalog.merge([Record(KEY, 2, b'{"why": "heat"}')], "platform")
        catalog.merge([Record(KEY, 3, None)], "vm2")
    assert list_names(catalog) == ["a", "b"]
    assert notices == [{"north"}, set()]
    assert [(line["event"], line["domain"]) for line in logs] == [
        ("evacuation_begun", "north"),
        ("evacuation_ended", "north"),
    ]


def test_records_in_any_order_have_the_same_result(clock):
    """Guards against a relayed old record that ends or begins an evacuation again."""
    records = [
        Record(KEY, 1, b"{}"),
        Record(KEY, 2, None),
        Record(KEY, 3, b"{}"),
        Record("op/evacuate/south", 4, b"{}"),
        Record("op/evacuate/south", 5, None),
    ]
    for order in itertools.permutations(records):
        catalog = Catalog(DECODER, clock)
        for record in order:
            catalog.merge([record], "peer")
        assert catalog.evacuated == {"north"}


def test_listing_without_the_record_ends_the_evacuation(catalog):
    """Guards against a domain that stays closed since the removal itself was missed."""
    catalog.merge([Record(KEY, 5, b"{}")], "platform", 5)
    catalog.merge_listing([], 9, "platform")
    assert not catalog.evacuated


def test_later_era_without_the_record_ends_the_evacuation_and_an_old_relay_has_no_effect(catalog):
    """Guards against an evacuation that outlives the store it was written to."""
    catalog.merge([Record(KEY, 50, b"{}")], "platform", 50)
    catalog.merge_listing([Record("op/evacuate/south", 20, b"{}", 1)], 20, "platform", 1)
    assert catalog.evacuated == {"south"}
    catalog.merge([Record(KEY, 51, b"{}")], "peer of the former era")
    assert catalog.evacuated == {"south"}
    catalog.merge([Record(KEY, 21, b"{}", 1)], "platform", 21, 1)
    assert catalog.evacuated == {"north", "south"}


def test_vm_that_joins_learns_the_evacuation_from_a_peer(catalog, clock):
    """Guards against a new VM that sends to an evacuated domain while the store is down."""
    catalog.merge([Record(KEY, 5, b"{}")], "platform", 5)
    joined = Catalog(DECODER, clock)
    joined.merge_update(catalog.make_update(0, 0), "vm1")
    assert joined.evacuated == {"north"}


def test_end_of_an_evacuation_is_learnt_from_a_peer_that_started_after_it(catalog, clock):
    """Guards against a domain that stays closed once the readers of the platform started again."""
    catalog.merge_listing([Record(KEY, 5, b"{}")], 5, "platform")
    started = Catalog(DECODER, clock)
    started.merge_listing([], 6, "platform")
    catalog.merge_update(started.make_update(5, 0), "peer")
    assert not catalog.evacuated


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("op/evacuate/", b"{}"),
        ("op/evacuate/a/b", b"{}"),
        ("op/evacuate/a b", b"{}"),
        ("op/evacuate/" + 201 * "x", b"{}"),
        ("op/evacuate/south", b""),
        ("op/evacuate/south", b"[]"),
        ("op/evacuate/south", b"{"),
        ("op/evacuate/south", b"\xff"),
        ("op/evacuate/south", b"[" * 100_000),
    ],
)
def test_malformed_record_is_logged_and_changes_no_other(catalog, key, value):
    """Guards against a mistyped record that evacuates a domain or stops the others."""
    with capture_logs() as logs:
        catalog.merge([Record(key, 1, value), Record(KEY, 2, b"{}")], "platform")
    assert catalog.evacuated == {"north"}
    assert [line["key"] for line in logs if line["event"] == "evacuation_refused"] == [key]


def test_malformed_value_leaves_the_state_as_it_was(catalog):
    """Guards against a mistyped value that opens an evacuated domain."""
    catalog.merge([Record(KEY, 1, b"{}")], "platform")
    catalog.merge([Record(KEY, 2, b"{")], "platform")
    assert catalog.evacuated == {"north"}
    catalog.merge([Record(KEY, 3, None)], "platform")
    assert not catalog.evacuated


def test_slots_of_a_returning_domain_grow(clock):
    """Guards against all calls at cold servers as soon as their domain returns."""
    evacuations = Evacuations(clock)
    evacuations.begin("north", 1, "platform")
    assert evacuations.limit_slots("north", 64) is None
    evacuations.end("north", 2, "platform")
    limits = []
    while (limit := evacuations.limit_slots("north", 64)) is not None:
        limits.append(limit)
        clock.now += SLOW_START_S / 8
    assert limits == [1, 8, 16, 24, 32, 40, 48, 56]
    assert evacuations.limit_slots("south", 64) is None


def test_domain_that_is_evacuated_again_begins_its_return_anew(clock):
    """Guards against a second return that is cut short by the first one."""
    evacuations = Evacuations(clock)
    for _ in range(2):
        evacuations.begin("north", 1, "platform")
        evacuations.end("north", 2, "platform")
        assert evacuations.limit_slots("north", 64) == 1
        clock.now += SLOW_START_S / 2


def test_decoder_without_evacuations_changes_nothing(clock):
    """Guards against an adapter that must know of evacuations."""
    catalog = Catalog(Decoder(lambda record: None, lambda key: None, None), clock)
    catalog.merge([Record(KEY, 1, b"{}")], "platform")
    assert not catalog.evacuated
