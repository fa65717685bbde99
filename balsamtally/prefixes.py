"""Which prompt parts the model runners hold in their caches, as far as own sends tell.

Load pattern: many requests share the long beginnings of their prompts. Sent to the runner that read
the beginning before, a request costs it a third of the prompt tokens.
"""

from collections import OrderedDict
from collections.abc import Sequence

from balsamtally.calls import PromptPart

# Part of a runner's memory that cached parts are believed to take; running requests need the rest.
CACHED_SHARE = 0.6


# An engine keeps whole blocks of tokens, so that no part is free; the users' sheets.
BLOCK_TOKENS = 16


class PrefixCache:
    """What one model runner seems to hold, least recently used parts first to go.

    :param memory_tokens: the runner's memory in tokens
    """

    def __init__(self, memory_tokens: int):
        self._room_tokens = int(memory_tokens * CACHED_SHARE)
        self._held: OrderedDict[str, int] = OrderedDict()
        self._held_tokens = 0

    def count_cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return how many tokens of a prompt are held: whole parts from its beginning.

        :param parts: the prompt's parts in order
        """
        held = 0
        for part in parts:
            if part.name not in self._held:
                break
            held += part.tokens
        return held

    def record_read(self, parts: Sequence[PromptPart]) -> None:
        """Remember that the runner has read a prompt.

        :param parts: the prompt's parts in order
        """
        for part in reversed(parts):
            tokens = max(part.tokens, BLOCK_TOKENS)
            self._held_tokens += tokens - self._held.pop(part.name, 0)
            self._held[part.name] = tokens
        while self._held_tokens > self._room_tokens and self._held:
            _, tokens = self._held.popitem(last=False)
            self._held_tokens -= tokens
