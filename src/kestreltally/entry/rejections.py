"""What an answer shows of whether its request ran, and why it did not."""

import asyncio
import logging

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.delivery import MAX_BUFFERED_BYTES
from kestreltally.entry.finder import EndpointFinder
from kestreltally.entry.health import HealthTable
from kestreltally.entry.progress import AttemptFailed
from kestreltally.entry.run import Run
from kestreltally.entry.sends import (
    PROMISE_STATUSES,
    Proof,
    Rejection,
    Send,
    find_proof,
)
from kestreltally.entry.upstream import Answer, AnswerTruncated, Channel
from kestreltally.fleet.model import Endpoint
from kestreltally.fleet.tables import Fleet
from kestreltally.platform.headers import MISDIRECTED, read_instance, says_not_run
from kestreltally.poison.guard import PoisonGuard

LOG = logging.getLogger("kestreltally.relay")


class RejectionCheck:
    """Looks for the proof that a send did not run, and learns why it did not."""

    def __init__(
        self,
        fleet: Fleet,
        health: HealthTable,
        finder: EndpointFinder,
        poison: PoisonGuard,
    ) -> None:
        self._fleet = fleet
        self._health = health
        self._finder = finder
        self._poison = poison

    async def check(
        self, run: Run, send: Send, channel: Channel, answer: Answer
    ) -> None:
        """Raise ``AttemptFailed`` if an answer proves that its send did not run."""
        if answer.status == MISDIRECTED:
            self._record_misdirected(run, answer)
        proof = _find_proof(run.endpoint, answer)
        if proof is not None or answer.status in PROMISE_STATUSES:
            self._log(run, channel, answer, proof)
        if proof is None:
            return
        send.disprove(proof)
        await _skip_body(run, answer)
        raise AttemptFailed(
            f"request not run (status {answer.status})",
            may_have_run=False,
            turned_away=answer.status != MISDIRECTED,
        )

    def _record_misdirected(self, run: Run, answer: Answer) -> None:
        """Record that an endpoint was replaced, or lacks what a request needs."""
        endpoint, key = run.endpoint, run.request.head.weights
        instance = read_instance(answer.headers)
        if instance and instance != endpoint.id:
            self._poison.crash_detector.record_replaced(endpoint)
            self._fleet.drop_endpoint(endpoint.id)
        elif key is not None:
            now = asyncio.get_running_loop().time()
            self._fleet.record_missing_weights(endpoint.id, key, now)
            self._finder.report_missing(endpoint.id, key)

    def _log(
        self, run: Run, channel: Channel, answer: Answer, proof: Proof | None
    ) -> None:
        """Log what shows that an endpoint did not run a request, and its load."""
        request, endpoint = run.request, run.endpoint
        brittleness = self._fleet.notices.get_brittleness(endpoint)
        others = self._finder.remote_occupancy.in_flight
        log_decision(
            LOG,
            Decision.ENDPOINT_TURNED_AWAY,
            request=request.head.id,
            endpoint=endpoint.id,
            status=answer.status,
            proof=proof.value if proof is not None else None,
            instance=read_instance(answer.headers) or None,
            channel_age=round(channel.age, 3),
            exchange=channel.exchanges,
            bears=brittleness.limit if brittleness is not None else None,
            send=run.progress.sends,
            in_flight=self._health.get_row(endpoint.id).in_flight,
            others=others.get(endpoint.id, 0),
            slots=endpoint.slots,
        )


def _find_proof(endpoint: Endpoint, answer: Answer) -> Proof | None:
    return find_proof(
        Rejection(
            status=answer.status,
            says_not_run=says_not_run(answer.headers),
            instance=read_instance(answer.headers),
            expected=endpoint.id,
        )
    )


async def _skip_body(run: Run, answer: Answer) -> None:
    """Read the body of a rejection, so that its channel can be used again."""
    try:
        await answer.read_all(MAX_BUFFERED_BYTES)
    except AnswerTruncated as error:
        LOG.debug(
            "relay: refusal from endpoint %s truncated: %s", run.endpoint.id, error
        )
