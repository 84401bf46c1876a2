"""One holder of a duty among all instances, elected through the key-value service."""

from __future__ import annotations

import asyncio
import json
import random
import typing as t
import uuid
from dataclasses import dataclass

import logbook

from .exceptions import CoordinationError
from .kv import ABSENT, KeyValue, swap_surely
from .lease import LeaseKeeper
from .mirror import Mirror
from .positions import EraWatch, era_of

log = logbook.Logger("election")
CAMPAIGN_S = 0.3
"""Candidates wait up to this long at random, so that few of them write at once."""
YOUNG_S = 20.0
YOUNG_CAMPAIGN_S = 0.06
"""Instances that were started this lately go first: when all are restarted in turn, they are the
last to be restarted again."""
ASIDE_S = 10.0
"""Who stepped aside lets others have the duty for so long."""
STEP_S = 0.1
LOOK_S = 0.3
LOOK_STEP_S = 0.03
"""Before it stands a candidate has the service looked at, for so long at most: where looks are
seconds apart, all of 195 instances stood one after the other for a duty that had long been taken,
each with a lease and several writes."""
RETRY_S = 0.25
RETURN_S = 1.0
"""Seconds for the holder to be entered again after the service came back from a copy, before others
stand; mirrors look again within 0.8 s after an outage."""


@dataclass(slots=True, frozen=True)
class ElectionRecord:
    """Who holds a duty.

    Parameters
    ----------
    owner : str
        Name of the instance, the same before and after a restart.
    address : str
        Where it is reached for this duty.
    fence : int
        Fencing token: the revision of the record.
    """

    owner: str
    address: str
    fence: int


