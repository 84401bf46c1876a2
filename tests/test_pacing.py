"""Message intervals between a planner and its gateways."""

from gradelug_gateway.pacing import (
    MAX_ASKED_STARTS_PER_S,
    MAX_FLUSH_S_PER_GATEWAY,
    MIN_FLUSH_INTERVAL_S,
    TARGET_MESSAGES_PER_S,
    Pacing,
)


def simulate(pacing, gateways, changes_per_s, starts_per_s, seconds=20.0):
    """Simulate gateways with evenly spaced changes that batch them at the requested interval."""
    now, step_s = 0.0, 0.5
    pacing.set_gateway_count(gateways)
    while now < seconds:
        now += step_s
        for _ in range(round(step_s * gateways / (pacing.flush_s + 1 / changes_per_s))):
            pacing.count_message(0)
        pacing.count_message(round(starts_per_s * step_s))
        pacing.update_rates(now)
    return pacing


class TestPacing:
    def test_small_fleet_relies_on_updates(self):
        pacing = simulate(Pacing(0.0), 9, 8.0, 25.0)
        assert not pacing.ask_first
        assert pacing.flush_s == MIN_FLUSH_INTERVAL_S

    def test_large_fleet_asks_first_and_reports_at_minimum_interval_if_idle(self):
        """At 195 gateways reports were 0.5 s old, even if there was little to report."""
        pacing = simulate(Pacing(0.0), 195, 3.0, 170.0)
        assert pacing.ask_first
        assert pacing.flush_s == MIN_FLUSH_INTERVAL_S

    def test_report_interval_grows_above_target_message_rate(self):
        pacing = simulate(Pacing(0.0), 370, 80.0, 10_000.0)
        assert 0.7 * TARGET_MESSAGES_PER_S < pacing.messages < 1.3 * TARGET_MESSAGES_PER_S
        assert MIN_FLUSH_INTERVAL_S < pacing.flush_s <= 370 * MAX_FLUSH_S_PER_GATEWAY

    def test_gateways_stop_asking_first_at_high_request_rate(self):
        assert not simulate(Pacing(0.0), 370, 80.0, 1.5 * MAX_ASKED_STARTS_PER_S).ask_first

    def test_report_interval_starts_high_when_many_gateways_connect(self):
        pacing = Pacing(0.0)
        pacing.set_gateway_count(195)
        assert pacing.flush_s == 195 * MAX_FLUSH_S_PER_GATEWAY
