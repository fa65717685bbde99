"""Streamed answers from model runners."""

import http.client
from collections.abc import Iterator

import msgspec
import sseclient
import urllib3

from balsamtally.answers import AnswerCheck
from balsamtally.decoding import check_levels, decode
from balsamtally.errors import AnswerCut, BackendFailed, WrongAnswer
from balsamtally.settings import split_address

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 10.0
MAX_IDLE_CONNECTIONS = 64
MAX_ANSWER_BYTES = 16_000_000
END_OF_STREAM = "[DONE]"
LEAVING_STATUS = 503

_FAILURES = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
    msgspec.DecodeError,
)


class RunnerRefused(Exception):
    """The runner is known not to have run the request."""


class RunnerLeaving(RunnerRefused):
    """The runner is draining and accepts no new work."""


class RunnerFailed(Exception):
    """The runner failed after the request may have been delivered."""


class Delta(msgspec.Struct, frozen=True):
    """The text that a chunk adds to an answer.

    :ivar content: the added text
    """

    content: str | None = None


class Choice(msgspec.Struct, frozen=True):
    """One choice of a chunk.

    :ivar delta: the added text
    :ivar finish_reason: why the answer is finished, ``None`` before its end
    """

    delta: Delta = Delta()
    finish_reason: str | None = None


class Chunk(msgspec.Struct, frozen=True):
    """The data of one event of a streamed answer.

    :ivar id: id of the attempt that the chunk belongs to
    :ivar choices: at most one choice
    :ivar usage: token counts reported by the runner
    """

    id: str
    choices: tuple[Choice, ...] = ()
    usage: dict[str, object] | None = None


_decoder = msgspec.json.Decoder(Chunk)


def decode_chunk(data: str) -> Chunk:
    """Decode the data of an event.

    :param data: the data
    :raises msgspec.DecodeError: if it is no chunk, or its usage can't be passed on
    """
    chunk = decode(_decoder, data)
    check_levels(chunk.usage)
    tokens = (chunk.usage or {}).get("completion_tokens")
    if tokens is not None and type(tokens) is not int:
        raise msgspec.DecodeError("the number of completion tokens is no integer")
    return chunk


def accept_chunk(check: AnswerCheck, chunk: Chunk) -> None:
    """Check the next chunk of an answer.

    :param check: state of the checks on the answer
    :param chunk: the chunk
    :raises WrongAnswer: if the chunk belongs to another request
    :raises BackendFailed: if chunks were duplicated or out of order
    """
    text = "".join(choice.delta.content or "" for choice in chunk.choices)
    reasons = [choice.finish_reason for choice in chunk.choices if choice.finish_reason]
    tokens = (chunk.usage or {}).get("completion_tokens")
    check.accept(chunk.id, text, reasons[0] if reasons else None, tokens)


class Runners:
    """Connection pools to the model runners, a context manager that closes them."""

    def __init__(self):
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def __enter__(self) -> "Runners":
        return self

    def __exit__(self, *exc_info) -> None:
        for pool in self._pools.values():
            pool.close()

    def find_pool(self, address: str) -> urllib3.HTTPConnectionPool:
        """Return the connection pool of a runner.

        :param address: IP number and port of the runner
        :return: a connection pool that makes no retries
        """
        pool = self._pools.get(address)
        if pool is None:
            host, port = split_address(address)
            pool = urllib3.HTTPConnectionPool(
                host,
                port,
                maxsize=MAX_IDLE_CONNECTIONS,
                retries=False,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
            )
            self._pools[address] = pool
        return pool


