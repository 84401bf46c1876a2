"""Connections of gateways to a planner, and the state updates that are sent to them.

Used by a planner while it plans for a service: it queues answers, orders and state updates for each
connected gateway, and limits updates in a large fleet to what a gateway uses.
"""

from __future__ import annotations

import itertools
import math
import typing as t

import logbook
from gradelug_policy.cells import Cells
from gradelug_wire import placement_pb2 as pb

from .engine_index import EngineIndex
from .engines import Engine, Phase
from .follower import Follower
from .model import AdapterKey, ReportedLoad
from .pacing import Pacing
from .pending import PendingUpdate, merge_store_updates
from .scope import MAX_SCOPE_KEYS, Scopes
from .store_updates import MIN_FOLLOWERS, StorePublisher
from .tunnel_peers import select_peers

if t.TYPE_CHECKING:
    from .parts import PlannerExtension

log = logbook.Logger("followers")
TIMER_TOLERANCE_S = 0.01
"""Tolerance for timers that fire slightly early or late."""
STATE_REPORT_VALIDITY_S = 0.8
"""Time for which a gateway's last report counts as current; gateways send one at least twice a
second."""
MAX_PEERS_PER_MESSAGE = 6
PEERS_INTERVAL_S = 2.0
"""Maximum number of peer addresses in one message to a gateway, and the interval between lists of
peers, in seconds."""
MAX_UNSCOPED_ENGINES = 256
MAX_UNSCOPED_PAIRS = 4096
"""Maximum number of engines, and of engines times gateways, for which every gateway receives the
state of all engines: some 1.2 MB when all connect at once. At 300 gateways and 3,000 engines full
updates took 300 MB."""
UNSCOPE_FRACTION = 0.5
"""Fraction of these limits below which full updates resume; the gap prevents frequent switching."""
MAX_LOCATIONS_PER_KEY = 32
"""Maximum number of engines listed to a gateway for the same weights; each gateway receives a
different subset."""


