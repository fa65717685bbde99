"""Which model runners are kept free of long prompts for streams with a close bound on pauses.

Load pattern: short prompts whose answers may hardly pause, beside prompts of ten thousand tokens.
An engine reads prompts in chunks between the tokens of the answers that run, so that each event
beside a long prompt takes as long as the chunks between its tokens. Where that is about the bound,
no order of prompts at the runner helps: the streams need runners that read little. Those are the
first few in an order that each entry VM works out alike, as many as the streams take; other calls
go to the rest.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from balsamtally.rendezvous import rank_members
from balsamtally.selection import Candidate

# A bound on pauses is close if an event beside a long prompt takes this part of it on average: of
# the longest pauses of streams, most lie within a third of their mean.
CLOSE_SHARE = 0.7
# Of a service's streams only those are kept apart whose bound is within this factor of the closest.
LIKE_FACTOR = 1.25
# Slots of a kept runner that streams are given before another one is kept; bursts take the rest.
FILL_SHARE = 0.6
# Most runners that are kept, so that long prompts have the others.
MAX_KEPT_SHARE = 0.34
# Runners of a region from which on some are kept in each region; with fewer, one serves all.
MIN_REGION_RUNNERS = 5
# Runners stay kept for so long after the streams that needed them; pauses between two bursts.
KEEP_S = 5.0


def is_close(gap_s: float, least_s: float, event_tokens: int, token_reading_s: float) -> bool:
    """Return whether long prompts read beside a stream make its pauses too long.

    :param gap_s: longest pause that is on time, in seconds
    :param least_s: the shortest such bound of the service's streams, in seconds
    :param event_tokens: tokens of an event, 0 where that isn't known
    :param token_reading_s: time for a token of an answer while prompts are read, in seconds
    """
    if gap_s > least_s * LIKE_FACTOR:
        return False
    return event_tokens * token_reading_s > gap_s * CLOSE_SHARE


def count_kept(streams: int, slots: int, runners: int) -> int:
    """Return how many runners are kept for streams.

    :param streams: streams with a close bound that run at a time
    :param slots: answers that a runner generates side by side
    :param runners: runners that there are
    """
    if not streams:
        return 0
    needed = math.ceil(streams / max(1.0, slots * FILL_SHARE))
    return min(needed, int(runners * MAX_KEPT_SHARE))


@dataclass
class Peak:
    """The most streams that ran at a time lately.

    :ivar count: how many
    :ivar at_s: steady clock when they last ran, in seconds
    """

    count: int = 0
    at_s: float = 0.0

    def note(self, count: int, now_s: float) -> None:
        """Take in how many streams run now.

        :param count: how many
        :param now_s: steady clock in seconds
        """
        if count >= self.count or now_s - self.at_s > KEEP_S:
            self.count, self.at_s = count, now_s


def choose_kept(service: str, candidates: Sequence[Candidate], streams: int) -> set[str]:
    """Return the names of the runners that are kept for streams.

    :param service: name of the service
    :param candidates: its runners
    :param streams: streams with a close bound that run at a time
    """
    home = [candidate for candidate in candidates if candidate.at_home]
    pool = home if len(home) >= MIN_REGION_RUNNERS else candidates
    if not pool:
        return set()
    count = count_kept(streams, pool[0].backend.slots, len(pool))
    return set(rank_members(service, [candidate.backend.name for candidate in pool])[:count])


def narrow(candidates: list[Candidate], kept: set[str], close: bool) -> list[Candidate]:
    """Return the runners that a call may go to.

    :param candidates: the runners
    :param kept: names of those that are kept for streams
    :param close: whether the call's answer is a stream with a close bound
    """
    own = [candidate for candidate in candidates if (candidate.backend.name in kept) == close]
    if close:
        own = [candidate for candidate in own if candidate.running < candidate.backend.slots]
    return own or candidates
