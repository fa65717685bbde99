"""Tests of membership: replaced, paused, flapping, leaving and half-reachable entry VMs."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtally.members import FLAP_HALF_LIFE_S, LEAVING_REPORT_TTL_S, LEFT, Members
from balsamtally.messages import MemberState
from tests.balsamtally.fake_network import FakeNetwork

LAYOUT = {"a1": "a", "a2": "a", "a3": "a", "a4": "a", "b1": "b", "b2": "b"}
SETTLE_STEPS = 15


@pytest.fixture
def network():
    network = FakeNetwork(LAYOUT, seed=7)
    step(network, SETTLE_STEPS)
    return network


def step(network, count):
    for _ in range(count):
        network.step()


def list_names(network, viewer):
    return [vm.name for vm in network.nodes[viewer].members.list_all()]


def get_state(network, viewer, name):
    return network.nodes[viewer].members.get_state(name)


def test_replaced_vm_is_not_taken_for_the_old_one(network):
    """The new VM's first generation is lower than the old one's, as after a clock set back."""
    network.nodes["a1"].members.announce_leaving()
    step(network, SETTLE_STEPS)
    old = network.nodes.pop("a1").members.own
    network.start("a1")
    step(network, SETTLE_STEPS)
    for viewer in ("a2", "a3", "b1"):
        found = network.nodes[viewer].members.find("a1")
        assert found.incarnation != old.incarnation
        assert not found.leaving
        assert "a1" in list_names(network, viewer)


def test_killed_vm_is_dropped_everywhere_and_soon(network):
    members = [network.nodes[name].members for name in ("a1", "a2", "a4")]
    assert all("a3" in each.rank_domain("any") for each in members)
    del network.nodes["a3"]
    step(network, 10)
    for viewer in ("a1", "a2", "a4", "b1", "b2"):
        assert "a3" not in list_names(network, viewer)
    assert not any("a3" in each.rank_domain("any") for each in members)


def test_vm_that_others_reach_is_kept(network):
    network.cut_pairs.add(frozenset(("a1", "a2")))
    for _ in range(60):
        network.step()
        for viewer in ("a1", "a2", "a3", "a4"):
            assert len(network.nodes[viewer].members.list_domain()) == 4


def test_resumed_vm_gives_up_its_roles_before_it_acts(network):
    node = network.nodes["a1"]
    task = next(f"t{i}" for i in range(99) if node.members.is_coordinator(f"t{i}"))
    node.paused = True
    step(network, 12)
    assert "a1" not in list_names(network, "a2")
    assert network.nodes["a2"].members.rank_domain(task)[0] != "a1"

    node.paused = False
    assert not node.members.is_coordinator(task)
    assert node.members.resume_count == 1
    node.links.handlers[type(node.heartbeats._make_heartbeat(()))](
        "a2", network.nodes["a2"].heartbeats._make_heartbeat(())
    )
    assert not node.members.is_coordinator(
        task
    ), "a heartbeat sent before the pause confirms nothing"
    step(network, 3)
    assert node.members.is_coordinator(task)
    assert "a1" in list_names(network, "a2")


def test_pause_during_a_call_neither_confirms_nor_suspects(network):
    node = network.nodes["a1"]
    call = node.links.call

    def call_slowly(*args):
        network.now += 30.0
        return call(*args)

    node.links.call = call_slowly
    node.heartbeats.call_peer("a2")
    assert node.members.paused_since is not None
    network.cut_pairs.add(frozenset(("a1", "a3")))
    node.heartbeats.call_peer("a3")
    assert get_state(network, "a1", "a3").status == 0


def test_vm_cut_off_from_all_takes_its_roles_alone(network):
    network.group = {"a1": 1}
    network.nodes["a1"].paused = True
    step(network, 5)
    network.nodes["a1"].paused = False
    step(network, 15)
    assert network.nodes["a1"].members.is_coordinator("any")


def test_flapping_vm_is_excluded_until_it_is_stable(network):
    for _ in range(4):
        network.nodes["a1"].paused = True
        step(network, 10)
        network.nodes["a1"].paused = False
        step(network, 4)
    assert get_state(network, "a2", "a1").status == 0
    assert "a1" not in list_names(network, "a2")
    step(network, int(3 * FLAP_HALF_LIFE_S))
    assert "a1" in list_names(network, "a2")


def test_leaving_is_learnt_from_the_vm_and_from_the_list(network):
    network.nodes["a1"].members.announce_leaving()
    listed = [vm for vm in network.list_vms() if vm.name != "a2"]
    watcher = next(node for node in network.nodes.values() if node.heartbeats._is_watching())
    leaving = next(name for name in ("a2", "a3") if name != watcher.name)
    watcher.members.record_leaving_report(watcher.name, [leaving])
    step(network, 40)
    for viewer in ("a3", "a4"):
        assert "a1" not in list_names(network, viewer)
    viewers = [name for name in ("a1", "a2", "a3", "a4") if watcher.domain == "a"]
    assert all(leaving not in list_names(network, viewer) for viewer in viewers)
    watcher.members.merge_listed(listed)
    step(network, 40)
    assert all(leaving in list_names(network, viewer) for viewer in viewers)


def test_report_of_a_watcher_that_stopped_is_forgotten(network):
    members = network.nodes["a1"].members
    members.record_leaving_report("gone", ["a2"])
    assert "a2" not in list_names(network, "a1")
    step(network, int(LEAVING_REPORT_TTL_S) + 2)
    assert "a2" in list_names(network, "a1")


def test_left_state_removes_a_member_at_once(network):
    network.nodes["a1"].heartbeats.cast_left_state()
    del network.nodes["a1"]
    network.deliver()
    assert [get_state(network, viewer, "a1").status for viewer in ("a2", "a3", "a4")] == [LEFT] * 3


def test_gossip_is_bounded_in_size_and_in_repeats():
    members = Members(FakeNetwork({"x": "d"}).nodes["x"].members.own, lambda: 0.0)
    for number in range(100):
        members.merge_state(MemberState(f"m{number}", "127.0.0.1:1", "d", "r", "i", 1))
    batches = []
    while batch := members.take_gossip(8):
        batches.append(batch)
    sent = [state.name for batch in batches for state in batch]
    assert max(map(len, batches)) == 8
    assert all(3 <= sent.count(f"m{number}") <= 24 for number in range(100))


@given(
    st.lists(
        st.builds(
            MemberState,
            name=st.just("m"),
            address=st.just("127.0.0.1:1"),
            domain=st.just("d"),
            region=st.just("r"),
            incarnation=st.sampled_from("ij"),
            generation=st.integers(0, 3),
            status=st.integers(0, 3),
        ),
        min_size=1,
        max_size=6,
    )
)
def test_states_merge_alike_in_any_order(states):
    members = Members(FakeNetwork({"x": "d"}).nodes["x"].members.own, lambda: 0.0)
    for state in states:
        members.merge_state(state)
    best = max(states, key=lambda state: (state.generation, state.incarnation, state.status))
    assert members.get_state("m") == best
