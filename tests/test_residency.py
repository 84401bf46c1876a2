import pytest
from gradelug_policy.residency import EnginePlaces, LoadCosts, LoadWindow, Victim, choose_home
from hypothesis import given, settings
from hypothesis import strategies as st

COSTS = LoadCosts(0.03, 0.255)


def places(name, free=1, victims=(), cached=False, wait_s=0.0):
    return EnginePlaces(name, free, tuple(victims), cached, wait_s)


class TestChooseHome:
    def test_host_memory_goes_before_the_weight_store(self):
        choice = choose_home(
            [places("a"), places("b", cached=True, wait_s=0.054)], "k", COSTS, True
        )
        assert choice is not None
        assert (choice.engine, choice.cached) == ("b", True)

    def test_a_busy_store_leaves_only_host_memory(self):
        assert choose_home([places("a"), places("b")], "k", COSTS, False) is None

    def test_the_least_wanted_makes_way(self):
        victims = [Victim("hot", 3.0), Victim("cold", 0.1), Victim("warm", 1.0)]
        choice = choose_home([places("a", 0, victims)], "k", COSTS, True)
        assert choice is not None
        assert choice.victim == "cold"

    def test_an_engine_whose_places_are_all_in_use_takes_nothing(self):
        assert choose_home([places("a", free=0)], "k", COSTS, True) is None

    def test_an_engine_on_which_a_request_would_wait_long_is_avoided(self):
        choice = choose_home([places("a", wait_s=0.8), places("b")], "k", COSTS, True)
        assert choice is not None
        assert choice.engine == "b"

    def test_among_equals_everybody_chooses_the_same(self):
        views = [places(name) for name in "abcde"]
        chosen = {choose_home(order, "k", COSTS, True) for order in (views, views[::-1])}
        assert len(chosen) == 1


class TestLoadWindow:
    @settings(derandomize=True)
    @given(
        st.lists(st.floats(0.0, 0.9), min_size=1, max_size=120),
        st.floats(0.6, 25.0),
        st.integers(0, 119),
    )
    def test_no_window_holds_more_than_the_limit(self, pauses, rate, taken_over_at):
        """Also with a planner replaced in the middle, which took the window for used evenly while
        all of it had been used at once: 26 loads in 5 s where 14 were allowed."""
        window, now, begun = LoadWindow(rate, 5.0, 1.1, 3), 100.0, []
        for number, pause in enumerate(pauses):
            now += pause
            if number == taken_over_at % len(pauses):
                window = LoadWindow(rate, 5.0, 1.1, 3)
            while window.allows(now):
                window.note(now)
                begun.append(now)
        most = max((sum(at <= x < at + 5.0 for x in begun) for at in begun), default=0)
        assert most <= rate * 5.0 * 1.1 + 3

    @pytest.mark.parametrize("rate", [2.1, 22.0])
    @pytest.mark.parametrize("taken_over_s", [0.0, 0.5, 2.0, 4.0])
    def test_a_planner_replaced_within_a_window_holds_the_limit(self, rate, taken_over_s):
        window, begun = LoadWindow(rate, 5.0, 1.1, 3, 0.1), []
        for step in range(1000):
            now = step / 100
            if now == taken_over_s:
                window = LoadWindow(rate, 5.0, 1.1, 3, 0.1)
            while window.allows(now):
                window.note(now)
                begun.append(now)
        most = max(sum(at <= x < at + 5.0 for x in begun) for at in begun)
        assert most <= rate * 5.0 * 1.1 + 3

    def test_loads_go_on_at_the_rate_of_the_limit(self):
        for rate in (2.1, 22.0):
            window, now, begun = LoadWindow(rate, 5.0, 1.1, 3, 0.1), 0.0, 0
            for _ in range(1000):
                now += 0.01
                if window.allows(now):
                    window.note(now)
                    begun += 1
            assert 0.95 * rate * 10 <= begun <= 1.2 * rate * 10 + 2
