"""Credits held by a router, requests running under them, and the accounts it gives of both."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

from gradelug_wire import control_pb2 as pb

MARGIN_S = 0.05
"""A credit is not spent this shortly before its end."""
REPEAT_S = 1.0
"""An account that has not changed is given again after this long."""


@dataclass(slots=True, frozen=True)
class Credit:
    """The right to start one request.

    Parameters
    ----------
    engine, key : str
        Where, and under which adapter and version.
    valid_until : float
        The request must have been handed over by then, by the runtime's clock.
    stall_s : float
        How long it waited for the adapter's load.
    """

    engine: str
    key: str
    valid_until: float
    stall_s: float = 0.0


@dataclass(slots=True)
class _Purse:
    number: int = 0
    credits: int = 0
    valid_until: float = float("-inf")
    running: int = 0
    dirty: bool = True
    reported_at: float = float("-inf")


class Wallet:
    """What the router holds, by engine and adapter.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_purses")

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._purses: dict[str, dict[str, _Purse]] = {}

    def add(self, engine: str, key: str, number: int, credits_: int, valid_until: float) -> None:
        """Take in a grant; it replaces what was left of an earlier one."""
        purse = self._purses.setdefault(key, {}).setdefault(engine, _Purse())
        if number < purse.number:
            return
        purse.number = number
        # The earlier credits ran out sooner; the owner counts both until our next account.
        purse.credits, purse.valid_until = credits_, valid_until
        purse.dirty = True

    def spend(self, engine: str, key: str, stall_s: float = 0.0) -> Credit | None:
        """Return a credit for a request that starts now, if there is one."""
        purse = self._purses.get(key, {}).get(engine)
        if purse is None or purse.credits < 1:
            return None
        if self._clock() + MARGIN_S >= purse.valid_until:
            return None
        purse.credits -= 1
        purse.running += 1
        purse.dirty = True
        return Credit(engine, key, purse.valid_until, stall_s)

    def engines_with_credit(self, key: str) -> list[str]:
        """Return the engines on which credits for an adapter are held."""
        purses = self._purses.get(key, {})
        return [engine for engine, purse in purses.items() if purse.credits]

    def end(self, credit: Credit) -> None:
        """Note that the request under a credit has ended, however it did."""
        purse = self._purses[credit.key][credit.engine]
        purse.running -= 1
        purse.dirty = True

    def drop(self, engine: str, key: str) -> None:
        """Give up the credits left for an adapter on an engine."""
        purse = self._purses.get(key, {}).get(engine)
        if purse is not None and purse.credits:
            purse.credits = 0
            purse.dirty = True

    def running(self) -> int:
        """Return the requests running."""
        return sum(purse.running for _, _, purse in self._all())

    def accounts(self) -> dict[str, list[pb.Holding]]:
        """Return the accounts that are due, by engine."""
        now = self._clock()
        due: dict[str, list[pb.Holding]] = {}
        for engine, key, purse in self._all():
            if purse.credits and now >= purse.valid_until:
                purse.credits = 0
                purse.dirty = True
            if not purse.dirty and now - purse.reported_at < REPEAT_S:
                continue
            closed = not purse.credits and not purse.running
            due.setdefault(engine, []).append(
                pb.Holding(
                    engine=engine,
                    adapter=key,
                    number=purse.number,
                    unspent=purse.credits,
                    running=purse.running,
                    closed=closed,
                )
            )
        return due

    def delivered(self, holdings: t.Iterable[pb.Holding]) -> None:
        """Note accounts that their owner has taken in."""
        now = self._clock()
        for item in holdings:
            purse = self._purses.get(item.adapter, {}).get(item.engine)
            if purse is None:
                continue
            purse.reported_at = now
            same = (purse.credits, purse.running, purse.number) == (
                item.unspent,
                item.running,
                item.number,
            )
            if same:
                purse.dirty = False
            if same and item.closed:
                self._forget(item.engine, item.adapter)

    def _forget(self, engine: str, key: str) -> None:
        del self._purses[key][engine]
        if not self._purses[key]:
            del self._purses[key]

    def _all(self) -> t.Iterator[tuple[str, str, _Purse]]:
        for key, purses in self._purses.items():
            for engine, purse in purses.items():
                yield engine, key, purse
