"""The metrics of a daemon on the users' platform; docs/OPERATIONS.md lists them."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from aiohttp import web
from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from kestreltally.decisions import COUNTS
from kestreltally.fleet.model import Seconds

LATENCY_BUCKETS: Final = [
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.6,
    0.8,
    1.0,
    2.0,
    5.0,
]
METRICS_PATH: Final = "/metrics"

GaugeValues = Mapping[str, Mapping[str, float]]


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How a request ended: ``outcome`` is done, refused, broken_off or abandoned.

    ``first`` is the time to the first byte of the endpoint's answer, and ``waited`` the
    time spent waiting for weights. ``prediction_errors`` holds the errors of the
    predicted time to the first event, one value per answered send: positive if it was
    predicted too long, negative if too short.
    """

    service: str
    kind: str
    outcome: str
    status: str
    took: Seconds
    waited: Seconds
    first: Seconds | None
    prediction_errors: tuple[Seconds, ...] = ()
    organisation: str = ""
    turn_wait: Seconds = 0.0
    longest_pause: Seconds = 0.0


class FleetMetrics:
    """Counters, histograms, and gauges whose values are read at each scrape."""

    def __init__(self, read_gauges: Callable[[], GaugeValues]) -> None:
        self._read_gauges = read_gauges
        self._registry = registry = Registry()
        self._exported_counts: dict[str, int] = {}
        self._gauges: dict[str, Gauge] = {}
        self._decisions = Counter(
            "kestreltally_decisions_total",
            "Decisions by kind, also those whose line was thinned.",
            registry=registry,
        )
        self._requests = Counter(
            "kestreltally_requests_total",
            "Requests by service, kind, outcome and status.",
            registry=registry,
        )
        self._organisation_requests = Counter(
            "kestreltally_organisation_requests_total",
            "Requests by organisation, outcome and status.",
            registry=registry,
        )
        self._request_seconds = self._make_histogram(
            "request", "its first byte to its end"
        )
        self._first_byte_seconds = self._make_histogram(
            "first_byte", "it to an answer's first byte"
        )
        self._weights_wait_seconds = self._make_histogram(
            "weights_wait", "waiting for weights"
        )
        self._turn_wait_seconds = self._make_histogram(
            "turn_wait", "waiting for its turn at an engine"
        )
        self._pause_seconds = self._make_histogram(
            "longest_pause", "one event of its stream to the next"
        )
        self._prediction_errors = Histogram(
            "kestreltally_first_event_error_seconds",
            "Seconds by which the time to the first event was predicted amiss, by kind "
            "and by whether it was predicted too long or too short.",
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )

    def _make_histogram(self, name: str, description: str) -> Histogram:
        return Histogram(
            f"kestreltally_{name}_seconds",
            f"Seconds of a request from {description}.",
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )

    def record_end(self, end: RequestEnd) -> None:
        """Record a request that has ended."""
        self._requests.inc(
            {
                "service": end.service,
                "kind": end.kind,
                "outcome": end.outcome,
                "status": end.status,
            }
        )
        if end.organisation:
            self._organisation_requests.inc(
                {
                    "organisation": end.organisation,
                    "outcome": end.outcome,
                    "status": end.status,
                }
            )
        labels = {"kind": end.kind}
        self._request_seconds.observe(labels, end.took)
        if end.first is not None:
            self._first_byte_seconds.observe(labels, end.first)
        for error in end.prediction_errors:
            direction = "too_long" if error > 0 else "too_short"
            self._prediction_errors.observe({**labels, "amiss": direction}, abs(error))
        if end.turn_wait:
            self._turn_wait_seconds.observe(labels, end.turn_wait)
        if end.longest_pause:
            self._pause_seconds.observe(labels, end.longest_pause)
        if end.waited:
            self._weights_wait_seconds.observe(labels, end.waited)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the exposition of all metrics and its HTTP headers."""
        for decision, count in COUNTS.items():
            name = decision.name.lower()
            self._decisions.add(
                {"decision": name}, count - self._exported_counts.get(name, 0)
            )
            self._exported_counts[name] = count
        for name, values in self._read_gauges().items():
            gauge = self._gauges.get(name)
            if gauge is None:
                gauge = Gauge(f"kestreltally_{name}", name, registry=self._registry)
                self._gauges[name] = gauge
            for label, value in values.items():
                gauge.set({"of": label}, value)
        content, headers = render(self._registry, [])
        return content, dict(headers)

    async def serve(self, http: web.BaseRequest) -> web.Response:
        """Answer a scrape of the metrics."""
        if http.path != METRICS_PATH:
            return web.Response(status=404)
        content, headers = self.render()
        return web.Response(body=content, headers=headers)
