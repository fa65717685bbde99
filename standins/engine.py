"""A simulated model engine: slots, continuous batching, priorities and a prefix cache."""

import heapq
import os
import time
from collections import Counter, OrderedDict, deque
from itertools import count

import gevent
import msgspec
from gevent.event import Event
from gevent.queue import SimpleQueue

from standins.answers import continue_answer, count_tokens, hash_blocks

MAX_CACHE_EVENTS = 1000
LOAD_SAMPLE_S = 0.05
TOKENS_PER_BLOCK = 64


class Speed(msgspec.Struct, frozen=True):
    """Speed of an engine.

    :ivar token_s: time between two tokens while one answer is generated, in seconds
    :ivar batch_slowdown: increase of ``token_s`` for each further concurrent answer, as a share
    :ivar prefill_token_s: prefill time for each prompt token that is not cached, in seconds
    """

    token_s: float = 0.01
    batch_slowdown: float = 0.05
    prefill_token_s: float = 0.0002


class Fault(msgspec.Struct, frozen=True):
    """Faults injected into an engine; tokens and answers are counted from when the fault is set.

    :ivar slow_factor: factor on token and prefill times
    :ivar crash_after_tokens: generated tokens after which the process exits, ``None`` for never
    :ivar stuck: whether the engine generates nothing and reports a load of zero
    :ivar wrong_id: whether answers carry another request's id and content
    :ivar duplicate_answer: whether a streamed answer is sent twice
    :ivar late_s: delay before each answer begins, in seconds
    :ivar cut_after_tokens: tokens of an answer after which its connection is closed, ``None`` for
        never
    :ivar cut_answers: number of answers that are cut in this way, ``None`` for all
    :ivar error: whether requests are answered with status 500
    """

    slow_factor: float = 1.0
    crash_after_tokens: int | None = None
    stuck: bool = False
    wrong_id: bool = False
    duplicate_answer: bool = False
    late_s: float = 0.0
    cut_after_tokens: int | None = None
    cut_answers: int | None = None
    error: bool = False


class Job:
    """A request in an engine.

    :ivar request: id of the request
    :ivar prompt_tokens: number of tokens of the prompt and the held beginning of the answer
    :ivar blocks: block hashes of the prompt, see :func:`hash_blocks`
    :ivar remaining: tokens still to be generated, in reverse order
    :ivar generated: number of tokens generated
    :ivar finish_reason: finish reason of the answer, ``stop`` or ``length``
    :ivar output: queue of generated tokens, ``None`` after the last one
    :ivar cancelled: whether the caller disconnected
    :ivar ready_at: monotonic time at which the prefill is complete, in seconds
    :ivar cut_after_tokens: tokens after which a fault cuts the answer, ``None`` for never
    """

    def __init__(self, request: str, prompt: str, held: str, max_tokens: int | None):
        remaining, ends_naturally = continue_answer(prompt, held, max_tokens)
        self.request = request
        self.prompt_tokens = count_tokens(prompt + held)
        self.blocks = hash_blocks(prompt)
        self.remaining = remaining[::-1]
        self.generated = 0
        self.finish_reason = "stop" if ends_naturally else "length"
        self.output = SimpleQueue()
        self.cancelled = False
        self.ready_at = 0.0
        self.cut_after_tokens: int | None = None

    def cancel(self) -> None:
        """Cancel the job after its caller disconnected, and end its output."""
        self.cancelled = True
        self.output.put(None)


class PrefixCache:
    """An LRU cache of prefix blocks, and a log of its changes.

    :param blocks: capacity in blocks
    :param event_lag_s: age from which an event is reported, in seconds
    :param event_gap: every event whose number is a multiple of this is lost, 0 for none
    :ivar held: hashes of the cached blocks, least recently used first
    :ivar events: recent events with number, type, block and time
    """

    def __init__(self, blocks: int, event_lag_s: float = 0.0, event_gap: int = 0):
        self.blocks = blocks
        self.event_lag_s = event_lag_s
        self.event_gap = event_gap
        self.held: OrderedDict[int, None] = OrderedDict()
        self.events: deque[dict] = deque(maxlen=MAX_CACHE_EVENTS)
        self.numbers = count(1)

    def use(self, blocks: list[int]) -> int:
        """Return how many leading blocks of a prompt are cached, and cache all its blocks."""
        hits = 0
        while hits < len(blocks) and blocks[hits] in self.held:
            hits += 1
        for block in blocks:
            if block not in self.held:
                self.record_event("stored", block)
            self.held[block] = None
            self.held.move_to_end(block)
        while len(self.held) > self.blocks:
            self.record_event("removed", self.held.popitem(last=False)[0])
        return hits

    def record_event(self, change: str, block: int) -> None:
        """Record a change, or lose it if ``event_gap`` says so; its number is used either way."""
        number = next(self.numbers)
        if self.event_gap and number % self.event_gap == 0:
            return
        self.events.append({"seq": number, "type": change, "block": block, "at": time.time()})

    def list_events(self, after: int) -> list[dict]:
        """Return the events after this number that are at least ``event_lag_s`` old."""
        until = time.time() - self.event_lag_s
        return [event for event in self.events if event["seq"] > after and event["at"] <= until]


