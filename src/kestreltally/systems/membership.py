"""Membership and failure detection: heartbeats, suspicion and rumours.

Based on SWIM (Das, Gupta, Motivala, 2002): each heartbeat goes to one daemon, and
rumours are piggybacked on heartbeats, so the cost per daemon does not grow with the
fleet. The VM list only provides the addresses to probe.
"""

from collections.abc import Iterable
from dataclasses import replace
from math import ceil, log2
from typing import Final

from kestreltally.entities.ids import DataCentre, Seconds, VmId
from kestreltally.entities.members import Member, MemberState
from kestreltally.orders import StopRequested, VmsListed
from kestreltally.peers.messages import Ack, Ping, PingFor, Rumour
from kestreltally.systems.configuration import (
    get_unconfirmed_time,
    record_peer_revision,
)
from kestreltally.systems.registry import (
    handles_event,
    handles_message,
    handles_pause,
    runs_each_tick,
)
from kestreltally.world import PendingPing, World

PART: Final = "membership"
RUMOURS_PER_MESSAGE: Final = 8
RETRANSMIT_FACTOR: Final = 3
INDIRECT_PROBES: Final = 2
FIRST_PROBES_PER_TICK: Final = 8
HEARTBEATS_PER_DEAD_PROBE: Final = 2
DEAD_RETENTION: Final[Seconds] = 60.0
PING_TTL_IN_TIMEOUTS: Final = 4
MIN_CONFIRMING_PINGS: Final = 3


def list_eligible(world: World) -> list[VmId]:
    """Return the daemons that can own a duty, including this one."""
    eligible = [] if world.members.leaving else [world.identity.vm]
    return eligible + [
        member.vm
        for member in world.members.known.values()
        if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        and not is_listed_leaving(world, member.vm)
    ]


def is_listed_leaving(world: World, vm: VmId) -> bool:
    """Return whether the VM list marks a VM as leaving."""
    listed = world.members.listed.get(vm)
    return listed is not None and listed.leaving


def get_data_centre(world: World, vm: VmId) -> DataCentre:
    """Return a daemon's data centre, or an empty name if it is unknown."""
    if vm == world.identity.vm:
        return world.identity.data_centre
    member = world.members.known.get(vm)
    return member.data_centre if member is not None else DataCentre("")


def is_reachable(world: World, vm: VmId) -> bool:
    """Return whether messages can be sent to a daemon: it is known and not dead."""
    if vm == world.identity.vm:
        return True
    member = world.members.known.get(vm)
    return member is not None and member.state is not MemberState.DEAD


def make_local_rumour(world: World) -> Rumour:
    """Return this daemon's rumour about itself."""
    identity = world.identity
    state = MemberState.LEAVING if world.members.leaving else MemberState.ALIVE
    return Rumour(
        vm=identity.vm,
        host=identity.host,
        port=identity.port,
        data_centre=identity.data_centre,
        incarnation=identity.incarnation,
        counter=world.members.counter,
        state=int(state),
    )


def _make_rumour(member: Member) -> Rumour:
    return Rumour(
        vm=member.vm,
        host=member.host,
        port=member.port,
        data_centre=member.data_centre,
        incarnation=member.incarnation,
        counter=member.counter,
        state=int(member.state),
    )


def _choose_rumours(world: World, subject: VmId | None) -> list[Rumour]:
    """Choose the rumours to piggyback on a message.

    The local rumour comes first, then the one about ``subject`` if it is not alive,
    then those with the most transmissions left.
    """
    table = world.members
    chosen = [make_local_rumour(world)]
    about = table.known.get(subject) if subject is not None else None
    if about is not None and about.state is not MemberState.ALIVE:
        chosen.append(_make_rumour(about))
    least_reported = sorted(table.rumours, key=lambda vm: (-table.rumours[vm], vm))
    for vm in least_reported[:RUMOURS_PER_MESSAGE]:
        table.rumours[vm] -= 1
        if table.rumours[vm] <= 0:
            del table.rumours[vm]
        if vm != subject and vm in table.known:
            chosen.append(_make_rumour(table.known[vm]))
    return chosen


def _set_member(world: World, member: Member) -> None:
    """Store a member and queue its rumour; a change causes owners to be recomputed."""
    table = world.members
    before = table.known.get(member.vm)
    changed = before is None or before.state is not member.state
    if before is not None and before.incarnation != member.incarnation:
        changed = True
    if changed:
        member = replace(member, changed_at=world.now)
        table.changes += 1
        world.events.add(
            PART,
            f"{member.vm} is {member.state.name.lower()}",
            detail=f"incarnation {member.incarnation} counter {member.counter}",
        )
    table.known[member.vm] = member
    table.rumours[member.vm] = RETRANSMIT_FACTOR * ceil(log2(len(table.known) + 2))


