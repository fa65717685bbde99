"""Acquisition of slots on model runners from the coordinator of the pool."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import msgspec
from gevent.event import AsyncResult

from balsamtally.errors import BalsamtallyError, LinkError, NoBackend
from balsamtally.links import Links
from balsamtally.logs import log
from balsamtally.messages import Ask, Grant, QueueState, Refuse, Release, Renew, Revoke, Withdraw
from balsamtally.routes import Routes

ASK_TIMEOUT_S = 0.25
RENEW_EVERY_S = 2.0
CHECK_INTERVAL_S = 0.5
REASK_INTERVAL_S = 2.0
DISCONNECT_CHECK_S = 0.5
MAX_COORDINATORS_ASKED = 4


class CallerVanished(Exception):
    """The caller closed its connection."""


@dataclass
class Slot:
    """A slot on a model runner that one attempt uses under a grant.

    :ivar grant: the grant
    :ivar pool: name of the model
    :ivar coordinator: name of the entry VM that made the grant
    :ivar revoke: called when the coordinator revokes the grant
    :ivar revoked: whether the coordinator has revoked the grant
    """

    grant: Grant
    pool: str
    coordinator: str
    revoke: Callable[[], None] = field(default=lambda: None)
    revoked: bool = False


class Slots:
    """Acquires, renews and releases slots, as a context manager.

    :param links: links to the other entry VMs
    :param routes: routes to the coordinators
    :param choose_domain: returns the name of the failure domain that should serve a request,
        given the queue state that the coordinator in the local domain reported
    """

    def __init__(
        self, links: Links, routes: Routes, choose_domain: Callable[[Ask, QueueState], str]
    ):
        self.links = links
        self.routes = routes
        self.choose_domain = choose_domain
        self.held: dict[str, Slot] = {}
        self._pending: dict[tuple[str, int], AsyncResult] = {}
        self._pending_coordinators: dict[tuple[str, int], tuple[str, str]] = {}
        self._unreachable_at: dict[str, float] = {}
        self._renewal_task = None
        links.handle(Grant, self._handle_grant)
        links.handle(Refuse, self._handle_refuse)
        links.handle(Revoke, self._handle_revoke)

    def __enter__(self) -> "Slots":
        self._renewal_task = gevent.spawn(self._renew_grants)
        return self

    def __exit__(self, *exc_info) -> None:
        self._renewal_task.kill()

    def acquire(self, ask: Ask, has_disconnected: Callable[[], bool]) -> Slot:
        """Wait for a slot.

        :param ask: the ask to send to a coordinator
        :param has_disconnected: returns whether the caller has closed its connection
        :return: the slot, to be released by :meth:`release`
        :raises CapacityError: if the request was shed
        :raises CallerVanished: if the caller has closed its connection
        """
        key = (ask.request, ask.attempt)
        result = self._pending[key] = AsyncResult()
        asked_at, started_at = 0.0, time.monotonic()
        domain, coordinator = self.routes.domain, ""
        try:
            while True:
                now = time.monotonic()
                is_unreachable = self._unreachable_at.get(coordinator, 0.0) > asked_at
                is_removed = coordinator not in self.routes.list_members(domain)
                if is_unreachable or is_removed or now - asked_at >= REASK_INTERVAL_S:
                    updated = msgspec.structs.replace(ask, waited_s=ask.waited_s + now - started_at)
                    domain, coordinator = self._ask_with_spillover(updated, domain, coordinator)
                    self._pending_coordinators[key] = (coordinator, ask.pool)
                    asked_at = now
                result.wait(DISCONNECT_CHECK_S)
                if result.ready():
                    return self._accept(result.get(), ask.pool)
                if has_disconnected():
                    self.links.cast(coordinator, Withdraw(ask.request, ask.pool, ask.attempt))
                    raise CallerVanished
        finally:
            self._pending.pop(key, None)
            self._pending_coordinators.pop(key, None)

    def release(self, slot: Slot, release: Release) -> None:
        """Release a slot.

        :param slot: the slot
        :param release: the message to the coordinator with the outcome of the attempt
        """
        self.held.pop(slot.grant.grant, None)
        self.links.cast(slot.coordinator, release)

    def _ask_with_spillover(self, ask: Ask, domain: str, previous: str) -> tuple[str, str]:
        """Ask in the given domain, and in another if the request would miss its target locally.

        :param ask: the request
        :param domain: failure domain of the last ask, at first the local domain
        :param previous: coordinator of the last ask, empty if there was none
        :return: the failure domain and the coordinator that now queue the request
        """
        coordinator, state = self._ask_domain(ask, domain, previous)
        if domain != self.routes.domain or state.grant is not None:
            return domain, coordinator
        chosen = self.choose_domain(ask, state)
        if chosen == domain and not state.runners:
            raise NoBackend(f"no reachable model runner serves {ask.pool}")
        if chosen == domain:
            return domain, coordinator
        try:
            remote_coordinator, _ = self._ask_domain(ask, chosen, "")
        except NoBackend:
            if not state.runners:
                raise
            return domain, coordinator
        self.links.cast(coordinator, Withdraw(ask.request, ask.pool, ask.attempt))
        return chosen, remote_coordinator

    def _ask_domain(self, ask: Ask, domain: str, previous: str) -> tuple[str, QueueState]:
        error: BalsamtallyError = NoBackend("no coordinator is known")
        ranked = self.routes.rank(ask, domain)
        if previous in ranked:
            ranked = [previous, *(name for name in ranked if name != previous)]
        for name in ranked[:MAX_COORDINATORS_ASKED]:
            try:
                state = self.links.call(name, ask, ASK_TIMEOUT_S)
            except LinkError as failed:
                error = failed
                log.warning(
                    "coordinator_unreachable",
                    request=ask.request,
                    coordinator=name,
                    why=str(failed),
                )
                continue
            self.routes.record_state(name, ask.pool, state)
            if state.grant is not None:
                self._handle_grant(name, state.grant)
            return name, state
        raise NoBackend(str(error))

    def _accept(self, answer: tuple[str, Grant | Refuse], pool: str) -> Slot:
        sender, message = answer
        if isinstance(message, Refuse):
            raise message.error.restore()
        slot = Slot(message, pool, sender)
        self.held[message.grant] = slot
        return slot

    def _handle_grant(self, sender: str, grant: Grant) -> None:
        result = self._pending.get((grant.request, grant.attempt))
        if result is not None and not result.ready():
            result.set((sender, grant))
            return
        is_pending_grant = result is not None and result.get()[1] == grant
        if grant.grant not in self.held and not is_pending_grant:
            self.links.cast(sender, Release(grant.grant, ""))

    def _handle_refuse(self, sender: str, refuse: Refuse) -> None:
        result = self._pending.get((refuse.request, refuse.attempt))
        if result is not None and not result.ready():
            result.set((sender, refuse))

    def _handle_revoke(self, sender: str, revoke: Revoke) -> None:
        slot = self.held.get(revoke.grant)
        if slot is not None and not slot.revoked:
            slot.revoked = True
            slot.revoke()

    def _renew_grants(self) -> None:
        """Renew the grants in use, and detect coordinators that don't reply."""
        renewed_at = 0.0
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            groups: dict[tuple[str, str], list[str]] = {}
            if time.monotonic() - renewed_at >= RENEW_EVERY_S:
                groups = self._group_grants()
                renewed_at = time.monotonic()
            awaited = set(self._pending_coordinators.values())
            for key in awaited | groups.keys():
                coordinator, pool = key
                message = Renew(pool, tuple(groups.get(key, ())))
                if key in awaited:
                    gevent.spawn(self._check_coordinator, coordinator, message)
                else:
                    self.links.cast(coordinator, message)

    def _check_coordinator(self, coordinator: str, message: Renew) -> None:
        """Renew by a call, and mark the coordinator as unreachable if it doesn't reply."""
        try:
            self.links.call(coordinator, message, ASK_TIMEOUT_S)
        except LinkError as error:
            self._unreachable_at[coordinator] = time.monotonic()
            log.warning("coordinator_lost", coordinator=coordinator, why=str(error))

    def _group_grants(self) -> dict[tuple[str, str], list[str]]:
        groups: dict[tuple[str, str], list[str]] = {}
        for slot in self.held.values():
            owner = self.routes.find_coordinator(slot.pool, slot.grant.runner)
            for name in {slot.coordinator, owner or slot.coordinator}:
                groups.setdefault((name, slot.pool), []).append(slot.grant.grant)
        return groups
