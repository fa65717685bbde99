"""Entry VMs that have lost their links to backend servers, with real daemons."""

import itertools
import signal
import time
from collections import Counter
from dataclasses import dataclass

import gevent
import pytest
from gevent.pool import Group

from standins.grid import Grid
from standins.grid_callers import GridCaller, find_faults
from tests.polling import expect_soon

WAYS = ("hang", "reset", "refuse")
KINDS = ("lookup", "sign", "draft", "history")
INTERVAL_S = 0.08
DEADLINE_S = 2.0
CUT_S = 1.5
# Time for the VMs to learn from beats that a VM is cut off, or isn't any more.
TOLD_S = 1.0
SOON_S = 1.0
# Time in which a VM uses links that are back.
BACK_S = 3.0
LEFT_S = 0.5
# Lines of a VM that takes a failure of a link for one of the backend server.
VERDICTS = ("backend_ejected", "backend_crashed", "backend_lapsed", "part_quarantined")


@pytest.fixture(scope="module")
def kept_grid():
    with Grid(vms=2, servers=2, domains=2, is_cuttable=True) as deployed:
        yield deployed


@pytest.fixture
def grid():
    with Grid(vms=3, servers=2, domains=1, is_cuttable=True) as deployed:
        yield deployed


@dataclass(frozen=True)
class Outcome:
    """What was seen of a cut.

    :ivar share: share of first tries served at the VMs cut off
    :ivar share_of_others: share of first tries served at the other VMs
    :ivar faults: answers that break a rule
    :ivar verdicts: lines of VMs that took a failure for one of a backend server
    """

    share: float
    share_of_others: float
    faults: list
    verdicts: list


class MixedTraffic:
    """First tries of all kinds at entry VMs, sent at a steady rate; a context manager."""

    def __init__(self, vms):
        self.answers = {vm.name: [] for vm in vms}
        self._tries = Group()
        self._vms = vms

    def __enter__(self):
        self._senders = [gevent.spawn(self._send_to, vm) for vm in self._vms]
        return self

    def __exit__(self, *exc_info):
        gevent.killall(self._senders)
        self._tries.join(raise_error=True)

    def _send_to(self, vm):
        for kind in itertools.cycle(KINDS):
            self._tries.spawn(self._try, vm, kind)
            gevent.sleep(INTERVAL_S)

    def _try(self, vm, kind):
        answer = ask(vm, kind, timeout_s=DEADLINE_S + 0.5, Deadline_Ms=f"{1000 * DEADLINE_S:.0f}")
        self.answers[vm.name].append((kind, answer))

    def find_share(self, vms, since_s, until_s):
        """Return the share of the tries sent within this time that were served."""
        good = [
            answer.good
            for vm in vms
            for _, answer in self.answers[vm.name]
            if since_s <= answer.sent_s < until_s
        ]
        assert len(good) > 10
        return sum(good) / len(good)


def list_verdicts(grid):
    return [
        (vm.name, line) for vm in grid.vms for line in vm.list_lines() if line["event"] in VERDICTS
    ]


def list_faults(grid, answers):
    return [
        (answer.id, answer.status, found)
        for kind, answer in answers
        if (found := find_faults(grid, kind, answer))
    ]


def ask(vm, kind, **details):
    with GridCaller(vm) as caller:
        return caller.ask(kind, b"body", **details)


def await_direct_links(grid):
    """End all cuts, and wait until calls at each VM reach the backend servers directly again."""
    for vm in grid.vms:
        grid.heal(vm)
    for vm in grid.vms:
        expect_soon(lambda vm=vm: vm.count_events("link_back") == vm.count_events("link_lost"))
    for vm in grid.vms:
        expect_soon(lambda vm=vm: is_served_directly(vm), BACK_S)


def is_served_directly(vm):
    answer = ask(vm, "lookup")
    expect_soon(lambda: vm.count_events("ended", request=answer.id) == 1)
    return answer.good and vm.count_events("ended", request=answer.id, relay="") == 1


