"""Probes a few endpoints over new connections while this daemon's reach is in doubt."""

import asyncio
import logging
import random
from collections.abc import Callable
from enum import IntEnum
from typing import Final

from kestreltally.entry.upstream import (
    AnswerLost,
    Channel,
    ChannelPool,
    NotConnected,
    encode_head,
)
from kestreltally.fleet.model import Endpoint, Seconds
from kestreltally.fleet.notices import Unavailable
from kestreltally.fleet.tables import Fleet
from kestreltally.platform.engines import REPORT_PATH
from kestreltally.platform.headers import REQUEST_ID, encode_request
from kestreltally.reach.contact import Contact

LOG = logging.getLogger("kestreltally.reach")

# Endpoints that are probed in a round, and in one that repeats a round without answers:
# several may be down at once, or this process be late, while the path is sound.
ENDPOINTS_PER_ROUND: Final = 3
ENDPOINTS_PER_REPEAT: Final = 8
# Endpoints answer within some ms.
PROBE_TIMEOUT: Final[Seconds] = 0.25
# Time for other connections to end a doubt before a round begins.
PATIENCE: Final[Seconds] = 0.05
ROUND_INTERVAL: Final[Seconds] = 0.3
# Each further endpoint of a round is probed this much later, if none has answered.
STAGGER: Final[Seconds] = 0.04


class ProbeResult(IntEnum):
    """What a round of probes, or one of them, found; the highest counts."""

    NOTHING = 0
    # A connection opened, over which nothing came.
    OPENED = 1
    ANSWERED = 2


class Prober:
    """Resolves doubts of a ``Contact``, and looks for the end of a cut."""

    def __init__(
        self,
        contact: Contact,
        fleet: Fleet,
        pool: ChannelPool,
        vm: str,
        clock: Callable[[], Seconds],
    ) -> None:
        self._contact = contact
        self._fleet = fleet
        self._pool = pool
        self._vm = vm
        self._clock = clock
        self._doubted = asyncio.Event()
        self.rounds = 0
        contact.notify_doubt = self._doubted.set
        contact.is_probed = True

    async def run(self) -> None:
        """Probe whenever the reach is in doubt; runs forever."""
        while True:
            await self._doubted.wait()
            self._doubted.clear()
            await asyncio.sleep(PATIENCE)
            while self._contact.is_doubted or not self._contact.is_open:
                await self._run_round()

    async def _run_round(self) -> None:
        began_at = self._clock()
        result = await self._ask(ENDPOINTS_PER_ROUND)
        if result is not ProbeResult.ANSWERED and self._contact.is_open:
            result = max(result, await self._ask(ENDPOINTS_PER_REPEAT))
        self._contact.apply_probes(
            answered=result is ProbeResult.ANSWERED,
            opened=result is not ProbeResult.NOTHING,
            began_at=began_at,
        )
        await asyncio.sleep(max(0.0, began_at + ROUND_INTERVAL - self._clock()))

    async def _ask(self, count: int) -> ProbeResult:
        """Return the best result of some endpoints, answered if none may be asked."""
        endpoints = self._choose_endpoints(count, self._clock())
        if not endpoints:
            # Nothing is known of the path: failures count as the endpoints'.
            return ProbeResult.ANSWERED
        self.rounds += 1
        probes = [
            asyncio.create_task(self._probe_after(number * STAGGER, each))
            for number, each in enumerate(endpoints)
        ]
        best = ProbeResult.NOTHING
        try:
            for probe in asyncio.as_completed(probes):
                best = max(best, await probe)
                if best is ProbeResult.ANSWERED:
                    break
            return best
        finally:
            for each in probes:
                each.cancel()
            await asyncio.gather(*probes, return_exceptions=True)

    def _choose_endpoints(self, count: int, now: Seconds) -> list[Endpoint]:
        """Return random endpoints that may be asked now."""
        notices = self._fleet.notices
        allowed = [
            each
            for each in self._fleet.endpoints.values()
            if not each.leaving
            and not notices.compute_backoff(each, now)
            and not notices.is_rate_limited(each)
            and not self._may_turn_probes_away(each)
        ]
        return random.sample(allowed, min(count, len(allowed)))

    def _may_turn_probes_away(self, endpoint: Endpoint) -> bool:
        """Return whether a probe takes room at a brittle endpoint."""
        is_brittle = self._fleet.find_brittleness(endpoint) is not None
        return is_brittle and not self._is_engine(endpoint)

    def _is_engine(self, endpoint: Endpoint) -> bool:
        service = self._fleet.get_service(endpoint.service)
        return service is None or service.engine is not None

    async def _probe_after(self, delay: Seconds, endpoint: Endpoint) -> ProbeResult:
        await asyncio.sleep(delay)
        return await self._probe(endpoint)

    async def _probe(self, endpoint: Endpoint) -> ProbeResult:
        """Return whether an endpoint answers, in any way, over a new connection."""
        service = self._fleet.get_service(endpoint.service)
        path = (
            REPORT_PATH
            if service is None or self._is_engine(endpoint)
            else service.health_path
        )
        request_id = f"{self._vm}-reach-{self.rounds}"
        headers = [
            ("Host", f"{endpoint.host}:{endpoint.port}"),
            (REQUEST_ID, request_id),
            *encode_request(PROBE_TIMEOUT, endpoint.id, None, None),
        ]
        channel: Channel | None = None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT):
                channel = await self._pool.open(endpoint)
                head = encode_head("GET", path, headers)
                await channel.send(head, b"", request_id, is_own=True)
        except (NotConnected, AnswerLost, TimeoutError, Unavailable) as error:
            LOG.debug("reach: endpoint %s not reached: %r", endpoint.id, error)
            return ProbeResult.NOTHING if channel is None else ProbeResult.OPENED
        finally:
            if channel is not None:
                self._pool.release(channel, keep=False)
        return ProbeResult.ANSWERED
