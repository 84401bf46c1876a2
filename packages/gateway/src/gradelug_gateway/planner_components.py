"""What an instance gives to a planner that it starts: components and earlier observations."""

from __future__ import annotations

from gradelug_policy.prefill import PrefillSpeeds

from .departures import DepartureForwarder
from .origin_desk import OriginCollector
from .poison_desk import PoisonAggregator
from .store_updates import StorePublisher


class PriorState:
    """What is known of a service before its planner starts.

    Parameters
    ----------
    speeds : PrefillSpeeds or None
        Prefill speeds by service; None to start with default speeds.
    gateways : int
        Number of gateways that the previous planner had, 0 if unknown.
    """

    __slots__ = ("gateways", "speeds")

    def __init__(self, speeds: PrefillSpeeds | None = None, gateways: int = 0) -> None:
        self.speeds = speeds or PrefillSpeeds()
        self.gateways = gateways


class PlannerComponents:
    """Components of the instance that exchange further messages with the gateways of a planner.

    Parameters
    ----------
    store : StorePublisher or None
        Publishes this instance's view of the platform's store to gateways.
    poison : PoisonAggregator or None
        Detects requests that crash replicas, if given.
    departures : DepartureForwarder or None
        Distributes which replicas have announced that they are leaving, if given.
    origins : OriginCollector or None
        Answers which software version began a stream, if given.
    """

    __slots__ = ("departures", "origins", "poison", "store")

    def __init__(
        self,
        store: StorePublisher | None = None,
        poison: PoisonAggregator | None = None,
        departures: DepartureForwarder | None = None,
        origins: OriginCollector | None = None,
    ) -> None:
        self.store = store
        self.poison = poison
        self.departures = departures
        self.origins = origins
