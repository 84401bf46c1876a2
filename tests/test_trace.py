import json

import pytest
from gradelug_cli.exceptions import EXIT_NOT_FOUND, CommandError
from gradelug_cli.main import Commands
from gradelug_cli.trace import trace


def line(time, process, message, **fields):
    return json.dumps(
        {"time": time, "level": "info", "process": process, "message": message} | fields
    )


LOGS = [
    line("10:00:02", "i-2", "answered", id="q1", status=200),
    "  3.1 i-1 " + line("10:00:01", "i-1", "placed", id="q1", weights="m/a1"),
    line("10:00:01.5", "i-3", "order", weights="m/a1", outcome="taken"),
    line("10:00:01.6", "i-3", "order", weights="m/a2", outcome="taken"),
    line("10:00:09", "i-3", "order", weights="m/a1", outcome="taken"),
    line("10:00:01", "i-1", "placed", id="q2", weights="m/a1"),
    "{broken",
    "no line of ours",
    '{"time": 1}',
]


class TestTrace:
    def test_a_requests_lines_come_in_order_with_the_orders_for_its_weights(self):
        story = trace("q1", LOGS)
        assert [(told.process, told.message) for told in story.lines] == [
            ("i-1", "placed"),
            ("i-3", "order"),
            ("i-2", "answered"),
        ]
        assert story.unreadable == 3

    def test_all_tries_of_a_request_are_found_by_its_fingerprint(self):
        logs = [
            line("10:00:01", "i-1", "placed", id="q1", fingerprint="ab12"),
            line("10:00:02", "i-2", "placed", id="q2", fingerprint="ab12"),
            line("10:00:02", "i-2", "placed", id="q3", fingerprint="cd34"),
            line("10:00:03", "i-3", "blocked", fingerprint="ab12", ends=3),
        ]
        story = trace("ab12", logs)
        assert [told.message for told in story.lines] == ["placed", "placed", "blocked"]

    def test_the_command_prints_it_and_says_when_there_is_nothing(self, tmp_path, capsys):
        path = tmp_path / "log"
        path.write_text("\n".join(LOGS))
        Commands().trace("q1", str(path))
        out = capsys.readouterr()
        assert "weights=m/a1" in out.out
        assert "3 lines could not be read" in out.err
        with pytest.raises(CommandError) as caught:
            Commands().trace("q9", str(path))
        assert caught.value.code == EXIT_NOT_FOUND
