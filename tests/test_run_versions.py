"""Tests of weight version comparison and of the limit on concurrent base model renewals."""

import pytest
from gradelug_policy.renewal import MAX_RENEWAL_S, renewals_allowed
from gradelug_policy.run_versions import (
    ReportedVersion,
    WeightVersions,
    compare_versions,
    is_loadable,
    is_same_version,
)


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
    def test_weights_match_those_of_the_memory(self, version, held, newest, same):
        """An unknown version matches only while no version was announced."""
        assert is_same_version(version, held, newest) is same

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
    def test_a_load_provides_the_newest_version(self, memory, newest, loadable):
        assert is_loadable(WeightVersions(*memory), WeightVersions(*newest)) is loadable

    def test_reported_version_is_compared(self):
        memory = WeightVersions(2, 7)
        assert compare_versions(memory, ReportedVersion(2)) == "same"
        assert compare_versions(memory, ReportedVersion(3)) == "other"
        assert compare_versions(memory, ReportedVersion()) == "unknown"
        assert compare_versions(WeightVersions(), ReportedVersion(3)) == "unknown"

    def test_an_unreadable_version_is_ignored(self):
        memory = WeightVersions(2, 7)
        assert memory.with_reported(ReportedVersion(unreadable="x")) == memory
        assert memory.with_reported(ReportedVersion(3)) == WeightVersions(3, 7)


class TestRenewal:
    @pytest.mark.parametrize(("engines", "max_renewals"), [(1, 1), (2, 1), (5, 2), (600, 300)])
    def test_a_fraction_of_the_engines_renews_at_the_same_time(self, engines, max_renewals):
        assert renewals_allowed([], engines, 0.1) == max_renewals
        assert renewals_allowed([0.0] * (max_renewals - 1), engines, 0.1) == 1
        assert renewals_allowed([0.0] * max_renewals, engines, 0.1) == 0

    def test_an_engine_with_long_runs_does_not_delay_others(self):
        assert renewals_allowed([0.0], 2, MAX_RENEWAL_S) == 1
