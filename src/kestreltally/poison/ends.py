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
    make_clearing,
    name_life,
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
REMEMBER_FOR: Final[Seconds] = 12.0
# Who has been silent for so long as its entry goes did not leave as planned: those
# serve on.
SILENT_FOR: Final[Seconds] = 2.0
# An address is asked whether it still takes channels not more often than this.
ASK_EVERY: Final[Seconds] = 0.3
ASK_TIMEOUT: Final[Seconds] = 0.5
# A longer body is not kept until it is known whether its digest is needed, bytes.
BODY_KEPT: Final = 2**16


@dataclass(slots=True, eq=False)
class Flight:
    """A request at an endpoint, from its sending to the end of its answer.

    ``answered`` tells that some of its answer was good; ``broke`` that its channel
    broke off; ``whole`` that the endpoint gave a whole answer, or did not run it.
    """

    request: ClientRequest | None
    endpoint: Endpoint
    life: Life
    sent_at: Seconds
    fingerprint: Fingerprint | None = None
    answered: bool = False
    broke: bool = False
    whole: bool = False
    over_at: Seconds | None = None


class EndWatch:
    """Keeps this daemon's requests by endpoint, and tells the register of ends."""

    def __init__(
        self,
        register: PoisonRegister,
        secret: SharedSecret,
        heard_at: Callable[[EndpointId], Seconds],
        clock: Callable[[], Seconds],
    ) -> None:
        self._register = register
        self._secret = secret
        self._heard_at = heard_at
        self._clock = clock
        self._flights: dict[EndpointId, set[Flight]] = defaultdict(set)
        self._asked_at: dict[EndpointId, Seconds] = {}
        self._asking: set[asyncio.Task[None]] = set()
        self._witness = randbits(WITNESS_BITS)
        # Returns an endpoint that is listed and does not leave.
        self.find_staying: Callable[[EndpointId], Endpoint | None] = lambda _: None

    # What happens to requests.

    def identify(self, request: ClientRequest) -> Fingerprint | None:
        """Return a request's fingerprint where any suspect has its outline."""
        if not self._secret.value:
            return None
        if not self._register.is_outlined(make_outline(request)):
            return None
        return make_fingerprint(request, self._secret.value)

    def begin(self, request: ClientRequest, endpoint: Endpoint) -> Flight:
        """Note that a request is sent."""
        flight = Flight(request, endpoint, name_life(endpoint), self._clock())
        self._flights[endpoint.id].add(flight)
        return flight

    def end(self, flight: Flight) -> None:
        """Note that a request is over at its endpoint, whatever came of it."""
        flight.over_at = self._clock()
        if flight.whole:
            self._drop(flight)
            self._clear(flight)
            return
        if flight.broke or (flight.request and len(flight.request.body) > BODY_KEPT):
            self._digest(flight)
        if flight.broke:
            self._ask(flight.endpoint)

    def _digest(self, flight: Flight) -> Fingerprint | None:
        """Return the fingerprint of a request, whose body is then let go of."""
        if flight.request is not None and self._secret.value:
            flight.fingerprint = make_fingerprint(flight.request, self._secret.value)
            flight.request = None
        return flight.fingerprint

    def _clear(self, flight: Flight) -> None:
        """Void what counts against a request that ran well."""
        if flight.request is None or not flight.answered:
            return
        fingerprint = self.identify(flight.request)
        if fingerprint is not None and self._register.is_suspect(fingerprint.digest):
            self._register.note_own([make_clearing(fingerprint, self._clock())])

    def _drop(self, flight: Flight) -> None:
        flights = self._flights.get(flight.endpoint.id)
        if flights is None:
            return
        flights.discard(flight)
        if not flights:
            del self._flights[flight.endpoint.id]

    def prune_old(self) -> None:
        """Drop requests that were over long ago, and what was asked of addresses."""
        oldest = self._clock() - REMEMBER_FOR
        for flights in list(self._flights.values()):
            for flight in list(flights):
                if flight.over_at is not None and flight.over_at < oldest:
                    self._drop(flight)
        self._asked_at = {k: at for k, at in self._asked_at.items() if at > oldest}

    # What happens to endpoints.

    def _ask(self, endpoint: Endpoint) -> None:
        """Find out whether an endpoint has ended where a request broke off."""
        now = self._clock()
        if now - self._asked_at.get(endpoint.id, float("-inf")) < ASK_EVERY:
            return
        self._asked_at[endpoint.id] = now
        task = asyncio.create_task(self._ask_address(endpoint))
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    async def _ask_address(self, endpoint: Endpoint) -> None:
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
        if self._flights.get(endpoint.id):
            self._record_end(endpoint, "refuses channels")

    def note_gone(self, endpoint: Endpoint) -> None:
        """Take in that an endpoint's entry went; it is still listed here."""
        silent = self._clock() - self._heard_at(endpoint.id) > SILENT_FOR
        if silent and self._flights.get(endpoint.id):
            self._record_end(endpoint, "silent, and its entry went")

    def note_replaced(self, endpoint: Endpoint) -> None:
        """Take in that another start answers in place of an endpoint."""
        if self._flights.get(endpoint.id):
            self._record_end(endpoint, "started anew")

    def _record_end(self, endpoint: Endpoint, cause: str) -> None:
        """Tell which requests were at an endpoint that ended otherwise than planned."""
        if self.find_staying(endpoint.id) is None:
            return
        life = name_life(endpoint)
        at_end = [
            flight
            for flight in self._flights.get(endpoint.id, ())
            if flight.life == life and self._was_at_end(flight)
        ]
        sightings = [each for each in map(self._make_sighting, at_end) if each]
        for flight in at_end:
            if flight.over_at is not None:
                self._drop(flight)
        if not self._register.note_own(sightings):
            return
        log_decision(
            LOG,
            Decision.ENDPOINT_ENDED,
            endpoint=endpoint.id,
            life=life,
            cause=cause,
            content=[str(each.fingerprint) for each in sightings],
        )

    def _was_at_end(self, flight: Flight) -> bool:
        """Tell whether nothing was heard of an endpoint since a request was over."""
        if flight.over_at is None:
            return True
        return flight.over_at >= self._heard_at(flight.endpoint.id)

    def _make_sighting(self, flight: Flight) -> Sighting | None:
        fingerprint = self._digest(flight)
        if fingerprint is None:
            return None
        heard_at = max(flight.sent_at, self._heard_at(flight.endpoint.id))
        ended_at = heard_at if flight.over_at is None else flight.over_at
        return Sighting(
            fingerprint,
            flight.life,
            flight.sent_at,
            ended_at,
            flight.answered,
            self._witness,
        )

    def clear(self) -> None:
        """Forget digests that were made under another secret."""
        for flights in self._flights.values():
            for flight in flights:
                flight.fingerprint = None
