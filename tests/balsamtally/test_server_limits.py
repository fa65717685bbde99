"""Limits that backend servers named: what holds after answers and messages in any order."""

from dataclasses import replace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtally.server_limits import (
    ENDED_TTL_S,
    MAX_TOLD,
    SERVICE_BRITTLE_S,
    TRANSIT_S,
    ServerLimits,
    ToldLimit,
)
from tests.balsamtally.scripted import make_backend

SERVER = make_backend("one")


class Vm:
    """The limits that an entry VM knows, with a clock that is shared by all."""

    now = 100.0

    def __init__(self, known=True):
        self.limits = ServerLimits(lambda key: known, lambda: Vm.now)

    def hear(self, limit, sent_s):
        return self.limits.record_answer(SERVER, limit, sent_s)

    def tell(self, other):
        other.limits.merge(self.limits.list_told(), "peer")

    @property
    def limit(self):
        return self.limits.find(SERVER.key)


@pytest.fixture(autouse=True)
def start():
    Vm.now = 100.0


def test_answer_to_a_later_request_ends_a_limit():
    vm = Vm()
    assert vm.hear(2.5, 99.0)
    assert vm.limit == 2.5
    Vm.now = 101.0
    assert not vm.hear(2.5, 99.5)
    Vm.now = 102.0
    assert vm.hear(None, 101.5)
    assert vm.limit is None


def test_late_head_of_a_request_sent_before_the_limit_does_not_end_it():
    vm = Vm()
    vm.hear(2.5, 99.0)
    Vm.now = 105.0
    assert not vm.hear(None, 99.5)
    assert vm.limit == 2.5


def test_limit_of_zero_is_a_limit():
    vm = Vm()
    vm.hear(0.0, 99.0)
    assert vm.limit == 0.0
    assert not vm.limits.is_empty


def test_new_incarnation_has_no_limit():
    vm = Vm()
    vm.hear(2.5, 99.0)
    assert vm.limits.find(make_backend("one").key) is None


def test_peers_learn_a_limit_and_its_end():
    vm, peer = Vm(), Vm()
    vm.hear(2.5, 99.0)
    vm.tell(peer)
    assert peer.limit == 2.5
    Vm.now = 102.0
    vm.hear(None, 101.0)
    vm.tell(peer)
    assert peer.limit is None


def test_peer_that_tells_an_ended_limit_is_corrected():
    vm, peer = Vm(), Vm()
    peer.hear(2.5, 99.0)
    Vm.now = 103.0
    vm.hear(None, 102.0)
    assert not vm.limits.list_told()
    peer.tell(vm)
    assert vm.limit is None
    vm.tell(peer)
    assert peer.limit is None


def test_told_end_does_not_cancel_a_limit_named_at_about_the_same_time():
    vm, peer = Vm(), Vm()
    for each in (vm, peer):
        each.hear(2.5, 99.0)
    Vm.now = 101.0
    vm.hear(None, 101.0)
    Vm.now = 101.0 + TRANSIT_S / 2
    told = vm.limits.list_told()
    Vm.now = 101.0
    peer.hear(3.0, 100.5)
    Vm.now = 101.0 + TRANSIT_S
    peer.limits.merge(told, "peer")
    assert peer.limit == 3.0


def test_limit_of_a_server_that_is_not_published_is_not_merged():
    vm, peer = Vm(), Vm(known=False)
    vm.hear(2.5, 99.0)
    vm.tell(peer)
    assert peer.limit is None


def test_ended_limits_are_told_for_a_time_and_others_until_they_end():
    vm = Vm()
    vm.hear(2.5, 99.0)
    Vm.now = 1_000.0
    vm.limits.forget_removed()
    assert vm.limit == 2.5
    vm.hear(None, 1_000.0)
    vm.limits.forget_removed()
    assert len(vm.limits.list_told()) == 1
    Vm.now += ENDED_TTL_S + 1
    vm.limits.forget_removed()
    assert not vm.limits.list_told()


