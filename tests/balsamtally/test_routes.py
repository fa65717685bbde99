"""Tests of the routes: what is remembered against what a fresh look finds."""

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamtally.facts import Facts
from balsamtally.load import RunnerView
from balsamtally.machines import BackendServer, EntryVm
from balsamtally.members import Members
from balsamtally.messages import Ask, MemberState
from balsamtally.routes import Routes
from balsamtally.tickets import Ticket

DOMAINS = ("d0", "d1")
POOLS = ("m0", "m1")
backends = st.builds(
    lambda number, domain, pool: BackendServer(
        f"runner-{number}", "model", f"10.0.0.{number}:80", domain, (pool,)
    ),
    st.integers(0, 40),
    st.sampled_from(DOMAINS),
    st.sampled_from(POOLS),
)
members = st.builds(
    lambda number, generation, status: MemberState(
        f"vm-{number}", f"10.9.0.{number}:81", DOMAINS[number % 2], "r", "i", generation, status
    ),
    st.integers(1, 8),
    st.integers(1, 5),
    st.integers(0, 3),
)


def make_views(servers, pool):
    return [RunnerView(server.name, server.slots) for server in servers]


def look(routes):
    """Return all that routes tell."""
    found = []
    for pool in POOLS:
        found.append(routes.list_domains(pool))
        found.append(routes.list_grantable_runners(pool, make_views))
        for domain in DOMAINS:
            found.append(routes.list_runners(pool, domain))
            found.append(routes.list_coordinators(pool, domain))
            found.append(routes.rank(Ask("req", 1, pool, "c", "live"), domain))
        found += [routes.find_coordinator(pool, f"runner-{number}") for number in range(41)]
    return found


@settings(max_examples=60)
@given(st.lists(backends | members, max_size=25))
def test_remembered_routes_are_those_of_a_fresh_look(changes):
    facts, known = Facts(), Members(EntryVm("vm-0", "10.9.0.0:81", "d0", "r", "i"))
    routes = Routes("d0", facts, known)
    for number, change in enumerate(changes, 1):
        if isinstance(change, BackendServer):
            facts.accept(Ticket(1, number, "ana", (change,)))
        else:
            known.merge_state(change)
        assert look(routes) == look(Routes("d0", facts, known))


def test_large_pool_has_several_coordinators_that_divide_its_runners():
    facts, known = Facts(), Members(EntryVm("vm-0", "10.9.0.0:81", "d0", "r", "i"))
    servers = tuple(
        BackendServer(f"runner-{number}", "model", f"10.0.0.{number}:80", "d0", ("m0",))
        for number in range(60)
    )
    facts.accept(Ticket(1, 1, "ana", servers))
    for number in range(1, 9):
        known.merge_state(MemberState(f"vm-{number}", f"10.9.0.{number}:81", "d0", "r", "i", 1))
    routes = Routes("d0", facts, known)
    coordinators = routes.list_coordinators("m0", "d0")
    responsible = [routes.find_coordinator("m0", server.name) for server in servers]
    assert len(coordinators) == 3
    assert set(responsible) == set(coordinators)
    first = {routes.rank(Ask(f"req-{n}", 1, "m0", "c", "live"), "d0")[0] for n in range(60)}
    assert first == set(coordinators)
