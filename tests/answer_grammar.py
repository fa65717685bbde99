"""A strict grammar of the answers on one caller connection, as raw bytes.

It is stricter than HTTP/1.1 for receivers (RFC 9112): it accepts only what a sender may send.
"""

import re
from dataclasses import dataclass

HEAD_END = b"\r\n\r\n"
NO_BODY = frozenset((204, 304))
_STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-9][0-9]{2}) [\t\x20-\x7e\x80-\xff]*")
_HEADER = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00\r\n]*?)[ \t]*")
_CHUNK = re.compile(rb"([0-9a-fA-F]{1,8})\r\n")


class GrammarError(AssertionError):
    """The bytes are no sequence of answers to the requests that were sent."""


@dataclass(frozen=True)
class RawAnswer:
    """One answer.

    :ivar status: HTTP status
    :ivar headers: headers by name in lower case
    :ivar body: the body without its framing, as far as it was received
    :ivar whole: whether the framing shows that the answer is complete
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    whole: bool

    @property
    def closes(self) -> bool:
        """Whether no answer may follow on the connection."""
        return not self.whole or self.headers.get(b"connection", b"").lower() == b"close"


def read_answers(data: bytes, methods: list[bytes], end: str = "") -> list[RawAnswer]:
    """Return the answers on one connection; the last one may be incomplete.

    :param data: all bytes received
    :param methods: methods of the requests in the order sent
    :param end: ``closed`` or ``reset`` if the connection ended so, empty while it is open
    :raises GrammarError: if any byte belongs to no answer
    """
    answers: list[RawAnswer] = []
    for method in methods:
        if not data:
            break
        answer, data = read_one(data, method, end)
        if answer is None:
            break
        answers.append(answer)
        if answer.closes:
            break
    if data:
        raise GrammarError(f"after {len(answers)} of {len(methods)} answers: {data[:80]!r}")
    return answers


def read_one(data: bytes, method: bytes, end: str) -> tuple[RawAnswer | None, bytes]:
    """Return an answer and the bytes after it; ``None`` if its head is incomplete."""
    status, headers = 100, {}
    while status < 200:
        head, found, data = data.partition(HEAD_END)
        if not found:
            return None, b""
        status, headers = read_head(head)
        if status < 200 and (status != 100 or headers):
            raise GrammarError(f"an interim answer {status} with {headers}")
    names = {b"content-length", b"transfer-encoding"}.intersection(headers)
    if len(names) == 2 or (names and status in NO_BODY):
        raise GrammarError(f"status {status} with {names}")
    if method == b"HEAD" or status in NO_BODY:
        return RawAnswer(status, headers, b"", True), data
    if b"transfer-encoding" in headers:
        body, whole, data = read_chunks(data)
    elif b"content-length" in headers:
        size = int(headers[b"content-length"])
        body, whole, data = data[:size], len(data) >= size, data[size:]
    else:
        if headers.get(b"connection") != b"close":
            raise GrammarError("an answer without a length doesn't announce the close")
        body, whole, data = data, end == "closed", b""
    return RawAnswer(status, headers, body, whole), data


def read_head(head: bytes) -> tuple[int, dict[bytes, bytes]]:
    """Return status and headers; those that matter to framing may occur only once."""
    first, *lines = head.split(b"\r\n")
    status_line = _STATUS_LINE.fullmatch(first)
    if status_line is None:
        raise GrammarError(f"no status line: {first[:80]!r}")
    headers: dict[bytes, bytes] = {}
    for line in lines:
        header = _HEADER.fullmatch(line)
        if header is None:
            raise GrammarError(f"no header: {line[:80]!r}")
        name = header[1].lower()
        if name in headers and name in (b"content-length", b"transfer-encoding", b"connection"):
            raise GrammarError(f"header {name.decode()} is repeated")
        headers[name] = header[2]
    if headers.get(b"transfer-encoding", b"chunked") != b"chunked":
        raise GrammarError("an unknown transfer encoding")
    if not headers.get(b"content-length", b"0").isdigit():
        raise GrammarError("a length that is no number")
    return int(status_line[1]), headers


def read_chunks(data: bytes) -> tuple[bytes, bool, bytes]:
    """Return the body in chunks, whether it is whole, and the bytes after it."""
    body = b""
    while data:
        size_line = _CHUNK.match(data)
        if size_line is None:
            if b"\r\n" in data or not re.fullmatch(rb"[0-9a-fA-F]{1,8}\r?", data):
                raise GrammarError(f"no chunk: {data[:80]!r}")
            return body, False, b""
        size, data = int(size_line[1], 16), data[size_line.end() :]
        body += data[:size]
        ending = data[size : size + 2]
        if not b"\r\n".startswith(ending):
            raise GrammarError(f"no end of a chunk: {ending!r}")
        if len(data) < size + 2:
            return body, False, b""
        data = data[size + 2 :]
        if size == 0:
            return body, True, data
    return body, False, b""
