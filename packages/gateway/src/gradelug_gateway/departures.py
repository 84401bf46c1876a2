"""Exchange of reports of leaving replicas between gateways and planners."""

from __future__ import annotations

import typing as t

from gradelug_wire import placement_pb2 as pb

from .feed import Feed
from .follower import Follower
from .limit_facts import is_responsible_for
from .limit_teller import ReportLink


class DepartureReporter:
    """Reports leaving replicas to a planner; implements `parts.GatewayExtension`.

    Parameters
    ----------
    service : str
        The service of the planner.
    feed : Feed
        Holds the replicas and which of them are leaving.
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
        """Schedule a report of all leaving replicas, because a new planner has none."""
        self._unreported.update(
            rep.name for rep in self._feed.state.replicas.values() if rep.leaving
        )

    def fill(self, message: pb.FromGateway) -> None:
        """Add the reports since the last message."""
        message.leaving.extend(_encode_reports(self._feed, self._service, self._unreported))
        self._unreported.clear()

    def take(self, message: pb.FromPlanner) -> None:
        """Apply reports of other gateways."""
        for report in message.leaving:
            self._feed.mark_leaving(report.replica, report.born, "planner")

    def _report_leaving(self, replica: str) -> None:
        if not is_responsible_for(self._service, replica, self._feed.state):
            return
        self._unreported.add(replica)
        link = self._link()
        if link is not None:
            link.flush_soon()


class DepartureForwarder:
    """Forwards reports of leaving replicas to all gateways; implements `parts.PlannerExtension`.

    Parameters
    ----------
    service : str
        The planner's service.
    feed : Feed
        Holds the replicas and which of them are leaving.
    """

    __slots__ = ("_due", "_feed", "_joined", "_service")

    def __init__(self, service: str, feed: Feed) -> None:
        self._service = service
        self._feed = feed
        self._joined: set[int] = set()
        """Numbers of the gateways for which all reports have been scheduled."""
        self._due: set[str] = set()

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Apply the reports of a gateway, and repeat all of them if it has just joined."""
        if follower.number not in self._joined:
            self._joined.add(follower.number)
            replicas = self._feed.state.replicas.values()
            self._due.update(rep.name for rep in replicas if rep.leaving)
        for report in message.leaving:
            if self._feed.mark_leaving(report.replica, report.born, "gateway"):
                self._due.add(report.replica)

    def leave(self, follower: Follower, now: float) -> None:
        """Remove a gateway that has disconnected."""
        self._joined.discard(follower.number)

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Add the reports that are due."""
        news.leaving.extend(_encode_reports(self._feed, self._service, self._due))
        self._due.clear()

    def forget(self, replica: str) -> None:
        """Do nothing: the state of replicas is kept by the feed."""


def _encode_reports(feed: Feed, service: str, names: t.Iterable[str]) -> t.Iterator[pb.LeavingFact]:
    """Yield reports of the leaving replicas that a service's planner is responsible for."""
    for name in names:
        rep = feed.state.replicas.get(name)
        if rep is not None and rep.leaving and is_responsible_for(service, name, feed.state):
            yield pb.LeavingFact(replica=name, born=rep.born)
