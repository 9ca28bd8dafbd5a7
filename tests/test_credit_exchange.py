"""Tests of the exchange of credits; credits that arrive late have expired."""

from types import SimpleNamespace
from typing import Any, cast

from kestreltally.fleet.model import Endpoint
from kestreltally.fleet.rate_limits import RateLimitState
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.credits import CreditExchange
from kestreltally.knowledge.daemon_count import DaemonCount
from kestreltally.knowledge.feed_parts import ReceivedUpdate
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.rows import encode_credits, encode_notice, encode_requested
from kestreltally.knowledge.structs import Report, Update
from tests.test_limit_table import LIMITED
from tests.test_notice_table import ENDPOINT, NOW

LEADER = "north"


class Rig:
    """A daemon that follows or is a leader, which issues credits of one endpoint."""

    def __init__(self, *, leads: bool = False) -> None:
        self.now = NOW
        self.credited: list[Endpoint] = []
        self.peers: list[Peer] = []
        self.expedited = 0
        self.fleet = Fleet()
        self.fleet.put_endpoint(ENDPOINT)
        self.fleet.notices.record(ENDPOINT, LIMITED, NOW)
        lease = SimpleNamespace(
            data_centre=LEADER, leads=leads, is_sole_holder=lambda: leads
        )
        leaders = SimpleNamespace(
            leads=leads,
            find_primary=lambda: LEADER,
            is_reachable=lambda _: True,
            clients={LEADER: SimpleNamespace(expedite=self._record_expedite)},
        )
        feed = SimpleNamespace(
            list_followers=lambda: self.peers,
            list_leaders=list,
            expedite=self._record_expedite,
        )
        self.exchange = CreditExchange(
            self.fleet,
            cast(Any, {LEADER: lease}),
            cast(Any, leaders),
            lambda _: cast(Any, lease),
            cast(Any, feed),
            DaemonCount(),
            lambda: self.now,
        )
        self.exchange.record_credit = self.credited.append

    def _record_expedite(self) -> None:
        self.expedited += 1

    @property
    def limit(self) -> RateLimitState:
        limit = self.fleet.notices.get_rate_limit(ENDPOINT.id, ENDPOINT.start_time_ms)
        assert limit is not None
        return limit

    def apply_credit(self, reported_at: float, echo_age: float) -> None:
        update = Update(
            leads=[],
            turns=[encode_credits(ENDPOINT.id, [0.4])],
            echo=reported_at,
            echo_age=echo_age,
        )
        received = ReceivedUpdate(update, LEADER, frozenset(), NOW, followed=True)
        self.exchange.apply_update(received)

    def get_received_count(self) -> int:
        report = Report()
        self.exchange.fill_report(report, LEADER)
        received: int = report.wanted[0].received
        return received


async def test_late_credit_is_expired_but_counts_as_received() -> None:
    rig = Rig()
    # Reported 0.2 s ago and answered 0.1 s later: the credit is valid for 0.3 s more.
    rig.apply_credit(NOW - 0.2, 0.1)
    assert [round(ends - NOW, 6) for ends in rig.limit.credits] == [0.3]
    # The daemon or the link was stalled for five seconds.
    rig.now += 5.0
    rig.apply_credit(NOW - 0.2, 0.1)
    assert rig.fleet.notices.compute_backoff(ENDPOINT, rig.now) > 0
    assert len(rig.credited) == 1
    assert rig.get_received_count() == 2
    # The count starts again on a new connection.
    rig.exchange.record_connected(LEADER)
    assert rig.get_received_count() == 0


async def test_waiting_request_requests_credit_at_once() -> None:
    rig = Rig()
    with rig.fleet.notices.wait_for_credits([ENDPOINT], 1):
        assert rig.expedited == 1
        report = Report()
        rig.exchange.fill_report(report, LEADER)
        (row,) = report.wanted
        assert row.counts == {1: 1}
    rig.exchange.fill_report(report, LEADER)
    assert report.wanted[0].counts == {}


async def test_leader_issues_requested_credit_once() -> None:
    rig = Rig(leads=True)
    peer = Peer(cast(Any, None), vm="south-1", stamp=3.0, stamp_received_at=NOW - 0.1)
    rig.peers.append(peer)
    rig.exchange.issue()
    rig.now += 5.0
    wanted = encode_requested(ENDPOINT.id, {2: 1}, 0)
    rig.exchange.apply_report(peer, Report(wanted=[wanted]))
    assert rig.expedited == 1
    update = Update()
    rig.exchange.fill_update(update, peer)
    assert [round(each, 6) for each in update.turns[0].lasts] == [0.4]
    assert (update.echo, round(update.echo_age, 6)) == (3.0, 5.1)
    (notice,) = rig.fleet.notices.list_known(rig.now)
    assert update.notices == [encode_notice(notice)]
    # A credit in transit is neither issued nor sent again.
    rig.exchange.apply_report(peer, Report(wanted=[wanted]))
    rig.exchange.fill_update(update, peer)
    assert update.turns == []


async def test_leader_issues_itself_one_credit_per_waiting_request() -> None:
    rig = Rig(leads=True)
    rig.exchange.issue()
    rig.now += 5.0
    with rig.fleet.notices.wait_for_credits([ENDPOINT], 1):
        assert len(rig.limit.credits) == 1
        with rig.fleet.notices.wait_for_credits([ENDPOINT], 2):
            assert len(rig.limit.credits) == 2