def test_told_limits_are_bounded():
    vm = Vm()
    for number in range(MAX_TOLD + 10):
        Vm.now += 1
        vm.limits.record_answer(make_backend(f"s{number}"), 1.0, Vm.now)
    told = vm.limits.list_told()
    assert len(told) == MAX_TOLD
    assert told[0].name == f"s{MAX_TOLD + 9}"


@pytest.mark.parametrize("limit", [-1.0, float("nan"), float("inf"), 1e10])
def test_invalid_told_limit_is_refused(limit):
    data = msgspec.msgpack.encode(("one", 1, limit, 0.0))
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(data, type=ToldLimit)


ANSWERS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from([None, 1.0, 2.0])), min_size=1, max_size=12
)


@given(ANSWERS, st.randoms(use_true_random=False))
def test_all_vms_agree_on_the_last_statement_after_all_have_told_each_other(answers, random):
    Vm.now = 100.0
    vms = [Vm() for _ in range(3)]
    for index, limit in answers:
        Vm.now += 1.0
        vms[index].hear(limit, Vm.now - 0.1)
        if random.random() < 0.5:
            vms[random.randrange(3)].tell(vms[random.randrange(3)])
    Vm.now += 0.5
    for _ in range(3):
        for vm in vms:
            for other in vms:
                vm.tell(other)
    assert {vm.limit for vm in vms} == {answers[-1][1]}


class ColdVm:
    """The limits of one entry VM that learns of cold servers; those of ``spare`` have no rate."""

    def __init__(self, known=True):
        self.known = known
        self.limits = ServerLimits(
            lambda key: self.known, lambda: Vm.now, {"desk": 5.0, "spare": None}.get
        )

    def learn(self, cold_s, **changes):
        server = make_backend("cold", cold_s=cold_s, **changes)
        self.limits.record_cold(server)
        return server


def test_cold_limit_expires_by_itself():
    """Guards against a server that stays limited after it has become warm."""
    vm = ColdVm()
    server = vm.learn(3.0)
    assert vm.limits.find(server.key) == 5.0
    assert vm.limits.list_limited() == vm.limits.list_cold() == [server.key]
    Vm.now += 2.9
    assert not vm.limits.is_empty
    Vm.now += 0.2
    assert vm.limits.find(server.key) is None
    assert vm.limits.is_empty and not vm.limits.list_limited()


def test_later_entry_extends_the_time_and_never_shortens_it():
    """Guards against a limit that ends early, since an older entry came late."""
    vm = ColdVm()
    server = vm.learn(3.0)
    vm.limits.record_cold(replace(server, cold_s=1.0))
    Vm.now += 2.0
    assert vm.limits.find(server.key) == 5.0
    vm.limits.record_cold(replace(server, cold_s=2.0))
    Vm.now += 1.9
    assert vm.limits.find(server.key) == 5.0


@pytest.mark.parametrize(("named", "found"), [(2.5, 2.5), (8.0, 5.0), (0.0, 0.0)])
def test_lower_one_of_the_named_and_the_cold_limit_holds(named, found):
    """Guards against one of two limits that replaces the other."""
    vm = ColdVm()
    server = vm.learn(3.0)
    vm.limits.record_answer(server, named, Vm.now)
    assert vm.limits.find(server.key) == found
    Vm.now += 3.1
    assert vm.limits.find(server.key) == named
    vm.limits.record_answer(server, None, Vm.now)
    assert vm.limits.find(server.key) is None


def test_answer_without_a_limit_does_not_end_the_cold_limit():
    """Guards against a cold server that is flooded after its first answer."""
    vm = ColdVm()
    server = vm.learn(3.0)
    vm.limits.record_answer(server, None, Vm.now)
    assert vm.limits.find(server.key) == 5.0


