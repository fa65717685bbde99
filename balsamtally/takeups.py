"""Decides at which software version a stream goes on, within one answer or over a caller's tries.

What two versions write doesn't fit together, and backend servers don't check it. A caller that
takes a stream up names the attempt that brought its first event, which another entry VM may have
served.
"""

import time
from collections.abc import Callable, Mapping

from balsamtally.calls import Backend, Repeat
from balsamtally.errors import SoftwareUnknown
from balsamtally.logs import log
from balsamtally.origins import Origin, find_software
from balsamtally.plans import CallProgress, Plan

# A VM that has lost its records may learn of a stream from its peers within a second.
RETRY_AFTER_S = 1.0


class TakeUps:
    """Finds the software version that began a stream.

    :param find_origin: returns the origin of a stream as this VM or a peer knows it, and otherwise
        the only version that can have begun it, from the id of the attempt, the customer, the
        service and the longest time since the stream began in seconds; ``None`` for what isn't
        known
    :param find_sole: returns the only version that can have begun a stream of a service within a
        time in seconds, ``None`` if there are several or this VM can't tell
    :param announce: records an origin and tells it to peers
    :param find_backends: returns the known backend servers by name
    :param wall_clock: Unix time in seconds
    """

    def __init__(
        self,
        find_origin: Callable[[str, str, str, float], tuple[Origin | None, str | None]],
        find_sole: Callable[[str, float], str | None],
        announce: Callable[[Origin], None],
        find_backends: Callable[[], Mapping[str, Backend]],
        wall_clock: Callable[[], float] = time.time,
    ):
        self._find_origin = find_origin
        self._find_sole = find_sole
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
            raise SoftwareUnknown(retry_after_s=RETRY_AFTER_S)
        return software

    def _find_unknown(self, plan: Plan) -> tuple[Origin | None, str | None]:
        """Return the origin of a stream that a caller takes up, else the only possible version."""
        service, window_s = plan.service, plan.route.timeout_s
        origin, told = None, None
        if plan.call.resumes:
            origin, told = self._find_origin(plan.call.resumes, plan.customer, service, window_s)
        sole = self._find_only_version(service, window_s, told) if origin is None else None
        log.info(
            "stream_taken_up",
            request=plan.call.id,
            resumes=plan.call.resumes,
            began=origin.backend if origin is not None else "",
            software=origin.software if origin is not None else sole,
            known_by="origin" if origin is not None else "only version" if sole is not None else "",
        )
        return origin, sole

    def _find_only_version(self, service: str, window_s: float, told: str | None) -> str | None:
        """Return the only version that can have begun a stream, by this VM or by a peer.

        A peer's word doesn't count against an entry that it may not have read yet.

        :param told: the version that a peer names, ``None`` without one
        """
        sole = self._find_sole(service, window_s)
        if sole is None:
            sole = told
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
