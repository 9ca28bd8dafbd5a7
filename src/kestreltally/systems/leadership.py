"""Leadership of endpoints: claims, confirmation, handover and self-demotion.

The object API stores (leader, epoch) and is written only when the leader changes.
A leader acts only while it has been confirmed within one lease that no other daemon
has taken over, by contact with most of the daemons it pings or by the stored record.
"""

from dataclasses import replace
from typing import Final
from uuid import UUID

from kestreltally.entities.configuration import EndpointKind
from kestreltally.entities.endpoints import (
    LeaderRecord,
    LedEndpoint,
    Offer,
    PendingClaim,
    Phase,
)
from kestreltally.entities.ids import (
    NEVER,
    AdapterVersion,
    EndpointId,
    PermitId,
    Seconds,
    VmId,
    parse_adapter_version,
)
from kestreltally.entities.members import MemberState
from kestreltally.entities.permits import GrantedPermit, PermitState
from kestreltally.orders import (
    ClaimEnded,
    ClaimEndpoint,
    FenceRaised,
    LeaderRead,
    LeadersChanged,
    OrderOutcome,
    RaiseFence,
    ReadLeader,
)
from kestreltally.peers.messages import HandedPermit, HandOver
from kestreltally.systems.hashing import choose_owner
from kestreltally.systems.membership import (
    get_data_centre,
    is_reachable,
    list_eligible,
)
from kestreltally.systems.registry import (
    handles_event,
    handles_message,
    handles_pause,
    runs_each_tick,
)
from kestreltally.world import World

PART: Final = "leadership"
TOKEN_BITS: Final = 20
FENCE_RETRY_INTERVAL: Final[Seconds] = 1.0
CONFIRM_FRACTION: Final = 0.5
CLAIM_TTL: Final[Seconds] = 5.0
HAND_OVER_DELAY: Final[Seconds] = 1.0
MAX_DOUBLINGS: Final = 8
ALL: Final = "*"
ACTIVE: Final = frozenset({Phase.CLAIMED, Phase.FENCED})


def make_token(world: World, led: LedEndpoint) -> int:
    """Return the fence token of the next order; tokens increase with each order.

    The epoch occupies the high bits, so that every token of a new leader exceeds
    all tokens of earlier leaders, and late orders of those are refused.
    """
    sequence = world.leaders.sequences.get(led.endpoint, 0) + 1
    world.leaders.sequences[led.endpoint] = sequence
    return (led.record.epoch << TOKEN_BITS) + sequence


def is_confirmed(world: World, led: LedEndpoint) -> bool:
    """Return whether the leadership was confirmed within one lease."""
    return _get_unconfirmed_time(world, led) <= world.settings.timing.lease


def _get_unconfirmed_time(world: World, led: LedEndpoint) -> Seconds:
    """Return the time since the object API or the daemons confirmed the leadership."""
    return world.now - max(led.confirmed_at, world.members.confirmed_at)


def can_act(world: World, led: LedEndpoint) -> bool:
    """Return whether the leader can grant permits and give orders now."""
    return led.phase is Phase.FENCED and is_confirmed(world, led)


def find_owner(world: World, endpoint: EndpointId) -> VmId | None:
    """Return the daemon that should lead an endpoint, according to local membership."""
    _refresh_owners(world)
    owners = world.leaders.owners
    if endpoint not in owners:
        spec = world.config.endpoints.get(endpoint)
        if spec is None:
            return None
        owners[endpoint] = _choose_owner(world, endpoint, spec.data_centre)
    return owners[endpoint]


def _choose_owner(world: World, endpoint: EndpointId, data_centre: str) -> VmId | None:
    """Choose the owner among the daemons of a data centre, or else among all."""
    by_data_centre = world.leaders.vms_by_data_centre
    owner = choose_owner(
        endpoint, by_data_centre.get(data_centre) or by_data_centre[ALL]
    )
    return VmId(owner) if owner is not None else None


