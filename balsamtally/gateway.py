"""The gateway of an entry VM: wires up its components and controls startup and draining.

A gateway forwards calls unchanged to backend servers.
"""

import contextlib
import dataclasses
import time
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent import socket

from balsamtally.asks import PlacementClient
from balsamtally.backends import Connections
from balsamtally.backlogs import Backlogs
from balsamtally.beats import Beat, make_initial_beat
from balsamtally.budgets import FleetBudget
from balsamtally.call_log import find_code, log_end
from balsamtally.call_metrics import CallGauges, CallMetrics
from balsamtally.callers import Caller, CallerServer, Request, find_max_callers
from balsamtally.calls import Backend, Limits, Notice, Repeat
from balsamtally.catalog import Catalog, Decoder
from balsamtally.cold_servers import ColdMembership, ColdRule
from balsamtally.coordination import Ask, Reply, Withdrawal
from balsamtally.crash_evidence import list_keys
from balsamtally.dispatch import Dispatch
from balsamtally.errors import BalsamtallyError, GraceEnded, Leaving, NoAnswer, OutcomeUnknown
from balsamtally.explanations import EXPLAIN_PATH, answer_page
from balsamtally.forwarding import Choice, Forwarder, ForwardingHooks, Wire
from balsamtally.gateway_settings import GatewaySettings
from balsamtally.grace_period import END_SHARE, TELL_SHARE, GracePeriod, StopCounts
from balsamtally.held_bytes import HeldBytes, find_limit
from balsamtally.logs import log
from balsamtally.origin_exchange import (
    Member,
    OriginAsk,
    OriginExchange,
    OriginNotice,
    OriginReply,
)
from balsamtally.origins import Origins
from balsamtally.paths.dialer import Dialer, RelayVm
from balsamtally.paths.losses import Losses
from balsamtally.paths.relays import Relay, find_max_tunnels
from balsamtally.pauses import Pauses, PausingChoice
from balsamtally.peers import RECORDS_PATH, Peers
from balsamtally.permits import PermitAsk, PermitGrant, Permits
from balsamtally.plans import CallProgress, Plan, meets_targets
from balsamtally.quarantine import Quarantine
from balsamtally.quarantine_exchange import QuarantineExchange
from balsamtally.quarantine_messages import QuarantineUpdate
from balsamtally.readers import make_read_times
from balsamtally.reports import Report
from balsamtally.reservations import Reservations
from balsamtally.server_limits import ServerLimits
from balsamtally.sockets import listen
from balsamtally.software_history import SoftwareHistory
from balsamtally.stall_exchange import StallExchange
from balsamtally.stalls import SilenceNotice, SilentRunner, Stalls
from balsamtally.takeups import TakeUps
from balsamtally.tasks import spawn_repeating
from balsamtally.terminations import Terminations

METRICS_PATH = "/metrics"
QUARANTINE_PATH = "/quarantine"
RELEASE_PATH = "/quarantine/release"
HOUSEKEEPING_INTERVAL_S = 0.5
# Interval at which the asks of other entry VMs for permits are served.
PERMITS_INTERVAL_S = 0.05
# Requests that arrive before the contracts are known wait until this time after the start. Reading
# the store over the longest network path takes 0.15 s, fetching from a peer instead 0.4 s.
CONTRACTS_WAIT_S = 0.6
DRAIN_POLL_INTERVAL_S = 0.05
# The balancer removes an entry VM after two failed health checks one second apart. Idle connections
# stay open until then, so that requests sent on them meanwhile are served.
CLOSE_IDLE_AFTER_S = 3.0
# Settings that can change while calls are served.
CHANGEABLE = (
    "seeds", "grace_s", "budget", "platform_address", "change_bound_s", "memory_mb",
    "cold_overage", "cold_slack",
)  # fmt: skip
# Limits for the health check, peer and metrics pages, whose requests have small heads and no body.
PAGE_LIMITS = Limits(max_body_bytes=0, idle_timeout_s=30.0)


