"""The daemon for the users' platform: reads its settings and wires its components.

All daemons run the same code. Each serves clients. In each data centre, one daemon at a
time holds the lease and places adapters on the engines of that data centre. Leaders
watch endpoints, versions and the configuration in the store and send changes to their
followers over the feed. A daemon without contact to a leader watches the store itself.
"""

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, Final
from uuid import uuid4

from kestreltally.decisions import Decision, log_decision, log_suppressed
from kestreltally.deployment import Deployment, SocketAddress
from kestreltally.entry.api import EntryApi
from kestreltally.entry.buffers import compute_limit
from kestreltally.entry.channel_rules import ChannelRules
from kestreltally.entry.gate import Gate
from kestreltally.entry.health import HealthTable
from kestreltally.entry.holdings import Holdings
from kestreltally.entry.identity import IdentityCheck
from kestreltally.entry.intake import PeerIntake
from kestreltally.entry.relay import Relay
from kestreltally.entry.retries import RetryBudget
from kestreltally.entry.upstream import ChannelPool
from kestreltally.fleet.model import Seconds, ServiceName, ServiceSpec
from kestreltally.fleet.tables import Fleet
from kestreltally.fleet.versions import compute_grace
from kestreltally.fleet_gauges import (
    measure_channels,
    measure_exchange,
    measure_knowledge,
    measure_leading,
    measure_requests,
)
from kestreltally.fleet_metrics import FleetMetrics, GaugeValues
from kestreltally.forwarding.forwarder import Forwarder
from kestreltally.ingress.capacity import compute_capacity
from kestreltally.ingress.server import Ingress
from kestreltally.knowledge.authority import Authority, ConfigurationReader
from kestreltally.knowledge.configuration_age import (
    MARGIN_FRACTION,
    WAIT_FRACTION,
    ConfigurationAge,
)
from kestreltally.knowledge.datagrams import DatagramPort
from kestreltally.knowledge.endpoints_age import (
    ENDPOINTS_GAP,
    ENDPOINTS_WAIT,
    EndpointsAge,
)
from kestreltally.knowledge.endpoints_age import (
    MARGIN_FRACTION as ENDPOINTS_MARGIN_FRACTION,
)
from kestreltally.knowledge.exchange import Exchange
from kestreltally.knowledge.pacing import Pacing
from kestreltally.knowledge.quota_asking import QuotaAsking
from kestreltally.knowledge.record_persistence import RecordPersistence
from kestreltally.knowledge.remote_capacity import RemoteCapacity
from kestreltally.knowledge.slots import SlotExchange
from kestreltally.knowledge.streams import StreamExchange
from kestreltally.knowledge.version_reader import VersionReader
from kestreltally.knowledge.watch_handlers import (
    ConfigurationHandler,
    EndpointsHandler,
    VersionsHandler,
)
from kestreltally.knowledge.watch_switch import WatchSwitch
from kestreltally.knowledge.watching import KindWatch, WatchHandler
from kestreltally.logs import LineWriter
from kestreltally.pacing.api import TurnsApi
from kestreltally.placing.leader import Leader
from kestreltally.placing.lease import (
    REMOTE_WAIT,
    TAKEOVER_DELAY,
    Lease,
    compute_weak_wait,
)
from kestreltally.placing.leasemonitor import LeaseMonitor
from kestreltally.placing.orders import EngineClient
from kestreltally.platform.documents import (
    CONFIGURATION_KIND,
    ENDPOINTS_KIND,
    VERSIONS_KIND,
)
from kestreltally.platform.store import (
    WATCH_MARGIN,
    Store,
    lacks_writes,
    open_store_session,
)
from kestreltally.poison.api import PoisonApi
from kestreltally.poison.persistence import PoisonPersistence
from kestreltally.quotas.limiters import DEFAULT, LIMITERS, UNORDERED
from kestreltally.reach.contact import Contact
from kestreltally.reach.prober import Prober

