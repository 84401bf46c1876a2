"""Elects the holder of a role among all instances through the key-value service.

A role is a task that only one instance performs at a time. Its holder is named in a record that is
written by compare-and-swap and tied to the holder's lease.
"""

from __future__ import annotations

import asyncio
import json
import random
import typing as t
import uuid
from dataclasses import dataclass

import logbook

from .exceptions import CoordinationError
from .kv import ABSENT, KeyValue, KvEntry, swap_and_confirm
from .lease import LeaseKeeper
from .mirror import Mirror
from .positions import EraTracker, era_of
from .records import Record, RecordReader

log = logbook.Logger("election")
CANDIDACY_JITTER_S = 0.3
"""Upper limit of the random delay before an instance writes the record, so that few instances write
at the same time."""
RECENT_START_S = 20.0
RECENT_START_JITTER_S = 0.06
"""Upper limit of the random delay for instances that started at most `RECENT_START_S` ago. They
write first, since in a rolling restart they are the last to be restarted again."""
STEP_DOWN_PAUSE_S = 10.0
"""An instance that stepped down does not write the record for this long, so that another one
can."""
STEP_INTERVAL_S = 0.1
MAX_POLL_WAIT_S = 0.3
POLL_STEP_S = 0.03
"""Interval between polls requested before an instance writes the record, repeated for at most
`MAX_POLL_WAIT_S`. Without these polls, with regular polls seconds apart, all of 195 instances in
turn tried to take a role that was already held, each with a lease and several writes."""
DEFERENCE_S = 3.0
"""Additional delay before a deferring instance writes the record, in seconds: enough for another
one to take the role, and less than the time for which the role may stay free."""
RETRY_DELAY_S = 0.25
RESTORE_GRACE_S = 1.0
"""Time that the holder has to rewrite its record after the service was restored from a copy, before
other instances write theirs; mirrors poll again within 0.8 s after an outage."""

UNKNOWN_OWNER = ""
"""Owner of a record that cannot be read; no instance has this name."""


@dataclass(slots=True, frozen=True)
class ElectionRecord:
    """The holder of a role, as recorded.

    Parameters
    ----------
    owner : str
        Name of the instance, the same before and after a restart.
    address : str
        Address of the instance for this role.
    fence : int
        Fencing token: the revision of the record.
    """

    owner: str
    address: str
    fence: int


