"""Queries engines for their state, engines in use first, a limited number at a time."""

from __future__ import annotations

import asyncio
import typing as t

from .engine_index import reports_any
from .engine_registry import MAX_QUERIED_ENGINES
from .engines import Engine
from .loader import REPORT_RETRY_DELAY_S
from .model import AdapterKey

if t.TYPE_CHECKING:
    from .planner import Planner

MAX_PENDING_SYNCS = 128
"""Engines selected to be queried, those in use first, of which `MAX_QUERIED_ENGINES` are queried at
a time. A new planner would otherwise connect to all engines at once, and requests would wait behind
the reports of unused ones."""


class StateSync:
    """Queries the engines of one planner whose state is not known.

    Parameters
    ----------
    planner : Planner
        Planner of the engines.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_pending", "_planner", "_semaphore")

    def __init__(self, planner: Planner, clock: t.Callable[[], float]) -> None:
        self._planner = planner
        self._clock = clock
        self._semaphore = asyncio.Semaphore(MAX_QUERIED_ENGINES)
        self._pending: set[Engine] = set()
        """Engines whose state is being queried, or is about to be."""

    def start_queries(self, awaited_keys: t.Callable[[], set[AdapterKey]]) -> None:
        """Query the engines that are due.

        Parameters
        ----------
        awaited_keys : callable
            Returns the weights that requests wait for; their engines take precedence.
        """
        unknown = [
            engine
            for engine in self._planner.engines.values()
            if not engine.synced and engine not in self._pending
        ]
        room = MAX_PENDING_SYNCS - len(self._pending)
        if len(unknown) > room:
            awaited = awaited_keys()
            unknown.sort(
                key=lambda engine: (
                    # An engine that does not report must not delay the others.
                    engine.sync_started_at,
                    not engine.is_in_use(),
                    not reports_any(engine.replica, awaited),
                )
            )
        for engine in unknown[: max(0, room)]:
            self._pending.add(engine)
            self._planner.start(self._query(engine), engine)

    async def _query(self, engine: Engine) -> None:
        try:
            async with self._semaphore:
                if engine.is_retired:
                    return
                engine.sync_started_at = self._clock()
                await self._planner.loader.sync(engine)
        except Exception:
            # Not queried again before the delay.
            await asyncio.sleep(REPORT_RETRY_DELAY_S)
            raise
        finally:
            self._pending.discard(engine)
