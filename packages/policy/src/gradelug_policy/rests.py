"""Rest that replicas ask for when they turn a request away."""

from __future__ import annotations

import typing as t


class RestWord(t.NamedTuple):
    """What an answer says of the rest that its replica wants.

    Parameters
    ----------
    rest_s : float
        For how long nothing is to be sent there, in seconds; 0 if it asks for no rest.
    unreadable : str
        What stands in its place and is no number; empty if it can be read.
    """

    rest_s: float = 0.0
    unreadable: str = ""
