"""Serving a request: admit, place, send, check, send again or resume, answer."""

from __future__ import annotations

import asyncio
import math
import random
import typing as t
from enum import Enum

import logbook
from gradelug_http import (
    ClientGone,
    ConnectFailed,
    Connection,
    HttpPool,
    Incoming,
    ResponseBroken,
    ResponseHead,
    end_to_end,
)
from gradelug_policy import RetryBudget

from .directory import Directory, Wish
from .exceptions import GATEWAY_TIMEOUT, Failed, Refused
from .fleet import Fleet
from .metrics import Meters
from .model import AdapterKey, Attempt, Repeat, Replica, Request, Route, Service, Verdict
from .ports import BadRequest, Dialect
from .routing import RouteTable, choose_service
from .streams import EventAssembler
from .values import RequestValues

log = logbook.Logger("serving")
T = t.TypeVar("T")
CONNECT_S = 0.35
"""Opening a connection takes a round trip of milliseconds; a lost packet is not waited for."""
ANSWER_BYTES = 8_388_608
"""Largest answer that is not streamed."""
DEADLINE_MARGIN_S = 0.012
"""The final answer leaves this long before the caller stops waiting."""
SILENT_TARGETS = 1.5
"""A repeatable request without an answer for this many of its target times is sent elsewhere."""
SILENT_STREAM_S = 1.2
"""A resumable stream without a first event, or without the next one, for this long goes on
elsewhere; callers give up after 2 s or more."""
BUSY_STREAM_S = 2.4
"""The same at a replica that answers others: there it waits its turn, and would elsewhere."""
HEARD_S = 0.5
"""A replica from which something came this lately answers others."""
NOT_READY_S = 0.03
"""Pause before a request is sent again to a replica whose weights are about to be ready."""
NO_REPLICA_S = 0.25
"""How long a request waits for a replica to turn up before it is refused."""
POLL_S = 0.05
RETRY_AFTER_S = 0.3
ELSEWHERE_S = 0.05
"""Another instance can take it at once."""
RETURNING_PART = 0.97
PATIENCE_MARGIN_S = 0.25
"""A request that gets its weights later than this before its caller leaves is not worth a run."""
MAX_SENDS = 6
"""Bound on sendings of one request, whatever their outcomes."""


class Outcome(Enum):
    """How one sending ended."""

    DONE = "done"
    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    ABSENT = "absent"
    RAN = "ran"
    UNKNOWN = "unknown"


class Job:
    """A request on its way through the daemon."""

    __slots__ = (
        "absent",
        "deadline_at",
        "events",
        "excluded",
        "failure",
        "inc",
        "in_doubt",
        "placed_s",
        "req",
        "route",
        "sends",
        "service",
        "tried",
    )

    def __init__(self, inc: Incoming, req: Request, route: Route, service: Service) -> None:
        self.inc = inc
        self.req = req
        self.route = route
        self.service = service
        wait_s = min(req.wait_s - DEADLINE_MARGIN_S, route.timeout_s)
        self.deadline_at = req.arrived_at + wait_s
        self.events = EventAssembler(req.last_event)
        self.tried: set[str] = set()
        """Replicas to which it was sent."""
        self.excluded: set[str] = set()
        """Replicas that failed it."""
        self.absent = ""
        """The replica that last said it lacks the weights."""
        self.sends = 0
        self.in_doubt = False
        """Whether it may have run without an answer that reached us."""
        self.failure: tuple[ResponseHead, bytes] | None = None
        """A replica's own failure, answered unless another sending does better."""
        self.placed_s = 0.0

    def may_repeat(self) -> bool:
        """Tell whether it may be sent again after it may have run."""
        return self.route.repeat is not Repeat.NEVER

    def candidates(self) -> t.Container[str] | None:
        """Return the replicas to which it may still go; None for any."""
        return self.tried if len(self.tried) >= self.route.max_replicas else None


