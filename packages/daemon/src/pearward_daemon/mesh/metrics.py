"""Latency histograms by route, gauges and counters, by OpenTelemetry.

OpenTelemetry is imported on the first scrape: its import takes a large part of a start, during
which no keys are served. Requests that end before are buffered and recorded afterwards.
"""

from collections.abc import Callable, Iterable
from typing import Any

__all__ = ["LazyMetrics"]

Labelled = Iterable[tuple[float, dict[str, str]]]
"""Values with their labels."""

MAX_BUFFERED = 5_000
"""Requests that are buffered until the libraries are imported; further ones are not counted."""
LATENCY_BUCKETS_S = (
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 1.5, 2.0, 4.0,
)  # fmt: skip


class LazyMetrics:
    """The metrics of one daemon, which imports the libraries on the first scrape."""

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._buffered: list[tuple[float, dict[str, str]]] = []
        self._gauges: list[tuple[str, str, Callable[[], float]]] = []
        self._counters: list[tuple[str, str, Callable[[], Labelled]]] = []
        self._duration: Any = None

    def request_ended(self, route: str, service: str, how: str, took_s: float) -> None:
        """Record the duration of a caller's request, by route, service and outcome."""
        labels = {"route": route, "service": service, "outcome": how}
        if self._duration is not None:
            self._duration.record(took_s, labels)
        elif len(self._buffered) < MAX_BUFFERED:
            self._buffered.append((took_s, labels))

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Export a value that is read on each scrape."""
        self._gauges.append((name, description, read))

    def counter(
        self,
        name: str,
        description: str,
        read: Callable[[], Labelled],
    ) -> None:
        """Export sums that are read, each with its labels, on each scrape."""
        self._counters.append((name, description, read))

    def exposition(self) -> bytes:
        """Return all metrics in Prometheus's text format; the first call imports the libraries."""
        if self._duration is None:
            self._load()
        from prometheus_client import REGISTRY, generate_latest

        return generate_latest(REGISTRY)

    def _load(self) -> None:
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.metrics import CallbackOptions, Observation
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View

        view = View(
            instrument_name="pearward.request.duration",
            aggregation=ExplicitBucketHistogramAggregation(LATENCY_BUCKETS_S),
        )
        provider = MeterProvider(metric_readers=[PrometheusMetricReader()], views=[view])
        meter = provider.get_meter("pearward", attributes={"instance": self._instance})
        self._duration = meter.create_histogram(
            "pearward.request.duration", unit="s", description="From a caller's headers to the end"
        )
        buffered, self._buffered = self._buffered, []
        for took_s, labels in buffered:
            self._duration.record(took_s, labels)
        for name, description, read in self._gauges:

            def observe(_: CallbackOptions, read: Callable[[], float] = read) -> list[Observation]:
                return [Observation(read())]

            meter.create_observable_gauge(name, callbacks=[observe], description=description)
        for name, description, read_all in self._counters:

            def observe_all(
                _: CallbackOptions,
                read: Callable[[], Labelled] = read_all,
            ) -> list[Observation]:
                return [Observation(value, labels) for value, labels in read()]

            meter.create_observable_counter(name, callbacks=[observe_all], description=description)
