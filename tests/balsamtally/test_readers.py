"""Selection of platform readers in simulated time: few VMs read, and all receive changes."""

from random import Random

import msgspec
import pytest

from balsamtally.beats import Beat
from balsamtally.readers import MAX_LAG_S, PlatformReadState, should_read

STEP_S = 0.1
# Steps after which a VM without a beat counts as silent.
ALIVE_STEPS = 25
REFUSED_STEPS = 30
# A change must be known everywhere within this many seconds while any VM can read the platform; the
# shortest documented bound is 3 s from its acknowledgement.
BOUND_S = 3.0


def make_beat(name, domain="home", read_state=PlatformReadState.RESTING, **changes):
    return Beat(name, name, domain, "1", 0, False, {}, (), read_state=read_state, **changes)


def test_first_of_a_failure_domain_reads_and_the_others_rest():
    beats = [make_beat(f"vm{number}") for number in range(9)]
    remote = make_beat("far", "elsewhere", PlatformReadState.READING)
    readers = [own for own in beats if should_read(own, [*beats, remote], 0.0)]
    assert len(readers) == 1


def test_vm_without_a_reader_in_reach_or_behind_its_peers_reads_itself():
    own, other = make_beat("a"), make_beat("b")
    assert should_read(own, [], 0.0) and should_read(own, [other], 0.0)
    reader = make_beat("r", "elsewhere", PlatformReadState.READING)
    many = [make_beat(f"vm{number}") for number in range(40)]
    resting = next(beat for beat in many if not should_read(beat, [*many, reader], 0.0))
    assert should_read(resting, [*many, reader], MAX_LAG_S + 0.1)
    leaving = msgspec.structs.replace(reader, leaving=True)
    assert should_read(resting, [*many, leaving], 0.0)


def test_refused_reader_is_replaced_and_rests():
    beats = [make_beat(f"vm{number}") for number in range(9)]
    remote = make_beat("far", "elsewhere", PlatformReadState.READING)
    first = next(own for own in beats if should_read(own, [*beats, remote], 0.0))
    refused = msgspec.structs.replace(first, read_state=PlatformReadState.REFUSED)
    others = [beat for beat in beats if beat.vm != first.vm]
    assert not should_read(refused, [*others, remote], 0.0)
    assert sum(should_read(own, [*others, refused, remote], 0.0) for own in others) == 1


class Member:
    def __init__(self, name, domain):
        self.beat = make_beat(name, domain)
        self.heard = {}
        self.known = 0
        self.lag_s = 0.0
        self.refused_at = -REFUSED_STEPS
        self.calls = 0


def simulate(size, seed, steps=120):
    """Simulate members that are refused by the platform or cut off in turns.

    A change is written every second. A member lags if it lacks a change older than ``BOUND_S``.

    :return: the members, and the step and name of each that lagged
    """
    random = Random(seed)
    members = [Member(f"vm{number}", f"domain{number % 3}") for number in range(size)]
    refused, cut, lagging, revision = set(), set(), [], 0
    for step in range(steps):
        if step % 40 == 10:
            refused = set(random.sample(members, size // 3))
            cut = set(random.sample(members, size // 10)) - refused
        if step % 40 == 35:
            refused, cut = set(), set()
        if step % 10 == 0:
            revision += 1
        for member in members:
            read_if_due(member, step, refused, revision)
        for member in members:
            exchange_beats(member, step, random, members, cut)
        due = (step - int(BOUND_S / STEP_S)) // 10 + 1
        lagging += [(step, member.beat.vm) for member in members if member.known < due]
    return members, lagging


def read_if_due(member, step, refused, revision):
    heard = [beat for beat, at in member.heard.values() if step - at <= ALIVE_STEPS]
    read_state = PlatformReadState.RESTING
    if step - member.refused_at < REFUSED_STEPS:
        read_state = PlatformReadState.REFUSED
    member.beat = msgspec.structs.replace(member.beat, read_state=read_state, revision=member.known)
    if should_read(member.beat, heard, member.lag_s):
        member.calls += 1
        if member in refused:
            member.refused_at, read_state = step, PlatformReadState.REFUSED
        else:
            member.known, read_state = revision, PlatformReadState.READING
    member.beat = msgspec.structs.replace(member.beat, read_state=read_state, revision=member.known)


def exchange_beats(member, step, random, members, cut):
    """Receive beats of the local failure domain and a few remote VMs, and pull newer records."""
    if member in cut:
        return
    remote = set(random.sample(range(len(members)), min(8, len(members))))
    for index, other in enumerate(members):
        reachable = other.beat.domain == member.beat.domain or index in remote
        if other is not member and other not in cut and reachable and random.random() > 0.02:
            member.heard[other.beat.vm] = (other.beat, step)
    newest = max((beat.revision for beat, _ in member.heard.values()), default=0)
    member.lag_s = 0.0 if member.known >= newest else member.lag_s + STEP_S
    member.known = max(member.known, newest)


@pytest.mark.parametrize("size", [3, 30, 200])
@pytest.mark.parametrize("seed", range(4))
def test_few_read_and_all_learn_in_time_whoever_is_refused_or_cut_off(size, seed):
    steps = 120
    members, lagging = simulate(size, seed, steps)
    assert not lagging
    # If all members read, each would make a call in every step.
    assert sum(member.calls for member in members) <= max(0.25 * size, 4) * steps


def test_refused_vms_do_not_ask_all_the_time():
    members, _ = simulate(30, 1)
    assert max(member.calls for member in members if member.refused_at > 0) < 120
