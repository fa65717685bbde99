"""Runs chat requests: obtains slots, streams answers, and resumes or retries after failures."""

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
    GraceEnded,
    Leaving,
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
# Runners that may fail before they send the first token of their attempt. A prompt that crashes
# runners would otherwise crash one with each attempt.
MAX_FAILED_STARTS = 2
CHARACTERS_PER_TOKEN = 4
TOKEN_LIMITS = ("max_tokens", "max_completion_tokens")


class Preempted(Exception):
    """The grant was revoked while its answer was being streamed."""


@dataclass(frozen=True)
class ChatRequest:
    """A validated chat request.

    :ivar request: id of the request
    :ivar customer: customer that sent the request
    :ivar request_class: request class, which sets the priority tier and latency targets
    :ivar pool: pool of runners that serve the requested model
    :ivar body: decoded JSON body as the caller sent it
    :ivar arrived: arrival time in seconds of the monotonic clock
    """

    request: str
    customer: Customer
    request_class: RequestClass
    pool: Pool
    body: dict
    arrived: float


@dataclass
class Progress:
    """What a caller has received so far, over all attempts of its request.

    :ivar text: text of each delivered chunk, in order
    :ivar tokens: number of tokens delivered
    :ivar attempts: number of attempts started
    :ivar preemptions: number of times the request was preempted
    :ivar failed_starts: number of attempts whose runner failed before it sent a token
    :ivar reached_runner: whether a runner may have started to process an attempt
    :ivar first_token_s: time from arrival to the first token in seconds, negative before it
    :ivar last_token_s: time from arrival to the latest token in seconds
    :ivar inter_token_s: inter-token latencies in seconds, in order
    :ivar excluded: runners that failed or refused this request
    """

    text: list[str] = field(default_factory=list)
    tokens: int = 0
    attempts: int = 0
    preemptions: int = 0
    failed_starts: int = 0
    reached_runner: bool = False
    first_token_s: float = -1.0
    last_token_s: float = -1.0
    inter_token_s: list[float] = field(default_factory=list)
    excluded: list[str] = field(default_factory=list)


