"""The bound on requests to a cold server, over many VMs in virtual time, and the rule behind it."""

import random

import pytest

from balsamtally.beats import Beat
from balsamtally.cold_servers import MIN_SHARE, SETTLE_S, ColdMembership, ColdRule
from balsamtally.coordination import rank_coordinators
from balsamtally.permits import PermitGrant, Permits
from balsamtally.server_limits import ServerLimits
from tests.balsamtally.scripted import make_backend

RULE = ColdRule(overage=1.5, slack=5.0)
RATE_PER_S = 9.4
BOUND = RATE_PER_S * RULE.overage + RULE.slack
REGIONS = {f"d{number}": f"r{number // 2}" for number in range(6)}
SERVER = make_backend("one", service="desk", domain="d0", cold_s=1e6)
SIZES = [9, 78, 195]
STEP_S = 0.05
BEAT_S = 0.5
LONGEST_DELAY_S = 0.06
ALIVE_S = 2.5
REMOTE_ALIVE_S = 15.0


class Vm:
    """The permits and the membership of one entry VM."""

    def __init__(self, fleet, number):
        self.fleet, self.name, self.domain = fleet, f"vm{number}", f"d{number % 6}"
        self.region = REGIONS[self.domain]
        self.frozen_until_s = 0.0
        self.greeted = 0
        self.restart()

    def restart(self):
        fleet = self.fleet
        self.heard = {}
        self.restarted_s = fleet.now
        self.own = self.make_beat()
        self.membership = ColdMembership(
            self.own, REGIONS, REGIONS.get, lambda: True, self.list_alive, lambda: fleet.now
        )
        self.limits = ServerLimits(
            lambda key: True, lambda: fleet.now, lambda service: RULE.find_limit(RATE_PER_S)
        )
        self.limits.record_cold(SERVER)
        self.permits = Permits(
            self.limits, self.find_decider, lambda: 1.0, self.send, lambda: fleet.now,
            self.membership.find_share,
        )  # fmt: skip

    def make_beat(self):
        alive = [beat.ip for beat in self.list_alive()] if self.heard else []
        named = tuple(self.fleet.random.sample(alive, min(3, len(alive))))
        return Beat(self.name, self.name, self.domain, "1", 1, False, {}, named)

    def list_alive(self):
        now = self.fleet.now
        return [
            beat
            for beat, at_s in self.heard.values()
            if now - at_s <= (ALIVE_S if REGIONS[beat.domain] == self.region else REMOTE_ALIVE_S)
        ]

    def find_decider(self, backend):
        if self.name in self.fleet.stubborn:
            return None
        beats = [*self.list_alive(), self.own]
        local = [beat for beat in beats if REGIONS[beat.domain] == REGIONS[backend.domain]]
        first = rank_coordinators(backend.service, local or beats)[0]
        return None if first.vm == self.name else first

    def hear(self, beat):
        self.heard[beat.vm] = (beat, self.fleet.now)
        self.membership.record_beat(beat)

    def send(self, message, receiver):
        fleet = self.fleet
        delay_s = fleet.random.uniform(0.001, LONGEST_DELAY_S)
        fleet.in_flight.append((fleet.now + delay_s, self.name, receiver, message))

    def step(self):
        self.permits.serve_asks([SERVER])
        while self.permits.is_sendable(SERVER):
            self.permits.take(SERVER)
            delay_s = self.fleet.random.uniform(0.0, LONGEST_DELAY_S)
            self.fleet.arrivals.append(self.fleet.now + delay_s)
        self.permits.request([SERVER], 8)


class Fleet:
    """Entry VMs that all have calls for one cold server, with a virtual clock."""

    def __init__(self, size, seed=1):
        self.now = 1_000.0
        self.random = random.Random(seed)
        self.arrivals, self.in_flight = [], []
        self.group, self.mute, self.stubborn = {}, set(), set()
        self.vms = {f"vm{number}": Vm(self, number) for number in range(size)}
        self.next_beat_s = self.now

    def reaches(self, one, other):
        return one not in self.mute and self.group.get(one) == self.group.get(other)

    def cut(self, find_group):
        self.group = {name: find_group(vm) for name, vm in self.vms.items()}

    def run(self, time_s):
        until_s = self.now + time_s
        while self.now < until_s:
            self.now += STEP_S
            awake = {n: vm for n, vm in self.vms.items() if vm.frozen_until_s <= self.now}
            if self.now >= self.next_beat_s:
                self.next_beat_s = self.now + BEAT_S
                self.exchange_beats(awake)
            due = [each for each in self.in_flight if each[0] <= self.now]
            self.in_flight = [each for each in self.in_flight if each[0] > self.now]
            for _, sender, receiver, message in due:
                if receiver in awake and self.reaches(sender, receiver):
                    grants = isinstance(message, PermitGrant)
                    permits = awake[receiver].permits
                    (permits.handle_grant if grants else permits.handle_ask)(message, sender)
            for vm in awake.values():
                vm.step()

    def exchange_beats(self, awake):
        """Exchange beats; a VM that has just started reaches a few others at first."""
        for vm in awake.values():
            receivers = awake
            if self.now - vm.restarted_s < 1.0:
                receivers = dict(self.random.sample(sorted(awake.items()), min(4, len(awake))))
            beat = vm.make_beat()
            for name, receiver in receivers.items():
                if receiver is not vm and self.reaches(vm.name, name):
                    receiver.hear(beat)

    def count_most(self):
        """Return the most arrivals within any window of one second."""
        times = sorted(self.arrivals)
        most = first = 0
        for last, at_s in enumerate(times):
            while times[first] < at_s - 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most