class Gateway:
    """One gateway with its components; a context manager that starts and stops them.

    :param settings: settings of the gateway
    :param wire: protocol spoken with callers and backend servers
    :param decoder: decodes published records
    :param incarnation: identity of this process
    :param listener: socket to which callers connect; closed with the gateway
    :param count_dropped: returns the number of log lines dropped since the start
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
        initial_beat = make_initial_beat(settings, incarnation)
        self._connect_limits(initial_beat)
        self._dispatch = self._make_dispatch()
        self.catalog.on_evacuation = self._dispatch.dispatch_soon
        self.peers = Peers(
            initial_beat,
            settings.peer_address[1],
            settings.seeds,
            self.catalog,
            self._backlogs,
            settings.find_region,
            self._process_beat,
        )
        self.peers.read_times = make_read_times(settings.change_bound_s)
        self._connect_placement(incarnation)
        self._connect_quarantine()
        self._grace_period = GracePeriod(lambda: self.settings.grace_s)
        self._budget = FleetBudget(settings.budget, self.peers.count_members)
        self._connect_paths()
        self._terminations = Terminations(
            self._connections.refuses_connections, self._connections.is_reachable
        )
        self._account = HeldBytes(find_limit(settings.memory_mb))
        self._connect_stalls()
        self._connect_take_ups()
        self._forwarder = Forwarder(
            self._make_hooks(),
            wire,
            self._connections,
            self._terminations,
            self._account,
            self._stalls,
        )
        self._callers = self._make_caller_server(listener)
        self._stack = contextlib.ExitStack()

    def _make_caller_server(self, listener: socket.socket) -> CallerServer:
        return CallerServer(
            listener,
            self._find_limits,
            self._serve_call,
            self._forwarder.refuse,
            time.monotonic,
            self._account,
            find_max_callers(self.settings.max_fds),
        )

    def _connect_limits(self, initial_beat: Beat) -> None:
        """Create the limits of backend servers and of cold ones, and the permits for both."""
        self._server_limits = ServerLimits(
            self.catalog.is_known, find_cold_limit=self._find_cold_limit
        )
        self.catalog.on_cold = self._server_limits.record_cold
        self._cold_membership = ColdMembership(
            initial_beat,
            self.settings.regions,
            self.settings.find_region,
            lambda: bool(set(self.settings.seeds) - {initial_beat.ip}),
            lambda: [peer.beat for peer in self.peers.list_alive()],
        )
        self._permits = Permits(
            self._server_limits,
            lambda backend: self.peers.find_decider(backend),
            lambda: self.peers.find_share(),
            lambda message, ip: self.peers.send_message(message, ip),
            find_cold_share=self._cold_membership.find_share,
        )

    def _find_cold_limit(self, service: str) -> float | None:
        rule = ColdRule(self.settings.cold_overage, self.settings.cold_slack)
        return rule.find_limit(self.catalog.find_cold_rate_per_s(service))

    def _make_dispatch(self) -> Dispatch:
        return Dispatch(
            self.catalog,
            self._backlogs,
            self.settings.find_region,
            self.settings.find_region(self.settings.domain),
            lambda read: self.peers.record_read(read),
            observe_lag=self._metrics.observe_lag,
            forward_report=self._forward_report,
            on_work_change=self._announce_work,
            permits=self._permits,
            coordinates=lambda service: self.peers.coordinates(service),
        )

    def _connect_placement(self, incarnation: str) -> None:
        """Create both sides of placement and connect them to the peers."""
        send = self.peers.send_message
        self._placement_client = PlacementClient(
            incarnation, self._dispatch, self.peers.find_coordinator, send
        )
        self._reservations = Reservations(self._dispatch, send)
        self._pauses = Pauses()
        self._choice = PausingChoice(
            self._pauses, self.catalog.list_open, self._placement_client.choose
        )
        self.peers.describe_asks = lambda: (
            self._placement_client.last_number,
            self._placement_client.list_pending(),
        )
        self.peers.was_asked_recently = self._reservations.was_asked_recently
        self.peers.list_waiting_loads = self._dispatch.list_waiting_loads
        self.peers.handlers[Ask] = self._reservations.handle_ask
        self.peers.handlers[Withdrawal] = self._reservations.handle_withdrawal
        self.peers.handlers[Reply] = self._placement_client.handle_reply
        self.peers.list_limits = self._server_limits.list_told
        self.peers.handlers[PermitAsk] = self._permits.handle_ask
        self.peers.handlers[PermitGrant] = self._handle_grant

    def _connect_quarantine(self) -> None:
        """Create the quarantine of prompt parts and connect it to the peers."""
        self._quarantine = Quarantine(
            self.settings.vm, lambda: self._quarantine_exchange.announce()
        )
        self._quarantine_exchange = QuarantineExchange(
            self._quarantine, self._list_peer_ips, self.peers.send_message
        )
        self.peers.handlers[QuarantineUpdate] = self._quarantine_exchange.handle_update

    def _connect_paths(self) -> None:
        """Create the ways to backend servers, and the relay for other entry VMs."""
        own = self.peers.own
        losses = Losses()
        self._dialer = Dialer(
            losses, self._list_relays, self.settings.find_region, own.domain, own.ip
        )
        self._connections = Connections(dialer=self._dialer)
        self._relay = Relay(
            self.settings.relay_address,
            own.incarnation,
            self.catalog.backends.values,
            self.peers.is_known,
            self._relays,
            losses,
            find_max_tunnels(self.settings.max_fds),
        )
        self.peers.relays = self._relays

    def _relays(self) -> bool:
        """Return whether this entry VM relays connections to backend servers."""
        return not self.leaving and not self._dialer.losses.is_cut_off()

    def _list_relays(self) -> list[RelayVm]:
        port = self.settings.relay_address[1]
        beats = [peer.beat for peer in self.peers.list_alive()]
        return [
            RelayVm(beat.vm, (beat.ip, port), beat.domain, beat.relays and not beat.leaving)
            for beat in beats
        ]

    def _connect_stalls(self) -> None:
        """Create the verdicts on silent runners and connect them to the peers of the region."""
        self._stalls = Stalls(is_lost=self._dialer.losses.is_lost_to)
        self._stall_exchange = StallExchange(
            self.settings.vm,
            self._stalls,
            self.peers.list_region_ips,
            self.peers.send_message,
            self._record_silence,
        )
        self.peers.handlers[SilenceNotice] = self._stall_exchange.handle_notice

    def _connect_take_ups(self) -> None:
        """Create the records of where streams began and connect them to the peers."""
        self._software_history = SoftwareHistory(lambda: self.settings.change_bound_s)
        self.catalog.on_backends = self._software_history.observe
        self.catalog.on_missed = self._software_history.record_gap
        own = self.peers.own
        self._origin_exchange = OriginExchange(
            Member(own.vm, own.domain, own.ip),
            Origins(),
            self._list_members,
            self.peers.send_message,
            self._find_sole_software,
        )
        self._take_ups = TakeUps(
            self._origin_exchange.find,
            self._find_sole_software,
            self._origin_exchange.announce,
            lambda: self.catalog.backends,
        )
        self.peers.handlers[OriginNotice] = self._origin_exchange.handle_notice
        self.peers.handlers[OriginAsk] = self._origin_exchange.handle_ask
        self.peers.handlers[OriginReply] = self._origin_exchange.handle_reply

    def record_past_backends(self, backends: Iterable[Backend], covered_s: float) -> None:
        """Record which backend servers served before this VM started.

        :param backends: all backend servers that served within the covered time
        :param covered_s: length of the covered time before now, in seconds
        """
        self._software_history.record_past(backends, covered_s)

    def measure_stream_past_s(self) -> float:
        """Return the time before now in which a stream that may be resumed can have begun.

        It covers the time in which VMs learn that a backend server has left.

        :return: the time in seconds
        """
        contracts = self.catalog.contracts
        routes = contracts.routes if contracts is not None else ()
        longest_s = max((r.timeout_s for r in routes if r.repeat is Repeat.RESUME), default=0.0)
        return longest_s + self.settings.change_bound_s

    def _list_members(self) -> list[Member]:
        beats = [peer.beat for peer in self.peers.list_alive()]
        return [Member(beat.vm, beat.domain, beat.ip) for beat in beats]

    def _find_sole_software(self, service: str, window_s: float) -> str | None:
        return self._software_history.find_sole(service, window_s, self.catalog.age_s)

    def _record_silence(self, verdict: SilentRunner) -> None:
        self._metrics.count_silent(verdict.key[0])
        self._dispatch.record_silence(verdict.key, verdict.silent_s)

    def _process_beat(self, beat: Beat) -> None:
        """Process a peer's heartbeat, after the backlog it reports was recorded."""
        self._reservations.release_confirmed(beat)
        self._dispatch.record_beat(beat)
        for incarnation in beat.departures:
            self._record_departure(incarnation, beat.vm)
        self._cold_membership.record_beat(beat)
        self._server_limits.merge(beat.limits, beat.vm)
        self._quarantine_exchange.greet(beat)
        if beat.leaving:
            self._connections.close_idle_through(beat.vm)

    def _list_peer_ips(self) -> list[str]:
        return [peer.beat.ip for peer in self.peers.list_alive()]

    def _announce_work(self, service: str) -> None:
        """Schedule a heartbeat to the coordinator of a service after the local load changed."""
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
            admit=self._admit,
            is_suspect=lambda plan: self._quarantine.is_suspect(list_keys(plan.call.shared_parts)),
            find_software=self._take_ups.find_software,
            record_origin=self._take_ups.record_first_event,
            record_begun=self._record_begun,
            record_crash=self._record_crash,
            choose=self._choose,
            find_end_s=self._grace_period.find_end_s,
            is_open=self._is_open,
            record_request=self._budget.record_request,
            has_retry=self._budget.has_left,
            take_retry=self._budget.take,
            record_outcome=self._record_outcome,
            record_notice=self._record_notice,
            mark_leaving=self.catalog.mark_leaving,
            record_end=self._record_end,
        )

    def _choose(self, plan: Plan, progress: CallProgress) -> Choice | None:
        return self._grace_period.wait(plan, progress, self._choice.choose)

    def _is_open(self, backend: Backend) -> bool:
        return self._dispatch.is_open(backend) and not self._pauses.is_paused(backend)

    def _record_notice(self, backend: Backend, notice: Notice, sent_s: float) -> None:
        if notice.leaving and self._record_departure(backend.key, "its answer"):
            self.peers.announce_change()
        if notice.pause_s:
            self._pauses.record(backend, notice.pause_s)
            self._metrics.count_pause(backend.name)
        if notice.states_limit:
            self._record_limit(backend, notice.limit_per_s, sent_s)

    def _record_limit(self, backend: Backend, limit_per_s: float | None, sent_s: float) -> None:
        if self._server_limits.record_answer(backend, limit_per_s, sent_s):
            self.peers.announce_change()
            self._dispatch.dispatch_soon()

    def _record_departure(self, incarnation: tuple[str, int], source: str) -> bool:
        """Stop sending calls to a leaving backend server; return whether this was news."""
        if not self.catalog.record_departure(incarnation, source):
            return False
        self._connections.close_idle(incarnation)
        self._dispatch.dispatch_soon()
        return True

    def _admit(self, plan: Plan, progress: CallProgress) -> None:
        self._grace_period.check(plan, progress)
        parts = list_keys(plan.call.shared_parts)
        self._quarantine.admit(plan.service, parts, progress.probed_parts)

    def _record_begun(self, plan: Plan) -> None:
        self._quarantine.record_begun(plan.service, list_keys(plan.call.shared_parts))

    def _record_crash(self, plan: Plan, backend: Backend, sent_s: float, cut_s: float) -> None:
        parts = list_keys(plan.call.shared_parts)
        log.info("backend_crashed", backend=backend.name, request=plan.call.id, parts=list(parts))
        self._quarantine.record_crash(backend, parts, sent_s, cut_s)

    def __enter__(self) -> "Gateway":
        enter = self._stack.enter_context
        enter(self._connections)
        enter(self._dialer)
        enter(self.peers)
        enter(self._relay)
        enter(self._quarantine_exchange)
        enter(self._stall_exchange)
        enter(self._origin_exchange)
        enter(self._reservations)
        enter(self._serve_pages(self.settings.ready_address))
        enter(self._serve_pages(self.settings.peer_address))
        if self.settings.metrics_port:
            enter(self._serve_pages((self.settings.caller_address[0], self.settings.metrics_port)))
        enter(self._callers)
        for name, step in (
            ("housekeeping", self._run_housekeeping),
            ("permits", self._serve_permits),
        ):
            self._stack.callback(spawn_repeating(name, step).kill, block=False)
        return self

    def __exit__(self, *exc_info) -> None:
        self._stack.close()

    @property
    def ready(self) -> bool:
        """Whether the contracts are known and the gateway isn't draining."""
        return self.catalog.contracts is not None and not self.leaving

    def _find_limits(self) -> Limits:
        contracts = self.catalog.contracts
        return contracts.limits if contracts is not None else Limits()

    def _serve_call(self, caller: Caller, request: Request) -> None:
        self._in_flight += 1
        try:
            self._wait_for_contracts()
            self._forwarder.serve(caller, request)
        except GraceEnded:
            # The forwarder reports the calls that it has begun.
            if not caller.began_answer:
                self._forwarder.refuse(caller, Leaving())
        finally:
            self._in_flight -= 1

    def _wait_for_contracts(self) -> None:
        """Delay a request that arrives just after the start until the contracts are known."""
        left_s = self._started_s + CONTRACTS_WAIT_S - time.monotonic()
        if self.catalog.contracts is None and left_s > 0:
            self.catalog.known.wait(left_s)

    def _serve_page(self, caller: Caller, request: Request) -> None:
        """Answer the balancer's health check, or a request of a peer or an operator."""
        path, _, query = request.target.decode("latin-1").partition("?")
        if path == METRICS_PATH:
            body, content_type = self._metrics.render()
            caller.answer(200, ((b"Content-Type", content_type.encode()),), body)
        elif path == RECORDS_PATH.decode():
            try:
                caller.answer(200, (), self.peers.answer_pull(query))
            except ValueError:
                caller.answer(400, (), b"")
        elif path == QUARANTINE_PATH:
            body = msgspec.json.encode(self._quarantine.list_entries())
            caller.answer(200, ((b"Content-Type", b"application/json"),), body)
        elif path == EXPLAIN_PATH:
            find = self.peers.find_coordinator
            page = answer_page(query, self._dispatch, self.catalog, find, self.settings.vm)
            caller.answer(page[0], ((b"Content-Type", b"application/json"),), page[1])
        elif path == RELEASE_PATH:
            caller.answer(self._release(request, query), (), b"")
        else:
            caller.answer(200 if self.ready else 503, (), b"")

    def _release(self, request: Request, query: str) -> int:
        """Release a quarantined group of prompt parts; return the HTTP status of the answer."""
        if request.method != b"POST":
            return 405
        parts = tuple(parse_qs(query).get("part", ()))
        released = self._quarantine.release(tuple(sorted(parts)), "an operator released it")
        return 200 if released else 404

    def _run_housekeeping(self) -> None:
        gevent.sleep(HOUSEKEEPING_INTERVAL_S)
        self.catalog.remove_lapsed()
        self._connections.keep_only(self.catalog.backends.values())
        self._dialer.losses.keep_only({backend.key for backend in self.catalog.backends.values()})
        self._dispatch.forget_removed()
        self._pauses.forget_removed(self.catalog.backends.values())
        self._server_limits.forget_removed()
        self._stalls.forget_removed({backend.key for backend in self.catalog.backends.values()})
        self._terminations.check_pending(self.catalog.backends)
        if self.catalog.contracts is not None:
            routes = {route.name for route in self.catalog.contracts.routes}
            self._grace_period.durations.keep_only(routes)

    def _serve_permits(self) -> None:
        gevent.sleep(PERMITS_INTERVAL_S if self._permits.has_limits else HOUSEKEEPING_INTERVAL_S)
        self._permits.serve_asks(self.catalog.backends.values())

    def _handle_grant(self, grant: PermitGrant, ip: str) -> None:
        self._permits.handle_grant(grant, ip)
        self._dispatch.dispatch_soon()

    def _read_gauges(self) -> CallGauges:
        contracts = self.catalog.contracts
        names = list(self.catalog.backends)
        loads = {name: self._backlogs.find(name) for name in names}
        services = contracts.services if contracts is not None else ()
        return CallGauges(
            waiting=self._dispatch.count_waiting(),
            running={name: load.running for name, load in loads.items()},
            reading_tokens={name: load.reading_tokens for name, load in loads.items()},
            imbalances=self._dispatch.runners.measure_imbalances(),
            retries_left={name: int(self._budget.count_left(name)) for name in services},
            in_flight=self._in_flight,
            callers=len(self._callers.callers),
            peers=len(self.peers.list_alive()),
            version=contracts.version if contracts is not None else 0,
            platform_age_s=self.catalog.age_s,
            opened=self._connections.opened,
            foreign_answers=self._forwarder.foreign_answers,
            late_answers=self._connections.late_answers,
            dropped_lines=self._count_dropped(),
            quarantined=len(self._quarantine.list_entries()),
            evacuated=dict.fromkeys(self.catalog.evacuated, 1),
            cold=len(self._server_limits.list_cold()),
            limited=len(self._server_limits.list_limited()),
            callers_limit=self._callers.max_callers,
            closed_idle=self._callers.closed_idle,
            evicted_bodies=self._account.evicted,
            dedicated=self._dispatch.runners.count_dedicated(),
            held_bytes=self._account.used_bytes,
            held_bytes_limit=self._account.limit_bytes,
            lost_links=len(self._dialer.losses.list_lost()),
            tunnels=self._dialer.tunnels,
            relayed=self._relay.open,
            relays_refused=self._relay.refused,
        )

    def _record_outcome(
        self, backend: Backend, plan: Plan, failure: BalsamtallyError | None, took_s: float
    ) -> None:
        # A backend server isn't at fault if it had only the rest of the grace period to answer.
        ends_early = self._grace_period.find_end_s(plan) < plan.until_s
        if not (ends_early and isinstance(failure, NoAnswer)):
            self._dispatch.record_outcome(backend, plan, failure, took_s)
        if failure is not None:
            self._metrics.count_failure(backend.name, failure.code)

    def _record_end(self, plan: Plan, progress: CallProgress, error: BaseException | None) -> None:
        began_s = progress.first_event_s - plan.call.arrived_s if progress.first_event_s else -1.0
        code = find_code(error)
        on_time = meets_targets(plan, progress, began_s) and error is None
        self._metrics.count_call(plan.route.name, plan.customer, progress.status, code, on_time)
        if began_s >= 0:
            self._metrics.observe_first_event(plan.route.name, began_s)
        if progress.longest_gap_s and progress.sent == 1:
            self._dispatch.record_longest_gap(progress.backend, plan, progress.longest_gap_s)
        if progress.sent:
            self._metrics.observe_wait(plan.route.name, progress.waited_s)
        if progress.sent and (error is None or isinstance(error, OutcomeUnknown)):
            took_s = time.monotonic() - progress.attempt_sent_s
            self._grace_period.durations.record(plan.route.name, took_s)
        self._grace_period.count_end(progress, error)
        log_end(plan, progress, error, began_s, on_time)

    def change_settings(self, settings: GatewaySettings) -> None:
        """Apply new settings, as far as they can change while calls are served.

        :param settings: the new settings
        """
        changed = [
            name for name in CHANGEABLE if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        self.peers.seeds = settings.seeds
        self.peers.read_times = make_read_times(settings.change_bound_s)
        self._account.limit_bytes = find_limit(settings.memory_mb)
        self._budget.rule = settings.budget
        log.info("settings_changed", changed=changed)

    def drain(self) -> StopCounts:
        """Serve the calls that end within the grace period, and end the others.

        :return: how many calls weren't served to their end
        """
        self.leaving = True
        self.peers.leaving = True
        self._grace_period.begin()
        begun = time.monotonic()
        log.info("leaving", in_flight=self._in_flight)
        idle_closed = told = False
        while (passed_s := time.monotonic() - begun) < self.settings.grace_s * END_SHARE:
            ends = passed_s >= self.settings.grace_s * TELL_SHARE
            if (ends or passed_s >= CLOSE_IDLE_AFTER_S) and not idle_closed:
                idle_closed = True
                self._callers.stop_listening()
                self._callers.close_idle()
            in_use = self._in_flight or self._relay.open
            if idle_closed and not in_use and (ends or not self._callers.callers):
                break
            self._callers.announce_close()
            self._grace_period.refuse_waiting()
            gevent.sleep(0 if ends and not told else DRAIN_POLL_INTERVAL_S)
            if ends and not told:
                told = True
                self._callers.interrupt(GraceEnded())
        counts = self._grace_period.counts
        return dataclasses.replace(counts, cut=counts.cut + self._in_flight)
