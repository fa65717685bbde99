"""Crash evidence: suspects are what crashes have in common and no answer has cleared."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtally.calls import PromptPart
from balsamtally.crash_evidence import (
    EVIDENCE_TTL_S,
    MAX_CRASHES,
    MAX_NAME_CHARACTERS,
    MAX_PARTS_PER_CALL,
    MAX_PARTS_PER_CRASH,
    MIN_CRASH_INTERVAL_S,
    CrashEvidence,
    Implication,
    list_keys,
)


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def evidence(clock):
    return CrashEvidence(clock)


def implicate(evidence, backend, *parts, service="model", age_s=0.0, sent_age_s=0.3):
    evidence.add(Implication(backend, 1, service, parts, age_s, age_s + sent_age_s))


def list_groups(evidence, min_crashes=2):
    return [group for group, _, _ in evidence.list_suspects(min_crashes)]


def test_parts_of_a_single_crash_are_no_suspects(evidence):
    implicate(evidence, "r1", "a", "dead")
    implicate(evidence, "r1", "b", "dead")
    assert list_groups(evidence) == []


def test_part_that_all_crashes_have_in_common_is_the_suspect(evidence, clock):
    for number, bystander in enumerate(("a", "b", "c")):
        implicate(evidence, f"r{number}", bystander, "dead")
        clock.now_s += 1.0
    [(group, service, backends)] = evidence.list_suspects(3)
    assert (group, service, backends) == (("dead",), "model", ["r0", "r1", "r2"])


def test_parts_that_always_crash_together_form_one_group(evidence, clock):
    for number in range(3):
        implicate(evidence, f"r{number}", "a", "dead", f"own{number}")
        clock.now_s += 1.0
    assert list_groups(evidence, 3) == [("a", "dead")]
    assert evidence.is_suspect(("a", "x", "dead"), 3)
    assert not evidence.is_suspect(("a", "x"), 3)


def test_answer_that_began_after_the_call_was_sent_clears_its_parts(evidence, clock):
    for number in range(3):
        implicate(evidence, f"r{number}", "a", "dead")
        clock.now_s += 1.0
    assert evidence.record_begun("model", ("a", "b")) == ("a",)
    assert list_groups(evidence, 3) == [("dead",)]


def test_answer_that_began_before_the_call_was_sent_clears_nothing(evidence, clock):
    evidence.record_begun("model", ("a",))
    clock.now_s += 1.0
    for number in range(2):
        implicate(evidence, f"r{number}", "a")
        clock.now_s += 1.0
    assert list_groups(evidence) == [("a",)]


def test_answers_of_another_service_clear_nothing(evidence, clock):
    for number in range(2):
        implicate(evidence, f"r{number}", "dead")
        clock.now_s += 1.0
    evidence.record_begun("other", ("dead",))
    assert list_groups(evidence) == [("dead",)]


def test_loss_of_many_backend_servers_at_one_moment_makes_no_suspects(evidence, clock):
    for number in range(8):
        implicate(evidence, f"r{number}", "popular")
        clock.now_s += MIN_CRASH_INTERVAL_S / 10
    assert list_groups(evidence) == []


def test_old_crashes_are_dropped(evidence, clock):
    implicate(evidence, "r1", "a")
    clock.now_s += EVIDENCE_TTL_S + 1.0
    evidence.prune()
    assert evidence.count_crashes() == 0


def test_evidence_is_bounded_in_memory(evidence):
    parts = tuple(f"part{number}" for number in range(MAX_PARTS_PER_CRASH + 50))
    for number in range(MAX_CRASHES + 50):
        implicate(evidence, f"r{number}", *parts)
    assert evidence.count_crashes() == MAX_CRASHES
    assert len(evidence._crashes.popitem()[1].sent_s) == MAX_PARTS_PER_CRASH


def test_keys_are_bounded_in_number_and_length():
    parts = [PromptPart("x" * 5000 + str(number), 1) for number in range(500)]
    keys = list_keys(parts)
    assert len(keys) == MAX_PARTS_PER_CALL == len(set(keys))
    assert max(map(len, keys)) <= MAX_NAME_CHARACTERS


implications = st.builds(
    Implication,
    backend=st.sampled_from(["r1", "r2", "r3", "r4"]),
    born=st.just(1),
    service=st.just("model"),
    parts=st.lists(st.sampled_from("abcd"), min_size=1, unique=True).map(tuple),
    crash_age_s=st.sampled_from([0.0, 1.0, 2.0]),
    sent_age_s=st.sampled_from([3.0, 4.0]),
)


@given(st.lists(implications), st.randoms(use_true_random=False))
def test_order_and_repetition_of_evidence_do_not_matter(found, random):
    clock = Clock()
    first, second = CrashEvidence(clock), CrashEvidence(clock)
    for implication in found:
        first.add(implication)
    shuffled = [*found, *found[:3]]
    random.shuffle(shuffled)
    for implication in shuffled:
        second.add(implication)
    assert sorted(list_groups(first)) == sorted(list_groups(second))
