"""The gateway daemon: creates the components of an instance, starts them and shuts them down.

The platform's adapter creates a `Daemon` and passes its factory to `run`.
"""

from __future__ import annotations

import asyncio
import math
import random
import signal
import typing as t

import logbook
from gradelug_coordination import (
    Candidacy,
    KeyValue,
    LeaseKeeper,
    Mirror,
    PersistentOwnership,
)
from gradelug_http import (
    Connect,
    Door,
    EarlyServer,
    HttpPool,
    HttpServer,
    Incoming,
    ServerLimits,
    connect_tcp,
    max_caller_connections,
)
from gradelug_policy.quotas import LocalShares
from gradelug_runtime.clock import run as run_steady
from gradelug_runtime.process import Tasks
from gradelug_wire.bounded import BoundedServer

from .admission import AdmissionControl
from .budgets import GatewayCount, RetryBudgets
from .config_freshness import ConfigFreshness
from .connection_log import ConnectionLog
from .departures import DepartureReporter
from .directory import Directory
from .engine_speeds import PauseTally, SpeedReporter
from .executing import Executor
from .feed import EntryReader, Feed
from .fleet import Fleet
from .gauges import GaugeSources, add_daemon_gauges
from .handover import Handover
from .idle_connections import IdleConnections
from .limit_facts import planner_for
from .limit_teller import LimitClient
from .limits import ReplicaLimits
from .metrics import GatewayMetrics
from .model import FleetState, Replica
from .origin_record import OriginRecord
from .parts import GatewayExtension
from .placement import PlacementService, PlannerRole
from .planner import Planner
from .planner_factory import LEASE_TTL_S, WEAK_CANDIDATE_DELAY_S, PlannerFactory, StoreAccess
from .planning_errors import PlanningErrors
from .poison_control import PoisonControl
from .poll_interval import missing_entry_grace_s, store_poll_interval_s
from .ports import Dialect, OrderTransport, RunTransport
from .prefix_cache import PrefixCache
from .quotas import Quotas
from .replica_access import ReplicaAccess
from .rests import BackoffTracker
from .runs import RunRecovery
from .search import PlannerAddress
from .sending import Sender
from .serving import RequestPipeline
from .settings import Feature, GatewaySettings
from .share_tally import UsageReporter, UsageTally
from .shared_health import OutcomeReporter
from .shutdown import ShutdownSchedule
from .startup_progress import StartupProgress, startup_checks
from .store_updates import PUBLISHER_POLL_INTERVAL_S, StoreSubscriber
from .stream_origins import OriginReporter, StreamOrigins

log = logbook.Logger("daemon")
ENGINES_PREFIX = "gradelug/engines/"
MAX_REUSE_IDLE_S = 1.5
"""Maximum idle time of a connection for requests that must not run twice, where replicas drop idle
connections silently: a reset would leave the outcome of such a request unknown."""
MAX_STORE_RETRY_DELAY_S = 0.8
"""Maximum delay before a retry of the platform store: a configuration must be in force 2 s after
its acceptance, also right after an outage."""
OWNER_CUT_OFF_S = 1.0
"""Time without links after which an instance gives its engines to others, which begin seconds
later: shorter losses are over before that."""
UPKEEP_INTERVAL_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.05
REST_S = 0.5
"""Connections that rest for this long are closed early in a stop: no request follows at once."""
METRICS_PATH = b"/metrics"
CALL_BODY_BYTES = 2_097_152
"""Maximum size of all responses to orders, and of those to calls that move or list runs, that are
being received at a time, in bytes; a report has some kilobytes."""
STATUS_LIMITS = ServerLimits(header_bytes=4_096, body_bytes=1_024)
"""Limits of requests for readiness and metrics, which have no body."""
STATUS_UNREAD_BYTES = 4_000_000
"""Maximum size of status responses that were not read, in bytes."""


