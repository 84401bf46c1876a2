"""Keeps what a server keeps for its callers within a bound, and chooses who is given up for it."""

from __future__ import annotations

import asyncio
import typing as t

import logbook

from .after_poll import call_after_poll
from .budget import SlowReader, SlowSender, read_ahead, to_refuse, to_shed

log = logbook.Logger("callers")
MAX_SHORTAGE_S = 0.5
"""When memory has been short for this long, the slowest requests are refused."""
EASE_PART = 0.75
"""Part of the bound below which memory is no longer short."""
EXCESS_PART = 1.5
"""Part of the bound above which everything that arrives is refused."""


class Upstreams(t.Protocol):
    """Answers on their way to callers, as a pool of connections keeps them."""

    @property
    def connections(self) -> int:
        """Connections that are open."""
        ...

    def held(self) -> int:
        """Return the bytes that came and were not read yet."""
        ...

    def bound_read_ahead(self, size: int) -> None:
        """Let each answer be so many bytes ahead of its reader."""
        ...


class Caller(t.Protocol):
    """The connection of a caller."""

    @property
    def held(self) -> int:
        """Bytes that are kept for it."""
        ...

    @property
    def began_at(self) -> float | None:
        """When the first byte of the request that arrives came, None if there is none."""
        ...

    @property
    def is_held_back(self) -> bool:
        """Whether its request waits for memory."""
        ...

    def stalled_since(self, now: float) -> float | None:
        """Return since when it neither reads nor sends, None if it does."""
        ...

    def arrival_rate(self, now: float) -> float:
        """Return the bytes per second at which its current request has arrived."""
        ...

    def recount(self) -> None:
        """Report what is kept for it, if that has changed."""
        ...

    def pace_reading(self) -> None:
        """Stop or go on reading, by whether memory is short."""
        ...

    def give_up(self) -> None:
        """Refuse its request or close the connection."""
        ...

    def drop(self) -> None:
        """Close the connection after an unexpected error."""
        ...


class CallerMemory:
    """Counts what is kept for callers as it changes.

    Above the bound memory is short until the count has fallen to `EASE_PART` of it. Meanwhile
    requests that are not small wait, and callers are given up: those that neither read nor send
    at once, and after `MAX_SHORTAGE_S` those whose requests arrive the slowest.

    Parameters
    ----------
    most_bytes : int
        The bound; 0 for none.
    clock : callable
        The runtime's clock.
    callers : collection of Caller
        All connections that are open.
    upstreams : Upstreams or None
        Where answers come from, if what they are ahead counts.
    """

    __slots__ = (
        "_arriving",
        "_callers",
        "_clock",
        "_held_for_callers",
        "_held_upstream",
        "_most_bytes",
        "_short_since",
        "_upstreams",
        "shed",
    )

    def __init__(
        self,
        most_bytes: int,
        clock: t.Callable[[], float],
        callers: t.Collection[Caller],
        upstreams: Upstreams | None = None,
    ) -> None:
        self._most_bytes = most_bytes
        self._clock = clock
        self._callers = callers
        self._upstreams = upstreams
        self._held_for_callers = 0
        self._arriving = 0
        """Bytes of them that belong to requests which are not whole yet."""
        self._held_upstream = 0
        """Bytes that came from upstreams and were not read, as last counted."""
        self._short_since: float | None = None
        self.shed = 0
        """Callers given up since the start."""

    @property
    def held(self) -> int:
        """Bytes kept for all callers."""
        return self._held_for_callers + self._held_upstream

    @property
    def is_bounded(self) -> bool:
        """Whether there is a bound."""
        return self._most_bytes > 0

    @property
    def is_full(self) -> bool:
        """Whether more is kept than the bound."""
        return 0 < self._most_bytes < self.held

    @property
    def is_short(self) -> bool:
        """Whether requests that are not small have to wait for memory."""
        return self._short_since is not None

    @property
    def is_exhausted(self) -> bool:
        """Whether no request at all can be kept any more."""
        return 0 < EXCESS_PART * self._most_bytes < self.held

    @property
    def has_no_room(self) -> bool:
        """Whether memory would be short even without the requests that are not whole yet."""
        return 0 < self._eased_bytes < self.held - self._arriving

    @property
    def _eased_bytes(self) -> int:
        return round(EASE_PART * self._most_bytes)

    def count(self, change: int, arriving: int) -> None:
        """Count what is kept for a caller in addition, or no longer.

        Parameters
        ----------
        change : int
            Change of the bytes that are kept.
        arriving : int
            Change of those of them that belong to a request which is not whole yet.
        """
        self._held_for_callers += change
        self._arriving += arriving
        self._note_shortage()

    def check(self) -> None:
        """Count again what changes unseen, and give up callers if it is too much."""
        if not self.is_bounded:
            return
        for caller in list(self._callers):
            caller.recount()
        if self._upstreams is not None:
            self._held_upstream = self._upstreams.held()
            size = read_ahead(self._most_bytes, self._upstreams.connections)
            self._upstreams.bound_read_ahead(size)
        self._note_shortage()
        if self.is_short:
            self._relieve()

    def _note_shortage(self) -> None:
        if self.is_full and not self.is_short:
            self._short_since = self._clock()
            self._pace_all()
            # A process that was held up has not read yet what arrived in time.
            call_after_poll(self._relieve)
        elif self.is_short and self.held <= self._eased_bytes:
            self._short_since = None
            asyncio.get_running_loop().call_soon(self._pace_all)

    def _pace_all(self) -> None:
        for caller in list(self._callers):
            caller.pace_reading()

    def _relieve(self) -> None:
        """Give up callers while memory is short."""
        if self._short_since is None:
            return
        self._shed_stalled()
        if self._clock() - self._short_since < MAX_SHORTAGE_S:
            return
        self._refuse_slowest()
        if self.is_short:
            self._short_since = self._clock()

    def _shed_stalled(self) -> None:
        """Give up callers that neither read nor send, the longest first."""
        now = self._clock()
        callers = list(self._callers)
        stalled = [
            SlowReader(number, since, caller.held)
            for number, caller in enumerate(callers)
            if (since := caller.stalled_since(now)) is not None
        ]
        for reader in to_shed(self._eased_bytes, self.held, stalled):
            log.warning(
                "caller given up, it neither reads nor sends",
                stalled_s=round(now - reader.since, 3),
                size=reader.size,
                held=self.held,
            )
            self._give_up(callers[reader.number])

    def _refuse_slowest(self) -> None:
        """Refuse requests that wait, the slowest first, until memory is no longer short."""
        now = self._clock()
        # Of equally slow ones, the first is refused that had the most time.
        callers = sorted(self._callers, key=lambda caller: caller.began_at or now)
        senders = [
            SlowSender(number, caller.arrival_rate(now), caller.held)
            for number, caller in enumerate(callers)
            if caller.is_held_back
        ]
        for sender in to_refuse(self._eased_bytes, self.held, senders):
            log.warning(
                "request refused, memory is short",
                rate=round(sender.rate),
                size=sender.size,
                held=self.held,
            )
            self._give_up(callers[sender.number])

    def _give_up(self, caller: Caller) -> None:
        self.shed += 1
        try:
            caller.give_up()
        except Exception:
            log.exception("could not refuse a request or close its connection")
            caller.drop()
