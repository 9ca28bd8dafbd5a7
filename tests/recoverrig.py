"""A fleet of which some daemons are cut off from all endpoints, and its clients."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

from bench.faultsoak.cuts import (
    RESOLVER,
    CutMode,
    DaemonPaths,
    Hole,
    redirect_connections,
)
from kestreltally.fleet_daemon import FleetDaemon
from tests.test_fleet_daemon import DATA_CENTRES, MODEL, FleetRig, make_configuration

DAEMONS = 8
# Endpoints of each service in a data centre.
ENDPOINTS = 2
ADAPTERS = 6
MODEL_FRACTION = 0.6
REQUEST_INTERVAL = 0.05
SETTLE_TIME = 2.0
# From this long after the start of a cut, what its daemons serve is compared.
CONTACT_TIME = 3.0
MEASURED_TIME = 4.0
ANSWER_TIME = 1.5


@dataclass(frozen=True)
class FirstTry:
    """A request as a client sent it once."""

    vm: str
    sent_at: float
    served: bool


@dataclass(frozen=True)
class Served:
    """How many first tries there were, and how many of them were served."""

    tries: int
    served: int

    @property
    def fraction(self) -> float:
        return self.served / max(1, self.tries)


class RecoverRig(FleetRig):
    """Daemons with their own paths to the endpoints, and clients of each."""

    def __init__(self) -> None:
        super().__init__()
        self.hole = Hole()
        self.paths: dict[str, DaemonPaths] = {}
        self.tries: list[FirstTry] = []
        self._sent = 0
        self._clients: list[asyncio.Task[None]] = []

    async def start_daemon(self, vm: str) -> None:
        paths = self.paths[vm] = DaemonPaths(self.hole)
        for engine in self.engines:
            host, _, port = engine.address.partition(":")
            await paths.add((host, int(port)))
        # The daemon's tasks inherit the resolver of the task that starts it.
        await asyncio.create_task(self._start_resolved(vm, paths))
        self._clients.append(asyncio.create_task(self._send_requests(vm)))

    async def _start_resolved(self, vm: str, paths: DaemonPaths) -> FleetDaemon:
        RESOLVER.set(paths.resolve)
        return await self.add_daemon(vm, vm.partition("-")[0])

    async def _send_requests(self, vm: str) -> None:
        """Send requests, whether or not earlier ones have been answered."""
        async with asyncio.TaskGroup() as sending:
            while True:
                sending.create_task(self._send_request(vm))
                await asyncio.sleep(random.uniform(0.5, 1.5) * REQUEST_INTERVAL)

    async def _send_request(self, vm: str) -> None:
        sent_at, served = asyncio.get_running_loop().time(), False
        adapter = f"a{random.randrange(ADAPTERS)}"
        to_model = random.random() < MODEL_FRACTION
        # Requests of different contents are blamed one by one.
        self._sent += 1
        path, name = ("/m/", adapter) if to_model else ("/a/", "")
        with suppress(OSError, EOFError, ValueError, TimeoutError):
            reply = await self.ask(vm, f"{path}{self._sent}", name, str(self._sent))
            served = reply.status == 200 and reply.whole
        self.tries.append(FirstTry(vm, sent_at, served))

    def find_leaders(self) -> list[str]:
        return [
            vm
            for vm, daemon in self.daemons.items()
            if any(lease.leads for lease in daemon._leases.values())
        ]

    def count(self, vms: set[str], since: float, until: float) -> Served:
        """Count the first tries at some daemons that were sent in a span."""
        tries = [t for t in self.tries if t.vm in vms and since <= t.sent_at < until]
        return Served(len(tries), sum(each.served for each in tries))

    async def measure_cut(self, vms: set[str], mode: CutMode) -> tuple[Served, Served]:
        """Cut daemons off; return what they served after a while, and the others."""
        for vm in vms:
            self.paths[vm].cut(mode)
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(CONTACT_TIME + MEASURED_TIME)
        # Every request of the span has ended then.
        await asyncio.sleep(ANSWER_TIME)
        span = (began + CONTACT_TIME, began + CONTACT_TIME + MEASURED_TIME)
        return (
            self.count(vms, *span),
            self.count(self.daemons.keys() - vms, *span),
        )

    async def close(self) -> None:
        for client in self._clients:
            client.cancel()
        await asyncio.gather(*self._clients, return_exceptions=True)
        await super().close()
        for paths in self.paths.values():
            paths.close()
        self.hole.close()


@asynccontextmanager
async def run_recover_rig() -> AsyncIterator[RecoverRig]:
    restore = redirect_connections()
    rig = RecoverRig()
    try:
        await rig.serve_store()
        await rig.store.put("config", "main", make_configuration(1, "/a/"))
        for zone in DATA_CENTRES:
            for _ in range(ENDPOINTS):
                await rig.add_endpoint(zone)
                await rig.add_endpoint(zone, MODEL)
        for number in range(DAEMONS):
            zone = DATA_CENTRES[number % len(DATA_CENTRES)]
            await rig.start_daemon(f"{zone}-{number // len(DATA_CENTRES) + 1}")
        await asyncio.sleep(SETTLE_TIME)
        yield rig
    finally:
        await rig.close()
        restore()
