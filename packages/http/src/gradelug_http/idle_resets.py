"""What resets of kept connections tell about how long upstreams keep idle ones.

Load pattern: some upstreams of a service silently forget connections that are idle for a fraction
of a second, and reset whatever is sent over them later. An instance has one or two connections to
each of many upstreams, so it would be reset once by each of them. Upstreams of one service tend to
have the same settings: a reset therefore counts for the whole service, for a few seconds. A single
reset has other causes as well (an upstream that crashed or was restarted), which the limited time
accounts for.
"""

from __future__ import annotations

import math
import typing as t

import logbook

log = logbook.Logger("idle resets")
MIN_REST_S = 0.1
"""A connection that rested for less is reset for another reason, such as a crash."""
MAX_RESET_DELAY_S = 0.25
"""A reset comes back within a round trip; a later one ended a request that was in progress."""
REUSE_FRACTION = 0.25
"""Connections are used again after this fraction of the rest that led to a reset: the upstream had
forgotten the connection at some time during the rest."""
FIRST_LESSON_S = 4.0
"""How long the first reset counts."""
MAX_LESSON_S = 64.0
"""How long a reset counts at most, where resets recur as soon as earlier ones do not count."""
PROOF_S = 4.0
"""How long an answer over a kept connection shows that its upstream keeps such connections."""


class _Rest:
    """How long a connection had rested when it was used again, and when that was."""

    __slots__ = ("at", "rested_s")

    def __init__(self, rested_s: float, at: float) -> None:
        self.rested_s = rested_s
        self.at = at


class _Lesson:
    """The resets of a group of upstreams, by address, and how long they count."""

    __slots__ = ("lasts_s", "resets", "until")

    def __init__(self) -> None:
        self.lasts_s = FIRST_LESSON_S
        self.resets: dict[str, _Rest] = {}
        """Shortest rest after which each upstream reset a connection, and when it last did."""
        self.until = -math.inf

    def renew(self, now: float) -> None:
        """Let the resets count from now on, for longer if they recur as soon as they did not."""
        if now >= self.until:
            self.resets.clear()
            is_recurring = now < self.until + self.lasts_s
            self.lasts_s = min(MAX_LESSON_S, 2 * self.lasts_s) if is_recurring else FIRST_LESSON_S
        self.until = now + self.lasts_s

    def limit_s(self, address: str) -> float:
        """Return after which rest connections to an upstream are not used any more."""
        own = self.resets.get(address)
        rested_s = own.rested_s if own else min(one.rested_s for one in self.resets.values())
        return max(MIN_REST_S, REUSE_FRACTION * rested_s)


class IdleResets:
    """Decides how long a connection may have rested when it is used again.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_lessons", "_proofs", "group_of", "noted")

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._lessons: dict[str, _Lesson] = {}
        self._proofs: dict[str, _Rest] = {}
        """Longest rest after which each upstream answered lately."""
        self.group_of: t.Callable[[str], str] = lambda address: address
        """Returns the name of the group of upstreams to which an address belongs."""
        self.noted = 0
        """Resets of connections that had rested, since the start."""

    def max_rest_s(self, address: str) -> float:
        """Return the rest, in seconds, from which on a connection must not be used again."""
        lesson = self._active(address)
        if lesson is None:
            return math.inf
        limit_s = lesson.limit_s(address)
        proof = self._proofs.get(address)
        if proof is None or self._clock() - proof.at > PROOF_S:
            return limit_s
        return max(limit_s, proof.rested_s)

    def is_forgetful(self, address: str) -> bool:
        """Return whether upstreams of the group of an address reset kept connections lately."""
        return self._active(address) is not None

    def limits(self) -> dict[str, float]:
        """Return the shortest limits that are in force, in seconds, by group."""
        now = self._clock()
        return {
            group: min(map(lesson.limit_s, lesson.resets))
            for group, lesson in self._lessons.items()
            if now < lesson.until
        }

    def note_reset(self, address: str, rested_s: float, took_s: float) -> bool:
        """Learn from a reset of a kept connection before any byte of an answer.

        Parameters
        ----------
        address : str
            ``IP:port`` of the upstream.
        rested_s : float
            How long the connection had been idle, in seconds.
        took_s : float
            Time from sending until the reset, in seconds.

        Returns
        -------
        bool
            Whether the reset tells something about idle connections.
        """
        if rested_s < MIN_REST_S or took_s > MAX_RESET_DELAY_S:
            return False
        now, group = self._clock(), self.group_of(address)
        self.noted += 1
        proof = self._proofs.get(address)
        if proof is not None and proof.rested_s >= rested_s:
            del self._proofs[address]
        lesson = self._lessons.setdefault(group, _Lesson())
        lesson.renew(now)
        known = lesson.resets.get(address)
        if known is not None:
            rested_s = min(rested_s, known.rested_s)
        lesson.resets[address] = _Rest(rested_s, now)
        log.info(
            "idle connections are forgotten",
            group=group,
            address=address,
            rested_s=round(rested_s, 3),
            limit_s=round(lesson.limit_s(address), 3),
            lasts_s=lesson.lasts_s,
        )
        return True

    def note_answer(self, address: str, rested_s: float, sent_at: float) -> None:
        """Learn from an answer over a kept connection.

        Parameters
        ----------
        address : str
            ``IP:port`` of the upstream.
        rested_s : float
            How long the connection had been idle, in seconds.
        sent_at : float
            When the request was sent, by the runtime's clock.
        """
        proof = self._proofs.get(address)
        if proof is None or sent_at - proof.at > PROOF_S or rested_s >= proof.rested_s:
            self._proofs[address] = _Rest(rested_s, sent_at)
        lesson = self._active(address)
        if lesson is None:
            return
        known = lesson.resets.get(address)
        if known is None or rested_s <= known.rested_s or sent_at <= known.at:
            return
        del lesson.resets[address]
        if not lesson.resets:
            del self._lessons[self.group_of(address)]
        log.info("idle connections are kept", address=address, rested_s=round(rested_s, 3))

    def forget_removed(self, addresses: t.Container[str]) -> None:
        """Drop what is known of other addresses than these, and what counts no more."""
        for address in [one for one in self._proofs if one not in addresses]:
            del self._proofs[address]
        now = self._clock()
        for group, lesson in list(self._lessons.items()):
            for address in [one for one in lesson.resets if one not in addresses]:
                del lesson.resets[address]
            if not lesson.resets or now >= lesson.until + lesson.lasts_s:
                del self._lessons[group]

    def _active(self, address: str) -> _Lesson | None:
        lesson = self._lessons.get(self.group_of(address))
        return lesson if lesson is not None and self._clock() < lesson.until else None
