"""Decoding of bytes from outside, of which each failure is one documented exception."""

from typing import Annotated, Protocol, TypeVar

import msgspec

# Exceptions of decoders and of functions that convert decoded values.
DECODING_ERRORS = (ValueError, TypeError, ArithmeticError, LookupError, RecursionError)
# The largest integer that JSON carries between all implementations unchanged.
MAX_INTEGER = 2**53 - 1

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]

Value = TypeVar("Value", covariant=True)


class Decoder(Protocol[Value]):
    """A decoder of msgspec for one type."""

    def decode(self, data: bytes | msgspec.Raw, /) -> Value:
        """Return the decoded value."""


def decode(decoder: Decoder[Value], data: bytes | msgspec.Raw) -> Value:
    """Decode bytes from outside.

    :param decoder: a decoder of msgspec
    :param data: the bytes
    :raises msgspec.DecodeError: if the bytes are malformed, nested too deeply or of another shape
    """
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
