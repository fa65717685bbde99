"""Tests of reading which software versions served before an entry VM started."""

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st
from structlog.testing import capture_logs

from balsamtally.catalog import Catalog
from balsamtally.platform import store as reader
from balsamtally.platform.documents import DECODER
from balsamtally.platform.past import CLOCK_MARGIN_S, START_S, PastSettings, read_entries
from balsamtally.software_history import SoftwareHistory
from standins.store import Store
from tests.balsamtally.platform.test_documents import CONFIG, SERVER, encode
from tests.balsamtally.platform.test_store import draw_address
from tests.polling import expect_soon

NOW_S = 1_700_000_000.0
WINDOW_S, DRAIN_S = 15.0, 3.0
NEEDED_S = WINDOW_S + DRAIN_S
# An entry with the count 0 that was written at least this long ago counts as old.
BEAT_S = 1.0
OLD_S = NEEDED_S + CLOCK_MARGIN_S + START_S + 1.5 * BEAT_S


class World:
    """A store, and an entry VM that starts after what was written there.

    :ivar clock_error_s: difference of the VM's clock from that of the servers
    """

    def __init__(self, store):
        self.store = store
        self.clock_error_s = 0.0
        self.line = None

    def put(self, name, version="v1", age_s=60.0, **fields):
        born = round(1000 * (NOW_S - age_s))
        entry = SERVER | {"version": version, "born": born, "seq": 0}
        self.store.put(f"servers/{name}", entry | fields)

    def remove(self, name):
        self.store.remove(f"servers/{name}")

    def find_sole(self, window_s=WINDOW_S):
        """Start the entry VM and return the version that it knows to have served alone."""
        catalog, history = Catalog(DECODER), SoftwareHistory(lambda: DRAIN_S, lambda: 100.0)
        catalog.on_backends = history.observe
        past = PastSettings(
            history.record_past,
            lambda: NEEDED_S,
            lambda: BEAT_S,
            lambda: NOW_S + self.clock_error_s,
        )
        with capture_logs() as lines:
            with reader.Store(self.store.address, catalog, past=past):
                expect_soon(lambda: any("platform_past" in line["event"] for line in lines))
                expect_soon(lambda: self.store.watching[""])
        [self.line] = [line for line in lines if "platform_past" in line["event"]]
        return history.find_sole("huvo11a", window_s, 0.0)

    @property
    def was_read(self):
        return self.line["event"] == "platform_past_read"


@pytest.fixture
def world():
    """Two servers of one version wrote their entries long ago, and the history begins later."""
    with Store(draw_address()) as store:
        world = World(store)
        store.put("op/config", CONFIG)
        world.put("a")
        world.put("b", age_s=OLD_S)
        store.forget_history()
        yield world


def test_one_version_that_served_all_the_time_is_known_with_one_call(world, monkeypatch):
    targets, read = [], reader.Store._read
    monkeypatch.setattr(
        reader.Store, "_read", lambda self, *args: targets.append(args[0]) or read(self, *args)
    )
    world.store.put("op/config", CONFIG | {"version": 8})
    world.put("a", state="draining", seq=50)
    world.put("c", age_s=5.0)
    assert world.find_sole() == "v1" and world.was_read
    assert [target for target in targets if "prefix=servers/" in target] == [
        f"/kv-watch?path_prefix=servers/&after={world.line['after']}&wait_ms=1"
    ]


@pytest.mark.parametrize("word", [True, False], ids=["after it drained", "without a word"])
@pytest.mark.parametrize("version", ["v1", "v0"])
def test_version_whose_last_server_has_just_left_isn_t_passed_over(world, word, version):
    """Guards against streams that go on at the new version after a loss of all VMs."""
    world.put("old", version, age_s=90.0, seq=0)
    world.put("c", age_s=OLD_S)
    world.store.forget_history()
    if word:
        world.put("old", version, age_s=90.0, seq=80, state="draining")
    world.remove("old")
    assert world.find_sole() == ("v1" if word and version == "v1" else None)
    assert world.was_read == word


def test_history_is_known_as_far_as_it_was_needed(world):
    assert world.find_sole(WINDOW_S + 0.1) is None and world.was_read


def test_version_that_came_and_went_is_seen(world):
    world.put("brief", "v2", age_s=6.0)
    world.remove("brief")
    assert world.find_sole() is None and world.was_read


