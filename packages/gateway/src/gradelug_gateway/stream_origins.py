"""Finds the software version that began a stream which a caller resumes at this instance.

Each instance records the streams that begin, and reports them to the planner of the coordinating
service while several software versions serve.
"""

from __future__ import annotations

import asyncio
import math
import typing as t
from enum import Enum

import logbook
from gradelug_policy.stream_origins import (
    OriginLedger,
    SoftwareHistory,
    StreamOrigin,
    stream_mark,
)
from gradelug_wire import placement_pb2 as pb

from .exceptions import Refused
from .job import Job
from .link import PlannerLink
from .metrics import GatewayMetrics
from .model import FleetState, Repeat, Replica, Route, Service, Snapshot
from .origin_record import OriginRecord, split_marks

log = logbook.Logger("stream origins")
ASK_TIMEOUT_S = 0.3
RETRY_INTERVAL_S = 0.1
MAX_WAIT_PATIENCE_FRACTION = 0.6
"""Longest search, as a fraction of the time for which a caller waits for the next event: the stream
must then still be placed and its prompt read."""
UNKNOWN_RETRY_S = 1.0
"""Retry delay if the origin is not found; another instance may have begun the stream."""
MOVED_RETRY_S = 60.0
"""Retry delay if the route no longer leads to the service that began the stream."""


class OriginSource(Enum):
    """Where the origin of a stream was found."""

    OWN = "own"
    """Recorded by this instance, or forwarded to it."""
    RECORD = "record"
    """In the platform's store."""
    PLANNER = "planner"
    SOLE = "sole version"
    """Not recorded, but only one version served."""
    UNKNOWN = "unknown"


