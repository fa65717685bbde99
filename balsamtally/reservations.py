"""Places that this entry VM gives to calls of its region, as the coordinator of a service.

A place is counted here until a beat of the VM that asked counts it there, so that nothing is
counted twice or not at all, whatever datagrams are lost. A VM that no longer shows that its call
waits, or never takes its place, loses it. The state lasts for a second or two; a successor learns
the work from beats.
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

# Beats show five times a second which calls wait; one that isn't shown for so long has left, or its
# VM has.
FORSAKEN_S = 0.5
# A place that no beat confirms for so long was not taken; beats come five times a second.
UNCONFIRMED_S = 1.0
# How often these are looked for.
TIDY_S = 0.1
# An entry VM that was asked for a place in this time counts as a coordinator.
ASKED_S = 1.0


@dataclass
class Held:
    """A request of a peer.

    :ivar ip: IP number of the peer
    :ivar service: the service that it is for
    :ivar shown_s: steady clock when it was shown last
    :ivar task: waits for a place
    :ivar reply: the answer, ``None`` while the call waits
    :ivar reservation: the place that it was given, not counted there yet
    """

    ip: str
    service: str
    shown_s: float
    task: gevent.Greenlet | None = None
    reply: Reply | None = None
    reservation: Reservation | None = None


class Reservations:
    """The requests that peers made, closed by context.

    :param dispatch: finds the places
    :param send: sends a reply to an IP number
    :param clock: steady clock
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
        self._held: dict[str, dict[int, Held]] = {}
        self._asked_s: dict[str, float] = {}

    def __enter__(self) -> "Reservations":
        self._tidier = spawn_repeating("tidy reservations", self._tidy_later)
        return self

    def __exit__(self, *exc_info) -> None:
        self._tidier.kill(block=False)
        for held in [held for likes in self._held.values() for held in likes.values()]:
            release(held)

    def was_asked_recently(self, service: str) -> bool:
        """Return whether peers asked lately for places at a service.

        :param service: name of the service
        """
        return self._clock() - self._asked_s.get(service, -ASKED_S) < ASKED_S

    def handle_ask(self, ask: Ask, ip: str) -> None:
        """Take in a request, one that was taken in before included.

        :param ask: the request
        :param ip: IP number of the peer
        """
        now = self._clock()
        self._asked_s[ask.demand.service] = now
        likes = self._held.setdefault(ask.incarnation, {})
        held = likes.get(ask.number)
        if held is None:
            held = likes[ask.number] = Held(ip, ask.demand.service, now)
            held.task = gevent.spawn(self._serve, ask.number, shift_times(ask.demand, now), held)
            return
        held.shown_s = now
        self._send(held.reply or Reply(ask.number, waits=True), ip)

    def _serve(self, number: int, demand: Demand, held: Held) -> None:
        """Find a place for a call and tell its VM."""

        def on_wait() -> None:
            self._send(Reply(number, waits=True), held.ip)

        try:
            held.reservation = self._dispatch.reserve(demand, on_wait)
            place = held.reservation.place if held.reservation is not None else None
            held.reply = Reply(number, place=place)
        except TargetHopeless as error:
            held.reply = Reply(number, refused=str(error), retry_after_s=error.retry_after_s or 0.0)
        except Exception:
            # The VM that asked places the call by itself.
            log.exception("reservation_failed", request=demand.request)
            held.reply = Reply(number)
        held.shown_s = self._clock()
        self._send(held.reply, held.ip)

    def handle_withdrawal(self, withdrawal: Withdrawal, _: str) -> None:
        """Take in that a call no longer waits.

        :param withdrawal: its request
        """
        held = self._held.get(withdrawal.incarnation, {}).pop(withdrawal.number, None)
        if held is not None:
            release(held)

    def release_confirmed(self, beat: Beat) -> None:
        """Count no longer what the VM that asked counts by itself from now on.

        :param beat: a beat of that VM, whose work was taken in
        """
        likes = self._held.get(beat.incarnation, {})
        now = self._clock()
        for number in beat.open_asks:
            if number in likes:
                likes[number].shown_s = now
        for number in [number for number, held in likes.items() if held.reply is not None]:
            if number <= beat.asked and number not in beat.open_asks:
                release(likes.pop(number))

    def _tidy_later(self) -> None:
        gevent.sleep(TIDY_S)
        self.tidy()

    def tidy(self) -> None:
        """Drop calls that are no longer shown to wait, and places that nobody took."""
        now = self._clock()
        for incarnation, likes in list(self._held.items()):
            for number, held in list(likes.items()):
                limit_s = FORSAKEN_S if held.reply is None else UNCONFIRMED_S
                if now - held.shown_s > limit_s:
                    log.info("reservation_dropped", vm=held.ip, waited=held.reply is None)
                    release(likes.pop(number))
            if not likes:
                del self._held[incarnation]


def release(held: Held) -> None:
    """Give up a request, with the place that it may have.

    :param held: the request
    """
    if held.reply is None and held.task is not None:
        held.task.kill(block=False)
    if held.reservation is not None:
        held.reservation.work.cancel()
