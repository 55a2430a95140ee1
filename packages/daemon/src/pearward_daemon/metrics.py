"""OpenTelemetry metrics: histograms by service, class and tenant, counters and gauges."""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

from pearward_state.outcome import Outcome, Reason, RequestClass

__all__ = ["Metrics"]

LATENCY_BUCKETS_S = (
    0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1.0, 2.0, 4.0, 16.0, 64.0,
)  # fmt: skip
OTHER_TENANTS = "other"


class Metrics:
    """Records the metrics of one daemon."""

    def __init__(self, instance: str, tenants: int) -> None:
        view = View(
            instrument_name="pearward.request.duration",
            aggregation=ExplicitBucketHistogramAggregation(LATENCY_BUCKETS_S),
        )
        provider = MeterProvider(metric_readers=[PrometheusMetricReader()], views=[view])
        self._meter = provider.get_meter("pearward", attributes={"instance": instance})
        self._duration = self._meter.create_histogram(
            "pearward.request.duration", unit="s", description="From a caller's headers to the end"
        )
        self._attempts = self._meter.create_counter(
            "pearward.attempts", description="Attempts by how they ended"
        )
        self._tenant_limit = tenants
        self._tenants: set[str] = set()
        self._attributes: dict[tuple[str, RequestClass, str, Outcome], dict[str, str]] = {}

    def request_ended(
        self,
        service: str,
        request_class: RequestClass,
        tenant: str,
        outcome: Outcome,
        took_s: float,
    ) -> None:
        """Record the duration of a caller's request."""
        key = (service, request_class, self._tenant_label(tenant), outcome)
        attributes = self._attributes.get(key)
        if attributes is None:
            attributes = self._attributes[key] = {
                "service": service,
                "class": request_class.label,
                "tenant": key[2],
                "outcome": outcome.value,
            }
        self._duration.record(took_s, attributes)

    def attempt_failed(self, service: str, outcome: Outcome, reason: Reason) -> None:
        """Count an attempt that ended without the server's response."""
        self._attempts.add(
            1, {"service": service, "outcome": outcome.value, "reason": reason.value}
        )

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Export a gauge whose value is read at each scrape."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return (Observation(read()),)

        self._meter.create_observable_gauge(name, callbacks=[observe], description=description)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def _tenant_label(self, tenant: str) -> str:
        """Return the tenant's label; beyond the limit all further tenants share one label."""
        if tenant in self._tenants:
            return tenant
        if len(self._tenants) >= self._tenant_limit:
            return OTHER_TENANTS
        self._tenants.add(tenant)
        return tenant
