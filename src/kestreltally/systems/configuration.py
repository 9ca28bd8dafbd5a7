"""The configuration in force: its revision, its distribution and its freshness.

A few daemons in each data centre watch the object API and push changes to the other
daemons of the data centre. Heartbeats carry the revision, so a daemon that missed a
push, or was started during an outage of the object API, pulls from a peer.
"""

import json
from collections.abc import Iterable
from typing import Final

from kestreltally.entities.configuration import (
    Adapter,
    Caller,
    ConfigObject,
    Endpoint,
    MalformedObject,
    Rule,
    encode_config_object,
    make_config_key,
    parse_config_object,
)
from kestreltally.entities.ids import EndpointId, Revision, Seconds, VmId
from kestreltally.entities.members import MemberState
from kestreltally.invariants import declare_invariant
from kestreltally.orders import ConfigArrived
from kestreltally.peers.messages import Change, PullChanges, PushChanges
from kestreltally.systems.hashing import rank_owners
from kestreltally.systems.registry import (
    handles_event,
    handles_message,
    handles_pause,
    runs_each_tick,
)
from kestreltally.world import ConfigTable, World

PART: Final = "configuration"
PULL_RETRY_INTERVAL: Final[Seconds] = 0.5
SELF_WATCH_DELAY: Final[Seconds] = 10.0
MAX_UNCONFIRMED: Final[Seconds] = 1e9
WATCH_DUTY: Final = "configuration-watch"

REVISION_NEVER_REVERTS = declare_invariant(
    "revision-never-reverts",
    promise="an accepted configuration never reverts",
    owner="systems/configuration.py",
)


def get_unconfirmed_time(world: World) -> Seconds:
    """Return the time since the revision was last confirmed, in seconds."""
    return min(world.now - world.config.confirmed_at, MAX_UNCONFIRMED)


def is_watcher(world: World) -> bool:
    """Return whether this daemon watches the configuration for its data centre.

    A daemon whose peers have not confirmed its revision for SELF_WATCH_DELAY also
    watches.
    """
    if get_unconfirmed_time(world) > SELF_WATCH_DELAY:
        return True
    local_vms = [world.identity.vm] + [
        member.vm
        for member in world.members.known.values()
        if member.data_centre == world.identity.data_centre
        and member.state is not MemberState.DEAD
    ]
    ranked = rank_owners(WATCH_DUTY, local_vms)
    return world.identity.vm in ranked[: world.settings.config_watchers]


def _index_object(table: ConfigTable, key: str, before: ConfigObject | None) -> None:
    """Update the indexes with the object stored under ``key``."""
    if before is not None:
        _drop_from_indexes(table, before)
    value = table.objects[key].value
    if isinstance(value, Endpoint):
        endpoint = EndpointId(value.name)
        table.endpoints[endpoint] = value
        table.endpoints_of_model.setdefault(value.model, {})[endpoint] = value
    elif isinstance(value, Caller):
        for digest in value.key_digests:
            table.callers_of_digest[digest] = value
    elif isinstance(value, Adapter):
        for pinned in value.pinned_to:
            table.pinned.setdefault(EndpointId(pinned), set()).add(value.name)
    elif isinstance(value, Rule):
        table.rules_of_adapter.setdefault(value.adapter, {})[value.name] = value


def _drop_from_indexes(table: ConfigTable, before: ConfigObject) -> None:
    value = before.value
    if isinstance(value, Endpoint):
        table.endpoints.pop(EndpointId(value.name), None)
        table.endpoints_of_model[value.model].pop(EndpointId(value.name), None)
    elif isinstance(value, Caller):
        for digest in value.key_digests:
            indexed = table.callers_of_digest.get(digest)
            if indexed is not None and indexed.name == value.name:
                del table.callers_of_digest[digest]
    elif isinstance(value, Adapter):
        for endpoint in value.pinned_to:
            table.pinned[EndpointId(endpoint)].discard(value.name)
    elif isinstance(value, Rule):
        table.rules_of_adapter[value.adapter].pop(value.name, None)


def _apply_object(world: World, changed: ConfigObject) -> None:
    table = world.config
    key = make_config_key(changed.kind, changed.name)
    before = table.objects.get(key)
    if before is not None and changed.revision <= before.revision:
        return
    table.objects[key] = changed
    _index_object(table, key, before)
    _append_change(table, changed)


def _append_change(table: ConfigTable, changed: ConfigObject) -> None:
    if len(table.recent) == table.recent.maxlen:
        table.recent_after = table.recent[0].revision
    table.recent.append(changed)


