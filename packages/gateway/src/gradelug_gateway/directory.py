"""Where weights are: what the planner tells, and questions to it."""

from __future__ import annotations

import asyncio
import typing as t
from dataclasses import dataclass

import logbook
from gradelug_policy.prefill import RequestWork
from gradelug_policy.quotas import LocalShares
from gradelug_policy.uses import Party
from gradelug_wire import placement_pb2 as pb

from .exceptions import Refused
from .executing import Executor
from .fleet import Fleet
from .link import PlannerLink
from .model import AdapterKey, Replica
from .parts import GatewayPart
from .prefix_cache import encode_chain
from .search import LOOK_S, PlannerAddress, Search, ask_where
from .share_log import tell_standing
from .store_updates import StoreSubscriber

log = logbook.Logger("directory")
RECONNECT_S = 0.1
PEERS_PER_LOOKUP = 2
"""So many peers are asked at a time where the planner is."""
REFUSAL_RETRY_AFTER_S = 0.5
NOBODY = Party("")
TIMEOUT_RETRY_AFTER_S = 0.5


@dataclass(slots=True, frozen=True)
class Wish:
    """How urgent and how valuable a request is.

    Parameters
    ----------
    rank : int
        Urgency, 0 first.
    value : float
        What an answer in time is worth, 1 for an ordinary urgent request.
    returning : bool
        Whether its caller was refused before and has come back.
    target_at, until : float
        Until when it is in time, and until when it waits, by the runtime's clock.
    work : RequestWork
        What the request asks of an engine.
    begun : bool
        Whether its caller has had a part of the answer.
    party : Party
        Whose it is.
    request : str
        Its identifier, for the log.
    """

    rank: int
    value: float
    returning: bool
    target_at: float
    until: float
    work: RequestWork = RequestWork()
    begun: bool = False
    party: Party = NOBODY
    request: str = ""


