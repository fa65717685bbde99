"""A stand-in for a model runner: an OpenAI-compatible server with a simulated engine."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import json
from collections.abc import Iterator

import bottle
import defopt
import gevent
import msgspec
from bottle import request

from standins.answers import join_prompt
from standins.engine import Engine, Fault, Job, PrefixCache, Speed
from standins.serving import CutConnection, answer, caller_socket, read_body, serve, watch_close

DRAIN_POLL_S = 0.05
WRONG_PROMPT = "an answer that belongs to nobody"
WRONG_ID = "request-of-another"


class Chat(msgspec.Struct, frozen=True):
    """The fields of a chat request body that the stand-in uses."""

    messages: tuple[dict, ...]
    model: str = ""
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    priority: int = 0
    continue_final_message: bool = False


class Order(msgspec.Struct, frozen=True):
    """An order with the desired state of a runner.

    :ivar fence: fencing number
    :ivar pools: models to serve, ``None`` for no change
    :ivar versions: weight versions, in the order of ``pools``
    :ivar adapters: adapters to load, ``None`` for no change
    :ivar leaving: whether to drain, ``None`` for no change
    """

    fence: int
    pools: tuple[str, ...] | None = None
    versions: tuple[str, ...] = ()
    adapters: tuple[str, ...] | None = None
    leaving: bool | None = None


class Runner:
    """The state of a model runner apart from its engine.

    :param engine: the engine
    :param pools: models served at first
    :param fencing: whether to refuse orders with an old fencing number
    :param load_s: time that loading models takes, in seconds
    :ivar fence: newest fencing number
    :ivar orders: number of orders applied
    :ivar leaving: whether new requests are refused
    :ivar answering: number of answers in progress
    """

    def __init__(self, engine: Engine, pools: tuple[str, ...], fencing: bool, load_s: float):
        self.engine = engine
        self.pools = pools
        self.adapters: tuple[str, ...] = ()
        self.versions: dict[str, str] = {}
        self.loading = False
        self.fencing = fencing
        self.load_s = load_s
        self.fence = 0
        self.orders = 0
        self.leaving = False
        self.answering = 0

    def apply_order(self, order: Order) -> bottle.HTTPResponse:
        """Apply an order, or refuse it with status 409 if fencing is on and its number is old."""
        if self.fencing and order.fence < self.fence:
            return answer({"error": {"code": "old_fence"}, "fence": self.fence}, 409)
        self.orders += 1
        self.fence = order.fence if self.fencing else max(self.fence, order.fence)
        if order.pools is not None and order.pools != self.pools:
            self.pools = tuple(pool for pool in self.pools if pool in order.pools)
            self.loading = True
            gevent.spawn_later(self.load_s, self.load_pools, order)
        if order.pools is not None:
            self.versions = dict(zip(order.pools, order.versions, strict=False))
        if order.adapters is not None:
            self.adapters = order.adapters
        if order.leaving is not None:
            self.leaving = order.leaving
        return answer({"fence": self.fence, "pools": order.pools, "leaving": self.leaving})

    def load_pools(self, order: Order) -> None:
        """Serve the models of an order, unless the fencing number has changed since."""
        if order.fence == self.fence:
            self.pools = order.pools
            self.loading = False

    def drain(self) -> None:
        """Refuse new requests and wait until the answers in progress end."""
        self.leaving = True
        while self.answering:
            gevent.sleep(DRAIN_POLL_S)

    def start_job(self, chat: Chat, request_id: str) -> Job:
        """Create a job for a chat request and queue it in the engine."""
        messages, held = chat.messages, ""
        if chat.continue_final_message and messages and messages[-1]["role"] == "assistant":
            messages, held = messages[:-1], messages[-1]["content"]
        max_tokens = chat.max_completion_tokens or chat.max_tokens
        prompt = WRONG_PROMPT if self.engine.fault.wrong_id else join_prompt(messages)
        job = Job(request_id, prompt, held, max_tokens)
        job.cut_after_tokens = self.engine.claim_cut()
        self.engine.submit(job, chat.priority)
        return job


def read_tokens(job: Job, fault: Fault) -> Iterator[str]:
    """Yield the tokens of a job as they are generated.

    :param job: the job
    :param fault: injected fault, for the delay of the answer
    :raises CutConnection: where a fault cuts the answer, or after the caller disconnected
    """
    gevent.sleep(fault.late_s)
    for position, token in enumerate(iter(job.output.get, None)):
        if position == job.cut_after_tokens:
            job.cancel()
            raise CutConnection("cut by fault")
        yield token
    if job.cancelled:
        raise CutConnection("the caller disconnected")


def encode_chunk(request_id: str, model: str, delta: dict, **fields: object) -> bytes:
    """Return one server-sent event of a streamed answer."""
    finish_reason = fields.pop("finish_reason", None)
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    chunk = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [choice],
        **fields,
    }
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def count_usage(job: Job) -> dict:
    """Return the token usage of a job in the format of the OpenAI API."""
    return {
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": job.generated,
        "total_tokens": job.prompt_tokens + job.generated,
    }


def stream_answer(job: Job, request_id: str, model: str, fault: Fault) -> Iterator[bytes]:
    """Yield the server-sent events of a job's answer, twice if a fault duplicates answers."""
    yield encode_chunk(request_id, model, {"role": "assistant", "content": ""})
    events = []
    for token in read_tokens(job, fault):
        events.append(encode_chunk(request_id, model, {"content": token}))
        yield events[-1]
    last_fields = {"finish_reason": job.finish_reason, "usage": count_usage(job)}
    events.append(encode_chunk(request_id, model, {}, **last_fields) + b"data: [DONE]\n\n")
    yield events[-1]
    if fault.duplicate_answer:
        yield from events


