"""Connections of a gateway to the planners of its services, and placement of requests through them.

Used for every request to an engine: the planner selects the replica, and the gateway falls back to
replicas known locally while no planner responds.
"""

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
from .parts import GatewayExtension
from .prefix_cache import encode_chain
from .search import PLANNER_POLL_INTERVAL_S, PlannerAddress, PlannerSearch, query_planner_address
from .share_log import log_share_decision
from .store_updates import StoreSubscriber

log = logbook.Logger("directory")
RECONNECT_DELAY_S = 0.1
PEERS_PER_LOOKUP = 2
"""Number of peers queried for the planner's address in one attempt."""
REFUSAL_RETRY_AFTER_S = 0.5
UNKNOWN_PARTY = Party("")
TIMEOUT_RETRY_AFTER_S = 0.5


@dataclass(slots=True, frozen=True)
class PlacementPriority:
    """Urgency, value and deadlines of a request to be placed.

    Parameters
    ----------
    rank : int
        Urgency, 0 for the highest.
    value : float
        Value of an answer in time, 1 for an average urgent request.
    returning : bool
        Whether the request is a retry after a refusal.
    target_at, until : float
        Deadline for the first event, and end of the wait for a replica, in seconds of the runtime's
        clock.
    work : RequestWork
        Engine work of the request.
    begun : bool
        Whether a part of the answer was sent to the caller.
    party : Party
        Owner and kind of the request.
    request : str
        Identifier of the request, for the log.
    """

    rank: int
    value: float
    returning: bool
    target_at: float
    until: float
    work: RequestWork = RequestWork()
    begun: bool = False
    party: Party = UNKNOWN_PARTY
    request: str = ""


