"""Loading and unloading of adapters at the endpoints that this daemon leads.

At most one load per adapter version and endpoint is in flight; all waiting requests
share it. An adapter is not unloaded while a request may still use it.
"""

from collections import defaultdict
from dataclasses import dataclass, replace
from typing import Final

from kestreltally.entities.configuration import EndpointKind
from kestreltally.entities.endpoints import LedEndpoint, Slot
from kestreltally.entities.ids import (
    NEVER,
    SERVICE,
    AdapterVersion,
    EndpointId,
    Priority,
    Seconds,
    VmId,
)
from kestreltally.entities.permits import Ask, Load, LoadState
from kestreltally.invariants import declare_invariant
from kestreltally.orders import (
    LoadAdapter,
    LoadEnded,
    OrderOutcome,
    UnloadAdapter,
    UnloadEnded,
)
from kestreltally.peers.messages import AskLoad, EndLoad, GrantLoad
from kestreltally.policies.registry import EVICTERS, Resident
from kestreltally.systems.budget import find_budget_leader
from kestreltally.systems.demand import measure_demand
from kestreltally.systems.granting import is_endpoint_leaving
from kestreltally.systems.leadership import TOKEN_BITS, can_act, make_token
from kestreltally.systems.registry import handles_event, handles_message, runs_each_tick
from kestreltally.world import World

PART: Final = "loads"
MAX_CONCURRENT_LOADS_PER_ENDPOINT: Final = 1
BUDGET_ASK_RETRY_INTERVAL: Final[Seconds] = 1.0
BUDGET_FALLBACK_DELAY: Final[Seconds] = 2.0
FAILED_LOAD_RETRY_DELAY: Final[Seconds] = 1.0
UNLOAD_RETRY_INTERVAL: Final[Seconds] = 1.0
LOAD_TIME_WEIGHT: Final = 0.2
URGENCY_BY_PRIORITY: Final = {
    Priority.INTERACTIVE: 4.0,
    Priority.STANDARD: 2.0,
    Priority.BATCH: 1.0,
}
CLOSE_BUSY_DELAY: Final[Seconds] = 4.0

UNLOAD_ONLY_UNUSED = declare_invariant(
    "unload-only-unused",
    promise="an adapter in use is never unloaded",
    owner="systems/loading.py",
)
ORDER_ONLY_AS_LEADER = declare_invariant(
    "order-only-as-confirmed-leader",
    promise="an adapter in use is never unloaded",
    owner="systems/loading.py",
)


@dataclass(frozen=True, slots=True)
class Backlog:
    """The requests that wait for one adapter version at one endpoint."""

    adapter: AdapterVersion
    urgency: float
    waiting_since: Seconds
    count: int


def measure_backlog(asks: list[Ask], now: Seconds) -> Backlog:
    """Return the backlog of the asks for one adapter."""
    urgency = sum(
        URGENCY_BY_PRIORITY[ask.priority] * (1.0 + now - ask.arrived_at) for ask in asks
    )
    waiting_since = min(ask.arrived_at for ask in asks)
    return Backlog(
        adapter=asks[0].adapter,
        urgency=urgency,
        waiting_since=waiting_since,
        count=len(asks),
    )


def list_backlogs(world: World, led: LedEndpoint) -> list[Backlog]:
    """Return the requested and pinned adapters without a slot, most urgent first."""
    waiting: dict[AdapterVersion, list[Ask]] = defaultdict(list)
    for ask in world.grants.asks.values():
        absent = ask.adapter != SERVICE and ask.adapter not in led.slots
        if ask.endpoint == led.endpoint and absent:
            waiting[ask.adapter].append(ask)
    backlogs = [measure_backlog(asks, world.now) for asks in waiting.values()]
    backlogs.extend(
        Backlog(adapter=pinned, urgency=0.0, waiting_since=world.now, count=0)
        for pinned in list_pinned(world, led.endpoint)
        if pinned not in led.slots and pinned not in waiting
    )
    return sorted(backlogs, key=lambda each: (-each.urgency, str(each.adapter)))


def list_pinned(world: World, endpoint: EndpointId) -> list[AdapterVersion]:
    """Return the current versions of the adapters pinned to an endpoint."""
    found = []
    for name in sorted(world.config.pinned.get(endpoint, ())):
        adapter = world.config.find_adapter(name)
        if adapter is not None and adapter.current:
            found.append(AdapterVersion(adapter=name, version=adapter.current))
    return found


