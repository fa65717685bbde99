"""A simulated network of entry VMs that loses, delays, duplicates and reorders messages."""

from random import Random

import msgspec

from balsamtally.errors import OperatorError, PeerTimeout, PeerUnreachable
from balsamtally.exchange import Exchange
from balsamtally.facts import Facts
from balsamtally.heartbeats import Heartbeats
from balsamtally.machines import EntryVm
from balsamtally.members import Members
from balsamtally.messages import AnyMessage
from balsamtally.tickets import decode_ticket, digest_ticket, identify_object

_decoder = msgspec.msgpack.Decoder(AnyMessage)


def copy_message(message):
    return _decoder.decode(msgspec.msgpack.encode(message))


class NodeLinks:
    """The links of one node, in place of :class:`balsamtally.links.Links`."""

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.handlers = {}

    def call(self, vm, message, timeout_s):
        return self.network.call(self.name, vm, message)

    def cast(self, vm, message):
        self.network.in_flight.append((self.name, vm, copy_message(message)))

    def handle(self, kind, handler):
        self.handlers[kind] = handler


class Node:
    """The membership and ticket exchange of one entry VM process."""

    def __init__(self, network, name, domain, incarnation):
        self.name, self.domain = name, domain
        self.paused = self.leaving = False
        self.tasks = []
        self.links = NodeLinks(network, name)
        self.facts = Facts()
        own = EntryVm(name, "127.0.0.1:1", domain, domain, f"{incarnation:08d}")
        self.members = Members(own, lambda: network.now, generation=1)
        self.heartbeats = Heartbeats(
            self.members,
            self.links,
            self.facts.digest,
            lambda peer, digest: self.exchange.record_digest(peer, digest),
            lambda: self.members.is_coordinator("watch", 2),
            lambda: network.now,
            network.random,
            lambda step, *args: self.tasks.append((step, args)),
        )
        self.exchange = Exchange(
            self.facts, self.members, self.links, self.heartbeats, network.random
        )
        self.seen = {}

    def check_progress(self):
        """Fail if any object was replaced by an older ticket."""
        for key, entry in self.facts.entries.items():
            order = (entry.number, entry.digest)
            assert order >= self.seen.get(key, order), (self.name, key)
            self.seen[key] = order


class FakeNetwork:
    """The nodes, the messages in flight and the history of the platform's tickets."""

    def __init__(self, layout, seed=0):
        self.random = Random(seed)
        self.now = 1000.0
        self.loss = 0.0
        self.group = {}
        self.cut_pairs = set()
        self.in_flight = []
        self.started = 0
        self.nodes = {}
        self.versions = [[]]
        self.layout = dict(layout)
        for name in self.layout:
            self.start(name)

    def start(self, name):
        self.started += 1
        node = Node(self, name, self.layout[name], self.started)
        self.nodes[name] = node
        node.members.merge_listed(self.list_vms(), watching=False)

    def list_vms(self):
        return [EntryVm(name, "127.0.0.1:1", dom, dom) for name, dom in self.layout.items()]

    def is_cut(self, source, target):
        if frozenset((source, target)) in self.cut_pairs:
            return True
        return self.group.get(source, 0) != self.group.get(target, 0)

    def call(self, source, target, message):
        node = self.nodes.get(target)
        if node is None:
            raise PeerUnreachable(target)
        if node.paused or self.is_cut(source, target) or self.random.random() < self.loss:
            raise PeerTimeout(target)
        for _ in range(2 if self.random.random() < self.loss else 1):
            reply = node.links.handlers[type(message)](source, copy_message(message))
        if self.random.random() < self.loss:
            raise PeerTimeout(target)
        return copy_message(reply)

    def deliver(self):
        """Deliver the one-way messages in random order; some are lost, delayed or duplicated."""
        self.random.shuffle(self.in_flight)
        sent, self.in_flight = self.in_flight, []
        for source, target, message in sent:
            node = self.nodes.get(target)
            chance = self.random.random()
            if node is None or self.is_cut(source, target) or chance < self.loss:
                continue
            if node.paused or chance < 2 * self.loss:
                self.in_flight.append((source, target, message))
                continue
            node.links.handlers[type(message)](source, message)
            if chance < 3 * self.loss:
                self.in_flight.append((source, target, message))

    def step(self, seconds=1.0):
        """Let each running node send one heartbeat and pull once, in random order."""
        self.now += seconds
        names = sorted(self.nodes)
        self.random.shuffle(names)
        for name in names:
            node = self.nodes[name]
            if not node.paused:
                node.heartbeats.beat()
                self.run_tasks(node)
                node.exchange.pull_one()
        self.deliver()

    def run_tasks(self, node):
        while node.tasks:
            step, args = node.tasks.pop(self.random.randrange(len(node.tasks)))
            step(*args)

    def publish(self, body):
        self.versions.append([*self.versions[-1], (f"t/{len(self.versions)}", body)])

    def read_platform(self, name, version):
        self.nodes[name].exchange.merge_published(self.versions[version])

    def check(self):
        for node in self.nodes.values():
            node.check_progress()

    def has_converged(self):
        running = [node for node in self.nodes.values() if not node.paused]
        live = {node.name for node in running if not node.leaving}
        domains = {node.domain for node in running}
        states = {
            (node.facts.digest(), *sorted(node.facts.conflicts), *sorted(node.facts.refused))
            for node in running
        }
        return len(states) == 1 and all(
            {vm.name for vm in node.members.list_all() if vm.domain in domains} == live
            for node in running
        )


def replay_naively(rows):
    """Return ticket number, digest and value of each object, by applying all tickets in order."""
    tickets = []
    for _, body in rows:
        try:
            ticket = decode_ticket(body)
        except OperatorError:
            continue
        tickets.append((ticket.number, digest_ticket(ticket), ticket))
    state = {}
    for number, digest, ticket in sorted(tickets, key=lambda row: row[:2]):
        for item in ticket.objects:
            state[identify_object(item)] = (number, digest, item)
    return state
