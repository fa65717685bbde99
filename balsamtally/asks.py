"""Client side of placement: asks the region's coordinator for a backend server.

Load pattern: dozens of entry VMs send to the same backend servers. The load reports in beats are as
old as the prefill of a prompt takes, so a VM that places calls alone adds to backlogs that it
doesn't know of. The coordinator of a service, one VM of the region, knows all its own placements
and holds the only queue of waiting calls. A reply takes one round trip within the region. If no
coordinator replies, the VM places its calls itself.
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

# A round trip within a region takes about 2 ms and a placement 1 ms; the rest allows for a
# coordinator on a small machine that places several other calls first.
REPLY_TIMEOUT_S = 0.06
# Interval at which the request of a waiting call is resent, to detect a lost coordinator. Beats
# keep the call in the coordinator's queue, not these requests.
RENEW_INTERVAL_S = 0.3
# Consecutive requests without a reply after which a coordinator is skipped, and for how long.
MAX_ATTEMPTS = 2
SILENT_PENALTY_S = 2.0
# Coordinators that are tried in turn before a VM places a call itself.
MAX_COORDINATORS = 2


@dataclass
class PendingAsk:
    """A placement request without a final reply.

    :ivar received: set by each reply
    :ivar reply: the last reply, ``None`` before the first
    """

    received: Event = field(default_factory=Event)
    reply: Reply | None = None


class PlacementClient:
    """Sends the placement requests of this entry VM and waits for the replies.

    :ivar last_number: number of the last request
    :param incarnation: identity of this process
    :param dispatch: places calls locally if no coordinator replies
    :param find_coordinator: returns the last beat of a service's coordinator, excluding the VMs
        named; ``None`` if this entry VM is the coordinator
    :param send: sends a message to an IP number
    :param clock: monotonic clock in seconds
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
        self._pending: dict[int, PendingAsk] = {}
        self._silent_since_s: dict[str, float] = {}
        self.last_number = 0

    def list_pending(self) -> tuple[int, ...]:
        """Return the numbers of the requests without a final reply."""
        return tuple(self._pending)

    def choose(self, plan: Plan, progress: CallProgress) -> Choice | None:
        """Wait for a backend server and return it with the work counted there.

        :param plan: the call's plan
        :param progress: the call's previous attempts
        :return: the choice, ``None`` if no backend server accepts calls
        :raises TargetHopeless: if the call cannot meet its deadline
        """
        for _ in range(MAX_COORDINATORS):
            coordinator = self._find_coordinator(plan.service, self._list_silent())
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

    def _list_silent(self) -> set[str]:
        now = self._clock()
        self._silent_since_s = {
            vm: at for vm, at in self._silent_since_s.items() if now - at < SILENT_PENALTY_S
        }
        return set(self._silent_since_s)

    def _ask(self, coordinator: Beat, demand: Demand) -> Reply | None:
        """Repeat a request until its final reply.

        :return: the reply, ``None`` if the coordinator is silent or the call's deadline has passed
        """
        self.last_number += 1
        number = self.last_number
        ask = self._pending[number] = PendingAsk()
        final: Reply | None = None
        try:
            missed = 0
            while missed < MAX_ATTEMPTS and self._clock() < demand.until_s:
                ask.received.clear()
                message = Ask(self._incarnation, number, shift_times(demand, -self._clock()))
                self._send(message, coordinator.ip)
                if not ask.received.wait(REPLY_TIMEOUT_S):
                    missed += 1
                    continue
                missed = 0
                if ask.reply.waits:
                    ask.received.clear()
                    ask.received.wait(RENEW_INTERVAL_S)
                if not ask.reply.waits:
                    final = ask.reply
                    return final
            if missed >= MAX_ATTEMPTS:
                self._silent_since_s[coordinator.vm] = self._clock()
                log.info("coordinator_silent", coordinator=coordinator.vm, request=demand.request)
            return None
        finally:
            del self._pending[number]
            if final is None:
                self._send(Withdrawal(self._incarnation, number), coordinator.ip)

    def handle_reply(self, reply: Reply, _: str) -> None:
        """Record a coordinator's reply; a reply to a request that has ended is dropped.

        :param reply: the reply
        """
        ask = self._pending.get(reply.number)
        # Datagrams may be reordered: a reply that arrives after the final one is ignored.
        if ask is not None and (ask.reply is None or ask.reply.waits):
            ask.reply = reply
            ask.received.set()
