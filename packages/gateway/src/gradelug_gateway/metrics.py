"""Counters and latency histograms of the daemon, as text for whoever asks."""

from __future__ import annotations

import typing as t

from gradelug_policy.contention import URGENCIES
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

RATIO_BUCKETS = (0.25, 0.5, 0.7, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0)
BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0)


class Meters:
    """What the daemon counts."""

    __slots__ = (
        "_broken_responses",
        "_engine_tokens",
        "_engine_waits",
        "_first_event_error",
        "_first_event_latency",
        "_granted",
        "_latency",
        "_abandoned_runs",
        "_limited",
        "_outcomes",
        "_run_pauses",
        "_plain_waits",
        "_first_event_ratio",
        "_registry",
        "_resumed_runs",
    )

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._outcomes = Counter(
            "gradelug_requests",
            "Requests by route and end",
            ["route", "end"],
            registry=self._registry,
        )
        self._limited = Counter(
            "gradelug_limited",
            "Requests beyond the quota of their organisation",
            ["organisation", "urgency", "standing"],
            registry=self._registry,
        )
        self._granted = Counter(
            "gradelug_granted_tokens",
            "Tokens granted from the quota of an organisation",
            ["organisation", "urgency"],
            registry=self._registry,
        )
        self._engine_tokens = Counter(
            "gradelug_engine_tokens",
            "Tokens read, and made by their weight, of requests sent to engines",
            ["organisation"],
            registry=self._registry,
        )
        self._engine_waits = Histogram(
            "gradelug_engine_wait_seconds",
            "From arrival until an engine was found, each time that a request is sent",
            ["organisation"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._broken_responses = Counter(
            "gradelug_broken_sendings",
            "Sendings whose answer broke off, by how far the request had got at its replica",
            ["stage"],
            registry=self._registry,
        )
        self._plain_waits = Counter(
            "gradelug_plain_waits",
            "Requests that waited for room at a service without engines",
            registry=self._registry,
        )
        self._latency = Histogram(
            "gradelug_request_seconds",
            "From arrival to the last byte",
            ["kind"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._first_event_latency = Histogram(
            "gradelug_first_event_seconds",
            "From arrival to a stream's first event",
            buckets=BUCKETS_S,
            registry=self._registry,
        )

        self._first_event_error = Histogram(
            "gradelug_first_event_error_seconds",
            "From a stream's first event to when it was expected, either way",
            buckets=BUCKETS_S,
            registry=self._registry,
        )

        self._run_pauses = Histogram(
            "gradelug_run_pause_seconds",
            "Runs that went on elsewhere or after a break: from their last event to the next",
            ["how"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._abandoned_runs = Counter(
            "gradelug_left_runs",
            "Runs that engines may have had after their request went on elsewhere, by their end",
            ["end"],
            registry=self._registry,
        )
        self._resumed_runs = Counter(
            "gradelug_runs_went_on",
            "Runs that went on from their memory, by whether the engine has its base model",
            ["weights"],
            registry=self._registry,
        )
        self._first_event_ratio = Histogram(
            "gradelug_first_event_ratio",
            "Time to a stream's first event to the time that was expected",
            ["route"],
            buckets=RATIO_BUCKETS,
            registry=self._registry,
        )

    def gauge(self, name: str, help_text: str, read: t.Callable[[], float]) -> None:
        """Add a figure that is read whenever somebody asks."""
        Gauge(f"gradelug_{name}", help_text, registry=self._registry).set_function(read)

    def outcome(self, route: str, end: str) -> None:
        """Count a request's end."""
        self._outcomes.labels(route, end).inc()

    def limited(self, organisation: str, rank: int, standing: str) -> None:
        """Count a request beyond its organisation's quota.

        Labels are bounded: organisations by the configuration, urgencies by `URGENCIES`.
        """
        self._limited.labels(organisation, min(rank, URGENCIES - 1), standing).inc()

    def granted(self, organisation: str, rank: int, tokens: int) -> None:
        """Count tokens that an organisation's quota granted."""
        self._granted.labels(organisation, min(rank, URGENCIES - 1)).inc(tokens)

    def engine_use(self, organisation: str, tokens: int, waited_s: float) -> None:
        """Count what a request sent to an engine uses, and how long it waited for one."""
        self._engine_tokens.labels(organisation).inc(tokens)
        self._engine_waits.labels(organisation).observe(waited_s)

    def broken(self, stage: str) -> None:
        """Count a sending whose answer broke off."""
        self._broken_responses.labels(stage).inc()

    def waited_plain(self) -> None:
        """Count a request that waits for room at a service without engines."""
        self._plain_waits.inc()

    def latency(self, streaming: bool, seconds: float) -> None:
        """Take a served request's time."""
        self._latency.labels("stream" if streaming else "whole").observe(seconds)

    def first_event(self, seconds: float) -> None:
        """Take the time of a stream's first event."""
        self._first_event_latency.observe(seconds)

    def went_on(self, how: str, pause_s: float, weights: str) -> None:
        """Take the pause of a run that went on, and whether that was under the same weights."""
        self._run_pauses.labels(how).observe(pause_s)
        self._resumed_runs.labels(weights).inc()

    def left_run(self, end: str) -> None:
        """Count the end of a run that may have gone on where it was left."""
        self._abandoned_runs.labels(end).inc()

    def estimate(self, route: str, actual_s: float, expected_s: float) -> None:
        """Take when a first event came and when it was expected, in seconds from its sending."""
        self._first_event_error.observe(abs(actual_s - expected_s))
        if expected_s > 0:
            self._first_event_ratio.labels(route).observe(actual_s / expected_s)

    def text(self) -> bytes:
        """Return all figures in the text format of Prometheus."""
        return generate_latest(self._registry)
