"""Tracks the leader of each data centre, and which leader this daemon follows."""

from collections.abc import Mapping

from kestreltally.deployment import Deployment, SocketAddress
from kestreltally.knowledge.endpoints_age import MAX_PROOF_FRACTION
from kestreltally.knowledge.feed_client import FeedClient
from kestreltally.knowledge.updates import KnownLeader
from kestreltally.placing.lease import Lease


class Leaders:
    """The known leaders, by local leases, the store, and the reports of other leaders.

    ``clients`` follow the leader of each data centre; they are assigned later.
    """

    def __init__(self, deployment: Deployment, leases: Mapping[str, Lease]) -> None:
        self._deployment = deployment
        # A leader whose own view of the store is older does not count as fresh.
        self._max_store_age = MAX_PROOF_FRACTION * deployment.bounds.drain
        self._leases = leases
        self.clients: Mapping[str, FeedClient] = {}
        # The leaders that other leaders reported, by data centre.
        self._reported: dict[str, KnownLeader] = {}

    def record_reported(self, data_centre: str, leader: KnownLeader) -> None:
        """Record the leader of a data centre that another leader reports."""
        known = self._reported.get(data_centre)
        newer = known is None or known.fence < leader.fence
        if data_centre in self._leases and newer:
            self._reported[data_centre] = leader

    @property
    def leads(self) -> bool:
        """Return whether this daemon holds any lease."""
        return any(lease.leads for lease in self._leases.values())

    def is_reachable(self, data_centre: str) -> bool:
        """Return whether a data centre's leader is this daemon or is reachable."""
        return self._leases[data_centre].leads or self.clients[data_centre].is_alive()

    def should_poll(self, lease: Lease) -> bool:
        """Return whether to poll a lease in the store."""
        if self.is_reachable(lease.data_centre):
            return False
        local = self._deployment.data_centre
        return lease.data_centre == local or self.leads or not self.is_reachable(local)

    def find_primary(self) -> str | None:
        """Return the data centre whose leader this daemon follows if it does not lead.

        This is the local data centre, unless only another one has a fresh leader.
        """
        local = self._deployment.data_centre
        names = [local, *(name for name in self.clients if name != local)]
        alive = [name for name in names if self.clients[name].is_alive()]
        fresh = (name for name in alive if self.is_fresh(name))
        return next(fresh, alive[0] if alive else None)

    def find_followed(self) -> SocketAddress | None:
        """Return the address of the leader that this daemon follows, if any."""
        primary = None if self.leads else self.find_primary()
        known = self.find_known_leader(primary) if primary is not None else None
        return known.address if known is not None else None

    def is_fresh(self, data_centre: str) -> bool:
        """Return whether a leader is reachable whose view of the store is fresh."""
        client = self.clients[data_centre]
        return client.is_alive() and client.store_age < self._max_store_age

    def has_fresh_feed(self) -> bool:
        """Return whether the feed of any fresh leader reaches this daemon."""
        return any(self.is_fresh(name) for name in self.clients)

    def find_known_leader(self, data_centre: str) -> KnownLeader | None:
        """Return the leader of a data centre, by the store or another leader's report.

        The one with the higher fence is returned.
        """
        reported = self._reported.get(data_centre)
        record = self._leases[data_centre].record
        if record is None or (reported is not None and reported.fence > record.fence):
            return reported
        if record.released:
            return None
        address = SocketAddress(record.host, record.port)
        return KnownLeader(record.holder, address, record.fence)

    def list_reachable(self) -> dict[str, KnownLeader]:
        """Return the reachable leaders, including this daemon."""
        known = {
            name: self.find_known_leader(name)
            for name in self._leases
            if self.is_reachable(name)
        }
        return {name: each for name, each in known.items() if each is not None}

    def find_address(self, data_centre: str) -> SocketAddress | None:
        """Return the address of the leader if this daemon should follow it."""
        known = self.find_known_leader(data_centre)
        if known is None or known.vm == self._deployment.vm:
            return None
        if self._leases[data_centre].leads:
            return None
        local = self._deployment.data_centre
        if data_centre != local and not self.leads and self.is_fresh(local):
            return None
        return known.address

    def follow(self) -> None:
        """Start to follow the leaders that this daemon should follow now."""
        for client in self.clients.values():
            client.wake_if_needed()