def _refute(world: World, rumour: Rumour) -> None:
    """Refute a rumour that this daemon is suspect or dead."""
    if rumour.incarnation != world.identity.incarnation:
        return
    if rumour.state in (MemberState.SUSPECT, MemberState.DEAD):
        world.members.counter = max(world.members.counter, rumour.counter + 1)


def _apply_rumours(world: World, rumours: Iterable[Rumour]) -> None:
    for rumour in rumours:
        if rumour.vm == world.identity.vm:
            _refute(world, rumour)
            continue
        received = Member(
            vm=VmId(rumour.vm),
            host=rumour.host,
            port=rumour.port,
            data_centre=DataCentre(rumour.data_centre),
            incarnation=rumour.incarnation,
            counter=rumour.counter,
            state=MemberState(rumour.state),
            changed_at=world.now,
        )
        before = world.members.known.get(received.vm)
        if before is None:
            if received.state is not MemberState.DEAD:
                _set_member(world, received)
        elif received.precedence_key() > before.precedence_key():
            merged = replace(
                received, changed_at=before.changed_at, acked_at=before.acked_at
            )
            _set_member(world, merged)


def _send_ping(
    world: World,
    vm: VmId,
    host: str,
    port: int,
    on_behalf_of: VmId | None = None,
    origin_sequence: int = 0,
) -> None:
    table = world.members
    table.sequence += 1
    table.pending[table.sequence] = PendingPing(
        subject=vm,
        sent_at=world.now,
        on_behalf_of=on_behalf_of,
        origin_sequence=origin_sequence,
    )
    ping = Ping(
        sequence=table.sequence,
        rumours=_choose_rumours(world, vm),
        revision=world.config.revision,
        unconfirmed_for=get_unconfirmed_time(world),
    )
    world.send_to(vm, host, port, ping)


def _ping_member(world: World, vm: VmId) -> None:
    member = world.members.known[vm]
    _send_ping(world, vm, member.host, member.port)


def _is_pingable(member: Member) -> bool:
    return member.state is not MemberState.DEAD


def _ping_next(world: World) -> None:
    """Ping the next daemon of a shuffled round."""
    table = world.members
    while table.probe_order:
        vm = table.probe_order.pop()
        if vm in table.known and _is_pingable(table.known[vm]):
            _ping_member(world, vm)
            return
    table.probe_order = [
        vm for vm, member in table.known.items() if _is_pingable(member)
    ]
    world.random.shuffle(table.probe_order)
    if table.probe_order:
        _ping_member(world, table.probe_order.pop())


def _probe_dead(world: World) -> None:
    """Ping a random listed daemon that is not known up, so that partitions can heal."""
    dead = [
        vm
        for vm, listed in world.members.listed.items()
        if listed.is_daemon and vm != world.identity.vm and not _is_known_up(world, vm)
    ]
    if not dead:
        return
    listed = world.members.listed[world.random.choice(dead)]
    _send_ping(world, listed.vm, listed.host, listed.port)


def _is_known_up(world: World, vm: VmId) -> bool:
    member = world.members.known.get(vm)
    return member is not None and _is_pingable(member)


@runs_each_tick(10)
def send_heartbeats(world: World) -> None:
    """Ping newly listed daemons, and send the heartbeat if it is due."""
    table = world.members
    for _ in range(min(FIRST_PROBES_PER_TICK, len(table.unprobed_vms))):
        listed = table.unprobed_vms.pop()
        if not _is_known_up(world, listed.vm):
            _send_ping(world, listed.vm, listed.host, listed.port)
    if world.now < table.next_heartbeat_at:
        return
    table.next_heartbeat_at = world.now + world.settings.timing.heartbeat
    table.heartbeats += 1
    _ping_next(world)
    if table.heartbeats % HEARTBEATS_PER_DEAD_PROBE == 0:
        _probe_dead(world)


def _send_indirect_probes(world: World, sequence: int, pending: PendingPing) -> None:
    others = [
        vm
        for vm, member in world.members.known.items()
        if vm != pending.subject and member.state is MemberState.ALIVE
    ]
    for vm in world.random.sample(others, min(INDIRECT_PROBES, len(others))):
        world.send(vm, PingFor(sequence=sequence, subject=pending.subject))


def _suspect(world: World, vm: VmId) -> None:
    member = world.members.known.get(vm)
    if member is None:
        return
    if member.state is MemberState.ALIVE:
        _set_member(world, replace(member, state=MemberState.SUSPECT))
    elif member.state is MemberState.LEAVING:
        _set_member(world, replace(member, state=MemberState.DEAD))


@runs_each_tick(11)
def detect_failures(world: World) -> None:
    """Suspect daemons that do not answer; declare dead those suspected for too long."""
    timing = world.settings.timing
    table = world.members
    for sequence, pending in list(table.pending.items()):
        age = world.now - pending.sent_at
        if age > timing.ack_timeout * PING_TTL_IN_TIMEOUTS:
            del table.pending[sequence]
            if pending.on_behalf_of is None:
                _suspect(world, pending.subject)
        elif age > timing.ack_timeout and not pending.indirect_probe_sent:
            table.pending[sequence] = replace(pending, indirect_probe_sent=True)
            if pending.on_behalf_of is None and _is_known_up(world, pending.subject):
                table.recent_pings.append(False)
                _send_indirect_probes(world, sequence, pending)
    if world.now - table.suspects_checked_at >= timing.ack_timeout:
        table.suspects_checked_at = world.now
        _expire_suspects(world)


