"""Choice, waiting and outcomes with the real parts joined, on a clock of the test's own."""

from dataclasses import replace

import gevent
import pytest
from structlog.testing import capture_logs

from balsamtally.backlogs import Backlogs, Load
from balsamtally.beats import Beat, PromptRead
from balsamtally.calls import Engine, PromptPart, Repeat, Service
from balsamtally.catalog import Catalog, Decoder
from balsamtally.dispatch import PUMP_S, Dispatch
from balsamtally.errors import (
    AnswerCut,
    BackendLeaving,
    BackendRefused,
    BackendUnreachable,
    NoAnswer,
    TargetHopeless,
)
from balsamtally.plans import CallProgress, make_plan
from balsamtally.runners import LOOK_OLD_S
from tests.balsamtally.scripted import make_backend, make_call, make_contracts, make_route

DRAFT = (PromptPart("first", 2500), PromptPart("session", 3800), PromptPart("own", 2900))


# The test's clock stands still, so that a call without room would wait for ever.
WAIT_S = 10.0
ENGINE = Engine(64, 300_000)


class World:
    def __init__(self, engine=ENGINE, region="home"):
        self.now = 100.0
        self.engine = engine
        self.catalog = Catalog(Decoder(None, None, None), lambda: self.now)
        self.catalog.contracts = make_contracts(
            make_route(Repeat.RESUME, True),
            services={"desk": Service("desk", "/health", 100, engine)},
        )
        self.backlogs = Backlogs(lambda: self.now)
        self.told = []
        self.lags = []
        self.dispatch = Dispatch(
            self.catalog, self.backlogs, lambda domain: domain, region, self.told.append,
            lambda: self.now, lambda route, lag_s: self.lags.append((route, lag_s)),
        )  # fmt: skip

    def add(self, name, domain="home"):
        self.catalog.backends[name] = make_backend(name, domain=domain, slots=64)
        return self.catalog.backends[name]

    def plan(self, number=1, parts=DRAFT, **changes):
        tokens = sum(part.tokens for part in parts)
        fields = {"id": f"id{number}", "parts": parts, "prompt_tokens": tokens}
        fields |= {"arrived_s": self.now, "deadline_s": 5.0, "body": b"x" * 18_000}
        return make_plan(make_call(**fields | changes), self.catalog.contracts)

    def tell(self, peer, loads):
        """Take in what a peer tells, and pass the time for which an older look holds."""
        self.backlogs.record_peer_loads(peer, loads)
        self.now += 1.01 * LOOK_OLD_S

    def choose(self, plan, **progress):
        with gevent.Timeout(WAIT_S):
            return self.dispatch.choose(plan, CallProgress(**progress))


@pytest.fixture
def world():
    return World()


def test_session_returns_to_the_runner_that_read_it(world):
    for name in "abc":
        world.add(name)
    first = world.choose(world.plan(1))
    first.work.record_answer_start()
    first.work.cancel()
    for number in range(2, 8):
        choice = world.choose(world.plan(number))
        assert choice.backend == first.backend
        choice.work.cancel()


def test_read_that_a_peer_tells_of_draws_the_session_to_its_runner(world):
    world.add("a")
    far = world.add("far", "elsewhere")
    read = PromptRead("far", (("first", 2500), ("session", 3800)))
    beat = Beat("vm2", "10.0.0.2", "elsewhere", "1", 0, False, {}, (), (read,))
    world.dispatch.record_beat(beat)
    assert world.choose(world.plan()).backend is far
    assert world.told[-1].backend == "far"


def test_avoided_ejected_and_full_runners_are_passed_over(world):
    one, two = world.add("a"), world.add("b")
    assert world.choose(world.plan(1), avoid={"a"}).backend is two
    world.dispatch.record_outcome(one, world.plan(2), BackendUnreachable(), 0.1)
    assert world.choose(world.plan(3)).backend is two
    world.dispatch.record_outcome(two, world.plan(4), BackendRefused(), 0.1)
    assert world.choose(world.plan(5)).backend in (one, two)
    world.now += 60.0
    assert {world.choose(world.plan(n, ())).backend.name for n in range(6, 40)} == {"a", "b"}


def test_no_more_than_half_of_a_service_is_ejected(world):
    servers = [world.add(name) for name in "abcd"]
    for server in servers:
        world.dispatch.record_outcome(server, world.plan(1), BackendUnreachable(), 0.1)
    chosen = {
        world.choose(world.plan(n, (PromptPart(f"s{n}", 10),))).backend.name for n in range(60)
    }
    assert chosen == {"c", "d"}


