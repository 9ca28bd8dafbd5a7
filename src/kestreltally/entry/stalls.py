"""Tells an endpoint that is silent alone from many that are silent at the same time."""

import asyncio
import logging

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.health import HealthTable
from kestreltally.entry.run import Run
from kestreltally.entry.silence import (
    ServiceSilence,
    StalledAnswer,
    Verdict,
    evaluate_stall,
)
from kestreltally.fleet.model import Seconds, ServiceName
from kestreltally.fleet.tables import Fleet

LOG = logging.getLogger("kestreltally.relay")

NEVER: Seconds = float("-inf")


class StallMonitor:
    """Evaluates and logs stalled answers by what else is silent."""

    def __init__(self, fleet: Fleet, health: HealthTable) -> None:
        self._fleet = fleet
        self._health = health
        # When most endpoints of a service were last silent together.
        self._shared_at: dict[ServiceName, Seconds] = {}

    def evaluate(self, run: Run, heard_at: Seconds) -> Verdict:
        """Return whether another endpoint is to be asked for a stalled answer.

        ``heard_at`` is when the answer last brought something, or was asked for.
        """
        now = asyncio.get_running_loop().time()
        service = run.request.service_name
        silence = self._measure(run, now)
        if silence.is_shared:
            self._shared_at[service] = now
        row = self._health.get_row(run.endpoint.id)
        return evaluate_stall(
            StalledAnswer(
                silent_for=now - heard_at,
                resumed_for=now - row.resumed_at,
                is_shared=silence.is_shared,
                shared_ended_for=now - self._shared_at.get(service, NEVER),
            )
        )

    def _measure(self, run: Run, now: Seconds) -> ServiceSilence:
        """Return how many endpoints of a run's service are silent.

        Endpoints that are no engines write no streams, so each of them counts as asked.
        """
        service = run.request.service
        endpoints = [
            each.id
            for each in self._fleet.endpoints.values()
            if each.service == service.name
        ]
        silence = self._health.measure_silence(endpoints, now)
        if service.engine is None:
            return ServiceSilence(silence.silent, len(endpoints))
        return silence

    def log(self, run: Run) -> None:
        """Log that an answer has brought nothing for a while, and what else hasn't."""
        now = asyncio.get_running_loop().time()
        row = self._health.get_row(run.endpoint.id)
        silence = self._measure(run, now)
        log_decision(
            LOG,
            Decision.ANSWER_STALLS,
            request=run.request.head.id,
            endpoint=run.endpoint.id,
            endpoint_silent=round(now - row.received_at, 3),
            streams=row.streams,
            last_event=run.progress.last_event_id,
            silent_endpoints=silence.silent,
            asked_endpoints=silence.asked,
            runs=run.progress.runs,
        )
