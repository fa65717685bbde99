"""Scripts of misbehaving backend servers, and callers that keep all bytes that they receive."""

import contextlib
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import gevent
from gevent import socket
from hypothesis import strategies as st

from tests.answer_grammar import RawAnswer, read_answers
from tests.balsamtally.scripted import ScriptedBackend

HEADS = {
    "plain": b"",
    "refused": b"Not-Executed: 1\r\n",
    "no id": b"",
    "other id": b"",
    "two ids": b"Attempt-Id: x\r\n",
    "no signature": b"",
    "two signatures": b"Response-Signature: x\r\n",
    "two lengths": b"Content-Length: 1\r\nContent-Length: 2\r\n",
    "encoded": b"Content-Encoding: gzip\r\n",
    "folded": b"X: a\r\n  b\r\n",
    "odd bytes": b"X: \xff\x01\x7f\r\nY:\r\n",
    "close": b"Connection: close\r\n",
    "hops": b"Connection: x, keep-alive\r\nKeep-Alive: timeout=0\r\nTrailer: T\r\nUpgrade: h2c\r\n",
    "long": b"X: " + b"x" * 5000 + b"\r\n",
}
FOREIGN = {
    "": b"",
    "short": b"HTTP/1.1 200 X\r\n%sContent-Length: 3\r\n\r\nbad",
    "long": b"HTTP/1.1 200 X\r\n%sContent-Length: 50000\r\n\r\n" + b"bad\n\n" * 10_000,
    "longer": b"HTTP/1.1 200 X\r\n%sContent-Length: 90000\r\n\r\n" + b"bad\n\n" * 18_000,
    "chunked": b"HTTP/1.1 200 X\r\n%sTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
    "unframed": b"HTTP/1.1 200 X\r\n%s\r\nid: 1\ndata: bad\n\n",
    "empty": b"HTTP/1.1 204 X\r\n%s\r\n",
}
GARBAGE = b"HTTP/1.1 200 garbage\r\nid: 9\ndata: bad\n\n\x00"


@dataclass(frozen=True)
class Script:
    """What a backend server does on one request.

    :ivar cut: the part of its bytes that it sends, in thousandths
    :ivar end: what follows the cut: a close, a reset or a stall
    :ivar after: what follows a whole answer
    :ivar odd: the event that is inserted into the stream of a chat
    :ivar odd_at: position of that event
    """

    status: int = 200
    head: str = "plain"
    framing: str = "length"
    interim: bytes = b""
    before: str = ""
    early: bool = False
    size: int = 40
    piece: int = 100_000
    cut: int = 1000
    end: str = "closed"
    after: str = ""
    odd: str = ""
    odd_at: int = 0


@dataclass
class Run:
    """What a backend server sent to one attempt.

    :ivar target: path and query of the request, which tell requests with one id apart
    :ivar status: status of its answer
    :ivar body: body as far as it was sent
    :ivar may_be_whole: whether a caller may get the answer as a whole one
    """

    label: bytes
    id: bytes
    script: Script
    target: bytes = b""
    body: bytes = b""
    may_be_whole: bool = False


@dataclass
class Record:
    """All runs, by the label that their answers carry."""

    runs: dict[bytes, Run] = field(default_factory=dict)
    smuggled: list[bytes] = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)

    def add(self, request_id: bytes, script: Script) -> Run:
        run = Run(b"run%d" % next(self.numbers), request_id, script)
        self.runs[run.label] = run
        return run


def find_header(head: bytes, name: bytes) -> bytes:
    return head.partition(b"\r\n" + name + b": ")[2].partition(b"\r\n")[0]


def split(data: bytes, size: int) -> list[bytes]:
    return [data[i : i + size] for i in range(0, len(data), size)]


def frame(run: Run, head: bytes, method: bytes) -> bytes:
    """Return the part of an answer that its script sends, and set what a caller may get of it."""
    script = run.script
    if script.framing == "length":
        head += b"Content-Length: %d\r\n" % len(run.body)
    elif script.framing != "unframed":
        head += b"Transfer-Encoding: chunked\r\n"
    head += b"\r\n"
    if method == b"HEAD" or script.status in (204, 304):
        run.body = b""
    elif script.framing.startswith("chunked"):
        trailers = b"T: 1\r\nAttempt-Id: x\r\n" if script.framing == "chunked trailers" else b""
        chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in split(run.body, 30)]
        return cut(run, head + b"".join(chunks) + b"0\r\n%s\r\n" % trailers)
    data = cut(run, head + run.body)
    if script.framing == "unframed" and run.body:
        run.body = data[len(head) :]
        run.may_be_whole = script.end == "closed" and len(data) >= len(head)
    return data


def cut(run: Run, data: bytes) -> bytes:
    size = len(data) * run.script.cut // 1000
    run.may_be_whole = size == len(data)
    return data[:size]


