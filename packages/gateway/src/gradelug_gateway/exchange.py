"""One sending of a request to a replica, and how far it got there."""

from __future__ import annotations

from enum import Enum

from gradelug_http import Connection, HttpPool, ResponseHead
from gradelug_policy.poison import BEGUN, RUNNING, WAITING
from gradelug_policy.reading import Busyness, Work

from .job import Job
from .model import Replica
from .runs import Run


class Stage(Enum):
    """How far a request got at a replica, as seen from here."""

    SENT = "sent"
    """Nothing has come: it may wait there, or run."""
    BEGUN = "begun"
    """The head of its answer came, and no event yet."""
    RUNNING = "running"
    """Events of its stream came."""


class Exchange:
    """One sending of a request over one connection.

    Parameters
    ----------
    job : Job
        The request.
    replica : Replica
        Where it is sent.
    conn : Connection
        Carries it.
    work : Work
        What it asks of the replica.
    busy : Busyness
        What the replica did when the request was sent.
    sent_at : float
        When that was, by the runtime's clock.
    expected_s : float
        Time to the first event that was expected then, in seconds.
    """

    __slots__ = (
        "busyness",
        "conn",
        "event_at",
        "expected_s",
        "first_at",
        "job",
        "longest_s",
        "pauses",
        "is_released",
        "replica",
        "run",
        "is_running",
        "sent_at",
        "status",
        "work",
    )

    def __init__(
        self,
        job: Job,
        replica: Replica,
        conn: Connection,
        work: Work,
        busyness: Busyness,
        sent_at: float,
        expected_s: float,
    ) -> None:
        self.work = work
        self.busyness = busyness
        self.sent_at = sent_at
        self.expected_s = expected_s
        self.job = job
        self.replica = replica
        self.conn = conn
        self.is_running = False
        self.run: Run | None = None
        """Its run, where runs can go on."""
        self.is_released = False
        self.status = 0
        """Of the answer; 0 until there is one."""
        self.event_at = sent_at
        """When its newest event came."""
        self.first_at = sent_at
        self.pauses = 0
        """Pauses between events that were longer than the route's bound."""
        self.longest_s = 0.0

    @property
    def stage(self) -> Stage:
        """How far the request got."""
        if self.is_running:
            return Stage.RUNNING
        return Stage.BEGUN if self.status else Stage.SENT

    @property
    def failure_weight(self) -> float:
        """How much it would say against the request that its replica ended now."""
        if self.is_running:
            return RUNNING
        # A stream's head is sent as it begins; of other answers nothing comes before they are made.
        return WAITING if self.job.route.streaming and not self.status else BEGUN

    def release(self, pool: HttpPool, head: ResponseHead) -> None:
        """Give the connection back after a whole answer."""
        pool.release(self.conn, head)
        self.is_released = True
