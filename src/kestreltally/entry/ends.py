"""Logs how requests end, and reports it to the metrics."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.exchanges import Holding
from kestreltally.entry.progress import Progress
from kestreltally.entry.refusals import Refusal
from kestreltally.entry.request import ClientRequest
from kestreltally.fleet.model import Seconds
from kestreltally.fleet.tables import Fleet
from kestreltally.fleet_metrics import RequestEnd
from kestreltally.platform.headers import read_request_id
from kestreltally.poison.fingerprints import make_fingerprint
from kestreltally.poison.guard import PoisonGuard

LOG = logging.getLogger("kestreltally.entry")


@dataclass(slots=True)
class ClientCall:
    """A client request from its first byte to the end of its answer."""

    client: web.BaseRequest
    started_at: Seconds
    holding: Holding
    progress: Progress = field(default_factory=Progress)
    request: ClientRequest | None = None


class EndLog:
    """Records the end of each request, whatever it is."""

    def __init__(
        self,
        fleet: Fleet,
        poison: PoisonGuard,
        record_end: Callable[[RequestEnd], None],
    ) -> None:
        self._fleet = fleet
        self._poison = poison
        self._record_end = record_end

    def record(
        self,
        decision: Decision,
        call: ClientCall,
        end: BaseException | Refusal | web.StreamResponse,
    ) -> None:
        """Log the end of a request, and report its metrics."""
        now = asyncio.get_running_loop().time()
        configuration = self._fleet.configuration
        request = call.request
        weights = request.head.weights if request is not None else None
        organisation = request.organisation_name if request is not None else None
        first = call.progress.first_byte_at
        log_decision(
            LOG,
            decision,
            request=read_request_id(call.client.headers),
            route=request.route.name if request is not None else None,
            organisation=organisation,
            weights=str(weights) if weights is not None else None,
            configuration=configuration.version if configuration else None,
            content=self._describe_content(decision, call),
            status=getattr(end, "status", None),
            reason=_describe_reason(end),
            retry_after=getattr(end, "retry_after", None),
            waited=round(call.progress.waited, 3),
            turn=round(call.progress.turn_wait, 3),
            pause=round(call.progress.longest_pause, 3),
            first=round(first - call.started_at, 3) if first is not None else None,
            took=round(now - call.started_at, 3),
            trail=call.progress.trail,
            predicted=[
                (round(each.predicted, 3), round(each.actual, 3))
                for each in call.progress.predictions
            ],
        )
        self._record_end(
            RequestEnd(
                service=request.service_name if request is not None else "",
                organisation=organisation or "",
                kind=request.route.kind.value if request is not None else "",
                outcome=decision.name.lower().removeprefix("request_"),
                status=str(getattr(end, "status", "")),
                took=now - call.started_at,
                waited=call.progress.waited,
                turn_wait=call.progress.turn_wait,
                longest_pause=call.progress.longest_pause,
                first=first - call.started_at if first is not None else None,
                prediction_errors=tuple(
                    each.predicted - each.actual for each in call.progress.predictions
                ),
            )
        )

    def _describe_content(self, decision: Decision, call: ClientCall) -> str | None:
        """Return the fingerprint of a stopped request, or of one that failed once sent.

        Other requests are not hashed, because bodies may be long.
        """
        if call.progress.content is not None:
            return call.progress.content
        secret = self._poison.secret.value
        failed = decision is not Decision.REQUEST_DONE and call.progress.runs > 0
        if call.request is None or not secret or not failed:
            return None
        return str(make_fingerprint(call.request, secret))


def _describe_reason(end: BaseException | Refusal | web.StreamResponse) -> str | None:
    if isinstance(end, Refusal):
        return end.reason
    return str(end) if isinstance(end, Exception) else None
