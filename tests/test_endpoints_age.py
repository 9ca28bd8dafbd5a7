"""How old the list of endpoints is proven to be, and what counts as an outage."""

import pytest

from kestreltally.knowledge.endpoints_age import NEVER, EndpointsAge
from tests.clocks import ManualClock

BOUND = 2.0
HEARTBEAT = 1.2
# The shortest outage in which an entry can expire.
LONG = 2.0 * HEARTBEAT
SHORT = LONG - 0.1


class AgeRig:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.age = EndpointsAge(BOUND, HEARTBEAT, self.clock)
        self.age.record_watched(self.clock.now)
        self.run_for(60.0)
        self.age.record_watched(self.clock.now)
        self.run_for(1.0)
        self.age.record_reported(self.clock.now)

    def run_for(self, duration: float) -> None:
        """Let time pass while the daemon looks at its proofs regularly."""
        until = self.clock.now + duration
        while self.clock.now < until:
            self.clock.now = min(until, self.clock.now + 0.1)
            self.age.check()


def test_age_counts_from_the_latest_proof_of_either_kind() -> None:
    clock = ManualClock()
    age = EndpointsAge(BOUND, HEARTBEAT, clock)
    assert age.as_of == NEVER
    age.record_watched(clock.now - 0.5)
    assert age.compute_age() == pytest.approx(0.5)
    age.record_reported(clock.now - 0.2)
    age.record_watched(clock.now - 0.4)
    assert age.compute_age() == pytest.approx(0.2)


@pytest.mark.parametrize(("duration", "counts"), [(SHORT, False), (LONG, True)])
def test_only_an_outage_longer_than_entries_live_counts(
    duration: float, counts: bool
) -> None:
    rig = AgeRig()
    before = rig.age.find_outage_end()
    rig.run_for(duration)
    found = rig.age.find_outage_end()
    assert found == (rig.clock.now if counts else before)


def test_outage_of_this_daemon_alone_does_not_count() -> None:
    rig = AgeRig()
    before = rig.age.find_outage_end()
    for _ in range(10):
        rig.run_for(0.5)
        rig.age.record_reported(rig.clock.now - 0.3)
    assert rig.age.find_outage_end() == before


def test_outage_ends_with_the_first_proof_of_any_daemon() -> None:
    rig = AgeRig()
    rig.run_for(LONG)
    rig.age.record_reported(rig.clock.now - 0.1)
    ended_at = rig.clock.now
    rig.run_for(0.4)
    rig.age.record_watched(rig.clock.now)
    assert rig.age.find_outage_end() == ended_at


def test_old_proof_of_a_leader_without_the_store_ends_no_outage() -> None:
    rig = AgeRig()
    rig.run_for(LONG + 1.0)
    rig.age.record_reported(rig.clock.now - LONG)
    assert rig.age.find_outage_end() == rig.clock.now


@pytest.mark.parametrize("looks_first", [False, True])
def test_time_in_which_this_daemon_stood_still_is_no_outage(looks_first: bool) -> None:
    rig = AgeRig()
    before = rig.age.find_outage_end()
    rig.clock.now += LONG + 1.0
    if looks_first:
        rig.age.check()
    assert rig.age.find_outage_end() == before
    rig.age.record_watched(rig.clock.now)
    assert rig.age.find_outage_end() == before
