"""Decisions on silent runners by several entry VMs that exchange encoded notices."""

import contextlib
import time

import gevent
import msgspec
import structlog
from structlog.testing import LogCapture

from balsamtally import stall_exchange
from balsamtally.decoding import decode
from balsamtally.peers import Beat, Message
from balsamtally.stall_exchange import StallExchange
from balsamtally.stalls import Stalls
from tests.balsamtally.scripted import make_backend
from tests.polling import expect_soon


class Region:
    """Entry VMs of one region; their notices are encoded and decoded as between processes."""

    def __init__(self, names):
        self.counted = []
        self.stalls = {name: Stalls() for name in names}
        self._decoder = msgspec.msgpack.Decoder(Beat | Message)
        self._exchanges = {name: self._make(name) for name in names}

    def _make(self, name):
        return StallExchange(
            name,
            self.stalls[name],
            lambda: [other for other in self.stalls if other != name],
            lambda notice, ip: self._deliver(name, notice, ip),
            lambda verdict: self.counted.append((name, verdict.key[0])),
        )

    def _deliver(self, sender, notice, receiver):
        data = msgspec.msgpack.encode(notice)
        self._exchanges[receiver].handle_notice(decode(self._decoder, data), sender)

    def __enter__(self):
        self._stack = contextlib.ExitStack()
        for exchange in self._exchanges.values():
            self._stack.enter_context(exchange)
        return self

    def __exit__(self, *exc_info):
        self._stack.close()


def begin_stream(stalls, backend):
    watch = stalls.watch(backend, 0.2).__enter__()
    watch.record_event(time.monotonic())
    return watch


def keep_sending(watches):
    while True:
        for watch in watches:
            watch.record_event(time.monotonic())
        gevent.sleep(0.05)


def test_vms_with_one_stream_each_count_and_log_a_runner_that_falls_silent(monkeypatch):
    """Each of them alone has too few streams there, and its caller waited until the deadline."""
    dark, alive = make_backend("dark"), make_backend("alive")
    # Other tests configure loggers that drop warnings.
    capture = LogCapture()
    every_level = structlog.make_filtering_bound_logger("debug")
    log = structlog.wrap_logger(None, processors=[capture], wrapper_class=every_level)
    monkeypatch.setattr(stall_exchange, "log", log)
    with Region(("one", "two")) as region:
        for stalls in region.stalls.values():
            begin_stream(stalls, dark)
        others = [begin_stream(stalls, alive) for stalls in region.stalls.values()]
        sender = gevent.spawn(keep_sending, others)
        expect_soon(lambda: sorted(region.counted) == [("one", "dark"), ("two", "dark")])
        sender.kill()
    [line, _] = [line for line in capture.entries if line["event"] == "backend_silent_streams"]
    assert (line["backend"], line["silent"], line["open"]) == ("dark", 2, 2)
    assert line["silent_s"] >= 1.0
