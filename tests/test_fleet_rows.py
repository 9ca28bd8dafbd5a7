"""Which of two statements on an endpoint holds: the one of the later store revision.

Guards against endpoints that come back by the rows of a leader that knows less: one
that has lost the store, or one that has restarted and missed the removal.
"""

from dataclasses import replace
from typing import Any, cast

import pytest

from kestreltally.fleet.model import Endpoint, EndpointId
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.departures import REPORT_DURATION, Departure
from kestreltally.knowledge.doubts import Doubt
from kestreltally.knowledge.endpoints_age import EndpointsAge
from kestreltally.knowledge.feed_parts import ReceivedUpdate
from kestreltally.knowledge.fleet_rows import FleetRows
from kestreltally.knowledge.removal_origins import RemovalOrigin, RemovalSource
from kestreltally.knowledge.rows import encode_change, encode_endpoint
from kestreltally.knowledge.structs import Report, Update
from kestreltally.platform.store import Revision
from tests.clocks import ManualClock
from tests.entryrig import KEY
from tests.test_knowledge import make_endpoint

E1 = make_endpoint("e1")
E2 = make_endpoint("e2")
BY_WATCH = RemovalOrigin(RemovalSource.WATCH, certain=True)


class Ignore:
    """Stands in for components that only have to be told."""

    def __getattr__(self, _: str) -> "Ignore":
        return self

    def __call__(self, *_: Any, **__: Any) -> None:
        return None


class NoLeaders:
    """This daemon follows, and no leader's feed is alive."""

    leads = False

    def __init__(self) -> None:
        self.clients = {"north": self}

    def is_alive(self) -> bool:
        return False


class NorthLease:
    data_centre = "north"
    leads = False


class RowsRig:
    def __init__(self) -> None:
        self.fleet = Fleet()
        self.clock = ManualClock()
        self.rows = FleetRows(
            self.fleet,
            cast(Any, Ignore()),
            cast(Any, NoLeaders()),
            lambda: None,
            lambda _: cast(Any, NorthLease()),
            lambda: None,
            EndpointsAge(2.0, 1.2, self.clock),
            self.clock,
        )

    def list_store(self, number: int, *endpoints: Endpoint) -> None:
        """Apply a complete list of the store, as its handler does."""
        revision = Revision(0, number)
        for endpoint in endpoints:
            self.rows.put_entry(endpoint, revision)
        present = {each.id for each in endpoints}
        for name in [each for each in self.fleet.endpoints if each not in present]:
            self.rows.drop_entry(name, revision, BY_WATCH)
        self.rows.removals.record_complete(revision)

    def receive(
        self,
        number: int | None,
        *endpoints: Endpoint,
        leader: str = "north",
        **fields: Any,
    ) -> None:
        """Apply an update of a leader that knows the store as of a revision."""
        update = Update(
            leader=leader,
            rows=[encode_endpoint(each) for each in endpoints],
            **{"complete": True, **fields},
        )
        as_of = None if number is None else Revision(0, number)
        self.rows.apply_update(
            ReceivedUpdate(update, leader, frozenset({leader}), as_of, followed=True)
        )

    def wants_full(self) -> bool:
        report = Report()
        self.rows.fill_report(report, "north")
        return bool(report.wants_full)

    @property
    def names(self) -> set[str]:
        return set(self.fleet.endpoints)


def test_row_older_than_a_removal_is_not_used() -> None:
    rig = RowsRig()
    rig.list_store(10, E1, E2)
    rig.list_store(20, E2)
    rig.receive(15, E1, E2, whole=True)
    assert rig.names == {"e2"}


def test_restarted_daemon_believes_its_own_list_over_an_older_leader() -> None:
    rig = RowsRig()
    rig.receive(15, E1, E2, whole=True)
    assert rig.names == {"e1", "e2"}
    rig.list_store(20, E2)
    assert rig.names == {"e2"}
    rig.receive(15, E1, E2, whole=True)
    assert rig.names == {"e2"}


def test_row_unknown_to_a_later_list_is_not_used() -> None:
    rig = RowsRig()
    rig.list_store(20, E2)
    rig.receive(15, E1, whole=True)
    assert rig.names == {"e2"}


def test_row_of_a_later_state_is_used() -> None:
    rig = RowsRig()
    rig.list_store(20, E2)
    rig.receive(21, E1)
    assert rig.names == {"e1", "e2"}


