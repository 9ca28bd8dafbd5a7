"""A fleet whose endpoints leave while daemons or their paths to the store fail.

Each daemon has its own path to the store, and a client that sends requests all the
time. A witness finds the last request that reached an endpoint after it had left.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from bench.faultsoak.proxy import Proxy, ProxyMode
from standins.platform_engine import PlatformEngine
from tests.entryrig import BOUNDS
from tests.test_fleet_daemon import DATA_CENTRES, FleetRig, make_configuration

DAEMONS = 8
ENDPOINTS = 2
REQUEST_INTERVAL = 0.03
SETTLE_TIME = 1.6
HEARTBEAT_TRANSIT = 0.15
# The witness looks for this long after an endpoint has left.
WATCHED_TIME = 2.5 * BOUNDS.drain


class DrainRig(FleetRig):
    """Daemons with their own paths to the store, their clients, and a witness."""

    def __init__(self) -> None:
        super().__init__()
        self.paths: dict[str, Proxy] = {}
        self._clients: dict[str, asyncio.Task[None]] = {}

    async def start_daemon(self, vm: str) -> None:
        """Start a daemon, or start it again, and its client."""
        if vm not in self.paths:
            self.paths[vm] = Proxy(self.store_port)
            await self.paths[vm].start()
        data_centre = vm.partition("-")[0]
        await self.add_daemon(vm, data_centre, store_port=self.paths[vm].port)
        self._clients[vm] = asyncio.create_task(self._send_requests(vm))

    async def kill_daemon(self, vm: str) -> None:
        self._clients.pop(vm).cancel()
        await self.daemons.pop(vm).close()

    async def restart(self, vms: list[str]) -> None:
        """Kill daemons at once, and start them again."""
        await asyncio.gather(*(self.kill_daemon(vm) for vm in vms))
        await asyncio.gather(*(self.start_daemon(vm) for vm in vms))

    async def _send_requests(self, vm: str) -> None:
        number = 0
        while True:
            number += 1
            with suppress(OSError, EOFError, ValueError, IndexError, TimeoutError):
                await self.ask(vm, "/a/x", request_id=f"{vm}/{number}")
            await asyncio.sleep(random.uniform(0.5, 1.5) * REQUEST_INTERVAL)

    def find_leader(self, data_centre: str) -> str:
        for vm, daemon in self.daemons.items():
            if daemon._leases[data_centre].leads:
                return vm
        raise AssertionError(f"no leader of {data_centre}")

    def pick_victim(self, data_centre: str) -> PlatformEngine:
        return next(e for e in self.engines if e.zone == data_centre)

    async def leave(self, victim: PlatformEngine, *, says_so: bool) -> float:
        """Have an endpoint leave; return when the store has acknowledged it."""
        if says_so:
            victim.state = "draining"
            while not await self._is_listed_as_leaving(victim):
                await asyncio.sleep(0.005)
        else:
            victim.pause_heartbeats(60.0)
            # A heartbeat that is on its way would write the entry once more.
            await asyncio.sleep(HEARTBEAT_TRANSIT)
            await self.store.drop("servers", victim.id)
        self.engines.remove(victim)
        return asyncio.get_running_loop().time()

    async def _is_listed_as_leaving(self, victim: PlatformEngine) -> bool:
        entry = self.store.find("servers", victim.id)
        return entry is not None and entry["State"] == "draining"

    async def find_last_arrival(
        self, victim: PlatformEngine, left_at: float, out_of_touch: str = ""
    ) -> float:
        """Return how late the last request of a daemon in touch reached an endpoint."""
        await asyncio.sleep(WATCHED_TIME)
        entry = self.store.find("servers", victim.id)
        assert entry is None or entry["State"] == "draining", "it was listed again"
        late = [
            at - left_at
            for at, name in victim.requests
            if name.partition("/")[0] != out_of_touch
        ]
        return max(late, default=0.0)

    async def close(self) -> None:
        for client in self._clients.values():
            client.cancel()
        await super().close()
        for path in self.paths.values():
            path.close()

    def set_paths(self, mode: ProxyMode) -> None:
        for path in self.paths.values():
            path.set_mode(mode)


@asynccontextmanager
async def run_drain_rig() -> AsyncIterator[DrainRig]:
    rig = DrainRig()
    await rig.serve_store()
    await rig.store.put("config", "main", make_configuration(1, "/a/"))
    for zone in DATA_CENTRES:
        for _ in range(ENDPOINTS):
            await rig.add_endpoint(zone)
    try:
        for number in range(DAEMONS):
            zone = DATA_CENTRES[number % len(DATA_CENTRES)]
            await rig.start_daemon(f"{zone}-{number // len(DATA_CENTRES) + 1}")
        await asyncio.sleep(SETTLE_TIME)
        yield rig
    finally:
        await rig.close()
