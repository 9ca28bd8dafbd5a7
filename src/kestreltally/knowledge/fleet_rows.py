"""Maintains the rows of endpoints and versions from leaders and the store."""

import logging
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.relay import Relay
from kestreltally.fleet.model import (
    Endpoint,
    EndpointId,
    KnownNotice,
    Seconds,
    WeightsKey,
    is_other_incarnation,
)
from kestreltally.fleet.tables import Fleet
from kestreltally.fleet.versions import VersionsProof, describe_time
from kestreltally.knowledge.departures import Departure
from kestreltally.knowledge.endpoints_age import EndpointsAge
from kestreltally.knowledge.feed_parts import FeedPart, ReceivedUpdate
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.offered_rows import OfferedRows
from kestreltally.knowledge.removal_origins import RemovalOrigin, RemovalSource
from kestreltally.knowledge.removals import Removals
from kestreltally.knowledge.rows import apply_change, decode_endpoint, decode_weights
from kestreltally.placing.leader import Leader
from kestreltally.placing.lease import Lease
from kestreltally.platform.store import Revision

LOG = logging.getLogger("kestreltally.knowledge")


class FleetRows(FeedPart):
    """Applies leaders' updates and the store's entries to the fleet's tables.

    ``get_leader`` returns this daemon's ``Leader``, None while the daemon is being
    constructed. ``expedite`` sends changes to followers at once.
    """

    def __init__(
        self,
        fleet: Fleet,
        relay: Relay,
        leaders: Leaders,
        get_leader: Callable[[], Leader | None],
        get_lease: Callable[[Endpoint], Lease],
        expedite: Callable[[], None],
        age: EndpointsAge,
        clock: Callable[[], Seconds],
    ) -> None:
        self._fleet = fleet
        self._age = age
        self._relay = relay
        self._leaders = leaders
        self._get_leader = get_leader
        self._get_lease = get_lease
        self._expedite = expedite
        self._clock = clock
        self._offered: dict[str, OfferedRows] = defaultdict(OfferedRows)
        self.versions_proof = VersionsProof()
        self.removals = Removals(fleet.endpoints, clock)
        fleet.notices.notify_leaving = self.removals.record_leaving

    # Updates of leaders.

    def is_reconciled(self, data_centre: str) -> bool:
        """Return whether the leader's updates cover all that this daemon knows."""
        return self._offered[data_centre].is_reconciled

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Ask a leader that has caught up with this daemon's list for all rows."""
        report.wants_full = self._offered[data_centre].wants_full or None

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Apply rows, changes of weights, removals and versions of an update."""
        update = received.update
        offered = self._offered[received.data_centre]
        if update.whole:
            self._apply_full(received, offered)
        elif received.as_of is not None:
            offered.record_revision(received.as_of)
        if update.present:
            self._drop_absent(received)
        for row in update.rows or ():
            self._apply_row(decode_endpoint(row), received, offered)
        for change in update.changes or ():
            self._apply_change(change, offered)
        for name in update.gone or ():
            self._apply_gone(EndpointId(name), received, offered)
        for each in update.versions or ():
            self.apply_version(*decode_weights(each))
        self._use_withheld(received, offered)
        if update.complete and offered.is_reconciled and received.as_of is not None:
            self.removals.record_complete(received.as_of)

    def _use_withheld(self, received: ReceivedUpdate, offered: OfferedRows) -> None:
        """Use withheld rows that the sender lists as of a later revision.

        It says nothing of rows that it does not send any more: a leader is sent only
        those that the sender leads, even if it was sent all before it led.
        """

        def is_usable(endpoint: Endpoint) -> bool:
            is_covered = (
                received.update.complete
                or endpoint.data_centre in received.led_data_centres
            )
            return is_covered and not self.removals.is_outdated(
                endpoint, received.as_of
            )

        for endpoint in offered.pop_usable(is_usable):
            self._use_row(endpoint, offered)

    def _apply_row(
        self, endpoint: Endpoint, received: ReceivedUpdate, offered: OfferedRows
    ) -> None:
        if self.removals.is_outdated(endpoint, received.as_of):
            self._log_outdated(endpoint, received)
            offered.withhold(endpoint)
            return
        self._use_row(endpoint, offered)

    def _use_row(self, endpoint: Endpoint, offered: OfferedRows) -> None:
        offered.record_sent(endpoint.id)
        self.removals.record_listed(endpoint.id)
        self.put_row(endpoint)

    def _apply_change(self, change: Any, offered: OfferedRows) -> None:
        """Apply a change of an engine's weights to its row, or to a withheld one."""
        name = EndpointId(change.id)
        withheld = offered.get_withheld(name)
        if withheld is not None:
            offered.withhold(apply_change(withheld, change))
            return
        known = self._fleet.endpoints.get(name)
        if known is not None:
            self.put_row(apply_change(known, change))

    def _apply_gone(
        self, endpoint: EndpointId, received: ReceivedUpdate, offered: OfferedRows
    ) -> None:
        offered.record_gone(endpoint)
        if not self.removals.is_overridden(received.as_of):
            origin = RemovalOrigin(RemovalSource.LEADER, received.update.leader)
            self.drop_row(endpoint, received.as_of, origin)

    def _log_outdated(self, endpoint: Endpoint, received: ReceivedUpdate) -> None:
        log_decision(
            LOG,
            Decision.ENDPOINT_ROW_OUTDATED,
            endpoint=endpoint.id,
            leader=received.update.leader,
            row_revision=received.as_of,
            known_revision=self.removals.revision,
        )

    def _apply_full(self, received: ReceivedUpdate, offered: OfferedRows) -> None:
        """Remove endpoints that a full update lacks, unless a later list has them."""
        missing = self._list_missing(received)
        if not self.removals.is_overridden(received.as_of):
            offered.reset(None)
            origin = RemovalOrigin(RemovalSource.FULL_UPDATE, received.update.leader)
            for endpoint in missing:
                self.drop_row(endpoint, received.as_of, origin)
            return
        # A leader has its own list; it takes the rows of others as they come.
        must_reconcile = bool(missing) and not self._leaders.leads
        offered.reset(self.removals.revision if must_reconcile else None)

    def _list_missing(self, received: ReceivedUpdate) -> list[EndpointId]:
        """Return the known endpoints that a full update lacks.

        For a leader these are only those that the sender leads. An empty update lacks
        none: it comes from a leader that has just started, perhaps while entries of the
        store had expired, so the rows already known are better.
        """
        present = {each.id for each in received.update.rows or ()}
        if not present:
            return []
        return [
            each.id
            for each in self._fleet.endpoints.values()
            if each.id not in present
            and (
                not self._leaders.leads or each.data_centre in received.led_data_centres
            )
        ]

    def _drop_absent(self, received: ReceivedUpdate) -> None:
        """Remove endpoints that another leader lacks in a later list of all.

        Entries that are kept in doubt may have expired before that leader started.
        """
        if received.as_of is None or received.as_of <= self.removals.revision:
            return
        present = set(received.update.present)
        origin = RemovalOrigin(RemovalSource.ABSENCE, received.update.leader)
        for endpoint in list(self._fleet.endpoints):
            if endpoint not in present and endpoint not in self.removals.doubts:
                self.drop_row(endpoint, received.as_of, origin)

    # Departures.

    def apply_departure(self, departure: Departure, sender: str) -> None:
        """Apply what another daemon has learned of an endpoint that left."""
        name, start_time_ms = departure.endpoint, departure.start_time_ms
        if departure.revision is None:
            notice = KnownNotice(name, start_time_ms, leaves=True, backoff=0.0)
            self._fleet.notices.apply_reported([notice], self._clock())
            return
        if not self.removals.is_news(departure, departure.revision):
            return
        origin = RemovalOrigin(
            RemovalSource.DEPARTURE, sender, certain=departure.certain
        )
        if name in self._fleet.endpoints:
            self.drop_row(name, departure.revision, origin)
        else:
            self.removals.record_removed(
                name, start_time_ms, departure.revision, origin
            )

    # Rows.

    def put_row(self, endpoint: Endpoint) -> None:
        """Store a row, wake requests for its weights, and send it to followers."""
        known = self._fleet.endpoints.get(endpoint.id)
        if known is not None and not self._replace_incarnation(known, endpoint):
            return
        self._fleet.put_endpoint(endpoint)
        if endpoint.leaving and not (known is not None and known.leaving):
            self._log_leaving(endpoint.id)
        self._relay.finder.waiters.wake(endpoint.weights)
        if self._leaders.leads:
            self._expedite()

    def _log_leaving(self, endpoint: EndpointId) -> None:
        log_decision(
            LOG,
            Decision.ENDPOINT_LEAVING,
            endpoint=endpoint,
            leads=self._leaders.leads,
            proof_age=self._age.describe(),
            last_sent=self._describe_last_sent(endpoint),
        )

    def _describe_last_sent(self, endpoint: EndpointId) -> Seconds | None:
        """Return how long ago a request was last sent to an endpoint, if one was."""
        sent_at = self._fleet.notices.sent_at.get(endpoint)
        return None if sent_at is None else round(self._clock() - sent_at, 3)

    def _replace_incarnation(self, known: Endpoint, endpoint: Endpoint) -> bool:
        """Remove an earlier incarnation of an engine; return whether a row is current.

        An engine that restarts under its id has none of its previous weights, and a row
        of an earlier incarnation may arrive late.
        """
        if not is_other_incarnation(known.start_time_ms, endpoint.start_time_ms):
            return True
        if endpoint.start_time_ms < known.start_time_ms:
            return False
        self._relay.poison.crash_detector.record_replaced(known)
        self._fleet.drop_endpoint(known.id)
        self._relay.health.reset(known.id)
        self._relay.finder.prefill_times.remove(known.id)
        return True

    def drop_row(
        self, endpoint: EndpointId, as_of: Revision | None, origin: RemovalOrigin
    ) -> None:
        """Remove an endpoint that is missing in the store as of a revision."""
        known = self._fleet.endpoints.get(endpoint)
        if known is not None:
            self._log_removed(endpoint, as_of, origin)
            self.removals.record_removed(
                endpoint, known.start_time_ms, as_of or self.removals.revision, origin
            )
            for offered in self._offered.values():
                offered.record_dropped(known)
            self._relay.poison.crash_detector.record_removed(known)
        leader = self._get_leader()
        if leader is not None:
            leader.drop_endpoint(endpoint)
        self._fleet.drop_endpoint(endpoint)
        self._relay.health.remove(endpoint)
        self._relay.finder.prefill_times.remove(endpoint)
        if self._leaders.leads:
            self._expedite()

    def _log_removed(
        self, endpoint: EndpointId, as_of: Revision | None, origin: RemovalOrigin
    ) -> None:
        log_decision(
            LOG,
            Decision.ENDPOINT_GONE,
            endpoint=endpoint,
            source=origin.source.value,
            leader=origin.leader,
            doubted_for=origin.doubted_for,
            revision=as_of,
            proof_age=self._age.describe(),
            last_sent=self._describe_last_sent(endpoint),
        )

    def apply_version(self, key: WeightsKey, number: int) -> None:
        """Apply the newest version of some weights."""
        absent_at = self.versions_proof.as_of
        if not self._fleet.apply_version(key, number, absent_at):
            return
        log_decision(
            LOG,
            Decision.VERSION_LEARNED,
            weights=str(key),
            version=number,
            absent_ago=describe_time(self._clock() - absent_at),
        )
        if self._leaders.leads:
            self._expedite()

    # Entries of the store.

    def put_entry(self, endpoint: Endpoint, as_of: Revision) -> None:
        """Apply an endpoint's entry of the store unless a leader has newer data."""
        if self.removals.is_outdated(endpoint, as_of):
            return
        self.removals.record_listed(endpoint.id)
        lease = self._get_lease(endpoint)
        leader = self._get_leader()
        if lease.leads and leader is not None:
            leader.put_endpoint(endpoint)
        elif (
            self._leaders.clients[lease.data_centre].is_alive() and not endpoint.leaving
        ):
            known = self._fleet.endpoints.get(endpoint.id)
            if known is None or is_other_incarnation(
                known.start_time_ms, endpoint.start_time_ms
            ):
                self.put_row(endpoint)
        else:
            self.put_row(endpoint)

    def drop_entry(
        self, endpoint: EndpointId, as_of: Revision, origin: RemovalOrigin
    ) -> None:
        """Remove an endpoint that the store no longer lists."""
        if not self.removals.is_overridden(as_of):
            self.drop_row(endpoint, as_of, origin)

    def expire_leader_state(self) -> None:
        """Drop state of endpoints that only an unreachable leader could report.

        Another leader may order its loads, and its quarantined endpoints are usable.
        """
        if not self._leaders.leads and self._leaders.find_primary() is not None:
            return
        for endpoint in list(self._fleet.endpoints.values()):
            data_centre = self._get_lease(endpoint).data_centre
            leader_only = endpoint.loading or endpoint.quarantined
            if leader_only and not self._leaders.is_reachable(data_centre):
                self.put_row(replace(endpoint, loading=frozenset(), quarantined=False))
