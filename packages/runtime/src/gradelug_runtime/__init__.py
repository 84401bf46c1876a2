"""Settings, logs, metrics and the event loop shared by the daemons."""

from __future__ import annotations

import importlib
import typing as t

if t.TYPE_CHECKING:
    from .garbage import settle_garbage as settle_garbage
    from .metrics import Metrics as Metrics
    from .process import Tasks as Tasks
    from .process import load_or_exit as load_or_exit
    from .process import run_daemon as run_daemon
    from .process import wait_for_end as wait_for_end
    from .process import wait_for_stop as wait_for_stop
    from .settings import Checks as Checks
    from .settings import LogSettings as LogSettings
    from .settings import PlatformSettings as PlatformSettings
    from .settings import ProcessSettings as ProcessSettings
    from .settings import StatsdSettings as StatsdSettings
    from .settings import load_settings as load_settings
else:
    _HOMES = {
        "settle_garbage": "garbage",
        "Metrics": "metrics",
        "Tasks": "process",
        "load_or_exit": "process",
        "run_daemon": "process",
        "wait_for_end": "process",
        "wait_for_stop": "process",
        "Checks": "settings",
        "LogSettings": "settings",
        "PlatformSettings": "settings",
        "ProcessSettings": "settings",
        "StatsdSettings": "settings",
        "load_settings": "settings",
    }

    def __getattr__(name):
        """Import what is asked for alone: at a start each module costs time that callers wait."""
        if name not in _HOMES:
            raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f".{_HOMES[name]}", __name__), name)
