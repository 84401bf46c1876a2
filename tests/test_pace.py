from gradelug_policy.pace import FIRST_AT_ONCE, FIRST_LOAD_S, LEAST_AT_ONCE, StorePace


class TestStorePace:
    def test_late_loads_beside_many_lower_their_number(self):
        pace = StorePace()
        for _ in range(50):
            pace.note_late(11)
        assert pace.at_once == LEAST_AT_ONCE
        assert pace.load_s == FIRST_LOAD_S

    def test_late_loads_on_their_own_are_expected_to_take_longer(self):
        pace = StorePace()
        pace.note_late(1)
        assert pace.load_s > FIRST_LOAD_S
        assert pace.at_once == FIRST_AT_ONCE

    def test_loads_in_time_raise_the_number_again(self):
        pace = StorePace()
        for _ in range(50):
            pace.note_late(11)
        for _ in range(200):
            pace.note_in_time()
        assert pace.at_once > LEAST_AT_ONCE
