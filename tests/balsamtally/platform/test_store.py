"""Tests of reading the store under each fault that its stand-in simulates."""

import gevent
import pytest

from balsamtally.catalog import Catalog
from balsamtally.platform import store as reader
from balsamtally.platform.documents import DECODER
from balsamtally.sockets import parse_address
from standins.fleet import find_addresses
from standins.store import Store
from tests.balsamtally.platform.test_documents import CONFIG, SERVER
from tests.polling import expect_soon


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


def test_undecodable_item_does_not_affect_others(store, catalog):
    store.put("servers/b", SERVER)
    expect_soon(lambda: list_names(catalog) == ["a", "b"])
    store.spoil("servers/a", "not base64")
    store.put("op/config", CONFIG | {"version": 9})
    expect_soon(lambda: catalog.contracts.version == 9)
    assert list_names(catalog) == ["b"]
