"""Hands over loads of adapters to leaders of other data centres.

An engine that keeps a copy of an adapter loads it ten times as fast as another engine
and at no cost. So the leader of such an engine is asked first, for a short time. If the
engines of this leader have no free place, a leader with free capacity is asked.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.fleet.tables import Fleet
from kestreltally.placing.demand import DemandKey, DemandTable, WeightsRow

# How long another leader may take to load an adapter of which its engines keep a copy.
HANDOVER_TIMEOUT: Final[Seconds] = 0.2
# How long a leader with free capacity may take: the request and the resulting row are
# in transit for about 0.1 s, and a load takes a quarter of a second.
FORWARD_TIMEOUT: Final[Seconds] = 0.6


@dataclass(frozen=True, slots=True)
class ForwardedLoad:
    """Weights that another leader is asked to load, with the deadline."""

    target: str
    deadline: Seconds


class Handover:
    """The requested weights that leaders of other data centres are asked to load.

    ``get_free_capacity`` returns how many adapters each reachable leader could take,
    ``can_load_quickly`` whether a leader loads kept copies quickly. ``expedite`` sends
    the requests to a leader at once.
    """

    def __init__(self, fleet: Fleet, demand: DemandTable) -> None:
        self._fleet = fleet
        self._demand = demand
        self._copy_sources: dict[DemandKey, str] = {}
        self._forwarded: dict[DemandKey, ForwardedLoad] = {}
        self.can_load_quickly: Callable[[str], bool] = lambda _: False
        self.get_free_capacity: Callable[[], Mapping[str, int]] = dict
        self.expedite: Callable[[str], None] = lambda _: None

    def is_handed_over(self, demand_key: DemandKey) -> bool:
        """Return whether another leader is asked to load some weights."""
        return demand_key in self._copy_sources or demand_key in self._forwarded

    def list_assigned(self, data_centre: str) -> list[DemandKey]:
        """Return the weights that the leader of a data centre is asked to load."""
        from_copies = [
            demand_key
            for demand_key, source in self._copy_sources.items()
            if source == data_centre
        ]
        forwarded = [
            demand_key
            for demand_key, each in self._forwarded.items()
            if each.target == data_centre
        ]
        return [*from_copies, *forwarded]

    def update_requests(self, led_data_centres: set[str], now: Seconds) -> None:
        """Request waiting adapters of which copies are kept; drop obsolete requests."""
        previous, self._copy_sources = self._copy_sources, {}
        for demand_key, row in self._demand.waiting.items():
            if not row.count_waiting(now) or now - row.waiting_since > HANDOVER_TIMEOUT:
                continue
            if self._fleet.is_held(*demand_key, now):
                continue
            source = self._choose_copy_source(
                demand_key, led_data_centres, previous.get(demand_key)
            )
            if source is None:
                continue
            self._copy_sources[demand_key] = source
            if previous.get(demand_key) != source:
                self.expedite(source)
        for demand_key, forwarded in list(self._forwarded.items()):
            if forwarded.deadline <= now or self._fleet.is_held(*demand_key, now):
                del self._forwarded[demand_key]

    def _choose_copy_source(
        self, demand_key: DemandKey, led_data_centres: set[str], previous: str | None
    ) -> str | None:
        """Return a data centre whose engines keep a copy, or None if a led engine does.

        Of several candidates, the one asked previously is preferred, then the one with
        the most free capacity.
        """
        holders = {each.data_centre for each in self._fleet.list_copies(*demand_key)}
        if holders & led_data_centres:
            return None
        capable = [name for name in holders if self.can_load_quickly(name)]
        if previous in capable:
            return previous
        if len(capable) < 2:
            return capable[0] if capable else None
        free_capacity = self.get_free_capacity()
        return max(capable, key=lambda name: (free_capacity.get(name, 0), name))

    def forward(
        self, unplaced: Iterable[DemandKey], led_data_centres: set[str], now: Seconds
    ) -> int:
        """Ask leaders with free capacity to load adapters; return for how many."""
        free_capacity = dict(self.get_free_capacity())
        for forwarded in self._forwarded.values():
            if forwarded.target in free_capacity:
                free_capacity[forwarded.target] -= 1
        count = 0
        for demand_key in unplaced:
            target = max(
                free_capacity, key=lambda name: free_capacity[name], default=None
            )
            if target is None or free_capacity[target] <= 0:
                break
            if not _has_local_waiters(
                self._demand.rows.get(demand_key), led_data_centres
            ):
                continue
            free_capacity[target] -= 1
            self._forwarded[demand_key] = ForwardedLoad(target, now + FORWARD_TIMEOUT)
            self.expedite(target)
            count += 1
        return count


def _has_local_waiters(row: WeightsRow | None, led_data_centres: set[str]) -> bool:
    """Return whether daemons of led data centres wait.

    Demand that was forwarded to this leader is not forwarded again.
    """
    return row is not None and any(
        each.data_centre in led_data_centres for each in row.waiting.values()
    )
