"""The stream of one instance to the planner of a service."""

from __future__ import annotations

import asyncio
import math
import typing as t
from collections import Counter

import logbook
from gradelug_policy.prefill import subtract_queue
from gradelug_policy.quotas import LocalShares
from gradelug_wire import placement_pb2 as pb
from gradelug_wire.placement_grpc import PlacementStub
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from .executing import Executor
from .fleet import Fleet
from .model import AdapterKey, ReportedLoad
from .pacing import FLUSH_S, NEWS_S
from .parts import GatewayPart
from .quotas import Applicant, QuotaQuestions
from .search import PlannerAddress
from .store_updates import StoreSubscriber

log = logbook.Logger("link")
FIRST_USE_SPACING_FRACTION = 0.25
"""But not within this part of the spacing after the last message: so the planner takes 1,600
messages a second at most, however many instances there are."""
ASK_BATCH_S = 0.002
"""Questions that come within this time go out together."""
KEEPALIVE_INTERVAL_S = 0.5
"""Without news a message goes out this often, so that both ends know of each other."""
PLANNER_TIMEOUT_S = 1.0
PLANNER_TIMEOUT_UPDATES = 2.5
"""A planner that sends nothing for so long, or for the time of so many of its news, is lost. Its
lease runs out at about the same time, so that a successor can be looked for."""
UPDATE_OVERDUE_S = 0.15
"""A planner from which nothing has come for the time of its news and this may be lost."""
REPLACED_S = 4.0
"""A planner that is lost is followed by another one within this: 2 s, and 3.3 s where the store was
away as well (Tenger's trouble-3). Without one for longer nobody knows when there will be one."""
LOOK_S = 0.1
"""How often those who wait look whether a planner is followed."""


class _Question:
    __slots__ = ("ask", "fut", "sent")

    def __init__(self, ask: pb.Ask) -> None:
        self.ask = ask
        self.fut: asyncio.Future[pb.Answer] = asyncio.get_running_loop().create_future()
        self.sent = False


