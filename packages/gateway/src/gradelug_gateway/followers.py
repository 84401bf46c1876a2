"""The gateways that follow a planner, and what they are told."""

from __future__ import annotations

import asyncio
import itertools
import math
import typing as t

import logbook
from gradelug_policy.cells import Cells
from gradelug_wire import placement_pb2 as pb

from .engine_index import EngineIndex
from .engines import Engine, Phase
from .model import AdapterKey, ReportedLoad
from .pacing import Pacing
from .pending import Pending, merge_store
from .scope import MAX_SCOPE_KEYS, Scopes
from .store_updates import MIN_FOLLOWERS, StorePublisher

if t.TYPE_CHECKING:
    from .parts import PlannerPart

log = logbook.Logger("followers")
TIMER_TOLERANCE_S = 0.01
"""Timers fire a little late or early."""
STATE_REPORT_VALIDITY_S = 0.8
"""What a gateway said last holds for so long: it says something twice a second."""
MAX_PEERS_PER_MESSAGE = 6
PEERS_INTERVAL_S = 2.0
"""So many other gateways are named so often to each."""
MAX_UNSCOPED_ENGINES = 256
MAX_UNSCOPED_PAIRS = 4096
"""Up to so many engines, and engines times gateways, each gateway is told of all engines: some
1.2 MB when all join at once. 300 gateways of 3,000 engines took 300 MB."""
UNSCOPE_FRACTION = 0.5
"""All are told of all again below this part of those bounds."""
MAX_LOCATIONS_PER_KEY = 32
"""Of more engines with the same weights a gateway is told of so many, others than its peers."""
MAX_QUEUED_ANSWERS = 4096
MAX_QUEUED_ORDERS = 256
"""So many wait for a gateway that reads slowly; it has given up the oldest by then: orders are
awaited 0.25 s."""


class Follower:
    """A gateway that follows this planner.

    Parameters
    ----------
    number : int
        Its number among those that ever followed.
    instance, address : str
        The process.
    pending : Pending or None
        The news that it is to be told when it reads.
    """

    __slots__ = (
        "address",
        "answers",
        "echo",
        "hall",
        "has_store",
        "heard_at",
        "instance",
        "is_gone",
        "knows_store",
        "listed_revision",
        "number",
        "outbox",
        "peers_sent_at",
        "pending",
        "quota_answers",
        "room_answers",
        "store_away",
        "store_revision",
        "strength",
        "wake",
    )

    def __init__(
        self, number: int, instance: str, address: str, pending: Pending | None = None
    ) -> None:
        self.number = number
        self.instance = instance
        self.address = address
        self.hall = ""
        """Where it stands, as it told first."""
        self.answers: list[pb.Answer] = []
        self.quota_answers: list[pb.QuotaAnswer] = []
        self.room_answers: list[pb.RoomAnswer] = []
        self.echo = pb.Echo()
        """When its newest message was sent, by its clock, and arrived, by the clock here."""
        self.outbox: list[pb.FromPlanner] = []
        """Orders; news are in `pending`."""
        self.pending = pending or Pending()
        self.peers_sent_at = -math.inf
        self.has_store = False
        """Whether it was told all that was in the store before, beside what has changed since."""
        self.listed_revision: int | None = None
        """Up to which revision of the store it was told all, None before the first piece."""
        self.heard_at = -math.inf
        self.is_gone = False
        """Whether it was taken for lost: nothing that comes from it counts any more."""
        self.knows_store = False
        """Whether it calls the platform's store all the time."""
        self.store_away = False
        """Whether it said last that it cannot reach the platform's store."""
        self.store_revision = 0
        """Revision of the store up to which it knew all when it joined, as it told first."""
        self.strength = 0.0
        """How well it could plan, as it told first."""
        self.wake = asyncio.Event()

    @property
    def process(self) -> str:
        """Name of the process, whatever stream it is on."""
        return f"{self.instance}@{self.address}"

    def answer(self, answer: pb.Answer) -> None:
        """Answer a question soon."""
        self.answers.append(answer)
        del self.answers[:-MAX_QUEUED_ANSWERS]
        self.wake.set()

    def answer_quota(self, answer: pb.QuotaAnswer) -> None:
        """Answer a question for a quota soon."""
        self.quota_answers.append(answer)
        del self.quota_answers[:-MAX_QUEUED_ANSWERS]
        self.wake.set()

    def answer_room(self, answer: pb.RoomAnswer) -> None:
        """Answer a question for room at a replica soon."""
        self.room_answers.append(answer)
        del self.room_answers[:-MAX_QUEUED_ANSWERS]
        self.wake.set()

    def send(self, message: pb.FromPlanner) -> None:
        """Send a message soon."""
        self.outbox.append(message)
        del self.outbox[:-MAX_QUEUED_ORDERS]
        self.wake.set()

    def queue_update(self, news: pb.FromPlanner, store: pb.StoreNews | None = None) -> None:
        """Tell news soon, with those that it has not read yet."""
        self.pending.add(news, store)
        self.wake.set()

    def take_messages(self) -> list[pb.FromPlanner]:
        """Return what is to be sent, answers first."""
        messages, self.outbox = self.outbox, []
        if self.answers or self.quota_answers or self.room_answers:
            first = pb.FromPlanner(
                answers=self.answers,
                quota_answers=self.quota_answers,
                room_answers=self.room_answers,
                active=True,
            )
            messages.insert(0, first)
            self.answers, self.quota_answers, self.room_answers = [], [], []
        news = self.pending.take(self)
        if news is not None:
            messages.append(news)
        return messages