@pytest.fixture(params=SIZES)
def fleet(request):
    fleet = Fleet(request.param)
    fleet.run(SETTLE_S + 2.0)
    fleet.arrivals.clear()
    return fleet


def test_calm_fleet_uses_most_of_the_limit_and_keeps_the_bound(fleet):
    """Guards against a sum over VMs that grows with their number, and against an unused server."""
    fleet.run(5.0)
    limit = RULE.find_limit(RATE_PER_S)
    assert 0.6 * limit * 5.0 <= len(fleet.arrivals) <= limit * 5.0 + 5
    assert fleet.count_most() <= BOUND


@pytest.mark.parametrize("kind", ["regions", "domains", "halves", "alone"])
def test_bound_holds_while_vms_are_cut_off_from_each_other(fleet, kind):
    """Guards against parts of the fleet that each use the whole limit."""
    parts = {
        "regions": lambda vm: vm.region,
        "domains": lambda vm: vm.domain,
        "halves": lambda vm: int(vm.name[2:]) // 6 % 2,
        "alone": lambda vm: vm.name,
    }
    fleet.cut(parts[kind])
    fleet.run(5.0)
    fleet.group = {}
    fleet.run(2.0)
    assert fleet.count_most() <= BOUND


@pytest.mark.parametrize("kind", ["mute", "alone", "frozen"])
def test_bound_holds_while_a_third_of_the_vms_is_silent(fleet, kind):
    """Guards against silent VMs that each think that they decide."""
    third = set(fleet.random.sample(sorted(fleet.vms), len(fleet.vms) // 3))
    if kind == "mute":
        fleet.mute = third
    elif kind == "alone":
        fleet.cut(lambda vm: vm.name if vm.name in third else "")
    else:
        for name in third:
            fleet.vms[name].frozen_until_s = fleet.now + fleet.random.uniform(1.0, 6.0)
    fleet.run(7.0)
    assert fleet.count_most() <= BOUND
    assert len(fleet.arrivals) > 7


def test_bound_holds_with_two_deciders(fleet):
    """Guards against a limit that leaves no room for a moment of differing views."""
    local = [name for name, vm in fleet.vms.items() if vm.region == "r0"]
    fleet.stubborn = set(local[:2])
    fleet.run(5.0)
    assert fleet.count_most() <= BOUND


@pytest.mark.parametrize(("size", "seed"), [(9, 0), (9, 1), (9, 2), (78, 0), (195, 0)])
@pytest.mark.parametrize("parted", [False, True])
def test_bound_holds_after_all_vms_restart(size, seed, parted):
    """Guards against VMs that know few others just after their start and use the whole limit."""
    fleet = Fleet(size, seed)
    if parted:
        fleet.cut(lambda vm: vm.domain)
    fleet.run(SETTLE_S + 3.0)
    for vm in fleet.vms.values():
        vm.restart()
    fleet.run(SETTLE_S + 3.0)
    assert fleet.count_most() <= BOUND
    assert fleet.arrivals or parted


def test_regions_that_are_cut_off_for_long_keep_the_bound():
    """Guards against a part that spends the whole limit once it has forgotten the others."""
    fleet = Fleet(9)
    fleet.run(SETTLE_S + 2.0)
    fleet.cut(lambda vm: vm.domain)
    fleet.run(200.0)
    assert fleet.count_most() <= BOUND


def test_two_full_buckets_and_permits_in_use_stay_within_the_bound():
    """Guards against a limit above what the published bound allows."""
    limit = RULE.find_limit(RATE_PER_S)
    assert 0 < limit < RATE_PER_S
    assert 2 * (1 + 1.6 * limit) <= BOUND + 1e-9
    assert ColdRule(100.0, 5.0).find_limit(RATE_PER_S) == RATE_PER_S
    assert ColdRule().find_limit(1.0) == 0.0
    assert ColdRule().find_limit(0.0) is None


def test_vm_alone_in_its_site_decides_after_it_settled():
    """Guards against a site of one VM whose cold servers are never used."""
    regions = {"d0": "r0"}
    times = iter([0.0, SETTLE_S / 2, SETTLE_S + 1])
    own = Beat("vm0", "vm0", "d0", "1", 1, False, {}, ())
    membership = ColdMembership(own, regions, regions.get, lambda: False, list, lambda: next(times))
    assert membership.find_share("d0") == 0.0
    assert membership.find_share("d0") == 1.0


def test_share_follows_from_heard_vms_of_the_region_and_one_that_left_counts_no_more():
    """Guards against a decider outside the region, or one that hears less than half of it."""
    now = [0.0]
    alive = []
    own = Beat("vm0", "vm0", "d0", "1", 1, False, {}, ())
    membership = ColdMembership(
        own, REGIONS, REGIONS.get, lambda: True, lambda: alive, lambda: now[0]
    )
    now[0] = SETTLE_S
    peers = [Beat(f"vm{n}", f"vm{n}", f"d{n % 2}", "1", 1, False, {}, ("vm0",)) for n in (1, 2, 3)]
    for beat in peers:
        membership.record_beat(beat)
    alive[:] = peers
    assert membership.find_share("d1") == 1.0
    assert membership.find_share("d2") == 0.0
    alive[:] = peers[:1]
    assert membership.find_share("d0") == MIN_SHARE
    alive[:] = peers[1:2]
    assert membership.find_share("d0") == MIN_SHARE
    alive[:] = []
    assert membership.find_share("d0") == 0.0
    for beat in peers[1:]:
        membership.record_beat(Beat(beat.vm, beat.ip, beat.domain, "1", 1, True, {}, ("vm0",)))
    alive[:] = peers[:1]
    assert membership.find_share("d0") == 1.0
    now[0] += 6.0
    assert membership.find_share("d0") == 0.0
