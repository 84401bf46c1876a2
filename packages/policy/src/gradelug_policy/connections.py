"""Limits the idle connections of an instance to a replica that accepts a limited total of them.

Load pattern: hundreds of instances each send a replica an occasional request and keep the
connection open; once the replica has reached its maximum number of connections it resets each new
one.
"""

from __future__ import annotations

IDLE_CONNECTION_FRACTION = 0.5
"""Fraction of the connections that may be idle; the rest serves requests, orders and reports."""


def max_idle_connections(most: int, instances: int, draw: float) -> int:
    """Return the number of idle connections that one instance keeps to a replica.

    Parameters
    ----------
    most : int
        Maximum number of connections that the replica accepts from all instances together.
    instances : int
        Number of instances.
    draw : float
        Random value of this pair of instance and replica, uniform from 0 to 1. With less than
        one connection per instance, some instances keep one and the others none.
    """
    whole, fraction = divmod(IDLE_CONNECTION_FRACTION * most / max(1, instances), 1.0)
    return int(whole) + (draw < fraction)
