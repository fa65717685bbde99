"""Forwards calls from callers to backend servers, with retries and stream resumption."""

import contextlib
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import gevent

from balsamtally.backends import END_TIMEOUT_S, BackendConnection, Connections
from balsamtally.backlogs import Work
from balsamtally.call_log import log_failed_attempt, log_foreign_answer
from balsamtally.callers import Caller, Request
from balsamtally.calls import (
    AnswerHead,
    Attempt,
    Backend,
    Call,
    Headers,
    Notice,
    Repeat,
    Verdict,
)
from balsamtally.catalog import Contracts
from balsamtally.errors import (
    AnswerCut,
    AnswerTooLarge,
    BackendFailed,
    BackendLeaving,
    BackendRefused,
    BackendSilent,
    BackendUnreachable,
    BalsamtallyError,
    CallerLeft,
    CapacityError,
    ConnectionUnusable,
    Leaving,
    NoAnswer,
    NoBackend,
    Outcome,
    PartQuarantined,
    QueueTimeout,
    WrongAnswer,
    drop_traces,
)
from balsamtally.events import Event, EventReader, holds_answer_head
from balsamtally.held_bytes import HeldBytes, Holding
from balsamtally.logs import log
from balsamtally.moves import Move
from balsamtally.plans import (
    CallProgress,
    Choice,
    Plan,
    find_last_event,
    make_final_error,
    make_plan,
    may_repeat,
)
from balsamtally.stalls import Stalls, Watch
from balsamtally.terminations import Terminations

# Attempts of a call that aren't counted because their backend server terminated.
MAX_TERMINATED = 4
# Backend servers that may end, one after the other, before they begin to answer a call.
MAX_CRASHES = 2
# A call needs at least a round trip to another region and some processing time.
MIN_LEFT_S = 0.02
# A backend server tells its state without a slot; a round trip to another region takes 0.06 s, that
# of a new connection as long.
STATE_TIMEOUT_S = 0.3
# Largest answer that isn't streamed: it is buffered whole before it is passed on.
MAX_WHOLE_BYTES = 262_144
# Sent by a backend server when the deadline that it was given has passed.
DEADLINE_STATUS = 504
# Answers to other requests that are skipped before the connection is closed.
MAX_FOREIGN_ANSWERS = 2
# Name under which stored answers are counted beside those of the backend servers.
STORED_ANSWERS = "stored"


@dataclass(frozen=True)
class Wire:
    """The header conventions between callers, this program and backend servers.

    The adapter to the platform implements these functions.

    :ivar read_call: parses a caller's request into a call
    :ivar make_headers: returns the request headers of an attempt
    :ivar classify: classifies the head of an answer to an attempt
    :ivar read_notice: returns what a backend server says about itself in the head of an answer
    :ivar pick_headers: returns the headers of an answer that are passed on to the caller
    :ivar report: returns headers and body of an error answer to a caller
    :ivar read_id: returns the id of the request that an answer names, empty if it names none
    :ivar state_target: path at which a backend server tells its state
    :ivar read_born: returns the start of a backend server in Unix milliseconds from its state,
        ``None`` if it doesn't tell
    """

    read_call: Callable[[Request], Call]
    make_headers: Callable[[Attempt], Headers]
    classify: Callable[[Attempt, AnswerHead], Verdict]
    read_notice: Callable[[AnswerHead], Notice]
    pick_headers: Callable[[AnswerHead], Headers]
    report: Callable[[str, BalsamtallyError], tuple[Headers, bytes]]
    read_id: Callable[[AnswerHead], str]
    state_target: bytes
    read_born: Callable[[bytes], int | None]


