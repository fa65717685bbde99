"""The node of an entry VM: wires up the daemon's components and controls startup and draining."""

import contextlib
import hashlib
import math
import signal
import sys
import time
from collections.abc import Callable

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from balsamtally.admin import (
    QueuedRequests,
    RunnerReport,
    describe_runner,
    describe_state,
    make_admin_app,
)
from balsamtally.chats import ChatRequest, Chats, Progress
from balsamtally.configuration import Configuration
from balsamtally.contracts import Customer, Policy, Pool, RequestClass
from balsamtally.coordinator import Coordinator
from balsamtally.decisions import Decisions
from balsamtally.dissemination import Dissemination
from balsamtally.domains import DomainSelector, find_link
from balsamtally.entry import Entry, EntryHooks
from balsamtally.errors import EXIT_GRACE_ENDED, BalsamtallyError, CallerLeft, Outcome
from balsamtally.facts import Facts
from balsamtally.incarnations import make_incarnation
from balsamtally.limits import Limits
from balsamtally.links import Links
from balsamtally.logs import log, set_up_logs
from balsamtally.loops import Loop
from balsamtally.machines import BackendServer, EntryVm
from balsamtally.members import Members
from balsamtally.messages import Hold, ServiceAnswer
from balsamtally.metrics import Gauges, Metrics
from balsamtally.observers import Observers, RunnerObservation, make_view
from balsamtally.orders import Orders
from balsamtally.receipts import ReceiptRegistry
from balsamtally.retries import RetryBudget
from balsamtally.routes import Routes
from balsamtally.services import ServiceCalls, send_call
from balsamtally.settings import Settings, split_address
from balsamtally.slots import CallerVanished, Slots
from balsamtally.spill import RegionBytes, SpilloverRouter
from balsamtally.streams import Runners
from balsamtally.surveys import Surveys
from balsamtally.zones import FailureDomain

DRAIN_POLL_INTERVAL_S = 0.1
ABORT_TIMEOUT_S = 2.0


def find_result_code(error: BaseException | None) -> int:
    """Return the numeric result code of a finished request.

    :param error: exception that ended the request, ``None`` after a complete answer
    :return: the code, 0 for a complete answer
    """
    if error is None:
        return 0
    if isinstance(error, (CallerVanished, GeneratorExit)):
        return CallerLeft.code
    return error.code if isinstance(error, BalsamtallyError) else BalsamtallyError.code