def find_leader(world: World, endpoint: EndpointId) -> VmId | None:
    """Return the daemon to ask for permits: a hint, the recorded leader or owner."""
    hint = world.entry.leader_hints.get(endpoint)
    if hint is not None and is_reachable(world, hint):
        return hint
    record = world.leaders.records.get(endpoint)
    if record is not None and is_reachable(world, record.leader):
        return record.leader
    return find_owner(world, endpoint)


def _refresh_owners(world: World) -> None:
    """Recompute the owners of endpoints after daemons or endpoints have changed.

    The owners of other data centres' endpoints are computed on demand.
    """
    stamp = (world.members.changes, world.config.revision)
    table = world.leaders
    if table.owned_as_of == stamp:
        return
    table.owned_as_of = stamp
    vms_by_data_centre: dict[str, list[str]] = {ALL: []}
    for vm in list_eligible(world):
        vms_by_data_centre[ALL].append(vm)
        vms_by_data_centre.setdefault(get_data_centre(world, vm), []).append(vm)
    table.vms_by_data_centre = vms_by_data_centre
    identity = world.identity
    table.owners = {
        endpoint: _choose_owner(world, endpoint, spec.data_centre)
        for endpoint, spec in world.config.endpoints.items()
        if spec.data_centre == identity.data_centre
        or spec.data_centre not in vms_by_data_centre
    }
    table.owned = frozenset(
        e for e, owner in table.owners.items() if owner == identity.vm
    )


def _is_leader_gone(world: World, record: LeaderRecord) -> bool:
    """Return whether the recorded leader can no longer be leading."""
    if record.leader == world.identity.vm:
        return True
    member = world.members.known.get(record.leader)
    if member is None or member.state is MemberState.DEAD:
        return True
    return member.incarnation > record.incarnation


def _can_claim(world: World, endpoint: EndpointId) -> bool:
    table = world.leaders
    if endpoint in table.led_endpoints or endpoint in table.pending_claims:
        return False
    if endpoint in table.offers:
        return True
    last = table.last_claims.get(endpoint, NEVER)
    if world.now - last < world.settings.timing.hold_down:
        return False
    record = table.records.get(endpoint)
    if record is None:
        return True
    return _is_leader_gone(world, record) and not _may_be_isolated(world)


def has_contact(world: World) -> bool:
    """Return whether most of the latest pings were answered within one lease."""
    return world.now - world.members.confirmed_at <= world.settings.timing.lease


def _may_be_isolated(world: World) -> bool:
    """Return whether this daemon may be isolated while the other daemons are alive.

    An isolated daemon waits before it claims endpoints. The wait doubles each time
    another daemon reclaims one of them, as this shows that the others are alive.
    """
    if has_contact(world):
        world.leaders.isolated_losses = 0
        return False
    isolated_since = max(world.members.confirmed_at, world.started_at)
    doublings = min(world.leaders.isolated_losses, MAX_DOUBLINGS)
    wait = world.settings.timing.isolated_claim * (1 << doublings)
    return world.now - isolated_since < wait


def _claim(world: World, endpoint: EndpointId, reason: str) -> None:
    table = world.leaders
    before = table.records.get(endpoint)
    record = LeaderRecord(
        endpoint=endpoint,
        leader=world.identity.vm,
        incarnation=world.identity.incarnation,
        epoch=1 if before is None else before.epoch + 1,
        change=str(UUID(int=world.random.getrandbits(128))),
    )
    expected = 0 if before is None else before.version
    table.pending_claims[endpoint] = PendingClaim(
        since=world.now, expected_version=expected
    )
    table.last_claims[endpoint] = world.now
    world.outbox.append(ClaimEndpoint(record=record, expected_version=expected))
    world.events.add(
        PART,
        "claims leadership",
        reason=reason,
        endpoint=endpoint,
        detail=f"epoch {record.epoch}",
    )


@runs_each_tick(30, on_wake=True)
def claim_owned(world: World) -> None:
    """Claim endpoints offered to this daemon, and owned ones without a live leader."""
    _refresh_owners(world)
    table = world.leaders
    for endpoint, claiming in list(table.pending_claims.items()):
        if world.now - claiming.since > CLAIM_TTL:
            del table.pending_claims[endpoint]
    if world.members.leaving:
        return
    settled = world.now - world.started_at >= world.settings.timing.settle
    to_claim = set(table.offers) | (table.owned if settled else set())
    for endpoint in sorted(to_claim):
        if endpoint in world.config.endpoints and _can_claim(world, endpoint):
            offered = endpoint in table.offers
            _claim(world, endpoint, "offered" if offered else "no live leader")


