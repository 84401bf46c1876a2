"""Retry budgets that all instances share."""

import pytest
from gradelug_gateway.budgets import (
    BUDGET_FRACTION,
    COUNT_SETTLE_S,
    DEFAULT_GATEWAY_COUNT,
    FOLLOW_TIMEOUT_S,
    GatewayCount,
    RetryBudgets,
)
from gradelug_policy.retries import RetryWindow
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

RATIO, EXTRA, WINDOW_S = 0.2, 430.0, 10.0


def take_retry(budgets, service, unrun=False):
    """Take a retry and send it at once; return whether there was one."""
    reservation = budgets.reserve(service, unrun)
    if reservation is not None:
        reservation.use()
    return reservation is not None


def spend(budgets, service="llm"):
    """Return how many retries are available at once."""
    count = 0
    while count < 10_000 and take_retry(budgets, service):
        count += 1
    return count


class TestRetryBudgets:
    def test_simultaneously_started_instances_stay_within_the_shared_budget(self):
        """Before the first count, each of 195 instances assumed that there were nine."""
        fleet = [RetryBudgets(RATIO, EXTRA, WINDOW_S, lambda: 0.0) for _ in range(195)]
        assert sum(map(spend, fleet)) <= EXTRA

    def test_small_fleet_gets_its_full_share_once_counted(self):
        budgets = RetryBudgets(RATIO, 58.0, WINDOW_S, lambda: 0.0)
        budgets.share_among(9)
        assert spend(budgets) == 5

    def test_budgets_are_separate_for_each_service(self):
        budgets = RetryBudgets(RATIO, 58.0, WINDOW_S, lambda: 0.0)
        budgets.share_among(9)
        assert spend(budgets, "plain") == 5
        assert spend(budgets, "llm") == 5

    def test_requests_add_retries_to_their_own_service(self):
        budgets = RetryBudgets(RATIO, 0.0, WINDOW_S, lambda: 0.0)
        for _ in range(20):
            budgets.note_request("llm")
        assert (spend(budgets, "llm"), spend(budgets, "plain")) == (3, 0)


class TestGatewayCount:
    def test_first_count_is_used_after_the_settle_time(self):
        """After a power failure, the first instance counted again took the whole budget."""
        count = GatewayCount(WINDOW_S)
        reported = {0.0: 1, 0.5: 40, 1.0: 85, 2.9: 85}
        assert [count.note(reported[at], at) for at in reported] == [DEFAULT_GATEWAY_COUNT] * 4
        assert count.note(85, COUNT_SETTLE_S + 0.1) == 85

    def test_higher_count_applies_at_once_and_lower_count_after_a_window(self):
        count = GatewayCount(WINDOW_S)
        for step in range(10):
            count.note(85, step / 2)
        assert count.note(90, 5.0) == 90
        counts = [count.note(40, 5.0 + step / 2) for step in range(1, 60)]
        held_s = counts.count(90) / 2
        assert held_s >= WINDOW_S + FOLLOW_TIMEOUT_S
        assert counts[-1] == 40

    def test_instance_without_a_planner_takes_the_minimum_share(self):
        count = GatewayCount(WINDOW_S)
        for step in range(10):
            count.note(9, step / 2)
        assert count.note(0, 5.0) == 9
        assert count.note(0, 4.5 + FOLLOW_TIMEOUT_S + 0.1) == DEFAULT_GATEWAY_COUNT
        again = [count.note(9, 9.0 + step / 2) for step in range(8)]
        assert again.count(DEFAULT_GATEWAY_COUNT) / 2 == COUNT_SETTLE_S
        assert again[-1] == 9


