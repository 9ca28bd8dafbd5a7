"""Which requests of this daemon were at an endpoint when that ended.

An endpoint has ended where its address refuses a channel right after requests broke
off there, where its entry goes while it is silent, or where it has been started anew.
Channels also break while their endpoint lives on: then the address takes another one.
Who leaves as planned says so, or is no longer listed by then, and ends nobody's fault.
"""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from secrets import randbits
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.request import ClientRequest
from kestreltally.fleet.model import Endpoint, EndpointId, Seconds
from kestreltally.poison.facts import (
    WITNESS_BITS,
    Life,
    Sighting,
    format_life,
    make_clearing,
)
from kestreltally.poison.fingerprints import (
    Fingerprint,
    make_fingerprint,
    make_outline,
)
from kestreltally.poison.register import PoisonRegister
from kestreltally.poison.secret import SharedSecret

LOG = logging.getLogger("kestreltally.poison")

# An end is known by its address at once, and by its entry within four heartbeats of
# 1.2 s, or some seconds more where the store is slow; until then requests without a
# whole answer are remembered.
FLIGHT_RETENTION: Final[Seconds] = 12.0
# Who has been silent for so long as its entry goes did not leave as planned: those
# serve on.
MIN_SILENCE: Final[Seconds] = 2.0
# An address is asked whether it still takes channels not more often than this.
ASK_INTERVAL: Final[Seconds] = 0.3
ASK_TIMEOUT: Final[Seconds] = 0.5
# A longer body is not kept until it is known whether its digest is needed, bytes.
MAX_KEPT_BODY: Final = 2**16


@dataclass(slots=True, eq=False)
class Attempt:
    """A request at an endpoint, from its sending to the end of its answer.

    ``answered`` tells that some of its answer was good; ``broken_off`` that its channel
    broke off; ``complete`` that the endpoint gave a whole answer, or did not run it.
    """

    request: ClientRequest | None
    endpoint: Endpoint
    life: Life
    sent_at: Seconds
    fingerprint: Fingerprint | None = None
    answered: bool = False
    broken_off: bool = False
    complete: bool = False
    finished_at: Seconds | None = None


