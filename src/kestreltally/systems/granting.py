"""The leader's side of permits: which requests may run at an endpoint, and when.

No request is sent without a permit, and an adapter is not unloaded while a permit
for it may still be used.
"""

from collections import Counter
from dataclasses import replace
from typing import Final

from kestreltally.entities.configuration import Endpoint
from kestreltally.entities.endpoints import LedEndpoint, Phase
from kestreltally.entities.ids import (
    NEVER,
    SERVICE,
    AdapterVersion,
    AskId,
    EndpointId,
    PermitId,
    Priority,
    Seconds,
    VmId,
)
from kestreltally.entities.permits import Ask, GrantedPermit, PermitState
from kestreltally.invariants import declare_invariant
from kestreltally.peers.messages import (
    AskPermit,
    AskQueued,
    EndpointFault,
    GrantPermit,
    PermitClosed,
    RefusePermit,
    ReturnPermit,
    View,
    WithdrawAsk,
)
from kestreltally.systems.demand import record_demand
from kestreltally.systems.leadership import can_act, find_leader, mark_unsure
from kestreltally.systems.membership import is_listed_leaving, is_reachable
from kestreltally.systems.registry import handles_message, runs_each_tick
from kestreltally.world import World

PART: Final = "permits"
MAX_MISSED_REFRESHES: Final = 4
NOT_LEADER: Final = "not_leader"
LEAVING: Final = "leaving"
QUEUE_FULL: Final = "queue_full"
FREE_PLACES_PER_EXTRA: Final = 4
MAX_EXTRA_PLACES: Final = 2
FAULT_WRONG_VERSION: Final = "wrong_version"
FAULT_NOT_LOADED: Final = "not_loaded"
LEAVING_RETRY_DELAY: Final[Seconds] = 1.0
VIEW_RESEND_INTERVAL: Final[Seconds] = 0.5

GRANT_ONLY_AS_LEADER = declare_invariant(
    "grant-only-as-confirmed-leader",
    promise="an adapter in use is never unloaded",
    owner="systems/granting.py",
)
GRANT_ONLY_LOADED = declare_invariant(
    "grant-only-what-is-loaded",
    promise="the right adapter and version",
    owner="systems/granting.py",
)
NO_GRANT_WHEN_LEAVING = declare_invariant(
    "no-grant-when-leaving",
    promise="a leaving endpoint gets no new work within seconds",
    owner="systems/granting.py",
)


def is_endpoint_leaving(world: World, spec: Endpoint) -> bool:
    """Return whether configuration, VM list or report marks the endpoint as leaving."""
    if spec.draining or (spec.vm and is_listed_leaving(world, VmId(spec.vm))):
        return True
    led = world.leaders.led_endpoints.get(EndpointId(spec.name))
    return led is not None and led.leaving


def count_occupied(world: World, endpoint: EndpointId) -> int:
    """Return how many places in the batch are granted or in use."""
    return sum(permit.count_batch_slots() for permit in world.permits_of(endpoint))


def count_asks(world: World, endpoint: EndpointId) -> int:
    """Return the number of asks queued at an endpoint."""
    return sum(1 for ask in world.grants.asks.values() if ask.endpoint == endpoint)


def describe_view(world: World, led: LedEndpoint) -> View:
    """Return the endpoint's state for an entry daemon."""
    usable = [slot for slot in led.slots.values() if not slot.closing]
    return View(
        endpoint=led.endpoint,
        loaded=[str(slot.adapter) for slot in usable],
        occupied=count_occupied(world, led.endpoint),
        queued=count_asks(world, led.endpoint),
    )


def is_usable(led: LedEndpoint, adapter: AdapterVersion) -> bool:
    """Return whether permits for an adapter can be granted at an endpoint now."""
    if adapter == SERVICE:
        return True
    slot = led.slots.get(adapter)
    return slot is not None and not slot.closing


