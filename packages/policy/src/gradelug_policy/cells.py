"""Partitions a large fleet into cells, to limit the engines that are examined for an adapter.

With 3,000 engines behind one planner and hundreds of loads per second, examining every engine for
each load takes the planner longer than the load itself.

Engines are divided into small cells by the hash of their names, and each adapter ranks the cells by
rendezvous hashing. A load target is searched in the first cells of the adapter, so that copies in
host memory are found where they were loaded earlier, and in the next ones if those have no
capacity.
"""

from __future__ import annotations

import math
import typing as t

import xxhash

MAX_CELL_ENGINES = 32
"""Greatest number of engines in a cell: the best of sixteen to thirty is nearly as good as the best
of all, and examining them takes a fraction of a millisecond."""
HASH_BITS = 64


class Cells:
    """Partition of engines into cells, and the ranking of the cells for an adapter.

    A cell holds the engines whose name hashes share a prefix; a cell that exceeds the limit is
    split. The cells therefore depend only on the current names, not on earlier additions and
    removals, and adding or removing an engine affects one cell.

    Parameters
    ----------
    max_engines : int
        Greatest number of engines in a cell.
    """

    __slots__ = ("_cells", "_max_engines", "_names")

    def __init__(self, max_engines: int = MAX_CELL_ENGINES) -> None:
        self._max_engines = max_engines
        self._cells: dict[str, dict[str, str]] = {"": {}}
        """By shared hash prefix, in bits: names of engines and their hashes."""
        self._names: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._names

    @property
    def sizes(self) -> dict[str, int]:
        """Number of engines in each cell that is not empty."""
        return {cell: len(engines) for cell, engines in self._cells.items() if engines}

    def add(self, name: str) -> None:
        """Add an engine."""
        if name in self._names:
            return
        bits = self._names[name] = _hash_bits(name)
        cell = self._find(bits)
        self._cells[cell][name] = bits
        while len(self._cells[cell]) > self._max_engines and len(cell) < HASH_BITS:
            self._split(cell)
            cell = self._find(bits)

    def remove(self, name: str) -> None:
        """Remove an engine."""
        bits = self._names.pop(name, None)
        if bits is None:
            return
        cell = self._find(bits)
        del self._cells[cell][name]
        while cell and self._join(cell[:-1]):
            cell = cell[:-1]

    def cell(self, name: str) -> str:
        """Return the cell of an engine, or the one that it would be added to."""
        return self._find(self._names.get(name) or _hash_bits(name))

    def rank(self, key: str) -> list[str]:
        """Return the cells in the order of an adapter, weighted by their numbers of engines."""
        scores = {
            cell: _score(cell, len(engines), key)
            for cell, engines in self._cells.items()
            if engines
        }
        return sorted(scores, key=lambda cell: -scores[cell])

    def ranked_engines(self, key: str) -> t.Iterator[str]:
        """Yield all engines, each once, in the order in which the adapter ranks their cells."""
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
        """Merge the two halves of a cell; return False if they are too large together."""
        lower, upper = self._cells.get(parent + "0"), self._cells.get(parent + "1")
        if lower is None or upper is None or len(lower) + len(upper) > self._max_engines:
            return False
        del self._cells[parent + "0"], self._cells[parent + "1"]
        self._cells[parent] = lower | upper
        return True


def _hash_bits(name: str) -> str:
    return f"{xxhash.xxh3_64_intdigest(name.encode()):0{HASH_BITS}b}"


def _score(cell: str, size: int, key: str) -> float:
    """Return the rendezvous score of a cell, weighted by its size, for an adapter."""
    uniform = (xxhash.xxh3_64_intdigest(f"{cell}\0{key}".encode()) + 0.5) / 2.0**HASH_BITS
    return -size / math.log(uniform) if uniform < 1 else math.inf
