"""Estimates which prompt parts are in the prefix caches of the model runners.

The estimate rests on the prompts that are known to have been sent to each runner. Many requests
share long prompt prefixes: a request sent to a runner that has the prefix in its cache costs a
third of the prompt tokens.
"""

from collections import OrderedDict
from collections.abc import Sequence

from balsamtally.calls import PromptPart

# Share of a runner's memory assumed to hold cached prompt parts; running requests need the rest.
CACHED_SHARE = 0.6

# Smallest size of a cached part in tokens. By their data sheets, engines cache whole blocks, so
# that even an empty part takes memory.
BLOCK_TOKENS = 16


class PrefixCache:
    """Estimated prefix cache of one model runner, with least-recently-used eviction.

    :param memory_tokens: capacity of the runner's memory in tokens
    """

    def __init__(self, memory_tokens: int):
        self._capacity_tokens = int(memory_tokens * CACHED_SHARE)
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0

    def count_cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return how many prompt tokens are cached, in whole parts from the prompt's start.

        :param parts: the parts of the prompt in order
        """
        cached_tokens = 0
        for part in parts:
            if part.name not in self._cached:
                break
            cached_tokens += part.tokens
        return cached_tokens

    def record_read(self, parts: Sequence[PromptPart]) -> None:
        """Record that the runner has processed a prompt.

        :param parts: the parts of the prompt in order
        """
        for part in reversed(parts):
            tokens = max(part.tokens, BLOCK_TOKENS)
            self._cached_tokens += tokens - self._cached.pop(part.name, 0)
            self._cached[part.name] = tokens
        while self._cached_tokens > self._capacity_tokens and self._cached:
            _, tokens = self._cached.popitem(last=False)
            self._cached_tokens -= tokens
