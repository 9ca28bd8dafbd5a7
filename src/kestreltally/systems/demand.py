"""Demand for each adapter at each endpoint, with exponential decay."""

from typing import Final

from kestreltally.entities.ids import AdapterVersion, EndpointId, Seconds
from kestreltally.world import World

MAX_ENTRIES: Final = 4_096
ENTRIES_AFTER_TRIM: Final = 3_072


def _decay(value: float, age: Seconds, half_life: Seconds) -> float:
    decayed: float = value * 0.5 ** (age / half_life)
    return decayed


def measure_demand(
    world: World, endpoint: EndpointId, adapter: AdapterVersion
) -> float:
    """Return the decayed count of asks; an ask counts half after one half-life."""
    value, at = world.grants.demand.get((endpoint, adapter), (0.0, world.now))
    return _decay(value, world.now - at, world.settings.placement.demand_half_life)


def record_demand(world: World, endpoint: EndpointId, adapter: AdapterVersion) -> None:
    """Count one ask; remove the entries with the least demand if the table is full."""
    value = measure_demand(world, endpoint, adapter) + 1.0
    world.grants.demand[(endpoint, adapter)] = (value, world.now)
    if len(world.grants.demand) > MAX_ENTRIES:
        _trim(world)


def _trim(world: World) -> None:
    ranked = sorted(
        world.grants.demand,
        key=lambda key: measure_demand(world, *key),
        reverse=True,
    )
    for key in ranked[ENTRIES_AFTER_TRIM:]:
        del world.grants.demand[key]
