"""How many connections an instance keeps to a replica that takes so many from all of them.

Load pattern: hundreds of instances, of which each sends a replica a request now and then, and keeps
the connection; the replica resets the next one that is opened when all that it takes are taken.
"""

from __future__ import annotations

IDLE_CONNECTION_FRACTION = 0.5
"""Part of the connections that may rest; the others are for requests, orders and reports."""


def idle_share(most: int, instances: int, draw: float) -> int:
    """Return how many idle connections one instance keeps to a replica.

    Parameters
    ----------
    most : int
        Connections that the replica takes from all instances together.
    instances : int
        How many there are.
    draw : float
        Of this instance and the replica, spread evenly from 0 to 1: where there is less than one
        connection for each instance, some keep one and the others none.
    """
    whole, fraction = divmod(IDLE_CONNECTION_FRACTION * most / max(1, instances), 1.0)
    return int(whole) + (draw < fraction)
