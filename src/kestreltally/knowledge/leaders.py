"""Who leads the engines of each data centre, and whom this daemon follows."""

from collections.abc import Mapping
from typing import Final

from kestreltally.deployment import Deployment, Listening
from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.feed_client import FeedClient
from kestreltally.knowledge.updates import KnownLeader
from kestreltally.placing.lease import Lease

# A leader whose own knowledge of endpoints is older than this is not relied upon.
MAX_FEED_AGE: Final[Seconds] = 1.0


class Leaders:
    """What is known of leaders, by the leases here, the store and other leaders' word.

    ``clients`` follow the leader of each data centre; they are given once made.
    """

    def __init__(self, deployment: Deployment, leases: Mapping[str, Lease]) -> None:
        self._deployment = deployment
        self._leases = leases
        self.clients: Mapping[str, FeedClient] = {}
        # What leaders tell of each other, by data centre.
        self._reported: dict[str, KnownLeader] = {}

    def record_reported(self, data_centre: str, leader: KnownLeader) -> None:
        """Take in a leader's word on who leads a data centre."""
        known = self._reported.get(data_centre)
        newer = known is None or known.fence < leader.fence
        if data_centre in self._leases and newer:
            self._reported[data_centre] = leader

    @property
    def leads(self) -> bool:
        """Tell whether this daemon holds any lease."""
        return any(lease.leads for lease in self._leases.values())

    def is_reachable(self, data_centre: str) -> bool:
        """Tell whether the leader of a data centre is heard, or is this daemon."""
        return self._leases[data_centre].leads or self.clients[data_centre].is_alive()

    def should_poll(self, lease: Lease) -> bool:
        """Tell whether a lease is to be looked at in the store."""
        if self.is_reachable(lease.data_centre):
            return False
        local = self._deployment.data_centre
        return lease.data_centre == local or self.leads or not self.is_reachable(local)

    def find_primary(self) -> str | None:
        """Return the data centre whose leader this daemon follows, if it leads none.

        That is the own one, unless only another's knows what the store holds now.
        """
        local = self._deployment.data_centre
        names = [local, *(name for name in self.clients if name != local)]
        alive = [name for name in names if self.clients[name].is_alive()]
        fresh = (name for name in alive if self.is_fresh(name))
        return next(fresh, alive[0] if alive else None)

    def is_fresh(self, data_centre: str) -> bool:
        """Tell whether a leader is heard that knows what the store holds now."""
        client = self.clients[data_centre]
        return client.is_alive() and client.store_age < MAX_FEED_AGE

    def has_fresh_feed(self) -> bool:
        """Tell whether a leader's fresh knowledge of endpoints reaches this daemon."""
        return any(self.is_fresh(name) for name in self.clients)

    def find_known_leader(self, data_centre: str) -> KnownLeader | None:
        """Return who leads a data centre, by the store or by another leader's word."""
        reported = self._reported.get(data_centre)
        record = self._leases[data_centre].record
        if record is None or (reported is not None and reported.fence > record.fence):
            return reported
        if record.released:
            return None
        address = Listening(record.host, record.port)
        return KnownLeader(record.holder, address, record.fence)

    def list_reachable(self) -> dict[str, KnownLeader]:
        """Return the leaders that are heard, this daemon among them."""
        known = {
            name: self.find_known_leader(name)
            for name in self._leases
            if self.is_reachable(name)
        }
        return {name: each for name, each in known.items() if each is not None}

    def find_address(self, data_centre: str) -> Listening | None:
        """Return the address of a leader to follow, if it is to be followed."""
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
        """Begin to follow the leaders that are to be followed now."""
        for client in self.clients.values():
            client.wake_if_needed()
