"""Reports of leaving replicas between gateways and planners."""

from __future__ import annotations

import typing as t

from gradelug_wire import placement_pb2 as pb

from .feed import Feed
from .followers import Follower
from .limit_facts import is_responsible_for
from .limit_teller import ReportLink


class DepartureTeller:
    """Reports leaving replicas to a planner; implements `parts.GatewayPart`.

    Parameters
    ----------
    service : str
        Whose planner.
    feed : Feed
        Knows which replicas leave.
    link : callable
        Returns the link, None before there is one.
    """

    __slots__ = ("_feed", "_link", "_service", "_unreported")

    def __init__(self, service: str, feed: Feed, link: t.Callable[[], ReportLink | None]) -> None:
        self._service = service
        self._feed = feed
        self._link = link
        self._unreported: set[str] = set()
        feed.subscribe_leaving(self._report_leaving)

    def begin_stream(self) -> None:
        """Report all leaving replicas to another planner."""
        self._unreported.update(
            rep.name for rep in self._feed.state.replicas.values() if rep.leaving
        )

    def fill(self, message: pb.FromGateway) -> None:
        """Add the reports since the last message."""
        message.leaving.extend(_encode_reports(self._feed, self._service, self._unreported))
        self._unreported.clear()

    def take(self, message: pb.FromPlanner) -> None:
        """Apply reports of other gateways."""
        for told in message.leaving:
            self._feed.mark_leaving(told.replica, told.born, "planner")

    def _report_leaving(self, replica: str) -> None:
        if not is_responsible_for(self._service, replica, self._feed.state):
            return
        self._unreported.add(replica)
        link = self._link()
        if link is not None:
            link.hurry()


class DepartureDesk:
    """Forwards reports of leaving replicas to all gateways; implements `parts.PlannerPart`.

    Parameters
    ----------
    service : str
        The planner's.
    feed : Feed
        Knows which replicas leave.
    """

    __slots__ = ("_due", "_feed", "_joined", "_service")

    def __init__(self, service: str, feed: Feed) -> None:
        self._service = service
        self._feed = feed
        self._joined: set[int] = set()
        """Numbers of the gateways that joined before."""
        self._due: set[str] = set()

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Apply the reports of a gateway, and repeat all of them if it has just joined."""
        if follower.number not in self._joined:
            self._joined.add(follower.number)
            replicas = self._feed.state.replicas.values()
            self._due.update(rep.name for rep in replicas if rep.leaving)
        for told in message.leaving:
            if self._feed.mark_leaving(told.replica, told.born, "gateway"):
                self._due.add(told.replica)

    def leave(self, follower: Follower, now: float) -> None:
        """Forget a gateway."""
        self._joined.discard(follower.number)

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Add the reports that are due."""
        news.leaving.extend(_encode_reports(self._feed, self._service, self._due))
        self._due.clear()

    def forget(self, replica: str) -> None:
        """Nothing is kept of a replica here."""


def _encode_reports(feed: Feed, service: str, names: t.Iterable[str]) -> t.Iterator[pb.LeavingFact]:
    """Yield reports of those leaving replicas that a service's planner is notified of."""
    for name in names:
        rep = feed.state.replicas.get(name)
        if rep is not None and rep.leaving and is_responsible_for(service, name, feed.state):
            yield pb.LeavingFact(replica=name, born=rep.born)
