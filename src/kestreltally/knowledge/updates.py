"""Builds a leader's updates: the changes since the last update to each daemon.

Daemons that were last sent the same snapshot get the same changes: the difference of
two snapshots is computed once in a round, however many daemons follow.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from kestreltally.deployment import SocketAddress
from kestreltally.fleet.model import Endpoint, EndpointId, Seconds, WeightsKey
from kestreltally.knowledge.rows import (
    differs_in_weights_only,
    encode_change,
    encode_endpoint,
    encode_weights,
)
from kestreltally.knowledge.structs import LeaderRow, LeaseRow, Update
from kestreltally.platform.store import NO_REVISION, UNKNOWN_ERA, Revision

# Age that stands for "never" in messages of the feed, seconds.
AGE_UNKNOWN: Final[Seconds] = 1e6

Rows = Mapping[EndpointId, Endpoint]
Versions = Mapping[WeightsKey, int]


@dataclass(frozen=True, slots=True)
class LeaseInfo:
    """The fence and revision of a lease that is held or was resigned."""

    data_centre: str
    fence: int
    revision: Revision


@dataclass(frozen=True, slots=True)
class KnownLeader:
    """The leader of a data centre's engines, with its address and fence."""

    vm: str
    address: SocketAddress
    fence: int


@dataclass(frozen=True, slots=True)
class LeaderState:
    """The fields of an update besides rows.

    ``load_wait`` is the time until a load that is requested now completes, and
    ``free_capacity`` the number of adapters that the engines led can still take. All
    configurations that the store had acknowledged at ``known_at`` are known to this
    leader; it is None if none is known yet. ``endpoints_known_at`` is the same for
    endpoints that have left, ``versions_known_at`` for versions of weights, and
    ``endpoints_revision`` is the revision of the store that the rows reflect.
    """

    leader: str
    leads: tuple[LeaseInfo, ...]
    resigned: tuple[LeaseInfo, ...]
    leaders: Mapping[str, KnownLeader]
    store_age: Seconds
    load_wait: Seconds
    configuration_version: int
    configuration: bytes
    free_capacity: int = 0
    known_at: Seconds | None = None
    endpoints_known_at: Seconds | None = None
    versions_known_at: Seconds | None = None
    endpoints_revision: Revision = NO_REVISION
    secret: bytes = b""


@dataclass(frozen=True, slots=True, eq=False)
class Snapshot:
    """The rows and versions sent to a daemon; equal ones are the same object."""

    rows: Rows
    versions: Versions


EMPTY_SNAPSHOT: Final = Snapshot({}, {})


@dataclass(frozen=True, slots=True, eq=False)
class Difference:
    """The structs that turn the snapshot ``before`` into the current one."""

    before: Snapshot
    rows: list[Any]
    changes: list[Any]
    removed: list[str]
    versions: list[Any]


class SnapshotCache:
    """Returns the same snapshot object as long as nothing changes."""

    def __init__(self) -> None:
        self._current = EMPTY_SNAPSHOT

    def get_snapshot(self, rows: Rows, versions: Versions) -> Snapshot:
        """Return a snapshot of these rows and versions."""
        current = self._current
        if current.rows != rows or current.versions != versions:
            self._current = Snapshot(rows, versions)
        return self._current