def test_server_that_started_again_with_its_name_may_have_had_another_version(world):
    world.put("c", "v0", age_s=90.0)
    world.put("d", age_s=OLD_S)
    world.store.forget_history()
    world.put("c", age_s=5.0)
    assert world.find_sole() is None and not world.was_read


def test_entry_that_was_written_again_after_an_outage_is_not_old(world):
    """Guards against a history that is taken to begin long before it does."""
    world.put("old", "v0")
    world.remove("old")
    for name in "ab":
        world.remove(name)
    world.store.forget_history()
    for name in "ab":
        world.put(name, seq=40)
    assert world.find_sole() is None and not world.was_read


def test_history_that_is_gone_shows_nothing(world):
    world.put("old", "v0", age_s=6.0)
    world.remove("old")
    world.store.forget_history()
    assert world.find_sole() is None
    assert not world.was_read and world.line["why"] == "the history is gone"


@pytest.mark.parametrize("past", [(), ("v0",)])
def test_young_store_has_its_whole_history(past):
    with Store(draw_address()) as store:
        world = World(store)
        store.put("op/config", CONFIG)
        for version in past:
            world.put("old", version, age_s=9.0)
            world.remove("old")
        world.put("a", age_s=8.0)
        assert world.find_sole() == (None if past else "v1") and world.was_read


@pytest.mark.parametrize(("error_s", "sole"), [(0.0, "v1"), (-0.1, None), (-OLD_S, None)])
def test_entry_is_old_only_by_more_than_clocks_differ(world, error_s, sole):
    world.remove("a")
    world.store.forget_history()
    world.put("b", age_s=OLD_S)
    world.clock_error_s = error_s
    assert world.find_sole() == sole


@pytest.mark.parametrize("age_s", [5.0, -CLOCK_MARGIN_S - 0.1])
def test_clocks_that_contradict_the_order_of_entries_show_nothing(world, age_s):
    world.put("fast", age_s=age_s)
    if age_s > 0:
        world.put("c")
    assert world.find_sole() is None and "started" in world.line["why"]


@pytest.mark.parametrize("odd", [{"events": []}, {"at": 100}])
def test_events_that_lack_what_was_listed_show_nothing(world, odd, monkeypatch):
    serve = world.store._answer

    def answer(caller, name, items, **more):
        serve(caller, name, odd.get(name, items), **more | {n: odd[n] for n in odd if n == "at"})

    def lose_events():
        monkeypatch.setattr(world.store, "_answer", answer)
        gevent.spawn_later(0.3, monkeypatch.undo)

    world.put("c", age_s=5.0)
    world.store.on_page = lose_events
    assert world.find_sole() is None and "missing" in world.line["why"]


def test_vm_that_has_records_from_a_peer_reads_no_past(world):
    catalog, recorded = Catalog(DECODER), []
    catalog.merge_listing([], 1, "peer")
    past = PastSettings(lambda *args: recorded.append(args), lambda: 0.0, lambda: BEAT_S)
    with reader.Store(world.store.address, catalog, past=past):
        world.store.forget_history()
        expect_soon(lambda: world.store.watching[""])
    assert set(catalog.backends) == {"a", "b"} and not recorded


def test_server_that_leaves_after_it_was_listed_is_known(world):
    world.store.on_page = lambda: world.remove("a")
    assert world.find_sole() == "v1" and world.was_read


@pytest.mark.parametrize("fault", ["busy", "garbage"])
def test_store_that_fails_after_the_listing_is_read_on_without_its_past(world, fault):
    def fail():
        world.store.fault = fault
        gevent.spawn_later(0.3, setattr, world.store, "fault", "")

    world.store.on_page = fail
    assert world.find_sole() is None and not world.was_read


def test_restored_store_lacks_a_part_of_its_past(world):
    world.store.era = "1"
    assert world.find_sole() is None and world.line["why"] == "the store was restored"


@given(st.lists(st.dictionaries(st.sampled_from(["key", "value", "created"]), st.text())))
def test_any_items_are_entries_or_refused(items):
    try:
        read = read_entries([encode(item | {"revision": 1}) for item in items])
    except ValueError:
        return
    assert len(read) <= len(items)