class Engine:
    """An engine with continuous batching; :meth:`run` is to be called in a greenlet.

    :param slots: number of answers generated concurrently
    :param speed: speed of the engine
    :param cache: prefix cache of the engine
    :ivar executions: number of times that each request id was started
    :ivar samples: load history of time, running jobs and waiting jobs
    """

    def __init__(self, slots: int, speed: Speed, cache: PrefixCache):
        self.slots = slots
        self.speed = speed
        self.cache = cache
        self.fault = Fault()
        self.fault_tokens = 0
        self.fault_cuts = 0
        self.running: list[Job] = []
        self.waiting: list[tuple[int, int, Job]] = []
        self.arrivals = count()
        self.awake = Event()
        self.generated = 0
        self.cancelled_tokens = 0
        self.executions: Counter[str] = Counter()
        self.samples: deque[tuple[float, int, int]] = deque(((0.0, 0, 0),))

    def submit(self, job: Job, priority: int) -> None:
        """Queue a job.

        :param job: the job
        :param priority: priority of the job, lower values first
        """
        heapq.heappush(self.waiting, (priority, next(self.arrivals), job))
        self.awake.set()

    def set_fault(self, fault: Fault) -> None:
        """Replace the injected fault, and reset its counts of tokens and cut answers."""
        self.fault = fault
        self.fault_tokens = 0
        self.fault_cuts = 0
        self.awake.set()

    def claim_cut(self) -> int | None:
        """Count a cut answer if the fault cuts the answer that begins now.

        :return: tokens after which the answer is cut, ``None`` for never
        """
        cuts = self.fault.cut_answers
        if self.fault.cut_after_tokens is None or cuts is not None and self.fault_cuts >= cuts:
            return None
        self.fault_cuts += 1
        return self.fault.cut_after_tokens

    def run(self) -> None:
        """Generate tokens forever, in each step one for each prefilled job."""
        while True:
            self.drop_cancelled()
            self.admit()
            if not self.running or self.fault.stuck:
                self.awake.clear()
                self.awake.wait(LOAD_SAMPLE_S)
                continue
            slowdown = 1 + self.speed.batch_slowdown * (len(self.running) - 1)
            gevent.sleep(self.speed.token_s * slowdown * self.fault.slow_factor)
            self.step()

    def drop_cancelled(self) -> None:
        """Remove the jobs whose callers disconnected."""
        for job in [job for job in self.running if job.cancelled]:
            self.running.remove(job)
            self.cancelled_tokens += job.generated
        if any(entry[2].cancelled for entry in self.waiting):
            self.waiting = [entry for entry in self.waiting if not entry[2].cancelled]
            heapq.heapify(self.waiting)

    def admit(self) -> None:
        """Start waiting jobs in free slots, in order of priority and arrival."""
        while self.waiting and len(self.running) < self.slots and not self.fault.stuck:
            job = heapq.heappop(self.waiting)[2]
            self.executions[job.request] += 1
            cached = self.cache.use(job.blocks) * TOKENS_PER_BLOCK
            missing = max(1, job.prompt_tokens - cached)
            prefill_s = missing * self.speed.prefill_token_s * self.fault.slow_factor
            job.ready_at = time.monotonic() + prefill_s
            self.running.append(job)

    def step(self) -> None:
        """Generate one token for each running job whose prefill is complete."""
        now = time.monotonic()
        for job in list(self.running):
            if job.cancelled or job.ready_at > now:
                continue
            if job.remaining:
                self.generate(job)
            if not job.remaining:
                self.running.remove(job)
                job.output.put(None)

    def generate(self, job: Job) -> None:
        """Generate the next token of a job, and exit the process if a fault says so."""
        job.output.put(job.remaining.pop())
        job.generated += 1
        self.generated += 1
        self.fault_tokens += 1
        crash_after = self.fault.crash_after_tokens
        if crash_after is not None and self.fault_tokens >= crash_after:
            os._exit(1)

    def sample_load(self) -> None:
        """Sample the load forever; to be called in a greenlet."""
        while True:
            self.samples.append((time.time(), len(self.running), len(self.waiting)))
            gevent.sleep(LOAD_SAMPLE_S)

    def report_load(self, lag_s: float) -> tuple[float, int, int]:
        """Return the load as it was ``lag_s`` ago.

        :param lag_s: age of the report, in seconds
        :return: wall-clock time of the sample, and the jobs running and waiting at that time
        """
        until = time.time() - lag_s
        while len(self.samples) > 1 and self.samples[1][0] <= until:
            self.samples.popleft()
        reported_at, running, waiting = self.samples[0]
        if self.fault.stuck:
            return time.time() - lag_s, 0, 0
        return reported_at, running, waiting
