"""Work on engines that leave, return and restart while it is under way, in any order."""

import pytest
from gradelug_gateway.engine_index import EngineIndex
from gradelug_gateway.engine_registry import EngineRegistry
from gradelug_gateway.engines import Engine
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from record_machine import RecordMachine

EXAMPLES, STEPS = 60, 50
SEARCH = settings(
    derandomize=True,
    deadline=None,
    max_examples=1000,
    stateful_step_count=STEPS,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


class TestRecords:
    def test_index_matches_the_engines_whatever_is_late(self):
        """Guards against a planner that looks up engines which have left."""
        bounds = settings(
            derandomize=True, deadline=None, max_examples=EXAMPLES, stateful_step_count=STEPS
        )
        run_state_machine_as_test(RecordMachine, settings=bounds)


def _stay_indexed(self):
    """Leave the index as it is, and go on changing it."""
    self.index.drop(self)
    self.is_retired = True


def _ignore_departures(self):
    """Retire restarted engines alone, by a flag, as for a departure that sets none."""
    self.index.drop(self)


_replace = EngineRegistry.replace


def _replace_retired(self, engine, born):
    """Replace whatever record has the engine's name."""
    was_retired, engine.is_retired = engine.is_retired, False
    try:
        return _replace(self, engine, born)
    finally:
        engine.is_retired = engine.is_retired or was_retired


def _remove_by_name(self):
    """Remove the entries of whichever record has the name, and let this one do so later."""
    index = self.index
    index.drop(self)
    self.is_retired = True
    self.index = _RemovingIndex(index)


class _RemovingIndex(EngineIndex):
    """Passes removals on to the index of the planner."""

    def __init__(self, shared):
        super().__init__()
        self._shared = shared

    def note_removed(self, engine, key):
        super().note_removed(engine, key)
        self._shared.note_removed(engine, key)


MUTATIONS = {
    "stay-indexed": (Engine, "retire", _stay_indexed),
    "ignore-departures": (Engine, "retire", _ignore_departures),
    "replace-retired": (EngineRegistry, "replace", _replace_retired),
    "remove-by-name": (Engine, "retire", _remove_by_name),
}


class TestMachine:
    @pytest.mark.parametrize("name", MUTATIONS)
    def test_machine_finds_a_record_that_is_not_retired(self, name, monkeypatch):
        monkeypatch.setattr(*MUTATIONS[name])
        with pytest.raises((AssertionError, KeyError)):
            run_state_machine_as_test(RecordMachine, settings=SEARCH)
