"""Stateful test of VMs that list, watch, pull from each other and start again, in any order."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamtally.catalog import Catalog, Decoder
from balsamtally.records import Record
from tests.balsamtally.scripted import make_backend

KEYS = st.sampled_from("ab")
VMS = st.integers(0, 2)
FIRST_PAGE = "a"
DECODER = Decoder(lambda record: None, lambda key: key, lambda name, value: make_backend(name))


class RestartedVms(RuleBasedStateMachine):
    """A platform whose keys come and go, and VMs whose listings and pulls take their time."""

    def __init__(self):
        super().__init__()
        self.revision = 10
        self.content = {}
        self.contents = {10: {}}
        self.events = []
        self.vms = [Catalog(DECODER) for _ in range(3)]
        self.listings = [None] * 3
        self.pulls = [None] * 3

    @rule(key=KEYS, removes=st.booleans())
    def write(self, key, removes):
        self.revision += 1
        self.content = {k: record for k, record in self.content.items() if k != key}
        record = Record(key, self.revision, None if removes else b"%d" % self.revision)
        if not removes:
            self.content[key] = record
        self.events.append(record)
        self.contents[self.revision] = self.content

    @rule(vm=VMS)
    def restart(self, vm):
        self.vms[vm] = Catalog(DECODER)
        self.listings[vm] = self.pulls[vm] = None

    @rule(vm=VMS)
    def read(self, vm):
        if self.vms[vm].records.complete_revision:
            self.watch(vm)
        else:
            self.read_first_page(vm)
            self.read_last_page(vm)

    @rule(vm=VMS)
    def read_first_page(self, vm):
        page = [record for key, record in self.content.items() if key in FIRST_PAGE]
        self.listings[vm] = (self.revision, page)

    @rule(vm=VMS)
    def read_last_page(self, vm):
        if self.listings[vm] is not None:
            at, page = self.listings[vm]
            page = page + [r for key, r in self.content.items() if key not in FIRST_PAGE]
            self.vms[vm].merge_listing(page, at, "platform")
            self.listings[vm] = None

    def watch(self, vm):
        known = self.vms[vm].records.complete_revision
        if known:
            self.vms[vm].merge(self.events_after(known), "platform", self.revision)

    @rule(asking=VMS, asked=VMS, at_once=st.booleans())
    def pull(self, asking, asked, at_once):
        era, since = self.vms[asking].records.position
        self.pulls[asking] = self.vms[asked].make_update(since, era)
        if at_once:
            self.receive(asking)

    @rule(vm=VMS)
    def receive(self, vm):
        if self.pulls[vm] is not None:
            self.vms[vm].merge_update(self.pulls[vm], "peer")
            self.pulls[vm] = None

    @invariant()
    def values_are_those_of_the_platform(self):
        for vm in self.vms:
            known = vm.records.complete_revision
            if known:
                held = {record.key: record for record in vm.records.list_all()}
                for key in held.keys() | self.contents[known].keys():
                    self.check(key, held.get(key), known)
                assert vm.backends.keys() == {k for k, r in held.items() if r.value is not None}

    def check(self, key, held, known):
        """Check what a VM holds under a key that didn't change after its complete revision."""
        if held is not None and held.revision > known:
            return
        value = held.value if held is not None else None
        published = self.contents[known].get(key)
        assert value == (published.value if published else None) or (
            # The last page of a listing may already lack it.
            value is None
            and any(e.key == key and e.value is None for e in self.events_after(known))
        )

    def events_after(self, revision):
        return [event for event in self.events if event.revision > revision]

    def teardown(self):
        for vm in range(3):
            self.receive(vm)
            self.watch(vm)
        self.values_are_those_of_the_platform()


RestartedVms.TestCase.settings = settings(max_examples=600, stateful_step_count=40)
# Guards against removals that are not passed on by VMs that started after them, and against late
# answers to pulls that bring removed keys back.
TestRestartedVms = RestartedVms.TestCase
