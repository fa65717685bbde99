"""Chat requests: from the caller's body to the chunks of the whole answer."""

import contextlib
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import msgspec

from balsamtally.affinity import hash_prefix
from balsamtally.contracts import Customer, Pool, RequestClass
from balsamtally.errors import (
    AnswerCut,
    BalsamtallyError,
    NoAnswer,
    RetriesExhausted,
    WrongAnswer,
)
from balsamtally.logs import log
from balsamtally.machines import BackendServer
from balsamtally.messages import Ask, Release
from balsamtally.slots import CallerVanished, Slot, Slots
from balsamtally.streams import (
    Choice,
    Chunk,
    RunnerFailed,
    RunnerLeaving,
    RunnerRefused,
    Runners,
    RunnerStream,
)

MAX_ATTEMPTS = 8
CHARACTERS_PER_TOKEN = 4
TOKEN_LIMITS = ("max_tokens", "max_completion_tokens")


class Preempted(Exception):
    """The grant was taken back in mid-answer."""


@dataclass(frozen=True)
class ChatRequest:
    """A checked chat request.

    :ivar request: id of the request
    :ivar customer: who sent it
    :ivar request_class: its class
    :ivar pool: the model that is to answer
    :ivar body: the caller's body
    :ivar arrived: when it came, in seconds of the monotonic clock
    """

    request: str
    customer: Customer
    request_class: RequestClass
    pool: Pool
    body: dict
    arrived: float


@dataclass
class Progress:
    """What the caller has received so far.

    :ivar text: pieces of the answer's text
    :ivar tokens: number of tokens delivered
    :ivar attempts: attempts begun
    :ivar preemptions: times that it was preempted
    :ivar touched: whether an attempt may have reached a runner
    :ivar first_token_s: seconds from arrival to the first token, negative before it
    :ivar last_token_s: seconds from arrival to the newest token
    :ivar gaps_s: seconds between two tokens
    :ivar excluded: runners that failed this request
    """

    text: list[str] = field(default_factory=list)
    tokens: int = 0
    attempts: int = 0
    preemptions: int = 0
    touched: bool = False
    first_token_s: float = -1.0
    last_token_s: float = -1.0
    gaps_s: list[float] = field(default_factory=list)
    excluded: list[str] = field(default_factory=list)


