"""The daemon's metrics; docs/OPERATORS.md documents their names."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from kestreltally.requests.attempts import CallerRequest
from kestreltally.requests.outcomes import Refusal
from kestreltally.world import World

LATENCY_BUCKETS: Final = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0]


class Metrics:
    """Counters updated as requests are served, and gauges read from the tables."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._requests = self._make(
            Counter,
            "kestreltally_requests_total",
            "Requests served, by priority.",
        )
        self._refusals = self._make(
            Counter,
            "kestreltally_refusals_total",
            "Requests without a complete answer, by reason and outcome.",
        )
        self._seconds = Histogram(
            "kestreltally_request_seconds",
            "Seconds from the request to the end of its answer.",
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self._gauge = self._make(
            Gauge,
            "kestreltally_table_rows",
            "Rows in the daemon's tables, by table.",
        )
        self._broken = self._make(
            Gauge,
            "kestreltally_invariants_broken",
            "How often each invariant was broken; anything above 0 is an alarm.",
        )
        self._revision = self._make(
            Gauge,
            "kestreltally_config_revision",
            "The revision of the configuration in force.",
        )

    def _make(self, kind: type, name: str, text: str) -> "Counter | Gauge":
        metric: Counter | Gauge = kind(name, text, registry=self._registry)
        return metric

    @contextmanager
    def time_request(self, request: CallerRequest) -> Iterator[None]:
        """Count a request and record its duration."""
        labels = {"priority": request.priority.name.lower()}
        started = time.monotonic()
        try:
            yield
        finally:
            self._requests.inc(labels)
            self._seconds.observe(labels, time.monotonic() - started)

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a refusal by its reason and outcome."""
        self._refusals.inc(
            {"reason": refusal.reason.value, "outcome": refusal.outcome.value}
        )

    def render(self, world: World) -> tuple[bytes, dict[str, str]]:
        """Return the exposition of all metrics and its HTTP headers."""
        rows = {
            "members": len(world.members.known),
            "led_endpoints": len(world.leaders.led_endpoints),
            "asks": len(world.grants.asks),
            "permits_granted": len(world.grants.permits),
            "permits_held": len(world.entry.held),
            "loads": len(world.grants.loads),
            "requests_waiting": len(world.entry.waiters),
        }
        for table, count in rows.items():
            self._gauge.set({"table": table}, count)
        for name, count in world.invariants.violations.items():
            self._broken.set({"invariant": name}, count)
        self._revision.set({}, world.config.revision)
        content, headers = render(self._registry, [])
        return content, dict(headers)
