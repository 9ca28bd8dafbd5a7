"""The daemon ``kestreltallyd``: reads its settings and wires its components."""

import asyncio
import logging
import random
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

import click

from kestreltally.callers.api import CallerApi
from kestreltally.deployment import SocketAddress
from kestreltally.endpoints.engines import HttpEngineClient
from kestreltally.endpoints.services import HttpServiceClient
from kestreltally.entities.ids import DataCentre, Seconds, VmId
from kestreltally.eventloop import run_with_suspensions
from kestreltally.fleet.model import ClientLimits
from kestreltally.ingress.capacity import compute_capacity
from kestreltally.ingress.server import Ingress
from kestreltally.invariants import Invariants
from kestreltally.logs import set_up_logs
from kestreltally.metrics import Metrics
from kestreltally.objectapi.http import open_session
from kestreltally.objectapi.objects import HttpObjectApi
from kestreltally.objectapi.vms import HttpVmList
from kestreltally.operators.api import OperatorApi
from kestreltally.orders import StopRequested
from kestreltally.peers.transport import PeerServer, ThriftTransport
from kestreltally.policies.registry import UnknownPolicy, require_policy
from kestreltally.requests.claims import Claims
from kestreltally.requests.flow import RequestServer
from kestreltally.runtime import Ports, Runtime
from kestreltally.settings import (
    EXIT_INVALID_SETTINGS,
    InvalidSettings,
    Settings,
    load_settings,
)
from kestreltally.systems.hashing import choose_owner
from kestreltally.systems.membership import list_eligible
from kestreltally.timeline.events import Timeline
from kestreltally.world import Identity, World

LOG = logging.getLogger("kestreltally.daemon")
MILLISECONDS: Final = 1000
MEGABYTE: Final = 10**6
STOP_POLL_INTERVAL: Final[Seconds] = 0.05
INGRESS_INTERVAL: Final[Seconds] = 0.1
SWEEP_PERIOD: Final[Seconds] = 300.0
SWEEP_DUTY: Final = "claim-sweep"
SHUTDOWN_TIMEOUT: Final[Seconds] = 1.0
EXIT_CANNOT_LISTEN: Final = 3
EXIT_FAILED: Final = 4


def make_world(
    settings: Settings, now: Seconds, wall_clock: Callable[[], float]
) -> World:
    """Return the empty tables of a daemon that is starting."""
    incarnation = int(wall_clock() * MILLISECONDS)
    identity = Identity(
        vm=VmId(settings.vm),
        host=settings.peers.host,
        port=settings.peers.port,
        data_centre=DataCentre(settings.data_centre),
        incarnation=incarnation,
    )
    return World(
        identity=identity,
        settings=settings,
        random=random.Random(f"{settings.vm}/{incarnation}"),
        events=Timeline(settings.vm, incarnation, settings.timeline_events, wall_clock),
        invariants=Invariants(raises=settings.invariants == "raise"),
        now=now,
        started_at=now,
        last_step=now,
    )