def test_withheld_row_is_used_once_its_leader_has_caught_up() -> None:
    rig = RowsRig()
    rig.list_store(20, E2)
    rig.receive(15, E1, E2, whole=True)
    changed = replace(E1, weights={KEY: 7})
    rig.receive(16, changes=[encode_change(E1, changed)])
    assert rig.names == {"e2"}
    # The leader knows the removal by now, so the endpoint was listed again.
    rig.receive(25)
    assert rig.fleet.endpoints[E1.id].weights == {KEY: 7}


@pytest.mark.parametrize("whole", [False, True])
def test_withheld_row_is_dropped_with_its_leaders_own_removal(whole: bool) -> None:
    rig = RowsRig()
    rig.list_store(20, E2)
    rig.receive(15, E1, E2, whole=True)
    if whole:
        rig.receive(25, E2, whole=True)
    else:
        rig.receive(25, gone=["e1"])
    rig.receive(30)
    assert rig.names == {"e2"}


def test_endpoint_that_a_leader_never_sent_does_not_come_back_by_its_updates() -> None:
    rig = RowsRig()
    rig.receive(15, E2, whole=True)
    rig.list_store(20, E1, E2)
    rig.list_store(30, E2)
    rig.receive(35)
    assert rig.names == {"e2"}


def test_endpoint_removed_here_comes_back_once_its_leader_lists_it_later() -> None:
    rig = RowsRig()
    rig.receive(15, E1, E2, whole=True)
    rig.list_store(20, E2)
    rig.receive(19)
    assert rig.names == {"e2"}
    rig.receive(25)
    assert rig.names == {"e1", "e2"}


@pytest.mark.parametrize("whole", [False, True])
def test_older_leader_does_not_remove_what_is_listed_later(whole: bool) -> None:
    rig = RowsRig()
    rig.list_store(20, E1, E2)
    if whole:
        rig.receive(15, E2, whole=True)
    else:
        rig.receive(15, gone=["e1"])
    assert rig.names == {"e1", "e2"}


def test_leader_that_states_no_revision_neither_restores_nor_is_ignored() -> None:
    rig = RowsRig()
    rig.list_store(10, E1)
    rig.list_store(20)
    rig.receive(None, E1, E2)
    assert rig.names == {"e2"}
    rig.receive(None, gone=[EndpointId("e2")])
    assert rig.names == set()


def make_departure(
    number: int, endpoint: Endpoint = E1, *, certain: bool = True
) -> Departure:
    revision = Revision(0, number)
    return Departure(endpoint.id, endpoint.start_time_ms, revision, certain)


def test_departure_told_by_any_daemon_removes_an_endpoint() -> None:
    rig = RowsRig()
    rig.receive(15, E1, E2, whole=True)
    rig.rows.apply_departure(make_departure(20), "south-1")
    assert rig.names == {"e2"}
    # It is passed on once, and the leader that has not heard of it changes nothing.
    assert rig.rows.removals.departures.list_since(0) == [make_departure(20)]
    rig.rows.apply_departure(make_departure(20), "south-2")
    assert len(rig.rows.removals.departures.list_since(0)) == 1
    rig.receive(16, E1, E2, whole=True)
    assert rig.names == {"e2"}


def test_departure_of_an_unknown_endpoint_outdates_older_rows() -> None:
    rig = RowsRig()
    rig.rows.apply_departure(make_departure(20), "south-1")
    rig.receive(16, E1, E2, whole=True)
    assert rig.names == {"e2"}


def test_departure_older_than_a_list_removes_nothing() -> None:
    rig = RowsRig()
    rig.list_store(30, E1, E2)
    rig.rows.apply_departure(make_departure(20), "south-1")
    assert rig.names == {"e1", "e2"}
    assert rig.rows.removals.departures.list_since(0) == []


def test_departure_ends_a_doubt_whatever_revision_is_known() -> None:
    rig = RowsRig()
    rig.list_store(30, E1, E2)
    rig.rows.removals.doubts.add(E1.id, Doubt(RemovalSource.WATCH, 0.0, 100.0))
    rig.rows.apply_departure(make_departure(20), "south-1")
    assert rig.names == {"e2"}
    assert E1.id not in rig.rows.removals.doubts


