"""Permits for limited backend servers: rates over many VMs, with cuts, freezes and returns."""

import random
from dataclasses import replace

import pytest

from balsamtally.beats import Beat
from balsamtally.coordination import rank_coordinators
from balsamtally.permits import (
    ASK_INTERVAL_S,
    COLD_PERMIT_TTL_S,
    MIN_RATE_PER_S,
    PERMIT_TTL_S,
    PermitAsk,
    PermitGrant,
    Permits,
)
from balsamtally.returns import MAX_RETURN_S, ReturnSchedule
from balsamtally.server_limits import ServerLimits
from tests.balsamtally.scripted import make_backend

SERVER = make_backend("one", service="desk")
STEP_S = 0.05
DELAY_S = 0.03
ALIVE_S = 2.5
FORGET_S = 60.0
WINDOW_S = 4.0


class Vm:
    """The permits of one entry VM, and what it knows of the others."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.frozen_until_s = 0.0
        self.restart()

    def restart(self):
        self.heard_s = {}
        self.started_s = self.fleet.now
        self.limits = ServerLimits(lambda key: True, lambda: self.fleet.now)
        self.permits = Permits(
            self.limits,
            self.find_decider,
            self.find_share,
            lambda message, ip: self.fleet.send(self.name, ip, message),
            lambda: self.fleet.now,
        )

    def list_heard(self, within_s):
        return [n for n, at in self.heard_s.items() if self.fleet.now - at <= within_s]

    def find_decider(self, backend):
        beats = [make_beat(name) for name in [*self.list_heard(ALIVE_S), self.name]]
        first = rank_coordinators(backend.service, beats)[0]
        return None if first.vm == self.name else first

    def find_share(self):
        known = self.list_heard(FORGET_S)
        if not known and self.fleet.now - self.started_s < FORGET_S:
            return 0.0
        return (1 + len(self.list_heard(ALIVE_S))) / (1 + len(known))

    def step(self):
        """Send one of many waiting calls, as often as permits allow."""
        self.permits.serve_asks([SERVER])
        while self.permits.is_limited(SERVER.key) and self.permits.is_sendable(SERVER):
            self.permits.take(SERVER)
            self.fleet.arrivals.append((self.fleet.now, self.name))
        self.permits.request([SERVER], 3)


class Fleet:
    """Entry VMs with a virtual clock, delayed messages and cuts between groups of VMs."""

    def __init__(self, size, limit, seed=0):
        self.now = 1_000.0
        self.random = random.Random(seed)
        self.arrivals = []
        self.in_flight = []
        self.group = {}
        self.vms = {f"vm{number}": Vm(self, f"vm{number}") for number in range(size)}
        for vm in self.vms.values():
            vm.limits.record_answer(SERVER, limit, self.now)
            vm.heard_s = {name: self.now for name in self.vms if name != vm.name}

    def reaches(self, one, other):
        return self.group.get(one, 0) == self.group.get(other, 0)

    def send(self, sender, receiver, message):
        self.in_flight.append((self.now + DELAY_S, sender, receiver, message))

    def run(self, time_s, wanting=None):
        until_s = self.now + time_s
        while self.now < until_s:
            self.now += STEP_S
            awake = [vm for vm in self.vms.values() if vm.frozen_until_s <= self.now]
            for vm in awake:
                for other in awake:
                    if other is not vm and self.reaches(vm.name, other.name):
                        vm.heard_s[other.name] = self.now
                        vm.limits.merge(other.limits.list_told(), other.name)
            self._deliver()
            for vm in awake:
                if wanting is None or vm.name in wanting:
                    vm.step()
                else:
                    vm.permits.serve_asks([SERVER])

    def _deliver(self):
        due = [each for each in self.in_flight if each[0] <= self.now]
        self.in_flight = [each for each in self.in_flight if each[0] > self.now]
        for _, sender, receiver, message in due:
            vm = self.vms.get(receiver)
            if vm and self.reaches(sender, receiver) and vm.frozen_until_s <= self.now:
                if isinstance(message, PermitGrant):
                    vm.permits.handle_grant(message, sender)
                else:
                    vm.permits.handle_ask(message, sender)

    def count_most(self, since_s=0.0):
        times = [at for at, _ in self.arrivals if at >= since_s]
        return max((sum(a <= at <= a + WINDOW_S for at in times) for a in times), default=0)


def make_beat(name):
    return Beat(name, name, "home", name, 1, False, {}, ())


def find_allowed(limit):
    return int(1.5 * limit * WINDOW_S) + 5


@pytest.mark.parametrize("size", [1, 8, 24])
@pytest.mark.parametrize("limit", [0.5, 2.5, 8.0])
def test_all_vms_together_send_at_the_limit(size, limit):
    fleet = Fleet(size, limit)
    if size == 1:
        fleet.now += FORGET_S
    fleet.run(20.0)
    assert 0.8 * limit * 20 - 1 <= len(fleet.arrivals) <= limit * 20 + 1
    assert fleet.count_most() <= limit * WINDOW_S + 2


def test_vm_whose_calls_wait_gets_what_the_others_do_not_use():
    fleet = Fleet(8, 2.5)
    fleet.run(10.0, wanting={"vm3"})
    assert len(fleet.arrivals) >= 0.6 * 25


def test_decider_and_those_that_ask_it_share_the_rate():
    fleet = Fleet(4, 2.5)
    fleet.run(40.0)
    by_vm = {name: sum(vm == name for _, vm in fleet.arrivals) for name in fleet.vms}
    assert min(by_vm.values()) >= 10


@pytest.mark.parametrize("seed", range(30))
def test_limit_holds_through_cuts_freezes_and_returns(seed):
    draw = random.Random(seed)
    limit = draw.choice([0.2, 1.0, 2.5, 8.0])
    fleet = Fleet(draw.randint(2, 12), limit, seed)
    for _ in range(12):
        kind = draw.choice(["cut", "heal", "freeze", "restart", "calm"])
        name = draw.choice(list(fleet.vms))
        if kind == "cut":
            fleet.group = {each: draw.randrange(2) for each in fleet.vms}
        elif kind == "heal":
            fleet.group = {}
        elif kind == "freeze":
            fleet.vms[name].frozen_until_s = fleet.now + draw.uniform(0.5, 8.0)
        elif kind == "restart":
            fleet.vms[name].restart()
        fleet.run(draw.uniform(0.5, 8.0))
    assert fleet.count_most() <= find_allowed(limit)


def test_cut_groups_spend_parts_that_do_not_add_up_to_more_than_the_limit():
    fleet = Fleet(8, 4.0)
    fleet.group = {name: number % 2 for number, name in enumerate(fleet.vms)}
    fleet.run(ALIVE_S + 1.0)
    cut_s = fleet.now
    fleet.run(20.0)
    assert sum(at >= cut_s for at, _ in fleet.arrivals) <= 4.0 * 20 + 2
    # The lost group's part returns once it is forgotten.
    fleet.group = dict.fromkeys(fleet.vms, 0)
    for name in list(fleet.vms)[:4]:
        del fleet.vms[name]
    fleet.run(FORGET_S)
    before = len(fleet.arrivals)
    fleet.run(10.0)
    assert len(fleet.arrivals) - before >= 0.8 * 40


def test_vm_that_hears_no_other_since_its_start_sends_nothing():
    fleet = Fleet(3, 8.0)
    fleet.vms["vm0"].restart()
    fleet.vms["vm0"].limits.record_answer(SERVER, 8.0, fleet.now)
    fleet.group = {"vm0": 1}
    fleet.run(10.0, wanting={"vm0"})
    assert not fleet.arrivals


def test_limit_of_zero_lets_single_requests_through():
    fleet = Fleet(4, 0.0)
    fleet.run(100.0)
    assert 5 <= len(fleet.arrivals) <= MIN_RATE_PER_S * 100 + 2


def test_permits_lapse_and_late_or_repeated_grants_have_no_effect():
    fleet = Fleet(2, 2.5)
    asking = next(vm for vm in fleet.vms.values() if vm.find_decider(SERVER) is not None)
    asking.permits.request([SERVER], 1)
    [(_, _, _, ask)] = fleet.in_flight
    asking.permits.handle_grant(PermitGrant(ask.number, 1), "x")
    assert asking.permits.is_sendable(SERVER)
    asking.permits.take(SERVER)
    asking.permits.handle_grant(PermitGrant(ask.number, 1), "x")
    assert not asking.permits.is_sendable(SERVER)
    fleet.now += ASK_INTERVAL_S
    asking.permits.request([SERVER], 1)
    ask = fleet.in_flight[-1][3]
    asking.permits.handle_grant(PermitGrant(ask.number, 1), "x")
    fleet.now += PERMIT_TTL_S
    assert not asking.permits.is_sendable(SERVER)
    asking.permits.request([SERVER], 1)
    ask = fleet.in_flight[-1][3]
    fleet.now += PERMIT_TTL_S
    asking.permits.handle_grant(PermitGrant(ask.number, 1), "x")
    assert not asking.permits.is_sendable(SERVER)


def test_decider_leaves_the_token_after_its_own_to_those_that_ask():
    fleet = Fleet(2, 2.0)
    asking, deciding = sorted(fleet.vms.values(), key=lambda vm: vm.find_decider(SERVER) is None)
    deciding.permits.serve_asks([SERVER])
    fleet.now += 0.6
    deciding.permits.take(SERVER)
    asking.permits.request([SERVER], 1)
    deciding.permits.handle_ask(fleet.in_flight.pop()[3], asking.name)
    fleet.now += 0.25
    deciding.permits.handle_ask(PermitAsk(2, *SERVER.key, 1), asking.name)
    fleet.now += 0.2
    assert not deciding.permits.is_sendable(SERVER)
    deciding.permits.serve_asks([SERVER])
    assert fleet.in_flight.pop()[3] == PermitGrant(2, 1)
    fleet.now += 0.5
    assert deciding.permits.is_sendable(SERVER)


def test_vm_that_decides_again_starts_with_no_tokens():
    decider, now = None, 100.0
    limits = ServerLimits(lambda key: True, lambda: now)
    permits = Permits(limits, lambda backend: decider, clock=lambda: now)
    limits.record_answer(SERVER, 1.0, now)
    permits.serve_asks([SERVER])
    decider, now = make_beat("other"), now + 10.0
    permits.serve_asks([SERVER])
    decider, now = None, now + 10.0
    permits.serve_asks([SERVER])
    assert not permits.is_sendable(SERVER)


def test_permit_is_used_although_another_vm_decides_from_then_on():
    decider = None
    now = 100.0
    limits = ServerLimits(lambda key: True, lambda: now)
    permits = Permits(limits, lambda backend: decider, clock=lambda: now)
    limits.record_answer(SERVER, 8.0, now)
    permits.serve_asks([SERVER])
    now += 1.0
    assert permits.is_sendable(SERVER)
    decider, now = make_beat("other"), now + 1.0
    assert permits.take(SERVER)
    assert not permits.is_sendable(SERVER)


def test_refused_calls_return_one_after_the_other():
    now = 100.0
    schedule = ReturnSchedule(lambda: now)
    assert [schedule.reserve("q", 1.0, 2.0) for _ in range(3)] == [1.0, 1.5, 2.0]
    assert schedule.reserve("other", 1.0, 2.0) == 1.0
    assert max(schedule.reserve("q", 1.0, 2.0) for _ in range(100)) == MAX_RETURN_S


def test_calls_count_on_a_cold_server_that_another_vm_decides_on():
    """Guards against a refusal at once in a region that doesn't decide on the cold server."""
    now = 100.0
    limits = ServerLimits(lambda key: True, lambda: now, lambda service: 5.0)
    limits.record_cold(make_backend("two", cold_s=3.0))
    cold = replace(SERVER, cold_s=3.0)
    limits.record_cold(cold)
    decider = make_beat("other")
    permits = Permits(
        limits, lambda backend: decider, clock=lambda: now, find_cold_share=lambda domain: 0.0
    )
    assert permits.find_rate([cold]) == 2.5
    assert permits.estimate_wait_s([cold], 2) == 0.8
    assert permits.estimate_wait_s([cold], 100) == 3.0
    decider, now = None, now + 1.0
    assert permits.find_rate([cold]) == 0.0
    assert permits.estimate_wait_s([cold], 1) == 2.0


