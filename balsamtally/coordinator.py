"""The coordinator's side of the pools: a queue for each pool that this VM coordinates."""

import time
from collections.abc import Callable

import gevent
import msgspec
from gevent.event import Event

from balsamtally.contracts import Customer, Policy, RequestClass
from balsamtally.domains import read_view
from balsamtally.facts import Facts
from balsamtally.links import Links
from balsamtally.logs import log
from balsamtally.messages import (
    Ask,
    Grant,
    QueueQuery,
    QueueState,
    Release,
    Renew,
    TierState,
    Withdraw,
)
from balsamtally.queues import PoolQueue, RunnerView
from balsamtally.spill import view_queue

TICK_S = 0.05
VIEWS_EVERY_S = 0.5
IDLE_END_S = 60.0
AWAY_S = 3.0
MEDIAN = 0.5


class Coordinator:
    """The queues of the pools for which other entry VMs ask this one; closed by context.

    :param links: links to the other entry VMs
    :param facts: the state in force
    :param domain: own failure domain
    :param list_views: gives what is known of the runners that this VM may grant for a pool
    :param list_others: gives the state of a pool in the other failure domains
    :param record_refusal: called with the name of a runner that refused work
    :param list_live: gives the names of the entry VMs that are live
    :param note_decision_time: called with the seconds that a decision took
    """

    def __init__(
        self,
        links: Links,
        facts: Facts,
        domain: str,
        list_views: Callable[[str], list[RunnerView]],
        list_others: Callable[[str], tuple[QueueState, ...]],
        record_refusal: Callable[[str], None],
        list_live: Callable[[], set[str]],
        note_decision_time: Callable[[float], None],
    ):
        self.links = links
        self.facts = facts
        self.domain = domain
        self.list_views = list_views
        self.list_others = list_others
        self.record_refusal = record_refusal
        self.list_live = list_live
        self.note_decision_time = note_decision_time
        self.queues: dict[str, PoolQueue] = {}
        self._asking: tuple[str, int] | None = None
        self._granted: Grant | None = None
        self._used_at: dict[str, float] = {}
        self._ticked_at: dict[str, float] = {}
        self._tasks: dict[str, gevent.Greenlet] = {}
        self._woken: dict[str, Event] = {}
        links.handle(Ask, self._take_ask)
        links.handle(QueueQuery, self._take_query)
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

    def describe_queue(self, pool: str, request_class: str = "") -> QueueState:
        """Return the state of a pool's queue here.

        :param pool: name of the model
        :param request_class: the only class of interest, empty for all
        """
        queue = self._open_queue(pool)
        known = self.facts.find(RequestClass, request_class)
        classes = [known] if known is not None else self.facts.list(RequestClass)
        views = {tier: view_queue(self.domain, queue, tier) for tier in {c.tier for c in classes}}
        return QueueState(
            domain=self.domain,
            runners=sum(1 for view in self.list_views(pool) if not view.leaving),
            queued=sum(queue.count_queued().values()),
            slots=queue.loads.slots,
            used=len(queue.grants),
            tiers=tuple(
                TierState(tier, view.wait_s, view.first_token_s, view.free_slots)
                for tier, view in views.items()
            ),
            tokens=queue.lengths.find_quantile(request_class, MEDIAN) if request_class else 0.0,
        )

    def _take_query(self, sender: str, query: QueueQuery) -> QueueState:
        return self.describe_queue(query.pool)

    def _take_ask(self, sender: str, ask: Ask) -> QueueState:
        """Queue a request, unless the pool has no runner here; tell how the queue stands."""
        state = self.describe_queue(ask.pool, ask.request_class)
        others: tuple[QueueState, ...] = ()
        if not state.runners or self._would_miss(state, ask):
            others = self.list_others(ask.pool)
        grant = self._submit(sender, ask) if state.runners else None
        return msgspec.structs.replace(state, others=others, grant=grant)

    def _submit(self, sender: str, ask: Ask) -> Grant | None:
        """Queue a request, and return its grant if that was made at once."""
        self._asking = (ask.request, ask.attempt)
        begun = time.perf_counter()
        try:
            self._open_queue(ask.pool).submit(sender, ask)
            if self._granted is None:
                self._woken[ask.pool].set()
            return self._granted
        finally:
            self._asking, self._granted = None, None
            self.note_decision_time(time.perf_counter() - begun)

    def _send_grant(self, sender: str, grant: Grant) -> None:
        if (grant.request, grant.attempt) == self._asking:
            self._granted = grant
        else:
            self.links.cast(sender, grant)

    def _would_miss(self, state: QueueState, ask: Ask) -> bool:
        request_class = self.facts.find(RequestClass, ask.request_class)
        if request_class is None:
            return False
        slack_s = request_class.first_token_ms / 1000 - ask.waited_s
        view = read_view(state, request_class.tier)
        return view is not None and view.wait_s + view.first_token_s > slack_s

    def _take_release(self, sender: str, release: Release) -> None:
        for pool in [release.pool] if release.pool else list(self.queues):
            queue = self._find_queue(pool)
            if queue is None:
                continue
            held = queue.grants.find(release.grant)
            queue.release(sender, release)
            if release.refused and held is not None:
                self.record_refusal(held.runner)
                queue.set_runners(self.list_views(queue.pool))

    def _take_renew(self, sender: str, renew: Renew) -> None:
        self._open_queue(renew.pool).renew(sender, renew)

    def _take_withdraw(self, sender: str, withdraw: Withdraw) -> None:
        queue = self._find_queue(withdraw.pool)
        if queue is not None:
            queue.withdraw(sender, withdraw)

    def _open_queue(self, pool: str) -> PoolQueue:
        self._used_at[pool] = time.monotonic()
        return self._find_queue(pool) or self._make_queue(pool)

    def _find_queue(self, pool: str) -> PoolQueue | None:
        """Return the queue of a pool, unless its facts are old since this VM was paused."""
        queue = self.queues.get(pool)
        if queue is not None and time.monotonic() - self._ticked_at[pool] > AWAY_S:
            self._forget_queue(pool)
            return None
        return queue

    def _make_queue(self, pool: str) -> PoolQueue:
        queue = PoolQueue(
            pool,
            find_class=lambda name: self.facts.find(RequestClass, name),
            find_customer=lambda name: self.facts.find(Customer, name),
            send_grant=self._send_grant,
            send_refuse=self.links.cast,
            send_revoke=self.links.cast,
            find_policy=lambda: self.facts.find(Policy, "default") or Policy(),
        )
        self.queues[pool] = queue
        self._woken[pool] = Event()
        self._ticked_at[pool] = time.monotonic()
        queue.set_runners(self.list_views(pool))
        self._tasks[pool] = gevent.spawn(self._run_queue, pool, queue)
        return queue

    def _forget_queue(self, pool: str) -> None:
        """Drop a queue whose facts are old, since this VM was paused; its requests ask anew."""
        log.warning("queue_forgotten", pool=pool, queued=self.queues[pool].count_queued())
        del self.queues[pool]
        self._tasks.pop(pool).kill(block=False)

    def _run_queue(self, pool: str, queue: PoolQueue) -> None:
        """Run one pool's timers until it has been idle for long; often only while some wait."""
        viewed_at = time.monotonic()
        woken = self._woken[pool]
        while time.monotonic() - self._used_at[pool] < IDLE_END_S or queue.count_queued():
            if queue.count_queued():
                gevent.sleep(TICK_S)
            else:
                woken.clear()
                woken.wait(VIEWS_EVERY_S)
            now = time.monotonic()
            if now - self._ticked_at[pool] > AWAY_S:
                self._forget_queue(pool)
                return
            self._ticked_at[pool] = now
            is_due = now - viewed_at >= VIEWS_EVERY_S
            viewed_at = now if is_due else viewed_at
            self._step_queue(queue, is_due)
        del self.queues[pool]
        del self._tasks[pool]

    def _step_queue(self, queue: PoolQueue, is_view_due: bool) -> None:
        """Do what is due in a queue; a fault in it must not end its timers."""
        try:
            if not is_view_due:
                queue.tick()
                return
            live = self.list_live()
            for sender in {waiting.sender for waiting in queue.queued.values()} - live:
                queue.drop_sender(sender)
            queue.set_runners(self.list_views(queue.pool))
        except Exception:
            log.exception("step_failed", step="Coordinator.step_queue", pool=queue.pool)
