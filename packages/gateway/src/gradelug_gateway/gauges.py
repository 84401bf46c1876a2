"""Gauges for the current state of a daemon, added to its metrics when it is created."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

from gradelug_coordination import Mirror
from gradelug_http import HttpPool, HttpServer

from .config_freshness import ConfigFreshness
from .directory import Directory
from .fleet import Fleet
from .metrics import GatewayMetrics
from .model import FleetState
from .planner import Planner
from .poison_control import PoisonControl
from .prefix_cache import add_gauges as add_prefix_cache_gauges
from .replica_access import ReplicaAccess
from .startup_progress import StartupPart, StartupProgress


@dataclass(slots=True, frozen=True)
class GaugeSources:
    """Components of a daemon whose state the gauges show.

    Parameters
    ----------
    callers : HttpServer
        Server for requests of callers.
    pool : HttpPool
        Connections to replicas.
    state : FleetState
        State of the fleet, as read from the platform.
    fleet : Fleet
        Replicas and the state of each.
    mirror : Mirror
        Local copy of the platform store.
    freshness : ConfigFreshness
        Last time at which the configuration was confirmed to be current.
    directory : Directory
        Links to the planners that this instance follows.
    startup_progress : StartupProgress
        Time after startup until each part of the state was available.
    poison : PoisonControl
        Blocked requests, and replicas that ended while running requests.
    planners : callable
        Returns the active planners of this instance.
    access : ReplicaAccess
        Paths to replicas, and tunnels for peers.
    """

    callers: HttpServer
    pool: HttpPool
    state: FleetState
    fleet: Fleet
    mirror: Mirror
    freshness: ConfigFreshness
    directory: Directory
    startup_progress: StartupProgress
    poison: PoisonControl
    planners: t.Callable[[], list[Planner]]
    access: ReplicaAccess


def add_daemon_gauges(
    meters: GatewayMetrics, sources: GaugeSources, clock: t.Callable[[], float]
) -> None:
    """Add the gauges of a daemon.

    Parameters
    ----------
    meters : GatewayMetrics
        Metrics to which the gauges are added.
    sources : GaugeSources
        Components whose state is read.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    """
    gauge = meters.add_gauge
    add_prefix_cache_gauges(meters, sources.fleet.prefix_cache.parts, sources.planners)
    add_startup_gauges(meters, sources.startup_progress)
    gauge("requests_in_progress", "Requests in progress", lambda: sources.callers.in_progress)
    gauge("unread_bytes", "Bytes buffered for slow callers", lambda: sources.callers.held)
    gauge(
        "callers_given_up",
        "Callers disconnected since startup because they read too slowly",
        lambda: sources.callers.shed,
    )
    gauge(
        "longest_loop_delay_seconds",
        "Longest time by which a periodic check of callers' connections was late",
        lambda: sources.callers.longest_delay_s,
    )
    gauge(
        "connections_opened",
        "Connections to replicas opened since startup",
        lambda: sources.pool.opened,
    )
    gauge(
        "connections_doubted",
        "Idle connections closed after another connection to the same replica stopped responding",
        lambda: sources.pool.doubted,
    )
    gauge(
        "connections_forgotten",
        "Idle connections reset since startup when they were used again",
        lambda: sources.pool.resets.noted,
    )
    meters.add_service_gauge(
        "idle_connection_limit_seconds",
        "Idle time from which on connections are not used again, learned from resets",
        sources.pool.resets.limits,
    )
    meters.add_service_gauge(
        "replicas_unreachable",
        "Replicas to which the last direct connection attempt of this instance failed",
        sources.access.monitor.count_lost,
    )
    gauge(
        "connections_tunnelled",
        "Connections to replicas opened through peers since startup",
        lambda: sources.access.dialer.opened_tunnels,
    )
    gauge(
        "tunnels",
        "Tunnels to replicas that are open for peers",
        lambda: len(sources.access.server.connections),
    )
    gauge(
        "services_cut_off",
        "Services whose replicas peers reach while this instance has lost its links to them",
        lambda: len(sources.access.monitor.cut_off),
    )
    gauge("replicas", "Replicas known", lambda: len(sources.state.replicas))
    gauge(
        "replicas_ejected",
        "Replicas ejected by a planner",
        sources.fleet.count_ejected,
    )
    gauge(
        "mirror_synced",
        "1 while the mirror of the platform store is up to date",
        lambda: sources.mirror.synced,
    )
    gauge(
        "store_age_seconds",
        "Time since the newest poll of the platform store that the view of the replicas includes",
        lambda: clock() - sources.state.store_read_at,
    )
    gauge(
        "replicas_missing",
        "Replicas in use although an outage of the store removed their entries",
        lambda: len(sources.state.missing),
    )
    gauge(
        "config_proof_age_seconds",
        "Time since the configuration was last confirmed to be current",
        lambda: sources.freshness.age_s,
    )
    gauge(
        "replicas_ended",
        "Replicas that ended since startup while running requests of this instance",
        lambda: sources.poison.ends.ended,
    )
    gauge(
        "requests_blocked",
        "Distinct requests blocked because they crash the replicas that run them",
        lambda: sources.poison.guard.blocked,
    )
    gauge(
        "requests_suspected",
        "Distinct requests that one more crash of a replica may block",
        lambda: sources.poison.guard.suspects,
    )
    gauge(
        "sendings_blocked",
        "Attempts suppressed since startup because their request is blocked",
        lambda: sources.poison.guard.refused_count,
    )
    gauge(
        "replicas_limited",
        "Replicas that announce a request rate limit",
        lambda: len(sources.fleet.limits.limited_replicas()),
    )
    gauge(
        "sent_to_limited",
        "Maximum number of requests sent to one rate-limited replica in 4 s",
        lambda: max(sources.fleet.limits.recent_sends().values(), default=0),
    )
    gauge(
        "sendings_limited",
        "Attempts suppressed since startup by the rate limit of their replica",
        lambda: sources.fleet.limits.denied_count,
    )
    gauge(
        "waiting_for_limited",
        "Requests that wait for capacity of rate-limited replicas",
        lambda: sum(planner.limits.waiting for planner in sources.planners()),
    )
    gauge(
        "replicas_leaving",
        "Replicas that get no new requests because they are leaving",
        lambda: sum(rep.leaving for rep in sources.state.replicas.values()),
    )
    gauge(
        "replicas_resting",
        "Replicas with a backoff in effect at this instance",
        lambda: sources.fleet.rests.active_count,
    )
    gauge(
        "sendings_rested",
        "Attempts suppressed since startup by a backoff of their replica",
        lambda: sources.fleet.rests.denied_count,
    )
    gauge("slow_engines", "Engines classified as slow", lambda: _count_slow(sources.fleet, clock))
    gauge(
        "requests_held",
        "Requests queued until an engine has capacity",
        lambda: sum(planner.held_count() for planner in sources.planners()),
    )
    gauge("plans", "Services whose planner runs on this instance", lambda: len(sources.planners()))
    gauge(
        "news_age_seconds",
        "Time since the last message of a followed planner, the maximum over all",
        lambda: sources.directory.last_message_age_s,
    )
    gauge(
        "news_scoped",
        "1 while planners send updates only for the weights that this instance uses",
        lambda: sources.fleet.is_scoped,
    )
    gauge(
        "weights_located",
        "Weights with a known location",
        lambda: sources.fleet.located_count,
    )
    gauge(
        "engines_unknown",
        "Engines of planners here that have not reported their state",
        lambda: sum(planner.unsynced_engine_count for planner in sources.planners()),
    )
    gauge(
        "gateways_behind",
        "Gateways with unread updates from a planner on this instance",
        lambda: sum(planner.followers.unread_count for planner in sources.planners()),
    )


def _count_slow(fleet: Fleet, clock: t.Callable[[], float]) -> int:
    return (
        len(fleet.engine_estimator.paces.slow_engines(clock()))
        if fleet.engine_estimator is not None
        else 0
    )


def add_startup_gauges(meters: GatewayMetrics, startup_progress: StartupProgress) -> None:
    """Add gauges for the time that each part of the state was missing after startup."""
    for part in StartupPart:
        meters.add_gauge(
            f"without_{part.value}_seconds",
            f"Time from startup until the {part.value} were available, or until now",
            lambda part=part: startup_progress.missing_s(part),  # type: ignore[misc]
        )
