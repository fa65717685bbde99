"""A model engine in small: slots, continuous batching, priorities, a prefix cache."""

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

CACHE_EVENTS_KEPT = 1000
LOAD_SAMPLE_S = 0.05
TOKENS_PER_BLOCK = 64


class Speed(msgspec.Struct, frozen=True):
    """How fast an engine is.

    :ivar token_s: time between two tokens of a lone answer, in seconds
    :ivar batch_slowdown: growth of that time for each further answer, as a share
    :ivar prefill_token_s: time for each token of the prompt that isn't cached, in seconds
    """

    token_s: float = 0.01
    batch_slowdown: float = 0.05
    prefill_token_s: float = 0.0002


class Fault(msgspec.Struct, frozen=True):
    """How an engine misbehaves; token counts and answers are counted from when it is set.

    :ivar slow_factor: factor on all times
    :ivar crash_after_tokens: generated tokens after which the process ends
    :ivar stuck: whether nothing is generated while the load is reported as zero
    :ivar wrong_id: whether answers carry another request's id and content
    :ivar duplicate_answer: whether a streamed answer is sent twice
    :ivar late_s: delay of each answer's beginning, in seconds
    :ivar cut_after_tokens: tokens of an answer after which its connection is closed
    :ivar cut_answers: how many answers are cut so, ``None`` for all
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
    :ivar prompt_tokens: tokens of its prompt
    :ivar blocks: hashes of its prompt's prefixes
    :ivar rest: tokens that are still to be generated, the next one last
    :ivar generated: tokens generated
    :ivar finish_reason: reason with which the answer ends
    :ivar output: tokens for the caller, ``None`` at the end
    :ivar cancelled: whether the caller left
    :ivar ready_at: time at which the prompt is prefilled
    :ivar cut_after_tokens: tokens after which a fault cuts the answer, ``None`` for never
    """

    def __init__(self, request: str, prompt: str, held: str, max_tokens: int | None):
        rest, natural = continue_answer(prompt, held, max_tokens)
        self.request = request
        self.prompt_tokens = count_tokens(prompt + held)
        self.blocks = hash_blocks(prompt)
        self.rest = rest[::-1]
        self.generated = 0
        self.finish_reason = "stop" if natural else "length"
        self.output = SimpleQueue()
        self.cancelled = False
        self.ready_at = 0.0
        self.cut_after_tokens: int | None = None

    def cancel(self) -> None:
        """Stop the job: its caller left."""
        self.cancelled = True
        self.output.put(None)


class PrefixCache:
    """Prefix blocks held in limited memory, and the events that tell of it.

    :param blocks: most blocks held
    :param event_lag_s: age at which an event is told, in seconds
    :param event_gap: every how many events one is lost, 0 for none
    """

    def __init__(self, blocks: int, event_lag_s: float = 0.0, event_gap: int = 0):
        self.blocks = blocks
        self.event_lag_s = event_lag_s
        self.event_gap = event_gap
        self.held: OrderedDict[int, None] = OrderedDict()
        self.events: deque[dict] = deque(maxlen=CACHE_EVENTS_KEPT)
        self.numbers = count(1)

    def use(self, blocks: list[int]) -> int:
        """Return how many of a prompt's blocks are held, and hold them all."""
        hits = 0
        while hits < len(blocks) and blocks[hits] in self.held:
            hits += 1
        for block in blocks:
            if block not in self.held:
                self.tell("stored", block)
            self.held[block] = None
            self.held.move_to_end(block)
        while len(self.held) > self.blocks:
            self.tell("removed", self.held.popitem(last=False)[0])
        return hits

    def tell(self, change: str, block: int) -> None:
        """Record an event, unless it falls into a gap."""
        number = next(self.numbers)
        if self.event_gap and number % self.event_gap == 0:
            return
        self.events.append({"seq": number, "type": change, "block": block, "at": time.time()})

    def list_events(self, after: int) -> list[dict]:
        """Return the events past a number that are old enough to be told."""
        until = time.time() - self.event_lag_s
        return [event for event in self.events if event["seq"] > after and event["at"] <= until]


class Engine:
    """An engine that batches continuously; its :meth:`run` is meant for a greenlet.

    :param slots: answers generated side by side
    :param speed: how fast it is
    :param cache: its prefix cache
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
        :param priority: its priority, lower goes first
        """
        heapq.heappush(self.waiting, (priority, next(self.arrivals), job))
        self.awake.set()

    def set_fault(self, fault: Fault) -> None:
        """Change how the engine misbehaves."""
        self.fault = fault
        self.fault_tokens = 0
        self.fault_cuts = 0
        self.awake.set()

    def take_cut(self) -> int | None:
        """Return the tokens after which an answer that begins now is cut, ``None`` for never."""
        cuts = self.fault.cut_answers
        if self.fault.cut_after_tokens is None or cuts is not None and self.fault_cuts >= cuts:
            return None
        self.fault_cuts += 1
        return self.fault.cut_after_tokens

    def run(self) -> None:
        """Generate tokens, one for each running job a step, for ever."""
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
        """Forget the jobs whose callers left."""
        for job in [job for job in self.running if job.cancelled]:
            self.running.remove(job)
            self.cancelled_tokens += job.generated
        if any(entry[2].cancelled for entry in self.waiting):
            self.waiting = [entry for entry in self.waiting if not entry[2].cancelled]
            heapq.heapify(self.waiting)

    def admit(self) -> None:
        """Move waiting jobs to free slots."""
        while self.waiting and len(self.running) < self.slots and not self.fault.stuck:
            job = heapq.heappop(self.waiting)[2]
            self.executions[job.request] += 1
            cached = self.cache.use(job.blocks) * TOKENS_PER_BLOCK
            missing = max(1, job.prompt_tokens - cached)
            prefill_s = missing * self.speed.prefill_token_s * self.fault.slow_factor
            job.ready_at = time.monotonic() + prefill_s
            self.running.append(job)

    def step(self) -> None:
        """Generate one token for each running job that is prefilled."""
        now = time.monotonic()
        for job in list(self.running):
            if job.cancelled or job.ready_at > now:
                continue
            if job.rest:
                self.generate(job)
            if not job.rest:
                self.running.remove(job)
                job.output.put(None)

    def generate(self, job: Job) -> None:
        """Generate the next token of a job."""
        job.output.put(job.rest.pop())
        job.generated += 1
        self.generated += 1
        self.fault_tokens += 1
        crash_after = self.fault.crash_after_tokens
        if crash_after is not None and self.fault_tokens >= crash_after:
            os._exit(1)

    def sample_load(self) -> None:
        """Record the load, for ever; meant for a greenlet."""
        while True:
            self.samples.append((time.time(), len(self.running), len(self.waiting)))
            gevent.sleep(LOAD_SAMPLE_S)

    def report_load(self, lag_s: float) -> tuple[float, int, int]:
        """Return the load as of some time ago.

        :param lag_s: age of the report, in seconds
        :return: its time, and the jobs running and waiting then
        """
        until = time.time() - lag_s
        while len(self.samples) > 1 and self.samples[1][0] <= until:
            self.samples.popleft()
        reported_at, running, waiting = self.samples[0]
        if self.fault.stuck:
            return time.time() - lag_s, 0, 0
        return reported_at, running, waiting
