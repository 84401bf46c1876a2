"""The log line of a request that waited for room beside others: how its owner stood."""

from __future__ import annotations

import logbook
from gradelug_policy.uses import Party
from gradelug_wire import placement_pb2 as pb

log = logbook.Logger("shares")


def tell_standing(request: str, party: Party, urgency: int, answer: pb.Answer) -> None:
    """Log by what a request had its turn or was refused; only while engines are full."""
    stands = answer.standing
    log.info(
        "share",
        id=request,
        owner=party.owner,
        kind=party.kind,
        urgency=urgency,
        outcome="placed" if answer.replica else "refused",
        part=round(stands.part, 3),
        fair=round(stands.fair, 3),
        yields=stands.yields,
        kind_over=stands.kind_over,
        waiting=stands.waiting,
        owners=stands.owners,
        held_s=stands.held_ms / 1000,
        age_s=stands.age_ms / 1000,
    )