class RunnerStream:
    """The streamed answer of one attempt at a runner.

    The connection is reused only after a whole answer.

    :param pool: connection pool of the runner
    :param attempt_id: id of the request and attempt, which each event must carry
    :param body: body of the request
    :raises RunnerRefused: if the runner is known not to have run the request
    :raises RunnerFailed: if the runner failed
    :raises BackendFailed: if the runner rejected the request with a client error status
    :raises WrongAnswer: if the answer carries the id of another request
    :ivar complete: whether the answer was complete and nothing followed its end marker
    :ivar cancelled: whether the stream was aborted by :meth:`cancel`
    :ivar exchanged_bytes: bytes sent and received in bodies
    """

    def __init__(self, pool: urllib3.HTTPConnectionPool, attempt_id: str, body: dict):
        self.attempt_id = attempt_id
        self.complete = False
        self.cancelled = False
        self.exchanged_bytes = 0
        self._response = self._send(pool, body)

    def __enter__(self) -> "RunnerStream":
        return self

    def __exit__(self, *exc_info) -> None:
        if self.complete:
            self._response.release_conn()
        else:
            self._response.close()

    def cancel(self) -> None:
        """Abort the stream from another greenlet."""
        self.cancelled = True
        try:
            self._response.shutdown()
        except (OSError, RuntimeError, ValueError):
            self._response.close()

    def read_chunks(self) -> Iterator[Chunk]:
        """Yield the chunks of the answer until its end marker.

        :return: the chunks
        :raises RunnerFailed: if the stream ended or failed before the end marker
        :raises WrongAnswer: if a chunk belongs to another request
        :raises BackendFailed: if chunks were duplicated or out of order
        """
        check = AnswerCheck(self.attempt_id)
        final: list[Chunk] = []
        try:
            for event in sseclient.SSEClient(self._read_bytes()).events():
                if event.data == END_OF_STREAM:
                    break
                chunk = decode_chunk(event.data)
                accept_chunk(check, chunk)
                if check.finish_reason is not None:
                    final.append(chunk)
                    continue
                yield chunk
            else:
                raise RunnerFailed("the stream ended without an end marker")
        except _FAILURES as error:
            raise RunnerFailed(f"{type(error).__name__}: {error}") from error
        try:
            check.end()
        except AnswerCut as error:
            raise RunnerFailed(str(error)) from error
        self.complete = self._is_exhausted()
        yield from final

    def _is_exhausted(self) -> bool:
        """Return whether no data follows the end marker, so that the connection can be reused."""
        try:
            return not any(self._bytes)
        except _FAILURES:
            return False

    def _read_bytes(self) -> Iterator[bytes]:
        self._bytes = self._response.stream(65536, decode_content=False)
        received = 0
        for piece in self._bytes:
            received += len(piece)
            self.exchanged_bytes += len(piece)
            if received > MAX_ANSWER_BYTES:
                raise RunnerFailed(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
            yield piece

    def _send(self, pool: urllib3.HTTPConnectionPool, body: dict) -> urllib3.HTTPResponse:
        headers = {"Content-Type": "application/json", "X-Request-Id": self.attempt_id}
        content = msgspec.json.encode(body)
        self.exchanged_bytes += len(content)
        try:
            response = pool.urlopen(
                "POST",
                "/v1/chat/completions",
                body=content,
                headers=headers,
                preload_content=False,
                redirect=False,
            )
        except urllib3.exceptions.NewConnectionError as error:
            raise RunnerRefused(str(error)) from error
        except urllib3.exceptions.ConnectTimeoutError as error:
            raise RunnerRefused(str(error)) from error
        except _FAILURES as error:
            raise RunnerFailed(f"{type(error).__name__}: {error}") from error
        answered_id = response.headers.get("X-Request-Id", self.attempt_id)
        if answered_id != self.attempt_id:
            response.close()
            raise WrongAnswer(f"an answer to {answered_id!r} came for {self.attempt_id!r}")
        if response.status == 200:
            return response
        self._refuse(response)
        raise AssertionError("unreachable")

    @staticmethod
    def _refuse(response: urllib3.HTTPResponse) -> None:
        """Raise the error for an answer that is no stream; its body may be incomplete."""
        try:
            text = response.read(2000).decode(errors="replace")
        except _FAILURES as error:
            text = f"{type(error).__name__}: {error}"
        response.close()
        if response.status == LEAVING_STATUS:
            raise RunnerLeaving(f"status {response.status}: {text}")
        if response.status < 500:
            raise BackendFailed(f"the runner answered {response.status}: {text}")
        raise RunnerFailed(f"status {response.status}: {text}")