def build_answer(job: Job, request_id: str, model: str, fault: Fault) -> dict:
    """Return the complete answer of a job in the format of the OpenAI API."""
    message = {"role": "assistant", "content": "".join(read_tokens(job, fault))}
    choice = {"index": 0, "message": message, "finish_reason": job.finish_reason}
    return {
        "id": request_id,
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": count_usage(job),
    }


def refuse_chat(runner: Runner, chat: Chat) -> bottle.HTTPResponse | None:
    """Return the error answer to a chat request, ``None`` if the request is accepted."""
    if runner.leaving:
        return answer({"error": {"code": "leaving"}}, 503, Retry_After="1")
    if chat.model and chat.model not in runner.pools + runner.adapters:
        return answer({"error": {"code": "model_not_loaded"}}, 404)
    if runner.engine.fault.error:
        return answer({"error": {"code": "engine_failed"}}, 500)
    return None


def answer_chat(runner: Runner) -> object:
    """Answer the current chat request."""
    chat = read_body(Chat)
    refusal = refuse_chat(runner, chat)
    if refusal is not None:
        return refusal
    fault = runner.engine.fault
    request_id = request.get_header("X-Request-Id", "unnamed")
    job = runner.start_job(chat, request_id)
    answer_id = WRONG_ID if fault.wrong_id else request_id
    bottle.response.set_header("X-Request-Id", answer_id)
    watcher = gevent.spawn(watch_close, caller_socket(), job.cancel)
    runner.answering += 1

    def end_answer() -> None:
        watcher.kill()
        job.cancel()
        runner.answering -= 1

    if chat.stream:
        bottle.response.content_type = "text/event-stream"
        return ClosingBody(stream_answer(job, answer_id, chat.model, fault), end_answer)
    try:
        return answer(build_answer(job, answer_id, chat.model, fault), X_Request_Id=answer_id)
    finally:
        end_answer()


class ClosingBody:
    """The body of a streamed answer, with the ``close`` function that WSGI calls at its end."""

    def __init__(self, events: Iterator[bytes], on_close):
        self.events = events
        self.close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return self.events


def add_router_routes(app: bottle.Bottle, runner: Runner, load_lag_s: float) -> None:
    """Add the routes that the router uses."""

    @app.post("/v1/chat/completions")
    def post_chat():
        return answer_chat(runner)

    @app.get("/load")
    def get_load():
        reported_at, running, waiting = runner.engine.report_load(load_lag_s)
        return answer(
            {
                "running": running,
                "waiting": waiting,
                "slots": runner.engine.slots,
                "leaving": runner.leaving,
                "reported_at": reported_at,
                "fence": runner.fence,
                "model_list": runner.pools,
                "versions": runner.versions,
                "adapters": runner.adapters,
                "loading": runner.loading,
            }
        )

    @app.get("/cache_events")
    def get_cache_events():
        after = request.query.get("after", type=int, default=0)
        return answer({"events": runner.engine.cache.list_events(after)})

    @app.post("/orders")
    def post_orders():
        return runner.apply_order(read_body(Order))


def add_control_routes(app: bottle.Bottle, runner: Runner) -> None:
    """Add the routes by which tests inject faults and read counters."""

    @app.post("/control/fault")
    def post_fault():
        runner.engine.set_fault(read_body(Fault))
        return answer(runner.engine.fault)

    @app.get("/control/counts")
    def get_counts():
        return answer(
            {
                "generated": runner.engine.generated,
                "cancelled": runner.engine.cancelled_tokens,
                "executions": runner.engine.executions,
                "orders": runner.orders,
                "running": len(runner.engine.running),
                "waiting": len(runner.engine.waiting),
            }
        )


def main(
    *,
    address: str = "127.0.0.1:9000",
    pools: list[str] = ("rio-8b",),
    slots: int = 8,
    token_ms: float = 10.0,
    batch_slowdown: float = 0.05,
    prefill_token_ms: float = 0.2,
    cache_blocks: int = 512,
    load_lag: float = 1.0,
    cache_lag: float = 0.5,
    cache_gap: int = 7,
    model_load: float = 0.5,
    fencing: bool = False,
) -> None:
    """Serve the stand-in of a model runner.

    :param address: IP number and port
    :param pools: models that it serves at first
    :param slots: answers generated side by side
    :param token_ms: time between two tokens of a lone answer, in milliseconds
    :param batch_slowdown: growth of that time for each further answer, as a share
    :param prefill_token_ms: time for each token of the prompt, in milliseconds
    :param cache_blocks: prefix blocks that it holds
    :param load_lag: age of its load reports, in seconds
    :param cache_lag: age of its cache events, in seconds
    :param cache_gap: every how many cache events one is lost, 0 for none
    :param model_load: time that loading a model takes, in seconds
    :param fencing: refuse orders with an old fencing number
    """
    speed = Speed(token_ms / 1000, batch_slowdown, prefill_token_ms / 1000)
    engine = Engine(slots, speed, PrefixCache(cache_blocks, cache_lag, cache_gap))
    runner = Runner(engine, tuple(pools), fencing, model_load)
    gevent.spawn(engine.run)
    gevent.spawn(engine.sample_load)
    app = bottle.Bottle()
    app.config["catchall"] = False
    add_router_routes(app, runner, load_lag)
    add_control_routes(app, runner)
    serve(app, address, runner.drain)


if __name__ == "__main__":
    defopt.run(main)
