"""How often instances may send requests again, all together."""

from gradelug_gateway.budgets import RetryBudgets

RATIO, EXTRA, WINDOW_S = 0.2, 430.0, 10.0


def spend(budgets, service="llm"):
    """Return how many sendings are allowed at once."""
    count = 0
    while count < 10_000 and budgets.try_retry(service):
        count += 1
    return count


class TestRetryBudgets:
    def test_instances_that_start_at_once_keep_within_what_they_share(self):
        """Until a planner told how many they are, each of 195 took itself for one of nine."""
        fleet = [RetryBudgets(RATIO, EXTRA, WINDOW_S, lambda: 0.0) for _ in range(195)]
        assert sum(map(spend, fleet)) <= EXTRA

    def test_a_small_fleet_gets_its_share_once_it_is_told(self):
        budgets = RetryBudgets(RATIO, 58.0, WINDOW_S, lambda: 0.0)
        budgets.share_among(9)
        assert spend(budgets) == 5

    def test_services_have_budgets_of_their_own(self):
        budgets = RetryBudgets(RATIO, 58.0, WINDOW_S, lambda: 0.0)
        budgets.share_among(9)
        assert spend(budgets, "plain") == 5
        assert spend(budgets, "llm") == 5

    def test_requests_earn_sendings_for_their_own_service(self):
        budgets = RetryBudgets(RATIO, 0.0, WINDOW_S, lambda: 0.0)
        for _ in range(20):
            budgets.note_request("llm")
        assert (spend(budgets, "llm"), spend(budgets, "plain")) == (3, 0)
