"""Verdicts on engines: who is blamed for being slow or failing, and for how long.

Guards against blaming an engine for a moment, for one daemon's bad luck or for a slow
daemon, and against blame that outlives its cause: a restart, a recovery, or the loss of
the leader that spread it.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace

import pytest

from kestreltally.fleet.model import Endpoint, EndpointId, ServiceName
from kestreltally.speeds.known import VERDICT_LIFETIME, KnownSpeeds
from kestreltally.speeds.observations import Observed, SpeedObserver, compute_gap
from kestreltally.speeds.verdicts import (
    FAILING_SHARE,
    SHARE_STEP,
    Verdict,
    VerdictTable,
)
from tests.entryrig import MODELS

STEP = 0.1
NOISE = 0.15
SLOW = EndpointId("e0")


class Rig:
    """Daemons that observe engines, and the leader that evaluates these.

    ``get_factor`` returns how slow an engine is at a time, for a daemon;
    ``is_failed`` whether an answer fails.
    """

    def __init__(
        self,
        get_factor: Callable[[EndpointId, float, int], float],
        *,
        engines: int = 20,
        daemons: int = 30,
        rate: float = 6.0,
        failed_fraction: Callable[[EndpointId, float], float] = lambda _e, _t: 0.0,
    ) -> None:
        self.random = random.Random(7)
        self.engines = [EndpointId(f"e{i}") for i in range(engines)]
        self.observers = [SpeedObserver(lambda _: MODELS) for _ in range(daemons)]
        self.table = VerdictTable()
        self.now = 100.0
        self.start_times = dict.fromkeys(self.engines, 1)
        self._get_factor = get_factor
        self._failed_fraction = failed_fraction
        self._rate = rate

    def run(self, seconds: float) -> list[dict[EndpointId, Verdict]]:
        """Return the verdicts of each step."""
        steps = []
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for engine in self.engines:
                if self.random.random() < self._rate * STEP:
                    self._observe(engine)
            for witness, observer in enumerate(self.observers):
                for name, observed in observer.pop().items():
                    self.record(name, witness, observed)
            steps.append(self.table.evaluate(self.now))
        return steps

    def record(self, engine: EndpointId, witness: int, observed: Observed) -> None:
        self.table.record(
            engine, self.start_times[engine], MODELS, witness, observed, self.now
        )

    def _observe(self, engine: EndpointId) -> None:
        daemon = self.random.randrange(len(self.observers))
        observer = self.observers[daemon]
        factor = self._get_factor(engine, self.now, daemon)
        noise = self.random.lognormvariate(0.0, NOISE)
        observer.record_reading(engine, 25e-6 * factor * noise)
        gap = 0.03 * factor * noise
        observer.record_stream(engine, [gap * i for i in range(9)])
        fails = self.random.random() < self._failed_fraction(engine, self.now)
        observer.record_outcome(engine, whole=not fails)


def test_what_is_slow_for_a_moment_is_waited_out() -> None:
    chance = random.Random(3)
    spans = {
        (f"e{i}", span): 2.5 if chance.random() < 0.15 else 1.0
        for i in range(20)
        for span in range(1_000)
    }
    rig = Rig(lambda engine, now, _: spans[(engine, int(now / 0.6))])
    rig.run(6.0)
    steps = rig.run(30.0)
    blamed = sum(len(each) for each in steps) / (len(steps) * len(rig.engines))
    assert blamed < 0.05


@pytest.mark.parametrize("rate", [2.0, 6.0])
def test_what_is_slow_for_long_gets_its_factor_until_it_recovers(rate: float) -> None:
    rig = Rig(
        lambda engine, now, _: 3.0 if engine == SLOW and 110 < now < 120 else 1.0,
        rate=rate,
    )
    before = rig.run(10.0)
    assert not any(before[50:])
    # Most of a window later it is known, and stays so.
    rig.run(4.0)
    for each in rig.run(6.0):
        assert 2.2 < each[SLOW].reading < 4.0
        assert 2.2 < each[SLOW].streaming < 4.0
        assert each.keys() == {SLOW}
    rig.run(4.0)
    assert not any(rig.run(3.0))


def test_prompts_that_other_daemons_have_cached_blame_nobody() -> None:
    rig = Rig(lambda _e, _t, _d: 1.0)
    rig.run(4.0)
    for _ in range(40):
        for observer in rig.random.sample(rig.observers, 5):
            observer.record_reading(SLOW, 8e-6)
        assert not any(rig.run(0.2))


def test_slow_daemon_blames_nobody() -> None:
    rig = Rig(
        lambda _e, now, daemon: 4.0 if daemon < 2 and now > 106 else 1.0, daemons=10
    )
    assert not any(rig.run(20.0)[50:])


def test_bad_luck_of_one_daemon_blames_nobody() -> None:
    rig = Rig(lambda _e, _t, _d: 1.0)
    for _ in range(12):
        unlucky = Observed(failed=3)
        rig.record(SLOW, 1, unlucky)
        rig.observers[0].record_stream(SLOW, [0.4 * i for i in range(9)])
        assert not any(rig.run(0.5))


def test_failing_engine_gets_little_and_more_step_by_step() -> None:
    rig = Rig(
        lambda _e, _t, _d: 1.0,
        failed_fraction=lambda e, t: 0.5 if e == SLOW and t < 108 else 0.02,
    )
    steps = rig.run(8.0)
    assert steps[-1][SLOW].share == FAILING_SHARE
    assert all(each.keys() <= {SLOW} for each in steps)
    shares = [each[SLOW].share for each in rig.run(4 * SHARE_STEP) if SLOW in each]
    assert shares == sorted(shares)
    assert not rig.run(1.0)[-1]


def test_failures_common_to_all_engines_blame_none() -> None:
    rig = Rig(lambda _e, _t, _d: 1.0, failed_fraction=lambda _e, _t: 0.5)
    blamed = [len(each) for each in rig.run(10.0)]
    assert max(blamed) <= 0.3 * len(rig.engines)
    assert sum(blamed) / len(blamed) < 0.15 * len(rig.engines)


def test_restarted_engine_starts_clean_and_old_rows_are_ignored() -> None:
    rig = Rig(lambda engine, now, _: 3.0 if engine == SLOW and now < 108 else 1.0)
    assert SLOW in rig.run(8.0)[-1]
    rig.start_times[SLOW] = 2
    assert not any(rig.run(1.0)[-1:])
    late = Observed(failed=50)
    rig.table.record(SLOW, 1, MODELS, 3, late, rig.now)
    assert not any(rig.run(6.0))


def test_verdicts_expire_without_the_leader_and_hold_for_one_incarnation() -> None:
    now = 10.0
    known = KnownSpeeds(lambda: now)
    engine = Endpoint(SLOW, MODELS, "h", 1, "n", 8, False, {}, start_time_ms=5)
    other = replace(engine, id=EndpointId("e1"))
    known.apply("north", {SLOW: Verdict(5, streaming=3.0, share=0.0)})
    assert known.get_stream_factor(engine) == 3.0
    assert known.filter_admitted([engine, other]) == [other]
    # It is not passed over where nothing else could serve.
    assert known.filter_admitted([engine]) == [engine]
    assert known.get_stream_factor(replace(engine, start_time_ms=6)) == 1.0
    now += VERDICT_LIFETIME + 0.1
    assert known.find_for(engine) is None
    assert known.filter_admitted([engine, other]) == [engine, other]


def test_gap_of_a_stream_leaves_out_pauses_and_needs_some_events() -> None:
    assert compute_gap([0.0, 0.1, 0.2]) is None
    assert compute_gap(deque([0.0, 0.1, 0.2, 0.9, 1.0])) == pytest.approx(0.1)


def test_plain_endpoints_are_not_observed() -> None:
    services: dict[EndpointId, ServiceName] = {}
    observer = SpeedObserver(services.get)
    observer.record_outcome(SLOW, whole=False)
    observer.record_stream(SLOW, [0.1 * i for i in range(9)])
    assert observer.pop() == {}
