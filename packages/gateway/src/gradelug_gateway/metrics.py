"""Prometheus counters and histograms of the daemon, exported on its status address."""

from __future__ import annotations

import typing as t

from gradelug_policy.contention import URGENCY_LEVELS
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

RATIO_BUCKETS = (0.25, 0.5, 0.7, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0)
BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0)


class _LabelledGauge(Collector):
    """A gauge with one label whose values are read at each scrape."""

    def __init__(
        self, name: str, help_text: str, label: str, read: t.Callable[[], t.Mapping[str, float]]
    ) -> None:
        self._name = name
        self._help_text = help_text
        self._label = label
        self._read = read

    def collect(self) -> t.Iterator[GaugeMetricFamily]:
        family = GaugeMetricFamily(self._name, self._help_text, labels=[self._label])
        for value, number in self._read().items():
            family.add_metric([value], number)
        yield family


class GatewayMetrics:
    """Metrics of a daemon in a registry of its own."""

    __slots__ = (
        "_abandoned_attempts",
        "_answer_ends",
        "_broken_responses",
        "_connection_ends",
        "_early_failures",
        "_rejections",
        "_skipped_responses",
        "_engine_tokens",
        "_engine_waits",
        "_first_event_error",
        "_first_event_latency",
        "_granted",
        "_latency",
        "_abandoned_runs",
        "_limited",
        "_needless_abandonments",
        "_outcomes",
        "_run_pauses",
        "_plain_waits",
        "_planning_errors",
        "_first_event_ratio",
        "_registry",
        "_resumed_runs",
        "_stream_origins",
    )

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._outcomes = Counter(
            "gradelug_requests",
            "Requests by route and outcome",
            ["route", "end"],
            registry=self._registry,
        )
        self._limited = Counter(
            "gradelug_limited",
            "Requests over the quota of their organisation",
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
            "Prompt tokens, and weighted generated tokens, of requests sent to engines",
            ["organisation"],
            registry=self._registry,
        )
        self._engine_waits = Histogram(
            "gradelug_engine_wait_seconds",
            "Time from arrival until an engine was selected, for each attempt",
            ["organisation"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._broken_responses = Counter(
            "gradelug_broken_sendings",
            "Attempts whose response broke off, by the stage of the request at its replica",
            ["stage"],
            registry=self._registry,
        )
        self._connection_ends = Counter(
            "gradelug_connection_ends",
            "Connections of callers that ended, by cause and by the state of their request",
            ["cause", "request"],
            registry=self._registry,
        )
        self._rejections = Counter(
            "gradelug_replica_rejections",
            "Responses other than success, by what they say about the request and by its proof",
            ["verdict", "proof"],
            registry=self._registry,
        )
        self._skipped_responses = Counter(
            "gradelug_skipped_responses",
            "Responses to other requests that were skipped on connections to replicas",
            registry=self._registry,
        )
        self._abandoned_attempts = Counter(
            "gradelug_abandoned_attempts",
            "Attempts that ended because their replica was silent, by how much of the service was",
            ["scope"],
            registry=self._registry,
        )
        self._needless_abandonments = Counter(
            "gradelug_needless_abandonments",
            "Attempts that ended because their replica was silent, and whose replica went on later",
            registry=self._registry,
        )
        self._early_failures = Counter(
            "gradelug_early_failures",
            "Requests that failed long before their deadlines, by whether their answer had begun"
            " and whether an attempt had been abandoned",
            ["started", "abandoned"],
            registry=self._registry,
        )
        self._plain_waits = Counter(
            "gradelug_plain_waits",
            "Requests that waited for capacity of a service without engines",
            registry=self._registry,
        )
        self._planning_errors = Counter(
            "gradelug_planning_errors",
            "Errors of planners on this instance, by what they ended",
            ["scope"],
            registry=self._registry,
        )
        self._latency = Histogram(
            "gradelug_request_seconds",
            "Time from arrival to the last byte of the response",
            ["kind"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._first_event_latency = Histogram(
            "gradelug_first_event_seconds",
            "Time from arrival to the first event of a stream",
            buckets=BUCKETS_S,
            registry=self._registry,
        )

        self._first_event_error = Histogram(
            "gradelug_first_event_error_seconds",
            "Absolute difference between actual and expected time of a first event",
            buckets=BUCKETS_S,
            registry=self._registry,
        )

        self._run_pauses = Histogram(
            "gradelug_run_pause_seconds",
            "Pause of resumed runs, from the last event before it to the next event",
            ["how"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._abandoned_runs = Counter(
            "gradelug_left_runs",
            "Abandoned runs that an engine may still have had, by how they ended",
            ["end"],
            registry=self._registry,
        )
        self._resumed_runs = Counter(
            "gradelug_runs_went_on",
            "Runs resumed from their KV cache, by whether the engine has the same base model",
            ["weights"],
            registry=self._registry,
        )
        self._answer_ends = Counter(
            "gradelug_answer_ends",
            "Ends of replicas' answers, by their framing and by what is known of the end",
            ["framing", "proof"],
            registry=self._registry,
        )
        self._stream_origins = Counter(
            "gradelug_stream_origins",
            "Streams resumed by their callers, by where the software that began them was found",
            ["source"],
            registry=self._registry,
        )
        self._first_event_ratio = Histogram(
            "gradelug_first_event_ratio",
            "Actual time to the first event of a stream, divided by the expected time",
            ["route"],
            buckets=RATIO_BUCKETS,
            registry=self._registry,
        )

    def add_gauge(self, name: str, help_text: str, read: t.Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""
        Gauge(f"gradelug_{name}", help_text, registry=self._registry).set_function(read)

    def add_service_gauge(
        self, name: str, help_text: str, read: t.Callable[[], t.Mapping[str, float]]
    ) -> None:
        """Add a gauge with a value for each service, read at each scrape."""
        self._registry.register(_LabelledGauge(f"gradelug_{name}", help_text, "service", read))

    def count_outcome(self, route: str, end: str) -> None:
        """Count a finished request by its outcome."""
        self._outcomes.labels(route, end).inc()

    def count_limited(self, organisation: str, rank: int, retry_state: str) -> None:
        """Count a request over the quota of its organisation.

        Label values are bounded: organisations by the configuration, urgencies by `URGENCY_LEVELS`.
        """
        self._limited.labels(organisation, min(rank, URGENCY_LEVELS - 1), retry_state).inc()

    def count_granted_tokens(self, organisation: str, rank: int, tokens: int) -> None:
        """Count tokens granted from the quota of an organisation."""
        self._granted.labels(organisation, min(rank, URGENCY_LEVELS - 1)).inc(tokens)

    def record_engine_use(self, organisation: str, tokens: int, waited_s: float) -> None:
        """Count the tokens of a request sent to an engine and record its wait for the engine."""
        self._engine_tokens.labels(organisation).inc(tokens)
        self._engine_waits.labels(organisation).observe(waited_s)

    def count_broken_response(self, stage: str) -> None:
        """Count an attempt whose response broke off."""
        self._broken_responses.labels(stage).inc()

    def count_connection_end(self, cause: str, request: str) -> None:
        """Count a caller's connection that ended, by cause and by the state of its request."""
        self._connection_ends.labels(cause, request).inc()

    def count_rejection(self, verdict: str, proof: str) -> None:
        """Count a response other than success, by its verdict and the proof that it did not run."""
        self._rejections.labels(verdict, proof).inc()

    def count_skipped_responses(self, count: int) -> None:
        """Count responses to other requests that were skipped on a connection to a replica."""
        self._skipped_responses.inc(count)

    def count_abandoned_attempt(self, scope: str) -> None:
        """Count an attempt that ends because its replica is silent."""
        self._abandoned_attempts.labels(scope).inc()

    def count_needless_abandonments(self, attempts: int) -> None:
        """Count abandoned attempts whose replica went on."""
        self._needless_abandonments.inc(attempts)

    def count_early_failure(self, started: bool, abandoned: bool) -> None:
        """Count a request that failed long before its deadline."""
        self._early_failures.labels(str(started).lower(), str(abandoned).lower()).inc()

    def count_plain_wait(self) -> None:
        """Count a request that waits for capacity of a service without engines."""
        self._plain_waits.inc()

    def count_planning_error(self, scope: str) -> None:
        """Count an error of a planner by its scope."""
        self._planning_errors.labels(scope).inc()

    def observe_latency(self, streaming: bool, seconds: float) -> None:
        """Record the duration of a served request, in seconds."""
        self._latency.labels("stream" if streaming else "whole").observe(seconds)

    def observe_first_event(self, seconds: float) -> None:
        """Record the time to the first event of a stream, in seconds."""
        self._first_event_latency.observe(seconds)

    def record_resumed_run(self, resume_kind: str, pause_s: float, weights: str) -> None:
        """Record the pause of a resumed run, and whether it kept its weights."""
        self._run_pauses.labels(resume_kind).observe(pause_s)
        self._resumed_runs.labels(weights).inc()

    def count_abandoned_run(self, end: str) -> None:
        """Count the end of an abandoned run, which its engine may have continued."""
        self._abandoned_runs.labels(end).inc()

    def count_answer_end(self, framing: str, proof: str) -> None:
        """Count the end of a replica's answer, by framing and by what is known of the end."""
        self._answer_ends.labels(framing, proof).inc()

    def count_stream_origin(self, source: str) -> None:
        """Count a stream that its caller resumes, by where its origin was found."""
        self._stream_origins.labels(source).inc()

    def observe_estimate(self, route: str, actual_s: float, expected_s: float) -> None:
        """Record actual and expected time from sending to the first event, in seconds."""
        self._first_event_error.observe(abs(actual_s - expected_s))
        if expected_s > 0:
            self._first_event_ratio.labels(route).observe(actual_s / expected_s)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
