"""Stateful test of records over restorations of the platform, against the platform's content."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamtally.catalog import Catalog, Decoder
from balsamtally.records import Record

KEYS = st.sampled_from("abc")
VMS = st.integers(0, 2)


def read_sequence(key, value):
    return (int(value),)


DECODER = Decoder(lambda record: None, lambda key: None, None, read_sequence)


class RestoredPlatform(RuleBasedStateMachine):
    """A platform that goes back to copies, its writers, and entry VMs that list, watch and pull."""

    def __init__(self):
        super().__init__()
        self.revision, self.era = 10, 0
        self.content = {}
        self.events = []
        self.copies = []
        self.written = {}
        self.sequence = 0
        self.catalogs = [Catalog(DECODER) for _ in range(3)]
        self.vms = [catalog.records for catalog in self.catalogs]
        self.seen = [{} for _ in self.vms]
        self.positions = [(0, 0)] * 3

    def _write(self, key, value):
        self.revision += 1
        if value is None:
            self.content.pop(key, None)
        else:
            self.content[key] = (self.revision, value)
        self.events.append((self.revision, key, value))

    @rule(key=KEYS, removes=st.booleans())
    def write(self, key, removes):
        self.sequence += 1
        self.written[key] = None if removes else b"%d" % self.sequence
        self._write(key, self.written[key])

    @rule()
    def copy(self):
        self.copies.append((self.revision, dict(self.content), list(self.events)))

    @rule(draw=st.data())
    def restore(self, draw):
        if self.copies:
            number = draw.draw(st.integers(0, len(self.copies) - 1))
            self.revision, content, events = self.copies[number]
            self.content, self.events = dict(content), list(events)
            self.copies = self.copies[: number + 1]
            self.era += 1

    @rule(key=KEYS)
    def write_again(self, key):
        """Let a writer write its last value again, as after a restoration."""
        if key in self.written and self.content.get(key, (0, None))[1] != self.written[key]:
            self._write(key, self.written[key])

    @rule(vm=VMS)
    def restart(self, vm):
        self.catalogs[vm] = Catalog(DECODER)
        self.vms[vm] = self.catalogs[vm].records
        self.seen[vm], self.positions[vm] = {}, (0, 0)

    def _list(self, records):
        items = [Record(key, at, value, self.era) for key, (at, value) in self.content.items()]
        records.merge_listing(items, self.revision, self.era)

    @rule(vm=VMS)
    def read(self, vm):
        records = self.vms[vm]
        if records.era < self.era or not records.complete_revision:
            self._list(records)
            return
        since = records.complete_revision
        records.merge(
            Record(key, at, value, self.era) for at, key, value in self.events if at > since
        )
        records.record_complete_revision(self.revision, self.era)

    @rule(asking=VMS, asked=VMS)
    def pull(self, asking, asked):
        era, since = self.vms[asking].position
        if self.vms[asked].position > (era, since):
            update = self.catalogs[asked].make_update(since, era)
            self.catalogs[asking].merge_update(update, "peer")

    @invariant()
    def nothing_goes_back(self):
        for number, records in enumerate(self.vms):
            assert records.position >= self.positions[number]
            self.positions[number] = records.position
            for record in records.list_all():
                if record.value is None:
                    continue
                sequence = read_sequence(record.key, record.value)
                assert sequence >= self.seen[number].get(record.key, sequence)
                self.seen[number][record.key] = sequence

    def teardown(self):
        for key, value in self.written.items():
            if self.content.get(key, (0, None))[1] != value:
                self._write(key, value)
        for number, records in enumerate(self.vms):
            self.read(number)
            held = {r.key: r.value for r in records.list_all() if r.value is not None}
            assert held == {key: value for key, (_, value) in self.content.items()}


RestoredPlatform.TestCase.settings = settings(max_examples=600, stateful_step_count=40)
TestRestoredPlatform = RestoredPlatform.TestCase
