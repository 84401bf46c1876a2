"""Gauges of a daemon: what it holds, knows and plans for at the moment."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

from gradelug_coordination import Mirror
from gradelug_http import HttpPool, HttpServer

from .config_freshness import ConfigFreshness
from .directory import Directory
from .fleet import Fleet
from .metrics import Meters
from .model import FleetState
from .planner import Planner
from .poison_control import PoisonControl
from .prefix_cache import add_gauges as add_prefix_cache_gauges
from .startup_progress import StartupPart, StartupProgress


@dataclass(slots=True, frozen=True)
class GaugeSources:
    """The parts of a daemon of which gauges tell.

    Parameters
    ----------
    callers : HttpServer
        The door for callers.
    pool : HttpPool
        Connections to replicas.
    state : FleetState
        What the platform has told.
    fleet : Fleet
        What is known of replicas.
    mirror : Mirror
        The platform's entries.
    freshness : ConfigFreshness
        When the configuration was known to be the newest.
    directory : Directory
        The planners that are followed.
    standing : StartupProgress
        How long each part of the state was missing after the start.
    poison : PoisonControl
        Requests that are not to be sent, and replicas that ended.
    planners : callable
        Returns the planners here.
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


def add_daemon_gauges(meters: Meters, sources: GaugeSources, clock: t.Callable[[], float]) -> None:
    """Add the gauges of a daemon.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    """
    gauge = meters.gauge
    add_prefix_cache_gauges(meters, sources.fleet.prefix_cache.parts, sources.planners)
    add_startup_gauges(meters, sources.startup_progress)
    gauge("requests_in_progress", "Requests now", lambda: sources.callers.in_progress)
    gauge("unread_bytes", "Kept for callers that read slowly", lambda: sources.callers.held)
    gauge(
        "callers_given_up",
        "Callers cut since the start because they did not read",
        lambda: sources.callers.shed,
    )
    gauge("connections_opened", "Connections opened to replicas", lambda: sources.pool.opened)
    gauge(
        "connections_doubted",
        "Idle connections closed because another one had fallen silent",
        lambda: sources.pool.doubted,
    )
    gauge("replicas", "Replicas known", lambda: len(sources.state.replicas))
    gauge(
        "replicas_ejected",
        "Replicas that a planner has told to leave alone",
        sources.fleet.count_ejected,
    )
    gauge("mirror_synced", "1 while the platform's watch runs", lambda: sources.mirror.synced)
    gauge(
        "config_proof_age_seconds",
        "Since the configuration in force was known to be the newest",
        lambda: sources.freshness.age_s,
    )
    gauge(
        "replicas_ended",
        "Replicas that ended since the start while they had requests of this instance",
        lambda: sources.poison.ends.ended,
    )
    gauge(
        "requests_blocked",
        "Different requests that are sent to no replica, since they end those that run them",
        lambda: sources.poison.guard.blocked,
    )
    gauge(
        "requests_suspected",
        "Different requests that one further end of a replica may block",
        lambda: sources.poison.guard.suspects,
    )
    gauge(
        "sendings_blocked",
        "Sendings since the start that were not made, since their request is blocked",
        lambda: sources.poison.guard.refused,
    )
    gauge(
        "replicas_limited",
        "Replicas that name how many requests a second they take",
        lambda: len(sources.fleet.limits.named()),
    )
    gauge(
        "sent_to_limited",
        "The most requests that this instance sent to one such replica in 4 s",
        lambda: max(sources.fleet.limits.sent().values(), default=0),
    )
    gauge(
        "sendings_limited",
        "Sendings since the start that were not made, since their replica took no more",
        lambda: sources.fleet.limits.denied,
    )
    gauge(
        "waiting_for_limited",
        "Requests that wait for room at replicas that name a limit",
        lambda: sum(planner.limits.waiting for planner in sources.planners()),
    )
    gauge(
        "replicas_leaving",
        "Replicas that take no new work, since they leave",
        lambda: sum(rep.leaving for rep in sources.state.replicas.values()),
    )
    gauge(
        "replicas_resting",
        "Replicas that asked this instance for rest, until it is over",
        lambda: sources.fleet.rests.resting,
    )
    gauge(
        "sendings_rested",
        "Sendings since the start that were not made, since their replica rested",
        lambda: sources.fleet.rests.denied,
    )
    gauge("slow_engines", "Engines taken for slow", lambda: _count_slow(sources.fleet, clock))
    gauge(
        "requests_held",
        "Requests held until an engine has room",
        lambda: sum(planner.held_count() for planner in sources.planners()),
    )
    gauge("plans", "Services planned for", lambda: len(sources.planners()))
    gauge(
        "news_age_seconds",
        "Since a planner that is followed told something, the longest of all",
        lambda: sources.directory.news_age_s,
    )
    gauge(
        "news_scoped",
        "1 while planners tell of the weights alone that are used here",
        lambda: sources.fleet.is_scoped,
    )
    gauge(
        "weights_located",
        "Weights of which it is known where they are",
        lambda: sources.fleet.located_count,
    )
    gauge(
        "engines_unknown",
        "Engines planned for that have not given their state",
        lambda: sum(planner.unsynced_engine_count for planner in sources.planners()),
    )
    gauge(
        "gateways_behind",
        "Gateways that have not read the news that the planner here has for them",
        lambda: sum(planner.followers.behind for planner in sources.planners()),
    )


def _count_slow(fleet: Fleet, clock: t.Callable[[], float]) -> int:
    return (
        len(fleet.engine_estimator.paces.slow_engines(clock()))
        if fleet.engine_estimator is not None
        else 0
    )


def add_startup_gauges(meters: Meters, startup_progress: StartupProgress) -> None:
    """Add how long each part of the state was missing after the start."""
    for part in StartupPart:
        meters.gauge(
            f"without_{part.value}_seconds",
            f"From the start until the {part.value} came, or until now",
            lambda part=part: startup_progress.missing_s(part),  # type: ignore[misc]
        )
