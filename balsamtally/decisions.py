"""Recent routing and placement decisions, which operators query by request."""

from collections import deque
from collections.abc import Mapping

MAX_DECISIONS = 10_000


class Decisions:
    """A ring buffer of log lines that concern a request."""

    def __init__(self, limit: int = MAX_DECISIONS):
        """Create an empty buffer.

        :param limit: maximum number of lines; the oldest are dropped first
        """
        self._lines: deque[dict] = deque(maxlen=limit)

    def add(self, line: Mapping) -> None:
        """Store a log line; a line without a ``request`` is ignored.

        :param line: fields of the line
        """
        if line.get("request"):
            self._lines.append(dict(line))

    def find(self, request: str) -> list[dict]:
        """Return the lines that concern a request, the oldest first.

        :param request: id of the request
        :return: copies of the lines
        """
        return [dict(line) for line in self._lines if line["request"] == request]
