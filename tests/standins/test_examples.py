"""Tests of the example change tickets."""

import hashlib
from pathlib import Path

import pytest

from balsamtally.contracts import Customer, PlainService, Policy, Pool, RequestClass
from balsamtally.facts import Facts
from balsamtally.machines import BackendServer
from balsamtally.tickets import decode_ticket
from balsamtally.zones import FailureDomain, RegionLink

EXAMPLES = Path(__file__).parents[2] / "examples"
USERS = ("medanos-libres", "board")


def load_facts(user: str) -> Facts:
    """Return the state after accepting all example tickets of a deployment."""
    facts = Facts()
    for path in sorted((EXAMPLES / user).glob("*.json")):
        ticket = decode_ticket(path.read_bytes())
        assert path.name.split("-")[0] == str(ticket.number)
        assert facts.accept(ticket)
    return facts


@pytest.mark.parametrize("user", USERS)
def test_example_references_hold(user):
    facts = load_facts(user)
    domains = {domain.name: domain.region for domain in facts.list(FailureDomain)}
    regions = sorted(set(domains.values()))
    assert len(domains) == len(regions) == 3
    links = {link.name for link in facts.list(RegionLink)}
    assert links == {f"{a}+{b}" for a in regions for b in regions if a < b}
    served = {item.name for kind in (Pool, PlainService) for item in facts.list(kind)}
    for backend in facts.list(BackendServer):
        assert backend.domain in domains
        assert set(backend.pools) <= served
    classes = {item.name for item in facts.list(RequestClass)}
    for customer in facts.list(Customer):
        assert set(customer.classes) <= classes
        key = f"example-key-of-{customer.name}"
        assert customer.key_hashes == (hashlib.sha256(key.encode()).hexdigest(),)


@pytest.mark.parametrize("user", USERS)
def test_example_sizes_are_those_of_today(user):
    facts = load_facts(user)
    roles = [backend.role for backend in facts.list(BackendServer)]
    assert (roles.count("model"), roles.count("service")) == (6, 3)
    assert len({backend.address for backend in facts.list(BackendServer)}) == 9
    assert len(facts.list(Customer)) == 10
    assert sorted(item.tier for item in facts.list(RequestClass)) == [0, 1, 2, 3]
    assert not any(item.preemptible for item in facts.list(RequestClass) if item.tier == 0)
    (service,) = facts.list(PlainService)
    assert sorted(operation.idempotent for operation in service.operations) == [False, True]


def test_users_weigh_outcomes_differently():
    medanos, board = (load_facts(user).find(Policy, "default") for user in USERS)
    assert medanos.live_weight > board.live_weight
    assert board.goodput_weight + board.waste_weight > medanos.goodput_weight + medanos.waste_weight
