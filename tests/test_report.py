import json

from gradelug_config.model import Objective
from gradelug_objectives import Joined, Limits, Served, Window
from gradelug_report.burn import make_report
from gradelug_report.gathering import Gathered
from gradelug_report.rendering import to_page, to_text

LIMITS = Limits(first_token_s=0.34, between_tokens_s=0.071, stall_s=1.0)
NOW = 6_000_000.0


def tell(*served, now=NOW):
    window = Window(LIMITS)
    for item in served:
        window.note(item, now)
    return json.loads(json.dumps(window.to_plain()))


def gathered(*told):
    joined = Joined()
    for plain in told:
        joined.add(plain)
    return Gathered(NOW, {"r1": NOW - 600}, {"r2": "TimeoutError"}, {"o": joined})


GOOD = Served("a@1", True, 0.1, 0.05)
SLOW = Served("b@1", True, 0.9, 0.05, stall_s=2.0)
LOST = Served("c@1", False)


class TestBurn:
    def test_windows_of_several_routers_are_joined(self):
        report = make_report(
            [Objective("o", 0.9)], gathered(tell(GOOD, SLOW), tell(GOOD, LOST, LOST))
        )
        (burn,) = report.objectives
        assert burn.requests == 5
        assert burn.indicators["availability"].burn["5m"] == 2 / 5 / (1 - 0.9)
        assert burn.indicators["first_token"].burn["1h"] == 1 / 5 / (1 - 0.9)
        assert burn.indicators["load_stall"].left == 1 - 1 / 5 / (1 - 0.9)
        assert burn.worst == {"c@1": 2, "b@1": 1}

    def test_two_windows_burning_together_raise_the_alarm(self):
        report = make_report([Objective("o", 0.999)], gathered(tell(GOOD, LOST)))
        indicators = report.objectives[0].indicators
        assert indicators["availability"].alarm == "fast"
        assert indicators["first_token"].alarm == ""

    def test_an_objective_without_requests_claims_nothing(self):
        report = make_report([Objective("other", 0.9)], gathered(tell(GOOD)))
        assert report.objectives[0].indicators["availability"].burn["6h"] is None

    def test_old_minutes_leave_the_short_windows(self):
        report = make_report([Objective("o", 0.9)], gathered(tell(LOST, now=NOW - 1800)))
        burn = report.objectives[0].indicators["availability"].burn
        assert burn["5m"] is None
        assert burn["1h"] is not None


class TestRendering:
    def test_who_did_not_answer_and_what_is_covered_are_said(self):
        source = gathered(tell(GOOD, SLOW))
        report = make_report([Objective("o", 0.9)], source)
        text = to_text(report)
        assert "r2: TimeoutError" in text
        assert "00 h 10 min" in text
        page = to_page(report, source)
        assert "data:image/png;base64," in page
        assert "http" not in page
