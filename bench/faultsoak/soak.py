"""A running soak: clients that send requests, and steps that disturb the system."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

from bench.faultsoak.checker import Checker
from bench.faultsoak.contact import Scope
from bench.faultsoak.organisations import CHANGING, STEADY
from bench.faultsoak.plan import Action, Step
from bench.faultsoak.streams import StreamClients
from bench.faultsoak.system import (
    Daemon,
    SoakEndpoint,
    SoakSystem,
)
from kestreltally.objectapi.http import open_session

# Requests per second of each daemon's client, and number of adapters that they name.
# There are more adapters than places, so that orders are sent all the time.
RATE: Final = 8.0
# With many daemons each client sends less: this process also runs all stand-ins.
MAX_TOTAL_RATE: Final = 160.0
ADAPTERS: Final = 30
# Fraction of requests for models, and exponent of the Pareto distribution of adapters.
MODEL_FRACTION: Final = 0.6
# Streams that are left in the middle, as a fraction of the requests of other clients.
STREAM_FRACTION: Final = 0.25
ADAPTER_TAIL: Final = 0.8
# Fractions of requests by organisation, in the order in which their keys were issued,
# and fraction of requests that use the key that was revoked last.
ORGANISATION_FRACTIONS: Final = (0.5, 0.25, 0.25)
REVOKED_KEY_FRACTION: Final = 0.4
PROBE_INTERVAL: Final = 0.5
# Planned actions during which all promises must hold.
HARMLESS: Final = frozenset(
    {
        Action.RELOAD,
        Action.ENGINE_LEAVES,
        Action.CONFIGURE,
        Action.VERSION,
        Action.REVOKE,
        Action.POISON,
        Action.LEAVING_NOTICE,
        Action.BACKOFF_NOTICE,
        Action.RATE_LIMIT_NOTICE,
        Action.BRITTLE_NOTICE,
        Action.DEADLY_PART,
        Action.STORE_CHANNELS_SILENT,
        Action.ENGINE_GOES,
        Action.CUT_OFF,
        Action.ODD_ENTRY,
        Action.ENDPOINTS_SILENT,
        Action.ODD_ANSWERS,
        Action.BROKEN_HEADS,
    }
)
STORE_FAULTS: Final = frozenset(
    {
        Action.STORE_DOWN,
        Action.STORE_SLOW,
        Action.STORE_LOSES_ANSWERS,
        Action.STORE_COMPACTS,
        Action.STORE_RESTORED,
    }
)
# Faults of the process of one daemon, or of its path to the store.
DAEMON_FAULTS: Final = frozenset(
    {
        Action.STORE_PATH,
        Action.PAUSE,
        Action.KILL,
        Action.PLANNED_STOP,
        Action.CROWD,
    }
)

Perform = Callable[["Soak", Step], Awaitable[None]]


@dataclass
class Soak:
    """One soak in progress; ``performers`` carry out the actions of its steps."""

    system: SoakSystem
    checker: Checker
    performers: Mapping[Action, Perform] = field(default_factory=dict)
    streams: StreamClients = field(init=False)

    def __post_init__(self) -> None:
        """Add the clients that take their streams up again."""
        self.streams = StreamClients(self.system, self.checker.stream_times)

    def pick_daemon(self, step: Step) -> Daemon:
        """Return the target daemon of a step."""
        return self.system.daemons[step.target % len(self.system.daemons)]

    def pick_endpoint(self, step: Step) -> SoakEndpoint:
        """Return the target endpoint of a step; at least one plain endpoint exists."""
        endpoints = self.system.endpoints
        return endpoints[step.target % len(endpoints)]

    def pick_engine(self, step: Step) -> SoakEndpoint | None:
        """Return the target engine of a step, None while all are down."""
        engines = [e for e in self.system.endpoints if e.engine.service == "models"]
        return engines[step.target % len(engines)] if engines else None

    def get_scope(self, step: Step) -> Scope:
        """Return what the fault of a step concerns, besides what its function records.

        A crash, errors or a change excuse no daemon.
        """
        if step.action in DAEMON_FAULTS:
            return Scope(vms=frozenset({self.pick_daemon(step).vm}))
        if step.action in STORE_FAULTS:
            return Scope(store=True)
        if step.action is Action.ENDPOINT_PATH:
            return Scope(endpoint=self.pick_endpoint(step).engine.id)
        return Scope()

    async def perform(self, step: Step) -> None:
        """Perform a step, and record whom it concerned for how long."""
        clock = asyncio.get_running_loop().time
        began = clock()
        with self.checker.contact.record(self.get_scope(step), clock):
            await self._perform(step)
        if step.action is not Action.ENDPOINTS_SILENT:
            self.checker.other_steps.append((began, clock()))

    async def kill(self, daemons: list[Daemon]) -> None:
        """Kill daemons at once, and wait until they have been restarted."""
        scope = Scope(vms=frozenset(each.vm for each in daemons))
        with self.checker.contact.record(scope, asyncio.get_running_loop().time):
            # One that is down already may start again before anybody waits for it.
            boots = [daemon.boots for daemon in daemons]
            for daemon in daemons:
                daemon.signal(signal.SIGKILL)
            await asyncio.gather(*map(self.system.wait_for_restart, daemons, boots))

    async def _perform(self, step: Step) -> None:
        if step.action in HARMLESS:
            await self.performers[step.action](self, step)
            return
        clock = asyncio.get_running_loop().time
        began = clock()
        # The end is unknown until the step is over.
        span = (began, float("inf"))
        self.checker.disturbances.append(span)
        await self.performers[step.action](self, step)
        self.checker.disturbances.remove(span)
        ended = clock()
        self.checker.disturbances.append((began, ended))
        if step.action is Action.PLANNED_STOP:
            self.checker.stops.append((self.pick_daemon(step), began, ended))
        if step.action in (Action.PAUSE, Action.STORE_PATH, Action.ENDPOINT_PATH):
            self.checker.healed.append(ended)

    async def send_requests(self, daemon: Daemon, seed: int) -> None:
        """Send requests to a daemon continuously, over persistent connections."""
        draw = random.Random(seed)
        rate = min(RATE, MAX_TOTAL_RATE / len(self.system.daemons))
        async with open_session() as http:
            pending: set[asyncio.Task[object]] = set()
            while True:
                adapter = ""
                path = "/plain/"
                if draw.random() < MODEL_FRACTION:
                    number = int(draw.paretovariate(ADAPTER_TAIL))
                    adapter = f"a{min(ADAPTERS, number)}"
                    path = "/models/"
                key = self.pick_key(draw)
                sending = self.checker.insist(http, daemon, path, adapter, key)
                task = asyncio.create_task(sending)
                pending.add(task)
                task.add_done_callback(pending.discard)
                await asyncio.sleep(draw.expovariate(rate))

    async def send_streams(self, daemon: Daemon, seed: int) -> None:
        """Begin streams at a daemon that their clients leave and take up again."""
        draw = random.Random(f"streams {seed}")
        rate = STREAM_FRACTION * min(RATE, MAX_TOTAL_RATE / len(self.system.daemons))
        async with open_session() as http, asyncio.TaskGroup() as sending:
            while True:
                adapter = f"a{min(ADAPTERS, int(draw.paretovariate(ADAPTER_TAIL)))}"
                key = self.system.keys.current[STEADY]
                sending.create_task(self.streams.run(http, daemon, adapter, key))
                await asyncio.sleep(draw.expovariate(rate))

    def pick_key(self, draw: random.Random) -> str:
        """Return the key of a random organisation, sometimes a revoked one."""
        keys = self.system.keys
        (name,) = draw.choices(list(keys.current), ORGANISATION_FRACTIONS)
        if (
            name == CHANGING
            and keys.revoked_at
            and draw.random() < REVOKED_KEY_FRACTION
        ):
            return list(keys.revoked_at)[-1]
        return keys.current[name]

    async def probe(self, daemon: Daemon) -> None:
        """Probe continuously which configuration a daemon applies."""
        async with open_session() as http:
            while True:
                await self.checker.probe_configuration(http, daemon)
                await asyncio.sleep(PROBE_INTERVAL)
