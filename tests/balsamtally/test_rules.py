"""Tests of the ticket rules: all faults are reported at once, each with its path."""

import json

import pytest

from balsamtally.errors import TicketInvalid, TicketMalformed
from balsamtally.tickets import decode_ticket

HASH = "a" * 64
VALID = [
    {"kind": "class", "name": "live", "tier": 0, "first_token_ms": 1400, "share": 0.6},
    {"kind": "customer", "name": "dunas", "key_hashes": [HASH], "classes": ["live"]},
    {"kind": "pool", "name": "org/waivers-8b:2", "aliases": ["waivers"], "adapters": ["park"]},
    {"kind": "service", "name": "filing", "operations": [{"name": "record"}, {"name": "look"}]},
    {"kind": "policy", "name": "default"},
    {
        "kind": "backend",
        "name": "m1",
        "role": "model",
        "address": "[fd00::7]:8000",
        "domain": "rocha-a",
        "pools": ["org/waivers-8b:2"],
    },
    {"kind": "domain", "name": "rocha-a", "region": "uy-east"},
    {"kind": "region_link", "name": "br-south+uy-east"},
    {"kind": "removed", "name": "old", "of": "customer"},
]


def encode(objects, **fields):
    ticket = {"format": 1, "number": 1, "author": "ana", "objects": objects, **fields}
    return json.dumps(ticket).encode()


def test_valid_objects_are_accepted():
    assert len(decode_ticket(encode(VALID)).objects) == len(VALID)


@pytest.mark.parametrize(
    ("index", "changes", "path"),
    [
        (0, {"name": "two words"}, "[0].name:"),
        (0, {"tier": -1}, "[0].tier:"),
        (0, {"tier": "0"}, "[0].tier:"),
        (0, {"first_token_ms": 0}, "[0].first_token_ms:"),
        (0, {"between_tokens_ms": 1e300}, "[0].between_tokens_ms:"),
        (0, {"share": 1.5}, "[0].share:"),
        (0, {"max_wait_s": 0}, "[0].max_wait_s:"),
        (0, {"max_queued": 0}, "[0].max_queued:"),
        (0, {"requests_per_s": -1}, "[0].requests_per_s:"),
        (0, {"slot": 3}, "[0]: unknown field 'slot'"),
        (1, {"key_hashes": [HASH.upper()]}, "[1].key_hashes[0]:"),
        (1, {"key_hashes": [HASH, HASH]}, "[1].key_hashes[1]:"),
        (1, {"classes": ["live", 3]}, "[1].classes[1]:"),
        (1, {"weight": 0}, "[1].weight:"),
        (1, {"tokens_per_s": -0.1}, "[1].tokens_per_s:"),
        (2, {"aliases": ["org/waivers-8b:2"]}, "[2].aliases:"),
        (2, {"min_runners": -1}, "[2].min_runners:"),
        (3, {"operations": []}, "[3].operations:"),
        (3, {"operations": [{"name": "a"}, {"name": "a"}]}, "[3].operations[1].name:"),
        (3, {"operations": [{"name": "a", "timeout_s": 0}]}, "[3].operations[0].timeout_s:"),
        (3, {"operations": [{"name": "a", "timeout": 1}]}, "[3].operations[0]: unknown field"),
        (4, {"name": "other"}, "[4].name:"),
        (4, {"retry_share": 2}, "[4].retry_share:"),
        (5, {"address": "host:8000"}, "[5].address:"),
        (5, {"address": "10.0.0.7"}, "[5].address:"),
        (5, {"address": "10.0.0.7:99999"}, "[5].address:"),
        (5, {"address": "fd00::7:8000"}, "[5].address:"),
        (5, {"slots": 0}, "[5].slots:"),
        (5, {"role": "service", "pools": []}, "[5].pools:"),
        (5, {"role": "cook"}, "[5].role:"),
        (6, {"region": ""}, "[6].region:"),
        (7, {"name": "uy-east+br-south"}, "[7].name:"),
        (8, {"of": "removed"}, "[8].of:"),
        (8, {"kind": "other"}, "[8].kind:"),
    ],
)
def test_fault_is_reported_with_its_path(index, changes, path):
    objects = [*VALID]
    objects[index] = {**VALID[index], **changes}
    with pytest.raises((TicketInvalid, TicketMalformed)) as caught:
        decode_ticket(encode(objects))
    assert f"$.objects{path}" in str(caught.value)
    assert "; " not in str(caught.value)


def test_conflicting_objects_are_refused():
    objects = [
        {**VALID[0], "name": "other"},
        {**VALID[1], "name": "other"},
        {**VALID[2], "name": "other"},
        {**VALID[5], "name": "other"},
        {**VALID[8]},
    ]
    with pytest.raises(TicketInvalid) as caught:
        decode_ticket(encode(VALID + objects))
    assert str(caught.value).count("; ") == 4
    for path in ("[10].key_hashes:", "[11].aliases:", "[12].address:", "[13]: customer 'old'"):
        assert f"$.objects{path}" in str(caught.value)
    assert "add up to 1.2" in str(caught.value)


def test_all_faults_are_reported_at_once():
    objects = [{**VALID[0], "tier": "x", "share": "y"}, {"kind": "pool"}, 3]
    with pytest.raises(TicketMalformed) as caught:
        decode_ticket(encode(objects, number="1", extra=1))
    for path in ("$.number:", "$: unknown field 'extra'", "$.objects[0].tier:"):
        assert path in str(caught.value)
    for path in ("$.objects[0].share:", "$.objects[1].name: is missing", "$.objects[2]:"):
        assert path in str(caught.value)


@pytest.mark.parametrize(
    "body",
    [
        b'{"format": 1, "format": 1, "number": 1, "author": "a", "objects": []}',
        b"[" * 100_000,
        b'"\xff"',
        b"NaN",
        b"[]",
        b" " * 1_000_001,
        encode(VALID).replace(b"1400", b"1e999"),
    ],
    ids=["repeated key", "deep", "not UTF-8", "NaN", "list", "large", "infinite"],
)
def test_malformed_or_oversized_text_is_refused(body):
    with pytest.raises((TicketMalformed, TicketInvalid)):
        decode_ticket(body)