class Followers:
    """All gateways connected to a planner.

    In a small fleet each gateway receives the state of all engines. In a larger one it receives
    what it uses: locations of weights that it requested or used within the last seconds, and the
    load of engines on which it has requests. The update is built when the gateway reads it, so the
    data queued for a slow reader never exceeds what it uses.

    Parameters
    ----------
    engines : mapping of str to Engine
        The planner's engines by name.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    store : StorePublisher or None
        Collects the platform store's changes for the gateways; None to distribute none.
    parts : sequence of PlannerExtension
        Extensions that add fields to every update.
    index : EngineIndex or None
        Finds engines by the weights they hold, and records which engines changed.
    may_scope : bool
        Whether updates in a large fleet may be limited to what each gateway uses.
    cells : Cells or None
        Ranks engines for each gateway; selects the subset of engines listed when very many hold the
        same weights.
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
        parts: t.Sequence[PlannerExtension] = (),
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
        """Time of the last update with held weights, in seconds."""
        self.has_resigned = False
        self.pacing = Pacing(clock())
        self._scopes = Scopes()
        self.is_scoped = False
        """Whether updates are limited to what each gateway uses."""
        self._sent_loads: dict[str, ReportedLoad] = {}
        self._sent_locations: dict[AdapterKey, dict[str, int]] = {}
        """Locations of all weights in use, as of the last update."""

    def __len__(self) -> int:
        return len(self._by_number)

    def join(self, instance: str, address: str) -> Follower:
        """Connect a gateway; in a small fleet the full state is queued for it."""
        number = next(self._numbers)
        follower = Follower(number, instance, address, PendingUpdate(self._complete))
        self._by_number[number] = follower
        self.pacing.set_gateway_count(len(self))
        self._update_scoping()
        follower.queue_update(self._base_update() if self.is_scoped else self._full_update())
        return follower

    def find(self, instance: str, address: str) -> Follower | None:
        """Return the connected gateway of a process, None if there is none."""
        for follower in self._by_number.values():
            if follower.instance == instance and follower.address == address:
                return follower
        return None

    def leave(self, follower: Follower) -> bool:
        """Disconnect a gateway; return False if it was disconnected already."""
        follower.is_disconnected = True
        was_connected = self._by_number.pop(follower.number, None) is not None
        self._scopes.leave(follower.number)
        self.pacing.set_gateway_count(len(self))
        return was_connected

    def count_store_outage(self) -> int:
        """Return how many gateways cannot reach the platform store; 0 while any of them can.

        Counts only gateways that call the store continuously, as others cannot detect an outage.
        """
        since = self._clock() - STATE_REPORT_VALIDITY_S
        reporting = [
            follower
            for follower in self._by_number.values()
            if follower.last_received_at > since and follower.knows_store
        ]
        return len(reporting) if all(follower.store_away for follower in reporting) else 0

    def has_stronger(self, strength: float) -> bool:
        """Return whether a gateway is fully capable of planning while the given strength is below
        that."""
        return strength < 1 and any(found.strength >= 1 for found in self._by_number.values())

    def has_linked(self) -> bool:
        """Return whether a gateway has its links to replicas."""
        return any(not follower.is_cut_off for follower in self._by_number.values())

    def resign(self) -> None:
        """Request at once that all gateways search for a successor."""
        self.has_resigned = True
        update = self._base_update()
        update.active = True
        for follower in self._by_number.values():
            follower.queue_update(update)

    def forget(self, replica: str) -> None:
        """Record that a replica left or restarted; its load is sent again if it returns."""
        self._sent_loads.pop(replica, None)
        self._changed.add(replica)

    def mark_changed(self, replica: str) -> None:
        """Record that the weights held by a replica have changed."""
        self._changed.add(replica)

    def note_use(
        self, follower: Follower, key: AdapterKey, replica: str = "", active: int = 0
    ) -> None:
        """Record that a gateway requests weights, or its number of active requests for them on a
        replica."""
        if follower.number not in self._by_number:
            return
        now = self._clock()
        if replica:
            is_new = self._scopes.note_run(follower.number, key, replica, active, now)
        else:
            is_new = self._scopes.note(follower.number, key, now)
        if is_new:
            follower.pending.keys.add(key)

    def broadcast_updates(self, active: bool) -> None:
        """Queue the changes since the last call for every gateway, limited to what it uses where
        scoped."""
        now = self._clock()
        self.pacing.update_rates(now)
        self._update_scoping()
        update = self._base_update()
        update.active = active
        update.cut_off = self.count_store_outage()
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
            self._add_changes(update, holdings_due)
        store = None
        if self.distributes_store and self._store is not None:
            store = self._store.next_update()
        for part in self._parts:
            part.fill(update, now)
        for follower in self._by_number.values():
            follower.queue_update(update, store)

    @property
    def unread_count(self) -> int:
        """Number of gateways that have not read their last update."""
        return sum(follower.pending.is_waiting for follower in self._by_number.values())

    @property
    def distributes_store(self) -> bool:
        """Whether enough gateways are connected for the planner to poll the store for them."""
        return self._store is not None and len(self) >= MIN_FOLLOWERS

    # Updates common to all gateways.

    def _base_update(self) -> pb.FromPlanner:
        return pb.FromPlanner(
            gateways=len(self),
            news_ms=round(self.pacing.update_interval_s * 1000),
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

    def _add_changes(self, update: pb.FromPlanner, holdings_due: bool) -> None:
        """Add the changes of all engines."""
        if holdings_due:
            update.holdings.extend(self._holdings(name) for name in self._changed)
            self._changed.clear()
            self._index.changed_keys.clear()
        for name in self._index.changed_loads:
            engine = self._engines.get(name)
            if engine is not None and self._sent_loads.get(name) != engine.load():
                self._sent_loads[name] = engine.load()
                update.loads.append(encode_load(name, engine))
        self._index.changed_loads.clear()

    def _update_scoping(self) -> None:
        """Switch between full updates and updates limited to what each gateway uses."""
        fraction = UNSCOPE_FRACTION if self.is_scoped else 1.0
        engines, pairs = len(self._engines), len(self._engines) * len(self)
        is_large = (
            engines > fraction * MAX_UNSCOPED_ENGINES or pairs > fraction * MAX_UNSCOPED_PAIRS
        )
        if self.is_scoped == (is_large and self._may_scope):
            return
        self.is_scoped = not self.is_scoped
        log.info(
            "scope of state updates changed",
            scoped=self.is_scoped,
            engines=engines,
            gateways=len(self),
        )
        self._sent_loads.clear()
        self._sent_locations.clear()
        for follower in self._by_number.values():
            if self.is_scoped:
                follower.pending.needs_full_update = True
            else:
                follower.queue_update(self._full_update())

    # Updates for a single gateway.

    def _expire_scopes(self, now: float) -> None:
        for number, follower in self._by_number.items():
            pending = follower.pending
            pending.keys.update(self._scopes.expire(number, now))
            if len(pending.keys) > 2 * MAX_SCOPE_KEYS:
                pending.needs_full_update = True
                pending.keys.clear()

    def _mark_changed_loads(self) -> None:
        """Mark engines whose load changed, for each gateway that needs it."""
        changed = self._index.changed_loads
        sends_directly = not self.pacing.ask_first
        for name in changed:
            engine = self._engines.get(name)
            if engine is None:
                continue
            numbers = set(engine.gateways)
            if sends_directly:
                numbers.update(self._direct_senders(engine))
            for number in numbers:
                follower = self._by_number.get(number)
                if follower is not None:
                    follower.pending.replicas.add(name)
        for follower in self._by_number.values() if sends_directly else ():
            for subset in follower.pending.location_subsets.values():
                follower.pending.replicas.update(changed & subset.keys())
        changed.clear()

    def _direct_senders(self, engine: Engine) -> t.Iterator[int]:
        """Yield the gateways that may send requests to an engine without asking the planner."""
        for key in engine.weight_slots:
            if len(self._index.engines_holding(key)) <= MAX_LOCATIONS_PER_KEY:
                yield from self._scopes.watchers(key)

    def _mark_changed_locations(self) -> None:
        """Mark weights whose locations changed, for each gateway that uses them."""
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
            locations = self._ready_locations(key)
            if self._sent_locations.get(key) == locations:
                continue
            self._sent_locations[key] = locations
            for number in watchers:
                self._by_number[number].pending.keys.add(key)

    def _complete(self, follower: Follower, message: pb.FromPlanner) -> None:
        """Add the current state that only this gateway receives."""
        pending = follower.pending
        others = [other for other in self._by_number.values() if other is not follower]
        if others and self._is_peers_update_due(follower):
            message.peers.extend(self._peers(follower, others))
            message.tunnels.extend(select_peers(follower, others))
            message.echo.CopyFrom(follower.echo)
        if message.HasField("store") and not follower.has_full_store and self._store is not None:
            self._add_listing_page(follower, message, self._store)
        if self.is_scoped:
            self._add_scoped_state(follower, message)
        pending.keys.clear()
        pending.replicas.clear()

    def _add_listing_page(
        self, follower: Follower, message: pb.FromPlanner, store: StorePublisher
    ) -> None:
        """Add the next page of the store listing, with the state before this gateway connected."""
        sent_revision = follower.listed_revision
        since = follower.store_revision if sent_revision is None else sent_revision
        page, reached = store.next_listing_page(since, sent_revision is None)
        message.store.CopyFrom(merge_store_updates(page, message.store))
        follower.listed_revision = reached
        follower.has_full_store = not reached

    def _add_scoped_state(self, follower: Follower, message: pb.FromPlanner) -> None:
        """Add the changes of what a gateway uses, or all of it if a full update is due."""
        pending, used = follower.pending, self._scopes.used_keys(follower.number)
        if pending.needs_full_update:
            pending.needs_full_update = False
            message.whole = True
            pending.keys = set(used)
            pending.location_subsets.clear()
        for key in pending.keys:
            locations = self._ready_locations(key) if key in used else {}
            if len(locations) > MAX_LOCATIONS_PER_KEY:
                locations = self._location_subset(follower, locations)
                if pending.location_subsets.get(key) == locations:
                    continue
                pending.location_subsets[key] = locations
            else:
                pending.location_subsets.pop(key, None)
                if self._sent_locations.get(key) != locations:
                    # The gateway read between two ticks. If the locations change back before the
                    # next tick, they equal the last ones recorded, and the gateway would keep what
                    # it has just read.
                    self._sent_locations.pop(key, None)
            message.homes.append(_encode_locations(key, locations))
        for name in pending.replicas:
            engine = self._engines.get(name)
            if engine is not None:
                message.loads.append(encode_load(name, engine))

    def _is_peers_update_due(self, follower: Follower) -> bool:
        now = self._clock()
        if now - follower.peers_sent_at < PEERS_INTERVAL_S:
            return False
        follower.peers_sent_at = now
        return True

    def _peers(self, follower: Follower, others: t.Sequence[Follower]) -> list[str]:
        start = follower.number % len(others) if others else 0
        # Gateways that can plan come first: they search for a successor most often.
        ranked = sorted((*others[start:], *others[:start]), key=lambda other: other.strength < 1)
        return [other.address for other in ranked if other.address][:MAX_PEERS_PER_MESSAGE]

    def _ready_locations(self, key: AdapterKey) -> dict[str, int]:
        """Return the usable versions of weights, by engine name."""
        return {
            name: engine.weight_slots[key].version
            for name, engine in self._index.engines_holding(key).items()
            if engine.weight_slots[key].phase is Phase.READY
        }

    def _location_subset(
        self, follower: Follower, locations: t.Mapping[str, int]
    ) -> dict[str, int]:
        """Return a limited subset of many engines, stable for each gateway as far as possible."""
        names = (name for name in self._cells.ranked_engines(follower.process) if name in locations)
        return {name: locations[name] for name in itertools.islice(names, MAX_LOCATIONS_PER_KEY)}

    def _holdings(self, name: str) -> pb.Holdings:
        holdings = pb.Holdings(replica=name)
        engine = self._engines.get(name)
        if engine is None:
            return holdings
        for key, slot in engine.weight_slots.items():
            if slot.phase is Phase.READY:
                holdings.held.add(model=key.model, adapter=key.adapter, version=slot.version)
        return holdings


def _encode_locations(key: AdapterKey, locations: t.Mapping[str, int]) -> pb.Homes:
    """Encode the locations of weights; an empty list removes weights that are out of use."""
    encoded = pb.Homes(model=key.model, adapter=key.adapter)
    for name, version in locations.items():
        encoded.homes.add(replica=name, version=version)
    return encoded


def encode_load(replica: str, engine: Engine) -> pb.Load:
    """Encode an engine's load, summed over all gateways."""
    load = engine.load()
    return pb.Load(
        replica=replica,
        starting=load.starting,
        running=load.running,
        queued=load.queued,
        memory_tokens=load.memory,
    )
