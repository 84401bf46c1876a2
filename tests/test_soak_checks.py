"""What the soak counts as broken: late requests, exits of processes, answers that are cut."""

import asyncio
import signal
from pathlib import Path

import fleet_soak
import pytest
from fleet_soak import Soak
from fleet_stand_in import DRAIN_S, HEARD_S, Ledger, ReplicaStandIn, Work
from run_world import close
from soak_silences import BOTH_S, DEADLINE_MS, EngineSilences
from world import new_loop

SETTLE_S = 1.5
CUT_AT = 1.3
BUSY_S = 2.0


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
    """Only what the store takes while it is stable counts from the writing."""

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


class Gateway:
    """What the checks of silences read of a gateway."""

    log = Path("g0.log")

    def __init__(self):
        self.troubles = []
        self.stops = []


class Answers:
    """What the checks of silences read of a soak: one stream, sent at 0."""

    def __init__(self, answered_at, status):
        self.gateway = Gateway()
        self.answers = {"q": ("s", status, None, b"")}
        self.answered_at = {"q": answered_at}
        self.through = {"q": self.gateway}
        self.sent = {"q": (0.0, "key")}


class Silent:
    """Engines "i" and "j" of a soak; "i" is silent until a moment after it began a stream."""

    def __init__(self, until, works, answered_at=CUT_AT, status=502):
        ledger = Ledger()
        self.soak = Answers(answered_at, status)
        self.silences = EngineSilences(1, ledger)
        for name in ("i", "j"):
            self.silences.add(ReplicaStandIn(name, "llm", None, ledger, {}))
        self.engine, self.proxy = self.silences._engines["i"]
        self.engine.silence.spans.append((0.1, until))
        for name, since, ended in works:
            work = Work(name, since)
            work.until = ended
            ledger.works["q"].append(work)

    def faults(self):
        return self.silences.faults(self.soak)


def silent(*args, change=None, **kwargs):
    """Return what the checks of silences find."""

    async def scenario():
        case = Silent(*args, **kwargs)
        if change is not None:
            change(case)
        return case.faults()

    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        close(loop)


BEGUN = [("i", 0.05, CUT_AT)]
"""One engine began the stream, and its work was ended."""


class TestSilences:
    def test_an_answer_is_cut_although_its_engine_goes_on_in_time(self):
        (fault,) = silent(1.0, BEGUN)
        assert "i worked 0.05..1.30, held 0.10..1.00" in fault

    def test_a_whole_answer_is_no_fault(self):
        assert silent(1.0, BEGUN, status=200) == []

    def test_an_engine_that_goes_on_too_late_owes_nothing(self):
        assert silent(DEADLINE_MS / 1000 - 0.6, BEGUN) == []

    # A silence that began 10 ms after the time for which the work was planned was left out.
    def test_work_that_a_silence_holds_just_before_its_end_owes_nothing(self):
        def change(case):
            case.engine.silence.spans[:] = [(1.6, DEADLINE_MS / 1000 - 0.5)]

        assert silent(1.0, [("i", 0.05, 1.7)], change=change) == []

    # Engines whose process stood still for 1.8 s were taken for engines that went on.
    def test_engines_whose_process_is_held_up_for_too_long_owe_nothing(self):
        stall = (1.0, DEADLINE_MS / 1000 - 0.6)
        assert silent(1.0, BEGUN, change=lambda case: case.silences.stalls.append(stall)) == []

    @pytest.mark.parametrize(
        "change",
        [
            lambda case: case.proxy.breaks.append(1.2),
            lambda case: case.soak.gateway.troubles.append((0.5, 0.6)),
            lambda case: setattr(case.engine, "left_at", 1.2),
        ],
    )
    def test_broken_links_gateways_and_engines_owe_nothing(self, change):
        assert silent(1.0, BEGUN, change=change) == []

    @pytest.mark.parametrize(
        "change",
        [
            lambda case: case.proxy.breaks.append(9.0),
            lambda case: case.soak.gateway.troubles.append((9.0, 9.5)),
            lambda case: case.soak.gateway.stops.append(0.5),
        ],
    )
    def test_what_comes_later_and_stops_in_order_excuse_nothing(self, change):
        assert len(silent(1.0, BEGUN, change=change)) == 1

    @pytest.mark.parametrize(("excess_s", "count"), [(-0.1, 0), (0.1, 1)])
    def test_two_engines_work_on_a_run_beyond_a_silence(self, excess_s, count):
        ended = 1.0 + BOTH_S + excess_s
        works = [("i", 0.05, ended), ("j", 0.9, BUSY_S)]
        assert len(silent(1.0, works, status=200)) == count

    def test_an_engine_that_ends_first_does_not_work_beside_another(self):
        works = [("i", 0.05, 1.0 + BOTH_S - 0.1), ("j", 0.9, BUSY_S)]
        assert silent(1.0, works, status=200) == []
