"""Lost and late requests counted by cause from logs."""

import pytest
from gradelug_cli.exceptions import CommandError
from gradelug_cli.lost import Loss, find_losses
from gradelug_cli.main import Commands
from test_trace import line

DAY = "2026-12-03T10:00:"
LOGS = [
    line(f"{DAY}00.5", "i-1", "started", hall="east"),
    line(f"{DAY}01", "i-1", "placed", id="q1", route="draft"),
    line(f"{DAY}02", "i-1", "late first event", id="q1", first_s=1.2, placed_s=0.1),
    line(f"{DAY}03", "i-1", "answered", id="q1", status=200),
    line(f"{DAY}03.5", "i-1", "placed", id="q2", route="draft"),
    line(f"{DAY}04", "i-1", "late first event", id="q2", first_s=1.2, placed_s=1.0),
    line(f"{DAY}05", "i-1", "failed", id="q2", why="out of time"),
    line(f"{DAY}06", "i-2", "refused", id="q3", why="no replica is usable"),
    line(f"{DAY}07", "i-2", "limited", id="q4", why="the quota of x is used up"),
    line(f"{DAY}08", "i-2", "caller left", id="q5", sends=0),
    "{broken",
]


class TestLosses:
    def test_each_has_its_cause_its_kind_where_and_when(self):
        found = find_losses(LOGS)
        assert found.losses == (
            Loss("late, it waited at the engine", "draft", "east", 1),
            Loss("late, it waited for its weights", "draft", "east", 3),
            Loss("failed: out of time", "draft", "east", 4),
            Loss("refused: no replica is usable", "", "i-2", 5),
            Loss("limited", "", "i-2", 6),
            Loss("caller left before it was sent", "", "i-2", 7),
        )
        assert (found.answered, found.unreadable) == (1, 1)

    def test_the_most_frequent_cause_comes_first(self):
        again = [line(f"{DAY}09", "i-1", "failed", id="q6", why="out of time")]
        cause, counts = find_losses(LOGS + again).table("second")[0]
        assert cause == "failed: out of time"
        assert counts == {"4": 1, "8": 1}

    def test_the_command_prints_a_line_for_each_cause(self, tmp_path, capsys):
        path = tmp_path / "log"
        path.write_text("\n".join(LOGS))
        Commands().lost(str(path), by="hall")
        out = capsys.readouterr().out
        assert "1 answered whole" in out
        assert "1  failed: out of time:  east 1" in out

    def test_nonsense_is_refused(self, tmp_path):
        with pytest.raises(CommandError):
            Commands().lost(str(tmp_path / "log"), by="colour")
        with pytest.raises(CommandError):
            Commands().lost(str(tmp_path / "missing"))
