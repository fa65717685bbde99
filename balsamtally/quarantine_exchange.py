"""Passes crash evidence and quarantines on between entry VMs."""

import random
import time
from collections.abc import Callable, Iterator

import gevent
import msgspec
from gevent.event import Event

from balsamtally.beats import Beat
from balsamtally.logs import log
from balsamtally.quarantine import SETTLE_S, Quarantine
from balsamtally.quarantine_messages import QuarantineUpdate
from balsamtally.tasks import spawn_repeating

# Interval of updates. While there is own evidence, each goes to all peers.
UPDATE_INTERVAL_S = 1.0
# Otherwise quarantines are repeated to some peers, which may have been cut off.
PEERS_PER_UPDATE = 2
# Changes within this time share one update.
COALESCE_S = 0.02
DECISION_INTERVAL_S = 0.1
MAX_UPDATE_BYTES = 8_192


class QuarantineExchange:
    """Exchanges updates of a quarantine with the peers; a context manager.

    :param quarantine: the quarantine of this entry VM
    :param list_ips: returns the IP numbers of the live peers
    :param send: sends a message to an IP number; it may be lost
    """

    def __init__(
        self,
        quarantine: Quarantine,
        list_ips: Callable[[], list[str]],
        send: Callable[[QuarantineUpdate, str], None],
    ):
        self._quarantine = quarantine
        self._list_ips = list_ips
        self._send = send
        self._incarnations: dict[str, str] = {}
        self._wake = Event()
        self._changed = False
        self._sent_s = 0.0
        self._decide_until_s = 0.0

    def __enter__(self) -> "QuarantineExchange":
        self._task = spawn_repeating("quarantine", self._step)
        return self

    def __exit__(self, *exc_info) -> None:
        self._task.kill(block=False)

    def announce(self) -> None:
        """Send an update to all peers soon."""
        self._changed = True
        self._decide_soon()

    def handle_update(self, update: QuarantineUpdate, sender: str) -> None:
        """Merge a peer's update.

        :param update: the update
        :param sender: IP number of the peer
        """
        objection = self._quarantine.make_objection(update)
        if objection is not None:
            self._send_parts(objection, [sender])
        self._quarantine.merge_update(update)
        if update.implications:
            self._decide_soon()

    def greet(self, beat: Beat) -> None:
        """Send the quarantines to a peer that has just started.

        :param beat: a heartbeat of the peer
        """
        if self._incarnations.get(beat.vm) != beat.incarnation:
            self._incarnations[beat.vm] = beat.incarnation
            self._send_update([beat.ip])

    def _decide_soon(self) -> None:
        self._decide_until_s = time.monotonic() + SETTLE_S + 2 * DECISION_INTERVAL_S
        self._wake.set()

    def _step(self) -> None:
        deciding = time.monotonic() < self._decide_until_s
        if self._wake.wait(DECISION_INTERVAL_S if deciding else UPDATE_INTERVAL_S):
            gevent.sleep(COALESCE_S)
            self._wake.clear()
        if deciding:
            self._quarantine.decide()
        self._quarantine.prune()
        if self._changed or time.monotonic() - self._sent_s >= UPDATE_INTERVAL_S:
            self._send_to_peers()

    def _send_to_peers(self) -> None:
        ips = self._list_ips()
        if not (self._changed or self._quarantine.has_findings()):
            ips = random.sample(ips, min(PEERS_PER_UPDATE, len(ips)))
        self._changed = False
        self._sent_s = time.monotonic()
        self._send_update(ips)

    def _send_update(self, ips: list[str]) -> None:
        update = self._quarantine.make_update()
        if update is not None:
            self._send_parts(update, ips)

    def _send_parts(self, update: QuarantineUpdate, ips: list[str]) -> None:
        for part in split_update(update):
            for ip in ips:
                self._send(part, ip)


def split_update(update: QuarantineUpdate) -> Iterator[QuarantineUpdate]:
    """Yield updates of at most ``MAX_UPDATE_BYTES`` each that hold all findings of one.

    :param update: the update
    """
    if len(msgspec.msgpack.encode(update)) <= MAX_UPDATE_BYTES:
        yield update
        return
    names = ("implications", "begun", "states", "candidates")
    if all(len(getattr(update, name)) <= 1 for name in names):
        if sum(len(getattr(update, name)) for name in names) <= 1:
            log.warning("quarantine_update_too_large", vm=update.vm)
            return
        for name in names:
            single = {other: () for other in names if other != name}
            yield from split_update(msgspec.structs.replace(update, **single))
        return
    halves = {name: len(getattr(update, name)) // 2 for name in names}
    first = {name: getattr(update, name)[:half] for name, half in halves.items()}
    second = {name: getattr(update, name)[half:] for name, half in halves.items()}
    yield from split_update(msgspec.structs.replace(update, **first))
    yield from split_update(msgspec.structs.replace(update, **second))
