"""Tests of the decoding of change tickets."""

import re

import pytest

from balsamtally.errors import TicketInvalid, TicketMalformed
from balsamtally.tickets import decode_ticket, encode_ticket

VALID = b"""{"format": 1, "number": 7, "author": "ana", "objects": [
  {"kind": "domain", "name": "rocha-a", "region": "uy-east"},
  {"kind": "removed", "of": "customer", "name": "dunas"}]}"""


def test_ticket_round_trip():
    ticket = decode_ticket(VALID)
    assert decode_ticket(encode_ticket(ticket)) == ticket


@pytest.mark.parametrize(
    ("body", "error", "text"),
    [
        (b"{", TicketMalformed, "truncated"),
        (VALID.replace(b'"uy-east"', b"3"), TicketMalformed, "$.objects[0].region"),
        (VALID.replace(b'"number": 7', b'"number": 0'), TicketInvalid, "number"),
        (VALID.replace(b'"format": 1', b'"format": 2'), TicketInvalid, "format"),
    ],
)
def test_invalid_ticket_is_refused(body, error, text):
    with pytest.raises(error, match=re.escape(text)):
        decode_ticket(body)
