"""Tests of the state in force, compared with a naive replay of the tickets."""

from collections import defaultdict

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamtally.contracts import Customer, Pool
from balsamtally.facts import Facts
from balsamtally.messages import TicketNotice
from balsamtally.tickets import Removed, Ticket, check_ticket, digest_ticket, encode_ticket
from tests.balsamtally.fake_network import replay_naively

HASHES = st.sampled_from(["a" * 64, "b" * 64])
OBJECTS = st.one_of(
    st.builds(Pool, name=st.sampled_from("pqr"), aliases=st.tuples(st.sampled_from("xyp"))),
    st.builds(
        Customer,
        name=st.sampled_from("cd"),
        key_hashes=st.tuples(HASHES),
        classes=st.just(("live",)),
    ),
    st.builds(Removed, name=st.sampled_from("pqr"), of=st.just("pool")),
)
TICKETS = st.builds(
    Ticket,
    format=st.just(1),
    number=st.integers(1, 5),
    author=st.sampled_from(["ana", "ravi"]),
    objects=st.lists(OBJECTS, min_size=1, max_size=3, unique_by=lambda item: item.name).map(tuple),
).filter(lambda ticket: not check_ticket(ticket))


def merge(tickets):
    facts = Facts()
    for ticket in tickets:
        facts.accept(ticket)
    return facts


@settings(max_examples=150)
@given(st.lists(TICKETS, max_size=8), st.data())
def test_merge_in_any_order_equals_naive_replay(tickets, data):
    shuffled = data.draw(st.permutations(tickets + tickets[:3]))
    facts = merge(shuffled)
    naive = replay_naively([("", encode_ticket(ticket)) for ticket in tickets])
    found = {key: (e.number, e.digest, e.item) for key, e in facts.entries.items()}
    assert found == naive
    assert facts.digest() == merge(tickets).digest()

    active = {(number, digest) for number, digest, _ in naive.values()}
    assert set(facts.list_ticket_ids(range(64))[0]) == active
    assert all(facts.get_body(ticket_id) for ticket_id in active)

    digests = defaultdict(set)
    for ticket in tickets:
        digests[ticket.number].add(digest_ticket(ticket))
    assert facts.conflicts == {n: found for n, found in digests.items() if len(found) > 1}


@settings(max_examples=100)
@given(st.lists(TICKETS, min_size=1, max_size=8))
def test_lookups_follow_the_state_in_force(tickets):
    facts = Facts()
    for ticket in tickets:
        facts.accept(ticket)
        ranked = sorted(facts.entries.values(), key=lambda e: (e.number, e.digest, e.item.name))
        for key in ("a" * 64, "b" * 64):
            owners = [e.item for e in ranked if key in getattr(e.item, "key_hashes", ())]
            assert facts.find_customer(key) == (owners[-1] if owners else None)
        pools = [e.item for e in ranked if isinstance(e.item, Pool)]
        assert facts.list(Pool) == sorted(pools, key=lambda pool: pool.name)
        for name in "pqrxy":
            named = [pool for pool in pools if pool.name == name]
            aliased = [pool for pool in pools if name in pool.aliases]
            assert facts.find_pool(name) == next(reversed(named or aliased), None)


def test_watchers_receive_changes_although_another_fails():
    facts = Facts()
    received = []
    facts.watch(lambda changed: 1 / 0)
    facts.watch(received.append)
    facts.accept(Ticket(1, 2, "ana", (Pool("p"), Pool("q"))))
    facts.accept(Ticket(1, 1, "ana", (Pool("p"), Pool("r"))))
    facts.accept(Ticket(1, 1, "ana", (Pool("p"), Pool("r"))))
    assert received == [{("pool", "p"), ("pool", "q")}, {("pool", "r")}]


def test_refused_tickets_count_in_the_digest_until_some_may_have_been_dropped(monkeypatch):
    monkeypatch.setattr("balsamtally.facts.MAX_REFUSED", 3)
    facts, other = Facts(), Facts()
    facts.record_refused(TicketNotice("1", "key", "why"))
    assert facts.digest() != other.digest()
    for number in (2, 3, 4):
        facts.record_refused(TicketNotice(str(number), "key", "why"))
    assert facts.digest() == other.digest()


def test_memory_is_bounded(monkeypatch):
    monkeypatch.setattr("balsamtally.facts.MAX_KNOWN_NUMBERS", 20)
    monkeypatch.setattr("balsamtally.facts.MAX_CONFLICTS", 5)
    monkeypatch.setattr("balsamtally.facts.MAX_REFUSED", 5)
    facts = Facts()
    for number in range(1, 100):
        for author in ("ana", "ravi"):
            facts.accept(Ticket(1, number, author, (Pool("p"),)))
        facts.record_refused(TicketNotice(str(number), "key", "why"))
    assert len(facts._active) == 1
    assert len(facts._digests) == 20
    assert sorted(facts.conflicts) == [95, 96, 97, 98, 99]
    assert len(facts._conflicting) <= 5
    assert list(facts.refused) == ["95", "96", "97", "98", "99"]