class Chats:
    """Answers chat requests: obtains slots, streams, resumes and retries.

    :param slots: source of slots
    :param runners: connections to the runners
    :param find_open: returns a runner by name, ``None`` if it may receive no new work
    :param record_refusal: called with the name of a runner that refused work as leaving
    :param take_retry: takes one retry of a class and pool from its budget, or tells that
        none is left
    :param note_decision: called with the fields of each decision
    :param note_traffic: called with the runner's name and the bytes exchanged in an attempt
    """

    def __init__(
        self,
        slots: Slots,
        runners: Runners,
        find_open: Callable[[str], BackendServer | None],
        record_refusal: Callable[[str], None],
        take_retry: Callable[[str, str], bool],
        note_decision: Callable[..., None],
        note_traffic: Callable[[ChatRequest, str, int], None],
    ):
        self.slots = slots
        self.runners = runners
        self.find_open = find_open
        self.record_refusal = record_refusal
        self.take_retry = take_retry
        self.note_decision = note_decision
        self.note_traffic = note_traffic

    def answer(
        self, chat: ChatRequest, progress: Progress, has_vanished: Callable[[], bool]
    ) -> Iterator[Chunk]:
        """Yield the chunks of the whole answer.

        :param chat: the request
        :param progress: filled in on the way
        :param has_vanished: tells whether the caller has left
        :return: the chunks; the iterator ends only after the whole answer
        :raises BalsamtallyError: if there is no whole answer
        :raises CallerVanished: if the caller left
        """
        while not has_reached_limit(chat, progress):
            progress.attempts += 1
            tokens_before = progress.tokens
            held = self._acquire(chat, progress, has_vanished)
            try:
                yield from self._attempt(chat, progress, held, has_vanished)
                return
            except Preempted:
                progress.preemptions += 1
                log.info("preempted", request=chat.request, tokens=progress.tokens)
            except (RunnerRefused, RunnerFailed, WrongAnswer) as failure:
                progress.excluded.append(held.grant.runner)
                is_free = progress.tokens > tokens_before or isinstance(failure, RunnerRefused)
                self._check_retry(chat, progress, failure, is_free)
        yield Chunk(chat.request, (Choice(finish_reason="length"),))

    def _acquire(self, chat: ChatRequest, progress: Progress, has_vanished) -> Slot:
        text = msgspec.json.encode(chat.body["messages"])
        ask = Ask(
            request=chat.request,
            attempt=progress.attempts,
            pool=chat.pool.name,
            customer=chat.customer.name,
            request_class=chat.request_class.name,
            waited_s=time.monotonic() - chat.arrived if progress.attempts == 1 else 0.0,
            prefix=hash_prefix(text),
            prompt_tokens=len(text) // CHARACTERS_PER_TOKEN,
            preemptions=progress.preemptions,
            excluded=tuple(progress.excluded),
            generated=progress.tokens,
        )
        try:
            held = self.slots.acquire(ask, has_vanished)
        except BalsamtallyError as error:
            if progress.touched:
                raise self._describe_failure(progress, error) from error
            raise
        self.note_decision(
            decision="route",
            request=chat.request,
            attempt=progress.attempts,
            request_class=chat.request_class.name,
            tier=chat.request_class.tier,
            customer=chat.customer.name,
            pool=chat.pool.name,
            runner=held.grant.runner,
            coordinator=held.coordinator,
            candidates=held.grant.candidates,
            reason=held.grant.reason,
            waited_ms=round((time.monotonic() - chat.arrived) * 1000, 1),
        )
        return held

    def _attempt(
        self,
        chat: ChatRequest,
        progress: Progress,
        held: Slot,
        has_vanished: Callable[[], bool],
    ) -> Iterator[Chunk]:
        """Stream one attempt; the slot is given back whatever happens.

        Writes tell when the caller of a streamed answer has left. The caller of a whole answer
        is watched, since nothing is written to it before the end.
        """
        begun = time.monotonic()
        tokens_before = progress.tokens
        first_token_s = -1.0
        failed, refused = True, False
        try:
            with self._open_stream(chat, progress, held) as stream, self._count(chat, held, stream):
                held.revoke = stream.cancel
                for chunk in self._read_checked(stream, held):
                    if not chat.body.get("stream") and has_vanished():
                        raise CallerVanished
                    if first_token_s < 0 and read_text(chunk):
                        first_token_s = time.monotonic() - begun
                    note_chunk(chat, progress, chunk)
                    yield chunk
            failed = False
        except (Preempted, CallerVanished, GeneratorExit):
            failed = False
            raise
        except RunnerRefused:
            refused = True
            raise
        finally:
            tokens = progress.tokens - tokens_before
            name, pool = held.grant.grant, held.pool
            release = Release(name, pool, tokens, first_token_s, failed, refused)
            self.slots.release(held, release)

    def _open_stream(self, chat: ChatRequest, progress: Progress, held: Slot) -> RunnerStream:
        if held.revoked:
            raise Preempted
        server = self.find_open(held.grant.runner)
        if server is None:
            raise RunnerLeaving(f"{held.grant.runner} is leaving")
        pool = self.runners.find_pool(server.address)
        attempt_id = f"{chat.request}.{progress.attempts}"
        try:
            stream = RunnerStream(pool, attempt_id, make_runner_body(chat, progress))
        except RunnerRefused:
            self.record_refusal(server.name)
            raise
        except Exception:
            progress.touched = True
            raise
        progress.touched = True
        return stream

    @contextlib.contextmanager
    def _count(self, chat: ChatRequest, held: Slot, stream: RunnerStream) -> Iterator[None]:
        """Report the bytes exchanged with the runner at the end."""
        try:
            yield
        finally:
            self.note_traffic(chat, held.grant.runner, stream.exchanged_bytes)

    @staticmethod
    def _read_checked(stream: RunnerStream, held: Slot) -> Iterator[Chunk]:
        if held.revoked:
            raise Preempted
        try:
            yield from stream.read_chunks()
        except RunnerFailed as failure:
            if stream.cancelled:
                raise Preempted from failure
            raise

    def _check_retry(
        self, chat: ChatRequest, progress: Progress, failure: Exception, is_free: bool
    ) -> None:
        """Return if another attempt is allowed, else raise what the caller is told.

        An attempt that delivered tokens, or that the runner refused, is free of the retry budget:
        no token is generated twice, so the load hardly grows.
        """
        allowed = progress.attempts < MAX_ATTEMPTS and (
            is_free or self.take_retry(chat.request_class.name, chat.pool.name)
        )
        self.note_decision(
            decision="retry" if allowed else "give_up",
            request=chat.request,
            attempt=progress.attempts,
            request_class=chat.request_class.name,
            pool=chat.pool.name,
            excluded=list(progress.excluded),
            delivered_tokens=progress.tokens,
            reason=f"{type(failure).__name__}: {failure}",
        )
        if not allowed:
            raise self._describe_failure(progress, failure) from failure

    @staticmethod
    def _describe_failure(progress: Progress, failure: Exception) -> BalsamtallyError:
        if progress.tokens:
            return AnswerCut(f"the answer was cut short after {progress.tokens} tokens: {failure}")
        if progress.touched:
            return NoAnswer(f"no model runner answered: {failure}")
        return RetriesExhausted(f"no retry left: {failure}")


def has_reached_limit(chat: ChatRequest, progress: Progress) -> bool:
    """Tell whether the answer has all the tokens that the caller asked for.

    :param chat: the request
    :param progress: what the caller has received
    """
    limits = [chat.body.get(name) for name in TOKEN_LIMITS]
    return any(limit is not None and progress.tokens >= limit for limit in limits)


def make_runner_body(chat: ChatRequest, progress: Progress) -> dict:
    """Return the body for a runner, which resumes after the text delivered so far.

    :param chat: the request
    :param progress: what the caller has received
    :return: body of the runner's request
    """
    body = dict(chat.body)
    body["model"] = chat.pool.name
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    body["priority"] = chat.request_class.tier
    if not progress.text:
        return body
    partial = {"role": "assistant", "content": "".join(progress.text)}
    body["messages"] = [*chat.body["messages"], partial]
    body["continue_final_message"] = True
    body["add_generation_prompt"] = False
    for name in TOKEN_LIMITS:
        if body.get(name) is not None:
            body[name] -= progress.tokens
    return body


def read_text(chunk: Chunk) -> str:
    """Return the text of a chunk.

    :param chunk: the chunk
    :return: its text, empty if it has none
    """
    return "".join(choice.delta.content or "" for choice in chunk.choices)


def note_chunk(chat: ChatRequest, progress: Progress, chunk: Chunk) -> None:
    """Count a chunk's text as delivered.

    :param chat: the request
    :param progress: what the caller has received
    :param chunk: the chunk
    """
    text = read_text(chunk)
    if not text:
        return
    since_arrival_s = time.monotonic() - chat.arrived
    if progress.first_token_s < 0:
        progress.first_token_s = since_arrival_s
    else:
        progress.gaps_s.append(since_arrival_s - progress.last_token_s)
    progress.last_token_s = since_arrival_s
    progress.text.append(text)
    progress.tokens += 1
