"""This instance's view of the replicas: which are usable, their load and their failure rates.

Requests and copies of runs use it to select a replica; the links to planners fill it with the
locations of weights and the load that planners report.
"""

from __future__ import annotations

import itertools
import random
import typing as t
from dataclasses import replace

from gradelug_policy.engine_capacity import (
    EQUAL_URGENCY,
    EngineCapacity,
    EngineEstimator,
    expected_first_event_s,
    has_capacity,
)
from gradelug_policy.prefill import EngineLoad, PrefillSpeeds, RequestWork, first_event_s
from gradelug_policy.prefix_cache import prefill_delay_saved_s
from gradelug_policy.weighted_choice import choose_consistent, choose_weighted

from .engine_speeds import PauseTally
from .health import Health
from .limits import ReplicaLimits
from .model import AdapterKey, EngineSpec, FleetState, Holding, Replica, ReportedLoad
from .pacing import MAX_PLACEMENT_STATE_AGE_S, UPDATE_INTERVAL_S
from .prefix_cache import PrefixCache
from .replica_load import ReplicaLoad
from .rests import BackoffTracker

FAILURE_COST_REQUESTS = 12.0
"""Cost of a replica that fails all requests, as a number of additional queued requests."""
OTHER_HALL_COST_REQUESTS = 0.3
"""Cost of a replica in another hall, in queued requests: below one, so that the same hall decides
between equal replicas only. Traffic between halls is charged."""
MAX_SAMPLED_REPLICAS = 16
"""Maximum number of replicas compared for a request; of more, a random sample is drawn."""
WAIT_PER_REQUEST_S = 0.1
"""Waiting time that corresponds to one queued request, in seconds, to convert between the units."""
NOT_HELD = -1
MAX_LISTED_RESTING = 16
"""Maximum number of resting replicas listed in one request to the planner."""
SUSPECT_FAILURE_RATE = 0.4
"""A replica with a higher failure rate, 0 to 1, is reported as failing: two failures in a row
exceed it."""


