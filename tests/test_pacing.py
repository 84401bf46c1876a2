"""How often a planner and its gateways speak to each other."""

from gradelug_gateway.pacing import (
    FLUSH_S,
    MAX_FLUSH_S_PER_GATEWAY,
    STARTS_PER_S,
    TARGET_MESSAGES_PER_S,
    Pacing,
)


def play(pacing, gateways, changes_per_s, starts_per_s, seconds=20.0):
    """Let gateways with changes at even distances gather them as they are told to."""
    now, step_s = 0.0, 0.5
    pacing.note_gateways(gateways)
    while now < seconds:
        now += step_s
        for _ in range(round(step_s * gateways / (pacing.flush_s + 1 / changes_per_s))):
            pacing.note_message(0)
        pacing.note_message(round(starts_per_s * step_s))
        pacing.step(now)
    return pacing


class TestPacing:
    def test_a_small_fleet_relies_on_its_news(self):
        pacing = play(Pacing(0.0), 9, 8.0, 25.0)
        assert not pacing.ask_first
        assert pacing.flush_s == FLUSH_S

    def test_a_large_fleet_asks_and_tells_soon_while_there_is_little_to_tell(self):
        """What gateways told was 0.5 s old with 195 of them, however little they had to tell."""
        pacing = play(Pacing(0.0), 195, 3.0, 170.0)
        assert pacing.ask_first
        assert pacing.flush_s == FLUSH_S

    def test_gateways_gather_what_the_planner_cannot_take(self):
        pacing = play(Pacing(0.0), 370, 80.0, 10_000.0)
        assert 0.7 * TARGET_MESSAGES_PER_S < pacing.messages < 1.3 * TARGET_MESSAGES_PER_S
        assert FLUSH_S < pacing.flush_s <= 370 * MAX_FLUSH_S_PER_GATEWAY

    def test_not_every_request_of_a_great_load_is_asked_for(self):
        assert not play(Pacing(0.0), 370, 80.0, 1.5 * STARTS_PER_S).ask_first

    def test_gateways_that_come_at_once_begin_with_care(self):
        pacing = Pacing(0.0)
        pacing.note_gateways(195)
        assert pacing.flush_s == 195 * MAX_FLUSH_S_PER_GATEWAY
