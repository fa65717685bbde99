"""Reading a store that was restored from a copy: its revisions go back and are given out again."""

import gevent
import pytest

from balsamtally.beats import Beat
from balsamtally.catalog import RETURN_GRACE_S, Catalog
from balsamtally.platform import store as reader
from balsamtally.platform.documents import DECODER
from balsamtally.readers import PlatformReadState, should_read
from standins.store import PAGE_ITEMS, Store
from tests.balsamtally.platform.test_documents import CONFIG, SERVER
from tests.balsamtally.platform.test_store import draw_address, list_names
from tests.polling import expect_soon


class World:
    """A store, and an entry VM that reads it."""

    def __init__(self, store):
        self.store = store
        self.catalog = Catalog(DECODER)

    def configure(self, version):
        self.store.put("op/config", CONFIG | {"version": version})

    def register(self, name, seq=4, **fields):
        self.store.put(f"servers/{name}", SERVER | {"born": 1, "seq": seq} | fields)

    def expect_version(self, version):
        expect_soon(lambda: self.catalog.contracts.version == version)

    def expect_names(self, *names):
        expect_soon(lambda: list_names(self.catalog) == sorted(names))


@pytest.fixture(params=["", "3"], ids=["no era before", "third era"])
def world(request):
    with Store(draw_address()) as store:
        store.era = request.param
        world = World(store)
        world.configure(1)
        world.register("a")
        with reader.Store(store.address, world.catalog, random_source=lambda low, high: 0.02):
            expect_soon(lambda: world.catalog.contracts is not None)
            yield world


def test_lost_change_that_is_written_again_and_later_ones_are_in_force(world):
    copy = world.store.copy()
    world.configure(5)
    world.expect_version(5)
    world.store.restore(copy)
    gevent.sleep(0.3)
    assert world.catalog.contracts.version == 5
    world.configure(5)
    world.configure(6)
    world.expect_version(6)


def test_change_below_the_known_revision_is_in_force(world):
    copy = world.store.copy()
    for version in range(2, 12):
        world.configure(version)
    world.expect_version(11)
    world.store.restore(copy)
    world.configure(12)
    world.expect_version(12)


def test_return_that_only_the_era_shows_is_noticed(world):
    copy = world.store.copy()
    world.configure(5)
    world.expect_version(5)
    # The revisions pass the known one while the store can't be read.
    world.store.fault = "busy"
    world.store.restore(copy)
    world.register("b")
    for version in range(6, 12):
        world.configure(version)
    world.store.fault = ""
    world.expect_version(11)
    world.expect_names("a", "b")


def test_drain_written_before_or_after_the_return_holds(world):
    copy = world.store.copy()
    world.register("a", 5, state="draining")
    world.expect_names()
    world.store.restore(copy)
    gevent.sleep(0.3)
    assert list_names(world.catalog) == []
    world.register("b")
    world.expect_names("b")
    world.register("b", 5, state="draining")
    world.expect_names()


def test_drain_written_before_the_restored_store_is_read_is_known(world):
    world.register("a", 5)
    gevent.sleep(0.3)
    copy = world.store.copy()
    world.store.fault = "busy"
    world.store.restore(copy)
    world.register("a", 6, state="draining")
    world.store.fault = ""
    world.expect_names()


def test_server_that_was_removed_since_the_copy_does_not_come_back(world):
    world.register("b")
    world.expect_names("a", "b")
    copy = world.store.copy()
    world.store.remove("servers/b")
    world.expect_names("a")
    world.store.restore(copy)
    gevent.sleep(0.3)
    assert list_names(world.catalog) == ["a"]
    world.register("b", 6)
    world.expect_names("a", "b")


def test_server_that_the_copy_lacks_stays_until_it_registers_again(world):
    copy = world.store.copy()
    world.register("b")
    world.register("c")
    world.expect_names("a", "b", "c")
    world.store.restore(copy)
    gevent.sleep(RETURN_GRACE_S / 2)
    world.catalog.remove_lapsed()
    assert list_names(world.catalog) == ["a", "b", "c"]
    world.register("b")
    gevent.sleep(RETURN_GRACE_S)
    world.catalog.remove_lapsed()
    assert list_names(world.catalog) == ["a", "b"]


def test_two_returns_in_a_row(world):
    first = world.store.copy()
    world.configure(5)
    world.expect_version(5)
    second = world.store.copy()
    world.configure(6)
    world.expect_version(6)
    world.store.restore(second)
    world.configure(7)
    world.expect_version(7)
    world.store.restore(first)
    world.configure(8)
    world.expect_version(8)


