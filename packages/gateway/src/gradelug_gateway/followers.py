"""The gateways that follow a planner, and what they are told."""

from __future__ import annotations

import asyncio
import itertools
import math
import typing as t

from gradelug_wire import placement_pb2 as pb

from .engines import Engine, Phase
from .model import ToldLoad
from .pacing import Pacing
from .storenews import LEAST_FOLLOWERS, StoreTeller

if t.TYPE_CHECKING:
    from .parts import PlannerPart

NEWS_SLACK_S = 0.01
"""Timers fire a little late or early."""
HEARD_S = 0.8
"""What a gateway said last holds for so long: it says something twice a second."""
PEERS_TOLD = 6
PEERS_S = 2.0
"""So many other gateways are named so often to each."""


class Follower:
    """A gateway that follows this planner."""

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
        "number",
        "outbox",
        "peers_told_at",
        "quota_answers",
        "store_away",
        "strength",
        "wake",
    )

    def __init__(self, number: int, instance: str, address: str) -> None:
        self.number = number
        self.instance = instance
        self.address = address
        self.hall = ""
        """Where it stands, as it told first."""
        self.answers: list[pb.Answer] = []
        self.quota_answers: list[pb.QuotaAnswer] = []
        self.echo = pb.Echo()
        """When its newest message was sent, by its clock, and arrived, by the clock here."""
        self.outbox: list[pb.FromPlanner] = []
        self.peers_told_at = -math.inf
        self.has_store = False
        """Whether it was told all that is in the store, and since then what has changed."""
        self.heard_at = -math.inf
        self.is_gone = False
        """Whether it was taken for lost: nothing that comes from it counts any more."""
        self.knows_store = False
        """Whether it calls the platform's store all the time."""
        self.store_away = False
        """Whether it said last that it cannot reach the platform's store."""
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
        self.wake.set()

    def answer_quota(self, answer: pb.QuotaAnswer) -> None:
        """Answer a question for a quota soon."""
        self.quota_answers.append(answer)
        self.wake.set()

    def send(self, message: pb.FromPlanner) -> None:
        """Send a message soon."""
        self.outbox.append(message)
        self.wake.set()

    def take_messages(self) -> list[pb.FromPlanner]:
        """Return what is to be sent, answers first."""
        messages, self.outbox = self.outbox, []
        if self.answers or self.quota_answers:
            first = pb.FromPlanner(
                answers=self.answers, quota_answers=self.quota_answers, active=True
            )
            messages.insert(0, first)
            self.answers, self.quota_answers = [], []
        return messages


class Followers:
    """All gateways that follow a planner.

    Parameters
    ----------
    engines : mapping of str to Engine
        The planner's engines.
    clock : callable
        The runtime's clock.
    store : StoreTeller or None
        Tells what the planner has seen in the platform's store; None to tell nothing of it.
    parts : sequence of PlannerPart
        What else there is to tell everybody.
    """

    __slots__ = (
        "_by_number",
        "_changed",
        "_clock",
        "_engines",
        "_holdings_at",
        "_numbers",
        "_parts",
        "_store",
        "_told_loads",
        "has_resigned",
        "pacing",
    )

    def __init__(
        self,
        engines: t.Mapping[str, Engine],
        clock: t.Callable[[], float],
        store: StoreTeller | None = None,
        parts: t.Sequence[PlannerPart] = (),
    ) -> None:
        self._engines = engines
        self._parts = parts
        self._store = store
        self._clock = clock
        self._by_number: dict[int, Follower] = {}
        self._numbers = itertools.count(1)
        self._changed: set[str] = set()
        self._holdings_at = -math.inf
        """When it was told last what is held."""
        self.has_resigned = False
        self.pacing = Pacing(clock())
        self._told_loads: dict[str, ToldLoad] = {}

    def __len__(self) -> int:
        return len(self._by_number)

    def join(self, instance: str, address: str) -> Follower:
        """Take a gateway on and tell it all that is held."""
        number = next(self._numbers)
        follower = self._by_number[number] = Follower(number, instance, address)
        self.pacing.note_gateways(len(self))
        message = self._news()
        for name, engine in self._engines.items():
            message.holdings.append(self._holdings(name))
            message.loads.append(encode_load(name, engine))
        follower.send(message)
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
        self.pacing.note_gateways(len(self))
        return left

    def cut_off(self) -> int:
        """Return how many gateways cannot reach the platform's store; 0 while any can.

        Only those count that call it all the time: the others do not know.
        """
        since = self._clock() - HEARD_S
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
        news = self._news()
        news.active = True
        for follower in self._by_number.values():
            follower.send(news)

    def mark(self, replica: str) -> None:
        """Note that what a replica holds has changed."""
        self._changed.add(replica)

    def tell_news(self, active: bool) -> None:
        """Tell everybody what has changed since the last time."""
        self.pacing.step(self._clock())
        news = self._news()
        news.active = active
        news.cut_off = self.cut_off()
        if self._clock() - self._holdings_at >= self.pacing.holdings_s - NEWS_SLACK_S:
            self._holdings_at = self._clock()
            news.holdings.extend(self._holdings(name) for name in self._changed)
            self._changed.clear()
        for name, engine in self._engines.items():
            load = engine.load()
            if self._told_loads.get(name) != load:
                self._told_loads[name] = load
                news.loads.append(encode_load(name, engine))
        if self.tells_store and self._store is not None:
            store = self._store.news()
            if store is not None:
                news.store.CopyFrom(store)
        for part in self._parts:
            part.fill(news, self._clock())
        for follower in self._by_number.values():
            follower.send(self._for_one(news, follower))

    @property
    def tells_store(self) -> bool:
        """Whether there are enough gateways for the planner to look at the store for them."""
        return self._store is not None and len(self) >= LEAST_FOLLOWERS

    def _news(self) -> pb.FromPlanner:
        return pb.FromPlanner(
            gateways=len(self),
            news_ms=round(self.pacing.news_s * 1000),
            flush_ms=round(self.pacing.flush_s * 1000),
            ask_first=self.pacing.ask_first,
            resigned=self.has_resigned,
        )

    def _for_one(self, news: pb.FromPlanner, follower: Follower) -> pb.FromPlanner:
        """Return news with what this gateway alone is told."""
        peers = self._peers(follower)
        is_first = news.HasField("store") and not follower.has_store
        if not peers and not is_first:
            return news
        message = pb.FromPlanner()
        message.CopyFrom(news)
        message.peers.extend(peers)
        message.echo.CopyFrom(follower.echo)
        if is_first and self._store is not None:
            follower.has_store = True
            message.store.CopyFrom(self._store.all())
        return message

    def _peers(self, follower: Follower) -> list[str]:
        now = self._clock()
        if now - follower.peers_told_at < PEERS_S:
            return []
        follower.peers_told_at = now
        others = [other for other in self._by_number.values() if other is not follower]
        start = follower.number % len(others) if others else 0
        # Those that could plan look for a successor most often.
        others = sorted(others[start:] + others[:start], key=lambda other: other.strength < 1)
        return [other.address for other in others if other.address][:PEERS_TOLD]

    def _holdings(self, name: str) -> pb.Holdings:
        holdings = pb.Holdings(replica=name)
        engine = self._engines.get(name)
        if engine is None:
            return holdings
        for key, place in engine.places.items():
            if place.phase is Phase.READY:
                holdings.held.add(model=key.model, adapter=key.adapter, version=place.version)
        return holdings


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
