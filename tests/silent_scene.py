"""Streams of an engine that falls silent, and what must hold for them and for what they leave."""

import asyncio

from gradelug_gateway.model import Repeat
from run_engines import EVENTS, TICK_S
from run_world import MAX_OVERLAP_S, RunWorld, events, is_whole, status

ALL = list(range(1, EVENTS + 1))
ARRIVAL_S = 0.02
"""Time until a request has arrived at an engine."""
BEGUN_S = 0.5
"""Time until a stream has begun."""


class Scene:
    """A world in which the first engine falls silent with some streams.

    Parameters
    ----------
    engines : int
        Number of engines.
    **kwargs
        Further arguments of `RunWorld`.
    """

    def __init__(self, engines, **kwargs):
        self.world = RunWorld(engines, kwargs.pop("repeat", Repeat.RESUME), **kwargs)
        self.first, *self.others = self.world.engines.values()
        self.clients = {}
        self.overlaps = OverlapWatch(self.world, self.clients)

    async def fall_silent(self, pause_s, is_begun, streams=1, **asked):
        """Ask for streams and suspend the first engine before they begin there, or after."""
        if not is_begun:
            self.first.pause(pause_s + ARRIVAL_S)
        for _ in range(streams):
            ident = f"q{len(self.clients)}"
            self.clients[ident] = self.world.ask(ident, **asked)
        await asyncio.sleep(BEGUN_S if is_begun else ARRIVAL_S)
        if is_begun:
            self.first.pause(pause_s)
        assert self.arrivals("q0") == [self.first.name]

    def arrivals(self, ident):
        """Return the names of the engines at which a request arrived."""
        return self.world.ledger.arrivals.get(ident, [])

    def faults(self):
        """Return what is wrong with the streams, which all have ended."""
        return [
            *self.world.ledger.wrong,
            *self.overlaps.found,
            *filter(None, map(self._fault, self.clients)),
            *self.left(),
        ]

    def _fault(self, ident):
        client = self.clients[ident]
        numbers = events(client)[0]
        if numbers == ALL and is_whole(client):
            return ""
        return f"{ident}: {status(client)} with {len(numbers)} events after {self.arrivals(ident)}"

    def moved(self, *idents):
        """Return those of some streams, or of all, whose events are not all of their first run."""
        found = {ident: set(events(self.clients[ident])[1]) for ident in idents or self.clients}
        return [f"{ident}: {lines}" for ident, lines in found.items() if lines != {f"{ident}.1"}]

    def left(self):
        """Return what is left of requests that have ended."""
        return left_behind(self.world)


def left_behind(world):
    """Return what a world keeps for requests, all of which have ended."""
    found = [f"{one.name} runs {list(one.runs)}" for one in world.engines.values() if one.runs]
    found += [
        f"{one.name} has {one.server.in_progress} requests"
        for one in world.engines.values()
        if one.server.in_progress
    ]
    for name, load in world.fleet.loads():
        counts = (load.starting, load.running, load.memory, *load.queued)
        if any(counts):
            found.append(f"load of {name}: {counts}")
    for (name, key), counts in world.directory.uses.items():
        if counts[-1]:
            found.append(f"{counts[-1]} uses of {key.text} at {name}")
    reserved = sum(window._reserved for window in world.budgets._windows.values())
    return [*found, f"{reserved} retries reserved"] if reserved else found


class OverlapWatch:
    """Finds runs that several engines which can be reached execute for too long.

    Parameters
    ----------
    world : RunWorld
        Its engines are watched.
    idents : collection of str
        Requests that are watched; may grow.
    """

    def __init__(self, world, idents):
        self._world = world
        self._idents = idents
        self._since = {}
        self.found = []
        """Descriptions of the overlaps."""
        self._task = asyncio.create_task(self._watch())

    async def _watch(self):
        while True:
            await asyncio.sleep(TICK_S)
            for ident in self._idents:
                self._look_at(ident, self._world.clock())

    def _look_at(self, ident, now):
        names = [one.name for one in self._world.engines_running(ident) if one.executes_calls]
        if len(names) < 2:
            self._since.pop(ident, None)
        elif now - self._since.setdefault(ident, now) > MAX_OVERLAP_S:
            self._since.pop(ident)
            self.found.append(f"{ident} executes on {names}")
