"""The daemon on the users' platform: reads its settings and wires the parts.

All daemons are alike. Each is an entry for clients; one at a time holds the lease and
places adapters. The leader watches endpoints and versions in the store and feeds them
to the others; a daemon that does not hear it watches for itself.
"""

import asyncio
import logging
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any, Final
from uuid import uuid4

from aiohttp import ClientSession

from kestreltally.deployment import Deployment, Listening
from kestreltally.entry.health import HealthTable
from kestreltally.entry.relay import Relay
from kestreltally.entry.retries import RetryBudget
from kestreltally.entry.surface import EntrySurface
from kestreltally.entry.upstream import ChannelPool
from kestreltally.fleet.model import (
    Configuration,
    Endpoint,
    EndpointId,
    Seconds,
    WeightsKey,
)
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.feed import FeedServer, LeaderState
from kestreltally.knowledge.followers import (
    ConfigurationFollower,
    EndpointsFollower,
    VersionsFollower,
)
from kestreltally.knowledge.following import FeedClient
from kestreltally.knowledge.frames import IDL
from kestreltally.knowledge.rows import (
    decode_demand,
    decode_endpoint,
    decode_use,
    decode_weights,
    encode_demand,
    encode_use,
)
from kestreltally.knowledge.watching import KindWatch
from kestreltally.logs import set_up_structured_logs
from kestreltally.placing.leader import Leader
from kestreltally.placing.lease import Lease
from kestreltally.placing.orders import EngineCaller
from kestreltally.platform.documents import (
    CONFIGURATION_KIND,
    ENDPOINTS_KIND,
    VERSIONS_KIND,
)
from kestreltally.platform.settings import (
    BadDeployment,
    find_settings_path,
    load_deployment,
)
from kestreltally.platform.store import Store, open_store_session

LOG = logging.getLogger("kestreltally.daemon")

EXIT_BAD_SETTINGS: Final = 2
EXIT_CANNOT_LISTEN: Final = 3
HOUSEKEEPING_EVERY: Final[Seconds] = 0.1
RESTART_PAUSE: Final[Seconds] = 0.2
# Changes of endpoints within this time come in one answer of the store.
ENDPOINTS_GAP: Final[Seconds] = 0.15
VERSIONS_GAP: Final[Seconds] = 0.1
CONFIGURATION_GAP: Final[Seconds] = 0.1
# A leader whose own knowledge of endpoints is older than this is not relied upon.
FEED_AGE_LIMIT: Final[Seconds] = 1.0
# The balancer asks each second and takes a daemon out after two misses.
STOP_LEAST: Final[Seconds] = 3.2
# What is left of the grace time when the last requests are cut.
STOP_MARGIN: Final[Seconds] = 0.4
STOP_CHECK: Final[Seconds] = 0.05


