"""Decides at which software version a stream goes on, within one answer or over a caller's tries.

What two versions write doesn't fit together, and backend servers don't check it. A caller that
takes a stream up names the attempt that brought its first event, which another entry VM may have
served.
"""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from balsamtally.calls import Backend, Repeat
from balsamtally.errors import SoftwareUnknown
from balsamtally.logs import log
from balsamtally.origins import Origin, find_software
from balsamtally.plans import CallProgress, Plan
from balsamtally.software_history import SoleVersion

# Longest wait for a reading of the platform that shows which versions have come meanwhile.
MAX_READING_WAIT_S = 1.5


@dataclass(frozen=True)
class Observations:
    """What this VM has observed of the versions that serve.

    :ivar find_sole: returns the only version that can have begun a stream, from the service, the
        time before now within which it began and the age of the records in seconds; ``None`` if
        there are several or this VM can't tell
    :ivar is_only_since: returns whether this VM has known no other version of a service since a
        time on its clock, in seconds
    :ivar await_reading: waits until a reading of the platform that began after a time was merged,
        from the time on this VM's clock and the longest wait in seconds; returns whether one was
    :ivar clock: the clock of these times, in seconds
    """

    find_sole: Callable[[str, float, float], str | None]
    is_only_since: Callable[[str, str, float], bool]
    await_reading: Callable[[float, float], bool]
    clock: Callable[[], float]


class TakeUps:
    """Finds the software version that began a stream.

    :param find_origin: returns the origin of a stream as this VM or a peer knows it, and otherwise
        the only version that can have begun it as peers have observed, from the id of the
        attempt, the customer, the service and the longest time since the stream began in seconds;
        ``None`` for what isn't known
    :param observed: what this VM has observed of the versions that serve
    :param announce: records an origin and tells it to peers
    :param find_backends: returns the known backend servers by name
    :param wall_clock: Unix time in seconds
    """

    def __init__(
        self,
        find_origin: Callable[[str, str, str, float], tuple[Origin | None, SoleVersion | None]],
        observed: Observations,
        announce: Callable[[Origin], None],
        find_backends: Callable[[], Mapping[str, Backend]],
        wall_clock: Callable[[], float] = time.time,
    ):
        self._find_origin = find_origin
        self._observed = observed
        self._announce = announce
        self._find_backends = find_backends
        self._wall_clock = wall_clock

    def find_software(self, plan: Plan, progress: CallProgress) -> str | None:
        """Return the version at which a call's stream goes on, ``None`` for any.

        :param plan: the call's plan
        :param progress: the call's progress; the stream's origin is added to it
        :raises SoftwareUnknown: if the caller has events of a version that can't be told
        """
        if not plan.route.streams:
            return None
        if progress.origin is None and plan.call.last_event is None:
            return None
        if progress.origin is None:
            progress.origin, sole = self._find_unknown(plan)
            if sole is not None:
                return sole
        software = None
        if progress.origin is not None:
            software = find_software(progress.origin, self._find_backends())
        if software is None:
            raise SoftwareUnknown
        return software

    def _find_unknown(self, plan: Plan) -> tuple[Origin | None, str | None]:
        """Return the origin of a stream that a caller takes up, else the only possible version."""
        came_s = self._observed.clock()
        origin, told = None, None
        if plan.call.resumes:
            origin, told = self._find_origin(
                plan.call.resumes, plan.customer, plan.service, plan.route.timeout_s
            )
        sole = self._find_only_version(plan, came_s, told) if origin is None else None
        log.info(
            "stream_taken_up",
            request=plan.call.id,
            resumes=plan.call.resumes,
            began=origin.backend if origin is not None else "",
            software=origin.software if origin is not None else sole,
            known_by="origin" if origin is not None else "only version" if sole is not None else "",
            waited_ms=round((self._observed.clock() - came_s) * 1000),
        )
        return origin, sole

    def _find_only_version(self, plan: Plan, came_s: float, told: SoleVersion | None) -> str | None:
        """Return the only version that can have begun a stream, by this VM or by a peer.

        The stream may have begun after this VM's last reading of the platform, at a version that
        has come since, so that only a reading after the call came is a proof.

        :param came_s: clock at which the call came, in seconds
        :param told: the version that a peer names, ``None`` without one
        """
        if self._find_observed(plan, came_s, told) is None:
            return None
        left_s = plan.until_s - time.monotonic()
        if not self._observed.await_reading(came_s, min(MAX_READING_WAIT_S, left_s)):
            log.info("software_unproved", request=plan.call.id, why="no reading of the platform")
            return None
        return self._find_observed(plan, came_s, told)

    def _find_observed(self, plan: Plan, came_s: float, told: SoleVersion | None) -> str | None:
        """Return the only version that the records so far and a peer's word leave."""
        service, observed = plan.service, self._observed
        window_s = plan.route.timeout_s + observed.clock() - came_s
        sole = observed.find_sole(service, window_s, 0.0)
        if sole is None and told is not None:
            is_only = observed.is_only_since(service, told.software, told.until_s)
            sole = told.software if is_only else None
        backends = self._find_backends().values()
        present = {backend.software for backend in backends if backend.service == service}
        return sole if present <= {sole} else None

    def record_first_event(self, plan: Plan, progress: CallProgress) -> None:
        """Record where a stream began, or that it goes on, as an attempt's first event comes.

        :param plan: the call's plan
        :param progress: the call's progress; the stream's origin is added to it
        """
        if progress.origin is None:
            backend, call = progress.backend, plan.call
            taken_up = call.last_event is not None and call.resumes
            progress.origin = Origin(
                call.resumes if taken_up else call.id,
                plan.customer,
                backend.software,
                backend.name,
                backend.born,
                round(self._wall_clock() * 1000),
            )
        if plan.route.repeat is Repeat.RESUME:
            self._announce(progress.origin)