class TestRetryReservation:
    def test_retries_are_reserved_for_requests_that_may_have_run(self):
        window = RetryWindow(0.0, 6.0, WINDOW_S)
        assert all(window.try_retry(0.0) for _ in range(2))
        # Two are reserved for requests that would fail without a retry.
        assert [window.try_retry(0.1, unrun=True) for _ in range(3)] == [True, True, False]
        assert [window.try_retry(0.2) for _ in range(3)] == [True, True, False]

    def test_a_retry_is_left_to_each_begun_stream_that_waits_for_one(self):
        window = RetryWindow(0.0, 2.0, WINDOW_S)
        window.awaited = 2
        assert not window.try_reserve(0.0, unrun=True)
        assert not window.try_reserve(0.0)
        assert window.try_reserve(0.0, begun=True)
        window.awaited = 0
        assert window.try_reserve(0.0)

    def test_a_retry_is_left_only_while_a_begun_stream_waits(self):
        budgets = RetryBudgets(0.0, 1.0 / BUDGET_FRACTION, WINDOW_S, lambda: 0.0)
        budgets.share_among(1)
        with budgets.awaiting("s", begun=True):
            assert not budgets.has_retry("s")
            assert budgets.has_retry("s", begun=True)
        assert budgets.has_retry("s")

    def test_nothing_is_reserved_without_requests_that_may_have_run(self):
        window = RetryWindow(0.0, 6.0, WINDOW_S)
        assert sum(window.try_retry(0.0, unrun=True) for _ in range(9)) == 6
        assert window.next_s(4.0) == pytest.approx(6.0)

    def test_time_to_next_retry_accounts_for_counted_requests(self):
        window = RetryWindow(0.2, 1.0, WINDOW_S)
        assert window.try_retry(0.0)
        for step in range(4):
            window.note_request(step / 10)
        # 0.2 retries are missing, and requests add 0.08 per second.
        assert window.next_s(0.4) == pytest.approx(2.5)


class RetryBudgetMachine(RuleBasedStateMachine):
    """Instances that retry as often as allowed, while planners count them, lose them and fail."""

    INSTANCES = 6
    EXTRA = 60.0
    STEP_S = 0.5

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.requests = []
        self.retries = []
        self.budgets = [
            RetryBudgets(RATIO, self.EXTRA, WINDOW_S, lambda: self.now)
            for _ in range(self.INSTANCES)
        ]
        self.counts = [GatewayCount(WINDOW_S) for _ in self.budgets]
        self.followers = set()
        self.joining = list(range(self.INSTANCES))

    @rule(steps=st.integers(1, 40), eager=st.sets(st.integers(0, 5)), busy=st.integers(0, 4))
    def pass_time(self, steps, eager, busy):
        for _ in range(steps):
            self.now += self.STEP_S
            if self.joining:
                self.followers.add(self.joining.pop(0))
            for number, budgets in enumerate(self.budgets):
                reported = len(self.followers) if number in self.followers else 0
                budgets.share_among(self.counts[number].note(reported, self.now))
                if number < busy:
                    budgets.note_request("s")
                    self.requests.append(self.now)
                while number in eager and take_retry(budgets, "s", unrun=number % 2 == 0):
                    self.retries.append(self.now)

    @rule(numbers=st.sets(st.integers(0, 5), min_size=1))
    def cut_off(self, numbers):
        self.followers -= numbers
        self.joining = [number for number in self.joining if number not in numbers]

    @rule()
    def lose_planner(self):
        self.joining = sorted(self.followers)
        self.followers = set()

    @rule()
    def reconnect(self):
        missing = set(range(self.INSTANCES)) - self.followers - set(self.joining)
        self.joining += sorted(missing)

    @invariant()
    def every_window_is_within_the_budget(self):
        for end in self.retries:
            inside = sum(end - WINDOW_S < at <= end for at in self.retries)
            requested = sum(end - WINDOW_S < at <= end for at in self.requests)
            assert inside <= RATIO * requested + self.EXTRA


TestRetryBudgetMachine = RetryBudgetMachine.TestCase
TestRetryBudgetMachine.settings = settings(
    max_examples=60, stateful_step_count=20, deadline=None, derandomize=True, database=None
)
