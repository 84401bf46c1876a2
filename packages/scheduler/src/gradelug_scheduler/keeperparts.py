"""What a keeper of an engine works with."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass, field

from gradelug_backends import EngineControl
from gradelug_policy import SlotSettings
from gradelug_runtime import Metrics

from .settings import Limits


class Store(t.Protocol):
    """Permits to use the weight store, whose limit is shared by all schedulers."""

    async def acquire(self, engine: str, key: str, urgency: float) -> t.Any:
        """Return a permit once there is one."""
        ...

    async def end(self, permit: t.Any) -> None:
        """Give a permit back."""
        ...


@dataclass(slots=True, frozen=True)
class KeeperParts:
    """What a keeper works with.

    Parameters
    ----------
    control : EngineControl
        Orders to the engine.
    store : Store
        Permits for loads.
    clock : callable
        The runtime's clock.
    carries : callable
        Whether the configuration lets this pool carry an adapter version.
    path_of : callable
        An adapter version's path in the weight store.
    """

    control: EngineControl
    store: Store
    clock: t.Callable[[], float]
    carries: t.Callable[[str], bool]
    path_of: t.Callable[[str], str]
    metrics: Metrics
    slots: SlotSettings = field(default_factory=SlotSettings)
    limits: Limits = field(default_factory=Limits)
