"""A fleet whose engines are paused for a while, and clients that do not come back.

A paused engine writes nothing and goes on as if nothing had been: its connections stay
open, and the operating system accepts new ones.
"""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from standins.platform_engine import PlatformEngine
from tests.entryrig import Reply
from tests.test_fleet_daemon import DATA_CENTRES, MODEL, FleetRig, make_configuration

DAEMONS = 6
ENGINES = 6
ADAPTERS = 6
EVENTS = 60
EVENT_TIME = 0.05
# Streams begin this long after each other.
START_INTERVAL = 0.006
SETTLE_TIME = 2.0


@dataclass(frozen=True)
class Outcome:
    """How many answers were whole, broken off after an event, or refused, by status."""

    whole: int
    broken_off: int
    refused: Counter[int]

    @property
    def answers(self) -> int:
        return self.whole + self.broken_off + self.refused.total()


def read_numbers(reply: Reply) -> list[int]:
    lines = reply.body.decode().splitlines()
    return [json.loads(e[5:])["number"] for e in lines if e.startswith("data:")]


class SilenceRig(FleetRig):
    """Daemons before engines that can be paused."""

    def __init__(
        self, objective: float = 0.3, timeout: float = 15.0, *, resumable: bool = True
    ) -> None:
        super().__init__()
        self.version = 0
        self._route = {
            "ObjectiveMs": 1_000 * objective,
            "TimeoutMs": 1_000 * timeout,
            "Resumable": resumable,
        }

    @property
    def model_engines(self) -> list[PlatformEngine]:
        return [each for each in self.engines if each.model]

    @property
    def run_count(self) -> int:
        return sum(each.runs.total() for each in self.engines)

    async def configure(self) -> None:
        """Write the next configuration, which differs in its version only."""
        self.version += 1
        content: dict[str, Any] = make_configuration(self.version, "/a/")
        for route in content["Routes"]:
            if route["Name"] == "models":
                route.update(self._route)
            else:
                route["Kind"] = "safe"
                route["Attempts"] = 2
        for service in content["Services"]:
            if "Engine" in service:
                service["Engine"]["AdapterSlots"] = ADAPTERS
        await self.store.put("config", "main", content)

    async def stream(self, number: int) -> Reply:
        vms = list(self.daemons)
        await asyncio.sleep(number * START_INTERVAL)
        vm = vms[number % len(vms)]
        adapter = f"a{number % ADAPTERS}"
        return await self.ask(vm, f"/m/{number}", adapter, f"s{number}")

    async def stream_through(self, count: int, pauses: list["Pause"]) -> Outcome:
        """Return how streams end that are under way during some pauses."""
        streams = [asyncio.create_task(self.stream(n)) for n in range(count)]
        began_at = asyncio.get_running_loop().time() + count * START_INTERVAL
        for pause in pauses:
            await asyncio.sleep(began_at + pause.at - asyncio.get_running_loop().time())
            for engine in self.model_engines[: pause.engines]:
                engine.pause(pause.duration)
        return summarise(await asyncio.gather(*streams))


@dataclass(frozen=True)
class Pause:
    """When so many engines are paused, after the last stream has been sent."""

    at: float
    duration: float
    engines: int = ENGINES


def summarise(replies: list[Reply]) -> Outcome:
    whole = broken_off = 0
    refused: Counter[int] = Counter()
    for reply in replies:
        if reply.status != 200:
            refused[reply.status] += 1
            continue
        numbers = read_numbers(reply)
        assert numbers == list(range(1, len(numbers) + 1))
        is_whole = reply.whole and len(numbers) == EVENTS
        whole += is_whole
        broken_off += not is_whole
    return Outcome(whole, broken_off, refused)


@asynccontextmanager
async def run_silence_rig(
    rig: SilenceRig | None = None, engines: int = ENGINES
) -> AsyncIterator[SilenceRig]:
    rig = rig or SilenceRig()
    await rig.serve_store()
    await rig.configure()
    try:
        for number in range(engines):
            zone = DATA_CENTRES[number % len(DATA_CENTRES)]
            engine = await rig.add_endpoint(zone, MODEL)
            engine.places = ADAPTERS
            engine.event_time = EVENT_TIME
        await rig.add_daemons_up_to(DAEMONS)
        await asyncio.sleep(SETTLE_TIME)
        # Every adapter is loaded before the streams begin.
        await asyncio.gather(*(rig.stream(n) for n in range(DAEMONS * ADAPTERS)))
        for engine in rig.model_engines:
            engine.events = EVENTS
        yield rig
    finally:
        await rig.close()
