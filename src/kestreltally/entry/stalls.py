"""Tells an endpoint that is silent alone from many that are silent at the same time."""

import asyncio
import logging

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.health import HealthTable, ServiceSilence
from kestreltally.entry.progress import Progress
from kestreltally.entry.request import ClientRequest
from kestreltally.fleet.model import Endpoint, Seconds
from kestreltally.fleet.tables import Fleet

LOG = logging.getLogger("kestreltally.relay")


class StallMonitor:
    """Measures and logs what is silent when an answer stalls."""

    def __init__(self, fleet: Fleet, health: HealthTable) -> None:
        self._fleet = fleet
        self._health = health

    def measure(self, request: ClientRequest, now: Seconds) -> ServiceSilence:
        """Return how many endpoints of a request's service are silent."""
        endpoints = [
            each.id
            for each in self._fleet.endpoints.values()
            if each.service == request.service_name
        ]
        return self._health.measure_silence(endpoints, now)

    def log(
        self,
        request: ClientRequest,
        progress: Progress,
        endpoint: Endpoint,
        silent_for: Seconds,
    ) -> None:
        """Log that an answer has brought nothing for a while, and what else hasn't."""
        now = asyncio.get_running_loop().time()
        service = self.measure(request, now)
        row = self._health.get_row(endpoint.id)
        log_decision(
            LOG,
            Decision.ANSWER_STALLS,
            request=request.head.id,
            endpoint=endpoint.id,
            silent=round(silent_for, 3),
            endpoint_silent=round(self._health.compute_silence(endpoint.id, now), 3),
            streams=row.streams,
            last_event=progress.events.last_id,
            silent_endpoints=service.silent,
            speaking_endpoints=service.speaking,
            runs=progress.runs,
        )
