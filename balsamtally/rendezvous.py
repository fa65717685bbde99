"""Rendezvous hashing: who does a task among the members that one sees."""

from collections.abc import Iterable

import xxhash


def rank_members(task: str, members: Iterable[str]) -> list[str]:
    """Return the members in the order in which they are to do a task.

    :param task: name of the task
    :param members: names of the members
    :return: the names, the first choice first
    """
    return sorted(
        members, key=lambda name: (xxhash.xxh3_64_intdigest(f"{task}\0{name}".encode()), name)
    )
