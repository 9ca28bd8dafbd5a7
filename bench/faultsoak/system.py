"""The system under soak: daemon processes, with stand-ins for their environment.

The store and the endpoints run in this process, so that their records can be checked
directly. Each daemon connects to the store through its own proxy, and all daemons
connect to an endpoint through the endpoint's proxy.
"""

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from aiohttp import web

from bench.cluster import REPOSITORY
from bench.faultsoak.cuts import DaemonPaths, Hole
from bench.faultsoak.organisations import (
    CHANGING,
    SOAK_BOUNDS,
    Keys,
)
from bench.faultsoak.proxy import HOST, Proxy
from bench.fleet_demo import (
    BOUNDS,
    CONFIGURATION,
    DATA_CENTRES,
    MODEL,
    make_route,
    make_settings,
)
from kestreltally.platform.documents import LEASE_KIND
from standins.platform_engine import PlatformEngine, make_engine_app
from standins.platform_store import PlatformStore, make_store_app

PORTS_PER_DAEMON: Final = 10
# Number of endpoints of each service in one data centre.
ENDPOINTS: Final = {"models": 2, "plain": 1}
# The objective of routes whose sound endpoints fall silent for longer, milliseconds.
SHORT_OBJECTIVE: Final = 300
# Streams take a third of a second, so that some are in flight at each fault.
EVENT_TIME: Final = 0.06
# The versions of the endpoints' software: each new one takes the next.
SOFTWARE: Final = ("v1", "v2")
# Delay before the platform restarts a daemon.
RESTART_DELAY: Final = 0.4
WATCH_INTERVAL: Final = 0.02
# How long a heartbeat may be on its way to the store beside load.
HEARTBEAT_TRANSIT: Final = 0.5
# Delay before an engine that a request has crashed is restarted.
CRASH_RESTART_DELAY: Final = 1.0
# A planned stop exits with 0, or by its signal if the daemon had only just started.
EXPECTED_EXIT_CODES: Final = frozenset({0, -signal.SIGKILL, -signal.SIGTERM})


@dataclass(frozen=True, slots=True)
class VmLimits:
    """The memory of a daemon's VM, in megabytes, and its process's descriptors."""

    memory_mb: float
    descriptors: int


@dataclass
class Daemon:
    """One daemon's addresses and files, and its current process."""

    vm: str
    data_centre: str
    port: int
    store: Proxy
    log: Path
    process: subprocess.Popen[bytes] | None = None
    boots: int = 0
    resumed_at: float = float("-inf")
    # Its own proxies before the endpoints, None if all daemons share one each.
    paths: DaemonPaths | None = None

    @property
    def url(self) -> str:
        """Return the clients' URL."""
        return f"http://{HOST}:{self.port}"

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


