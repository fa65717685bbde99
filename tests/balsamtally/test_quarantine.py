"""Quarantine of prompt parts: decisions, probes, releases and the exchange between entry VMs."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtally.calls import Backend
from balsamtally.crash_evidence import Implication
from balsamtally.errors import Outcome, PartQuarantined
from balsamtally.quarantine import (
    CRASHES_TO_QUARANTINE,
    FIRST_HOLD_S,
    MAX_ENTRIES,
    MAX_HOLD_S,
    SETTLE_S,
    Quarantine,
)
from balsamtally.quarantine_messages import Candidate, QuarantineState, QuarantineUpdate
from tests.balsamtally.test_crash_evidence import Clock

_births = itertools.count(1)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def quarantine(clock):
    return Quarantine("vm-1", clock=clock)


def make_backend(service="model"):
    born = next(_births)
    return Backend(f"r{born}", born, service, ("127.0.0.1", 1), "home", 4)


def crash(quarantine, clock, *parts, times=1, service="model"):
    for _ in range(times):
        quarantine.record_crash(make_backend(service), parts, clock.now_s - 0.3, clock.now_s)
        settle(quarantine, clock)


def settle(quarantine, clock):
    """Let an entry VM propose, wait for objections and decide."""
    quarantine.decide()
    clock.now_s += SETTLE_S + 0.1
    quarantine.decide()


def is_admitted(quarantine, *parts, service="model"):
    try:
        quarantine.admit(service, parts, set())
    except PartQuarantined as error:
        assert error.outcome is Outcome.NOT_RUN
        return False
    return True


def test_part_is_quarantined_after_three_crashes(quarantine, clock):
    crash(quarantine, clock, "a", "dead", times=CRASHES_TO_QUARANTINE - 1)
    assert is_admitted(quarantine, "a", "dead")
    crash(quarantine, clock, "b", "dead")
    assert not is_admitted(quarantine, "x", "dead")
    assert is_admitted(quarantine, "a", "b")


def test_two_deadly_parts_are_both_quarantined(quarantine, clock):
    for number in range(CRASHES_TO_QUARANTINE):
        crash(quarantine, clock, f"a{number}", "dead")
        crash(quarantine, clock, f"b{number}", "fatal")
    assert not is_admitted(quarantine, "dead") and not is_admitted(quarantine, "fatal")
    assert is_admitted(quarantine, "a0", "b0")


def test_sound_parts_in_all_prompts_that_crash_are_served(quarantine, clock):
    crash(quarantine, clock, "a", "b", "dead", times=CRASHES_TO_QUARANTINE)
    assert is_admitted(quarantine, "a", "b") and not is_admitted(quarantine, "a", "b", "dead")
    quarantine.record_begun("model", ("a", "x"))
    quarantine.record_begun("model", ("b",))
    assert [entry["parts"] for entry in quarantine.list_entries()] == [("dead",)]
    assert not is_admitted(quarantine, "dead")


def test_popular_part_at_every_crashed_runner_is_not_quarantined(quarantine, clock):
    for _ in range(20):
        crash(quarantine, clock, "popular")
        quarantine.record_begun("model", ("popular",))
    assert is_admitted(quarantine, "popular")


def test_quarantine_waits_for_answers_that_clear_a_part(quarantine, clock):
    for _ in range(CRASHES_TO_QUARANTINE):
        clock.now_s += 1.0
        quarantine.record_crash(make_backend(), ("a",), clock.now_s - 0.3, clock.now_s)
        quarantine.decide()
    assert is_admitted(quarantine, "a")
    quarantine.record_begun("model", ("a",))
    clock.now_s += SETTLE_S
    quarantine.decide()
    assert is_admitted(quarantine, "a")


def test_part_is_served_by_a_service_that_answers_it(quarantine, clock):
    quarantine.record_begun("other", ("dead",))
    crash(quarantine, clock, "dead", times=CRASHES_TO_QUARANTINE)
    assert is_admitted(quarantine, "dead", service="other")
    assert not is_admitted(quarantine, "dead", service="third")


def test_refusal_names_the_time_of_the_next_probe(quarantine, clock):
    crash(quarantine, clock, "dead", times=CRASHES_TO_QUARANTINE)
    clock.now_s += FIRST_HOLD_S / 2
    with pytest.raises(PartQuarantined) as caught:
        quarantine.admit("model", ("dead",), set())
    passed_s = FIRST_HOLD_S / 2 + SETTLE_S + 0.1
    assert FIRST_HOLD_S - passed_s <= caught.value.retry_after_s <= FIRST_HOLD_S / 2
    assert caught.value.status == 503 and "dead" in str(caught.value)


def test_one_call_probes_a_part_and_renews_the_quarantine_for_the_others(quarantine, clock):
    crash(quarantine, clock, "dead", times=CRASHES_TO_QUARANTINE)
    clock.now_s += FIRST_HOLD_S + 1.0
    probed = set()
    quarantine.admit("model", ("dead",), probed)
    quarantine.admit("model", ("dead",), probed)
    assert not is_admitted(quarantine, "dead")
    [entry] = quarantine.list_entries()
    assert (entry["generation"], entry["hold_s"]) == (2, 2 * FIRST_HOLD_S)
    # The probe crashes another backend server.
    crash(quarantine, clock, "dead")
    assert quarantine.list_entries()[0]["generation"] == 2
    for _ in range(20):
        clock.now_s += MAX_HOLD_S + 1.0
        is_admitted(quarantine, "dead")
    assert quarantine.list_entries()[0]["hold_s"] == MAX_HOLD_S


def test_part_is_released_when_a_probe_is_answered(quarantine, clock):
    crash(quarantine, clock, "dead", times=CRASHES_TO_QUARANTINE)
    clock.now_s += FIRST_HOLD_S + 1.0
    quarantine.admit("model", ("dead",), set())
    quarantine.record_begun("model", ("dead",))
    assert is_admitted(quarantine, "dead")
    clock.now_s += 1.0
    crash(quarantine, clock, "dead", times=CRASHES_TO_QUARANTINE - 1)
    assert is_admitted(quarantine, "dead")
    crash(quarantine, clock, "dead")
    assert not is_admitted(quarantine, "dead")


def test_operator_releases_a_group_at_all_entry_vms(quarantine, clock):
    other = Quarantine("vm-2", clock=clock)
    crash(quarantine, clock, "dead", times=CRASHES_TO_QUARANTINE)
    held = quarantine.make_update()
    other.merge_update(held)
    assert not is_admitted(other, "dead")
    assert other.release(("dead",), "test") and not other.release(("dead",), "test")
    quarantine.merge_update(other.make_update())
    assert is_admitted(quarantine, "dead")
    # Evidence and states from before the release arrive late.
    quarantine.merge_update(held)
    settle(quarantine, clock)
    assert is_admitted(quarantine, "dead")


def test_crashes_seen_by_different_entry_vms_are_added_up(clock):
    vms = [Quarantine(f"vm-{number}", clock=clock) for number in range(CRASHES_TO_QUARANTINE)]
    for number, vm in enumerate(vms):
        clock.now_s += 1.0
        vm.record_crash(make_backend(), (f"a{number}", "dead"), clock.now_s - 0.3, clock.now_s)
        for other in vms:
            if other is not vm:
                other.merge_update(vm.make_update())
    settle(vms[-1], clock)
    for vm in vms:
        vm.merge_update(vms[-1].make_update())
        assert not is_admitted(vm, "dead") and is_admitted(vm, "a0")


def test_one_crash_seen_by_many_entry_vms_counts_once(clock):
    vms = [Quarantine(f"vm-{number}", clock=clock) for number in range(5)]
    backend = make_backend()
    for vm in vms:
        clock.now_s += 1.0
        vm.record_crash(backend, ("a",), clock.now_s - 0.3, clock.now_s)
        vms[0].merge_update(vm.make_update())
    settle(vms[0], clock)
    assert is_admitted(vms[0], "a")


def test_entry_vm_that_saw_an_answer_begin_objects_to_a_quarantine(clock):
    first, second = Quarantine("vm-1", clock=clock), Quarantine("vm-2", clock=clock)
    for _ in range(CRASHES_TO_QUARANTINE):
        first.record_crash(make_backend(), ("a", "dead"), clock.now_s - 0.3, clock.now_s)
        clock.now_s += 1.0
    second.record_begun("model", ("a",))
    first.decide()
    first.merge_update(second.make_objection(first.make_update()))
    settle(first, clock)
    assert [entry["parts"] for entry in first.list_entries()] == [("dead",)]


def test_objection_that_arrives_late_narrows_the_quarantine(clock):
    first, second = Quarantine("vm-1", clock=clock), Quarantine("vm-2", clock=clock)
    for _ in range(CRASHES_TO_QUARANTINE):
        first.record_crash(make_backend(), ("a", "dead"), clock.now_s - 0.3, clock.now_s)
        clock.now_s += 1.0
    second.record_begun("model", ("a",))
    first.decide()
    objection = second.make_objection(first.make_update())
    settle(first, clock)
    first.merge_update(objection)
    assert [entry["parts"] for entry in first.list_entries()] == [("dead",)]


def test_parts_that_a_narrowed_quarantine_keeps_do_not_count_as_answered(clock):
    first, second = Quarantine("vm-1", clock=clock), Quarantine("vm-2", clock=clock)
    crash(first, clock, "a", "dead", times=CRASHES_TO_QUARANTINE)
    second.merge_update(first.make_update())
    second.record_begun("model", ("a",))
    first.merge_update(second.make_update())
    asked = QuarantineUpdate("vm-3", candidates=(Candidate("model", ("a", "dead")),))
    for vm in (first, second):
        assert not is_admitted(vm, "dead") and is_admitted(vm, "a")
        assert [found.part for found in vm.make_objection(asked).begun] == ["a"]


def test_answers_from_before_the_crashes_are_no_objection(clock):
    first, second = Quarantine("vm-1", clock=clock), Quarantine("vm-2", clock=clock)
    second.record_begun("model", ("dead",))
    clock.now_s += 1.0
    for _ in range(CRASHES_TO_QUARANTINE):
        first.record_crash(make_backend(), ("dead",), clock.now_s - 0.3, clock.now_s)
        clock.now_s += 1.0
    first.decide()
    first.merge_update(second.make_objection(first.make_update()))
    settle(first, clock)
    assert not is_admitted(first, "dead")


def test_only_entry_vms_whose_own_calls_met_crashes_decide(clock):
    first, second = Quarantine("vm-1", clock=clock), Quarantine("vm-2", clock=clock)
    for _ in range(CRASHES_TO_QUARANTINE):
        first.record_crash(make_backend(), ("dead",), clock.now_s - 0.3, clock.now_s)
        second.merge_update(first.make_update())
        clock.now_s += 1.0
    settle(second, clock)
    assert second.make_update() is None
    settle(first, clock)
    assert not is_admitted(first, "dead")


def test_repeated_states_do_not_prolong_a_quarantine(clock):
    first, second = Quarantine("vm-1", clock=clock), Quarantine("vm-2", clock=clock)
    crash(first, clock, "dead", times=CRASHES_TO_QUARANTINE)
    for _ in range(int(FIRST_HOLD_S)):
        update = first.make_update()
        clock.now_s += 1.0
        second.merge_update(update)
        first.merge_update(second.make_update())
    clock.now_s += 1.0
    assert is_admitted(second, "dead")


def test_quarantines_that_nobody_asks_for_are_forgotten(quarantine, clock):
    crash(quarantine, clock, "dead", times=CRASHES_TO_QUARANTINE)
    clock.now_s += 2 * FIRST_HOLD_S + 1.0
    quarantine.prune()
    assert quarantine.list_entries() == []


def test_number_of_quarantines_is_bounded(quarantine):
    for number in range(2 * MAX_ENTRIES):
        state = QuarantineState((f"p{number}",), "model", 1, 300.0, 300.0, False)
        quarantine.merge_update(QuarantineUpdate("vm-2", states=(state,)))
    assert len(quarantine._entries) == MAX_ENTRIES


def implications_of(sizes):
    """Return a strategy for implications whose parts have names of the given sizes."""
    return st.builds(
        Implication,
        backend=st.just("r1"),
        born=st.just(1),
        service=st.just("model"),
        parts=st.lists(sizes.map(lambda size: "x" * size), max_size=8).map(tuple),
        crash_age_s=st.just(0.0),
        sent_age_s=st.just(0.3),
    )


states = st.builds(
    QuarantineState,
    parts=st.sampled_from([("a",), ("b",), ("a", "b")]),
    service=st.just("model"),
    generation=st.integers(1, 3),
    hold_s=st.just(300.0),
    left_s=st.sampled_from([1.0, 100.0, 200.0]),
    released=st.booleans(),
)


@given(st.lists(states), st.randoms(use_true_random=False))
def test_order_and_repetition_of_states_do_not_matter(found, random):
    clock = Clock()
    first, second = Quarantine("vm-1", clock=clock), Quarantine("vm-2", clock=clock)
    shuffled = [*found, *found[:2]]
    random.shuffle(shuffled)
    for vm, each in ((first, found), (second, shuffled)):
        for state in each:
            vm.merge_update(QuarantineUpdate("vm-3", states=(state,)))
    assert first._entries == second._entries
