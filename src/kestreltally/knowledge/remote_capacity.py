"""What other leaders report of the loads that their engines can take."""

from collections.abc import Mapping
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.feed_client import FeedClient

# Limits on the load wait that another leader reports. Above the first one its free
# capacity is not used. Above the second one, it is not even asked for adapters of which
# its engines keep copies. The second limit is higher, as copies are loaded ahead of
# adapters from the store. A leader that cannot give orders yet reports a longer wait.
MAX_CAPACITY_LOAD_WAIT: Final[Seconds] = 0.5
MAX_HANDOVER_LOAD_WAIT: Final[Seconds] = 2.0


class RemoteCapacity:
    """The capacity of the other leaders, by the feeds that this daemon follows."""

    def __init__(self, clients: Mapping[str, FeedClient]) -> None:
        self._clients = clients

    def can_load_quickly(self, data_centre: str) -> bool:
        """Return whether another data centre's leader can load kept copies now."""
        client = self._clients.get(data_centre)
        return client is not None and client.can_load_within(MAX_HANDOVER_LOAD_WAIT)

    def get_free_capacity(self) -> dict[str, int]:
        """Return the number of adapters that other leaders' engines can still take.

        Only leaders that can give orders now are included.
        """
        return {
            name: client.free_capacity
            for name, client in self._clients.items()
            if client.can_load_within(MAX_CAPACITY_LOAD_WAIT)
        }

    def get_min_load_wait(self) -> Seconds | None:
        """Return the shortest load wait of the reachable leaders, if any."""
        load_waits = (
            each.load_wait for each in self._clients.values() if each.is_alive()
        )
        return min(load_waits, default=None)