def read_peak_mb(daemon: Daemon) -> float:
    """Return the most memory that a daemon's process has held, in 2^20 bytes."""
    assert daemon.process is not None
    status = Path(f"/proc/{daemon.process.pid}/status").read_text(encoding="utf-8")
    (line,) = (each for each in status.splitlines() if each.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


@dataclass
class SoakEndpoint:
    """One incarnation of an endpoint behind its proxy."""

    engine: PlatformEngine
    proxy: Proxy
    runner: web.AppRunner
    leaving_at: float | None = None
    # Time of its first leaving notice in answers.
    announced_at: float | None = None
    # Time at which its entry went.
    gone_at: float | None = None


@dataclass
class SoakSystem:
    """All running processes and servers, and all endpoints that have ever run."""

    directory: Path
    base_port: int
    source: Path = REPOSITORY / "src"
    checks_keys: bool = True
    # Whether daemons can be cut off from all endpoints.
    has_own_paths: bool = False
    # Whether sound endpoints fall silent for longer than their route's objective.
    has_silences: bool = False
    # The limits of each VM, None if they are not named in the settings.
    vm_limits: VmLimits | None = None
    # What operators allow clients to send, where it differs from the demo's.
    client_limits: dict[str, int] = field(default_factory=dict)
    daemons: list[Daemon] = field(default_factory=list)
    endpoints: list[SoakEndpoint] = field(default_factory=list)
    removed_endpoints: list[SoakEndpoint] = field(default_factory=list)
    store: PlatformStore = field(default_factory=lambda: PlatformStore({}))
    store_port: int = 0
    version: int = 1
    configured_at: float = 0.0
    newest_versions: dict[str, int] = field(default_factory=dict)
    keys: Keys = field(default_factory=Keys)
    unexpected_exits: list[str] = field(default_factory=list)
    _runner: web.AppRunner | None = None
    _hole: Hole | None = None
    _crashes: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def all_endpoints(self) -> list[SoakEndpoint]:
        """Return all incarnations of endpoints, including removed ones."""
        return [*self.endpoints, *self.removed_endpoints]

    async def start(self, daemons: int) -> None:
        """Start everything."""
        self._runner, self.store_port = await _serve(make_store_app(self.store))
        await self.configure()
        for zone in DATA_CENTRES:
            for service, count in ENDPOINTS.items():
                for _ in range(count):
                    await self.add_endpoint(service, zone)
        for number in range(daemons):
            await self._add_daemon(number)

    async def _add_daemon(self, number: int) -> None:
        store = Proxy(self.store_port)
        await store.start()
        vm = f"vm-{number}"
        daemon = Daemon(
            vm=vm,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            port=self.base_port + PORTS_PER_DAEMON * number,
            store=store,
            log=self.directory / f"{vm}.log",
        )
        if self.has_own_paths:
            self._hole = self._hole or Hole()
            daemon.paths = DaemonPaths(self._hole)
            for endpoint in self.endpoints:
                await daemon.paths.add((HOST, endpoint.proxy.port))
            self.write_paths(daemon)
        self.daemons.append(daemon)
        self.boot(daemon)

    def write_paths(self, daemon: Daemon) -> None:
        """Write the table by which a daemon's connections are directed."""
        if daemon.paths is not None:
            path = self._get_paths_file(daemon)
            written = path.with_suffix(".new")
            written.write_text(json.dumps(daemon.paths.make_table()), encoding="utf-8")
            written.replace(path)

    def _get_paths_file(self, daemon: Daemon) -> Path:
        return self.directory / f"{daemon.vm}.paths"

    def _make_command(self, daemon: Daemon) -> list[str]:
        program = str(self.source / "kestreltally_fleet.py")
        if daemon.paths is None:
            return [sys.executable, program]
        paths = str(self._get_paths_file(daemon))
        return [sys.executable, "-m", "bench.faultsoak.launch", paths, program]

    def boot(self, daemon: Daemon) -> None:
        """Start a daemon's process."""
        bounds = SOAK_BOUNDS if self.checks_keys else BOUNDS
        settings = make_settings(
            daemon.vm, daemon.data_centre, daemon.port, daemon.store.port, bounds
        )
        if self.vm_limits is not None:
            settings["Limits"]["MemoryMb"] = self.vm_limits.memory_mb
            settings["Limits"]["FileDescriptors"] = self.vm_limits.descriptors
        path = self.directory / f"{daemon.vm}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        environment = {**os.environ, "PYTHONPATH": str(self.source)}
        environment["KESTRELTALLY_CONFIG"] = str(path)
        with daemon.log.open("ab") as log:
            daemon.process = subprocess.Popen(
                self._make_command(daemon),
                stdout=log,
                stderr=log,
                cwd=REPOSITORY,
                env=environment,
            )
        if self.vm_limits is not None:
            limit = self.vm_limits.descriptors
            resource.prlimit(daemon.process.pid, resource.RLIMIT_NOFILE, (limit, limit))
        daemon.boots += 1

    async def supervise(self, daemon: Daemon) -> None:
        """Restart a daemon whenever its process has exited, as the platform does."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL)
            if daemon.process is None or daemon.process.poll() is None:
                continue
            if daemon.process.returncode not in EXPECTED_EXIT_CODES:
                self.unexpected_exits.append(
                    f"{daemon.vm} exited with {daemon.process.returncode}"
                )
            await asyncio.sleep(RESTART_DELAY)
            self.boot(daemon)

    async def wait_for_restart(self, daemon: Daemon, boots: int | None = None) -> None:
        """Wait until a daemon that is being stopped has been restarted.

        ``boots`` is the number of its starts before it was stopped, by default now.
        """
        before = daemon.boots if boots is None else boots
        while daemon.boots == before:
            await asyncio.sleep(WATCH_INTERVAL)

    async def add_endpoint(
        self,
        service: str,
        zone: str,
        restarted: PlatformEngine | None = None,
        software: str | None = None,
    ) -> SoakEndpoint:
        """Start an endpoint behind a proxy, one that is ``restarted`` under its id.

        Without ``software`` the next version is chosen.
        """
        engine = PlatformEngine(
            store=f"http://{HOST}:{self.store_port}",
            service=service,
            address="",
            zone=zone,
            model=MODEL if service == "models" else "",
            newest_versions=self.newest_versions,
            event_time=EVENT_TIME,
            undelimited=len(self.all_endpoints) % 2 == 1,
            software=software or self._choose_software(service),
        )
        if restarted is not None:
            engine.id = restarted.id
            engine.born = max(engine.born, restarted.born + 1)
        proxy = Proxy()
        engine.address = f"{HOST}:{await proxy.start()}"
        runner, proxy.target = await _serve(make_engine_app(engine))
        endpoint = SoakEndpoint(engine, proxy, runner)
        engine.crash = lambda: self._start_crash(endpoint)
        self.endpoints.append(endpoint)
        for daemon in self.daemons:
            if daemon.paths is not None:
                await daemon.paths.add((HOST, proxy.port))
                self.write_paths(daemon)
        return endpoint

    def _choose_software(self, service: str) -> str:
        before = sum(e.engine.service == service for e in self.all_endpoints)
        return SOFTWARE[before % len(SOFTWARE)]

    def _start_crash(self, endpoint: SoakEndpoint) -> None:
        task = asyncio.create_task(self._crash(endpoint))
        self._crashes.add(task)
        task.add_done_callback(self._crashes.discard)

    async def _crash(self, endpoint: SoakEndpoint) -> None:
        """Crash an engine and restart it, alternately under its own id and a new one.

        Under its own id the entry remains in the store and is overwritten.
        """
        if endpoint not in self.endpoints:
            return
        self.endpoints.remove(endpoint)
        self.removed_endpoints.append(endpoint)
        self._close_paths(endpoint)
        await endpoint.runner.cleanup()
        await asyncio.sleep(CRASH_RESTART_DELAY)
        before = endpoint.engine
        if len(self.removed_endpoints) % 2:
            await self.store.drop("servers", before.id)
            await self.add_endpoint(before.service, before.zone)
        else:
            await self.add_endpoint(before.service, before.zone, restarted=before)

    def _close_paths(self, endpoint: SoakEndpoint) -> None:
        for daemon in self.daemons:
            if daemon.paths is not None:
                daemon.paths.remove((HOST, endpoint.proxy.port))
        endpoint.proxy.close()

    async def remove_endpoint(self, endpoint: SoakEndpoint) -> None:
        """Stop an endpoint at once and remove its entry from the store."""
        if endpoint not in self.endpoints:
            return
        self.endpoints.remove(endpoint)
        self.removed_endpoints.append(endpoint)
        self._close_paths(endpoint)
        await endpoint.runner.cleanup()
        await self.store.drop("servers", endpoint.engine.id)

    async def withdraw_entry(self, endpoint: SoakEndpoint, duration: float) -> None:
        """Remove an endpoint's entry; the endpoint serves on without writing it."""
        endpoint.engine.pause_heartbeats(duration + 2 * HEARTBEAT_TRANSIT)
        # A heartbeat that was on its way writes the entry once more.
        await asyncio.sleep(HEARTBEAT_TRANSIT)
        await self.store.drop("servers", endpoint.engine.id)
        endpoint.gone_at = asyncio.get_running_loop().time()

    def is_listed_as_leaving(self, endpoint: SoakEndpoint) -> bool:
        """Return whether the store has acknowledged that an endpoint leaves."""
        entry = self.store.find("servers", endpoint.engine.id)
        return entry is not None and entry["State"] == "draining"

    def find_leader(self, zone: str) -> Daemon | None:
        """Return the daemon that holds the lease of a data centre by the store."""
        record = self.store.find(LEASE_KIND, zone)
        holder = record["holder"] if record is not None else None
        return next((each for each in self.daemons if each.vm == holder), None)

    async def configure(self) -> None:
        """Write the configuration; its probe route is named after its version."""
        routes = [
            make_route(f"/v{self.version}/", "plain", "unsafe"),
            make_route("/plain/", "plain", "unsafe"),
            make_route("/models/", "models", "streaming"),
        ]
        if self.has_silences:
            routes = [{**each, "ObjectiveMs": SHORT_OBJECTIVE} for each in routes]
        content: dict[str, Any] = {
            **CONFIGURATION,
            "Version": self.version,
            "Routes": routes,
            "Limits": {**CONFIGURATION["Limits"], **self.client_limits},
        }
        if self.checks_keys:
            content["Tenants"] = self.keys.encode()
        await self.store.put("config", "main", content)
        self.configured_at = asyncio.get_running_loop().time()

    async def revoke(self) -> None:
        """Revoke a key and issue another to its organisation, if keys are checked."""
        if not self.checks_keys:
            return
        before = self.keys.issue(CHANGING)
        self.version += 1
        await self.configure()
        self.keys.revoked_at[before] = self.configured_at
        self.keys.issued_at[self.keys.current[CHANGING]] = self.configured_at

    async def publish_version(self, adapter: str) -> None:
        """Write a new version of an adapter to the store."""
        number = self.newest_versions.get(adapter, 1) + 1
        self.newest_versions[adapter] = number
        await self._write_version(adapter, number)

    async def _write_version(self, adapter: str, number: int) -> None:
        content = {"Model": MODEL, "Adapter": adapter, "Version": number}
        await self.store.put("versions", f"{MODEL}.{adapter}", content)

    async def rewrite_objects(self) -> None:
        """Write the operators' objects again, which the store may have lost."""
        began = self.configured_at
        await self.configure()
        # The first write was acknowledged, so all bounds count from it.
        self.configured_at = began
        for adapter, number in self.newest_versions.items():
            await self._write_version(adapter, number)

    async def close(self) -> None:
        """Stop all processes and servers that this system has started."""
        await asyncio.gather(*self._crashes, return_exceptions=True)
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
            if daemon.process is not None:
                daemon.process.wait()
            daemon.store.close()
            if daemon.paths is not None:
                daemon.paths.close()
        if self._hole is not None:
            self._hole.close()
        for endpoint in list(self.endpoints):
            await self.remove_endpoint(endpoint)
        if self._runner is not None:
            await self._runner.cleanup()


async def _serve(app: web.Application) -> tuple[web.AppRunner, int]:
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    port: int = runner.addresses[0][1]
    return runner, port
