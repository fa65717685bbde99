"""An entry VM that forwards calls as they are: the parts joined, and its start and leaving."""

import contextlib
import time
from collections.abc import Callable

import gevent
from gevent import socket

from balsamtally.asks import PlacementClient
from balsamtally.backends import Connections
from balsamtally.backlogs import Backlogs
from balsamtally.beats import Beat
from balsamtally.budgets import FleetBudget
from balsamtally.call_metrics import CallGauges, CallMetrics
from balsamtally.callers import Caller, CallerServer, Request
from balsamtally.calls import Backend, Limits
from balsamtally.catalog import Catalog, Decoder
from balsamtally.coordination import Ask, Reply, Withdrawal
from balsamtally.dispatch import Dispatch
from balsamtally.errors import BalsamtallyError, CallerLeft
from balsamtally.forwarding import Forwarder, ForwardingHooks, Wire
from balsamtally.gateway_settings import GatewaySettings
from balsamtally.logs import log
from balsamtally.peers import RECORDS_PATH, Peers
from balsamtally.plans import CallProgress, Plan
from balsamtally.reports import Report
from balsamtally.reservations import Reservations
from balsamtally.sockets import listen
from balsamtally.tasks import spawn_repeating

METRICS_PATH = "/metrics"
HOUSEKEEPING_S = 0.5
# Callers' first requests wait for the contracts for so long after the start; reading the store over
# the users' longest way takes 0.15 s, asking a peer in its place 0.4 s.
FIRST_CONTRACTS_S = 0.6
DRAIN_POLL_S = 0.05
# The balancer takes an entry VM out after two questions a second apart that it fails; callers'
# last requests on idle connections get through until then.
CLOSE_IDLE_S = 3.0
# Part of the grace period after which what still runs is given up.
GRACE_SHARE = 0.93
# Pages for the balancer and peers are read by machines; their heads are small.
PAGE_LIMITS = Limits(max_body_bytes=0, idle_timeout_s=30.0)


def is_on_time(plan: Plan, progress: CallProgress, began_s: float) -> bool:
    """Return whether an answer began in time and had no pause that was too long.

    :param plan: the call's plan
    :param progress: how far it came
    :param began_s: time to its beginning in seconds, negative if there was none
    """
    if not 0 <= began_s <= plan.route.target_s:
        return False
    return not plan.route.streams or progress.longest_gap_s <= plan.route.gap_s


def make_first_beat(settings: GatewaySettings, incarnation: str) -> Beat:
    """Return what an entry VM tells of itself at its start.

    :param settings: its settings
    :param incarnation: identity of its process
    """
    return Beat(
        vm=settings.vm,
        ip=settings.peer_address[0],
        domain=settings.domain,
        incarnation=incarnation,
        revision=0,
        leaving=False,
        loads={},
        peers=(),
    )


