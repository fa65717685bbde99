"""Tests of reading the store under each fault that its stand-in simulates."""

import gevent
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from structlog.testing import capture_logs

from balsamtally.catalog import Catalog
from balsamtally.clocks import boottime
from balsamtally.platform import store as reader
from balsamtally.platform.documents import DECODER
from balsamtally.readers import PlatformReadState, make_read_times
from balsamtally.sockets import parse_address
from standins.fleet import find_addresses
from standins.store import PAGE_ITEMS, Store
from tests.balsamtally.platform.test_documents import CONFIG, SERVER, encode
from tests.polling import expect_soon

VALUES = st.none() | st.booleans() | st.integers() | st.text("a\u0416=+", max_size=4)
FIELDS = st.sampled_from(["key", "revision", "value", "removed", "other"])


def make_documents(values):
    return st.dictionaries(FIELDS, values, max_size=5) | st.lists(values, max_size=2)


def draw_address():
    [address] = find_addresses(1)
    return parse_address(address)


@pytest.fixture
def store():
    with Store(draw_address()) as store:
        store.put("op/config", CONFIG)
        store.put("servers/a", SERVER)
        yield store


@pytest.fixture
def catalog(store):
    catalog = Catalog(DECODER)
    with reader.Store(store.address, catalog, random_source=lambda low, high: 0.02):
        expect_soon(lambda: catalog.contracts is not None)
        yield catalog


def list_names(catalog):
    return sorted(backend.name for backend in catalog.list_open("huvo11a"))


def test_changes_are_received_by_watching(store, catalog):
    calls = store.calls
    store.put("servers/b", SERVER)
    expect_soon(lambda: list_names(catalog) == ["a", "b"])
    store.remove("servers/a")
    expect_soon(lambda: list_names(catalog) == ["b"])
    store.put("op/config", CONFIG | {"version": 9})
    expect_soon(lambda: catalog.contracts.version == 9)
    assert store.calls - calls <= 4


def test_listing_of_several_pages_is_read_completely():
    with Store(draw_address()) as store:
        for number in range(120):
            store.put(f"servers/s{number:03}", SERVER)
        store.put("op/config", CONFIG)
        catalog = Catalog(DECODER)
        with reader.Store(store.address, catalog):
            expect_soon(lambda: len(list_names(catalog)) == 120 and catalog.contracts)


def test_store_is_listed_again_after_its_history_was_dropped(store, catalog):
    store.fault = "busy"
    store.forget_history()
    gevent.sleep(0.1)
    store.put("servers/b", SERVER)
    store.remove("servers/a")
    store.put("op/config", CONFIG | {"version": 8})
    store.forget_history()
    store.fault = ""
    expect_soon(lambda: list_names(catalog) == ["b"] and catalog.contracts.version == 8)


@pytest.mark.parametrize("fault", ["busy", "many", "garbage"])
def test_failing_store_is_retried_and_known_entries_are_retained(store, catalog, fault):
    store.fault = fault
    store.put("servers/b", SERVER)
    gevent.sleep(0.2)
    assert "a" in list_names(catalog)
    store.fault = ""
    store.put("op/config", CONFIG | {"version": 8})
    expect_soon(lambda: catalog.contracts.version == 8 and "b" in list_names(catalog))


def test_request_to_a_silent_store_times_out_and_is_retried(monkeypatch):
    monkeypatch.setattr(reader, "READ_TIMEOUT_S", 0.2)
    with Store(draw_address()) as store:
        store.fault = "silent"
        store.put("op/config", CONFIG)
        catalog = Catalog(DECODER)
        with reader.Store(store.address, catalog, random_source=lambda low, high: 0.02):
            expect_soon(lambda: store.calls >= 2)
            store.fault = ""
            expect_soon(lambda: catalog.contracts is not None)


@pytest.mark.parametrize("kind", ["mute", "head", "drip"])
def test_reader_without_an_answer_is_reported_and_learns_of_the_change_after_it(kind):
    """Guards against readers that wait for a silent store as long as their watch could last."""
    times, states = make_read_times(3.0), []
    with Store(draw_address()) as store:
        store.put("op/config", CONFIG)
        catalog = Catalog(DECODER)
        with reader.Store(store.address, catalog, record_read_state=states.append):
            expect_soon(lambda: store.watching[""])
            store.stalled[""] = kind
            store.put("op/config", CONFIG | {"version": 8})
            expect_soon(
                lambda: states[-1] == PlatformReadState.REFUSED,
                times.watch_s + times.answer_s + 0.5,
            )
            del store.stalled[""]
            expect_soon(lambda: catalog.contracts.version == 8, reader.READ_TIMEOUT_S + 1.0)
            assert states[-1] == PlatformReadState.READING


def test_slow_store_is_read_without_failures_once_its_slowness_is_known():
    times = make_read_times(3.0)
    with Store(draw_address()) as store:
        store.put("op/config", CONFIG)
        catalog = Catalog(DECODER)
        with reader.Store(store.address, catalog), capture_logs() as lines:
            expect_soon(lambda: store.watching[""])
            store.delay_s = 1.5 * times.answer_s
            gevent.sleep(8.0)
            lost = [line for line in lines if line["event"] == "platform_lost"]
            assert len(lost) == 1 and catalog.age_s < 2.5 * store.delay_s
            store.delay_s = 0.0


