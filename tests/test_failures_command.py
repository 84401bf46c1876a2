"""The command that finds errors of processes, planners and tasks in logs."""

import pytest
from gradelug_cli.exceptions import CommandError
from gradelug_cli.failures import Failure, find_failures
from gradelug_cli.main import Commands
from soak_parts import Gateway
from test_trace import line

DAY = "2026-12-03T10:00:"
HEALTHY = [
    line(f"{DAY}00", "i-1", "started", hall="east"),
    line(f"{DAY}01", "i-1", "failed", id="q1", why="out of time"),
    line(f"{DAY}02", "i-1", "entry does not describe a usable replica", why="Traceback"),
    "listening",
    "",
]
FAILED = [
    line(f"{DAY}03", "i-1", "task mirror failed: KeyError('e0')"),
    line(f"{DAY}03", "i-1", "Traceback (most recent call last):\n  x\nKeyError: 'e0'\n"),
    line(f"{DAY}04", "i-2", "planner failed", why="KeyError('e1')", exception="Traceback"),
    line(f"{DAY}05", "i-2", "planner failed", why="KeyError('e1')", exception="Traceback"),
    "Task exception was never retrieved",
    "Traceback (most recent call last):",
]


class TestFailures:
    def test_logs_of_healthy_processes_have_none(self):
        assert not find_failures(HEALTHY)

    def test_each_kind_is_counted_by_process(self):
        assert find_failures([*HEALTHY, *FAILED]) == {
            Failure("i-1", "task mirror failed: KeyError('e0')"): 1,
            Failure("i-1", "KeyError: 'e0'"): 1,
            Failure("i-2", "planner failed: KeyError('e1')"): 2,
            Failure("", "Task exception was never retrieved"): 1,
            Failure("", "Traceback (most recent call last):"): 1,
        }

    def test_command_fails_if_there_are_any(self, tmp_path, capsys):
        healthy, failed = tmp_path / "healthy", tmp_path / "failed"
        healthy.write_text("\n".join(HEALTHY))
        failed.write_text("\n".join(FAILED))
        Commands().failures(str(healthy))
        with pytest.raises(CommandError, match="6 lines"):
            Commands().failures(str(healthy), str(failed))
        assert "2  i-2  planner failed: KeyError('e1')" in capsys.readouterr().out


class TestSoakGateway:
    def test_exit_that_nobody_asked_for_is_a_fault(self, tmp_path):
        """Guards against a soak that passes although a gateway ended by itself."""
        gateway = Gateway(1, tmp_path, 1, (2, 3, 4), True)
        gateway.log.write_text("\n".join([*HEALTHY, FAILED[0]]))
        gateway.exits = [0, -9, 1]
        assert gateway.faults() == [
            "g1.log: ended by itself with status 1",
            "g1.log: task mirror failed: KeyError('e0'), 1 times",
        ]
