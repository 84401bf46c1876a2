"""Encoding of replicas' limits between gateways and planners, and which planner is responsible.

The planner of a service grants capacity at its engines. The planner of the coordinating service
does so at replicas of services without engines as well.
"""

from __future__ import annotations

import math

from gradelug_policy.replica_limits import LimitFact
from gradelug_wire import placement_pb2 as pb

from .model import FleetState

MAX_AGE_MS = 3_600_000
MS = 1000.0


def is_responsible_for(service: str, replica: str, state: FleetState) -> bool:
    """Return whether the planner of a service grants capacity at a replica."""
    rep = state.replicas.get(replica)
    return rep is not None and planner_for(rep.service, state) == service


def planner_for(service: str, state: FleetState) -> str:
    """Return the service whose planner grants capacity at a service's replicas; empty for none."""
    return service if state.has_engines(service) else state.coordinating_service


def encode_limit(replica: str, born: int, fact: LimitFact, now: float) -> pb.LimitFact:
    """Encode a limit; its times become ages at `now`."""
    return pb.LimitFact(
        replica=replica,
        born=born,
        named=fact.rate is not None,
        rate=fact.rate or 0.0,
        burst=fact.burst if math.isfinite(fact.burst) else 0.0,
        sent_age_ms=_age_ms(now, fact.sent_at),
        heard_age_ms=_age_ms(now, fact.received_at),
    )


def decode_limit(message: pb.LimitFact, now: float) -> LimitFact:
    """Decode a limit received at `now`, with its times by the local clock."""
    rate = message.rate if message.named else None
    return LimitFact(
        rate,
        now - message.sent_age_ms / MS,
        now - message.heard_age_ms / MS,
        message.burst or math.inf,
    )


def _age_ms(now: float, at: float) -> int:
    return min(MAX_AGE_MS, max(0, round((now - at) * MS)))
