"""Engines divided into cells, and the cells of an adapter."""

from collections import Counter

from gradelug_policy.cells import Cells
from hypothesis import given, settings
from hypothesis import strategies as st

NAMES = st.sets(st.integers(0, 400).map("engine-{:03}".format), max_size=120)
KEYS = [f"adapter-{number}" for number in range(60)]


def made_of(names, most=4):
    cells = Cells(most)
    for name in names:
        cells.add(name)
    return cells


class TestCells:
    @settings(max_examples=60, deadline=None)
    @given(NAMES, NAMES)
    def test_cells_follow_from_the_engines_that_are_there(self, names, gone):
        cells = made_of(sorted(names | gone))
        for name in sorted(gone - names):
            cells.remove(name)
        other = made_of(sorted(names, reverse=True))
        assert cells.sizes == other.sizes
        assert {name: cells.cell(name) for name in names} == {
            name: other.cell(name) for name in names
        }
        assert [cells.rank(key) for key in KEYS] == [other.rank(key) for key in KEYS]

    @settings(max_examples=60, deadline=None)
    @given(NAMES)
    def test_every_engine_is_in_one_cell_and_none_has_too_many(self, names):
        cells = made_of(names)
        assert sum(cells.sizes.values()) == len(names) == len(cells)
        assert all(size <= 4 for size in cells.sizes.values())

    @settings(max_examples=60, deadline=None)
    @given(NAMES)
    def test_an_adapter_has_a_home_while_there_is_any_engine(self, names):
        cells = made_of(names)
        for key in KEYS:
            homes = list(cells.homes(key))
            assert set(homes) == names
            assert len(homes) == len(names)

    @settings(max_examples=100, deadline=None)
    @given(NAMES, st.integers(401, 800).map("engine-{:03}".format))
    def test_an_engine_that_comes_moves_adapters_of_its_own_cell_alone(self, names, comer):
        """Adapters in host memory elsewhere stay worth what they are worth."""
        cells = made_of(names)
        old = cells.cell(comer)
        before = {key: cells.rank(key)[:1] for key in KEYS}
        cells.add(comer)
        for key in KEYS:
            (home,) = cells.rank(key)[:1]
            # The cell that it came into may be several now.
            assert [home] == before[key] or [old] == before[key] or home.startswith(old)

    def test_engines_get_adapters_in_proportion(self):
        cells = made_of([f"engine-{number}" for number in range(600)], 32)
        adapters = [f"adapter-{number}" for number in range(20_000)]
        shares = Counter(cells.rank(adapter)[0] for adapter in adapters)
        per_engine = [shares[cell] / size for cell, size in cells.sizes.items()]
        mean = len(adapters) / 600
        assert 0.75 * mean < min(per_engine)
        assert max(per_engine) < 1.25 * mean

    def test_thousands_of_engines_are_many_cells(self):
        cells = made_of([f"engine-{number}" for number in range(3_000)], 32)
        assert 3_000 / 32 <= len(cells.sizes) < 3 * 3_000 / 32
