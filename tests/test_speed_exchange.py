"""The way of observations to the engine's leader, and of verdicts back to all daemons.

Guards against observations that are lost or counted twice between data centres, and
against verdicts that outlive the leader that decided them or the engine they are on.
"""

from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

from kestreltally.fleet.model import Endpoint, EndpointId
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.feed_parts import ReceivedUpdate
from kestreltally.knowledge.speeds import SpeedExchange
from kestreltally.knowledge.structs import Report, Update
from kestreltally.speeds.known import VERDICT_LIFETIME
from tests.entryrig import MODELS

ENGINES = [
    Endpoint(EndpointId(f"e{i}"), MODELS, "h", 1, "north", 8, False, {}, frozenset())
    for i in range(5)
]
FAILING = ENGINES[0]


class Daemon:
    """One daemon of a data centre; leaders hold the lease of their own one."""

    def __init__(self, rig: "Rig", vm: str, data_centre: str, *, leads: bool) -> None:
        self.data_centre = data_centre
        self.fleet = Fleet()
        for each in ENGINES:
            self.fleet.put_endpoint(replace(each, start_time_ms=7))
        spec = SimpleNamespace(engine=object())
        self.fleet.configuration = cast(Any, SimpleNamespace(services={MODELS: spec}))
        self.peer = SimpleNamespace(leads=frozenset([data_centre] if leads else []))
        self.leaders = SimpleNamespace(leads=leads)
        relay = SimpleNamespace(
            health=SimpleNamespace(observer=None),
            finder=SimpleNamespace(switch_on_speeds=lambda *_: None),
        )
        self.health = relay.health
        self.exchange = SpeedExchange(
            vm,
            self.fleet,
            cast(Any, relay),
            cast(Any, self.leaders),
            lambda endpoint: cast(
                Any,
                SimpleNamespace(
                    data_centre=endpoint.data_centre,
                    leads=self.leaders.leads and endpoint.data_centre == data_centre,
                ),
            ),
            lambda: rig.now,
        )

    def report_to(self, other: "Daemon") -> int:
        """Send a report; return the number of its rows."""
        report = Report(follows=not self.leaders.leads)
        self.exchange.fill_report(report, other.data_centre)
        other.exchange.apply_report(cast(Any, self.peer), report)
        return len(report.speeds)

    def update(self, other: "Daemon") -> int:
        """Send an update; return the number of verdicts in it."""
        update = Update()
        self.exchange.fill_update(update, cast(Any, other.peer))
        led = frozenset([self.data_centre])
        followed = self.data_centre == other.data_centre
        other.exchange.apply_update(
            ReceivedUpdate(update, self.data_centre, led, 0.0, followed=followed)
        )
        return len(update.factors)


class Rig:
    """The leaders of two data centres and five followers of each."""

    def __init__(self) -> None:
        self.now = 100.0
        self.north = Daemon(self, "n", "north", leads=True)
        self.south = Daemon(self, "s", "south", leads=True)
        self.followers = [
            Daemon(self, f"{name}-{i}", name, leads=False)
            for name in ("north", "south")
            for i in range(5)
        ]

    def run_round(self, *, fails: bool = True) -> None:
        """Let each daemon observe each engine, and exchange reports and updates."""
        self.now += 0.2
        daemons = [self.north, self.south, *self.followers]
        for daemon in daemons:
            for engine in ENGINES:
                whole = not (fails and engine is FAILING)
                daemon.health.observer.record_outcome(engine.id, whole=whole)
        for daemon in self.followers:
            daemon.report_to(self.get_leader(daemon))
        for leader in (self.north, self.south):
            leader.exchange.run_maintenance()
        self.south.report_to(self.north)
        self.north.update(self.south)
        for daemon in self.followers:
            self.get_leader(daemon).update(daemon)

    def get_leader(self, daemon: Daemon) -> Daemon:
        return self.north if daemon.data_centre == "north" else self.south


def test_verdicts_reach_all_daemons_and_only_engines_that_differ_are_sent() -> None:
    rig = Rig()
    for _ in range(4):
        rig.run_round()
    for daemon in rig.followers:
        assert daemon.exchange.known.list_current().keys() == {FAILING.id}
    assert rig.north.update(rig.followers[0]) == 1
    # Verdicts of others are passed on to followers, not back to their leader.
    assert rig.south.update(rig.followers[-1]) == 1
    assert rig.south.update(rig.north) == 0


def test_observations_are_reported_once() -> None:
    rig = Rig()
    daemon = rig.followers[-1]
    daemon.health.observer.record_outcome(FAILING.id, whole=True)
    assert daemon.report_to(rig.south) == 1
    assert daemon.report_to(rig.south) == 0
    assert rig.south.report_to(rig.north) == 1
    assert rig.south.report_to(rig.north) == 0


def test_verdicts_expire_when_their_leader_is_lost() -> None:
    rig = Rig()
    for _ in range(4):
        rig.run_round()
    rig.now += VERDICT_LIFETIME / 2
    rig.south.update(rig.followers[-1])
    # The southern leader still sends updates, but its word from the north is too old.
    rig.now += VERDICT_LIFETIME / 2 + 0.1
    rig.south.update(rig.followers[-1])
    for daemon in rig.followers:
        assert not daemon.exchange.known.list_current()


def test_daemon_that_stops_leading_blames_nobody() -> None:
    rig = Rig()
    for _ in range(4):
        rig.run_round()
    rig.north.leaders.leads = False
    rig.north.exchange.run_maintenance()
    assert not rig.north.exchange.known.list_current()


def test_reports_on_another_incarnation_are_ignored() -> None:
    rig = Rig()
    for daemon in (rig.north, rig.south):
        daemon.fleet.put_endpoint(replace(FAILING, start_time_ms=8))
    for _ in range(6):
        for daemon in rig.followers:
            daemon.health.observer.record_outcome(FAILING.id, whole=False)
        rig.run_round(fails=False)
    assert not rig.north.exchange.known.list_current()


def test_observations_survive_the_wire() -> None:
    rig = Rig()
    daemon = rig.followers[0]
    observer = daemon.health.observer
    for i in range(20):
        observer.record_stream(FAILING.id, [0.1 * n * (1 + i % 2) for n in range(9)])
    observer.record_outcome(FAILING.id, whole=False)
    report = Report(follows=True)
    daemon.exchange.fill_report(report, "north")
    (row,) = report.speeds
    assert (row.gaps, row.failed, row.reads, row.whole) == (12, 1, None, None)
    assert row.born == 7