class Directory:
    """Asks planners for weights and tells them what is in use.

    Parameters
    ----------
    instance, address : str
        This instance, and where its peers reach it.
    fleet : Fleet
        Takes what planners tell.
    clock : callable
        The runtime's clock.
    locate : callable
        Returns a service's planner, or None.
    hurry : callable
        Called while a planner is missed.
    executor : Executor or None
        Gives planners' orders to the engines that this instance owns, where engines have owners.
    strength : float
        How well this instance could plan itself.
    listener : StoreSubscriber or None
        Takes what planners tell of the platform's store.
    shares : LocalShares or None
        What this instance may use of quotas without asking.
    make_parts : callable
        Makes what else is told to the planner of a service, given the service's name.
    """

    __slots__ = (
        "_request_poll",
        "_address",
        "_clock",
        "_executor",
        "_fleet",
        "_peer_reported",
        "_instance",
        "_links",
        "_store_subscriber",
        "_locate",
        "_make_parts",
        "_searches",
        "_shares",
        "_strength",
        "_tasks",
        "_ticket",
    )

    def __init__(
        self,
        instance: str,
        address: str,
        fleet: Fleet,
        clock: t.Callable[[], float],
        locate: t.Callable[[str], PlannerAddress | None],
        hurry: t.Callable[[], None] = lambda: None,
        executor: Executor | None = None,
        strength: float = 1.0,
        listener: StoreSubscriber | None = None,
        shares: LocalShares | None = None,
        make_parts: t.Callable[[str], t.Iterable[GatewayPart]] = lambda service: (),
    ) -> None:
        self._make_parts = make_parts
        self._shares = shares
        self._strength = strength
        self._store_subscriber = listener
        self._instance = instance
        self._address = address
        self._fleet = fleet
        self._clock = clock
        self._locate = locate
        self._request_poll = hurry
        self._executor = executor
        self._peer_reported: dict[str, PlannerAddress] = {}
        """Planners that peers told of."""
        self._links: dict[str, PlannerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._searches: dict[str, Search] = {}
        self._ticket = 0

    @property
    def gateways(self) -> int:
        """Instances that share the work, 0 if unknown."""
        return max((link.gateways for link in self._links.values()), default=0)

    @property
    def news_age_s(self) -> float:
        """Time since a planner that is followed told something, the longest of all, in seconds."""
        followed = [link for link in self._links.values() if link.is_followed]
        return max((link.news_age_s for link in followed), default=0.0)

    async def place(
        self,
        service: str,
        key: AdapterKey,
        *,
        wish: Wish,
        excluded: t.Collection[str],
        only: t.Container[str] | None,
        absent: str,
        known: Replica | None = None,
    ) -> Replica:
        """Return a replica on which weights can be used.

        Parameters
        ----------
        wish : Wish
            How urgent and how valuable the request is.
        excluded : collection of str
            Replicas that must not run it.
        only : container of str or None
            Replicas that may run it; None for any.
        absent : str
            A replica that said it lacks the weights.
        known : Replica or None
            Where the request can run as far as is known here: it goes there if the planner may
            be lost.

        Raises
        ------
        Refused
            If the planner says that it cannot be placed, or time runs out.
        """
        link = self._link(service)
        if known is None and not absent and self._fleet.is_scoped and not link.is_followed:
            # Nobody tells where weights are that were not in use here; replicas do, later.
            reported = self._fleet.self_reported_holders(service, key)
            known = self._fleet.choose(reported, excluded, only, wish.work)
        while True:
            self._ticket += 1
            ask = pb.Ask(
                ticket=self._ticket,
                model=key.model,
                adapter=key.adapter,
                rank=wish.work.urgency,
                wait_ms=self._ms_until(wish.until),
                target_ms=self._ms_until(wish.target_at),
                value=wish.value,
                returning=wish.returning,
                prompt_tokens=wish.work.prompt_tokens,
                answer_tokens=wish.work.answer_tokens,
                prefixes=encode_chain(wish.work.chain),
                begun=wish.begun,
                organisation=wish.party.owner,
                kind=wish.party.kind,
                urgency=wish.rank,
                excluded=sorted(excluded),
                only=_first(only),
                absent=absent,
                doubted=self._fleet.doubted(),
            )
            try:
                answer = await link.ask(
                    self._ticket,
                    ask,
                    wish.until,
                    known is not None,
                    lambda: self._fleet.rest_s(service, only) > 0,
                )
            except TimeoutError:
                rest_s = self._fleet.rest_s(service, only)
                if rest_s:
                    raise Refused("its replicas rest", rest_s) from None
                if known is not None:
                    return known
                raise Refused(
                    "the weights could not be placed in time", TIMEOUT_RETRY_AFTER_S
                ) from None
            if answer.HasField("standing"):
                tell_standing(wish.request, wish.party, wish.rank, answer)
            if not answer.replica:
                raise Refused(answer.reason, answer.retry_after_ms / 1000 or REFUSAL_RETRY_AFTER_S)
            replica = self._fleet.state.replicas.get(answer.replica)
            if replica is not None and self._fleet.is_unavailable(replica):
                # The planner does not know of it.
                excluded = {*excluded, replica.name}
            elif replica is not None:
                if answer.has_room:
                    self._fleet.limits.add_permit(replica.name)
                self._fleet.prefix_cache.note_reported(
                    replica.name, wish.work.chain, answer.kept_tokens
                )
                return replica
            await asyncio.sleep(RECONNECT_S)

    def _ms_until(self, at: float) -> int:
        return max(0, round((at - self._clock()) * 1000))

    def known(self, service: str) -> PlannerAddress | None:
        """Return the newest planner of a service that the platform or a peer told of."""
        told, hint = self._locate(service), self._peer_reported.get(service)
        if told is None or (hint is not None and hint.fence > told.fence):
            return hint
        return told

    def _is_newest(self, service: str, planner: PlannerAddress) -> bool:
        known = self.known(service)
        return known is None or known.fence <= planner.fence

    def quota_home(self) -> PlannerLink | None:
        """Return the way to the instance that keeps all quotas: one service's planner."""
        return self._links[min(self._links)] if self._links else None

    def link_to(self, service: str) -> PlannerLink | None:
        """Return the way to the planner of a service, None if there is none."""
        return self._links.get(service)

    @property
    def home_service(self) -> str:
        """The service whose planner is that home, empty if there is none."""
        return min(self._links, default="")

    def is_followed(self, service: str) -> bool:
        """Tell whether a planner of a service answers."""
        link = self._links.get(service)
        return link is not None and link.is_followed

    def asks_first(self, service: str) -> bool:
        """Tell whether the planner is to be asked although a holder of weights is known."""
        link = self._links.get(service)
        return link is not None and link.ask_first and not link.is_quiet

    def note_begin(self, replica: Replica, key: AdapterKey, work: RequestWork) -> None:
        """Note that a request is being sent to a replica."""
        memory = self._fleet.service_engine_capacity(replica.service).memory_tokens
        self._fleet.prefix_cache.note_sent(replica.name, work, memory, self.gateways)
        self._note(replica.name, key, 1, work.prompt_tokens)

    def note_end(self, replica: str, key: AdapterKey) -> None:
        """Note that a request has left a replica."""
        self._note(replica, key, -1)

    def ensure(self, services: t.Iterable[str]) -> None:
        """Keep a link to the planner of each of these services."""
        for service in services:
            self._link(service)

    def note_owned(self) -> None:
        """Tell planners at once which engines this instance owns."""
        for link in self._links.values():
            link.hurry()

    async def close(self) -> None:
        """End every link."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _note(self, replica: str, key: AdapterKey, change: int, tokens: int = 0) -> None:
        known = self._fleet.state.replicas.get(replica)
        for link in self._links.values():
            if (known is not None and known.service == link.service) or (
                known is None and (replica, key) in link.active
            ):
                link.note(replica, key, change, tokens)

    def _link(self, service: str) -> PlannerLink:
        link = self._links.get(service)
        if link is None:
            link = PlannerLink(
                service,
                self._instance,
                self._address,
                self._fleet,
                self._clock,
                self._executor,
                self._strength,
                self._store_subscriber,
                self._shares,
                self._make_parts(service),
            )
            self._links[service] = link
            self._tasks[service] = asyncio.create_task(self._maintain_link(link))
        return link

    async def _maintain_link(self, link: PlannerLink) -> None:
        while True:
            planner = self.known(link.service)
            if planner is not None:
                await self._follow(link, planner)
            self._poll_if_due(link)
            await asyncio.sleep(RECONNECT_S)
            if planner is not None and self._is_newest(link.service, planner):
                # Lost, and the platform tells of no other.
                await self._query_peers(link)

    async def _follow(self, link: PlannerLink, planner: PlannerAddress) -> None:
        """Follow a planner until the stream breaks or there is a newer one."""
        following = asyncio.create_task(link.follow(planner))
        try:
            while not following.done():
                await asyncio.wait([following], timeout=LOOK_S)
                newest = self.known(link.service)
                if newest is not None and newest.fence > planner.fence:
                    if link.is_quiet or newest.address != planner.address:
                        log.info("newer planner", service=link.service, old=planner.owner)
                        return
                    # The same one, entered again.
                    planner = newest
                if link.is_followed and not link.has_resigned:
                    self._search(link).found()
                else:
                    # A successor may be entered at any moment, and this one may never answer.
                    self._poll_if_due(link)
            following.result()
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)

    def _search(self, link: PlannerLink) -> Search:
        return self._searches.setdefault(link.service, Search(self._clock))

    def _poll_if_due(self, link: PlannerLink) -> None:
        """Look for a planner in the store, those that could plan themselves as often as may be."""
        gateways = 1 if self._strength >= 1 else link.gateways
        if self._search(link).is_due(gateways):
            self._request_poll()

    async def _query_peers(self, link: PlannerLink) -> None:
        asked, link.peers = link.peers[:PEERS_PER_LOOKUP], [
            *link.peers[PEERS_PER_LOOKUP:],
            *link.peers[:PEERS_PER_LOOKUP],
        ]
        for address in asked:
            found = await ask_where(address, link.service)
            known = self.known(link.service)
            if found is not None and (known is None or found.fence > known.fence):
                self._peer_reported[link.service] = found
                log.info("planner told by a peer", service=link.service, owner=found.owner)
                return


def _first(names: t.Container[str] | None) -> str:
    return "" if names is None else next(iter(t.cast(t.Collection[str], names)), "")
