"""The answers that the stand-ins give, so that any test can work out the whole of one."""

import json
import math
from collections.abc import Sequence

import xxhash

WORDS = (
    "dune mask rider paste helmet waiver pigment river ledger beach straw clay drum sand bamboo oar"
)
VOCABULARY = WORDS.split()
MEDIAN_TOKENS = 48
LENGTH_SIGMA = 0.8
LONGEST_ANSWER_TOKENS = 2000
CHARACTERS_PER_TOKEN = 4
BLOCK_CHARACTERS = 256
NORMAL_DRAWS = 12


def join_prompt(messages: Sequence[dict]) -> str:
    """Return the text of a conversation from which its answer is derived.

    :param messages: messages of a chat request
    :return: one text with roles and contents
    """
    return "\n".join(f"{message.get('role')}: {message.get('content')}" for message in messages)


def count_tokens(text: str) -> int:
    """Return the number of tokens that a prompt counts for.

    :param text: text of the prompt
    :return: tokens, 1 or more
    """
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def answer_length(prompt: str) -> int:
    """Return the length of the whole answer, lognormal over prompts.

    :param prompt: text of the prompt
    :return: length in tokens
    """
    digest = xxhash.xxh3_128_digest(prompt.encode())[:NORMAL_DRAWS]
    normal = (sum(digest) - NORMAL_DRAWS * 127.5) / (256 * math.sqrt(NORMAL_DRAWS / 12))
    length = round(MEDIAN_TOKENS * math.exp(LENGTH_SIGMA * normal))
    return min(LONGEST_ANSWER_TOKENS, max(1, length))


def answer_tokens(prompt: str, max_tokens: int | None = None) -> list[str]:
    """Return the whole answer to a prompt.

    :param prompt: text of the prompt, see :func:`join_prompt`
    :param max_tokens: most tokens, ``None`` for no bound
    :return: the tokens
    """
    length = answer_length(prompt)
    if max_tokens is not None:
        length = min(length, max_tokens)
    seed = xxhash.xxh3_64_intdigest(prompt.encode())
    tokens = []
    for position in range(length):
        draw = xxhash.xxh3_64_intdigest(position.to_bytes(4, "big"), seed)
        tokens.append(f"{VOCABULARY[draw % len(VOCABULARY)]}{draw >> 52:x} ")
    return tokens


def continue_answer(prompt: str, held: str, max_tokens: int | None) -> tuple[list[str], bool]:
    """Return the rest of an answer of which the caller holds the beginning.

    :param prompt: text of the prompt without the beginning of the answer
    :param held: beginning of the answer
    :param max_tokens: most tokens of the rest, ``None`` for no bound
    :return: the tokens of the rest, and whether the answer ends there by itself
    """
    whole = answer_tokens(prompt)
    if not "".join(whole).startswith(held):
        whole = answer_tokens(f"{prompt}\nassistant: {held}")
        held = ""
    offset = 0
    while whole and offset + len(whole[0]) <= len(held):
        offset += len(whole.pop(0))
    if whole and offset < len(held):
        whole[0] = whole[0][len(held) - offset :]
    if max_tokens is None or len(whole) <= max_tokens:
        return whole, True
    return whole[:max_tokens], False


def hash_blocks(prompt: str) -> list[int]:
    """Return the hashes of the prefixes of a prompt, the shortest first.

    :param prompt: text of the prompt
    :return: a hash for each whole block, which covers all text up to the block's end
    """
    hasher = xxhash.xxh3_64()
    blocks = []
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        hasher.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(hasher.intdigest())
    return blocks


def service_answer(operation: str, body: bytes) -> bytes:
    """Return the answer of the plain service.

    :param operation: name of the operation
    :param body: body of the call
    :return: JSON text
    """
    result = xxhash.xxh3_64_hexdigest(operation.encode() + b"\0" + body)
    return json.dumps({"operation": operation, "result": result}).encode()