def test_little_time_and_a_planned_leave_eject_nobody(world):
    one, _ = world.add("a"), world.add("b")
    for number in range(9):
        world.dispatch.record_outcome(one, world.plan(number), NoAnswer(), 0.3)
        world.dispatch.record_outcome(one, world.plan(number), BackendLeaving(), 0.0)
    assert one.key not in world.dispatch.runners._health
    for number in range(3):
        world.dispatch.record_outcome(one, world.plan(number), NoAnswer(), 3.0)
    assert world.dispatch.runners._health[one.key].ejected_until > world.now


def test_failures_in_a_row_eject_and_a_success_brings_back(world):
    one, _ = world.add("a"), world.add("b")
    for number in range(3):
        world.dispatch.record_outcome(one, world.plan(number), AnswerCut(), 0.1)
    chosen = {
        world.choose(world.plan(n, (PromptPart(f"s{n}", 10),))).backend.name for n in range(9)
    }
    assert chosen == {"b"}
    world.now += 60.0
    world.dispatch.record_outcome(one, world.plan(99), None, 0.1)
    world.now += 60.0
    chosen = {
        world.choose(world.plan(n, (PromptPart(f"s{n}", 10),))).backend.name for n in range(99)
    }
    assert chosen == {"a", "b"}


def test_log_tells_whose_work_was_counted_and_metrics_how_late_the_answer_began(world):
    world.add("a")
    for place in range(3):
        world.tell(f"vm{place}", {"a": Load(1, (100,), 200)})
    with capture_logs() as lines:
        choice = world.choose(world.plan())
    [line] = [line for line in lines if line["event"] == "routed"]
    assert (line["told_by"], line["running"], line["close"]) == (3, 3, False)
    world.now += 2.0
    choice.work.record_answer_start()
    [(route, lag_s)] = world.lags
    assert route == "route"
    assert lag_s == pytest.approx(2.0 - line["expected_ms"] / 1000, abs=0.001)


def test_nothing_open_is_told_at_once(world):
    assert world.choose(world.plan()) is None


def test_call_waits_for_room_and_goes_as_soon_as_there_is_some(world):
    world.add("a")
    held = [world.choose(world.plan(number, ())) for number in range(2)]
    big = world.choose(world.plan(3, (PromptPart("x", 30_000),)))
    waiting = gevent.spawn(world.choose, world.plan(4))
    gevent.sleep(0.05)
    assert not waiting.ready()
    big.work.record_answer_start()
    assert waiting.get(timeout=5).backend.name == "a"
    assert len(held) == 2


def test_urgent_call_is_let_into_a_backlog_that_is_full_for_others(world):
    world.add("a")
    world.dispatch.record_beat(Beat("vm2", "10.0.0.2", "home", "1", 0, False, {}, ()))
    world.tell("vm2", {"a": Load(3, (0, 0, 0, 0, 10_000), 30_000)})
    late = gevent.spawn(world.choose, world.plan(1))
    contracts = world.catalog.contracts
    world.catalog.contracts = make_contracts(
        make_route(Repeat.RESUME, True, tier=0), services=contracts.services
    )
    assert world.choose(world.plan(2)).backend.name == "a"
    gevent.sleep(0.05)
    assert late.ready() is False or late.value is not None
    late.kill()


def test_prompts_of_less_urgent_calls_are_no_backlog_to_an_urgent_one(world):
    world.add("a")
    plan = world.plan(1)
    behind, before = [0] * 10, [0] * 10
    behind[plan.urgency + 1] = before[plan.urgency] = 30_000
    world.tell("vm2", {"a": Load(9, tuple(behind), 30_000)})
    world.choose(plan).work.cancel()
    world.tell("vm2", {"a": Load(9, tuple(before), 30_000)})
    waiting = gevent.spawn(world.choose, world.plan(2))
    gevent.sleep(0.05)
    assert not waiting.ready()
    waiting.kill()


def test_late_call_holds_back_no_less_urgent_one_that_can_be_on_time(world):
    world.add("a")
    world.tell("vm2", {"a": Load(1, (6_000,), 6_000)})
    plan = world.plan(1, ())
    late = replace(plan, urgency=plan.urgency - 1)
    late = replace(late, call=replace(late.call, arrived_s=world.now - 1.0))
    waiting = gevent.spawn(world.choose, late)
    gevent.sleep(0.05)
    assert not waiting.ready()
    assert world.choose(world.plan(2, ())).backend.name == "a"
    assert not waiting.ready()
    waiting.kill()


def test_call_without_hope_is_refused_at_once_with_a_time_to_come_back(world):
    world.add("a")
    world.choose(world.plan(1, (PromptPart("x", 150_000),)))
    with pytest.raises(TargetHopeless) as caught:
        world.choose(world.plan(2, deadline_s=1.0))
    assert caught.value.retry_after_s > 0