class Node:
    """One entry VM's daemon with its components; a context manager that starts and stops them.

    :param settings: settings of the daemon
    :param decisions: recent decisions for operators, filled from the log
    """

    def __init__(self, settings: Settings, decisions: Decisions):
        self.settings = settings
        self.decisions = decisions
        self.incarnation = make_incarnation()
        self.own = EntryVm(
            settings.vm,
            settings.peer_address,
            settings.domain,
            settings.region,
            self.incarnation,
        )
        self.leaving = False
        self.refusing = False
        self._grace_end_s = math.inf
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> "Node":
        enter = self._stack.enter_context
        self.metrics = Metrics(self._read_gauges)
        self._start_shared_state(enter)
        self._start_slots(enter)
        self._create_calls()
        self.entry = enter(Entry(self.settings, self.chats, self._make_entry_hooks()))
        self._serve_operators(enter)
        return self

    def _start_shared_state(self, enter: Callable) -> None:
        """Start the components that share state between entry VMs, such as links and members."""
        self.facts = Facts()
        self.members = Members(self.own)
        self.links = enter(Links(self.settings, self._find_address, enter(Loop())))
        self.configuration = enter(Configuration(self.settings))
        self.dissemination = enter(
            Dissemination(self.settings, self.facts, self.members, self.configuration, self.links)
        )
        self.limits = enter(Limits(self.facts, self.members, self.links))

    def _start_slots(self, enter: Callable) -> None:
        """Start the components that grant and obtain slots on model runners."""
        self.runners = enter(Runners())
        self.observers = enter(Observers(self.runners))
        self.routes = Routes(self.settings.domain, self.facts, self.members)
        self.surveys = enter(Surveys(self.links, self._list_survey_targets))
        self.coordinator = enter(
            Coordinator(
                self.links,
                self.facts,
                self.settings.domain,
                lambda pool: self.routes.list_grantable_runners(pool, self.observers.list_views),
                self.surveys.list_states,
                self.observers.record_refusal,
                lambda: {vm.name for vm in self.members.list_all()},
                self.metrics.observe_decision,
            )
        )
        self.region_bytes = RegionBytes(time.monotonic, lambda: len(self.members.list_all()))
        self.slots = enter(Slots(self.links, self.routes, self._make_domain_selector().choose))
        self.links.handle(Hold, self._hold_runners)
        if self.settings.place_models:
            enter(
                Orders(
                    self.facts,
                    self.routes,
                    self.links,
                    self.runners,
                    self._is_placement_coordinator,
                )
            )

    def _create_calls(self) -> None:
        """Create the components that run chat requests and plain service calls."""
        key = bytes.fromhex(self.settings.link_key)
        self.receipts = ReceiptRegistry(self.settings.vm, self.incarnation, key)
        self.budget = RetryBudget(lambda: self._find_policy().retry_share)
        self.services = ServiceCalls(
            self.members,
            self.facts,
            self.links,
            self.receipts,
            send_call,
            self.budget,
            self.observers.is_leaving,
            lambda: self._grace_end_s - time.monotonic(),
        )
        self.chats = Chats(
            self.slots,
            self.runners,
            self._find_open_runner,
            self.observers.record_refusal,
            self.budget.take,
            self._record_decision,
            self._record_traffic,
        )

    def __exit__(self, *exc_info) -> None:
        self._stack.close()

    @property
    def ready(self) -> bool:
        """Whether the daemon has received its first state."""
        return self.dissemination.ready

    def drain(self) -> bool:
        """Drain the node: stop accepting work and wait for the requests in flight.

        Chat requests are still accepted for ``leave_notice_s``, until the platform's balancer has
        noticed that the node is draining.

        :return: whether all requests ended within the grace period
        """
        self.leaving = True
        self.dissemination.announce_leaving()
        self.receipts.stop_issuing()
        log.info("leaving", in_flight=self.entry.admission.in_flight)
        begun = time.monotonic()
        self._grace_end_s = begun + self.settings.grace_s
        while not self._is_drained():
            waited_s = time.monotonic() - begun
            if waited_s >= self.settings.grace_s:
                return not (self.entry.admission.in_flight or self.services.in_flight)
            self.refusing = waited_s >= self.settings.leave_notice_s
            gevent.sleep(DRAIN_POLL_INTERVAL_S)
        return True

    def abort(self) -> None:
        """Abort the requests in flight and wait until their callers have received the error."""
        self.entry.abort_requests()
        deadline = time.monotonic() + ABORT_TIMEOUT_S
        while self.entry.admission.in_flight and time.monotonic() < deadline:
            gevent.sleep(DRAIN_POLL_INTERVAL_S)

    def _is_drained(self) -> bool:
        idle = not (
            self.entry.admission.in_flight
            or self.services.in_flight
            or self.receipts.count_usable()
        )
        return self.refusing and idle

    def _make_entry_hooks(self) -> EntryHooks:
        return EntryHooks(
            is_ready=lambda: self.ready,
            is_leaving=lambda: self.refusing,
            find_customer=self._find_customer,
            find_class=lambda name: self.facts.find(RequestClass, name),
            find_pool=self.facts.find_pool,
            list_pools=lambda: self.facts.list(Pool),
            check_limits=self._check_limits,
            issue_receipt=lambda customer: self.receipts.issue(customer.name),
            call_service=self._call_service,
            record_end=self._record_chat_end,
        )

    def _serve_operators(self, enter) -> None:
        app = make_admin_app(
            render_metrics=self.metrics.render,
            read_unready=self._explain_unready,
            read_state=lambda: describe_state(self.settings.vm, self.facts),
            read_vms=self.members.list_all,
            read_runners=self._describe_runners,
            read_queues=self._list_queues,
            decisions=self.decisions,
        )
        server = WSGIServer(split_address(self.settings.operator_address), app, log=None)
        server.start()
        self._stack.callback(server.stop, 1)

    def _explain_unready(self) -> str:
        if self.leaving:
            return "this entry VM is draining"
        return "" if self.ready else "no state was received yet"

    def _find_address(self, vm: str) -> str | None:
        found = self.members.find(vm)
        return found.address if found is not None else None

    def _is_placement_coordinator(self) -> bool:
        return self.members.is_coordinator("place")

    def _hold_runners(self, sender: str, hold: Hold) -> None:
        for runner in hold.runners:
            self.observers.hold(runner, hold.duration_s)

    def _find_open_runner(self, name: str) -> BackendServer | None:
        server = self.facts.find(BackendServer, name)
        if server is None or server.leaving or self.observers.is_leaving(name):
            return None
        return server

    def _list_survey_targets(self, pool: str) -> list[str]:
        """Return the first coordinator of a pool in each other failure domain."""
        targets = []
        for domain in self.routes.list_domains(pool):
            if domain != self.settings.domain:
                targets += self.routes.list_coordinators(pool, domain)[:1]
        return targets

    def _make_domain_selector(self) -> DomainSelector:
        local_domain = FailureDomain(self.settings.domain, self.settings.region)
        spillover = SpilloverRouter(
            local_domain,
            lambda source, target: find_link(self.facts, source, target),
            self.region_bytes,
            self._find_policy,
            time.monotonic,
        )
        return DomainSelector(local_domain, self.facts, self.routes, spillover)

    def _record_traffic(self, chat: ChatRequest, runner: str, size: int) -> None:
        """Count the bytes exchanged with a runner in another region."""
        server = self.facts.find(BackendServer, runner)
        domain = self.facts.find(FailureDomain, server.domain) if server is not None else None
        if domain is None or domain.region == self.settings.region:
            return
        link = find_link(self.facts, self.settings.region, domain.region)
        name = chat.request_class.name
        self.region_bytes.count(chat.customer, name, link, size)
        self.metrics.count_region_bytes(chat.customer.name, name, size)

    def _find_customer(self, key: str) -> Customer | None:
        return self.facts.find_customer(hashlib.sha256(key.encode()).hexdigest())

    def _find_policy(self) -> Policy:
        return self.facts.find(Policy, "default") or Policy()

    def _check_limits(self, customer: Customer, request_class: RequestClass) -> None:
        self.limits.take_class(request_class)
        self.limits.take(customer)

    def _call_service(
        self, customer: Customer, service: str, operation: str, body: bytes, receipt: str | None
    ) -> ServiceAnswer:
        return self.services.call(customer.name, service, operation, body, receipt)

    def _record_decision(self, **fields) -> None:
        log.info("decision", **fields)
        if fields["decision"] == "route":
            self.metrics.observe_queue_wait(fields["request_class"], fields["waited_ms"] / 1000)
        if fields["decision"] == "route" and fields["attempt"] == 1:
            self.budget.record_request(fields["request_class"], fields["pool"])
        if fields["decision"] == "retry":
            self.metrics.count_retry(fields["request_class"])

    def _record_chat_end(
        self, chat: ChatRequest, progress: Progress, error: BaseException | None
    ) -> None:
        name = chat.request_class.name
        code = find_result_code(error)
        on_time = 0 <= progress.first_token_s * 1000 <= chat.request_class.first_token_ms
        self.metrics.count_request(name, code)
        self.limits.charge(chat.customer, "tokens_per_s", progress.tokens)
        if error is not None:
            self.metrics.count_tokens(name, 0, progress.tokens)
        elif progress.tokens:
            self.metrics.count_tokens(name, progress.tokens)
            self.metrics.observe_first_token(name, progress.first_token_s)
        for _ in range(progress.preemptions):
            self.metrics.count_preemption(name)
        for inter_token_s in progress.inter_token_s:
            self.metrics.observe_between_tokens(name, inter_token_s)
        if isinstance(error, BalsamtallyError) and error.outcome is Outcome.UNKNOWN:
            self.metrics.count_unknown(name)
        fields = {
            "decision": "end",
            "request": chat.request,
            "request_class": name,
            "customer": chat.customer.name,
            "tokens": progress.tokens,
            "attempts": progress.attempts,
            "preemptions": progress.preemptions,
            "first_token_ms": round(progress.first_token_s * 1000, 1),
            "met_target": on_time and error is None,
            "code": code,
            "reason": "" if error is None else f"{type(error).__name__}: {error}",
        }
        log.info("answered", **fields)

    def _describe_runners(self) -> list[RunnerReport]:
        now = time.monotonic()
        reports = []
        for server in self.facts.list(BackendServer):
            observed = self.observers.observed.get(server.name, RunnerObservation())
            reports.append(describe_runner(server, make_view(server, observed, now)))
        return reports

    def _list_queues(self) -> list[QueuedRequests]:
        return [
            QueuedRequests(pool, name, count)
            for pool, counts in self.coordinator.count_queued().items()
            for name, count in counts.items()
        ]

    def _read_gauges(self) -> Gauges:
        queued: dict[str, int] = {}
        for counts in self.coordinator.count_queued().values():
            for name, count in counts.items():
                queued[name] = queued.get(name, 0) + count
        return Gauges(
            queued=queued,
            in_flight=self.entry.admission.requests,
            members=len(self.members.list_domain()),
            tickets=len({entry.number for entry in self.facts.entries.values()}),
            platform_age_s=time.monotonic() - self.dissemination.platform_read_at,
            sent_bytes=self.links.sent_bytes,
            received_bytes=self.links.received_bytes,
        )


def run_node(settings: Settings) -> int:
    """Run a node until SIGTERM or SIGINT; a second signal aborts the drain.

    :param settings: settings of the node
    :return: exit status, 0 if all requests ended before the exit
    """
    decisions = Decisions()
    set_up_logs(settings.vm, decisions.add)
    drain_requested = Event()
    abort_requested = Event()

    def stop() -> None:
        if drain_requested.is_set():
            abort_requested.set()
        drain_requested.set()

    gevent.signal_handler(signal.SIGTERM, stop)
    gevent.signal_handler(signal.SIGINT, stop)
    with Node(settings, decisions) as node:
        log.info("started", incarnation=node.incarnation, callers=settings.caller_address)
        drain_requested.wait()
        drain = gevent.spawn(node.drain)
        gevent.wait([drain, abort_requested], count=1)
        drained = drain.ready() and drain.get()
        if not drained:
            node.abort()
        log.info("stopped", drained=drained)
    sys.stderr.flush()
    return 0 if drained else EXIT_GRACE_ENDED
