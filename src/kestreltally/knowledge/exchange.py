"""Builds the reports and updates of the feed, and applies those of other daemons.

Each data centre has a leader, which gives orders to its engines. The other daemons of
the data centre follow it: they report demand and requests in flight, and receive the
rows of all endpoints. Leaders follow each other, so that each row is sent only once
from a data centre to each other leader. A daemon whose data centre has no leader
follows the leader of another data centre.
"""

import logging
from collections.abc import Callable, Mapping
from typing import Any, Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.deployment import Deployment
from kestreltally.entry.demand import WeightsDemand
from kestreltally.entry.occupancy import EMPTY
from kestreltally.entry.relay import Relay
from kestreltally.entry.waiting import WaitTarget
from kestreltally.fleet.model import (
    Configuration,
    Endpoint,
    EndpointId,
    Seconds,
)
from kestreltally.fleet.tables import Fleet
from kestreltally.forwarding.targets import ForwardTargets
from kestreltally.knowledge.authority import NEVER, Authority
from kestreltally.knowledge.bound_demand import BoundDemandExchange
from kestreltally.knowledge.credits import CreditExchange
from kestreltally.knowledge.daemon_count import DaemonCount
from kestreltally.knowledge.datagrams import DatagramPort
from kestreltally.knowledge.departures import DepartureExchange
from kestreltally.knowledge.directory import RegistrarDirectory
from kestreltally.knowledge.endpoints_age import EndpointsAge
from kestreltally.knowledge.feed import (
    MIN_TOTALS_INTERVAL,
    SIGNIFICANT_TOKENS,
    FeedServer,
)
from kestreltally.knowledge.feed_client import FeedClient
from kestreltally.knowledge.feed_parts import FeedPart, ReceivedUpdate
from kestreltally.knowledge.fleet_rows import FleetRows
from kestreltally.knowledge.group import GroupAggregator, Use
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.notices import NoticeExchange
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.poison_exchange import PoisonExchange
from kestreltally.knowledge.quota_keeping import QuotaKeeping
from kestreltally.knowledge.rows import (
    decode_demand,
    decode_occupancy,
    decode_outcome,
    decode_spending,
    decode_throttle,
    decode_use,
    encode_demand,
    encode_occupancy,
    encode_outcomes,
    encode_spending,
    encode_use,
)
from kestreltally.knowledge.software import SoftwareExchange
from kestreltally.knowledge.speeds import SpeedExchange
from kestreltally.knowledge.structs import Report
from kestreltally.knowledge.targets import TargetExchange
from kestreltally.knowledge.updates import (
    AGE_UNKNOWN,
    LeaderState,
    LeaseInfo,
    decode_endpoints_revision,
    decode_leader,
    decode_revision,
)
from kestreltally.knowledge.watch_handlers import (
    ConfigurationHandler,
    ConfigurationOrigin,
    ConfigurationSource,
)
from kestreltally.placing.leader import Leader
from kestreltally.placing.lease import Lease
from kestreltally.platform.store import NO_REVISION
from kestreltally.quotas.ledger import Ledger
from kestreltally.quotas.limiters import Limiter
from kestreltally.quotas.spending import Throttle

LOG = logging.getLogger("kestreltally.exchange")

# After the start, and after the loss of a leader, a daemon usually receives updates of
# a new leader within LEADER_CHANGE_DURATION. Until then requests for missing adapters
# are held as if a load took LEADER_CHANGE_LOAD_WAIT.
LEADER_CHANGE_DURATION: Final[Seconds] = 1.0
LEADER_CHANGE_LOAD_WAIT: Final[Seconds] = 0.35

# Daemons report every 0.2 s. One that missed two reports counts as missing for quotas
# before others would take over accounts that it keeps.
MAX_REPORT_AGE: Final[Seconds] = 0.6