def apply_changes(world: World, arrived: ConfigArrived) -> bool:
    """Apply changes; return whether the revision increased.

    Changes older than those in force are ignored, whatever their source.
    """
    table = world.config
    if arrived.revision < table.revision:
        return False
    if not arrived.complete and arrived.after > table.revision:
        return False
    before = table.revision
    for changed in sorted(arrived.objects, key=lambda each: each.revision):
        _apply_object(world, changed)
    table.revision = arrived.revision
    table.confirmed_at = max(table.confirmed_at, arrived.confirmed_at)
    if arrived.complete and arrived.after == 0 and before == 0:
        table.recent.clear()
        table.recent_after = arrived.revision
    world.invariants.require(
        REVISION_NEVER_REVERTS,
        table.revision >= before,
        f"from {before} to {table.revision}",
    )
    if table.revision > before:
        world.events.add(PART, f"revision {table.revision} in force", reason="changed")
    return table.revision > before


@handles_event(ConfigArrived)
def apply_arrived_changes(world: World, arrived: ConfigArrived) -> None:
    """Apply changes from the watch, and push them to the daemons of the data centre."""
    before = world.config.revision
    if not apply_changes(world, arrived):
        return
    changes = list_changes_after(world, before)
    for member in world.members.known.values():
        same_data_centre = member.data_centre == world.identity.data_centre
        if same_data_centre and member.state is not MemberState.DEAD:
            world.send(member.vm, changes)


def _encode_change(changed: ConfigObject) -> Change:
    return Change(
        key=make_config_key(changed.kind, changed.name),
        revision=changed.revision,
        value=json.dumps(encode_config_object(changed)),
    )


def list_changes_after(world: World, after: Revision) -> PushChanges:
    """Return the message that updates a peer from ``after`` to the current revision."""
    table = world.config
    whole = after < table.recent_after
    source: Iterable[ConfigObject]
    if whole:
        source = table.objects.values()
    else:
        source = (each for each in table.recent if each.revision > after)
    return PushChanges(
        after=0 if whole else after,
        revision=table.revision,
        whole=whole,
        unconfirmed_for=get_unconfirmed_time(world),
        changes=[_encode_change(each) for each in source],
    )


@handles_message(PushChanges)
def receive_changes(world: World, sender: VmId, pushed: PushChanges) -> None:
    """Apply changes that a peer pushed; schedule a pull if earlier ones are missing."""
    objects = []
    for change in pushed.changes:
        try:
            plain = json.loads(change.value)
            objects.append(parse_config_object(change.key, plain, change.revision))
        except (ValueError, RecursionError, MalformedObject) as error:
            world.events.add(PART, "discards a malformed change", reason=str(error))
    arrived = ConfigArrived(
        after=pushed.after,
        revision=pushed.revision,
        complete=pushed.whole,
        objects=tuple(objects),
        confirmed_at=world.now - pushed.unconfirmed_for,
    )
    apply_changes(world, arrived)
    record_peer_revision(world, sender, pushed.revision, pushed.unconfirmed_for)


@handles_message(PullChanges)
def answer_pull(world: World, sender: VmId, pull: PullChanges) -> None:
    """Send a peer the changes that it lacks."""
    if world.config.revision > pull.after:
        world.send(sender, list_changes_after(world, pull.after))


def record_peer_revision(
    world: World,
    peer: VmId,
    revision: Revision,
    unconfirmed_for: Seconds,
) -> None:
    """Compare a peer's revision with the local one; schedule a pull if it is newer."""
    table = world.config
    if revision > table.revision:
        table.pull_from = peer
    elif revision == table.revision and revision > 0:
        table.confirmed_at = max(table.confirmed_at, world.now - unconfirmed_for)


@runs_each_tick(20)
def pull_missing(world: World) -> None:
    """Pull changes from a peer that has a newer revision."""
    table = world.config
    if table.pull_from is None or world.now - table.pulled_at < PULL_RETRY_INTERVAL:
        return
    world.send(table.pull_from, PullChanges(after=table.revision))
    table.pulled_at = world.now
    table.pull_from = None


@handles_pause
def reset_confirmation(world: World, paused_for: Seconds) -> None:
    """Treat the revision as unconfirmed since before the pause."""
    world.config.confirmed_at = min(world.config.confirmed_at, world.now - paused_for)


def list_adapters(world: World) -> list[Adapter]:
    """Return all adapters in force."""
    values = (each.value for each in world.config.objects.values())
    return [value for value in values if isinstance(value, Adapter)]
