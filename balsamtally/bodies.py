"""Bodies of chat requests, as callers send them."""

import msgspec

from balsamtally.errors import MalformedBody


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat.

    :ivar role: who says it
    :ivar content: its text or its parts
    """

    role: str
    content: str | list | None = None


class ChatBody(msgspec.Struct, frozen=True):
    """The fields of a chat request that the router reads; the others pass through.

    :ivar model: name of the model
    :ivar messages: the chat so far
    :ivar stream: whether the answer is to be streamed
    :ivar n: number of answers, only 1 is served
    :ivar max_tokens: most tokens of the answer
    :ivar max_completion_tokens: the same under its newer name
    """

    model: str
    messages: list[ChatMessage]
    stream: bool | None = None
    n: int | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


def decode_chat(body: bytes) -> tuple[dict, ChatBody]:
    """Decode and check the body of a chat request.

    :param body: JSON text
    :return: all its fields, and those that the router reads
    :raises MalformedBody: if it is not JSON of the right shape; the text names the place
    """
    try:
        raw = msgspec.json.decode(body)
        chat = msgspec.convert(raw, ChatBody)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedBody(str(error)) from error
    if not chat.messages:
        raise MalformedBody("messages must not be empty - at `$.messages`")
    if chat.n not in (None, 1):
        raise MalformedBody("only one answer is served - at `$.n`")
    for limit in (chat.max_tokens, chat.max_completion_tokens):
        if limit is not None and limit < 1:
            raise MalformedBody("must be 1 or more - at `$.max_tokens`")
    return raw, chat