@dataclass(frozen=True)
class ForwardingHooks:
    """The functions of the entry VM that a forwarder calls.

    :ivar find_contracts: returns the contracts in force, ``None`` where none are known
    :ivar admit: raises :class:`PartQuarantined` if the call's prompt may not be sent now
    :ivar is_suspect: returns whether crashes of backend servers have the call's prompt in common
    :ivar find_software: returns the software version at which a call's stream goes on, ``None`` for
        any; raises :class:`SoftwareUnknown` if that can't be told
    :ivar record_origin: records that the first event of an attempt at a stream came
    :ivar record_begun: records that a backend server began to answer a call
    :ivar record_crash: records that a backend server ended before it began to answer a call, with
        the times on the monotonic clock at which the call was sent and its connection broke
    :ivar choose: waits for a backend server and counts the call there; returns ``None`` if no
        backend server takes new work
    :ivar find_end_s: returns the monotonic clock by which a call must end, in seconds
    :ivar is_open: returns whether a backend server still takes new work
    :ivar record_request: counts a request to a service
    :ivar has_retry: returns whether the service's retry budget has a retry left
    :ivar take_retry: takes a retry from the service's retry budget; returns whether one was left
    :ivar record_outcome: records the result and duration of an attempt at a backend server
    :ivar record_notice: records what a backend server said about itself in an answer to a request
        sent at a time on the monotonic clock
    :ivar mark_leaving: records that a backend server is draining or was replaced by another one
    :ivar record_end: records how a call ended
    """

    find_contracts: Callable[[], Contracts | None]
    admit: Callable[[Plan, CallProgress], None]
    is_suspect: Callable[[Plan], bool]
    find_software: Callable[[Plan, CallProgress], str | None]
    record_origin: Callable[[Plan, CallProgress], None]
    record_begun: Callable[[Plan], None]
    record_crash: Callable[[Plan, Backend, float, float], None]
    choose: Callable[[Plan, CallProgress], Choice | None]
    find_end_s: Callable[[Plan], float]
    is_open: Callable[[Backend], bool]
    record_request: Callable[[str], None]
    has_retry: Callable[[str], bool]
    take_retry: Callable[[str], bool]
    record_outcome: Callable[[Backend, Plan, BalsamtallyError | None, float], None]
    record_notice: Callable[[Backend, Notice, float], None]
    mark_leaving: Callable[[Backend, str], None]
    record_end: Callable[[Plan, CallProgress, BaseException | None], None]


