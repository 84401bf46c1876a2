"""Route lookup by host and path, and weighted choice among a route's services.

The request pipeline uses both when it admits a request.
"""

from __future__ import annotations

import random
import typing as t

from .model import Route


class RouteTable:
    """Routes indexed by host; the longest matching path prefix wins.

    Parameters
    ----------
    routes : iterable of Route
        All routes of a configuration.
    """

    __slots__ = ("_by_host",)

    def __init__(self, routes: t.Iterable[Route]) -> None:
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route that matches a host and path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(route: Route, rng: random.Random) -> str:
    """Return a service drawn at random by the weights of the route's shares.

    If no weight is greater than 0, all shares have the same weight; without any share the result
    is an empty name, which no service has.
    """
    if not route.shares:
        return ""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    if not any(weights):
        return rng.choice(route.shares).service
    return rng.choices(route.shares, weights)[0].service
