import asyncio
import contextlib
import random

import pytest
from gradelug_coordination import Election, LeaseKeeper, Mirror
from gradelug_coordination.election import (
    MAX_POLL_WAIT_S,
    RECENT_START_JITTER_S,
    STEP_DOWN_PAUSE_S,
)
from gradelug_standins.kv import MemoryKv
from odd_values import NESTED
from world import new_loop

KEY = "duty/one"


def run(scenario):
    loop = new_loop()
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()


class ExpiringKv(MemoryKv):
    """Expires a lease when the next write arrives."""

    lease_to_expire = 0

    async def swap(self, key, value, expected, lease=0):
        if self.lease_to_expire and key == KEY:
            self.lapse(self.lease_to_expire)
            self.lease_to_expire = 0
        return await super().swap(key, value, expected, lease)


class Candidate:
    def __init__(
        self,
        kv,
        name,
        hold_off_s=0.0,
        outlasts=False,
        first_start=True,
        spacing_s=0.0,
        candidacy_delay_s=0.0,
    ):
        self.clock = asyncio.get_running_loop().time
        rng = random.Random(name)
        self.mirror = Mirror(kv, "", rng, 0.5, spacing_s)
        self.lease = LeaseKeeper(kv, 1.8, self.clock, rng)
        self.election = Election(
            kv,
            self.mirror,
            KEY,
            name,
            f"{name}:1",
            self.lease,
            self.clock,
            rng,
            hold_off_s,
            first_start,
            outlasts,
            candidacy_delay_s,
        )
        self.tasks = [
            asyncio.create_task(self.mirror.run()),
            asyncio.create_task(self.election.run()),
        ]

    async def die(self):
        for task in self.tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


def holders(candidates):
    return [cand for cand in candidates if cand.election.may_act()]


