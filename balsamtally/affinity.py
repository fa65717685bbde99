"""Hints on which runners hold the prefix of a prompt in their cache."""

from collections.abc import Callable, Iterable, Sequence
from itertools import islice

import xxhash
from cachetools import LRUCache

MAX_BLOCKS = 20_000
MAX_HOLDERS = 4
MAX_PREFIX_BLOCKS = 32
BLOCK_BYTES = 256
HINT_S = 300.0
AFFINITY_MARGIN = 0.25
"""Part of a runner's speed that may be given up for a cached prefix."""


def hash_prefix(prompt: bytes) -> tuple[int, ...]:
    """Return hashes of a prompt's prefixes, one for each whole block.

    :param prompt: text of the prompt
    :return: the hashes, that of the shortest prefix first
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
    """Which runners seem to hold which prefix blocks, in bounded memory.

    The hints come from the coordinator's own grants and from the engines' cache events, which
    come late and with gaps. After a gap the older hints on the runner hold no longer, since a
    removal may have been missed. A hint that is wrong costs a cache miss and nothing else.

    :param clock: returns seconds that never go back
    :param max_blocks: most blocks remembered
    """

    def __init__(self, clock: Callable[[], float], max_blocks: int = MAX_BLOCKS):
        self.clock = clock
        self.blocks: LRUCache = LRUCache(max_blocks)
        self.sequences: dict[str, int] = {}
        self.forgotten_at: dict[str, float] = {}

    def record_grant(self, runner: str, prefix: Sequence[int]) -> None:
        """Remember that a runner is about to hold a prefix.

        :param runner: name of the runner
        :param prefix: hashes of the prefix blocks, the shortest first
        """
        for block in islice(prefix, MAX_PREFIX_BLOCKS):
            self._store(runner, block)

    def note_events(
        self, runner: str, sequence: int, stored: Iterable[int], removed: Iterable[int]
    ) -> None:
        """Take in cache events of a runner; those that came before are ignored.

        :param runner: name of the runner
        :param sequence: number of the event
        :param stored: blocks that it stored
        :param removed: blocks that it removed
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
        """Stop trusting what is remembered of a runner, as after its restart.

        :param runner: name of the runner
        """
        self.forgotten_at[runner] = self.clock()

    def match(self, prefix: Sequence[int]) -> dict[str, float]:
        """Return which part of a prefix each runner seems to hold.

        :param prefix: hashes of the prefix blocks, the shortest first
        :return: part by name of runner, above 0 to 1; others hold none
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
