"""Creates the planner roles of an instance, and the planners that run while a role is held."""

from __future__ import annotations

import random
import typing as t

from gradelug_coordination import Election, KeyValue, LeaseKeeper, Mirror
from gradelug_policy.residency import LoadRateLimiter

from .config_freshness import ConfigFreshness
from .departures import DepartureForwarder
from .feed import Feed
from .fleet import Fleet
from .link_monitor import LinkMonitor
from .model import EngineSpec
from .origin_desk import OriginCollector
from .placement import PlannerRole
from .planner import Planner
from .planner_components import PlannerComponents, PriorState
from .planning_errors import PlanningErrors
from .poison_control import PoisonControl
from .ports import OrderTransport
from .relay import OrderRelay
from .settings import Feature, GatewaySettings
from .store_updates import StorePublisher
from .stream_origins import StreamOrigins

DUTY_PREFIX = "gradelug/planner/"
LEASE_TTL_S = 1.2
"""Time to live of the leases of planners and engine owners; a failed planner is replaced shortly
after its lease expires."""
WEAK_CANDIDATE_DELAY_S = 0.5
"""Delay with which weak instances become candidates for planning and engine ownership: planning
takes most of half a core at 86 instances."""
EXTRA_LOADS_PER_WINDOW = 3
"""Loads allowed per window beyond the rate of the weight store."""
LOAD_WINDOW_MARGIN_S = 0.1
"""Added to the length of a load window, since the delivery time of orders varies."""


class StoreAccess:
    """The platform's key-value store, and what an instance has read from it.

    Parameters
    ----------
    kv : KeyValue
        Client of the store.
    mirror : Mirror
        Local copy of the store.
    feed : Feed
        View of the fleet read from the store.
    freshness : ConfigFreshness
        Last time at which the configuration was confirmed to be current.
    """

    __slots__ = ("feed", "freshness", "kv", "mirror")

    def __init__(
        self, kv: KeyValue, mirror: Mirror, feed: Feed, freshness: ConfigFreshness
    ) -> None:
        self.kv = kv
        self.mirror = mirror
        self.feed = feed
        self.freshness = freshness


class PlannerFactory:
    """Creates planner roles and planners from the components of an instance.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the instance.
    store : StoreAccess
        The platform's key-value store.
    fleet : Fleet
        State of the replicas, with the speeds that planners start from.
    transport : OrderTransport
        Sends orders to engines.
    poison : PoisonControl
        Detects requests that crash replicas.
    origins : callable
        Returns the origins of streams that this instance has recorded.
    links : LinkMonitor
        Services from whose replicas this instance is cut off.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    rng : random.Random
        Source of jitter.
    gateways : callable
        Returns the number of gateways connected to the last planner, 0 if unknown.
    errors : PlanningErrors
        Logs and counts errors of planners.
    """

    __slots__ = (
        "_clock",
        "_errors",
        "_fleet",
        "_gateways",
        "_links",
        "_origins",
        "_poison",
        "_rng",
        "_settings",
        "_store",
        "_transport",
    )

    def __init__(
        self,
        settings: GatewaySettings,
        store: StoreAccess,
        fleet: Fleet,
        transport: OrderTransport,
        poison: PoisonControl,
        origins: t.Callable[[], StreamOrigins],
        links: LinkMonitor,
        clock: t.Callable[[], float],
        rng: random.Random,
        gateways: t.Callable[[], int],
        errors: PlanningErrors,
    ) -> None:
        self._errors = errors
        self._settings = settings
        self._store = store
        self._fleet = fleet
        self._transport = transport
        self._poison = poison
        self._origins = origins
        self._links = links
        self._clock = clock
        self._rng = rng
        self._gateways = gateways

    def new_role(self, service: str) -> PlannerRole:
        """Return the planner role of a service."""
        settings, store = self._settings, self._store

        def is_cut_off() -> bool:
            return service in self._links.cut_off

        election = Election(
            store.kv,
            store.mirror,
            f"{DUTY_PREFIX}{service}",
            settings.name,
            settings.addresses.peers,
            LeaseKeeper(store.kv, LEASE_TTL_S, self._clock, self._rng),
            self._clock,
            self._rng,
            0.0,
            settings.first_start,
            # Engines, or their owners, reject orders of a planner with an older fencing token.
            True,
            0.0 if self._is_strong else WEAK_CANDIDATE_DELAY_S,
            is_cut_off,
        )
        return PlannerRole(
            election,
            lambda: self._new_planner(service),
            settings.strength,
            is_cut_off,
            self._errors,
            self._rng,
        )

    @property
    def _is_strong(self) -> bool:
        return self._settings.strength >= 1

    def _new_planner(self, service: str) -> Planner:
        settings, estimator = self._settings, self._fleet.engine_estimator
        bounds = settings.bounds
        spec = self._engine_spec(service)
        rate_limiter = LoadRateLimiter(
            spec.loads_per_s,
            bounds.load_window_s,
            bounds.load_overage,
            EXTRA_LOADS_PER_WINDOW,
            LOAD_WINDOW_MARGIN_S,
        )
        return Planner(
            service,
            settings.name,
            spec,
            self._fleet.state,
            self._transport if bounds.fenced else OrderRelay(self._transport),
            rate_limiter,
            self._clock,
            settings.features,
            estimator.with_separate_slowness() if estimator is not None else None,
            PriorState(self._fleet.speeds, self._gateways()),
            self._new_components(service),
            self._errors,
        )

    def _new_components(self, service: str) -> PlannerComponents:
        features, store = self._settings.features, self._store
        has_poison_guard = Feature.POISON_GUARD in features
        has_departures = Feature.SAID_DEPARTURES in features
        has_origins = Feature.STREAM_ORIGINS in features
        return PlannerComponents(
            StorePublisher(store.feed, store.mirror, self._clock, store.freshness, self._is_strong),
            self._poison.aggregator(service) if has_poison_guard else None,
            DepartureForwarder(service, store.feed) if has_departures else None,
            self._new_origin_collector() if has_origins else None,
        )

    def _new_origin_collector(self) -> OriginCollector:
        origins = self._origins()
        return OriginCollector(origins.record, origins.history, self._settings.name, self._clock())

    def _engine_spec(self, service: str) -> EngineSpec:
        # Nothing may be loaded for a service that no configuration has had here.
        unknown = EngineSpec((), 0.0, 0, 1, 0, 0.0)
        return self._fleet.state.engine_specs.get(service, unknown)
