"""Routes to the coordinators of a pool, in the local and the other failure domains."""

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
    """The coordinators of each pool, from this entry VM's view of tickets and membership.

    :param domain: own failure domain
    :param facts: the state in force
    :param members: the membership of the entry VMs
    """

    def __init__(self, domain: str, facts: Facts, members: Members):
        self.domain = domain
        self.facts = facts
        self.members = members
        self._states: dict[tuple[str, str], tuple[QueueState, float]] = {}
        self._facts_changes = 0
        self._cache: dict[tuple, object] = {}
        self._cache_version: tuple[int, int] = (0, 0)
        facts.watch(self._count_facts_change)

    def _count_facts_change(self, changed: object) -> None:
        self._facts_changes += 1

    def _get_cached(self, key: tuple, compute: Callable[..., T], *arguments) -> T:
        """Return a cached result, or compute it if tickets or members changed since."""
        version = (self._facts_changes, self.members.version)
        if version != self._cache_version:
            self._cache.clear()
            self._cache_version = version
        if key not in self._cache:
            self._cache[key] = compute(*arguments)
        return self._cache[key]

    def list_runners(self, pool: str, domain: str) -> list[BackendServer]:
        """Return the model runners of a pool in a failure domain, sorted by name.

        :param pool: name of the model
        :param domain: name of the failure domain
        """
        key = ("runners", pool, domain)
        return self._get_cached(key, self._find_runners, pool, domain)

    def _find_runners(self, pool: str, domain: str) -> list[BackendServer]:
        return [
            server
            for server in self.facts.list(BackendServer)
            if server.role == "model" and server.domain == domain and pool in server.pools
        ]

    def list_domains(self, pool: str) -> list[str]:
        """Return the names of the failure domains that have runners of a pool, sorted.

        :param pool: name of the model
        """
        return self._get_cached(("domains", pool), self._find_domains, pool)

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
        return self._get_cached(("members", domain), self._find_members, domain)

    def _find_members(self, domain: str) -> list[str]:
        return [vm.name for vm in self.members.list_all() if vm.domain == domain]

    def list_coordinators(self, pool: str, domain: str) -> list[str]:
        """Return the coordinators of a pool in a failure domain, in order of preference.

        :param pool: name of the model
        :param domain: name of the failure domain
        """
        key = ("coordinators", pool, domain)
        runners = len(self.list_runners(pool, domain))
        return self._get_cached(key, list_coordinators, pool, self.list_members(domain), runners)

    def rank(self, ask: Ask, domain: str) -> list[str]:
        """Return the entry VMs to ask for a slot, in order of preference.

        The pool's coordinators come first. The other entry VMs of the failure domain follow as
        a fallback: they grant a small share of the pool's slots if no coordinator is reachable.

        :param ask: the request
        :param domain: name of the failure domain
        """
        names = self.list_coordinators(ask.pool, domain)
        ranked = rank_coordinators(ask.request, names, self._list_views(ask.pool, names))
        key = ("ranked", ask.pool, domain)
        task = f"queue/{ask.pool}"
        members = self._get_cached(key, rank_members, task, self.list_members(domain))
        return ranked + [name for name in members if name not in ranked]

    def find_coordinator(self, pool: str, runner: str) -> str | None:
        """Return the coordinator that a runner is assigned to.

        :param pool: name of the model
        :param runner: name of the runner
        :return: name of the entry VM, or ``None`` if no coordinator has the runner
        """
        server = self.facts.find(BackendServer, runner)
        if server is None:
            return None
        divided = self._divide(pool, server.domain)
        return next((name for name, runners in divided.items() if runner in runners), None)

    def list_grantable_runners(
        self, pool: str, make_views: Callable[[list[BackendServer], str], list[RunnerView]]
    ) -> list[RunnerView]:
        """Return views of the runners of a pool whose slots this entry VM may grant.

        A coordinator of the pool may grant all slots of the runners assigned to it. Any other
        entry VM may grant an equal share, per entry VM, of the slots of every runner.

        :param pool: name of the model
        :param make_views: returns the views of a list of runners
        """
        own = self.members.own.name
        runners = self.list_runners(pool, self.domain)
        divided = self._divide(pool, self.domain)
        if own in divided:
            return make_views([server for server in runners if server.name in divided[own]], pool)
        members = max(1, len(self.list_members(self.domain)))
        return [reduce_slots(view, members) for view in make_views(runners, pool)]

    def record_state(self, coordinator: str, pool: str, state: QueueState) -> None:
        """Record the queue state that a coordinator reported.

        :param coordinator: name of the coordinator
        :param pool: name of the model
        :param state: the state of its queue
        """
        self._states[(coordinator, pool)] = (state, time.monotonic())

    def _divide(self, pool: str, domain: str) -> dict[str, list[str]]:
        return self._get_cached(("divided", pool, domain), self._find_division, pool, domain)

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


def reduce_slots(view: RunnerView, members: int) -> RunnerView:
    """Return a view of a runner with one entry VM's equal share of the slots, at least one.

    :param view: the view
    :param members: number of entry VMs of the failure domain
    """
    return RunnerView(
        view.name,
        max(1, view.slots // members),
        view.leaving,
        view.weight,
        view.running,
        view.report_age_s,
    )
