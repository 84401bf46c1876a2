"""Findings: what is wrong with a document, collected with its place and reported together."""

from __future__ import annotations

import difflib
import typing as t
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Finding:
    """One thing that is wrong, and where.

    Parameters
    ----------
    place : str
        File and path inside it, such as ``adapters.toml: adapter[3].version``.
    message : str
        What is wrong, for the person who wrote it.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


def suggest(word: str, known: t.Iterable[str]) -> str:
    """Return ``; did you mean 'x'?`` for the nearest known word, or an empty string."""
    near = difflib.get_close_matches(word, list(known), n=1)
    return f"; did you mean {near[0]!r}?" if near else ""