class Daemon:
    """A gateway instance with all its components.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of this instance.
    kv : KeyValue
        Client of the platform's key-value store.
    reader : EntryReader
        Decodes the entries of the store.
    dialect : Dialect
        Reads and writes HTTP messages of callers and replicas.
    transport : OrderTransport
        Sends orders to engines.
    pool : HttpPool
        Connections to replicas.
    runs : RunTransport or None
        Moves runs between engines; None if the platform does not support it.
    early_socket : Door or None
        Listening socket that was opened before the program was imported, if any.
    connect : callable
        Opens TCP connections to replicas and to the tunnel servers of other instances.
    run_pool, order_pool : HttpPool or None
        Connections over which runs are moved and orders are sent, if they have pools of their own.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        kv: KeyValue,
        reader: EntryReader,
        dialect: Dialect,
        transport: OrderTransport,
        pool: HttpPool,
        runs: RunTransport | None = None,
        early_socket: Door | None = None,
        connect: Connect = connect_tcp,
        run_pool: HttpPool | None = None,
        order_pool: HttpPool | None = None,
    ) -> None:
        self._early_socket = early_socket
        self.settings = settings
        self._kv = kv
        self._transport = transport
        self._pool = pool
        self._clock = asyncio.get_running_loop().time
        self._rng = random.Random(settings.name)
        self._tasks = Tasks()
        self._stopping_at: float | None = None
        self._state = FleetState()
        self._poll_interval_s = store_poll_interval_s(settings.bounds)
        self._mirror = Mirror(
            kv,
            "",
            self._rng,
            MAX_STORE_RETRY_DELAY_S,
            self._poll_interval_s,
            missing_entry_grace_s(settings.bounds),
            is_polled=True,
        )
        self._feed = Feed(self._mirror, reader, self._state, self._clock)
        self._feed.subscribe(self._on_change)
        self._freshness = ConfigFreshness(
            self._mirror, self._feed, self._clock, settings.bounds.revoke_s
        )
        has_engine_capacity = Feature.ENGINE_ROOM in settings.features
        # Seeded by instance, so that instances do not all choose the same replicas.
        rng = random.Random(settings.name)
        prefix_cache = PrefixCache(self._clock, Feature.KEPT_PARTS in settings.features)
        limits = ReplicaLimits(
            self._clock,
            random.Random(settings.name),
            Feature.REPLICA_LIMITS in settings.features,
        )
        limits.find_client = self._find_limit_client
        backoffs = BackoffTracker(
            self._clock,
            random.Random(settings.name),
            Feature.REPLICA_RESTS in settings.features,
        )
        self._fleet = Fleet(
            self._state,
            settings.hall,
            self._clock,
            rng,
            has_engine_capacity,
            prefix_cache,
            limits,
            backoffs,
        )
        self._access = ReplicaAccess(
            settings.addresses.tunnels if Feature.PEER_TUNNELS in settings.features else "",
            settings.hall,
            kv,
            self._mirror,
            self._state,
            connect,
            self._clock,
            lambda: bool(self._planners()),
        )
        self._access.monitor.on_bypass = lambda address: pool.doubt(address, self._clock())
        self._replica_pools = [pool] if run_pool is None else [pool, run_pool]
        for replica_pool in self._replica_pools:
            replica_pool.dial = (
                self._access.dialer.dial
                if Feature.PEER_TUNNELS in settings.features
                else self._access.dialer.dial_directly
            )
        if order_pool is not None:
            # An order through a peer would count as an order of that instance.
            order_pool.dial = self._access.dialer.dial_directly
        for call_pool in (run_pool, order_pool):
            if call_pool is not None:
                call_pool.bound_bodies(CALL_BODY_BYTES)
        self._limit_clients: dict[str, LimitClient] = {}
        self._planner_roles: dict[str, PlannerRole] = {}
        self._ownership = None if settings.bounds.fenced else self._new_ownership()
        self._ownership_task: asyncio.Task[t.Any] | None = None
        executor = None
        if self._ownership is not None:
            executor = Executor(settings.name, self._ownership, self._state, transport)
        shares = LocalShares()
        self._poison = PoisonControl(
            kv,
            self._mirror,
            pool,
            self._state,
            lambda: self._directory.link_to(self._state.coordinating_service),
            self._clock,
            self._access.dialer.has_links,
        )
        has_poison_guard = Feature.POISON_GUARD in settings.features
        if has_poison_guard:
            self._mirror.subscribe(self._poison.poll)
        self._origin_record = OriginRecord(kv, self._mirror, self._clock)
        self._directory = Directory(
            settings.name,
            settings.addresses.peers,
            self._fleet,
            self._clock,
            self._locate,
            self._mirror.request_poll,
            executor,
            settings.strength,
            StoreSubscriber(
                self._feed,
                self._mirror,
                self._clock,
                self._poll_interval_s,
                self._can_pause_polling,
                self._freshness,
            ),
            shares,
            self._link_parts,
        )
        self._meters = GatewayMetrics()
        errors = PlanningErrors(self._meters.count_planning_error)
        self._planner_factory = PlannerFactory(
            settings,
            StoreAccess(kv, self._mirror, self._feed, self._freshness),
            self._fleet,
            transport,
            self._poison,
            lambda: self._origins,
            self._access.monitor,
            self._clock,
            self._rng,
            lambda: self._directory.gateways,
            errors,
        )
        # A replica limits the connections of all instances together and resets any beyond that.
        pool.bound_bodies(settings.unread_bytes, self._unsent_bytes)
        idle = IdleConnections(settings.name, self._state, lambda: self._directory.gateways)
        pool.keeps = idle
        pool.resets.group_of = idle.service
        if run_pool is not None:
            run_pool.resets = pool.resets
        bounds = settings.bounds
        self._budgets = RetryBudgets(
            bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s, self._clock
        )
        self._gateway_count = GatewayCount(bounds.retry_window_s)
        self._usage_tally = UsageTally(self._clock, self._meters, self._has_organisations)
        self._origins = StreamOrigins(
            self._state,
            self._origin_record,
            lambda: self._directory.link_to(self._state.coordinating_service),
            self._meters,
            self._clock,
        )
        has_origins = Feature.STREAM_ORIGINS in settings.features
        run_recovery = self._handover = None
        if runs is not None and Feature.LASTING_RUNS in settings.features:
            run_recovery = RunRecovery(
                self._fleet,
                runs,
                self._meters,
                self._clock,
                self._budgets,
                self._rng,
                settings.bounds.version_s,
            )
            self._handover = Handover(
                self._fleet,
                self._directory,
                run_recovery,
                runs,
                self._budgets,
                self._clock,
                bounds.drain_s,
            )
            # The notice period is 1 s, of which 0.1 s is left when the change arrives here.
            self._feed.subscribe(self._handover.look)
        self._run_recovery = run_recovery
        sender = Sender(
            dialect,
            self._fleet,
            self._directory,
            pool,
            self._meters,
            self._clock,
            MAX_REUSE_IDLE_S if settings.bounds.forgets_idle else math.inf,
            run_recovery,
            self._poison.guard,
            self._poison.ends if has_poison_guard else None,
            self._mark_leaving,
            Feature.BRITTLE_REPLICAS in settings.features,
            self._origins if has_origins else None,
            runs,
        )
        self._pipeline = RequestPipeline(
            dialect,
            self._fleet,
            self._directory,
            sender,
            self._budgets,
            self._meters,
            self._clock,
            self._rng,
            AdmissionControl(self._freshness),
            Quotas(self._directory.quota_coordinator_link, self._clock, self._rng, shares),
            lambda: not self._mirror.is_disconnected,
            Feature.SHARED_HEALTH in settings.features,
            run_recovery,
            self._usage_tally,
            self._origins if has_origins else None,
        )
        self._caller_server = EarlyServer(
            self._pipeline.serve,
            self._limits,
            self._clock,
            settings.unread_bytes,
            pool,
            ConnectionLog(self._meters, self._state).note_end,
            max_caller_connections(settings.max_fds),
        )
        self._status_server = HttpServer(
            self._serve_status, lambda: STATUS_LIMITS, self._clock, STATUS_UNREAD_BYTES
        )
        self._peer_server = BoundedServer(
            [PlacementService(self._planner_roles, self._directory.newest_planner, errors)]
        )
        checks = startup_checks(self._state, self._mirror, self._directory, self._planner_roles)
        self._startup_progress = StartupProgress(self._clock, checks)
        sources = GaugeSources(
            self._caller_server,
            self._pool,
            self._state,
            self._fleet,
            self._mirror,
            self._freshness,
            self._directory,
            self._startup_progress,
            self._poison,
            self._planners,
            self._access,
        )
        add_daemon_gauges(self._meters, sources, self._clock)

    async def run(self) -> bool:
        """Serve until a stop signal or a failure; return whether a background task failed."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_hangup)
        await self._start()
        failure = asyncio.ensure_future(self._tasks.wait_for_failure())
        stopped = asyncio.ensure_future(stop.wait())
        await asyncio.wait([stopped, failure], return_when=asyncio.FIRST_COMPLETED)
        failed = failure.done()
        await self._drain(failed)
        await self._close()
        return failed

    async def _start(self) -> None:
        addresses = self.settings.addresses
        await self._status_server.start(*_split_address(addresses.status))
        await self._peer_server.start(*_split_address(addresses.peers))
        await self._access.start()
        if self._early_socket is not None:
            await self._caller_server.enter(self._early_socket)
        else:
            await self._caller_server.start(*_split_address(addresses.callers))
        self._tasks.start(self._mirror.run(), "mirror")
        self._tasks.start(self._upkeep(), "upkeep")
        self._tasks.start(self._startup_progress.run(), "standing")
        self._tasks.start(self._poison.record.run(), "poison record")
        if Feature.STREAM_ORIGINS in self.settings.features:
            self._tasks.start(self._origin_record.run(), "stream origins")
        if Feature.PEER_TUNNELS in self.settings.features:
            self._tasks.start(self._access.key.run(), "tunnel key")
            self._tasks.start(self._access.dialer.run(), "path probes")
        if self._handover is not None:
            self._tasks.start(self._handover.run(), "handover")
        if self._ownership is not None:
            self._ownership_task = self._tasks.start(self._ownership.run(), "ownership")
        opened_at = self._early_socket.since if self._early_socket is not None else self._clock()
        read_s = round(self._clock() - opened_at, 3)
        log.info("started", instance=self.settings.name, hall=self.settings.hall, read_s=read_s)

    async def _drain(self, failed: bool = False) -> None:
        """Stop accepting requests and finish those in progress, within the grace period.

        Parameters
        ----------
        failed : bool
            Whether a background task failed: new requests are then refused from now on, since this
            instance's view of the fleet may be outdated.
        """
        started_at = self._stopping_at = self._clock()
        log.info("stopping", requests=self._caller_server.in_progress, failed=failed)
        schedule = ShutdownSchedule.plan(started_at, self.settings.bounds.grace_s, failed)
        self._caller_server.draining = True
        self._access.server.is_draining = True
        self._pipeline.shut_down(schedule)
        # The store may respond late, so its calls are made while requests end.
        resigning = asyncio.create_task(self._resign())
        await self._finish_requests(schedule)
        leaving = asyncio.create_task(self._leave())
        cut = await self._caller_server.finish(schedule.exit_at)
        await self._end_calls({resigning, leaving}, schedule.exit_at)
        log.info("stopped", after_s=round(self._clock() - started_at, 2), cut=cut)

    async def _finish_requests(self, schedule: ShutdownSchedule) -> None:
        """Wait until all requests and tunnels have ended, or until the process stops listening."""
        while self._clock() < schedule.close_at:
            self._pipeline.withdraw_late()
            if self._clock() >= schedule.refuse_at:
                # Callers open others, through the load balancer, in place of a refusal.
                self._caller_server.close_rested(REST_S)
                if not self._caller_server.is_busy and not self._access.server.connections:
                    return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def _resign(self) -> None:
        resignations = (role.resign() for role in self._planner_roles.values())
        for result in await asyncio.gather(*resignations, return_exceptions=True):
            if isinstance(result, Exception):
                log.error("could not resign a planner role", why=repr(result))

    async def _leave(self) -> None:
        """Give up the engines that this instance owns."""
        if self._ownership is None or self._ownership_task is None:
            return
        # Its task would acquire another lease.
        self._ownership_task.cancel()
        await asyncio.gather(self._ownership_task, return_exceptions=True)
        await self._ownership.leave()

    async def _end_calls(self, calls: set[asyncio.Task[None]], until: float) -> None:
        """Wait for calls to the store, and cancel those that have no response by a time."""
        ended, late = await asyncio.wait(calls, timeout=max(0.0, until - self._clock()))
        for call in late:
            log.warning("the store did not respond before the exit")
            call.cancel()
        await asyncio.gather(*late, return_exceptions=True)
        for call in ended:
            exc = call.exception()
            if exc is not None:
                log.error("could not leave the fleet", why=repr(exc))

    async def _close(self) -> None:
        await self._caller_server.close()
        await self._directory.close()
        await self._tasks.cancel()
        await self._status_server.close()
        await self._access.server.close()
        self._peer_server.close()
        self._pool.close()

    def _on_hangup(self) -> None:
        log.info("SIGHUP ignored: settings cannot be reloaded while this process runs")

    def _on_change(self) -> None:
        for rep in self._fleet.detect_restarts():
            # Connections to the previous process are closed.
            self._pool.doubt(rep.address, self._clock())
        self._origins.observe()
        snapshot = self._state.snapshot
        if snapshot is None:
            return
        for name, service in snapshot.services.items():
            if service.engine is not None and name not in self._planner_roles:
                self._planner_roles[name] = self._planner_factory.new_role(name)
                self._tasks.start(self._planner_roles[name].run(), f"duty {name}")
        self._directory.ensure_links(self._planner_roles)
        for role in self._planner_roles.values():
            if role.planner is not None:
                role.planner.refresh()

    def _link_parts(self, service: str) -> t.Iterator[GatewayExtension]:
        """Yield the components that exchange messages with the planner of a service."""
        if Feature.SHARED_HEALTH in self.settings.features:
            yield OutcomeReporter(
                service,
                self.settings.name,
                self._fleet,
                self._clock,
                lambda: self._directory.coordinating_service == service,
            )
        fleet = self._fleet
        if fleet.engine_estimator is not None:
            tally = fleet.pauses.setdefault(service, PauseTally())
            yield SpeedReporter(
                service, tally, fleet.engine_estimator.paces, fleet.speeds, self._clock
            )
        if Feature.FAIR_SHARES in self.settings.features:
            yield UsageReporter(service, self._usage_tally, self._clock)
        if Feature.POISON_GUARD in self.settings.features:
            yield self._poison.reporter(service)
        if Feature.STREAM_ORIGINS in self.settings.features:
            yield OriginReporter(self._origins, lambda: self._state.coordinating_service == service)
        if Feature.REPLICA_LIMITS in self.settings.features:
            yield self._new_limit_client(service)
        if Feature.PEER_TUNNELS in self.settings.features:
            yield self._access.reporter(service)
        if Feature.SAID_DEPARTURES in self.settings.features:
            yield DepartureReporter(service, self._feed, lambda: self._directory.link_to(service))

    def _mark_leaving(self, replica: Replica) -> None:
        if Feature.SAID_DEPARTURES in self.settings.features:
            self._feed.mark_leaving(replica.name, replica.born, "answer")

    def _new_limit_client(self, service: str) -> LimitClient:
        client = self._limit_clients[service] = LimitClient(
            service,
            self._fleet.limits,
            self._state,
            self._clock,
            lambda: self._directory.link_to(service),
        )
        return client

    def _find_limit_client(self, service: str) -> LimitClient | None:
        """Return the client of the planner that grants capacity on replicas of a service.

        None if that planner has no live link.
        """
        planner = planner_for(service, self._state)
        link = self._directory.link_to(planner)
        if link is None or link.is_update_overdue:
            return None
        return self._limit_clients.get(planner)

    def _new_ownership(self) -> PersistentOwnership:
        host, _ = _split_address(self.settings.addresses.peers)
        return PersistentOwnership(
            self._kv,
            ENGINES_PREFIX,
            self._mirror,
            LeaseKeeper(self._kv, LEASE_TTL_S, self._clock, self._rng, self._on_ownership_change),
            # A replacement machine may have the name of its predecessor, but not its address.
            f"{self.settings.name}@{host}",
            self._clock,
            self.settings.bounds.holder_s,
            self._engine_names,
            self._on_ownership_change,
            self._poll_interval_s,
            Candidacy(self._clock, self._rng, 0.0 if self._is_strong else WEAK_CANDIDATE_DELAY_S),
            lambda: not self._access.monitor.has_been_cut_off(OWNER_CUT_OFF_S),
        )

    def _engine_names(self) -> list[str]:
        snapshot = self._state.snapshot
        if snapshot is None:
            return []
        services = snapshot.services
        return [
            rep.name
            for rep in self._state.replicas.values()
            if rep.service in services and services[rep.service].engine is not None
        ]

    def _on_ownership_change(self) -> None:
        self._directory.report_ownership()

    @property
    def _is_strong(self) -> bool:
        return self.settings.strength >= 1

    def _locate(self, service: str) -> PlannerAddress | None:
        role = self._planner_roles.get(service)
        return role.address() if role is not None else None

    def _can_pause_polling(self) -> bool:
        """Return whether store updates from a planner suffice, so that polling can pause."""
        owns_engines = self._ownership is not None and self._ownership.has_joined
        return not owns_engines and not self._count_planned()

    def _limits(self) -> ServerLimits:
        snapshot = self._state.snapshot
        return snapshot.limits if snapshot is not None else ServerLimits()

    async def _upkeep(self) -> None:
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL_S)
            self._feed.refresh()
            self._mirror.poll_interval_s = (
                PUBLISHER_POLL_INTERVAL_S if self._publishes_store() else self._poll_interval_s
            )
            self._fleet.forget_gone()
            self._access.monitor.refresh()
            self._pipeline.forget_gone()
            self._origins.prune()
            if self._run_recovery is not None:
                self._run_recovery.forget_removed_engines()
            for pool in self._replica_pools:
                pool.prune({rep.address for rep in self._state.replicas.values()})
            followed_gateways = self._directory.gateways if self._follows_planner() else 0
            count = self._gateway_count.note(followed_gateways, self._clock())
            self._budgets.share_among(count)
            self._fleet.limits.set_instance_count(count)

    def _follows_planner(self) -> bool:
        return any(self._directory.is_connected(service) for service in self._planner_roles)

    def _publishes_store(self) -> bool:
        return any(planner.followers.distributes_store for planner in self._planners())

    def _unsent_bytes(self) -> int:
        """Return the bytes of answers that wait for their callers to read them."""
        transports = [conn.transport for conn in self._caller_server.connections]
        return sum(
            transport.get_write_buffer_size() for transport in transports if transport is not None
        )

    # Readiness and metrics.

    def _is_ready(self) -> bool:
        is_known = self._state.snapshot is not None and bool(self._state.replicas)
        return is_known and self._stopping_at is None

    async def _serve_status(self, inc: Incoming) -> None:
        if inc.target == METRICS_PATH:
            inc.respond(200, [(b"Content-Type", b"text/plain")], self._meters.render())
            return
        inc.respond(200 if self._is_ready() else 503, [], b"")

    def _planners(self) -> list[Planner]:
        return [role.planner for role in self._planner_roles.values() if role.planner is not None]

    def _has_organisations(self) -> bool:
        return self._state.snapshot is not None and bool(self._state.snapshot.organisations)

    def _count_planned(self) -> int:
        return len(self._planners())


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def run(make: t.Callable[[], Daemon]) -> int:
    """Run a daemon until it stops.

    Parameters
    ----------
    make : callable
        Creates the daemon; called on the running event loop.

    Returns
    -------
    int
        Exit status of the process: 1 if a background task failed, else 0.
    """

    async def main() -> bool:
        return await make().run()

    return 1 if run_steady(main()) else 0
