"""Server side of placement: reservations that a service's coordinator makes for its region.

The coordinator counts the work of a reservation until a beat of the requesting VM reports it, so
that lost datagrams never leave work counted twice or not at all. A reservation expires if the VM
never confirms it, and a waiting request if the VM's beats no longer list it. This state lives for a
second or two; a successor of the coordinator learns the load from beats.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from balsamtally.beats import Beat
from balsamtally.coordination import Ask, Reply, Withdrawal
from balsamtally.demands import Demand, shift_times
from balsamtally.dispatch import Dispatch, Reservation
from balsamtally.errors import TargetHopeless
from balsamtally.logs import log
from balsamtally.tasks import spawn_repeating

# Beats list the waiting calls five times a second; a call that is missing for this long has ended,
# or its VM is lost.
ASK_TTL_S = 0.5
# A reservation that no beat confirms for this long was not used; beats come five times a second.
UNCONFIRMED_TTL_S = 1.0
EXPIRY_INTERVAL_S = 0.1
# An entry VM that received a placement request this recently acts as a coordinator.
RECENT_ASK_S = 1.0


@dataclass
class HeldAsk:
    """A placement request of a peer.

    :ivar ip: IP number of the peer
    :ivar service: name of the service
    :ivar seen_s: monotonic clock when the peer last sent or listed it, or when it was answered
    :ivar task: waits for a placement
    :ivar reply: the final reply, ``None`` while the call waits
    :ivar reservation: the reservation, which the peer doesn't report in its own load yet
    """

    ip: str
    service: str
    seen_s: float
    task: gevent.Greenlet | None = None
    reply: Reply | None = None
    reservation: Reservation | None = None


class Reservations:
    """The placement requests of peers; a context manager.

    :param dispatch: places the calls
    :param send: sends a reply to an IP number
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self,
        dispatch: Dispatch,
        send: Callable[[Reply, str], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self._dispatch = dispatch
        self._send = send
        self._clock = clock
        self._asks: dict[str, dict[int, HeldAsk]] = {}
        self._last_asked_s: dict[str, float] = {}

    def __enter__(self) -> "Reservations":
        self._expiry_task = spawn_repeating("tidy reservations", self._drop_expired_later)
        return self

    def __exit__(self, *exc_info) -> None:
        self._expiry_task.kill(block=False)
        for held in [held for by_number in self._asks.values() for held in by_number.values()]:
            release(held)

    def was_asked_recently(self, service: str) -> bool:
        """Return whether a peer recently sent a placement request for a service.

        :param service: name of the service
        """
        return self._clock() - self._last_asked_s.get(service, -RECENT_ASK_S) < RECENT_ASK_S

    def handle_ask(self, ask: Ask, ip: str) -> None:
        """Start serving a placement request, or answer a repeated one.

        :param ask: the request
        :param ip: IP number of the peer
        """
        now = self._clock()
        self._last_asked_s[ask.demand.service] = now
        by_number = self._asks.setdefault(ask.incarnation, {})
        held = by_number.get(ask.number)
        if held is None:
            held = by_number[ask.number] = HeldAsk(ip, ask.demand.service, now)
            held.task = gevent.spawn(self._serve, ask.number, shift_times(ask.demand, now), held)
            return
        held.seen_s = now
        self._send(held.reply or Reply(ask.number, waits=True), ip)

    def _serve(self, number: int, demand: Demand, held: HeldAsk) -> None:
        """Place a call and send the final reply to its VM."""

        def on_wait() -> None:
            self._send(Reply(number, waits=True), held.ip)

        try:
            held.reservation = self._dispatch.reserve(demand, on_wait)
            place = held.reservation.place if held.reservation is not None else None
            held.reply = Reply(number, place=place)
        except TargetHopeless as error:
            held.reply = Reply(number, refused=str(error), retry_after_s=error.retry_after_s or 0.0)
        except Exception:
            # The reply without a placement makes the VM place the call itself.
            log.exception("reservation_failed", request=demand.request)
            held.reply = Reply(number)
        held.seen_s = self._clock()
        self._send(held.reply, held.ip)

    def handle_withdrawal(self, withdrawal: Withdrawal, _: str) -> None:
        """Drop a request that its VM withdraws.

        :param withdrawal: the withdrawal
        """
        held = self._asks.get(withdrawal.incarnation, {}).pop(withdrawal.number, None)
        if held is not None:
            release(held)

    def release_confirmed(self, beat: Beat) -> None:
        """Release the reservations that the requesting VM now reports in its own load.

        :param beat: a beat of that VM, whose load was recorded before
        """
        by_number = self._asks.get(beat.incarnation, {})
        now = self._clock()
        for number in beat.pending_asks:
            if number in by_number:
                by_number[number].seen_s = now
        for number in [number for number, held in by_number.items() if held.reply is not None]:
            if number <= beat.last_ask_number and number not in beat.pending_asks:
                release(by_number.pop(number))

    def _drop_expired_later(self) -> None:
        gevent.sleep(EXPIRY_INTERVAL_S)
        self.drop_expired()

    def drop_expired(self) -> None:
        """Drop waiting requests that are no longer listed, and reservations without use."""
        now = self._clock()
        for incarnation, by_number in list(self._asks.items()):
            for number, held in list(by_number.items()):
                limit_s = ASK_TTL_S if held.reply is None else UNCONFIRMED_TTL_S
                if now - held.seen_s > limit_s:
                    log.info("reservation_dropped", vm=held.ip, waited=held.reply is None)
                    release(by_number.pop(number))
            if not by_number:
                del self._asks[incarnation]


def release(held: HeldAsk) -> None:
    """Cancel a request and its reservation, if it has one.

    :param held: the request
    """
    if held.reply is None and held.task is not None:
        held.task.kill(block=False)
    if held.reservation is not None:
        held.reservation.work.cancel()
