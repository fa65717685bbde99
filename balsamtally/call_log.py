"""Log lines about the placement, the attempts and the end of a call."""

import time

from balsamtally.assessment import PlacementTarget
from balsamtally.calls import AnswerHead, Attempt, Backend
from balsamtally.demands import Demand
from balsamtally.errors import BalsamtallyError, CallerLeft
from balsamtally.logs import log
from balsamtally.plans import CallProgress, Plan


def log_failed_attempt(
    plan: Plan,
    progress: CallProgress,
    backend: Backend | None,
    failure: BalsamtallyError,
    reason: str,
) -> None:
    """Write the line of an attempt that failed.

    :param plan: plan of the call
    :param progress: progress of the call
    :param backend: backend server of the attempt, ``None`` if none was found
    :param failure: the failure
    :param reason: why the call isn't tried again, empty if it is
    """
    log.info(
        "attempt_failed",
        request=plan.call.id,
        backend=backend.name if backend is not None else "",
        software=backend.software if backend is not None else "",
        resumes=plan.call.resumes,
        code=failure.code,
        why=str(failure),
        attempt=progress.sent,
        exchange=progress.exchange,
        relay=progress.relay,
        framing=progress.framing,
        last_event=progress.last_event,
        answer_begun=progress.attempt_begun,
        silent_ms=measure_silence_ms(progress),
        parts=[part.name for part in plan.call.shared_parts],
        retry=not reason,
        reason=reason,
    )


def log_foreign_answer(attempt: Attempt, head: AnswerHead, answered: str, exchange: str) -> None:
    """Write the line of a skipped answer to another request.

    :param attempt: the attempt that waits for its own answer
    :param head: head of the skipped answer
    :param answered: id of the request that it names
    :param exchange: connection of the attempt, and number of its request on this connection
    """
    log.info(
        "foreign_answer",
        request=attempt.call.id,
        backend=attempt.backend.name,
        answered=answered,
        exchange=exchange,
        framing=head.framing,
    )


def measure_silence_ms(progress: CallProgress) -> int:
    """Return the time since the last attempt's backend server sent something, in milliseconds.

    :param progress: progress of the call
    :return: the time since the sending if nothing came, 0 before the first attempt
    """
    return round((time.monotonic() - progress.heard_s) * 1000) if progress.sent else 0


def find_code(error: BaseException | None) -> int:
    """Return the result code of a call, 0 after a complete answer.

    :param error: why the call failed, ``None`` if it was answered
    """
    if error is None:
        return 0
    return error.code if isinstance(error, BalsamtallyError) else BalsamtallyError.code


def log_end(
    plan: Plan,
    progress: CallProgress,
    error: BaseException | None,
    began_s: float,
    on_time: bool,
) -> None:
    """Write the line of a call's end.

    :param plan: plan of the call
    :param progress: progress of the call
    :param error: why the call failed, ``None`` if it was answered
    :param began_s: time from the call's arrival to its answer in seconds, negative without one
    :param on_time: whether the answer met its latency targets
    """
    log.info(
        "ended",
        request=plan.call.id,
        route=plan.route.name,
        version=plan.version,
        customer=plan.customer,
        backend=progress.backend.name if progress.backend is not None else "",
        software=progress.backend.software if progress.backend is not None else "",
        resumes=plan.call.resumes,
        taken_up_after=plan.call.last_event,
        status=progress.status,
        code=find_code(error),
        why="" if error is None else str(error) or type(error).__name__,
        attempts=progress.sent,
        exchange=progress.exchange,
        relay=progress.relay,
        framing=progress.framing,
        answer=progress.answer,
        answer_attempt=progress.answer_attempt,
        sent_bytes=progress.sent_bytes,
        first_ms=round(began_s * 1000),
        total_ms=round((time.monotonic() - plan.call.arrived_s) * 1000),
        longest_gap_ms=round(progress.longest_gap_s * 1000),
        silent_ms=measure_silence_ms(progress),
        on_time=on_time,
        left=isinstance(error, CallerLeft),
    )


def log_placement(
    demand: Demand, target: PlacementTarget, software: str, now_s: float, placed_by: str = ""
) -> None:
    """Log the placement of a call with the values that it was based on.

    :param demand: requirements of the call
    :param target: the placement target
    :param software: version of the backend server's software
    :param now_s: monotonic clock in seconds
    :param placed_by: name of the entry VM that placed the call, empty if it is this one
    """
    log.info(
        "routed",
        request=demand.request,
        route=demand.route,
        version=demand.version,
        tier=demand.tier,
        urgency=demand.urgency,
        backend=target.backend,
        software=software,
        expected_ms=round(target.first_event_s * 1000),
        waited_ms=round((now_s - demand.arrived_s) * 1000),
        running=target.running,
        reading_tokens=target.reading_tokens,
        beside_tokens=target.beside_tokens,
        fresh_tokens=target.fresh_tokens,
        again_tokens=target.again_tokens,
        slow=(
            round(target.first_event_s / target.normal_speed_s, 1) if target.normal_speed_s else 1.0
        ),
        close=target.close,
        at_home=target.at_home,
        permitted=target.permitted,
        told_by=target.told_by,
        attempt=demand.attempt,
        placed_by=placed_by,
    )
