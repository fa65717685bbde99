"""Counting of an entry VM's own work and of the loads announced by its peers."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from balsamtally.backlogs import PEER_LOAD_TTL_S, URGENCIES, Backlogs, Load, Size, Sources


@given(
    st.lists(st.tuples(st.sampled_from(["begin", "read", "end", "again"]), st.integers(0, 5))),
    st.integers(0, 12),
)
def test_counts_equal_a_naive_sum(steps, urgency):
    backlogs = Backlogs(lambda: 0.0)
    works, state = [], []
    for kind, place in steps:
        if kind == "begin":
            size = Size(10 * place, 20 * place, place * 2)
            works.append(backlogs.begin("a", size, lambda: None, lambda: None))
            state.append([size, True, True])
        elif works:
            work, entry = works[place % len(works)], state[place % len(works)]
            if kind in ("read", "again") and entry[2]:
                work.record_answer_start()
                entry[1] = False
            elif kind == "end" and entry[2]:
                work.cancel()
                entry[1] = entry[2] = False
    live = [entry for entry in state if entry[2]]
    found = backlogs.find("a")
    unread = [size for size, unread, _ in live if unread]
    assert found.running == len(live)
    assert found.reading_tokens == sum(size.reading_tokens for size in unread)
    assert found.count_before(urgency) == sum(
        size.reading_tokens for size in unread if min(size.urgency, URGENCIES - 1) <= urgency
    )
    assert found.memory_tokens == sum(size.memory_tokens for size, _, _ in live)
    assert backlogs.list_own() == ({"a": found} if live else {})


def test_loads_of_peers_expire():
    now = [0.0]
    backlogs = Backlogs(lambda: now[0])
    backlogs.record_peer_loads("vm2", {"a": Load(2, (0, 100), 300)})
    backlogs.record_peer_loads("vm3", {"a": Load(1, (20, 10, 20), 100), "b": Load(1, (1,), 1)})
    assert backlogs.find("a") == Load(3, (20, 110, 20), 400)
    backlogs.record_peer_loads("vm3", {})
    assert backlogs.find("a") == Load(2, (0, 100), 300)
    backlogs.forget_peer("vm2")
    assert backlogs.find("a") == Load()
    backlogs.record_peer_loads("vm2", {"a": Load(2, (0, 100), 300)})
    now[0] += PEER_LOAD_TTL_S + 0.01
    assert backlogs.find("a") == Load()


LOADS = st.dictionaries(
    st.sampled_from("ab"),
    st.builds(
        Load,
        st.integers(0, 3),
        st.lists(st.integers(0, 9), max_size=12).map(tuple),
        st.integers(0, 9),
        st.integers(0, 3),
    ),
)
STEPS = st.one_of(
    st.tuples(st.just("announce"), st.sampled_from(["vm2", "vm3", "vm4"]), LOADS),
    st.tuples(st.just("forget"), st.sampled_from(["vm2", "vm3", "vm4"]), st.none()),
    st.tuples(st.just("pass"), st.just(""), st.floats(0.1, PEER_LOAD_TTL_S)),
    st.tuples(st.just("tidy"), st.just(""), st.none()),
)


@given(st.lists(STEPS, max_size=30))
def test_incremental_sums_of_peer_loads_equal_a_naive_sum(steps):
    now = [0.0]
    backlogs = Backlogs(lambda: now[0])
    held = {}
    for kind, peer, value in steps:
        if kind == "announce":
            backlogs.record_peer_loads(peer, value)
            held[peer] = (now[0], value)
        elif kind == "forget":
            backlogs.forget_peer(peer)
            held.pop(peer, None)
        elif kind == "pass":
            now[0] += value
        else:
            backlogs.forget({"a"})
        announced = [loads for at, loads in held.values() if at >= now[0] - PEER_LOAD_TTL_S]
        for name in "ab":
            loads = [each[name] for each in announced if name in each]
            found = backlogs.find(name)
            assert found.running == sum(load.running for load in loads)
            assert found.memory_tokens == sum(load.memory_tokens for load in loads)
            assert found.close == sum(load.close for load in loads)
            for rank in range(URGENCIES):
                most = sum(sum(load.reading[rank : rank + 1]) for load in loads)
                assert sum(found.reading[rank : rank + 1]) == most


def test_removed_backend_servers_are_dropped_once_idle():
    backlogs = Backlogs(lambda: 0.0)
    work = backlogs.begin("a", Size(1, 1), lambda: None, lambda: None)
    backlogs.begin("b", Size(1, 1), lambda: None, lambda: None).cancel()
    backlogs.forget(set())
    assert backlogs.list_own().keys() == {"a"}
    work.cancel()
    backlogs.forget(set())
    assert backlogs.find("a") == Load()


def test_load_of_calls_with_absurd_sizes_can_be_sent_to_peers():
    backlogs = Backlogs()
    for _ in range(3):
        backlogs.begin("runner", Size(2**63, 2**63), lambda: None, lambda: None)
    [load] = backlogs.list_own().values()
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(load), type=Load) == load
    assert load.running == 3


def test_calls_at_a_server_are_counted_by_sender():
    """Guards against own calls that are taken for announced ones, which may have changed since."""
    backlogs = Backlogs(lambda: 0.0)
    assert backlogs.count_sources("a") == Sources()
    backlogs.begin("a", Size(), lambda: None, lambda: None)
    backlogs.record_peer_loads("vm2", {"a": Load(2)})
    backlogs.record_region_loads("vm3", {"a": Load(4)})
    assert backlogs.count_sources("a") == Sources(own=1, local=2, remote=4)
