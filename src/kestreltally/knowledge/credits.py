"""Exchanges credits for calls at rate-limited endpoints over the feed.

A daemon requests credits from the leader it follows, and that leader requests them from
the leader of the endpoint. Requests travel in reports, which are sent at once if a call
waits; credits come back in updates, and are handed over along the same path. A leader
may be reachable although its lease has expired. A leader that neither holds the
endpoint's lease nor reaches a leader that does issues credits itself, to the daemons
that it reaches, at a lower rate (see ``IssueParameters``). The cost for a daemon grows
with the number of rate-limited endpoints, not with the size of the fleet.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from kestreltally.fleet.model import Endpoint, EndpointId, KnownNotice, Seconds
from kestreltally.fleet.rate_limits import PREFETCH_URGENCY, IssuerState, RateLimitState
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.daemon_count import DaemonCount
from kestreltally.knowledge.feed import FeedServer
from kestreltally.knowledge.feed_parts import FeedPart, ReceivedUpdate
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.rows import (
    decode_notice,
    encode_credits,
    encode_notice,
    encode_requested,
)
from kestreltally.placing.credits import (
    CreditDemand,
    CreditHolder,
    CreditIssuer,
    IssueParameters,
    compute_leased_parameters,
    compute_unleased_parameters,
)
from kestreltally.placing.lease import Lease


class CreditExchange(FeedPart):
    """Sends requests for credits in reports, and credits in updates; applies both.

    ``record_credit`` is called with the endpoint for which this daemon got a credit.
    """

    def __init__(
        self,
        fleet: Fleet,
        leases: Mapping[str, Lease],
        leaders: Leaders,
        get_lease: Callable[[Endpoint], Lease],
        feed: FeedServer,
        daemon_count: DaemonCount,
        clock: Callable[[], Seconds],
    ) -> None:
        self._fleet = fleet
        self._notices = fleet.notices
        self._leaders = leaders
        self._get_lease = get_lease
        self._feed = feed
        self._clock = clock
        self._local_holder = CreditHolder()
        self._issuer = CreditIssuer(
            self._local_holder, self._list_credit_holders, self._add_local_credit, clock
        )
        # Credits received from each leader over the current connection.
        self._received: dict[str, Counter[EndpointId]] = {
            name: Counter() for name in leases
        }
        self._issue_timer: asyncio.TimerHandle | None = None
        self._daemon_count = daemon_count
        self.record_credit: Callable[[Endpoint], None] = lambda _: None
        self._notices.get_issuer_state = self.get_issuer_state
        self._notices.record_requested = self._record_requested

    # Which daemon issues credits.

    def get_issuer_state(self, endpoint: Endpoint) -> IssuerState:
        """Return what is known of the issuer of an endpoint's credits.

        It is known if this daemon leads or follows a leader: any leader issues credits
        or forwards those of another leader.
        """
        known = self._leaders.leads or self._leaders.find_primary() is not None
        return IssuerState(known=known, daemons=self._daemon_count.maximum)

    def _is_issuer(self, endpoint: Endpoint) -> bool:
        """Return whether this daemon issues the credits of an endpoint."""
        is_reachable = self._leaders.is_reachable(self._get_lease(endpoint).data_centre)
        return self._is_leader_of(endpoint) or (
            self._leaders.leads and not is_reachable
        )

    def _is_leader_of(self, endpoint: Endpoint) -> bool:
        """Return whether this daemon leads an endpoint; the lease may have expired."""
        return self._get_lease(endpoint).leads

    def _choose_parameters(
        self, endpoint: Endpoint, limit: RateLimitState
    ) -> IssueParameters:
        """Return the parameters by which this daemon issues an endpoint's credits."""
        if self._get_lease(endpoint).is_sole_holder():
            return compute_leased_parameters(limit.rate)
        leads = self._is_leader_of(endpoint)
        daemons = self._feed.count_daemons() if leads else self._feed.count_group()
        return compute_unleased_parameters(
            limit.rate, daemons, self._daemon_count.maximum or 0
        )

    def _list_credit_holders(self, endpoint: EndpointId) -> Iterator[CreditHolder]:
        yield self._local_holder
        known = self._fleet.endpoints.get(endpoint)
        for peer in self._feed.list_followers():
            yield peer.credit_holder
        if known is not None and self._is_leader_of(known):
            for peer in self._feed.list_leaders():
                yield peer.credit_holder

    def issue(self) -> None:
        """Issue the credits that are due, as a leader, and schedule the next round."""
        if self._issue_timer is not None:
            self._issue_timer.cancel()
            self._issue_timer = None
        limits = self._notices.list_rate_limits()
        self._issuer.retain_pools(name for name, _, _ in limits)
        if not limits or not self._leaders.leads:
            return
        waits = []
        for name, start_time_ms, limit in limits:
            known = self._fleet.endpoints.get(name)
            if known is None or not self._is_issuer(known):
                continue
            self._local_holder.requested[name] = limit.list_requested(self._clock())
            parameters = self._choose_parameters(known, limit)
            wait = self._issuer.issue(name, start_time_ms, limit, parameters)
            if wait is not None:
                waits.append(wait)
        if waits:
            loop = asyncio.get_running_loop()
            self._issue_timer = loop.call_later(min(waits), self.issue)
        self._expedite_unreported()

    def _expedite_unreported(self) -> None:
        followers = self._feed.list_followers()
        if any(
            p.credit_holder.unreported for p in (*followers, *self._feed.list_leaders())
        ):
            self._feed.expedite()

    def _add_local_credit(self, endpoint: EndpointId, expires_at: Seconds) -> None:
        """Add a credit for this daemon's calls."""
        known = self._fleet.endpoints.get(endpoint)
        if known is None:
            return
        limit = self._notices.get_rate_limit(endpoint, known.start_time_ms)
        if limit is not None and expires_at > self._clock():
            limit.credits.append(expires_at)
            self._local_holder.requested[endpoint] = limit.list_requested(self._clock())
            self.record_credit(known)

    # Requests.

    def _record_requested(self, endpoint: EndpointId) -> None:
        """Issue or request a credit at once for a call that waits."""
        known = self._fleet.endpoints.get(endpoint)
        if known is None:
            return
        if self._is_issuer(known):
            self.issue()
            return
        self._expedite(known)

    def _expedite(self, endpoint: Endpoint) -> None:
        """Send the next report towards the issuer of an endpoint's credits at once."""
        name: str | None = self._get_lease(endpoint).data_centre
        if not self._leaders.leads:
            name = self._leaders.find_primary()
        if name is not None:
            self._leaders.clients[name].expedite()

    def record_connected(self, data_centre: str) -> None:
        """Reset the count of credits received from a leader on a new connection."""
        self._received[data_centre].clear()

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Add the credits requested from a leader to a report."""
        rows = []
        for name, requested in self._list_requested(data_centre):
            received_count = self._received[data_centre][name]
            rows.append(encode_requested(name, requested, received_count))
        report.wanted = rows

    def _list_requested(
        self, data_centre: str
    ) -> Iterable[tuple[EndpointId, CreditDemand]]:
        leads = self._leaders.leads
        if not leads and self._leaders.find_primary() not in (data_centre, None):
            return
        for name, _, limit in self._notices.list_rate_limits():
            known = self._fleet.endpoints.get(name)
            if known is None:
                continue
            requested = limit.list_requested(self._clock())
            if leads:
                if self._get_lease(known).data_centre != data_centre:
                    continue
                self._local_holder.requested[name] = requested
                requested = self._issuer.sum_outstanding(name)
            yield name, requested

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Record the credits that a daemon requests, and issue or request them."""
        credit_holder = peer.credit_holder
        credit_holder.requested = {}
        for row in report.wanted or ():
            name = EndpointId(row.endpoint)
            credit_holder.requested[name] = dict(row.counts or {})
            credit_holder.received[name] = row.received
        if not self._leaders.leads:
            return
        for name, requested in credit_holder.requested.items():
            known = self._fleet.endpoints.get(name)
            # Credits that no call waits for yet are issued in the leader's next rounds.
            if known is None or all(
                urgency >= PREFETCH_URGENCY for urgency in requested
            ):
                continue
            if self._is_issuer(known):
                self.issue()
            else:
                self._expedite(known)

    # Updates.

    def fill_update(self, update: Any, peer: Peer) -> None:
        """Add rate limits, and the credits issued to a daemon, to an update."""
        now = self._clock()
        known = self._notices.list_known(now)
        update.notices = [
            encode_notice(each)
            for each in known
            if each.limit_version or each.brittle_version
        ]
        if peer.stamp is None:
            return
        update.echo = peer.stamp
        update.echo_age = now - peer.stamp_received_at
        update.turns = [
            encode_credits(name, [end - now for end in expiry_times])
            for name, expiry_times in peer.credit_holder.pop_unreported().items()
        ]

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Apply the rate limits and credits of a leader's update."""
        update = received.update
        is_followed = received.followed and not self._leaders.leads
        for row in update.notices or ():
            notice = decode_notice(row)
            self._notices.apply_reported_limit(notice, self._clock())
            self._apply_wait(notice, received.led_data_centres, is_followed=is_followed)
        if update.turns and update.echo is not None:
            # Credits expire relative to the time of this daemon's report. So an update
            # that arrives late, for whatever reason, does not extend them.
            sent_at = update.echo + update.echo_age
            self._apply_credits(received.data_centre, update, sent_at)

    def _apply_wait(
        self,
        notice: KnownNotice,
        led_data_centres: frozenset[str],
        *,
        is_followed: bool,
    ) -> None:
        """Apply the wait for credits, from the issuer or forwarded by a leader."""
        known = self._fleet.endpoints.get(notice.endpoint)
        limit = self._notices.get_rate_limit(notice.endpoint, notice.start_time_ms)
        if known is None or limit is None:
            return
        if is_followed or self._get_lease(known).data_centre in led_data_centres:
            limit.wait = notice.credit_wait

    def _apply_credits(self, data_centre: str, update: Any, sent_at: Seconds) -> None:
        for row in update.turns:
            name = EndpointId(row.endpoint)
            expiry_times = [sent_at + lasts for lasts in row.lasts]
            self._received[data_centre][name] += len(expiry_times)
            known = self._fleet.endpoints.get(name)
            limit = (
                self._notices.get_rate_limit(name, known.start_time_ms)
                if known
                else None
            )
            if limit is None:
                continue
            if self._leaders.leads:
                self._local_holder.requested[name] = limit.list_requested(self._clock())
                self._issuer.hand_over(name, expiry_times)
            else:
                for end in expiry_times:
                    self._add_local_credit(name, end)
        if self._leaders.leads:
            self._expedite_unreported()