class Forwarder:
    """Forwards calls to backend servers.

    :param hooks: functions of the other parts of the entry VM
    :param wire: the header conventions
    :param connections: connections to backend servers
    :param terminations: tells which backend servers have ended
    :param account: counts the bytes of answers
    :param stalls: tells which backend servers have stopped sending
    :ivar foreign_answers: answers to other requests that were skipped so far
    """

    def __init__(
        self,
        hooks: ForwardingHooks,
        wire: Wire,
        connections: Connections,
        terminations: Terminations,
        account: HeldBytes,
        stalls: Stalls,
    ):
        self._hooks = hooks
        self._wire = wire
        self._connections = connections
        self._terminations = terminations
        self._account = account
        self._stalls = stalls
        self.foreign_answers = 0

    def serve(self, caller: Caller, request: Request) -> None:
        """Answer one request of a caller.

        :param caller: the caller's connection
        :param request: the request
        :raises CallerLeft: if the caller disconnects
        """
        call_id = ""
        try:
            call = self._wire.read_call(request)
            call_id = call.id
            plan = make_plan(call, self._hooks.find_contracts())
        except BalsamtallyError as error:
            self.refuse(caller, error, call_id)
            return
        except Exception:
            log.exception("request_failed", request=call_id)
            self.refuse(caller, BalsamtallyError(), call_id)
            return
        with Holding(self._account, STORED_ANSWERS) as stored:
            self._serve_call(caller, plan, CallProgress(stored_bytes=stored))

    def _serve_call(self, caller: Caller, plan: Plan, progress: CallProgress) -> None:
        call = plan.call
        error: BaseException | None = None
        try:
            self._hooks.record_request(plan.service)
            self._try_backends(caller, plan, progress)
        except BalsamtallyError as failure:
            error = failure
            if isinstance(failure, CallerLeft):
                raise
            if not caller.began_answer:
                self.refuse(caller, failure, call.id, progress)
        except Exception as failure:
            error = failure
            log.exception("request_failed", request=call.id)
            if not caller.began_answer:
                self.refuse(caller, BalsamtallyError(), call.id, progress)
        except BaseException as failure:
            error = failure
            raise
        finally:
            if progress.place is not None:
                progress.place.work.cancel()
            progress.answer, progress.sent_bytes = caller.answer_state, caller.sent_bytes
            self._hooks.record_end(plan, progress, error)
            # Its traceback refers to this frame, which would keep the call until a collection.
            error = None

    def refuse(
        self,
        caller: Caller,
        error: BalsamtallyError,
        call_id: str = "",
        progress: CallProgress | None = None,
    ) -> None:
        """Send an error to a caller.

        :param caller: the caller's connection
        :param error: the error
        :param call_id: id of the call, empty if it isn't known
        :param progress: progress of the call, ``None`` if it was refused before it had a plan
        """
        if progress is None:
            log.info("refused", request=call_id, code=error.code, why=str(error))
        else:
            progress.status = error.status
        headers, body = self._wire.report(call_id, error)
        caller.answer(error.status, headers, body)

    # Attempts.

    def _try_backends(self, caller: Caller, plan: Plan, progress: CallProgress) -> None:
        """Try backend servers one after the other until the call is answered."""
        while True:
            backend, failure = self._try_next(caller, plan, progress)
            if failure is None:
                return
            if isinstance(failure, PartQuarantined):
                reason = "a part of the prompt is quarantined"
            elif isinstance(failure, Leaving):
                reason = "this entry VM is draining"
            elif backend is None:
                reason = "no backend server became available in time"
            else:
                progress.avoid.add(backend.name)
                progress.may_have_run |= failure.outcome is not Outcome.NOT_RUN
                self._report_crash(plan, progress, failure)
                reason = self._find_stop_reason(plan, progress, failure, caller.began_answer)
            log_failed_attempt(plan, progress, backend, failure, reason)
            if reason and progress.failed_answer is not None and not caller.began_answer:
                self._answer_whole(caller, progress, *progress.failed_answer)
                return
            if reason:
                raise make_final_error(failure, progress)

    def _try_next(
        self, caller: Caller, plan: Plan, progress: CallProgress
    ) -> tuple[Backend | None, BalsamtallyError | None]:
        """Try the next backend server; return the server, if one was found, and the failure."""
        try:
            choice, progress.place = progress.place, None
            if choice is None:
                choice = self._choose(plan, progress)
        except CapacityError as error:
            return None, error
        if choice is None:
            return None, make_no_backend(progress)
        return choice.backend, self._try_backend(caller, plan, progress, choice)

    def _choose(self, plan: Plan, progress: CallProgress) -> Choice | None:
        """Wait for a backend server of the software version that began the call's stream.

        :raises CapacityError: if the call would be refused
        """
        self._hooks.admit(plan, progress)
        progress.software = self._hooks.find_software(plan, progress)
        return self._hooks.choose(plan, progress)

    def _report_crash(self, plan: Plan, progress: CallProgress, failure: BalsamtallyError) -> None:
        """Report the end of a backend server that hadn't begun to answer the call."""
        if not isinstance(failure, AnswerCut) or progress.attempt_begun:
            return
        if isinstance(failure, BackendSilent):
            return
        if not plan.call.shared_parts:
            return
        backend, sent_s = progress.backend, progress.attempt_sent_s
        cut_s = time.monotonic()
        crashed = self._terminations.report(
            backend, lambda: self._hooks.record_crash(plan, backend, sent_s, cut_s)
        )
        progress.crashes += crashed

    def _is_suspect(self, plan: Plan, progress: CallProgress) -> bool:
        return progress.crashes > 0 and self._hooks.is_suspect(plan)

    def _has_attempts(self, plan: Plan, progress: CallProgress, failure: BalsamtallyError) -> bool:
        """Return whether a call has attempts left.

        An attempt that was cut by the end of its backend server doesn't count.
        """
        if progress.sent - progress.terminated < plan.route.max_attempts:
            return True
        if not isinstance(failure, AnswerCut) or progress.terminated >= MAX_TERMINATED:
            return False
        if not self._terminations.has_terminated(progress.backend):
            return False
        progress.terminated += 1
        log.info("backend_ended", request=plan.call.id, backend=progress.backend.name)
        return True

    def _find_stop_reason(
        self, plan: Plan, progress: CallProgress, failure: BalsamtallyError, begun: bool
    ) -> str:
        """Return why a call isn't retried after a failure, empty if it is retried."""
        if self._hooks.find_end_s(plan) - time.monotonic() < MIN_LEFT_S:
            return "no time is left"
        if isinstance(failure, BackendUnreachable):
            # Each backend server is tried once, so that the number of attempts is bounded.
            return ""
        if isinstance(failure, BackendSilent):
            # The call left for a place that it holds, with a retry that was taken for it.
            may_run = progress.former_may_run
            return "the silent backend server may still work on the call" if may_run else ""
        if failure.outcome is not Outcome.NOT_RUN and not may_repeat(plan, begun):
            return "the call may have run and is not repeatable"
        if progress.crashes >= MAX_CRASHES or self._is_suspect(plan, progress):
            return "the prompt is suspected of crashing backend servers"
        if not self._has_attempts(plan, progress, failure):
            return "no attempts are left"
        return "" if self._hooks.take_retry(plan.service) else "the retry budget is exhausted"

    def _try_backend(
        self, caller: Caller, plan: Plan, progress: CallProgress, choice: Choice
    ) -> BalsamtallyError | None:
        """Try one backend server; return the failure, ``None`` after a success."""
        begun_s = time.monotonic()
        failure: BalsamtallyError | None = None
        with choice.work as work:
            try:
                self._exchange(caller, plan, progress, choice.backend, work)
            except CallerLeft:
                raise
            except BalsamtallyError as error:
                failure = drop_traces(error)
        took_s = time.monotonic() - begun_s
        if failure is None or not self._is_link_in_doubt(progress, failure):
            self._record_outcome(choice.backend, plan, progress, failure, took_s)
        else:
            relay = progress.relay
            gevent.spawn(self._record_if_link_holds, choice.backend, plan, relay, failure, took_s)
        return failure

    def _record_outcome(
        self,
        backend: Backend,
        plan: Plan,
        progress: CallProgress,
        failure: BalsamtallyError | None,
        took_s: float,
    ) -> None:
        """Record the outcome of an attempt, unless it failed by the way to its backend server."""
        was_sent = bool(progress.exchange)
        if failure is None or not (
            was_sent and self._connections.is_own_loss(backend, progress.relay, failure)
        ):
            self._hooks.record_outcome(backend, plan, failure, took_s)

    def _is_link_in_doubt(self, progress: CallProgress, failure: BalsamtallyError) -> bool:
        """Return whether a direct connection was reset, as at the loss of its link."""
        was_reset = isinstance(failure.__cause__, ConnectionResetError)
        return was_reset and not progress.relay and bool(progress.exchange)

    def _record_if_link_holds(
        self, backend: Backend, plan: Plan, relay: str, failure: BalsamtallyError, took_s: float
    ) -> None:
        """Record the failure of an attempt whose connection was reset, if its link still works.

        The connections of a VM may be reset in the moment in which it loses its links.
        """
        is_reachable = self._terminations.is_reachable(backend)
        if is_reachable and not self._connections.is_own_loss(backend, relay, failure):
            self._hooks.record_outcome(backend, plan, failure, took_s)

    def _exchange(
        self, caller: Caller, plan: Plan, progress: CallProgress, backend: Backend, work: Work
    ) -> None:
        progress.exchange = progress.framing = progress.relay = ""
        left_s = plan.until_s - time.monotonic()
        if left_s < MIN_LEFT_S:
            raise QueueTimeout
        connection = self._connections.acquire(backend, left_s, plan.call.id)
        progress.relay = connection.relay
        gap_s = plan.route.gap_s if plan.route.streams else 0.0
        watch = self._stalls.watch(backend, gap_s)
        move = self._make_move(caller, plan, progress, backend, watch)
        ending = self._end_if_silent(caller, plan, progress, connection, move)
        with self._use(backend, connection), watch, move, ending:
            # The backend server may have begun to drain or to pause as the connection was opened.
            if not self._hooks.is_open(backend):
                raise BackendLeaving(f"{backend.name} is draining or pauses")
            self._hooks.admit(plan, progress)
            if progress.software is not None:
                self._check_process(plan, backend)
            attempt = self._send(plan, progress, backend, connection)
            connection.check = move.check
            head, verdict = self._read_head(plan, attempt, connection)
            watch.record_head()
            progress.heard_s = time.monotonic()
            progress.framing = head.framing
            self._check_verdict(plan, progress, head, verdict, connection)
            self._connections.add_witness(backend, connection)
            if plan.route.streams and head.status == 200 and plan.call.method != b"HEAD":
                self._pass_stream(caller, plan, progress, head, connection, work, watch)
            else:
                self._pass_whole(caller, plan, progress, head, connection)

    def _check_process(self, plan: Plan, backend: Backend) -> None:
        """Check that a stream goes on at the process that the backend server's entry is of.

        One that has started again has the same name, and may be of another software version. A
        server that doesn't tell its start is taken for the same process.

        :raises BackendLeaving: if the backend server has started again
        """
        try:
            _, body = self._connections.fetch(backend, self._wire.state_target, STATE_TIMEOUT_S)
        except BalsamtallyError as error:
            log.info("no_state", request=plan.call.id, backend=backend.name, why=str(error))
            return
        born = self._wire.read_born(body)
        if born is not None and backend.born and born != backend.born:
            raise BackendLeaving(f"{backend.name} has started again since its entry was written")

    @contextlib.contextmanager
    def _use(self, backend: Backend, connection: BackendConnection) -> Iterator[None]:
        """Count the bytes of an answer within the context, and release the connection after it."""
        try:
            with Holding(self._account, backend.name) as connection.holding:
                yield
        finally:
            connection.holding = connection.check = None
            self._connections.release(backend, connection)

    def _make_move(
        self, caller: Caller, plan: Plan, progress: CallProgress, backend: Backend, watch: Watch
    ) -> Move:
        """Return the move of a call to another backend server, should this one stop sending."""
        return Move(
            plan.call.id,
            watch.has_stopped,
            lambda: self._find_place(caller, plan, progress, backend),
            lambda: self._hooks.take_retry(plan.service),
        )

    def _find_place(
        self, caller: Caller, plan: Plan, progress: CallProgress, backend: Backend
    ) -> Choice | None:
        """Wait for a place for a call that would leave its backend server; ``None`` if it may not.

        What may keep the call is asked again with the place, for which it may have waited.

        :raises CapacityError: if the call would be refused
        """
        if not self._may_leave(caller, plan, progress, backend):
            return None
        # A place at another silent backend server would be no better.
        avoid = progress.avoid | {backend.name} | self._stalls.list_silent()
        attempt = replace(progress, avoid=avoid, paused=set())
        place = self._choose(plan, attempt)
        if place is None:
            return None
        with contextlib.ExitStack() as stack:
            stack.callback(place.work.cancel)
            self._prepare_connection(plan, place.backend)
            if attempt.software is not None:
                self._check_process(plan, place.backend)
            self._hooks.admit(plan, attempt)
            if not self._hooks.is_open(place.backend):
                return None
            if not self._may_leave(caller, plan, progress, backend):
                return None
            stack.pop_all()
        return place

    def _prepare_connection(self, plan: Plan, backend: Backend) -> None:
        """Have a connection to the backend server that a call would go on at.

        :raises BackendUnreachable: if no connection can be opened, which is reported
        """
        begun_s = time.monotonic()
        try:
            self._connections.prepare(backend, plan.until_s - begun_s, plan.call.id)
        except BackendUnreachable as error:
            self._hooks.record_outcome(backend, plan, error, time.monotonic() - begun_s)
            raise

    def _may_leave(
        self, caller: Caller, plan: Plan, progress: CallProgress, backend: Backend
    ) -> bool:
        """Return whether a call may leave a silent backend server.

        A run goes on elsewhere only after the backend server's host has confirmed the end of the
        connection, so that a call isn't withdrawn from a host that can't be reached.
        """
        if not may_repeat(plan, caller.began_answer) or self._is_suspect(plan, progress):
            return False
        if progress.sent - progress.terminated >= plan.route.max_attempts:
            return False
        # A place that isn't used costs a permit of its server, and is kept from other calls.
        if not self._hooks.has_retry(plan.service):
            return False
        if self._hooks.find_end_s(plan) - time.monotonic() < MIN_LEFT_S + END_TIMEOUT_S:
            return False
        return not goes_on(caller, plan) or self._terminations.is_reachable(backend)

    @contextlib.contextmanager
    def _end_if_silent(
        self,
        caller: Caller,
        plan: Plan,
        progress: CallProgress,
        connection: BackendConnection,
        move: Move,
    ) -> Iterator[None]:
        """End the connection to a backend server that a call leaves within the context."""
        try:
            yield
        except BackendSilent:
            progress.place = move.take_place()
            confirmed = connection.end_request()
            progress.former_may_run = goes_on(caller, plan) and not confirmed
            raise

    def _send(
        self, plan: Plan, progress: CallProgress, backend: Backend, connection: BackendConnection
    ) -> Attempt:
        call = plan.call
        last_event = find_last_event(call, progress)
        left_s = self._hooks.find_end_s(plan) - time.monotonic()
        attempt = Attempt(call, backend, plan.customer, plan.urgency, left_s, last_event)
        if not progress.sent:
            progress.waited_s = time.monotonic() - call.arrived_s
        progress.sent += 1
        progress.backend = backend
        progress.attempt_sent_s = progress.heard_s = time.monotonic()
        progress.attempt_begun = False
        progress.probed_parts.clear()
        headers = self._wire.make_headers(attempt)
        try:
            connection.send(call.method, call.target, headers, call.body, plan.until_s)
        except ConnectionUnusable:
            progress.sent -= 1
            raise
        finally:
            progress.exchange = connection.exchange
        return attempt

    def _read_head(
        self, plan: Plan, attempt: Attempt, connection: BackendConnection
    ) -> tuple[AnswerHead, Verdict]:
        """Return the head of the answer to this attempt, skipping answers to other requests."""
        for _ in range(MAX_FOREIGN_ANSWERS + 1):
            head = connection.read_head(plan.until_s)
            verdict = self._wire.classify(attempt, head)
            if verdict is not Verdict.FOREIGN:
                return head, verdict
            self.foreign_answers += 1
            log_foreign_answer(attempt, head, self._wire.read_id(head), connection.exchange)
            connection.skip_answer(plan.until_s)
        raise WrongAnswer(f"received more than {MAX_FOREIGN_ANSWERS} answers to other requests")

    def _check_verdict(
        self,
        plan: Plan,
        progress: CallProgress,
        head: AnswerHead,
        verdict: Verdict,
        connection: BackendConnection,
    ) -> None:
        """Raise an error unless the answer may be passed on to the caller.

        A refusal is read to its end, so that the connection can be reused.
        """
        backend = progress.backend
        if verdict is Verdict.INVALID:
            raise WrongAnswer(f"{backend.name} sent an invalid answer")
        if verdict in (Verdict.ANSWER, Verdict.NOT_RUN):
            notice = self._wire.read_notice(head)
            self._hooks.record_notice(backend, notice, progress.attempt_sent_s)
        if verdict is Verdict.ANSWER:
            return
        connection.drain(plan.until_s)
        if verdict is Verdict.NOT_THERE:
            self._hooks.mark_leaving(backend, "another backend server has its address")
        raise BackendRefused(f"{backend.name} refused the call with status {head.status}")

    # Answers.

    def _pass_whole(
        self,
        caller: Caller,
        plan: Plan,
        progress: CallProgress,
        head: AnswerHead,
        connection: BackendConnection,
    ) -> None:
        """Read the whole answer, then pass it on.

        A server error is stored as the answer to fall back on if no retry succeeds.
        """
        if caller.began_answer:
            raise BackendFailed(f"the stream could not be resumed: {head.status}")
        body = connection.read_whole(plan.until_s, MAX_WHOLE_BYTES)
        if connection.ends_by_close and holds_answer_head(body):
            raise WrongAnswer("the answer has no length, and another answer follows it")
        self._check_end(progress, connection)
        progress.answer_attempt = progress.sent
        if head.status >= 500:
            self._store_answer(progress, head, body)
            if head.status == DEADLINE_STATUS:
                raise NoAnswer(f"the backend server answered {head.status}")
            raise BackendFailed(f"the backend server answered {head.status}")
        if head.status < 300:
            self._record_begun(plan, progress)
        self._answer_whole(caller, progress, head, body)

    def _store_answer(self, progress: CallProgress, head: AnswerHead, body: bytes) -> None:
        """Store an answer to fall back on, unless there is no room for it."""
        try:
            progress.stored_bytes.resize(len(body))
        except AnswerTooLarge as error:
            log.info("answer_not_stored", backend=progress.backend.name, why=str(error))
        else:
            progress.failed_answer = (head, body)

    def _answer_whole(
        self, caller: Caller, progress: CallProgress, head: AnswerHead, body: bytes
    ) -> None:
        progress.first_event_s = time.monotonic()
        progress.status = head.status
        caller.answer(head.status, self._wire.pick_headers(head), body, head.length)

    def _pass_stream(
        self,
        caller: Caller,
        plan: Plan,
        progress: CallProgress,
        head: AnswerHead,
        connection: BackendConnection,
        work: Work,
        watch: Watch,
    ) -> None:
        """Pass on events as they arrive.

        Only whole events are sent, so that a resumed stream continues between two events.
        """
        last_event = find_last_event(plan.call, progress)
        reader = EventReader(last_event if last_event is not None else -1)
        for piece in connection.read_body(lambda: plan.until_s):
            events = reader.read(piece)
            if events:
                progress.heard_s = time.monotonic()
                watch.record_event(progress.heard_s)
                work.record_answer_start()
                if not progress.attempt_begun:
                    self._hooks.record_origin(plan, progress)
                self._record_begun(plan, progress)
                self._pass_events(caller, progress, head, events)
            connection.held_bytes = len(reader.rest)
            reader.check()
        if reader.rest:
            raise AnswerCut("the stream ended in the middle of an event")
        if connection.ends_by_close and not progress.attempt_begun:
            raise AnswerCut("the connection ended before the first event")
        self._check_end(progress, connection)
        if not caller.began_answer:
            self._begin_stream(caller, progress, head)
        caller.end()

    def _pass_events(
        self, caller: Caller, progress: CallProgress, head: AnswerHead, events: list[Event]
    ) -> None:
        now = time.monotonic()
        if not caller.began_answer:
            progress.first_event_s = progress.last_piece_s = now
            self._begin_stream(caller, progress, head)
        progress.longest_gap_s = max(progress.longest_gap_s, now - progress.last_piece_s)
        progress.last_piece_s = now
        caller.send(b"".join(event.text for event in events))
        ids = [event.id for event in events if event.id is not None]
        if ids:
            progress.last_event = ids[-1]

    def _check_end(self, progress: CallProgress, connection: BackendConnection) -> None:
        """Check an answer that ended with its connection.

        The connection ends in the same way if the backend server's process ends within the answer.
        """
        is_still_running = self._connections.is_still_running
        if connection.ends_by_close and not is_still_running(progress.backend, connection):
            raise AnswerCut("the answer has no length, and its backend server may have ended")

    def _record_begun(self, plan: Plan, progress: CallProgress) -> None:
        if not progress.attempt_begun:
            progress.attempt_begun = True
            self._hooks.record_begun(plan)

    def _begin_stream(self, caller: Caller, progress: CallProgress, head: AnswerHead) -> None:
        progress.answer_attempt = progress.sent
        progress.status = head.status
        caller.begin(head.status, self._wire.pick_headers(head))


def make_no_backend(progress: CallProgress) -> NoBackend:
    """Return the error of a call for which no backend server is left.

    :param progress: the call's progress
    """
    if progress.software is None:
        return NoBackend()
    return NoBackend(f"no backend server of software version {progress.software!r} in reach")


def goes_on(caller: Caller, plan: Plan) -> bool:
    """Return whether the next attempt continues a stream of which the caller has events.

    :param caller: the caller's connection
    :param plan: the call's plan
    """
    return plan.route.repeat is Repeat.RESUME and caller.began_answer