class Fleet:
    """Selects replicas by expected waiting time, health and location of weights.

    Parameters
    ----------
    state : FleetState
        View of replicas, versions and configuration, kept up to date by a feed.
    hall : str
        Hall of this instance.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    rng : random.Random or None
        Source of randomness for samples and partial ejection; seeded with 0 if None.
    has_room : bool
        Whether slots, memory and the individual speed of each engine are taken into account.
    kept : PrefixCache or None
        Prompt prefixes cached by engines; None to ignore them.
    limits : ReplicaLimits or None
        Request limits that replicas announced.
    rests : BackoffTracker or None
        Replicas that asked this instance to send nothing for some time.
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
        "_indexed_change",
        "_reported",
        "_reported_change",
        "hall",
        "is_scoped",
        "prefix_cache",
        "limits",
        "state_age_s",
        "pauses",
        "rests",
        "engine_estimator",
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
        kept: PrefixCache | None = None,
        limits: ReplicaLimits | None = None,
        rests: BackoffTracker | None = None,
    ) -> None:
        self.state = state
        self.rests = rests or BackoffTracker(clock)
        self.limits = limits or ReplicaLimits(clock)
        self.hall = hall
        self.prefix_cache = kept or PrefixCache(clock, False)
        self._clock = clock
        self._rng = rng or random.Random(0)
        self._health: dict[str, Health] = {}
        self._incarnations: dict[str, int] = {}
        self._loads: dict[str, ReplicaLoad] = {}
        # Weights usable on each replica as reported by planners, and the reverse index.
        self._directory: dict[str, dict[AdapterKey, int]] = {}
        self._by_key: dict[AdapterKey, dict[str, int]] = {}
        self._by_service: dict[str, list[Replica]] = {}
        self._indexed_change = -1
        self._reported: dict[AdapterKey, list[str]] = {}
        """Names of replicas by weights that they report themselves, as of `_reported_change`."""
        self._reported_change = -1
        self.is_scoped = False
        """Whether planners report only the weights that this instance uses."""
        self.speeds = PrefillSpeeds()
        """Prefill speeds of engines as observed by this instance."""
        self.engine_estimator = EngineEstimator(self.speeds) if has_room else None
        """Estimates of slots, memory and speed of busy engines; None to ignore them."""
        self.state_age_s = UPDATE_INTERVAL_S
        """Maximum age of the engine state that planners report, in seconds."""
        self.pauses: dict[str, PauseTally] = {}
        """Pauses between stream events that are not reported to planners yet, by service."""

    def set_holdings(self, replica: str, held: dict[AdapterKey, int]) -> None:
        """Replace the weights that a planner reports for a replica."""
        for key in self._directory.get(replica, ()):
            self._by_key[key].pop(replica, None)
        for key, version in self._directory.get(replica, {}).items():
            if held.get(key) != version:
                self.prefix_cache.parts.forget_weights(replica, key.text)
        self._directory[replica] = held
        for key, version in held.items():
            self._by_key.setdefault(key, {})[replica] = version

    def add_holding(self, replica: str, key: AdapterKey, version: int) -> None:
        """Add weights that a planner reports as usable on a replica."""
        if self._directory.get(replica, {}).get(key, version) != version:
            self.prefix_cache.parts.forget_weights(replica, key.text)
        self._directory.setdefault(replica, {})[key] = version
        self._by_key.setdefault(key, {})[replica] = version

    def detect_restarts(self) -> list[Replica]:
        """Drop the state of replicas' earlier incarnations; return the replicas that restarted."""
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
        self.prefix_cache.parts.forget(replica)
        self.limits.forget(replica)
        self._health.pop(replica, None)
        load = self._loads.get(replica)
        if load is not None:
            # This instance's requests there end when their connections break.
            load.others = ReportedLoad()
            load.reported_running = 0

    def set_weight_locations(self, service: str, key: AdapterKey, versions: dict[str, int]) -> None:
        """Replace the replicas of a service on which weights are usable.

        Parameters
        ----------
        service : str
            Service of the replicas; entries of other services stay.
        key : AdapterKey
            The weights.
        versions : dict
            Versions of the weights by name of the replica.
        """
        for name in [name for name in self._by_key.get(key, ()) if self._serves(name, service)]:
            if versions.get(name) != self._directory[name][key]:
                self._drop_holding(name, key)
        for name, version in versions.items():
            self.add_holding(name, key, version)

    def clear_weight_locations(self, service: str) -> None:
        """Drop all weights that planners reported for a service's replicas."""
        for name in [name for name in self._directory if self._serves(name, service)]:
            for key in list(self._directory[name]):
                self._drop_holding(name, key)

    def _serves(self, name: str, service: str) -> bool:
        rep = self.state.replicas.get(name)
        return rep is None or rep.service == service

    def _drop_holding(self, name: str, key: AdapterKey) -> None:
        held = self._directory[name]
        held.pop(key, None)
        self.prefix_cache.parts.forget_weights(name, key.text)
        if not held:
            del self._directory[name]
        names = self._by_key[key]
        names.pop(name, None)
        if not names:
            del self._by_key[key]

    @property
    def located_count(self) -> int:
        """Number of weights whose locations planners have reported."""
        return len(self._by_key)

    def self_reported_holders(self, service: str, key: AdapterKey) -> list[Replica]:
        """Return the replicas of a service that report the newest version of weights as usable."""
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

    def is_unavailable(self, replica: Replica) -> bool:
        """Return whether nothing may be sent to a replica now: it is leaving or resting."""
        return self.state.is_leaving(replica) or self.rests.remaining_s(replica) > 0

    def health(self, replica: str) -> Health:
        """Return the request outcomes of a replica, a new record if there is none."""
        return self._health.setdefault(replica, Health())

    def healths(self) -> t.Iterator[tuple[str, Health]]:
        """Yield the name and the request outcomes of each replica."""
        return iter(self._health.items())

    def is_ejected(self, replica: str) -> bool:
        """Return whether a replica is ejected and this instance may not probe it now."""
        health, now = self.health(replica), self._clock()
        return health.held_back(now) >= 1 and not health.may_probe(now)

    def count_ejected(self) -> int:
        """Return how many replicas planners report as ejected."""
        now = self._clock()
        return sum(health.held_back(now) >= 1 for health in self._health.values())

    def load(self, replica: str) -> ReplicaLoad:
        """Return the load of a replica, a new record if there is none."""
        return self._loads.setdefault(replica, ReplicaLoad())

    def has_load(self, replica: str) -> bool:
        """Return whether the load of a replica is known."""
        return replica in self._loads

    def loads(self) -> t.Iterator[tuple[str, ReplicaLoad]]:
        """Yield the name and the load of each replica."""
        return iter(self._loads.items())

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that are not leaving."""
        if self._indexed_change != self.state.change:
            self._indexed_change = self.state.change
            self._by_service = {}
            for rep in self.state.replicas.values():
                if not rep.leaving:
                    self._by_service.setdefault(rep.service, []).append(rep)
        return self._by_service.get(service, [])

    def rest_s(self, service: str, only: t.Container[str] | None = None) -> float:
        """Return the time until a replica of a service stops resting; 0 if one accepts requests.

        Parameters
        ----------
        service : str
            Service of the replicas.
        only : container of str or None
            Names of the replicas to consider; None for all.

        Returns
        -------
        float
            Shortest remaining rest, in seconds.
        """
        found = self.usable(service)
        if only is None and self.rests.max_active_count < len(found):
            return 0.0
        return self.rests.min_remaining_s(rep for rep in found if only is None or rep.name in only)

    def resting(self, service: str, key: AdapterKey) -> list[str]:
        """Return names of some resting replicas of a service, those that hold weights first."""
        if not self.rests.max_active_count:
            return []
        candidates = itertools.chain(self.holders(service, key), self.usable(service))
        names = (rep.name for rep in candidates if self.rests.remaining_s(rep))
        return list(dict.fromkeys(itertools.islice(names, MAX_LISTED_RESTING)))

    def holders(self, service: str, key: AdapterKey) -> list[Replica]:
        """Return the replicas of a service on which weights are usable at their newest version."""
        newest = self.state.versions.get(key, 0)
        if not self._directory and not self.is_scoped:
            # No planner has reported yet; the replicas' own entries have the same, but later.
            return self.self_reported_holders(service, key)
        known = self.state.replicas
        found = []
        for name, version in self._by_key.get(key, {}).items():
            rep = known.get(name)
            if rep is None or rep.leaving or rep.service != service:
                continue
            if version >= newest:
                found.append(rep)
        return found

    def known_version(self, replica: str, key: AdapterKey) -> int | None:
        """Return the newest version of weights reported for a replica; None if it holds none."""
        known = self.state.replicas.get(replica)
        own = _reported_version(known.holdings, key) if known is not None else NOT_HELD
        version = max(own, self._directory.get(replica, {}).get(key, NOT_HELD))
        return None if version == NOT_HELD else version

    def holders_of_version(self, service: str, key: AdapterKey, version: int) -> list[Replica]:
        """Return the replicas of a service that hold a version of weights, as last reported."""
        self._refresh_reported()
        names = dict.fromkeys((*self._by_key.get(key, ()), *self._reported.get(key, ())))
        known = self.state.replicas
        return [
            known[name]
            for name in names
            if name in known
            and known[name].service == service
            and not known[name].leaving
            and self.known_version(name, key) == version
        ]

    def choose(
        self,
        replicas: t.Iterable[Replica],
        excluded: t.Container[str] = (),
        only: t.Container[str] | None = None,
        work: RequestWork | None = None,
        may_probe: bool = False,
    ) -> Replica | None:
        """Return the replica with the lowest cost for a request, None if there is none.

        Parameters
        ----------
        replicas : iterable of Replica
            Candidates.
        excluded, only : container of str
            Names of replicas that must not be selected, and of those that may be; None for any.
        work : RequestWork or None
            Resources that the request needs on an engine; None for other replicas.
        may_probe : bool
            Whether the request may probe an ejected replica.
        """
        now = self._clock()
        candidates = [
            rep
            for rep in replicas
            if rep.name not in excluded
            and (only is None or rep.name in only)
            and not self.rests.remaining_s(rep)
        ]
        if len(candidates) > MAX_SAMPLED_REPLICAS:
            candidates = self._rng.sample(candidates, MAX_SAMPLED_REPLICAS)
        probe_target = self.claim_probe(candidates, now) if may_probe else None
        if probe_target is not None:
            return probe_target
        allowed = [rep for rep in candidates if self.allows(rep, now)]
        # If all replicas fail, requests are sent anyway: some of them succeed.
        usable = allowed or candidates
        if work is None:
            return min(usable, key=lambda rep: self.cost(rep, now), default=None)
        if self.engine_estimator is not None and self.state_age_s > MAX_PLACEMENT_STATE_AGE_S:
            return self._choose_spread(usable, work, now)
        speed = self.speeds.speed(usable[0].service) if usable else 1.0
        # Equal costs fall to the same engine each time, which keeps its prompt cache in use.
        costs_s = [
            (self._selection_cost_s(rep, work_at, now), number, rep)
            for number, (rep, work_at) in enumerate(
                self.prefix_cache.work_at_each(usable, work, speed)
            )
        ]
        return min(costs_s)[2] if costs_s else None

    def _choose_spread(
        self, usable: list[Replica], work: RequestWork, now: float
    ) -> Replica | None:
        """Return an engine by outdated state, the same one for prompts with the same prefix.

        Engines are drawn by cost rather than the cheapest taken, as instances with the same
        outdated state would all select that one.
        """
        costs_s = [(rep, WAIT_PER_REQUEST_S * self.cost(rep, now, work)) for rep in usable]
        mark = self.prefix_cache.selection_digest(work, len(usable), self._rng)
        if mark is None or not usable:
            return choose_weighted(costs_s, self.state_age_s, self._rng)
        named = [(rep.name, cost_s) for rep, cost_s in costs_s]
        chosen = choose_consistent(named, self.state_age_s, mark)
        return next(rep for rep in usable if rep.name == chosen)

    def _selection_cost_s(self, replica: Replica, work: RequestWork, now: float) -> float:
        """Return the cost of a request at an engine, in seconds.

        The delay that a cached prefix saves other requests is deducted.
        """
        saved_delay_s = prefill_delay_saved_s(work.kept_tokens, self.speeds.speed(replica.service))
        return WAIT_PER_REQUEST_S * self.cost(replica, now, work) - saved_delay_s

    def allows(self, replica: Replica, now: float) -> bool:
        """Return whether a replica's health and request limit allow another request."""
        if not self.limits.may_offer(replica.name):
            return False
        health = self.health(replica.name)
        # A random number is drawn only where it decides.
        chance = self._rng.random() if 0 < health.held_back(now) < 1 else 0.0
        return health.allows(now, chance)

    def claim_probe(self, replicas: t.Iterable[Replica], now: float) -> Replica | None:
        """Return a replica that this instance is to probe now and record the probe; else None."""
        for rep in replicas:
            health = self.health(rep.name)
            if health.may_probe(now):
                health.note_probe(now)
                return rep
        return None

    def cost(self, replica: Replica, now: float, work: RequestWork | None = None) -> float:
        """Return the cost of a request at a replica, in units of requests queued before it."""
        load = self.load(replica.name)
        if work is None:
            cost = load.cost()
        else:
            cost = self.expected_s(replica, load.busyness(), work) / WAIT_PER_REQUEST_S
        cost += FAILURE_COST_REQUESTS * self.health(replica.name).rate(now)
        cost += self.limits.delay_s(replica.name) / WAIT_PER_REQUEST_S
        return cost + (OTHER_HALL_COST_REQUESTS if replica.hall != self.hall else 0.0)

    def is_late(self, replica: Replica, work: RequestWork, target_at: float) -> bool:
        """Return whether a request's first event would miss its target time if sent now.

        Where slots are taken into account, also whether the request would wait for a slot or
        displace another: the planner may know an engine with free capacity.
        """
        now, busy = self._clock(), self.load(replica.name).busyness()
        work_at = self.prefix_cache.work_at(replica.name, work)
        is_late = now + self.expected_s(replica, busy, work_at) > target_at
        return is_late or self.is_full(replica, work)

    def fits_memory(self, service: str, work: RequestWork) -> bool:
        """Return whether a request's prompt fits into the memory of a service's engines.

        The answer is not counted: it may end before its maximum length.
        """
        max_tokens = self.service_engine_capacity(service).memory_tokens
        return self.engine_estimator is None or not max_tokens or work.prompt_tokens <= max_tokens

    def with_equal_urgency(self, service: str, work: RequestWork) -> RequestWork:
        """Return a request's work, with the common urgency where slots are the bottleneck."""
        if self.engine_estimator is None or not self.engine_estimator.is_slot_bound(
            service, self.service_engine_capacity(service)
        ):
            return work
        return replace(work, urgency=EQUAL_URGENCY)

    def is_full(self, replica: Replica, work: RequestWork) -> bool:
        """Return whether a request would displace another or wait for capacity.

        False if that is unknown.
        """
        if self.engine_estimator is None:
            return False
        pace = self.engine_estimator.pace(replica.service, replica.name, self._clock())
        busy = self.load(replica.name).busyness()
        return not has_capacity(busy, work, self.service_engine_capacity(replica.service), pace)

    def expected_s(self, replica: Replica, busy: EngineLoad, work: RequestWork) -> float:
        """Return the time to a request's first event on a busy engine, in seconds."""
        if self.engine_estimator is None:
            return first_event_s(busy, work, self.speeds.speed(replica.service))
        pace = self.engine_estimator.pace(replica.service, replica.name, self._clock())
        return expected_first_event_s(
            busy, work, self.service_engine_capacity(replica.service), pace
        )

    def service_engine_capacity(self, service: str) -> EngineCapacity:
        """Return the capacity of one engine of a service; zeros if it is unknown."""
        snapshot = self.state.snapshot
        known = snapshot.services.get(service) if snapshot is not None else None
        return (
            engine_capacity_of(known.engine)
            if known is not None and known.engine is not None
            else EngineCapacity()
        )

    def doubted(self) -> list[str]:
        """Return names of replicas with many recent failures of this instance's requests."""
        now = self._clock()
        return [
            name
            for name, health in self._health.items()
            if health.rate(now) > SUSPECT_FAILURE_RATE or not health.circuit.allows(now)
        ]

    def forget_gone(self) -> None:
        """Drop the records of removed replicas; loads only where no request runs."""
        known = self.state.replicas
        self.limits.forget_removed(known)
        self.rests.drop_expired()
        if self.engine_estimator is not None:
            self.engine_estimator.paces.forget_gone(known)
        for name in [name for name in self._health if name not in known]:
            del self._health[name]
        self.prefix_cache.parts.forget_gone(known, self._clock())
        for name in [name for name in self._incarnations if name not in known]:
            del self._incarnations[name]
        for name, load in list(self._loads.items()):
            idle = not load.starting and not load.running and not any(load.queued)
            if idle and (name not in known or (self.is_scoped and name not in self._directory)):
                # Planners report no load for it: it was removed or holds no weights used here.
                del self._loads[name]
        for name in [name for name in self._directory if name not in known]:
            self.set_holdings(name, {})
            del self._directory[name]
        self._by_key = {key: names for key, names in self._by_key.items() if names}


def engine_capacity_of(spec: EngineSpec) -> EngineCapacity:
    """Return the capacity of an engine by its specification."""
    return EngineCapacity(spec.batch, spec.kv_tokens)


def _reported_version(holdings: t.Iterable[Holding], key: AdapterKey) -> int:
    return next((held.version for held in holdings if held.key == key), NOT_HELD)