def test_call_is_not_given_up_for_the_time_that_less_urgent_ones_take_from_its_answer(world):
    world.add("a")
    urgent = world.plan(1, (), deadline_s=3.0, hinted_tokens=110)
    world.tell("vm2", {"a": Load(3, (12_000,), 30_000)})
    with pytest.raises(TargetHopeless):
        world.choose(urgent)
    routes = (make_route(Repeat.RESUME, True, tier=2),)
    services = world.catalog.contracts.services
    world.tell("vm2", {})
    world.catalog.contracts = make_contracts(*routes, services=services)
    world.choose(world.plan(2, ())).work.cancel()
    world.tell("vm2", {"a": Load(3, (12_000,), 30_000)})
    waiting = gevent.spawn(world.choose, urgent)
    gevent.sleep(0.05)
    assert not waiting.ready()
    world.tell("vm2", {})
    world.dispatch.pump_all()
    assert waiting.get(timeout=5).backend.name == "a"


def test_caller_that_leaves_while_it_waits_takes_nothing(world):
    world.add("a")
    big = world.choose(world.plan(1, (PromptPart("x", 30_000),)))
    waiting = gevent.spawn(world.choose, world.plan(2))
    gevent.sleep(0.05)
    waiting.kill()
    big.work.cancel()
    world.dispatch.pump_all()
    left = world.backlogs.find("a")
    assert (left.running, left.reading_tokens, left.memory_tokens) == (0, 0, 0)


def test_plain_service_does_not_wait():
    world = World(engine=None)
    world.add("a")
    for number in range(200):
        assert world.choose(world.plan(number, ())).backend.name == "a"


def test_what_is_gone_is_forgotten(world):
    one = world.add("a")
    world.choose(world.plan(1))
    world.dispatch.record_outcome(one, world.plan(1), AnswerCut(), 0.1)
    del world.catalog.backends["a"]
    world.catalog.contracts = make_contracts()
    world.dispatch.forget_removed()
    runners = world.dispatch.runners
    assert not runners._caches and not runners._health and not runners._sizes


def test_calls_that_share_an_id_go_in_one_round(world):
    world.add("a")
    big = world.choose(world.plan(1, (PromptPart("x", 30_000),)))
    twins = [gevent.spawn(world.choose, world.plan(2, ())) for _ in range(2)]
    gevent.sleep(0.05)
    big.work.record_answer_start()
    gevent.joinall(twins, timeout=WAIT_S / 2)
    assert [twin.value.backend.name for twin in twins if twin.value] == ["a", "a"]


def test_only_the_incarnation_that_was_chosen_and_is_not_leaving_is_open(world):
    chosen = world.add("a")
    assert world.dispatch.is_open(chosen)
    world.catalog.backends["a"] = replace(chosen, leaving=True)
    assert not world.dispatch.is_open(chosen)
    world.catalog.backends["a"] = replace(chosen, born=chosen.born + 1)
    assert not world.dispatch.is_open(chosen)
    del world.catalog.backends["a"]
    assert not world.dispatch.is_open(chosen)


LIVE = (PromptPart("greeting", 300), PromptPart("own live", 800))


LIVE_FIELDS = {"target": b"/live/x", "hinted_tokens": 280}


def make_mixed_world(region="home"):
    """Return a world with long prompts beside live streams whose pauses are bound closely."""
    world = World(Engine(64, 300_000, event_tokens=5), region)
    world.catalog.contracts = make_contracts(
        make_route(Repeat.RESUME, True, name="draft", gap_s=0.6),
        make_route(Repeat.RESUME, True, name="live", path_prefix="/live/", gap_s=0.12),
        services={"desk": Service("desk", "/health", 100, world.engine)},
    )
    return world


def test_live_streams_and_long_prompts_go_to_different_runners():
    world = make_mixed_world()
    for name in "abcdef":
        world.add(name)
    live = [world.choose(world.plan(n, LIVE, **LIVE_FIELDS)).backend for n in range(10)]
    parts = [(PromptPart(f"p{n}", 20_000),) for n in range(5)]
    drafts = {world.choose(world.plan(40 + n, parts[n])).backend.name for n in range(5)}
    assert len(set(live)) == 1
    assert len(drafts) == 5 and live[0].name not in drafts
    assert world.backlogs.find(live[0].name).close == 10


def test_streams_that_were_kept_apart_do_not_end_their_keeping():
    """Their short pauses had brought the mean under the bound, and long prompts beside them."""
    world = make_mixed_world()
    for name in "abcdef":
        world.add(name)
    for number in range(60):
        plan = world.plan(number, LIVE, **LIVE_FIELDS)
        choice = world.choose(plan)
        world.dispatch.record_longest_gap(choice.backend, plan, 0.03)
        assert world.backlogs.find(choice.backend.name).close == 1
        choice.work.cancel()
        world.now += 0.01


