"""Tells daemons that reach no endpoint of others that do."""

import random
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final

from kestreltally.deployment import Deployment, SocketAddress
from kestreltally.entry.health import HealthTable
from kestreltally.fleet.model import Seconds
from kestreltally.forwarding.targets import ForwardTarget, ForwardTargets
from kestreltally.knowledge.feed import FeedServer
from kestreltally.knowledge.feed_parts import FeedPart, ReceivedUpdate
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.structs import TargetRow
from kestreltally.knowledge.updates import AGE_UNKNOWN
from kestreltally.reach.contact import Contact

# A daemon reaches endpoints if one has answered it in this time. Leaders ask theirs
# several times a second.
MAX_ANSWER_AGE: Final[Seconds] = 1.0
# A report on its way makes an answer seem younger by this at most.
MAX_REPORT_TRANSIT: Final[Seconds] = 0.3
# Targets named to one daemon, and by one leader to another: enough to share the load of
# many daemons, however many there are.
MAX_TARGETS: Final = 8
# Targets of its own data centre that a daemon is named, if there are as many.
MAX_LOCAL_TARGETS: Final = 6
# A daemon says this seldom that it is a target; each report says whether an endpoint
# answers it.
ROWS_INTERVAL: Final[Seconds] = 1.0
# A daemon that reaches endpoints is told of targets this seldom, for a cut that takes
# its leader too.
CALM_INTERVAL: Final[Seconds] = 2.0


class TargetExchange(FeedPart):
    """Reports whether this daemon is a target; as a leader, names targets to others."""

    def __init__(
        self,
        deployment: Deployment,
        contact: Contact,
        targets: ForwardTargets,
        health: HealthTable,
        leaders: Leaders,
        feed: FeedServer,
        clock: Callable[[], Seconds],
    ) -> None:
        self._deployment = deployment
        self._contact = contact
        self._targets = targets
        self._health = health
        self._leaders = leaders
        self._feed = feed
        self._clock = clock
        # The port for requests of other daemons, 0 until it is known or while this
        # daemon takes none.
        self.port = 0
        # When targets were last reported, by the data centre of the leader.
        self._reported_at: dict[str, Seconds] = {}

    def is_target(self) -> bool:
        """Return whether this daemon can serve requests that others pass on."""
        age = self._contact.compute_answer_age()
        return bool(self.port) and self._contact.is_open and age < MAX_ANSWER_AGE

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Add this daemon to a report, or a sample of its group as a leader."""
        report.cut_off = not self._contact.is_open
        report.answer_age = min(self._compute_answer_age(), AGE_UNKNOWN)
        now = self._clock()
        if now - self._reported_at.get(data_centre, float("-inf")) < ROWS_INTERVAL:
            return
        self._reported_at[data_centre] = now
        report.targets = [_encode(each) for each in self._list_reported()]

    def record_connected(self, data_centre: str) -> None:
        """Report targets at once over a new connection."""
        self._reported_at.pop(data_centre, None)

    def stop(self) -> None:
        """Take no more requests of other daemons, and say so at once."""
        self.port = 0
        self._reported_at.clear()

    def _list_reported(self) -> list[ForwardTarget]:
        if self._leaders.leads:
            return self._sample_group()
        return [self._describe()] if self.is_target() else []

    def _compute_answer_age(self) -> Seconds:
        """Return how long ago an endpoint answered, as a leader any of its group."""
        own = self._contact.compute_answer_age()
        if not self._leaders.leads:
            return own
        followers = (each.answered_at for each in self._feed.list_followers())
        return min(own, self._clock() - max(followers, default=float("-inf")))

    def _describe(self) -> ForwardTarget:
        load = sum(self._health.measure(self._clock()).in_flight.values())
        address = SocketAddress(self._deployment.peers.host, self.port)
        return ForwardTarget(address, self._deployment.data_centre, load)

    def _sample_group(self) -> list[ForwardTarget]:
        found = list(self._list_targets(self._feed.list_followers()))
        if self.is_target():
            found.append(self._describe())
        return random.sample(found, min(MAX_TARGETS, len(found)))

    def _list_targets(self, peers: Iterable[Peer]) -> Iterator[ForwardTarget]:
        """Yield the targets that daemons name whom endpoints answer now."""
        oldest = self._clock() - MAX_ANSWER_AGE
        for peer in peers:
            if peer.answered_at >= oldest and (peer.leads or not peer.is_cut_off):
                yield from peer.targets

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Record the targets that a daemon names, and whether it needs some."""
        if report.targets is not None:
            peer.targets = tuple(_decode(row) for row in report.targets)
        if report.answer_age is not None:
            peer.answered_at = self._clock() - report.answer_age
        was_cut_off, peer.is_cut_off = peer.is_cut_off, bool(report.cut_off)
        if peer.is_cut_off and not was_cut_off:
            self._feed.expedite()

    def do_others_reach(self) -> bool:
        """Return whether an endpoint answers others while it does not this leader."""
        since = self._contact.failing_since
        if since is None or not self._contact.is_cut_off:
            return False
        peers = (*self._feed.list_followers(), *self._feed.list_leaders())
        return any(peer.answered_at > since + MAX_REPORT_TRANSIT for peer in peers)

    def fill_update(self, update: Any, peer: Peer) -> None:
        """Name targets to a daemon, often while it needs them."""
        now = self._clock()
        if not peer.is_cut_off and now - peer.sent_targets_at < CALM_INTERVAL:
            return
        peer.sent_targets_at = now
        update.targets = [_encode(each) for each in self._choose_targets(peer)]

    def _choose_targets(self, peer: Peer | None) -> list[ForwardTarget]:
        """Return targets for a daemon, first of this leader's data centre."""
        peers = (*self._feed.list_followers(), *self._feed.list_leaders())
        others = [each for each in peers if each is not peer]
        found = {each.address: each for each in self._list_targets(others)}
        if peer is not None and self.is_target():
            own = self._describe()
            found[own.address] = own
        local = self._deployment.data_centre
        near = [each for each in found.values() if each.data_centre == local]
        far = [each for each in found.values() if each.data_centre != local]
        chosen = random.sample(near, min(MAX_LOCAL_TARGETS, len(near)))
        return chosen + random.sample(far, min(MAX_TARGETS - len(chosen), len(far)))

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Add the targets that a leader names."""
        rows = received.update.targets
        if rows:
            self._targets.apply([_decode(row) for row in rows], self._clock())

    def run_maintenance(self) -> None:
        """Use the targets that this daemon knows as a leader itself."""
        if self._leaders.leads and not self._contact.is_open:
            self._targets.apply(self._choose_targets(None), self._clock())


def _encode(target: ForwardTarget) -> Any:
    return TargetRow(
        host=target.address.host,
        port=target.address.port,
        data_centre=target.data_centre,
        load=target.load,
    )


def _decode(row: Any) -> ForwardTarget:
    return ForwardTarget(SocketAddress(row.host, row.port), row.data_centre, row.load)
