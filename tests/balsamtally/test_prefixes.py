"""What runners hold of prompts, against a naive memory."""

from hypothesis import given
from hypothesis import strategies as st

from balsamtally.calls import PromptPart
from balsamtally.prefixes import CACHED_SHARE, PrefixCache

PROMPTS = st.lists(
    st.lists(st.sampled_from("abcdef"), min_size=1, max_size=3, unique=True), max_size=20
)


def make_parts(names):
    return tuple(PromptPart(name, 20 * (ord(name) - 96)) for name in names)


@given(PROMPTS)
def test_holds_the_parts_used_last_within_its_room(prompts):
    room = 200
    cache = PrefixCache(int(room / CACHED_SHARE) + 1)
    used = []
    for names in prompts:
        cache.record_read(make_parts(names))
        for name in reversed(names):
            used = [other for other in used if other != name] + [name]
        while sum(part.tokens for part in make_parts(used)) > room:
            used.pop(0)
    for names in (*prompts, "abc"):
        expected = 0
        for part in make_parts(names):
            if part.name not in used:
                break
            expected += part.tokens
        assert cache.count_cached_tokens(make_parts(names)) == expected


def test_parts_without_tokens_take_bounded_memory():
    cache = PrefixCache(1600)
    for number in range(5000):
        cache.record_read([PromptPart(f"p{number}", 0)])
    assert len(cache._held) <= 1600 * CACHED_SHARE / 16
