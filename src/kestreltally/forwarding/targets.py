"""The daemons that reach endpoints, and the choice among them."""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from kestreltally.deployment import SocketAddress
from kestreltally.fleet.model import Seconds

# Leaders tell of targets five times a second while this daemon reaches no endpoint, and
# every two seconds otherwise.
TARGET_TTL: Final[Seconds] = 8.0
# How long a daemon that could not be reached, or could not serve, is passed over.
FAILED_PAUSE: Final[Seconds] = 1.0
# Targets of which the least loaded is chosen: many daemons choose by the same figures.
SAMPLE: Final = 2
# Bytes between data centres are priced, and take longer.
REMOTE_FACTOR: Final = 1.5


@dataclass(frozen=True, slots=True)
class ForwardTarget:
    """A daemon that reaches endpoints, and the number of its requests in flight."""

    address: SocketAddress
    data_centre: str
    load: int


class ForwardTargets:
    """The targets that leaders have told of."""

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._targets: dict[SocketAddress, ForwardTarget] = {}
        self._told_at: dict[SocketAddress, Seconds] = {}
        self._failed_at: dict[SocketAddress, Seconds] = {}
        # Requests that this daemon has passed on and that have not ended.
        self.in_flight: Counter[SocketAddress] = Counter()

    def apply(self, targets: Iterable[ForwardTarget], now: Seconds) -> None:
        """Add targets, or replace what is known of them."""
        for target in targets:
            self._targets[target.address] = target
            self._told_at[target.address] = now
        old = [a for a, at in self._told_at.items() if now - at > TARGET_TTL]
        for address in old:
            del self._targets[address], self._told_at[address]
            self._failed_at.pop(address, None)

    def record_failed(self, address: SocketAddress, now: Seconds) -> None:
        """Record that a target could not be reached, or cannot serve."""
        self._failed_at[address] = now

    def choose(
        self, excluded: set[SocketAddress], now: Seconds
    ) -> ForwardTarget | None:
        """Return a target with little load, None if there is none."""
        usable = [
            each
            for each in self._targets.values()
            if each.address not in excluded
            and now - self._told_at[each.address] <= TARGET_TTL
            and now - self._failed_at.get(each.address, float("-inf")) > FAILED_PAUSE
        ]
        sample = random.sample(usable, min(SAMPLE, len(usable)))
        return min(sample, key=self._compute_cost, default=None)

    def _compute_cost(self, target: ForwardTarget) -> float:
        load = 1 + target.load + self.in_flight[target.address]
        return load * (
            1.0 if target.data_centre == self._data_centre else REMOTE_FACTOR
        )
