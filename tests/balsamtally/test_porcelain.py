"""Tests of the operations behind the command-line tool, mostly against simpler models."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamtally.contracts import Customer, RequestClass
from balsamtally.facts import Facts
from balsamtally.machines import BackendServer
from balsamtally.porcelain import (
    apply_ticket,
    compare_objects,
    drain_backend,
    find_dangling_references,
    find_faults,
    merge_tickets,
)
from balsamtally.tickets import Removed, Ticket, encode_ticket, identify_object

NAMES = st.sampled_from("abc")
OBJECTS = st.one_of(
    st.builds(RequestClass, NAMES, st.integers(0, 3), st.just(1400.0)),
    st.builds(
        Customer,
        NAMES,
        st.just(()),
        st.lists(NAMES, max_size=2, unique=True).map(tuple),
        st.sampled_from([1.0, 2.0]),
    ),
    st.builds(Removed, NAMES, st.sampled_from(["class", "customer"])),
)
STATES = st.lists(OBJECTS, max_size=5, unique_by=identify_object)
TICKETS = st.builds(
    lambda number, objects: Ticket(1, number, "ana", tuple(objects)),
    st.integers(1, 6),
    STATES.filter(bool),
)
CHECKED = settings(max_examples=80)


def index(objects):
    return {identify_object(item): item for item in objects}


@CHECKED
@given(st.lists(TICKETS, max_size=6), st.randoms(use_true_random=False))
def test_merged_tickets_equal_the_state_of_a_daemon(tickets, random):
    facts = Facts()
    for ticket in tickets:
        facts.accept(ticket)
    random.shuffle(tickets)
    state = merge_tickets(tickets)
    assert state.objects == {key: entry.item for key, entry in facts.entries.items()}
    assert state.numbers == {key: entry.number for key, entry in facts.entries.items()}


@CHECKED
@given(st.lists(TICKETS, max_size=4, unique_by=lambda ticket: ticket.number), TICKETS)
def test_applying_a_ticket_equals_merging_all_tickets(tickets, ticket):
    tickets = [other for other in tickets if other.number != ticket.number]
    state = merge_tickets(tickets)
    result, warnings = apply_ticket(state, ticket)
    assert result == merge_tickets([*tickets, ticket])
    kept = [key for key in index(ticket.objects) if state.numbers.get(key, 0) > ticket.number]
    assert len(warnings) == len(kept)


@CHECKED
@given(STATES, STATES)
def test_applying_the_differences_to_one_state_gives_the_other(before, after):
    old, new = index(before), index(after)
    result = {
        key: msgspec.to_builtins(item) for key, item in old.items() if not isinstance(item, Removed)
    }
    for change in compare_objects(old, new):
        key = (change.kind, change.name)
        if change.field != "*":
            assert result[key][change.field] == change.before != change.after
            result[key][change.field] = change.after
        elif change.after is None:
            assert result.pop(key) == change.before
        else:
            assert key not in result
            result[key] = change.after
    assert result == {
        key: msgspec.to_builtins(item) for key, item in new.items() if not isinstance(item, Removed)
    }


@CHECKED
@given(STATES)
def test_dangling_references_match_an_exhaustive_search(objects):
    expected = []
    for item in objects:
        if isinstance(item, Customer):
            for name in item.classes:
                if not any(isinstance(o, RequestClass) and o.name == name for o in objects):
                    expected.append(f"customer {item.name!r}: classes: no class {name!r}")
    assert find_dangling_references(objects) == expected


@CHECKED
@given(st.sets(st.integers(0, 5)))
def test_each_object_with_a_field_of_the_wrong_type_is_listed(broken):
    objects = [{"kind": "domain", "name": f"d-{index}", "region": "r"} for index in range(6)]
    for position in broken:
        objects[position]["region"] = position
    body = msgspec.json.encode({"format": 1, "number": 1, "author": "a", "objects": objects})
    faults = [fault.split(":")[0] for fault in find_faults(body)]
    assert faults == [f"$.objects[{position}].region" for position in sorted(broken)]


@CHECKED
@given(st.binary(max_size=30) | st.sampled_from([b"[]", b'{"objects": 3}', b'{"objects": [3]}']))
def test_malformed_ticket_has_faults(body):
    assert find_faults(body)


def test_drain_changes_only_the_leaving_field():
    backend = BackendServer("m", "model", "127.0.0.1:9", "rocha-a", ("waivers-8b",), slots=3)
    state = merge_tickets([Ticket(1, 41, "ana", (backend,))])
    ticket = drain_backend(state, "m", None, "bruno")
    assert ticket.number == 42 and not find_faults(encode_ticket(ticket))
    assert ticket.objects == (msgspec.structs.replace(backend, leaving=True),)