def test_vm_that_may_spend_nothing_more_keeps_no_token():
    """Guards against a burst of the last tokens of many VMs that are cut off at once."""
    now, share = 100.0, 1.0
    limits = ServerLimits(lambda key: True, lambda: now, lambda service: 5.0)
    limits.record_cold(replace(SERVER, cold_s=30.0))
    permits = Permits(limits, clock=lambda: now, find_cold_share=lambda domain: share)
    permits.serve_asks([SERVER])
    now += 1.0
    assert permits.is_sendable(SERVER)
    now, share = now + 1.0, 0.0
    assert not permits.is_sendable(SERVER)


def test_permit_for_a_cold_server_lapses_soon():
    """Guards against permits of several seconds that are all used within one."""
    now = 100.0
    sent = []
    limits = ServerLimits(lambda key: True, lambda: now, lambda service: 5.0)
    limits.record_cold(replace(SERVER, cold_s=30.0))
    permits = Permits(
        limits, lambda backend: make_beat("other"), send=lambda ask, ip: sent.append(ask),
        clock=lambda: now,
    )  # fmt: skip
    permits.request([SERVER], 1)
    permits.handle_grant(PermitGrant(sent[0].number, 1), "x")
    assert permits.is_sendable(SERVER)
    now += COLD_PERMIT_TTL_S
    assert not permits.is_sendable(SERVER)
