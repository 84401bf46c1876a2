"""Logs invalid values in the responses of replicas, once for each replica."""

from __future__ import annotations

import typing as t

import logbook

MAX_LOGGED_CHARS = 40
"""Maximum length of an invalid value in the log, in characters."""


class InvalidValueLog:
    """Logs the first invalid value of each replica or incarnation.

    Parameters
    ----------
    log : logbook.Logger
        Logger of the module that reads the values.
    message : str
        Message of the log entries.
    max_replicas : int or None
        Number of replicas after which nothing more is logged; None for no limit.
    """

    __slots__ = ("_log", "_logged", "_max_replicas", "_message")

    def __init__(self, log: logbook.Logger, message: str, max_replicas: int | None = None) -> None:
        self._log = log
        self._message = message
        self._max_replicas = max_replicas
        self._logged: set[tuple[str, int]] = set()

    def note(self, replica: str, value: str, born: int = 0) -> None:
        """Log an invalid value, unless one of the same replica has been logged.

        Parameters
        ----------
        replica : str
            Name of the replica.
        value : str
            The value, as reported.
        born : int
            Identifies its incarnation, to log one value of each; 0 to log one of all.
        """
        if (replica, born) in self._logged or len(self._logged) == self._max_replicas:
            return
        self._logged.add((replica, born))
        self._log.warning(self._message, replica=replica, value=value[:MAX_LOGGED_CHARS])

    def forget_removed(self, known: t.Container[str]) -> None:
        """Drop the state of replicas that are not in `known`."""
        self._logged = {(name, born) for name, born in self._logged if name in known}
