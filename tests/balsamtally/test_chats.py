"""Tests of chat requests whose attempts are cut off, refused, failed or revoked."""

import time
from types import SimpleNamespace

import pytest

from balsamtally import chats as module
from balsamtally.chats import ChatRequest, Chats, Progress, read_text
from balsamtally.contracts import Customer, Pool, RequestClass
from balsamtally.errors import AnswerCut, GraceEnded, Leaving, NoAnswer, RetriesExhausted
from balsamtally.machines import BackendServer
from balsamtally.messages import Grant
from balsamtally.slots import Slot
from balsamtally.streams import Choice, Chunk, Delta, RunnerFailed, RunnerRefused

WHOLE = ["a", "b", "c", "d"]


class FakeStream:
    """Streams what is missing of the whole answer, until the next scripted fault occurs."""

    script: list = []
    bodies: list = []

    def __init__(self, pool, attempt_id, body):
        self.cancelled, self.exchanged_bytes = False, 10
        self.fault, self.after = FakeStream.script.pop(0) if FakeStream.script else (None, 99)
        FakeStream.bodies.append(body)
        if self.fault is RunnerRefused:
            raise RunnerRefused("refused")
        last = body["messages"][-1]
        held = last["content"] if last["role"] == "assistant" else ""
        self.rest = WHOLE[len(held) :]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        pass

    def cancel(self):
        self.cancelled = True

    def read_chunks(self):
        for number, text in enumerate(self.rest):
            if number == self.after:
                break
            yield Chunk("", (Choice(Delta(text)),))
        if self.fault is not None:
            self.cancelled = self.fault == "revoke"
            raise RunnerFailed("cut")
        yield Chunk("", (Choice(finish_reason="stop"),))


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr(module, "RunnerStream", FakeStream)
    FakeStream.script, FakeStream.bodies = [], []
    seen = SimpleNamespace(asks=[], releases=[], refused=[], retries=0, budget=1)

    def acquire(ask, has_vanished):
        seen.asks.append(ask)
        grant = Grant(f"g{len(seen.asks)}", ask.request, ask.attempt, "r1", 1, "free", 6.0)
        return Slot(grant, ask.pool, "vm")

    def take_retry(request_class, pool):
        seen.retries += 1
        return seen.retries <= seen.budget

    slots = SimpleNamespace(
        acquire=acquire, release=lambda held, release: seen.releases.append(release)
    )
    runner = BackendServer("r1", "model", "127.0.0.1:1", "d", ("m",))
    seen.chats = Chats(
        slots,
        SimpleNamespace(find_pool=lambda address: None),
        lambda name: runner,
        seen.refused.append,
        take_retry,
        lambda **fields: None,
        lambda *traffic: None,
    )
    return seen


def run(world, script, **fields):
    """Run one request with scripted faults; return its text, finish reasons and progress."""
    FakeStream.script = list(script)
    body = {"messages": [{"role": "user", "content": "q"}], "stream": True, **fields}
    items = Customer("c", (), ("live",)), RequestClass("live", 0, 1400.0), Pool("m")
    chat, progress = ChatRequest("req", *items, body, time.monotonic()), Progress()
    chunks = list(world.chats.answer(chat, progress, lambda: False))
    finished = [choice.finish_reason for chunk in chunks for choice in chunk.choices]
    return "".join(map(read_text, chunks)), [reason for reason in finished if reason], progress


def test_cut_and_revoked_answers_are_resumed_at_their_offset(world):
    text, finished, progress = run(world, [("cut", 1), ("revoke", 1), ("cut", 1)])
    assert (text, finished, progress.attempts) == ("abcd", ["stop"], 4)
    assert [ask.preemptions for ask in world.asks] == [0, 0, 1, 1]
    assert [release.tokens for release in world.releases] == [1, 1, 1, 1]
    assert [release.failed for release in world.releases] == [True, False, True, False]
    assert world.retries == 0


@pytest.mark.parametrize(("script", "error"), [([], Leaving), ([("cut", 1)], AnswerCut)])
def test_chat_that_waits_at_the_end_of_the_grace_period_is_told_whether_it_ran(
    world, monkeypatch, script, error
):
    acquire = world.chats.slots.acquire

    def wait(ask, has_vanished):
        if ask.attempt > len(script):
            raise GraceEnded
        return acquire(ask, has_vanished)

    monkeypatch.setattr(world.chats.slots, "acquire", wait)
    with pytest.raises(error):
        run(world, script)


def test_answer_cut_at_its_token_limit_is_whole(world):
    text, finished, progress = run(world, [("cut", 2)], max_tokens=2)
    assert (text, finished, progress.attempts) == ("ab", ["length"], 1)


def test_resumed_answer_is_limited_to_the_remaining_tokens(world):
    run(world, [("cut", 1)], max_tokens=3, max_completion_tokens=4)
    left = [(body["max_tokens"], body["max_completion_tokens"]) for body in FakeStream.bodies]
    assert left == [(3, 4), (2, 3)]


def test_refused_attempts_are_reported_and_exempt_from_the_budget(world):
    text, _, _ = run(world, [(RunnerRefused, 0)] * 3)
    assert (text, world.retries, world.refused) == ("abcd", 0, ["r1"] * 3)
    assert [release.refused for release in world.releases] == [True, True, True, False]
    assert world.asks[-1].excluded == ("r1",) * 3


@pytest.mark.parametrize(
    ("script", "error"),
    [
        ([("cut", 0), ("cut", 0)], NoAnswer),
        ([("cut", 1), ("cut", 0), ("cut", 0)], AnswerCut),
        ([(RunnerRefused, 0)] * module.MAX_ATTEMPTS, RetriesExhausted),
    ],
)
def test_failure_tells_whether_the_request_may_have_run(world, script, error):
    with pytest.raises(error):
        run(world, script)
    assert len(world.releases) == len(world.asks) == len(script)


def test_chat_that_fails_runners_before_its_first_token_reaches_at_most_two(world):
    world.budget = module.MAX_ATTEMPTS
    with pytest.raises(NoAnswer):
        run(world, [("cut", 0)] * module.MAX_ATTEMPTS)
    assert len(world.asks) == 2


def test_chat_whose_attempts_deliver_tokens_survives_many_runners(world):
    text, _, progress = run(world, [("cut", 1), ("cut", 0), ("cut", 1), ("cut", 1)])
    assert (text, progress.attempts) == ("abcd", 5)
