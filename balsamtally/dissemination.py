"""Background tasks that keep this entry VM's facts and membership up to date."""

import time
from collections.abc import Callable
from random import Random

import gevent
from gevent.event import Event

from balsamtally.configuration import Configuration
from balsamtally.errors import PlatformUnavailable
from balsamtally.exchange import Exchange
from balsamtally.facts import Facts
from balsamtally.heartbeats import HEARTBEAT_INTERVAL_S, Heartbeats, PeerLinks
from balsamtally.logs import log
from balsamtally.members import ALIVE, Members
from balsamtally.settings import Settings

WATCHERS_PER_DOMAIN = 2
WATCH_WAIT_S = 30.0
MIN_READ_INTERVAL_S = 1.0
MIN_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 10.0
POLL_INTERVAL_S = 900.0
PULL_INTERVAL_S = 0.25
CHECK_INTERVAL_S = 1.0
START_JITTER_S = 1.0
START_TIMEOUT_S = 4.0
LEAVE_FLUSH_S = 0.1


class Dissemination:
    """Keeps facts and membership up to date; a context manager.

    :param settings: settings of this entry VM
    :param facts: the tickets in force here
    :param members: the known entry VMs
    :param configuration: client of the platform's configuration service
    :param links: links to the peers
    :param clock: monotonic clock in seconds
    :param random: source of random numbers
    """

    def __init__(
        self,
        settings: Settings,
        facts: Facts,
        members: Members,
        configuration: Configuration,
        links: PeerLinks,
        clock: Callable[[], float] = time.monotonic,
        random: Random | None = None,
    ):
        self.settings = settings
        self.facts = facts
        self.members = members
        self.platform_read_at = 0.0
        self._configuration = configuration
        self._clock = clock
        self._random = random or Random()
        self._tasks: list[gevent.Greenlet] = []
        self._listed = Event()
        self.heartbeats = Heartbeats(
            members,
            links,
            facts.digest,
            self._record_digest,
            self.is_watching,
            clock,
            self._random,
            gevent.spawn,
        )
        self.exchange = Exchange(facts, members, links, self.heartbeats, self._random)

    def __enter__(self) -> "Dissemination":
        for task in (self._beat, self._pull, self._start, self._poll):
            self._tasks.append(gevent.spawn(task))
        self._tasks.append(gevent.spawn(self._watch, self._read_tickets))
        self._tasks.append(gevent.spawn(self._watch, self._read_vms))
        return self

    def __exit__(self, *exc_info: object) -> None:
        gevent.killall(self._tasks, timeout=1.0)
        self.heartbeats.cast_left_state()
        gevent.sleep(LEAVE_FLUSH_S)

    @property
    def ready(self) -> bool:
        """Whether any ticket is in force here."""
        return bool(self.facts.entries)

    def is_watching(self) -> bool:
        """Return whether this VM is one of its failure domain's watchers of the platform."""
        return self.members.is_coordinator("watch", WATCHERS_PER_DOMAIN)

    def announce_leaving(self) -> None:
        """Announce to the members of the failure domain at once that this VM is leaving."""
        self.members.announce_leaving()
        self._cast_heartbeats()

    def _cast_heartbeats(self) -> None:
        for peer in self.members.list_peers((ALIVE,)):
            self.heartbeats.cast_heartbeat(peer.name)

    def _record_digest(self, name: str, digest: str) -> None:
        self.exchange.record_digest(name, digest)

    # Tasks.

    def _beat(self) -> None:
        self._listed.wait(START_TIMEOUT_S)
        while True:
            self._run(self.heartbeats.beat)
            gevent.sleep(HEARTBEAT_INTERVAL_S * (0.9 + 0.2 * self._random.random()))

    def _pull(self) -> None:
        while True:
            self._run(self.exchange.pull_one)
            gevent.sleep(PULL_INTERVAL_S * (0.5 + self._random.random()))

    def _start(self) -> None:
        """Fetch the first members and tickets, from peers if possible."""
        gevent.sleep(START_JITTER_S * self._random.random())
        self._retry(lambda: self._read_vms(0, 0.0), lambda: len(self.members.list_all()) > 1)
        self._listed.set()
        timeout_s = START_TIMEOUT_S * (1.0 + self._random.random())
        started = self._clock()
        while not self.ready and self._clock() - started < timeout_s:
            peers = [state.name for state in self.members.list_peers((ALIVE,))]
            if peers:
                self._run(self.exchange.pull, self._random.choice(peers))
            gevent.sleep(CHECK_INTERVAL_S * (0.5 + self._random.random()))
        self._retry(lambda: self._read_tickets(0, 0.0), lambda: self.ready)

    def _retry(self, read: Callable[[], object], is_satisfied: Callable[[], bool]) -> None:
        """Read until it succeeds, or until peers have supplied the needed state."""
        delay = MIN_RETRY_DELAY_S
        while not is_satisfied():
            if self._try_read(read):
                return
            delay = self._back_off(delay)

    def _watch(self, read: Callable[[int, float], int]) -> None:
        """Watch the platform while this VM is one of its failure domain's watchers."""
        self._listed.wait()
        index, delay = 0, MIN_RETRY_DELAY_S
        while True:
            if not self.is_watching():
                index = 0
                self.members.stop_watching()
                gevent.sleep(CHECK_INTERVAL_S)
                continue
            started = self._clock()
            try:
                index = read(index, WATCH_WAIT_S if index else 0.0)
                delay = MIN_RETRY_DELAY_S
            except PlatformUnavailable as error:
                log.warning("platform_unavailable", reason=str(error)[:200])
                index = 0
                delay = self._back_off(delay)
            gevent.sleep(max(0.0, MIN_READ_INTERVAL_S - (self._clock() - started)))

    def _poll(self) -> None:
        """Read the platform rarely, as a fallback, while other VMs watch it."""
        while True:
            gevent.sleep(POLL_INTERVAL_S * (0.5 + self._random.random()))
            if not self.is_watching():
                self._try_read(lambda: self._read_vms(0, 0.0))
                self._try_read(lambda: self._read_tickets(0, 0.0))

    # Reads.

    def _read_tickets(self, index: int, wait_s: float) -> int:
        rows, index = self._configuration.read_tickets(index, wait_s)
        self.platform_read_at = self._clock()
        self.exchange.merge_published(rows)
        return index

    def _read_vms(self, index: int, wait_s: float) -> int:
        vms, index = self._configuration.read_vms(index, wait_s)
        self.platform_read_at = self._clock()
        if self.members.merge_listed(vms, self.is_watching()):
            self._cast_heartbeats()
        return index

    def _try_read(self, read: Callable[[], object]) -> bool:
        try:
            read()
        except PlatformUnavailable as error:
            log.warning("platform_unavailable", reason=str(error)[:200])
            return False
        return True

    def _back_off(self, delay: float) -> float:
        gevent.sleep(delay * (0.5 + self._random.random()))
        return min(MAX_RETRY_DELAY_S, delay * 2)

    def _run(self, step: Callable, *args: object) -> None:
        """Run one step of a task, and log an exception so that it doesn't end the task."""
        try:
            step(*args)
        except Exception:
            log.exception("step_failed", step=getattr(step, "__qualname__", repr(step)))
