"""The history of one request, assembled from the log lines of several VMs."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

import msgspec

from balsamtally.decoding import decode

# Context events are shown from this long before a request's first line until this long after its
# last line.
CONTEXT_S = 5.0
# Events that change what a VM knows of a backend server, its peers, the platform or itself.
CONTEXT_EVENTS = frozenset(
    ("backend_added", "backend_leaving", "backend_removed", "backend_lapsed", "backend_ejected")
    + ("backend_kept", "contracts_in_force", "platform_lost", "platform_back", "lines_dropped")
    + ("backend_crashed", "part_quarantined", "part_released", "late_answer")
    + ("backend_silent_streams", "runners_dedicated")
    + ("started", "leaving", "stopped", "settings_changed", "peer_silent")
)


class LogLine(msgspec.Struct, frozen=True):
    """The fields of a log line that select and order the lines of a history.

    :ivar timestamp: when the line was written, in ISO 8601
    :ivar event: name of the event
    :ivar vm: name of the VM that wrote the line
    :ivar request: id of the request, empty if the line concerns no request
    :ivar backend: name of the backend server, empty if the line concerns no backend server
    """

    timestamp: str = ""
    event: str = ""
    vm: str = ""
    request: str = ""
    backend: str = ""


_line = msgspec.json.Decoder(LogLine)
_fields = msgspec.json.Decoder(dict[str, object])


@dataclass(frozen=True)
class HistoryLine:
    """One line of a request's history.

    :ivar line: the fields that select and order the line
    :ivar fields: all fields of the line
    """

    line: LogLine
    fields: dict[str, object]


def read_line(text: str) -> HistoryLine | None:
    """Return a parsed log line, ``None`` if the text contains none.

    :param text: a line of a log; text before the first ``{``, such as a prefix, is ignored
    """
    start = text.find("{")
    if start < 0:
        return None
    data = text[start:].encode()
    try:
        return HistoryLine(decode(_line, data), decode(_fields, data))
    except msgspec.DecodeError:
        return None


def find_request_history(request: str, texts: Iterable[str]) -> list[HistoryLine]:
    """Return the lines about a request, and the context events of its VMs and backends, by time.

    :param request: id of the request
    :param texts: lines of the logs of all VMs, in any order
    """
    lines = [line for line in map(read_line, texts) if line is not None]
    own = [line for line in lines if line.line.request == request]
    if not own:
        return []
    vms = {line.line.vm for line in own}
    backends = {line.line.backend for line in own} | {""}
    first = min(read_seconds(line) for line in own) - CONTEXT_S
    last = max(read_seconds(line) for line in own) + CONTEXT_S
    context = [
        line
        for line in lines
        if line.line.event in CONTEXT_EVENTS
        and line.line.vm in vms
        and line.line.backend in backends
        and first <= read_seconds(line) <= last
    ]
    return sorted([*own, *context], key=read_seconds)


def read_seconds(line: HistoryLine) -> float:
    """Return the time of a line in seconds since 1970, 0 if it has no valid timestamp.

    :param line: the line
    """
    try:
        return datetime.fromisoformat(line.line.timestamp).timestamp()
    except ValueError:
        return 0.0