def is_in_use(world: World, led: LedEndpoint, slot: Slot) -> bool:
    """Return whether a request uses, or may still use, the adapter of a slot."""
    if any(True for _ in world.permits_of(led.endpoint, slot.adapter)):
        return True
    if slot.report_required_after > 0:
        return True
    report = led.report
    return report is not None and report.running.get(slot.adapter, 0) > 0


def can_unload(world: World, led: LedEndpoint, slot: Slot) -> bool:
    """Return whether the leader can unload the adapter of a slot now."""
    if world.now < max(led.unloads_allowed_at, led.orders_allowed_at):
        return False
    if led.report is None or led.report.composed_at <= led.since:
        return False
    return not is_in_use(world, led, slot)


def list_loads(world: World, endpoint: EndpointId) -> list[Load]:
    """Return the loads that are planned or in flight at an endpoint."""
    return [load for load in world.grants.loads.values() if load.endpoint == endpoint]


def _choose_victim(world: World, led: LedEndpoint, backlog: Backlog) -> Slot | None:
    """Return the slot to free for a backlog, or None.

    A busy slot is chosen only after the backlog has waited for CLOSE_BUSY_DELAY.
    """
    waiting: dict[AdapterVersion, int] = defaultdict(int)
    for ask in world.grants.asks.values():
        if ask.endpoint == led.endpoint:
            waiting[ask.adapter] += 1
    pinned = list_pinned(world, led.endpoint)
    residents = {
        slot.adapter: Resident(
            adapter=slot.adapter,
            used_at=slot.used_at,
            demand=measure_demand(world, led.endpoint, slot.adapter),
            pinned=slot.adapter in pinned,
            waiting=waiting[slot.adapter],
        )
        for slot in led.slots.values()
        if not slot.closing
    }
    idle = [
        resident
        for adapter, resident in residents.items()
        if not is_in_use(world, led, led.slots[adapter])
    ]
    evict = EVICTERS[world.settings.placement.policy]
    gain = max(backlog.urgency, measure_demand(world, led.endpoint, backlog.adapter))
    victim = evict(idle, gain, world.now) if idle else None
    if victim is None and world.now - backlog.waiting_since > CLOSE_BUSY_DELAY:
        unpinned = [each for each in residents.values() if not each.pinned]
        victim = min(unpinned, key=lambda each: each.demand, default=None)
    return led.slots[victim.adapter] if victim is not None else None


@runs_each_tick(70, on_wake=True)
def plan_loads(world: World) -> None:
    """Plan loads for waiting adapters, within the endpoint's concurrency limit."""
    if not (world.grants.asks or world.grants.loads or world.config.pinned):
        return
    for led in list(world.leaders.led_endpoints.values()):
        spec = world.config.endpoints[led.endpoint]
        if spec.kind is not EndpointKind.ENGINE or not can_act(world, led):
            continue
        if is_endpoint_leaving(world, spec) or world.now < led.orders_allowed_at:
            continue
        _cancel_unrequested(world, led)
        planned = list_loads(world, led.endpoint)
        names = {load.adapter for load in planned}
        for backlog in list_backlogs(world, led):
            if len(planned) >= MAX_CONCURRENT_LOADS_PER_ENDPOINT:
                break
            if backlog.adapter not in names and not _failed_recently(
                world, led, backlog
            ):
                planned.append(_plan_load(world, led, backlog))


def _failed_recently(world: World, led: LedEndpoint, backlog: Backlog) -> bool:
    failed_at = world.grants.failed_loads.get((led.endpoint, backlog.adapter), NEVER)
    return world.now - failed_at < FAILED_LOAD_RETRY_DELAY


def _plan_load(world: World, led: LedEndpoint, backlog: Backlog) -> Load:
    serial = make_token(world, led)
    load = Load(
        load=f"{world.identity.vm}/{led.endpoint}/{serial}",
        endpoint=led.endpoint,
        adapter=backlog.adapter,
        state=LoadState.WAITING_FOR_SLOT,
        since=world.now,
        urgency=backlog.urgency,
    )
    world.grants.loads[load.load] = load
    world.events.add(
        PART,
        "plans a load",
        reason=f"{backlog.count} waiting",
        endpoint=led.endpoint,
        adapter=str(backlog.adapter),
    )
    return load


def _cancel_unrequested(world: World, led: LedEndpoint) -> None:
    """Remove planned loads that are no longer requested or pinned."""
    requested = {
        ask.adapter
        for ask in world.grants.asks.values()
        if ask.endpoint == led.endpoint
    }
    requested.update(list_pinned(world, led.endpoint))
    for load in list_loads(world, led.endpoint):
        if load.state is not LoadState.ORDERED and load.adapter not in requested:
            _end_load(world, load)


