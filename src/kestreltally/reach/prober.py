"""Probes a few endpoints over new connections while this daemon's reach is in doubt."""

import asyncio
import logging
import random
from collections.abc import Callable
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

# Endpoints that are probed in a round. One that is down or busy answers nothing; that
# this many are at once is rare.
ENDPOINTS_PER_ROUND: Final = 3
# Endpoints answer within some ms.
PROBE_TIMEOUT: Final[Seconds] = 0.25
# Time for other connections to end a doubt before a round begins.
PATIENCE: Final[Seconds] = 0.05
ROUND_INTERVAL: Final[Seconds] = 0.3
# Each further endpoint of a round is probed this much later, if none has answered.
STAGGER: Final[Seconds] = 0.04


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
        endpoints = self._choose_endpoints(began_at)
        if not endpoints:
            # Nothing is known of the path: failures count as the endpoints'.
            self._contact.apply_probes(answered=True, began_at=began_at)
            return
        self.rounds += 1
        probes = [
            asyncio.create_task(self._probe_after(number * STAGGER, each))
            for number, each in enumerate(endpoints)
        ]
        answered = False
        for probe in asyncio.as_completed(probes):
            if await probe:
                answered = True
                break
        for each in probes:
            each.cancel()
        await asyncio.gather(*probes, return_exceptions=True)
        self._contact.apply_probes(answered=answered, began_at=began_at)
        await asyncio.sleep(max(0.0, began_at + ROUND_INTERVAL - self._clock()))

    def _choose_endpoints(self, now: Seconds) -> list[Endpoint]:
        """Return random endpoints that may be asked now."""
        notices = self._fleet.notices
        allowed = [
            each
            for each in self._fleet.endpoints.values()
            if not each.leaving
            and not notices.compute_backoff(each, now)
            and not notices.is_rate_limited(each)
        ]
        return random.sample(allowed, min(ENDPOINTS_PER_ROUND, len(allowed)))

    async def _probe_after(self, delay: Seconds, endpoint: Endpoint) -> bool:
        await asyncio.sleep(delay)
        return await self._probe(endpoint)

    async def _probe(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint answers, in any way, over a new connection."""
        service = self._fleet.get_service(endpoint.service)
        is_engine = service is None or service.engine is not None
        path = REPORT_PATH if is_engine or service is None else service.health_path
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
                await channel.send(encode_head("GET", path, headers), b"", None)
        except (NotConnected, AnswerLost, TimeoutError, Unavailable) as error:
            LOG.debug("reach: endpoint %s not reached: %r", endpoint.id, error)
            return False
        finally:
            if channel is not None:
                self._pool.release(channel, keep=False)
        return True
