import pytest
from gradelug_policy.residency import (
    LoadCandidate,
    LoadCosts,
    LoadRateLimiter,
    Victim,
    choose_load_engine,
)
from hypothesis import given, settings
from hypothesis import strategies as st

COSTS = LoadCosts(0.03, 0.255)


def candidate(name, free=1, victims=(), cached=False, wait_s=0.0):
    return LoadCandidate(name, free, tuple(victims), cached, wait_s)


class TestChooseHome:
    def test_host_memory_is_preferred_to_the_weight_store(self):
        choice = choose_load_engine(
            [candidate("a"), candidate("b", cached=True, wait_s=0.054)], "k", COSTS, True
        )
        assert choice is not None
        assert (choice.engine, choice.cached) == ("b", True)

    def test_a_busy_store_leaves_only_host_memory(self):
        assert choose_load_engine([candidate("a"), candidate("b")], "k", COSTS, False) is None

    def test_the_least_requested_adapter_is_evicted(self):
        victims = [Victim("hot", 3.0), Victim("cold", 0.1), Victim("warm", 1.0)]
        choice = choose_load_engine([candidate("a", 0, victims)], "k", COSTS, True)
        assert choice is not None
        assert choice.victim == "cold"

    def test_an_engine_with_all_slots_in_use_loads_nothing(self):
        assert choose_load_engine([candidate("a", free=0)], "k", COSTS, True) is None

    def test_an_engine_with_a_long_wait_is_avoided(self):
        choice = choose_load_engine([candidate("a", wait_s=0.8), candidate("b")], "k", COSTS, True)
        assert choice is not None
        assert choice.engine == "b"

    def test_ties_are_broken_regardless_of_the_order(self):
        views = [candidate(name) for name in "abcde"]
        chosen = {choose_load_engine(order, "k", COSTS, True) for order in (views, views[::-1])}
        assert len(chosen) == 1


class TestLoadWindow:
    @settings(derandomize=True)
    @given(
        st.lists(st.floats(0.0, 0.9), min_size=1, max_size=120),
        st.floats(0.6, 25.0),
        st.integers(0, 119),
    )
    def test_no_window_exceeds_the_limit(self, pauses, rate, replaced_at):
        """Includes the replacement of the planner. One that assumes that its predecessor used the
        window evenly, while it used all of it at once, allows 26 loads in 5 s instead of 14."""
        window, now, started = LoadRateLimiter(rate, 5.0, 1.1, 3), 100.0, []
        for number, pause in enumerate(pauses):
            now += pause
            if number == replaced_at % len(pauses):
                window = LoadRateLimiter(rate, 5.0, 1.1, 3)
            while window.allows(now):
                window.note(now)
                started.append(now)
        max_loads = max((sum(at <= x < at + 5.0 for x in started) for at in started), default=0)
        assert max_loads <= rate * 5.0 * 1.1 + 3

    @pytest.mark.parametrize("rate", [2.1, 22.0])
    @pytest.mark.parametrize("replaced_s", [0.0, 0.5, 2.0, 4.0])
    def test_a_window_with_a_replaced_planner_stays_within_the_limit(self, rate, replaced_s):
        window, started = LoadRateLimiter(rate, 5.0, 1.1, 3, 0.1), []
        for step in range(1000):
            now = step / 100
            if now == replaced_s:
                window = LoadRateLimiter(rate, 5.0, 1.1, 3, 0.1)
            while window.allows(now):
                window.note(now)
                started.append(now)
        max_loads = max(sum(at <= x < at + 5.0 for x in started) for at in started)
        assert max_loads <= rate * 5.0 * 1.1 + 3

    def test_loads_continue_at_the_rate_of_the_limit(self):
        for rate in (2.1, 22.0):
            window, now, started = LoadRateLimiter(rate, 5.0, 1.1, 3, 0.1), 0.0, 0
            for _ in range(1000):
                now += 0.01
                if window.allows(now):
                    window.note(now)
                    started += 1
            assert 0.95 * rate * 10 <= started <= 1.2 * rate * 10 + 2
