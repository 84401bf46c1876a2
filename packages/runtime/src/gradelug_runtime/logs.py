"""Logging by logbook, as text or as one JSON object a line."""

from __future__ import annotations

import json
import sys
import typing as t

import logbook

if t.TYPE_CHECKING:
    from .settings import LogSettings

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} {record.channel}: {record.message}"
)


def open_log(settings: LogSettings, process: str) -> logbook.Handler:
    """Send the log of this process to standard error and return the handler.

    Parameters
    ----------
    settings : LogSettings
        Level and format.
    process : str
        Name of the process, part of every JSON line.
    """
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, level=settings.level.upper(), bubble=False)
    if settings.format == "json":
        handler.formatter = JsonFormatter(process)
    else:
        handler.format_string = TEXT_FORMAT
    handler.push_application()
    return handler


class JsonFormatter:
    """Formats a record as one JSON object.

    Parameters
    ----------
    process : str
        Name of the process, part of every line.
    """

    __slots__ = ("_process",)

    def __init__(self, process: str) -> None:
        self._process = process

    def __call__(self, record: t.Any, handler: logbook.Handler) -> str:
        """Return the line, without its end."""
        data = {
            "time": record.time.isoformat(),
            "level": record.level_name.lower(),
            "process": self._process,
            "logger": record.channel,
            "message": record.message,
            **record.kwargs,
        }
        if record.exc_info:
            data["exception"] = record.formatted_exception
        return json.dumps(data, default=str)