class TestElection:
    def test_exactly_one_candidate_holds_the_role_and_all_know_its_record(self):
        async def scenario():
            kv = MemoryKv()
            cands = [Candidate(kv, f"n{at}") for at in range(5)]
            await asyncio.sleep(1.0)
            (holder,) = holders(cands)
            assert {cand.election.record().fence for cand in cands} == {holder.election.fence}
            for cand in cands:
                await cand.die()

        run(scenario)

    @pytest.mark.parametrize("is_running", [False, True])
    @pytest.mark.parametrize("value", [NESTED, b'{"owner": "n9", "address": "n9:65536"}'])
    def test_a_role_whose_record_cannot_be_read_has_one_holder_again(self, is_running, value):
        """Guards against a record that nobody replaced, and against two holders."""

        async def scenario():
            kv = MemoryKv()
            hold_off_s = 1.0
            if not is_running:
                await kv.swap(KEY, value, 0)
            cands = [Candidate(kv, f"n{at}", hold_off_s) for at in range(3)]
            await asyncio.sleep(3.0 if is_running else 0.0)
            assert len(holders(cands)) == is_running
            if is_running:
                found = await kv.get(KEY)
                assert (await kv.swap(KEY, value, found.revision, found.lease)).swapped
            acted_at = {cand.election: cand.clock() for cand in holders(cands)}
            for _ in range(400):
                await asyncio.sleep(0.02)
                for cand in holders(cands):
                    others = [at for who, at in acted_at.items() if who is not cand.election]
                    assert all(cand.clock() - at >= hold_off_s for at in others)
                    acted_at[cand.election] = cand.clock()
            (holder,) = holders(cands)
            assert {cand.election.record().fence for cand in cands} == {holder.election.fence}
            for cand in cands:
                await cand.die()

        run(scenario)

    def test_a_candidate_whose_own_record_expired_retries_immediately(self):
        """Guards against a delay of 0.25 s for all instances after a power failure of the whole
        site."""

        async def scenario():
            kv = ExpiringKv()
            first = Candidate(kv, "n0", spacing_s=1.2)
            await asyncio.sleep(1.0)
            kv.lease_to_expire = first.lease.lease
            await first.die()
            again = Candidate(kv, "n0", spacing_s=1.2)
            began = again.clock()
            while not holders([again]):
                await asyncio.sleep(0.001)
            assert not kv.lease_to_expire
            # One step, the maximum of the random delay and of the wait for a poll, and one poll
            # step.
            assert again.clock() - began <= 0.1 + RECENT_START_JITTER_S + MAX_POLL_WAIT_S + 0.03
            await again.die()

        run(scenario)

    def test_a_dead_holder_is_replaced_with_a_greater_token(self):
        async def scenario():
            kv = MemoryKv()
            cands = [Candidate(kv, f"n{at}") for at in range(3)]
            await asyncio.sleep(1.0)
            (first,) = holders(cands)
            await first.die()
            fence = first.election.fence
            rest = [cand for cand in cands if cand is not first]
            await asyncio.sleep(2.5)
            (second,) = holders(rest)
            assert second.election.fence > fence
            for cand in rest:
                await cand.die()

        run(scenario)

    def test_a_successor_waits_where_tokens_are_not_checked(self):
        async def scenario():
            kv = MemoryKv()
            first = Candidate(kv, "n0", hold_off_s=3.0)
            await asyncio.sleep(1.0)
            second = Candidate(kv, "n1", hold_off_s=3.0)
            await asyncio.sleep(0.5)
            await first.election.resign()
            gone_at = second.clock()
            while not second.election.may_act():
                await asyncio.sleep(0.05)
            assert second.clock() - gone_at >= 2.8
            await first.die()
            await second.die()

        run(scenario)

    def test_a_restarted_holder_continues_immediately(self):
        async def scenario():
            kv = MemoryKv()
            first = Candidate(kv, "n0", hold_off_s=3.0)
            await asyncio.sleep(1.0)
            await first.die()
            again = Candidate(kv, "n0", hold_off_s=3.0, first_start=False)
            await asyncio.sleep(0.5)
            assert again.election.may_act()
            assert again.election.fence > first.election.fence
            await again.die()

        run(scenario)

    def test_an_outage_ends_the_role_unless_tokens_are_checked(self):
        async def scenario():
            for outlasts in (False, True):
                kv = MemoryKv()
                cand = Candidate(kv, "n0", outlasts=outlasts)
                await asyncio.sleep(1.0)
                kv.faults.down = True
                await asyncio.sleep(4.0)
                assert cand.election.may_act() is outlasts
                await cand.die()

        run(scenario)

    def test_an_expired_lease_ends_the_role(self):
        async def scenario():
            kv = MemoryKv()
            cand = Candidate(kv, "n0", outlasts=True)
            await asyncio.sleep(1.0)
            fence = cand.election.fence
            kv.lapse(cand.lease.lease)
            await asyncio.sleep(2.0)
            assert cand.election.fence > fence
            await cand.die()

        run(scenario)

    def test_a_superseded_holder_does_not_act_on_its_old_token(self):
        async def scenario():
            cand = Candidate(MemoryKv(), "n0", hold_off_s=3.0)
            await asyncio.sleep(1.0)
            cand.election.mark_lost()
            assert not cand.election.may_act()
            await cand.die()

        run(scenario)

    def test_a_new_lease_ends_the_role(self):
        """Guards against acting on an old token under a new lease: a planner whose lease had
        expired during a network partition did so until its mirror showed the successor 0.7 s
        later."""

        async def scenario():
            for outlasts in (False, True):
                kv = MemoryKv()
                cand = Candidate(kv, "n0", outlasts=outlasts)
                await asyncio.sleep(1.0)
                fence, lease = cand.election.fence, cand.lease.lease
                cand.tasks[0].cancel()  # the mirror receives no more changes
                kv.lapse(lease)
                for _ in range(100):
                    await asyncio.sleep(0.02)
                    if cand.lease.lease != lease:
                        assert not (cand.election.may_act() and cand.election.fence == fence)
                assert cand.lease.lease != lease
                await cand.die()

        run(scenario)

    def test_a_holder_that_steps_down_acts_until_replaced_and_is_a_candidate_later(self):
        """Guards against a weak holder that stays: an instance with half a core and a link of 5
        Mbit/s planned for 75 gateways, since it was the first to poll the store after the first
        configuration."""

        async def scenario():
            kv = MemoryKv()
            weak = Candidate(kv, "weak", outlasts=True)
            await asyncio.sleep(1.0)
            assert holders([weak]) == [weak]
            fence = weak.election.fence
            strong = Candidate(kv, "strong", outlasts=True)
            await asyncio.sleep(1.0)
            await weak.election.step_down()
            assert holders([weak]) == [weak]
            await asyncio.sleep(1.0)
            assert holders([weak, strong]) == [strong]
            assert strong.election.fence > fence
            await strong.die()
            await asyncio.sleep(STEP_DOWN_PAUSE_S + 3.0)
            assert holders([weak]) == [weak]
            await weak.die()

        run(scenario)

    def test_candidates_write_only_while_the_role_is_free(self):
        """Guards against needless writes: with polls 2 to 3 s apart each instance of a large fleet
        repeatedly acquired a lease and failed to write the record."""

        async def scenario():
            kv = CountingKv()
            beating = asyncio.create_task(kv.beat())
            cands = [
                Candidate(
                    kv,
                    f"n{at}",
                    outlasts=True,
                    spacing_s=3.0,
                    candidacy_delay_s=0.6 if at > 2 else 0.1,
                )
                for at in range(30)
            ]
            await asyncio.sleep(2.5)
            assert len(holders(cands)) == 1
            assert kv.attempts <= 2 * 3 + 2
            beating.cancel()
            for cand in cands:
                await cand.die()

        run(scenario)


class CountingKv(MemoryKv):
    """Counts the leases and writes of candidates; a replica also writes continuously."""

    def __init__(self):
        super().__init__()
        self.attempts = 0

    async def beat(self):
        revision = 0
        while True:
            swap = await super().swap("servers/e0", b"{}", revision)
            revision = swap.revision
            await asyncio.sleep(0.05)

    async def grant_lease(self, ttl_s):
        self.attempts += 1
        return await super().grant_lease(ttl_s)

    async def swap(self, key, value, expected, lease=0):
        self.attempts += 1
        return await super().swap(key, value, expected, lease)
