"""Decoding of bytes from outside, of which each failure is one documented exception."""

from collections.abc import Iterable
from typing import Annotated, Protocol, TypeVar

import msgspec

# Exceptions of decoders and of functions that convert decoded values.
DECODING_ERRORS = (
    ValueError,
    TypeError,
    ArithmeticError,
    LookupError,
    AttributeError,
    RecursionError,
)
# The largest integer that JSON carries between all implementations unchanged.
MAX_INTEGER = 2**53 - 1

# Above any estimate that a caller's token counts can cause; neither infinite nor NaN.
MAX_SECONDS = 1e18
# Levels of values that are encoded again, far below the depth of the stack.
MAX_LEVELS = 200
_OCTET = "(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Seconds = Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
# Numbers only, since other text would be looked up as a name of a host.
IpNumber = Annotated[str, msgspec.Meta(pattern=rf"\A{_OCTET}(?:\.{_OCTET}){{3}}\Z")]

Value = TypeVar("Value", covariant=True)


class Decoder(Protocol[Value]):
    """A decoder of msgspec for one type."""

    def decode(self, data: bytes | str | msgspec.Raw, /) -> Value:
        """Return the decoded value."""


def decode(decoder: Decoder[Value], data: bytes | str | msgspec.Raw) -> Value:
    """Decode bytes from outside.

    :param decoder: a decoder of msgspec
    :param data: the bytes, or text of JSON
    :raises msgspec.DecodeError: if the bytes are malformed, nested too deeply or of another shape
    """
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error


def check_levels(value: object) -> None:
    """Check that a decoded value can be encoded again at any depth of the stack.

    :param value: the value, of dictionaries, lists and scalars
    :raises msgspec.DecodeError: if it is nested too deeply
    """
    level = [value]
    for _ in range(MAX_LEVELS):
        level = [child for item in level for child in _list_children(item)]
        if not level:
            return
    raise msgspec.DecodeError(f"nested more than {MAX_LEVELS} levels deep")


def _list_children(value: object) -> Iterable[object]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()
