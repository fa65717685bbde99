"""The entry VMs that this one knows, from heartbeats and from the platform's list."""

import time
from collections.abc import Callable, Iterable

from balsamtally.machines import EntryVm


class Members:
    """The entry VMs of the system as this one sees them.

    :param own: this entry VM
    :param clock: monotonic clock in seconds
    """

    def __init__(self, own: EntryVm, clock: Callable[[], float] = time.monotonic):
        self.own = own
        self._clock = clock
        self._known: dict[str, EntryVm] = {own.name: own}

    def learn_listed(self, vms: Iterable[EntryVm]) -> None:
        """Take in the platform's list.

        :param vms: the entry VMs on it
        """
        for vm in vms:
            if vm.name != self.own.name:
                self._known[vm.name] = vm

    def list_domain(self) -> list[EntryVm]:
        """Return the live entry VMs of the own failure domain that aren't leaving."""
        return [vm for vm in self.list_all() if vm.domain == self.own.domain]

    def list_all(self) -> list[EntryVm]:
        """Return the live entry VMs that aren't leaving, by name."""
        found = [vm for vm in self._known.values() if not vm.leaving]
        return sorted(found, key=lambda vm: vm.name)

    def find(self, name: str) -> EntryVm | None:
        """Return an entry VM, also one that is leaving or no longer answers.

        :param name: its name
        :return: the entry VM, or ``None``
        """
        return self._known.get(name)
