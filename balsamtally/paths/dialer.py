"""Opens connections to backend servers, directly or through another entry VM.

A direct attempt over a lost link hangs for as long as its time-out. So a relay is asked as well
before that, and the first of them to connect is used, as hosts with two protocols do (RFC 8305).
"""

import random
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

import gevent
from gevent import socket
from gevent.event import Event

from balsamtally.calls import Backend
from balsamtally.errors import LinksLost, PathUnavailable, drop_traces
from balsamtally.logs import log
from balsamtally.paths.losses import Losses
from balsamtally.paths.tunnels import open_tunnel
from balsamtally.sockets import close, connect
from balsamtally.tasks import spawn_repeating

# Time for which a direct attempt has to itself; a round trip to another region takes 0.06 s.
HEAD_START_S = 0.15
# Time after which a further relay is asked beside one that hasn't answered yet.
STAGGER_S = 0.1
# Relays asked for one connection.
MAX_RELAYS = 4
# Longest time for a relay's answer: its own time-out, and two round trips to another region.
TUNNEL_TIMEOUT_S = 0.55
# Time for which a relay that failed isn't asked for a connection to the same server.
AVOID_S = 1.0
MAX_AVOIDED = 4_096
# Other backend servers that are tried to tell a lost server from lost links of this VM.
MAX_CONTROLS = 3
# Longest time to check a suspected link.
CHECK_TIMEOUT_S = 0.6
# Interval of the probes of lost links, and how many of them run at a time.
PROBE_INTERVAL_S = 0.5
MAX_PROBES = 16


@dataclass(frozen=True)
class RelayVm:
    """Another entry VM, which may relay connections.

    :ivar vm: its name
    :ivar address: IP number and relay port
    :ivar domain: its failure domain
    :ivar open: whether it relays connections now
    """

    vm: str
    address: tuple[str, int]
    domain: str
    open: bool = True


@dataclass(frozen=True)
class Path:
    """An open connection to a backend server.

    :ivar sock: the connected socket
    :ivar relay: name of the entry VM that it leads through, empty if it is direct
    :ivar incarnation: identity of that VM's process
    """

    sock: socket.socket
    relay: str = ""
    incarnation: str = ""