class Directory:
    """Places requests through the planners of services, and reports active requests to them.

    Parameters
    ----------
    instance, address : str
        Name of this instance, and the ``IP:port`` at which its peers reach it.
    fleet : Fleet
        State of the replicas, updated from the planners' messages.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    locate : callable
        Returns the address of a service's planner from the platform store, or None.
    hurry : callable
        Requests a poll of the platform store; called while a planner is missing.
    executor : Executor or None
        Sends planners' orders to engines that this instance owns; None where engines have no
        owners.
    strength : float
        Fitness of this instance to be the planner; 1 for a fully capable one.
    listener : StoreSubscriber or None
        Applies the store changes that planners forward.
    shares : LocalShares or None
        Quotas that this instance may use without a request to a planner.
    make_parts : callable
        Returns the message extensions for the link of a service, given the service's name.
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
        make_parts: t.Callable[[str], t.Iterable[GatewayExtension]] = lambda service: (),
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
        """Planner addresses received from peers, by service."""
        self._links: dict[str, PlannerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._searches: dict[str, PlannerSearch] = {}
        self._ticket = 0

    @property
    def gateways(self) -> int:
        """Largest number of gateways connected to a planner, 0 if unknown."""
        return max((link.gateways for link in self._links.values()), default=0)

    @property
    def last_message_age_s(self) -> float:
        """Longest time since the last message from a connected planner, in seconds."""
        followed = [link for link in self._links.values() if link.is_connected]
        return max((link.last_message_age_s for link in followed), default=0.0)

    async def place(
        self,
        service: str,
        key: AdapterKey,
        *,
        wish: PlacementPriority,
        excluded: t.Collection[str],
        only: t.Container[str] | None,
        absent: str,
        known: Replica | None = None,
        software: str | None = None,
    ) -> Replica:
        """Return a replica on which weights can be used.

        Parameters
        ----------
        service : str
            Name of the service.
        key : AdapterKey
            Model and adapter.
        wish : PlacementPriority
            Urgency, value and deadlines of the request.
        excluded : collection of str
            Names of replicas that must not run it.
        only : container of str or None
            Names of replicas that may run it; None for any.
        absent : str
            Name of a replica that responded that it lacks the weights, or an empty string.
        known : Replica or None
            Replica that can run the request according to local state; used if the planner may be
            lost.
        software : str or None
            Software version that the replica must have; None for any.

        Raises
        ------
        Refused
            If the planner refuses the request, or the wait for a replica ends.
        """
        link = self._link(service)
        if known is None and not absent and self._fleet.is_scoped and not link.is_connected:
            # No planner sends the locations of weights that were not used here; replicas report
            # them later.
            reported = [
                rep
                for rep in self._fleet.self_reported_holders(service, key)
                if software is None or rep.software == software
            ]
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
                only=_first(only, excluded),
                absent=absent,
                doubted=self._fleet.doubted(),
                software=software,
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
                backoff_s = self._fleet.rest_s(service, only)
                if backoff_s:
                    raise Refused("its replicas rest", backoff_s) from None
                if known is not None:
                    return known
                raise Refused(
                    "the weights could not be placed in time", TIMEOUT_RETRY_AFTER_S
                ) from None
            if answer.HasField("standing"):
                log_share_decision(wish.request, wish.party, wish.rank, answer)
            if not answer.replica:
                raise Refused(answer.reason, answer.retry_after_ms / 1000 or REFUSAL_RETRY_AFTER_S)
            replica = self._fleet.state.replicas.get(answer.replica)
            if replica is not None and (
                self._fleet.is_unavailable(replica)
                or (software is not None and replica.software != software)
            ):
                # The planner is not aware that the replica must not run the request.
                excluded = {*excluded, replica.name}
            elif replica is not None:
                if answer.has_room:
                    self._fleet.limits.add_permit(replica.name)
                self._fleet.prefix_cache.note_reported(
                    replica.name, wish.work.chain, answer.kept_tokens
                )
                return replica
            await asyncio.sleep(RECONNECT_DELAY_S)

    def _ms_until(self, at: float) -> int:
        return max(0, round((at - self._clock()) * 1000))

    def newest_planner(self, service: str) -> PlannerAddress | None:
        """Return the newest planner of a service according to the platform store and peers."""
        from_store, from_peer = self._locate(service), self._peer_reported.get(service)
        if from_store is None or (from_peer is not None and from_peer.fence > from_store.fence):
            return from_peer
        return from_store

    def _is_newest(self, service: str, planner: PlannerAddress) -> bool:
        known = self.newest_planner(service)
        return known is None or known.fence <= planner.fence

    def quota_coordinator_link(self) -> PlannerLink | None:
        """Return the link to the planner that coordinates quotas, None if there are no links."""
        return self._links[min(self._links)] if self._links else None

    def link_to(self, service: str) -> PlannerLink | None:
        """Return the link to the planner of a service, None if there is none."""
        return self._links.get(service)

    @property
    def coordinating_service(self) -> str:
        """Service whose planner coordinates quotas; empty if there are no links."""
        return min(self._links, default="")

    def is_connected(self, service: str) -> bool:
        """Return whether a planner of a service is connected."""
        link = self._links.get(service)
        return link is not None and link.is_connected

    def should_ask_planner(self, service: str) -> bool:
        """Return whether to ask the planner although a replica with the weights is known."""
        link = self._links.get(service)
        return link is not None and link.ask_first and not link.is_update_overdue

    def note_begin(self, replica: Replica, key: AdapterKey, work: RequestWork) -> None:
        """Record that a request is being sent to a replica."""
        memory = self._fleet.service_engine_capacity(replica.service).memory_tokens
        self._fleet.prefix_cache.note_sent(replica.name, work, memory, self.gateways)
        self._note(replica.name, key, 1, work.prompt_tokens)

    def note_end(self, replica: str, key: AdapterKey) -> None:
        """Record that a request on a replica has ended."""
        self._note(replica, key, -1)

    def ensure_links(self, services: t.Iterable[str]) -> None:
        """Maintain a link to the planner of each service."""
        for service in services:
            self._link(service)

    def report_ownership(self) -> None:
        """Report the engines that this instance owns to all planners at once."""
        for link in self._links.values():
            link.flush_soon()

    async def close(self) -> None:
        """Close all links."""
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
            planner = self.newest_planner(link.service)
            if planner is not None:
                await self._follow(link, planner)
            self._poll_if_due(link)
            await asyncio.sleep(RECONNECT_DELAY_S)
            if planner is not None and self._is_newest(link.service, planner):
                # The planner is lost, and the platform store lists no newer one.
                await self._query_peers(link)

    async def _follow(self, link: PlannerLink, planner: PlannerAddress) -> None:
        """Stay connected to a planner until the stream breaks or there is a newer planner."""
        stream_task = asyncio.create_task(link.follow(planner))
        try:
            while not stream_task.done():
                await asyncio.wait([stream_task], timeout=PLANNER_POLL_INTERVAL_S)
                newest = self.newest_planner(link.service)
                if newest is not None and newest.fence > planner.fence:
                    if link.is_update_overdue or newest.address != planner.address:
                        log.info(
                            "switching to a newer planner", service=link.service, old=planner.owner
                        )
                        return
                    # The same planner was elected again.
                    planner = newest
                if link.is_connected and not link.has_resigned:
                    self._search(link).found()
                else:
                    # A successor may be elected at any moment, and this planner may never respond.
                    self._poll_if_due(link)
            stream_task.result()
        finally:
            stream_task.cancel()
            await asyncio.gather(stream_task, return_exceptions=True)

    def _search(self, link: PlannerLink) -> PlannerSearch:
        return self._searches.setdefault(link.service, PlannerSearch(self._clock))

    def _poll_if_due(self, link: PlannerLink) -> None:
        """Poll the store for a planner if due; instances that can plan poll at the highest rate."""
        gateways = 1 if self._strength >= 1 else link.gateways
        if self._search(link).is_due(gateways):
            self._request_poll()

    async def _query_peers(self, link: PlannerLink) -> None:
        asked, link.peers = link.peers[:PEERS_PER_LOOKUP], [
            *link.peers[PEERS_PER_LOOKUP:],
            *link.peers[:PEERS_PER_LOOKUP],
        ]
        for address in asked:
            found = await query_planner_address(address, link.service)
            known = self.newest_planner(link.service)
            if found is not None and (known is None or found.fence > known.fence):
                self._peer_reported[link.service] = found
                log.info(
                    "planner address received from a peer", service=link.service, owner=found.owner
                )
                return


def _first(names: t.Container[str] | None, excluded: t.Container[str]) -> str:
    """Return the first of the allowed names that is not excluded, if there is one.

    A message to a planner holds one name; an empty one allows any.
    """
    if names is None:
        return ""
    allowed = t.cast(t.Collection[str], names)
    return next((name for name in allowed if name not in excluded), next(iter(allowed), ""))
