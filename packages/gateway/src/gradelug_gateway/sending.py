"""Sending a request to a replica once, and passing on what comes back."""

from __future__ import annotations

import asyncio
import math
import typing as t
from dataclasses import replace

import logbook
from gradelug_http import (
    ConnectFailed,
    ConnectRefused,
    HttpPool,
    ResponseBroken,
    ResponseHead,
    end_to_end,
)
from gradelug_policy.engine_room import EQUAL
from gradelug_policy.reading import LATE, Work

from .directory import Directory
from .exceptions import GATEWAY_TIMEOUT, Refused
from .exchange import Exchange
from .fingerprints import shown
from .fleet import Fleet
from .job import Job, Outcome
from .limits import Demand
from .metrics import Meters
from .model import AdapterKey, Attempt, CopyKind, Repeat, Replica, Verdict
from .poison import PoisonGuard
from .ports import Dialect
from .replica_ends import EndWatch
from .run_weights import asked_version
from .runs import LastingRuns

log = logbook.Logger("sending")
T = t.TypeVar("T")
CONNECT_S = 0.35
"""Opening a connection takes a round trip of milliseconds; a lost packet is not waited for."""
ANSWER_BYTES = 8_388_608
"""Largest answer that is not streamed."""
SILENT_TARGETS = 1.5
"""A repeatable request without an answer for this many of its target times is sent elsewhere."""
SILENT_STREAM_S = 1.2
"""A resumable stream without a first event, or without the next one, for this long goes on
elsewhere; callers give up after 2 s or more."""
SILENT_GAPS = 2.0
"""A begun stream that cannot be repeated, whose engine keeps its memory, goes on from there after a
silence of this many of the longest pauses that are in time."""
BUSY_STREAM_S = 2.4
"""The same at a replica that answers others: there it waits its turn, and would elsewhere."""
SLOW_CALLER_S = 1.0
"""Replicas cut answers that sit unread for some seconds: after a caller has not read for so long a
broken answer is no failure of its replica."""
LOOK_S = 0.1
"""How often it is looked whether a request that nobody answers may be sent elsewhere."""
LATE_TARGETS = 1.2
LATE_TIMES = 3.0
"""A request must have had its turn after so many targets, and so many times as long as the replica
was expected to take when it was sent: what it has before it is known half a second late."""
HEARD_S = 0.8
"""A replica from which something came this lately answers others: a gap between events, and half a
second until what another instance heard is told here where 170 instances follow a planner."""


class ReplicaSilent(ResponseBroken):
    """Nothing comes from a replica for longer than it is waited for."""


