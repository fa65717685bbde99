"""Checks of the raw heads of requests, to prevent request smuggling.

Refused are two lengths, a length with a chunked body, bare line feeds and folded lines.
"""

import re

from balsamtally.errors import MalformedRequest

_BAD_LINES = re.compile(rb"(?<!\r)\n|\r(?!\n)|\n[ \t]|\x00")
_FRAMING = (b"content-length:", b"transfer-encoding:")
_TARGET = re.compile(rb"/[\x21-\x7e\x80-\xff]*")


def check_lines(head: bytes) -> None:
    """Check the line ends of the part of a head that has been received.

    :param head: the head, whose last line may be incomplete
    :raises MalformedRequest: if a line contains a bare CR, a bare LF or NUL, or is folded
    """
    text = head[:-1] if head.endswith(b"\r") else head
    if _BAD_LINES.search(text):
        raise MalformedRequest("a line of the head has a bare CR, LF or NUL, or is folded")


def check_framing(head: bytes, target: bytes) -> None:
    """Check that the framing, target and host of a request are unambiguous.

    The raw head is checked, since the parser merges repeated equal lengths into one.

    :param head: the head as received
    :param target: target of the request
    :raises MalformedRequest: if the request is ambiguous
    """
    lines = head.lower().split(b"\r\n")[1:]
    names = [line.partition(b":")[0] for line in lines]
    framing = [line for line in lines if line.startswith(_FRAMING)]
    if len(framing) > 1 or any(b"," in line for line in framing):
        raise MalformedRequest("the head gives more than one length or transfer encoding")
    if not _TARGET.fullmatch(target):
        raise MalformedRequest("the target is not a path")
    if names.count(b"host") != 1:
        raise MalformedRequest("the request must have exactly one Host header")
