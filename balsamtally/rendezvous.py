"""Rendezvous hashing: assigns tasks to members without coordination."""

from collections.abc import Iterable

import xxhash


def rank_members(task: str, members: Iterable[str]) -> list[str]:
    """Return the members ranked for a task; all VMs compute the same order.

    :param task: name of the task
    :param members: names of the members
    :return: the names, highest rank first
    """
    return sorted(
        members, key=lambda name: (xxhash.xxh3_64_intdigest(f"{task}\0{name}".encode()), name)
    )
