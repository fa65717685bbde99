"""Reports on backend servers that entry VMs derive from their attempts and send to coordinators."""

import enum

import msgspec

from balsamtally.calls import Backend
from balsamtally.decoding import Count, Seconds
from balsamtally.errors import (
    BackendLeaving,
    BackendRefused,
    BackendSilent,
    BackendUnreachable,
    BalsamtallyError,
    ConnectionUnusable,
    GraceEnded,
    Leaving,
    LinksLost,
    NoAnswer,
    PartQuarantined,
)
from balsamtally.plans import Plan

# A missing answer counts as the backend server's fault after this many times the target.
MIN_SILENCE_TARGETS = 2.0


class Finding(enum.IntEnum):
    """Kind of a report.

    ``BEGAN``: an answer began; ``PAUSED``: a stream ended, reports its longest inter-event gap;
    ``ANSWERED``: an attempt succeeded; ``FULL``: the backend server refused it, or closed its
    connection before the request; ``FAILED``: it failed by the backend server's fault;
    ``UNREACHABLE``: the connection could not be opened, or the backend server has stopped sending.
    """

    BEGAN = 0
    PAUSED = 1
    ANSWERED = 2
    FULL = 3
    FAILED = 4
    UNREACHABLE = 5


class Report(msgspec.Struct, frozen=True, array_like=True):
    """One observation of a backend server.

    :ivar finding: kind of the observation
    :ivar service: name of the service
    :ivar backend: name of the backend server
    :ivar born: start of its incarnation in Unix milliseconds
    :ivar took_s: time to the first event, longest inter-event gap or duration of the attempt, in
        seconds
    :ivar expected_s: expected time to the first event on a runner of normal speed, or the longest
        inter-event gap within the target, in seconds
    :ivar tokens: prompt tokens read before the first event, 0 if they say nothing about the speed
    :ivar request: id of the call
    :ivar code: error code of the failure, 0 if there was none
    :ivar why: message of the failure
    """

    finding: Finding
    service: str
    backend: str
    born: Count
    took_s: Seconds
    expected_s: Seconds = 0.0
    tokens: int = 0
    request: str = ""
    code: int = 0
    why: str = ""

    @property
    def key(self) -> tuple[str, int]:
        """Identity of the backend server's incarnation."""
        return (self.backend, self.born)


def report_outcome(
    backend: Backend, plan: Plan, failure: BalsamtallyError | None, took_s: float
) -> Report | None:
    """Return the report on a finished attempt.

    :param backend: the backend server
    :param plan: the call's plan
    :param failure: the failure, ``None`` if the attempt succeeded
    :param took_s: duration of the attempt, in seconds
    :return: the report, ``None`` if the failure isn't the backend server's fault
    """
    if failure is None:
        return Report(Finding.ANSWERED, backend.service, backend.name, backend.born, took_s)
    if isinstance(failure, (BackendRefused, ConnectionUnusable)):
        finding = Finding.FULL
    elif not is_backend_fault(failure, plan, took_s):
        return None
    elif isinstance(failure, (BackendUnreachable, BackendSilent)):
        finding = Finding.UNREACHABLE
    else:
        finding = Finding.FAILED
    return Report(
        finding,
        backend.service,
        backend.name,
        backend.born,
        took_s,
        request=plan.call.id,
        code=failure.code,
        why=str(failure),
    )


def is_backend_fault(failure: BalsamtallyError, plan: Plan, took_s: float) -> bool:
    """Return whether a failure is the backend server's fault.

    A backend server that is draining isn't at fault, nor is one that had too little time to answer,
    nor any while this VM has lost its own links.

    :param failure: the failure
    :param plan: the call's plan
    :param took_s: duration of the attempt, in seconds
    """
    if isinstance(failure, (BackendLeaving, GraceEnded, Leaving, LinksLost, PartQuarantined)):
        return False
    return not isinstance(failure, NoAnswer) or took_s >= plan.route.target_s * MIN_SILENCE_TARGETS


def report_silence(backend: Backend, silent_s: float) -> Report:
    """Return the report of a backend server that has stopped sending.

    :param backend: the backend server
    :param silent_s: time since it last sent anything, in seconds
    """
    return Report(
        Finding.UNREACHABLE,
        backend.service,
        backend.name,
        backend.born,
        silent_s,
        code=BackendSilent.code,
        why=BackendSilent.default,
    )


def report_pause(backend: Backend, plan: Plan, gap_s: float) -> Report:
    """Return the report of the longest inter-event time of a stream.

    :param backend: the backend server that sent the stream
    :param plan: plan of the call
    :param gap_s: the longest time between two events, in seconds
    """
    return Report(
        Finding.PAUSED,
        backend.service,
        backend.name,
        backend.born,
        gap_s,
        expected_s=plan.route.gap_s,
    )