def estimate_wait(world: World, led: LedEndpoint, ask: Ask) -> Seconds:
    """Return the estimated wait of an ask, in seconds."""
    spec = world.config.endpoints[led.endpoint]
    ahead = sum(
        1
        for other in world.grants.asks.values()
        if other.endpoint == led.endpoint
        and (other.priority, other.arrived_at) < (ask.priority, ask.arrived_at)
    )
    over = max(0, ahead + 1 + count_occupied(world, led.endpoint) - spec.batch_limit)
    batch_wait = over * led.service_time / spec.batch_limit
    if is_usable(led, ask.adapter):
        return batch_wait
    loads_ahead = len(
        {
            other.adapter
            for other in world.grants.asks.values()
            if other.endpoint == led.endpoint
            and not is_usable(led, other.adapter)
            and (other.priority, other.arrived_at) <= (ask.priority, ask.arrived_at)
        }
    )
    return batch_wait + loads_ahead * world.grants.load_time


def _refuse(
    world: World, to: VmId, ask: AskPermit, reason: str, after: Seconds
) -> None:
    endpoint = EndpointId(ask.endpoint)
    leader = ""
    if reason == NOT_LEADER and endpoint not in world.leaders.led_endpoints:
        leader = find_leader(world, endpoint) or ""
    refusal = RefusePermit(
        ask=ask.ask,
        endpoint=ask.endpoint,
        reason=reason,
        retry_after=after,
        leader="" if leader == world.identity.vm else leader,
    )
    world.send(to, refusal)


@handles_message(AskPermit)
def receive_ask(world: World, sender: VmId, asked: AskPermit) -> None:
    """Queue an ask or refuse it immediately; refresh an ask that is repeated."""
    endpoint = EndpointId(asked.endpoint)
    led = world.leaders.led_endpoints.get(endpoint)
    spec = world.config.endpoints.get(endpoint)
    if (
        led is None
        or spec is None
        or led.phase in (Phase.HANDING_OVER, Phase.SUSPENDED)
    ):
        _refuse(world, sender, asked, NOT_LEADER, world.settings.timing.tick)
        return
    if is_endpoint_leaving(world, spec):
        _refuse(world, sender, asked, LEAVING, LEAVING_RETRY_DELAY)
        return
    granted = world.grants.permits.get(PermitId(asked.ask))
    if granted is not None:
        if granted.state is PermitState.OPEN:
            _send_grant(world, led, granted)
        return
    known = world.grants.asks.get(AskId(asked.ask))
    if known is not None:
        turn = max(known.turn, asked.turn)
        known = replace(known, refreshed_at=world.now, turn=turn)
    elif count_asks(world, endpoint) >= world.settings.limits.asks_per_endpoint:
        _refuse(world, sender, asked, QUEUE_FULL, led.service_time)
        return
    else:
        known = _make_ask(world, sender, asked)
        record_demand(world, endpoint, known.adapter)
    world.grants.asks[known.ask] = known
    if not is_usable(led, known.adapter) or _is_full(world, led):
        queued = AskQueued(
            ask=known.ask,
            endpoint=endpoint,
            expected_wait=estimate_wait(world, led, known),
            view=describe_view(world, led),
        )
        world.send(sender, queued)


def _make_ask(world: World, sender: VmId, asked: AskPermit) -> Ask:
    return Ask(
        ask=AskId(asked.ask),
        holder=sender,
        endpoint=EndpointId(asked.endpoint),
        adapter=AdapterVersion(adapter=asked.adapter, version=asked.version),
        priority=Priority(asked.priority),
        deadline_at=world.now + asked.time_left,
        arrived_at=world.now,
        refreshed_at=world.now,
        turn=asked.turn,
    )


def _is_full(world: World, led: LedEndpoint) -> bool:
    return get_free_capacity(world, led) <= 0


def get_free_capacity(world: World, led: LedEndpoint) -> int:
    """Return how many more requests can be granted at an endpoint."""
    spec = world.config.endpoints[led.endpoint]
    places = int(spec.batch_limit * world.settings.placement.batch_fill)
    return places - count_occupied(world, led.endpoint)


@handles_message(WithdrawAsk)
def remove_ask(world: World, sender: VmId, withdrawn: WithdrawAsk) -> None:
    """Remove an ask that its entry daemon has withdrawn."""
    world.grants.asks.pop(AskId(withdrawn.ask), None)


@runs_each_tick(60)
def prune_stale_asks(world: World) -> None:
    """Remove asks that are past their deadline or no longer refreshed."""
    timeout = world.settings.timing.ask_refresh * MAX_MISSED_REFRESHES
    for ask in list(world.grants.asks.values()):
        if world.now - ask.refreshed_at > timeout or world.now >= ask.deadline_at:
            del world.grants.asks[ask.ask]