class StreamOrigins:
    """Records the origins of this instance's streams, and finds those of resumed ones.

    Parameters
    ----------
    state : FleetState
        Replicas and configuration from the store.
    record : OriginRecord
        Origins in the platform's store.
    link : callable
        Returns the link to the planner of the coordinating service, None if there is none.
    meters : GatewayMetrics
        Counts resumed streams by where their origin was found.
    clock : callable
        The runtime's clock.
    """

    __slots__ = (
        "_clock",
        "_futures",
        "_ledger",
        "_link",
        "_meters",
        "_reported_services",
        "_split",
        "_split_snapshot",
        "_state",
        "_ticket",
        "_unreported",
        "_unsent_asks",
        "history",
        "record",
    )

    def __init__(
        self,
        state: FleetState,
        record: OriginRecord,
        link: t.Callable[[], PlannerLink | None],
        meters: GatewayMetrics,
        clock: t.Callable[[], float],
    ) -> None:
        self._state = state
        self.record = record
        self._link = link
        self._meters = meters
        self._clock = clock
        self._ledger = OriginLedger()
        """Streams that began at this instance, and those of the planner's instance."""
        self._unreported: dict[str, dict[bytes, StreamOrigin]] = {}
        """Origins of the streams that were not reported to the planner, by service and mark."""
        self._reported_services: frozenset[str] = frozenset()
        """Services whose streams are reported: those with several origins to choose from."""
        self._split: frozenset[str] = frozenset()
        """Services of split routes, by the configuration `_split_snapshot`."""
        self._split_snapshot: Snapshot | None = None
        self._futures: dict[int, asyncio.Future[pb.OriginAnswer]] = {}
        self._unsent_asks: list[pb.OriginAsk] = []
        self._ticket = 0
        self.history = SoftwareHistory(clock())
        """Software versions of the replicas that this instance has seen."""

    @property
    def known(self) -> int:
        """Number of streams whose origin this instance has recorded."""
        return len(self._ledger)

    def observe(self) -> None:
        """Note the software versions that serve now; called on changes and at intervals."""
        now = self._clock()
        for rep in self._state.replicas.values():
            self.history.note(rep.service, rep.software, now)
        services = {rep.service for rep in self._state.replicas.values()}
        mixed = {name for name in services if self.history.is_mixed(name, now)}
        self._reported_services = self._split_services() | mixed

    def prune(self) -> None:
        """Drop expired state."""
        now = self._clock()
        self.observe()
        self.history.forget_expired(now)
        self._ledger.forget_expired(now)
        for service, streams in list(self._unreported.items()):
            self._unreported[service] = {
                mark: origin for mark, origin in streams.items() if self._ledger.find(mark)
            }

    def note_begun(self, job: Job, replica: Replica) -> None:
        """Record that a replica began a stream.

        Attempts without an event are not recorded: the next one may begin at another version.
        """
        if job.route.repeat is not Repeat.RESUME:
            return
        mark = stream_mark(job.owner, job.req.id)
        origin = StreamOrigin(replica.service, replica.software)
        self._ledger.note(mark, origin, job.req.wait_s, self._clock())
        self._unreported.setdefault(origin.service, {})[mark] = origin
        link = self._link()
        if link is not None and origin.service in self._reported_services:
            link.queue_flush()

    async def bind(self, job: Job) -> None:
        """Bind a resumed stream to the service and the software version that began it.

        Raises
        ------
        Refused
            If these are not found, or the route no longer leads to the service.
        """
        started_at = self._clock()
        # The request keeps the version that admitted it, whatever comes during the search.
        snapshot = self._state.snapshot
        origin, source = await self._find(job)
        log.info(
            "origin of stream",
            id=job.req.id,
            source=source.value,
            service=origin.service if origin is not None else "",
            software=origin.software if origin is not None else "",
            took_s=round(self._clock() - started_at, 3),
        )
        self._meters.count_stream_origin(source.value)
        if origin is None:
            raise Refused("the software that began the stream is not known", UNKNOWN_RETRY_S)
        if origin.service not in _allowed_services(job.route):
            raise Refused(
                f"the route does not lead to service {origin.service!r}, which began the stream",
                MOVED_RETRY_S,
            )
        if origin.service != job.service.name:
            job.service = _find_service(origin.service, snapshot)
        job.software = origin.software

    async def _find(self, job: Job) -> tuple[StreamOrigin | None, OriginSource]:
        """Return the origin of a resumed stream and its source; None if it is not found in time."""
        mark = stream_mark(job.owner, job.req.resumes) if job.req.resumes else b""
        services = _allowed_services(job.route)
        service = services[0] if len(services) == 1 else ""
        patience_s = MAX_WAIT_PATIENCE_FRACTION * job.route.patience_s
        until = min(job.deadline_at, job.req.arrived_at + patience_s)
        while True:
            origin = self._ledger.find(mark)
            if origin is not None:
                return origin, OriginSource.OWN
            link = self._link()
            if link is None or link.is_update_overdue:
                origin = self.record.find(mark)
                if origin is not None:
                    return origin, OriginSource.RECORD
                sole = self._sole_origin(service)
                if sole is not None and (link is None or self.history.is_complete(self._clock())):
                    return sole, OriginSource.SOLE
            else:
                answer = await self._ask(link, mark, service)
                if answer is not None and answer.found:
                    return StreamOrigin(answer.service, answer.software), OriginSource.PLANNER
                # Reports that are under way arrive within two intervals.
                is_settled = self._clock() >= job.req.arrived_at + 2 * link.flush_s
                if answer is not None and answer.is_final and is_settled:
                    return None, OriginSource.UNKNOWN
            if self._clock() + RETRY_INTERVAL_S >= until:
                sole = self._sole_origin(service)
                return sole, OriginSource.SOLE if sole is not None else OriginSource.UNKNOWN
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _sole_origin(self, service: str) -> StreamOrigin | None:
        """Return the origin that all streams of a service have, if only one version served."""
        now = self._clock()
        for origin in self.record.origins():
            self.history.note(origin.service, origin.software, now)
        software = self.history.sole_version(service, now)
        return StreamOrigin(service, software) if service and software is not None else None

    async def _ask(self, link: PlannerLink, mark: bytes, service: str) -> pb.OriginAnswer | None:
        self._ticket += 1
        ticket = self._ticket
        fut = self._futures[ticket] = asyncio.get_running_loop().create_future()
        self._unsent_asks.append(pb.OriginAsk(ticket=ticket, mark=mark, service=service))
        link.flush_soon()
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return await fut
        except TimeoutError:
            return None
        finally:
            del self._futures[ticket]

    def _split_services(self) -> frozenset[str]:
        """Return the services to which a resumable route leads besides another one."""
        snapshot = self._state.snapshot
        if snapshot is not self._split_snapshot:
            self._split_snapshot = snapshot
            self._split = frozenset(
                share.service
                for route in (snapshot.routes if snapshot is not None else ())
                if route.repeat is Repeat.RESUME and len(route.shares) > 1
                for share in route.shares
            )
        return self._split

    # The link to the planner.

    def restart(self) -> None:
        """Report all streams and questions again, because a new planner has none of them."""
        for mark, origin, _ in self._ledger.entries(self._clock()):
            self._unreported.setdefault(origin.service, {})[mark] = origin
        self._unsent_asks.clear()

    def fill(self, message: pb.FromGateway) -> None:
        """Add the streams and questions since the last message."""
        message.origin_asks.extend(self._unsent_asks)
        self._unsent_asks.clear()
        now = self._clock()
        groups: dict[tuple[StreamOrigin, int], bytearray] = {}
        for service in self._reported_services & self._unreported.keys():
            for mark, origin in self._unreported.pop(service).items():
                lifetime_s = math.ceil(self._ledger.remaining_s(mark, now))
                if lifetime_s > 0:
                    groups.setdefault((origin, lifetime_s), bytearray()).extend(mark)
        for (origin, lifetime_s), marks in groups.items():
            message.streams.add(
                service=origin.service,
                software=origin.software,
                lifetime_s=lifetime_s,
                marks=bytes(marks),
            )

    def take(self, message: pb.FromPlanner) -> None:
        """Pass answers to the requests that wait for them, and keep the planner's own streams."""
        now = self._clock()
        for group in message.streams:
            origin = StreamOrigin(group.service, group.software)
            for mark in split_marks(group.marks):
                self._ledger.note(mark, origin, group.lifetime_s, now)
        for answer in message.origin_answers:
            fut = self._futures.get(answer.ticket)
            if fut is not None and not fut.done():
                fut.set_result(answer)