class Sender:
    """Sends requests to replicas and passes their answers on.

    Parameters
    ----------
    dialect : Dialect
        How callers and replicas speak.
    fleet : Fleet
        Replicas, and what runs there.
    directory : Directory
        Is told which weights are in use.
    pool : HttpPool
        Connections to replicas.
    meters : Meters
        Counts answers.
    clock : callable
        The runtime's clock.
    has_retry : callable
        Tells whether a request to a service may be sent again now.
    rested_s : float
        Longest time, in seconds, that a connection may have been idle for a request that may
        run once only.
    lasting : LastingRuns or None
        Lets runs go on after their connection is lost, if given.
    guard : PoisonGuard or None
        Tells which requests must not be sent.
    ends : EndWatch or None
        Finds out which replicas ended, if given.
    note_leaving : callable
        Called with each replica whose answer says that it leaves.
    """

    __slots__ = (
        "_clock",
        "_dialect",
        "_directory",
        "_ends",
        "_fleet",
        "_guard",
        "_has_retry",
        "_lasting",
        "_meters",
        "_note_leaving",
        "_pool",
        "_rested_s",
    )

    def __init__(
        self,
        dialect: Dialect,
        fleet: Fleet,
        directory: Directory,
        pool: HttpPool,
        meters: Meters,
        clock: t.Callable[[], float],
        has_retry: t.Callable[[str], bool] = lambda service: True,
        rested_s: float = math.inf,
        lasting: LastingRuns | None = None,
        guard: PoisonGuard | None = None,
        ends: EndWatch | None = None,
        note_leaving: t.Callable[[Replica], None] = lambda replica: None,
    ) -> None:
        self._note_leaving = note_leaving
        self._guard = guard or PoisonGuard(clock)
        self._ends = ends
        self._has_retry = has_retry
        self._lasting = lasting
        self._dialect = dialect
        self._fleet = fleet
        self._directory = directory
        self._pool = pool
        self._meters = meters
        self._clock = clock
        self._rested_s = rested_s

    def check(self, job: Job) -> None:
        """Raise `Refused` if a request must not be sent to any replica."""
        self._guard.check(job.fingerprint)

    async def send(
        self,
        job: Job,
        replica: Replica,
        demand: Demand = Demand(),  # noqa: B008
    ) -> Outcome:
        """Send a request to a replica, pass its answer on, and tell how that ended.

        Whatever brings a request to a replica comes by here.

        Parameters
        ----------
        job : Job
            The request.
        replica : Replica
            Where it is to go.
        demand : Demand
            How much it needs room there, should the replica take only so many requests a second.

        Raises
        ------
        Refused
            If it must not be sent: it has ended replicas.
        """
        closed = self._closed(job, replica)
        if closed is not None:
            return closed
        # The limit is one for all gateways, so each sending asks for room.
        denial = await self._fleet.limits.admit(replica, demand)
        if denial is not None:
            job.room_s, job.room_elsewhere = denial
            log.info(
                "no room",
                id=job.req.id,
                replica=replica.name,
                limit=self._fleet.limits.rate(replica.name),
                retry_s=round(denial.retry_s, 3),
            )
            return Outcome.LIMITED
        job.used = job.copy
        now = self._clock()
        health = self._fleet.health(replica.name)
        health.circuit.note_start(now)
        try:
            rested_s = math.inf if job.may_repeat() else self._rested_s
            conn = await self._pool.acquire(replica.address, CONNECT_S, rested_s)
        except ConnectFailed as exc:
            if isinstance(exc, ConnectRefused) and self._ends is not None:
                self._ends.note_refused(replica)
            health.note_broken(self._clock())
            log.info("not sent", id=job.req.id, replica=replica.name, why=str(exc))
            return Outcome.NOT_SENT
        closed = self._closed(job, replica)
        if closed is not None:
            conn.close()
            return closed
        if not await self._has_weights(job):
            conn.close()
            return Outcome.STALE
        try:
            # Checked right before sending, since another gateway may have blocked it meanwhile.
            self.check(job)
        except Refused:
            conn.close()
            raise
        load = self._fleet.load(replica.name)
        key = job.req.key
        work = self._fleet.kept.at(replica.name, self._with_urgency(job, replica))
        log.info(
            "placed",
            id=job.req.id,
            fingerprint=shown(job.fingerprint),
            route=job.route.name,
            replica=replica.name,
            weights=key.text if key is not None else "",
            asked=asked_version(self._fleet, job, replica),
            waited_s=round(job.placed_s, 3),
            cost=round(self._fleet.cost(replica, now), 2),
            ahead=load.busyness().ahead(job.work.urgency),
            prompt=work.prompt_tokens,
            kept=work.kept_tokens,
        )
        expected_s = self._fleet.expected_s(replica, load.busyness(), work)
        sending = Exchange(job, replica, conn, work, load.busyness(), now, expected_s)
        if self._lasting is not None and self._lasting.is_lasting(job):
            sending.run = self._lasting.begin(job, replica)
        load.starting += 1
        load.queued[work.urgency] += work.reading_tokens
        load.memory += work.memory_tokens
        if key is not None:
            self._directory.note_begin(replica, key, work)
        self.release_weights(job)
        try:
            outcome = await self._exchange(sending)
        except asyncio.CancelledError:
            if self._is_unheard(sending):
                health.note_broken(self._clock())
            raise
        except ResponseBroken as exc:
            is_callers = job.inc.held_up_s >= SLOW_CALLER_S
            self._meters.broken(sending.stage.value)
            if not is_callers:
                self._note_broken(sending, exc)
                if self._ends is not None:
                    self._ends.note_broken(replica, job.fingerprint, sending.weight)
            log.info(
                "broken",
                id=job.req.id,
                fingerprint=shown(job.fingerprint),
                replica=replica.name,
                why=str(exc),
                stage=sending.stage.value,
                sent_s=round(self._clock() - sending.sent_at, 3),
                quiet_s=round(self._clock() - sending.event_at, 3),
                held_up_s=round(job.inc.held_up_s, 3),
            )
            if not is_callers and (conn.is_silenced or health.heard_at < now):
                self._pool.doubt(replica.address, now)
            if sending.run is not None and self._lasting is not None:
                # Before the connection is closed: most engines drop a request whose connection
                # closes, and one that fell silent may still run it.
                await self._lasting.recover(sending.run)
            return Outcome.UNKNOWN
        finally:
            # Also when the caller leaves: the replica stops when its connection closes.
            if not sending.released:
                conn.abort()
            if sending.run is not None and self._lasting is not None:
                self._lasting.leave(sending.run)
            load.memory -= work.memory_tokens
            self._note_pauses(sending)
            if sending.running:
                load.running -= 1
            else:
                load.starting -= 1
                load.queued[work.urgency] -= work.reading_tokens
            if key is not None:
                self._note_end(job, replica, key)
        self._note_health(sending, outcome)
        if outcome is Outcome.DONE and sending.status < 300:
            self._guard.note_served(job.fingerprint)
        return outcome

    def _note_end(self, job: Job, replica: Replica, key: AdapterKey) -> None:
        """Note that a request has left a replica, unless its run goes on there from memory.

        An engine without a use of its weights may be ordered to replace them.
        """
        copy = job.copy
        if copy is not None and copy is not job.used and copy.kind is CopyKind.STOPPED:
            job.in_use = replica.name
        else:
            self._directory.note_end(replica.name, key)

    def release_weights(self, job: Job) -> None:
        """Note that no memory of a request waits for a sending any more, if any did."""
        if job.in_use and job.req.key is not None:
            self._directory.note_end(job.in_use, job.req.key)
        job.in_use = ""

    async def _has_weights(self, job: Job) -> bool:
        """Tell whether the memory that a request goes on from, if any, is of its engine's weights.

        The connection is open by then: what the engine says counts for a moment only.
        """
        if job.copy is None or self._lasting is None:
            return True
        return await self._lasting.weights.is_usable(job, job.copy)

    def _closed(self, job: Job, replica: Replica) -> Outcome | None:
        """Return how a sending ends that must not be made now, None if it may be made."""
        if self._fleet.state.is_leaving(replica):
            log.info("not sent", id=job.req.id, replica=replica.name, why="it leaves")
            return Outcome.NOT_SENT
        rest_s = self._fleet.rests.left_s(replica)
        if not rest_s:
            return None
        self._fleet.rests.denied += 1
        job.room_s, job.room_elsewhere = rest_s, False
        log.info(
            "not sent", id=job.req.id, replica=replica.name, why="it rests", rest_s=round(rest_s, 3)
        )
        return Outcome.LIMITED

    def _is_unheard(self, sending: Exchange) -> bool:
        """Tell whether a request was not answered though it must have had its turn."""
        if sending.running:
            return False
        job, replica = sending.job, sending.replica
        if job.service.engine is not None:
            usual_s = sending.expected_s
        else:
            usual_s = self._fleet.health(replica.name).took_s(self._clock())
        turn_s = max(LATE_TARGETS * job.route.target_s, LATE_TIMES * usual_s)
        return self._clock() - sending.sent_at >= turn_s

    def _note_broken(self, sending: Exchange, exc: ResponseBroken) -> None:
        health, now = self._fleet.health(sending.replica.name), self._clock()
        if isinstance(exc, ReplicaSilent) and not self._is_unheard(sending):
            health.note_late(now)
        else:
            health.note_broken(now)

    def _note_health(self, sending: Exchange, outcome: Outcome) -> None:
        health, now = self._fleet.health(sending.replica.name), self._clock()
        if outcome is Outcome.FULL:
            health.note_full(now)
            return
        if outcome is Outcome.RAN and sending.status == GATEWAY_TIMEOUT:
            health.note_late(now)
            return
        is_whole = outcome is Outcome.DONE and not sending.job.route.streaming
        health.note(outcome is Outcome.RAN, now, now - sending.sent_at if is_whole else 0.0)

    def _with_urgency(self, job: Job, replica: Replica) -> Work:
        """Return a request's work; one that would be late anyway waits for those that would not.

        So does one that would take the slot of a run. Where slots are short, all are equal.
        """
        if job.inc.started or not job.work.prompt_tokens or job.work.urgency == EQUAL:
            return job.work
        if self._fleet.is_late(replica, job.work, job.req.arrived_at + job.route.target_s):
            return replace(job.work, urgency=LATE)
        return job.work

    async def _exchange(self, sending: Exchange) -> Outcome:
        job, replica = sending.job, sending.replica
        attempt = self._attempt(job, replica, sending.work)
        if sending.run is not None and self._lasting is not None:
            self._lasting.note_asked(sending.run, attempt.version)
        try:
            sending.conn.send(self._dialect.outgoing(job.req, attempt))
        except ConnectFailed:
            return Outcome.NOT_SENT
        job.sends += 1
        job.tried.add(replica.name)
        self._fleet.limits.note_sent(replica.name)
        sent_at = self._clock()
        was_in_doubt, job.in_doubt = job.in_doubt, True
        log.debug("sent", id=job.req.id, replica=replica.name, left_s=round(attempt.left_s, 3))
        head = await self._listen(
            sending, sending.conn.head(lambda head: self._dialect.is_own(head, job.req))
        )
        sending.status = head.status
        verdict = self._dialect.judge(head, replica)
        if verdict is Verdict.SPOILED:
            raise ResponseBroken("the answer does not come from the replica")
        if verdict is not Verdict.MISDIRECTED:
            # Of another replica that has the address by now it says nothing.
            self._hear(replica, head, sent_at)
        if verdict is Verdict.ANSWERED and job.route.streaming:
            if sending.run is not None and self._lasting is not None:
                self._lasting.note_weights(sending.run, self._dialect.weights(head))
            return await self._stream(sending, head)
        body = await sending.conn.body(ANSWER_BYTES)
        sending.release(self._pool, head)
        if verdict not in (Verdict.ANSWERED, Verdict.FAILED):
            job.in_doubt = was_in_doubt
        return self._conclude(job, replica, verdict, head, body, attempt.version)

    def _hear(self, replica: Replica, head: ResponseHead, sent_at: float) -> None:
        """Take over what an answer says of its replica."""
        self._fleet.limits.hear(replica.name, self._dialect.limit(head), sent_at)
        if self._dialect.leaves(head):
            self._note_leaving(replica)
        self._fleet.rests.hear(replica, self._dialect.rest(head))

    def _attempt(self, job: Job, replica: Replica, work: Work) -> Attempt:
        left_s = job.deadline_at - self._clock()
        return Attempt(
            replica,
            left_s,
            asked_version(self._fleet, job, replica),
            work.urgency,
            job.events.last_event,
            job.principal,
            job.shows_credentials,
            job.backup.holder.address if job.backup is not None and job.copy is None else "",
            job.copy,
        )

    async def _listen(self, sending: Exchange, coming: t.Coroutine[t.Any, t.Any, T]) -> T:
        """Return what comes from a replica next; raises `ResponseBroken` if it stays silent."""
        health = self._fleet.health(sending.replica.name)
        usual_s, most_s = self._silence_s(sending)
        task = asyncio.ensure_future(coming)
        try:
            done, _ = await asyncio.wait([task], timeout=usual_s)
            if not done and most_s is not None and usual_s is not None:
                busy = self._clock() - health.heard_at < HEARD_S
                if busy:
                    done, _ = await asyncio.wait([task], timeout=most_s - usual_s)
            while not done and not self._has_retry(sending.job.service.name):
                # Leaving it would end the request: 291 of 798 that failed in nine seconds of a
                # burst had been left by their gateway with no repetition to spend.
                done, _ = await asyncio.wait([task], timeout=LOOK_S)
            while not done and self._must_wait(sending) and not await self._can_leave(sending):
                done, _ = await asyncio.wait([task], timeout=SILENT_STREAM_S)
            if not task.done():
                raise ReplicaSilent("the replica is silent")
        finally:
            if not task.done():
                task.cancel()
        health.heard_at = self._clock()
        return task.result()

    def _must_wait(self, sending: Exchange) -> bool:
        """Tell whether leaving a silent replica could end a request, or run it twice at once."""
        return sending.run is not None and sending.run.must_be_found

    async def _can_leave(self, sending: Exchange) -> bool:
        """Tell whether a silent run can go on, and stop it if so.

        An engine whose memory ran out reads a run anew later, and knows no run until then: five
        begun streams of one day that were left for it would have gone on by themselves, and one
        that is resumed elsewhere would go on at both engines.
        """
        lasting, run = self._lasting, sending.run
        return lasting is not None and run is not None and await lasting.stop_silent(run)

    def _silence_s(self, sending: Exchange) -> tuple[float | None, float | None]:
        job = sending.job
        if job.route.repeat is Repeat.FREELY and job.route.max_replicas > 1:
            return SILENT_TARGETS * job.route.target_s, None
        if job.route.repeat is Repeat.RESUME:
            return SILENT_STREAM_S, BUSY_STREAM_S
        if sending.run is not None and sending.run.first_at is not None:
            return SILENT_GAPS * job.route.gap_s, SILENT_STREAM_S
        return None, None

    def _conclude(
        self,
        job: Job,
        replica: Replica,
        verdict: Verdict,
        head: ResponseHead,
        body: bytes,
        asked: int,
    ) -> Outcome:
        if verdict is Verdict.ANSWERED:
            if head.get(b"content-encoding") is not None:
                raise ResponseBroken("the answer's body is encoded, which nobody asked for")
            self.pass_on(job, head, body)
            return Outcome.DONE
        log.info(
            "replica refused",
            id=job.req.id,
            replica=replica.name,
            why=verdict.value,
            status=head.status,
            asked=asked,
        )
        if verdict is Verdict.FAILED:
            job.failure = (head, body)
            return Outcome.RAN
        if verdict is Verdict.REJECTED:
            self.pass_on(job, head, body)
            return Outcome.DONE
        if verdict is Verdict.ABSENT:
            job.absent = replica.name
            job.absences += 1
            return Outcome.ABSENT
        return Outcome.FULL if verdict is Verdict.FULL else Outcome.NOT_RUN

    async def _stream(self, sending: Exchange, head: ResponseHead) -> Outcome:
        job = sending.job
        while True:
            data = await self._listen(sending, sending.conn.chunk())
            if data is None:
                break
            before = job.events.last_event
            events = job.events.feed(data)
            if not events:
                continue
            if sending.running:
                self._note_pause(sending, max(1, job.events.last_event - before))
            else:
                self._note_running(sending)
                sending.first_at = self._clock()
            sending.event_at = self._clock()
            if sending.run is not None and self._lasting is not None:
                self._lasting.note_change(sending.run, self._dialect.event_weights(events))
                self._lasting.note_event(sending.run)
            if not job.inc.started:
                job.inc.begin(head.status, end_to_end(head.headers))
            await job.inc.send(events)
        if not job.events.is_between_events:
            raise ResponseBroken("the stream ended within an event")
        sending.release(self._pool, head)
        if self._fleet.room is not None and job.work.prompt_tokens and not job.req.last_event:
            service = sending.replica.service
            read_s = sending.work.reading_tokens / self._fleet.speeds.speed(service)
            self._fleet.room.note_run(service, read_s + self._clock() - sending.first_at)
        if not job.inc.started:
            job.inc.begin(head.status, end_to_end(head.headers))
        job.inc.finish()
        if sending.run is not None and self._lasting is not None:
            self._lasting.end(sending.run)
        self._note_served(job, head.status)
        return Outcome.DONE

    def _note_running(self, sending: Exchange) -> None:
        load = self._fleet.load(sending.replica.name)
        load.starting -= 1
        load.queued[sending.work.urgency] -= sending.work.reading_tokens
        load.running += 1
        sending.running = True
        self._learn_speed(sending)
        if sending.job.inc.started:
            return
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
                prompt=sending.work.prompt_tokens,
                urgency=sending.work.urgency,
                expected_s=round(sending.expected_s, 3),
                held=sending.busy.held,
                queued=[tokens for tokens in sending.busy.queued if tokens],
                speed=round(self._fleet.speeds.speed(sending.replica.service)),
            )

    def _note_pause(self, sending: Exchange, events: int) -> None:
        """Take the pause before an event, or the mean of some that came at once."""
        pause_s = self._clock() - sending.event_at
        gap_s = sending.job.route.gap_s
        if gap_s and pause_s > gap_s:
            sending.pauses += 1
            sending.longest_s = max(sending.longest_s, pause_s)
        tally = self._fleet.pauses.get(sending.replica.service)
        if tally is not None:
            tally.note(sending.replica.name, pause_s, events)

    def _note_pauses(self, sending: Exchange) -> None:
        if not sending.pauses:
            return
        log.info(
            "long pause",
            id=sending.job.req.id,
            replica=sending.replica.name,
            pauses=sending.pauses,
            longest_s=round(sending.longest_s, 3),
            bound_s=sending.job.route.gap_s,
            last_event=sending.job.events.last_event,
            running=self._fleet.load(sending.replica.name).busyness().running,
        )

    def _learn_speed(self, sending: Exchange) -> None:
        service, work = sending.replica.service, sending.work
        if not work.prompt_tokens or sending.job.used is not None:
            return
        took_s = self._clock() - sending.sent_at
        self._meters.estimate(sending.job.route.name, took_s, sending.expected_s)
        self._fleet.speeds.note(service, sending.busy, work, took_s)

    def pass_on(self, job: Job, head: ResponseHead, body: bytes) -> None:
        """Answer with a replica's whole answer."""
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
