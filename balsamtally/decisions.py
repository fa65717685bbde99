"""The last routing and placement decisions, kept for operators' questions."""

from collections import deque
from collections.abc import Mapping

MAX_DECISIONS = 10_000


class Decisions:
    """A bounded ring of log lines that concern a request."""

    def __init__(self, limit: int = MAX_DECISIONS):
        """Begin with an empty ring.

        :param limit: most lines kept; the oldest go first
        """
        self._lines: deque[dict] = deque(maxlen=limit)

    def add(self, line: Mapping) -> None:
        """Keep a log line; one without a ``request`` is passed over.

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
