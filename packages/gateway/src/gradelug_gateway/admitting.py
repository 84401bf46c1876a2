"""Whether a request may come in, and for whom, before anything is done for it."""

from __future__ import annotations

import logbook

from .authentication import authenticate
from .exceptions import Refused, Unauthenticated
from .freshness import Freshness
from .job import Admission
from .model import Request, Route, Snapshot
from .organisations import Principal

log = logbook.Logger("admitting")
OTHER_INSTANCE_RETRY_AFTER_S = 0.05
"""Another instance may have a proof that is newer."""


class Admitter:
    """Judges requests by the configuration in force when they arrive.

    Parameters
    ----------
    freshness : Freshness
        How lately that configuration was the newest.
    """

    __slots__ = ("_freshness",)

    def __init__(self, freshness: Freshness) -> None:
        self._freshness = freshness

    @property
    def config(self) -> int:
        """Version of the configuration in force."""
        return self._freshness.config

    @property
    def proof_age_s(self) -> float:
        """How old the proof is that it is the newest, in seconds."""
        return self._freshness.age_s

    def admit(self, req: Request, route: Route, snapshot: Snapshot) -> Admission:
        """Return for whom a request is let in.

        Raises
        ------
        Unauthenticated
            If its key is not good.
        Refused
            If it cannot be told here whether its key is still good.
        """
        organisations = snapshot.organisations
        if not organisations:
            return Admission(snapshot.version, None, shows_credentials=True)
        if route.public:
            return Admission(snapshot.version, self._identify_sender(req, snapshot))
        if not self._freshness.is_proven():
            raise Refused(
                "the configuration is not known to be the newest", OTHER_INSTANCE_RETRY_AFTER_S
            )
        return Admission(snapshot.version, authenticate(req.credentials, organisations))

    def _identify_sender(self, req: Request, snapshot: Snapshot) -> Principal | None:
        """Return who sent a request that needs no key, if it carries one that is known."""
        if not req.credentials or not self._freshness.is_proven():
            return None
        try:
            return authenticate(req.credentials, snapshot.organisations)
        except Unauthenticated as exc:
            # Not a fault: the route asks for no key.
            log.debug("no sender is told on a public route", id=req.id, why=str(exc))
            return None
