"""Tests of the partition of engines into cells and of the ranking of cells for an adapter."""

from collections import Counter

from gradelug_policy.cells import Cells
from hypothesis import given, settings
from hypothesis import strategies as st

NAMES = st.sets(st.integers(0, 400).map("engine-{:03}".format), max_size=120)
KEYS = [f"adapter-{number}" for number in range(60)]


def cells_of(names, max_engines=4):
    cells = Cells(max_engines)
    for name in names:
        cells.add(name)
    return cells


class TestCells:
    @settings(max_examples=60, deadline=None)
    @given(NAMES, NAMES)
    def test_cells_depend_only_on_the_current_engines(self, names, removed):
        cells = cells_of(sorted(names | removed))
        for name in sorted(removed - names):
            cells.remove(name)
        other = cells_of(sorted(names, reverse=True))
        assert cells.sizes == other.sizes
        assert {name: cells.cell(name) for name in names} == {
            name: other.cell(name) for name in names
        }
        assert [cells.rank(key) for key in KEYS] == [other.rank(key) for key in KEYS]

    @settings(max_examples=60, deadline=None)
    @given(NAMES)
    def test_every_engine_is_in_one_cell_and_no_cell_exceeds_the_limit(self, names):
        cells = cells_of(names)
        assert sum(cells.sizes.values()) == len(names) == len(cells)
        assert all(size <= 4 for size in cells.sizes.values())

    @settings(max_examples=60, deadline=None)
    @given(NAMES)
    def test_every_adapter_ranks_all_engines(self, names):
        cells = cells_of(names)
        for key in KEYS:
            ranked = list(cells.ranked_engines(key))
            assert set(ranked) == names
            assert len(ranked) == len(names)

    @settings(max_examples=100, deadline=None)
    @given(NAMES, st.integers(401, 800).map("engine-{:03}".format))
    def test_an_added_engine_moves_only_adapters_of_its_own_cell(self, names, added):
        """Adapters cached in the host memory of engines in other cells remain useful."""
        cells = cells_of(names)
        old = cells.cell(added)
        before = {key: cells.rank(key)[:1] for key in KEYS}
        cells.add(added)
        for key in KEYS:
            (first,) = cells.rank(key)[:1]
            # The cell that the engine was added to may have been split.
            assert [first] == before[key] or [old] == before[key] or first.startswith(old)

    def test_adapters_are_spread_evenly_over_engines(self):
        cells = cells_of([f"engine-{number}" for number in range(600)], 32)
        adapters = [f"adapter-{number}" for number in range(20_000)]
        shares = Counter(cells.rank(adapter)[0] for adapter in adapters)
        per_engine = [shares[cell] / size for cell, size in cells.sizes.items()]
        mean = len(adapters) / 600
        assert 0.75 * mean < min(per_engine)
        assert max(per_engine) < 1.25 * mean

    def test_thousands_of_engines_form_many_cells(self):
        cells = cells_of([f"engine-{number}" for number in range(3_000)], 32)
        assert 3_000 / 32 <= len(cells.sizes) < 3 * 3_000 / 32
