"""Bodies of chat requests: any bytes are a body that can be passed on, or a numbered error."""

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from balsamtally.bodies import decode_chat
from balsamtally.errors import MalformedBody

BODY = b'{"model":"m","messages":[{"role":"user","content":"x"}],"extra":%s}'
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=2), inner),
    max_leaves=9,
)


@pytest.mark.parametrize("levels", [200, 500, 950, 990, 1000, 100_000])
@pytest.mark.parametrize("ends", [(b"[", b"]"), (b'{"a":', b"}")])
def test_deeply_nested_body_is_refused_before_it_is_passed_on(levels, ends):
    start, end = ends
    with pytest.raises(MalformedBody):
        decode_chat(BODY % (start * levels + b"1" + end * levels))


@given(st.binary(max_size=50) | VALUES.map(msgspec.json.encode))
@example(b"1" * 5000)
@example(b"1e999")
@example(b'"\\ud800"')
def test_any_body_is_passed_on_as_it_came_or_refused(extra):
    for body in (extra, BODY % extra):
        try:
            raw, chat = decode_chat(body)
        except MalformedBody:
            continue
        assert msgspec.json.decode(msgspec.json.encode(raw)) == raw
        assert chat.model == "m"


def test_token_limit_that_no_message_can_carry_is_refused():
    for name in ("max_tokens", "max_completion_tokens"):
        with pytest.raises(MalformedBody):
            decode_chat(BODY.replace(b'"extra":%s', b'"%s":%d' % (name.encode(), 10**30)))
