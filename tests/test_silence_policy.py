"""How long a silent replica is waited for, by what is left and by recent silences."""

import pytest
from gradelug_policy.silences import MEMORY_S, EndedSilences, silence_timeout_s

DEFAULT_S = 1.2
LATEST_S = 2.4


class TestEndedSilences:
    def test_longest_recent_silence_counts(self):
        ended = EndedSilences()
        assert ended.longest_s(0.0) == 0.0
        for at, lasted_s in ((1.0, 1.0), (2.0, 1.6), (3.0, 0.9), (4.0, 1.3)):
            ended.note(lasted_s, at)
        assert ended.longest_s(4.0) == 1.6

    def test_silences_are_forgotten_one_after_the_other(self):
        ended = EndedSilences()
        for at, lasted_s in ((1.0, 1.6), (2.0, 1.3), (3.0, 0.9)):
            ended.note(lasted_s, at)
        found = [ended.longest_s(at + MEMORY_S + 0.5) for at in (0.0, 1.0, 2.0, 3.0)]
        assert found == [1.6, 1.3, 0.9, 0.0]


class TestTimeout:
    @pytest.mark.parametrize(
        ("longest_s", "timeout_s"), [(0.0, 1.2), (0.9, 1.2), (1.6, 1.76), (5.0, 2.4)]
    )
    def test_recent_silences_extend_it_as_long_as_a_successor_is_in_time(
        self, longest_s, timeout_s
    ):
        found = silence_timeout_s(DEFAULT_S, LATEST_S, longest_s)
        assert found == pytest.approx(timeout_s)

    def test_it_is_not_shortened_where_callers_leave_early(self):
        assert silence_timeout_s(DEFAULT_S, 0.6, 1.6) == DEFAULT_S

    def test_streams_are_not_sent_to_and_fro_between_replicas_that_are_silent_in_turn(self):
        """Replays silences in turn: only the first stream that meets one leaves its replica."""
        ended = EndedSilences()
        left = 0
        for at, lasted_s in enumerate((1.5, 1.3, 1.6, 1.55, 1.4, 1.6)):
            left += lasted_s > silence_timeout_s(DEFAULT_S, LATEST_S, ended.longest_s(at))
            ended.note(lasted_s, at)
        assert left == 1
