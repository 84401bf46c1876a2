"""Replicas as this instance sees them: who is usable, how busy, how reliable."""

from __future__ import annotations

import itertools
import random
import typing as t
from dataclasses import replace

from gradelug_policy.engine_room import EQUAL, EngineRoom, Terms, expected_s, has_room
from gradelug_policy.kept_parts import held_up_s
from gradelug_policy.reading import Busyness, ReadingSpeeds, Work, first_event_s
from gradelug_policy.spread import choose_settled, choose_spread

from .engine_speeds import PauseTally
from .health import Health
from .kept import Kept
from .limits import ReplicaLimits
from .model import AdapterKey, EngineSpec, FleetState, Holding, Replica, ToldLoad
from .pacing import FRESH_S, NEWS_S
from .replica_load import ReplicaLoad
from .rests import ReplicaRests

FAILURE_COST = 12.0
"""A replica that always fails is taken for one with so many more requests waiting."""
OTHER_HALL_COST_REQUESTS = 0.3
"""A nearer replica wins among equals only: bytes between halls have a price."""
CHOICES = 16
"""Of more replicas than this a request looks at so many, drawn anew each time."""
WAIT_PER_REQUEST_S = 0.1
"""Time that a request before a new one stands for where work is reckoned in seconds."""
NOT_HELD = -1
MAX_LISTED_RESTING = 16
"""Upper bound of resting replicas listed in one request to the planner."""
SUSPECT_FAILURE_RATE = 0.4
"""Two failures one after the other, or more than that part of all."""


