"""Errors of the planners on an instance: logged with their traceback, and counted by scope."""

from __future__ import annotations

import typing as t
from enum import Enum

import logbook

log = logbook.Logger("planner")


class ErrorScope(Enum):
    """What an error ends; the value is the message that is logged."""

    TERM = "planner failed"
    """The planner: it is replaced by a new one, here or on another instance."""
    ENGINE = "background task of the planner failed"
    """Work on one engine, whose state is queried again."""
    GATEWAY = "gateway stream failed"
    """The stream of one gateway, which connects again."""


class PlanningErrors:
    """Logs and counts the errors of planners.

    Parameters
    ----------
    count : callable
        Counts an error by the name of its scope.
    """

    __slots__ = ("_count",)

    def __init__(self, count: t.Callable[[str], None] = lambda scope: None) -> None:
        self._count = count

    def record(self, scope: ErrorScope, exc: BaseException, **fields: str) -> None:
        """Log an error and count it.

        Parameters
        ----------
        scope : ErrorScope
            What the error ends.
        exc : BaseException
            The error.
        fields : str
            Further fields of the log line, such as the service.
        """
        self._count(scope.name.lower())
        log.error(
            scope.value, why=repr(exc), exc_info=(type(exc), exc, exc.__traceback__), **fields
        )
