"""Encodes answers and errors in the OpenAI format for callers."""

import time
from collections.abc import Iterator

import bottle
import msgspec

from balsamtally.chats import ChatRequest, read_text
from balsamtally.errors import AnswerCut, BalsamtallyError
from balsamtally.slots import CallerVanished
from balsamtally.streams import Chunk


def render_error(error: BalsamtallyError, request_id: str) -> bytes:
    """Set status and headers of the current response and return the error as JSON.

    :param error: the error
    :param request_id: id of the request
    :return: JSON text in the error format of the OpenAI API
    """
    bottle.response.status = error.status
    bottle.response.content_type = "application/json"
    bottle.response.set_header("X-Outcome", error.outcome.value)
    if error.retry_after_s is not None:
        bottle.response.set_header("Retry-After", str(max(1, round(error.retry_after_s))))
    return msgspec.json.encode({"error": describe_error(error, request_id)})


def describe_error(error: BalsamtallyError, request_id: str) -> dict:
    """Return the fields of an error in the OpenAI format.

    :param error: the error
    :param request_id: id of the request
    :return: fields of the ``error`` object
    """
    return {
        "message": str(error),
        "type": type(error).__name__,
        "code": error.code,
        "param": None,
        "outcome": error.outcome.value,
        "request_id": request_id,
    }


def encode_event(chat: ChatRequest, chunk: Chunk, created: int, role: str = "") -> bytes:
    """Encode a chunk from a runner as an event for the caller.

    :param chat: the request
    :param chunk: the chunk from the runner
    :param created: creation time of the answer, in Unix seconds
    :param role: role of the author, set for the first chunk only
    :return: the event
    """
    choices = [
        {
            "index": 0,
            "delta": {"content": choice.delta.content} if choice.delta.content else {},
            "finish_reason": choice.finish_reason,
        }
        for choice in chunk.choices
    ]
    event = {
        "id": chat.request,
        "object": "chat.completion.chunk",
        "created": created,
        "model": chat.pool.name,
        "choices": choices,
    }
    if role and choices:
        choices[0]["delta"]["role"] = role
    if chunk.usage is not None:
        event["usage"] = chunk.usage
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def stream_events(chat: ChatRequest, first: Chunk, rest: Iterator[Chunk]) -> Iterator[bytes]:
    """Yield the events of a streamed answer.

    An incomplete answer ends with an error event, never with the end marker.

    :param chat: the request
    :param first: first chunk of the answer
    :param rest: the following chunks
    :return: the events
    """
    created = int(time.time())
    try:
        yield encode_event(chat, first, created, role="assistant")
        for chunk in rest:
            yield encode_event(chat, chunk, created)
        yield b"data: [DONE]\n\n"
    except CallerVanished:
        return
    except BalsamtallyError as error:
        cut = AnswerCut(str(error)) if not isinstance(error, AnswerCut) else error
        text = msgspec.json.encode({"error": describe_error(cut, chat.request)})
        yield b"data: " + text + b"\n\n"
    finally:
        rest.close()


def collect_answer(chat: ChatRequest, chunks: Iterator[Chunk]) -> dict:
    """Join the chunks of an answer into the body of a non-streamed answer.

    :param chat: the request
    :param chunks: chunks of the answer
    :return: the body
    """
    text, finish_reason, usage = [], None, None
    for chunk in chunks:
        text.append(read_text(chunk))
        usage = chunk.usage or usage
        for choice in chunk.choices:
            finish_reason = choice.finish_reason or finish_reason
    message = {"role": "assistant", "content": "".join(text)}
    return {
        "id": chat.request,
        "object": "chat.completion",
        "created": int(time.time()),
        "model": chat.pool.name,
        "choices": [{"index": 0, "message": message, "finish_reason": finish_reason}],
        "usage": usage,
    }
