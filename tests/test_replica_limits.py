"""Limits reported by replicas: the order in which they apply, and the requests that each
permits.
"""

import math

import logbook
import pytest
from gradelug_gateway.limits import ReplicaLimits
from gradelug_http import ResponseHead
from gradelug_platform.dialect import PlatformDialect
from gradelug_policy.replica_limits import (
    REORDER_TOLERANCE_S,
    LimitFact,
    ReplicaLimit,
    ReportedLimit,
)
from hypothesis import given, settings
from hypothesis import strategies as st


def head(*values):
    return ResponseHead(200, tuple((b"Server-Limit", value) for value in values))


class TestParsing:
    @pytest.mark.parametrize(
        ("values", "rate"),
        [
            ((), None),
            ((b"1.4",), 1.4),
            ((b" 50 ",), 50.0),
            ((b"0",), 0.0),
            ((b"0.0",), 0.0),
            ((b"1e-3",), 0.001),
            ((b".5",), 0.5),
            ((b"3", b"2"), 2.0),
        ],
    )
    def test_a_decimal_number_is_a_rate_and_of_several_the_lowest_holds(self, values, rate):
        assert PlatformDialect().read_limit(head(*values)) == ReportedLimit(rate)

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"-1",
            b"nan",
            b"inf",
            b"1e999",
            b"0x10",
            b"1_0",
            b"1,4",
            b"\xff\xfe",
            b"1 2",
            b"-0.1",
        ],
    )
    def test_an_invalid_number_is_returned_as_text(self, value):
        word = PlatformDialect().read_limit(head(value))
        assert word.rate is None
        assert word.invalid_text

    def test_one_invalid_number_invalidates_the_others(self):
        assert PlatformDialect().read_limit(head(b"1.5", b"x")).invalid_text

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=40))
    def test_arbitrary_bytes_never_yield_an_invalid_rate(self, value):
        word = PlatformDialect().read_limit(head(value))
        assert word.rate is None or 0 <= word.rate < math.inf


class TestRecord:
    def test_an_answer_without_a_limit_ends_it(self):
        record = ReplicaLimit()
        assert record.note(LimitFact(1.4, 1.0, 2.0))
        assert record.note(LimitFact(None, 3.0, 3.1))
        assert record.rate is None

    def test_a_reordered_answer_does_not_end_it(self):
        record = ReplicaLimit()
        record.note(LimitFact(1.4, 1.0, 2.0))
        assert not record.note(LimitFact(None, 1.9, 2.5))
        assert not record.note(LimitFact(None, 2.0 + REORDER_TOLERANCE_S / 2, 2.5))
        assert record.rate == 1.4

    def test_an_older_answer_does_not_restore_an_ended_limit(self):
        record = ReplicaLimit()
        record.note(LimitFact(1.4, 1.0, 2.0))
        record.note(LimitFact(None, 3.0, 3.1))
        assert not record.note(LimitFact(1.4, 1.5, 2.9))
        assert record.note(LimitFact(2.0, 3.2, 3.3))

    def test_the_lower_limit_holds_if_the_order_is_unknown(self):
        record = ReplicaLimit()
        record.note(LimitFact(1.4, 1.0, 2.0))
        assert record.note(LimitFact(1.1, 1.5, 2.1))
        assert not record.note(LimitFact(1.4, 1.6, 2.2))
        assert record.note(LimitFact(1.4, 2.3, 2.4))

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.floats(0.1, 9), st.floats(0, 10), st.floats(0, 2)), min_size=1))
    def test_no_order_of_answers_permits_more_than_the_newest(self, answers):
        record = ReplicaLimit()
        for rate, sent_at, took_s in answers:
            record.note(LimitFact(rate, sent_at, sent_at + took_s))
        newest = max(answers, key=lambda one: one[1])
        surely_newest = all(one is newest or one[1] + one[2] <= newest[1] for one in answers)
        if surely_newest:
            assert record.rate <= newest[0]


class TestReceiving:
    def test_an_invalid_limit_is_logged_once_and_ignored(self):
        limits = ReplicaLimits(lambda: 1.0)
        limits.update_from_answer("e1", ReportedLimit(1.4), 0.5)
        with logbook.TestHandler() as logs:
            limits.update_from_answer("e1", ReportedLimit(invalid_text="'x'"), 0.9)
            limits.update_from_answer("e1", ReportedLimit(invalid_text="'y'"), 0.9)
        assert len(logs.records) == 1
        assert limits.rate("e1") == 1.4

    def test_zero_is_a_limit(self):
        limits = ReplicaLimits(lambda: 1.0)
        limits.update_from_answer("e1", ReportedLimit(0.0), 0.5)
        assert limits.rate("e1") == 0.0
        assert limits.limited_replicas() == ["e1"]

    def test_replicas_without_a_limit_are_not_stored(self):
        limits = ReplicaLimits(lambda: 1.0)
        limits.update_from_answer("e1", ReportedLimit(), 0.5)
        assert limits.rate("e1") is None
        assert not limits.limited_replicas()

    def test_another_incarnation_starts_without_a_limit(self):
        limits = ReplicaLimits(lambda: 1.0)
        limits.update_from_answer("e1", ReportedLimit(1.4), 0.5)
        limits.forget("e1")
        assert limits.rate("e1") is None

    def test_a_removed_replica_is_forgotten(self):
        limits = ReplicaLimits(lambda: 1.0)
        limits.update_from_answer("e1", ReportedLimit(1.4), 0.5)
        limits.forget_removed({"e2"})
        assert not limits.limited_replicas()
