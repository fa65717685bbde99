"""Routes to the coordinators of a pool, at home and in the other failure domains."""

import time
from collections.abc import Callable
from typing import TypeVar

from balsamtally.facts import Facts
from balsamtally.load import RunnerView
from balsamtally.machines import BackendServer
from balsamtally.members import Members
from balsamtally.messages import Ask, QueueState
from balsamtally.rendezvous import rank_members
from balsamtally.shards import (
    QueueView,
    divide_runners,
    list_coordinators,
    rank_coordinators,
)

T = TypeVar("T")


class Routes:
    """Who coordinates what, as this entry VM sees it.

    :param domain: own failure domain
    :param facts: the state in force
    :param members: the entry VMs
    """

    def __init__(self, domain: str, facts: Facts, members: Members):
        self.domain = domain
        self.facts = facts
        self.members = members
        self._states: dict[tuple[str, str], tuple[QueueState, float]] = {}
        self._changes = 0
        self._remembered: dict[tuple, object] = {}
        self._remembered_for: tuple[int, int] = (0, 0)
        facts.watch(self._note_change)

    def _note_change(self, changed: object) -> None:
        self._changes += 1

    def _remember(self, key: tuple, find: Callable[..., T], *arguments) -> T:
        """Return what was found before, as long as neither tickets nor members changed."""
        version = (self._changes, self.members.version)
        if version != self._remembered_for:
            self._remembered.clear()
            self._remembered_for = version
        if key not in self._remembered:
            self._remembered[key] = find(*arguments)
        return self._remembered[key]

    def list_runners(self, pool: str, domain: str) -> list[BackendServer]:
        """Return the model runners of a pool in a failure domain, by name.

        :param pool: name of the model
        :param domain: name of the failure domain
        """
        key = ("runners", pool, domain)
        return self._remember(key, self._find_runners, pool, domain)

    def _find_runners(self, pool: str, domain: str) -> list[BackendServer]:
        return [
            server
            for server in self.facts.list(BackendServer)
            if server.role == "model" and server.domain == domain and pool in server.pools
        ]

    def list_domains(self, pool: str) -> list[str]:
        """Return the failure domains that have runners of a pool, by name.

        :param pool: name of the model
        """
        return self._remember(("domains", pool), self._find_domains, pool)

    def _find_domains(self, pool: str) -> list[str]:
        return sorted(
            {
                server.domain
                for server in self.facts.list(BackendServer)
                if server.role == "model" and pool in server.pools
            }
        )

    def list_members(self, domain: str) -> list[str]:
        """Return the names of the live entry VMs of a failure domain.

        :param domain: name of the failure domain
        """
        return self._remember(("members", domain), self._find_members, domain)

    def _find_members(self, domain: str) -> list[str]:
        return [vm.name for vm in self.members.list_all() if vm.domain == domain]

    def list_coordinators(self, pool: str, domain: str) -> list[str]:
        """Return the coordinators of a pool in a failure domain, the first choice first.

        :param pool: name of the model
        :param domain: name of the failure domain
        """
        key = ("coordinators", pool, domain)
        runners = len(self.list_runners(pool, domain))
        return self._remember(key, list_coordinators, pool, self.list_members(domain), runners)

    def rank(self, ask: Ask, domain: str) -> list[str]:
        """Return the entry VMs to ask for a slot, the first choice first.

        Behind the pool's coordinators stand the other entry VMs of the failure domain, which
        queue for it with a small share of its slots if no coordinator is in reach.

        :param ask: the request
        :param domain: name of the failure domain
        """
        names = self.list_coordinators(ask.pool, domain)
        ranked = rank_coordinators(ask.request, names, self._list_views(ask.pool, names))
        key = ("ranked", ask.pool, domain)
        task = f"queue/{ask.pool}"
        members = self._remember(key, rank_members, task, self.list_members(domain))
        return ranked + [name for name in members if name not in ranked]

    def find_coordinator(self, pool: str, runner: str) -> str | None:
        """Return the coordinator that has a runner.

        :param pool: name of the model
        :param runner: name of the runner
        :return: name of the entry VM, ``None`` if there is none
        """
        server = self.facts.find(BackendServer, runner)
        if server is None:
            return None
        divided = self._divide(pool, server.domain)
        return next((name for name, runners in divided.items() if runner in runners), None)

    def list_grantable_runners(
        self, pool: str, make_views: Callable[[list[BackendServer], str], list[RunnerView]]
    ) -> list[RunnerView]:
        """Return the runners that this entry VM may grant, as a coordinator of a pool.

        One that is no coordinator of the pool gets the share of one entry VM of each runner.

        :param pool: name of the model
        :param make_views: gives what is known of runners
        """
        own = self.members.own.name
        runners = self.list_runners(pool, self.domain)
        divided = self._divide(pool, self.domain)
        if own in divided:
            return make_views([server for server in runners if server.name in divided[own]], pool)
        members = max(1, len(self.list_members(self.domain)))
        return [share_view(view, members) for view in make_views(runners, pool)]

    def record_state(self, coordinator: str, pool: str, state: QueueState) -> None:
        """Take in what a coordinator told of its queue.

        :param coordinator: name of the entry VM
        :param pool: name of the model
        :param state: the state
        """
        self._states[(coordinator, pool)] = (state, time.monotonic())

    def _divide(self, pool: str, domain: str) -> dict[str, list[str]]:
        return self._remember(("divided", pool, domain), self._find_division, pool, domain)

    def _find_division(self, pool: str, domain: str) -> dict[str, list[str]]:
        runners = [server.name for server in self.list_runners(pool, domain)]
        return divide_runners(pool, self.list_coordinators(pool, domain), runners)

    def _list_views(self, pool: str, names: list[str]) -> dict[str, QueueView]:
        now = time.monotonic()
        views = {}
        for name in names:
            held = self._states.get((name, pool))
            if held is not None:
                state, at = held
                views[name] = QueueView(state.queued, state.slots, now - at)
        return views


def share_view(view: RunnerView, members: int) -> RunnerView:
    """Return the view of a runner with the share of slots that one entry VM may grant alone.

    :param view: the view
    :param members: entry VMs of the failure domain
    """
    return RunnerView(
        view.name,
        max(1, view.slots // members),
        view.leaving,
        view.weight,
        view.running,
        view.report_age_s,
    )
