import pytest
from gradelug_gateway.streams import EventAssembler
from gradelug_http import ResponseBroken
from hypothesis import given, settings
from hypothesis import strategies as st


def event(number):
    return b"id: %d\ndata: x%d\n\n" % (number, number)


class TestEventAssembler:
    @settings(derandomize=True)
    @given(st.lists(st.integers(1, 40), max_size=20))
    def test_complete_events_are_returned_once_and_in_order_for_any_chunking(self, chunk_sizes):
        raw = b"".join(event(number) for number in range(1, 11))
        assembler, out, start = EventAssembler(0), b"", 0
        for size in [*chunk_sizes, len(raw)]:
            part = assembler.feed(raw[start : start + size])
            assert not part or part.endswith(b"\n\n")
            out += part
            start += size
        assert out == raw
        assert assembler.last_event == 10
        assert assembler.is_between_events

    def test_events_already_delivered_are_skipped_after_a_restart(self):
        assembler = EventAssembler(0)
        out = assembler.feed(event(1) + event(2) + b"id: 3\nda")
        assembler.restart()
        out += assembler.feed(event(2) + event(3))
        assert out == event(1) + event(2) + event(3)

    def test_missing_event_raises(self):
        assembler = EventAssembler(4)
        with pytest.raises(ResponseBroken):
            assembler.feed(event(6))

    def test_incomplete_event_is_not_the_end_of_a_stream(self):
        assembler = EventAssembler(0)
        assembler.feed(event(1) + b"id: 2\n")
        assert not assembler.is_between_events
