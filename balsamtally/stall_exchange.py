"""Decides on silent runners several times a second, and exchanges notices with peers."""

import time
from collections.abc import Callable

import gevent

from balsamtally.logs import log
from balsamtally.stalls import Silence, SilenceNotice, SilentRunner, Stalls
from balsamtally.tasks import spawn_repeating

DECISION_INTERVAL_S = 0.1
# Interval of notices for some time after a runner has become silent, and later. Two of the first
# fit into the time for objections; with the second one peers' notices don't expire.
NOTICE_INTERVAL_S = 0.1
FAST_NOTICES_S = 0.5
LATER_INTERVAL_S = 0.5


class StallExchange:
    """Runs the decisions on silent runners; a context manager.

    :param vm: name of this entry VM
    :param stalls: what the backend servers sent
    :param list_ips: returns the IP numbers of the live peers of the region
    :param send: sends a message to an IP number; it may be lost
    :param on_verdict: called with each verdict of this entry VM
    """

    def __init__(
        self,
        vm: str,
        stalls: Stalls,
        list_ips: Callable[[], list[str]],
        send: Callable[[SilenceNotice, str], None],
        on_verdict: Callable[[SilentRunner], None],
    ):
        self._vm = vm
        self._stalls = stalls
        self._list_ips = list_ips
        self._send = send
        self._on_verdict = on_verdict
        self._told_s = self._changed_s = 0.0
        self._told_keys: set[tuple[str, int]] = set()

    def __enter__(self) -> "StallExchange":
        self._task = spawn_repeating("stalls", self._step)
        return self

    def __exit__(self, *exc_info) -> None:
        self._task.kill(block=False)

    def handle_notice(self, notice: SilenceNotice, sender: str) -> None:
        """Record a peer's notice, and object to it where a runner has sent something since.

        :param notice: the notice
        :param sender: IP number of the peer
        """
        self._tell(self._stalls.handle_notice(notice), [sender])

    def _step(self) -> None:
        gevent.sleep(DECISION_INTERVAL_S)
        for verdict in self._stalls.decide():
            backend, born = verdict.key
            log.warning(
                "backend_silent_streams",
                backend=backend,
                born=born,
                silent=verdict.silent,
                open=verdict.open,
                silent_s=round(verdict.silent_s, 2),
            )
            self._on_verdict(verdict)
        self._tell_peers(self._stalls.make_silences())

    def _tell_peers(self, silences: tuple[Silence, ...]) -> None:
        now = time.monotonic()
        keys = {silence.key for silence in silences}
        if keys - self._told_keys:
            self._changed_s = now
        self._told_keys = keys
        is_new = now - self._changed_s < FAST_NOTICES_S
        if silences and now - self._told_s >= (NOTICE_INTERVAL_S if is_new else LATER_INTERVAL_S):
            self._told_s = now
            self._tell(silences, self._list_ips())

    def _tell(self, silences: tuple[Silence, ...], ips: list[str]) -> None:
        if not silences:
            return
        notice = SilenceNotice(self._vm, silences)
        for ip in ips:
            self._send(notice, ip)
