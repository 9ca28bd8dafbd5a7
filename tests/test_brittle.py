"""Endpoints that say that they are brittle, at the users' rule of falls.

Guards against daemons that send such an endpoint more than it has room for: it falls
over if it turns away more requests in a second than it has named, and the others get
its share.
"""

import asyncio
import random
from collections import deque

from aiohttp import web

from standins.platform_engine import PlatformEngine
from tests.test_fleet_daemon import DATA_CENTRES, FleetRig, make_configuration

DAEMONS = 8
ENDPOINTS = 4
PLACES = 4
WORK_TIME = 0.2
BRITTLE = 4
FALL_TIME = 3.0
CONTACT_TIME = 3.0
MEASURED_TIME = 8.0
# Of what the endpoints can do.
OFFERED = 0.8
# The rule allows so many falls, and a tenth of the number of endpoints.
MAX_FALLS = 2


class BrittleEndpoint(PlatformEngine):
    """A plain endpoint with few places, and one in its line once it is brittle."""

    falls = 0
    strict = False
    running = 0
    waiting = 0

    def __post_init__(self) -> None:
        super().__post_init__()
        self.turned_away: deque[float] = deque()
        self.fallen_until = 0.0
        self.free = asyncio.Condition()

    async def serve(self, http: web.Request) -> web.StreamResponse:
        """Run a request, let it wait, or turn it away."""
        now = asyncio.get_running_loop().time()
        if now < self.fallen_until:
            assert http.transport is not None
            http.transport.abort()
            return web.Response()
        if self.running >= PLACES and self.strict and self.waiting >= 1:
            self._turn_away(now)
            return self._add_word(self._reject(http, None))
        self.waiting += 1
        async with self.free:
            await self.free.wait_for(lambda: self.running < PLACES)
            self.running += 1
            self.waiting -= 1
        await asyncio.sleep(WORK_TIME)
        async with self.free:
            self.running -= 1
            self.free.notify()
        return self._add_word(await super().serve(http))

    def _turn_away(self, now: float) -> None:
        self.turned_away.append(now)
        while self.turned_away[0] < now - 1.0:
            self.turned_away.popleft()
        if len(self.turned_away) > BRITTLE:
            self.falls += 1
            self.turned_away.clear()
            self.fallen_until = now + FALL_TIME

    def _add_word(self, answer: web.StreamResponse) -> web.StreamResponse:
        answer.headers["Server-Brittle"] = str(BRITTLE)
        return answer


class BrittleRig(FleetRig):
    """Daemons before brittle endpoints, and clients that come at random."""

    async def add_brittle(self, zone: str) -> BrittleEndpoint:
        self.engine_type = BrittleEndpoint
        engine = await self.add_endpoint(zone)
        assert isinstance(engine, BrittleEndpoint)
        return engine


async def test_brittle_endpoints_do_not_fall_more_often_than_allowed() -> None:
    rig = BrittleRig()
    await rig.serve_store()
    await rig.store.put("config", "main", make_configuration(1, "/a/"))
    try:
        endpoints = [await rig.add_brittle(DATA_CENTRES[n % 2]) for n in range(4)]
        await rig.add_daemons_up_to(DAEMONS)
        await asyncio.sleep(2.0)
        rate = OFFERED * ENDPOINTS * PLACES / WORK_TIME
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.TaskGroup() as sending:
            number = 0
            while loop.time() < began + CONTACT_TIME + MEASURED_TIME:
                number += 1
                for each in endpoints:
                    each.strict = loop.time() > began + CONTACT_TIME
                vm = random.choice(list(rig.daemons))
                sending.create_task(_ask(rig, vm, number))
                await asyncio.sleep(random.expovariate(rate))
        falls = sum(each.falls for each in endpoints)
    finally:
        await rig.close()
    assert falls <= MAX_FALLS + ENDPOINTS / 10


async def _ask(rig: FleetRig, vm: str, number: int) -> None:
    try:
        await rig.ask(vm, "/a/x", request_id=f"b{number}")
    except (OSError, EOFError, TimeoutError):
        return
