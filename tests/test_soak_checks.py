"""What the soak counts as broken, of replicas that say they drain.

Three requests reached a replica 3 s after it had said so, while no instance could reach the store:
one had lost it at 8.3 s, the others at 9.5 s, and all had it back from 11.9 s on. The rule counts
only what the store takes while it is stable; the soak counted from the writing.
"""

import asyncio
import signal

import fleet_soak
import pytest
from fleet_soak import Soak
from fleet_stand_in import DRAIN_S, HEARD_S, Ledger, ReplicaStandIn
from run_world import close
from world import new_loop

SETTLE_S = 1.5


def late(ledger, drained_at, at, note=()):
    """Tell whether a request is late that reaches a replica at a moment after it drained."""

    async def scenario():
        replica = ReplicaStandIn("i", "plain", None, ledger, {})
        replica.draining_at = drained_at
        replica.drained_stable = ledger.is_store_stable(drained_at)
        for troubles, when in note:
            ledger.note_store(troubles, when)
        return replica._is_late(at)

    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        close(loop)


class TestDrain:
    def test_it_counts_from_the_writing_while_the_store_is_stable(self):
        assert not late(Ledger(), 10.0, 10.0 + DRAIN_S - 0.1)
        assert late(Ledger(), 10.0, 10.0 + DRAIN_S + 0.1)

    def test_a_trouble_that_begins_later_changes_nothing(self):
        assert late(Ledger(), 10.0, 10.0 + DRAIN_S + 0.1, [(1, 10.5)])

    @pytest.mark.parametrize("ended", [False, True])
    def test_what_was_written_while_the_store_was_away_counts_from_when_it_is_stable(self, ended):
        ledger = Ledger()
        ledger.note_store(1, 8.0)
        note = [(-1, 12.0)] if ended else []
        assert not late(ledger, 9.0, 12.0 + HEARD_S + DRAIN_S - 0.1, note)

    def test_and_is_late_after_that(self):
        ledger = Ledger()
        ledger.note_store(1, 8.0)
        assert late(ledger, 9.0, 12.0 + HEARD_S + DRAIN_S + 0.1, [(-1, 12.0)])

    def test_just_after_a_trouble_the_store_is_not_stable(self):
        ledger = Ledger()
        ledger.note_store(1, 5.0)
        ledger.note_store(-1, 8.0)
        assert not late(ledger, 9.0, 9.0 + DRAIN_S + 0.1)


class TestProcesses:
    # A gateway that ended by itself made no soak fail.
    @pytest.mark.parametrize("number", [signal.SIGABRT, signal.SIGKILL])
    def test_a_soak_fails_if_a_gateway_process_ends_by_itself(self, number, monkeypatch):
        monkeypatch.setattr(fleet_soak, "SETTLE_S", SETTLE_S)

        class BrittleSoak(Soak):
            async def _faults(self):
                self.gateways[0].process.send_signal(number)

            def _keep(self, folder, faults):
                """Keep nothing of a run that is to fail."""

        async def main():
            return await BrittleSoak(1, 0.0).run()

        assert f"g0.log: ended by itself with status {-number}" in asyncio.run(main())