class Followers:
    """All gateways that follow a planner.

    With few engines and gateways each is told of all engines. With more it is told of what it uses:
    where the weights are that it asked for or used in the last seconds, and what runs on engines at
    which it has requests. What it is to be told is put together when it reads, so that what waits
    for a slow reader is never more than what it uses.

    Parameters
    ----------
    engines : mapping of str to Engine
        The planner's engines.
    clock : callable
        The runtime's clock.
    store : StorePublisher or None
        Tells what the planner has seen in the platform's store; None to tell nothing of it.
    parts : sequence of PlannerPart
        What else there is to tell everybody.
    index : EngineIndex or None
        Finds the engines that hold weights; it knows which have changed.
    may_scope : bool
        Whether gateways of a large fleet are told of what they use alone.
    cells : Cells or None
        The engines in cells: of very many with the same weights each gateway is told of others.
    """

    __slots__ = (
        "_by_number",
        "_cells",
        "_changed",
        "_clock",
        "_engines",
        "_holdings_sent_at",
        "_index",
        "_may_scope",
        "_numbers",
        "_parts",
        "_scopes",
        "_store",
        "_sent_locations",
        "_sent_loads",
        "has_resigned",
        "is_scoped",
        "pacing",
    )

    def __init__(
        self,
        engines: t.Mapping[str, Engine],
        clock: t.Callable[[], float],
        store: StorePublisher | None = None,
        parts: t.Sequence[PlannerPart] = (),
        index: EngineIndex | None = None,
        may_scope: bool = True,
        cells: Cells | None = None,
    ) -> None:
        self._cells = cells if cells is not None else Cells()
        self._engines = engines
        self._index = index if index is not None else EngineIndex()
        self._may_scope = may_scope
        self._parts = parts
        self._store = store
        self._clock = clock
        self._by_number: dict[int, Follower] = {}
        self._numbers = itertools.count(1)
        self._changed: set[str] = set()
        self._holdings_sent_at = -math.inf
        """When it was told last what is held."""
        self.has_resigned = False
        self.pacing = Pacing(clock())
        self._scopes = Scopes()
        self.is_scoped = False
        """Whether gateways are told of what they use alone."""
        self._sent_loads: dict[str, ReportedLoad] = {}
        self._sent_locations: dict[AdapterKey, dict[str, int]] = {}
        """Where weights that any gateway uses were when it was told last."""

    def __len__(self) -> int:
        return len(self._by_number)

    def join(self, instance: str, address: str) -> Follower:
        """Take a gateway on; in a small fleet it is told all that is held."""
        number = next(self._numbers)
        follower = Follower(number, instance, address, Pending(self._complete))
        self._by_number[number] = follower
        self.pacing.note_gateways(len(self))
        self._update_scoping()
        follower.queue_update(self._base_update() if self.is_scoped else self._full_update())
        return follower

    def find(self, instance: str, address: str) -> Follower | None:
        """Return the gateway of a process, None if it does not follow."""
        for follower in self._by_number.values():
            if follower.instance == instance and follower.address == address:
                return follower
        return None

    def leave(self, follower: Follower) -> bool:
        """Forget a gateway; False if that was done before."""
        follower.is_gone = True
        left = self._by_number.pop(follower.number, None) is not None
        self._scopes.leave(follower.number)
        self.pacing.note_gateways(len(self))
        return left

    def cut_off(self) -> int:
        """Return how many gateways cannot reach the platform's store; 0 while any can.

        Only those count that call it all the time: the others do not know.
        """
        since = self._clock() - STATE_REPORT_VALIDITY_S
        heard = [
            follower
            for follower in self._by_number.values()
            if follower.heard_at > since and follower.knows_store
        ]
        return len(heard) if all(follower.store_away for follower in heard) else 0

    def has_stronger(self, strength: float) -> bool:
        """Tell whether a gateway could plan and one of a strength can not."""
        return strength < 1 and any(found.strength >= 1 for found in self._by_number.values())

    def resign(self) -> None:
        """Tell everybody at once that a successor is to be looked for."""
        self.has_resigned = True
        news = self._base_update()
        news.active = True
        for follower in self._by_number.values():
            follower.queue_update(news)

    def mark(self, replica: str) -> None:
        """Note that what a replica holds has changed."""
        self._changed.add(replica)

    def note_use(
        self, follower: Follower, key: AdapterKey, replica: str = "", active: int = 0
    ) -> None:
        """Note that a gateway asks for weights, or how many of its requests use them somewhere."""
        if follower.number not in self._by_number:
            return
        now = self._clock()
        if replica:
            is_new = self._scopes.note_run(follower.number, key, replica, active, now)
        else:
            is_new = self._scopes.note(follower.number, key, now)
        if is_new:
            follower.pending.keys.add(key)

    def tell_news(self, active: bool) -> None:
        """Tell everybody what has changed since the last time, as far as it is of use there."""
        now = self._clock()
        self.pacing.step(now)
        self._update_scoping()
        news = self._base_update()
        news.active = active
        news.cut_off = self.cut_off()
        holdings_due = (
            now - self._holdings_sent_at >= self.pacing.holdings_interval_s - TIMER_TOLERANCE_S
        )
        if holdings_due:
            self._holdings_sent_at = now
        self._expire_scopes(now)
        if self.is_scoped:
            self._mark_changed_loads()
            if holdings_due:
                self._mark_changed_locations()
        else:
            self._add_changes(news, holdings_due)
        store = None
        if self.tells_store and self._store is not None:
            store = self._store.next_update()
        for part in self._parts:
            part.fill(news, now)
        for follower in self._by_number.values():
            follower.queue_update(news, store)

    @property
    def behind(self) -> int:
        """Gateways that have not read what they were told last."""
        return sum(follower.pending.is_waiting for follower in self._by_number.values())

    @property
    def tells_store(self) -> bool:
        """Whether there are enough gateways for the planner to look at the store for them."""
        return self._store is not None and len(self) >= MIN_FOLLOWERS

    # What all are told.

    def _base_update(self) -> pb.FromPlanner:
        return pb.FromPlanner(
            gateways=len(self),
            news_ms=round(self.pacing.news_s * 1000),
            flush_ms=round(self.pacing.flush_s * 1000),
            ask_first=self.pacing.ask_first,
            resigned=self.has_resigned,
            scoped=self.is_scoped,
        )

    def _full_update(self) -> pb.FromPlanner:
        message = self._base_update()
        for name, engine in self._engines.items():
            message.holdings.append(self._holdings(name))
            message.loads.append(encode_load(name, engine))
        return message

    def _add_changes(self, news: pb.FromPlanner, holdings_due: bool) -> None:
        """Add what has changed of all engines."""
        if holdings_due:
            news.holdings.extend(self._holdings(name) for name in self._changed)
            self._changed.clear()
            self._index.changed_keys.clear()
        for name in self._index.changed_loads:
            engine = self._engines.get(name)
            if engine is not None and self._sent_loads.get(name) != engine.load():
                self._sent_loads[name] = engine.load()
                news.loads.append(encode_load(name, engine))
        self._index.changed_loads.clear()

    def _update_scoping(self) -> None:
        """Begin or end to tell gateways of what they use alone."""
        part = UNSCOPE_FRACTION if self.is_scoped else 1.0
        engines, pairs = len(self._engines), len(self._engines) * len(self)
        large = engines > part * MAX_UNSCOPED_ENGINES or pairs > part * MAX_UNSCOPED_PAIRS
        if self.is_scoped == (large and self._may_scope):
            return
        self.is_scoped = not self.is_scoped
        log.info("scope of news", scoped=self.is_scoped, engines=engines, gateways=len(self))
        self._sent_loads.clear()
        self._sent_locations.clear()
        for follower in self._by_number.values():
            if self.is_scoped:
                follower.pending.is_whole = True
            else:
                follower.queue_update(self._full_update())

    # What one is told.

    def _expire_scopes(self, now: float) -> None:
        for number, follower in self._by_number.items():
            pending = follower.pending
            pending.keys.update(self._scopes.expire(number, now))
            if len(pending.keys) > 2 * MAX_SCOPE_KEYS:
                pending.is_whole = True
                pending.keys.clear()

    def _mark_changed_loads(self) -> None:
        """Note to whom it matters what runs on the engines where that has changed."""
        changed = self._index.changed_loads
        chooses = not self.pacing.ask_first
        for name in changed:
            engine = self._engines.get(name)
            if engine is None:
                continue
            numbers = set(engine.gateways)
            if chooses:
                numbers.update(self._direct_senders(engine))
            for number in numbers:
                follower = self._by_number.get(number)
                if follower is not None:
                    follower.pending.replicas.add(name)
        for follower in self._by_number.values() if chooses else ():
            for homes in follower.pending.location_subsets.values():
                follower.pending.replicas.update(changed & homes.keys())
        changed.clear()

    def _direct_senders(self, engine: Engine) -> t.Iterator[int]:
        """Yield the gateways that may send requests there without a question."""
        for key in engine.weight_slots:
            if len(self._index.engines_holding(key)) <= MAX_LOCATIONS_PER_KEY:
                yield from self._scopes.watchers(key)

    def _mark_changed_locations(self) -> None:
        """Note to whom it matters where weights are, if that has changed."""
        changed, self._index.changed_keys = self._index.changed_keys, set()
        for name in self._changed:
            engine = self._engines.get(name)
            if engine is not None:
                changed.update(engine.weight_slots)
        self._changed.clear()
        for key in changed:
            watchers = self._scopes.watchers(key)
            if not watchers:
                self._sent_locations.pop(key, None)
                continue
            homes = self._ready_locations(key)
            if self._sent_locations.get(key) == homes:
                continue
            self._sent_locations[key] = homes
            for number in watchers:
                self._by_number[number].pending.keys.add(key)

    def _complete(self, follower: Follower, message: pb.FromPlanner) -> None:
        """Add what this gateway alone is told, as it is now."""
        pending = follower.pending
        peers = self._peers(follower)
        if peers:
            message.peers.extend(peers)
            message.echo.CopyFrom(follower.echo)
        if message.HasField("store") and not follower.has_store and self._store is not None:
            self._add_listing_page(follower, message, self._store)
        if self.is_scoped:
            self._add_scoped_state(follower, message)
        pending.keys.clear()
        pending.replicas.clear()

    def _add_listing_page(
        self, follower: Follower, message: pb.FromPlanner, store: StorePublisher
    ) -> None:
        """Add the next piece of what was told of the store before this gateway joined."""
        known = follower.listed_revision
        since = follower.store_revision if known is None else known
        piece, reached = store.next_listing_page(since, known is None)
        message.store.CopyFrom(merge_store(piece, message.store))
        follower.listed_revision = reached
        follower.has_store = not reached

    def _add_scoped_state(self, follower: Follower, message: pb.FromPlanner) -> None:
        """Add what has changed of what a gateway uses, or all of it."""
        pending, used = follower.pending, self._scopes.used_keys(follower.number)
        if pending.is_whole:
            pending.is_whole = False
            message.whole = True
            pending.keys = set(used)
            pending.location_subsets.clear()
        for key in pending.keys:
            homes = self._ready_locations(key) if key in used else {}
            if len(homes) > MAX_LOCATIONS_PER_KEY:
                homes = self._location_subset(follower, homes)
                if pending.location_subsets.get(key) == homes:
                    continue
                pending.location_subsets[key] = homes
            else:
                pending.location_subsets.pop(key, None)
                if self._sent_locations.get(key) != homes:
                    # Read between two ticks: should it be again as it was told before, the one
                    # that has read would not be told.
                    self._sent_locations.pop(key, None)
            message.homes.append(_encode_locations(key, homes))
        for name in pending.replicas:
            engine = self._engines.get(name)
            if engine is not None:
                message.loads.append(encode_load(name, engine))

    def _peers(self, follower: Follower) -> list[str]:
        now = self._clock()
        if now - follower.peers_sent_at < PEERS_INTERVAL_S:
            return []
        follower.peers_sent_at = now
        others = [other for other in self._by_number.values() if other is not follower]
        start = follower.number % len(others) if others else 0
        # Those that could plan look for a successor most often.
        others = sorted(others[start:] + others[:start], key=lambda other: other.strength < 1)
        return [other.address for other in others if other.address][:MAX_PEERS_PER_MESSAGE]

    def _ready_locations(self, key: AdapterKey) -> dict[str, int]:
        """Return the versions of weights that can be used, by engine."""
        return {
            name: engine.weight_slots[key].version
            for name, engine in self._index.engines_holding(key).items()
            if engine.weight_slots[key].phase is Phase.READY
        }

    def _location_subset(self, follower: Follower, homes: t.Mapping[str, int]) -> dict[str, int]:
        """Return a few of very many engines, which stay the same for a gateway while they can."""
        names = (name for name in self._cells.ranked_engines(follower.process) if name in homes)
        return {name: homes[name] for name in itertools.islice(names, MAX_LOCATIONS_PER_KEY)}

    def _holdings(self, name: str) -> pb.Holdings:
        holdings = pb.Holdings(replica=name)
        engine = self._engines.get(name)
        if engine is None:
            return holdings
        for key, place in engine.weight_slots.items():
            if place.phase is Phase.READY:
                holdings.held.add(model=key.model, adapter=key.adapter, version=place.version)
        return holdings


def _encode_locations(key: AdapterKey, homes: t.Mapping[str, int]) -> pb.Homes:
    """Return where weights are; nowhere as well if a gateway is not told of them any more."""
    encoded = pb.Homes(model=key.model, adapter=key.adapter)
    for name, version in homes.items():
        encoded.homes.add(replica=name, version=version)
    return encoded


def encode_load(replica: str, engine: Engine) -> pb.Load:
    """Return what runs on an engine, of all gateways."""
    load = engine.load()
    return pb.Load(
        replica=replica,
        starting=load.starting,
        running=load.running,
        queued=load.queued,
        memory_tokens=load.memory,
    )
