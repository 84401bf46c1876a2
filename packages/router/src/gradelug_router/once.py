"""Requests that may run at most once: their keys reserved before they are sent."""

from __future__ import annotations

import typing as t
import uuid
from dataclasses import dataclass

from gradelug_coordination.once import digest, shard_of
from gradelug_wire import Peers, PeerUnavailable
from gradelug_wire import control_pb2 as pb

from .exceptions import ApiError, Outcome
from .view import View

RESERVE_LIMIT_S = 3.0
HOMES_TRIED = 2
AVOID_SILENT_S = 10.0
"""A scheduler that did not answer is asked after the others for so long. Facts of one that is
frozen live on for 30 s, and each request that asks it first waits for all of the limit above."""
MAX_KEY_LENGTH = 255


@dataclass(slots=True, frozen=True)
class Reservation:
    """A key reserved for one request.

    Parameters
    ----------
    key, attempt : str
        Digest of the key, and this request's identifier.
    home : str
        Address of the scheduler that keeps it.
    """

    key: str
    attempt: str
    home: str


class OnceKeeper:
    """Reserves keys with the schedulers.

    Parameters
    ----------
    view : View
        Who the schedulers are.
    peers : Peers
        Connections to them.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_peers", "_silent_until", "_view")

    def __init__(self, view: View, peers: Peers, clock: t.Callable[[], float]) -> None:
        self._view = view
        self._peers = peers
        self._clock = clock
        self._silent_until: dict[str, float] = {}

    async def reserve(self, caller: str, key: str, request: bytes) -> Reservation:
        """Reserve a caller's key.

        Raises
        ------
        ApiError
            If the key was used before, or if that cannot be found out; the request must not
            be sent then.
        """
        if len(key) > MAX_KEY_LENGTH:
            raise ApiError(400, "bad_key", f"Idempotency-Key exceeds {MAX_KEY_LENGTH} characters")
        key_digest = digest(f"{caller}\0{key}")
        message = pb.Reserve(
            stamp=self._view.stamp(),
            key=key_digest,
            body=digest(request.decode("latin-1")),
            attempt=uuid.uuid4().hex,
        )
        for home in self._homes(key_digest):
            stub = self._peers.stub(home)
            try:
                reply = await self._peers.call(stub.ReserveKey, message, RESERVE_LIMIT_S)
            except PeerUnavailable:
                # The same attempt may ask another: it is found to be its own reservation.
                self._silent_until[home] = self._clock() + AVOID_SILENT_S
                continue
            if reply.verdict == pb.ONCE_UNAVAILABLE:
                break
            _raise_unless_fresh(reply.verdict)
            return Reservation(key_digest, message.attempt, home)
        raise ApiError(
            503,
            "once_unavailable",
            "it cannot be made certain now that the request runs at most once; it was not sent",
            retry_after_s=2.0,
        )

    def _homes(self, key_digest: str) -> list[str]:
        """Return the schedulers to ask for a key, those that were silent lately last."""
        now = self._clock()
        self._silent_until = {home: at for home, at in self._silent_until.items() if at > now}
        homes = self._view.once_homes(shard_of(key_digest))
        return sorted(homes, key=lambda home: home in self._silent_until)[:HOMES_TRIED]

    async def settle(self, reservation: Reservation, outcome: Outcome) -> None:
        """Note what became of a request; without the note its key stays reserved."""
        if outcome is Outcome.UNKNOWN:
            return
        message = pb.Settle(
            stamp=self._view.stamp(),
            key=reservation.key,
            attempt=reservation.attempt,
            outcome=pb.OUTCOME_RAN if outcome is Outcome.RAN else pb.OUTCOME_NOT_RUN,
        )
        try:
            await self._peers.call(self._peers.stub(reservation.home).SettleKey, message)
        except PeerUnavailable:
            return


def _raise_unless_fresh(verdict: pb.OnceVerdict) -> None:
    if verdict == pb.ONCE_RUNNING:
        message = "a request with this key was accepted before; whether it has run is not known"
        raise ApiError(409, "key_in_use", message, Outcome.UNKNOWN)
    if verdict == pb.ONCE_RAN:
        message = "the request with this key has run; it was not run again"
        raise ApiError(409, "key_used", message, Outcome.RAN)
    if verdict == pb.ONCE_MISMATCH:
        message = "this key was used for another request"
        raise ApiError(422, "key_mismatch", message)
