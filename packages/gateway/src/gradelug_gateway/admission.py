"""Admission of requests: authentication, and a check that the configuration is current.

Runs before any other work is done for a request.
"""

from __future__ import annotations

import logbook

from .authentication import authenticate
from .config_freshness import ConfigFreshness
from .exceptions import Refused, Unauthenticated
from .job import Admission
from .model import Request, Route, Snapshot
from .organisations import Principal

log = logbook.Logger("admitting")
OTHER_INSTANCE_RETRY_AFTER_S = 0.05
"""Retry-After of a refusal for a stale configuration: another instance may have a newer proof."""


class AdmissionControl:
    """Admits requests under the configuration that is in force when they arrive.

    Parameters
    ----------
    freshness : ConfigFreshness
        Proof of when the configuration was last known to be the newest.
    """

    __slots__ = ("_freshness",)

    def __init__(self, freshness: ConfigFreshness) -> None:
        self._freshness = freshness

    @property
    def config(self) -> int:
        """Version of the configuration in force."""
        return self._freshness.config

    @property
    def proof_age_s(self) -> float:
        """Age of the proof that the configuration is the newest, in seconds."""
        return self._freshness.age_s

    def admit(self, req: Request, route: Route, snapshot: Snapshot) -> Admission:
        """Authenticate a request and return its admission.

        Parameters
        ----------
        req : Request
            The request.
        route : Route
            The route that matches it; a public route needs no key.
        snapshot : Snapshot
            The configuration in force.

        Raises
        ------
        Unauthenticated
            If its key is missing or invalid.
        Refused
            If the configuration is not proven to be current, so that its key may be revoked.
        """
        organisations = snapshot.organisations
        if not organisations:
            return Admission(snapshot.version, None, forwards_credentials=True)
        if route.public:
            return Admission(snapshot.version, self._identify_sender(req, snapshot))
        if not self._freshness.is_proven():
            raise Refused(
                "the configuration is not proven to be current", OTHER_INSTANCE_RETRY_AFTER_S
            )
        return Admission(snapshot.version, authenticate(req.credentials, organisations))

    def _identify_sender(self, req: Request, snapshot: Snapshot) -> Principal | None:
        """Return the sender of a request on a public route, or None without a valid key."""
        if not req.credentials or not self._freshness.is_proven():
            return None
        try:
            return authenticate(req.credentials, snapshot.organisations)
        except Unauthenticated as exc:
            # Not an error: a public route needs no key.
            log.debug("no valid key on a public route", id=req.id, why=str(exc))
            return None
