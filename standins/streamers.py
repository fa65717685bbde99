"""Load generator for benchmarks that keeps a fixed number of streamed answers in flight."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import json
import time
from collections.abc import Iterator
from itertools import count

import defopt
import gevent

from balsamtally.contracts import RequestClass
from standins.answers import answer_length, join_prompt
from standins.callers import Chat, Entries, send_chat
from standins.results import ClassResult, Outcome

UNBOUNDED_TARGET_MS = 1e9


def list_prompts(seed: str, tokens: int) -> Iterator[tuple[dict, ...]]:
    """Yield distinct conversations whose answers have at least this number of tokens.

    :param seed: text at the beginning of each question
    :param tokens: minimum number of tokens of the answer
    """
    for number in count():
        messages = ({"role": "user", "content": f"{seed} {number}"},)
        if answer_length(join_prompt(messages)) >= tokens:
            yield messages


def main(
    *,
    address: str,
    model: str,
    request_class: str,
    customer: str,
    streams: int = 50,
    tokens: int = 200,
    duration: float = 15.0,
    seed: str = "streamer",
) -> None:
    """Keep streams in flight and print a JSON line with what came.

    :param address: callers' address of an entry VM, or address of a runner
    :param model: name of the model
    :param request_class: name of the request class
    :param customer: name of the customer
    :param streams: streams in flight
    :param tokens: tokens of each answer
    :param duration: time after which no stream is begun, in seconds
    :param seed: text with which the questions begin
    """
    entries = Entries([address])
    target = RequestClass(request_class, 0, UNBOUNDED_TARGET_MS, UNBOUNDED_TARGET_MS)
    prompts = list_prompts(seed, tokens)
    result = ClassResult()
    stop_at = time.monotonic() + duration

    def send_streams() -> None:
        while time.monotonic() < stop_at:
            chat = Chat(target, customer, model, next(prompts), tokens)
            result.add(send_chat(entries, chat))

    gevent.joinall([gevent.spawn(send_streams) for _ in range(streams)], raise_error=True)
    not_whole_count = result.sent - result.outcomes[Outcome.WHOLE]
    print(json.dumps({**result.describe(request_class), "not_whole": not_whole_count}), flush=True)


if __name__ == "__main__":
    defopt.run(main)
