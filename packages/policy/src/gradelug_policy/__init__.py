"""Pure decisions: no input or output, time is passed in."""

from __future__ import annotations

import importlib
import typing as t

if t.TYPE_CHECKING:
    from .admission import Refusal as Refusal
    from .admission import judge as judge
    from .credits import CREDIT_TTL_S as CREDIT_TTL_S
    from .credits import offer_credits as offer_credits
    from .permits import StorePermits as StorePermits
    from .placement import EngineView as EngineView
    from .placement import Fleet as Fleet
    from .placement import PlacementSettings as PlacementSettings
    from .placement import choose_engine as choose_engine
    from .popularity import Popularity as Popularity
    from .queue import priority as priority
    from .retries import Circuit as Circuit
    from .retries import RetryBudget as RetryBudget
    from .retries import RetryWindow as RetryWindow
    from .slots import Demand as Demand
    from .slots import Resident as Resident
    from .slots import SlotSettings as SlotSettings
    from .slots import choose_demand as choose_demand
    from .slots import choose_victim as choose_victim
else:
    _HOMES = {
        "Refusal": "admission",
        "judge": "admission",
        "CREDIT_TTL_S": "credits",
        "offer_credits": "credits",
        "StorePermits": "permits",
        "EngineView": "placement",
        "Fleet": "placement",
        "PlacementSettings": "placement",
        "choose_engine": "placement",
        "Popularity": "popularity",
        "priority": "queue",
        "Circuit": "retries",
        "RetryBudget": "retries",
        "RetryWindow": "retries",
        "Demand": "slots",
        "Resident": "slots",
        "SlotSettings": "slots",
        "choose_demand": "slots",
        "choose_victim": "slots",
    }

    def __getattr__(name):
        """Import what is asked for alone: at a start each module costs time that callers wait."""
        if name not in _HOMES:
            raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f".{_HOMES[name]}", __name__), name)
