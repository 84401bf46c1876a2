"""Which engines are looked at for an adapter, where there are too many to look at all of them.

The load answered: 3,000 engines behind one planner, hundreds of loads a second; to look at each
engine for each load takes the planner longer than the load itself.

Engines are divided into cells of a few by the hash of their names, and an adapter ranks the cells
by rendezvous hashing. Room is looked for in its first cells, so that copies in host memory are
found where they were loaded before, and in the next ones while those have none.
"""

from __future__ import annotations

import math
import typing as t

import xxhash

MAX_CELL_ENGINES = 32
"""Engines of a cell at most: among some sixteen to thirty the best is nearly as good as the best of
all, and to look at them takes a part of a millisecond."""
HASH_BITS = 64


class Cells:
    """Engines divided into cells, and which cells an adapter belongs to.

    A cell holds the engines whose names' hashes begin alike; one with more than a bound is two. So
    the cells follow from the names alone, whatever came and went before, and an engine that comes
    or goes changes one cell.

    Parameters
    ----------
    most : int
        Engines of a cell at most.
    """

    __slots__ = ("_cells", "_max_engines", "_names")

    def __init__(self, most: int = MAX_CELL_ENGINES) -> None:
        self._max_engines = most
        self._cells: dict[str, dict[str, str]] = {"": {}}
        """Engines and their hashes, by the bits with which the hashes begin."""
        self._names: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._names

    @property
    def sizes(self) -> dict[str, int]:
        """How many engines are in each cell that has any."""
        return {cell: len(engines) for cell, engines in self._cells.items() if engines}

    def add(self, name: str) -> None:
        """Take an engine in."""
        if name in self._names:
            return
        bits = self._names[name] = _hash_bits(name)
        cell = self._find(bits)
        self._cells[cell][name] = bits
        while len(self._cells[cell]) > self._max_engines and len(cell) < HASH_BITS:
            self._split(cell)
            cell = self._find(bits)

    def remove(self, name: str) -> None:
        """Drop an engine."""
        bits = self._names.pop(name, None)
        if bits is None:
            return
        cell = self._find(bits)
        del self._cells[cell][name]
        while cell and self._join(cell[:-1]):
            cell = cell[:-1]

    def cell(self, name: str) -> str:
        """Return the cell that an engine is in, or would be in as the cells are now."""
        return self._find(self._names.get(name) or _hash_bits(name))

    def rank(self, key: str) -> list[str]:
        """Return the cells of an adapter, the first one first; those of more engines get more."""
        scores = {
            cell: _score(cell, len(engines), key)
            for cell, engines in self._cells.items()
            if engines
        }
        return sorted(scores, key=lambda cell: -scores[cell])

    def homes(self, key: str) -> t.Iterator[str]:
        """Yield all engines, each once, those of the adapter's first cell first."""
        for cell in self.rank(key):
            yield from self._cells[cell]

    def _find(self, bits: str) -> str:
        for length in range(HASH_BITS + 1):
            if bits[:length] in self._cells:
                return bits[:length]
        raise KeyError(bits)

    def _split(self, cell: str) -> None:
        engines = self._cells.pop(cell)
        for bit in "01":
            self._cells[cell + bit] = {
                name: bits for name, bits in engines.items() if bits[len(cell)] == bit
            }

    def _join(self, parent: str) -> bool:
        """Make two cells one if they have become small enough; False if they are not."""
        first, second = self._cells.get(parent + "0"), self._cells.get(parent + "1")
        if first is None or second is None or len(first) + len(second) > self._max_engines:
            return False
        del self._cells[parent + "0"], self._cells[parent + "1"]
        self._cells[parent] = first | second
        return True


def _hash_bits(name: str) -> str:
    return f"{xxhash.xxh3_64_intdigest(name.encode()):0{HASH_BITS}b}"


def _score(cell: str, size: int, key: str) -> float:
    """Return how much an adapter prefers a cell: the greatest score wins in proportion to sizes."""
    drawn = (xxhash.xxh3_64_intdigest(f"{cell}\0{key}".encode()) + 0.5) / 2.0**HASH_BITS
    return -size / math.log(drawn) if drawn < 1 else math.inf