def _adopt_offer(world: World, endpoint: EndpointId, version: int) -> Offer | None:
    """Adopt the permits that the former leader offered for this record version."""
    offer = world.leaders.offers.pop(endpoint, None)
    if offer is None or offer.version != version:
        return None
    for permit in offer.permits:
        world.grants.permits[permit.permit] = permit
    return offer


@handles_event(ClaimEnded)
def apply_claim_result(world: World, ended: ClaimEnded) -> None:
    """Start to lead after a successful claim; record the winner after a lost one."""
    table = world.leaders
    claiming = table.pending_claims.pop(ended.endpoint, None)
    if ended.record is not None:
        _apply_record(world, ended.record)
    newest = table.records.get(ended.endpoint)
    superseded = newest is not None and newest.change != _get_change(ended.record)
    if claiming is None or not ended.won or ended.record is None or superseded:
        table.offers.pop(ended.endpoint, None)
        return
    offer = _adopt_offer(world, ended.endpoint, claiming.expected_version)
    _start_leading(world, ended.record, ended.claimed_at, offer)


def _get_change(record: LeaderRecord | None) -> str:
    return "" if record is None else record.change


def _start_leading(
    world: World,
    record: LeaderRecord,
    claimed_at: Seconds,
    offer: Offer | None,
) -> None:
    """Start to lead an endpoint, with the waits that its former leader requires."""
    spec = world.config.endpoints.get(record.endpoint)
    timing = world.settings.timing
    uncontested = offer is not None or record.epoch == 1
    lease_wait = 0.0 if uncontested else timing.lease + timing.permit_margin
    permit_wait = 0.0 if uncontested else timing.permit_life + timing.permit_margin
    unchecked = spec is not None and not spec.checks_fence and not uncontested
    orders_wait = lease_wait + timing.order_timeout if unchecked else 0.0
    unloads_allowed_at = world.now + max(lease_wait + permit_wait, orders_wait)
    if offer is not None:
        unloads_allowed_at = offer.unloads_allowed_at
    world.leaders.led_endpoints[record.endpoint] = LedEndpoint(
        endpoint=record.endpoint,
        record=record,
        phase=Phase.CLAIMED,
        since=world.now,
        confirmed_at=claimed_at,
        orders_allowed_at=world.now + orders_wait,
        unloads_allowed_at=unloads_allowed_at,
        unsure=frozenset() if offer is None else offer.unsure,
    )
    world.events.add(
        PART,
        "leads",
        reason="claimed" if offer is None else "handed over",
        endpoint=record.endpoint,
        detail=f"epoch {record.epoch}",
    )


def _apply_record(world: World, record: LeaderRecord) -> None:
    """Store a newer record; stop leading an endpoint that another daemon claimed."""
    table = world.leaders
    known = table.records.get(record.endpoint)
    if known is not None and known.version >= record.version:
        return
    table.records[record.endpoint] = record
    world.entry.leader_hints.pop(record.endpoint, None)
    led = table.led_endpoints.get(record.endpoint)
    if led is not None and record.epoch > led.record.epoch:
        world.leaders.isolated_losses += not has_contact(world)
        stop_leading(world, record.endpoint, "another leads")


@handles_event(LeadersChanged)
def apply_leaders(world: World, changed: LeadersChanged) -> None:
    """Apply the leader records that the watch delivered."""
    for record in changed.records:
        _apply_record(world, record)


def stop_leading(world: World, endpoint: EndpointId, reason: str) -> None:
    """Remove the leader state, permits, asks and loads of an endpoint."""
    world.leaders.led_endpoints.pop(endpoint, None)
    for permit in list(world.permits_of(endpoint)):
        del world.grants.permits[permit.permit]
    for key in [each for each in world.grants.views_reported if each[1] == endpoint]:
        del world.grants.views_reported[key]
    for ask in [a for a in world.grants.asks.values() if a.endpoint == endpoint]:
        del world.grants.asks[ask.ask]
    for load in [a for a in world.grants.loads.values() if a.endpoint == endpoint]:
        del world.grants.loads[load.load]
    world.events.add(PART, "stops leading", reason=reason, endpoint=endpoint)