def _end_load(world: World, load: Load) -> None:
    world.grants.loads.pop(load.load, None)
    if load.budget_leader is not None:
        world.send(load.budget_leader, EndLoad(load=load.load))


def _count_free_slots(world: World, led: LedEndpoint, besides: Load) -> int:
    spec = world.config.endpoints[led.endpoint]
    occupied = set(led.slots) | {
        load.adapter
        for load in list_loads(world, led.endpoint)
        if load.load != besides.load and load.state is not LoadState.WAITING_FOR_SLOT
    }
    return spec.slots - len(occupied)


@runs_each_tick(71, on_wake=True)
def assign_slots(world: World) -> None:
    """Assign a slot to each planned load, closing another slot if necessary."""
    for load in list(world.grants.loads.values()):
        led = world.leaders.led_endpoints.get(load.endpoint)
        if led is None or not can_act(world, led):
            continue
        if load.state is not LoadState.WAITING_FOR_SLOT:
            continue
        if _count_free_slots(world, led, load) > 0:
            _set_load(world, load, state=LoadState.WAITING_FOR_BUDGET)
            continue
        if load.victim is not None and load.victim in led.slots:
            continue
        closing = [slot for slot in led.slots.values() if slot.closing]
        waiting_loads = [
            each
            for each in list_loads(world, load.endpoint)
            if each.state is LoadState.WAITING_FOR_SLOT
        ]
        if len(closing) >= len(waiting_loads):
            continue
        _close_victim(world, led, load)


def _set_load(world: World, load: Load, **changes: object) -> Load:
    changed = replace(load, **changes)  # type: ignore[arg-type]
    world.grants.loads[load.load] = changed
    return changed


def _close_victim(world: World, led: LedEndpoint, load: Load) -> None:
    asks = [
        ask
        for ask in world.grants.asks.values()
        if ask.endpoint == load.endpoint and ask.adapter == load.adapter
    ]
    if not asks:
        return
    victim = _choose_victim(world, led, measure_backlog(asks, world.now))
    if victim is None:
        return
    _set_load(world, load, victim=victim.adapter)
    world.put_slot(led, replace(victim, closing=True))
    world.events.add(
        PART,
        "closes a slot",
        reason=f"for {load.adapter}",
        endpoint=led.endpoint,
        adapter=str(victim.adapter),
    )


@runs_each_tick(72, on_wake=True)
def unload_closed(world: World) -> None:
    """Order the unloading of closed slots that can no longer be in use."""
    for led in list(world.leaders.led_endpoints.values()):
        if not can_act(world, led):
            continue
        for slot in led.slots.values():
            ordered_recently = (
                slot.unloading and world.now - slot.ordered_at < UNLOAD_RETRY_INTERVAL
            )
            if not slot.closing or ordered_recently:
                continue
            if can_unload(world, led, slot):
                led = _order_unload(world, led, slot)


def _order_unload(world: World, led: LedEndpoint, slot: Slot) -> LedEndpoint:
    unused = not any(True for _ in world.permits_of(led.endpoint, slot.adapter))
    world.invariants.require(
        UNLOAD_ONLY_UNUSED,
        unused and slot.closing and slot.report_required_after == 0.0,
        f"{slot.adapter} on {led.endpoint}",
    )
    _require_leader(world, led)
    led = world.put_slot(led, replace(slot, unloading=True, ordered_at=world.now))
    order = UnloadAdapter(
        endpoint=led.endpoint,
        adapter=slot.adapter,
        epoch=make_token(world, led),
    )
    world.outbox.append(order)
    world.events.add(
        PART,
        "orders an unload",
        endpoint=led.endpoint,
        adapter=str(slot.adapter),
        reason="nothing uses it",
    )
    return led


def _require_leader(world: World, led: LedEndpoint) -> None:
    world.invariants.require(
        ORDER_ONLY_AS_LEADER,
        can_act(world, led) and world.now >= led.orders_allowed_at,
        f"{led.endpoint} is {led.phase.value}",
    )