class Election:
    """Stands for a duty and holds it while the record is this instance's.

    The record is tied to a lease. A holder whose lease cannot be renewed stops, unless
    `outlasts_lease` is set: what the duty acts on then checks fencing tokens, so that a
    successor's greater token ends the old holder's orders.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    mirror : Mirror
        Mirror in which the record shows.
    key : str
        The record's key.
    name, address : str
        This instance.
    lease : LeaseKeeper
        The lease to tie the record to; kept alive only while the duty is held.
    clock : callable
        The runtime's clock.
    rng : random.Random
        Source of jitter.
    hold_off_s : float
        A holder waits so long after the last sign of another one before it acts, in seconds.
    first_start : bool
        Whether no instance can have held the duty before this process began.
    outlasts_lease : bool
        See above.
    handicap_s : float
        How much later than others this instance stands, in seconds.
    """

    __slots__ = (
        "_absent_since",
        "_act_from",
        "_clock",
        "_delay_s",
        "_entered_lease",
        "_eras",
        "_handicap_s",
        "_hold_off_s",
        "_key",
        "_kv",
        "_lapsed_at",
        "_lease",
        "_mirror",
        "_name",
        "_other_seen_at",
        "_outlasts_lease",
        "_resigned",
        "_restored_at",
        "_rng",
        "_standing",
        "_stands_from",
        "_started_at",
        "_value",
        "fence",
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
        handicap_s: float = 0.0,
    ) -> None:
        self._kv = kv
        self._mirror = mirror
        self._key = key
        self._name = name
        self._lease = lease
        self._clock = clock
        self._rng = rng
        self._hold_off_s = hold_off_s
        self._outlasts_lease = outlasts_lease
        self._handicap_s = handicap_s
        self._other_seen_at = float("-inf") if first_start else clock()
        self._absent_since: float | None = None
        self._delay_s = 0.0
        self._act_from = float("inf")
        self._entered_lease = 0
        """The lease to which the record was tied when this instance was entered."""
        self._lapsed_at: float | None = None
        """Since when the lease is another one than that to which the record was tied."""
        self._eras = EraWatch()
        self._restored_at = float("-inf")
        """When the service was seen to have come back from a copy."""
        self._resigned = False
        self._standing = True
        self._stands_from = float("-inf")
        self._started_at = clock()
        self._value = json.dumps(
            {"owner": name, "address": address, "operation": uuid.uuid4().hex}
        ).encode()
        self.fence = 0
        """Token of the record this instance holds, 0 if none."""

    def record(self) -> ElectionRecord | None:
        """Return the present record as the mirror shows it."""
        entry = self._mirror.entries.get(self._key)
        if entry is None:
            return None
        try:
            data = json.loads(entry.value)
            return ElectionRecord(str(data["owner"]), str(data["address"]), entry.revision)
        except (ValueError, KeyError, TypeError) as exc:
            log.error("the record cannot be read", key=self._key, why=repr(exc))
            return None

    def may_act(self) -> bool:
        """Tell whether this instance holds the duty right now and may act on it."""
        if not self.fence or self._clock() < self._act_from:
            return False
        if self._resigned:
            return True
        if self._lease.lease != self._entered_lease:
            return False
        return self._lease.is_valid() or (self._outlasts_lease and not self._lease.answered)

    async def run(self) -> None:
        """Stand for the duty until cancelled."""
        while True:
            await asyncio.sleep(await self.step())

    async def step(self) -> float:
        """Do what is due now and return the seconds until the next step."""
        if self._eras.has_risen(self._mirror.revision):
            self._restored_at, self._absent_since = self._clock(), None
        if self.fence:
            return await self._keep()
        return await self._stand()

    def lose(self) -> None:
        """Hold the duty no longer: another instance was seen to have a greater token."""
        self.fence = 0
        self._other_seen_at = self._clock()

    async def resign(self) -> None:
        """Give the duty up, and stand for it no longer.

        Where tokens are checked, this instance goes on acting until there is a successor.
        """
        self._standing = False
        await self._give_up()

    async def step_aside(self) -> None:
        """Give the duty up to an instance that can do it better, and stand again later."""
        self._stands_from = self._clock() + ASIDE_S
        await self._give_up()

    async def _give_up(self) -> None:
        if self._outlasts_lease and self.fence:
            self._resigned = True
        else:
            self.fence = 0
        try:
            await self._lease.release()
        except CoordinationError as exc:
            log.info("the lease could not be ended and will lapse", key=self._key, why=repr(exc))

    async def _keep(self) -> float:
        delay_s = STEP_S if self._resigned else await self._lease.step()
        if self._is_from_earlier_era() and await self._enter_again():
            return STEP_S
        record = self.record()
        gone = (
            not self._resigned
            and record is None
            and self._mirror.synced
            and self._mirror.revision >= self.fence
        )
        taken = record is not None and record.fence > self.fence
        lapsed = not self._resigned and self._lease.lease != self._entered_lease
        if lapsed and self._may_be_restored():
            self._mirror.hurry()
            return LOOK_STEP_S
        if gone or taken or lapsed:
            log.info("duty lost", key=self._key, fence=self.fence, taken=taken, lapsed=lapsed)
            self.fence = 0
            self._resigned = False
            self._lapsed_at = None
            return STEP_S
        return delay_s

    def _may_be_restored(self) -> bool:
        """Tell whether the lease may be gone because the service came back from a copy."""
        now = self._clock()
        if self._lapsed_at is None:
            self._lapsed_at = now
        return self._mirror.looked_at < self._lapsed_at and now < self._lapsed_at + RETURN_S

    def _is_from_earlier_era(self) -> bool:
        """Tell whether the service has lost the record, or keeps an older copy of it."""
        is_known = self._mirror.synced and era_of(self._mirror.revision) > era_of(self.fence)
        return is_known and not self._resigned and self._lease.is_valid()

    async def _enter_again(self) -> bool:
        """Enter this holder in a new era of the service, unless another one is entered there."""
        record, lease, before = self.record(), self._lease.lease, self.fence
        if record is not None and record.owner != self._name:
            return False
        expected = record.fence if record is not None else ABSENT
        try:
            swap = await swap_surely(self._kv, self._key, self._value, expected, lease)
        except CoordinationError as exc:
            log.info("could not be entered again", key=self._key, why=repr(exc))
            return True
        if not swap.swapped:
            self._mirror.hurry()
            return False
        self.fence, self._entered_lease, self._lapsed_at = swap.revision, lease, None
        log.info("duty kept", key=self._key, fence=self.fence, before=before)
        return True

    async def _stand(self) -> float:
        now = self._clock()
        if not self._mirror.synced or not self._standing or now < self._stands_from:
            return STEP_S
        record = self.record()
        if record is not None and record.owner != self._name:
            self._other_seen_at = now
            self._absent_since = None
            return STEP_S
        if record is not None:
            return await self._campaign(record.fence)
        if self._absent_since is None:
            self._absent_since = now
            most_s = CAMPAIGN_S if now - self._started_at > YOUNG_S else YOUNG_CAMPAIGN_S
            self._delay_s = self._handicap_s + self._rng.uniform(0.0, most_s)
        due_at = max(self._absent_since, self._restored_at + RETURN_S) + self._delay_s
        if now < due_at:
            return due_at - now
        if self._mirror.looked_at < due_at and now < due_at + LOOK_S:
            # Others may have been entered since the mirror looked last.
            self._mirror.hurry()
            return LOOK_STEP_S
        return await self._campaign(ABSENT)

    async def _campaign(self, expected: int) -> float:
        try:
            await self._lease.step()
            if not self._lease.is_valid():
                return RETRY_S
            lease = self._lease.lease
            swap = await swap_surely(self._kv, self._key, self._value, expected, lease)
        except CoordinationError as exc:
            log.info("could not stand for the duty", key=self._key, why=repr(exc))
            return RETRY_S
        if not swap.swapped and expected:
            # The own record has lapsed since it was seen; nobody else writes in its place.
            self._mirror.hurry()
            return LOOK_STEP_S
        if not swap.swapped:
            return RETRY_S
        self.fence = swap.revision
        self._entered_lease = lease
        now = self._clock()
        self._act_from = now if expected else max(now, self._other_seen_at + self._hold_off_s)
        log.info(
            "duty taken", key=self._key, fence=self.fence, acts_in_s=round(self._act_from - now, 2)
        )
        return STEP_S
