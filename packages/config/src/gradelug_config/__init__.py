"""Labels, selectors and the operators' checked configuration."""

from __future__ import annotations

import importlib
import typing as t

if t.TYPE_CHECKING:
    from .catalog import AdapterKey as AdapterKey
    from .catalog import Catalog as Catalog
    from .catalog import Forbidden as Forbidden
    from .catalog import Plan as Plan
    from .catalog import UnknownModel as UnknownModel
    from .exceptions import ConfigError as ConfigError
    from .exceptions import InvalidConfig as InvalidConfig
    from .exceptions import SelectorError as SelectorError
    from .findings import Finding as Finding
    from .loading import load as load
    from .model import Document as Document
    from .selector import Selector as Selector
else:
    _HOMES = {
        "AdapterKey": "catalog",
        "Catalog": "catalog",
        "Forbidden": "catalog",
        "Plan": "catalog",
        "UnknownModel": "catalog",
        "ConfigError": "exceptions",
        "InvalidConfig": "exceptions",
        "SelectorError": "exceptions",
        "Finding": "findings",
        "load": "loading",
        "Document": "model",
        "Selector": "selector",
    }

    def __getattr__(name):
        """Import what is asked for alone: at a start each module costs time that callers wait."""
        if name not in _HOMES:
            raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f".{_HOMES[name]}", __name__), name)
