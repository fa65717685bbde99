"""Origins of streams: what is recorded, for how long, and which version it names."""

import msgspec
import pytest

from balsamtally.origins import CLOCK_MARGIN_MS, Origin, Origins, find_software
from tests.balsamtally.scripted import make_backend

BORN, BEGUN = 1_000_000, 2_000_000


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def make_origin(request="a1", customer="acme", software="v1", backend="runner"):
    return Origin(request, customer, software, backend, BORN, BEGUN)


def test_the_first_origin_of_a_customers_request_stays():
    origins = Origins()
    assert origins.record(make_origin())
    assert not origins.record(make_origin(software="v2"))
    assert origins.record(make_origin())
    assert origins.record(make_origin(customer="other", software="v2"))
    assert origins.find("a1", "acme").software == "v1"
    assert origins.find("a1", "other").software == "v2"
    assert origins.find("a1", "") is None and origins.find("a2", "acme") is None


def test_origins_expire_unless_they_are_used():
    clock = Clock()
    origins = Origins(clock, ttl_s=60.0)
    for request in ("unused", "found", "recorded"):
        origins.record(make_origin(request))
    for clock.now_s in (50.0, 100.0, 150.0):
        assert origins.find("found", "acme") is not None
        assert origins.record(make_origin("recorded"))
    assert len(origins) == 2
    assert origins.find("unused", "acme") is None
    clock.now_s = 210.0
    assert len(origins) == 0


def test_origins_beyond_the_limit_replace_those_used_least_recently():
    origins = Origins(most=3)
    for request in ("a", "b", "c"):
        origins.record(make_origin(request))
    origins.find("a", "acme")
    origins.record(make_origin("d"))
    assert [origins.find(request, "acme") is not None for request in "abcd"] == [1, 0, 1, 1]


@pytest.mark.parametrize(
    ("born", "software", "expected"),
    [
        (BORN, "v2", "v1"),
        (BORN - 1, "v2", "v1"),
        (BEGUN - CLOCK_MARGIN_MS - 1, "v2", "v2"),
        (BEGUN - CLOCK_MARGIN_MS, "v2", None),
        (BEGUN + CLOCK_MARGIN_MS, "v2", None),
        (BEGUN + CLOCK_MARGIN_MS + 1, "v2", "v1"),
        (BEGUN, "v1", "v1"),
    ],
)
def test_a_server_that_was_born_again_before_the_first_event_began_the_stream(
    born, software, expected
):
    entry = make_backend("runner", born=born, software=software)
    assert find_software(make_origin(), {"runner": entry}) == expected
    assert find_software(make_origin(), {"other": entry}) == "v1"


@pytest.mark.parametrize(
    "fields",
    [
        ("a" * 129, "acme", "v1", "runner", BORN, BEGUN),
        ("a1", "a" * 201, "v1", "runner", BORN, BEGUN),
        ("a1", "acme", None, "runner", BORN, BEGUN),
        ("a1", "acme", "v1", "runner", -1, BEGUN),
        ("a1", "acme", "v1", "runner", BORN),
    ],
)
def test_invalid_origins_are_refused(fields):
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(msgspec.msgpack.encode(fields), type=Origin)
