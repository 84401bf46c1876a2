"""What operators see of replicas that name a limit, from logs."""

from gradelug_cli.limits import find_limits
from gradelug_cli.main import Commands
from gradelug_cli.why import judge
from test_trace import line

DAY = "2026-12-03T10:00:"
LOGS = [
    line(f"{DAY}01", "i-1", "limit", replica="e-1", rate=1.4),
    line(
        f"{DAY}06",
        "i-1",
        "limit used",
        replica="e-1",
        rate=1.4,
        granted=7,
        refused=2,
        by={"i-2": 7},
    ),
    line(f"{DAY}07", "i-2", "no room", id="q1", replica="e-1", limit=1.4, retry_s=2.1),
    line(f"{DAY}07", "i-2", "refused", id="q1", why="its replicas take no more requests a second"),
    line(f"{DAY}08", "i-2", "limit over", replica="e-1", age_s=7.0),
    line(f"{DAY}09", "i-2", "limit", replica="e-2", rate=0.2),
    "{broken",
]


class TestLimits:
    def test_each_replica_has_its_limit_its_time_and_what_was_used_by_whom(self):
        first, second = find_limits(LOGS)
        assert (first.replica, first.rate, first.granted, first.refused) == ("e-1", 1.4, 7, 2)
        assert (first.since, first.until, first.turned_away) == (f"{DAY}01", f"{DAY}08", 1)
        assert first.by == {"i-2": 7}
        assert (second.rate, second.until) == (0.2, "")

    def test_the_command_prints_a_line_for_each(self, tmp_path, capsys):
        path = tmp_path / "log"
        path.write_text("\n".join(LOGS))
        Commands().limits(str(path))
        out = capsys.readouterr().out.splitlines()
        assert out[0].startswith("e-1: 1.4 a second")
        assert out[0].endswith("7 granted, 2 refused, 1 turned away; i-2 7")
        assert "to now" in out[1]

    def test_a_request_turned_away_names_the_limit(self):
        found = judge("q1", LOGS)
        assert found.end == "refused: its replicas take no more requests a second"
        assert found.value("limit") == "1.4"
        assert found.value("retry_s") == "2.1"
