"""Slots on model runners, as an entry VM obtains them from the pool's coordinator."""

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
CHECK_EVERY_S = 0.5
REASK_EVERY_S = 2.0
VANISHED_CHECK_S = 0.5
MAX_COORDINATORS_ASKED = 4


class CallerVanished(Exception):
    """The caller closed its connection."""


@dataclass
class Slot:
    """A slot on a model runner, in use by one attempt under its grant.

    :ivar grant: the grant
    :ivar pool: name of the model
    :ivar coordinator: name of the VM that made it
    :ivar revoke: called when the grant is taken back
    :ivar revoked: whether it was taken back
    """

    grant: Grant
    pool: str
    coordinator: str
    revoke: Callable[[], None] = field(default=lambda: None)
    revoked: bool = False


class Slots:
    """Asks for slots, holds the grants and gives them back; closed by context.

    :param links: links to the other entry VMs
    :param routes: who coordinates what
    :param choose_domain: gives the failure domain that is to serve a request, given what its
        coordinator at home told; the home domain or another
    """

    def __init__(
        self, links: Links, routes: Routes, choose_domain: Callable[[Ask, QueueState], str]
    ):
        self.links = links
        self.routes = routes
        self.choose_domain = choose_domain
        self.held: dict[str, Slot] = {}
        self._waiting: dict[tuple[str, int], AsyncResult] = {}
        self._asked: dict[tuple[str, int], tuple[str, str]] = {}
        self._lost_at: dict[str, float] = {}
        self._renewing = None
        links.handle(Grant, self._take_grant)
        links.handle(Refuse, self._take_refuse)
        links.handle(Revoke, self._take_revoke)

    def __enter__(self) -> "Slots":
        self._renewing = gevent.spawn(self._renew_grants)
        return self

    def __exit__(self, *exc_info) -> None:
        self._renewing.kill()

    def acquire(self, ask: Ask, has_vanished: Callable[[], bool]) -> Slot:
        """Wait for a slot.

        :param ask: what is needed
        :param has_vanished: tells whether the caller has left
        :return: the grant, to be given back by :meth:`release`
        :raises CapacityError: if the request was shed
        :raises CallerVanished: if the caller left
        """
        key = (ask.request, ask.attempt)
        result = self._waiting[key] = AsyncResult()
        asked_at, begun = 0.0, time.monotonic()
        domain, coordinator = self.routes.domain, ""
        try:
            while True:
                now = time.monotonic()
                is_lost = self._lost_at.get(coordinator, 0.0) > asked_at
                is_gone = coordinator not in self.routes.list_members(domain)
                if is_lost or is_gone or now - asked_at >= REASK_EVERY_S:
                    renewed = msgspec.structs.replace(ask, waited_s=ask.waited_s + now - begun)
                    domain, coordinator = self._ask_somewhere(renewed, domain, coordinator)
                    self._asked[key] = (coordinator, ask.pool)
                    asked_at = now
                result.wait(VANISHED_CHECK_S)
                if result.ready():
                    return self._accept(result.get(), ask.pool)
                if has_vanished():
                    self.links.cast(coordinator, Withdraw(ask.request, ask.pool))
                    raise CallerVanished
        finally:
            self._waiting.pop(key, None)
            self._asked.pop(key, None)

    def release(self, held: Slot, release: Release) -> None:
        """Give a slot back.

        :param held: the grant
        :param release: how it went
        """
        self.held.pop(held.grant.grant, None)
        self.links.cast(held.coordinator, release)

    def _ask_somewhere(self, ask: Ask, domain: str, previous: str) -> tuple[str, str]:
        """Ask at home first, and elsewhere if the request would miss its target there.

        :param ask: the request
        :param domain: failure domain that was asked before
        :param previous: coordinator that was asked before, empty if none was
        :return: the failure domain and the coordinator that have the request now
        """
        coordinator, state = self._ask_domain(ask, domain, previous)
        if domain != self.routes.domain or state.grant is not None:
            return domain, coordinator
        chosen = self.choose_domain(ask, state)
        if chosen == domain and not state.runners:
            raise NoBackend(f"no model runner in reach serves {ask.pool}")
        if chosen == domain:
            return domain, coordinator
        try:
            elsewhere, _ = self._ask_domain(ask, chosen, "")
        except NoBackend:
            if not state.runners:
                raise
            return domain, coordinator
        self.links.cast(coordinator, Withdraw(ask.request, ask.pool))
        return chosen, elsewhere

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
            self.routes.note_state(name, ask.pool, state)
            if state.grant is not None:
                self._take_grant(name, state.grant)
            return name, state
        raise NoBackend(str(error))

    def _accept(self, answer: tuple[str, Grant | Refuse], pool: str) -> Slot:
        sender, message = answer
        if isinstance(message, Refuse):
            raise message.error.restore()
        held = Slot(message, pool, sender)
        self.held[message.grant] = held
        return held

    def _take_grant(self, sender: str, grant: Grant) -> None:
        result = self._waiting.get((grant.request, grant.attempt))
        if result is not None and not result.ready():
            result.set((sender, grant))
            return
        is_taken = result is not None and result.get()[1] == grant
        if grant.grant not in self.held and not is_taken:
            self.links.cast(sender, Release(grant.grant, ""))

    def _take_refuse(self, sender: str, refuse: Refuse) -> None:
        result = self._waiting.get((refuse.request, refuse.attempt))
        if result is not None and not result.ready():
            result.set((sender, refuse))

    def _take_revoke(self, sender: str, revoke: Revoke) -> None:
        held = self.held.get(revoke.grant)
        if held is not None and not held.revoked:
            held.revoked = True
            held.revoke()

    def _renew_grants(self) -> None:
        """Renew the grants in use, and find coordinators that no longer reply."""
        renewed_at = 0.0
        while True:
            gevent.sleep(CHECK_EVERY_S)
            groups: dict[tuple[str, str], list[str]] = {}
            if time.monotonic() - renewed_at >= RENEW_EVERY_S:
                groups = self._group_grants()
                renewed_at = time.monotonic()
            awaited = set(self._asked.values())
            for key in awaited | groups.keys():
                coordinator, pool = key
                message = Renew(pool, tuple(groups.get(key, ())))
                if key in awaited:
                    gevent.spawn(self._check_coordinator, coordinator, message)
                else:
                    self.links.cast(coordinator, message)

    def _check_coordinator(self, coordinator: str, message: Renew) -> None:
        """Renew by a call, and note a coordinator that doesn't reply as lost."""
        try:
            self.links.call(coordinator, message, ASK_TIMEOUT_S)
        except LinkError as error:
            self._lost_at[coordinator] = time.monotonic()
            log.warning("coordinator_lost", coordinator=coordinator, why=str(error))

    def _group_grants(self) -> dict[tuple[str, str], list[str]]:
        groups: dict[tuple[str, str], list[str]] = {}
        for held in self.held.values():
            responsible = self.routes.find_coordinator(held.pool, held.grant.runner)
            for name in {held.coordinator, responsible or held.coordinator}:
                groups.setdefault((name, held.pool), []).append(held.grant.grant)
        return groups
