"""Losses: a lost link is told from a backend server that nobody reaches."""

import pytest

from balsamtally.paths.losses import MIN_UNREACHABLE, PROBES_TO_RETURN, RECENT_S, Losses
from tests.balsamtally.scripted import make_backend
from tests.balsamtally.test_crash_evidence import Clock

ONE, TWO = make_backend("b1"), make_backend("b2")


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def losses(clock):
    return Losses(clock)


def test_failed_attempt_alone_is_no_loss_of_the_link(losses):
    losses.record_failed(ONE)
    assert not losses.is_lost(ONE) and not losses.list_lost()


def test_link_is_used_again_after_successes_in_a_row(losses):
    losses.record_lost(ONE, "vm2", hangs=True)
    for _ in range(PROBES_TO_RETURN - 1):
        losses.record_connected(ONE)
    losses.record_failed(ONE)
    for _ in range(PROBES_TO_RETURN - 1):
        losses.record_connected(ONE)
    assert losses.is_lost(ONE)
    losses.record_connected(ONE)
    assert not losses.is_lost(ONE)


def test_open_connections_are_used_where_only_new_ones_are_refused(losses):
    losses.record_lost(ONE, "vm2", hangs=False)
    losses.record_lost(TWO, "vm2", hangs=True)
    assert (losses.hangs(ONE), losses.hangs(TWO)) == (False, True)


def test_vm_is_cut_off_only_if_it_reaches_none_of_several_servers(losses, clock):
    losses.record_failed(ONE)
    assert MIN_UNREACHABLE == 2 and not losses.is_cut_off()
    losses.record_failed(TWO)
    assert losses.is_cut_off()
    clock.now_s += 0.1
    losses.record_connected(TWO)
    assert not losses.is_cut_off()


def test_old_failures_tell_nothing_about_the_network(losses, clock):
    losses.record_failed(ONE)
    losses.record_failed(TWO)
    clock.now_s += RECENT_S + 0.1
    assert not losses.is_cut_off()


def test_removed_servers_are_forgotten(losses):
    losses.record_lost(ONE, "vm2", hangs=True)
    losses.keep_only({TWO.key})
    assert not losses.list_lost()


def test_several_losses_at_a_time_make_the_other_links_suspect(losses, clock):
    three = make_backend("b3")
    losses.record_connected(three)
    losses.record_lost(ONE, "vm2", hangs=True)
    assert losses.take_suspects(8) == []
    clock.now_s += RECENT_S + 0.1
    losses.record_lost(TWO, "vm2", hangs=True)
    assert losses.take_suspects(8) == []
    losses.record_lost(make_backend("b4"), "vm2", hangs=True)
    assert losses.take_suspects(8) == [three]
    assert losses.take_suspects(8) == []


def test_vm_that_is_answered_over_kept_connections_is_not_cut_off(losses, clock):
    three = make_backend("b3")
    losses.record_failed(ONE)
    losses.record_failed(TWO)
    assert losses.is_cut_off() and losses.list_failing() == [ONE, TWO]
    losses.record_used(three)
    assert not losses.is_cut_off() and losses.list_failing() == []
