"""Client side of the stream between a gateway and the planner of a service.

Used by a gateway for each service: it sends placement requests and reports of its load, and applies
the state updates, answers and orders that the planner sends.
"""

from __future__ import annotations

import asyncio
import math
import typing as t
from collections import Counter

import logbook
from gradelug_policy.prefill import subtract_queue
from gradelug_policy.quotas import LocalShares
from gradelug_wire import placement_pb2 as pb
from gradelug_wire.bounded import BoundedChannel
from gradelug_wire.placement_grpc import PlacementStub
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from .executing import Executor
from .fleet import Fleet
from .model import AdapterKey, ReportedLoad
from .pacing import MIN_FLUSH_INTERVAL_S, UPDATE_INTERVAL_S
from .parts import GatewayExtension
from .quotas import QuotaApplicant, QuotaClient
from .search import PlannerAddress
from .store_updates import StoreSubscriber

log = logbook.Logger("link")
FIRST_USE_SPACING_FRACTION = 0.25
"""Part of the batching interval that must have passed since the last message before a first use is
sent at once. It limits the planner to 1,600 messages a second, whatever the number of instances."""
ASK_BATCH_S = 0.002
"""Batching interval of placement requests, in seconds."""
KEEPALIVE_INTERVAL_S = 0.5
"""Interval of messages without content, in seconds, so that both ends detect a lost connection."""
PLANNER_TIMEOUT_S = 1.0
PLANNER_TIMEOUT_UPDATES = 2.5
"""Time without any message after which a planner counts as lost: this many seconds, or this many
update intervals if that is longer. Its lease expires at about the same time, so a successor can be
elected."""
UPDATE_OVERDUE_S = 0.15
"""Delay of an update beyond its interval after which the planner may be lost, in seconds."""
FAILOVER_TIMEOUT_S = 4.0
"""Maximum time from the loss of a planner to its replacement, in seconds: 2 s, and 3.3 s if the
store was unavailable too. After that, the time of a replacement is unknown."""
CONNECTION_CHECK_INTERVAL_S = 0.1
"""Interval at which a waiting request checks the connection to the planner, in seconds."""


class _PendingRequest:
    __slots__ = ("ask", "fut", "sent")

    def __init__(self, ask: pb.Ask) -> None:
        self.ask = ask
        self.fut: asyncio.Future[pb.Answer] = asyncio.get_running_loop().create_future()
        self.sent = False