LOG = logging.getLogger("kestreltally.daemon")

MAINTENANCE_INTERVAL: Final[Seconds] = 0.1
# Interval at which expired idle channels are closed; they are never reused.
CLEANUP_INTERVAL: Final[Seconds] = 1.0
# The number of daemons assumed, for pacing calls to the store, until it is reported.
INITIAL_DAEMON_COUNT: Final = 8
RESTART_DELAY: Final[Seconds] = 0.2
# When this watch alone falls silent, no version goes unnoticed for more than 2.1 s of
# the 5 s that are allowed until it is loaded; an older one has its grace after that.
VERSIONS_GAP: Final[Seconds] = 0.1
VERSIONS_WAIT: Final[Seconds] = 1.2
CONFIGURATION_GAP: Final[Seconds] = 0.1
# When all daemons are started for the first time, the first leader is elected within
# about 1.5 s and sends the complete state. Until then the other daemons do not need to
# read the store.
FIRST_LEADER_TIMEOUT: Final[Seconds] = 2.5
# The load balancer probes every second and removes a daemon after two failed probes.
MIN_STOP_DURATION: Final[Seconds] = 3.2
# The part of the grace period that remains when the last requests are aborted.
STOP_MARGIN: Final[Seconds] = 0.4
# The part of it that remains when the store is no longer waited for: connections are
# closed, and the process ends.
EXIT_MARGIN: Final[Seconds] = 0.2
STOP_POLL_INTERVAL: Final[Seconds] = 0.05