@runs_each_tick(61)
def expire_permits(world: World) -> None:
    """Expire permits that ran out unreturned or whose holder is unreachable.

    An expired permit counts as in use until a later report covers it.
    """
    for permit in list(world.grants.permits.values()):
        ran_out = permit.state is PermitState.OPEN and world.now > permit.expires_at
        orphaned = permit.state is PermitState.RETURNED and not is_reachable(
            world, permit.holder
        )
        if not (ran_out or orphaned):
            continue
        margin = world.settings.timing.permit_margin
        count = permit.running if orphaned else permit.count
        expired = replace(
            permit,
            state=PermitState.EXPIRED,
            count=count,
            expires_at=world.now + margin if orphaned else permit.expires_at,
        )
        world.grants.permits[permit.permit] = expired
        led = world.leaders.led_endpoints.get(permit.endpoint)
        if led is not None:
            mark_unsure(world, led, permit.adapter)


def _sort_asks(world: World, endpoint: EndpointId) -> list[Ask]:
    """Return the asks of an endpoint in the order in which they are served.

    Within a priority, the adapter with the fewest running requests goes first, so
    that one adapter cannot starve the others; ties go to the longest wait.
    """
    in_use: Counter[AdapterVersion] = Counter()
    for permit in world.permits_of(endpoint):
        in_use[permit.adapter] += permit.count_batch_slots()
    asks = [ask for ask in world.grants.asks.values() if ask.endpoint == endpoint]
    asks.sort(key=lambda ask: (ask.arrived_at, ask.ask))
    ranked = []
    for ask in asks:
        ranked.append(((ask.priority, in_use[ask.adapter], ask.arrived_at), ask))
        in_use[ask.adapter] += 1
    ranked.sort(key=lambda entry: entry[0])
    return [ask for _, ask in ranked]


@runs_each_tick(62, on_wake=True)
def grant_permits(world: World) -> None:
    """Grant asks while the batch has free capacity, by priority and fair share."""
    waiting = {ask.endpoint for ask in world.grants.asks.values()}
    for endpoint in sorted(waiting):
        led = world.leaders.led_endpoints.get(endpoint)
        if led is None or not can_act(world, led):
            continue
        if is_endpoint_leaving(world, world.config.endpoints[endpoint]):
            _refuse_all(world, endpoint)
            continue
        free = get_free_capacity(world, led)
        for ask in _sort_asks(world, endpoint):
            if free <= 0:
                break
            if is_usable(led, ask.adapter):
                free -= _grant(world, led, ask, free)


def _refuse_all(world: World, endpoint: EndpointId) -> None:
    for ask in list(world.grants.asks.values()):
        if ask.endpoint != endpoint:
            continue
        del world.grants.asks[ask.ask]
        refusal = RefusePermit(
            ask=ask.ask,
            endpoint=endpoint,
            reason=LEAVING,
            retry_after=LEAVING_RETRY_DELAY,
            leader="",
        )
        world.send(ask.holder, refusal)


