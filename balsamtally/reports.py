"""What entry VMs learn of backend servers from their own attempts, as they tell it to others."""

import enum

import msgspec

from balsamtally.calls import Backend
from balsamtally.errors import (
    BackendLeaving,
    BackendRefused,
    BackendUnreachable,
    BalsamtallyError,
    NoAnswer,
)
from balsamtally.plans import Plan

# A backend server is faulty if it gives no answer in so many times the target.
SILENT_TARGETS = 2.0


class Finding(enum.IntEnum):
    """What was found.

    ``BEGAN``: an answer began; ``PAUSED``: a stream ended, with its longest pause;
    ``ANSWERED``: an attempt ended well; ``FULL``: it was refused; ``FAILED``: it failed by the
    backend server's fault; ``UNREACHABLE``: there was no connection.
    """

    BEGAN = 0
    PAUSED = 1
    ANSWERED = 2
    FULL = 3
    FAILED = 4
    UNREACHABLE = 5


class Report(msgspec.Struct, frozen=True, array_like=True):
    """One finding.

    :ivar finding: what was found
    :ivar service: name of the service
    :ivar backend: name of the backend server
    :ivar born: start of its incarnation in Unix milliseconds
    :ivar took_s: time to the beginning, longest pause or time of the attempt, in seconds
    :ivar expected_s: expected time to the beginning at a runner of normal pace, or the pause that
        is still on time, in seconds
    :ivar tokens: prompt tokens that were read until the beginning, 0 where they tell nothing
    :ivar request: id of the call
    :ivar code: numbered code of the failure, 0 if there was none
    :ivar why: what went wrong
    """

    finding: Finding
    service: str
    backend: str
    born: int
    took_s: float
    expected_s: float = 0.0
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
    """Return what the end of an attempt tells of its backend server, ``None`` if nothing.

    :param backend: the backend server
    :param plan: the call's plan
    :param failure: what went wrong, ``None`` if nothing did
    :param took_s: how long the attempt took, in seconds
    """
    if failure is None:
        return Report(Finding.ANSWERED, backend.service, backend.name, backend.born, took_s)
    if isinstance(failure, BackendRefused):
        finding = Finding.FULL
    elif not is_own_fault(failure, plan, took_s):
        return None
    elif isinstance(failure, BackendUnreachable):
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


def is_own_fault(failure: BalsamtallyError, plan: Plan, took_s: float) -> bool:
    """Return whether a failure tells of a faulty backend server.

    One that had little time to answer, or that had begun to leave, isn't faulty for it.

    :param failure: what went wrong
    :param plan: the call's plan
    :param took_s: how long it took, in seconds
    """
    if isinstance(failure, BackendLeaving):
        return False
    return not isinstance(failure, NoAnswer) or took_s >= plan.route.target_s * SILENT_TARGETS