def _expire_suspects(world: World) -> None:
    """Declare suspects dead after the suspicion time; remove members dead for long."""
    timing = world.settings.timing
    table = world.members
    not_alive = [m for m in table.known.values() if m.state is not MemberState.ALIVE]
    for member in not_alive:
        age = world.now - member.changed_at
        if member.state is MemberState.SUSPECT and age > timing.suspicion:
            _set_member(world, replace(member, state=MemberState.DEAD))
        elif member.state is MemberState.DEAD and age > DEAD_RETENTION:
            del table.known[member.vm]
            table.rumours.pop(member.vm, None)


@runs_each_tick(12)
def record_contact(world: World) -> None:
    """Record contact if most of the latest heartbeats were answered.

    Without other known or listed daemons, contact counts as given.
    """
    table = world.members
    if sum(table.recent_pings) >= MIN_CONFIRMING_PINGS:
        table.confirmed_at = max(table.confirmed_at, table.latest_ack)
    elif not table.known and not _has_listed_peers(world):
        table.confirmed_at = world.now


def _has_listed_peers(world: World) -> bool:
    return any(
        listed.is_daemon and vm != world.identity.vm
        for vm, listed in world.members.listed.items()
    )


@handles_message(Ping)
def answer_ping(world: World, sender: VmId, ping: Ping) -> None:
    """Answer a heartbeat and apply its rumours."""
    _apply_rumours(world, ping.rumours)
    record_peer_revision(world, sender, ping.revision, ping.unconfirmed_for)
    ack = Ack(
        sequence=ping.sequence,
        subject=world.identity.vm,
        rumours=_choose_rumours(world, sender),
        revision=world.config.revision,
        unconfirmed_for=get_unconfirmed_time(world),
    )
    world.send(sender, ack)


@handles_message(PingFor)
def ping_for_peer(world: World, sender: VmId, request: PingFor) -> None:
    """Ping a daemon on behalf of a peer that got no answer from it."""
    subject = world.members.known.get(VmId(request.subject))
    if subject is None:
        return
    _send_ping(
        world,
        subject.vm,
        subject.host,
        subject.port,
        on_behalf_of=sender,
        origin_sequence=request.sequence,
    )


@handles_message(Ack)
def receive_ack(world: World, sender: VmId, ack: Ack) -> None:
    """Record that a daemon is alive, or forward the answer to the requesting peer."""
    _apply_rumours(world, ack.rumours)
    record_peer_revision(world, sender, ack.revision, ack.unconfirmed_for)
    pending = world.members.pending.pop(ack.sequence, None)
    if pending is None or pending.subject != ack.subject:
        return
    if pending.on_behalf_of is not None:
        forwarded = replace(ack, sequence=pending.origin_sequence)
        world.send(pending.on_behalf_of, forwarded)
        return
    member = world.members.known.get(pending.subject)
    if member is not None:
        world.members.known[member.vm] = replace(member, acked_at=world.now)
        world.members.latest_ack = world.now
    if sender == pending.subject and not pending.indirect_probe_sent:
        world.members.recent_pings.append(True)


@handles_event(VmsListed)
def apply_vm_list(world: World, listed: VmsListed) -> None:
    """Apply the VM list: addresses to probe, and which VMs are leaving."""
    table = world.members
    new = {each.vm: each for each in listed.vms}
    if new == table.listed:
        return
    table.changes += 1
    local_vm = world.identity.vm
    for vm, each in new.items():
        if each.is_daemon and vm != local_vm and vm not in table.listed:
            table.unprobed_vms.append(each)
    table.listed = new


@handles_event(StopRequested)
def announce_leaving(world: World, _: StopRequested) -> None:
    """Announce to other daemons that this one is leaving."""
    table = world.members
    table.leaving = True
    table.changes += 1
    world.events.add(PART, "leaving", reason="planned stop")
    others = [vm for vm, member in table.known.items() if _is_pingable(member)]
    for vm in others[:FIRST_PROBES_PER_TICK]:
        _ping_member(world, vm)


@handles_pause
def reset_failure_detection(world: World, paused_for: Seconds) -> None:
    """Reset pending pings and suspicion times after a pause of this daemon.

    It received no messages meanwhile, so the silence of peers proves nothing.
    """
    table = world.members
    world.events.add(PART, "was paused", detail=f"{paused_for:.2f} s")
    table.pending.clear()
    table.recent_pings.clear()
    for member in list(table.known.values()):
        if member.state is MemberState.SUSPECT:
            table.known[member.vm] = replace(member, changed_at=world.now)