class Daemon:
    """One running daemon."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._session = open_session()
        platform = settings.platform
        objects = HttpObjectApi(
            self._session,
            platform.object_api,
            platform.object_api_timeout,
        )
        self._transport = ThriftTransport()
        ports = Ports(
            objects=objects,
            vms=HttpVmList(self._session, platform.vm_list),
            engines=HttpEngineClient(self._session),
            services=HttpServiceClient(self._session),
            peers=self._transport,
        )
        now = asyncio.get_running_loop().time()
        self._runtime = Runtime(make_world(settings, now, time.time), ports)
        self._claims = Claims(objects)
        self._requests = RequestServer(self._runtime, self._claims)
        metrics = Metrics()
        callers = CallerApi(self._runtime, self._requests, metrics)
        self._operators = OperatorApi(self._runtime, self._requests, metrics)
        self._callers_app = callers.make_app()
        limits = settings.limits
        client_limits = ClientLimits(
            limits.header_bytes, limits.body_bytes, limits.idle, limits.idle
        )
        self._ingress = Ingress(
            compute_capacity(limits.memory_mb * MEGABYTE, limits.descriptors),
            asyncio.get_running_loop().time,
            lambda: client_limits,
        )
        self._ingress_task: asyncio.Task[None] | None = None
        self._peers = PeerServer(self._runtime.receive)
        self._sweep_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on all addresses; raises ``OSError`` if one is in use."""
        settings = self._settings
        await self._peers.start(settings.peers.host, settings.peers.port)
        capacity = self._ingress.capacity
        await self._ingress.listen_for_app(
            "operators",
            self._operators.make_app(),
            SocketAddress(settings.operators.host, settings.operators.port),
            capacity.service,
        )
        await self._ingress.listen_for_app(
            "callers",
            self._callers_app,
            SocketAddress(settings.callers.host, settings.callers.port),
            capacity.clients,
            settings.limits.header_bytes,
            SHUTDOWN_TIMEOUT,
            handler_cancellation=True,
            keepalive_timeout=settings.limits.idle,
        )
        self._ingress_task = asyncio.create_task(self._maintain_ingress())
        self._runtime.start()
        self._sweep_task = asyncio.create_task(self._sweep_claims())
        LOG.info(
            "daemon: %s serves callers on port %d", settings.vm, settings.callers.port
        )

    async def _maintain_ingress(self) -> None:
        """Close connections whose clients have left, or send nothing in time."""
        while True:
            await asyncio.sleep(INGRESS_INTERVAL)
            self._ingress.run_maintenance()

    async def _sweep_claims(self) -> None:
        """Delete expired claims periodically, while this daemon owns the sweep duty."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD)
            world = self._runtime.world
            if choose_owner(SWEEP_DUTY, list_eligible(world)) != world.identity.vm:
                continue
            try:
                retention = self._settings.limits.claim_retention
                deleted = await self._claims.sweep(retention)
                LOG.info("daemon: deleted %d expired claims", deleted)
            except Exception as error:
                LOG.warning("daemon: expired claims not deleted: %s", error)

    async def run_until(self, stop: asyncio.Event) -> bool:
        """Serve until a stop is requested, then stop gracefully.

        Return False if a task of the runtime failed: a daemon without a running tick
        must exit, so that its replacement starts from a clean state.
        """
        stop_requested = asyncio.create_task(stop.wait())
        failed = asyncio.create_task(self._runtime.failed.wait())
        await asyncio.wait(
            {stop_requested, failed}, return_when=asyncio.FIRST_COMPLETED
        )
        succeeded = not self._runtime.failed.is_set()
        if succeeded:
            await self.stop()
        stop_requested.cancel()
        failed.cancel()
        return succeeded

    async def stop(self) -> None:
        """Stop gracefully: hand over leadership, and finish running requests."""
        world = self._runtime.world
        LOG.info("daemon: planned stop begins")
        self._operators.ready = False
        self._runtime.post(StopRequested())
        await asyncio.sleep(self._settings.stop_notice)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._settings.stop_limit
        while loop.time() < deadline:
            others = len(list_eligible(world))
            handed_over = not world.leaders.led_endpoints or not others
            if handed_over and not self._requests.live and not world.entry.held:
                break
            await asyncio.sleep(STOP_POLL_INTERVAL)
        self._requests.is_accepting = False
        LOG.info(
            "daemon: planned stop ends with %d requests and %d endpoints left",
            len(self._requests.live),
            len(world.leaders.led_endpoints),
        )

    async def close(self) -> None:
        """Close all connections and cancel all tasks."""
        for task in (self._sweep_task, self._ingress_task):
            if task is not None:
                task.cancel()
        await self._ingress.close()
        await self._runtime.stop()
        await self._peers.stop()
        await self._transport.close()
        await self._session.close()


async def run_daemon(settings: Settings) -> int:
    """Run until a signal; return the exit status. A second signal exits immediately."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def handle_signal() -> None:
        if stop.is_set():
            LOG.warning("daemon: second signal, exiting immediately")
            sys.exit(1)
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle_signal)
    daemon = Daemon(settings)
    try:
        await daemon.start()
    except OSError as error:
        LOG.error("daemon: cannot listen: %s", error)
        await daemon.close()
        return EXIT_CANNOT_LISTEN
    succeeded = await daemon.run_until(stop)
    await daemon.close()
    LOG.info("daemon: stopped")
    return 0 if succeeded else EXIT_FAILED


def read_checked_settings(path: Path) -> Settings:
    """Return the settings of a file, with the policy's name checked.

    Raises ``InvalidSettings``.
    """
    settings = load_settings(path)
    try:
        require_policy(settings.placement.policy)
    except UnknownPolicy as error:
        raise InvalidSettings(f"{path}: {error}") from error
    return settings


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="The YAML file with the daemon's settings.",
)
@click.option("--check", is_flag=True, help="Only check the settings.")
def main(path: Path, check: bool) -> None:
    """Run a kestreltally daemon."""
    try:
        settings = read_checked_settings(path)
    except InvalidSettings as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    if check:
        click.echo(f"{path}: the settings are good")
        return
    set_up_logs(settings.logging, settings.vm)
    sys.exit(run_with_suspensions(run_daemon(settings)))


if __name__ == "__main__":
    main()
