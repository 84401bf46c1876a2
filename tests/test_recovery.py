"""The time line of instances that started together, from logs."""

import math

import pytest
from gradelug_cli.exceptions import CommandError
from gradelug_cli.main import Commands
from gradelug_cli.recovery import find_recoveries
from test_trace import line

DAY = "2026-12-03T10:00:"
LOGS = [
    line(f"{DAY}00", "i-1", "started", hall="east", read_s=0.4),
    line(f"{DAY}00.5", "i-2", "started", hall="west", read_s=0.6),
    line(f"{DAY}00.7", "i-1", "configuration in force", version=1),
    line(f"{DAY}01", "i-2", "configuration in force", version=1),
    line(f"{DAY}01.5", "i-2", "configuration in force", version=2),
    line(f"{DAY}01.2", "i-1", "engine in step", replica="r-1"),
    line(f"{DAY}01.8", "i-1", "engine in step", replica="r-2"),
    line(f"{DAY}02", "i-2", "refused", id="q1", why="no configuration is known yet"),
    line(f"{DAY}03", "i-2", "answered", id="q2", status=200),
    line(f"{DAY}20", "i-2", "started", hall="west"),
    line(f"{DAY}21", "i-2", "answered", id="q3", status=200),
    line(f"{DAY}55", "i-2", "failed", id="q4", why="out of time"),
    "{broken",
]


class TestRecovery:
    def test_instances_that_started_together_are_told_of_together(self):
        both, alone = find_recoveries(LOGS)
        assert [start.process for start in both.starts] == ["i-1", "i-2"]
        assert (both.at, alone.at) == (0.0, 20.0)
        assert both.read_s == pytest.approx(0.5)
        assert math.isnan(alone.read_s)

    def test_each_step_tells_when_the_first_half_most_and_the_last_reached_it(self):
        steps = {step.name: step for step in find_recoveries(LOGS)[0].steps()}
        read = steps["configuration read"]
        assert (read.count, read.first_s, read.middle_s, read.last_s) == (2, 0.7, 0.85, 1.0)
        assert read.own_s == pytest.approx(0.6)
        assert (steps["engine's report read"].count, steps["all reports read"].count) == (1, 2)
        assert steps["all reports read"].last_s == pytest.approx(1.8)
        assert steps["first request answered"].count == 1

    def test_a_restart_ends_an_earlier_start_and_later_work_is_none(self):
        alone = find_recoveries(LOGS)[1]
        assert alone.starts[0].steps == {"answered": 1.0}
        assert not alone.causes()

    def test_refusals_are_told_with_their_causes(self):
        assert find_recoveries(LOGS)[0].causes() == {"no configuration is known yet": 1}

    def test_logs_without_a_start_tell_of_none(self):
        assert find_recoveries(["", "{broken"]) == []
        assert find_recoveries([line(f"{DAY}01", "i-1", "answered", id="q1")]) == []

    def test_the_command_prints_a_table_of_each_that_is_large_enough(self, tmp_path, capsys):
        path = tmp_path / "log"
        path.write_text("\n".join(LOGS))
        Commands().recovery(str(path))
        out = capsys.readouterr().out
        assert "2 instances up from 0.00 s, 0.50 s behind an open door" in out
        assert "1 instances" not in out
        assert "no configuration is known yet" in out
        Commands().recovery(str(path), least=1)
        assert "1 instances up from 20.00 s" in capsys.readouterr().out

    def test_a_file_that_is_not_there_is_refused(self, tmp_path):
        with pytest.raises(CommandError):
            Commands().recovery(str(tmp_path / "missing"))
