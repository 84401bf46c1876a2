import random

import pytest
from gradelug_policy.run_recovery import (
    MIN_BREAK_RISK,
    MOVE_MARGIN_S,
    BreakRecord,
    BrokenRun,
    CopySettings,
    CopyTarget,
    EvacuationCandidate,
    RecoveryAction,
    RunStatistics,
    choose_recovery,
    choose_target,
    moves_due,
    should_copy,
)

TERMS = CopySettings(327_680, 370_000.0, 5.0, 4)
RUN_S = 2.0


class TestBreakRecord:
    def test_runs_are_not_copied_while_no_stream_breaks(self):
        record, now = BreakRecord(), 0.0
        for number in range(200):
            now += 0.3
            record.note(f"s{number % 5}", False, RUN_S, now)
            assert not should_copy(record.risk("s0", RUN_S, now), RUN_S)

    def test_a_burst_of_resets_starts_copies_until_it_has_decayed(self):
        """A gateway that starts three streams per second loses half of its connections at once."""
        record, now = BreakRecord(), 0.0
        for number in range(30):
            now += 0.3
            record.note(f"s{number % 30}", False, RUN_S, now)
        for number in range(3):
            record.note(f"s{number}", True, RUN_S / 2, now)
        assert should_copy(record.risk("s9", RUN_S, now), RUN_S)
        for number in range(100):
            now += 0.3
            record.note(f"s{number % 30}", False, RUN_S, now)
        assert not should_copy(record.risk("s9", RUN_S, now), RUN_S)

    def test_an_engine_that_breaks_streams_is_distinguished_from_others(self):
        """Three of sixty engines break a quarter of their streams, the others none."""
        record, rng, now = BreakRecord(), random.Random(3), 0.0
        copies = {True: 0, False: 0}
        for number in range(3000):
            now += 0.05
            engine = number % 60
            is_faulty = engine < 3
            copies[is_faulty] += should_copy(record.risk(f"s{engine}", RUN_S, now), RUN_S)
            record.note(f"s{engine}", is_faulty and rng.random() < 0.25, RUN_S, now)
        assert copies[True] > 0.6 * 150
        assert copies[False] < 0.2 * 2850

    def test_risk_grows_with_the_remaining_time(self):
        record = BreakRecord()
        record.note("s0", True, 1.0, 0.0)
        assert 0 < record.risk("s0", 0.5, 1.0) < record.risk("s0", 5.0, 1.0) < 1

    def test_a_run_that_ends_before_its_copy_arrives_is_not_copied(self):
        assert not should_copy(0.9, 0.1)
        assert should_copy(MIN_BREAK_RISK, 1.0)

    def test_removed_engines_are_dropped(self):
        record = BreakRecord()
        record.note("s0", True, 1.0, 0.0)
        before = record.risk("s0", 2.0, 0.0)
        record.keep_only({"s1"})
        assert record.risk("s0", 2.0, 0.0) < before


class TestCopyTargets:
    def test_loaded_weights_precede_the_hall_and_the_hall_precedes_free_memory(self):
        far = CopyTarget("far", 0.1, True, False)
        near = CopyTarget("near", 0.3, False, True)
        assert choose_target([near, far]) == "far"
        assert choose_target([near, CopyTarget("other", 0.1, False, False)]) == "near"

    def test_engines_above_the_memory_limit_receive_no_copy(self):
        assert choose_target([CopyTarget("full", 0.7, True, True)]) is None
        assert choose_target([]) is None

    def test_transfer_time_of_a_copy(self):
        # 1,632 tokens of 327,680 bytes over 370 Gbit/s.
        assert TERMS.copy_s(1632) == pytest.approx(0.0166, abs=0.0005)


class TestRecovery:
    @pytest.mark.parametrize(
        ("broken", "action"),
        [
            (BrokenRun(True, True, True, True), RecoveryAction.STOP),
            (BrokenRun(False, True, True, True), RecoveryAction.BACKUP),
            (BrokenRun(False, False, True, True), RecoveryAction.NEW_RUN),
            (BrokenRun(False, False, False, True), RecoveryAction.END),
            (BrokenRun(True, True, True, False), RecoveryAction.END),
        ],
    )
    def test_recovery_action(self, broken, action):
        assert choose_recovery(broken) is action


class TestMoves:
    def runs(self, count, left_s=3.0, **more):
        return [
            EvacuationCandidate(f"q{at}", 1500, left_s, float(at), **more) for at in range(count)
        ]

    def test_moves_start_as_late_as_all_of_them_fit(self):
        runs = self.runs(10)
        needed_s = 10 * TERMS.copy_s(1500)
        assert not moves_due(runs, needed_s + MOVE_MARGIN_S + 0.05, 0, TERMS)
        assert len(moves_due(runs, needed_s + MOVE_MARGIN_S - 0.01, 0, TERMS)) == 10

    def test_runs_of_other_gateways_share_the_link(self):
        runs = self.runs(2)
        assert not moves_due(runs, 0.8, 0, TERMS)
        assert len(moves_due(runs, 0.8, 46, TERMS)) == 2

    def test_runs_that_end_in_time_are_not_moved(self):
        assert not moves_due(self.runs(5, left_s=0.1), 0.6, 0, TERMS)

    def test_runs_of_the_greatest_value_move_first(self):
        due = moves_due(self.runs(3), 0.1, 0, TERMS)
        assert [run.request_id for run in due] == ["q2", "q1", "q0"]

    def test_time_to_load_weights_is_added(self):
        assert not moves_due(self.runs(1), 0.9, 0, TERMS)
        assert moves_due(self.runs(1, prepare_s=0.7), 0.9, 0, TERMS)


class TestRunStatistics:
    def test_statistics_converge_to_observed_runs(self):
        statistics = RunStatistics()
        for _ in range(200):
            statistics.note(1600, 160, 160 * 0.02)
        assert statistics.token_s == pytest.approx(0.02, rel=0.01)
        assert statistics.mean_tokens == pytest.approx(1600)
