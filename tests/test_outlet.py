import json
import os

import logbook
from gradelug_runtime.outlet import BURST_LINES, HELD_BYTES, Outlet
from world import new_loop


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    out = b""
    while True:
        try:
            part = os.read(descriptor, 65_536)
        except BlockingIOError:
            return out
        if not part:
            return out
        out += part


class TestOutlet:
    def outlet(self):
        self.now = 0.0
        self.reader, writer = os.pipe()
        return Outlet("i-1", writer, lambda: self.now)

    def test_a_line_tells_what_was_decided_as_one_json_object(self):
        outlet = self.outlet()
        with outlet.applicationbound():
            logbook.Logger("x").info("refused", id="q1", waited_s=0.2)
        line = json.loads(read_all(self.reader))
        assert (line["message"], line["id"], line["process"]) == ("refused", "q1", "i-1")

    def test_lines_beyond_the_budget_are_counted_and_told(self):
        outlet = self.outlet()
        with outlet.applicationbound():
            log = logbook.Logger("x")
            for _ in range(int(BURST_LINES) + 50):
                log.info("line")
            raw = read_all(self.reader)
            self.now = 10.0
            log.info("line")
        lines = [json.loads(line) for line in (raw + read_all(self.reader)).splitlines()]
        assert len(lines) == BURST_LINES + 1
        assert lines[-1]["lines_left_out"] == 50

    def test_a_reader_that_stopped_reading_holds_nothing_up(self):
        async def scenario():
            outlet = self.outlet()
            with outlet.applicationbound():
                log = logbook.Logger("x")
                for _ in range(400):
                    self.now += 1.0
                    log.info("line", text="y" * 2000)
            assert outlet.left_out > 0
            assert outlet._held_bytes <= HELD_BYTES + 4000

        loop = new_loop()
        loop.run_until_complete(scenario())
        loop.close()