def test_streams_beside_long_prompts_without_long_pauses_are_kept_apart_no_longer():
    world = make_mixed_world()
    [only] = [world.add("a")]
    for number in range(60):
        plan = world.plan(number, LIVE, **LIVE_FIELDS)
        choice = world.choose(plan)
        world.dispatch.record_longest_gap(only, plan, 0.03)
        choice.work.cancel()
    plan = world.plan(99, LIVE, **LIVE_FIELDS)
    world.choose(plan)
    assert world.backlogs.find("a").close == 0


def test_call_waits_for_a_runner_with_all_that_waits_before_it():
    """Calls that waited long for one busy holder went to any other, and read its parts there."""
    world = World(Engine(64, 600_000))
    world.catalog.contracts = make_contracts(
        make_route(Repeat.RESUME, True, target_s=2.0, timeout_s=5.0),
        services=world.catalog.contracts.services,
    )
    world.add("a")
    world.add("b")
    sheets = [(PromptPart("sheet", 9_300), PromptPart(f"own{n}", 2_900)) for n in range(18)]
    first = world.choose(world.plan(0, sheets[0]))
    waiting = [gevent.spawn(world.choose, world.plan(n, sheets[n])) for n in range(1, 18)]
    gevent.sleep(0.05)
    went = [one.value.backend for one in waiting if one.ready()]
    assert 0 < len(went) < len(waiting) / 2 and first.backend not in went
    # All that waits is told to other regions, whose calls go behind it.
    told = sum(claims.reading_tokens for claims in world.dispatch.list_waiting_loads().values())
    assert told >= 2_900 * (len(waiting) - len(went))
    gevent.killall(waiting)
    # Nobody waits any more: other regions are told of no line, though nothing else happens.
    assert world.dispatch.list_waiting_loads() == {}
    world.dispatch.pump_all()
    assert world.dispatch.list_waiting_loads() == {}


def test_long_prompts_keep_off_the_runners_that_another_region_keeps_for_its_streams():
    """Its streams stalled: only VMs of the region itself knew which runners it keeps."""
    worlds = [make_mixed_world(region) for region in ("home", "far")]
    home, far = worlds
    for world in worlds:
        for domain in ("home", "far"):
            for number in range(6):
                world.add(f"{domain}{number}", domain)
    choices = [far.choose(far.plan(n, LIVE, **LIVE_FIELDS)) for n in range(10)]
    streams = [choice.backend.name for choice in choices]
    for choice in choices:
        choice.work.record_answer_start()
    home.tell("vm of far", far.backlogs.list_own())
    busy = {f"home{number}": Load(9, (0, 0, 0, 0, 60_000), 60_000) for number in range(6)}
    home.tell("vm of home", busy)
    parts = [(PromptPart(f"p{n}", 9_000),) for n in range(10)]
    prompts = {home.choose(home.plan(40 + n, parts[n])).backend.name for n in range(10)}
    assert all(name.startswith("far") for name in [*streams, *prompts])
    assert not prompts & set(streams)


def test_long_prompt_waits_for_the_runner_that_holds_its_beginning():
    """A busy holder is worth more waiting than a runner that would read everything again."""
    world = World(Engine(64, 600_000))
    world.add("a")
    world.add("b")
    sheet = (PromptPart("sheet", 13_300), PromptPart("own", 3_700))
    first = world.choose(world.plan(1, sheet))
    plan = world.plan(2, sheet)
    waiting = gevent.spawn(world.choose, plan)
    gevent.sleep(0.05)
    world.now += plan.route.target_s * 0.4
    world.dispatch.pump_all()
    gevent.sleep(0)
    assert not waiting.ready()
    first.work.record_answer_start()
    assert waiting.get(timeout=WAIT_S).backend == first.backend


def test_beats_of_many_peers_are_looked_at_together(world, monkeypatch):
    """200 peers tell of their work while a call waits for a busy runner."""
    backend = world.add("a")
    world.tell("vm0", {"a": Load(64, (0, 0, 0, 0, 20_000), 20_000)})
    waiting = gevent.spawn(world.choose, world.plan())
    gevent.sleep(0.01)
    looks, pumps = [], []
    pump_all = world.dispatch.pump_all
    monkeypatch.setattr(world.dispatch, "pump_all", lambda: pumps.append(1) or pump_all())
    find_room = world.dispatch._find_room
    monkeypatch.setattr(
        world.dispatch, "_find_room", lambda *one: looks.append(1) or find_room(*one)
    )
    for number in range(200):
        name = f"vm{number}"
        world.tell(name, {})
        world.dispatch.record_beat(Beat(name, "10.0.0.2", "home", "1", 0, False, {}, ()))
    assert waiting.get(timeout=WAIT_S).backend is backend
    gevent.sleep(2 * PUMP_S)
    assert len(looks) <= 2
    assert 1 <= len(pumps) <= 2