class Fleet:
    """Chooses replicas.

    Parameters
    ----------
    state : FleetState
        What the platform has told.
    hall : str
        Where this instance stands.
    clock : callable
        The runtime's clock.
    has_room : bool
        Whether slots, memory and the own speed of each engine are reckoned with.
    kept : Kept or None
        Parts of prompts that engines keep, if they are reckoned with.
    limits : ReplicaLimits or None
        What replicas take that name a limit.
    rests : ReplicaRests or None
        Replicas that asked this instance for rest.
    """

    __slots__ = (
        "_by_key",
        "_by_service",
        "_clock",
        "_directory",
        "_health",
        "_incarnations",
        "_loads",
        "_rng",
        "_seen_change",
        "_reported",
        "_reported_change",
        "hall",
        "is_scoped",
        "kept",
        "limits",
        "news_s",
        "pauses",
        "rests",
        "room",
        "speeds",
        "state",
    )

    def __init__(
        self,
        state: FleetState,
        hall: str,
        clock: t.Callable[[], float],
        rng: random.Random | None = None,
        has_room: bool = False,
        kept: Kept | None = None,
        limits: ReplicaLimits | None = None,
        rests: ReplicaRests | None = None,
    ) -> None:
        self.state = state
        self.rests = rests or ReplicaRests(clock)
        self.limits = limits or ReplicaLimits(clock)
        self.hall = hall
        self.kept = kept or Kept(clock, False)
        self._clock = clock
        self._rng = rng or random.Random(0)
        self._health: dict[str, Health] = {}
        self._incarnations: dict[str, int] = {}
        self._loads: dict[str, ReplicaLoad] = {}
        # Weights usable on each replica as planners tell, and the other way round.
        self._directory: dict[str, dict[AdapterKey, int]] = {}
        self._by_key: dict[AdapterKey, dict[str, int]] = {}
        self._by_service: dict[str, list[Replica]] = {}
        self._seen_change = -1
        self._reported: dict[AdapterKey, list[str]] = {}
        """Replicas that hold weights as they say themselves, as of a change of the state."""
        self._reported_change = -1
        self.is_scoped = False
        """Whether planners tell of the weights alone that this instance uses."""
        self.speeds = ReadingSpeeds()
        """How fast engines read, as seen by this instance."""
        self.room = EngineRoom(self.speeds) if has_room else None
        """What else is known of engines at work; None to do without."""
        self.news_s = NEWS_S
        """How old news of engines may be, in seconds."""
        self.pauses: dict[str, PauseTally] = {}
        """Pauses between events that are to be told, by service."""

    def set_holdings(self, replica: str, held: dict[AdapterKey, int]) -> None:
        """Take over what a planner tells of a replica."""
        for key in self._directory.get(replica, ()):
            self._by_key[key].pop(replica, None)
        for key, version in self._directory.get(replica, {}).items():
            if held.get(key) != version:
                self.kept.parts.forget_weights(replica, key.text)
        self._directory[replica] = held
        for key, version in held.items():
            self._by_key.setdefault(key, {})[replica] = version

    def add_holding(self, replica: str, key: AdapterKey, version: int) -> None:
        """Note weights that a planner says are usable on a replica now."""
        if self._directory.get(replica, {}).get(key, version) != version:
            self.kept.parts.forget_weights(replica, key.text)
        self._directory.setdefault(replica, {})[key] = version
        self._by_key.setdefault(key, {})[replica] = version

    def note_lives(self) -> list[Replica]:
        """Forget what is known of earlier lives of replicas; return those that began another."""
        restarted = []
        for name, rep in self.state.replicas.items():
            before = self._incarnations.get(name, 0)
            self._incarnations[name] = rep.born
            if before and before != rep.born:
                restarted.append(rep)
                self._forget_incarnation(name)
        return restarted

    def _forget_incarnation(self, replica: str) -> None:
        self.set_holdings(replica, {})
        self.kept.parts.forget(replica)
        self.limits.forget(replica)
        self._health.pop(replica, None)
        load = self._loads.get(replica)
        if load is not None:
            # Its own requests there end as their connections break.
            load.others = ToldLoad()
            load.told_running = 0

    def set_homes(self, service: str, key: AdapterKey, homes: dict[str, int]) -> None:
        """Take over on which replicas of a service weights can be used, by version."""
        for name in [name for name in self._by_key.get(key, ()) if self._serves(name, service)]:
            if homes.get(name) != self._directory[name][key]:
                self._drop_holding(name, key)
        for name, version in homes.items():
            self.add_holding(name, key, version)

    def forget_homes(self, service: str) -> None:
        """Forget what planners told of a service's replicas."""
        for name in [name for name in self._directory if self._serves(name, service)]:
            for key in list(self._directory[name]):
                self._drop_holding(name, key)

    def _serves(self, name: str, service: str) -> bool:
        rep = self.state.replicas.get(name)
        return rep is None or rep.service == service

    def _drop_holding(self, name: str, key: AdapterKey) -> None:
        held = self._directory[name]
        held.pop(key, None)
        self.kept.parts.forget_weights(name, key.text)
        if not held:
            del self._directory[name]
        names = self._by_key[key]
        names.pop(name, None)
        if not names:
            del self._by_key[key]

    @property
    def located(self) -> int:
        """Weights of which planners have told where they are."""
        return len(self._by_key)

    def reported(self, service: str, key: AdapterKey) -> list[Replica]:
        """Return the replicas of a service that say themselves that weights can be used there."""
        newest, known = self.state.versions.get(key, 0), self.state.replicas
        self._refresh_reported()
        return [
            known[name]
            for name in self._reported.get(key, ())
            if name in known
            and known[name].service == service
            and not known[name].leaving
            and _reported_version(known[name].holdings, key) >= newest
        ]

    def _refresh_reported(self) -> None:
        if self._reported_change == self.state.change:
            return
        self._reported_change = self.state.change
        self._reported = {}
        for rep in self.state.replicas.values():
            for holding in rep.holdings:
                self._reported.setdefault(holding.key, []).append(rep.name)

    def is_closed(self, replica: Replica) -> bool:
        """Tell whether nothing may be sent to a replica now: it leaves or rests."""
        return self.state.is_leaving(replica) or self.rests.left_s(replica) > 0

    def health(self, replica: str) -> Health:
        """Return a replica's record."""
        return self._health.setdefault(replica, Health())

    def healths(self) -> t.Iterator[tuple[str, Health]]:
        """Yield the record of each replica."""
        return iter(self._health.items())

    def is_ejected(self, replica: str) -> bool:
        """Tell whether nothing but probes of other instances is to go to a replica."""
        health, now = self.health(replica), self._clock()
        return health.held_back(now) >= 1 and not health.may_probe(now)

    def count_ejected(self) -> int:
        """Return how many replicas are left alone as planners told."""
        now = self._clock()
        return sum(health.held_back(now) >= 1 for health in self._health.values())

    def load(self, replica: str) -> ReplicaLoad:
        """Return what runs at a replica."""
        return self._loads.setdefault(replica, ReplicaLoad())

    def has_load(self, replica: str) -> bool:
        """Tell whether anything is known of what runs at a replica."""
        return replica in self._loads

    def loads(self) -> t.Iterator[tuple[str, ReplicaLoad]]:
        """Yield what runs at each replica."""
        return iter(self._loads.items())

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that take new work."""
        if self._seen_change != self.state.change:
            self._seen_change = self.state.change
            self._by_service = {}
            for rep in self.state.replicas.values():
                if not rep.leaving:
                    self._by_service.setdefault(rep.service, []).append(rep)
        return self._by_service.get(service, [])

    def rest_s(self, service: str, only: t.Container[str] | None = None) -> float:
        """Return when a replica of a service may be sent to; 0 if one may be now.

        Parameters
        ----------
        only : container of str
            Replicas that are asked of; None for any.
        """
        found = self.usable(service)
        if only is None and self.rests.most_resting < len(found):
            return 0.0
        return self.rests.least_left_s(rep for rep in found if only is None or rep.name in only)

    def resting(self, service: str, key: AdapterKey) -> list[str]:
        """Return some replicas of a service that rest, those that hold weights first."""
        if not self.rests.most_resting:
            return []
        candidates = itertools.chain(self.holders(service, key), self.usable(service))
        names = (rep.name for rep in candidates if self.rests.left_s(rep))
        return list(dict.fromkeys(itertools.islice(names, MAX_LISTED_RESTING)))

    def holders(self, service: str, key: AdapterKey) -> list[Replica]:
        """Return the replicas of a service on which weights can be used now."""
        newest = self.state.versions.get(key, 0)
        if not self._directory and not self.is_scoped:
            # No planner has told anything yet; replicas tell the same, later.
            return self.reported(service, key)
        known = self.state.replicas
        found = []
        for name, version in self._by_key.get(key, {}).items():
            rep = known.get(name)
            if rep is None or rep.leaving or rep.service != service:
                continue
            if version >= newest:
                found.append(rep)
        return found

    def told_version(self, replica: str, key: AdapterKey) -> int | None:
        """Return the version of weights on a replica, as planners or itself told; None if none."""
        known = self.state.replicas.get(replica)
        own = _reported_version(known.holdings, key) if known is not None else NOT_HELD
        version = max(own, self._directory.get(replica, {}).get(key, NOT_HELD))
        return None if version == NOT_HELD else version

    def holders_at(self, service: str, key: AdapterKey, version: int) -> list[Replica]:
        """Return the replicas of a service that hold weights at a certain version, as last told."""
        self._refresh_reported()
        names = dict.fromkeys((*self._by_key.get(key, ()), *self._reported.get(key, ())))
        known = self.state.replicas
        return [
            known[name]
            for name in names
            if name in known
            and known[name].service == service
            and not known[name].leaving
            and self.told_version(name, key) == version
        ]

    def choose(
        self,
        replicas: t.Iterable[Replica],
        excluded: t.Container[str] = (),
        only: t.Container[str] | None = None,
        work: Work | None = None,
        may_probe: bool = False,
    ) -> Replica | None:
        """Return the replica at which a request costs least, None if there is none.

        Parameters
        ----------
        replicas : iterable of Replica
            To choose from.
        excluded, only : container of str
            Replicas that must not be chosen, and those that may be; None for any.
        work : Work or None
            What is asked of an engine; None for other replicas.
        may_probe : bool
            Whether the request may find out how a replica is that was left alone.
        """
        now = self._clock()
        found = [
            rep
            for rep in replicas
            if rep.name not in excluded
            and (only is None or rep.name in only)
            and not self.rests.left_s(rep)
        ]
        if len(found) > CHOICES:
            found = self._rng.sample(found, CHOICES)
        probed = self.to_probe(found, now) if may_probe else None
        if probed is not None:
            return probed
        closed = [rep for rep in found if self.allows(rep, now)]
        # When all of them fail, some requests still get through.
        usable = closed or found
        if work is None:
            return min(usable, key=lambda rep: self.cost(rep, now), default=None)
        if self.room is not None and self.news_s > FRESH_S:
            return self._choose_spread(usable, work, now)
        speed = self.speeds.speed(usable[0].service) if usable else 1.0
        # The same engine again and again keeps the parts of prompts that come again.
        costs_s = [
            (self._selection_cost_s(rep, at, now), number, rep)
            for number, (rep, at) in enumerate(self.kept.at_each(usable, work, speed))
        ]
        return min(costs_s)[2] if costs_s else None

    def _choose_spread(self, usable: list[Replica], work: Work, now: float) -> Replica | None:
        """Return one of some engines by old news, for prompts that begin alike the same one."""
        costs_s = [(rep, WAIT_PER_REQUEST_S * self.cost(rep, now, work)) for rep in usable]
        mark = self.kept.mark(work, len(usable), self._rng)
        if mark is None or not usable:
            return choose_spread(costs_s, self.news_s, self._rng)
        named = [(rep.name, cost_s) for rep, cost_s in costs_s]
        chosen = choose_settled(named, self.news_s, mark)
        return next(rep for rep in usable if rep.name == chosen)

    def _selection_cost_s(self, replica: Replica, work: Work, now: float) -> float:
        """Return what a request costs at an engine, and those that it would hold up, in seconds."""
        saved_delay_s = held_up_s(work.kept_tokens, self.speeds.speed(replica.service))
        return WAIT_PER_REQUEST_S * self.cost(replica, now, work) - saved_delay_s

    def allows(self, replica: Replica, now: float) -> bool:
        """Tell whether a request that may go elsewhere is to go to a replica.

        As far as its health goes, and what it takes.
        """
        if not self.limits.is_open(replica.name):
            return False
        health = self.health(replica.name)
        # Chance is drawn on only where it decides.
        chance = self._rng.random() if 0 < health.held_back(now) < 1 else 0.0
        return health.allows(now, chance)

    def to_probe(self, replicas: t.Iterable[Replica], now: float) -> Replica | None:
        """Return a replica that this instance is to probe now, None if there is none."""
        for rep in replicas:
            health = self.health(rep.name)
            if health.may_probe(now):
                health.note_probe(now)
                return rep
        return None

    def cost(self, replica: Replica, now: float, work: Work | None = None) -> float:
        """Return how long a request would wait at a replica, in requests before it."""
        load = self.load(replica.name)
        if work is None:
            cost = load.cost()
        else:
            cost = self.expected_s(replica, load.busyness(), work) / WAIT_PER_REQUEST_S
        cost += FAILURE_COST * self.health(replica.name).rate(now)
        cost += self.limits.delay_s(replica.name) / WAIT_PER_REQUEST_S
        return cost + (OTHER_HALL_COST_REQUESTS if replica.hall != self.hall else 0.0)

    def is_late(self, replica: Replica, work: Work, target_at: float) -> bool:
        """Tell whether a request's first event would come too late if it was sent now.

        Where slots are reckoned with, also whether it would wait for one or displace another: the
        planner may know of an engine with room.
        """
        now, busy = self._clock(), self.load(replica.name).busyness()
        at = self.kept.at(replica.name, work)
        is_late = now + self.expected_s(replica, busy, at) > target_at
        return is_late or self.is_full(replica, work)

    def fits(self, service: str, work: Work) -> bool:
        """Tell whether engines of a service have memory for a request at all.

        An answer may end before its longest: the prompt alone must be too large.
        """
        most = self.terms_of(service).memory_tokens
        return self.room is None or not most or work.prompt_tokens <= most

    def equalled(self, service: str, work: Work) -> Work:
        """Return what a request asks of an engine, with equal urgency where slots are short."""
        if self.room is None or not self.room.is_slot_bound(service, self.terms_of(service)):
            return work
        return replace(work, urgency=EQUAL)

    def is_full(self, replica: Replica, work: Work) -> bool:
        """Tell whether a request would displace another or wait for room; False if not known."""
        if self.room is None:
            return False
        pace = self.room.pace(replica.service, replica.name, self._clock())
        busy = self.load(replica.name).busyness()
        return not has_room(busy, work, self.terms_of(replica.service), pace)

    def expected_s(self, replica: Replica, busy: Busyness, work: Work) -> float:
        """Return the time to a request's first event on a busy engine, in seconds."""
        if self.room is None:
            return first_event_s(busy, work, self.speeds.speed(replica.service))
        pace = self.room.pace(replica.service, replica.name, self._clock())
        return expected_s(busy, work, self.terms_of(replica.service), pace)

    def terms_of(self, service: str) -> Terms:
        """Return what engines of a service can run at once."""
        snapshot = self.state.snapshot
        known = snapshot.services.get(service) if snapshot is not None else None
        return terms(known.engine) if known is not None and known.engine is not None else Terms()

    def doubted(self) -> list[str]:
        """Return the replicas that fail this instance's requests."""
        now = self._clock()
        return [
            name
            for name, health in self._health.items()
            if health.rate(now) > SUSPECT_FAILURE_RATE or not health.circuit.allows(now)
        ]

    def forget_gone(self) -> None:
        """Drop the records of replicas that are gone and at which nothing runs."""
        known = self.state.replicas
        self.limits.forget_gone(known)
        self.rests.drop_over()
        for name in [name for name in self._health if name not in known]:
            del self._health[name]
        self.kept.parts.forget_gone(known, self._clock())
        for name in [name for name in self._incarnations if name not in known]:
            del self._incarnations[name]
        for name, load in list(self._loads.items()):
            idle = not load.starting and not load.running and not any(load.queued)
            if idle and (name not in known or (self.is_scoped and name not in self._directory)):
                # What runs there is not told any more.
                del self._loads[name]
        for name in [name for name in self._directory if name not in known]:
            self.set_holdings(name, {})
            del self._directory[name]
        self._by_key = {key: names for key, names in self._by_key.items() if names}


def terms(spec: EngineSpec) -> Terms:
    """Return what engines can run at once."""
    return Terms(spec.batch, spec.kv_tokens)


def _reported_version(holdings: t.Iterable[Holding], key: AdapterKey) -> int:
    return next((held.version for held in holdings if held.key == key), NOT_HELD)