def test_departure_of_an_earlier_incarnation_removes_nothing() -> None:
    rig = RowsRig()
    rig.receive(15, replace(E1, start_time_ms=8), whole=True)
    earlier = Departure(E1.id, 7, Revision(0, 20), certain=True)
    rig.rows.apply_departure(earlier, "south-1")
    assert rig.names == {"e1"}


def test_departure_is_forgotten_once_the_endpoint_is_listed_again() -> None:
    rig = RowsRig()
    rig.list_store(10, E1, E2)
    rig.list_store(20, E2)
    assert rig.rows.removals.departures.list_since(0) == [make_departure(20)]
    rig.list_store(30, E1, E2)
    assert rig.rows.removals.departures.list_since(0) == []


def test_only_departures_seen_here_are_reported_for_a_while() -> None:
    rig = RowsRig()
    rig.list_store(10, E1, E2)
    rig.rows.apply_departure(make_departure(12, E2), "south-1")
    rig.list_store(20)
    assert rig.rows.removals.departures.list_recent() == [make_departure(20)]
    rig.clock.now += REPORT_DURATION + 0.1
    assert rig.rows.removals.departures.list_recent() == []
    assert len(rig.rows.removals.departures.list_since(0)) == 2


def test_leaving_is_told_as_a_departure_once() -> None:
    rig = RowsRig()
    rig.list_store(10, replace(E1, leaving=True))
    rig.list_store(11, replace(E1, leaving=True))
    assert rig.rows.removals.departures.list_since(0) == [
        Departure(E1.id, 0, None, certain=True)
    ]
    other = RowsRig()
    other.list_store(10, E1)
    other.rows.apply_departure(Departure(E1.id, 0, None, certain=True), "south-1")
    other.rows.put_row(E1)
    assert other.fleet.endpoints[E1.id].leaving


def test_another_leaders_later_list_removes_what_it_lacks() -> None:
    rig = RowsRig()
    rig.list_store(10, E1, E2)
    rig.receive(9, leader="south", present=["e2"])
    assert rig.names == {"e1", "e2"}
    rig.rows.removals.doubts.add(E2.id, Doubt(RemovalSource.WATCH, 0.0, 100.0))
    rig.receive(20, leader="south", present=["e3"])
    # An entry in doubt may have expired, and what is missing may have done just that.
    assert rig.names == {"e2"}
    told = make_departure(20, certain=False)
    assert rig.rows.removals.departures.list_since(0) == [told]


def test_departure_that_may_be_an_expiry_ends_no_doubt() -> None:
    rig = RowsRig()
    rig.list_store(10, E1, E2)
    rig.rows.removals.doubts.add(E1.id, Doubt(RemovalSource.WATCH, 0.0, 100.0))
    for name in (E1, E2):
        departure = make_departure(20, name, certain=False)
        rig.rows.apply_departure(departure, "south-1")
    assert rig.names == {"e1"}


def test_follower_with_a_later_list_hears_what_its_leader_was_told_missing() -> None:
    leader, follower = RowsRig(), RowsRig()
    leader.list_store(10, E1, E2)
    follower.list_store(15, E1, E2)
    leader.receive(20, leader="south", present=["e2"])
    follower.receive(10, gone=["e1"])
    assert follower.names == {"e1", "e2"}
    (told,) = leader.rows.removals.departures.list_since(0)
    follower.rows.apply_departure(told, "north-1")
    assert follower.names == {"e2"}


def test_leader_that_has_caught_up_is_asked_for_all_rows() -> None:
    rig = RowsRig()
    rig.list_store(20, E1, E2)
    rig.receive(15, E2, whole=True)
    assert not rig.rows.is_reconciled("north")
    assert not rig.wants_full()
    # It never knew the endpoint, which has left since, so it tells no removal.
    rig.receive(30)
    assert rig.names == {"e1", "e2"}
    assert rig.rows.removals.revision == Revision(0, 20)
    assert rig.wants_full()
    rig.receive(31, E2, whole=True)
    assert rig.names == {"e2"}
    assert rig.rows.is_reconciled("north")
    assert not rig.wants_full()


def test_row_that_a_leader_no_longer_sends_does_not_come_back() -> None:
    # Another leader sent all rows to this daemon before it led.
    rig = RowsRig()
    rig.receive(15, E1, E2, leader="south", whole=True)
    rig.rows.apply_departure(make_departure(20), "south-1")
    rig.receive(25, leader="south", complete=False)
    assert rig.names == {"e2"}
