"""Versions of weights: what is the same, what a load can bring, how many engines renew at once."""

import pytest
from gradelug_policy.renewal import MAX_RENEWAL_S, renewals_left
from gradelug_policy.run_versions import VersionWord, WeightVersions, compare, is_loadable, is_same


class TestVersions:
    @pytest.mark.parametrize(
        ("version", "held", "newest", "same"),
        [
            (2, 2, 3, True),
            (2, 3, 3, False),
            (3, 2, 3, False),
            (0, 2, 0, True),
            (0, 2, 2, False),
            (2, 0, 0, True),
            (2, 0, 2, False),
        ],
    )
    def test_an_engine_has_the_weights_of_a_memory(self, version, held, newest, same):
        """What is not told is the same only as long as there is one version."""
        assert is_same(version, held, newest) is same

    @pytest.mark.parametrize(
        ("memory", "newest", "loadable"),
        [
            ((2, 1), (2, 1), True),
            ((2, 1), (0, 0), True),
            ((2, 1), (3, 1), False),
            ((2, 1), (2, 2), False),
            ((2, 0), (2, 0), True),
            ((2, 0), (2, 1), False),
            ((0, 1), (1, 1), False),
        ],
    )
    def test_a_load_brings_the_newest(self, memory, newest, loadable):
        assert is_loadable(WeightVersions(*memory), WeightVersions(*newest)) is loadable

    def test_what_an_engine_names_is_compared(self):
        memory = WeightVersions(2, 7)
        assert compare(memory, VersionWord(2)) == "same"
        assert compare(memory, VersionWord(3)) == "other"
        assert compare(memory, VersionWord()) == "unknown"
        assert compare(WeightVersions(), VersionWord(3)) == "unknown"

    def test_an_unreadable_word_changes_nothing(self):
        memory = WeightVersions(2, 7)
        assert memory.told(VersionWord(unreadable="x")) == memory
        assert memory.told(VersionWord(3)) == WeightVersions(3, 7)


class TestRenewal:
    @pytest.mark.parametrize(("engines", "most"), [(1, 1), (2, 1), (5, 2), (600, 300)])
    def test_part_of_the_engines_renew_at_a_time(self, engines, most):
        assert renewals_left([], engines, 0.1) == most
        assert renewals_left([0.0] * (most - 1), engines, 0.1) == 1
        assert renewals_left([0.0] * most, engines, 0.1) == 0

    def test_an_engine_whose_runs_last_keeps_no_other_waiting(self):
        assert renewals_left([0.0], 2, MAX_RENEWAL_S) == 1