class Election:
    """Takes a role and holds it while the record belongs to this instance.

    The record is tied to a lease. A holder whose lease cannot be renewed stops acting, unless
    `outlasts_lease` is set: the systems that the holder controls then check fencing tokens and
    reject requests of the old holder once they have received its successor's greater token.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    mirror : Mirror
        Mirror of the keys, including the record.
    key : str
        Key of the record.
    name, address : str
        Name and address of this instance.
    lease : LeaseKeeper
        The lease to which the record is tied; renewed only while the role is held.
    clock : callable
        The runtime's clock, in seconds.
    rng : random.Random
        Source of jitter.
    hold_off_s : float
        Minimum time between the last observation of another holder and the first action of this
        one, in seconds.
    first_start : bool
        Whether no instance can have held the role before this process started.
    outlasts_lease : bool
        Whether the holder continues while the service does not answer, see above.
    candidacy_delay_s : float
        Additional delay before this instance tries to take a free role, in seconds.
    should_defer : callable
        Returns whether other instances are better suited for the role now; this one then tries to
        take it only if it stays free.
    """

    __slots__ = (
        "_absent_since",
        "_may_act_from",
        "_clock",
        "_delay_s",
        "_record_lease",
        "_eras",
        "_candidacy_delay_s",
        "_hold_off_s",
        "_kv",
        "_lapsed_at",
        "_lease",
        "_mirror",
        "_name",
        "_other_holder_seen_at",
        "_reader",
        "_outlasts_lease",
        "_resigned",
        "_restored_at",
        "_rng",
        "_should_defer",
        "_is_candidate",
        "_candidate_from",
        "_started_at",
        "_unreadable_fence",
        "_unreadable_since",
        "_value",
        "fence",
        "key",
    )

    def __init__(
        self,
        kv: KeyValue,
        mirror: Mirror,
        key: str,
        name: str,
        address: str,
        lease: LeaseKeeper,
        clock: t.Callable[[], float],
        rng: random.Random,
        hold_off_s: float,
        first_start: bool,
        outlasts_lease: bool,
        candidacy_delay_s: float = 0.0,
        should_defer: t.Callable[[], bool] = lambda: False,
    ) -> None:
        self._should_defer = should_defer
        self._kv = kv
        self._mirror = mirror
        self.key = key
        self._name = name
        self._lease = lease
        self._clock = clock
        self._rng = rng
        self._hold_off_s = hold_off_s
        self._outlasts_lease = outlasts_lease
        self._candidacy_delay_s = candidacy_delay_s
        self._other_holder_seen_at = float("-inf") if first_start else clock()
        self._absent_since: float | None = None
        self._delay_s = 0.0
        self._may_act_from = float("inf")
        self._record_lease = 0
        """The lease to which this instance's record was tied when it was written."""
        self._lapsed_at: float | None = None
        """Time of the first step at which the lease differed from the record's lease."""
        self._eras = EraTracker()
        self._restored_at = float("-inf")
        """When the service was last observed to have been restored from a copy."""
        self._resigned = False
        self._reader = RecordReader(_decode)
        self._unreadable_fence = 0
        """Revision of the unreadable record that this candidate has seen last."""
        self._unreadable_since = 0.0
        self._is_candidate = True
        self._candidate_from = float("-inf")
        self._started_at = clock()
        self._value = json.dumps(
            {"owner": name, "address": address, "operation": uuid.uuid4().hex}
        ).encode()
        self.fence = 0
        """Fencing token of the record that this instance holds, 0 if none."""

    def record(self) -> ElectionRecord | None:
        """Return the current record according to the mirror, None if it is absent or unreadable."""
        record = self._current_record()
        return record if record is not None and record.owner != UNKNOWN_OWNER else None

    def _current_record(self) -> ElectionRecord | None:
        """Return the current record, with an unknown owner if it cannot be read."""
        entry = self._mirror.entries.get(self.key)
        if entry is None:
            return None
        return self._reader.read(entry) or ElectionRecord(UNKNOWN_OWNER, "", entry.revision)

    def may_act(self) -> bool:
        """Return whether this instance holds the role now and may act on it."""
        if not self.fence or self._clock() < self._may_act_from:
            return False
        if self._resigned:
            return True
        if self._lease.lease != self._record_lease:
            return False
        return self._lease.is_valid() or (self._outlasts_lease and not self._lease.answered)

    async def run(self) -> None:
        """Take and hold the role until cancelled."""
        while True:
            await asyncio.sleep(await self.step())

    async def step(self) -> float:
        """Perform the actions that are due and return the seconds until the next step."""
        if self._eras.has_advanced(self._mirror.revision):
            self._restored_at, self._absent_since = self._clock(), None
        if self.fence:
            return await self._step_as_holder()
        return await self._step_as_candidate()

    def mark_lost(self) -> None:
        """Give up the role because a greater fencing token of another instance was observed."""
        self.fence = 0
        self._other_holder_seen_at = self._clock()

    async def resign(self) -> None:
        """Give up the role for good.

        With `outlasts_lease`, this instance continues to act until there is a successor.
        """
        self._is_candidate = False
        await self._give_up_role()

    async def step_down(self) -> None:
        """Give up the role to an instance with more capacity, and be a candidate again later."""
        self._candidate_from = self._clock() + STEP_DOWN_PAUSE_S
        await self._give_up_role()

    async def withdraw(self, pause_s: float) -> None:
        """Give up the role at once, and be a candidate again after a pause.

        Parameters
        ----------
        pause_s : float
            Minimum time until this instance writes the record again, in seconds.
        """
        self._candidate_from = self._clock() + pause_s
        self.fence = 0
        self._resigned = False
        await self._release_lease()

    async def _give_up_role(self) -> None:
        if self._outlasts_lease and self.fence:
            self._resigned = True
        else:
            self.fence = 0
        await self._release_lease()

    async def _release_lease(self) -> None:
        try:
            await self._lease.release()
        except CoordinationError as exc:
            log.info("could not revoke the lease; it will expire", key=self.key, why=repr(exc))

    async def _step_as_holder(self) -> float:
        delay_s = STEP_INTERVAL_S if self._resigned else await self._lease.step()
        if self._is_from_earlier_era() and await self._rewrite_record():
            return STEP_INTERVAL_S
        record = self._current_record()
        gone = (
            not self._resigned
            and record is None
            and self._mirror.synced
            and self._mirror.revision >= self.fence
        )
        taken = record is not None and record.fence > self.fence
        lapsed = not self._resigned and self._lease.lease != self._record_lease
        if lapsed and self._may_be_restoring():
            self._mirror.request_poll()
            return POLL_STEP_S
        if gone or taken or lapsed:
            log.info("duty lost", key=self.key, fence=self.fence, taken=taken, lapsed=lapsed)
            self.fence = 0
            self._resigned = False
            self._lapsed_at = None
            return STEP_INTERVAL_S
        return delay_s

    def _may_be_restoring(self) -> bool:
        """Return whether a restore of the service from a copy may have removed the lease."""
        now = self._clock()
        if self._lapsed_at is None:
            self._lapsed_at = now
        return self._mirror.polled_at < self._lapsed_at and now < self._lapsed_at + RESTORE_GRACE_S

    def _is_from_earlier_era(self) -> bool:
        """Return whether the service has lost the record or has an older copy of it."""
        is_known = self._mirror.synced and era_of(self._mirror.revision) > era_of(self.fence)
        return is_known and not self._resigned and self._lease.is_valid()

    async def _rewrite_record(self) -> bool:
        """Write this holder's record in the service's new era.

        Returns
        -------
        bool
            False if the record belongs to another instance or was changed since the mirror's last
            poll. True also after a failed call, which the next step repeats.
        """
        record, lease, before = self._current_record(), self._lease.lease, self.fence
        if record is not None and record.owner != self._name:
            return False
        expected = record.fence if record is not None else ABSENT
        try:
            swap = await swap_and_confirm(self._kv, self.key, self._value, expected, lease)
        except CoordinationError as exc:
            log.info("could not rewrite the election record", key=self.key, why=repr(exc))
            return True
        if not swap.swapped:
            self._mirror.request_poll()
            return False
        self.fence, self._record_lease, self._lapsed_at = swap.revision, lease, None
        log.info(
            "role kept after a restore of the store", key=self.key, fence=self.fence, before=before
        )
        return True

    async def _step_as_candidate(self) -> float:
        now = self._clock()
        if not self._mirror.synced or not self._is_candidate or now < self._candidate_from:
            return STEP_INTERVAL_S
        record = self._current_record()
        if record is not None and record.owner != self._name:
            self._other_holder_seen_at = now
            self._absent_since = None
            if record.owner == UNKNOWN_OWNER:
                return await self._step_at_unreadable(record.fence)
            return STEP_INTERVAL_S
        if record is not None:
            return await self._campaign(record.fence)
        if self._absent_since is None:
            self._absent_since = now
            self._draw_delay()
        due_at = max(self._absent_since, self._restored_at + RESTORE_GRACE_S) + self._delay_s
        if self._should_defer():
            due_at += DEFERENCE_S
        if now < due_at:
            return due_at - now
        if self._mirror.polled_at < due_at and now < due_at + MAX_POLL_WAIT_S:
            # Another instance may have written the record since the mirror's last poll.
            self._mirror.request_poll()
            return POLL_STEP_S
        return await self._campaign(ABSENT)

    async def _step_at_unreadable(self, fence: int) -> float:
        """Replace a record that cannot be read once its writer's lease must have expired.

        Such a record does not expire if its writer did not tie it to a lease. A holder whose record
        it replaced gives up the role when it sees it, as for a successor's record.
        """
        now = self._clock()
        if fence != self._unreadable_fence:
            self._unreadable_fence, self._unreadable_since = fence, now
            self._draw_delay()
        due_at = self._unreadable_since + self._lease.ttl_s + self._delay_s
        if now < due_at:
            return min(STEP_INTERVAL_S, due_at - now)
        return await self._campaign(fence, is_own=False)

    def _draw_delay(self) -> None:
        is_recent = self._clock() - self._started_at <= RECENT_START_S
        max_jitter_s = RECENT_START_JITTER_S if is_recent else CANDIDACY_JITTER_S
        self._delay_s = self._candidacy_delay_s + self._rng.uniform(0.0, max_jitter_s)

    async def _campaign(self, expected: int, is_own: bool = True) -> float:
        try:
            await self._lease.step()
            if not self._lease.is_valid():
                return RETRY_DELAY_S
            lease = self._lease.lease
            swap = await swap_and_confirm(self._kv, self.key, self._value, expected, lease)
        except CoordinationError as exc:
            log.info("could not write the election record", key=self.key, why=repr(exc))
            return RETRY_DELAY_S
        if not swap.swapped and expected:
            # This instance's own record has expired since the mirror's last poll; other instances
            # do not replace it.
            self._mirror.request_poll()
            return POLL_STEP_S
        if not swap.swapped:
            return RETRY_DELAY_S
        self.fence = swap.revision
        self._record_lease = lease
        now = self._clock()
        self._may_act_from = (
            now if expected and is_own else max(now, self._other_holder_seen_at + self._hold_off_s)
        )
        log.info(
            "duty taken",
            key=self.key,
            fence=self.fence,
            acts_in_s=round(self._may_act_from - now, 2),
        )
        return STEP_INTERVAL_S


def _decode(entry: KvEntry) -> ElectionRecord:
    record = Record(entry.key, entry.value)
    return ElectionRecord(record.name("owner"), record.address("address"), entry.revision)
