"""The order of the lists that daemons send by datagrams, which may overtake."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from kestreltally.deployment import SocketAddress
from kestreltally.fleet.model import EndpointId, Seconds

# Lists do not overtake one another by more than this.
ORDER_TTL: Final[Seconds] = 2.0


@dataclass(frozen=True, slots=True)
class _ListOrder:
    """The start of a daemon that sent a list, its number, and when it arrived."""

    boot: int
    serial: int
    at: Seconds


class ListOrder:
    """The latest list of each daemon for each endpoint, and where daemons listen."""

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._latest: dict[tuple[str, EndpointId], _ListOrder] = {}
        self._pruned_at = clock()
        self.addresses: dict[str, SocketAddress] = {}

    def record(self, message: Any, endpoint: EndpointId, sender: SocketAddress) -> bool:
        """Record a list; return whether it is newer than the last one."""
        order = _ListOrder(message.boot, message.serial, self._clock())
        latest = self._latest.get((message.vm, endpoint))
        is_same_start = latest is not None and latest.boot == order.boot
        if latest is not None and is_same_start and latest.serial >= order.serial:
            return False
        self._latest[message.vm, endpoint] = order
        self.addresses[message.vm] = sender
        return True

    def clear(self) -> None:
        """Forget all lists."""
        self._latest.clear()
        self.addresses.clear()

    def prune(self) -> None:
        """Forget old lists, and daemons without any."""
        oldest = self._clock() - ORDER_TTL
        if self._pruned_at > oldest:
            return
        self._pruned_at = self._clock()
        self._latest = {k: v for k, v in self._latest.items() if v.at > oldest}
        daemons = {name for name, _ in self._latest}
        self.addresses = {k: v for k, v in self.addresses.items() if k in daemons}
