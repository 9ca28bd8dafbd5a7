"""Estimates which engines still hold a copy of an adapter they recently unloaded.

An engine loads an adapter from its own copy about ten times as fast as from the weight
store, and at no cost. It keeps the copies of the most recently unloaded adapters. Every
daemon sees adapters leave engines in the rows it receives. The estimate therefore needs
no extra messages, and a newly elected leader already has it.
"""

from collections import OrderedDict, defaultdict
from typing import Final

from kestreltally.fleet.model import EndpointId, WeightsKey

# Assumed number of unloads for which an engine keeps a copy, before any load has been
# observed: engines with 9 and 16 adapter slots kept copies for about 30 and 64 unloads.
INITIAL_DEPTH: Final = 48
# A slow load means that the copy was gone: the estimate moves by this fraction of the
# way towards the observed age. A fast load raises the estimate by a fixed number of
# unloads, to compensate for loads that were slow for another reason. Overestimating
# costs little, because the load takes as long on any other engine.
DEPTH_WEIGHT: Final = 0.2
DEPTH_INCREMENT: Final = 0.25
# Maximum number of adapters in the table, 440 bytes each. 37 engines keep copies of
# about 2,000 adapters; the limit keeps memory from growing with the fleet.
MAX_ROWS: Final = 8_192


class CopyTable:
    """The adapters that engines unloaded recently, with their age in unloads.

    ``depth`` is the estimated number of unloads for which an engine keeps a copy.
    """

    def __init__(self) -> None:
        self._drops: dict[EndpointId, int] = defaultdict(int)
        self._dropped_at: OrderedDict[WeightsKey, dict[EndpointId, int]] = OrderedDict()
        self.depth: float = INITIAL_DEPTH

    def record_dropped(self, endpoint: EndpointId, key: WeightsKey) -> None:
        """Record that an engine no longer holds an adapter."""
        if not key.adapter:
            return
        self._drops[endpoint] += 1
        self._dropped_at.setdefault(key, {})[endpoint] = self._drops[endpoint]
        self._dropped_at.move_to_end(key)
        while len(self._dropped_at) > MAX_ROWS:
            self._dropped_at.popitem(last=False)

    def record_reported(self, endpoint: EndpointId, key: WeightsKey) -> None:
        """Record that an engine itself reports a copy."""
        if self.measure_age(endpoint, key) is None:
            self.record_dropped(endpoint, key)

    def measure_age(self, endpoint: EndpointId, key: WeightsKey) -> int | None:
        """Return the unloads since an engine held an adapter, None if unknown."""
        at = self._dropped_at.get(key, {}).get(endpoint)
        return None if at is None else self._drops[endpoint] - at

    def is_retained(self, age: int | None) -> bool:
        """Return whether a copy of this age, in unloads, is expected to exist."""
        return age is not None and age < self.depth

    def has_copy(self, endpoint: EndpointId, key: WeightsKey) -> bool:
        """Return whether an engine is expected to hold a copy of an adapter."""
        return self.is_retained(self.measure_age(endpoint, key))

    def list_engines(self, key: WeightsKey) -> list[EndpointId]:
        """Return the engines that are expected to hold a copy of an adapter."""
        known = self._dropped_at.get(key, {})
        return [each for each in known if self.has_copy(each, key)]

    def record_load(self, age: int, *, fast: bool) -> None:
        """Update the estimate from a load of an adapter of this age, in unloads."""
        if fast:
            self.depth = max(self.depth + DEPTH_INCREMENT, age + 1.0)
        elif age < self.depth:
            self.depth += DEPTH_WEIGHT * (age - self.depth)

    def remove_endpoint(self, endpoint: EndpointId) -> None:
        """Remove an engine that no longer exists."""
        if self._drops.pop(endpoint, None) is None:
            return
        for known in self._dropped_at.values():
            known.pop(endpoint, None)