def test_entries_that_expired_during_an_outage_may_be_renewed(store, catalog):
    store.fault = "busy"
    store.put("servers/b", SERVER)
    gevent.sleep(0.1)
    store.remove("servers/a")
    store.fault = ""
    expect_soon(lambda: "b" in list_names(catalog))
    assert "a" in list_names(catalog)
    store.put("servers/a", SERVER)
    expect_soon(lambda: not catalog._lapsed)
    assert list_names(catalog) == ["a", "b"]


def test_unreachable_store_is_retried_until_it_is_reachable():
    address = draw_address()
    catalog = Catalog(DECODER)
    with reader.Store(address, catalog, random_source=lambda low, high: 0.02):
        gevent.sleep(0.1)
        with Store(address) as store:
            store.put("op/config", CONFIG)
            expect_soon(lambda: catalog.contracts is not None)


ODD_ITEMS = [
    {"value": "not base64"},
    {"value": "\u0416"},
    {"value": 5},
    {"value": [[]]},
    {"key": 5},
    {"key": ""},
    {"key": "k" * 201},
    {"revision": -1},
    {"revision": 10**30},
    {"revision": "5"},
    {"removed": "yes"},
]


@pytest.mark.parametrize("odd", ODD_ITEMS)
def test_odd_item_of_a_listing_or_a_watch_costs_no_other_item(store, catalog, odd):
    store.put("servers/b", SERVER)
    expect_soon(lambda: list_names(catalog) == ["a", "b"])
    store.spoil("servers/a", **odd)
    store.put("op/config", CONFIG | {"version": 9})
    expect_soon(lambda: catalog.contracts.version == 9)
    assert list_names(catalog) == (["b"] if "value" in odd else ["a", "b"])
    fresh = Catalog(DECODER)
    with reader.Store(store.address, fresh, random_source=lambda low, high: 0.02):
        expect_soon(lambda: fresh.contracts is not None)
    assert list_names(fresh) == ["b"] and fresh.contracts.version == 9
    for record in fresh.make_update(0).records:
        assert 0 < len(record.key) <= 200 and 0 < record.revision < 2**53


@pytest.mark.parametrize("odd", [{"at": -1}, {"at": 10**30}, {"at": 2**63}, {"has_more": 1}])
def test_page_that_is_odd_is_a_failed_read(store, catalog, odd, monkeypatch):
    serve = store._answer
    monkeypatch.setattr(store, "_answer", lambda *args, **more: serve(*args, **more | odd))
    store.put("servers/b", SERVER)
    store.forget_history()
    with capture_logs() as lines:
        expect_soon(lambda: any(line["event"] == "platform_lost" for line in lines))
    assert list_names(catalog) == ["a"]
    monkeypatch.undo()
    expect_soon(lambda: list_names(catalog) == ["a", "b"])


def test_listing_that_repeats_a_page_is_a_failed_read(store, catalog, monkeypatch):
    for number in range(2 * PAGE_ITEMS):
        store.put(f"servers/s{number:03}", SERVER)
    send_page = store._list
    monkeypatch.setattr(store, "_list", lambda caller, fields: send_page(caller, {}))
    store.forget_history()
    with capture_logs() as lines:
        expect_soon(lambda: any(line["event"] == "platform_lost" for line in lines))
    monkeypatch.undo()
    store.put("op/config", CONFIG | {"version": 8})
    expect_soon(lambda: catalog.contracts.version == 8)


@given(st.binary(max_size=200) | st.recursive(VALUES, make_documents, max_leaves=8).map(encode))
def test_any_item_is_a_record_or_left_out(raw):
    try:
        items = msgspec.json.decode(b"[" + raw + b"]", type=list[msgspec.Raw])
    except ValueError:
        return
    for record in reader.decode_items(items):
        assert record.key and 0 <= record.revision < 2**53
        assert record.value is None or isinstance(record.value, bytes)
        assert msgspec.msgpack.encode(record)


@pytest.mark.parametrize("rests", [False, True])
def test_store_is_read_at_once_for_a_caller_that_awaits_it(rests):
    """A resting VM stays at rest for its peers; a reader doesn't wait for a further watch."""
    watch_s, states = make_read_times(3.0).watch_s, []
    with Store(draw_address()) as store:
        store.put("op/config", CONFIG)
        catalog = Catalog(DECODER)
        with reader.Store(store.address, catalog, lambda: not rests, states.append):
            expect_soon(lambda: states and states[-1] == PlatformReadState(not rests))
            states.clear()
            store.put("servers/a", SERVER)
            came_s = boottime()
            assert catalog.await_reading(came_s, watch_s + 2 * reader.BURST_S + 0.3)
            assert list_names(catalog) == ["a"] and not catalog.is_reading_awaited
            assert came_s <= catalog.read_s <= boottime()
            assert set(states) <= {PlatformReadState(not rests)}


def test_reading_that_fails_is_not_recorded():
    with Store(draw_address()) as store:
        store.put("op/config", CONFIG)
        catalog = Catalog(DECODER)
        with reader.Store(store.address, catalog):
            expect_soon(lambda: store.watching[""])
            store.fault = "silent"
            before_s, came_s = catalog.read_s, boottime()
            assert not catalog.await_reading(came_s, 0.5)
            assert catalog.read_s == before_s and not catalog.is_reading_awaited
