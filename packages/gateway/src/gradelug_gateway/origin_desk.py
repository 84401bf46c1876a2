"""Collects the origins of streams from all gateways, and answers their questions.

All gateways report to the planner of the coordinating service, for streams of any service.
"""

from __future__ import annotations

from gradelug_policy.stream_origins import OriginLedger, SoftwareHistory, StreamOrigin
from gradelug_wire import placement_pb2 as pb

from .follower import Follower
from .origin_record import OriginRecord, split_marks

GATHER_S = 3.0
"""Time after which all gateways have connected to a new planner and reported their streams."""


class OriginCollector:
    """Answers which software version began a stream; implements `parts.PlannerExtension`.

    Parameters
    ----------
    record : OriginRecord
        Origins in the platform's store.
    history : SoftwareHistory
        Software versions that this instance has seen.
    instance : str
        Name of this instance, whose streams are forwarded to all gateways.
    now : float
        Current time, by the runtime's clock.
    """

    __slots__ = ("_began_at", "_forwarded", "_history", "_instance", "_ledger", "_record")

    def __init__(
        self, record: OriginRecord, history: SoftwareHistory, instance: str, now: float
    ) -> None:
        self._instance = instance
        self._forwarded: list[pb.BegunStreams] = []
        self._record = record
        self._history = history
        self._began_at = now
        self._ledger = OriginLedger()

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Add the streams of a gateway, and answer its questions."""
        for group in message.streams:
            if follower.instance == self._instance:
                self._forwarded.append(group)
            origin = StreamOrigin(group.service, group.software)
            self._history.note(group.service, group.software, now)
            for mark in split_marks(group.marks):
                if self._ledger.find(mark) == origin:
                    continue
                self._ledger.note(mark, origin, group.lifetime_s, now)
                if self._history.is_mixed(group.service, now):
                    self._record.add(mark, origin)
        for ask in message.origin_asks:
            follower.queue_origin_answer(self._answer(ask, now))

    def leave(self, follower: Follower, now: float) -> None:
        """Do nothing: callers resume the streams of a gateway that is gone."""

    def forget(self, replica: str) -> None:
        """Do nothing: streams go on at other replicas of the same software."""

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Add the streams of this instance, which are lost with the planner otherwise."""
        self._ledger.forget_expired(now)
        news.streams.extend(self._forwarded)
        self._forwarded.clear()

    def _answer(self, ask: pb.OriginAsk, now: float) -> pb.OriginAnswer:
        origin = self._ledger.find(ask.mark) or self._record.find(ask.mark)
        if origin is None and ask.service:
            for known in self._record.origins():
                self._history.note(known.service, known.software, now)
            software = self._history.sole_version(ask.service, now)
            origin = StreamOrigin(ask.service, software) if software is not None else None
        if origin is not None:
            return pb.OriginAnswer(
                ticket=ask.ticket, found=True, service=origin.service, software=origin.software
            )
        return pb.OriginAnswer(ticket=ask.ticket, is_final=now >= self._began_at + GATHER_S)
