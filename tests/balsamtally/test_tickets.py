"""Tests of the change ticket's format."""

import re

import pytest

from balsamtally.errors import TicketInvalid, TicketMalformed
from balsamtally.tickets import decode_ticket, encode_ticket

GOOD = b"""{"format": 1, "number": 7, "author": "ana", "objects": [
  {"kind": "domain", "name": "rocha-a", "region": "uy-east"},
  {"kind": "removed", "of": "customer", "name": "dunas"}]}"""


def test_ticket_round_trip():
    ticket = decode_ticket(GOOD)
    assert decode_ticket(encode_ticket(ticket)) == ticket


@pytest.mark.parametrize(
    ("body", "error", "text"),
    [
        (b"{", TicketMalformed, "truncated"),
        (GOOD.replace(b'"uy-east"', b"3"), TicketMalformed, "$.objects[0].region"),
        (GOOD.replace(b'"number": 7', b'"number": 0'), TicketInvalid, "number"),
        (GOOD.replace(b'"format": 1', b'"format": 2'), TicketInvalid, "format"),
    ],
)
def test_bad_ticket_is_refused_whole(body, error, text):
    with pytest.raises(error, match=re.escape(text)):
        decode_ticket(body)