class CrashDetector:
    """Keeps this daemon's requests by endpoint, and tells the register of ends."""

    def __init__(
        self,
        register: PoisonRegister,
        secret: SharedSecret,
        received_at: Callable[[EndpointId], Seconds],
        clock: Callable[[], Seconds],
    ) -> None:
        self._register = register
        self._secret = secret
        self._received_at = received_at
        self._clock = clock
        self._attempts: dict[EndpointId, set[Attempt]] = defaultdict(set)
        self._probed_at: dict[EndpointId, Seconds] = {}
        self._probes: set[asyncio.Task[None]] = set()
        self._witness = randbits(WITNESS_BITS)
        # Returns an endpoint that is listed and does not leave.
        self.get_serving: Callable[[EndpointId], Endpoint | None] = lambda _: None

    # What happens to requests.

    def identify(self, request: ClientRequest) -> Fingerprint | None:
        """Return a request's fingerprint where any suspect has its outline."""
        if not self._secret.value:
            return None
        if not self._register.is_outlined(make_outline(request)):
            return None
        return make_fingerprint(request, self._secret.value)

    def start(self, request: ClientRequest, endpoint: Endpoint) -> Attempt:
        """Note that a request is sent."""
        attempt = Attempt(request, endpoint, format_life(endpoint), self._clock())
        self._attempts[endpoint.id].add(attempt)
        return attempt

    def end(self, attempt: Attempt) -> None:
        """Note that a request is over at its endpoint, whatever came of it."""
        attempt.finished_at = self._clock()
        if attempt.complete:
            self._drop(attempt)
            self._clear_suspicion(attempt)
            return
        if attempt.broken_off or (
            attempt.request and len(attempt.request.body) > MAX_KEPT_BODY
        ):
            self._digest(attempt)
        if attempt.broken_off:
            self._start_probe(attempt.endpoint)

    def _digest(self, attempt: Attempt) -> Fingerprint | None:
        """Return the fingerprint of a request, whose body is then let go of."""
        if attempt.request is not None and self._secret.value:
            attempt.fingerprint = make_fingerprint(attempt.request, self._secret.value)
            attempt.request = None
        return attempt.fingerprint

    def _clear_suspicion(self, attempt: Attempt) -> None:
        """Void what counts against a request that ran well."""
        if attempt.request is None or not attempt.answered:
            return
        fingerprint = self.identify(attempt.request)
        if fingerprint is not None and self._register.is_suspect(fingerprint.digest):
            self._register.record_local([make_clearing(fingerprint, self._clock())])

    def _drop(self, attempt: Attempt) -> None:
        attempts = self._attempts.get(attempt.endpoint.id)
        if attempts is None:
            return
        attempts.discard(attempt)
        if not attempts:
            del self._attempts[attempt.endpoint.id]

    def prune_old(self) -> None:
        """Drop requests that were over long ago, and what was asked of addresses."""
        oldest = self._clock() - FLIGHT_RETENTION
        for attempts in list(self._attempts.values()):
            for attempt in list(attempts):
                if attempt.finished_at is not None and attempt.finished_at < oldest:
                    self._drop(attempt)
        self._probed_at = {k: at for k, at in self._probed_at.items() if at > oldest}

    # What happens to endpoints.

    def _start_probe(self, endpoint: Endpoint) -> None:
        """Find out whether an endpoint has ended where a request broke off."""
        now = self._clock()
        if now - self._probed_at.get(endpoint.id, float("-inf")) < ASK_INTERVAL:
            return
        self._probed_at[endpoint.id] = now
        task = asyncio.create_task(self._probe_address(endpoint))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _probe_address(self, endpoint: Endpoint) -> None:
        try:
            async with asyncio.timeout(ASK_TIMEOUT):
                _, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        except ConnectionRefusedError:
            self.record_refused(endpoint)
        except (OSError, TimeoutError) as error:
            LOG.debug("poison: %s does not tell: %r", endpoint.id, error)
        else:
            writer.close()

    def record_refused(self, endpoint: Endpoint) -> None:
        """Take in that an endpoint's address takes no channel."""
        if self._attempts.get(endpoint.id):
            self._record_end(endpoint, "refuses channels")

    def record_removed(self, endpoint: Endpoint) -> None:
        """Take in that an endpoint's entry went; it is still listed here."""
        silent = self._clock() - self._received_at(endpoint.id) > MIN_SILENCE
        if silent and self._attempts.get(endpoint.id):
            self._record_end(endpoint, "silent, and its entry went")

    def record_replaced(self, endpoint: Endpoint) -> None:
        """Take in that another start answers in place of an endpoint."""
        if self._attempts.get(endpoint.id):
            self._record_end(endpoint, "started anew")

    def _record_end(self, endpoint: Endpoint, cause: str) -> None:
        """Tell which requests were at an endpoint that ended otherwise than planned."""
        if self.get_serving(endpoint.id) is None:
            return
        life = format_life(endpoint)
        running = [
            attempt
            for attempt in self._attempts.get(endpoint.id, ())
            if attempt.life == life and self._was_running_at_end(attempt)
        ]
        sightings = [each for each in map(self._make_sighting, running) if each]
        for attempt in running:
            if attempt.finished_at is not None:
                self._drop(attempt)
        if not self._register.record_local(sightings):
            return
        log_decision(
            LOG,
            Decision.ENDPOINT_ENDED,
            endpoint=endpoint.id,
            life=life,
            cause=cause,
            content=[str(each.fingerprint) for each in sightings],
        )

    def _was_running_at_end(self, attempt: Attempt) -> bool:
        """Tell whether nothing was heard of an endpoint since a request was over."""
        if attempt.finished_at is None:
            return True
        return attempt.finished_at >= self._received_at(attempt.endpoint.id)

    def _make_sighting(self, attempt: Attempt) -> Sighting | None:
        fingerprint = self._digest(attempt)
        if fingerprint is None:
            return None
        received_at = max(attempt.sent_at, self._received_at(attempt.endpoint.id))
        ended_at = received_at if attempt.finished_at is None else attempt.finished_at
        return Sighting(
            fingerprint,
            attempt.life,
            attempt.sent_at,
            ended_at,
            attempt.answered,
            self._witness,
        )

    def clear(self) -> None:
        """Forget digests that were made under another secret."""
        for attempts in self._attempts.values():
            for attempt in attempts:
                attempt.fingerprint = None
