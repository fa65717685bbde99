"""Tier of a call under the contracts, and its urgency among all calls."""

from itertools import product

import pytest

from balsamtally.calls import Account, Repeat
from balsamtally.plans import make_plan
from tests.balsamtally.scripted import make_call, make_contracts, make_route


def plan(customer_tier, route_tier):
    route = make_route(Repeat.RESUME, True, tier=route_tier)
    contracts = make_contracts(route, accounts={"": Account("desk", customer_tier)})
    return make_plan(make_call(key=""), contracts)


def test_tier_of_a_customer_overrides_the_tier_of_the_route():
    assert plan(1, 2).tier == 1
    assert plan(None, 2).tier == 2


def test_urgency_is_ordered_by_tier_and_then_by_the_tier_of_the_route():
    pairs = sorted(product(range(3), range(3)))
    ranks = [plan(*pair).urgency for pair in pairs]
    assert ranks == sorted(set(ranks))
    assert plan(1, 7).urgency < plan(2, 0).urgency


@pytest.mark.parametrize(
    ("route_regions", "customer_regions", "expected"),
    [
        (None, None, None),
        ({"a", "b"}, None, {"a", "b"}),
        (None, {"b"}, {"b"}),
        ({"a", "b"}, {"b", "c"}, {"b"}),
        ({"a"}, {"b"}, set()),
    ],
)
def test_regional_limits_of_route_and_customer_both_apply(
    route_regions, customer_regions, expected
):
    """Guards against a limit of the customer that replaces the one of the route."""
    route = make_route(allowed_regions=route_regions and frozenset(route_regions))
    account = Account("desk", None, customer_regions and frozenset(customer_regions))
    contracts = make_contracts(route, accounts={"": account})
    assert make_plan(make_call(key=""), contracts).allowed_regions == expected
