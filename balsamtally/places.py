"""Places at brittle servers, which fail if all entry VMs together send them more than they can run.

The decider of such a server counts the calls that run there and sends or permits no more than the
server has slots. Its own calls and those that it placed for its region count from the placement on,
those of other regions from the permit on, until beats tell of them.
"""

from collections import defaultdict
from collections.abc import Callable, Collection

from balsamtally.calls import Backend
from balsamtally.departures import Incarnation

# A place that is unused for this time after the ask is no longer valid.
PLACE_TTL_S = 0.2
# A permitted call counts for this time, until beats of its region count it: a place may be used
# until its end, and beats are sent each 0.1 s.
GRANTED_S = PLACE_TTL_S + 0.15
# A new decider learns in this time of the calls that its predecessor placed.
SETTLE_S = 0.3
# Time over which a server counts its refusals, and a margin for their different ways.
REFUSALS_WINDOW_S = 1.1


class Places:
    """The free places at the brittle servers that this entry VM decides on.

    :param count_running: returns how many calls of all entry VMs run at a backend server
    :param clock: monotonic clock in seconds
    """

    def __init__(self, count_running: Callable[[str], int], clock: Callable[[], float]):
        self._count_running = count_running
        self._clock = clock
        self._granted_s: dict[Incarnation, list[float]] = defaultdict(list)
        self._refused_until_s: dict[Incarnation, float] = {}

    def count_free(self, backend: Backend, share: float, decided_s: float) -> int:
        """Return how many calls may be sent to a brittle server now.

        :param backend: the incarnation
        :param share: part of its slots that this entry VM and those that it hears may use
        :param decided_s: monotonic clock since which this entry VM decides, in seconds
        """
        now = self._clock()
        if now - decided_s < SETTLE_S or self._refused_until_s.get(backend.key, 0.0) > now:
            return 0
        granted_s = [
            at_s for at_s in self._granted_s.get(backend.key, ()) if now - at_s < GRANTED_S
        ]
        if granted_s:
            self._granted_s[backend.key] = granted_s
        else:
            self._granted_s.pop(backend.key, None)
        taken = self._count_running(backend.name) + len(granted_s)
        return max(0, count_usable(backend, share) - taken)

    def record_grant(self, key: Incarnation, count: int) -> None:
        """Record places that were granted to another entry VM.

        :param key: identity of the server's incarnation
        :param count: the number of places
        """
        self._granted_s[key] += [self._clock()] * count

    def record_refusal(self, key: Incarnation, tolerated: int) -> None:
        """Record that a brittle server refused a call; it gets none for a time.

        :param key: identity of its incarnation
        :param tolerated: refusals within a second that it tolerates
        """
        self._refused_until_s[key] = self._clock() + REFUSALS_WINDOW_S / max(1, tolerated)

    def keep_only(self, keys: Collection[Incarnation]) -> None:
        """Drop the state of all other servers.

        :param keys: identities of the incarnations to keep
        """
        for held in (self._granted_s, self._refused_until_s):
            for key in [key for key in held if key not in keys]:
                del held[key]


def count_usable(backend: Backend, share: float) -> int:
    """Return how many places at a server an entry VM and those that it hears may use together.

    :param backend: the incarnation
    :param share: their part of the slots, from 0 to 1
    """
    return max(1, int(backend.slots * share)) if share > 0 else 0
