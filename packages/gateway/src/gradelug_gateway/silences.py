"""Which replicas owe data to attempts of this instance, and which of them have fallen silent.

`Sender` reports each attempt, and `ResponseWaiter` the data that arrives and the attempts that it
abandons. Logs and metrics show from this whether one replica was silent or most of its service.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass
from enum import Enum

import logbook
from gradelug_policy.silences import EndedSilences

from .fleet import Fleet
from .metrics import GatewayMetrics
from .model import Replica

log = logbook.Logger("silences")
RECENT_ACTIVITY_S = 0.8
"""A replica counts as responsive if any data arrived within this time: it covers a gap between
events, and the half second in which activity seen by other instances is propagated if 170 instances
are connected to a planner."""


class SilenceScope(Enum):
    """How much of a service is silent, as far as this instance can tell."""

    STREAM = "stream"
    """The replica sends data for other requests."""
    REPLICA = "replica"
    """The replica sends nothing; at least as many others of its service send data as are silent, or
    no other one is known to be silent."""
    SERVICE = "service"
    """Most replicas of the service that owe data send nothing."""


@dataclass(slots=True, frozen=True)
class ServiceActivity:
    """Replicas of a service by whether they send data.

    Parameters
    ----------
    silent : int
        Replicas that owe data to this instance and have sent none for some time.
    responsive : int
        Replicas that any instance has received data from recently.
    """

    silent: int
    responsive: int


@dataclass(slots=True)
class _Debt:
    """Attempts that wait for data from one replica.

    Parameters
    ----------
    service : str
        Service of the replica.
    since : float
        When the oldest of them was sent, or the last one before them ended.
    attempts : int
        Number of attempts in progress.
    abandoned : int
        Attempts abandoned since the replica has sent data last.
    abandoned_after_s : float
        Longest silence after which one of them was abandoned, in seconds; 0 if unknown.
    """

    service: str
    since: float
    attempts: int = 0
    abandoned: int = 0
    abandoned_after_s: float = 0.0


class SilenceTracker:
    """Tracks the replicas that owe data to attempts of this instance.

    Parameters
    ----------
    fleet : Fleet
        The replicas, and when data was received from them last.
    meters : GatewayMetrics
        Counts abandoned attempts, and replicas that went on after they were silent.
    clock : callable
        Returns the event loop's time, in seconds.
    """

    __slots__ = ("_clock", "_debts", "_ended", "_fleet", "_meters")

    def __init__(self, fleet: Fleet, meters: GatewayMetrics, clock: t.Callable[[], float]) -> None:
        self._fleet = fleet
        self._meters = meters
        self._clock = clock
        self._debts: dict[str, _Debt] = {}
        self._ended: dict[str, EndedSilences] = {}
        """Silences that ended by themselves, by service."""

    def begin(self, replica: Replica) -> None:
        """Record that an attempt was sent to a replica."""
        debt = self._debts.get(replica.name)
        if debt is None:
            debt = self._debts[replica.name] = _Debt(replica.service, self._clock())
        elif not debt.attempts:
            debt.since = self._clock()
        debt.attempts += 1

    def end(self, replica: Replica) -> None:
        """Record that an attempt at a replica has ended."""
        debt = self._debts[replica.name]
        debt.attempts -= 1
        if not debt.attempts and not debt.abandoned:
            del self._debts[replica.name]

    def note_data(self, replica: Replica) -> None:
        """Record that data was received from a replica."""
        health, now = self._fleet.health(replica.name), self._clock()
        debt = self._debts.get(replica.name)
        if debt is not None and debt.abandoned:
            self._log_resumption(replica, debt, now - health.last_received_at)
            if debt.abandoned_after_s:
                # It was silent for longer than that, and since the oldest attempt that waited.
                since_s = now - max(debt.since, health.last_received_at)
                self.note_ended(replica.service, max(debt.abandoned_after_s, since_s))
                debt.abandoned_after_s = 0.0
        health.last_received_at = now

    def note_ended(self, service: str, lasted_s: float) -> None:
        """Record that a replica of a service has gone on after a silence.

        Parameters
        ----------
        service : str
            Service of the replica.
        lasted_s : float
            Length of the silence, in seconds.
        """
        ended = self._ended.setdefault(service, EndedSilences())
        ended.note(lasted_s, self._clock())

    def note_abandoned(self, replica: Replica, scope: SilenceScope, is_late: bool = False) -> None:
        """Record that an attempt is abandoned because its replica is silent.

        Parameters
        ----------
        replica : Replica
            The replica.
        scope : SilenceScope
            How much of its service is silent.
        is_late : bool
            Whether this instance was itself late, so that it does not know how long the replica
            was silent.
        """
        self._meters.count_abandoned_attempt(scope.value)
        debt = self._debts.get(replica.name)
        if debt is None:
            return
        debt.abandoned += 1
        if scope is not SilenceScope.STREAM and not is_late:
            debt.abandoned_after_s = max(debt.abandoned_after_s, self.silent_s(replica.name))

    def silent_s(self, replica: str) -> float:
        """Return for how long a replica has sent no data that it owes, in seconds; 0 for none."""
        debt = self._debts.get(replica)
        if debt is None or not debt.attempts:
            return 0.0
        return self._clock() - max(debt.since, self._fleet.health(replica).last_received_at)

    def longest_ended_s(self, service: str) -> float:
        """Return the longest recent silence of a service's replicas that ended by itself.

        Parameters
        ----------
        service : str
            Service of the replicas.

        Returns
        -------
        float
            Its length in seconds; 0 if there was none.
        """
        ended = self._ended.get(service)
        return ended.longest_s(self._clock()) if ended is not None else 0.0

    def activity(self, service: str, window_s: float = RECENT_ACTIVITY_S) -> ServiceActivity:
        """Return how many replicas of a service are silent, and how many send data.

        Parameters
        ----------
        service : str
            Service of the replicas.
        window_s : float
            Time without data after which a replica that owes some is silent, in seconds.
        """
        now = self._clock()
        silent = sum(
            debt.service == service and self.silent_s(name) >= window_s
            for name, debt in self._debts.items()
        )
        responsive = sum(
            now - self._fleet.health(rep.name).last_received_at < window_s
            for rep in self._fleet.usable(service)
        )
        return ServiceActivity(silent, responsive)

    def scope(self, replica: Replica, window_s: float = RECENT_ACTIVITY_S) -> SilenceScope:
        """Return how much of a replica's service is silent together with it.

        Parameters
        ----------
        replica : Replica
            A replica that owes data.
        window_s : float
            Time without data after which a replica is silent, in seconds.
        """
        last_received_at = self._fleet.health(replica.name).last_received_at
        if self._clock() - last_received_at < window_s:
            return SilenceScope.STREAM
        activity = self.activity(replica.service, window_s)
        if activity.silent <= activity.responsive:
            return SilenceScope.REPLICA
        # A single silent replica says nothing of those that owe no data.
        return SilenceScope.SERVICE if activity.silent > 1 else SilenceScope.REPLICA

    def is_shared(self, replica: Replica, window_s: float = RECENT_ACTIVITY_S) -> bool:
        """Return whether a silence is no evidence against the replica.

        Most of its service is silent, or nothing shows that any other replica sends data.
        """
        if len(self._fleet.usable(replica.service)) < 2:
            return False
        scope = self.scope(replica, window_s)
        if scope is not SilenceScope.REPLICA:
            return scope is SilenceScope.SERVICE
        return not self.activity(replica.service, window_s).responsive

    def forget_removed(self, known: t.Container[str]) -> None:
        """Drop the records of removed replicas that have no attempts."""
        removed = [
            name for name, debt in self._debts.items() if not debt.attempts and name not in known
        ]
        for name in removed:
            del self._debts[name]

    def _log_resumption(self, replica: Replica, debt: _Debt, silent_s: float) -> None:
        self._meters.count_needless_abandonments(debt.abandoned)
        log.info(
            "silent replica went on",
            replica=replica.name,
            silent_s=round(silent_s, 3) if silent_s < math.inf else None,
            abandoned=debt.abandoned,
        )
        debt.abandoned = 0