class Misbehaving(ScriptedBackend):
    """A backend server that plays a script on each request; the last one is repeated.

    :param make_answer: returns the bytes of a run's answer, from the head and body of the request
    :param filler: byte that the bodies of requests consist of, ``None`` for any bytes
    """

    id_header = b"Attempt-Id"

    def __init__(
        self,
        record: Record,
        scripts: list[Script],
        make_answer: Callable[[Run, bytes, bytes], bytes],
        filler: bytes | None = b"x",
    ):
        super().__init__()
        self._record = record
        self._scripts = list(scripts)
        self._make_answer = make_answer
        self._filler = filler

    def _run_scripts(self, sock):
        copies = data = b""
        while True:
            while b"\r\n\r\n" not in data:
                piece = sock.recv(65536)
                if not piece:
                    return
                data += piece
            head, _, data = data.partition(b"\r\n\r\n")
            script = self._scripts.pop(0) if len(self._scripts) > 1 else self._scripts[0]
            run = self._record.add(find_header(head, self.id_header), script)
            run.target = head.split(b" ", 2)[1]
            sock.sendall(copies)
            size = int(find_header(head, b"Content-Length") or 0)
            body = data if script.early else data + self._read_body(sock, size - len(data))
            answer = self._make_answer(run, head, body)
            if not self._answer(sock, script, answer, run):
                return
            self._read_body(sock, size - len(body))
            data = b""
            copies = answer if script.after == "copy at the next request" else b""

    def _read_body(self, sock, size: int) -> bytes:
        """Return that many bytes of a request's body, and note other bytes in their place."""
        body = b""
        while len(body) < size and (piece := sock.recv(min(size - len(body), 65536))):
            body += piece
        if self._filler is not None and body.strip(self._filler):
            self._record.smuggled.append(body[:80])
        return body

    def _answer(self, sock, script, answer, run):
        """Send an answer; return whether the connection is kept."""
        foreign = FOREIGN[script.before]
        if foreign:
            foreign %= b"Attempt-Id: earlier\r\nResponse-Signature: b\r\n"
        if script.before == "unframed":
            answer, run.may_be_whole = b"", False
        for piece in split(script.interim + foreign + answer, script.piece):
            sock.sendall(piece)
            gevent.sleep(0)
        if script.before == "unframed":
            return False
        is_unframed = script.framing == "unframed"
        if is_unframed or script.cut < 1000 or script.after == "close":
            if script.end == "stalled":
                while sock.recv(65536):
                    pass
            if script.end == "reset":
                gevent.sleep(0.005 if script.cut % 2 else 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            return False
        if script.after in ("copy", "late copy"):
            gevent.sleep(0.005 if script.after == "late copy" else 0)
            sock.sendall(answer)
        elif script.after == "garbage":
            sock.sendall(GARBAGE)
        return True


class RawCaller:
    """A caller that keeps all bytes that it receives."""

    def __init__(self, sock):
        self._sock = sock
        self._data = b""
        self._end = ""
        self._methods = []

    def send(self, head: bytes, body: bytes) -> None:
        """Send a request whose head lacks only the length."""
        self._methods.append(head.partition(b" ")[0])
        with contextlib.suppress(OSError):
            self._sock.sendall(b"%sContent-Length: %d\r\n\r\n%s" % (head, len(body), body))

    def read(self, count: int) -> list[RawAnswer]:
        """Read until that many answers are whole or the connection ends; return the answers."""
        answers = read_answers(self._data, self._methods, self._end)
        while not self._end and sum(answer.whole for answer in answers) < count:
            if answers and answers[-1].closes and answers[-1].whole:
                break
            self._receive()
            answers = read_answers(self._data, self._methods, self._end)
        return answers

    def finish(self) -> list[RawAnswer]:
        """Close the sending side; return all answers once the connection has ended."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        while not self._end:
            self._receive()
        return read_answers(self._data, self._methods, self._end)

    def _receive(self):
        try:
            piece = self._sock.recv(65536)
        except ConnectionResetError:
            self._end = "reset"
            return
        self._data += piece
        self._end = self._end or ("" if piece else "closed")


BASES = st.sampled_from(
    (
        Script(),
        Script(framing="chunked"),
        Script(framing="unframed"),
        Script(framing="unframed", cut=800),
        Script(after="copy at the next request"),
        Script(status=500),
        Script(status=504),
        Script(framing="chunked", cut=700),
        Script(framing="chunked", cut=800, end="reset"),
        Script(framing="chunked", cut=800, end="stalled"),
        Script(status=503, head="refused"),
    )
)
CHANGES = {
    "status": st.sampled_from((200, 201, 204, 206, 299, 302, 304, 400, 404, 408, 421, 429))
    | st.sampled_from((500, 502, 503, 504, 599, 999)),
    "head": st.sampled_from(tuple(HEADS)),
    "framing": st.sampled_from(("length", "chunked", "chunked trailers", "unframed")),
    "interim": st.sampled_from(
        (b"HTTP/1.1 100 X\r\n\r\n", b"HTTP/1.1 103 X\r\nX: y\r\n\r\n" * 2)
        + (b"HTTP/1.1 101 X\r\n\r\n", b"HTTP/1.1 199 X\r\n\r\n" * 9)
    ),
    "before": st.sampled_from(tuple(FOREIGN)),
    "early": st.just(True),
    "size": st.sampled_from((0, 1, 70_000, 300_000)),
    "piece": st.sampled_from((7, 1000)),
    "cut": st.integers(0, 1000),
    "end": st.sampled_from(("reset", "stalled")),
    "after": st.sampled_from(("copy", "late copy", "copy at the next request", "garbage", "close")),
}
SCRIPTS = st.builds(
    lambda base, changes: replace(base, **dict(changes)),
    BASES,
    st.lists(
        st.sampled_from(tuple(CHANGES)).flatmap(
            lambda name: st.tuples(st.just(name), CHANGES[name])
        ),
        max_size=3,
    ),
)
