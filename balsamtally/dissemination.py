"""The tasks that keep this entry VM's facts and members up to date."""

import time
from collections.abc import Callable
from random import Random

import gevent
from gevent.event import Event

from balsamtally.configuration import Configuration
from balsamtally.errors import PlatformUnavailable
from balsamtally.exchange import Exchange
from balsamtally.facts import Facts
from balsamtally.heartbeats import BEAT_S, Heartbeats, PeerLinks
from balsamtally.logs import log
from balsamtally.members import ALIVE, Members
from balsamtally.settings import Settings

WATCHERS_PER_DOMAIN = 2
WATCH_WAIT_S = 30.0
MIN_READ_GAP_S = 1.0
MIN_RETRY_S = 0.5
MAX_RETRY_S = 10.0
POLL_S = 900.0
PULL_GAP_S = 0.25
CHECK_GAP_S = 1.0
START_SPREAD_S = 1.0
START_PATIENCE_S = 4.0
FAREWELL_S = 0.1


class Dissemination:
    """Keeps facts and members up to date while its context is open.

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
            self._note_digest,
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
        self.heartbeats.cast_farewell()
        gevent.sleep(FAREWELL_S)

    @property
    def ready(self) -> bool:
        """Whether some state was learnt."""
        return bool(self.facts.entries)

    def is_watching(self) -> bool:
        """Return whether this VM is one of those that watch the platform for its domain."""
        return self.members.is_coordinator("watch", WATCHERS_PER_DOMAIN)

    def announce_leaving(self) -> None:
        """Tell all members of the failure domain at once that this VM is leaving."""
        self.members.announce_leaving()
        self._cast_heartbeats()

    def _cast_heartbeats(self) -> None:
        for peer in self.members.list_peers((ALIVE,)):
            self.heartbeats.cast_heartbeat(peer.name)

    def _note_digest(self, name: str, digest: str) -> None:
        self.exchange.record_digest(name, digest)

    # The tasks.

    def _beat(self) -> None:
        self._listed.wait(START_PATIENCE_S)
        while True:
            self._run(self.heartbeats.beat)
            gevent.sleep(BEAT_S * (0.9 + 0.2 * self._random.random()))

    def _pull(self) -> None:
        while True:
            self._run(self.exchange.pull_one)
            gevent.sleep(PULL_GAP_S * (0.5 + self._random.random()))

    def _start(self) -> None:
        """Learn the first members and tickets."""
        gevent.sleep(START_SPREAD_S * self._random.random())
        self._retry(lambda: self._read_vms(0, 0.0), lambda: len(self.members.list_all()) > 1)
        self._listed.set()
        patience = START_PATIENCE_S * (1.0 + self._random.random())
        begun = self._clock()
        while not self.ready and self._clock() - begun < patience:
            peers = [state.name for state in self.members.list_peers((ALIVE,))]
            if peers:
                self._run(self.exchange.pull, self._random.choice(peers))
            gevent.sleep(CHECK_GAP_S * (0.5 + self._random.random()))
        self._retry(lambda: self._read_tickets(0, 0.0), lambda: self.ready)

    def _retry(self, read: Callable[[], object], is_done: Callable[[], bool]) -> None:
        """Read until it succeeds, or until peers have told what is needed."""
        delay = MIN_RETRY_S
        while not is_done():
            if self._try_read(read):
                return
            delay = self._back_off(delay)

    def _watch(self, read: Callable[[int, float], int]) -> None:
        """Watch the platform while this VM is one of its domain's watchers."""
        self._listed.wait()
        index, delay = 0, MIN_RETRY_S
        while True:
            if not self.is_watching():
                index = 0
                self.members.stop_watching()
                gevent.sleep(CHECK_GAP_S)
                continue
            begun = self._clock()
            try:
                index = read(index, WATCH_WAIT_S if index else 0.0)
                delay = MIN_RETRY_S
            except PlatformUnavailable as error:
                log.warning("platform_unavailable", reason=str(error)[:200])
                index = 0
                delay = self._back_off(delay)
            gevent.sleep(max(0.0, MIN_READ_GAP_S - (self._clock() - begun)))

    def _poll(self) -> None:
        """Read rarely, as a last resort, where others watch."""
        while True:
            gevent.sleep(POLL_S * (0.5 + self._random.random()))
            if not self.is_watching():
                self._try_read(lambda: self._read_vms(0, 0.0))
                self._try_read(lambda: self._read_tickets(0, 0.0))

    # What they read.

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
        return min(MAX_RETRY_S, delay * 2)

    def _run(self, step: Callable, *args: object) -> None:
        """Run one step of a task that must not end by a fault in it."""
        try:
            step(*args)
        except Exception:
            log.exception("step_failed", step=getattr(step, "__qualname__", repr(step)))