class Serving:
    """Serves requests of callers.

    Parameters
    ----------
    dialect : Dialect
        How callers and replicas speak.
    fleet : Fleet
        Replicas.
    directory : Directory
        Asks for weights to be placed.
    pool : HttpPool
        Connections to replicas.
    budget : RetryBudget
        Repeated sendings that this instance may make.
    clock, rng
        The runtime's clock and source of chance.
    rested_s : float
        Longest time, in seconds, that a connection may have been idle for a request that may
        run once only.
    """

    __slots__ = (
        "_budget",
        "_clock",
        "_dialect",
        "_directory",
        "_fleet",
        "_meters",
        "_pool",
        "_refuses_from",
        "_rested_s",
        "_rng",
        "_table",
        "_table_version",
        "_values",
    )

    def __init__(
        self,
        dialect: Dialect,
        fleet: Fleet,
        directory: Directory,
        pool: HttpPool,
        budget: RetryBudget,
        meters: Meters,
        clock: t.Callable[[], float],
        rng: random.Random,
        rested_s: float = math.inf,
    ) -> None:
        self._dialect = dialect
        self._fleet = fleet
        self._directory = directory
        self._pool = pool
        self._budget = budget
        self._meters = meters
        self._clock = clock
        self._rng = rng
        self._table = RouteTable(())
        self._table_version = -1
        self._refuses_from = math.inf
        self._rested_s = rested_s
        self._values = RequestValues()

    def refuse_from(self, at: float) -> None:
        """Refuse requests that arrive from a moment on: the process is about to end."""
        self._refuses_from = at

    async def serve(self, inc: Incoming) -> None:
        """Answer a request."""
        try:
            req = self._dialect.read_request(inc)
        except BadRequest as exc:
            log.info("rejected", why=str(exc))
            self._answer_self(inc, "", 400, None)
            return
        job = self._admit(inc, req)
        if job is None:
            return
        started = self._clock()
        try:
            async with asyncio.timeout_at(job.deadline_at):
                await self._run(job)
        except TimeoutError:
            self._expire(job)
        except Refused as exc:
            self._refuse(job, exc)
        except Failed as exc:
            self._fail(job, exc)
        except (asyncio.CancelledError, ClientGone):
            self._meters.outcome(job.route.name, "left")
            log.info("caller left", id=req.id, sends=job.sends)
            raise
        else:
            self._meters.latency(job.route.streaming, self._clock() - started)

    def _admit(self, inc: Incoming, req: Request) -> Job | None:
        snapshot = self._fleet.state.snapshot
        if self._clock() >= self._refuses_from:
            log.info("refused", id=req.id, why="this instance is about to end")
            self._answer_self(inc, req.id, 503, ELSEWHERE_S)
            return None
        if snapshot is None:
            log.info("refused", id=req.id, why="no configuration is known yet")
            self._answer_self(inc, req.id, 503, RETRY_AFTER_S)
            return None
        if snapshot.version != self._table_version:
            self._table = RouteTable(snapshot.routes)
            self._table_version = snapshot.version
        route = self._table.find(req.host, req.path)
        if route is None:
            log.info("no route", id=req.id, host=req.host, path=req.path, config=snapshot.version)
            self._answer_self(inc, req.id, 404, None)
            return None
        name = choose_service(route, self._rng)
        service = snapshot.services.get(name) or Service(name, 1)
        self._budget.note_attempt()
        return Job(inc, req, route, service)

    async def _run(self, job: Job) -> None:
        while True:
            began = self._clock()
            replica = await self._place(job)
            job.placed_s += self._clock() - began
            outcome = await self._send(job, replica)
            if outcome is Outcome.DONE:
                return
            await self._consider_again(job, replica, outcome)

    # Placing.

    async def _place(self, job: Job) -> Replica:
        key = job.req.key
        if job.service.engine is not None and key is not None:
            return await self._place_weights(job, key)
        give_up_at = self._clock() + NO_REPLICA_S
        while True:
            usable = self._fleet.usable(job.service.name)
            replica = self._fleet.choose(usable, job.excluded, job.candidates())
            if replica is None and job.candidates() is None:
                replica = self._fleet.choose(usable)
            if replica is not None:
                return replica
            if self._clock() >= give_up_at:
                raise Refused("no replica is usable", RETRY_AFTER_S)
            await asyncio.sleep(POLL_S)

    async def _place_weights(self, job: Job, key: AdapterKey) -> Replica:
        if not job.absent:
            holders = self._fleet.holders(job.service.name, key)
            replica = self._fleet.choose(holders, job.excluded, job.candidates())
            if replica is not None:
                return replica
        return await self._directory.place(
            job.service.name,
            key,
            wish=self._wish(job),
            excluded=job.excluded,
            only=job.candidates(),
            absent=job.absent,
        )

    def _wish(self, job: Job) -> Wish:
        route, req = job.route, job.req
        # Another try of the same caller has less than the whole time left.
        returning = req.wait_s < RETURNING_PART * self._values.longest_wait(route.name, req.wait_s)
        return Wish(
            rank=route.rank,
            value=self._values.value(route, req),
            returning=returning,
            target_at=req.arrived_at + route.target_s,
            until=min(job.deadline_at, req.arrived_at + route.patience_s) - PATIENCE_MARGIN_S,
        )

    # Sending.

    async def _send(self, job: Job, replica: Replica) -> Outcome:
        now = self._clock()
        health = self._fleet.health(replica.name)
        health.circuit.note_start(now)
        repeatable = job.may_repeat()
        try:
            rested_s = math.inf if repeatable else self._rested_s
            conn = await self._pool.acquire(replica.address, CONNECT_S, rested_s)
        except ConnectFailed as exc:
            health.note(True, self._clock())
            log.info("not sent", id=job.req.id, replica=replica.name, why=str(exc))
            return Outcome.NOT_SENT
        if self._fleet.state.replicas.get(replica.name, replica).leaving:
            conn.close()
            return Outcome.NOT_SENT
        load = self._fleet.load(replica.name)
        key = job.req.key
        log.info(
            "placed",
            id=job.req.id,
            route=job.route.name,
            replica=replica.name,
            weights=key.text if key is not None else "",
            waited_s=round(job.placed_s, 3),
            cost=round(self._fleet.cost(replica, now), 2),
        )
        load.starting += 1
        if key is not None:
            self._directory.note_begin(replica.name, key)
        sending = _Sending(job, replica, conn)
        try:
            outcome = await self._exchange(sending)
        except ResponseBroken as exc:
            health.note(True, self._clock())
            log.info("broken", id=job.req.id, replica=replica.name, why=str(exc))
            return Outcome.UNKNOWN
        finally:
            # Also when the caller leaves: the replica stops when its connection closes.
            if not sending.released:
                conn.abort()
            if sending.running:
                load.running -= 1
            else:
                load.starting -= 1
            if key is not None:
                self._directory.note_end(replica.name, key)
        health.note(outcome is Outcome.RAN, self._clock())
        return outcome

    async def _exchange(self, sending: _Sending) -> Outcome:
        job, replica = sending.job, sending.replica
        attempt = self._attempt(job, replica)
        try:
            sending.conn.send(self._dialect.outgoing(job.req, attempt))
        except ConnectFailed:
            return Outcome.NOT_SENT
        job.sends += 1
        job.tried.add(replica.name)
        was_in_doubt, job.in_doubt = job.in_doubt, True
        log.debug("sent", id=job.req.id, replica=replica.name, left_s=round(attempt.left_s, 3))
        head = await self._listen(
            sending, sending.conn.head(lambda head: self._dialect.is_own(head, job.req))
        )
        verdict = self._dialect.judge(head, replica)
        if verdict is Verdict.SPOILED:
            raise ResponseBroken("the answer does not come from the replica")
        if verdict is Verdict.ANSWERED and job.route.streaming:
            return await self._stream(sending, head)
        body = await sending.conn.body(ANSWER_BYTES)
        sending.release(self._pool, head)
        if verdict not in (Verdict.ANSWERED, Verdict.FAILED):
            job.in_doubt = was_in_doubt
        return self._conclude(job, replica, verdict, head, body)

    def _attempt(self, job: Job, replica: Replica) -> Attempt:
        version = 0
        if job.req.key is not None:
            version = self._fleet.state.versions.get(job.req.key, 0)
        left_s = job.deadline_at - self._clock()
        return Attempt(replica, left_s, version, job.route.rank, job.events.last_event)

    async def _listen(self, sending: _Sending, coming: t.Coroutine[t.Any, t.Any, T]) -> T:
        """Return what comes from a replica next; raises `ResponseBroken` if it stays silent."""
        health = self._fleet.health(sending.replica.name)
        usual_s, most_s = self._silence_s(sending.job)
        task = asyncio.ensure_future(coming)
        try:
            done, _ = await asyncio.wait([task], timeout=usual_s)
            if not done and most_s is not None and usual_s is not None:
                busy = self._clock() - health.heard_at < HEARD_S
                if busy:
                    done, _ = await asyncio.wait([task], timeout=most_s - usual_s)
            if not done:
                raise ResponseBroken("the replica is silent")
        finally:
            if not task.done():
                task.cancel()
        health.heard_at = self._clock()
        return task.result()

    def _silence_s(self, job: Job) -> tuple[float | None, float | None]:
        if job.route.repeat is Repeat.FREELY and job.route.max_replicas > 1:
            return SILENT_TARGETS * job.route.target_s, None
        if job.route.repeat is Repeat.RESUME:
            return SILENT_STREAM_S, BUSY_STREAM_S
        return None, None

    def _conclude(
        self, job: Job, replica: Replica, verdict: Verdict, head: ResponseHead, body: bytes
    ) -> Outcome:
        if verdict is Verdict.ANSWERED:
            if head.get(b"content-encoding") is not None:
                raise ResponseBroken("the answer's body is encoded, which nobody asked for")
            self._pass_on(job, head, body)
            return Outcome.DONE
        log.info(
            "replica refused",
            id=job.req.id,
            replica=replica.name,
            why=verdict.value,
            status=head.status,
        )
        if verdict is Verdict.FAILED:
            job.failure = (head, body)
            return Outcome.RAN
        if verdict is Verdict.REJECTED:
            self._pass_on(job, head, body)
            return Outcome.DONE
        if verdict is Verdict.ABSENT:
            job.absent = replica.name
            return Outcome.ABSENT
        return Outcome.NOT_RUN

    async def _stream(self, sending: _Sending, head: ResponseHead) -> Outcome:
        job = sending.job
        while True:
            data = await self._listen(sending, sending.conn.chunk())
            if data is None:
                break
            events = job.events.feed(data)
            if not events:
                continue
            if not sending.running:
                self._note_running(sending)
            if not job.inc.started:
                job.inc.begin(head.status, end_to_end(head.headers))
            await job.inc.send(events)
        if not job.events.is_between_events:
            raise ResponseBroken("the stream ended within an event")
        sending.release(self._pool, head)
        if not job.inc.started:
            job.inc.begin(head.status, end_to_end(head.headers))
        job.inc.finish()
        self._note_served(job, head.status)
        return Outcome.DONE

    def _note_running(self, sending: _Sending) -> None:
        load = self._fleet.load(sending.replica.name)
        load.starting -= 1
        load.running += 1
        sending.running = True
        first_s = self._clock() - sending.job.req.arrived_at
        self._meters.first_event(first_s)
        if first_s > sending.job.route.target_s:
            log.info(
                "late first event",
                id=sending.job.req.id,
                replica=sending.replica.name,
                first_s=round(first_s, 3),
                placed_s=round(sending.job.placed_s, 3),
                sends=sending.job.sends,
            )

    # Sending again.

    async def _consider_again(self, job: Job, replica: Replica, outcome: Outcome) -> None:
        if outcome is Outcome.NOT_SENT:
            job.excluded.add(replica.name)
            job.sends += 1
        elif outcome is Outcome.ABSENT:
            await asyncio.sleep(NOT_READY_S)
        else:
            job.excluded.add(replica.name)
        maybe_ran = outcome in (Outcome.UNKNOWN, Outcome.RAN)
        if outcome is Outcome.UNKNOWN:
            job.events.restart()
        if maybe_ran and not job.may_repeat():
            raise Failed(f"it may have run: {outcome.value}")
        if outcome is Outcome.RAN and job.route.repeat is not Repeat.FREELY:
            raise Failed("the replica failed it")
        if job.sends >= MAX_SENDS:
            raise Refused("sent too often", RETRY_AFTER_S)
        candidates = job.candidates()
        if candidates is not None and not maybe_ran and job.excluded >= job.tried:
            raise Refused("no further replica may be tried", RETRY_AFTER_S)
        if candidates is not None and maybe_ran:
            if job.route.repeat is not Repeat.RESUME:
                raise Failed("no further replica may be tried")
            job.excluded.clear()
        if outcome is not Outcome.NOT_SENT and not self._budget.try_retry():
            raise Refused("the budget of repeated sendings is spent", RETRY_AFTER_S)
        log.info(
            "send again",
            id=job.req.id,
            after=outcome.value,
            replica=replica.name,
            sends=job.sends,
            last_event=job.events.last_event,
        )

    # Answering.

    def _pass_on(self, job: Job, head: ResponseHead, body: bytes) -> None:
        job.inc.respond(head.status, end_to_end(head.headers), body)
        self._note_served(job, head.status)

    def _note_served(self, job: Job, status: int) -> None:
        self._meters.outcome(job.route.name, f"status {status}")
        log.info(
            "answered",
            id=job.req.id,
            status=status,
            held_s=round(self._clock() - job.req.arrived_at, 3),
            sends=job.sends,
            last_event=job.events.last_event,
        )

    def _expire(self, job: Job) -> None:
        if job.in_doubt or job.inc.started:
            self._fail(job, Failed("out of time", GATEWAY_TIMEOUT))
        else:
            self._refuse(job, Refused("out of time before it was sent", RETRY_AFTER_S))

    def _refuse(self, job: Job, exc: Refused) -> None:
        if job.in_doubt or job.failure is not None or job.inc.started:
            self._fail(job, Failed(str(exc)))
            return
        waited_s = self._clock() - job.req.arrived_at
        log.info(
            "refused", id=job.req.id, why=str(exc), waited_s=round(waited_s, 3), sends=job.sends
        )
        self._meters.outcome(job.route.name, "refused")
        self._answer_self(job.inc, job.req.id, 503, exc.retry_after_s)

    def _fail(self, job: Job, exc: Failed) -> None:
        log.info(
            "failed",
            id=job.req.id,
            why=str(exc),
            sends=job.sends,
            last_event=job.events.last_event,
            started=job.inc.started,
        )
        self._meters.outcome(job.route.name, "failed")
        if job.inc.started:
            # Left without its end, the answer cannot be taken for whole.
            return
        if job.failure is not None:
            self._pass_on(job, *job.failure)
            return
        self._answer_self(job.inc, job.req.id, exc.status, None)

    def _answer_self(
        self, inc: Incoming, request_id: str, status: int, retry_after_s: float | None
    ) -> None:
        headers = self._dialect.refusal(request_id, retry_after_s)
        inc.respond(status, headers, b"")


class _Sending:
    """One sending of a request over one connection."""

    __slots__ = ("conn", "job", "released", "replica", "running")

    def __init__(self, job: Job, replica: Replica, conn: Connection) -> None:
        self.job = job
        self.replica = replica
        self.conn = conn
        self.running = False
        self.released = False

    def release(self, pool: HttpPool, head: ResponseHead) -> None:
        """Give the connection back after a whole answer."""
        pool.release(self.conn, head)
        self.released = True