class PlannerLink:
    """This instance's stream to the planner of one service."""

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
        "_questions",
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
        "is_followed",
        "news_s",
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
        parts: t.Iterable[GatewayPart] = (),
    ) -> None:
        self._shares = shares or LocalShares()
        self._strength = strength
        self._store_subscriber = listener
        self.service = service
        self.active: Counter[tuple[str, AdapterKey]] = Counter()
        """Requests of this instance by replica and weights."""
        self.gateways = 0
        """Instances that the planner knows, 0 if it has not told."""
        self.is_followed = False
        """Whether a planner has said something on the present stream."""
        self.has_resigned = False
        """Whether the planner that is followed has said that a successor is to be looked for."""
        self.peers: list[str] = []
        """Some other instances, as the planner last told."""
        self.ask_first = False
        """Whether the planner wants to be asked also for weights that are known here."""
        self.news_s = NEWS_S
        """How long the planner gathers its news, in seconds."""
        self._flush_s = FLUSH_S
        self._last_received_at = -math.inf
        self._loads_to_resend: set[str] = set()
        """Replicas for which the planner has booked requests: it is told what really is there."""
        self._address = address
        self._instance = instance
        self._fleet = fleet
        self._clock = clock
        self._executor = executor
        self._results: list[pb.OrderResult] = []
        self._sent_owned: frozenset[str] | None = None
        self._stream_number = 0
        """Number of the present stream: what belongs to an earlier one is not told on it."""
        self._clock_offset_s = math.inf
        """The planner's clock is at most so much ahead of the clock here."""
        self._questions: dict[int, _Question] = {}
        self._sent_at = -math.inf
        self._disconnected_at = clock()
        """Since when no planner is followed."""
        self._cancelled: list[int] = []
        self._changed: set[tuple[str, AdapterKey]] = set()
        self._started: Counter[tuple[str, AdapterKey]] = Counter()
        self._started_tokens: Counter[tuple[str, AdapterKey]] = Counter()
        self._sent_loads: dict[str, ReportedLoad] = {}
        self._wake = asyncio.Event()
        self._flush_requested = asyncio.Event()
        self._quotas = QuotaQuestions(clock, self.hurry)
        self._parts: tuple[GatewayPart, ...] = (self._quotas, *parts)
        """What else is told on the stream."""

    async def ask_quota(
        self, organisation: str, tokens: int, until: float, applicant: Applicant
    ) -> pb.QuotaAnswer:
        """Return the planner's answer for a quota; raises `TimeoutError`."""
        return await self._quotas.ask(organisation, tokens, until, applicant)

    def return_quota(self, organisation: str, tokens: int, granted_at: float) -> None:
        """Give back what was granted at a moment to a request that has not run."""
        self._quotas.give_back(organisation, tokens, granted_at)

    @property
    def news_age_s(self) -> float:
        """Time since the planner told something, in seconds."""
        return self._clock() - self._last_received_at

    @property
    def missed_s(self) -> float:
        """Time since the last planner was lost, in seconds; 0 while one is followed."""
        return 0.0 if self.is_followed else self._clock() - self._disconnected_at

    @property
    def is_quiet(self) -> bool:
        """Whether the planner may be lost: none is followed, or nothing has come when it should."""
        return not self.is_followed or self.news_age_s > self.news_s + UPDATE_OVERDUE_S

    async def ask(
        self,
        ticket: int,
        ask: pb.Ask,
        until: float,
        has_choice: bool = False,
        should_give_up: t.Callable[[], bool] = lambda: False,
    ) -> pb.Answer:
        """Return the planner's answer.

        Parameters
        ----------
        ticket : int
            Names the question on this stream.
        ask : Ask
            The question.
        until : float
            It is given up at the latest then.
        has_choice : bool
            Whether the asker knows what to do without an answer: it is given up as soon as the
            planner may be lost.
        should_give_up : callable
            Polled while waiting; the question is given up once it returns true.

        Raises
        ------
        TimeoutError
            If it is given up.
        """
        question = self._questions[ticket] = _Question(ask)
        self._flush_requested.set()
        self._wake.set()
        try:
            async with asyncio.timeout_at(until):
                while not question.fut.done():
                    if has_choice and self.is_quiet or should_give_up():
                        raise TimeoutError
                    if not self.is_followed and self._clock() >= self._disconnected_at + REPLACED_S:
                        raise TimeoutError
                    await asyncio.wait([question.fut], timeout=LOOK_S)
                return question.fut.result()
        finally:
            del self._questions[ticket]
            if question.sent and not question.fut.done() or question.fut.cancelled():
                self._cancelled.append(ticket)

    def note(self, replica: str, key: AdapterKey, change: int, tokens: int = 0) -> None:
        """Note that a request began (1), with a prompt of some tokens, or ended (-1)."""
        use = (replica, key)
        self.active[use] += change
        if change > 0:
            self._started[use] += 1
            self._started_tokens[use] += tokens
        rested_s = self._clock() - self._sent_at
        if (
            change > 0
            and self.active[use] == 1
            and rested_s >= FIRST_USE_SPACING_FRACTION * self._flush_s
        ):
            # Told at once: until the planner knows, it may order the weights to be unloaded.
            self._flush_requested.set()
        self._changed.add(use)
        self._wake.set()

    @property
    def flush_s(self) -> float:
        """How long what is told is gathered, in seconds, unless it is to go out at once."""
        return self._flush_s

    def tell_soon(self) -> None:
        """Have what is to be told go out with the next message."""
        self._wake.set()

    def hurry(self) -> None:
        """Tell the planner at once what has changed."""
        self._flush_requested.set()
        self._wake.set()

    async def follow(self, planner: PlannerAddress) -> None:
        """Exchange messages with a planner until the stream breaks or it falls silent."""
        host, _, port = planner.address.rpartition(":")
        channel = Channel(host, int(port))
        for question in self._questions.values():
            question.sent = False
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
                            silent_s = max(PLANNER_TIMEOUT_S, PLANNER_TIMEOUT_UPDATES * self.news_s)
                            limit.reschedule(self._clock() + silent_s)
                            self._note_followed(planner)
                            self._take(message)
                    finally:
                        sender.cancel()
        except (GRPCError, ProtocolError, StreamTerminatedError, OSError, TimeoutError) as exc:
            log.info("planner lost", service=self.service, owner=planner.owner, why=repr(exc))
        finally:
            if self.is_followed:
                self._disconnected_at = self._clock()
            self.is_followed = self.has_resigned = False
            channel.close()

    def _note_followed(self, planner: PlannerAddress) -> None:
        if self.is_followed:
            return
        self.is_followed = True
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
                # No question came, so what is in use is told by now.
                pass

    def _message(self, first: bool) -> pb.FromGateway:
        self._sent_at = self._clock()
        # Rounded down: the planner's clock seems further ahead by that.
        message = pb.FromGateway(sent_ms=math.floor(self._sent_at * 1000))
        if first:
            message.instance = self._instance
            message.service = self.service
            message.address = self._address
            message.hall = self._fleet.hall
            message.strength = self._strength
            if self._store_subscriber is not None:
                message.store_revision = self._store_subscriber.revision
            message.shares.update(self._shares.holding(self._sent_at))
        for question in self._questions.values():
            if not question.sent:
                question.sent = True
                message.asks.append(question.ask)
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
        owned = self._executor.owned(self.service)
        if owned != self._sent_owned:
            self._sent_owned = owned
            message.owned.CopyFrom(pb.OwnedEngines(replicas=sorted(owned)))

    def _carry_out(self, order: pb.EngineOrder) -> None:
        stream = self._stream_number

        def tell(result: pb.OrderResult) -> None:
            if stream == self._stream_number:
                self._results.append(result)
                self.hurry()

        if self._executor is not None:
            self._executor.carry_out(order, tell)

    def _take(self, message: pb.FromPlanner) -> None:
        self._last_received_at = self._clock()
        if message.gateways:
            self._apply_pacing(message)
        if message.HasField("echo") and message.echo.sent_ms:
            ahead_s = (message.echo.received_ms - message.echo.sent_ms) / 1000
            self._clock_offset_s = min(self._clock_offset_s, ahead_s)
        if message.HasField("store") and self._store_subscriber is not None:
            self._store_subscriber.apply_update(message.store, self._clock_offset_s)
        if message.peers:
            self.peers = list(message.peers)
        # Answers were made before the news that came with them were gathered.
        for answer in message.answers:
            self._apply_placement(answer)
        for holdings in message.holdings:
            self._fleet.set_holdings(
                holdings.replica,
                {AdapterKey(held.model, held.adapter): held.version for held in holdings.held},
            )
        if message.whole:
            self._fleet.clear_weight_locations(self.service)
        for homes in message.homes:
            self._fleet.set_weight_locations(
                self.service,
                AdapterKey(homes.model, homes.adapter),
                {home.replica: home.version for home in homes.homes},
            )
        for told in message.loads:
            self._apply_load(told, ReportedLoad())
        if message.cut_off and self._executor is not None:
            self._executor.note_outage(message.cut_off)
        for order in message.orders:
            self._carry_out(order)
        for part in self._parts:
            part.take(message)
        for answer in message.answers:
            self._apply_booking(answer)
            question = self._questions.get(answer.ticket)
            if question is not None and not question.fut.done():
                question.fut.set_result(answer)

    def _apply_placement(self, answer: pb.Answer) -> None:
        """Note that the weights of a question are on the replica that its answer names."""
        question = self._questions.get(answer.ticket)
        if question is not None and answer.replica:
            key = AdapterKey(question.ask.model, question.ask.adapter)
            self._fleet.add_holding(answer.replica, key, answer.version)

    def _apply_pacing(self, message: pb.FromPlanner) -> None:
        self.gateways = message.gateways
        # A planner of an earlier version, as in a rolling restart, tells neither.
        self.news_s = self._fleet.state_age_s = message.news_ms / 1000 or NEWS_S
        self._flush_s = message.flush_ms / 1000 or FLUSH_S
        self.ask_first = message.ask_first
        self._fleet.is_scoped = message.scoped
        self.has_resigned = message.resigned

    def _apply_load(self, told: pb.Load, booked: ReportedLoad) -> None:
        """Take over what runs at a replica.

        Parameters
        ----------
        told : pb.Load
            Of all gateways.
        booked : ReportedLoad
            What the planner counts beyond that for a request of this instance.
        """
        load = self._fleet.load(told.replica)
        own = self._sent_loads.get(told.replica, ReportedLoad())
        load.others = ReportedLoad(
            max(0, told.starting - own.starting - booked.starting),
            max(0, told.running - own.running),
            subtract_queue(subtract_queue(told.queued, own.queued), booked.queued),
            max(0, told.memory_tokens - own.memory - booked.memory),
        )
        if told.running > load.reported_running:
            # Some instance had a first event from it.
            self._fleet.health(told.replica).last_received_at = self._clock()
        load.reported_running = told.running

    def _apply_booking(self, answer: pb.Answer) -> None:
        """Take over the state of the replica that an answer names, less what is booked there."""
        if not answer.replica:
            return
        self._loads_to_resend.add(answer.replica)
        self._wake.set()
        question = self._questions.get(answer.ticket)
        if question is None or not answer.HasField("load"):
            return
        queued = (0,) * question.ask.rank + (question.ask.prompt_tokens - answer.kept_tokens,)
        memory = question.ask.prompt_tokens + question.ask.answer_tokens
        self._apply_load(answer.load, ReportedLoad(1, 0, queued, memory))
