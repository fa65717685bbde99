"""JSON-line logs, optionally written without blocking and with a bounded volume."""

import os
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Mapping
from typing import TextIO

import msgspec
import structlog

# Lines per second about successful calls. A VM handles some 20 calls per second with two lines
# each, and three times as many in bursts.
MAX_LINES_PER_S = 300
# Lines per second in total. Refusals, failures and state changes use the part of this limit that
# successful calls leave free.
MAX_URGENT_LINES_PER_S = 1_000
# Size of the buffer for a slow reader. On overflow, lines about successful calls are dropped first.
MAX_BUFFERED_BYTES = 262_144
# Events that report a successful call unless the line has a result code.
CALM_EVENTS = frozenset(("routed", "ended"))


class LineWriter:
    """Writes log lines to a file descriptor without waiting for its reader.

    Under load, lines about successful calls ("calm" lines) are dropped before all others ("urgent"
    lines). After a drop, the first write of a later second adds a summary line with the number of
    dropped lines by event.

    :param fd: the file descriptor, in non-blocking mode
    :param clock: monotonic clock in seconds
    :ivar dropped: lines dropped since the start
    """

    def __init__(self, fd: int, clock: Callable[[], float] = time.monotonic):
        self.dropped = 0
        self._fd = fd
        self._clock = clock
        self._buffer: deque[tuple[bytes, bool]] = deque()
        self._buffered_bytes = 0
        self._second = 0
        self._written_lines = 0
        self._dropped_by_event: Counter[str] = Counter()
        self._partly_written = False

    def write(self, line: bytes, event: str, calm: bool) -> None:
        """Buffer a line and write as much of the buffer as the reader accepts without blocking.

        :param line: the line without its line feed
        :param event: name of the event that the line reports
        :param calm: whether the line reports a successful call
        """
        self._start_second()
        limit = MAX_LINES_PER_S if calm else MAX_URGENT_LINES_PER_S
        if self._written_lines >= limit:
            self._count_drop(event)
            return
        self._written_lines += 1
        self._append(line + b"\n", calm)
        self._limit_buffer()
        self.flush()

    def _start_second(self) -> None:
        second = int(self._clock())
        if second == self._second:
            return
        self._second, self._written_lines = second, 0
        if self._dropped_by_event:
            dropped, self._dropped_by_event = dict(self._dropped_by_event), Counter()
            summary = {"event": "lines_dropped", "level": "warning", "lines": dropped}
            self._append(msgspec.json.encode(summary) + b"\n", False)

    def _append(self, data: bytes, calm: bool) -> None:
        self._buffer.append((data, calm))
        self._buffered_bytes += len(data)

    def _count_drop(self, event: str) -> None:
        self.dropped += 1
        self._dropped_by_event[event] += 1

    def _limit_buffer(self) -> None:
        """Drop all calm lines, then the oldest urgent lines, if the buffer exceeds its limit."""
        if self._buffered_bytes <= MAX_BUFFERED_BYTES:
            return
        # A partly written line is kept, so that the next line starts on a new line.
        partial = [self._buffer.popleft()] if self._partly_written else []
        kept = deque(entry for entry in self._buffer if not entry[1])
        for _ in range(len(self._buffer) - len(kept)):
            self._count_drop("calm")
        size = sum(len(data) for data, _ in (*partial, *kept))
        while size > MAX_BUFFERED_BYTES and kept:
            size -= len(kept.popleft()[0])
            self._count_drop("urgent")
        self._buffer = deque((*partial, *kept))
        self._buffered_bytes = size

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts without blocking."""
        while self._buffer:
            data, calm = self._buffer[0]
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the log, so the error can't be reported anywhere.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            self._partly_written = written < len(data)
            if self._partly_written:
                self._buffer[0] = (data[written:], calm)
                return
            self._buffer.popleft()


class LineLogger:
    """Adapter between structlog and a :class:`LineWriter`; all its methods write one line.

    :param writer: writer of the lines
    """

    def __init__(self, writer: LineWriter):
        self._writer = writer

    def _log(self, line: bytes, event: str, calm: bool) -> None:
        self._writer.write(line, event, calm)

    debug = info = warning = error = critical = exception = msg = _log


def set_up_logs(vm: str, on_line: Callable[[Mapping], None] | None = None) -> None:
    """Send all log lines to standard error as JSON.

    :param vm: name of the VM, added to each line
    :param on_line: called with the fields of each line before it is written, such as
        ``Decisions.add``
    """
    structlog.configure(
        processors=[
            *make_processors(vm, on_line),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


def set_up_bounded_logs(vm: str, file: TextIO) -> LineWriter:
    """Send all log lines to a file as JSON, without ever blocking on its reader.

    :param vm: name of the VM, added to each line
    :param file: the file, such as standard output
    :return: the writer of the lines
    """
    os.set_blocking(file.fileno(), False)
    writer = LineWriter(file.fileno())
    structlog.configure(
        processors=[*make_processors(vm, None), render_line],
        wrapper_class=structlog.make_filtering_bound_logger("info"),
        logger_factory=lambda *_: LineLogger(writer),
        cache_logger_on_first_use=True,
    )
    return writer


def make_processors(vm: str, on_line: Callable[[Mapping], None] | None) -> list:
    """Return the structlog processors that add the common fields to each line.

    :param vm: name of the VM, added to each line
    :param on_line: called with the fields of each line, ``None`` for no call
    """

    def add_vm(_logger, _method, line):
        line["vm"] = vm
        if on_line is not None:
            on_line(line)
        return line

    return [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
        add_vm,
    ]


def render_line(_logger, _method, line: dict) -> tuple[tuple[bytes], dict]:
    """Return a line as JSON, with its event and whether it is calm, for :class:`LineWriter`.

    :param line: fields of the line
    """
    calm = line["event"] in CALM_EVENTS and not line.get("code")
    return (msgspec.json.encode(line, enc_hook=str),), {"event": line["event"], "calm": calm}


log = structlog.get_logger()