class FleetDaemon:
    """One running daemon."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        loop = asyncio.get_running_loop()
        self._clock = loop.time
        self._session: ClientSession = open_store_session()
        self._store = Store(self._session, deployment.store)
        self._fleet = Fleet()
        self._pool = ChannelPool()
        self._control_pool = ChannelPool()
        self._relay = Relay(
            deployment.data_centre,
            self._fleet,
            self._pool,
            HealthTable(),
            RetryBudget(deployment.bounds),
        )
        self._surface = EntrySurface(self._fleet, self._relay)
        self._lease = Lease(
            self._store,
            deployment.vm,
            uuid4().hex,
            deployment.peers,
            deployment.bounds.lease,
            self._clock,
        )
        caller = EngineCaller(
            self._control_pool,
            deployment.vm,
            self._lease.may_order,
            lambda: self._lease.fence,
            self._clock,
        )
        self._leader = Leader(
            self._fleet,
            self._lease,
            caller,
            deployment.bounds,
            self._clock,
            self._publish,
        )
        self._make_watches()
        self._feed = FeedServer(
            self._make_state,
            lambda: self._fleet.endpoints,
            lambda: {k: v.number for k, v in self._fleet.versions.items()},
            self._take_report,
        )
        self._feed.own_in_flight = self._relay.health.count_in_flight
        self._client = FeedClient(
            self._find_leader, self._make_report, self._take_update, self._clock
        )
        self._lease.leader_heard = self._client.is_alive
        self._relay.hurry = self._client.hurry
        self._reported: dict[EndpointId, int] = {}
        self._feed_age: Seconds = float("inf")
        self._led = False
        self._tasks: list[asyncio.Task[None]] = []

    def _make_watches(self) -> None:
        self._configuration = ConfigurationFollower(self._take_configuration)
        self._endpoints = EndpointsFollower(
            self._put_endpoint,
            self._drop_endpoint,
            self._clock,
            lambda: self._endpoints_watch.returned_at,
        )
        self._versions = VersionsFollower(self._take_version)
        self._configuration_watch = KindWatch(
            self._store,
            CONFIGURATION_KIND,
            self._configuration,
            CONFIGURATION_GAP,
            self._clock,
        )
        self._endpoints_watch = KindWatch(
            self._store, ENDPOINTS_KIND, self._endpoints, ENDPOINTS_GAP, self._clock
        )
        self._versions_watch = KindWatch(
            self._store, VERSIONS_KIND, self._versions, VERSIONS_GAP, self._clock
        )

    # What the store and the feed tell.

    def _take_configuration(self, configuration: Configuration) -> bool:
        return self._fleet.take_configuration(configuration)

    def _put_endpoint(self, endpoint: Endpoint) -> None:
        if self._lease.leads:
            self._leader.put_endpoint(endpoint)
        else:
            self._put_row(endpoint)

    def _put_row(self, endpoint: Endpoint) -> None:
        self._fleet.put_endpoint(endpoint)
        self._relay.waiters.wake(endpoint.weights)

    def _publish(self, endpoint: Endpoint) -> None:
        """Take a row of the leader's books in, and feed it to the others."""
        self._put_row(endpoint)
        self._feed.note_changed(endpoint.id)

    def _drop_endpoint(self, endpoint: EndpointId) -> None:
        self._leader.drop_endpoint(endpoint)
        self._fleet.drop_endpoint(endpoint)
        self._relay.health.forget(endpoint)
        self._feed.note_changed(endpoint)

    def _take_version(self, key: WeightsKey, number: int) -> None:
        if self._fleet.take_version(key, number, self._clock()):
            self._feed.note_version(key, number)

    def _take_report(self, report: Any) -> None:
        if not self._lease.leads:
            return
        told = [decode_demand(each) for each in report.demand or ()]
        self._leader.take_demand(report.vm, report.data_centre, told)
        uses = [decode_use(each) for each in report.uses or ()]
        self._leader.uses[report.vm] = {(e, key): count for e, key, count in uses}
        for row in report.refused or ():
            endpoint, key, _ = decode_use(row)
            self._leader.note_refused(endpoint, key)

    def _take_update(self, update: Any) -> None:
        if update.whole:
            present = {each.id for each in update.rows}
            for endpoint in [e for e in self._fleet.endpoints if e not in present]:
                self._fleet.drop_endpoint(endpoint)
        for row in update.rows or ():
            self._put_row(decode_endpoint(row))
        for name in update.gone or ():
            self._drop_endpoint(EndpointId(name))
        for each in update.versions or ():
            self._take_version(*decode_weights(each))
        self._feed_age = update.store_age
        self._lease.note_revision(update.revision)
        self._relay.load_wait = update.load_wait
        self._relay.budget.daemons = update.daemons
        totals = {EndpointId(k): v for k, v in (update.in_flight or {}).items()}
        self._relay.others = _subtract(totals, self._reported)
        if update.configuration:
            self._configuration.take_document(_read_json(update.configuration))

    def _make_report(self) -> Any:
        self._reported = self._relay.health.count_in_flight()
        demand = self._relay.demand
        configuration = self._fleet.configuration
        return IDL.Report(
            vm=self._deployment.vm,
            data_centre=self._deployment.data_centre,
            demand=[encode_demand(each) for each in demand.take()],
            in_flight=dict(self._reported),
            uses=[
                encode_use(e, key, n) for (e, key), n in self._relay.demand.uses.items()
            ],
            refused=[
                encode_use(e, key, 1) for e, key in self._relay.demand.take_refused()
            ],
            sees_store=self._sees_store(),
            configuration=configuration.version if configuration else 0,
        )

    def _sees_store(self) -> bool:
        watch = self._configuration_watch
        return watch.answered_at > watch.failed_at

    def _make_state(self) -> LeaderState:
        configuration = self._fleet.configuration
        sighting = self._lease.sighting
        return LeaderState(
            leader=self._deployment.vm,
            fence=self._lease.fence,
            leads=self._lease.leads,
            revision=sighting.revision if sighting else 0,
            store_age=self._endpoints_watch.find_age(),
            load_wait=self._leader.estimate_load_wait(),
            configuration_version=configuration.version if configuration else 0,
            configuration=self._configuration.document,
        )

    def _find_leader(self) -> Listening | None:
        record = self._lease.record
        if self._lease.leads or record is None or record.released:
            return None
        if record.holder == self._deployment.vm:
            return None
        return Listening(record.host, record.port)

    # Duties that change with who leads.

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_EVERY)
            now = self._clock()
            self._follow_leadership()
            if self._lease.leads:
                self._feed_leader()
            self._endpoints.drop_lapsed()
            self._fleet.forget_absences(now)
            self._pool.close_expired(now)
            self._control_pool.close_expired(now)

    def _follow_leadership(self) -> None:
        leads = self._lease.leads
        if leads and not self._led:
            self._begin_to_lead()
        self._led = leads
        fed = self._client.is_alive() and self._feed_age < FEED_AGE_LIMIT
        needed = leads or not fed
        if needed and not self._endpoints_watch.on:
            self._endpoints.adopt(self._fleet.endpoints.values())
        self._endpoints_watch.switch(needed)
        self._versions_watch.switch(needed)
        if not leads and not self._client.is_alive():
            self._relay.load_wait = None
            self._relay.others = {}

    def _begin_to_lead(self) -> None:
        self._leader.books.clear()
        for endpoint in self._fleet.endpoints.values():
            self._leader.put_endpoint(endpoint)

    def _feed_leader(self) -> None:
        told = self._relay.demand.take()
        self._leader.take_demand(
            self._deployment.vm, self._deployment.data_centre, told
        )
        self._leader.uses[self._deployment.vm] = dict(self._relay.demand.uses)
        for endpoint, key in self._relay.demand.take_refused():
            self._leader.note_refused(endpoint, key)
        totals = self._feed.sum_in_flight()
        self._leader.in_flight = totals
        own = self._relay.health.count_in_flight()
        self._relay.others = _subtract(totals, own)
        self._relay.load_wait = self._leader.estimate_load_wait()
        self._relay.budget.daemons = self._feed.count_daemons()

    # Start and stop.

    async def start(self) -> None:
        """Listen on all sides and begin; raises ``OSError``."""
        own = self._deployment
        self._configuration_watch.switch(True)
        await self._feed.start(own.peers.host, own.peers.port)
        await self._surface.start(own.clients, own.readiness)
        loops = (
            self._configuration_watch.run,
            self._endpoints_watch.run,
            self._versions_watch.run,
            self._lease.run,
            self._leader.run,
            self._feed.run,
            self._client.run,
            self._keep_house,
        )
        self._tasks = [asyncio.create_task(_run_for_ever(each)) for each in loops]
        LOG.info("daemon: started", extra={"data_centre": own.data_centre})

    async def stop(self) -> None:
        """Stop as planned: take no new clients, and finish what runs."""
        began = self._clock()
        LOG.info("daemon: planned stop begins", extra={"live": self._surface.live})
        last = began + self._deployment.bounds.grace - STOP_MARGIN
        self._surface.stop_by(last)
        await self._lease.release()
        while self._clock() < last:
            if self._clock() - began >= STOP_LEAST and not self._surface.live:
                break
            await asyncio.sleep(STOP_CHECK)
        LOG.info("daemon: planned stop ends", extra={"live": self._surface.live})

    async def close(self) -> None:
        """Let go of everything."""
        await self._surface.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._pool.close()
        self._control_pool.close()
        await self._session.close()