class UpdateRound:
    """The updates of one round, for followers and for other leaders."""

    def __init__(
        self,
        state: LeaderState,
        known: Rows,
        for_followers: Snapshot,
        for_leaders: Snapshot,
    ) -> None:
        self.state = state
        self._known = known
        self._for_followers = for_followers
        self._for_leaders = for_leaders
        # By the id of the snapshot sent last. Each entry references that snapshot, so
        # that its id is not reused.
        self._differences: dict[tuple[int, bool], Difference] = {}

    def make_update(
        self, sent: Snapshot, *, leads: bool, is_full: bool
    ) -> tuple[Any, Snapshot]:
        """Return an update for a daemon, and the snapshot that it then has.

        ``leads`` says that the daemon is another leader, which gets only the rows of
        endpoints that this daemon leads.
        """
        state = self.state
        update = Update(
            leader=state.leader,
            leads=[_encode_lease(each) for each in state.leads],
            resigned=[_encode_lease(each) for each in state.resigned],
            store_age=min(state.store_age, AGE_UNKNOWN),
            whole=False,
            load_wait=state.load_wait,
            room=state.free_capacity,
            configuration_version=state.configuration_version,
        )
        if not state.leads:
            return update, sent
        update.secret = state.secret
        current = self._for_leaders if leads else self._for_followers
        difference = self._get_difference(sent, current, leads=leads)
        update.whole = is_full
        update.rows = difference.rows
        update.changes = difference.changes
        update.gone = difference.removed
        update.versions = difference.versions
        update.complete = not leads
        if leads and is_full:
            update.present = list(self._known)
        if state.endpoints_revision != NO_REVISION:
            update.endpoints_revision = state.endpoints_revision.number
            update.endpoints_era = state.endpoints_revision.era
        return update, current

    def _get_difference(
        self, sent: Snapshot, current: Snapshot, *, leads: bool
    ) -> Difference:
        cache_key = (id(sent), leads)
        found = self._differences.get(cache_key)
        if found is None:
            found = self._differences[cache_key] = self._compare(sent, current)
        return found

    def _compare(self, sent: Snapshot, current: Snapshot) -> Difference:
        rows = []
        changes = []
        for endpoint in current.rows.values():
            before = sent.rows.get(endpoint.id)
            if before is endpoint or before == endpoint:
                continue
            if before is not None and differs_in_weights_only(before, endpoint):
                changes.append(encode_change(before, endpoint))
            else:
                rows.append(encode_endpoint(endpoint))
        return Difference(
            before=sent,
            rows=rows,
            changes=changes,
            # Endpoints that are known but led by another leader are not removed.
            removed=[each for each in sent.rows if each not in self._known],
            versions=[
                encode_weights(key, number)
                for key, number in current.versions.items()
                if sent.versions.get(key) != number
            ],
        )


class UpdateMaker:
    """Makes the snapshots from which a leader's updates are built."""

    def __init__(
        self,
        state: Callable[[], LeaderState],
        rows: Callable[[], Rows],
        versions: Callable[[], Versions],
    ) -> None:
        self._state = state
        self._rows = rows
        self._versions = versions
        self._for_followers = SnapshotCache()
        self._for_leaders = SnapshotCache()

    def start_round(self) -> UpdateRound:
        """Return a round of updates from the current state."""
        state = self._state()
        known = dict(self._rows())
        versions = self._versions()
        led = {each.data_centre for each in state.leads}
        local = {k: each for k, each in known.items() if each.data_centre in led}
        return UpdateRound(
            state,
            known,
            self._for_followers.get_snapshot(known, versions),
            self._for_leaders.get_snapshot(local, versions),
        )


def encode_leaders(leaders: Mapping[str, KnownLeader]) -> list[Any]:
    """Return the structs of the known leaders by data centre."""
    return [
        LeaderRow(
            data_centre=name,
            vm=each.vm,
            host=each.address.host,
            port=each.address.port,
            fence=each.fence,
        )
        for name, each in leaders.items()
    ]


def decode_leader(row: Any) -> tuple[str, KnownLeader]:
    """Return the data centre and the leader of a struct."""
    address = SocketAddress(row.host, row.port)
    return row.data_centre, KnownLeader(row.vm, address, row.fence)


def _encode_lease(lease_info: LeaseInfo) -> Any:
    return LeaseRow(
        data_centre=lease_info.data_centre,
        fence=lease_info.fence,
        revision=lease_info.revision.number,
        era=lease_info.revision.era,
    )


def decode_revision(row: Any) -> Revision:
    """Return the revision of a lease's struct."""
    return Revision(UNKNOWN_ERA if row.era is None else row.era, row.revision)


def decode_endpoints_revision(update: Any) -> Revision | None:
    """Return the revision that an update's rows reflect, None if it is not stated."""
    if update.endpoints_revision is None:
        return None
    return Revision(update.endpoints_era, update.endpoints_revision)
