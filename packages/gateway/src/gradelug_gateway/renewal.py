"""Newer versions of weights take the place of older ones on a planner's engines."""

from __future__ import annotations

import typing as t

from gradelug_policy.renewal import renewals_left

from .engines import Engine, Phase, Place
from .model import AdapterKey, OrderOutcome, Term

if t.TYPE_CHECKING:
    from .planner import Planner


class Renewal:
    """Unloads older versions when no run uses them; what is asked for is then loaded newest.

    An engine that is ordered to unload waits for its runs, rejects all other requests until then,
    and drops the weights as soon as a run is stopped, whose memory has no use then. So the order
    is given when no run is left, and requests go elsewhere before.

    Parameters
    ----------
    planner : Planner
        Whose engines.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_outdated", "_planner", "_renewals", "_seen_versions")

    def __init__(self, planner: Planner, clock: t.Callable[[], float]) -> None:
        self._planner = planner
        self._clock = clock
        self._seen_versions: dict[AdapterKey, int] = {}
        self._outdated: set[AdapterKey] = set()
        """Weights of which some engine may hold a version that is not the newest."""
        self._renewals: dict[tuple[str, AdapterKey], float] = {}
        """Engines and base models that are being renewed there, and since when."""

    def run_due(self, term: Term) -> None:
        """Do what is due in the planner's term."""
        self._find_outdated()
        self._forget_finished()
        versions, index = self._planner.state.versions, self._planner.index
        for key in list(self._outdated):
            held = {
                name: engine
                for name, engine in index.with_key(key).items()
                if engine.places[key].version < versions[key]
            }
            if not held:
                self._outdated.discard(key)
            elif key.adapter:
                for name, engine in held.items():
                    self._renew_adapter(term, name, engine, key)
            else:
                self._renew_model(term, held, key)

    def _find_outdated(self) -> None:
        """Find weights of which a version was named, or that came into a place, since last time."""
        versions, index = self._planner.state.versions, self._planner.index
        added, index.added_keys = index.added_keys, set()
        self._outdated.update(key for key in added if key in versions)
        if versions != self._seen_versions:
            self._outdated.update(
                key for key, version in versions.items() if self._seen_versions.get(key) != version
            )
            self._seen_versions = dict(versions)

    def _renew_adapter(self, term: Term, name: str, engine: Engine, key: AdapterKey) -> None:
        place = engine.places[key]
        if place.phase in (Phase.LOADING, Phase.UNLOADING):
            return
        if place.phase is Phase.READY:
            place.phase = Phase.LEAVING
            self._planner.followers.mark(name)
        if engine.synced and not engine.request_count(key):
            self._planner.start(self._unload(term, engine, key, place))

    def _renew_model(self, term: Term, held: t.Mapping[str, Engine], key: AdapterKey) -> None:
        """Renew a base model engine by engine, those with the fewest runs first."""
        draining = [engine for engine in held.values() if engine.places[key].phase is Phase.LEAVING]
        self._drain_some(held, key)
        for engine in draining:
            # Adapters may have been loaded since.
            engine.drain_model(key)
            if engine.synced and not engine.uses_model(key.model):
                self._planner.start(self._unload(term, engine, key, engine.places[key]))

    def _drain_some(self, held: t.Mapping[str, Engine], key: AdapterKey) -> None:
        """Close engines for the renewal of their base model; gateways have yet to be told."""
        now, engines = self._clock(), self._planner.engines
        allowed = renewals_left(self._renewals.values(), len(engines), now)
        if not allowed:
            return
        ready = [
            (engine.model_request_count(key.model), name)
            for name, engine in held.items()
            if engine.places[key].phase is Phase.READY
        ]
        for _, name in sorted(ready)[:allowed]:
            self._renewals[name, key] = now
            engines[name].drain_model(key)
            self._planner.followers.mark(name)

    def _forget_finished(self) -> None:
        """Forget engines that have a base model again, or are gone."""
        for name, key in list(self._renewals):
            engine = self._planner.engines.get(name)
            if engine is None or engine.holds(key):
                del self._renewals[name, key]
            elif key not in engine.places and engine.has_any_model():
                # Another base model came in its place.
                del self._renewals[name, key]

    async def _unload(self, term: Term, engine: Engine, key: AdapterKey, place: Place) -> None:
        async with engine.lock:
            held = engine.places.get(key) is place
            if term.is_over or not engine.synced or not held:
                return
            outcome = await self._planner.loading.order(term, engine, False, key, 0)
            engine.discard(key, place)
            if outcome is not OrderOutcome.HOLDS:
                self._planner.loading.track_unload(engine, key, outcome)
            elif not key.adapter:
                engine.drop_model(key)
                self._planner.followers.mark(engine.replica.name)
