"""Hints of which runners hold the prefix of a prompt in their prefix cache."""

from collections.abc import Callable, Iterable, Sequence
from itertools import islice

import xxhash
from cachetools import LRUCache

MAX_BLOCKS = 20_000
# Runners that are remembered for one block, the most recent ones.
MAX_HOLDERS = 4
MAX_PREFIX_BLOCKS = 32
BLOCK_BYTES = 256
# Time-to-live of a hint.
HINT_S = 300.0
AFFINITY_MARGIN = 0.25
"""Share of a runner's speed that may be given up for a cached prefix."""


def hash_prefix(prompt: bytes) -> tuple[int, ...]:
    """Return hashes of a prompt's prefixes, one for each complete block.

    :param prompt: text of the prompt
    :return: the hashes, the one of the shortest prefix first
    """
    running = xxhash.xxh3_64()
    hashes = []
    for end in range(BLOCK_BYTES, len(prompt) + 1, BLOCK_BYTES):
        if len(hashes) == MAX_PREFIX_BLOCKS:
            break
        running.update(prompt[end - BLOCK_BYTES : end])
        hashes.append(running.intdigest())
    return tuple(hashes)


class PrefixHints:
    """Estimate of which runners hold which prefix blocks, in bounded memory.

    The hints come from the coordinator's own grants and from the engines' cache events, which may
    be delayed or lost. After a gap in the event sequence the older hints of the runner are invalid,
    since a removal may have been missed. A wrong hint costs only a cache miss.

    :param clock: monotonic clock in seconds
    :param max_blocks: largest number of remembered blocks
    """

    def __init__(self, clock: Callable[[], float], max_blocks: int = MAX_BLOCKS):
        self.clock = clock
        self.blocks: LRUCache = LRUCache(max_blocks)
        self.sequences: dict[str, int] = {}
        self.forgotten_at: dict[str, float] = {}

    def record_grant(self, runner: str, prefix: Sequence[int]) -> None:
        """Record that a runner will hold a prefix, as it was granted a request.

        :param runner: name of the runner
        :param prefix: hashes of the prefix blocks, the shortest first
        """
        for block in islice(prefix, MAX_PREFIX_BLOCKS):
            self._store(runner, block)

    def record_events(
        self, runner: str, sequence: int, stored: Iterable[int], removed: Iterable[int]
    ) -> None:
        """Record a cache event of a runner; duplicate and reordered events are ignored.

        :param runner: name of the runner
        :param sequence: sequence number of the event
        :param stored: blocks that the runner stored
        :param removed: blocks that the runner removed
        """
        last = self.sequences.get(runner)
        if last is not None and sequence <= last:
            return
        if last is not None and sequence > last + 1:
            self.forget_runner(runner)
        self.sequences[runner] = sequence
        for block in stored:
            self._store(runner, block)
        for block in removed:
            holders = self.blocks.get(block)
            if holders is not None:
                holders.pop(runner, None)

    def forget_runner(self, runner: str) -> None:
        """Invalidate the hints of a runner, such as after its restart.

        :param runner: name of the runner
        """
        self.forgotten_at[runner] = self.clock()

    def match(self, prefix: Sequence[int]) -> dict[str, float]:
        """Return the share of a prefix that each runner is expected to hold.

        :param prefix: hashes of the prefix blocks, the shortest first
        :return: share above 0 and up to 1 by name of the runner; other runners hold none
        """
        known = list(islice(prefix, MAX_PREFIX_BLOCKS))
        now = self.clock()
        matched: dict[str, float] = {}
        for length in range(len(known), 0, -1):
            for runner, seen_at in self.blocks.get(known[length - 1], {}).items():
                fresh = now - seen_at <= HINT_S
                if fresh and seen_at > self.forgotten_at.get(runner, -1.0):
                    matched.setdefault(runner, length / len(known))
        return matched

    def _store(self, runner: str, block: int) -> None:
        holders = self.blocks.get(block)
        if holders is None:
            holders = self.blocks[block] = {}
        holders.pop(runner, None)
        holders[runner] = self.clock()
        if len(holders) > MAX_HOLDERS:
            del holders[next(iter(holders))]
