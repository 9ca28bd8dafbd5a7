"""Maintains the rows of endpoints and versions from leaders and the store."""

import logging
from collections.abc import Callable
from dataclasses import replace

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.relay import Relay
from kestreltally.fleet.model import (
    Endpoint,
    EndpointId,
    Seconds,
    WeightsKey,
    is_other_incarnation,
)
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.endpoints_age import EndpointsAge
from kestreltally.knowledge.feed_parts import FeedPart, ReceivedUpdate
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.removals import RemovalOrigin, RemovalSource
from kestreltally.knowledge.rows import apply_change, decode_endpoint, decode_weights
from kestreltally.knowledge.tombstones import Tombstones
from kestreltally.placing.leader import Leader
from kestreltally.placing.lease import Lease

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
        self.tombstones = Tombstones()

    # Updates of leaders.

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Apply rows, changes of weights, removals and versions of an update."""
        update = received.update
        if update.whole:
            self._drop_missing(received)
        for row in update.rows or ():
            endpoint = decode_endpoint(row)
            if self.tombstones.is_removed(endpoint, received.as_of):
                self._log_outdated(endpoint, received)
            else:
                self.put_row(endpoint)
        for change in update.changes or ():
            known = self._fleet.endpoints.get(EndpointId(change.id))
            if known is not None:
                self.put_row(apply_change(known, change))
        for name in update.gone or ():
            origin = RemovalOrigin(RemovalSource.LEADER, update.leader)
            self.drop_row(EndpointId(name), received.as_of, origin)
        for each in update.versions or ():
            self.apply_version(*decode_weights(each))

    def _log_outdated(self, endpoint: Endpoint, received: ReceivedUpdate) -> None:
        log_decision(
            LOG,
            Decision.ENDPOINT_ROW_OUTDATED,
            endpoint=endpoint.id,
            leader=received.update.leader,
            row_age=round(self._clock() - received.as_of, 3),
        )

    def _drop_missing(self, received: ReceivedUpdate) -> None:
        """Remove endpoints that a full update lacks.

        A leader removes only those that the sender leads. An empty update is ignored:
        it comes from a leader that has just started, perhaps while entries of the store
        had expired, so the rows already known are better.
        """
        present = {each.id for each in received.update.rows or ()}
        if not present:
            return
        origin = RemovalOrigin(RemovalSource.FULL_UPDATE, received.update.leader)
        for endpoint in list(self._fleet.endpoints.values()):
            is_covered = (
                not self._leaders.leads
                or endpoint.data_centre in received.led_data_centres
            )
            if is_covered and endpoint.id not in present:
                self.drop_row(endpoint.id, received.as_of, origin)

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
        self, endpoint: EndpointId, as_of: Seconds, origin: RemovalOrigin
    ) -> None:
        """Remove an endpoint that is missing in the store as of a time."""
        known = self._fleet.endpoints.get(endpoint)
        if known is not None:
            self._log_removed(endpoint, as_of, origin)
            self.tombstones.record(known, as_of)
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
        self, endpoint: EndpointId, as_of: Seconds, origin: RemovalOrigin
    ) -> None:
        log_decision(
            LOG,
            Decision.ENDPOINT_GONE,
            endpoint=endpoint,
            source=origin.source.value,
            leader=origin.leader,
            doubted_for=origin.doubted_for,
            age=round(self._clock() - as_of, 3),
            proof_age=self._age.describe(),
            last_sent=self._describe_last_sent(endpoint),
        )

    def apply_version(self, key: WeightsKey, number: int) -> None:
        """Apply the newest version of some weights."""
        if (
            self._fleet.apply_version(key, number, self._clock())
            and self._leaders.leads
        ):
            self._expedite()

    # Entries of the store.

    def put_entry(self, endpoint: Endpoint) -> None:
        """Apply an endpoint's entry of the store unless a leader has newer data."""
        self.tombstones.remove(endpoint.id)
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

    def drop_entry(self, endpoint: EndpointId, origin: RemovalOrigin) -> None:
        """Remove an endpoint that the store no longer lists."""
        self.drop_row(endpoint, self._clock(), origin)

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
