"""Errors of the command line, each with its exit code."""

from __future__ import annotations

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_RACED = 3
EXIT_DIFFERS = 4
EXIT_NOT_FOUND = 5
EXIT_DECLINED = 6


class CommandError(Exception):
    """A command that did not do what it was asked.

    Attributes
    ----------
    code : int
        The exit code.
    """

    def __init__(self, code: int, message: str) -> None:
        self.code = code
        super().__init__(message)
