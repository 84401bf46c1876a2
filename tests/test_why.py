"""By what two requests were judged, from logs."""

import pytest
from gradelug_cli.exceptions import CommandError
from gradelug_cli.main import Commands
from gradelug_cli.why import differences, judge
from test_trace import line

DAY = "2026-12-03T10:00:"
STOOD = {"kind": "ask", "urgency": 1, "waiting": 40, "owners": 3, "age_s": 0.1}
LOGS = [
    line(
        f"{DAY}01",
        "i-1",
        "share",
        id="q1",
        owner="flood",
        outcome="refused",
        part=0.61,
        fair=0.4,
        yields=True,
        held_s=0.01,
        **STOOD,
    ),
    line(f"{DAY}01.1", "i-1", "refused", id="q1", why="others wait", weights="m/a", sends=0),
    line(
        f"{DAY}01",
        "i-2",
        "share",
        id="q2",
        owner="small",
        outcome="placed",
        part=0.02,
        fair=0.4,
        yields=False,
        held_s=0.05,
        **STOOD,
    ),
    line(f"{DAY}01.1", "i-2", "placed", id="q2", replica="e-1", waited_s=0.06, cost=0.3),
    line(f"{DAY}03", "i-2", "answered", id="q2", status=200),
    line(f"{DAY}03", "i-2", "answered", id="q3", status=200),
    "{broken",
]


class TestWhy:
    def test_it_tells_how_a_request_ended_and_by_what(self):
        found = judge("q1", LOGS)
        assert found.end == "refused: others wait"
        assert found.value("part") == "0.61"
        assert found.value("yields") == "True"
        assert found.value("replica") == "-"

    def test_it_tells_which_software_began_a_stream_and_which_resumed_it(self):
        logs = [
            line(f"{DAY}01", "i-1", "placed", id="q1", replica="e-1", software="v1", after_event=0),
            line(f"{DAY}02", "i-2", "resuming stream", id="q2", resumes="q1", after_event=7),
            line(f"{DAY}02", "i-2", "placed", id="q2", replica="e-2", software="v2", after_event=7),
        ]
        found = judge("q2", logs)
        assert (found.value("resumes"), found.value("after_event")) == ("q1", "7")
        assert found.value("software") == "v2"
        assert judge(found.value("resumes"), logs).value("software") == "v1"

    def test_it_tells_that_replicas_rested_and_for_how_long(self):
        logs = [
            line(f"{DAY}01", "i", "not sent", id="q", replica="e", why="it rests", rest_s=2.5),
            line(f"{DAY}02", "i", "refused", id="q", why="its replicas rest", retry_s=1.5),
        ]
        found = judge("q", logs)
        assert found.end == "refused: its replicas rest"
        assert found.value("rest_s") == "2.5"
        assert found.value("retry_s") == "1.5"

    def test_two_are_set_side_by_side_by_what_differs(self):
        rows = differences(judge("q1", LOGS), judge("q2", LOGS))
        assert "whose: flood against small" in rows
        assert "its owner used, of all: 0.61 against 0.02" in rows
        assert "where: - against e-1" in rows
        assert not any(row.startswith("waited for room then") for row in rows)

    def test_the_command_prints_both_and_their_differences(self, tmp_path, capsys):
        path = tmp_path / "log"
        path.write_text("\n".join(LOGS))
        Commands().why("q1", str(path), beside="q2")
        out = capsys.readouterr().out
        assert "q1: refused: others wait" in out
        assert "q2: answered" in out
        assert "they differ in" in out
        assert "  went after others: True against False" in out

    def test_a_request_that_no_line_tells_of_is_not_found(self, tmp_path, capsys):
        path = tmp_path / "log"
        path.write_text("\n".join(LOGS))
        with pytest.raises(CommandError, match="q9"):
            Commands().why("q1", str(path), beside="q9")
        assert "q1: refused" in capsys.readouterr().out

    def test_it_tells_under_which_weights_a_run_went_on(self):
        logs = [
            line(f"{DAY}01", "i", "placed", id="q", replica="e", asked=2),
            line(f"{DAY}02", "i", "run went on", id="q", replica="f", memory="2/?", told=3),
        ]
        found = judge("q", logs)
        assert [found.value(name) for name in ("asked", "memory", "told")] == ["2", "2/?", "3"]