def choose_cut(grid, extent):
    """Return the VMs that are cut off, and the backend servers, ``None`` for all."""
    if extent == "some servers":
        return grid.vms[:3], grid.servers[: len(grid.servers) // 2]
    return {"one": grid.vms[:1], "most": grid.vms[1:], "domain": grid.vms[:2]}[extent], None


@pytest.fixture(
    scope="module",
    params=[
        ("one", "hang"),
        ("domain", "reset"),
        *itertools.product(("most", "some servers"), WAYS),
    ],
    ids=lambda param: "-".join(param),
)
def outcome(kept_grid, request):
    """What callers and VMs see of a cut that begins and ends."""
    grid, (extent, way) = kept_grid, request.param
    cut_off, servers = choose_cut(grid, extent)
    others = [vm for vm in grid.vms if vm not in cut_off]
    former = list_verdicts(grid)
    with MixedTraffic(grid.vms) as traffic:
        gevent.sleep(0.3)
        for vm in cut_off:
            grid.cut(vm, way, servers)
        gevent.sleep(TOLD_S)
        begun_s = time.monotonic()
        gevent.sleep(CUT_S)
        ended_s = time.monotonic()
        for vm in cut_off:
            grid.heal(vm)
        gevent.sleep(0.3)
    await_direct_links(grid)
    answers = [answer for answers in traffic.answers.values() for answer in answers]
    return Outcome(
        traffic.find_share(cut_off, begun_s, ended_s),
        traffic.find_share(others, begun_s, ended_s),
        list_faults(grid, answers),
        [verdict for verdict in list_verdicts(grid) if verdict not in former],
    )


def test_first_tries_at_vms_cut_off_are_served_as_at_the_others(outcome):
    """Without another way a VM that is cut off serves next to none of its callers."""
    assert outcome.share_of_others > 0.9
    assert outcome.share >= 2 / 3 * outcome.share_of_others


def test_requests_run_once_at_most_and_not_at_all_if_refused_beside_a_cut(outcome):
    assert outcome.faults == []


def test_cut_is_no_news_of_a_backend_server(outcome):
    assert outcome.verdicts == []


# A relaying VM that is killed takes its connections with it; a stop is planned, and takes nothing.
@pytest.mark.parametrize("number, lost_s", [(signal.SIGKILL, 0.5), (signal.SIGTERM, 0.0)])
def test_calls_go_through_another_vm_once_a_relaying_one_has_ended(grid, number, lost_s):
    cut_off, *relaying = grid.vms
    grid.cut(cut_off, "hang")
    with MixedTraffic([cut_off]) as traffic:
        gevent.sleep(1.5)
        ended_s = time.monotonic()
        relaying[0].signal(number)
        gevent.sleep(TOLD_S)
        told_s = time.monotonic()
        gevent.sleep(1.5)
    answers = traffic.answers[cut_off.name]
    assert traffic.find_share([cut_off], ended_s + lost_s, time.monotonic()) == 1.0
    assert list_faults(grid, answers) == []
    assert list_verdicts(grid) == []
    later = {answer.id for _, answer in answers if answer.sent_s >= told_s}
    relays = {
        line["relay"]
        for line in cut_off.list_lines()
        if line["event"] == "ended" and line["request"] in later
    }
    assert relays == {relaying[1].name}


@pytest.mark.parametrize("way", ["hang", "reset"])
def test_calls_are_refused_soon_while_no_vm_is_left_and_served_directly_later(grid, way):
    for vm in grid.vms:
        grid.cut(vm, way)
    gevent.sleep(TOLD_S)
    begun_s = time.monotonic()
    with MixedTraffic(grid.vms) as traffic:
        gevent.sleep(2.0)
    answers = [answer for answers in traffic.answers.values() for answer in answers]
    print(way, Counter((a.status, a.headers.get("retry-after")) for _, a in answers))
    assert time.monotonic() - begun_s < 2.0 + SOON_S
    assert {answer.status for _, answer in answers} == {503}
    assert all("retry-after" in answer.headers for _, answer in answers)
    assert list_faults(grid, answers) == []
    await_direct_links(grid)
    assert list_verdicts(grid) == []


@pytest.mark.parametrize("kind", ["draft", "history"])
def test_server_stops_soon_after_the_caller_of_a_relayed_stream_has_left(grid, kind):
    cut_off = grid.vms[0]
    grid.cut(cut_off, "hang")
    gevent.sleep(TOLD_S)
    servers = grid.list_servers("model")
    streams = [
        gevent.spawn(ask, cut_off, kind, Event_S="0.05", Token_Usage="30,90") for _ in range(4)
    ]
    expect_soon(lambda: sum(server.running for server in servers) == len(streams))
    gevent.sleep(0.3)
    gevent.killall(streams)
    expect_soon(lambda: not any(server.running for server in servers), LEFT_S)
    expect_soon(lambda: cut_off.count_events("ended") == len(streams))
    assert cut_off.count_events("ended", relay="") == 0
