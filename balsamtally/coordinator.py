"""The coordinator: runs a queue for each pool that this entry VM coordinates."""

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

TICK_INTERVAL_S = 0.05
VIEW_REFRESH_S = 0.5
IDLE_TIMEOUT_S = 60.0
MAX_PAUSE_S = 3.0
MEDIAN = 0.5


class Coordinator:
    """The queues of the pools that this entry VM coordinates, as a context manager.

    A queue is created by the first ask for its pool and removed after it has been idle for
    ``IDLE_TIMEOUT_S``.

    :param links: links to the other entry VMs
    :param facts: the state in force
    :param domain: own failure domain
    :param list_views: returns views of the runners of a pool that this entry VM may grant
    :param list_remote_states: returns the queue states of a pool in the other failure domains
    :param record_refusal: called with the name of a runner that refused work
    :param list_live_vms: returns the names of the live entry VMs
    :param observe_decision_time: called with the duration of a decision in seconds
    """

    def __init__(
        self,
        links: Links,
        facts: Facts,
        domain: str,
        list_views: Callable[[str], list[RunnerView]],
        list_remote_states: Callable[[str], tuple[QueueState, ...]],
        record_refusal: Callable[[str], None],
        list_live_vms: Callable[[], set[str]],
        observe_decision_time: Callable[[float], None],
    ):
        self.links = links
        self.facts = facts
        self.domain = domain
        self.list_views = list_views
        self.list_remote_states = list_remote_states
        self.record_refusal = record_refusal
        self.list_live_vms = list_live_vms
        self.observe_decision_time = observe_decision_time
        self.queues: dict[str, PoolQueue] = {}
        self._current_attempt: tuple[str, int] | None = None
        self._immediate_grant: Grant | None = None
        self._used_at: dict[str, float] = {}
        self._ticked_at: dict[str, float] = {}
        self._tasks: dict[str, gevent.Greenlet] = {}
        self._wake_events: dict[str, Event] = {}
        links.handle(Ask, self._handle_ask)
        links.handle(QueueQuery, self._handle_query)
        links.handle(Release, self._handle_release)
        links.handle(Renew, self._handle_renew)
        links.handle(Withdraw, self._handle_withdraw)

    def __enter__(self) -> "Coordinator":
        return self

    def __exit__(self, *exc_info) -> None:
        gevent.killall(list(self._tasks.values()))

    def count_queued(self) -> dict[str, dict[str, int]]:
        """Return the number of queued requests by pool and class."""
        return {pool: queue.count_queued() for pool, queue in self.queues.items()}

    def describe_queue(self, pool: str, request_class: str = "") -> QueueState:
        """Return the state of the queue that this entry VM holds for a pool.

        :param pool: name of the model
        :param request_class: class to describe, empty for all classes
        """
        queue = self._get_queue(pool)
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

    def _handle_query(self, sender: str, query: QueueQuery) -> QueueState:
        return self.describe_queue(query.pool)

    def _handle_ask(self, sender: str, ask: Ask) -> QueueState:
        """Queue a request if the pool has a runner here, and reply with the state of the queue.

        If the request would miss its target here, the reply includes the states of the pool's
        queues in the other failure domains, so that the entry VM can ask there.
        """
        state = self.describe_queue(ask.pool, ask.request_class)
        others: tuple[QueueState, ...] = ()
        if not state.runners or self._would_miss_target(state, ask):
            others = self.list_remote_states(ask.pool)
        grant = self._submit(sender, ask) if state.runners else None
        return msgspec.structs.replace(state, others=others, grant=grant)

    def _submit(self, sender: str, ask: Ask) -> Grant | None:
        """Queue a request and return its grant if one was made immediately."""
        self._current_attempt = (ask.request, ask.attempt)
        begun = time.perf_counter()
        try:
            self._get_queue(ask.pool).submit(sender, ask)
            if self._immediate_grant is None:
                self._wake_events[ask.pool].set()
            return self._immediate_grant
        finally:
            self._current_attempt, self._immediate_grant = None, None
            self.observe_decision_time(time.perf_counter() - begun)

    def _send_grant(self, sender: str, grant: Grant) -> None:
        if (grant.request, grant.attempt) == self._current_attempt:
            self._immediate_grant = grant
        else:
            self.links.cast(sender, grant)

    def _would_miss_target(self, state: QueueState, ask: Ask) -> bool:
        request_class = self.facts.find(RequestClass, ask.request_class)
        if request_class is None:
            return False
        slack_s = request_class.first_token_ms / 1000 - ask.waited_s
        view = read_view(state, request_class.tier)
        return view is not None and view.wait_s + view.first_token_s > slack_s

    def _handle_release(self, sender: str, release: Release) -> None:
        for pool in [release.pool] if release.pool else list(self.queues):
            queue = self._find_queue(pool)
            if queue is None:
                continue
            held = queue.grants.find(release.grant)
            queue.release(sender, release)
            if release.refused and held is not None:
                self.record_refusal(held.runner)
                queue.set_runners(self.list_views(queue.pool))

    def _handle_renew(self, sender: str, renew: Renew) -> None:
        self._get_queue(renew.pool).renew(sender, renew)

    def _handle_withdraw(self, sender: str, withdraw: Withdraw) -> None:
        queue = self._find_queue(withdraw.pool)
        if queue is not None:
            queue.withdraw(sender, withdraw)

    def _get_queue(self, pool: str) -> PoolQueue:
        self._used_at[pool] = time.monotonic()
        return self._find_queue(pool) or self._make_queue(pool)

    def _find_queue(self, pool: str) -> PoolQueue | None:
        """Return the queue of a pool, or ``None`` after discarding it if it is out of date.

        A queue is out of date if this process was paused for longer than ``MAX_PAUSE_S``.
        """
        queue = self.queues.get(pool)
        if queue is not None and time.monotonic() - self._ticked_at[pool] > MAX_PAUSE_S:
            self._discard_queue(pool)
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
        self._wake_events[pool] = Event()
        self._ticked_at[pool] = time.monotonic()
        queue.set_runners(self.list_views(pool))
        self._tasks[pool] = gevent.spawn(self._run_queue, pool, queue)
        return queue

    def _discard_queue(self, pool: str) -> None:
        """Discard a queue that is out of date after a pause; the entry VMs repeat their asks."""
        log.warning("queue_forgotten", pool=pool, queued=self.queues[pool].count_queued())
        del self.queues[pool]
        self._tasks.pop(pool).kill(block=False)

    def _run_queue(self, pool: str, queue: PoolQueue) -> None:
        """Run the scheduling passes of a pool until its queue has been idle for a while.

        Passes run every ``TICK_INTERVAL_S`` while requests wait, and otherwise when a request
        is queued or every ``VIEW_REFRESH_S``.
        """
        viewed_at = time.monotonic()
        wake_event = self._wake_events[pool]
        while time.monotonic() - self._used_at[pool] < IDLE_TIMEOUT_S or queue.count_queued():
            if queue.count_queued():
                gevent.sleep(TICK_INTERVAL_S)
            else:
                wake_event.clear()
                wake_event.wait(VIEW_REFRESH_S)
            now = time.monotonic()
            if now - self._ticked_at[pool] > MAX_PAUSE_S:
                self._discard_queue(pool)
                return
            self._ticked_at[pool] = now
            is_due = now - viewed_at >= VIEW_REFRESH_S
            viewed_at = now if is_due else viewed_at
            self._step_queue(queue, is_due)
        del self.queues[pool]
        del self._tasks[pool]

    def _step_queue(self, queue: PoolQueue, is_view_due: bool) -> None:
        """Run a scheduling pass; an exception is logged, so that later passes still run."""
        try:
            if not is_view_due:
                queue.tick()
                return
            live = self.list_live_vms()
            for sender in {waiting.sender for waiting in queue.queued.values()} - live:
                queue.drop_sender(sender)
            queue.set_runners(self.list_views(queue.pool))
        except Exception:
            log.exception("step_failed", step="Coordinator.step_queue", pool=queue.pool)
