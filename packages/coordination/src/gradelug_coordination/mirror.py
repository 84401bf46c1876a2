"""A local copy of the keys below a prefix, kept by one listing and one resumed watch."""

from __future__ import annotations

import asyncio
import random
import typing as t

import logbook

from .backoff import Backoff
from .exceptions import CoordinationError, WatchCompacted
from .kv import KeyValue, KvEntry, KvEvent
from .positions import era_of

log = logbook.Logger("mirror")
FIRST_DELAY_S = 0.1
MOST_DELAY_S = 5.0
MOST_REST_S = 12.0
"""Whoever is told of changes by others looks itself after this."""
LEAST_REST_S = 1.0
LEAST_WAIT_S = 0.001
"""What a clock may be unable to tell apart is not waited for."""
LIST_AFTER = 2.0
"""After a rest of more than so many usual pauses, or so many seconds, the keys are listed anew: a
watch brings each state in between as well, reckoned at 400 KB after 8 s with 45 replicas, or 0.6 s
of a link of 5 Mbit/s."""


class Mirror:
    """Keeps `entries` like the service's, as far as its watch has come.

    Members, owners and the head of the configuration share one mirror, since the service
    counts a waiting watch as a call.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    prefix : str
        What to mirror.
    rng : random.Random
        Source of jitter for the way back after an outage.
    most_delay_s : float
        Longest pause between attempts, in seconds.
    spacing_s : float
        Changes are gathered this long, in seconds, since each look at them is a call.
    lapse_s : float
        Keys that are deleted within this time after an outage, in seconds, count as missing: their
        writers may have been kept from renewing them, and write them again.
    is_polled : bool
        Whether each step of the service's watch is a call that is begun when it is asked for, so
        that its answer shows all that was changed before.
    """

    __slots__ = (
        "_backoff",
        "_interrupted",
        "_is_polled",
        "_hurry",
        "_kv",
        "_lapse_s",
        "_listeners",
        "_lost_at",
        "_prefix",
        "_proves_from",
        "_regained_at",
        "_rest_until",
        "entries",
        "looked_at",
        "missing",
        "proven_at",
        "revision",
        "spacing_s",
        "synced",
    )

    def __init__(
        self,
        kv: KeyValue,
        prefix: str,
        rng: random.Random,
        most_delay_s: float = MOST_DELAY_S,
        spacing_s: float = 0.0,
        lapse_s: float = 0.0,
        is_polled: bool = False,
    ) -> None:
        self._kv = kv
        self._prefix = prefix
        self._backoff = Backoff(FIRST_DELAY_S, most_delay_s, rng)
        self.spacing_s = spacing_s
        self._rest_until = float("-inf")
        self.looked_at = float("-inf")
        """When the service answered last."""
        self.proven_at = float("-inf")
        """All that was changed before this moment shows here."""
        self._is_polled = is_polled
        self._lapse_s = lapse_s
        self._regained_at = float("-inf")
        self._proves_from = float("-inf")
        """Before this moment a copy may lack recent changes."""
        self._hurry = asyncio.Event()
        self._interrupted = False
        self._lost_at: float | None = None
        self._listeners: list[t.Callable[[], None]] = []
        self.entries: dict[str, KvEntry] = {}
        self.missing: set[str] = set()
        """Keys that an outage may have removed, and not their writers."""
        self.revision = 0
        self.synced = False
        """Whether the watch is running; False from an outage until the next listing."""

    def hurry(self) -> None:
        """Look for changes now: somebody waits for one."""
        self._hurry.set()

    @property
    def is_lost(self) -> bool:
        """Whether the service failed last; not while it has yet to answer for the first time."""
        return self._lost_at is not None

    def rest_until(self, at: float) -> None:
        """Do not look for changes before a moment: this instance is told of them otherwise."""
        self._rest_until = min(at, self.looked_at + MOST_REST_S)

    def subscribe(self, listener: t.Callable[[], None]) -> None:
        """Call `listener` after every change."""
        self._listeners.append(listener)

    def below(self, prefix: str) -> t.Iterator[KvEntry]:
        """Yield the entries below a prefix."""
        return (entry for key, entry in self.entries.items() if key.startswith(prefix))

    async def run(self) -> None:
        """Mirror until cancelled."""
        while True:
            try:
                await self._list()
                self._backoff.reset()
                await self._watch()
                while True:
                    await self._list()
                    if not await self._pause():
                        await self._watch()
            except WatchCompacted:
                continue
            except CoordinationError as exc:
                self._note_lost(exc)
                await asyncio.sleep(self._backoff.next_delay())

    def _note_lost(self, exc: CoordinationError) -> None:
        self.synced = False
        self._interrupted = True
        if self._lost_at is None:
            self._lost_at = asyncio.get_running_loop().time()
            log.warning("store lost", prefix=self._prefix, revision=self.revision, why=repr(exc))

    def _note_regained(self) -> None:
        self.synced = True
        self._interrupted = False
        if self._lost_at is None:
            return
        self._regained_at = asyncio.get_running_loop().time()
        away_s = self._regained_at - self._lost_at
        self._lost_at = None
        log.info(
            "store regained",
            prefix=self._prefix,
            revision=self.revision,
            away_s=round(away_s, 2),
            missing=len(self.missing),
        )

    async def _list(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        listing = await self._kv.list(self._prefix)
        if listing.revision < self.revision:
            raise CoordinationError("the service answered from before what was already seen")
        entries = {entry.key: entry for entry in listing.entries}
        if self.has_gone_back(listing.revision):
            self._note_gone_back(listing.revision)
        if self._interrupted:
            self.missing |= self.entries.keys()
        self.missing -= entries.keys()
        self.entries = entries
        self.revision = listing.revision
        self.looked_at = asyncio.get_running_loop().time()
        self._note_proven(asked_at)
        self._note_regained()
        self._notify()

    def _note_proven(self, asked_at: float) -> None:
        if asyncio.get_running_loop().time() >= self._proves_from:
            self.proven_at = asked_at

    def has_gone_back(self, revision: int) -> bool:
        """Tell whether the service came back from a copy between what is known and a position."""
        return bool(self.revision) and era_of(revision) > era_of(self.revision)

    def _note_gone_back(self, revision: int) -> None:
        """Treat keys that the copy lacks as missing, since their writers restore them."""
        log.warning(
            "store went back to a copy", prefix=self._prefix, known=self.revision, now=revision
        )
        self._interrupted = True
        self._regained_at = asyncio.get_running_loop().time()
        self._proves_from = self._regained_at + self._lapse_s

    async def _watch(self) -> None:
        """Follow changes until so much time has passed that a listing is less to read."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        async for events in self._kv.watch(self._prefix, self.revision):
            for event in events:
                if event.revision <= self.revision and event.entry is None:
                    continue
                self._take(event)
            self.revision = max([self.revision, *(event.revision for event in events)])
            self.looked_at = loop.time()
            if self._is_polled:
                self._note_proven(asked_at)
            self._notify()
            if await self._pause():
                return
            asked_at = loop.time()

    def _take(self, event: KvEvent) -> None:
        self.missing.discard(event.key)
        if event.entry is not None:
            self.entries[event.key] = event.entry
            return
        self.entries.pop(event.key, None)
        if asyncio.get_running_loop().time() - self._regained_at < self._lapse_s:
            self.missing.add(event.key)

    async def _pause(self) -> bool:
        """Gather changes; return whether so many may have come that a listing is less to read."""
        if not self.spacing_s:
            return False
        loop = asyncio.get_running_loop()
        while not self._hurry.is_set():
            rest_s = max(self.looked_at + self.spacing_s, self._rest_until) - loop.time()
            if rest_s < LEAST_WAIT_S:
                break
            try:
                async with asyncio.timeout(rest_s):
                    await self._hurry.wait()
            except TimeoutError:
                # Nobody was in a hurry; it may have been told to rest longer.
                continue
        self._hurry.clear()
        return loop.time() - self.looked_at > LIST_AFTER * max(self.spacing_s, LEAST_REST_S)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
