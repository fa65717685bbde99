"""The coordinator's side of the pools: a queue for each pool that this VM coordinates."""

import time
from collections.abc import Callable

import gevent

from balsamtally.contracts import Customer, Policy, RequestClass
from balsamtally.facts import Facts
from balsamtally.links import Links
from balsamtally.machines import BackendServer
from balsamtally.messages import Ask, Release, Renew, Withdraw
from balsamtally.queues import PoolQueue, RunnerView

TICK_S = 0.05
VIEWS_EVERY_S = 0.5
IDLE_END_S = 60.0


class Coordinator:
    """The queues of the pools for which other entry VMs ask this one; closed by context.

    :param links: links to the other entry VMs
    :param facts: the state in force
    :param list_views: gives what is known of a pool's runners
    :param note_use: called with a pool's name when its queue is in use
    """

    def __init__(
        self,
        links: Links,
        facts: Facts,
        list_views: Callable[[str], list[RunnerView]],
    ):
        self.links = links
        self.facts = facts
        self.list_views = list_views
        self.queues: dict[str, PoolQueue] = {}
        self._used_at: dict[str, float] = {}
        self._tasks: dict[str, gevent.Greenlet] = {}
        links.handle(Ask, self._take_ask)
        links.handle(Release, self._take_release)
        links.handle(Renew, self._take_renew)
        links.handle(Withdraw, self._take_withdraw)

    def __enter__(self) -> "Coordinator":
        return self

    def __exit__(self, *exc_info) -> None:
        gevent.killall(list(self._tasks.values()))

    def count_queued(self) -> dict[str, dict[str, int]]:
        """Return the number of queued requests by pool and class."""
        return {pool: queue.count_queued() for pool, queue in self.queues.items()}

    def drop_sender(self, vm: str) -> None:
        """Forget the queued requests of an entry VM that is gone.

        :param vm: its name
        """
        for queue in self.queues.values():
            queue.drop_sender(vm)

    def _take_ask(self, sender: str, ask: Ask) -> None:
        self._open_queue(ask.pool).submit(sender, ask)

    def _take_release(self, sender: str, release: Release) -> None:
        queues = [self.queues.get(release.pool)] if release.pool else list(self.queues.values())
        for queue in queues:
            if queue is not None:
                queue.release(sender, release)

    def _take_renew(self, sender: str, renew: Renew) -> None:
        self._open_queue(renew.pool).renew(sender, renew)

    def _take_withdraw(self, sender: str, withdraw: Withdraw) -> None:
        queue = self.queues.get(withdraw.pool)
        if queue is not None:
            queue.withdraw(sender, withdraw)

    def _open_queue(self, pool: str) -> PoolQueue:
        self._used_at[pool] = time.monotonic()
        queue = self.queues.get(pool)
        if queue is not None:
            return queue
        queue = PoolQueue(
            pool,
            find_class=lambda name: self.facts.find(RequestClass, name),
            find_customer=lambda name: self.facts.find(Customer, name),
            grant=self.links.cast,
            refuse=self.links.cast,
            revoke=self.links.cast,
            find_policy=lambda: self.facts.find(Policy, "default") or Policy(),
        )
        self.queues[pool] = queue
        queue.set_runners(self.list_views(pool))
        self._tasks[pool] = gevent.spawn(self._run_queue, pool, queue)
        return queue

    def _run_queue(self, pool: str, queue: PoolQueue) -> None:
        """Run one pool's timers until it has been idle for long."""
        views_at = time.monotonic()
        while time.monotonic() - self._used_at[pool] < IDLE_END_S or queue.count_queued():
            gevent.sleep(TICK_S)
            if time.monotonic() - views_at >= VIEWS_EVERY_S:
                queue.set_runners(self.list_views(pool))
                views_at = time.monotonic()
            else:
                queue.tick()
        del self.queues[pool]
        del self._tasks[pool]


def list_pool_runners(facts: Facts, pool: str, domain: str) -> list[BackendServer]:
    """Return the model runners of a pool in a failure domain.

    :param facts: the state in force
    :param pool: name of the model
    :param domain: name of the failure domain
    :return: the runners, by name
    """
    return [
        server
        for server in facts.list(BackendServer)
        if server.role == "model" and server.domain == domain and pool in server.pools
    ]