class Race:
    """Attempts to connect of which the first to succeed is used; a context manager that ends them.

    :ivar winner: the connection, ``None`` before one succeeds
    :ivar errors: the failures so far, by name of the relay, that of the direct attempt under ""
    """

    def __init__(self):
        self._tasks: list[gevent.Greenlet] = []
        self._changed = Event()
        self.winner: Path | None = None
        self.errors: dict[str, Exception] = {}

    def __enter__(self) -> "Race":
        return self

    def __exit__(self, *exc_info) -> None:
        gevent.killall(self._tasks, block=False)

    @property
    def running(self) -> int:
        """Number of attempts that haven't ended."""
        return sum(not task.ready() for task in self._tasks)

    def start(self, relay: str, attempt: Callable[[], Path]) -> None:
        """Start an attempt.

        :param relay: name of the relay, empty for the direct attempt
        :param attempt: returns the connection
        """
        self._tasks.append(gevent.spawn(self._run, relay, attempt))

    def _run(self, relay: str, attempt: Callable[[], Path]) -> None:
        try:
            path = attempt()
        except (OSError, PathUnavailable) as error:
            self.errors[relay] = error
        else:
            if self.winner is None:
                self.winner = path
            else:
                close(path.sock)
        self._changed.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait until one more attempt has ended, but not after a success.

        :param timeout_s: longest wait in seconds
        :return: whether one has ended
        """
        if self.winner is not None:
            return True
        ended = self._changed.wait(max(0.0, timeout_s))
        self._changed.clear()
        return ended


class Dialer:
    """Opens connections to backend servers; a context manager that probes lost links.

    :param losses: the links that are lost
    :param list_relays: returns the other entry VMs
    :param find_region: returns the region of a failure domain
    :param domain: failure domain of this VM
    :param source: IP number of this VM, by which relays know it
    :param clock: monotonic clock in seconds
    :ivar tunnels: connections opened through other VMs so far
    """

    def __init__(
        self,
        losses: Losses,
        list_relays: Callable[[], Sequence[RelayVm]] = tuple,
        find_region: Callable[[str], str] = lambda domain: domain,
        domain: str = "",
        source: str = "",
        clock: Callable[[], float] = time.monotonic,
    ):
        self.losses = losses
        self._list_relays = list_relays
        self._find_region = find_region
        self._domain = domain
        self._source = source
        self._clock = clock
        self._avoided_s: dict[tuple[str, str], float] = {}
        self._probes = MAX_PROBES
        self._probed = 0
        self.tunnels = 0

    def __enter__(self) -> "Dialer":
        self._probing = spawn_repeating("probe links", self._probe_links)
        return self

    def __exit__(self, *exc_info) -> None:
        self._probing.kill(block=False)

    def open(self, backend: Backend, timeout_s: float) -> Path:
        """Open a connection to a backend server.

        :param backend: the backend server
        :param timeout_s: longest time to connect, in seconds
        :raises ConnectionRefusedError: if no process listens at the server's address
        :raises OSError: if the server can't be reached, by any VM that was asked
        :raises LinksLost: if this VM is cut off, and no VM relays for it
        """
        until_s = self._clock() + timeout_s
        if self.losses.is_cut_off() and self._has_only_closed_relays():
            raise LinksLost
        is_lost = self.losses.is_lost(backend)
        with Race() as race:
            if not is_lost:
                self._try_directly(race, backend, timeout_s)
            if race.winner is None:
                self._ask_relays(race, backend, until_s)
            if race.winner is None and is_lost and not list_news(race):
                # The link may be back before the probes have ended its loss.
                self._try_directly(race, backend, HEAD_START_S)
            return self._conclude(race, backend)

    def _try_directly(self, race: Race, backend: Backend, timeout_s: float) -> None:
        """Start a direct attempt and give it some time to itself."""
        race.start("", lambda: Path(connect(backend.address, timeout_s)))
        race.wait(min(HEAD_START_S, timeout_s))
        # A late event loop may find the timer before a connection that has been accepted.
        gevent.sleep(0)

    def _has_only_closed_relays(self) -> bool:
        relays = self._list_relays()
        return bool(relays) and not any(relay.open for relay in relays)

    def _ask_relays(self, race: Race, backend: Backend, until_s: float) -> None:
        """Ask one relay after the other until an attempt succeeds, or all have failed."""
        relays = self._rank_relays(backend)
        while race.winner is None and (left_s := until_s - self._clock()) > 0:
            relay = next(relays, None)
            if relay is not None:
                race.start(relay.vm, self._make_attempt(relay, backend, left_s))
                race.wait(min(STAGGER_S, left_s))
            elif not race.running or self._is_settled(race):
                return
            else:
                race.wait(left_s)

    def _is_settled(self, race: Race) -> bool:
        """Return whether only a direct attempt runs, from which nothing is to be expected.

        Either a relay has told about the server, or attempts to other servers hang as well.
        """
        if race.running > 1 or "" in race.errors:
            return False
        return bool(list_news(race)) or self.losses.is_cut_off()

    def _make_attempt(self, relay: RelayVm, backend: Backend, left_s: float) -> Callable[[], Path]:
        timeout_s = min(left_s, TUNNEL_TIMEOUT_S)

        def attempt() -> Path:
            opened = open_tunnel(relay.address, backend.address, timeout_s, self._source)
            return Path(opened[0], relay.vm, opened[1])

        return attempt

    def is_same_relay_alive(self, backend: Backend, relay: str, incarnation: str) -> bool:
        """Return whether the process that relayed a connection still connects to its server.

        :param backend: the backend server
        :param relay: name of the relaying entry VM
        :param incarnation: identity of its process
        """
        for known in self._list_relays():
            if known.vm != relay:
                continue
            try:
                path = self._make_attempt(known, backend, TUNNEL_TIMEOUT_S)()
            except (OSError, PathUnavailable) as error:
                log.info("no_relay", backend=backend.name, relay=relay, why=str(error))
                return False
            close(path.sock)
            return path.incarnation == incarnation
        return False

    def _rank_relays(self, backend: Backend) -> Iterator[RelayVm]:
        """Yield relays, those first that cause no further traffic between domains and regions.

        One after the other is of another domain, as VMs of a domain may lose their links together.
        """
        now = self._clock()
        usable = [
            relay
            for relay in self._list_relays()
            if relay.open and now >= self._avoided_s.get((relay.vm, backend.name), 0.0)
        ]
        random.shuffle(usable)
        usable.sort(key=lambda relay: self._measure_detour(relay, backend))
        before: Counter[str] = Counter()
        turns = []
        for relay in usable:
            turns.append((before[relay.domain], len(turns), relay))
            before[relay.domain] += 1
        yield from [relay for _, _, relay in sorted(turns)[:MAX_RELAYS]]

    def _measure_detour(self, relay: RelayVm, backend: Backend) -> int:
        if relay.domain in (self._domain, backend.domain):
            return 0
        regions = {self._find_region(domain) for domain in (self._domain, backend.domain)}
        return 1 if self._find_region(relay.domain) in regions else 2

    def _conclude(self, race: Race, backend: Backend) -> Path:
        """Record how the attempts ended; return the connection.

        :raises OSError: if none succeeded
        :raises LinksLost: if this VM is cut off, and no VM could be asked
        """
        self._avoid_failed(race, backend)
        direct = race.errors.get("")
        if race.winner is not None:
            self._record_winner(race.winner, backend, direct)
            return race.winner
        if not self.losses.is_lost(backend):
            self.losses.record_failed(backend, not isinstance(direct, ConnectionRefusedError))
        told = list_news(race)
        if not told and self._is_own_loss(backend, direct):
            raise LinksLost
        raise _find_news(direct, told) or TimeoutError("timed out")

    def _is_own_loss(self, backend: Backend, direct: Exception | None) -> bool:
        """Return whether a failure that no relay could confirm is put down to this VM's links.

        A VM without any peer has nobody to ask, so that a refusal counts as the server's.
        """
        if self.losses.is_lost(backend):
            return True
        is_alone = not self._list_relays()
        if is_alone and isinstance(direct, ConnectionRefusedError):
            return False
        others = self.losses.list_others(backend)[:MAX_CONTROLS]
        if not others:
            # A VM that has just started can't tell, but relays would have told of a lost server.
            return not is_alone or self.losses.is_cut_off()
        return self.losses.is_cut_off() or not self._reaches_only(others, backend)

    def _reaches_only(self, others: list[Backend], backend: Backend) -> bool:
        """Return whether other servers accept a direct connection, and one still doesn't.

        Links that have come back since an attempt began connect to all of them. Kept connections
        don't tell: they may live on while a lost link refuses new ones.
        """
        again = gevent.spawn(self._probe, backend)
        controls = [gevent.spawn(self._probe, other) for other in others]
        gevent.joinall([again, *controls])
        return any(control.value for control in controls) and not again.value

    def _record_winner(self, path: Path, backend: Backend, direct: Exception | None) -> None:
        if path.relay:
            self.tunnels += 1
            hangs = not isinstance(direct, ConnectionRefusedError)
            self.losses.record_lost(backend, path.relay, hangs)
        else:
            self.losses.record_connected(backend)

    def _avoid_failed(self, race: Race, backend: Backend) -> None:
        until_s = self._clock() + AVOID_S
        for relay, error in race.errors.items():
            if relay:
                drop_traces(error)
                log.info("no_relay", backend=backend.name, relay=relay, why=str(error))
                self._avoided_s[relay, backend.name] = until_s
        while len(self._avoided_s) > MAX_AVOIDED:
            del self._avoided_s[next(iter(self._avoided_s))]

    def _probe_links(self) -> None:
        """Check the suspected links, then try some of the lost or failing ones directly."""
        gevent.sleep(PROBE_INTERVAL_S)
        while suspects := self.losses.take_suspects(MAX_PROBES):
            gevent.joinall([gevent.spawn(self._check, backend) for backend in suspects])
        failing = self.losses.list_failing()
        # More links are tried while some come back.
        self._probes = 2 * self._probes if self._probed else MAX_PROBES
        self._probed = 0
        chosen = random.sample(failing, min(len(failing), self._probes))
        gevent.joinall([gevent.spawn(self._probe, backend) for backend in chosen])

    def _check(self, backend: Backend) -> None:
        """Find out whether the link to a backend server is lost, without a caller's request."""
        try:
            close(self.open(backend, CHECK_TIMEOUT_S).sock)
        except (OSError, LinksLost) as error:
            log.info("link_not_checked", backend=backend.name, why=str(error))

    def _probe(self, backend: Backend) -> bool:
        """Try a link directly; return whether it connects."""
        try:
            close(connect(backend.address, HEAD_START_S))
        except OSError as error:
            self.losses.record_failed(backend, not isinstance(error, ConnectionRefusedError))
            return False
        self.losses.record_connected(backend)
        self._probed += 1
        return True


def list_news(race: Race) -> list[Exception]:
    """Return what relays told of a server that they can't reach, either.

    :param race: the attempts
    """
    return [error for relay, error in race.errors.items() if relay and isinstance(error, OSError)]


def _find_news(direct: Exception | None, told: list[Exception]) -> Exception | None:
    """Return the failure that tells most about a server: that no process listens there.

    A refusal of the direct attempt alone may come from the network.

    :param direct: failure of the direct attempt, ``None`` if it hasn't ended
    :param told: failures that relays told of
    """
    refusals = [error for error in told if isinstance(error, ConnectionRefusedError)]
    if refusals:
        return refusals[0]
    return told[0] if told else direct