class Chats:
    """Serves chat requests: obtains slots, streams answers, resumes and retries.

    :param slots: source of slots
    :param runners: connections to the runners
    :param find_open: returns a runner by name, ``None`` if it accepts no new work
    :param record_refusal: called with the name of a runner that refused an attempt
    :param take_retry: takes one retry from the budget of a request class and pool; returns
        whether one was left
    :param record_decision: called with the log fields of each routing or retry decision
    :param record_traffic: called at the end of an attempt with the request, the runner's name and
        the number of bytes exchanged with it
    """

    def __init__(
        self,
        slots: Slots,
        runners: Runners,
        find_open: Callable[[str], BackendServer | None],
        record_refusal: Callable[[str], None],
        take_retry: Callable[[str, str], bool],
        record_decision: Callable[..., None],
        record_traffic: Callable[[ChatRequest, str, int], None],
    ):
        self.slots = slots
        self.runners = runners
        self.find_open = find_open
        self.record_refusal = record_refusal
        self.take_retry = take_retry
        self.record_decision = record_decision
        self.record_traffic = record_traffic

    def answer(
        self, chat: ChatRequest, progress: Progress, has_vanished: Callable[[], bool]
    ) -> Iterator[Chunk]:
        """Yield the chunks of the complete answer.

        :param chat: the request
        :param progress: updated as chunks are delivered and attempts end
        :param has_vanished: returns whether the caller has closed its connection
        :return: the chunks; the iterator ends normally only after a complete answer
        :raises BalsamtallyError: if the answer could not be completed
        :raises CallerVanished: if the caller closed its connection
        """
        while not has_reached_limit(chat, progress):
            progress.attempts += 1
            tokens_before = progress.tokens
            slot = self._acquire(chat, progress, has_vanished)
            try:
                yield from self._attempt(chat, progress, slot, has_vanished)
                return
            except Preempted:
                progress.preemptions += 1
                log.info("preempted", request=chat.request, tokens=progress.tokens)
            except (RunnerRefused, RunnerFailed, WrongAnswer) as failure:
                progress.excluded.append(slot.grant.runner)
                is_refused = isinstance(failure, RunnerRefused)
                progress.failed_starts += progress.tokens == tokens_before and not is_refused
                is_budget_exempt = progress.tokens > tokens_before or is_refused
                self._require_retry(chat, progress, failure, is_budget_exempt)
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
            slot = self.slots.acquire(ask, has_vanished)
        except BalsamtallyError as error:
            if progress.reached_runner:
                raise self._describe_failure(progress, error) from error
            if isinstance(error, GraceEnded):
                raise Leaving from error
            raise
        self.record_decision(
            decision="route",
            request=chat.request,
            attempt=progress.attempts,
            request_class=chat.request_class.name,
            tier=chat.request_class.tier,
            customer=chat.customer.name,
            pool=chat.pool.name,
            runner=slot.grant.runner,
            coordinator=slot.coordinator,
            candidates=slot.grant.candidates,
            reason=slot.grant.reason,
            waited_ms=round((time.monotonic() - chat.arrived) * 1000, 1),
        )
        return slot

    def _attempt(
        self,
        chat: ChatRequest,
        progress: Progress,
        slot: Slot,
        has_vanished: Callable[[], bool],
    ) -> Iterator[Chunk]:
        """Stream one attempt and release its slot, whatever the outcome.

        A failed write shows that the caller of a streamed answer has disconnected. For an answer
        that isn't streamed, the connection is polled, since nothing is written before the end.
        """
        begun = time.monotonic()
        tokens_before = progress.tokens
        first_token_s = -1.0
        failed, refused = True, False
        try:
            with (
                self._open_stream(chat, progress, slot) as stream,
                self._count_bytes(chat, slot, stream),
            ):
                slot.revoke = stream.cancel
                for chunk in self._read_checked(stream, slot):
                    if not chat.body.get("stream") and has_vanished():
                        raise CallerVanished
                    if first_token_s < 0 and read_text(chunk):
                        first_token_s = time.monotonic() - begun
                    record_chunk(chat, progress, chunk)
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
            name, pool = slot.grant.grant, slot.pool
            release = Release(name, pool, tokens, first_token_s, failed, refused)
            self.slots.release(slot, release)

    def _open_stream(self, chat: ChatRequest, progress: Progress, slot: Slot) -> RunnerStream:
        if slot.revoked:
            raise Preempted
        server = self.find_open(slot.grant.runner)
        if server is None:
            raise RunnerLeaving(f"runner {slot.grant.runner} is draining or no longer registered")
        pool = self.runners.find_pool(server.address)
        attempt_id = f"{chat.request}.{progress.attempts}"
        try:
            stream = RunnerStream(pool, attempt_id, make_runner_body(chat, progress))
        except RunnerRefused:
            self.record_refusal(server.name)
            raise
        except Exception:
            progress.reached_runner = True
            raise
        progress.reached_runner = True
        return stream

    @contextlib.contextmanager
    def _count_bytes(self, chat: ChatRequest, slot: Slot, stream: RunnerStream) -> Iterator[None]:
        """Report the number of bytes exchanged with the runner when the attempt ends."""
        try:
            yield
        finally:
            self.record_traffic(chat, slot.grant.runner, stream.exchanged_bytes)

    @staticmethod
    def _read_checked(stream: RunnerStream, slot: Slot) -> Iterator[Chunk]:
        if slot.revoked:
            raise Preempted
        try:
            yield from stream.read_chunks()
        except RunnerFailed as failure:
            if stream.cancelled:
                raise Preempted from failure
            raise

    def _require_retry(
        self, chat: ChatRequest, progress: Progress, failure: Exception, is_budget_exempt: bool
    ) -> None:
        """Return if another attempt is allowed, else raise the error for the caller.

        A retry after an attempt that delivered tokens or was refused by the runner doesn't count
        against the retry budget: no token is generated twice, so it adds hardly any load.
        """
        allowed = (
            progress.attempts < MAX_ATTEMPTS
            and progress.failed_starts < MAX_FAILED_STARTS
            and (is_budget_exempt or self.take_retry(chat.request_class.name, chat.pool.name))
        )
        self.record_decision(
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
            return AnswerCut(f"the answer was cut off after {progress.tokens} tokens: {failure}")
        if progress.reached_runner:
            return NoAnswer(f"no model runner returned an answer: {failure}")
        return RetriesExhausted(f"no retries left: {failure}")


def has_reached_limit(chat: ChatRequest, progress: Progress) -> bool:
    """Return whether the answer has reached the token limit that the caller set.

    :param chat: the request
    :param progress: what the caller has received so far
    """
    limits = [chat.body.get(name) for name in TOKEN_LIMITS]
    return any(limit is not None and progress.tokens >= limit for limit in limits)


def make_runner_body(chat: ChatRequest, progress: Progress) -> dict:
    """Return the body of a runner request that continues after the text delivered so far.

    :param chat: the request
    :param progress: what the caller has received so far
    :return: JSON body of the runner request
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
    :return: the text of its choices, empty if it has none
    """
    return "".join(choice.delta.content or "" for choice in chunk.choices)


def record_chunk(chat: ChatRequest, progress: Progress, chunk: Chunk) -> None:
    """Record a delivered chunk's text and its latency.

    :param chat: the request
    :param progress: updated with the chunk
    :param chunk: the chunk; a chunk without text is ignored
    """
    text = read_text(chunk)
    if not text:
        return
    since_arrival_s = time.monotonic() - chat.arrived
    if progress.first_token_s < 0:
        progress.first_token_s = since_arrival_s
    else:
        progress.inter_token_s.append(since_arrival_s - progress.last_token_s)
    progress.last_token_s = since_arrival_s
    progress.text.append(text)
    progress.tokens += 1
