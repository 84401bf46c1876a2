"""Log line that explains by which fair share a waiting request was placed or refused."""

from __future__ import annotations

import logbook
from gradelug_policy.uses import Party
from gradelug_wire import placement_pb2 as pb

log = logbook.Logger("shares")


def log_share_decision(request: str, party: Party, urgency: int, answer: pb.Answer) -> None:
    """Log the share that decided over a request; called only while engines are full.

    Parameters
    ----------
    request : str
        Identifier of the request.
    party : Party
        Owner and kind of the request.
    urgency : int
        Urgency of the request, 0 for the highest.
    answer : pb.Answer
        Answer of the planner, with the owner's share and the waiting requests.
    """
    share = answer.standing
    log.info(
        "share",
        id=request,
        owner=party.owner,
        kind=party.kind,
        urgency=urgency,
        outcome="placed" if answer.replica else "refused",
        part=round(share.part, 3),
        fair=round(share.fair, 3),
        yields=share.yields,
        kind_over=share.kind_over,
        waiting=share.waiting,
        owners=share.owners,
        held_s=share.held_ms / 1000,
        age_s=share.age_ms / 1000,
    )
