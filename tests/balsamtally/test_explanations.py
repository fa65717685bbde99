"""Explanations of placements: equal to the real choice, and without any effect."""

from copy import deepcopy
from dataclasses import replace

import msgspec
import pytest

from balsamtally.backlogs import Load
from balsamtally.calls import Account, PromptPart, Repeat, Service
from balsamtally.errors import BackendRefused, BackendUnreachable
from balsamtally.explanations import answer_page
from tests.balsamtally.scripted import make_contracts, make_route
from tests.balsamtally.test_dispatch import ENGINE, World

QUERY = "host=host.example&path=/a/x&customer=cabo&part=s:100&part=o:20&answer=50"


def ask(world, query=QUERY, status=200):
    found, body = answer_page(query, world.dispatch, world.catalog, lambda service: None, "vm1")
    assert found == status
    return msgspec.json.decode(body)


def find_reasons(page):
    return {server["name"]: server["left_out"] for server in page["servers"]}


@pytest.mark.parametrize("engine", [ENGINE, None], ids=["model", "plain"])
def test_explanation_names_the_real_choice_and_changes_nothing(engine):
    """Guards against an explanation that counts as a call and moves the next ones."""
    world = World(engine)
    for name in "abc":
        world.add(name)
    parts = (PromptPart("s", 100), PromptPart("o", 20))
    runners = world.dispatch.runners
    runners.find_statistics("desk")
    before = deepcopy((runners._statistics, runners._sizes, world.backlogs.list_own()))
    pages = [ask(world) for _ in range(20)]
    assert all(page == pages[0] for page in pages)
    assert (runners._statistics, runners._sizes, world.backlogs.list_own()) == before
    assert not world.announced_reads and not world.dispatch.count_waiting()
    choice = world.choose(world.plan(1, parts, id="explain", body=b""))
    assert pages[0]["chosen"] == choice.backend.name and not pages[0]["waits"]
    assert pages[0]["decided_by"] == "vm1" and pages[0]["customer"] == "cabo"


def test_explanation_says_why_servers_are_left_out():
    world = World(None)
    world.catalog.contracts = make_contracts(
        make_route(Repeat.ALWAYS, allowed_regions=frozenset({"home"})),
        services={"desk": Service("desk", "/health", 100, None)},
        accounts={"key": Account("cabo")},
    )
    servers = {name: world.add(name) for name in ("full", "gone", "leaving", "open", "other")}
    world.add("far", "elsewhere")
    world.add("moved", "evacuated")
    world.catalog.evacuations.begin("evacuated", 1, "test")
    world.catalog.backends["leaving"] = replace(servers["leaving"], leaving=True)
    world.dispatch.record_outcome(servers["full"], world.plan(1), BackendRefused(), 0.1)
    world.dispatch.record_outcome(servers["gone"], world.plan(1), BackendUnreachable(), 0.1)
    reasons = find_reasons(ask(world))
    assert reasons == {
        "open": "",
        "other": "",
        "far": "outside the allowed regions",
        "full": "refused a call as full a moment ago",
        "gone": "ejected, or takes few calls after an ejection",
        "leaving": "draining",
        "moved": "not open, as its failure domain is evacuated",
    }


def test_explanation_of_an_even_choice_gives_probabilities():
    world = World(None)
    world.add("a")
    world.add("b")
    world.announce_loads("vm2", {"a": Load(2)})
    page = ask(world)
    assert page["chosen"] == "b"
    assert sum(server["share"] for server in page["servers"]) == pytest.approx(1.0)


def test_explanation_says_that_a_call_would_wait_or_be_refused():
    world = World()
    assert ask(world)["waits"] == "refused: no server"
    world.add("a")
    # The snapshot without the server expires.
    world.now += 1.0
    world.choose(world.plan(1, (PromptPart("x", 300_000),)))
    assert "no capacity" in ask(world)["waits"]


@pytest.mark.parametrize(
    ("query", "status"),
    [("host=host.example&path=/a/x&part=s", 400), ("host=host.example&path=/none", 200),
     ("host=host.example&path=/a/x&customer=nobody", 200)],
)  # fmt: skip
def test_calls_that_the_contracts_do_not_allow_are_reported(query, status):
    world = World()
    world.add("a")
    assert "error" in ask(world, query, status)
