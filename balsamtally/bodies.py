"""Decodes the bodies of chat requests."""

import msgspec

from balsamtally.decoding import Integer, check_levels, decode
from balsamtally.errors import MalformedBody


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat.

    :ivar role: role of the author
    :ivar content: text or list of content parts
    """

    role: str
    content: str | list | None = None


class ChatBody(msgspec.Struct, frozen=True):
    """The fields of a chat request that the router reads; other fields are passed through.

    :ivar model: name of the model
    :ivar messages: messages of the chat
    :ivar stream: whether the answer is streamed
    :ivar n: number of answers, only 1 is supported
    :ivar max_tokens: maximum length of the answer in tokens
    :ivar max_completion_tokens: newer name of ``max_tokens``
    """

    model: str
    messages: list[ChatMessage]
    stream: bool | None = None
    n: int | None = None
    max_tokens: Integer | None = None
    max_completion_tokens: Integer | None = None


_body = msgspec.json.Decoder()


def decode_chat(body: bytes) -> tuple[dict, ChatBody]:
    """Decode and validate the body of a chat request.

    :param body: JSON text
    :return: all fields as a dictionary, and the fields that the router reads
    :raises MalformedBody: if the body is not JSON or doesn't fit the schema; the message contains
        the path of the invalid field
    """
    try:
        raw = decode(_body, body)
        check_levels(raw)
        chat = msgspec.convert(raw, ChatBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedBody(str(error)) from error
    if not chat.messages:
        raise MalformedBody("messages must not be empty - at `$.messages`")
    if chat.n not in (None, 1):
        raise MalformedBody("only one answer is supported - at `$.n`")
    for limit in (chat.max_tokens, chat.max_completion_tokens):
        if limit is not None and limit < 1:
            raise MalformedBody("must be 1 or more - at `$.max_tokens`")
    return raw, chat
