"""Deterministic answers of the stand-ins, so that a test can compute the expected answer."""

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
MAX_ANSWER_TOKENS = 2000
CHARACTERS_PER_TOKEN = 4
BLOCK_CHARACTERS = 256
UNIFORM_SAMPLES = 12


def join_prompt(messages: Sequence[dict]) -> str:
    """Return a conversation as one text, from which its answer is derived.

    :param messages: messages of a chat request
    :return: roles and contents, one message a line
    """
    return "\n".join(f"{message.get('role')}: {message.get('content')}" for message in messages)


def count_tokens(text: str) -> int:
    """Return the number of tokens of a prompt.

    :param text: text of the prompt
    :return: number of tokens, at least 1
    """
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def answer_length(prompt: str) -> int:
    """Return the length of the complete answer, which is lognormally distributed over prompts.

    :param prompt: text of the prompt
    :return: length in tokens
    """
    digest = xxhash.xxh3_128_digest(prompt.encode())[:UNIFORM_SAMPLES]
    normal = (sum(digest) - UNIFORM_SAMPLES * 127.5) / (256 * math.sqrt(UNIFORM_SAMPLES / 12))
    length = round(MEDIAN_TOKENS * math.exp(LENGTH_SIGMA * normal))
    return min(MAX_ANSWER_TOKENS, max(1, length))


def answer_tokens(prompt: str, max_tokens: int | None = None) -> list[str]:
    """Return the complete answer to a prompt.

    :param prompt: text of the prompt, see :func:`join_prompt`
    :param max_tokens: maximum number of tokens, ``None`` for no limit
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
    """Return the continuation of an answer whose beginning the caller has.

    If ``held`` is not a beginning of the answer to the prompt, it counts as part of the prompt.

    :param prompt: text of the prompt without the beginning of the answer
    :param held: beginning of the answer, as held by the caller
    :param max_tokens: maximum number of tokens to return, ``None`` for no limit
    :return: the remaining tokens, and whether the answer is complete with them
    """
    remaining = answer_tokens(prompt)
    if not "".join(remaining).startswith(held):
        remaining = answer_tokens(f"{prompt}\nassistant: {held}")
        held = ""
    offset = 0
    while remaining and offset + len(remaining[0]) <= len(held):
        offset += len(remaining.pop(0))
    if remaining and offset < len(held):
        remaining[0] = remaining[0][len(held) - offset :]
    if max_tokens is None or len(remaining) <= max_tokens:
        return remaining, True
    return remaining[:max_tokens], False


def hash_blocks(prompt: str) -> list[int]:
    """Return the hashes of a prompt's block-aligned prefixes, shortest first.

    :param prompt: text of the prompt
    :return: one hash for each complete block, over all text up to the end of the block
    """
    hasher = xxhash.xxh3_64()
    blocks = []
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        hasher.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(hasher.intdigest())
    return blocks


def service_answer(operation: str, body: bytes) -> bytes:
    """Return the plain service's answer to a call.

    :param operation: name of the operation
    :param body: body of the call
    :return: JSON text
    """
    result = xxhash.xxh3_64_hexdigest(operation.encode() + b"\0" + body)
    return json.dumps({"operation": operation, "result": result}).encode()