def test_cold_server_of_a_service_without_a_rate_is_slow_but_not_limited():
    """Guards against a limit that nobody published."""
    vm = ColdVm()
    server = vm.learn(3.0, service="spare")
    assert vm.limits.is_cold(server.key)
    assert vm.limits.find(server.key) is None
    assert not vm.limits.list_limited()


def test_answer_that_began_shortly_after_the_cold_time_counts_as_one_of_it():
    """Guards against a warm server that is taken for a slow one."""
    vm = ColdVm()
    server = vm.learn(3.0)
    Vm.now += 4.0
    assert vm.limits.was_cold(server.key, 1.5)
    assert not vm.limits.was_cold(server.key, 0.5)


def test_removed_cold_server_is_forgotten():
    """Guards against state that grows with each restart of a server."""
    vm = ColdVm()
    vm.learn(1e6)
    vm.known = False
    vm.limits.forget_removed()
    assert vm.limits.is_empty
    assert not vm.limits._cold_until_s


class BrittleService:
    """Two servers of a service, the first one brittle."""

    def __init__(self):
        one, two = make_backend("one", service="desk"), make_backend("two", service="desk")
        self.published = {"one": one, "two": two}
        self.limits = ServerLimits(
            lambda key: True, lambda: Vm.now, list_published=lambda: self.published
        )
        self.limits.record_answer(one, None, 99.0, 3)

    def publish(self, name, born):
        self.published[name] = replace(make_backend(name, service="desk"), born=born)
        return self.published[name]

    def find(self, backend):
        return self.limits.find_brittle(backend.key)


def test_brittle_server_is_told_to_peers_and_so_is_its_end():
    vm, peer = Vm(), Vm()
    vm.limits.record_answer(SERVER, None, 99.0, 3)
    vm.tell(peer)
    assert peer.limits.find_brittle(SERVER.key) == 3 and not peer.limits.is_empty
    assert peer.limits.list_brittle() == [SERVER.key] and peer.limit is None
    Vm.now = 102.0
    vm.hear(None, 101.0)
    vm.tell(peer)
    assert peer.limits.find_brittle(SERVER.key) is None


def test_server_may_have_a_limit_and_be_brittle():
    vm = Vm()
    assert vm.limits.record_answer(SERVER, 2.0, 99.0, 1)
    assert (vm.limit, vm.limits.find_brittle(SERVER.key)) == (2.0, 1)
    Vm.now = 101.0
    assert vm.limits.record_answer(SERVER, 2.0, 100.5)
    assert (vm.limit, vm.limits.find_brittle(SERVER.key)) == (2.0, None)


def test_new_incarnation_of_a_service_with_brittle_servers_is_brittle_until_it_answers():
    service = BrittleService()
    assert service.find(service.published["two"]) is None
    back = service.publish("one", born=7)
    assert service.find(back) == 3
    service.limits.record_answer(back, None, 101.0)
    assert service.find(back) is None


def test_new_incarnations_are_no_longer_brittle_some_time_after_the_last_statement():
    service = BrittleService()
    back = service.publish("one", born=7)
    Vm.now += SERVICE_BRITTLE_S
    assert service.find(back) is None
    Vm.now += 0.1
    service.limits.forget_removed()
    assert service.limits._brittle_services == {}


def test_limit_told_by_an_older_release_names_no_refusals():
    raw = msgspec.msgpack.encode(["one", 1, 2.5, 0.1])
    assert msgspec.msgpack.decode(raw, type=ToldLimit).brittle is None


def test_limit_of_a_beat_that_came_before_the_servers_record_holds_once_merged_again():
    vm, peer = Vm(), Vm(known=False)
    vm.limits.record_answer(SERVER, 2.5, 99.0)
    told, heard_s = vm.limits.list_told(), Vm.now
    peer.limits.merge(told, "vm")
    assert peer.limit is None
    peer.limits._is_known = lambda key: True
    Vm.now += 0.4
    peer.limits.merge(told, "vm", heard_s)
    assert peer.limit == 2.5
    assert not peer.hear(None, heard_s - 0.1)