@runs_each_tick(31)
def maintain_confirmation(world: World) -> None:
    """Suspend unconfirmed leaderships; read the object API before the lease ends."""
    lease = world.settings.timing.lease
    for led in list(world.leaders.led_endpoints.values()):
        if led.endpoint not in world.config.endpoints:
            stop_leading(world, led.endpoint, "endpoint removed from the configuration")
            continue
        if led.phase in ACTIVE and not is_confirmed(world, led):
            led = world.update_led_endpoint(led, phase=Phase.SUSPENDED)
            world.events.add(
                PART,
                "suspends",
                reason="not confirmed within the lease",
                endpoint=led.endpoint,
            )
        due = _get_unconfirmed_time(world, led) > lease * CONFIRM_FRACTION
        asked_recently = (
            world.now - led.confirm_requested_at < lease * CONFIRM_FRACTION / 2
        )
        if (due or led.phase is Phase.SUSPENDED) and not asked_recently:
            world.update_led_endpoint(led, confirm_requested_at=world.now)
            world.outbox.append(ReadLeader(endpoint=led.endpoint))


@handles_event(LeaderRead)
def apply_leader_read(world: World, read: LeaderRead) -> None:
    """Confirm or end the leadership according to the record in the object API."""
    if read.failed or read.record is None:
        return
    _apply_record(world, read.record)
    led = world.leaders.led_endpoints.get(read.endpoint)
    if led is None or read.record.change != led.record.change:
        return
    if read.asked_at <= led.confirmed_at:
        return
    led = world.update_led_endpoint(led, confirmed_at=read.asked_at)
    if led.phase is Phase.SUSPENDED and is_confirmed(world, led):
        world.update_led_endpoint(led, phase=Phase.CLAIMED, fence_requested_at=NEVER)
        world.events.add(
            PART,
            "resumes",
            reason="the object API still names it",
            endpoint=led.endpoint,
        )


@runs_each_tick(32, on_wake=True)
def raise_fences(world: World) -> None:
    """Raise the fence at each newly claimed endpoint."""
    for led in list(world.leaders.led_endpoints.values()):
        if led.phase is not Phase.CLAIMED or not is_confirmed(world, led):
            continue
        spec = world.config.endpoints[led.endpoint]
        if spec.kind is EndpointKind.SERVICE or not spec.checks_fence:
            _become_fenced(world, led)
        elif world.now - led.fence_requested_at >= FENCE_RETRY_INTERVAL:
            world.update_led_endpoint(led, fence_requested_at=world.now)
            token = make_token(world, led)
            world.outbox.append(RaiseFence(endpoint=led.endpoint, epoch=token))


def _become_fenced(world: World, led: LedEndpoint) -> None:
    world.update_led_endpoint(led, phase=Phase.FENCED)
    world.events.add(PART, "acts as leader", endpoint=led.endpoint)


@handles_event(FenceRaised)
def apply_fence_result(world: World, raised: FenceRaised) -> None:
    """Act as leader once the endpoint refuses orders of earlier leaders."""
    led = world.leaders.led_endpoints.get(raised.endpoint)
    if led is None or led.phase is not Phase.CLAIMED:
        return
    if raised.epoch >> TOKEN_BITS != led.record.epoch:
        return
    if raised.outcome is OrderOutcome.DONE:
        _become_fenced(world, led)
    elif raised.outcome is OrderOutcome.FENCED_OFF:
        world.update_led_endpoint(
            led, confirm_requested_at=NEVER, phase=Phase.SUSPENDED
        )


def _make_handed_permit(world: World, permit: GrantedPermit) -> HandedPermit:
    return HandedPermit(
        permit=permit.permit,
        adapter=permit.adapter.adapter,
        version=permit.adapter.version,
        holder=permit.holder,
        count=permit.count,
        running=permit.running,
        state=permit.state.value,
        life_left=max(0.0, permit.expires_at - world.now),
    )


