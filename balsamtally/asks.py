"""Asking the entry VM that places the calls of the own region for a place.

Load pattern: dozens of entry VMs before the same backend servers. Work that is told by beats is as
old as a prompt takes to read, so that each VM by itself sends into backlogs that it doesn't know.
One VM of the region, the coordinator of the service, knows what it has placed, and keeps the one
line of calls that wait. An answer takes a round trip within the region. Where no coordinator
answers, a VM places its calls by itself.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from gevent.event import Event

from balsamtally.beats import Beat
from balsamtally.coordination import Ask, Reply, Withdrawal
from balsamtally.demands import Demand, make_demand, shift_times
from balsamtally.dispatch import Dispatch
from balsamtally.errors import TargetHopeless
from balsamtally.forwarding import Choice
from balsamtally.logs import log
from balsamtally.plans import CallProgress, Plan

# A round trip within a region takes about 2 ms, a choice 1 ms; this leaves room for a small machine
# with some calls to place before this one.
ANSWER_S = 0.06
# The coordinator of a call that waits is asked again so often, to find out that it is lost; that
# the call still waits is told by beats.
RENEW_S = 0.3
# Requests without an answer after which a coordinator is passed over, and for how long.
TRIES = 2
MISSED_S = 2.0
# Coordinators that are asked one after the other before a VM places a call by itself.
MAX_COORDINATORS = 2


@dataclass
class OpenAsk:
    """A request without an answer.

    :ivar heard: set with each reply
    :ivar reply: the last reply
    """

    heard: Event = field(default_factory=Event)
    reply: Reply | None = None


class PlacementClient:
    """The requests of this entry VM for places.

    :param incarnation: identity of this process
    :param dispatch: places calls where no coordinator does
    :param find_coordinator: returns the beat of a service's coordinator, leaving out the VMs named;
        ``None`` if it is this entry VM
    :param send: sends a message to an IP number
    :param clock: steady clock
    """

    def __init__(
        self,
        incarnation: str,
        dispatch: Dispatch,
        find_coordinator: Callable[[str, set[str]], Beat | None],
        send: Callable[[Ask | Withdrawal, str], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self._incarnation = incarnation
        self._dispatch = dispatch
        self._find_coordinator = find_coordinator
        self._send = send
        self._clock = clock
        self._open: dict[int, OpenAsk] = {}
        self._missed_s: dict[str, float] = {}
        self.last_number = 0

    def list_pending(self) -> tuple[int, ...]:
        """Return the numbers of the requests without an answer."""
        return tuple(self._open)

    def choose(self, plan: Plan, progress: CallProgress) -> Choice | None:
        """Wait for a backend server and return it with the work that is counted there.

        :param plan: the call's plan
        :param progress: how far it has come
        :return: the choice, ``None`` if no backend server is open
        :raises TargetHopeless: if the whole answer can't be had in time
        """
        for _ in range(MAX_COORDINATORS):
            coordinator = self._find_coordinator(plan.service, self._list_missed())
            if coordinator is None:
                break
            demand = make_demand(plan, progress)
            reply = self._ask(coordinator, demand)
            if reply is None:
                continue
            if reply.refused:
                raise TargetHopeless(reply.refused, retry_after_s=reply.retry_after_s)
            choice = None
            if reply.place is not None:
                choice = self._dispatch.accept(demand, reply.place, coordinator.vm)
            if choice is not None:
                return choice
            break
        return self._dispatch.choose(plan, progress)

    def _list_missed(self) -> set[str]:
        now = self._clock()
        self._missed_s = {vm: at for vm, at in self._missed_s.items() if now - at < MISSED_S}
        return set(self._missed_s)

    def _ask(self, coordinator: Beat, demand: Demand) -> Reply | None:
        """Ask until there is an answer; ``None`` if the coordinator is silent or time is over."""
        self.last_number += 1
        number = self.last_number
        ask = self._open[number] = OpenAsk()
        final: Reply | None = None
        try:
            silent = 0
            while silent < TRIES and self._clock() < demand.until_s:
                ask.heard.clear()
                message = Ask(self._incarnation, number, shift_times(demand, -self._clock()))
                self._send(message, coordinator.ip)
                if not ask.heard.wait(ANSWER_S):
                    silent += 1
                    continue
                silent = 0
                if ask.reply.waits:
                    ask.heard.clear()
                    ask.heard.wait(RENEW_S)
                if not ask.reply.waits:
                    final = ask.reply
                    return final
            if silent >= TRIES:
                self._missed_s[coordinator.vm] = self._clock()
                log.info("coordinator_silent", coordinator=coordinator.vm, request=demand.request)
            return None
        finally:
            del self._open[number]
            if final is None:
                self._send(Withdrawal(self._incarnation, number), coordinator.ip)

    def handle_reply(self, reply: Reply, _: str) -> None:
        """Take in what a coordinator answers; one that nobody waits for is dropped.

        :param reply: the reply
        """
        ask = self._open.get(reply.number)
        # Datagrams may overtake each other: nothing follows a final answer.
        if ask is not None and (ask.reply is None or ask.reply.waits):
            ask.reply = reply
            ask.heard.set()