@runs_each_tick(73, on_wake=True)
def request_budget(world: World) -> None:
    """Request a budget grant for each load that has a slot.

    If the budget leader does not answer, fall back to this daemon's static share.
    """
    for load in list(world.grants.loads.values()):
        led = world.leaders.led_endpoints.get(load.endpoint)
        if load.state is not LoadState.WAITING_FOR_BUDGET or led is None:
            continue
        if not can_act(world, led):
            continue
        leader = find_budget_leader(world)
        changed_leader = load.budget_leader != leader
        if changed_leader or world.now - load.asked_at > BUDGET_ASK_RETRY_INTERVAL:
            load = _set_load(world, load, budget_leader=leader, asked_at=world.now)
            if leader is not None:
                world.send(leader, AskLoad(load=load.load, urgency=load.urgency))
        if world.now - load.since > BUDGET_FALLBACK_DELAY and _is_static_share_free(
            world
        ):
            world.events.add(
                PART,
                "loads without a budget grant",
                reason="no load-budget leader answers",
                endpoint=load.endpoint,
                adapter=str(load.adapter),
            )
            order_load(world, load)


def _is_static_share_free(world: World) -> bool:
    """Return whether this daemon's static share, one load at a time, allows a load."""
    return not any(
        load.state is LoadState.ORDERED for load in world.grants.loads.values()
    ) and _is_budget_leader_silent(world)


def _is_budget_leader_silent(world: World) -> bool:
    leader = find_budget_leader(world)
    if leader is None:
        return True
    received_at = world.grants.budget_received_at
    return world.now - received_at > BUDGET_FALLBACK_DELAY


@handles_message(GrantLoad)
def receive_load_grant(world: World, sender: VmId, granted: GrantLoad) -> None:
    """Order the load that the budget leader has granted."""
    world.grants.budget_received_at = world.now
    load = world.grants.loads.get(granted.load)
    if load is None:
        world.send(sender, EndLoad(load=granted.load))
    elif load.state is LoadState.WAITING_FOR_BUDGET:
        order_load(world, replace(load, budget_leader=sender))


def order_load(world: World, load: Load) -> None:
    """Order a load, if this daemon can still act as the endpoint's leader."""
    led = world.leaders.led_endpoints.get(load.endpoint)
    if led is None or not can_act(world, led) or load.adapter in led.slots:
        _end_load(world, load)
        return
    _require_leader(world, led)
    _set_load(
        world,
        load,
        state=LoadState.ORDERED,
        asked_at=world.now,
        budget_leader=load.budget_leader,
    )
    order = LoadAdapter(
        load=load.load,
        endpoint=load.endpoint,
        adapter=load.adapter,
        epoch=make_token(world, led),
    )
    world.outbox.append(order)
    world.events.add(
        PART,
        "orders a load",
        endpoint=load.endpoint,
        adapter=str(load.adapter),
        detail=f"planned {world.now - load.since:.3f} s ago",
    )


@handles_event(LoadEnded)
def apply_load_result(world: World, ended: LoadEnded) -> None:
    """Add the slot of a loaded adapter, or record the failure."""
    load = world.grants.loads.get(ended.load)
    if load is None:
        return
    took = world.now - load.asked_at
    _end_load(world, load)
    world.events.add(
        PART,
        f"load {ended.outcome.value}",
        endpoint=ended.endpoint,
        adapter=str(ended.adapter),
        detail=f"{took:.3f} s",
    )
    led = world.leaders.led_endpoints.get(ended.endpoint)
    if led is not None and ended.epoch >> TOKEN_BITS != led.record.epoch:
        return
    if ended.outcome is not OrderOutcome.DONE or led is None:
        world.grants.failed_loads[(ended.endpoint, ended.adapter)] = world.now
        _prune_old_failures(world)
        return
    world.grants.load_time += LOAD_TIME_WEIGHT * (took - world.grants.load_time)
    slot = Slot(adapter=ended.adapter, loaded_at=world.now, used_at=world.now)
    led = world.update_led_endpoint(led, changed_at=world.now)
    world.put_slot(led, slot)


def _prune_old_failures(world: World) -> None:
    for key, failed_at in list(world.grants.failed_loads.items()):
        if world.now - failed_at > FAILED_LOAD_RETRY_DELAY:
            del world.grants.failed_loads[key]


@handles_event(UnloadEnded)
def apply_unload_result(world: World, ended: UnloadEnded) -> None:
    """Remove the slot after a successful unload; otherwise keep it closed."""
    led = world.leaders.led_endpoints.get(ended.endpoint)
    if led is None or ended.adapter not in led.slots:
        return
    if ended.outcome is OrderOutcome.DONE:
        world.drop_slot(led, ended.adapter)
        return
    world.events.add(
        PART,
        f"unload {ended.outcome.value}",
        endpoint=ended.endpoint,
        adapter=str(ended.adapter),
    )