def test_pages_of_two_eras_are_read_again():
    with Store(draw_address()) as store:
        world = World(store)
        world.configure(1)
        copy = store.copy()
        for number in range(2 * PAGE_ITEMS):
            world.register(f"s{number:03}")

        def restore():
            store.on_page = lambda: None
            store.restore(copy)
            world.configure(2)

        store.on_page = restore
        with reader.Store(store.address, world.catalog, random_source=lambda low, high: 0.02):
            expect_soon(lambda: world.catalog.contracts is not None)
            world.expect_version(2)
            assert list_names(world.catalog) == []


@pytest.mark.parametrize("era", ["", "two", "-1", "9" * 40, "1.5"])
def test_odd_era_has_no_effect(world, era):
    world.store.era = era
    world.configure(5)
    world.expect_version(5)


def test_stale_answer_of_a_former_era_is_refused(world):
    copy = world.store.copy()
    world.store.restore(copy)
    world.configure(5)
    world.expect_version(5)
    world.store.era = str(int(world.store.era) - 1)
    world.configure(6)
    gevent.sleep(0.5)
    assert world.catalog.contracts.version == 5
    world.store.era = str(int(world.store.era) + 1)
    world.expect_version(6)


def test_return_costs_few_calls(world):
    copy = world.store.copy()
    for version in range(2, 12):
        world.configure(version)
    world.expect_version(11)
    world.store.restore(copy)
    world.configure(12)
    world.expect_version(12)
    calls = world.store.calls
    gevent.sleep(1.0)
    assert world.store.calls - calls <= 3


def test_store_that_goes_back_without_an_era_is_not_asked_without_a_pause(world, monkeypatch):
    copy = world.store.copy()
    for version in range(2, 12):
        world.configure(version)
    world.expect_version(11)
    monkeypatch.setattr(reader, "MIN_PAUSE_S", 0.1)
    era = world.store.era
    world.store.restore(copy)
    world.store.era = era
    calls = world.store.calls
    gevent.sleep(1.0)
    assert world.store.calls - calls <= 60


def share(source, target):
    """Let one entry VM pull from another one."""
    records = target.records
    target.merge_update(source.make_update(records.complete_revision, records.era), "peer")


def test_vm_that_was_cut_off_learns_the_new_era_from_a_peer(world):
    cut = Catalog(DECODER)
    world.register("gone")
    world.expect_names("a", "gone")
    copy = world.store.copy()
    world.configure(5)
    world.expect_version(5)
    share(world.catalog, cut)
    world.store.restore(copy)
    world.store.remove("servers/gone")
    world.register("b")
    world.configure(6)
    world.expect_version(6)
    assert cut.contracts.version == 5
    share(world.catalog, cut)
    assert cut.contracts.version == 6 and cut.records.position == world.catalog.records.position
    gevent.sleep(RETURN_GRACE_S + 0.1)
    cut.remove_lapsed()
    assert list_names(cut) == ["a", "b"]
    # What the peer in the former era says brings nothing back.
    old = Catalog(DECODER)
    old.merge_update(cut.make_update(0), "peer")
    old.records.era -= 1
    before = cut.records.position
    share(old, cut)
    assert cut.records.position == before and list_names(cut) == ["a", "b"]


def test_vm_that_alone_saw_a_change_keeps_it_as_it_learns_the_new_era(world):
    alone = Catalog(DECODER)
    share(world.catalog, alone)
    copy = world.store.copy()
    world.store.fault = "silent"
    alone.merge(
        reader.decode_items([], 0)
        + [
            reader.Record(
                "op/config", 10_000, reader.msgspec.json.encode(CONFIG | {"version": 9}),
                alone.records.era,
            )
        ],
        "platform", 10_000, alone.records.era,
    )  # fmt: skip
    world.store.restore(copy)
    world.store.fault = ""
    expect_soon(lambda: world.catalog.records.era > alone.records.era)
    share(world.catalog, alone)
    assert alone.contracts.version == 9
    world.configure(10)
    world.expect_version(10)
    share(world.catalog, alone)
    assert alone.contracts.version == 10


def make_beat(vm, era, state=PlatformReadState.READING):
    return Beat(vm, "127.0.0.1", "home", vm, 7, False, {}, (), read_state=state, era=era)


def test_peer_of_a_former_era_or_build_does_not_read_for_others():
    own = make_beat("own", 1, PlatformReadState.RESTING)
    assert should_read(own, [make_beat(f"vm{n}", 0) for n in range(9)], 0.0)
    reads = [should_read(own, [make_beat(f"vm{n}", 1)], 0.0) for n in range(9)]
    assert not all(reads)