async def _run_for_ever(loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a loop again when it fails: a fault of one duty must not end the daemon."""
    while True:
        try:
            await loop()
        except Exception:
            LOG.exception("daemon: a task failed and is started again")
            await asyncio.sleep(RESTART_PAUSE)


def _subtract(
    totals: dict[EndpointId, int], own: dict[EndpointId, int]
) -> dict[EndpointId, int]:
    return {each: max(0, count - own.get(each, 0)) for each, count in totals.items()}


def _read_json(content: bytes) -> Any:
    import json

    return json.loads(content)


async def run_daemon(deployment: Deployment) -> int:
    """Run until SIGTERM; return the exit status."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload)
    daemon = FleetDaemon(deployment)
    try:
        await daemon.start()
    except OSError as error:
        LOG.error("daemon: cannot listen: %s", error)
        await daemon.close()
        return EXIT_CANNOT_LISTEN
    await stop.wait()
    await daemon.stop()
    await daemon.close()
    LOG.info("daemon: stopped")
    return 0


def _reload() -> None:
    """Check the settings file again; addresses take effect at the next start."""
    try:
        load_deployment(find_settings_path())
    except BadDeployment as error:
        LOG.error("daemon: settings not taken: %s", error)
        return
    LOG.info("daemon: settings read again")


def main() -> None:
    """Run the daemon with the settings that the platform lays."""
    try:
        deployment = load_deployment(find_settings_path())
    except BadDeployment as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_BAD_SETTINGS)
    set_up_structured_logs(deployment.vm)
    sys.exit(asyncio.run(run_daemon(deployment)))