def _should_hand_over(world: World, led: LedEndpoint, owner: VmId) -> bool:
    """Return whether an endpoint should be handed over to its owner now."""
    if owner == world.identity.vm:
        return False
    member = world.members.known.get(owner)
    if member is None or member.state is not MemberState.ALIVE:
        return False
    if world.members.leaving:
        return True
    return world.now - led.since > HAND_OVER_DELAY


@runs_each_tick(33)
def hand_over(world: World) -> None:
    """Hand endpoints over to the daemons that should lead them."""
    timeout = world.settings.timing.hand_over_timeout
    for led in list(world.leaders.led_endpoints.values()):
        if led.phase is Phase.HANDING_OVER:
            if world.now - led.handed_over_at > timeout:
                stop_leading(world, led.endpoint, "the offer was not accepted")
                _claim(world, led.endpoint, "the offer was not accepted")
            continue
        owner = find_owner(world, led.endpoint)
        if owner is None or led.phase is not Phase.FENCED:
            continue
        if _should_hand_over(world, led, owner):
            _offer(world, led, owner)


def _offer(world: World, led: LedEndpoint, owner: VmId) -> None:
    """Stop granting, and send the permits to the next leader."""
    unsure = [
        str(slot.adapter)
        for slot in led.slots.values()
        if slot.report_required_after > 0
    ]
    offer = HandOver(
        endpoint=led.endpoint,
        epoch=led.record.epoch,
        version=led.record.version,
        bar_left=max(0.0, led.unloads_allowed_at - world.now),
        unsure=unsure,
        permits=[
            _make_handed_permit(world, each) for each in world.permits_of(led.endpoint)
        ],
    )
    world.update_led_endpoint(led, phase=Phase.HANDING_OVER, handed_over_at=world.now)
    world.send(owner, offer)
    world.events.add(
        PART,
        f"hands over to {owner}",
        reason="planned stop" if world.members.leaving else "owner changed",
        endpoint=led.endpoint,
    )


@handles_message(HandOver)
def receive_offer(world: World, sender: VmId, offer: HandOver) -> None:
    """Store an endpoint's offer, so that the endpoint is claimed next."""
    endpoint = EndpointId(offer.endpoint)
    record = world.leaders.records.get(endpoint)
    if world.members.leaving or (record is not None and record.epoch > offer.epoch):
        return
    if record is None or record.version < offer.version:
        record = LeaderRecord(
            endpoint=endpoint,
            leader=sender,
            incarnation=0,
            epoch=offer.epoch,
            change="",
            version=offer.version,
        )
        world.leaders.records[endpoint] = record
    margin = world.settings.timing.permit_margin
    world.leaders.offers[endpoint] = Offer(
        version=offer.version,
        permits=tuple(
            GrantedPermit(
                permit=PermitId(each.permit),
                endpoint=endpoint,
                adapter=AdapterVersion(adapter=each.adapter, version=each.version),
                holder=VmId(each.holder),
                count=each.count,
                expires_at=world.now + each.life_left + margin,
                state=PermitState(each.state),
                running=each.running,
            )
            for each in offer.permits
        ),
        unloads_allowed_at=world.now + offer.bar_left,
        unsure=frozenset(parse_adapter_version(name) for name in offer.unsure),
    )


@handles_pause
def suspend_after_pause(world: World, paused_for: Seconds) -> None:
    """Suspend all leaderships until the object API has been read again."""
    world.leaders.offers.clear()
    for led in list(world.leaders.led_endpoints.values()):
        world.update_led_endpoint(
            led, phase=Phase.SUSPENDED, confirm_requested_at=NEVER
        )


def mark_unsure(world: World, led: LedEndpoint, adapter: AdapterVersion) -> None:
    """Require a later report before an adapter can be unloaded."""
    slot = led.slots.get(adapter)
    if slot is None:
        return
    report_required_after = world.now + world.settings.timing.permit_margin
    doubtful = replace(
        slot,
        report_required_after=max(slot.report_required_after, report_required_after),
    )
    world.put_slot(led, doubtful)
