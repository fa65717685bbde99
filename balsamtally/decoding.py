"""Decoding of bytes from outside, of which each failure is one documented exception."""

from typing import Annotated, Protocol, TypeVar

import msgspec

# Exceptions of decoders and of functions that convert decoded values.
DECODING_ERRORS = (ValueError, TypeError, ArithmeticError, LookupError, RecursionError)
# The largest integer that JSON carries between all implementations unchanged.
MAX_INTEGER = 2**53 - 1

MAX_SECONDS = 1e9
_OCTET = "(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Seconds = Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
# Numbers only, since other text would be looked up as a name of a host.
IpNumber = Annotated[str, msgspec.Meta(pattern=rf"\A{_OCTET}(?:\.{_OCTET}){{3}}\Z")]

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
