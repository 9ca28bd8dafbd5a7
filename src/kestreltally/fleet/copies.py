"""Which engines may have kept a copy of an adapter that they held lately.

An engine loads an adapter from its own copy about ten times as fast as from the weight
store, at no price, and keeps those that it dropped last. Every daemon sees adapters
leave engines by the rows that it is told, so this knowledge costs no message, and a
daemon that begins to lead has it already.
"""

from collections import OrderedDict, defaultdict
from typing import Final

from kestreltally.fleet.model import EndpointId, WeightsKey

# How many drops back an engine is taken to keep copies before any load has told:
# engines of 9 and 16 places kept theirs for some 30 and 64.
INITIAL_DEPTH: Final = 48
# A load that was slow, so that its copy was gone, moves the belief by this part of the
# way to what it tells; one that was quick moves it up by so many drops, for a load that
# is slow for another reason must be made up for. Believing too much costs little: the
# load is slow on one engine as on another.
DEPTH_WEIGHT: Final = 0.2
DEPTH_INCREMENT: Final = 0.25
# Adapters remembered at the most, 440 bytes each: 37 engines keep copies of some 2,000,
# and a daemon's memory must not grow with the fleet.
MAX_ROWS: Final = 8_192


class CopyTable:
    """The adapters that engines dropped lately, by how many drops ago.

    ``depth`` is how many drops back an engine is believed to keep copies.
    """

    def __init__(self) -> None:
        self._drops: dict[EndpointId, int] = defaultdict(int)
        self._dropped_at: OrderedDict[WeightsKey, dict[EndpointId, int]] = OrderedDict()
        self.depth: float = INITIAL_DEPTH

    def record_dropped(self, endpoint: EndpointId, key: WeightsKey) -> None:
        """Take in that an engine no longer holds an adapter."""
        if not key.adapter:
            return
        self._drops[endpoint] += 1
        self._dropped_at.setdefault(key, {})[endpoint] = self._drops[endpoint]
        self._dropped_at.move_to_end(key)
        while len(self._dropped_at) > MAX_ROWS:
            self._dropped_at.popitem(last=False)

    def record_reported(self, endpoint: EndpointId, key: WeightsKey) -> None:
        """Take in that an engine itself says that it keeps a copy."""
        if self.measure_age(endpoint, key) is None:
            self.record_dropped(endpoint, key)

    def measure_age(self, endpoint: EndpointId, key: WeightsKey) -> int | None:
        """Return how many drops ago an engine held an adapter, or none: not lately."""
        at = self._dropped_at.get(key, {}).get(endpoint)
        return None if at is None else self._drops[endpoint] - at

    def is_retained(self, age: int | None) -> bool:
        """Tell whether what was dropped so many drops ago is believed to be kept."""
        return age is not None and age < self.depth

    def has_copy(self, endpoint: EndpointId, key: WeightsKey) -> bool:
        """Tell whether an engine is believed to keep a copy of an adapter."""
        return self.is_retained(self.measure_age(endpoint, key))

    def list_engines(self, key: WeightsKey) -> list[EndpointId]:
        """Return the engines that are believed to keep a copy of an adapter."""
        known = self._dropped_at.get(key, {})
        return [each for each in known if self.has_copy(each, key)]

    def record_load(self, age: int, *, fast: bool) -> None:
        """Take in whether an adapter dropped so many drops ago came quickly again."""
        if fast:
            self.depth = max(self.depth + DEPTH_INCREMENT, age + 1.0)
        elif age < self.depth:
            self.depth += DEPTH_WEIGHT * (age - self.depth)

    def remove_endpoint(self, endpoint: EndpointId) -> None:
        """Drop an engine that is gone."""
        if self._drops.pop(endpoint, None) is None:
            return
        for known in self._dropped_at.values():
            known.pop(endpoint, None)