class Gateway:
    """The parts of one gateway, closed by context.

    :param settings: its settings
    :param wire: the protocol spoken with callers and backend servers
    :param decoder: reads published records
    :param incarnation: identity of this process
    :param listener: where callers connect; closed with the gateway
    :param count_dropped: returns how many log lines were dropped since the start
    """

    def __init__(
        self,
        settings: GatewaySettings,
        wire: Wire,
        decoder: Decoder,
        incarnation: str,
        listener: socket.socket,
        count_dropped: Callable[[], int] = lambda: 0,
    ):
        self.settings = settings
        self.catalog = Catalog(decoder)
        self.leaving = False
        self._started_s = time.monotonic()
        self._in_flight = 0
        self._count_dropped = count_dropped
        self._metrics = CallMetrics(self._read_gauges)
        self._backlogs = Backlogs()
        self._dispatch = Dispatch(
            self.catalog,
            self._backlogs,
            settings.find_region,
            settings.find_region(settings.domain),
            lambda read: self.peers.record_read(read),
            observe_lag=self._metrics.observe_lag,
            forward_report=self._forward_report,
            on_work_change=self._note_work,
        )
        self.peers = Peers(
            make_first_beat(settings, incarnation),
            settings.peer_address[1],
            settings.seeds,
            self.catalog,
            self._backlogs,
            settings.find_region,
            self._note_beat,
        )
        send = self.peers.send_message
        self._placement_client = PlacementClient(
            incarnation, self._dispatch, self.peers.find_coordinator, send
        )
        self._reservations = Reservations(self._dispatch, send)
        self._join_placing()
        self._budget = FleetBudget(settings.budget, self.peers.count_members)
        self._connections = Connections()
        self._forwarder = Forwarder(self._make_hooks(), wire, self._connections)
        self._callers = CallerServer(
            listener, self._find_limits, self._serve_call, self._forwarder.refuse, time.monotonic
        )
        self._stack = contextlib.ExitStack()

    def _join_placing(self) -> None:
        """Let peers ask this entry VM for places, and it ask them."""
        self.peers.describe_asks = lambda: (
            self._placement_client.last_number,
            self._placement_client.list_pending(),
        )
        self.peers.was_asked_recently = self._reservations.was_asked_recently
        self.peers.list_waiting_loads = self._dispatch.list_waiting_loads
        self.peers.handlers[Ask] = self._reservations.handle_ask
        self.peers.handlers[Withdrawal] = self._reservations.handle_withdrawal
        self.peers.handlers[Reply] = self._placement_client.handle_reply

    def _note_beat(self, beat: Beat) -> None:
        """Take in what a peer told, its work having been counted."""
        self._reservations.release_confirmed(beat)
        self._dispatch.record_beat(beat)

    def _note_work(self, service: str) -> None:
        """Tell the coordinator of a service soon that the own work there changed."""
        if self.peers.find_coordinator(service) is not None:
            self.peers.announce_change()

    def _forward_report(self, report: Report) -> None:
        if self.peers.find_coordinator(report.service) is not None:
            self.peers.announce_report(report)

    def _serve_pages(self, address: tuple[str, int]) -> CallerServer:
        return CallerServer(
            listen(address),
            lambda: PAGE_LIMITS,
            self._serve_page,
            self._forwarder.refuse,
            time.monotonic,
        )

    def _make_hooks(self) -> ForwardingHooks:
        return ForwardingHooks(
            find_contracts=lambda: self.catalog.contracts,
            choose=self._placement_client.choose,
            is_open=self._dispatch.is_open,
            record_request=self._budget.record_request,
            take_retry=self._budget.take,
            record_outcome=self._record_outcome,
            mark_leaving=self.catalog.mark_leaving,
            record_end=self._record_end,
        )

    def __enter__(self) -> "Gateway":
        enter = self._stack.enter_context
        enter(self._connections)
        enter(self.peers)
        enter(self._reservations)
        enter(self._serve_pages(self.settings.ready_address))
        enter(self._serve_pages(self.settings.peer_address))
        if self.settings.metrics_port:
            enter(self._serve_pages((self.settings.caller_address[0], self.settings.metrics_port)))
        enter(self._callers)
        keeper = spawn_repeating("housekeeping", self._keep_house)
        self._stack.callback(keeper.kill, block=False)
        return self

    def __exit__(self, *exc_info) -> None:
        self._stack.close()

    @property
    def ready(self) -> bool:
        """Whether calls can be served."""
        return self.catalog.contracts is not None and not self.leaving

    def _find_limits(self) -> Limits:
        contracts = self.catalog.contracts
        return contracts.limits if contracts is not None else Limits()

    def _serve_call(self, caller: Caller, request: Request) -> None:
        self._in_flight += 1
        try:
            self._wait_for_contracts()
            self._forwarder.serve(caller, request)
        finally:
            self._in_flight -= 1

    def _wait_for_contracts(self) -> None:
        """Keep a request that comes just after the start until the contracts are known."""
        left_s = self._started_s + FIRST_CONTRACTS_S - time.monotonic()
        if self.catalog.contracts is None and left_s > 0:
            self.catalog.known.wait(left_s)

    def _serve_page(self, caller: Caller, request: Request) -> None:
        """Answer the balancer's question, a peer's pull or a reader of the metrics."""
        path, _, query = request.target.decode("latin-1").partition("?")
        if path == METRICS_PATH:
            body, content_type = self._metrics.render()
            caller.answer(200, ((b"Content-Type", content_type.encode()),), body)
        elif path == RECORDS_PATH.decode():
            try:
                caller.answer(200, (), self.peers.answer_pull(query))
            except ValueError:
                caller.answer(400, (), b"")
        else:
            caller.answer(200 if self.ready else 503, (), b"")

    def _keep_house(self) -> None:
        gevent.sleep(HOUSEKEEPING_S)
        self.catalog.remove_lapsed()
        self._connections.keep_only(self.catalog.backends.values())
        self._dispatch.forget_removed()

    def _read_gauges(self) -> CallGauges:
        contracts = self.catalog.contracts
        names = list(self.catalog.backends)
        loads = {name: self._backlogs.find(name) for name in names}
        services = contracts.services if contracts is not None else ()
        return CallGauges(
            waiting=self._dispatch.count_waiting(),
            running={name: load.running for name, load in loads.items()},
            reading_tokens={name: load.reading_tokens for name, load in loads.items()},
            retries_left={name: int(self._budget.count_left(name)) for name in services},
            in_flight=self._in_flight,
            callers=len(self._callers.callers),
            peers=len(self.peers.list_alive()),
            version=contracts.version if contracts is not None else 0,
            platform_age_s=time.monotonic() - self.catalog.platform_read_s,
            opened=self._connections.opened,
            dropped_lines=self._count_dropped(),
        )

    def _record_outcome(
        self, backend: Backend, plan: Plan, failure: BalsamtallyError | None, took_s: float
    ) -> None:
        self._dispatch.record_outcome(backend, plan, failure, took_s)
        if failure is not None:
            self._metrics.count_failure(backend.name, failure.code)

    def _record_end(self, plan: Plan, progress: CallProgress, error: BaseException | None) -> None:
        now = time.monotonic()
        began_s = progress.first_event_s - plan.call.arrived_s if progress.first_event_s else -1.0
        code = error.code if isinstance(error, BalsamtallyError) else 0
        on_time = is_on_time(plan, progress, began_s) and error is None
        self._metrics.count_call(plan.route.name, plan.customer, progress.status, code, on_time)
        if began_s >= 0:
            self._metrics.observe_first_event(plan.route.name, began_s)
        if progress.longest_gap_s and progress.sent == 1:
            self._dispatch.record_longest_gap(progress.backend, plan, progress.longest_gap_s)
        if progress.sent:
            self._metrics.observe_wait(plan.route.name, progress.waited_s)
        log.info(
            "ended",
            request=plan.call.id,
            route=plan.route.name,
            customer=plan.customer,
            backend=progress.backend.name if progress.backend is not None else "",
            status=progress.status,
            code=code,
            why="" if error is None else str(error) or type(error).__name__,
            attempts=progress.sent,
            first_ms=round(began_s * 1000),
            total_ms=round((now - plan.call.arrived_s) * 1000),
            longest_gap_ms=round(progress.longest_gap_s * 1000),
            on_time=on_time,
            left=isinstance(error, CallerLeft),
        )

    def change_settings(self, settings: GatewaySettings) -> None:
        """Take over new settings as far as they may change while calls are served.

        :param settings: the new settings
        """
        changed = [
            name
            for name in ("seeds", "grace_s", "budget", "platform_address")
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        self.peers.seeds = settings.seeds
        self._budget.rule = settings.budget
        log.info("settings_changed", changed=changed)

    def drain(self) -> int:
        """Take no new work, wait for what is in flight and return how much was given up."""
        self.leaving = True
        self.peers.leaving = True
        begun = time.monotonic()
        log.info("leaving", in_flight=self._in_flight)
        idle_closed = False
        while (passed_s := time.monotonic() - begun) < self.settings.grace_s * GRACE_SHARE:
            if passed_s >= CLOSE_IDLE_S and not idle_closed:
                idle_closed = True
                self._callers.stop_listening()
                self._callers.close_idle()
            if idle_closed and not self._in_flight and not self._callers.callers:
                break
            self._callers.announce_close()
            gevent.sleep(DRAIN_POLL_S)
        return self._in_flight