class Exchange:
    """Builds reports and updates, and applies those of other daemons."""

    def __init__(
        self,
        deployment: Deployment,
        fleet: Fleet,
        relay: Relay,
        leases: Mapping[str, Lease],
        configuration: ConfigurationHandler,
        endpoints_age: Callable[[], Seconds],
        endpoints_proof: EndpointsAge,
        store_read_at: Callable[[], Seconds],
        authority: Authority,
        limiter: Limiter,
        datagrams: DatagramPort,
        clock: Callable[[], Seconds],
    ) -> None:
        self._deployment = deployment
        self._fleet = fleet
        self._relay = relay
        self._leases = leases
        self._configuration = configuration
        self._endpoints_age = endpoints_age
        self._endpoints_proof = endpoints_proof
        self._store_read_at = store_read_at
        self._authority = authority
        self._limiter = limiter
        self.ledger = Ledger(deployment.bounds.quota)
        self._group = GroupAggregator(
            fleet, leases, self.ledger, lambda: self.leader, self.get_lease, clock
        )
        self._clock = clock
        self.feed = FeedServer(
            self._make_state,
            lambda: self._fleet.endpoints,
            lambda: {k: v.newest for k, v in self._fleet.versions.items()},
            self._apply_report,
            clock,
        )
        self.feed.measure_local = lambda: relay.health.measure(clock())
        self.feed.notify_totals_change = self._notify_totals_change
        self.feed.make_throttles = self._make_throttles
        self.feed.is_leading = lambda: self.leaders.leads and self._has_listed()
        relay.runner.record_reading = self._record_local_reading
        relay.runner.notify_use_change = self._report_use_change
        self.leaders = Leaders(deployment, leases)
        self._poison = PoisonExchange(
            relay.poison, self.leaders, self._expedite_facts, clock
        )
        fleet.notices.notify_change = self._record_notice
        self.leaders.clients = {
            name: FeedClient(
                name,
                self.leaders.find_address,
                self._make_report,
                self._apply_update,
                clock,
            )
            for name in leases
        }
        self.forward_targets = ForwardTargets(deployment.data_centre)
        self.daemon_count = DaemonCount()
        self.feed.count_all = self._count_daemons
        self.credits = CreditExchange(
            fleet,
            leases,
            self.leaders,
            self.get_lease,
            self.feed,
            self.daemon_count,
            clock,
        )
        self.credits.record_credit = self._wake_credit_waiter
        self.rows = FleetRows(
            fleet,
            relay,
            self.leaders,
            lambda: self.leader,
            self.get_lease,
            self.feed.expedite,
            endpoints_proof,
            clock,
        )
        self.rows.removals.departures.notify_added = self._expedite_departures
        self.speeds: SpeedExchange | None = None
        if deployment.features.engine_speeds:
            self.speeds = SpeedExchange(
                deployment.vm, fleet, relay, self.leaders, self.get_lease, clock
            )
        self._parts: tuple[FeedPart, ...] = (
            self._poison,
            NoticeExchange(fleet.notices, self.leaders, clock),
            self.rows,
            DepartureExchange(
                self.rows.removals.departures, self.leaders, self.rows.apply_departure
            ),
            self.credits,
            *([self.speeds] if self.speeds is not None else ()),
        )
        self.targets = TargetExchange(
            deployment,
            relay.contact,
            self.forward_targets,
            relay.health,
            self.leaders,
            self.feed,
            clock,
        )
        self.registrars = RegistrarDirectory(deployment, self.leaders, self.feed, clock)
        self.bound_demand = BoundDemandExchange(
            deployment,
            relay.finder.demand.bound,
            lambda: self.leader,
            self.leaders,
            self.feed,
            self._expedite_leader_reports,
            clock,
        )
        self._parts = (
            *self._parts,
            self.targets,
            self.registrars,
            self.bound_demand,
            SoftwareExchange(relay.resumption.history, clock),
        )
        self.quota_keeping: QuotaKeeping | None = None
        if deployment.features.quota_order:
            self.quota_keeping = self._keep_quotas(datagrams)
            self._parts = (*self._parts, self.quota_keeping)
        self.feed.parts = self._parts
        for client in self.leaders.clients.values():
            client.record_connected = self._record_connected
            client.record_received = self._poison.record_leader_contact
        self.leader: Leader | None = None
        self._reported_occupancy = EMPTY
        self._leader_contact_at = clock()
        self._totals_summed_at: Seconds = float("-inf")
        self._resigned: tuple[LeaseInfo, ...] = ()
        # The latest configuration that another daemon named before it was known here.
        self._later_version = 0
        # Called when another daemon knows a later configuration than this leader.
        self.notify_overtaken: Callable[[], None] = lambda: None

    def _record_connected(self, data_centre: str) -> None:
        self.credits.record_connected(data_centre)
        self.targets.record_connected(data_centre)
        self.registrars.record_connected(data_centre)

    def add_part(self, part: FeedPart) -> None:
        """Let one more part take part in reports and updates."""
        self._parts = (*self._parts, part)
        self.feed.parts = self._parts

    def _keep_quotas(self, datagrams: DatagramPort) -> QuotaKeeping:
        """Keep accounts of quotas in the order of arrival, while this daemon leads."""
        keeping = QuotaKeeping(
            self._deployment.vm,
            self._deployment.peers,
            self._deployment.bounds.quota,
            self.leaders,
            datagrams,
            lambda spendings: self._group.apply_spendings(spendings, of_group=True),
            self._expedite_leader_reports,
            self._clock,
        )
        self.ledger.orders = keeping.orders
        self.ledger.find_keeper = keeping.find_keeper
        return keeping

    def resign_if_cut_off(self) -> None:
        """Resign the leases if only this daemon has lost the store or the endpoints."""
        held = [lease for lease in self._leases.values() if self._should_resign(lease)]
        if not held:
            return
        self._resigned = tuple(
            LeaseInfo(lease.data_centre, lease.resign(), NO_REVISION) for lease in held
        )
        self.feed.send_all()

    def _should_resign(self, lease: Lease) -> bool:
        if lease.leads and self.targets.do_others_reach():
            return True
        return lease.should_resign(
            self.feed.get_store_answered_at(),
            self.feed.get_store_read_at(),
            self._store_read_at(),
        )

    # Fields of a leader's updates.

    def _make_state(self) -> LeaderState:
        """Return the state for updates.

        A daemon that knows no endpoint list yet does not report that it leads.
        """
        configuration = self._fleet.configuration
        has_listed = self._has_listed()
        leads = tuple(
            LeaseInfo(
                name,
                lease.fence,
                lease.observed.revision if lease.observed else NO_REVISION,
            )
            for name, lease in self._leases.items()
            if lease.leads and has_listed
        )
        return LeaderState(
            leader=self._deployment.vm,
            leads=leads,
            resigned=self._resigned,
            leaders=self.leaders.list_reachable(),
            store_age=self._endpoints_age(),
            load_wait=self.leader.estimate_load_wait() if self.leader else 0.0,
            configuration_version=configuration.version if configuration else 0,
            configuration=self._configuration.encoded,
            free_capacity=self.leader.free_capacity if self.leader else 0,
            known_at=self._get_known_at(),
            endpoints_known_at=self._get_endpoints_known_at(),
            versions_known_at=self._get_versions_known_at(),
            endpoints_revision=self.rows.removals.revision,
            secret=self._poison.get_leader_secret() if leads else b"",
        )

    def _has_listed(self) -> bool:
        """Return whether endpoints are known, from the store or from a leader."""
        return bool(self._fleet.endpoints) or self._endpoints_age() < AGE_UNKNOWN

    def _get_known_at(self) -> Seconds | None:
        """Return the time up to which all configurations are known, if any."""
        return self._authority.as_of if self._authority.as_of > NEVER else None

    def _get_endpoints_known_at(self) -> Seconds | None:
        """Return the time up to which all endpoints that left are known, if any."""
        as_of = self._endpoints_proof.as_of
        return as_of if as_of > NEVER else None

    def _get_versions_known_at(self) -> Seconds | None:
        """Return the time up to which all versions of weights are known, if any."""
        as_of = self.rows.versions_proof.as_of
        return as_of if as_of > NEVER else None

    def _make_throttles(self) -> list[Throttle] | None:
        """Return the throttles of organisations at their limit.

        None if no API keys are checked.
        """
        if self._fleet.keys is None:
            return None
        now = self._clock()
        reporting = self.feed.count_reporting(MAX_REPORT_AGE)
        self.ledger.record_daemon_count(reporting, now)
        return self.ledger.make_throttles(now)

    def _apply_report(self, report: Any) -> None:
        if self.leader is None or not self.leaders.leads:
            return
        if self.leader.is_over_capacity:
            self.leader.wake()
        demand = [decode_demand(each) for each in report.demand or ()]
        self._group.apply_demand(report.vm, report.data_centre, demand)
        for row in report.refused or ():
            endpoint, key, _ = decode_use(row)
            self._group.record_refused(endpoint, key)
        self._group.apply_outcomes(decode_outcome(row) for row in report.outcomes or ())
        spendings = [decode_spending(row) for row in report.spendings or ()]
        self._group.apply_spendings(spendings, of_group=not report.leads)

    # Reports to leaders.

    def _make_report(self, data_centre: str) -> Any:
        configuration = self._fleet.configuration
        report = Report(
            vm=self._deployment.vm,
            data_centre=self._deployment.data_centre,
            leads=[name for name, lease in self._leases.items() if lease.leads],
            demand=[],
            in_flight={},
            uses=[],
            refused=[],
            outcomes=[],
            configuration=configuration.version if configuration else 0,
            store_age=self._compute_store_age(),
            read_age=min(self._clock() - self._store_read_at(), AGE_UNKNOWN),
            daemons=1,
            stamp=self._clock(),
        )
        if self.leaders.leads:
            self._add_group(report, data_centre)
        elif self.leaders.find_primary() in (data_centre, None):
            report.follows = True
            self._add_local(report)
        for part in self._parts:
            part.fill_report(report, data_centre)
        return report

    def _compute_store_age(self) -> Seconds:
        """Return the time since the store answered a lease renewal of this daemon."""
        renewed = [each.renewed_at for each in self._leases.values() if each.leads]
        return min(self._clock() - max(renewed, default=float("-inf")), AGE_UNKNOWN)

    def _add_local(self, report: Any) -> None:
        demand = self._relay.finder.demand
        self._reported_occupancy = self._relay.health.measure(self._clock())
        encode_occupancy(report, self._reported_occupancy)
        report.demand = [
            encode_demand(each) for each in demand.pop_demand(self._clock())
        ]
        report.uses = [encode_use(e, key, n) for (e, key), n in demand.uses.items()]
        report.refused = [encode_use(e, key, 1) for e, key in demand.pop_refused()]
        report.outcomes = encode_outcomes(self._relay.health.outcomes.pop())
        spendings = self._limiter.pop_spendings()
        report.spendings = [encode_spending(each) for each in spendings]

    def _add_group(self, report: Any, data_centre: str) -> None:
        """Add the totals of this leader's daemons to a report for another leader."""
        encode_occupancy(report, self.feed.sum_group_occupancy())
        report.daemons = self.feed.count_group()
        followers = (peer.uses for peer in self.feed.list_followers())
        for uses in (self._relay.finder.demand.uses, *followers):
            report.uses.extend(encode_use(e, key, n) for (e, key), n in uses.items())
        self._group.fill_report(
            report, data_centre, self._list_handed_over(data_centre)
        )

    def _list_handed_over(self, data_centre: str) -> list[WeightsDemand]:
        """Return the demand that another leader is asked to serve."""
        if self.leader is None:
            return []
        if self.leader.compute_order_wait() == 0.0:
            return self.leader.list_handed_over(data_centre)
        available = [
            name for name, each in self.leaders.clients.items() if each.load_wait < 1.0
        ]
        return self.leader.list_unmet() if available[:1] == [data_centre] else []

    def expedite(self, data_centre: str) -> None:
        """Send the next report to the leader of a data centre at once."""
        self.leaders.clients[data_centre].expedite()

    # Received updates.

    def _apply_update(self, data_centre: str, update: Any) -> None:
        for lease_row in update.leads or ():
            self._leases[lease_row.data_centre].record_revision(
                decode_revision(lease_row)
            )
        for row in update.leaders or ():
            name, leader = decode_leader(row)
            self.leaders.record_reported(name, leader)
        for resigned in update.resigned or ():
            self._leases[resigned.data_centre].record_resigned(resigned.fence)
        if update.configuration:
            self._configuration.apply_encoded(
                update.configuration,
                ConfigurationOrigin(ConfigurationSource.LEADER, update.leader),
            )
        self._check_overtaken(update.configuration_version or 0)
        if not update.leads:
            return
        self._apply_authority(update)
        received = self._make_received_update(data_centre, update)
        for part in self._parts:
            part.apply_update(received)
        is_reconciled = self.leaders.leads or self.rows.is_reconciled(data_centre)
        if is_reconciled and update.endpoints_known_by is not None:
            self._endpoints_proof.record_reported(
                update.echo + update.endpoints_known_by
            )
        if update.versions_known_by is not None:
            # Only now: the versions of this update were acknowledged before that time.
            self.rows.versions_proof.record(update.echo + update.versions_known_by)
        if not self.leaders.leads and received.followed:
            self._apply_totals(update)

    def _check_overtaken(self, version: int) -> None:
        """Report, once, that another daemon knows a later configuration than a leader.

        A leader learns of each configuration by its own watch, which may be silent.
        """
        configuration = self._fleet.configuration
        known = configuration.version if configuration else 0
        if self.leaders.leads and version > max(known, self._later_version):
            self._later_version = version
            log_decision(
                LOG, Decision.CONFIGURATION_OVERTAKEN, version=known, later=version
            )
            self.notify_overtaken()

    def _make_received_update(self, data_centre: str, update: Any) -> ReceivedUpdate:
        """Return an update with the context in which to apply it."""
        return ReceivedUpdate(
            update=update,
            data_centre=data_centre,
            led_data_centres=frozenset(each.data_centre for each in update.leads),
            as_of=decode_endpoints_revision(update),
            followed=self.leaders.find_primary() == data_centre,
        )

    def _apply_authority(self, update: Any) -> None:
        """Record the time up to which the leader knows all configurations.

        This is skipped until the leader's configuration is in force at this daemon.
        """
        configuration = self._fleet.configuration
        if configuration is None or update.known_by is None:
            return
        if configuration.version >= update.configuration_version:
            self._authority.record(update.echo + update.known_by)

    def _apply_totals(self, update: Any) -> None:
        """Apply occupancy and daemon count, which only regular updates carry."""
        if update.words is not None:
            self._limiter.apply_throttles(
                [decode_throttle(row) for row in update.words]
            )
        self._relay.finder.load_wait = update.load_wait
        if update.in_flight is not None:
            self._relay.finder.remote_occupancy = decode_occupancy(update).minus(
                self._reported_occupancy
            )
            self._record_daemon_count(update.daemons)

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Put a configuration in force unless it is older, and send it to followers."""
        applied = self._fleet.apply_configuration(configuration)
        if applied:
            self.ledger.apply_organisations(configuration.organisations)
            if self.ledger.orders is not None:
                self.ledger.orders.apply_organisations(
                    configuration.organisations, self._clock()
                )
        if applied and self.leaders.leads:
            self.feed.expedite()
        return applied

    def get_lease(self, endpoint: Endpoint) -> Lease:
        """Return the lease under which orders for an endpoint are given."""
        lease = self._leases.get(endpoint.data_centre)
        return lease or self._leases[min(self._leases)]

    def apply_local_report(self) -> None:
        """Process this daemon's requests like the reports of its followers."""
        if self.speeds is not None:
            self.speeds.run_maintenance()
        if self.leader is None or not self.leaders.leads:
            return
        local = self._deployment
        demand = self._relay.finder.demand
        self._group.apply_demand(
            local.vm, local.data_centre, demand.pop_demand(self._clock())
        )
        for endpoint, key in demand.pop_refused():
            self._group.record_refused(endpoint, key)
        self._group.apply_outcomes(self._relay.health.outcomes.pop())
        self.bound_demand.apply_local()
        self._group.apply_spendings(self._limiter.pop_spendings(), of_group=True)
        throttles = self._make_throttles()
        if throttles is not None:
            self._limiter.apply_throttles(throttles)
        self._sum_totals()
        self._relay.finder.load_wait = self.leader.estimate_load_wait()
        self._record_daemon_count(self.feed.count_daemons())
        self.credits.issue()

    def _count_daemons(self) -> int:
        """Return the number of daemons that this leader tells its followers."""
        self._record_daemon_count(self.feed.count_daemons())
        return self.daemon_count.maximum or 1

    def _record_daemon_count(self, count: int) -> None:
        """Record the number of daemons that are heard, here or by the leader.

        Shares of common limits are computed by its maximum: daemons that are not heard
        may still use theirs.
        """
        self.daemon_count.record(count, self._clock())
        daemons, before = self.daemon_count.maximum, self._relay.budget.daemon_count
        if daemons is None or daemons == before:
            return
        log_decision(
            LOG,
            Decision.DAEMONS_COUNTED,
            daemons=daemons,
            before=before,
            leads=self.leaders.leads,
        )
        self._relay.budget.daemon_count = daemons
        self._limiter.daemons = daemons

    def list_uses(self) -> set[Use]:
        """Return the adapters in use on each engine, as reported by all daemons."""
        local = self._relay.finder.demand.uses
        return set(local).union(*self.feed.list_uses())

    def _record_notice(self, endpoint: EndpointId) -> None:
        """Apply a new notice of an endpoint, and report it at once."""
        known = self._fleet.endpoints.get(endpoint)
        if known is not None:
            self._fleet.put_endpoint(known)
        if self.leader is not None:
            self.leader.record_notice(endpoint)
        self._expedite_facts()
        if self.leaders.leads:
            # The endpoint's own leader gets notices from the reports of other leaders.
            self._expedite_leader_reports()

    def _wake_credit_waiter(self, endpoint: Endpoint) -> None:
        """Wake the most urgent request that waits for a credit at an endpoint."""
        awaited: list[WaitTarget] = [*endpoint.weights, endpoint.service]
        self._relay.finder.waiters.wake_most_urgent(awaited)

    def _expedite_facts(self) -> None:
        """Send new poison facts and notices at once."""
        if self.leaders.leads:
            self.feed.expedite()
            return
        primary = self.leaders.find_primary()
        if primary is not None:
            self.expedite(primary)

    def _expedite_departures(self, seen_here: bool) -> None:
        """Send a new departure at once; followers report only their own."""
        if seen_here or self.leaders.leads:
            self._expedite_facts()

    def _report_use_change(self) -> None:
        """Report an adapter's first or last use at once if no places are free."""
        if self.leaders.leads and self.leader is not None:
            if self.leader.is_over_capacity:
                self.leader.wake()
                self._expedite_leader_reports()
            return
        primary = self.leaders.find_primary()
        if primary is not None and self.leaders.clients[primary].free_capacity <= 0:
            self.expedite(primary)

    def _sum_totals(self) -> None:
        """Sum the occupancy of all daemons, as a leader."""
        if self.leader is None:
            return
        self._totals_summed_at = self._clock()
        total = self.feed.sum_occupancy()
        self.leader.occupancy = total
        self._relay.finder.remote_occupancy = total.minus(
            self._relay.health.measure(self._clock())
        )

    def _notify_totals_change(self, peer: Peer) -> None:
        """Forward a significant change of a daemon's unread prompt tokens."""
        if not self.leaders.leads:
            return
        if self._clock() - self._totals_summed_at >= MIN_TOTALS_INTERVAL:
            self._sum_totals()
        self.feed.expedite_totals()
        if not peer.leads:
            self._expedite_leader_reports()

    def _record_local_reading(self, tokens: int) -> None:
        """Report at once that an endpoint starts or ends a long prefill."""
        if tokens < SIGNIFICANT_TOKENS:
            return
        if self.leaders.leads:
            self.feed.expedite_totals()
            self._expedite_leader_reports()
            return
        primary = self.leaders.find_primary()
        if primary is not None:
            self.expedite(primary)

    def _expedite_leader_reports(self) -> None:
        """Send the next reports to the other leaders at once."""
        for client in self.leaders.clients.values():
            if client.is_alive():
                client.expedite()

    def expire_leader_state(self) -> None:
        """Drop what a leader reported once no leader is reachable."""
        now = self._clock()
        if self.leaders.leads or self.leaders.find_primary() is not None:
            self._leader_contact_at = now
            return
        is_changing = now - self._leader_contact_at < LEADER_CHANGE_DURATION
        self._relay.finder.load_wait = LEADER_CHANGE_LOAD_WAIT if is_changing else None
        self._relay.finder.remote_occupancy = EMPTY
