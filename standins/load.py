"""Open-loop load generator: sends requests at given rates without waiting for earlier answers.

Checks every answer against the deterministic rule of the stand-ins. Sends each request once,
except for a share of the non-idempotent calls, which a caller may repeat under the same receipt.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import itertools
import json
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import defopt
import gevent
import urllib3
from gevent.pool import Pool as Greenlets

from balsamtally.contracts import Customer, PlainService, Pool, RequestClass
from balsamtally.facts import Facts
from balsamtally.logs import set_up_logs
from balsamtally.tickets import decode_ticket
from standins.callers import Call, Chat, Entries, send_call, send_chat
from standins.results import Outcome, Report, count_reports

MAX_TAIL_S = 90.0
QUESTION_WORDS = 12
SHARED_PROMPT = "The park rules of this coast, in short: " + "keep to the marked track. " * 20


@dataclass(frozen=True)
class Arrivals:
    """A stream of requests with exponentially distributed times between arrivals.

    :ivar name: request class, or ``service/operation`` for calls to a plain service
    :ivar rate: mean requests a second
    :ivar max_tokens: longest answer in tokens, ``None`` for no limit
    :ivar whole_share: share of the chats whose answer is not streamed
    :ivar repeat_share: share of the non-idempotent calls sent to two entry VMs at once
    :ivar start_s: start of the stream, in seconds from the start of the run
    :ivar stop_s: end of the stream, in seconds from the start of the run, ``None`` for the
        end of the run
    """

    name: str
    rate: float
    max_tokens: int | None = None
    whole_share: float = 0.2
    repeat_share: float = 0.25
    start_s: float = 0.0
    stop_s: float | None = None


def load_facts(folder: Path) -> Facts:
    """Return the state after accepting all change tickets of a folder, in file name order."""
    facts = Facts()
    for path in sorted(folder.glob("*.json")):
        facts.accept(decode_ticket(path.read_bytes()))
    return facts


class Load:
    """One run of the load generator.

    :param addresses: addresses of the entry VMs' caller listeners
    :param facts: state in force, with the request classes and the customers
    :param seed: seed of all random choices
    :ivar reports: result of each request that has ended
    :ivar sent: number of requests sent
    """

    def __init__(self, addresses: Sequence[str], facts: Facts, seed: int):
        self.entries = Entries(addresses)
        self.facts = facts
        self.seed = seed
        self.model = facts.list(Pool)[0].name
        self.reports: list[Report] = []
        self.sent = 0
        self.greenlets = Greenlets()

    def run(self, streams: Sequence[Arrivals], duration_s: float) -> list[Report]:
        """Send all requests and wait up to ``MAX_TAIL_S`` for the last answers.

        :param streams: streams of requests
        :param duration_s: sending time in seconds
        :return: result of each request
        """
        started = time.monotonic()
        senders = [
            gevent.spawn(self.send_stream, stream, started, duration_s) for stream in streams
        ]
        gevent.joinall(senders, raise_error=True)
        self.greenlets.join(MAX_TAIL_S)
        self.greenlets.kill()
        return self.reports

    def send_stream(self, stream: Arrivals, started: float, duration_s: float) -> None:
        """Send the requests of a stream at their arrival times."""
        prefix = f"{self.seed}-{stream.name}-{stream.start_s:g}"
        rng = random.Random(prefix)
        stop_s = duration_s if stream.stop_s is None else min(stream.stop_s, duration_s)
        due_s = stream.start_s
        for number in itertools.count():
            due_s += rng.expovariate(stream.rate)
            if due_s >= stop_s:
                return
            gevent.sleep(max(0.0, started + due_s - time.monotonic()))
            self.sent += 1
            customer = self.choose_customer(stream, rng)
            self.greenlets.spawn(self.send, stream, f"{prefix}-{number}", customer, rng.random())

    def choose_customer(self, stream: Arrivals, rng: random.Random) -> str:
        """Return a random customer that may use the stream's class, drawn by customer weight."""
        candidates = [
            customer
            for customer in self.facts.list(Customer)
            if "/" in stream.name or stream.name in customer.classes
        ]
        weights = [customer.weight for customer in candidates]
        return rng.choices(candidates, weights)[0].name

    def send(self, stream: Arrivals, label: str, customer: str, sample: float) -> None:
        """Send one request and record its result, also if the request fails.

        :param stream: stream of the request
        :param label: unique text of the request
        :param customer: name of the customer
        :param sample: random number in [0, 1): decides whether a chat is streamed and whether a
            call is sent twice
        """
        try:
            if "/" in stream.name:
                call = self.make_call(stream, label, customer)
                twice = not call.idempotent and sample < stream.repeat_share
                self.reports.extend(send_call(self.entries, call, 2 if twice else 1))
                return
            chat = self.make_chat(stream, label, customer, sample >= stream.whole_share)
            self.reports.append(send_chat(self.entries, chat))
        except gevent.GreenletExit:
            self.reports.append(Report(stream.name, Outcome.FAILED, text="no answer at the end"))
        except (urllib3.exceptions.HTTPError, OSError, ValueError, LookupError) as error:
            text = f"{type(error).__name__}: {error}"
            self.reports.append(Report(stream.name, Outcome.FAILED, text=text))

    def make_chat(self, stream: Arrivals, label: str, customer: str, streamed: bool) -> Chat:
        """Return the chat request with the given label."""
        question = " ".join(f"{label}/{number}" for number in range(QUESTION_WORDS))
        messages = (
            {"role": "system", "content": SHARED_PROMPT},
            {"role": "user", "content": question},
        )
        target = self.facts.find(RequestClass, stream.name)
        return Chat(target, customer, self.model, messages, stream.max_tokens, streamed)

    def make_call(self, stream: Arrivals, label: str, customer: str) -> Call:
        """Return the service call with the given label."""
        service, _, operation = stream.name.partition("/")
        operations = self.facts.find(PlainService, service).operations
        idempotent = next(each.idempotent for each in operations if each.name == operation)
        return Call(service, operation, idempotent, customer, label)


def parse_arrivals(text: str) -> Arrivals:
    """Return the stream that the value of a ``--streams`` flag describes.

    :param text: name, requests a second and optionally the most tokens of an answer, such as
        ``waiver-live=5`` or ``archive-batch=2:64``
    """
    name, _, amounts = text.partition("=")
    rate, _, max_tokens = amounts.partition(":")
    return Arrivals(name, float(rate), int(max_tokens) if max_tokens else None)


def main(
    *,
    entries: list[str],
    streams: list[str],
    tickets: Path = Path("examples/medanos-libres"),
    seed: int = 1,
    duration: float = 20.0,
) -> None:
    """Send requests at given rates and print a JSON line for each class.

    :param entries: callers' addresses of the entry VMs
    :param streams: streams such as ``waiver-live=5`` (5 a second), ``archive-batch=2:64`` (at
        most 64 tokens) or ``filing/record=1``
    :param tickets: folder of the change tickets in force
    :param seed: seed of all random choices
    :param duration: for how long to send, in seconds
    """
    set_up_logs("load")
    load = Load(entries, load_facts(tickets), seed)
    reports = load.run([parse_arrivals(text) for text in streams], duration)
    for name, result in count_reports(reports).items():
        print(json.dumps(result.describe(name)), flush=True)


if __name__ == "__main__":
    defopt.run(main)