class FleetDaemon:
    """One running daemon."""

    def __init__(self, deployment: Deployment, lines: LineWriter) -> None:
        self._deployment = deployment
        self._lines = lines
        self._clock = asyncio.get_running_loop().time
        self._store = Store(open_store_session(), deployment.store)
        self._fleet = Fleet(compute_grace(deployment.bounds.version))
        self._holdings = Holdings(_compute_buffer_limit(deployment), self._clock)
        machine = deployment.machine_capacity
        self._ingress = Ingress(
            compute_capacity(machine.memory, machine.descriptors), self._clock
        )
        self._contact = Contact(self._clock)
        self._pool = ChannelPool(
            self._fleet.notices,
            self._holdings if self._holdings.limit else None,
            self._make_channel_rules(),
            self._contact,
        )
        self._control_pool = ChannelPool(self._fleet.notices, contact=self._contact)
        self._prober = Prober(
            self._contact,
            self._fleet,
            self._control_pool,
            deployment.vm,
            self._clock,
        )
        self._relay = Relay(
            deployment.data_centre,
            self._fleet,
            self._pool,
            HealthTable(),
            RetryBudget(deployment.bounds, self._clock()),
        )
        self._metrics = FleetMetrics(self._read_gauges)
        self._datagrams = DatagramPort(deployment.vm)
        self._authority = Authority(deployment.bounds.revocation, self._clock)
        self._identity = IdentityCheck(self._fleet, self._authority)
        self._relay.check_caller = self._identity.recheck
        limiter = DEFAULT if deployment.features.quota_order else UNORDERED
        self._limiter = LIMITERS[limiter](self._clock, deployment.bounds.quota)
        gate = Gate(self._identity, self._limiter)
        self._entry_api = EntryApi(
            self._fleet,
            self._relay,
            gate,
            self._metrics.record_end,
            self._holdings,
            self._ingress,
        )
        self._leases = self._make_leases()
        self._configuration = ConfigurationHandler(
            lambda configuration: self._exchange.apply_configuration(configuration),
            lambda: lacks_writes(self._store.restored_at, self._clock()),
            lambda: self._configuration_age.describe(),
        )
        first_leader_until = self._clock() + (
            FIRST_LEADER_TIMEOUT if deployment.first_start else 0.0
        )
        bound = deployment.bounds.configuration
        self._configuration_age = ConfigurationAge(
            bound,
            self._authority,
            self._configuration,
            self._store,
            lambda: self._fleet.keys is not None,
            first_leader_until,
            self._clock,
        )
        self._endpoints_age = EndpointsAge(
            deployment.bounds.drain, deployment.heartbeat, self._clock
        )
        self._configuration_watch = self._make_watch(
            CONFIGURATION_KIND,
            self._configuration,
            CONFIGURATION_GAP,
            WAIT_FRACTION * bound,
            self._configuration_age.record_watched,
            MARGIN_FRACTION * bound,
        )
        self._exchange = Exchange(
            deployment,
            self._fleet,
            self._relay,
            self._leases,
            self._configuration,
            lambda: self._endpoints_watch.compute_age(),
            self._endpoints_age,
            lambda: self._endpoints_watch.answered_at,
            self._authority,
            self._limiter,
            self._datagrams,
            self._clock,
        )
        self._streams = StreamExchange(
            self._exchange.registrars,
            self._relay.resumption.register,
            self._datagrams,
            self._clock,
        )
        self._streams.find_leader = self._exchange.leaders.find_followed
        self._streams.deny = self._relay.resumption.deny
        self._relay.resumption.sources.ask = self._streams.inquire
        self._relay.resumption.tell = self._streams.tell
        self._relay.resumption.get_list_age = self._endpoints_age.compute_age
        self._exchange.notify_overtaken = self._store.reconnect
        self._relay.rerouting.forwarder = Forwarder(
            self._exchange.forward_targets,
            self._fleet,
            self._relay.budget,
            self._authority.compute_age,
        )
        self._contact.notify_change = self._report_reach
        self._quota_asking: QuotaAsking | None = None
        if self._exchange.quota_keeping is not None:
            self._quota_asking = QuotaAsking(
                self._exchange.quota_keeping,
                self._datagrams,
                self._limiter.refund_unused,
                self._clock,
            )
            gate.ask_keeper = self._quota_asking.ask
        self._reader = ConfigurationReader(
            self._store,
            self._authority,
            self._configuration.apply_read,
            lambda: self._watch_switch.needs_configuration_read(),
            self._count_watchers,
            self._clock,
            self._configuration_age.read_interval,
        )
        self._pacing = Pacing(
            deployment,
            self._fleet,
            self._relay,
            self._exchange,
            self._datagrams,
            self._clock,
        )
        self._slots = SlotExchange(
            deployment.vm,
            self._fleet,
            self._leases,
            self._exchange.leaders,
            self._exchange.get_lease,
            self._exchange.daemon_count,
            self._datagrams,
            self._relay.finder.count_in_flight,
            self._clock,
        )
        self._relay.switch_on_slots(self._slots.table)
        self._lease_monitor = LeaseMonitor(
            self._store,
            self._leases,
            self._exchange.leaders.should_poll,
            self._count_daemons,
        )
        self._leader = self._make_leader()
        self._exchange.leader = self._leader
        self._relay.finder.expedite = self._expedite
        self._endpoints = EndpointsHandler(
            self._fleet.endpoints,
            self._exchange.rows.put_entry,
            self._exchange.rows.drop_entry,
            self._exchange.rows.removals.record_complete,
            self._exchange.rows.removals.doubts,
            self._clock,
            self._find_recovery,
        )
        self._endpoints_watch = self._make_watch(
            ENDPOINTS_KIND,
            self._endpoints,
            ENDPOINTS_GAP,
            ENDPOINTS_WAIT,
            self._endpoints_age.record_watched,
            min(WATCH_MARGIN, ENDPOINTS_MARGIN_FRACTION * deployment.bounds.drain),
        )
        self._versions_watch = self._make_watch(
            VERSIONS_KIND,
            VersionsHandler(self._exchange.rows.apply_version),
            VERSIONS_GAP,
            VERSIONS_WAIT,
            self._exchange.rows.versions_proof.record,
        )
        self._watch_switch = WatchSwitch(
            self._exchange.leaders,
            self._endpoints_age,
            self._configuration_age,
            self._endpoints_watch,
            self._configuration_watch,
            self._versions_watch,
            first_leader_until,
            self._clock,
        )
        self._relay.poison.register.parts.may_try = self._tries_stopped_parts
        self._poison_persistence = PoisonPersistence(
            self._store,
            self._relay.poison,
            deployment.data_centre,
            lambda: self._exchange.leaders.leads,
            self._clock,
            time.time,
        )
        self._record_persistence = RecordPersistence(
            self._store,
            self._exchange.daemon_count,
            self._relay.resumption.history,
            self._relay.resumption.register,
            deployment.data_centre,
            lambda: self._exchange.leaders.leads,
            self._clock,
        )
        self._relay.resumption.sources.read_records = self._record_persistence.read
        self._relay.resumption.sources.read_versions = VersionReader(
            self._store, self._relay.resumption.history, self._clock
        ).read
        if not deployment.first_start:
            self._relay.resumption.history.record_gap(self._clock())
        self._tasks: list[asyncio.Task[None]] = []
        # How often each loop was restarted after an error that nobody expected.
        self._task_restarts: Counter[str] = Counter()

    def _find_recovery(self) -> Seconds:
        """Return after which recovery of the store entries may be written again.

        This concerns the answer of the endpoint watch that is being applied. An outage
        that ended before an earlier answer has expired nothing that is missing only
        now, and one of this daemon's connection alone has expired nothing at all. A
        restore counts only if this daemon has known the store before it.
        """
        era_changed_at = self._store.era_changed_at
        if not self._endpoints_watch.is_first_answer:
            return era_changed_at
        return max(era_changed_at, self._endpoints_age.find_outage_end())

    def _tries_stopped_parts(self) -> bool:
        """Return whether this daemon tries stopped parts again: one of all does."""
        return self._leases[min(self._leases)].leads

    def _make_channel_rules(self) -> ChannelRules | None:
        if not self._deployment.features.shared_channels:
            return None
        return ChannelRules(self._get_service, self._count_daemons)

    def _get_service(self, name: ServiceName) -> ServiceSpec | None:
        configuration = self._fleet.configuration
        return configuration.services.get(name) if configuration is not None else None

    def _make_leases(self) -> dict[str, Lease]:
        deployment = self._deployment
        boot = uuid4().hex
        return {
            name: Lease(
                self._store,
                deployment.vm,
                boot,
                deployment.peers,
                deployment.bounds.lease,
                self._clock,
                name,
                TAKEOVER_DELAY
                + compute_weak_wait(deployment.machine_capacity)
                + (0.0 if name == deployment.data_centre else REMOTE_WAIT),
            )
            for name in deployment.data_centres
        }

    def _make_leader(self) -> Leader:
        client = EngineClient(
            self._control_pool,
            self._deployment.vm,
            self._exchange.get_lease,
            self._clock,
        )
        leader = Leader(
            self._fleet,
            self._leases,
            self._exchange.get_lease,
            client,
            self._deployment.bounds,
            self._clock,
            self._exchange.rows.put_row,
            early_loads=self._deployment.features.early_loads,
        )
        self._relay.finder.demand.counts_prompts = self._deployment.features.early_loads
        for lease in self._leases.values():
            lease.record_start = self._start_leading
            lease.is_cut_off = lambda: self._contact.is_cut_off
        leader.prefill_times = self._relay.finder.prefill_times
        leader.list_uses = self._exchange.list_uses
        capacity = RemoteCapacity(self._exchange.leaders.clients)
        leader.get_remote_wait = capacity.get_min_load_wait
        leader.handover.can_load_quickly = capacity.can_load_quickly
        leader.handover.get_free_capacity = capacity.get_free_capacity
        leader.handover.expedite = self._exchange.expedite
        return leader

    def _make_watch(
        self,
        kind: str,
        handler: WatchHandler,
        gap: Seconds,
        wait: Seconds,
        record_current: Callable[[Seconds], None] = lambda _: None,
        margin: Seconds = WATCH_MARGIN,
    ) -> KindWatch:
        return KindWatch(
            self._store,
            kind,
            handler,
            gap,
            wait,
            self._count_watchers,
            self._clock,
            record_current,
            margin,
        )

    def _read_gauges(self) -> GaugeValues:
        """Return the current values of all gauges."""
        now = self._clock()
        watches = {
            "configuration": self._configuration_watch,
            "endpoints": self._endpoints_watch,
            "versions": self._versions_watch,
        }
        daemons = self._relay.budget.daemon_count or 0
        return {
            **measure_requests(self._entry_api, self._relay, self._fleet, now),
            **measure_channels(self._pool, self._control_pool),
            **measure_leading(self._leader, self._leases),
            **measure_knowledge(
                self._fleet,
                watches,
                self._authority,
                self._endpoints_age,
                self._contact,
                daemons,
                now,
            ),
            **measure_exchange(self._exchange, self._quota_asking, now),
            "store_calls": {"all": self._store.calls},
            "task_restarts": dict(self._task_restarts),
            "turns": self._pacing.measure(),
            "slots": self._slots.measure(),
            "datagrams": {
                "sent": self._datagrams.sent,
                "malformed": self._datagrams.malformed,
            },
        }

    def _start_leading(self) -> None:
        """Wake the components that are idle without a lease."""
        self._leader.wake()
        self._exchange.feed.expedite()

    def _expedite(self) -> None:
        """Send the report with new demand to the leader without delay."""
        primary = self._exchange.leaders.find_primary()
        if primary is not None:
            self._exchange.expedite(primary)

    def _report_reach(self) -> None:
        """Have the leader name daemons that reach endpoints, and wake what waits."""
        self._expedite()
        self._exchange.targets.run_maintenance()
        self._relay.finder.waiters.wake_all()

    async def _run_maintenance(self) -> None:
        cleaned_up_at = self._clock()
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL)
            now = self._clock()
            self._exchange.resign_if_cut_off()
            self._watch_switch.apply()
            self._endpoints_age.check()
            self._exchange.leaders.follow()
            self._reader.wake_if_needed()
            self._exchange.apply_local_report()
            self._exchange.expire_leader_state()
            self._exchange.rows.expire_leader_state()
            self._exchange.targets.run_maintenance()
            self._pacing.run_maintenance()
            self._slots.run_maintenance()
            if self._relay.resumption.run_maintenance(now):
                self._streams.tell_untold()
            self._streams.tell_leader()
            self._identity.has_leader_contact = (
                self._exchange.leaders.find_primary() is not None
            )
            self._endpoints.drop_expired()
            self._configuration.apply_pending()
            self._fleet.prune_missing_weights(now)
            self._holdings.review()
            self._ingress.run_maintenance()
            if now >= cleaned_up_at + CLEANUP_INTERVAL:
                cleaned_up_at = now
                self._relay.poison.run_maintenance()
                self._fleet.notices.prune_old(self._fleet.endpoints, now)
                self._exchange.rows.removals.prune_old()
                self._pool.close_expired(now)
                self._control_pool.close_expired(now)
                log_suppressed(LOG, self._lines.pop_dropped())

    def _count_watchers(self) -> int:
        """Return how many daemons retry calls to the store while it does not answer."""
        return 1 if self._exchange.leaders.leads else self._count_daemons()

    def _count_daemons(self) -> int:
        """Return the number of daemons assumed to call the store as this one does."""
        return self._relay.budget.daemon_count or INITIAL_DAEMON_COUNT

    # Start and stop.

    async def start(self) -> None:
        """Listen on all addresses and start the loops; raises ``OSError``."""
        deployment = self._deployment
        self._watch_switch.apply()
        await self._exchange.feed.start(deployment.peers.host, deployment.peers.port)
        await self._datagrams.start(deployment.peers.host, deployment.peers.port)
        await self._entry_api.start(deployment.clients, deployment.readiness)
        self._exchange.targets.port = await self._entry_api.start_forwarding(
            PeerIntake(self._fleet, self._authority),
            SocketAddress(deployment.peers.host, deployment.forwarding_port),
        )
        turns = TurnsApi(self._pacing.issuer, self._metrics.serve)
        operators = PoisonApi(self._relay.poison.register, turns.serve)
        await self._ingress.listen(
            "metrics",
            operators.serve,
            SocketAddress(deployment.peers.host, deployment.metrics_port),
            self._ingress.capacity.service,
        )
        loops = (
            self._configuration_watch.run,
            self._endpoints_watch.run,
            self._versions_watch.run,
            self._lease_monitor.run,
            self._leader.run,
            self._exchange.feed.run,
            self._prober.run,
            self._reader.run,
            self._poison_persistence.run,
            self._record_persistence.run,
            self._run_maintenance,
            *(lease.run for lease in self._leases.values()),
            *(client.run for client in self._exchange.leaders.clients.values()),
        )
        self._tasks = [asyncio.create_task(self._run_forever(each)) for each in loops]
        log_decision(LOG, Decision.DAEMON_STARTED, data_centre=deployment.data_centre)

    async def stop(self) -> None:
        """Stop gracefully: accept no new clients, and finish running requests."""
        started_at = self._clock()
        log_decision(
            LOG,
            Decision.DAEMON_PLANNED_STOP_BEGINS,
            live=self._entry_api.active_requests,
        )
        last = started_at + self._deployment.bounds.grace - STOP_MARGIN
        self._entry_api.stop_by(last)
        self._exchange.targets.stop()
        while self._clock() < last:
            if (
                self._clock() - started_at >= MIN_STOP_DURATION
                and not self._entry_api.has_work
            ):
                break
            await asyncio.sleep(STOP_POLL_INTERVAL)
        # The store may take a while to answer, and all connections are closed then.
        self._entry_api.refuse_new()
        # The leases are released last, so that orders can be sent until this point and
        # a daemon that is restarted on this VM continues without a wait.
        await self._release_leases(
            started_at + self._deployment.bounds.grace - EXIT_MARGIN
        )
        log_decision(
            LOG, Decision.DAEMON_PLANNED_STOP_ENDS, live=self._entry_api.active_requests
        )

    async def _release_leases(self, deadline: Seconds) -> None:
        """Release all leases, as many as the store takes by a deadline."""
        try:
            async with asyncio.timeout_at(deadline):
                for lease in self._leases.values():
                    await lease.release()
        except TimeoutError:
            reason = "the planned stop ends"
            log_decision(LOG, Decision.LEASE_NOT_RELEASED, reason=reason)

    async def _run_forever(self, loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Restart a loop when it fails: a fault in one must not end the daemon."""
        name = loop.__qualname__
        while True:
            try:
                await loop()
            except Exception:
                self._task_restarts[name] += 1
                log_decision(
                    LOG,
                    Decision.DAEMON_TASK_RESTARTED,
                    task=name,
                    restarts=self._task_restarts[name],
                    trace=True,
                )
                await asyncio.sleep(RESTART_DELAY)

    async def close(self) -> None:
        """Close all connections and cancel all tasks."""
        await self._entry_api.close()
        await self._exchange.feed.close()
        self._datagrams.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._pool.close()
        self._control_pool.close()
        await self._store.close()


def _compute_buffer_limit(deployment: Deployment) -> int:
    """Return how many bytes may be held for slow readers, 0 without a limit."""
    if not deployment.features.buffer_limit:
        return 0
    return compute_limit(deployment.machine_capacity.memory)
