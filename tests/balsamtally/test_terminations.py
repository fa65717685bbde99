"""Terminations: the end of a backend server is told from a lost connection."""

import gevent

from balsamtally.terminations import CONFIRMATION_S, RECHECK_S, Terminations
from tests.balsamtally.scripted import make_backend
from tests.balsamtally.test_crash_evidence import Clock


class Prober:
    """Counts the connection attempts and returns a set result."""

    def __init__(self, refused):
        self.refused = refused
        self.asked = 0

    def __call__(self, backend):
        self.asked += 1
        gevent.sleep(0.01)
        return self.refused


def never(backend):
    return False


def test_calls_cut_at_the_same_time_share_one_connection_attempt():
    prober = Prober(refused=True)
    terminations = Terminations(prober, never)
    backend = make_backend()
    tasks = [gevent.spawn(terminations.has_terminated, backend) for _ in range(20)]
    gevent.joinall(tasks)
    assert all(task.value for task in tasks) and prober.asked == 1


def test_running_backend_server_is_asked_again_only_after_a_while():
    clock = Clock()
    prober = Prober(refused=False)
    terminations = Terminations(prober, never, clock)
    backend = make_backend()
    assert not terminations.has_terminated(backend) and not terminations.has_terminated(backend)
    assert prober.asked == 1
    clock.now_s += RECHECK_S
    prober.refused = True
    assert terminations.has_terminated(backend)


def test_ended_incarnation_is_not_asked_again():
    clock = Clock()
    prober = Prober(refused=True)
    terminations = Terminations(prober, never, clock)
    backend = make_backend()
    assert terminations.has_terminated(backend)
    clock.now_s += 60.0
    prober.refused = False
    assert terminations.has_terminated(backend)
    assert not terminations.has_terminated(make_backend())


def test_caller_that_leaves_during_the_connection_attempt_blocks_no_other():
    terminations = Terminations(Prober(refused=True), never)
    backend = make_backend()
    leaver = gevent.spawn(terminations.has_terminated, backend)
    gevent.sleep(0)
    other = gevent.spawn(terminations.has_terminated, backend)
    gevent.sleep(0)
    leaver.kill()
    other.join(timeout=1.0)
    assert other.ready()


def test_cut_is_a_crash_once_the_store_shows_another_incarnation():
    clock = Clock()
    terminations = Terminations(Prober(refused=False), never, clock)
    backend, ended = make_backend("r"), []
    assert not terminations.report(backend, lambda: ended.append("r"))
    terminations.check_pending({"r": backend})
    assert ended == []
    clock.now_s += 2.0
    terminations.check_pending({"r": make_backend("r")})
    terminations.check_pending({"r": make_backend("r")})
    assert ended == ["r"]


def test_cut_between_the_entry_vm_and_a_running_backend_server_is_no_crash():
    clock = Clock()
    terminations = Terminations(Prober(refused=False), never, clock)
    backend, ended = make_backend("r"), []
    terminations.report(backend, lambda: ended.append("r"))
    clock.now_s += CONFIRMATION_S + 1.0
    terminations.check_pending({"r": backend})
    terminations.check_pending({})
    assert ended == []
