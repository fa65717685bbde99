"""Stateful test of tickets and membership over an unreliable network."""

import logging

import msgspec
import structlog
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamtally.contracts import Pool
from balsamtally.exchange import MAX_REASON_CHARS
from balsamtally.facts import MAX_REFUSED
from balsamtally.tickets import Removed, Ticket
from tests.balsamtally.fake_network import FakeNetwork, replay_naively

LAYOUT = {"a1": "a", "a2": "a", "a3": "a", "a4": "a", "b1": "b", "b2": "b", "b3": "b"}
NAMES = st.sampled_from(sorted(LAYOUT))
OBJECTS = st.one_of(
    st.builds(Pool, name=st.sampled_from("pqr"), version=st.sampled_from("12")),
    st.builds(Removed, name=st.sampled_from("pqr"), of=st.just("pool")),
)
TICKETS = st.builds(
    Ticket,
    format=st.just(1),
    number=st.integers(1, 4),
    author=st.just("ana"),
    objects=st.lists(OBJECTS, min_size=1, max_size=2, unique_by=lambda item: item.name).map(tuple),
)
CONVERGENCE_S = 400


class FailingNetwork(RuleBasedStateMachine):
    """Everything fails; then it heals and all agree."""

    def __init__(self):
        super().__init__()
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.network = FakeNetwork(LAYOUT)

    @rule(ticket=TICKETS)
    def publish(self, ticket):
        self.network.publish(msgspec.json.encode(ticket))

    @rule(body=st.sampled_from([b"{", b'{"format": 1, "number": 0, "author": "", "objects": []}']))
    def publish_invalid(self, body):
        self.network.publish(body)

    @rule(name=NAMES, back=st.integers(0, 5))
    def read_platform(self, name, back):
        versions = self.network.versions
        node = self.network.nodes.get(name)
        if node is not None and not node.paused:
            self.network.read_platform(name, max(0, len(versions) - 1 - back))

    @rule(count=st.integers(1, 8))
    def run(self, count):
        for _ in range(count):
            self.network.step()
            self.network.check()

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def set_loss(self, loss):
        self.network.loss = loss

    @rule(cut=st.sets(NAMES))
    def split(self, cut):
        self.network.group = dict.fromkeys(cut, 1)

    @rule(name=NAMES)
    def kill(self, name):
        self.network.nodes.pop(name, None)

    @rule(name=NAMES)
    def replace(self, name):
        self.network.start(name)

    @rule(name=NAMES, paused=st.booleans())
    def pause(self, name, paused):
        if name in self.network.nodes:
            self.network.nodes[name].paused = paused

    @rule(name=NAMES)
    def leave(self, name):
        if name in self.network.nodes:
            self.network.nodes[name].leaving = True
            self.network.nodes[name].members.announce_leaving()

    @invariant()
    def nothing_goes_back(self):
        self.network.check()

    def teardown(self):
        try:
            self.heal()
        finally:
            structlog.reset_defaults()

    def heal(self):
        network = self.network
        network.loss, network.group = 0.0, {}
        for node in network.nodes.values():
            node.paused = False
        if not network.nodes:
            return
        network.read_platform(min(network.nodes), len(network.versions) - 1)
        for _ in range(CONVERGENCE_S):
            network.step()
            network.check()
            if network.has_converged():
                break
        assert network.has_converged(), describe(network)
        expected = {
            key: (number, digest)
            for key, (number, digest, _) in replay_naively(network.versions[-1]).items()
        }
        for node in network.nodes.values():
            found = {key: (e.number, e.digest) for key, e in node.facts.entries.items()}
            assert found == expected


def describe(network):
    return {
        node.name: (
            node.facts.digest(),
            sorted(node.facts.conflicts),
            sorted(node.facts.refused),
            [vm.name for vm in node.members.list_all()],
            node.members.list_view_digests(),
        )
        for node in network.nodes.values()
    }


FailingNetwork.TestCase.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    phases=(Phase.explicit, Phase.generate),
)
TestFailingNetwork = FailingNetwork.TestCase


def test_notices_of_refused_tickets_are_bounded_and_reach_a_fresh_vm():
    network = FakeNetwork({"a1": "a", "a2": "a"})
    for number in range(2 * MAX_REFUSED):
        objects = [{"kind": "pool", "name": f"no name {number}"}] * 200
        ticket = {"format": 1, "number": number, "author": "ana", "objects": objects}
        network.publish(msgspec.json.encode(ticket))
    network.read_platform("a1", len(network.versions) - 1)
    network.read_platform("a1", len(network.versions) - 1)
    network.nodes["a2"].exchange.pull("a1")
    found = network.nodes["a2"].facts.refused
    assert found == network.nodes["a1"].facts.refused
    assert len(found) == MAX_REFUSED
    assert sum(len(notice.reason) for notice in found.values()) <= MAX_REFUSED * MAX_REASON_CHARS


def test_refused_ticket_is_shown_by_all_though_its_notices_were_lost():
    network = FakeNetwork({"a1": "a", "a2": "a", "b1": "b"})
    network.publish(b"{")
    network.loss = 1.0
    network.read_platform("a1", len(network.versions) - 1)
    network.deliver()
    network.loss = 0.0
    for _ in range(CONVERGENCE_S):
        network.step()
    assert [len(node.facts.refused) for node in network.nodes.values()] == [1, 1, 1]