class OriginReporter:
    """Connects `StreamOrigins` to the link of one planner; implements `parts.GatewayExtension`.

    Parameters
    ----------
    origins : StreamOrigins
        The streams of this instance.
    is_coordinator : callable
        Returns whether the planner is that of the coordinating service.
    """

    __slots__ = ("_is_coordinator", "_origins")

    def __init__(self, origins: StreamOrigins, is_coordinator: t.Callable[[], bool]) -> None:
        self._origins = origins
        self._is_coordinator = is_coordinator

    def begin_stream(self) -> None:
        """Report all streams again."""
        if self._is_coordinator():
            self._origins.restart()

    def fill(self, message: pb.FromGateway) -> None:
        """Add streams and questions to a message."""
        if self._is_coordinator():
            self._origins.fill(message)

    def take(self, message: pb.FromPlanner) -> None:
        """Process answers."""
        self._origins.take(message)


def _find_service(name: str, snapshot: Snapshot | None) -> Service:
    """Return a service of a configuration; raises `Refused` if it has none of that name."""
    service = snapshot.services.get(name) if snapshot is not None else None
    if service is None:
        raise Refused(f"service {name!r}, which began the stream, was removed", MOVED_RETRY_S)
    return service


def _allowed_services(route: Route) -> list[str]:
    """Return the services that a route leads to."""
    return [share.service for share in route.shares if share.weight > 0]
