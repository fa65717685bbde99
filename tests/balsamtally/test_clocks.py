"""A suspension of the machine, which the monotonic clock doesn't count."""

import math
import time

import pytest

from balsamtally.catalog import Catalog
from balsamtally.clocks import boottime
from balsamtally.permits import PermitGrant, Permits
from balsamtally.server_limits import ServerLimits
from balsamtally.software_history import MAX_AGE_S, SoftwareHistory
from tests.balsamtally.scripted import make_backend
from tests.balsamtally.test_catalog import DECODER
from tests.balsamtally.test_permits import make_beat

SUSPENDED_S = 3.0


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that lets a suspension pass."""
    suspended_s, read = 0.0, time.clock_gettime

    def read_shifted(clock):
        return read(clock) + (suspended_s if clock == time.CLOCK_BOOTTIME else 0.0)

    def suspend():
        nonlocal suspended_s
        suspended_s += SUSPENDED_S

    monkeypatch.setattr(time, "clock_gettime", read_shifted)
    return suspend


def test_suspension_is_counted(suspend):
    before_s, steady_s = boottime(), time.monotonic()
    suspend()
    assert boottime() - before_s >= SUSPENDED_S > time.monotonic() - steady_s


def test_records_of_before_a_suspension_do_not_look_fresh(suspend):
    """The VM vouched for one version alone with records from before it stood still."""
    catalog, history = Catalog(DECODER), SoftwareHistory(lambda: 0.0)
    history.observe([make_backend("old", software="v1")])
    history.record_past([], math.inf)
    catalog.record_current()
    catalog.record_reading(boottime())
    assert history.find_sole("desk", 1.0, catalog.reading_age_s) == "v1"
    suspend()
    assert min(catalog.age_s, catalog.reading_age_s) >= SUSPENDED_S > MAX_AGE_S
    assert history.find_sole("desk", 1.0, catalog.reading_age_s) is None
    assert not catalog.await_reading(boottime(), 0.0)


def test_gap_of_a_suspension_hides_versions_that_came_and_went(suspend):
    """It seemed to last no time, and a version that had served within it was left out."""
    catalog, history = Catalog(DECODER), SoftwareHistory(lambda: 0.0)
    catalog.on_missed = history.record_gap
    history.observe([make_backend("old", software="v1")])
    history.record_past([], math.inf)
    catalog.merge_listing([], 2, "platform")
    catalog.record_current()
    suspend()
    catalog.merge_listing([], 9, "platform")
    assert history.find_sole("desk", 1.0, 0.0) is None


def test_permits_of_before_a_suspension_are_not_used(suspend):
    """The decider has granted others what lapsed meanwhile."""
    server, asks = make_backend("one"), []
    limits = ServerLimits(lambda key: True)
    limits.record_answer(server, 5.0, time.monotonic())
    permits = Permits(
        limits, lambda backend: make_beat("vm0"), send=lambda ask, ip: asks.append(ask)
    )
    permits.request([server], 3)
    permits.handle_grant(PermitGrant(asks[0].number, 3), "vm0")
    assert permits.is_sendable(server)
    suspend()
    assert not permits.is_sendable(server)