class PlannerLink:
    """Stream of this instance to the planner of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    instance, address : str
        Name of this instance, and the ``IP:port`` at which its peers reach it.
    fleet : Fleet
        State of the replicas, updated from the planner's messages.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    executor : Executor or None
        Sends the planner's orders to engines that this instance owns; None where engines have no
        owners.
    strength : float
        Fitness of this instance to be the planner; 1 for a fully capable one.
    listener : StoreSubscriber or None
        Applies the store changes that the planner forwards.
    shares : LocalShares or None
        Quotas that this instance may use without a request to the planner.
    parts : iterable of GatewayExtension
        Extensions of the messages on the stream.
    """

    __slots__ = (
        "_address",
        "_clock_offset_s",
        "_flush_requested",
        "_cancelled",
        "_changed",
        "_clock",
        "_executor",
        "_fleet",
        "_flush_s",
        "_last_received_at",
        "_instance",
        "_store_subscriber",
        "_disconnected_at",
        "_parts",
        "_pending_requests",
        "_quotas",
        "_results",
        "_loads_to_resend",
        "_sent_at",
        "_shares",
        "_started",
        "_started_tokens",
        "_stream_number",
        "_strength",
        "_sent_loads",
        "_sent_owned",
        "_wake",
        "active",
        "ask_first",
        "gateways",
        "has_resigned",
        "is_connected",
        "update_interval_s",
        "peers",
        "service",
    )

    def __init__(
        self,
        service: str,
        instance: str,
        address: str,
        fleet: Fleet,
        clock: t.Callable[[], float],
        executor: Executor | None = None,
        strength: float = 1.0,
        listener: StoreSubscriber | None = None,
        shares: LocalShares | None = None,
        parts: t.Iterable[GatewayExtension] = (),
    ) -> None:
        self._shares = shares or LocalShares()
        self._strength = strength
        self._store_subscriber = listener
        self.service = service
        self.active: Counter[tuple[str, AdapterKey]] = Counter()
        """Active requests of this instance by replica and weights."""
        self.gateways = 0
        """Number of gateways connected to the planner, 0 if unknown."""
        self.is_connected = False
        """Whether a planner has sent a message on the current stream."""
        self.has_resigned = False
        """Whether the connected planner has requested that gateways search for a successor."""
        self.peers: list[str] = []
        """Addresses of some other instances, from the planner's last list."""
        self.ask_first = False
        """Whether the planner is to be asked even for weights whose locations are known here."""
        self.update_interval_s = UPDATE_INTERVAL_S
        """Interval between the planner's updates, in seconds."""
        self._flush_s = MIN_FLUSH_INTERVAL_S
        self._last_received_at = -math.inf
        self._loads_to_resend: set[str] = set()
        """Replicas with requests booked by the planner; their actual load is sent with the next
        message."""
        self._address = address
        self._instance = instance
        self._fleet = fleet
        self._clock = clock
        self._executor = executor
        self._results: list[pb.OrderResult] = []
        self._sent_owned: frozenset[str] | None = None
        self._stream_number = 0
        """Number of the current stream; results of orders from earlier streams are dropped."""
        self._clock_offset_s = math.inf
        """Upper bound of the difference of the planner's clock to the local clock, in seconds."""
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._sent_at = -math.inf
        self._disconnected_at = clock()
        """Time at which the connection to the last planner was lost, in seconds."""
        self._cancelled: list[int] = []
        self._changed: set[tuple[str, AdapterKey]] = set()
        self._started: Counter[tuple[str, AdapterKey]] = Counter()
        self._started_tokens: Counter[tuple[str, AdapterKey]] = Counter()
        self._sent_loads: dict[str, ReportedLoad] = {}
        self._wake = asyncio.Event()
        self._flush_requested = asyncio.Event()
        self._quotas = QuotaClient(clock, self.flush_soon)
        self._parts: tuple[GatewayExtension, ...] = (self._quotas, *parts)
        """Extensions of the messages on the stream."""

    async def ask_quota(
        self, organisation: str, tokens: int, until: float, applicant: QuotaApplicant
    ) -> pb.QuotaAnswer:
        """Send a quota request and return the answer; raises `TimeoutError`."""
        return await self._quotas.ask(organisation, tokens, until, applicant)

    def refund_quota(self, organisation: str, tokens: int, granted_at: float) -> None:
        """Refund a quota granted at a given time to a request that did not run."""
        self._quotas.refund(organisation, tokens, granted_at)

    @property
    def last_message_age_s(self) -> float:
        """Time since the last message from the planner, in seconds."""
        return self._clock() - self._last_received_at

    @property
    def disconnected_s(self) -> float:
        """Time since the loss of the last planner, in seconds; 0 while one is connected."""
        return 0.0 if self.is_connected else self._clock() - self._disconnected_at

    @property
    def is_update_overdue(self) -> bool:
        """Whether the planner may be lost: none is connected, or its update is overdue."""
        return (
            not self.is_connected
            or self.last_message_age_s > self.update_interval_s + UPDATE_OVERDUE_S
        )

    async def ask(
        self,
        ticket: int,
        ask: pb.Ask,
        until: float,
        has_choice: bool = False,
        should_give_up: t.Callable[[], bool] = lambda: False,
    ) -> pb.Answer:
        """Send a placement request and return the planner's answer.

        Parameters
        ----------
        ticket : int
            Identifies the request on this stream.
        ask : Ask
            The placement request.
        until : float
            Deadline, in seconds of the runtime's clock.
        has_choice : bool
            Whether the caller can proceed without an answer; waiting then ends as soon as the
            planner may be lost.
        should_give_up : callable
            Polled while waiting; waiting ends once it returns true.

        Raises
        ------
        TimeoutError
            If there is no answer by the deadline, or waiting ends early.
        """
        pending = self._pending_requests[ticket] = _PendingRequest(ask)
        self._flush_requested.set()
        self._wake.set()
        try:
            async with asyncio.timeout_at(until):
                while not pending.fut.done():
                    if has_choice and self.is_update_overdue or should_give_up():
                        raise TimeoutError
                    if (
                        not self.is_connected
                        and self._clock() >= self._disconnected_at + FAILOVER_TIMEOUT_S
                    ):
                        raise TimeoutError
                    await asyncio.wait([pending.fut], timeout=CONNECTION_CHECK_INTERVAL_S)
                return pending.fut.result()
        finally:
            del self._pending_requests[ticket]
            if pending.sent and not pending.fut.done() or pending.fut.cancelled():
                self._cancelled.append(ticket)

    def note(self, replica: str, key: AdapterKey, change: int, tokens: int = 0) -> None:
        """Count a request that started (1), with the tokens of its prompt, or ended (-1)."""
        use = (replica, key)
        self.active[use] += change
        if change > 0:
            self._started[use] += 1
            self._started_tokens[use] += tokens
        since_sent_s = self._clock() - self._sent_at
        if (
            change > 0
            and self.active[use] == 1
            and since_sent_s >= FIRST_USE_SPACING_FRACTION * self._flush_s
        ):
            # Sent at once: until the planner receives it, it may order the engine to unload the
            # weights.
            self._flush_requested.set()
        self._changed.add(use)
        self._wake.set()

    @property
    def flush_s(self) -> float:
        """Batching interval of messages that are not urgent, in seconds."""
        return self._flush_s

    def queue_flush(self) -> None:
        """Include pending changes in the next regular message."""
        self._wake.set()

    def flush_soon(self) -> None:
        """Send pending changes to the planner at once."""
        self._flush_requested.set()
        self._wake.set()

    async def follow(self, planner: PlannerAddress) -> None:
        """Exchange messages with a planner until the stream breaks or times out."""
        host, _, port = planner.address.rpartition(":")
        channel = BoundedChannel(host, int(port))
        for pending in self._pending_requests.values():
            pending.sent = False
        self._changed.update(self.active)
        self._sent_loads.clear()
        self._loads_to_resend.clear()
        self._sent_owned = None
        self._results.clear()
        self._stream_number += 1
        for part in self._parts:
            part.begin_stream()
        self._clock_offset_s = math.inf
        try:
            async with asyncio.timeout(PLANNER_TIMEOUT_S) as limit:
                async with PlacementStub(channel).Follow.open() as stream:
                    await stream.send_message(self._message(True))
                    sender = asyncio.create_task(self._send(stream))
                    try:
                        while (message := await stream.recv_message()) is not None:
                            silent_s = max(
                                PLANNER_TIMEOUT_S, PLANNER_TIMEOUT_UPDATES * self.update_interval_s
                            )
                            limit.reschedule(self._clock() + silent_s)
                            self._note_followed(planner)
                            self._handle_message(message)
                    finally:
                        sender.cancel()
        except (GRPCError, ProtocolError, StreamTerminatedError, OSError, TimeoutError) as exc:
            log.info(
                "connection to planner lost",
                service=self.service,
                owner=planner.owner,
                why=repr(exc),
            )
        finally:
            if self.is_connected:
                self._disconnected_at = self._clock()
            self.is_connected = self.has_resigned = False
            channel.close()

    def _note_followed(self, planner: PlannerAddress) -> None:
        if self.is_connected:
            return
        self.is_connected = True
        log.info("planner followed", service=self.service, owner=planner.owner, fence=planner.fence)

    async def _send(self, stream: t.Any) -> None:
        while True:
            try:
                async with asyncio.timeout(KEEPALIVE_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            self._flush_requested.clear()
            await stream.send_message(self._message(False))
            await asyncio.sleep(ASK_BATCH_S)
            try:
                async with asyncio.timeout(self._flush_s):
                    await self._flush_requested.wait()
            except TimeoutError:
                # No urgent request arrived; the batched changes are sent now.
                pass

    def _message(self, first: bool) -> pb.FromGateway:
        self._sent_at = self._clock()
        # Rounded down, which can only overestimate the offset of the planner's clock.
        message = pb.FromGateway(sent_ms=math.floor(self._sent_at * 1000))
        if first:
            message.instance = self._instance
            message.service = self.service
            message.address = self._address
            message.hall = self._fleet.hall
            message.strength = self._strength
            if self._store_subscriber is not None:
                message.store_revision = self._store_subscriber.revision
            message.shares.update(self._shares.valid_shares(self._sent_at))
        for pending in self._pending_requests.values():
            if not pending.sent:
                pending.sent = True
                message.asks.append(pending.ask)
        message.cancelled.extend(self._cancelled)
        self._cancelled.clear()
        for use in self._changed:
            replica, key = use
            message.uses.add(
                replica=replica,
                model=key.model,
                adapter=key.adapter,
                active=self.active[use],
                started=self._started[use],
                started_tokens=self._started_tokens[use],
            )
            if not self.active[use]:
                del self.active[use]
        for part in self._parts:
            part.fill(message)
        self._changed.clear()
        self._started.clear()
        self._started_tokens.clear()
        self._add_loads(message)
        self._add_owned(message)
        return message

    def _add_loads(self, message: pb.FromGateway) -> None:
        for name in self._loads_to_resend:
            self._fleet.load(name)
        for name, load in self._fleet.loads():
            own = load.own()
            if name in self._loads_to_resend or self._sent_loads.get(name, ReportedLoad()) != own:
                self._sent_loads[name] = own
                message.loads.add(
                    replica=name,
                    starting=own.starting,
                    running=own.running,
                    queued=own.queued,
                    memory_tokens=own.memory,
                )
        for name in [name for name in self._sent_loads if not self._fleet.has_load(name)]:
            if self._sent_loads.pop(name) != ReportedLoad():
                message.loads.add(replica=name)
        self._loads_to_resend.clear()

    def _add_owned(self, message: pb.FromGateway) -> None:
        message.results.extend(self._results)
        self._results.clear()
        if self._executor is None:
            return
        message.knows_store = self._executor.knows_store
        message.store_away = self._executor.is_cut_off
        owned = self._executor.owned_engines(self.service)
        if owned != self._sent_owned:
            self._sent_owned = owned
            message.owned.CopyFrom(pb.OwnedEngines(replicas=sorted(owned)))

    def _carry_out(self, order: pb.EngineOrder) -> None:
        stream = self._stream_number

        def report(result: pb.OrderResult) -> None:
            if stream == self._stream_number:
                self._results.append(result)
                self.flush_soon()

        if self._executor is not None:
            self._executor.execute(order, report)

    def _handle_message(self, message: pb.FromPlanner) -> None:
        self._last_received_at = self._clock()
        if message.gateways:
            self._apply_pacing(message)
        if message.HasField("echo") and message.echo.sent_ms:
            clock_offset_s = (message.echo.received_ms - message.echo.sent_ms) / 1000
            self._clock_offset_s = min(self._clock_offset_s, clock_offset_s)
        if message.HasField("store") and self._store_subscriber is not None:
            self._store_subscriber.apply_update(message.store, self._clock_offset_s)
        if message.peers:
            self.peers = list(message.peers)
        # Answers were created before the state updates in the same message.
        for answer in message.answers:
            self._apply_placement(answer)
        for holdings in message.holdings:
            self._fleet.set_holdings(
                holdings.replica,
                {AdapterKey(held.model, held.adapter): held.version for held in holdings.held},
            )
        if message.whole:
            self._fleet.clear_weight_locations(self.service)
        for location in message.homes:
            self._fleet.set_weight_locations(
                self.service,
                AdapterKey(location.model, location.adapter),
                {holder.replica: holder.version for holder in location.homes},
            )
        for load in message.loads:
            self._apply_load(load, ReportedLoad())
        if message.cut_off and self._executor is not None:
            self._executor.note_outage(message.cut_off)
        for order in message.orders:
            self._carry_out(order)
        for part in self._parts:
            part.take(message)
        for answer in message.answers:
            self._apply_booking(answer)
            pending = self._pending_requests.get(answer.ticket)
            if pending is not None and not pending.fut.done():
                pending.fut.set_result(answer)

    def _apply_placement(self, answer: pb.Answer) -> None:
        """Record that the replica named in an answer holds the requested weights."""
        pending = self._pending_requests.get(answer.ticket)
        if pending is not None and answer.replica:
            key = AdapterKey(pending.ask.model, pending.ask.adapter)
            self._fleet.add_holding(answer.replica, key, answer.version)

    def _apply_pacing(self, message: pb.FromPlanner) -> None:
        self.gateways = message.gateways
        # Planners of earlier versions, as in a rolling upgrade, send neither interval.
        self.update_interval_s = self._fleet.state_age_s = (
            message.news_ms / 1000 or UPDATE_INTERVAL_S
        )
        self._flush_s = message.flush_ms / 1000 or MIN_FLUSH_INTERVAL_S
        self.ask_first = message.ask_first
        self._fleet.is_scoped = message.scoped
        self.has_resigned = message.resigned

    def _apply_load(self, total: pb.Load, booked: ReportedLoad) -> None:
        """Apply the load of a replica.

        Parameters
        ----------
        total : pb.Load
            Load summed over all gateways.
        booked : ReportedLoad
            Load that the planner has added for a request of this instance.
        """
        load = self._fleet.load(total.replica)
        own = self._sent_loads.get(total.replica, ReportedLoad())
        load.others = ReportedLoad(
            max(0, total.starting - own.starting - booked.starting),
            max(0, total.running - own.running),
            subtract_queue(subtract_queue(total.queued, own.queued), booked.queued),
            max(0, total.memory_tokens - own.memory - booked.memory),
        )
        if total.running > load.reported_running:
            # Some instance received a first event from the replica.
            self._fleet.health(total.replica).last_received_at = self._clock()
        load.reported_running = total.running

    def _apply_booking(self, answer: pb.Answer) -> None:
        """Apply the load of the replica named in an answer, less the booking for this request."""
        if not answer.replica:
            return
        self._loads_to_resend.add(answer.replica)
        self._wake.set()
        pending = self._pending_requests.get(answer.ticket)
        if pending is None or not answer.HasField("load"):
            return
        queued = (0,) * pending.ask.rank + (pending.ask.prompt_tokens - answer.kept_tokens,)
        memory = pending.ask.prompt_tokens + pending.ask.answer_tokens
        self._apply_load(answer.load, ReportedLoad(1, 0, queued, memory))