def _grant(world: World, led: LedEndpoint, ask: Ask, free: int) -> int:
    """Grant an ask and return how many places the permit takes.

    A permit includes extra places if no other ask waits and capacity is ample.
    """
    spec = world.config.endpoints[led.endpoint]
    world.invariants.require(
        GRANT_ONLY_AS_LEADER,
        can_act(world, led),
        f"{led.endpoint} is {led.phase.value}",
    )
    world.invariants.require(
        GRANT_ONLY_LOADED,
        is_usable(led, ask.adapter),
        f"{ask.adapter} on {led.endpoint}",
    )
    world.invariants.require(
        NO_GRANT_WHEN_LEAVING,
        not is_endpoint_leaving(world, spec),
        led.endpoint,
    )
    others_wait = len(world.grants.asks) > 1
    extra = (
        0 if others_wait else min(MAX_EXTRA_PLACES, (free - 1) // FREE_PLACES_PER_EXTRA)
    )
    timing = world.settings.timing
    permit = GrantedPermit(
        permit=PermitId(ask.ask),
        endpoint=led.endpoint,
        adapter=ask.adapter,
        holder=ask.holder,
        count=1 + extra,
        expires_at=world.now + timing.permit_life + timing.permit_margin,
        turn=ask.turn,
    )
    world.grants.permits[permit.permit] = permit
    del world.grants.asks[ask.ask]
    _touch_slot(world, led, ask.adapter)
    _send_grant(world, led, permit)
    world.events.add(
        PART,
        "grants a permit",
        endpoint=led.endpoint,
        adapter=str(ask.adapter),
        detail=f"to {ask.holder}, {permit.count} at once, after "
        f"{world.now - ask.arrived_at:.3f} s",
        request=ask.ask.partition("/")[0],
    )
    return permit.count


def _touch_slot(world: World, led: LedEndpoint, adapter: AdapterVersion) -> None:
    led = world.leaders.led_endpoints[led.endpoint]
    slot = led.slots.get(adapter)
    if slot is not None:
        used = replace(slot, used_at=world.now)
        world.put_slot(led, used)


def _send_grant(world: World, led: LedEndpoint, permit: GrantedPermit) -> None:
    grant = GrantPermit(
        ask=permit.permit,
        endpoint=led.endpoint,
        adapter=permit.adapter.adapter,
        version=permit.adapter.version,
        epoch=led.record.epoch,
        count=permit.count,
        life=world.settings.timing.permit_life,
        turn=permit.turn,
        views=_choose_views(world, led, permit.holder),
    )
    world.send(permit.holder, grant)


def _choose_views(world: World, led: LedEndpoint, holder: VmId) -> list[View]:
    """Return the endpoint's view, unless the holder received it very recently."""
    key = (holder, led.endpoint)
    if world.now - world.grants.views_reported.get(key, NEVER) < VIEW_RESEND_INTERVAL:
        return []
    world.grants.views_reported[key] = world.now
    return [describe_view(world, led)]


@handles_message(ReturnPermit)
def receive_return(world: World, sender: VmId, returned: ReturnPermit) -> None:
    """Record how many requests a returned permit still runs; close it at zero.

    A leader that is handing over leaves the reply to the next leader.
    """
    led = world.leaders.led_endpoints.get(EndpointId(returned.endpoint))
    if led is None or led.phase is Phase.HANDING_OVER:
        return
    permit = world.grants.permits.get(PermitId(returned.permit))
    if permit is None:
        world.send(sender, PermitClosed(permit=returned.permit))
        return
    if returned.unsure:
        mark_unsure(world, led, permit.adapter)
    if returned.running == 0:
        del world.grants.permits[permit.permit]
        world.send(sender, PermitClosed(permit=returned.permit))
        return
    world.grants.permits[permit.permit] = replace(
        permit,
        state=PermitState.RETURNED,
        running=returned.running,
    )


@handles_message(EndpointFault)
def receive_fault(world: World, sender: VmId, fault: EndpointFault) -> None:
    """Request a new report from an endpoint that an entry daemon saw fail."""
    led = world.leaders.led_endpoints.get(EndpointId(fault.endpoint))
    if led is None:
        return
    adapter = AdapterVersion(adapter=fault.adapter, version=fault.version)
    world.update_led_endpoint(led, report_requested_at=NEVER)
    if adapter not in led.slots:
        return
    if fault.fault == FAULT_WRONG_VERSION:
        _close_wrong_slot(world, world.leaders.led_endpoints[led.endpoint], adapter)
    elif fault.fault == FAULT_NOT_LOADED:
        _remove_slot(world, world.leaders.led_endpoints[led.endpoint], adapter)


def _close_wrong_slot(world: World, led: LedEndpoint, adapter: AdapterVersion) -> None:
    closing = replace(led.slots[adapter], closing=True, report_required_after=world.now)
    world.put_slot(led, closing)
    world.events.add(
        PART,
        "closes a slot that answers as another version",
        endpoint=led.endpoint,
        adapter=str(adapter),
    )


def _remove_slot(world: World, led: LedEndpoint, adapter: AdapterVersion) -> None:
    """Remove a slot whose adapter the endpoint reports as not loaded."""
    world.drop_slot(led, adapter)
    world.events.add(
        PART,
        "removes a slot",
        reason="the endpoint does not hold it",
        endpoint=led.endpoint,
        adapter=str(adapter),
    )
